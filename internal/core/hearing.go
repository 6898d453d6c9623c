package core

import (
	"cmp"
	"slices"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/internal/rendezvous"
	"lilacrill/wire"
)

// lastSign is when a machine last showed itself. One that has only just become
// known, or that we have had no chance to hear yet, as when this process stood
// still itself, is not silent.
func (c *Core) lastSign(m *machine) Time {
	return max(m.heard, m.first, c.readyAt, c.awake, c.reachableSince)
}

// silentAsk is how long a worker may be silent before it is asked: its reports
// come every so often, give or take a quarter. Where tasks stand that somebody
// waits for at every moment, reports may be too far apart to wait for the next.
func (c *Core) silentAsk(m *machine) time.Duration {
	usual := config.Seconds(1.3 * c.settings.Cluster.Workers.ReportS)
	if c.hasCriticalTasks(m) {
		return min(usual, criticalTasksAsk)
	}
	return usual
}

// hasCriticalTasks reports whether critical tasks stand on a machine.
func (c *Core) hasCriticalTasks(m *machine) bool { return c.critical[m.id] > 0 }

// asks reports whether it is up to this controller to ask a machine: one of the
// living does, by the machine's name, and the buyer a little later, since it
// must know for itself. While siblings are out of hearing, what they hear is not
// passed on: each then asks for itself, or it would take most machines for
// silent after a while, and place nothing on them.
func (c *Core) asks(m *machine, quiet time.Duration) bool {
	if quiet > config.Seconds(1.3*c.settings.Cluster.Workers.ReportS) && !c.siblingsWell() {
		return true
	}
	if c.buyer == c.boot && quiet > c.silentAsk(m)+buyerAsk {
		return true
	}
	return len(c.labels) == 0 || rendezvous.Highest(c.labels, string(m.id)) == c.settings.Label
}

const (
	criticalTasksAsk = 1500 * time.Millisecond
	buyerAsk         = 500 * time.Millisecond
	// Of the direct calls that may be under way, one in asksPart is for asking,
	// and one in urgentPart is kept for orders to machines with critical tasks.
	asksPart, urgentPart = 4, 4
)

// tasksOf is a report's tasks. A machine may list an ended attempt beside
// another one of the same task, so the task alone does not name them.
func tasksOf(r *wire.Heartbeat) map[attemptKey]*wire.TaskStatus {
	tasks := make(map[attemptKey]*wire.TaskStatus, len(r.Tasks))
	for i := range r.Tasks {
		t := &r.Tasks[i]
		tasks[attemptKey{t.Task, t.Attempt}] = t
	}
	return tasks
}

