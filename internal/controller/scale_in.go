package controller

import (
	"slices"
	"time"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// The reasons for terminating a machine. They are stored in the terminations record, appear
// in metric names and are shown to operators.
const (
	reasonIdle               = "idle"                 // no tasks run on the machine
	reasonFailed             = "failed"               // the cloud lists the machine as failed
	reasonNeverJoined        = "never came up"        // its worker sent no heartbeat in time
	reasonSilent             = "silent"               // its worker has sent no heartbeat for too long
	reasonUnreachable        = "unreachable"          // its heartbeats arrive, but it answers no calls
	reasonHoldsCompletedWork = "holds ended work"     // it may run tasks of completed jobs and receives no commands
	reasonAlreadyTerminated  = "gone with work on it" // it no longer exists, but has allocations
)

const (
	// completedTaskToleranceFraction is the fraction of cancel_s for which a machine that
	// receives no commands may hold tasks of completed jobs before it is terminated.
	// completedTaskToleranceFractionIsolated applies instead while this controller may be
	// isolated.
	completedTaskToleranceFraction         = 0.2
	completedTaskToleranceFractionIsolated = 0.5
	// probeGracePeriod is added to the time after which a machine should have been probed, or
	// should have sent a heartbeat.
	probeGracePeriod = 2 * time.Second
)

// terminationReview summarizes the liveness of the whole fleet, as a basis for the decision
// which machines to terminate.
type terminationReview struct {
	reporting int // machines that have sent a heartbeat and are not being terminated
	silent    int // of these, machines that left a probe unanswered or whose heartbeats are long overdue
	zones     map[string]*zoneReview
	// isolationPossible is set if this controller, and not the silent machines, may be cut
	// off.
	isolationPossible bool
	retained          retainedMachines
}

// zoneReview summarizes the liveness of the machines in one zone.
type zoneReview struct {
	responsive, silent int // numbers of machines
	lastHeartbeatAt    Time
}

// zone returns the review of a zone, which it adds if there is none yet.
func (r *terminationReview) zone(name string) *zoneReview {
	if r.zones[name] == nil {
		r.zones[name] = &zoneReview{}
	}
	return r.zones[name]
}

// reviewMachines marks the machines for termination that were terminated without a record or
// for which terminationReason finds a reason.
func (c *Controller) reviewMachines() {
	review := c.reviewZones()
	for _, machine := range c.orderedMachines() {
		_, terminating := c.cache.terminating[machine.id]
		if _, marked := c.provisioner.toTerminate[machine.id]; marked {
			terminating = true
		}
		if c.isUnrecordedTermination(machine, terminating) {
			c.markForTermination(machine, reasonAlreadyTerminated)
			continue
		}
		if terminating || machine.scaling.terminated || machine.isTerminated() && len(machine.allocations) == 0 {
			continue
		}
		c.updateIdleTime(machine)
		if reason := c.terminationReason(machine, review); reason != "" {
			c.markForTermination(machine, reason)
		}
	}
	c.logRetainedMachines(&review.retained)
}

// isUnrecordedTermination reports whether a machine is terminated and still has allocations,
// but is not recorded as terminated. Either it was terminated while that could not be
// recorded, or a controller that did not know of the termination placed tasks on it. The
// record lets all controllers know that these tasks are lost.
func (c *Controller) isUnrecordedTermination(machine *machine, terminating bool) bool {
	return machine.scaling.terminated && len(machine.allocations) > 0 && !terminating && !slices.Contains(c.cache.terminations.Confirmed, machine.id)
}

// reviewZones counts the responsive and the silent machines of each zone, and updates the set
// of partitioned zones.
func (c *Controller) reviewZones() *terminationReview {
	silence := config.Seconds(c.operator.values.UnresponsiveS)
	review := &terminationReview{zones: map[string]*zoneReview{}, retained: retainedMachines{count: map[retentionReason]int{}}}
	for id, machine := range c.fleet.machines {
		// A machine that is being terminated stops sending heartbeats, which is no sign of a
		// network fault.
		if _, terminating := c.cache.terminating[id]; machine.latestHeartbeat == nil || machine.isTerminated() || terminating {
			continue
		}
		review.reporting++
		zone := review.zone(machine.zone)
		zone.lastHeartbeatAt = max(zone.lastHeartbeatAt, machine.liveness.lastHeartbeatAt)
		// Heartbeats may be further apart than the tolerated silence. A machine therefore
		// counts as silent only if it left a probe unanswered, or if some controller should
		// have probed it long ago. If machines counted that had no heartbeat to send yet, a
		// partitioned zone would never be detected, and no machine would be terminated while
		// messages of a single peer are missing.
		switch quiet := c.silence(machine); {
		case quiet <= silence/2:
			zone.responsive++
		case machine.liveness.unansweredProbes > 0 || quiet > c.heartbeatTimeout(machine)+probeGracePeriod:
			zone.silent++
			review.silent++
		}
	}
	c.provisioner.partitions.update(review, silence, c.now)
	// If many machines are silent at once and messages of some peer are missing as well, it
	// may be this controller that is cut off.
	manySilent := review.silent > minSilentMachines && 2*review.silent > review.reporting
	review.isolationPossible = manySilent && !c.receivesFromAllPeers() ||
		c.isolationSuspected() && (review.silent < review.reporting || !c.receivesFromAllPeers())
	return review
}

// updateIdleTime keeps track of since when a machine has had no tasks and held no headroom.
func (c *Controller) updateIdleTime(machine *machine) {
	if len(machine.allocations) > 0 || machine.scaling.holdsHeadroom || machine.latestHeartbeat == nil || c.runsTasksOfUnreadableJobs(machine) {
		machine.scaling.idleSince = 0
	} else if machine.scaling.idleSince == 0 {
		machine.scaling.idleSince = c.now
	}
}

// runsTasksOfUnreadableJobs reports whether the latest heartbeat of a machine lists tasks of
// jobs whose records cannot be read. Such a machine may be busy though it has no allocations.
func (c *Controller) runsTasksOfUnreadableJobs(machine *machine) bool {
	return len(c.cache.unreadable) > 0 && slices.ContainsFunc(machine.latestHeartbeat.Tasks, func(status wire.TaskStatus) bool {
		return c.jobUnreadable(status.Task.Job)
	})
}

// terminationReason returns why a machine is to be terminated, or "" if it is not. The first
// case that applies decides: the later ones are not considered, even if a limit of that case
// prevents the termination for now.
func (c *Controller) terminationReason(machine *machine, review *terminationReview) string {
	switch {
	case machine.scaling.status == wire.MachineFailed:
		return reasonFailed
	case machine.latestHeartbeat == nil && machine.scaling.status != wire.MachineRunning && len(machine.allocations) == 0:
		if c.neverJoined(machine) {
			return reasonNeverJoined
		}
	case c.holdsCompletedTasks(machine.id, c.completedTaskTolerance(review.isolationPossible)) && machine.liveness.unansweredCalls >= unreachableThreshold:
		// Tasks of completed jobs must be stopped in time, and the machine receives no
		// commands. It is terminated regardless of the limits on terminations.
		return reasonHoldsCompletedWork
	case c.silentTooLong(machine, review):
		if c.admitSilentTermination(machine, review) {
			return reasonSilent
		}
		review.retained.add(machine, retainedByLimit, c.silence(machine))
	case c.unreachableTooLong(machine) && !review.isolationPossible:
		if c.admitSilentTermination(machine, review) {
			return reasonUnreachable
		}
	case c.idleTooLong(machine):
		return reasonIdle
	}
	return ""
}

// unreachableTooLong reports whether the heartbeats of a machine arrive, but it has answered
// no calls for more than half a lease. Such a machine receives no responses to its heartbeats
// either, so its lease runs out although it looks alive.
//
// A machine whose heartbeats do not arrive is silent instead, and may be in a partitioned
// zone. Therefore a heartbeat must have arrived after the first unanswered call, or all
// machines of a partitioned zone would be terminated as unreachable. The last heartbeat must
// also be on time, or this would happen to a machine whose last heartbeat arrived just after
// the first call that was lost in the partition.
func (c *Controller) unreachableTooLong(machine *machine) bool {
	return machine.unreachable() && machine.liveness.lastHeartbeatAt > machine.liveness.unreachableSince &&
		c.heartbeatsOnTime(machine) && !c.fleet.outboundSuspect &&
		c.now.Sub(machine.liveness.unreachableSince) > config.Seconds(c.settings.Cluster.Workers.LeaseS/2)
}

// idleTooLong reports whether a machine is to be terminated as idle. It must have been idle
// for longer than idle_s, the headroom must be complete, and no pending job may be able to
// use the machine: while there is unmet demand, the machine must be above the price limit or
// have been idle for twice that time.
func (c *Controller) idleTooLong(machine *machine) bool {
	limit := config.Seconds(c.operator.values.IdleS)
	if machine.scaling.idleSince == 0 || c.provisioner.missingHeadroom != 0 {
		return false
	}
	idle := c.now.Sub(machine.scaling.idleSince)
	return idle > limit && (len(c.provisioner.unmetDemands) == 0 || c.abovePriceLimit(machine) || idle > 2*limit)
}

// holdsCompletedTasks reports whether a machine has held tasks of completed jobs for longer
// than tolerance.
func (c *Controller) holdsCompletedTasks(id wire.MachineID, tolerance time.Duration) bool {
	return c.completedTasks.heldLongerThan(id, c.now, tolerance) && c.completedTasksOn(id).recorded
}

// completedTaskTolerance returns how long a machine that receives no commands may hold tasks
// of completed jobs. It is longer while this controller may be isolated, which gives other
// controllers time to stop the tasks.
func (c *Controller) completedTaskTolerance(isolationPossible bool) time.Duration {
	fraction := completedTaskToleranceFraction
	if isolationPossible {
		fraction = completedTaskToleranceFractionIsolated
	}
	return config.Seconds(fraction * c.settings.Cluster.Workers.CancelS)
}

// markForTermination marks a machine for termination. recordTerminations records all marked
// machines together.
func (c *Controller) markForTermination(machine *machine, reason string) {
	c.provisioner.toTerminate[machine.id] = terminationMark{reason, c.now}
	c.log.Info("machine marked for termination", "machine_id", machine.id, "reason", reason,
		"silent_for", c.silence(machine), "unanswered_calls", machine.liveness.unansweredCalls)
}
