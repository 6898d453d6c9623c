package rollout

import (
	"fmt"
	"slices"

	"lilacrill/wire"
)

// Blocker is a controller that blocks an activation, with the reason.
type Blocker struct {
	Label  string
	Reason string
}

// Blockers lists the controllers that block the activation of a format. A controller blocks it if a
// process that does not read the format may be running there, or may start there later without an
// operator's decision.
func (t *Tracker) Blockers(format wire.Format) []Blocker {
	var blockers []Blocker
	for _, label := range t.knownLabels() {
		if reason := t.blockReason(label, format); reason != "" {
			blockers = append(blockers, Blocker{label, reason})
		}
	}
	return blockers
}

// knownLabels returns the sorted labels of the controllers in the settings and of any other live
// controllers.
func (t *Tracker) knownLabels() []string {
	labels := slices.Clone(t.labels)
	for label := range t.live {
		if !slices.Contains(labels, label) {
			labels = append(labels, label)
		}
	}
	slices.Sort(labels)
	return labels
}

// blockReason returns the reason why a controller blocks the activation of a format, or "" if it
// does not.
//
// The registration of a controller that is down may be outdated, because a build that predates
// registrations may have run since and writes none. A controller that is down therefore blocks
// until it is alive again or an operator excludes it.
func (t *Tracker) blockReason(label string, format wire.Format) string {
	live, alive := t.live[label]
	registration, registered := t.registrations[label]
	switch {
	case !alive && t.excluded(label):
		return ""
	case !alive && !registered:
		return "is down and has never registered"
	case !alive:
		return "is down"
	case !registered || registration.Incarnation != live.incarnation:
		return "runs a build that does not register what it reads"
	case !registration.Formats.Contains(format):
		return fmt.Sprintf("reads formats %d to %d only", registration.Formats.Oldest, registration.Formats.Newest)
	case !slices.Contains(t.labels, label):
		return "lives, but is not in the settings of " + t.label
	}
	return ""
}

// excluded reports whether an operator has excluded a controller. The exclusion ends when a later
// process of the controller registers.
func (t *Tracker) excluded(label string) bool {
	exclusion, ok := t.state.Excluded[label]
	return ok && t.registrations[label].Incarnation <= exclusion.Incarnation
}
