package controller

import (
	"cmp"
	"slices"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/internal/rendezvous"
	"lilacrill/wire"
)

// Failure detection. One of the controllers probes a worker that sends no heartbeats. A
// machine that leaves probes unanswered is unresponsive. A machine whose heartbeats arrive
// while direct calls to it fail is unreachable.
//
// Missing heartbeats do not show that the tasks on a machine have exited. The worker may be
// unreachable from this controller only, it keeps its tasks running until its lease expires,
// and this process may have been stalled. An unresponsive machine therefore only gets no new
// tasks. Its tasks count as exited once a direct heartbeat reports their exit or the machine
// is terminated.

const (
	// heartbeatIntervalFactor is the longest interval between two heartbeats as a multiple of
	// the configured one (report_s). Workers vary the interval by up to a quarter.
	heartbeatIntervalFactor = 1.25
	// heartbeatTimeoutFactor determines how long a worker may send no heartbeat before it
	// is probed, as a multiple of the configured heartbeat interval.
	heartbeatTimeoutFactor = 1.3
	// criticalHeartbeatTimeout bounds the same time for machines with critical tasks.
	criticalHeartbeatTimeout = 1500 * time.Millisecond
	// provisionerProbeDelay is how long the provisioner waits beyond the heartbeat timeout
	// before it probes a machine that another controller is responsible for probing.
	provisionerProbeDelay = 500 * time.Millisecond
	// probeInterval is the shortest time between two probes of a machine.
	probeInterval = 900 * time.Millisecond
	// unreachableThreshold is the number of consecutive unanswered direct calls after
	// which a machine counts as unreachable.
	unreachableThreshold = 2
	// probeCallDivisor reserves one in so many of the concurrent direct calls for probes.
	// criticalCallDivisor reserves one in so many of the others for commands to machines
	// with critical tasks.
	probeCallDivisor, criticalCallDivisor = 4, 4

	reachabilityProbeAfter      = 500 * time.Millisecond
	reachabilityProbeInterval   = 300 * time.Millisecond
	reachabilityProbeCandidates = 4 // machines likely to answer, of which a random one is probed
	isolationSuspectedAfter     = 1500 * time.Millisecond
	isolatedAfter               = 3 * time.Second
)

// lastSeen returns the time from which a machine's silence is counted: its last heartbeat,
// or a later time before which this controller could not have received one. A machine that
// has just become known is not silent, nor is any machine just after this process stalled.
func (c *Controller) lastSeen(machine *machine) Time {
	return max(machine.liveness.lastHeartbeatAt, machine.firstKnownAt, c.membership.readyAt, c.resumedAt, c.fleet.reachableSince)
}

// maxHeartbeatInterval returns the longest time between two heartbeats of a healthy worker.
func (c *Controller) maxHeartbeatInterval() time.Duration {
	return config.Seconds(heartbeatIntervalFactor * c.settings.Cluster.Workers.ReportS)
}

// defaultHeartbeatTimeout returns how long a worker without critical tasks may send no
// heartbeat before it is probed.
func (c *Controller) defaultHeartbeatTimeout() time.Duration {
	return config.Seconds(heartbeatTimeoutFactor * c.settings.Cluster.Workers.ReportS)
}

// heartbeatTimeout returns how long a worker may send no heartbeat before it is probed.
// Critical tasks are needed at every moment, so the failure of their machine must be detected
// quickly, and the next heartbeat may be too far off for that.
func (c *Controller) heartbeatTimeout(machine *machine) time.Duration {
	if machine.hasCriticalTasks() {
		return min(c.defaultHeartbeatTimeout(), criticalHeartbeatTimeout)
	}
	return c.defaultHeartbeatTimeout()
}

// hasCriticalTasks reports whether critical tasks are placed on the machine.
func (m *machine) hasCriticalTasks() bool { return m.criticalAllocations > 0 }

// noteHeartbeat records the arrival of a heartbeat that is newer than all before.
func (l *liveness) noteHeartbeat(now Time) {
	l.lastHeartbeatAt, l.unansweredProbes = now, 0
}

