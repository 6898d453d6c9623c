package record

import "lilacrill/wire"

// ShardPolicy is the record that states whether sharding is enabled. Sharding is switched in a single
// transaction that also rewrites the terminations record, whose version is a condition of every
// placement transaction. Placements of controllers that restrict themselves to their shards and of
// controllers that do not therefore never mix.
type ShardPolicy struct {
	Enabled bool `json:"enabled"`
	// Drained holds the reasons why controllers are to own no shard, by label of the controller.
	Drained map[string]string `json:"drained,omitempty"`
}

// ShardOwner identifies the process of a controller that owns a shard or is to own it.
type ShardOwner struct {
	Label       string            `json:"label"`
	Incarnation wire.FencingToken `json:"boot"`
}

// Shard is the record of the controller that may place tasks on the machines of a shard. Every
// placement transaction has the versions of the shards in which it places tasks as conditions.
type Shard struct {
	Owner ShardOwner `json:"owner"`
	// Epoch is incremented whenever the owner changes.
	Epoch wire.ShardEpoch `json:"epoch"`
	Move  *ShardMove      `json:"move,omitempty"`
}

// ShardMove is a move of a shard that is under way. The owner of the shard starts no placement there
// during the move.
type ShardMove struct {
	To     ShardOwner `json:"to"`
	Phase  MovePhase  `json:"step"`
	Since  int64      `json:"since"` // Unix milliseconds
	Reason string     `json:"why,omitempty"`
}

// MovePhase is the phase of the move of a shard.
type MovePhase string

// The phases of a move. The move ends when its target becomes the owner.
const (
	// MoveProposed means that the owner has been requested to release the shard.
	MoveProposed MovePhase = "proposed"
	// MoveReleased means that the owner has no placement under way in the shard any more.
	MoveReleased MovePhase = "released"
)
