package core

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
// A controller knows of withdrawals by the feed (inStep), or by the word of all its
// siblings: an attestation lists what the sender knows to be withdrawn, and what of ours it
// has heard, which bounds its age by our own clock however long a line was held up.
// Who cannot attest, because it ended, is cut off or has only just started, bounds
// the time: the lines may be lost at the cost of leases, never of the rule.

// cancellationKnowledge is what this controller can say of withdrawals, and knows by its
// siblings' word.
type cancellationKnowledge struct {
	process          uint64 // tells this process from earlier ones of its label
	inStep           Time   // the cache holds all that was written before
	attestationsSent []Time // when the last attestations of ours were sent
	attested         uint64 // how many were
	nextAttestation  Time

	// withdrawn is the withdrawals that this cache has seen after the revision
	// withdrawnFrom, by revision.
	withdrawn     []wire.Cancellation
	withdrawnFrom wire.Revision

	// overOn is the machines on which tasks of jobs that are over may stand, by the
	// records, and the latest moment before which no user can have been told of it.
	overOn map[wire.MachineID]Time

	renews bool // whether workers are answered, as last seen
}

const (
	attestEvery = time.Second
	// attestAgain is the least time between attestations when there is news that a
	// sibling cannot have.
	attestAgain      = 200 * time.Millisecond
	attestationsKept = 128
	// mostWithdrawn bounds the withdrawals that are kept, and so a line.
	mostWithdrawn = 600
	// stepEvery is how often the feed is read at least, so that inStep is recent.
	stepEvery = time.Second
	// launchStale is how old the knowledge of withdrawals may be for a launch.
	launchStale = 3 * time.Second
	// cancelMargin is what is left of cancel_s - lease_s for drifting clocks, for a
	// worker that notices late that its lease is over, and for delays.
	cancelMargin = 4 * time.Second
)

func (v *cancellationKnowledge) init(process uint64) {
	v.process = process
	v.renews = true
	v.overOn = map[wire.MachineID]Time{}
}

// cancelSlack is how old the knowledge of withdrawals may be for an answer that
// keeps tasks alive for another lease. Where the settings leave no time, what was
// known a moment ago must do.
func (c *Core) cancelSlack() time.Duration {
	w := &c.settings.Cluster.Workers
	return max(config.Seconds(w.CancelS-w.LeaseS)-cancelMargin, launchStale)
}

// known is the moment up to which this controller knows of every withdrawal that
// any controller may have told a user of.
func (c *Core) known() Time {
	least := c.now
	for _, s := range c.settings.Siblings {
		p := c.peers[s.Label]
		// What an earlier process of a sibling told users is known only if the feed
		// was read since a line of the present one came.
		if p == nil || c.inStep < p.since {
			return c.inStep
		}
		least = min(least, p.attested)
	}
	return max(c.inStep, least)
}

// mayRenew reports whether workers may be answered, and logs when that changes.
func (c *Core) mayRenew() bool {
	ok := c.now.Sub(c.known()) <= c.cancelSlack()
	if ok != c.renews {
		c.renews = ok
		if ok {
			c.log.Info("workers are answered again")
		} else {
			c.count(countHeldBack, 1)
			c.log.Info("workers are not answered: jobs may have been withdrawn that this controller does not know of",
				"known_for", c.now.Sub(c.known()), "in_step_for", c.now.Sub(c.inStep))
		}
	}
	return ok
}

// mayLaunch reports whether the knowledge of withdrawals is recent enough to
// start anything.
func (c *Core) mayLaunch() bool { return c.now.Sub(c.known()) <= launchStale }

// readTo notes that the cache holds all that was written before a moment.
func (c *Core) readTo(at Time) { c.inStep = max(c.inStep, at) }

// keepStep reads the feed if nobody has for a while: an open watch only tells that
// something changed, not that nothing did.
func (c *Core) keepStep() {
	if c.whole() && c.stateFresh() && c.now.Sub(c.inStep) > stepEvery && !c.barrierOpen && len(c.queued) == 0 {
		c.barrier(func(bool) {})
	}
}

// noteWithdrawn remembers a withdrawal for the siblings.
func (c *Core) noteWithdrawn(w wire.Cancellation) {
	i, _ := slices.BinarySearchFunc(c.withdrawn, w, func(a, b wire.Cancellation) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Job, b.Job))
	})
	c.withdrawn = slices.Insert(c.withdrawn, i, w)
	if more := len(c.withdrawn) - mostWithdrawn; more > 0 {
		c.forgetWithdrawn(c.withdrawn[more-1].Version)
	}
	for _, p := range c.peers {
		if !p.fresh {
			c.nextAttestation = min(c.nextAttestation, c.now.Add(attestAgain)) // it cannot read of it
		}
	}
}

