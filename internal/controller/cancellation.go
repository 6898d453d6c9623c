package controller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// A user who was told that a job is withdrawn must be able to rely on all of its
// tasks being gone in time (cancel_s), though the controller that a worker reports
// to may not have heard of it: the state service may refuse just this one, and then
// be away for all. An answer to a report keeps what stands on the worker alive for a
// lease. Hence one invariant, which every answer to a worker is held to:
//
//	a report is answered only by a controller that knows of every withdrawal that
//	anybody may have told a user of up to cancelSlack ago, and only while no task
//	whose job is known to have been withdrawn longer ago than that may yet start on
//	the worker.
//
// A controller knows of withdrawals by the feed (cacheCurrentAt), or by the word of all its
// siblings: an attestation lists what the sender knows to be withdrawn, and what of ours it
// has heard, which bounds its age by our own clock however long a line was held up.
// Who cannot attest, because it ended, is cut off or has only just started, bounds
// the time: the lines may be lost at the cost of leases, never of the rule.

// cancellationWatermark is what this controller can say of withdrawals, and knows by its
// siblings' word.
type cancellationWatermark struct {
	process           uint64 // tells this process from earlier ones of its label
	cacheCurrentAt    Time   // the cache holds all that was written before
	watermarksSent    []Time // when the last attestations of ours were sent
	watermarkSequence uint64 // how many were
	nextWatermark     Time

	// recentCancellations is the withdrawals that this cache has seen after the revision
	// cancellationsSince, by revision.
	recentCancellations []wire.Cancellation
	cancellationsSince  wire.Revision

	// machinesWithCompletedTasks is the machines on which tasks of jobs that are over may stand, by the
	// records, and the latest moment before which no user can have been told of it.
	machinesWithCompletedTasks map[wire.MachineID]Time

	renewsLeases bool // whether workers are answered, as last seen
}

const (
	watermarkInterval = time.Second
	// minWatermarkInterval is the least time between attestations when there is news that a
	// sibling cannot have.
	minWatermarkInterval = 200 * time.Millisecond
	maxWatermarksKept    = 128
	// maxRecentCancellations bounds the withdrawals that are kept, and so a line.
	maxRecentCancellations = 600
	// barrierInterval is how often the feed is read at least, so that cacheCurrentAt is recent.
	barrierInterval = time.Second
	// maxLaunchStaleness is how old the knowledge of withdrawals may be for a launch.
	maxLaunchStaleness = 3 * time.Second
	// cancelMargin is what is left of cancel_s - lease_s for drifting clocks, for a
	// worker that notices late that its lease is over, and for delays.
	cancelMargin = 4 * time.Second
)

func (v *cancellationWatermark) init(process uint64) {
	v.process = process
	v.renewsLeases = true
	v.machinesWithCompletedTasks = map[wire.MachineID]Time{}
}

// maxRenewalStaleness is how old the knowledge of withdrawals may be for an answer that
// keeps tasks alive for another lease. Where the settings leave no time, what was
// known a moment ago must do.
func (c *Controller) maxRenewalStaleness() time.Duration {
	w := &c.settings.Cluster.Workers
	return max(config.Seconds(w.CancelS-w.LeaseS)-cancelMargin, maxLaunchStaleness)
}

// cancellationsKnownAt is the moment up to which this controller knows of every withdrawal that
// any controller may have told a user of.
func (c *Controller) cancellationsKnownAt() Time {
	least := c.now
	for _, s := range c.settings.Siblings {
		p := c.gossip.peers[s.Label]
		// What an earlier process of a sibling told users is known only if the feed
		// was read since a line of the present one came.
		if p == nil || c.cancellations.cacheCurrentAt < p.firstHeardAt {
			return c.cancellations.cacheCurrentAt
		}
		least = min(least, p.cancellationsKnownAt)
	}
	return max(c.cancellations.cacheCurrentAt, least)
}

