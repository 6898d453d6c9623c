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

// Failure detection. A worker that sends no heartbeats is probed, by one of the
// controllers; one that leaves probes unanswered is unresponsive, and one whose
// heartbeats arrive while calls to it fail is unreachable.
//
// Silence proves nothing of what runs on a machine: the worker may be out of reach of
// this controller alone, it keeps its tasks running until its own lease runs out, and
// this process may have stalled itself. So an unresponsive machine only gets no new
// tasks; its tasks count as exited once a direct heartbeat says so or the machine is
// terminated.

const (
	// heartbeatJitter is the longest interval between two heartbeats, relative to the
	// configured one: workers spread them by a quarter.
	heartbeatJitter = 1.25
	// heartbeatTimeoutFactor is how long a worker may be silent before it is probed,
	// relative to the configured interval.
	heartbeatTimeoutFactor = 1.3
	// criticalProbeAfter is the same where critical tasks run.
	criticalProbeAfter = 1500 * time.Millisecond
	// provisionerProbeDelay is how much later the provisioner probes on its own account.
	provisionerProbeDelay = 500 * time.Millisecond
	// probeInterval is how long a machine is left alone after a probe.
	probeInterval = 900 * time.Millisecond
	// unreachableThreshold is how many direct calls in a row a machine may leave
	// unanswered before it counts as unreachable.
	unreachableThreshold = 2
	// Of the direct calls that may be under way, one in probeCallDivisor is for probes,
	// and one in urgentCallDivisor is kept for commands to machines with critical tasks.
	probeCallDivisor, urgentCallDivisor = 4, 4

	reachabilityProbeAfter      = 500 * time.Millisecond
	reachabilityProbeInterval   = 300 * time.Millisecond
	reachabilityProbeCandidates = 4 // machines with the latest heartbeats, of which one is probed
	isolationSuspectedAfter     = 1500 * time.Millisecond
	isolatedAfter               = 3 * time.Second
)

// lastSeen is when a machine last showed itself. One that has only just become known, or
// that this controller has had no chance to hear yet, as when this process stalled, is
// not silent.
func (c *Controller) lastSeen(machine *machine) Time {
	return max(machine.liveness.lastHeartbeatAt, machine.firstKnownAt, c.membership.readyAt, c.resumedAt, c.fleet.reachableSince)
}

// maxHeartbeatInterval is the longest time between two heartbeats of a healthy worker.
func (c *Controller) maxHeartbeatInterval() time.Duration {
	return config.Seconds(heartbeatJitter * c.settings.Cluster.Workers.ReportS)
}

// defaultHeartbeatTimeout is how long a worker without critical tasks may be silent before
// it is probed.
func (c *Controller) defaultHeartbeatTimeout() time.Duration {
	return config.Seconds(heartbeatTimeoutFactor * c.settings.Cluster.Workers.ReportS)
}

// heartbeatTimeout is how long a worker may be silent before it is probed. Where critical
// tasks run, somebody waits for them at every moment, and heartbeats may be too far apart
// to wait for the next.
func (c *Controller) heartbeatTimeout(machine *machine) time.Duration {
	if machine.hasCriticalTasks() {
		return min(c.defaultHeartbeatTimeout(), criticalProbeAfter)
	}
	return c.defaultHeartbeatTimeout()
}

// hasCriticalTasks reports whether critical tasks are placed on a machine.
func (m *machine) hasCriticalTasks() bool { return m.criticalAllocations > 0 }

// noteHeartbeat notes a heartbeat that is newer than all before.
func (l *liveness) noteHeartbeat(now Time) {
	l.lastHeartbeatAt, l.unansweredProbes = now, 0
}

// resetUnansweredAfterSilence is called when a heartbeat arrives. Calls that a machine left
// unanswered while nothing came from it either do not show that it is unreachable.
func (l *liveness) resetUnansweredAfterSilence(now Time, maxInterval time.Duration) {
	if now.Sub(l.lastHeartbeatAt) > maxInterval+heartbeatSlack {
		l.unansweredCalls = 0
	}
}

// noteCallResult notes whether a worker answered a direct call made at calledAt. One whose
// heartbeats arrive, but which no call reaches, looks healthy while its lease runs out.
// A failure from before reachableSince is this controller's own: it reached no worker.
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

// unreachable reports whether a machine seems not to receive commands: it gets no new
// tasks.
func (m *machine) unreachable() bool { return m.liveness.unansweredCalls >= unreachableThreshold }

// shouldProbe reports whether it is up to this controller to probe a machine: one of the
// live controllers does, chosen by the machine's name, and the provisioner a little later,
// since it must know for itself. While siblings are out of reach, the heartbeats that they
// receive are not gossiped: each controller then probes for itself, or it would take most
// machines for silent after a while, and place nothing on them.
func (c *Controller) shouldProbe(machine *machine, quiet time.Duration) bool {
	if quiet > c.defaultHeartbeatTimeout() && !c.receivesFromAllPeers() {
		return true
	}
	if c.isProvisioner() && quiet > c.heartbeatTimeout(machine)+provisionerProbeDelay {
		return true
	}
	return len(c.ownership.eligible) == 0 || rendezvous.HighestScoring(c.ownership.eligible, string(machine.id)) == c.settings.Label
}

