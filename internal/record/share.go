package record

import "lilacrill/wire"

// Shares says whether shares are in use. It is switched in one transaction with the list of
// machines to be returned, which every placement demands: so placements of controllers
// that restrict themselves to their shares and of ones that do not never mix.
type Shares struct {
	Enabled bool `json:"enabled"`
	// Drained holds the controllers that are to own no share, by label, with the reason.
	Drained map[string]string `json:"drained,omitempty"`
}

// ShareOwner is a process of a controller, as the owner of a share.
type ShareOwner struct {
	Label string            `json:"label"`
	Boot  wire.FencingToken `json:"boot"`
}

// Share says who may place on the machines of a share. Every placement demands the
// records of the shares that it places in.
type Share struct {
	Owner ShareOwner `json:"owner"`
	// Epoch rises whenever the share changes hands.
	Epoch wire.ShardEpoch `json:"epoch"`
	Move  *ShareMove      `json:"move,omitempty"`
}

// ShareMove is a move of a share that is under way. Its owner starts no placement
// meanwhile.
type ShareMove struct {
	To    ShareOwner `json:"to"`
	Step  ShareStep  `json:"step"`
	Since int64      `json:"since"` // Unix milliseconds
	Why   string     `json:"why,omitempty"`
}

// ShareStep is how far a move has come.
type ShareStep string

// The steps of a move. Adoption, by which the target becomes the owner, ends it.
const (
	// ShareProposed: the owner has been asked to hand the share over.
	ShareProposed ShareStep = "proposed"
	// ShareReleased: the owner has no placement under way any more.
	ShareReleased ShareStep = "released"
)
