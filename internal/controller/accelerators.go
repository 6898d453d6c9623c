package controller

import (
	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// reserveAccelerators reserves the machines with accelerators that pending jobs could use. Less urgent
// jobs that need no accelerators avoid these machines. Otherwise another controller would place them
// again on each machine from which they were just evicted, and a gang would never find enough
// accelerators at once.
//
// It must be called before any job is placed: less urgent jobs within a guarantee are placed before
// urgent jobs beyond one, and would otherwise take these machines without needing accelerators.
func (p *schedulingPass) reserveAccelerators(queue []pendingJob) {
	var waiting []*pendingJob
	for i := range queue {
		job := queue[i].job
		if job.request.Need.Accelerators > 0 && job.mayPreempt() && p.tasksWithinLimit(&queue[i]) > 0 {
			waiting = append(waiting, &queue[i])
		}
	}
	if len(waiting) == 0 {
		return
	}
	p.accelerators = map[*placement.Host]bool{}
	for _, host := range p.fleet {
		if host.Total.Accelerators > 0 && p.mayServeAccelerators(host, waiting) {
			p.accelerators[host] = true
		}
	}
}

// mayServeAccelerators reports whether a machine has accelerators for one of the waiting jobs that are
// free, are being freed, or are used by tasks that the job could evict. While others use the
// accelerators, the rest of the machine is of no use to the waiting jobs.
func (p *schedulingPass) mayServeAccelerators(host *placement.Host, waiting []*pendingJob) bool {
	available := host.Free.Plus(host.Freeing, 1).Accelerators
	for _, pending := range waiting {
		spec := &pending.job.spec
		switch {
		case host.Labels[placement.LabelSpot] == "true" && !spec.Spot:
		case available >= spec.Accelerators || available+p.evictableAccelerators(host, pending) >= spec.Accelerators:
			return true
		}
	}
	return false
}

// evictableAccelerators returns the accelerators of a machine that are used by tasks which a pending job
// outranks and which are not being evicted yet.
func (p *schedulingPass) evictableAccelerators(host *placement.Host, pending *pendingJob) float64 {
	evictable := 0.0
	for _, allocation := range p.c.fleet.allocationsOn(host.ID) {
		job := p.c.cache.jobs[allocation.Job]
		if job != nil && allocation.Eviction == record.EvictionNone && p.c.outranks(pending, allocation, job) {
			evictable += allocation.Accelerators * float64(allocation.Tasks.Len())
		}
	}
	return evictable
}

// avoidsAccelerators reports whether a job must avoid the machines with reserved accelerators.
func (p *schedulingPass) avoidsAccelerators(job *job) bool {
	return len(p.accelerators) > 0 && job.request.Need.Accelerators == 0 && job.spec.Priority.Level() > wire.PriorityHigh.Level()
}
