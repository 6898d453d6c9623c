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

// lastSeen is when a machine last showed itself. One that has only just become
// known, or that we have had no chance to hear yet, as when this process stood
// still itself, is not silent.
func (c *Controller) lastSeen(m *machine) Time {
	return max(m.liveness.lastHeartbeatAt, m.firstKnownAt, c.membership.readyAt, c.resumedAt, c.fleet.reachableSince)
}

// heartbeatTimeout is how long a worker may be silent before it is asked: its reports
// come every so often, give or take a quarter. Where tasks stand that somebody
// waits for at every moment, reports may be too far apart to wait for the next.
func (c *Controller) heartbeatTimeout(m *machine) time.Duration {
	usual := config.Seconds(1.3 * c.settings.Cluster.Workers.ReportS)
	if c.hasCriticalTasks(m) {
		return min(usual, criticalProbeAfter)
	}
	return usual
}

// hasCriticalTasks reports whether critical tasks stand on a machine.
func (c *Controller) hasCriticalTasks(m *machine) bool {
	return c.scheduler.criticalAllocations[m.id] > 0
}

// shouldProbe reports whether it is up to this controller to ask a machine: one of the
// living does, by the machine's name, and the buyer a little later, since it
// must know for itself. While siblings are out of hearing, what they hear is not
// passed on: each then asks for itself, or it would take most machines for
// silent after a while, and place nothing on them.
func (c *Controller) shouldProbe(m *machine, quiet time.Duration) bool {
	if quiet > config.Seconds(1.3*c.settings.Cluster.Workers.ReportS) && !c.allPeersHeard() {
		return true
	}
	if c.cache.provisionerIncarnation == c.membership.incarnation && quiet > c.heartbeatTimeout(m)+provisionerProbeDelay {
		return true
	}
	return len(c.membership.eligibleControllers) == 0 || rendezvous.Highest(c.membership.eligibleControllers, string(m.id)) == c.settings.Label
}

const (
	criticalProbeAfter    = 1500 * time.Millisecond
	provisionerProbeDelay = 500 * time.Millisecond
	// Of the direct calls that may be under way, one in probeCallDivisor is for asking,
	// and one in urgentCallDivisor is kept for orders to machines with critical tasks.
	probeCallDivisor, urgentCallDivisor = 4, 4
)

// tasksByAttempt is a report's tasks. A machine may list an ended attempt beside
// another one of the same task, so the task alone does not name them.
func tasksByAttempt(r *wire.Heartbeat) map[attemptKey]*wire.TaskStatus {
	tasks := make(map[attemptKey]*wire.TaskStatus, len(r.Tasks))
	for i := range r.Tasks {
		t := &r.Tasks[i]
		tasks[attemptKey{t.Task, t.Attempt}] = t
	}
	return tasks
}

// sortedTasks is a heartbeat's tasks in an order that depends on their names alone.
func sortedTasks(heartbeat *wire.Heartbeat) []*wire.TaskStatus {
	tasks := make([]*wire.TaskStatus, len(heartbeat.Tasks))
	for i := range heartbeat.Tasks {
		tasks[i] = &heartbeat.Tasks[i]
	}
	slices.SortFunc(tasks, func(a, b *wire.TaskStatus) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Attempt, b.Attempt))
	})
	return tasks
}

