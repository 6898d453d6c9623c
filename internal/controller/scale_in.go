package controller

import (
	"slices"
	"time"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// The reasons for the termination of machines, as placement records, metrics and operators
// see them.
const (
	reasonIdle               = "idle"                 // no tasks run on it
	reasonFailed             = "failed"               // the cloud lists it as failed
	reasonNeverJoined        = "never came up"        // its worker sent no heartbeat in time
	reasonSilent             = "silent"               // no heartbeat for too long
	reasonUnreachable        = "unreachable"          // its heartbeats come, but it answers no call
	reasonHoldsCompletedWork = "holds ended work"     // it cannot be told to stop tasks of completed jobs
	reasonAlreadyTerminated  = "gone with work on it" // it is gone, with allocations on it
)

const (
	completedTaskFraction         = 0.2 // of the time for a cancellation, in which a machine must learn of it
	completedTaskFractionIsolated = 0.5 // the same while this controller may be isolated
	probeGracePeriod              = 2 * time.Second
	// minUnansweredProbes is how many probes a silent machine must have left unanswered.
	minUnansweredProbes = 2
	// minPartitionedMachines is how many machines of a partitioned zone must be silent for
	// those with critical tasks to be left alone.
	minPartitionedMachines = 5
	// partitionToleranceLeases is for how many leases machines with accelerators in a partitioned zone
	// are left alone.
	partitionToleranceLeases = 3
	// allReportedFactor times the heartbeat interval is when all machines had to report.
	allReportedFactor = 1.3
)

// terminationReview is what a review of the machines finds of the fleet as a whole.
type terminationReview struct {
	reporting int // machines that send heartbeats
	silent    int // of these, the ones that should have been heard and were not
	zones     map[string]*zoneReview
	// isolationPossible says that this controller, and not the silent machines, may be
	// cut off.
	isolationPossible bool
}

// zoneReview is the same for one zone.
type zoneReview struct {
	responsive, silent int
	lastHeartbeatAt    Time
}

// zone is the review of a zone.
func (r *terminationReview) zone(name string) *zoneReview {
	if r.zones[name] == nil {
		r.zones[name] = &zoneReview{}
	}
	return r.zones[name]
}

// reviewMachines finds the machines to terminate: failed, silent, never joined, or idle.
func (c *Controller) reviewMachines() {
	review := c.reviewZones()
	for _, machine := range c.orderedMachines() {
		_, terminating := c.cache.terminating[machine.id]
		terminating = terminating || c.provisioner.toTerminate[machine.id] != ""
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
}

// isUnrecordedTermination reports whether a machine is gone, still has allocations, and is not
// recorded as terminated: it was terminated while that could not be recorded, or a controller
// that did not know placed tasks on it. All have to learn that those tasks are gone.
func (c *Controller) isUnrecordedTermination(machine *machine, terminating bool) bool {
	return machine.scaling.terminated && len(machine.allocations) > 0 && !terminating && !slices.Contains(c.cache.terminations.Confirmed, machine.id)
}

// reviewZones counts the machines that are heard and that are silent, and looks for
// partitioned zones.
func (c *Controller) reviewZones() *terminationReview {
	silence := config.Seconds(c.operator.values.UnresponsiveS)
	review := &terminationReview{zones: map[string]*zoneReview{}}
	for id, machine := range c.fleet.machines {
		// A machine that is being terminated falls silent, which says nothing about the
		// network.
		if _, terminating := c.cache.terminating[id]; machine.latestHeartbeat == nil || machine.isTerminated() || terminating {
			continue
		}
		review.reporting++
		zone := review.zone(machine.zone)
		zone.lastHeartbeatAt = max(zone.lastHeartbeatAt, machine.liveness.lastHeartbeatAt)
		// Heartbeats may be further apart than the silence that is tolerated: only what was
		// probed and did not answer is silent, or should have been probed by somebody long
		// ago. Where all that had no reason to report counted, a partitioned zone was never
		// seen to be, and with one peer out of hearing no machine was given up.
		switch quiet := c.now.Sub(c.lastSeen(machine)); {
		case quiet <= silence/2:
			zone.responsive++
		case machine.liveness.unansweredProbes > 0 || quiet > c.heartbeatTimeout(machine)+probeGracePeriod:
			zone.silent++
			review.silent++
		}
	}
	c.provisioner.partitions.update(review, silence, c.now)
	// Many are silent at once, and not all peers are heard: it may be this controller that is
	// cut off.
	manySilent := review.silent > minSilentMachines && 2*review.silent > review.reporting
	review.isolationPossible = manySilent && !c.receivesFromAllPeers() ||
		c.isolationSuspected() && (review.silent < review.reporting || !c.receivesFromAllPeers())
	return review
}

// updateIdleTime notes since when a machine has had no tasks and held no headroom.
func (c *Controller) updateIdleTime(machine *machine) {
	if len(machine.allocations) > 0 || machine.scaling.holdsHeadroom || machine.latestHeartbeat == nil || c.runsTasksOfUnreadableJobs(machine) {
		machine.scaling.idleSince = 0
	} else if machine.scaling.idleSince == 0 {
		machine.scaling.idleSince = c.now
	}
}

// runsTasksOfUnreadableJobs reports whether a machine reports tasks whose records cannot be read: it
// may be busy though it has no allocations.
func (c *Controller) runsTasksOfUnreadableJobs(machine *machine) bool {
	return len(c.cache.unreadable) > 0 && slices.ContainsFunc(machine.latestHeartbeat.Tasks, func(status wire.TaskStatus) bool {
		return c.jobUnreadable(status.Task.Job)
	})
}

// terminationReason is why a machine is to be terminated; "" if it is not. The first reason
// that applies counts, and also suppresses those after it while its own bound holds the
// termination back.
func (c *Controller) terminationReason(machine *machine, review *terminationReview) string {
	switch {
	case machine.scaling.status == wire.MachineFailed:
		return reasonFailed
	case machine.latestHeartbeat == nil && machine.scaling.status != wire.MachineRunning && len(machine.allocations) == 0:
		if c.neverJoined(machine) {
			return reasonNeverJoined
		}
	case c.holdsCompletedTasks(machine.id, c.completedTaskTolerance(review.isolationPossible)) && machine.liveness.unansweredCalls >= unreachableThreshold:
		// Tasks of completed jobs must be gone in time, and the machine cannot be told:
		// it is terminated whatever the bounds.
		return reasonHoldsCompletedWork
	case c.silentTooLong(machine, review):
		if c.admitSilentTermination(machine, review) {
			return reasonSilent
		}
	case c.unreachableTooLong(machine) && !review.isolationPossible:
		if c.admitSilentTermination(machine, review) {
			return reasonUnreachable
		}
	case c.idleTooLong(machine):
		return reasonIdle
	}
	return ""
}

// silentTooLong reports whether a machine has been silent for so long that it is given up.
func (c *Controller) silentTooLong(machine *machine, review *terminationReview) bool {
	quiet := c.now.Sub(c.lastSeen(machine))
	tolerance := c.silenceTolerance(machine)
	if quiet <= tolerance || review.isolationPossible {
		return false
	}
	probedInVain := machine.liveness.unansweredProbes >= minUnansweredProbes || c.hadTimeToReport(machine, quiet)
	matters := len(machine.allocations) > 0 || c.now.Sub(machine.scaling.lastListedAt) < forgetMachineAfter
	return probedInVain && !c.zoneMayBePartitioned(machine, review.zone(machine.zone).lastHeartbeatAt, quiet-tolerance) && matters
}

// unreachableTooLong reports whether a machine's heartbeats come, but it hears nothing: its
// lease runs out without anybody noticing.
//
// A machine whose heartbeats do not come either is silent, and may be in a partitioned zone:
// once all machines of such a zone were terminated this way, and later one whose heartbeat
// had come just after the first call that the partition swallowed.
func (c *Controller) unreachableTooLong(machine *machine) bool {
	return machine.unreachable() && machine.liveness.lastHeartbeatAt > machine.liveness.unreachableSince &&
		c.heartbeatsOnTime(machine) && !c.fleet.outboundSuspect &&
		c.now.Sub(machine.liveness.unreachableSince) > config.Seconds(c.settings.Cluster.Workers.LeaseS/2)
}

// idleTooLong reports whether a machine is to be terminated as idle: there is enough headroom,
// and no pending job can use the machine.
func (c *Controller) idleTooLong(machine *machine) bool {
	limit := config.Seconds(c.operator.values.IdleS)
	if machine.scaling.idleSince == 0 || c.provisioner.missingHeadroom != 0 {
		return false
	}
	idle := c.now.Sub(machine.scaling.idleSince)
	return idle > limit && (len(c.provisioner.unmetDemands) == 0 || c.abovePriceLimit(machine) || idle > 2*limit)
}

// hadTimeToReport reports whether a machine that only the records name has had the time to be
// listed, or to be heard by somebody. A provisioner that had just started once gave up dozens
// of machines before it had read the list, while their workers were about to report.
func (c *Controller) hadTimeToReport(machine *machine, quiet time.Duration) bool {
	return machine.addr == "" && c.provisioner.listsSinceElected > 0 &&
		quiet > c.maxHeartbeatInterval()+heartbeatSlack
}

// holdsCompletedTasks reports whether a machine has held tasks of completed jobs for longer
// than tolerance.
func (c *Controller) holdsCompletedTasks(id wire.MachineID, tolerance time.Duration) bool {
	return c.completedTasks.heldLongerThan(id, c.now, tolerance) && c.completedTasksOn(id).recorded
}

// completedTaskTolerance is how long a machine that cannot be told to stop tasks of completed
// jobs may hold them. While this controller may be isolated, others have time to stop them.
func (c *Controller) completedTaskTolerance(isolationPossible bool) time.Duration {
	fraction := completedTaskFraction
	if isolationPossible {
		fraction = completedTaskFractionIsolated
	}
	return config.Seconds(fraction * c.settings.Cluster.Workers.CancelS)
}

// silenceTolerance is how long a machine may be silent before it is given up. A machine that
// hangs often recovers after a while: where no urgent tasks run on it, waiting costs less
// than starting its tasks anew on a machine that has yet to be provisioned.
func (c *Controller) silenceTolerance(machine *machine) time.Duration {
	silence := config.Seconds(c.operator.values.UnresponsiveS)
	workers := &c.settings.Cluster.Workers
	if hasTasksOfPriority(machine, wire.PriorityCritical) {
		if c.provisioner.partitions.silentMachines(machine.zone) >= minPartitionedMachines {
			// A partitioned zone works on, and its workers' leases last for a while: so long
			// none of its tasks are lost, unless the machine is terminated.
			return max(silence, config.Seconds(workers.LeaseS-heartbeatJitter*workers.ReportS))
		}
		return silence
	}
	if machineType := c.machineTypeNamed(machine.machineType); machineType != nil && machineType.Accelerators > 0 {
		if c.isPartitioned(machine.zone) {
			// Machines with accelerators could not be replaced in their zone, and are the
			// scarcest: once the partition is over, they are there with their images.
			return partitionToleranceLeases * config.Seconds(workers.LeaseS)
		}
		// Until all machines of the zone had to report, it may be partitioned.
		silence += config.Seconds(allReportedFactor * workers.ReportS)
	}
	if hasTasksOfPriority(machine, wire.PriorityHigh) {
		return silence
	}
	return max(silence, 2*config.Seconds(workers.ReportS))
}

// hasTasksOfPriority reports whether tasks of a priority are placed on a machine.
func hasTasksOfPriority(machine *machine, priority wire.Priority) bool {
	return slices.ContainsFunc(machine.allocations, func(allocation *Allocation) bool { return allocation.Priority == priority.Level() })
}

// zoneMayBePartitioned reports whether there is no evidence yet that a silent machine fell silent
// by itself: no machine of its zone was heard after it first left a call unanswered. Where
// few machines of a zone are probed early, a partition is seen only once the others should
// have reported; the first of them was terminated meanwhile.
func (c *Controller) zoneMayBePartitioned(machine *machine, zoneHeardAt Time, overdue time.Duration) bool {
	othersReport := config.Seconds(allReportedFactor*c.settings.Cluster.Workers.ReportS) + probeGracePeriod
	return machine.liveness.unansweredCalls > 0 && zoneHeardAt <= machine.liveness.unreachableSince && overdue < othersReport
}

// receivesFromAllPeers reports whether all other live controllers are heard.
func (c *Controller) receivesFromAllPeers() bool {
	for label := range c.cache.liveControllers {
		if label == c.settings.Label {
			continue
		}
		if peer := c.gossip.peers[label]; peer == nil || !peer.isHeard(c.now) {
			return false
		}
	}
	return len(c.cache.liveControllers) > 1
}

// admitSilentTermination bounds how many silent machines are terminated at once.
func (c *Controller) admitSilentTermination(machine *machine, review *terminationReview) bool {
	return c.provisioner.silentTerminations.admit(review.reporting, machine.hasCriticalTasks(), c.now)
}

// markForTermination notes that a machine is to be terminated; recordTerminations records it
// together with others.
func (c *Controller) markForTermination(machine *machine, reason string) {
	c.provisioner.toTerminate[machine.id] = reason
	c.log.Info("machine marked for termination", "machine_id", machine.id, "reason", reason,
		"silent_for", c.now.Sub(c.lastSeen(machine)), "unanswered_calls", machine.liveness.unansweredCalls)
}
