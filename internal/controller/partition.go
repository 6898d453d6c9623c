package controller

import (
	"slices"
	"time"
)

// partition describes a zone that seems to be partitioned from the others.
type partition struct {
	lastDetectedAt Time // when the partition was last detected
	silent         int  // silent machines in the zone at that time
}

// partitionDetector finds zones that seem to be partitioned. No machines are provisioned in
// such a zone: they would be silent, be terminated, and be provisioned again.
type partitionDetector struct {
	zones map[string]partition
}

const (
	// minSilentMachines is the number of silent machines up to which neither a zone counts
	// as partitioned nor this controller as possibly isolated.
	minSilentMachines = 2
	// partitionSilentRatio is the ratio of silent machines to responsive ones above which a
	// zone may count as partitioned.
	partitionSilentRatio = 3
	// partitionLifetime is how long a zone counts as partitioned without new evidence.
	partitionLifetime = 40 * time.Second
)

// update applies a review of the fleet. A zone counts as partitioned when nearly all of its
// machines are silent while most of the fleet is not. This is detected before the first of
// its machines would be terminated as silent. The zone no longer counts as partitioned once a
// heartbeat of one of its machines arrives more than silence after the last detection, or when
// partitionLifetime has passed since then.
func (d *partitionDetector) update(review *terminationReview, silence time.Duration, now Time) {
	for name, zone := range review.zones {
		if zone.silent > minSilentMachines && zone.silent > partitionSilentRatio*zone.responsive && 2*review.silent < review.reporting {
			d.zones[name] = partition{now, zone.silent}
		}
	}
	for name, seen := range d.zones {
		if now.Sub(seen.lastDetectedAt) > partitionLifetime || review.zone(name).lastHeartbeatAt > seen.lastDetectedAt.Add(silence) {
			delete(d.zones, name)
		}
	}
}

// silentMachines returns how many machines of a partitioned zone were silent when the
// partition was last detected, or 0 if the zone is not partitioned.
func (d *partitionDetector) silentMachines(zone string) int { return d.zones[zone].silent }

// isPartitioned reports whether a zone seems to be partitioned.
func (c *Controller) isPartitioned(zone string) bool {
	_, partitioned := c.provisioner.partitions.zones[zone]
	return partitioned
}

// terminationLimiter bounds how many silent machines are terminated within
// silentTerminationWindow, in proportion to the fleet. A part of the bound is reserved for
// machines with critical tasks. If a hundred machines hang, those without critical tasks that
// became silent first would otherwise use up the bound for seconds.
type terminationLimiter struct {
	times []Time // when the terminations in the window were admitted
}

const (
	silentTerminationWindow = 10 * time.Second
	// In a window, one in silentTerminationDivisor of the machines that send heartbeats may
	// be terminated, but at least minSilentTerminations however small the fleet.
	minSilentTerminations    = 4
	silentTerminationDivisor = 4
	// criticalTerminationDivisor determines the part of the bound that is reserved for
	// machines with critical tasks: one in so many terminations.
	criticalTerminationDivisor = 2
)

// admit reports whether one more machine may be terminated now, and if so counts its
// termination.
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