// applyHeartbeat takes a report, got from the worker itself or passed on by a sibling.
func (c *Controller) applyHeartbeat(r *wire.Heartbeat, direct bool) {
	m := c.machine(r.Machine)
	if direct {
		if c.isolationSuspected() {
			c.fleet.reachableSince = c.now
		}
		c.fleet.lastDirectHeartbeat = c.now
		c.gossip.pendingMachines[m.id] = true
	}
	if direct && (m.directHeartbeat == nil || r.Newer(m.directHeartbeat)) {
		if m.directHeartbeat == nil || !sameStatus(m.directHeartbeat, r) {
			m.markForReview()
			c.scheduler.dirty = true
		}
		m.directHeartbeat, m.directTasks, m.liveness.lastDirectAt = r, tasksByAttempt(r), c.now
		for key, since := range m.reconciliation.missingSince {
			if m.directTasks[key] != nil || c.now.Sub(since) > forgetMachineAfter {
				delete(m.reconciliation.missingSince, key)
			}
		}
	}
	if m.latestHeartbeat != nil && !r.Newer(m.latestHeartbeat) {
		return
	}
	before, first := m.tasks, m.latestHeartbeat == nil
	// A report that only says that the machine is still there changes no plan.
	c.scheduler.dirty = c.scheduler.dirty || first || !sameStatus(m.latestHeartbeat, r) || !c.heartbeatsOnTime(m)
	c.resetUnansweredAfterSilence(m)
	m.latestHeartbeat, m.tasks, m.liveness.lastHeartbeatAt, m.liveness.unansweredRequests = r, tasksByAttempt(r), c.now, 0
	m.addr, m.machineType, m.zone, m.spot = r.Addr, r.Type, r.Zone, r.Spot
	if first {
		c.noteJoined(m)
	}
	m.scaling.preemptionAt = 0
	if r.PreemptionNoticeS != nil {
		m.scaling.preemptionAt = c.now.Add(time.Duration(*r.PreemptionNoticeS * float64(time.Second)))
	}
	pulling := map[string]bool{}
	// In a fixed order: what one exit says of a job decides what the next says of the
	// machine, so in the order of the map the same heartbeat quarantined it or not.
	for _, t := range sortedTasks(r) {
		id := attemptKey{t.Task, t.Attempt}
		if m.tasks[id] != t {
			continue // listed twice: the last counts
		}
		if j := c.cache.jobs[id.task.Job]; j != nil && t.State == wire.TaskPulling {
			pulling[j.spec.Image] = true
		}
		if j := c.cache.jobs[id.task.Job]; j != nil && (t.State == wire.TaskRunning || t.State == wire.TaskWaiting) {
			c.noteImageUse(m, j.spec.Image)
			if !j.started {
				c.log.Debug("job started", "job", j.id, "class", j.spec.Class, "after_s", float64(c.wall-j.acceptedAt)/1000)
				j.started = true
				c.metrics.observe(latencyJobStart, time.Duration(max(0, c.wall-j.acceptedAt))*time.Millisecond)
			}
		}
		if j := c.cache.jobs[id.task.Job]; j != nil && j.crashLoop.consecutiveBackoffs > 0 && t.State == wire.TaskRunning {
			c.noteCanaryRunning(j)
		}
		if old := before[id]; t.State == wire.TaskExited && (old == nil || old.State != wire.TaskExited) {
			c.noteTaskExit(m, t)
		}
	}
	m.images.pulling = len(pulling)
	if !direct && c.membership.ready {
		c.confirmDirectly(m)
	}
}

// resetUnansweredAfterSilence is called when a machine is heard. What it left unanswered while
// nothing came from it either does not show that it hears nothing.
func (c *Controller) resetUnansweredAfterSilence(m *machine) {
	if c.now.Sub(m.liveness.lastHeartbeatAt) > config.Seconds(1.25*c.settings.Cluster.Workers.ReportS)+heartbeatSlack {
		m.liveness.unansweredCalls = 0
	}
}

// applyUnchangedHeartbeat takes a sibling's word that a machine reported what it had
// reported before.
func (c *Controller) applyUnchangedHeartbeat(h *wire.UnchangedHeartbeat) {
	m := c.fleet.machines[h.Machine]
	if m == nil || m.latestHeartbeat == nil || m.latestHeartbeat.AgentEpoch != h.AgentEpoch || m.latestHeartbeat.Sequence >= h.Sequence {
		return
	}
	c.resetUnansweredAfterSilence(m)
	r := *m.latestHeartbeat
	r.Sequence, r.Token = h.Sequence, h.Token
	m.latestHeartbeat, m.liveness.lastHeartbeatAt, m.liveness.unansweredRequests = &r, c.now, 0
	if c.membership.ready {
		c.confirmDirectly(m)
	}
}

// confirmDirectly asks a machine itself when a passed-on report hints at something that
// this controller, as its owner, should write down: hints prove nothing.
func (c *Controller) confirmDirectly(m *machine) {
	if m.liveness.requesting || m.directHeartbeat == m.latestHeartbeat || !c.isDue(m.liveness.nextRequest) || !c.canProbe() {
		return
	}
	for _, e := range m.allocations {
		if !c.ownsTeam(e.page.team) {
			continue
		}
		for i := range e.Tasks.All {
			t := m.tasks[e.key(i)]
			if t == nil && (e.Eviction != record.EvictionNone || c.cache.jobs[e.Job] == nil || !c.isAlive(e.Launcher) || m.latestHeartbeat.AgentEpoch > e.AgentEpoch) ||
				t != nil && t.State == wire.TaskExited {
				c.probeMachine(m)
				return
			}
		}
	}
}

// canProbe reports whether another machine may be asked now. When hundreds hang,
// calls to them would pile up otherwise, with a socket each.
func (c *Controller) canProbe() bool {
	return c.fleet.heartbeatRequestsInFlight < max(1, c.fleet.maxWorkerCalls/probeCallDivisor)
}

