package controller

import (
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// evictionOperations is how many operations of a transaction an eviction may take: more pages
// of the job, if it is a gang.
const evictionOperations = 4

// remainsOn reports whether an allocation is on a machine and is not to be evicted.
func (l locatedAllocation) remainsOn(id wire.MachineID) bool {
	return l.allocation.Machine == id && l.allocation.Eviction == record.EvictionNone
}

// stageEviction marks tasks of an allocation to be evicted. If only some of its tasks are,
// they become an allocation of their own; where its page has no room for that, all are
// evicted.
func (c *Controller) stageEviction(txn *placementTransaction, located locatedAllocation, tasks record.TaskSet, eviction record.Eviction) {
	if c.cache.unreadable[located.page.key] != nil {
		return
	}
	target := *located.allocation // a copy: the original may stand on the staged page
	staged := txn.stagePage(located.page)
	for i := range staged.allocations {
		candidate := &staged.allocations[i]
		if !sameAllocation(candidate, &target) || candidate.Eviction >= eviction {
			continue
		}
		evicted := candidate.Tasks.Intersect(tasks)
		if evicted.Empty() {
			continue
		}
		txn.notifyMachines[target.Machine] = true
		remaining := candidate.Tasks.Without(evicted)
		split := *candidate
		split.Tasks = evicted
		if staged.size+split.encodedSizeAfter(nil) > c.pageLimit() {
			remaining = record.TaskSet{}
		}
		// What was fenced was the launcher before, not this eviction.
		if remaining.Empty() {
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

// stageJobEviction marks all of a job's tasks to be evicted.
func (c *Controller) stageJobEviction(txn *placementTransaction, id wire.JobID, eviction record.Eviction) {
	for _, located := range c.jobAllocations(txn, id) {
		if located.allocation.Eviction < eviction {
			c.stageEviction(txn, located, located.allocation.Tasks, eviction)
		}
	}
}

// evictFromPreemptedMachines stops tasks on machines that the cloud is about to take, as late
// as they can still save a checkpoint. Replicas of services are evicted at once.
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
				c.evictJobFrom(txn, job, machine.id)
			}
		}
	}
}

// evictionDue reports whether it is time for a job's tasks to leave a machine that the cloud is
// about to take. Tasks that neither save checkpoints nor serve run on until then.
func (c *Controller) evictionDue(job *job, machine *machine) bool {
	if job.spec.Shape == wire.ShapeService {
		return true
	}
	secondsLeft := machine.scaling.preemptionAt.Sub(c.now).Seconds()
	return job.spec.CheckpointIntervalS > 0 && secondsLeft < job.spec.CheckpointSaveS+2*checkpointMarginS
}

// evictJobFrom has a job's tasks on a machine save and stop; all of a gang's, since it runs as
// a whole or not at all.
func (c *Controller) evictJobFrom(txn *placementTransaction, job *job, id wire.MachineID) {
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
