package controller

import (
	"cmp"
	"slices"

	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// stageEviction marks tasks of an entry to be stopped.
func (c *Controller) stageEviction(r *placementTransaction, p *page, e *Allocation, tasks record.TaskSet, how record.Eviction) {
	if c.cache.unreadable[p.key] != nil {
		return
	}
	d := c.stagePage(r, p)
	for i := range d.allocations {
		x := &d.allocations[i]
		if !sameAllocation(x, e) || x.Eviction >= how {
			continue
		}
		stopped := x.Tasks.And(tasks)
		if stopped.Empty() {
			continue
		}
		r.notifyMachines[e.Machine] = true
		rest := x.Tasks.Without(stopped)
		part := *x
		part.Tasks = stopped
		if d.size+part.encodedSizeAfter(nil) > c.pageLimit() {
			rest = record.TaskSet{} // no room to split the entry: stop all of it
		}
		// What was fenced was the launcher before, not this stop.
		if rest.Empty() {
			x.Eviction, x.Fence = how, 0
			return
		}
		x.Tasks = rest
		part.Eviction, part.Fence = how, 0
		d.size += part.encodedSizeAfter(nil)
		d.allocations = append(d.allocations, part)
		return
	}
}

// stageJobEviction marks all of a job's tasks to be stopped.
func (c *Controller) stageJobEviction(r *placementTransaction, id wire.JobID, how record.Eviction) {
	for _, l := range c.jobAllocations(r, id) {
		if l.allocation.Eviction < how {
			e := *l.allocation
			c.stageEviction(r, l.page, &e, e.Tasks, how)
		}
	}
}

// evictFromPreemptedMachines stops tasks on machines that the cloud is about to take, as late as
// they can still save.
func (c *Controller) evictFromPreemptedMachines(rounds map[string]*placementTransaction) {
	for _, m := range c.orderedMachines() {
		if m.scaling.preemptionAt == 0 {
			continue
		}
		for _, e := range m.allocations {
			j := c.cache.jobs[e.Job]
			if j == nil || e.Eviction != record.EvictionNone || !c.ownsTeam(j.spec.Team) {
				continue
			}
			r := rounds[j.spec.Team]
			if r == nil || !c.hasCapacityFor(r, 4) {
				continue
			}
			saves := j.spec.CheckpointIntervalS > 0
			left := m.scaling.preemptionAt.Sub(c.now).Seconds()
			if saves && left < j.spec.CheckpointSaveS+2*checkpointMarginS || j.spec.Shape == wire.ShapeService {
				if j.spec.Shape == wire.ShapeGang {
					c.stageJobEviction(r, j.id, record.EvictionGraceful)
					continue
				}
				for _, l := range c.jobAllocations(r, j.id) {
					if l.allocation.Machine == m.id && l.allocation.Eviction == record.EvictionNone {
						x := *l.allocation
						c.stageEviction(r, l.page, &x, x.Tasks, record.EvictionGraceful)
					}
				}
			}
		}
	}
}

// preempt stops tasks to make room and returns how many tasks still have none.
// Work within its team's guarantee is stopped only where nothing else will do,
// and only for urgent work.
func (c *Controller) preempt(p *schedulingPass, rd *placement.Evaluator, rules []placement.Node, w *pendingJob, count int, usable func(*placement.Host) bool) int {
	count = c.preemptCandidates(p, rd, rules, w, count, usable, false)
	if count > 0 && w.job.spec.Priority.Level() <= wire.PriorityHigh.Level() {
		count = c.preemptCandidates(p, rd, rules, w, count, usable, true)
	}
	return count
}

func (c *Controller) preemptCandidates(p *schedulingPass, rd *placement.Evaluator, rules []placement.Node, w *pendingJob, count int, usable func(*placement.Host) bool, promised bool) int {
	j := w.job
	need := j.request.Need
	type option struct {
		host    *placement.Host
		pulling int
		free    float64
	}
	var options []option
	lower := ^uint8(0) << (j.spec.Priority.Level() + 1)
	for _, h := range p.fleet {
		if h.Unschedulable || h.PreemptablePriorities&lower == 0 && !(w.guaranteed && h.HasUnguaranteedTasks) || !h.Total.Covers(need) {
			continue
		}
		room := h.Free.Plus(h.Freeing, 1)
		for _, e := range c.allocationsOn(h.ID) {
			if c.preemptable(p.transactions, e, w, promised) {
				room = room.Plus(e.taskResources(), float64(e.Tasks.Len()))
			}
		}
		if room.Covers(need) && usable(h) && rd.Holds(rules, j.spec.Team, h) {
			options = append(options, option{h, h.PullingImages, h.Free.Cores})
		}
	}
	slices.SortFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.pulling, b.pulling), -cmp.Compare(a.free, b.free), cmp.Compare(a.host.ID, b.host.ID))
	})
	for _, o := range options {
		for count > 0 && rd.Holds(rules, j.spec.Team, o.host) && c.makeRoom(p.transactions, o.host, w, promised) {
			p.reserveFreeingCapacity(rd, j, o.host, 1)
			count--
			c.metrics.count(countPreempted, 1)
			c.log.Debug("work stopped for a more urgent job", "job", j.id, "class", j.spec.Class, "machine", o.host.ID)
		}
	}
	return count
}

