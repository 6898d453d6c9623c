package controller

import (
	"log/slog"
	"slices"
	"time"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// The leader for scaling terminates machines that are silent. Their tasks may be placed elsewhere
// only after that, so each reason for which a silent machine with tasks is kept has to pass.

const (
	// minUnansweredProbes is how many consecutive probes a silent machine must leave
	// unanswered before it is terminated.
	minUnansweredProbes = 2
	// minPartitionedMachines is how many machines of a partitioned zone must be silent for
	// those with critical tasks to be given more time.
	minPartitionedMachines = 5
	// partitionToleranceLeases is how long machines with accelerators in a partitioned zone
	// may be silent before they are terminated, in leases of their workers (lease_s).
	partitionToleranceLeases = 3
	// allReportedFactor times the heartbeat interval (report_s) is the time after which every
	// healthy machine has sent a heartbeat.
	allReportedFactor = 1.3
	// maxListLagFactor is the longest lag of a machine list as a multiple of the usual one
	// (list_lag_s).
	maxListLagFactor = 2
	// retainedLogInterval is the shortest time between two log lines about silent machines that
	// are kept.
	retainedLogInterval = 10 * time.Second
)

// retentionReason is why a machine that has been silent for longer than is tolerated is not
// terminated yet.
type retentionReason string

// The reasons of retentionReason, as they appear in the log.
const (
	retainedByIsolation retentionReason = "isolation_possible" // this controller may be cut off
	retainedByProbes    retentionReason = "probes_outstanding" // it has not left enough probes unanswered
	retainedByPartition retentionReason = "partition_possible" // its zone may be partitioned
	retainedByLimit     retentionReason = "termination_limit"  // too many silent machines were terminated just now
)

// retainedMachines summarizes the silent machines with tasks that a review did not mark for
// termination.
type retainedMachines struct {
	count         map[retentionReason]int
	longestSilent *machine
	silence       time.Duration   // of longestSilent
	reason        retentionReason // of longestSilent
}

// add adds a silent machine that is kept, unless it has no tasks.
func (r *retainedMachines) add(machine *machine, reason retentionReason, silence time.Duration) {
	if len(machine.allocations) == 0 {
		return
	}
	r.count[reason]++
	if silence > r.silence {
		r.longestSilent, r.silence, r.reason = machine, silence, reason
	}
}

// logRetainedMachines logs how many silent machines with tasks were kept in a review and why, with
// what is known of the one that has been silent the longest.
func (c *Controller) logRetainedMachines(retained *retainedMachines) {
	machine := retained.longestSilent
	if machine == nil || !c.isDue(c.provisioner.nextRetainedLog) {
		return
	}
	c.provisioner.nextRetainedLog = c.now.Add(retainedLogInterval)
	var counts []any
	for _, reason := range sortedKeys(retained.count) {
		counts = append(counts, string(reason), retained.count[reason])
	}
	c.log.Info("silent machines with tasks kept", slog.Group("machines", counts...),
		"longest_silent", machine.id, "silent_for", retained.silence, "kept_for", retained.reason,
		"cloud_status", machine.scaling.status, "listed_ago", c.now.Sub(machine.scaling.lastListedAt),
		"address_known", machine.addr != "", "heartbeat_known", machine.latestHeartbeat != nil,
		"unanswered_probes", machine.liveness.unansweredProbes, "unanswered_calls", machine.liveness.unansweredCalls)
}

// silence returns how long a machine has been silent.
func (c *Controller) silence(machine *machine) time.Duration { return c.now.Sub(c.lastSeen(machine)) }

// silentTooLong reports whether a machine has been silent for so long that it is terminated.
func (c *Controller) silentTooLong(machine *machine, review *terminationReview) bool {
	quiet := c.silence(machine)
	tolerance := c.silenceTolerance(machine)
	if quiet <= tolerance {
		return false
	}
	if reason := c.retentionReason(machine, review, quiet, tolerance); reason != "" {
		review.retained.add(machine, reason, quiet)
		return false
	}
	return len(machine.allocations) > 0 || c.now.Sub(machine.scaling.lastListedAt) < forgetMachineAfter
}

// retentionReason returns why a machine that has been silent for the time quiet, longer than the
// tolerance, is not terminated yet, or "" if nothing speaks against it.
func (c *Controller) retentionReason(machine *machine, review *terminationReview, quiet, tolerance time.Duration) retentionReason {
	switch {
	case review.isolationPossible:
		return retainedByIsolation
	case machine.liveness.unansweredProbes < minUnansweredProbes && !c.hadTimeToReport(machine, quiet):
		return retainedByProbes
	case c.zoneMayBePartitioned(machine, review.zone(machine.zone).lastHeartbeatAt, quiet-tolerance):
		return retainedByPartition
	}
	return ""
}

// hadTimeToReport reports whether a machine that cannot be probed, since its address is not known,
// has had time to appear in the machine list, or to send a heartbeat to any controller. Without this
// check, a provisioner that has just started could terminate dozens of machines before it has
// read the list, while their workers are about to send heartbeats.
func (c *Controller) hadTimeToReport(machine *machine, quiet time.Duration) bool {
	return machine.addr == "" && c.hadTimeToBeListed(machine) && quiet > c.maxHeartbeatInterval()+heartbeatSlack
}

// hadTimeToBeListed reports whether a list was read that should contain a machine, if it exists. The
// heartbeats of a machine that this controller has provisioned may all reach another controller, whose
// messages do not arrive, so until such a list nothing shows whether the machine is gone.
func (c *Controller) hadTimeToBeListed(machine *machine) bool {
	if machine.scaling.launchedAt == 0 {
		return c.provisioner.listsSinceElected > 0
	}
	maxLag := config.Seconds(maxListLagFactor * c.settings.Cluster.Cloud.ListLagS)
	return c.provisioner.lastListAt.Sub(machine.scaling.launchedAt) > maxLag
}

// silenceTolerance returns how long a machine may be silent before it is terminated. A
// machine that hangs often recovers after a while. Unless urgent tasks run on it, waiting
// costs less than restarting its tasks on a machine that has yet to be provisioned.
func (c *Controller) silenceTolerance(machine *machine) time.Duration {
	silence := config.Seconds(c.operator.values.UnresponsiveS)
	workers := &c.settings.Cluster.Workers
	if hasTasksOfPriority(machine, wire.PriorityCritical) {
		if c.provisioner.partitions.silentMachines(machine.zone) >= minPartitionedMachines {
			// Tasks in a partitioned zone continue to run until the leases of their workers
			// run out. Until then none of them is lost unless its machine is terminated.
			return max(silence, config.Seconds(workers.LeaseS-heartbeatIntervalFactor*workers.ReportS))
		}
		return silence
	}
	if machineType := c.machineTypeNamed(machine.machineType); machineType != nil && machineType.Accelerators > 0 {
		if c.isPartitioned(machine.zone) {
			// Machines with accelerators are the scarcest and cannot be replaced in a
			// partitioned zone. Once the partition ends, they are available again with their
			// images.
			return partitionToleranceLeases * config.Seconds(workers.LeaseS)
		}
		// Until every machine of the zone should have sent a heartbeat, the zone may be
		// partitioned without having been detected as such.
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

// zoneMayBePartitioned reports whether a silent machine's zone may be partitioned: no machine
// of the zone has sent a heartbeat since this machine first left a call unanswered, and the
// others may not have been due to send one. Where few machines of a zone are probed early, a
// partition is detected only once the heartbeats of the others are overdue. Without this
// check, the machines probed first would be terminated before that.
func (c *Controller) zoneMayBePartitioned(machine *machine, lastZoneHeartbeatAt Time, overdue time.Duration) bool {
	othersReport := config.Seconds(allReportedFactor*c.settings.Cluster.Workers.ReportS) + probeGracePeriod
	return machine.liveness.unansweredCalls > 0 && lastZoneHeartbeatAt <= machine.liveness.unreachableSince && overdue < othersReport
}

// admitSilentTermination reports whether the limit on terminations of silent machines admits
// one more, and counts it if so.
func (c *Controller) admitSilentTermination(machine *machine, review *terminationReview) bool {
	return c.provisioner.silentTerminations.admit(review.reporting, machine.hasCriticalTasks(), c.now)
}