// resetUnansweredAfterSilence resets the count of unanswered calls if a heartbeat that has
// just arrived ends a longer silence. Calls that went unanswered while no heartbeats arrived
// either do not show that the machine is unreachable.
func (l *liveness) resetUnansweredAfterSilence(now Time, maxInterval time.Duration) {
	if now.Sub(l.lastHeartbeatAt) > maxInterval+heartbeatSlack {
		l.unansweredCalls = 0
	}
}

// noteCallResult records whether a worker answered a direct call made at calledAt. A worker
// whose heartbeats arrive but which no call reaches looks healthy while its lease expires.
// Failed calls from before reachableSince are ignored, since this controller reached no
// worker then.
func (l *liveness) noteCallResult(calledAt, reachableSince Time, answered bool) {
	if answered {
		l.unansweredCalls = 0
		return
	}
	if calledAt < reachableSince {
		return
	}
	if l.unansweredCalls == 0 || l.unreachableSince < reachableSince {
		l.unreachableSince, l.unansweredCalls = calledAt, 0
	}
	l.unansweredCalls++
}

// unreachable reports whether the machine seems not to receive direct calls. An unreachable
// machine gets no new tasks.
func (m *machine) unreachable() bool { return m.liveness.unansweredCalls >= unreachableThreshold }

// shouldProbe reports whether this controller is responsible for probing a machine from which
// no heartbeat has come for the given time. One live controller is chosen by the machine's
// name. The provisioner also probes, a little later, because it terminates silent machines by
// the results of its own probes. While no messages of a peer arrive, the heartbeats that the
// peer receives are not gossiped to this controller. This controller then probes every machine
// itself, since it would otherwise regard most machines as silent after a while and place no
// tasks on them.
func (c *Controller) shouldProbe(machine *machine, quiet time.Duration) bool {
	if quiet > c.defaultHeartbeatTimeout() && !c.receivesFromAllPeers() {
		return true
	}
	if c.isProvisioner() && quiet > c.heartbeatTimeout(machine)+provisionerProbeDelay {
		return true
	}
	return len(c.ownership.eligible) == 0 || rendezvous.HighestScoring(c.ownership.eligible, string(machine.id)) == c.settings.Label
}

// probeToConfirm probes a machine if a gossiped heartbeat suggests a change that this
// controller, as the owner of the team, has to commit. A gossiped heartbeat does not suffice
// for that, since it may be out of date.
func (c *Controller) probeToConfirm(machine *machine) {
	if machine.directHeartbeat == machine.latestHeartbeat || !machine.liveness.probeAllowed(c.now) || !c.fleet.canProbe() {
		return
	}
	for _, allocation := range machine.allocations {
		if !c.ownsTeam(allocation.page.team) {
			continue
		}
		for i := range allocation.Tasks.All {
			if c.needsDirectHeartbeat(machine, allocation, machine.tasks[allocation.key(i)]) {
				c.probeMachine(machine)
				return
			}
		}
	}
}

// needsDirectHeartbeat reports whether a direct heartbeat may prove that an allocation has to
// change. task is the task's status in the latest heartbeat, or nil if the heartbeat does not
// list it.
func (c *Controller) needsDirectHeartbeat(machine *machine, allocation *Allocation, task *wire.TaskStatus) bool {
	if task != nil {
		return task.State == wire.TaskExited
	}
	return allocation.Eviction != record.EvictionNone || c.cache.jobs[allocation.Job] == nil ||
		!c.isAlive(allocation.Launcher) || machine.latestHeartbeat.AgentEpoch > allocation.AgentEpoch
}

// probeAllowed reports whether no probe is under way and the last probe was long enough ago.
func (l *liveness) probeAllowed(now Time) bool { return !l.probing && now >= l.nextProbe }

// canProbe reports whether another machine may be probed now. Without this bound, calls to
// hundreds of hanging machines would accumulate, each with a socket of its own.
func (f *fleet) canProbe() bool {
	return f.probesInFlight < max(1, f.maxWorkerCalls/probeCallDivisor)
}