// hear takes a report, got from the worker itself or passed on by a sibling.
func (c *Core) hear(r *wire.Heartbeat, direct bool) {
	m := c.machineOf(r.Machine)
	if direct {
		if c.inDoubt() {
			c.reachableSince = c.now
		}
		c.lastDirect = c.now
		c.toTell[m.id] = true
	}
	if direct && (m.direct == nil || r.Newer(m.direct)) {
		if m.direct == nil || !sameReport(m.direct, r) {
			m.lookAgain()
			c.dirty = true
		}
		m.direct, m.directTasks, m.heardDirect = r, tasksOf(r), c.now
		for key, since := range m.lacking {
			if m.directTasks[key] != nil || c.now.Sub(since) > forgetAfter {
				delete(m.lacking, key)
			}
		}
	}
	if m.newest != nil && !r.Newer(m.newest) {
		return
	}
	before, first := m.tasks, m.newest == nil
	// A report that only says that the machine is still there changes no plan.
	c.dirty = c.dirty || first || !sameReport(m.newest, r) || !c.reports(m)
	c.backFrom(m)
	m.newest, m.tasks, m.heard, m.unansweredRequests = r, tasksOf(r), c.now, 0
	m.addr, m.kind, m.zone, m.spot = r.Addr, r.Type, r.Zone, r.Spot
	if first {
		c.cameUp(m)
	}
	m.recallAt = 0
	if r.PreemptionNoticeS != nil {
		m.recallAt = c.now.Add(time.Duration(*r.PreemptionNoticeS * float64(time.Second)))
	}
	pulling := map[string]bool{}
	for id, t := range m.tasks {
		if j := c.jobs[id.task.Job]; j != nil && t.State == wire.TaskPulling {
			pulling[j.spec.Image] = true
		}
		if j := c.jobs[id.task.Job]; j != nil && (t.State == wire.TaskRunning || t.State == wire.TaskWaiting) {
			c.sawImage(m, j.spec.Image)
			if !j.started {
				c.log.Debug("job started", "job", j.id, "class", j.spec.Class, "after_s", float64(c.wall-j.at)/1000)
				j.started = true
				c.took(timeStart, time.Duration(max(0, c.wall-j.at))*time.Millisecond)
			}
		}
		if j := c.jobs[id.task.Job]; j != nil && j.strikes > 0 && t.State == wire.TaskRunning {
			c.noteRuns(j)
		}
		if old := before[id]; t.State == wire.TaskExited && (old == nil || old.State != wire.TaskExited) {
			c.noteExit(m, t)
		}
	}
	m.pulling = len(pulling)
	if !direct && c.ready {
		c.confirm(m)
	}
}

// backFrom is called when a machine is heard. What it left unanswered while
// nothing came from it either does not show that it hears nothing.
func (c *Core) backFrom(m *machine) {
	if c.now.Sub(m.heard) > config.Seconds(1.25*c.settings.Cluster.Workers.ReportS)+reportSlack {
		m.unanswered = 0
	}
}

// heardAgain takes a sibling's word that a machine reported what it had
// reported before.
func (c *Core) heardAgain(h *wire.UnchangedHeartbeat) {
	m := c.machines[h.Machine]
	if m == nil || m.newest == nil || m.newest.AgentEpoch != h.AgentEpoch || m.newest.Sequence >= h.Sequence {
		return
	}
	c.backFrom(m)
	r := *m.newest
	r.Sequence, r.Token = h.Sequence, h.Token
	m.newest, m.heard, m.unansweredRequests = &r, c.now, 0
	if c.ready {
		c.confirm(m)
	}
}

// confirm asks a machine itself when a passed-on report hints at something that
// this controller, as its owner, should write down: hints prove nothing.
func (c *Core) confirm(m *machine) {
	if m.requestingReport || m.direct == m.newest || !c.after(m.nextReportRequest) || !c.mayAsk() {
		return
	}
	for _, e := range m.entries {
		if !c.ownsTeam(e.page.team) {
			continue
		}
		for i := range e.Tasks.All {
			t := m.tasks[e.key(i)]
			if t == nil && (e.Eviction != record.EvictionNone || c.jobs[e.Job] == nil || !c.live(e.Launcher) || m.newest.AgentEpoch > e.Session) ||
				t != nil && t.State == wire.TaskExited {
				c.requestReport(m)
				return
			}
		}
	}
}

// mayAsk reports whether another machine may be asked now. When hundreds hang,
// calls to them would pile up otherwise, with a socket each.
func (c *Core) mayAsk() bool { return c.asking < max(1, c.callsAtOnce/asksPart) }