// forgetWithdrawn drops the withdrawals up to a revision.
func (c *Core) forgetWithdrawn(upTo wire.Revision) {
	c.withdrawnFrom = max(c.withdrawnFrom, upTo)
	i, _ := slices.BinarySearchFunc(c.withdrawn, upTo+1, func(w wire.Cancellation, l wire.Revision) int {
		return cmp.Compare(w.Version, l)
	})
	c.withdrawn = slices.Delete(c.withdrawn, 0, i)
}

// attest is this controller's word as of now. Only a process that has read nothing
// yet, and so told nobody anything, and one that holds everything can give it.
func (c *Core) attest() *wire.CancellationWatermark {
	c.nextAttestation = c.now.Add(attestEvery)
	c.attested++
	c.attestationsSent = append(c.attestationsSent, c.now)
	if len(c.attestationsSent) > attestationsKept {
		c.attestationsSent = c.attestationsSent[1:]
	}
	v := &wire.CancellationWatermark{Process: c.process, Sequence: c.attested, Revision: c.feed}
	lowest, listening := wire.Revision(math.MaxUint64), wire.Revision(math.MaxUint64)
	for _, s := range c.settings.Siblings {
		p := c.peers[s.Label]
		if p == nil || p.process == 0 {
			lowest = 0
			continue
		}
		if v.Acks == nil {
			v.Acks = map[string]wire.WatermarkAck{}
		}
		v.Acks[s.Label] = wire.WatermarkAck{Process: p.process, Sequence: p.number}
		lowest = min(lowest, p.revision)
		if c.now.Sub(p.heard) <= peerSilence {
			listening = min(listening, p.revision)
		}
	}
	c.forgetWithdrawn(min(lowest, c.feed))
	v.Since = max(c.withdrawnFrom, min(listening, c.feed))
	for _, w := range c.withdrawn {
		if w.Version > v.Since {
			v.Cancellations = append(v.Cancellations, w)
		}
	}
	return v
}

// acceptAttestation takes a sibling's word.
func (c *Core) acceptAttestation(p *peerView, v *wire.CancellationWatermark) {
	if p.process != v.Process {
		p.process, p.number, p.since, p.attested = v.Process, 0, c.now, 0
	}
	p.number = max(p.number, v.Sequence)
	p.revision = max(p.revision, v.Revision)
	for _, w := range v.Cancellations {
		// What is not newer than the feed is known, or was moved since to a key of
		// its own.
		if w.Version > c.feed && c.loaded {
			c.apply(record.JobKey(w.Job), encode(record.CompletedJob{Completion: record.Completion{Status: wire.StatusCancelled, Done: w.Done}}), w.Version)
		}
	}
	echo, ok := v.Acks[c.settings.Label]
	if !ok || echo.Process != c.process || echo.Sequence > c.attested {
		return
	}
	if i := len(c.attestationsSent) - 1 - int(c.attested-echo.Sequence); i >= 0 {
		p.echoed = max(p.echoed, c.attestationsSent[i])
		if c.whole() && c.feed >= v.Since {
			p.attested = max(p.attested, c.attestationsSent[i])
		}
	}
}

// noteOver notes that a machine may hold tasks of a job that is over. What a process
// reads at its start may have been withdrawn any time ago: once a machine hung with
// it from before all controllers ended until after its time was up, as the one that
// came back gave it all of the time again.
func (c *Core) noteOver(id wire.MachineID) {
	if _, ok := c.overOn[id]; ok {
		return
	}
	c.overOn[id] = c.known()
	if c.loading {
		c.overOn[id] = c.now.Add(-config.Seconds(c.settings.Cluster.Workers.CancelS))
	}
}

// endedOn is what of the jobs that are over stands on a machine by the records:
// whether there is anything, whether some of it may still run or start, and whether
// it may still start, since its worker has not shown that no launch can come.
func (c *Core) endedOn(id wire.MachineID) (held, open, lacking bool) {
	m := c.machines[id]
	for _, e := range c.entriesOn(id) {
		if c.jobs[e.Job] != nil {
			continue
		}
		held = true
		if m == nil || m.newest == nil {
			return true, true, true
		}
		if m.newest.AgentEpoch > e.Session || m.gone {
			continue // its session is over, and what is under way is for that
		}
		for i := range e.Tasks.All {
			switch t := m.tasks[e.key(i)]; {
			case t == nil && (e.Eviction == record.EvictionNone || e.Fence == 0 || m.newest.Token < e.Fence):
				open, lacking = true, true
			case t != nil && t.State != wire.TaskExited:
				open = true
			}
		}
	}
	return held, open, lacking
}

