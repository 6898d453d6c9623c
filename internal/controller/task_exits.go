package controller

import (
	"time"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// collectTaskExits removes what is proven to be gone and fences what may be. Silence
// alone proves nothing.
func (c *Controller) collectTaskExits(r *placementTransaction) {
	for _, p := range r.team.orderedPages() {
		if !p.needsReview || c.cache.unreadable[p.key] != nil {
			continue // a write of a page that cannot be read would be lost
		}
		p.needsReview = false
		c.metrics.count(countPagesReviewed, 1)
		for i := range p.allocations {
			// Room is left for the pages of the zones that it may place in. On a page
			// that is written anyway, more proofs cost no further write.
			if r.pages[p.key] == nil && !c.canCompleteJob(r) || !c.hasCapacityFor(r, 2) {
				p.needsReview = true
				break
			}
			if c.collectTaskExit(r, p, &p.allocations[i]) {
				p.needsReview = true
			}
		}
	}
}

// markForReview notes that a machine showed something new: what stands on it may be
// proven to have ended.
func (m *machine) markForReview() {
	for _, e := range m.allocations {
		e.page.needsReview = true
	}
}

// collectTaskExit takes what is proven of one entry, and reports whether to look at it
// again even if its machine shows nothing new: something is open, or was taken and
// is yet to be written. Most entries run for long and cost nothing meanwhile.
func (c *Controller) collectTaskExit(r *placementTransaction, p *page, e *Allocation) bool {
	m := e.host
	if m.scaling.terminated {
		c.removeTasks(r, p, e, e.Tasks, record.TaskSet{})
		return true
	}
	rep := m.directHeartbeat
	if rep == nil || rep.AgentEpoch < e.AgentEpoch {
		return false
	}
	if rep.AgentEpoch > e.AgentEpoch {
		// The worker's lease ran out: it killed everything, and obeys no command
		// that was meant for the session before.
		c.removeTasks(r, p, e, e.Tasks, record.TaskSet{})
		return true
	}
	j := c.cache.jobs[e.Job]
	var gone, done, lacking record.TaskSet
	for i := range e.Tasks.All {
		t := m.directTasks[e.key(i)]
		switch {
		case t == nil:
			lacking = lacking.Add(i)
		case t.State == wire.TaskExited:
			gone = gone.Add(i)
			if t.Cause == wire.CauseDone && j != nil && e.Shape != wire.ShapeService {
				done = done.Add(i)
			}
		}
	}
	if !lacking.Empty() {
		switch {
		case j == nil || e.Eviction != record.EvictionNone:
			if e.Eviction != record.EvictionNone && e.Fence > 0 {
				if rep.Token >= e.Fence {
					gone = gone.With(lacking)
				}
				break
			}
			// A launch may still be under way; fence it off.
			c.raiseFence(r, p, e, func(d *Allocation) {
				if d.Eviction == record.EvictionNone {
					d.Eviction = record.EvictionImmediate
				}
			})
		case !c.isAlive(e.Launcher) || e.Launcher != c.membership.incarnation && (c.isIsolatedIncarnation(e.Launcher) || c.launchTimedOut(m, e)):
			// Its launcher is gone, or lives but does not reach this worker: take
			// over, with a fence so that a launch it sent is dead or in the next
			// report.
			c.raiseFence(r, p, e, func(d *Allocation) {
				d.Launcher = c.membership.incarnation
				c.metrics.count(countTakeOvers, 1)
			})
		}
	}
	if gone.Empty() {
		return !lacking.Empty()
	}
	if !done.Empty() {
		if e.Shape == wire.ShapeGang {
			done = record.Span(0, j.spec.Tasks) // they complete together
		}
		r.completed[e.Job] = r.completed[e.Job].With(done)
		// Where there is no room for the end it is written down later (completeJobs):
		// the machine's room is free all the same.
		if !r.completedJobs[e.Job] && j.completed.With(r.completed[e.Job]).Len() == j.spec.Tasks && c.canCompleteJob(r) {
			c.completeJob(r, j)
		}
	}
	c.removeTasks(r, p, e, gone, done)
	return true
}

// canCompleteJob reports whether a round may take on another change and still have room
// to place tasks in all zones.
func (c *Controller) canCompleteJob(r *placementTransaction) bool {
	return c.hasCapacityFor(r, 3+len(c.settings.Cluster.Zones))
}

// launchTimedOut reports whether a worker that reports here has lacked an entry's tasks
// for so long that its launcher does not seem to reach it.
func (c *Controller) launchTimedOut(m *machine, e *Allocation) bool {
	first := e.Tasks.First()
	since, ok := m.reconciliation.missingSince[e.key(first)]
	if !ok {
		m.reconciliation.missingSince[e.key(first)] = c.now
		return false
	}
	patience := launchTimeout
	if j := c.cache.jobs[e.Job]; j != nil && e.Shape == wire.ShapeGang {
		patience += c.gangImagePullTime(j, e.Attempt) // its launcher may hold it back
	}
	return c.now.Sub(max(since, c.resumedAt)) > patience && c.now.Sub(m.liveness.lastDirectAt) < launchTimeout
}

// launchTimeout is how long a launcher has to get a launch to a worker before
// the controller that hears the worker takes over.
const launchTimeout = 3 * time.Second

// raiseFence changes an entry and raises the token in the same write.
func (c *Controller) raiseFence(r *placementTransaction, p *page, e *Allocation, change func(*Allocation)) {
	d := c.stagePage(r, p)
	for i := range d.allocations {
		if x := &d.allocations[i]; sameAllocation(x, e) {
			change(x)
			x.Fence = c.cache.token + 1
			c.metrics.count(countFences, 1)
			if !r.raisesToken {
				r.raisesToken = true
				r.operations++
				r.conditions[record.TokenKey] = c.cache.keyVersions[record.TokenKey]
			}
			r.notifyMachines[e.Machine] = true
		}
	}
}

func sameAllocation(a, b *Allocation) bool {
	return a.Job == b.Job && a.Attempt == b.Attempt && a.Machine == b.Machine && a.Eviction == b.Eviction
}

// removeTasks takes tasks out of an entry and notes those of them that are done.
func (c *Controller) removeTasks(r *placementTransaction, p *page, e *Allocation, gone, done record.TaskSet) {
	d := c.stagePage(r, p)
	kept := d.allocations[:0]
	for _, x := range d.allocations {
		if x.Job == e.Job && x.Attempt == e.Attempt && x.Machine == e.Machine {
			x.Tasks = x.Tasks.Without(gone)
			if x.Tasks.Empty() {
				continue
			}
		}
		kept = append(kept, x)
	}
	d.allocations = kept
	if !done.Empty() {
		d.completed[e.Job] = d.completed[e.Job].With(done)
	}
}

// completeJobs ends jobs whose last tasks were noted by several controllers at once,
// none of which saw them all, or by a round that had no room left for their ends:
// when hundreds of small jobs end together, their ends come after their tasks'.
func (c *Controller) completeJobs(rounds map[string]*placementTransaction) {
	for _, id := range sortedKeys(c.cache.jobs) {
		j := c.cache.jobs[id]
		r := rounds[j.spec.Team]
		if r == nil || j.completed.Len() < j.spec.Tasks || !c.ownsTeam(j.spec.Team) || !c.hasCapacityFor(r, 3) {
			continue
		}
		if !r.completedJobs[id] {
			r.completed[id] = record.TaskSet{}
			c.completeJob(r, j)
		}
	}
}
