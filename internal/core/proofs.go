package core

import (
	"time"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// takeProofs removes what is proven to be gone and fences what may be. Silence
// alone proves nothing.
func (c *Core) takeProofs(r *round) {
	for _, p := range r.team.inOrder() {
		if !p.look || c.unreadable[p.key] != nil {
			continue // a write of a page that cannot be read would be lost
		}
		p.look = false
		c.count(countLooked, 1)
		for i := range p.entries {
			// Room is left for the pages of the zones that it may place in. On a page
			// that is written anyway, more proofs cost no further write.
			if r.pages[p.key] == nil && !c.endFits(r) || !c.fits(r, 2) {
				p.look = true
				break
			}
			if c.takeProof(r, p, &p.entries[i]) {
				p.look = true
			}
		}
	}
}

// lookAgain notes that a machine showed something new: what stands on it may be
// proven to have ended.
func (m *machine) lookAgain() {
	for _, e := range m.entries {
		e.page.look = true
	}
}

// takeProof takes what is proven of one entry, and reports whether to look at it
// again even if its machine shows nothing new: something is open, or was taken and
// is yet to be written. Most entries run for long and cost nothing meanwhile.
func (c *Core) takeProof(r *round, p *page, e *Entry) bool {
	m := e.on
	if m.gone {
		c.remove(r, p, e, e.Tasks, record.TaskSet{})
		return true
	}
	rep := m.direct
	if rep == nil || rep.AgentEpoch < e.Session {
		return false
	}
	if rep.AgentEpoch > e.Session {
		// The worker's lease ran out: it killed everything, and obeys no command
		// that was meant for the session before.
		c.remove(r, p, e, e.Tasks, record.TaskSet{})
		return true
	}
	j := c.jobs[e.Job]
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
			c.fence(r, p, e, func(d *Entry) {
				if d.Eviction == record.EvictionNone {
					d.Eviction = record.EvictionImmediate
				}
			})
		case !c.live(e.Launcher) || e.Launcher != c.boot && (c.isolatedBoot(e.Launcher) || c.lacked(m, e)):
			// Its launcher is gone, or lives but does not reach this worker: take
			// over, with a fence so that a launch it sent is dead or in the next
			// report.
			c.fence(r, p, e, func(d *Entry) {
				d.Launcher = c.boot
				c.count(countTakeOvers, 1)
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
		r.done[e.Job] = r.done[e.Job].With(done)
		// Where there is no room for the end it is written down later (endJobs):
		// the machine's room is free all the same.
		if !r.ends[e.Job] && j.done.With(r.done[e.Job]).Len() == j.spec.Tasks && c.endFits(r) {
			c.end(r, j)
		}
	}
	c.remove(r, p, e, gone, done)
	return true
}

// endFits reports whether a round may take on another change and still have room
// to place tasks in all zones.
func (c *Core) endFits(r *round) bool { return c.fits(r, 3+len(c.settings.Cluster.Zones)) }

// lacked reports whether a worker that reports here has lacked an entry's tasks
// for so long that its launcher does not seem to reach it.
func (c *Core) lacked(m *machine, e *Entry) bool {
	first := e.Tasks.First()
	since, ok := m.lacking[e.key(first)]
	if !ok {
		m.lacking[e.key(first)] = c.now
		return false
	}
	patience := launchPatience
	if j := c.jobs[e.Job]; j != nil && e.Shape == wire.ShapeGang {
		patience += c.gangFetch(j, e.Attempt) // its launcher may hold it back
	}
	return c.now.Sub(max(since, c.awake)) > patience && c.now.Sub(m.heardDirect) < launchPatience
}

// launchPatience is how long a launcher has to get a launch to a worker before
// the controller that hears the worker takes over.
const launchPatience = 3 * time.Second

// fence changes an entry and raises the token in the same write.
func (c *Core) fence(r *round, p *page, e *Entry, change func(*Entry)) {
	d := c.draft(r, p)
	for i := range d.entries {
		if x := &d.entries[i]; sameEntry(x, e) {
			change(x)
			x.Fence = c.token + 1
			c.count(countFences, 1)
			if !r.bump {
				r.bump = true
				r.ops++
				r.conds[record.TokenKey] = c.keyVersions[record.TokenKey]
			}
			r.tell[e.Machine] = true
		}
	}
}

func sameEntry(a, b *Entry) bool {
	return a.Job == b.Job && a.Attempt == b.Attempt && a.Machine == b.Machine && a.Eviction == b.Eviction
}

// remove takes tasks out of an entry and notes those of them that are done.
func (c *Core) remove(r *round, p *page, e *Entry, gone, done record.TaskSet) {
	d := c.draft(r, p)
	kept := d.entries[:0]
	for _, x := range d.entries {
		if x.Job == e.Job && x.Attempt == e.Attempt && x.Machine == e.Machine {
			x.Tasks = x.Tasks.Without(gone)
			if x.Tasks.Empty() {
				continue
			}
		}
		kept = append(kept, x)
	}
	d.entries = kept
	if !done.Empty() {
		d.done[e.Job] = d.done[e.Job].With(done)
	}
}

// endJobs ends jobs whose last tasks were noted by several controllers at once,
// none of which saw them all, or by a round that had no room left for their ends:
// when hundreds of small jobs end together, their ends come after their tasks'.
func (c *Core) endJobs(rounds map[string]*round) {
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		r := rounds[j.spec.Team]
		if r == nil || j.done.Len() < j.spec.Tasks || !c.ownsTeam(j.spec.Team) || !c.fits(r, 3) {
			continue
		}
		if !r.ends[id] {
			r.done[id] = record.TaskSet{}
			c.end(r, j)
		}
	}
}
