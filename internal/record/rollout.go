package record

import (
	"fmt"

	"lilacrill/wire"
)

// Rollout is the format in force for the whole service. Where there is no such
// record, it is the first one.
type Rollout struct {
	Format wire.Format `json:"format"`
	// Excluded holds the controllers that an activation does not wait for.
	Excluded map[string]Exclusion `json:"excluded,omitempty"`
}

// Exclusion says why a controller that is down need not be waited for. It holds only
// for processes up to Boot: a later one counts again.
type Exclusion struct {
	Incarnation wire.FencingToken `json:"boot"`
	Reason      string            `json:"reason"`
}

// Registration is what the latest process of a controller reads and writes. Unlike its Node
// record it stays when the process ends.
type Registration struct {
	Incarnation wire.FencingToken `json:"boot"`
	Formats     FormatRange       `json:"formats"`
	Release     string            `json:"release,omitempty"`
	// Sharding says that its features enable shares.
	Sharding bool `json:"shares,omitempty"`
}

// FormatRange is the formats that a process reads, from Oldest to Newest.
type FormatRange struct {
	Oldest wire.Format `json:"oldest"`
	Newest wire.Format `json:"newest"`
}

// Reads reports whether a format lies in the range.
func (r FormatRange) Reads(f wire.Format) bool { return r.Oldest <= f && f <= r.Newest }

// Check reports a range that no build can have, or nil.
func (r FormatRange) Check() error {
	if r.Oldest < FormatPlain || r.Newest < r.Oldest {
		return fmt.Errorf("formats from %d to %d", r.Oldest, r.Newest)
	}
	return nil
}
