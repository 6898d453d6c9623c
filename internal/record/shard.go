package record

import "lilacrill/wire"

// ShardPolicy says whether sharding is enabled. It is switched in one transaction that also
// rewrites the list of terminations, whose version every placement transaction demands: so
// placements of controllers that restrict themselves to their shards and of controllers that do
// not never mix.
type ShardPolicy struct {
	Enabled bool `json:"enabled"`
	// Drained holds the controllers that are to own no shard, by label, with the reason.
	Drained map[string]string `json:"drained,omitempty"`
}

// ShardOwner is a process of a controller, as the owner of a shard.
type ShardOwner struct {
	Label       string            `json:"label"`
	Incarnation wire.FencingToken `json:"boot"`
}

// Shard says who may place on the machines of a shard. Every placement transaction demands the
// versions of the shards that it places in.
type Shard struct {
	Owner ShardOwner `json:"owner"`
	// Epoch rises whenever the owner changes.
	Epoch wire.ShardEpoch `json:"epoch"`
	Move  *ShardMove      `json:"move,omitempty"`
}

// ShardMove is a move of a shard that is under way. Its owner starts no placement meanwhile.
type ShardMove struct {
	To     ShardOwner `json:"to"`
	Phase  MovePhase  `json:"step"`
	Since  int64      `json:"since"` // Unix milliseconds
	Reason string     `json:"why,omitempty"`
}

// MovePhase is how far the move of a shard has come.
type MovePhase string

// The phases of a move. It ends as the target becomes the owner.
const (
	// MoveProposed: the owner has been asked to release the shard.
	MoveProposed MovePhase = "proposed"
	// MoveReleased: the owner has no placement under way any more.
	MoveReleased MovePhase = "released"
)
