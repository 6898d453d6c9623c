package record

import (
	"errors"
	"fmt"

	"lilacrill/wire"
)

// Rollout is the record of the format in force for the whole cluster. Without this record, the first
// format is in force.
type Rollout struct {
	Format wire.Format `json:"format"`
	// Excluded holds, by label, the controllers that an operator has excluded from blocking
	// activations.
	Excluded map[string]Exclusion `json:"excluded,omitempty"`
}

// Exclusion states why a controller that is down does not block activations. It applies only to
// incarnations up to the given one. Any later incarnation of the controller can block again.
type Exclusion struct {
	Incarnation wire.FencingToken `json:"boot"`
	Reason      string            `json:"reason"`
}

// Registration is the record of the formats that the latest process of a controller reads and
// writes. Unlike the liveness record, it remains when the process ends.
type Registration struct {
	Incarnation wire.FencingToken `json:"boot"`
	Formats     FormatRange       `json:"formats"`
	Release     string            `json:"release,omitempty"`
	// Sharding is set if the controller's settings enable sharding.
	Sharding bool `json:"shares,omitempty"`
}

// FormatRange is the range of formats that a process reads, from Oldest to Newest, both included.
type FormatRange struct {
	Oldest wire.Format `json:"oldest"`
	Newest wire.Format `json:"newest"`
}

// Contains reports whether a format lies in the range.
func (r FormatRange) Contains(f wire.Format) bool { return r.Oldest <= f && f <= r.Newest }

// ErrInvalidFormatRange is wrapped by the errors of FormatRange.Check.
var ErrInvalidFormatRange = errors.New("invalid range of formats")

// Check returns an error that wraps ErrInvalidFormatRange if the range is empty or starts before the
// first format.
func (r FormatRange) Check() error {
	if r.Oldest < FormatPlain || r.Newest < r.Oldest {
		return fmt.Errorf("%w: from %d to %d", ErrInvalidFormatRange, r.Oldest, r.Newest)
	}
	return nil
}
