package controller

import (
	"cmp"
	"slices"

	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// preemptionSearch is a search for room for a pending job that may evict tasks of other jobs.
type preemptionSearch struct {
	pass      *schedulingPass
	evaluator *placement.Evaluator
	rules     []placement.RuleTree
	pending   *pendingJob
	usable    func(*placement.Host) bool
	// includeGuaranteed allows the eviction of tasks of jobs within their team's quota guarantee.
	includeGuaranteed bool
}

// preempt evicts tasks to make room for count tasks of a pending job and returns the number that
// still have no room. Tasks of jobs within their team's quota guarantee are evicted only for
// urgent jobs, and only if evicting other tasks does not suffice.
func (c *Controller) preempt(search *preemptionSearch, count int) int {
	count = c.preemptOnHosts(search, count)
	if count > 0 && search.pending.job.spec.Priority.Level() <= wire.PriorityHigh.Level() {
		search.includeGuaranteed = true
		count = c.preemptOnHosts(search, count)
	}
	return count
}

// preemptOnHosts evicts tasks host by host until count of the job's tasks have room, and returns
// the number that still have no room.
func (c *Controller) preemptOnHosts(search *preemptionSearch, count int) int {
	job := search.pending.job
	for _, host := range c.preemptionHosts(search) {
		for count > 0 && search.evaluator.Holds(search.rules, job.spec.Team, host) &&
			c.makeRoom(search.pass.transactions, host, search.pending, search.includeGuaranteed) {
			search.pass.reserveFreeingCapacity(search.evaluator, job, host, 1)
			count--
			c.metrics.count(countTasksPreempted, 1)
			c.log.Debug("tasks preempted", "for_job_id", job.id, "class", job.spec.Class, "machine_id", host.ID)
		}
	}
	return count
}

// preemptionHosts returns the hosts that would have room for a task of the job if other tasks
// were evicted. Hosts that pull the fewest images come first, and among them those with the most
// free cores.
func (c *Controller) preemptionHosts(search *preemptionSearch) []*placement.Host {
	job := search.pending.job
	need := job.request.Need
	lowerPriorityMask := ^uint8(0) << (job.spec.Priority.Level() + 1)
	var hosts []*placement.Host
	for _, host := range search.pass.fleet {
		hasPreemptable := host.PreemptablePriorities&lowerPriorityMask != 0 || search.pending.guaranteed && host.HasUnguaranteedTasks
		if host.Unschedulable || !hasPreemptable || !host.Total.Covers(need) {
			continue
		}
		room := host.Free.Plus(host.Freeing, 1)
		for _, allocation := range c.fleet.allocationsOn(host.ID) {
			if c.preemptable(search.pass.transactions, allocation, search.pending, search.includeGuaranteed) {
				room = room.Plus(allocation.taskResources(), float64(allocation.Tasks.Len()))
			}
		}
		if room.Covers(need) && search.usable(host) && search.evaluator.Holds(search.rules, job.spec.Team, host) {
			hosts = append(hosts, host)
		}
	}
	slices.SortFunc(hosts, func(a, b *placement.Host) int {
		return cmp.Or(cmp.Compare(a.PullingImages, b.PullingImages), -cmp.Compare(a.Free.Cores, b.Free.Cores), cmp.Compare(a.ID, b.ID))
	})
	return hosts
}

// preemptable reports whether an allocation may be evicted for a pending job: because it has a
// lower priority, or because the pending job is within its team's quota guarantee and the
// allocation belongs to another team that runs it beyond its own guarantee. Urgent tasks are never
// evicted for a guarantee.
func (c *Controller) preemptable(transactions map[string]*placementTransaction, allocation *Allocation, pending *pendingJob, includeGuaranteed bool) bool {
	job := c.cache.jobs[allocation.Job]
	if job == nil || allocation.Eviction != record.EvictionNone || c.scheduler.guaranteedJobs[allocation.Job] && !includeGuaranteed {
		return false
	}
	priority := pending.job.spec.Priority.Level()
	// A job that was accepted more than overdueAfter ago may be evicted only for critical jobs,
	// because it would otherwise be restarted again and again. If it saves checkpoints, it may
	// also be evicted for high-priority jobs.
	required := wire.PriorityCritical
	if job.spec.CheckpointIntervalS > 0 {
		required = wire.PriorityHigh
	}
	if c.pendingFor(job) > overdueAfter && priority > required.Level() {
		return false
	}
	if priority > wire.PriorityCritical.Level() && c.rescuedFromStarvation(job) {
		return false
	}
	if !c.outranks(pending, allocation, job) {
		return false
	}
	txn := transactions[job.spec.Team]
	return txn != nil && txn.hasCapacityFor(evictionOperations)
}

// outranks reports whether a pending job has a higher priority than an allocation of another job, or is
// within its team's quota guarantee while the allocation is beyond that of another team.
func (c *Controller) outranks(pending *pendingJob, allocation *Allocation, job *job) bool {
	hasLowerPriority := allocation.Priority > pending.job.spec.Priority.Level()
	isBeyondGuarantee := pending.guaranteed && !c.scheduler.guaranteedJobs[allocation.Job] &&
		job.spec.Team != pending.job.spec.Team && allocation.Priority >= wire.PriorityNormal.Level()
	return hasLowerPriority || isBeyondGuarantee
}

// victim is a set of tasks of one allocation that are chosen for eviction.
type victim struct {
	allocation *Allocation
	tasks      record.TaskSet
}

// makeRoom evicts the least urgent tasks of a machine until there is room for a task of the
// pending job. If no eviction can make enough room, it evicts none and returns false.
func (c *Controller) makeRoom(transactions map[string]*placementTransaction, host *placement.Host, pending *pendingJob, includeGuaranteed bool) bool {
	room := host.Free.Plus(host.Freeing, 1)
	if room.Covers(pending.job.request.Need) {
		return true
	}
	victims, ok := c.chooseVictims(transactions, host, pending, includeGuaranteed)
	if !ok {
		return false
	}
	eviction := record.EvictionGraceful
	if pending.job.spec.Priority == wire.PriorityCritical {
		eviction = record.EvictionImmediate // a critical job cannot wait for checkpoints of others
	}
	for _, victim := range victims {
		c.evictVictim(transactions, victim, eviction)
		host.Freeing = host.Freeing.Plus(victim.allocation.taskResources(), float64(victim.tasks.Len()))
	}
	return true
}

// chooseVictims returns the least urgent tasks to evict on a host so that a task of the pending
// job fits. ok is false if the task would not fit even if all preemptable tasks were evicted.
func (c *Controller) chooseVictims(transactions map[string]*placementTransaction, host *placement.Host, pending *pendingJob, includeGuaranteed bool) (victims []victim, ok bool) {
	need := pending.job.request.Need
	room := host.Free.Plus(host.Freeing, 1)
	for _, allocation := range c.preemptableAllocations(transactions, host, pending, includeGuaranteed) {
		remaining := c.remainingTasks(transactions, allocation)
		for !remaining.IsEmpty() && !room.Covers(need) {
			evicted := remaining // a gang is evicted as a whole
			if allocation.Shape != wire.ShapeGang {
				_, evicted = remaining.Take(remaining.Len() - 1) // the last task
			}
			remaining = remaining.Difference(evicted)
			victims = append(victims, victim{allocation, evicted})
			room = room.Plus(allocation.taskResources(), float64(evicted.Len()))
		}
	}
	return victims, room.Covers(need)
}

// preemptableAllocations returns the allocations of a host that may be evicted for a pending job,
// those beyond their team's quota guarantee first. Otherwise the least urgent allocations come
// first and, at the same priority, the newest.
func (c *Controller) preemptableAllocations(transactions map[string]*placementTransaction, host *placement.Host, pending *pendingJob, includeGuaranteed bool) []*Allocation {
	var allocations []*Allocation
	for _, allocation := range c.fleet.allocationsOn(host.ID) {
		if c.preemptable(transactions, allocation, pending, includeGuaranteed) {
			allocations = append(allocations, allocation)
		}
	}
	slices.SortFunc(allocations, func(a, b *Allocation) int {
		return cmp.Or(
			cmp.Compare(boolToInt(c.scheduler.guaranteedJobs[a.Job]), boolToInt(c.scheduler.guaranteedJobs[b.Job])),
			-cmp.Compare(a.Priority, b.Priority),
			-cmp.Compare(a.Attempt, b.Attempt),
			cmp.Compare(a.Job, b.Job))
	})
	return allocations
}

// evictVictim stages the eviction of a victim's tasks. If the victim's job is a gang, all of its
// tasks are evicted.
func (c *Controller) evictVictim(transactions map[string]*placementTransaction, victim victim, eviction record.Eviction) {
	allocation := victim.allocation
	txn := transactions[c.cache.jobs[allocation.Job].spec.Team]
	if allocation.Shape == wire.ShapeGang {
		c.stageJobEviction(txn, allocation.Job, eviction)
		return
	}
	for _, located := range c.jobAllocations(txn, allocation.Job) {
		if located.remainsOn(allocation.Machine) && located.allocation.Attempt == allocation.Attempt {
			c.stageEviction(txn, located, victim.tasks, eviction)
		}
	}
}

// remainingTasks returns the tasks of an allocation that the staged transactions do not evict.
func (c *Controller) remainingTasks(transactions map[string]*placementTransaction, allocation *Allocation) record.TaskSet {
	var remaining record.TaskSet
	txn := transactions[c.cache.jobs[allocation.Job].spec.Team]
	for _, located := range c.jobAllocations(txn, allocation.Job) {
		if located.remainsOn(allocation.Machine) && located.allocation.Attempt == allocation.Attempt {
			remaining = remaining.Union(located.allocation.Tasks)
		}
	}
	return remaining
}
