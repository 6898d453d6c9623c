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
	missing        record.TaskSet // its tasks that are not placed
	zone           string         // where its tasks are, if it needs a single zone
	guaranteed     bool           // within its team's quota guarantee
	deadline       int64          // the next target that it can still meet, in Unix milliseconds
	missesDeadline bool           // not all jobs can meet their deadlines, and it is among those that will not
	overdue        bool           // it has waited so long for its first start that it is not put off any more
}

// The kinds of objectives, as settings name them.
const (
	objectiveWait     = "wait"     // start within a time
	objectiveFinished = "finished" // be complete within a time
)

// The classes of deadlines, in the order in which their jobs are placed.
const (
	deadlineReachable = iota
	deadlineMissed
	deadlineNone
)

// deadlineClass orders the jobs that can still meet their deadline, those that no longer can,
// and those without one: a huge array without a deadline once went ahead of all jobs that
// were late.
func (pending *pendingJob) deadlineClass() int {
	switch {
	case pending.missesDeadline:
		return deadlineMissed
	case pending.deadline == noDeadline:
		return deadlineNone
	}
	return deadlineReachable
}

// comparePending orders pending jobs, the most urgent first: critical ones; then overdue
// ones; then those within their team's guarantee; then by priority, deadline and age.
func comparePending(a, b pendingJob) int {
	levelA, levelB := a.job.spec.Priority.Level(), b.job.spec.Priority.Level()
	critical := wire.PriorityCritical.Level()
	if (levelA == critical) != (levelB == critical) {
		return cmp.Compare(levelA, levelB)
	}
	byAge := cmp.Or(cmp.Compare(a.job.acceptedAt, b.job.acceptedAt), cmp.Compare(a.job.id, b.job.id))
	if a.overdue || b.overdue {
		return cmp.Or(-cmp.Compare(boolToInt(a.overdue), boolToInt(b.overdue)), byAge)
	}
	return cmp.Or(
		-cmp.Compare(boolToInt(a.guaranteed), boolToInt(b.guaranteed)),
		cmp.Compare(levelA, levelB),
		cmp.Compare(a.deadlineClass(), b.deadlineClass()),
		cmp.Compare(a.deadline, b.deadline),
		byAge)
}

// pendingJobs is the queue of the pass: all pending jobs, the most urgent first. Jobs in
// backoff, and jobs whose records cannot be read, are left out.
func (p *schedulingPass) pendingJobs() []pendingJob {
	c := p.c
	if p.includeNonCritical {
		c.scheduler.guaranteedJobs = c.findGuaranteedJobs()
	}
	var queue []pendingJob
	for _, id := range sortedKeys(c.cache.jobs) {
		job := c.cache.jobs[id]
		switch {
		case !p.includeNonCritical && job.spec.Priority != wire.PriorityCritical:
		case c.jobUnreadable(id):
			job.pendingReason = reasonUnreadable
		case c.inBackoff(job):
			job.pendingReason = reasonCrashLoopBackoff
		default:
			missing := p.missingTasks(job)
			if missing.Empty() || job.spec.Shape == wire.ShapeGang && missing.Len() < job.spec.Tasks {
				continue // a gang starts as a whole
			}
			queue = append(queue, p.newPendingJob(job, missing))
		}
	}
	slices.SortFunc(queue, comparePending)
	if p.includeNonCritical && c.deferLargestLateJobs(queue) {
		slices.SortFunc(queue, comparePending)
	}
	return queue
}

// missingTasks is a job's tasks that are neither completed nor placed, nor recorded as
// completed by a transaction that is staged or in flight.
func (p *schedulingPass) missingTasks(job *job) record.TaskSet {
	missing := record.Span(0, job.spec.Tasks).Without(job.completed).Without(p.placed[job.id])
	if txn := p.c.cache.team(job.spec.Team).schedule.inFlight; txn != nil {
		return missing.Without(txn.completed[job.id])
	}
	if txn := p.transactions[job.spec.Team]; txn != nil {
		return missing.Without(txn.completed[job.id])
	}
	return missing
}

func (p *schedulingPass) newPendingJob(job *job, missing record.TaskSet) pendingJob {
	c := p.c
	pending := pendingJob{job: job, missing: missing, guaranteed: c.scheduler.guaranteedJobs[job.id]}
	pending.deadline, pending.missesDeadline = c.deadlineOf(job)
	// A job that fails on every machine has started; it must not go ahead of others for ever.
	pending.overdue = c.pendingFor(job) > overdueAfter && missing.Len() == job.spec.Tasks && job.crashLoop.consecutiveBackoffs == 0
	if job.spec.SingleZone {
		pending.zone = p.jobZones[job.id]
	}
	return pending
}

// pendingFor is how long ago a job was accepted.
func (c *Controller) pendingFor(job *job) time.Duration {
	return time.Duration(c.wall-job.acceptedAt) * time.Millisecond
}