// canRenewLeases reports whether workers may be answered, and logs when that changes.
func (c *Controller) canRenewLeases() bool {
	ok := c.now.Sub(c.cancellationsKnownAt()) <= c.maxRenewalStaleness()
	if ok != c.cancellations.renewsLeases {
		c.cancellations.renewsLeases = ok
		if ok {
			c.log.Info("workers are answered again")
		} else {
			c.metrics.count(countRenewalsSuspended, 1)
			c.log.Info("workers are not answered: jobs may have been withdrawn that this controller does not know of",
				"known_for", c.now.Sub(c.cancellationsKnownAt()), "in_step_for", c.now.Sub(c.cancellations.cacheCurrentAt))
		}
	}
	return ok
}

// canLaunch reports whether the knowledge of withdrawals is recent enough to
// start anything.
func (c *Controller) canLaunch() bool {
	return c.now.Sub(c.cancellationsKnownAt()) <= maxLaunchStaleness
}

// noteCacheCurrent notes that the cache holds all that was written before a moment.
func (c *Controller) noteCacheCurrent(at Time) {
	c.cancellations.cacheCurrentAt = max(c.cancellations.cacheCurrentAt, at)
}

// keepCacheCurrent reads the feed if nobody has for a while: an open watch only tells that
// something changed, not that nothing did.
func (c *Controller) keepCacheCurrent() {
	if c.cacheComplete() && c.storeReachable() && c.now.Sub(c.cancellations.cacheCurrentAt) > barrierInterval && !c.cache.barrierInFlight && len(c.cache.barrierQueue) == 0 {
		c.readBarrier(func(bool) {})
	}
}

// noteCancellation remembers a withdrawal for the siblings.
func (c *Controller) noteCancellation(w wire.Cancellation) {
	i, _ := slices.BinarySearchFunc(c.cancellations.recentCancellations, w, func(a, b wire.Cancellation) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Job, b.Job))
	})
	c.cancellations.recentCancellations = slices.Insert(c.cancellations.recentCancellations, i, w)
	if more := len(c.cancellations.recentCancellations) - maxRecentCancellations; more > 0 {
		c.forgetCancellations(c.cancellations.recentCancellations[more-1].Version)
	}
	for _, p := range c.gossip.peers {
		if !p.storeReachable {
			c.cancellations.nextWatermark = min(c.cancellations.nextWatermark, c.now.Add(minWatermarkInterval)) // it cannot read of it
		}
	}
}

// forgetCancellations drops the withdrawals up to a revision.
func (c *Controller) forgetCancellations(upTo wire.Revision) {
	c.cancellations.cancellationsSince = max(c.cancellations.cancellationsSince, upTo)
	i, _ := slices.BinarySearchFunc(c.cancellations.recentCancellations, upTo+1, func(w wire.Cancellation, l wire.Revision) int {
		return cmp.Compare(w.Version, l)
	})
	c.cancellations.recentCancellations = slices.Delete(c.cancellations.recentCancellations, 0, i)
}

// newWatermark is this controller's word as of now. Only a process that has read nothing
// yet, and so told nobody anything, and one that holds everything can give it.
func (c *Controller) newWatermark() *wire.CancellationWatermark {
	c.cancellations.nextWatermark = c.now.Add(watermarkInterval)
	c.cancellations.watermarkSequence++
	c.cancellations.watermarksSent = append(c.cancellations.watermarksSent, c.now)
	if len(c.cancellations.watermarksSent) > maxWatermarksKept {
		c.cancellations.watermarksSent = c.cancellations.watermarksSent[1:]
	}
	v := &wire.CancellationWatermark{Process: c.cancellations.process, Sequence: c.cancellations.watermarkSequence, Revision: c.cache.revision}
	lowest, listening := wire.Revision(math.MaxUint64), wire.Revision(math.MaxUint64)
	for _, s := range c.settings.Siblings {
		p := c.gossip.peers[s.Label]
		if p == nil || p.process == 0 {
			lowest = 0
			continue
		}
		if v.Acks == nil {
			v.Acks = map[string]wire.WatermarkAck{}
		}
		v.Acks[s.Label] = wire.WatermarkAck{Process: p.process, Sequence: p.sequence}
		lowest = min(lowest, p.revision)
		if c.now.Sub(p.lastHeardAt) <= peerTimeout {
			listening = min(listening, p.revision)
		}
	}
	c.forgetCancellations(min(lowest, c.cache.revision))
	v.Since = max(c.cancellations.cancellationsSince, min(listening, c.cache.revision))
	for _, w := range c.cancellations.recentCancellations {
		if w.Version > v.Since {
			v.Cancellations = append(v.Cancellations, w)
		}
	}
	return v
}

