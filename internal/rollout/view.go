package rollout

import "lilacrill/wire"

// View returns the state of the rollout, as the administration API shows it to operators.
func (t *Tracker) View() wire.AdminRollout {
	next, ready := t.NextFormat()
	view := wire.AdminRollout{Version: t.stateVersion, Format: t.state.Format, Oldest: t.formats.Oldest, Newest: t.formats.Newest}
	if next > t.state.Format {
		view.Next, view.Ready = next, ready
	}
	for _, label := range t.knownLabels() {
		live, alive := t.live[label]
		registered := t.registrations[label]
		controller := wire.AdminRolloutController{Label: label, Alive: alive, Incarnation: max(live.incarnation, registered.Incarnation),
			Oldest: registered.Formats.Oldest, Newest: registered.Formats.Newest, Release: registered.Release}
		if view.Next != 0 {
			controller.Blocks = t.blockReason(label, view.Next)
		}
		if t.excluded(label) && !alive {
			controller.Excluded = t.state.Excluded[label].Reason
		}
		view.Controllers = append(view.Controllers, controller)
	}
	return view
}
