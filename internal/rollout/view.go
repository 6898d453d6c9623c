package rollout

import "lilacrill/wire"

// View is the rollout as operators see it.
func (t *Tracker) View() wire.AdminRollout {
	next, ready := t.Next()
	v := wire.AdminRollout{Version: t.stateVersion, Format: t.state.Format, Oldest: t.formats.Oldest, Newest: t.formats.Newest}
	if next > t.state.Format {
		v.Next, v.Ready = next, ready
	}
	for _, label := range t.known() {
		n, alive := t.nodes[label]
		m := t.members[label]
		c := wire.AdminRolloutController{Label: label, Alive: alive, Incarnation: max(n.boot, m.Incarnation),
			Oldest: m.Formats.Oldest, Newest: m.Formats.Newest, Release: m.Release}
		if v.Next != 0 {
			c.Blocks = t.blocks(label, v.Next)
		}
		if t.excluded(label) && !alive {
			c.Excluded = t.state.Excluded[label].Reason
		}
		v.Controllers = append(v.Controllers, c)
	}
	return v
}
