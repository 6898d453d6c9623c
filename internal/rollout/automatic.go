package rollout

import (
	"time"

	"lilacrill/wire"
)

// Time is a moment on the monotonic clock of the process, since its start.
type Time time.Duration

// AutomaticActivation returns the format to activate without an operator's decision: the newest
// that all controllers have been ready for, without a break, for as long as settle.
func (t *Tracker) AutomaticActivation(now Time, settle time.Duration) (wire.Format, bool) {
	next, ready := t.NextFormat()
	if !ready {
		t.candidate = 0
		return 0, false
	}
	if next != t.candidate {
		t.candidate, t.since = next, now
	}
	return next, time.Duration(now-t.since) >= settle
}

// NextFormat is the newest format that no controller blocks, if it is later than the one in force.
// Otherwise it is the one after that in force, which is waited for.
func (t *Tracker) NextFormat() (next wire.Format, ready bool) {
	for format := t.formats.Newest; format > t.state.Format; format-- {
		if len(t.Blockers(format)) == 0 {
			return format, true
		}
	}
	return min(t.state.Format+1, t.formats.Newest), false
}
