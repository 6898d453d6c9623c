package controller

import (
	"cmp"
	"slices"
	"time"

	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// pendingJob is a job with tasks that are not placed.
type pendingJob struct {
	job            *job
	missing        record.TaskSet
	zone           string // where its tasks are, if it is to stay together
	guaranteed     bool   // within its team's guarantee
	deadline       int64  // the next target that it can still meet, in Unix milliseconds
	missesDeadline bool   // not all can be in time, and this one is not among those chosen
	overdue        bool   // it has waited so long for its first start that it is put off no more
}

// deadlineClass orders what can still be in time, what no longer can, and what nobody stated
// a time for: a huge array without any once went ahead of all work that was late.
func (w *pendingJob) deadlineClass() int {
	switch {
	case w.missesDeadline:
		return 1
	case w.deadline == noDeadline:
		return 2
	}
	return 0
}

// pendingJobs is all that waits, most urgent first.
func (c *Controller) pendingJobs(transactions map[string]*placementTransaction, placed map[wire.JobID]record.TaskSet, zones map[wire.JobID]string, rest bool) []pendingJob {
	if rest {
		c.scheduler.guaranteedJobs = c.findGuaranteedJobs()
	}
	var queue []pendingJob
	for _, id := range sortedKeys(c.cache.jobs) {
		j := c.cache.jobs[id]
		if !rest && j.spec.Priority != wire.PriorityCritical {
			continue
		}
		if c.jobUnreadable(id) {
			j.pendingReason = "its record, or a placement record of its team, cannot be read"
			continue
		}
		if c.inBackoff(j) {
			j.pendingReason = "its tasks failed; they are tried again after a pause"
			continue
		}
		missing := record.Span(0, j.spec.Tasks).Without(j.completed).Without(placed[id])
		if r := c.cache.team(j.spec.Team).schedule.inFlight; r != nil {
			missing = missing.Without(r.completed[id])
		} else if r := transactions[j.spec.Team]; r != nil {
			missing = missing.Without(r.completed[id])
		}
		if missing.Empty() || j.spec.Shape == wire.ShapeGang && missing.Len() < j.spec.Tasks {
			continue
		}
		w := pendingJob{job: j, missing: missing, guaranteed: c.scheduler.guaranteedJobs[id]}
		w.deadline, w.missesDeadline = c.deadlineOf(j)
		// What fails everywhere has begun; it must not go ahead of others for ever.
		w.overdue = c.pendingFor(j) > overdueAfter && missing.Len() == j.spec.Tasks && j.crashLoop.consecutiveBackoffs == 0
		if j.spec.SingleZone {
			w.zone = zones[id]
		}
		queue = append(queue, w)
	}
	order := func(a, b pendingJob) int {
		ra, rb := a.job.spec.Priority.Level(), b.job.spec.Priority.Level()
		if ra == 0 || rb == 0 {
			if d := cmp.Compare(ra, rb); d != 0 {
				return d
			}
		}
		if a.overdue || b.overdue {
			return cmp.Or(-cmp.Compare(boolToInt(a.overdue), boolToInt(b.overdue)), cmp.Compare(a.job.acceptedAt, b.job.acceptedAt), cmp.Compare(a.job.id, b.job.id))
		}
		return cmp.Or(-cmp.Compare(boolToInt(a.guaranteed), boolToInt(b.guaranteed)), cmp.Compare(ra, rb),
			cmp.Compare(a.deadlineClass(), b.deadlineClass()), cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.job.acceptedAt, b.job.acceptedAt),
			cmp.Compare(a.job.id, b.job.id))
	}
	slices.SortFunc(queue, order)
	if rest && c.deferLargestLateJobs(queue) {
		slices.SortFunc(queue, order)
	}
	return queue
}

// pendingFor is how long ago a job was accepted.
func (c *Controller) pendingFor(j *job) time.Duration {
	return time.Duration(c.wall-j.acceptedAt) * time.Millisecond
}

// overdueAfter is how long a job may wait for its first start before it goes
// ahead of all but critical work, whatever its rank, its size and its chances
// to be in time. Without a bound, a stream of small jobs would put the largest
// off without end. Users expect them to begin within four minutes.
const overdueAfter = 100 * time.Second

// deferLargestLateJobs marks jobs late when not all can be in time: taking them as they
// are due, whenever one would be too late, the largest so far is put off. That
// leaves the most jobs in time. It reports whether it marked any.
func (c *Controller) deferLargestLateJobs(queue []pendingJob) bool {
	cores := 0.0
	for _, m := range c.orderedMachines() {
		if t := c.machineTypeNamed(m.machineType); t != nil && c.acceptsTasks(m) {
			cores += t.Cores
		}
	}
	// Summed up in a fixed order: by as little as the sum of fractions depends on it, it
	// may decide whether a job is put off.
	var replicas []float64
	for _, j := range c.cache.jobs {
		if j.spec.Shape == wire.ShapeService && j.crashLoop.consecutiveBackoffs == 0 && !j.unreadable {
			replicas = append(replicas, j.spec.Cores*float64(j.spec.Tasks))
		}
	}
	slices.Sort(replicas)
	for _, taken := range replicas {
		cores -= taken
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
		if w.missesDeadline || w.deadline == noDeadline || w.job.spec.Accelerators > 0 || c.pendingFor(w.job) > overdueAfter {
			continue
		}
		picked = append(picked, i)
		sum += work(i)
		if sum/cores <= float64(w.deadline-c.wall)/1000 {
			continue
		}
		k := 0
		for n := range picked {
			if work(picked[n]) > work(picked[k]) {
				k = n
			}
		}
		sum -= work(picked[k])
		queue[picked[k]].missesDeadline = true
		picked = slices.Delete(picked, k, k+1)
		any = true
	}
	return any
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// noDeadline is the due time of jobs that nobody expects to end by a certain time.
const noDeadline = int64(1) << 62

// deadlineOf is when a job should be complete: by its deadline or, without one, within
// the times that the objectives set for its class. Of several it is the first
// that can still be met; late says that none can.
func (c *Controller) deadlineOf(j *job) (due int64, late bool) {
	least := c.wall + int64(j.spec.RuntimeS*1000)
	if j.spec.DeadlineS > 0 {
		due = j.acceptedAt + int64(j.spec.DeadlineS*1000)
		return due, due < least
	}
	due = noDeadline
	for _, o := range c.settings.Cluster.Objectives {
		if o.Kind != "finished" || o.Class != j.spec.Class {
			continue
		}
		late = true
		if t := j.acceptedAt + int64(o.WithinS*1000); t >= least && t < due {
			due = t
		}
	}
	return due, late && due == noDeadline
}

// findGuaranteedJobs finds the jobs that lie within their team's guarantee: those that fit
// into it together with the team's earlier jobs.
func (c *Controller) findGuaranteedJobs() map[wire.JobID]bool {
	byTeam := map[string][]*job{}
	for _, j := range c.cache.jobs {
		if j.crashLoop.consecutiveBackoffs > 0 || j.unreadable {
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
		slices.SortFunc(jobs, func(a, b *job) int { return cmp.Or(cmp.Compare(a.acceptedAt, b.acceptedAt), cmp.Compare(a.id, b.id)) })
		var sum placement.Resources
		for _, j := range jobs {
			sum = sum.Plus(j.request.Need, float64(j.spec.Tasks))
			if sum.Cores <= set.CPUs+1e-6 && sum.Accelerators <= set.GPUs+1e-6 {
				out[j.id] = true
			}
		}
	}
	return out
}
