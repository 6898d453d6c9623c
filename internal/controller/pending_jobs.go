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
	missing        record.TaskSet // tasks that are neither placed nor completed
	zone           string         // zone of the job's placed tasks, if it needs a single zone
	guaranteed     bool           // the job is within its team's quota guarantee
	deadline       int64          // its deadline or earliest objective still reachable, in Unix milliseconds
	missesDeadline bool           // the job cannot meet its deadline, or was deferred so that others can
	overdue        bool           // the job has waited longer than overdueAfter for its first start
	staged         bool           // tasks of the job are placed by the pass
}

// The kinds of objectives in the settings.
const (
	objectiveWait     = "wait"     // a job starts within a given time
	objectiveFinished = "finished" // a job completes within a given time
)

// The classes of deadlines, in the order in which their jobs are placed.
const (
	deadlineReachable = iota
	deadlineMissed
	deadlineNone
)

// deadlineClass returns the deadline class of a job. Jobs that can still meet their deadline come
// first, then those that cannot, then those without a deadline. If late jobs were ordered like
// jobs without a deadline, a huge array without a deadline could be placed before all of them.
func (pending *pendingJob) deadlineClass() int {
	switch {
	case pending.missesDeadline:
		return deadlineMissed
	case pending.deadline == noDeadline:
		return deadlineNone
	}
	return deadlineReachable
}

// comparePending orders pending jobs from the most to the least urgent. Critical jobs come first,
// then overdue jobs, then jobs within their team's quota guarantee. Otherwise jobs are ordered by
// priority, deadline class, deadline and age.
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

// pendingJobs returns the queue of the pass: all pending jobs, the most urgent first. Jobs in
// crash-loop backoff and jobs whose records cannot be read are left out.
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
			if missing.IsEmpty() || job.spec.Shape == wire.ShapeGang && missing.Len() < job.spec.Tasks {
				continue // a gang is placed only as a whole
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

// missingTasks returns the tasks of a job that are neither completed nor placed. Tasks that a
// staged or in-flight transaction records as completed count as completed.
func (p *schedulingPass) missingTasks(job *job) record.TaskSet {
	missing := record.Span(0, job.spec.Tasks).Difference(job.completed).Difference(p.placed[job.id])
	if txn := p.c.cache.team(job.spec.Team).schedule.inFlight; txn != nil {
		return missing.Difference(txn.completed[job.id])
	}
	if txn := p.transactions[job.spec.Team]; txn != nil {
		return missing.Difference(txn.completed[job.id])
	}
	return missing
}

func (p *schedulingPass) newPendingJob(job *job, missing record.TaskSet) pendingJob {
	c := p.c
	pending := pendingJob{job: job, missing: missing, guaranteed: c.scheduler.guaranteedJobs[job.id]}
	pending.deadline, pending.missesDeadline = c.deadlineOf(job)
	// A job in a crash loop has started before. Its failing tasks are missing again, and must
	// not make it overdue, or it would stay ahead of other jobs forever.
	pending.overdue = c.pendingFor(job) > overdueAfter && missing.Len() == job.spec.Tasks && job.crashLoop.consecutiveBackoffs == 0
	if job.spec.SingleZone {
		pending.zone = p.jobZones[job.id]
	}
	return pending
}

// pendingFor returns the time since a job was accepted.
func (c *Controller) pendingFor(job *job) time.Duration {
	return time.Duration(c.wall-job.acceptedAt) * time.Millisecond
}

// overdueAfter is the time that a job may wait for its first start before it is placed ahead of
// all but critical jobs, regardless of its priority, size and deadline. Without this bound, a
// stream of small jobs would defer the largest jobs forever. Users expect their jobs to start
// within four minutes.
const overdueAfter = 100 * time.Second

// deferLargestLateJobs marks jobs as missing their deadlines if not all deadlines can be met, and
// reports whether it marked any. It uses the Moore-Hodgson algorithm, which minimizes the number
// of late jobs: it takes the jobs in the order of the queue and, whenever a job would be late,
// defers the largest job taken so far.
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

// coreSeconds returns the work of the job's missing tasks, in core-seconds.
func (pending *pendingJob) coreSeconds() float64 {
	spec := &pending.job.spec
	return float64(pending.missing.Len()) * spec.Cores * spec.RuntimeS
}

// coresForFiniteJobs returns the number of cores of the machines that accept tasks, less the
// cores that services need.
func (c *Controller) coresForFiniteJobs() float64 {
	cores := 0.0
	for _, machine := range c.orderedMachines() {
		if machineType := c.machineTypeNamed(machine.machineType); machineType != nil && c.acceptsTasks(machine) {
			cores += machineType.Cores
		}
	}
	// The cores are added in a fixed order. Floating-point rounding depends on the order, and
	// even a small difference may decide whether a job is deferred.
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

// noDeadline is the deadline, in Unix milliseconds, of jobs that have neither a deadline nor an
// objective that can still be met.
const noDeadline = int64(1) << 62

// deadlineOf returns the time by which a job should be complete, in Unix milliseconds. It is the
// job's own deadline or, if the job has none, the earliest objective of its class that can still
// be met. The result missed reports that the deadline, or every objective, can no longer be met.
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

// quotaTolerance, in cores or accelerators, absorbs rounding errors in sums of fractions.
const quotaTolerance = 1e-6

// findGuaranteedJobs returns the jobs within their team's quota guarantee: those that fit into
// the guarantee together with the team's earlier jobs. Jobs in crash-loop backoff and jobs whose
// records cannot be read take up none of it.
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
