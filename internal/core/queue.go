package core

import (
	"cmp"
	"slices"
	"time"

	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// waiting is a job with tasks that are not placed.
type waiting struct {
	job      *job
	missing  record.TaskSet
	zone     string // where its tasks are, if it is to stay together
	promised bool   // within its team's guarantee
	due      int64  // the next target that it can still meet, in Unix milliseconds
	late     bool   // not all can be in time, and this one is not among those chosen
	overdue  bool   // it has waited so long for its first start that it is put off no more
}

// chance orders what can still be in time, what no longer can, and what nobody stated
// a time for: a huge array without any once went ahead of all work that was late.
func (w *waiting) chance() int {
	switch {
	case w.late:
		return 1
	case w.due == never:
		return 2
	}
	return 0
}

// queue is all that waits, most urgent first.
func (c *Core) queue(rounds map[string]*round, placed map[wire.JobID]record.TaskSet, zones map[wire.JobID]string, rest bool) []waiting {
	if rest {
		c.within = c.promised()
	}
	var queue []waiting
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		if !rest && j.spec.Priority != wire.PriorityCritical {
			continue
		}
		if c.holds(id) {
			j.why = "its record, or a placement record of its team, cannot be read"
			continue
		}
		if c.paused(j) {
			j.why = "its tasks failed; they are tried again after a pause"
			continue
		}
		missing := record.Span(0, j.spec.Tasks).Without(j.done).Without(placed[id])
		if r := c.teamOf(j.spec.Team).writing; r != nil {
			missing = missing.Without(r.done[id])
		} else if r := rounds[j.spec.Team]; r != nil {
			missing = missing.Without(r.done[id])
		}
		if missing.Empty() || j.spec.Shape == wire.ShapeGang && missing.Len() < j.spec.Tasks {
			continue
		}
		w := waiting{job: j, missing: missing, promised: c.within[id]}
		w.due, w.late = c.due(j)
		// What fails everywhere has begun; it must not go ahead of others for ever.
		w.overdue = c.waited(j) > overdueAfter && missing.Len() == j.spec.Tasks && j.strikes == 0
		if j.spec.SingleZone {
			w.zone = zones[id]
		}
		queue = append(queue, w)
	}
	order := func(a, b waiting) int {
		ra, rb := a.job.spec.Priority.Level(), b.job.spec.Priority.Level()
		if ra == 0 || rb == 0 {
			if d := cmp.Compare(ra, rb); d != 0 {
				return d
			}
		}
		if a.overdue || b.overdue {
			return cmp.Or(-cmp.Compare(btoi(a.overdue), btoi(b.overdue)), cmp.Compare(a.job.at, b.job.at), cmp.Compare(a.job.id, b.job.id))
		}
		return cmp.Or(-cmp.Compare(btoi(a.promised), btoi(b.promised)), cmp.Compare(ra, rb),
			cmp.Compare(a.chance(), b.chance()), cmp.Compare(a.due, b.due), cmp.Compare(a.job.at, b.job.at),
			cmp.Compare(a.job.id, b.job.id))
	}
	slices.SortFunc(queue, order)
	if rest && c.giveUpSome(queue) {
		slices.SortFunc(queue, order)
	}
	return queue
}

// waited is how long ago a job was accepted.
func (c *Core) waited(j *job) time.Duration { return time.Duration(c.wall-j.at) * time.Millisecond }

// overdueAfter is how long a job may wait for its first start before it goes
// ahead of all but critical work, whatever its rank, its size and its chances
// to be in time. Without a bound, a stream of small jobs would put the largest
// off without end. Users expect them to begin within four minutes.
const overdueAfter = 100 * time.Second

// giveUpSome marks jobs late when not all can be in time: taking them as they
// are due, whenever one would be too late, the largest so far is put off. That
// leaves the most jobs in time. It reports whether it marked any.
func (c *Core) giveUpSome(queue []waiting) bool {
	cores := 0.0
	for _, m := range c.machines {
		if t := c.kind(m.kind); t != nil && c.usable(m) {
			cores += t.Cores
		}
	}
	for _, j := range c.jobs {
		if j.spec.Shape == wire.ShapeService && j.strikes == 0 && !j.unreadable {
			cores -= j.spec.Cores * float64(j.spec.Tasks)
		}
	}
	if cores <= 0 {
		return false
	}
	var picked []int
	sum, any := 0.0, false
	work := func(i int) float64 {
		s := &queue[i].job.spec
		return float64(queue[i].missing.Len()) * s.Cores * s.RuntimeS
	}
	for i := range queue {
		w := &queue[i]
		if w.late || w.due == never || w.job.spec.Accelerators > 0 || c.waited(w.job) > overdueAfter {
			continue
		}
		picked = append(picked, i)
		sum += work(i)
		if sum/cores <= float64(w.due-c.wall)/1000 {
			continue
		}
		k := 0
		for n := range picked {
			if work(picked[n]) > work(picked[k]) {
				k = n
			}
		}
		sum -= work(picked[k])
		queue[picked[k]].late = true
		picked = slices.Delete(picked, k, k+1)
		any = true
	}
	return any
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// never is the due time of jobs that nobody expects to end by a certain time.
const never = int64(1) << 62

// due is when a job should be complete: by its deadline or, without one, within
// the times that the objectives set for its class. Of several it is the first
// that can still be met; late says that none can.
func (c *Core) due(j *job) (due int64, late bool) {
	least := c.wall + int64(j.spec.RuntimeS*1000)
	if j.spec.DeadlineS > 0 {
		due = j.at + int64(j.spec.DeadlineS*1000)
		return due, due < least
	}
	due = never
	for _, o := range c.settings.Cluster.Objectives {
		if o.Kind != "finished" || o.Class != j.spec.Class {
			continue
		}
		late = true
		if t := j.at + int64(o.WithinS*1000); t >= least && t < due {
			due = t
		}
	}
	return due, late && due == never
}

// promised finds the jobs that lie within their team's guarantee: those that fit
// into it together with the team's earlier jobs.
func (c *Core) promised() map[wire.JobID]bool {
	byTeam := map[string][]*job{}
	for _, j := range c.jobs {
		if j.strikes > 0 || j.unreadable {
			continue // it takes nothing, so it takes up no guarantee
		}
		byTeam[j.spec.Team] = append(byTeam[j.spec.Team], j)
	}
	out := map[wire.JobID]bool{}
	for name, jobs := range byTeam {
		set := c.teamSettings(name)
		if set == nil {
			continue
		}
		slices.SortFunc(jobs, func(a, b *job) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id)) })
		var sum placement.Amount
		for _, j := range jobs {
			sum = sum.Plus(j.req.Need, float64(j.spec.Tasks))
			if sum.Cores <= set.CPUs+1e-6 && sum.Accelerators <= set.GPUs+1e-6 {
				out[j.id] = true
			}
		}
	}
	return out
}
