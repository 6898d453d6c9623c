package rollout

import (
	"fmt"
	"slices"

	"lilacrill/wire"
)

// Blocker is a controller that blocks an activation, and why.
type Blocker struct {
	Label  string
	Reason string
}

// Blockers lists the controllers that block a format: all that may be running, or may start
// later without an operator's decision, a process that does not read it.
func (t *Tracker) Blockers(format wire.Format) []Blocker {
	var blockers []Blocker
	for _, label := range t.knownLabels() {
		if reason := t.blockReason(label, format); reason != "" {
			blockers = append(blockers, Blocker{label, reason})
		}
	}
	return blockers
}

// knownLabels lists the controllers of the settings and any others that are alive, sorted.
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

// blockReason says why a controller blocks a format, or "".
//
// The registration of a process that is down proves nothing: a build from before such
// records may have run since, and leaves none. So a controller that is down has to come
// back, or an operator has to exclude it.
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
	case !registration.Formats.Reads(format):
		return fmt.Sprintf("reads formats %d to %d only", registration.Formats.Oldest, registration.Formats.Newest)
	case !slices.Contains(t.labels, label):
		return "lives, but is not in the settings of " + t.label
	}
	return ""
}

// excluded reports whether an operator has excluded a controller that is down. A process that
// has registered since ends the exclusion.
func (t *Tracker) excluded(label string) bool {
	exclusion, ok := t.state.Excluded[label]
	return ok && t.registrations[label].Incarnation <= exclusion.Incarnation
}