// overdueAfter is how long a job may wait for its first start before it goes ahead of all but
// critical jobs, whatever its priority, its size and its chances to meet its deadline.
// Without a bound, a stream of small jobs would put the largest off without end. Users expect
// their jobs to start within four minutes.
const overdueAfter = 100 * time.Second

// deferLargestLateJobs marks the jobs that will miss their deadlines when not all can be met,
// and reports whether it marked any. It takes the jobs by deadline and, whenever one would be
// late, defers the largest so far (Moore and Hodgson's rule): that leaves the fewest late.
func (c *Controller) deferLargestLateJobs(queue []pendingJob) bool {
	cores := c.coresForFiniteJobs()
	if cores <= 0 {
		return false
	}
	var selected []*pendingJob
	coreSeconds, deferred := 0.0, false
	for i := range queue {
		pending := &queue[i]
		if pending.missesDeadline || pending.deadline == noDeadline || pending.job.spec.Accelerators > 0 || c.pendingFor(pending.job) > overdueAfter {
			continue
		}
		selected = append(selected, pending)
		coreSeconds += pending.coreSeconds()
		if coreSeconds/cores <= float64(pending.deadline-c.wall)/1000 {
			continue
		}
		largest := 0
		for k := range selected {
			if selected[k].coreSeconds() > selected[largest].coreSeconds() {
				largest = k
			}
		}
		coreSeconds -= selected[largest].coreSeconds()
		selected[largest].missesDeadline = true
		selected = slices.Delete(selected, largest, largest+1)
		deferred = true
	}
	return deferred
}

// coreSeconds is the work of the job's missing tasks.
func (pending *pendingJob) coreSeconds() float64 {
	spec := &pending.job.spec
	return float64(pending.missing.Len()) * spec.Cores * spec.RuntimeS
}

// coresForFiniteJobs is how many cores the machines that accept tasks have beside those that
// services take.
func (c *Controller) coresForFiniteJobs() float64 {
	cores := 0.0
	for _, machine := range c.orderedMachines() {
		if machineType := c.machineTypeNamed(machine.machineType); machineType != nil && c.acceptsTasks(machine) {
			cores += machineType.Cores
		}
	}
	// Summed up in a fixed order: a sum of fractions depends on it by little, which may still
	// decide whether a job is deferred.
	var serviceCores []float64
	for _, job := range c.cache.jobs {
		if job.spec.Shape == wire.ShapeService && job.crashLoop.consecutiveBackoffs == 0 && !job.unreadable {
			serviceCores = append(serviceCores, job.spec.Cores*float64(job.spec.Tasks))
		}
	}
	slices.Sort(serviceCores)
	for _, taken := range serviceCores {
		cores -= taken
	}
	return cores
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// noDeadline is the deadline of jobs that have neither a deadline nor an objective.
const noDeadline = int64(1) << 62

// deadlineOf is when a job should be complete, in Unix milliseconds: by its own deadline or,
// without one, by the objectives of its class. Of several it is the first that can still be
// met; missed says that none can.
func (c *Controller) deadlineOf(job *job) (deadline int64, missed bool) {
	earliestEnd := c.wall + int64(job.spec.RuntimeS*1000)
	if job.spec.DeadlineS > 0 {
		deadline = job.acceptedAt + int64(job.spec.DeadlineS*1000)
		return deadline, deadline < earliestEnd
	}
	deadline = noDeadline
	hasObjective := false
	for _, objective := range c.settings.Cluster.Objectives {
		if objective.Kind != objectiveFinished || objective.Class != job.spec.Class {
			continue
		}
		hasObjective = true
		if at := job.acceptedAt + int64(objective.WithinS*1000); at >= earliestEnd && at < deadline {
			deadline = at
		}
	}
	return deadline, hasObjective && deadline == noDeadline
}

// quotaTolerance forgives rounding in sums of fractions of cores.
const quotaTolerance = 1e-6

// findGuaranteedJobs finds the jobs within their team's quota guarantee: those that fit into
// it together with the team's earlier jobs. Jobs in crash-loop backoff take up none of it.
func (c *Controller) findGuaranteedJobs() map[wire.JobID]bool {
	jobsByTeam := map[string][]*job{}
	for _, job := range c.cache.jobs {
		if job.crashLoop.consecutiveBackoffs > 0 || job.unreadable {
			continue
		}
		jobsByTeam[job.spec.Team] = append(jobsByTeam[job.spec.Team], job)
	}
	guaranteed := map[wire.JobID]bool{}
	for name, jobs := range jobsByTeam {
		settings := c.teamSettings(name)
		if settings == nil {
			continue
		}
		slices.SortFunc(jobs, func(a, b *job) int { return cmp.Or(cmp.Compare(a.acceptedAt, b.acceptedAt), cmp.Compare(a.id, b.id)) })
		var used placement.Resources
		for _, job := range jobs {
			used = used.Plus(job.request.Need, float64(job.spec.Tasks))
			if used.Cores <= settings.CPUs+quotaTolerance && used.Accelerators <= settings.GPUs+quotaTolerance {
				guaranteed[job.id] = true
			}
		}
	}
	return guaranteed
}
