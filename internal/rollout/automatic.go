package rollout

import (
	"time"

	"lilacrill/wire"
)

// Time is a moment on the steady clock of the process.
type Time time.Duration

// AutomaticActivation returns the format to activate without an operator's word: the newest that
// all controllers have been ready for, without a break, for as long as settle.
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

// NextFormat is the newest format that all controllers read, if it is later than the one in
// force and nobody holds it up. Otherwise it is the one that is waited for.
func (t *Tracker) NextFormat() (next wire.Format, ready bool) {
	for f := t.formats.Newest; f > t.state.Format; f-- {
		if len(t.Blockers(f)) == 0 {
			return f, true
		}
	}
	return min(t.state.Format+1, t.formats.Newest), false
}