// mayStillStart reports whether something may yet start on a machine that was
// withdrawn so long ago that the machine's lease is not to be renewed: a launch
// that was sent in time may be held up for as long as its session lasts.
func (c *Core) mayStillStart(m *machine) bool {
	since, ok := c.overOn[m.id]
	if !ok || c.now.Sub(since) <= c.cancelSlack() {
		return false
	}
	_, _, lacking := c.endedOn(m.id)
	return lacking
}

// tickOver looks after machines with tasks of jobs that are over: tells them until
// they have stopped them, and returns what cannot be told.
func (c *Core) tickOver() {
	var names []wire.MachineID
	for _, id := range sortedKeys(c.overOn) {
		held, open, _ := c.endedOn(id)
		if !held {
			delete(c.overOn, id)
			continue
		}
		m := c.machineOf(id)
		if m.gone || !open {
			continue
		}
		if c.after(m.nextOrders) && !m.sendingOrders && (!c.stateFresh() || c.tells(m)) {
			c.sendOrders(m)
		}
		if m.newest == nil && m.addr != "" && !m.requestingReport && c.after(m.nextReportRequest) && c.mayAsk() {
			c.requestReport(m) // it cannot be told before it was heard
		}
		if c.cannotTell(m) && c.now.Sub(c.overOn[id]) > c.lastResort(m) && len(names) < wire.MaxTerminate {
			names = append(names, id)
		}
	}
	if len(names) > 0 && !c.returning {
		c.returnUnwritten(names)
	}
}

// cannotTell reports whether a machine leaves calls unanswered or, where its address
// is not known here, had time to report and did not.
func (c *Core) cannotTell(m *machine) bool {
	if m.addr == "" {
		return c.now.Sub(max(m.first, c.readyAt, c.awake, c.reachableSince)) > config.Seconds(1.25*c.settings.Cluster.Workers.ReportS)+time.Second && !c.inDoubt()
	}
	return m.unanswered >= unreachableCalls
}

// tells reports whether it is up to this controller to tell a machine again: it
// looks after a team of the ended work there, or the machine reports here.
func (c *Core) tells(m *machine) bool {
	return m.direct != nil && m.direct == m.newest ||
		slices.ContainsFunc(m.entries, func(e *Entry) bool { return c.jobs[e.Job] == nil && c.ownsTeam(e.page.team) })
}

// lastResort is how long a machine that cannot be told may hold ended work before
// it is returned without that being written down first. While the state service can
// be had the buyer returns it in good order well before.
func (c *Core) lastResort(m *machine) time.Duration {
	part := lastPart
	if !c.stateFresh() {
		part = lastPartCut
		if c.buyer == c.boot && !c.inDoubt() {
			part = lastPartBuyer
		}
	}
	return config.Seconds(part * c.settings.Cluster.Workers.CancelS)
}

// Of the time for a cancellation, how much may pass before a machine is returned
// without a record of it: by any controller, by any that has not the state service,
// and by the buyer then.
const (
	lastPart      = 0.7
	lastPartCut   = 0.55
	lastPartBuyer = 0.3
)

// returnUnwritten returns machines though it cannot be written down that they go.
// What is returned is gone, so that nothing can run twice by it: what else stands
// there is lost, and is found to be so once the state service is back, when the
// machine, silent and holding ended work, is returned once more in good order.
func (c *Core) returnUnwritten(names []wire.MachineID) {
	for _, id := range names {
		c.log.Info("machine returned without a record: it holds withdrawn work and does not answer", "machine", id,
			"for", c.now.Sub(c.overOn[id]))
	}
	c.callReturn(names, func(*machine) { c.count(countUnwritten, 1) })
}

// stopsOf is the orders to stop what is known to be withdrawn or done on a machine,
// recorded or not. They hold whatever else was written meanwhile.
func (c *Core) stopsOf(m *machine) []wire.Command {
	var orders []wire.Command
	for i := range m.newest.Tasks {
		t := &m.newest.Tasks[i]
		if t.State == wire.TaskExited || len(orders) >= maxOrders {
			continue
		}
		if _, over := c.ended(t.Task.Job); over {
			orders = append(orders, wire.Command{Verb: wire.VerbStop, Task: t.Task, Attempt: t.Attempt, GracePeriodS: windup(0)})
		}
	}
	return orders
}