// confirmDirectly probes a machine when a gossiped heartbeat hints at something that this
// controller, as the team's owner, should write down: hints prove nothing.
func (c *Controller) confirmDirectly(machine *machine) {
	if machine.directHeartbeat == machine.latestHeartbeat || !machine.liveness.probeAllowed(c.now) || !c.fleet.canProbe() {
		return
	}
	for _, allocation := range machine.allocations {
		if !c.ownsTeam(allocation.page.team) {
			continue
		}
		for i := range allocation.Tasks.All {
			if c.hintsAtChange(machine, allocation, machine.tasks[allocation.key(i)]) {
				c.probeMachine(machine)
				return
			}
		}
	}
}

// hintsAtChange reports whether a task's status in the latest heartbeat, nil if it is not
// listed, suggests that a direct heartbeat would prove something about its allocation.
func (c *Controller) hintsAtChange(machine *machine, allocation *Allocation, task *wire.TaskStatus) bool {
	if task != nil {
		return task.State == wire.TaskExited
	}
	return allocation.Eviction != record.EvictionNone || c.cache.jobs[allocation.Job] == nil ||
		!c.isAlive(allocation.Launcher) || machine.latestHeartbeat.AgentEpoch > allocation.AgentEpoch
}

// probeAllowed reports whether no probe is under way, and the last one was long enough ago.
func (l *liveness) probeAllowed(now Time) bool { return !l.probing && now >= l.nextProbe }

// canProbe reports whether another machine may be probed now. When hundreds hang, calls
// to them would pile up otherwise, with a socket each.
func (f *fleet) canProbe() bool {
	return f.probesInFlight < max(1, f.maxWorkerCalls/probeCallDivisor)
}

// probeMachines probes machines, as many as may be at a time: those with critical tasks
// first, and of the rest those that were not probed for the longest time. In the order of
// their names, a few that hang were probed over and over while others that hang were never
// found silent.
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
	calledAt := c.now
	c.emit(RequestHeartbeat{call(c, func(response WorkerResponse) {
		machine.liveness.probing = false
		c.fleet.probesInFlight--
		if response.Heartbeat == nil {
			machine.liveness.unansweredProbes++
		}
		machine.liveness.noteCallResult(calledAt, c.fleet.reachableSince, response.Heartbeat != nil)
		c.applyWorkerResponse(machine, response)
	}), machine.addr})
}

// isolated reports whether this controller reaches no workers, though there are some that
// are up: where machines were only just provisioned, or none joins, no controller hears
// any, and if all took that for their own fault none would provision others.
func (c *Controller) isolated() bool {
	return c.membership.ready && c.fleet.machinesUp > 0 && c.sinceDirectHeartbeat() > isolatedAfter
}

// isolationSuspected reports whether no worker has reached this controller for a moment,
// though it probed some that siblings hear: whatever it takes for silent meanwhile, it may
// be the one that is isolated. Once a provisioner gave up hundreds of machines in the time
// that it took to find that out.
func (c *Controller) isolationSuspected() bool {
	return c.sinceDirectHeartbeat() > isolationSuspectedAfter
}

// sinceDirectHeartbeat is for how long no worker has reached this controller, while it was
// ready and not stalled.
func (c *Controller) sinceDirectHeartbeat() time.Duration {
	return c.now.Sub(max(c.fleet.lastDirectHeartbeatAt, c.membership.readyAt, c.resumedAt))
}

// probeOwnReachability probes some worker when none has reached this controller for a
// while: they may all send their heartbeats to others, or this controller may be isolated.
func (c *Controller) probeOwnReachability() {
	if c.now.Sub(max(c.fleet.lastDirectHeartbeatAt, c.membership.readyAt)) < reachabilityProbeAfter || !c.isDue(c.fleet.nextReachabilityProbe) {
		return
	}
	c.fleet.nextReachabilityProbe = c.now.Add(reachabilityProbeInterval)
	if candidates := c.reachabilityCandidates(); len(candidates) > 0 {
		c.probeMachine(candidates[c.rand.IntN(len(candidates))])
	}
}

// reachabilityCandidates is the machines that are most likely to answer a probe, the best
// first: those that answered the last call, and of them those heard last.
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

// compareReachability orders machines by how likely they are to answer a probe. One that
// answered the last call is as good as any other; one that did not may be dead.
func compareReachability(a, b *machine) int {
	return cmp.Or(
		cmp.Compare(a.liveness.unansweredCalls, b.liveness.unansweredCalls),
		-cmp.Compare(a.liveness.lastHeartbeatAt, b.liveness.lastHeartbeatAt))
}
