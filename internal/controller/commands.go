package controller

import (
	"time"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// admitCommands reports whether a machine may be told its orders now; if not, it is
// once other calls are over.
func (c *Controller) admitCommands(m *machine) bool {
	most := c.fleet.maxWorkerCalls - c.fleet.maxWorkerCalls/probeCallDivisor
	urgent := c.hasCriticalTasks(m)
	if !urgent {
		most -= most / urgentCallDivisor
	}
	if c.fleet.commandCallsInFlight < max(1, most) {
		return true
	}
	if !m.reconciliation.queued {
		m.reconciliation.queued = true
		if urgent {
			c.fleet.queuedUrgentCommands = append(c.fleet.queuedUrgentCommands, m)
		} else {
			c.fleet.queuedCommands = append(c.fleet.queuedCommands, m)
		}
	}
	return false
}

// sendQueuedCommands sends the orders of machines that waited for other calls to end.
func (c *Controller) sendQueuedCommands() {
	for _, held := range []*[]*machine{&c.fleet.queuedUrgentCommands, &c.fleet.queuedCommands} {
		for len(*held) > 0 {
			m := (*held)[0]
			m.reconciliation.queued = false
			*held = (*held)[1:]
			c.sendCommandsNow(m)
			if m.reconciliation.queued {
				return // it is in line again: too many are still under way
			}
		}
	}
}

// commandRetryInterval is how long commands to a machine are left to take effect.
const commandRetryInterval = time.Second

// maxCommands keeps an answer to a worker under the protocol's 64 KiB.
const maxCommands = 400

func gracePeriod(s float64) *float64 { return &s }

// commandsFor says what a machine has to be told, going by its newest report and
// the records.
func (c *Controller) commandsFor(m *machine) []wire.Command {
	var orders []wire.Command
	r := m.latestHeartbeat
	m.reconciliation.launchDeferred = false
	for _, e := range m.allocations {
		if e.AgentEpoch != r.AgentEpoch {
			continue
		}
		j := c.cache.jobs[e.Job]
		for i := range e.Tasks.All {
			if len(orders) >= maxCommands {
				return orders
			}
			id := wire.TaskID{Job: e.Job, Index: i}
			t := m.tasks[e.key(i)]
			switch {
			case t == nil:
				// Only the recorded launcher launches, and after a take-over only
				// when the worker has seen the token that fences off the one before.
				if j == nil || e.Eviction != record.EvictionNone || e.Launcher != c.membership.incarnation || r.Token < e.Fence {
					continue
				}
				// A launch while it may have been withdrawn unknown to us would start it
				// after its user was told.
				if !c.canLaunch() || c.defersGangLaunch(m, e, j) {
					m.reconciliation.launchDeferred = true
					continue
				}
				orders = append(orders, wire.Command{Verb: wire.VerbLaunch, Task: id, Attempt: e.Attempt})
			case t.State == wire.TaskExited:
			case j == nil || e.Eviction == record.EvictionImmediate:
				orders = append(orders, wire.Command{Verb: wire.VerbStop, Task: id, Attempt: e.Attempt, GracePeriodS: gracePeriod(0)})
			case e.Eviction == record.EvictionGraceful && t.State != wire.TaskCheckpointing:
				orders = append(orders, wire.Command{Verb: wire.VerbStop, Task: id, Attempt: e.Attempt, GracePeriodS: gracePeriod(j.spec.CheckpointSaveS + checkpointMarginS)})
			}
		}
	}
	return orders
}

const (
	// checkpointMarginS is granted on top of what a job says it needs to save.
	checkpointMarginS = 3.0
	// orphanGracePeriod is how long a task without a record may be reported before
	// it is stopped: the record may be on its way to us.
	orphanGracePeriod = 5 * time.Second
)

// cleanupCommands says which ended tasks a machine may forget. A cleared attempt would
// start again if a launch of it were still under way, so first its entry must
// be gone from the records, then the token raised, and then the worker must
// have seen that token: no launch sent before can pass it, and no controller
// that knows it sends one.
func (c *Controller) cleanupCommands(m *machine) []wire.Command {
	var orders []wire.Command
	recorded := map[attemptKey]bool{}
	for _, e := range m.allocations {
		for i := range e.Tasks.All {
			recorded[e.key(i)] = true
		}
	}
	seen := map[attemptKey]bool{}
	var fresh []attemptKey
	for i := range m.latestHeartbeat.Tasks {
		t := &m.latestHeartbeat.Tasks[i]
		key := attemptKey{t.Task, t.Attempt}
		if recorded[key] || c.jobUnreadable(t.Task.Job) {
			continue
		}
		seen[key] = true
		if t.State != wire.TaskExited {
			if _, over := c.completion(t.Task.Job); over && len(orders) < maxCommands {
				orders = append(orders, wire.Command{Verb: wire.VerbStop, Task: t.Task, Attempt: t.Attempt, GracePeriodS: gracePeriod(0)})
				continue
			}
			since, ok := m.reconciliation.orphanTasks[key]
			if !ok {
				m.reconciliation.orphanTasks[key] = c.now
			} else if c.cacheComplete() && c.storeReachable() && c.now.Sub(max(since, c.resumedAt)) > orphanGracePeriod && len(orders) < maxCommands {
				orders = append(orders, wire.Command{Verb: wire.VerbStop, Task: t.Task, Attempt: t.Attempt, GracePeriodS: gracePeriod(0)})
			}
			continue
		}
		without, ok := m.reconciliation.pendingCleanup[key]
		if !ok {
			without = neverRevision
			m.reconciliation.pendingCleanup[key] = without
			fresh = append(fresh, key)
		}
		if c.cache.tokenVersion > without && m.latestHeartbeat.Token >= c.cache.token && len(orders) < maxCommands {
			orders = append(orders, wire.Command{Verb: wire.VerbClear, Task: t.Task, Attempt: t.Attempt})
		}
	}
	if len(fresh) > 0 {
		c.readBarrier(func(ok bool) { c.confirmUnrecorded(m, fresh, ok) })
	}
	for key := range m.reconciliation.pendingCleanup {
		if !seen[key] {
			delete(m.reconciliation.pendingCleanup, key)
		}
	}
	for key := range m.reconciliation.orphanTasks {
		if !seen[key] {
			delete(m.reconciliation.orphanTasks, key)
		}
	}
	return orders
}

// neverRevision is a revision that no token is ever newer than.
const neverRevision = ^wire.Revision(0)

// confirmUnrecorded notes, after a barrier, that ended attempts have no entry. Without
// the barrier the entry could merely be on its way to us: the attempt would be
// cleared, launched again by its launcher, and then taken for ended.
func (c *Controller) confirmUnrecorded(m *machine, keys []attemptKey, ok bool) {
	if !ok {
		for _, key := range keys {
			delete(m.reconciliation.pendingCleanup, key)
		}
		return
	}
	for _, key := range keys {
		if _, open := m.reconciliation.pendingCleanup[key]; !open {
			continue
		}
		m.reconciliation.pendingCleanup[key] = max(c.cache.revision, c.cache.ownRevision)
		for _, e := range m.allocations {
			if e.Job == key.task.Job && e.Attempt == key.attempt && e.Tasks.Has(key.task.Index) {
				delete(m.reconciliation.pendingCleanup, key)
			}
		}
	}
}

// sendCommands sends a machine what it has to be told, directly, and reports whether
// there was anything.
func (c *Controller) sendCommands(m *machine) bool {
	if m.reconciliation.sending || m.latestHeartbeat == nil || m.scaling.terminated || !c.isDue(m.reconciliation.nextSend) || !c.membership.ready {
		return false
	}
	token := c.cache.token
	var orders []wire.Command
	if m.latestHeartbeat.Token > c.cache.token {
		c.readBarrier(func(bool) {})
		// While the state service is away we cannot learn of that token. To stop what
		// is over is right whatever was written before it, so that much may be said
		// in its name.
		if c.storeReachable() {
			return false
		}
		if orders = c.stopCommands(m); len(orders) == 0 {
			return false
		}
		token = m.latestHeartbeat.Token
	}
	if m.reconciliation.reconciledHeartbeat == m.latestHeartbeat {
		return false
	}
	if orders == nil {
		orders = c.commandsFor(m)
	}
	fenced := len(orders) == 0 && c.awaitsFence(m)
	if len(orders) == 0 && !fenced {
		if !m.reconciliation.launchDeferred {
			m.reconciliation.reconciledHeartbeat = m.latestHeartbeat
		}
		return false
	}
	if !c.admitCommands(m) {
		return false
	}
	if fenced {
		orders = []wire.Command{} // only to be shown the token
	}
	m.reconciliation.sending = true
	c.fleet.commandCallsInFlight++
	m.reconciliation.nextSend = c.now.Add(commandRetryInterval)
	asked := c.now
	c.emit(SendCommands{call(c, func(a WorkerResponse) {
		m.reconciliation.sending = false
		c.fleet.commandCallsInFlight--
		m.liveness.noteCallResult(asked, c.fleet.reachableSince, a.Heartbeat != nil)
		c.applyWorkerResponse(m, a)
		if m.reconciliation.resend {
			c.sendCommandsNow(m)
		}
		c.sendQueuedCommands()
	}), m.addr, wire.CommandRequest{Token: token, AgentEpoch: m.latestHeartbeat.AgentEpoch, Commands: orders}})
	return true
}

// awaitsFence reports whether a machine has not seen the token that something on
// it waits for: until its next report, which may be far off, nothing else would
// show it.
func (c *Controller) awaitsFence(m *machine) bool {
	for _, e := range m.allocations {
		if e.AgentEpoch == m.latestHeartbeat.AgentEpoch && e.Fence > m.latestHeartbeat.Token && e.Fence <= c.cache.token && (e.Launcher == c.membership.incarnation || c.ownsTeam(e.page.team)) {
			return true
		}
	}
	return false
}

// sendCommandsNow sends what has just been decided.
func (c *Controller) sendCommandsNow(m *machine) {
	if m.reconciliation.sending {
		m.reconciliation.resend = true
		return
	}
	m.reconciliation.resend = false
	m.reconciliation.nextSend = c.now
	c.sendCommands(m)
}

func (c *Controller) sendCommandsForJob(id wire.JobID) {
	for _, e := range c.scheduler.allocationsByJob[id] {
		if m := c.fleet.machines[e.Machine]; m != nil {
			c.sendCommandsNow(m)
		}
	}
}

// raiseToken makes a fence so that ended tasks can be cleared.
func (c *Controller) raiseToken() {
	if !c.isDue(c.scheduler.lastTokenRaise.Add(10 * time.Second)) {
		return
	}
	c.scheduler.lastTokenRaise = c.now
	c.commit(PriorityBackground, wire.Transaction{
		If:   []wire.Condition{{Key: record.TokenKey, Version: c.cache.keyVersions[record.TokenKey]}},
		Then: []wire.Change{c.putChange(record.TokenKey, c.cache.token+1)},
	}, func(CommitResult) { c.readBarrier(func(bool) {}) })
}
