package controller

import (
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// evictionOperations is the number of operations that a transaction must have left before it takes
// on an eviction. The eviction of a gang may change several placement pages.
const evictionOperations = 4

// remainsOn reports whether an allocation is on a machine and is not being evicted.
func (l locatedAllocation) remainsOn(id wire.MachineID) bool {
	return l.allocation.Machine == id && l.allocation.Eviction == record.EvictionNone
}

// stageEviction stages the eviction of tasks of an allocation. If only some of the allocation's
// tasks are evicted, they are split off into an allocation of their own. If the placement page
// has no room for another allocation, all tasks of the allocation are evicted.
func (c *Controller) stageEviction(txn *placementTransaction, located locatedAllocation, tasks record.TaskSet, eviction record.Eviction) {
	if c.cache.unreadable[located.page.key] != nil {
		return
	}
	target := *located.allocation // copied, because the original may be on the staged page
	staged := txn.stagePage(located.page)
	for i := range staged.allocations {
		candidate := &staged.allocations[i]
		if !sameAllocation(candidate, &target) || candidate.Eviction >= eviction {
			continue
		}
		evicted := candidate.Tasks.Intersect(tasks)
		if evicted.IsEmpty() {
			continue
		}
		txn.notifyMachines[target.Machine] = true
		remaining := candidate.Tasks.Difference(evicted)
		split := *candidate
		split.Tasks = evicted
		if staged.size+split.encodedSizeAfter(nil) > c.pageLimit() {
			remaining = record.TaskSet{}
		}
		// An earlier fence applies to a previous launcher and does not cover this eviction, so
		// it is reset.
		if remaining.IsEmpty() {
			candidate.Eviction, candidate.Fence = eviction, 0
			return
		}
		candidate.Tasks = remaining
		split.Eviction, split.Fence = eviction, 0
		staged.size += split.encodedSizeAfter(nil)
		staged.allocations = append(staged.allocations, split)
		return
	}
}

// stageJobEviction stages the eviction of all of a job's tasks.
func (c *Controller) stageJobEviction(txn *placementTransaction, id wire.JobID, eviction record.Eviction) {
	for _, located := range c.jobAllocations(txn, id) {
		if located.allocation.Eviction < eviction {
			c.stageEviction(txn, located, located.allocation.Tasks, eviction)
		}
	}
}

// evictFromPreemptedMachines evicts tasks from machines with a preemption notice. Tasks that save
// checkpoints are evicted as late as the time for a last checkpoint allows, replicas of services at
// once.
func (c *Controller) evictFromPreemptedMachines(transactions map[string]*placementTransaction) {
	for _, machine := range c.orderedMachines() {
		if machine.scaling.preemptionAt == 0 {
			continue
		}
		for _, allocation := range machine.allocations {
			job := c.cache.jobs[allocation.Job]
			if job == nil || allocation.Eviction != record.EvictionNone || !c.ownsTeam(job.spec.Team) {
				continue
			}
			txn := transactions[job.spec.Team]
			if txn != nil && txn.hasCapacityFor(evictionOperations) && c.evictionDue(job, machine) {
				c.evictJobFromMachine(txn, job, machine.id)
			}
		}
	}
}

// evictionDue reports whether a job's tasks must be evicted now from a machine with a preemption
// notice. Tasks of jobs that neither save checkpoints nor are services run until the cloud
// reclaims the machine.
func (c *Controller) evictionDue(job *job, machine *machine) bool {
	if job.spec.Shape == wire.ShapeService {
		return true
	}
	secondsLeft := machine.scaling.preemptionAt.Sub(c.now).Seconds()
	return job.spec.CheckpointIntervalS > 0 && secondsLeft < job.spec.CheckpointSaveS+2*checkpointMarginS
}

// evictJobFromMachine stages the graceful eviction of a job's tasks on a machine. All tasks of a
// gang are evicted, because a gang runs as a whole or not at all.
func (c *Controller) evictJobFromMachine(txn *placementTransaction, job *job, id wire.MachineID) {
	if job.spec.Shape == wire.ShapeGang {
		c.stageJobEviction(txn, job.id, record.EvictionGraceful)
		return
	}
	for _, located := range c.jobAllocations(txn, job.id) {
		if located.remainsOn(id) {
			c.stageEviction(txn, located, located.allocation.Tasks, record.EvictionGraceful)
		}
	}
}
