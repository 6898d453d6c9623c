package controller

import (
	"cmp"
	"slices"

	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// preemption is the search for room for a pending job by stopping tasks of others.
type preemption struct {
	pass      *schedulingPass
	evaluator *placement.Evaluator
	rules     []placement.RuleTree
	pending   *pendingJob
	usable    func(*placement.Host) bool
	// includeGuaranteed says that work within its team's guarantee is stopped as well.
	includeGuaranteed bool
}

// preempt stops tasks to make room for a pending job and returns how many of its tasks still
// have none. Work within its team's guarantee is stopped only where nothing else will do, and
// only for urgent jobs.
func (c *Controller) preempt(search *preemption, count int) int {
	count = c.preemptOnHosts(search, count)
	if count > 0 && search.pending.job.spec.Priority.Level() <= wire.PriorityHigh.Level() {
		search.includeGuaranteed = true
		count = c.preemptOnHosts(search, count)
	}
	return count
}

// preemptOnHosts stops tasks host by host until count of the job's tasks have room, and
// returns how many have none.
func (c *Controller) preemptOnHosts(search *preemption, count int) int {
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

// preemptionHosts is the hosts that would have room for a task of the job if others were
// stopped: first those that pull the fewest images, and of them those with the most free.
func (c *Controller) preemptionHosts(search *preemption) []*placement.Host {
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

// preemptable reports whether a pending job may have an allocation stopped: one of lower
// priority, or, to get its team's guarantee, one that another team runs beyond its own.
// Urgent work is never stopped for a guarantee.
func (c *Controller) preemptable(transactions map[string]*placementTransaction, allocation *Allocation, pending *pendingJob, includeGuaranteed bool) bool {
	job := c.cache.jobs[allocation.Job]
	if job == nil || allocation.Eviction != record.EvictionNone || c.scheduler.guaranteedJobs[allocation.Job] && !includeGuaranteed {
		return false
	}
	priority := pending.job.spec.Priority.Level()
	// Old work is not stopped for what is merely of higher priority: it would start again
	// and again. What saves checkpoints still gives way to high priorities.
	required := wire.PriorityCritical
	if job.spec.CheckpointIntervalS > 0 {
		required = wire.PriorityHigh
	}
	if c.pendingFor(job) > overdueAfter && priority > required.Level() {
		return false
	}
	hasLowerPriority := allocation.Priority > priority
	isBeyondGuarantee := pending.guaranteed && !c.scheduler.guaranteedJobs[allocation.Job] &&
		job.spec.Team != pending.job.spec.Team && allocation.Priority >= wire.PriorityNormal.Level()
	if !hasLowerPriority && !isBeyondGuarantee {
		return false
	}
	txn := transactions[job.spec.Team]
	return txn != nil && txn.hasCapacityFor(evictionOperations)
}

// victim is tasks of an allocation that are to be stopped.
type victim struct {
	allocation *Allocation
	tasks      record.TaskSet
}

// makeRoom stops the least urgent tasks of a machine until there is room for a task of the
// pending job, or none if there would not be.
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
		eviction = record.EvictionImmediate // it cannot wait for others to save
	}
	for _, victim := range victims {
		c.evictVictim(transactions, victim, eviction)
		host.Freeing = host.Freeing.Plus(victim.allocation.taskResources(), float64(victim.tasks.Len()))
	}
	return true
}

// chooseVictims is the tasks to stop on a host, the least urgent, so that a task of the
// pending job fits; ok is false if it would not fit if all were stopped that may be.
func (c *Controller) chooseVictims(transactions map[string]*placementTransaction, host *placement.Host, pending *pendingJob, includeGuaranteed bool) (victims []victim, ok bool) {
	need := pending.job.request.Need
	room := host.Free.Plus(host.Freeing, 1)
	for _, allocation := range c.preemptableAllocations(transactions, host, pending, includeGuaranteed) {
		remaining := c.remainingTasks(transactions, allocation)
		for !remaining.Empty() && !room.Covers(need) {
			evicted := remaining // a gang runs as a whole or not at all
			if allocation.Shape != wire.ShapeGang {
				_, evicted = remaining.Take(remaining.Len() - 1) // the last task
			}
			remaining = remaining.Without(evicted)
			victims = append(victims, victim{allocation, evicted})
			room = room.Plus(allocation.taskResources(), float64(evicted.Len()))
		}
	}
	return victims, room.Covers(need)
}

// preemptableAllocations is a host's allocations that a pending job may have stopped, the least urgent
// and newest first, and those within their team's guarantee last.
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

// evictVictim stages the eviction of a victim's tasks; of all of its job, if it is a gang.
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

// remainingTasks is the tasks of an allocation that the transactions leave running.
func (c *Controller) remainingTasks(transactions map[string]*placementTransaction, allocation *Allocation) record.TaskSet {
	var remaining record.TaskSet
	txn := transactions[c.cache.jobs[allocation.Job].spec.Team]
	for _, located := range c.jobAllocations(txn, allocation.Job) {
		if located.remainsOn(allocation.Machine) && located.allocation.Attempt == allocation.Attempt {
			remaining = remaining.With(located.allocation.Tasks)
		}
	}
	return remaining
}