// probeMachines probes the machines that are due, up to the limit on concurrent probes.
// Machines with critical tasks come first, then those that have not been probed for the
// longest time. In the order of their names, the same few hanging machines would be probed
// over and over, and other hanging machines would never be found silent.
func (c *Controller) probeMachines(due []*machine) {
	if len(due) == 0 || !c.fleet.canProbe() {
		return
	}
	slices.SortStableFunc(due, func(a, b *machine) int {
		if critical := a.hasCriticalTasks(); critical != b.hasCriticalTasks() {
			if critical {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.liveness.nextProbe, b.liveness.nextProbe)
	})
	for _, machine := range due {
		if !c.fleet.canProbe() {
			return
		}
		c.probeMachine(machine)
	}
}

// probeMachine requests a heartbeat from a worker.
func (c *Controller) probeMachine(machine *machine) {
	machine.liveness.probing = true
	machine.liveness.nextProbe = c.now.Add(probeInterval)
	c.fleet.probesInFlight++
	c.metrics.count(countProbes, 1)
	calledAt, known := c.now, machine.latestHeartbeat
	c.emit(RequestHeartbeat{registerCall(c, func(response WorkerResponse) {
		machine.liveness.probing = false
		c.fleet.probesInFlight--
		if !c.handleWorkerResponse(machine, calledAt, known, response) {
			machine.liveness.unansweredProbes++
		}
	}), machine.addr})
}

// isolated reports whether this controller receives no direct heartbeats although some
// machines are up. While all machines are newly provisioned, or none of them joins, no
// controller receives heartbeats. If all controllers then considered themselves isolated,
// none would provision further machines.
func (c *Controller) isolated() bool {
	return c.membership.ready && c.fleet.machinesUp > 0 && c.sinceDirectHeartbeat() > isolatedAfter
}

// isolationSuspected reports whether this controller has received no direct heartbeat for a
// short while, although it probes machines that peers receive heartbeats from. Machines that
// appear silent meanwhile may be healthy. Without this check, an isolated provisioner could
// terminate hundreds of machines before it detects its own isolation.
func (c *Controller) isolationSuspected() bool {
	return c.sinceDirectHeartbeat() > isolationSuspectedAfter
}

// sinceDirectHeartbeat returns the time without a direct heartbeat during which this
// controller was ready and not stalled.
func (c *Controller) sinceDirectHeartbeat() time.Duration {
	return c.now.Sub(max(c.fleet.lastDirectHeartbeatAt, c.membership.readyAt, c.resumedAt))
}

// probeOwnReachability probes a worker if no direct heartbeat has arrived for a while. Either
// all workers send their heartbeats to other controllers, or this controller is isolated. The
// response to the probe, or its absence, distinguishes the two cases.
func (c *Controller) probeOwnReachability() {
	if c.now.Sub(max(c.fleet.lastDirectHeartbeatAt, c.membership.readyAt)) < reachabilityProbeAfter || !c.isDue(c.fleet.nextReachabilityProbe) {
		return
	}
	c.fleet.nextReachabilityProbe = c.now.Add(reachabilityProbeInterval)
	if candidates := c.reachabilityCandidates(); len(candidates) > 0 {
		c.probeMachine(candidates[c.rand.IntN(len(candidates))])
	}
}

// reachabilityCandidates returns the machines that are most likely to answer a probe, the
// likeliest first. Machines that answered the last call come first, and among them those with
// the latest heartbeats.
func (c *Controller) reachabilityCandidates() []*machine {
	var candidates []*machine
	for _, machine := range c.orderedMachines() {
		if machine.addr == "" || machine.scaling.terminated || machine.liveness.probing || machine.latestHeartbeat == nil ||
			c.now.Sub(machine.liveness.lastHeartbeatAt) >= forgetMachineAfter {
			continue
		}
		i, _ := slices.BinarySearchFunc(candidates, machine, compareReachability)
		if i < reachabilityProbeCandidates {
			candidates = slices.Insert(candidates, i, machine)
			candidates = candidates[:min(len(candidates), reachabilityProbeCandidates)]
		}
	}
	return candidates
}

// compareReachability orders machines by how likely they are to answer a probe. Machines that
// answered the last call differ only in the age of their heartbeats, and a machine that did
// not answer may be dead.
func compareReachability(a, b *machine) int {
	return cmp.Or(
		cmp.Compare(a.liveness.unansweredCalls, b.liveness.unansweredCalls),
		-cmp.Compare(a.liveness.lastHeartbeatAt, b.liveness.lastHeartbeatAt))
}
