package record

import (
	"errors"
	"fmt"

	"lilacrill/wire"
)

// Rollout is the format in force for the whole cluster. Without such a record, that is the first
// one.
type Rollout struct {
	Format wire.Format `json:"format"`
	// Excluded holds the controllers, by label, that an activation does not wait for.
	Excluded map[string]Exclusion `json:"excluded,omitempty"`
}

// Exclusion says why a controller that is down need not be waited for. It applies only to
// incarnations up to the one that it names: a later one counts again.
type Exclusion struct {
	Incarnation wire.FencingToken `json:"boot"`
	Reason      string            `json:"reason"`
}

// Registration is what the latest process of a controller reads and writes. Unlike the liveness
// record it stays when the process ends.
type Registration struct {
	Incarnation wire.FencingToken `json:"boot"`
	Formats     FormatRange       `json:"formats"`
	Release     string            `json:"release,omitempty"`
	// Sharding says that the controller's settings enable sharding.
	Sharding bool `json:"shares,omitempty"`
}

// FormatRange is the formats that a process reads, from Oldest to Newest.
type FormatRange struct {
	Oldest wire.Format `json:"oldest"`
	Newest wire.Format `json:"newest"`
}

// Reads reports whether a format lies in the range.
func (r FormatRange) Reads(f wire.Format) bool { return r.Oldest <= f && f <= r.Newest }

// ErrInvalidFormatRange is the cause for which FormatRange.Check refuses a range.
var ErrInvalidFormatRange = errors.New("invalid range of formats")

// Check reports a range that no build can have, wrapping ErrInvalidFormatRange, or nil.
func (r FormatRange) Check() error {
	if r.Oldest < FormatPlain || r.Newest < r.Oldest {
		return fmt.Errorf("%w: from %d to %d", ErrInvalidFormatRange, r.Oldest, r.Newest)
	}
	return nil
}
