package core

import (
	"cmp"
	"slices"

	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// halt marks tasks of an entry to be stopped.
func (c *Core) halt(r *round, p *page, e *Entry, tasks record.TaskSet, how record.Eviction) {
	if c.unreadable[p.key] != nil {
		return
	}
	d := c.draft(r, p)
	for i := range d.entries {
		x := &d.entries[i]
		if !sameEntry(x, e) || x.Eviction >= how {
			continue
		}
		stopped := x.Tasks.And(tasks)
		if stopped.Empty() {
			continue
		}
		r.tell[e.Machine] = true
		rest := x.Tasks.Without(stopped)
		part := *x
		part.Tasks = stopped
		if d.size+part.roomAfter(nil) > c.pageLimit() {
			rest = record.TaskSet{} // no room to split the entry: stop all of it
		}
		// What was fenced was the launcher before, not this stop.
		if rest.Empty() {
			x.Eviction, x.Fence = how, 0
			return
		}
		x.Tasks = rest
		part.Eviction, part.Fence = how, 0
		d.size += part.roomAfter(nil)
		d.entries = append(d.entries, part)
		return
	}
}

// haltJob marks all of a job's tasks to be stopped.
func (c *Core) haltJob(r *round, id wire.JobID, how record.Eviction) {
	for _, l := range c.entriesOf(r, id) {
		if l.entry.Eviction < how {
			e := *l.entry
			c.halt(r, l.page, &e, e.Tasks, how)
		}
	}
}

// drain stops tasks on machines that the cloud is about to take, as late as
// they can still save.
func (c *Core) drain(rounds map[string]*round) {
	for _, m := range c.inOrder() {
		if m.recallAt == 0 {
			continue
		}
		for _, e := range m.entries {
			j := c.jobs[e.Job]
			if j == nil || e.Eviction != record.EvictionNone || !c.ownsTeam(j.spec.Team) {
				continue
			}
			r := rounds[j.spec.Team]
			if r == nil || !c.fits(r, 4) {
				continue
			}
			saves := j.spec.CheckpointIntervalS > 0
			left := m.recallAt.Sub(c.now).Seconds()
			if saves && left < j.spec.CheckpointSaveS+2*saveMargin || j.spec.Shape == wire.ShapeService {
				if j.spec.Shape == wire.ShapeGang {
					c.haltJob(r, j.id, record.EvictionGraceful)
					continue
				}
				for _, l := range c.entriesOf(r, j.id) {
					if l.entry.Machine == m.id && l.entry.Eviction == record.EvictionNone {
						x := *l.entry
						c.halt(r, l.page, &x, x.Tasks, record.EvictionGraceful)
					}
				}
			}
		}
	}
}

// preempt stops tasks to make room and returns how many tasks still have none.
// Work within its team's guarantee is stopped only where nothing else will do,
// and only for urgent work.
func (c *Core) preempt(p *placing, rd *placement.Reading, rules []placement.Node, w *waiting, count int, usable func(*placement.Host) bool) int {
	count = c.preemptSome(p, rd, rules, w, count, usable, false)
	if count > 0 && w.job.spec.Priority.Level() <= wire.PriorityHigh.Level() {
		count = c.preemptSome(p, rd, rules, w, count, usable, true)
	}
	return count
}

func (c *Core) preemptSome(p *placing, rd *placement.Reading, rules []placement.Node, w *waiting, count int, usable func(*placement.Host) bool, promised bool) int {
	j := w.job
	need := j.req.Need
	type option struct {
		host    *placement.Host
		pulling int
		free    float64
	}
	var options []option
	lower := ^uint8(0) << (j.spec.Priority.Level() + 1)
	for _, h := range p.fleet {
		if h.Closed || h.Ranks&lower == 0 && !(w.promised && h.Beyond) || !h.Total.Covers(need) {
			continue
		}
		room := h.Free.Plus(h.Freeing, 1)
		for _, e := range c.entriesOn(h.ID) {
			if c.preemptable(p.rounds, e, w, promised) {
				room = room.Plus(e.need(), float64(e.Tasks.Len()))
			}
		}
		if room.Covers(need) && usable(h) && rd.Holds(rules, j.spec.Team, h) {
			options = append(options, option{h, h.Pulling, h.Free.Cores})
		}
	}
	slices.SortFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.pulling, b.pulling), -cmp.Compare(a.free, b.free), cmp.Compare(a.host.ID, b.host.ID))
	})
	for _, o := range options {
		for count > 0 && rd.Holds(rules, j.spec.Team, o.host) && c.makeRoom(p.rounds, o.host, w, promised) {
			c.book(p, rd, j, o.host, 1)
			count--
			c.count(countPreempted, 1)
			c.log.Debug("work stopped for a more urgent job", "job", j.id, "class", j.spec.Class, "machine", o.host.ID)
		}
	}
	return count
}