// preemptable reports whether a job may have an entry stopped: one of lower
// rank, or, to get its team's guarantee, one that another team runs beyond its
// own. Urgent work is never stopped for a guarantee.
func (c *Controller) preemptable(rounds map[string]*placementTransaction, e *Allocation, w *pendingJob, promised bool) bool {
	j := c.cache.jobs[e.Job]
	if j == nil || e.Eviction != record.EvictionNone || c.scheduler.guaranteedJobs[e.Job] && !promised {
		return false
	}
	// Old work is not stopped for what is merely of higher rank: it would start
	// again and again. What saves still gives way to high ranks.
	least := wire.PriorityCritical
	if j.spec.CheckpointIntervalS > 0 {
		least = wire.PriorityHigh
	}
	if c.pendingFor(j) > overdueAfter && w.job.spec.Priority.Level() > least.Level() {
		return false
	}
	lower := e.Priority > w.job.spec.Priority.Level()
	beyond := w.guaranteed && !c.scheduler.guaranteedJobs[e.Job] && j.spec.Team != w.job.spec.Team && e.Priority >= wire.PriorityNormal.Level()
	if !lower && !beyond {
		return false
	}
	r := rounds[j.spec.Team]
	return r != nil && c.hasCapacityFor(r, 4)
}

// makeRoom halts the least urgent tasks of a machine until there is room, or
// none if there would not be.
func (c *Controller) makeRoom(rounds map[string]*placementTransaction, h *placement.Host, w *pendingJob, promised bool) bool {
	need := w.job.request.Need
	how := record.EvictionGraceful
	if w.job.spec.Priority == wire.PriorityCritical {
		how = record.EvictionImmediate // it cannot wait for others to save
	}
	room := h.Free.Plus(h.Freeing, 1)
	if room.Covers(need) {
		return true
	}
	var victims []*Allocation
	for _, e := range c.allocationsOn(h.ID) {
		if c.preemptable(rounds, e, w, promised) {
			victims = append(victims, e)
		}
	}
	slices.SortFunc(victims, func(a, b *Allocation) int {
		return cmp.Or(cmp.Compare(boolToInt(c.scheduler.guaranteedJobs[a.Job]), boolToInt(c.scheduler.guaranteedJobs[b.Job])), -cmp.Compare(a.Priority, b.Priority), -cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(a.Job, b.Job))
	})
	type stop struct {
		e     *Allocation
		tasks record.TaskSet
	}
	var stops []stop
	for _, e := range victims {
		left := c.notYetEvicted(rounds, e)
		for !left.Empty() && !room.Covers(need) {
			var one record.TaskSet
			if e.Shape == wire.ShapeGang {
				one, left = left, record.TaskSet{}
			} else {
				_, last := left.Take(left.Len() - 1)
				one, left = last, left.Without(last)
			}
			stops = append(stops, stop{e, one})
			room = room.Plus(e.taskResources(), float64(one.Len()))
		}
	}
	if !room.Covers(need) {
		return false
	}
	for _, s := range stops {
		r := rounds[c.cache.jobs[s.e.Job].spec.Team]
		if s.e.Shape == wire.ShapeGang {
			c.stageJobEviction(r, s.e.Job, how)
		} else {
			for _, l := range c.jobAllocations(r, s.e.Job) {
				if l.allocation.Machine == s.e.Machine && l.allocation.Attempt == s.e.Attempt && l.allocation.Eviction == record.EvictionNone {
					x := *l.allocation
					c.stageEviction(r, l.page, &x, s.tasks, how)
				}
			}
		}
		h.Freeing = h.Freeing.Plus(s.e.taskResources(), float64(s.tasks.Len()))
	}
	return true
}

// notYetEvicted is what of an entry the rounds have not stopped yet.
func (c *Controller) notYetEvicted(rounds map[string]*placementTransaction, e *Allocation) record.TaskSet {
	var left record.TaskSet
	r := rounds[c.cache.jobs[e.Job].spec.Team]
	for _, l := range c.jobAllocations(r, e.Job) {
		if l.allocation.Machine == e.Machine && l.allocation.Attempt == e.Attempt && l.allocation.Eviction == record.EvictionNone {
			left = left.With(l.allocation.Tasks)
		}
	}
	return left
}
