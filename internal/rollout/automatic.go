package rollout

import (
	"time"

	"lilacrill/wire"
)

// Time is a point on the monotonic clock of the process, measured from the start of the process.
type Time time.Duration

// AutomaticActivation returns the format to activate without an operator's decision, and whether
// it is due. The format is due once it has been the newest that no controller blocks for at least
// settle without interruption.
func (t *Tracker) AutomaticActivation(now Time, settle time.Duration) (wire.Format, bool) {
	next, ready := t.NextFormat()
	if !ready {
		t.candidate = 0
		return 0, false
	}
	if next != t.candidate {
		t.candidate, t.readySince = next, now
	}
	return next, time.Duration(now-t.readySince) >= settle
}

// NextFormat returns the newest format that no controller blocks and true, if that format is later
// than the format in force. Otherwise it returns the format that follows the one in force, at most
// the newest of this build, and false.
func (t *Tracker) NextFormat() (next wire.Format, ready bool) {
	for format := t.formats.Newest; format > t.state.Format; format-- {
		if len(t.Blockers(format)) == 0 {
			return format, true
		}
	}
	return min(t.state.Format+1, t.formats.Newest), false
}