// applyWatermark takes a sibling's word.
func (c *Controller) applyWatermark(p *peerState, v *wire.CancellationWatermark) {
	if p.process != v.Process {
		p.process, p.sequence, p.firstHeardAt, p.cancellationsKnownAt = v.Process, 0, c.now, 0
	}
	p.sequence = max(p.sequence, v.Sequence)
	p.revision = max(p.revision, v.Revision)
	for _, w := range v.Cancellations {
		// What is not newer than the feed is known, or was moved since to a key of
		// its own.
		if w.Version > c.cache.revision && c.membership.loaded {
			c.apply(record.JobKey(w.Job), encodePlain(record.CompletedJob{Completion: record.Completion{Status: wire.StatusCancelled, Done: w.Done}}), w.Version)
		}
	}
	echo, ok := v.Acks[c.settings.Label]
	if !ok || echo.Process != c.cancellations.process || echo.Sequence > c.cancellations.watermarkSequence {
		return
	}
	if i := len(c.cancellations.watermarksSent) - 1 - int(c.cancellations.watermarkSequence-echo.Sequence); i >= 0 {
		p.ackedAt = max(p.ackedAt, c.cancellations.watermarksSent[i])
		if c.cacheComplete() && c.cache.revision >= v.Since {
			p.cancellationsKnownAt = max(p.cancellationsKnownAt, c.cancellations.watermarksSent[i])
		}
	}
}

// noteCompletedTasksOn notes that a machine may hold tasks of a job that is over. What a process
// reads at its start may have been withdrawn any time ago: once a machine hung with
// it from before all controllers ended until after its time was up, as the one that
// came back gave it all of the time again.
func (c *Controller) noteCompletedTasksOn(id wire.MachineID) {
	if _, ok := c.cancellations.machinesWithCompletedTasks[id]; ok {
		return
	}
	c.cancellations.machinesWithCompletedTasks[id] = c.cancellationsKnownAt()
	if c.membership.loading {
		c.cancellations.machinesWithCompletedTasks[id] = c.now.Add(-config.Seconds(c.settings.Cluster.Workers.CancelS))
	}
}

// completedTasksOn is what of the jobs that are over stands on a machine by the records:
// whether there is anything, whether some of it may still run or start, and whether
// it may still start, since its worker has not shown that no launch can come.
func (c *Controller) completedTasksOn(id wire.MachineID) (held, open, lacking bool) {
	m := c.fleet.machines[id]
	for _, e := range c.allocationsOn(id) {
		if c.cache.jobs[e.Job] != nil {
			continue
		}
		held = true
		if m == nil || m.latestHeartbeat == nil {
			return true, true, true
		}
		if m.latestHeartbeat.AgentEpoch > e.AgentEpoch || m.scaling.terminated {
			continue // its session is over, and what is under way is for that
		}
		for i := range e.Tasks.All {
			switch t := m.tasks[e.key(i)]; {
			case t == nil && (e.Eviction == record.EvictionNone || e.Fence == 0 || m.latestHeartbeat.Token < e.Fence):
				open, lacking = true, true
			case t != nil && t.State != wire.TaskExited:
				open = true
			}
		}
	}
	return held, open, lacking
}

// mayStartCancelledTask reports whether something may yet start on a machine that was
// withdrawn so long ago that the machine's lease is not to be renewed: a launch
// that was sent in time may be held up for as long as its session lasts.
func (c *Controller) mayStartCancelledTask(m *machine) bool {
	since, ok := c.cancellations.machinesWithCompletedTasks[m.id]
	if !ok || c.now.Sub(since) <= c.maxRenewalStaleness() {
		return false
	}
	_, _, lacking := c.completedTasksOn(m.id)
	return lacking
}

