package record

import "lilacrill/wire"

// ShardPolicy says whether shares are in use. It is switched in one transaction with the list of
// machines to be returned, which every placement demands: so placements of controllers
// that restrict themselves to their shares and of ones that do not never mix.
type ShardPolicy struct {
	Enabled bool `json:"enabled"`
	// Drained holds the controllers that are to own no share, by label, with the reason.
	Drained map[string]string `json:"drained,omitempty"`
}

// ShardOwner is a process of a controller, as the owner of a share.
type ShardOwner struct {
	Label       string            `json:"label"`
	Incarnation wire.FencingToken `json:"boot"`
}

// Shard says who may place on the machines of a share. Every placement demands the
// records of the shares that it places in.
type Shard struct {
	Owner ShardOwner `json:"owner"`
	// Epoch rises whenever the share changes hands.
	Epoch wire.ShardEpoch `json:"epoch"`
	Move  *ShardMove      `json:"move,omitempty"`
}

// ShardMove is a move of a share that is under way. Its owner starts no placement
// meanwhile.
type ShardMove struct {
	To     ShardOwner `json:"to"`
	Phase  MovePhase  `json:"step"`
	Since  int64      `json:"since"` // Unix milliseconds
	Reason string     `json:"why,omitempty"`
}

// MovePhase is how far a move has come.
type MovePhase string

// The steps of a move. Adoption, by which the target becomes the owner, ends it.
const (
	// MoveProposed: the owner has been asked to hand the share over.
	MoveProposed MovePhase = "proposed"
	// MoveReleased: the owner has no placement under way any more.
	MoveReleased MovePhase = "released"
)