// requestReports asks machines for their reports, as many as may be asked at a time:
// those with critical tasks first, and of the rest those that were not asked for the
// longest time. In the order of their names, a few that hang were asked over and over
// while others that hang were never found silent.
func (c *Core) requestReports(due []*machine) {
	if len(due) == 0 || !c.mayAsk() {
		return
	}
	slices.SortStableFunc(due, func(a, b *machine) int {
		if critical := c.hasCriticalTasks(a); critical != c.hasCriticalTasks(b) {
			if critical {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.nextReportRequest, b.nextReportRequest)
	})
	for _, m := range due {
		if !c.mayAsk() {
			return
		}
		c.requestReport(m)
	}
}

// requestReport asks a worker for its report.
func (c *Core) requestReport(m *machine) {
	m.requestingReport = true
	m.nextReportRequest = c.now.Add(reportRequestRetry)
	c.asking++
	c.count(countProbes, 1)
	asked := c.now
	c.do(Show{call(c, func(a Answered) {
		m.requestingReport = false
		c.asking--
		if a.Report == nil {
			m.unansweredRequests++
		}
		c.reached(m, asked, a)
		c.answered(m, a)
	}), m.addr})
}

// reached notes whether a worker answers what it is asked. One whose reports
// arrive, but which nothing reaches, looks well while its lease runs out.
func (c *Core) reached(m *machine, asked Time, a Answered) {
	if a.Report != nil {
		m.unanswered = 0
		return
	}
	if asked < c.reachableSince {
		return // it was us
	}
	if m.unanswered == 0 || m.unreachableSince < c.reachableSince {
		m.unreachableSince, m.unanswered = asked, 0
	}
	m.unanswered++
}

// unreachable reports whether a machine seems not to hear what it is told: it gets
// no new work.
func (m *machine) unreachable() bool { return m.unanswered >= unreachableCalls }

// unreachableCalls is how many direct calls in a row a machine may leave unanswered
// before it counts as one that does not hear.
const unreachableCalls = 2

// answered takes a worker's own answer to /do or /show.
func (c *Core) answered(m *machine, a Answered) {
	if a.Report == nil || a.Report.Machine != m.id {
		return
	}
	c.hear(a.Report, true)
	if a.Report.Token > c.token {
		c.barrier(func(bool) {})
	}
}

// isolated reports whether this controller reaches no workers, though there are some
// that are up: where machines were only just rented, or none comes up, nobody hears
// any, and if all took that for their own fault nobody would rent others.
func (c *Core) isolated() bool {
	return c.ready && c.up > 0 && c.now.Sub(max(c.lastDirect, c.readyAt, c.awake)) > isolatedAfter
}

// inDoubt reports whether no worker has spoken to this controller for a moment,
// though it asked some that siblings hear: whatever it takes for silent
// meanwhile, it may be the one that is cut off. Once a buyer gave up hundreds of
// machines in the time that it took to find that out.
func (c *Core) inDoubt() bool { return c.now.Sub(max(c.lastDirect, c.readyAt, c.awake)) > doubtAfter }

const (
	reachabilityProbeAfter      = 500 * time.Millisecond
	reachabilityProbeEvery      = 300 * time.Millisecond
	reachabilityProbeCandidates = 4 // machines heard last, of which one is asked
	doubtAfter                  = 1500 * time.Millisecond
	isolatedAfter               = 3 * time.Second
)

// probeReachability asks some worker for its report when none has spoken to us for a while:
// they may all report to others, or we may be cut off.
func (c *Core) probeReachability() {
	if c.now.Sub(max(c.lastDirect, c.readyAt)) < reachabilityProbeAfter || !c.after(c.nextReachabilityProbe) {
		return
	}
	c.nextReachabilityProbe = c.now.Add(reachabilityProbeEvery)
	var known []*machine // the ones heard last, in order
	for _, m := range c.inOrder() {
		if m.addr == "" || m.gone || m.requestingReport || c.now.Sub(m.heard) >= forgetAfter || m.newest == nil {
			continue
		}
		// One that answers is as good as any other; one that did not may be dead.
		i, _ := slices.BinarySearchFunc(known, m, func(a, b *machine) int {
			return cmp.Or(cmp.Compare(a.unanswered, b.unanswered), -cmp.Compare(a.heard, b.heard))
		})
		if i < reachabilityProbeCandidates {
			known = slices.Insert(known, i, m)
			known = known[:min(len(known), reachabilityProbeCandidates)]
		}
	}
	if len(known) > 0 {
		c.requestReport(known[c.rand.IntN(len(known))])
	}
}