// tickCompletedTasks looks after machines with tasks of jobs that are over: tells them until
// they have stopped them, and returns what cannot be told.
func (c *Controller) tickCompletedTasks() {
	var names []wire.MachineID
	for _, id := range sortedKeys(c.cancellations.machinesWithCompletedTasks) {
		held, open, _ := c.completedTasksOn(id)
		if !held {
			delete(c.cancellations.machinesWithCompletedTasks, id)
			continue
		}
		m := c.machine(id)
		if m.scaling.terminated || !open {
			continue
		}
		if c.isDue(m.reconciliation.nextSend) && !m.reconciliation.sending && (!c.storeReachable() || c.isResponsibleFor(m)) {
			c.sendCommands(m)
		}
		if m.latestHeartbeat == nil && m.addr != "" && !m.liveness.requesting && c.isDue(m.liveness.nextRequest) && c.canProbe() {
			c.probeMachine(m) // it cannot be told before it was heard
		}
		if c.cannotCommand(m) && c.now.Sub(c.cancellations.machinesWithCompletedTasks[id]) > c.unrecordedTerminationDelay(m) && len(names) < wire.MaxTerminate {
			names = append(names, id)
		}
	}
	if len(names) > 0 && !c.provisioner.terminateCallInFlight {
		c.terminateUnrecorded(names)
	}
}

// cannotCommand reports whether a machine leaves calls unanswered or, where its address
// is not known here, had time to report and did not.
func (c *Controller) cannotCommand(m *machine) bool {
	if m.addr == "" {
		return c.now.Sub(max(m.firstKnownAt, c.membership.readyAt, c.resumedAt, c.fleet.reachableSince)) > config.Seconds(1.25*c.settings.Cluster.Workers.ReportS)+time.Second && !c.isolationSuspected()
	}
	return m.liveness.unansweredCalls >= unreachableThreshold
}

// isResponsibleFor reports whether it is up to this controller to tell a machine again: it
// looks after a team of the ended work there, or the machine reports here.
func (c *Controller) isResponsibleFor(m *machine) bool {
	return m.directHeartbeat != nil && m.directHeartbeat == m.latestHeartbeat ||
		slices.ContainsFunc(m.allocations, func(e *Allocation) bool { return c.cache.jobs[e.Job] == nil && c.ownsTeam(e.page.team) })
}

// unrecordedTerminationDelay is how long a machine that cannot be told may hold ended work before
// it is returned without that being written down first. While the state service can
// be had the buyer returns it in good order well before.
func (c *Controller) unrecordedTerminationDelay(m *machine) time.Duration {
	part := unrecordedFraction
	if !c.storeReachable() {
		part = unrecordedFractionIsolated
		if c.cache.provisionerIncarnation == c.membership.incarnation && !c.isolationSuspected() {
			part = unrecordedFractionProvisioner
		}
	}
	return config.Seconds(part * c.settings.Cluster.Workers.CancelS)
}

// Of the time for a cancellation, how much may pass before a machine is returned
// without a record of it: by any controller, by any that has not the state service,
// and by the buyer then.
const (
	unrecordedFraction            = 0.7
	unrecordedFractionIsolated    = 0.55
	unrecordedFractionProvisioner = 0.3
)

// terminateUnrecorded returns machines though it cannot be written down that they go.
// What is returned is gone, so that nothing can run twice by it: what else stands
// there is lost, and is found to be so once the state service is back, when the
// machine, silent and holding ended work, is returned once more in good order.
func (c *Controller) terminateUnrecorded(names []wire.MachineID) {
	for _, id := range names {
		c.log.Info("machine returned without a record: it holds withdrawn work and does not answer", "machine", id,
			"for", c.now.Sub(c.cancellations.machinesWithCompletedTasks[id]))
	}
	c.callTerminate(names, func(*machine) { c.metrics.count(countTerminatedUnrecorded, 1) })
}

// stopCommands is the orders to stop what is known to be withdrawn or done on a machine,
// recorded or not. They hold whatever else was written meanwhile.
func (c *Controller) stopCommands(m *machine) []wire.Command {
	var orders []wire.Command
	for i := range m.latestHeartbeat.Tasks {
		t := &m.latestHeartbeat.Tasks[i]
		if t.State == wire.TaskExited || len(orders) >= maxCommands {
			continue
		}
		if _, over := c.completion(t.Task.Job); over {
			orders = append(orders, wire.Command{Verb: wire.VerbStop, Task: t.Task, Attempt: t.Attempt, GracePeriodS: gracePeriod(0)})
		}
	}
	return orders
}