// probeMachines asks machines for their reports, as many as may be asked at a time:
// those with critical tasks first, and of the rest those that were not asked for the
// longest time. In the order of their names, a few that hang were asked over and over
// while others that hang were never found silent.
func (c *Controller) probeMachines(due []*machine) {
	if len(due) == 0 || !c.canProbe() {
		return
	}
	slices.SortStableFunc(due, func(a, b *machine) int {
		if critical := c.hasCriticalTasks(a); critical != c.hasCriticalTasks(b) {
			if critical {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.liveness.nextRequest, b.liveness.nextRequest)
	})
	for _, m := range due {
		if !c.canProbe() {
			return
		}
		c.probeMachine(m)
	}
}

// probeMachine asks a worker for its report.
func (c *Controller) probeMachine(m *machine) {
	m.liveness.requesting = true
	m.liveness.nextRequest = c.now.Add(heartbeatRequestInterval)
	c.fleet.heartbeatRequestsInFlight++
	c.metrics.count(countProbes, 1)
	asked := c.now
	c.emit(RequestHeartbeat{call(c, func(a WorkerResponse) {
		m.liveness.requesting = false
		c.fleet.heartbeatRequestsInFlight--
		if a.Heartbeat == nil {
			m.liveness.unansweredRequests++
		}
		c.notePingResult(m, asked, a)
		c.applyWorkerResponse(m, a)
	}), m.addr})
}

// notePingResult notes whether a worker answers what it is asked. One whose reports
// arrive, but which nothing reaches, looks well while its lease runs out.
func (c *Controller) notePingResult(m *machine, asked Time, a WorkerResponse) {
	if a.Heartbeat != nil {
		m.liveness.unansweredCalls = 0
		return
	}
	if asked < c.fleet.reachableSince {
		return // it was us
	}
	if m.liveness.unansweredCalls == 0 || m.liveness.unreachableSince < c.fleet.reachableSince {
		m.liveness.unreachableSince, m.liveness.unansweredCalls = asked, 0
	}
	m.liveness.unansweredCalls++
}

// unreachable reports whether a machine seems not to hear what it is told: it gets
// no new work.
func (m *machine) unreachable() bool { return m.liveness.unansweredCalls >= unreachableThreshold }

// unreachableThreshold is how many direct calls in a row a machine may leave unanswered
// before it counts as one that does not hear.
const unreachableThreshold = 2

// applyWorkerResponse takes a worker's own answer to /do or /show.
func (c *Controller) applyWorkerResponse(m *machine, a WorkerResponse) {
	if a.Heartbeat == nil || a.Heartbeat.Machine != m.id {
		return
	}
	c.applyHeartbeat(a.Heartbeat, true)
	if a.Heartbeat.Token > c.cache.token {
		c.readBarrier(func(bool) {})
	}
}

// isolated reports whether this controller reaches no workers, though there are some
// that are up: where machines were only just rented, or none comes up, nobody hears
// any, and if all took that for their own fault nobody would rent others.
func (c *Controller) isolated() bool {
	return c.membership.ready && c.fleet.machinesUp > 0 && c.now.Sub(max(c.fleet.lastDirectHeartbeat, c.membership.readyAt, c.resumedAt)) > isolatedAfter
}

// isolationSuspected reports whether no worker has spoken to this controller for a moment,
// though it asked some that siblings hear: whatever it takes for silent
// meanwhile, it may be the one that is cut off. Once a buyer gave up hundreds of
// machines in the time that it took to find that out.
func (c *Controller) isolationSuspected() bool {
	return c.now.Sub(max(c.fleet.lastDirectHeartbeat, c.membership.readyAt, c.resumedAt)) > isolationSuspectedAfter
}

const (
	reachabilityProbeAfter      = 500 * time.Millisecond
	reachabilityProbeEvery      = 300 * time.Millisecond
	reachabilityProbeCandidates = 4 // machines heard last, of which one is asked
	isolationSuspectedAfter     = 1500 * time.Millisecond
	isolatedAfter               = 3 * time.Second
)

// probeOwnReachability asks some worker for its report when none has spoken to us for a while:
// they may all report to others, or we may be cut off.
func (c *Controller) probeOwnReachability() {
	if c.now.Sub(max(c.fleet.lastDirectHeartbeat, c.membership.readyAt)) < reachabilityProbeAfter || !c.isDue(c.fleet.nextReachabilityProbe) {
		return
	}
	c.fleet.nextReachabilityProbe = c.now.Add(reachabilityProbeEvery)
	var known []*machine // the ones heard last, in order
	for _, m := range c.orderedMachines() {
		if m.addr == "" || m.scaling.terminated || m.liveness.requesting || c.now.Sub(m.liveness.lastHeartbeatAt) >= forgetMachineAfter || m.latestHeartbeat == nil {
			continue
		}
		// One that answers is as good as any other; one that did not may be dead.
		i, _ := slices.BinarySearchFunc(known, m, func(a, b *machine) int {
			return cmp.Or(cmp.Compare(a.liveness.unansweredCalls, b.liveness.unansweredCalls), -cmp.Compare(a.liveness.lastHeartbeatAt, b.liveness.lastHeartbeatAt))
		})
		if i < reachabilityProbeCandidates {
			known = slices.Insert(known, i, m)
			known = known[:min(len(known), reachabilityProbeCandidates)]
		}
	}
	if len(known) > 0 {
		c.probeMachine(known[c.rand.IntN(len(known))])
	}
}