// preemptable reports whether a job may have an entry stopped: one of lower
// rank, or, to get its team's guarantee, one that another team runs beyond its
// own. Urgent work is never stopped for a guarantee.
func (c *Core) preemptable(rounds map[string]*round, e *Entry, w *waiting, promised bool) bool {
	j := c.jobs[e.Job]
	if j == nil || e.Eviction != record.EvictionNone || c.within[e.Job] && !promised {
		return false
	}
	// Old work is not stopped for what is merely of higher rank: it would start
	// again and again. What saves still gives way to high ranks.
	least := wire.PriorityCritical
	if j.spec.CheckpointIntervalS > 0 {
		least = wire.PriorityHigh
	}
	if c.waited(j) > overdueAfter && w.job.spec.Priority.Level() > least.Level() {
		return false
	}
	lower := e.Priority > w.job.spec.Priority.Level()
	beyond := w.promised && !c.within[e.Job] && j.spec.Team != w.job.spec.Team && e.Priority >= wire.PriorityNormal.Level()
	if !lower && !beyond {
		return false
	}
	r := rounds[j.spec.Team]
	return r != nil && c.fits(r, 4)
}

// makeRoom halts the least urgent tasks of a machine until there is room, or
// none if there would not be.
func (c *Core) makeRoom(rounds map[string]*round, h *placement.Host, w *waiting, promised bool) bool {
	need := w.job.req.Need
	how := record.EvictionGraceful
	if w.job.spec.Priority == wire.PriorityCritical {
		how = record.EvictionImmediate // it cannot wait for others to save
	}
	room := h.Free.Plus(h.Freeing, 1)
	if room.Covers(need) {
		return true
	}
	var victims []*Entry
	for _, e := range c.entriesOn(h.ID) {
		if c.preemptable(rounds, e, w, promised) {
			victims = append(victims, e)
		}
	}
	slices.SortFunc(victims, func(a, b *Entry) int {
		return cmp.Or(cmp.Compare(btoi(c.within[a.Job]), btoi(c.within[b.Job])), -cmp.Compare(a.Priority, b.Priority), -cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(a.Job, b.Job))
	})
	type stop struct {
		e     *Entry
		tasks record.TaskSet
	}
	var stops []stop
	for _, e := range victims {
		left := c.unhalted(rounds, e)
		for !left.Empty() && !room.Covers(need) {
			var one record.TaskSet
			if e.Shape == wire.ShapeGang {
				one, left = left, record.TaskSet{}
			} else {
				_, last := left.Take(left.Len() - 1)
				one, left = last, left.Without(last)
			}
			stops = append(stops, stop{e, one})
			room = room.Plus(e.need(), float64(one.Len()))
		}
	}
	if !room.Covers(need) {
		return false
	}
	for _, s := range stops {
		r := rounds[c.jobs[s.e.Job].spec.Team]
		if s.e.Shape == wire.ShapeGang {
			c.haltJob(r, s.e.Job, how)
		} else {
			for _, l := range c.entriesOf(r, s.e.Job) {
				if l.entry.Machine == s.e.Machine && l.entry.Attempt == s.e.Attempt && l.entry.Eviction == record.EvictionNone {
					x := *l.entry
					c.halt(r, l.page, &x, s.tasks, how)
				}
			}
		}
		h.Freeing = h.Freeing.Plus(s.e.need(), float64(s.tasks.Len()))
	}
	return true
}

// unhalted is what of an entry the rounds have not stopped yet.
func (c *Core) unhalted(rounds map[string]*round, e *Entry) record.TaskSet {
	var left record.TaskSet
	r := rounds[c.jobs[e.Job].spec.Team]
	for _, l := range c.entriesOf(r, e.Job) {
		if l.entry.Machine == e.Machine && l.entry.Attempt == e.Attempt && l.entry.Eviction == record.EvictionNone {
			left = left.With(l.entry.Tasks)
		}
	}
	return left
}
