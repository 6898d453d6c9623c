package controller

import (
	"slices"
	"time"
)

// partition is a zone that seems to be cut off from the others.
type partition struct {
	lastSeenAt Time // when it last seemed so
	silent     int  // machines in it that were silent then
}

// partitionDetector finds zones that seem to be partitioned. Nothing is provisioned there
// meanwhile: what came up would be silent, be terminated, and be provisioned again.
type partitionDetector struct {
	zones map[string]partition
}

const (
	// minSilentMachines is the number of silent machines up to which neither a zone counts
	// as partitioned nor this controller as cut off.
	minSilentMachines = 2
	// partitionSilentRatio is how many times as many machines of a partitioned zone are
	// silent as are heard.
	partitionSilentRatio = 3
	// partitionLifetime is how long a zone counts as partitioned without new evidence.
	partitionLifetime = 40 * time.Second
)

// update applies a review of the fleet. A zone counts as partitioned when nearly all of its
// machines are silent while most of the fleet is heard; this is seen before the first of them
// would be given up. It no longer counts as partitioned once a machine in it is heard for
// longer than silence after that, or after partitionLifetime.
func (d *partitionDetector) update(review *terminationReview, silence time.Duration, now Time) {
	for name, zone := range review.zones {
		if zone.silent > minSilentMachines && zone.silent > partitionSilentRatio*zone.responsive && 2*review.silent < review.reporting {
			d.zones[name] = partition{now, zone.silent}
		}
	}
	for name, seen := range d.zones {
		if now.Sub(seen.lastSeenAt) > partitionLifetime || review.zone(name).lastHeartbeatAt > seen.lastSeenAt.Add(silence) {
			delete(d.zones, name)
		}
	}
}

// silentMachines is how many machines of a partitioned zone were silent; 0 if the zone is not
// partitioned.
func (d *partitionDetector) silentMachines(zone string) int { return d.zones[zone].silent }

// isPartitioned reports whether a zone seems to be partitioned.
func (c *Controller) isPartitioned(zone string) bool {
	_, partitioned := c.provisioner.partitions.zones[zone]
	return partitioned
}

// terminationLimiter bounds how many silent machines are terminated within
// silentTerminationWindow, in proportion to the fleet. A part of the bound is kept for
// machines with critical tasks: when a hundred hang, those without critical tasks, which were
// silent first, would use it up for seconds.
type terminationLimiter struct {
	times []Time // of the terminations in the window
}

const (
	silentTerminationWindow = 10 * time.Second
	// minSilentTerminations is how many machines may be terminated in a window, however small
	// the fleet, and silentTerminationDivisor which part of the machines that report.
	minSilentTerminations    = 4
	silentTerminationDivisor = 4
	// criticalTerminationDivisor is the part of the bound that is kept for machines with
	// critical tasks.
	criticalTerminationDivisor = 2
)

// admit reports whether one more machine may be terminated now, and counts it if so.
func (l *terminationLimiter) admit(reporting int, critical bool, now Time) bool {
	l.times = slices.DeleteFunc(l.times, func(at Time) bool { return now.Sub(at) > silentTerminationWindow })
	limit := max(minSilentTerminations, reporting/silentTerminationDivisor)
	if !critical {
		limit -= limit / criticalTerminationDivisor
	}
	if len(l.times) >= limit {
		return false
	}
	l.times = append(l.times, now)
	return true
}
