package rollout

import "lilacrill/wire"

// View is the rollout as operators see it.
func (t *Tracker) View() wire.AdminRollout {
	next, ready := t.NextFormat()
	v := wire.AdminRollout{Version: t.stateVersion, Format: t.state.Format, Oldest: t.formats.Oldest, Newest: t.formats.Newest}
	if next > t.state.Format {
		v.Next, v.Ready = next, ready
	}
	for _, label := range t.knownLabels() {
		n, alive := t.live[label]
		m := t.registrations[label]
		c := wire.AdminRolloutController{Label: label, Alive: alive, Incarnation: max(n.incarnation, m.Incarnation),
			Oldest: m.Formats.Oldest, Newest: m.Formats.Newest, Release: m.Release}
		if v.Next != 0 {
			c.Blocks = t.blockReason(label, v.Next)
		}
		if t.excluded(label) && !alive {
			c.Excluded = t.state.Excluded[label].Reason
		}
		v.Controllers = append(v.Controllers, c)
	}
	return v
}
