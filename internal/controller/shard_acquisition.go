package controller

import (
	"slices"

	"lilacrill/internal/placement"
	"lilacrill/internal/shard"
	"lilacrill/wire"
)

// planAcquisition returns the action that acquires shards for a job whose tasks must start at once
// and that no controller can place alone. The machines of these shards, together with those of this
// controller's shards, have capacity for the job. It reports whether there is such an action.
func (c *Controller) planAcquisition() (shard.Action, bool) {
	job := c.cache.jobs[c.shards.acquireFor]
	c.shards.acquireFor = ""
	if job == nil || c.shards.lastAcquiredAt != 0 && c.now.Sub(c.shards.lastAcquiredAt) < acquireInterval || len(c.provisioner.catalogue) == 0 {
		return shard.Action{}, false
	}
	ids := c.shardsForJob(job)
	if len(ids) == 0 {
		return shard.Action{}, false
	}
	action, due := c.shards.planner.Acquire(ids, c.wall)
	if due {
		c.shards.lastAcquiredAt = c.now
		c.log.Debug("acquiring shards", "job_id", job.id, "shards", action.Shards)
	}
	return action, due
}

// shardsForJob returns the shards of other controllers whose machines a job needs in addition to
// those of this controller's shards. If the job needs a single zone, they are in the zone with the
// most free capacity. It returns none if there is not enough capacity, or if this controller's shards
// have enough.
func (c *Controller) shardsForJob(job *job) []wire.ShardID {
	fleet := c.buildHosts(map[string]*placementTransaction{}, false, func(*page, *Allocation, *placement.Host) {})
	fits := func(host *placement.Host) bool {
		return (placement.Fleet{host}).Holds(job.request.Enforced, job.spec.Team, host)
	}
	best := largestZone(capacityByZone(job, fleet, job.spec.Tasks, fits, func(host *placement.Host, free placement.Resources) placement.Resources {
		for _, allocation := range c.fleet.allocationsOn(host.ID) {
			if allocation.Priority > job.spec.Priority.Level() {
				free = free.Plus(allocation.taskResources(), float64(allocation.Tasks.Len()))
			}
		}
		return free
	}), job.spec.Tasks)
	if best == nil {
		return nil
	}
	slices.SortStableFunc(best.hosts, func(a, b hostCapacity) int { return b.available - a.available })
	shardOf := func(capacity hostCapacity) wire.ShardID { return c.fleet.machines[capacity.host.ID].shard }
	total := 0
	for _, capacity := range best.hosts {
		if c.shards.table.MaySchedule(shardOf(capacity)) {
			total += capacity.withPreemption
		}
	}
	var ids []wire.ShardID
	for _, capacity := range best.hosts {
		if total >= job.spec.Tasks {
			break
		}
		id := shardOf(capacity)
		if c.shards.table.MaySchedule(id) {
			continue
		}
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
		total += capacity.withPreemption
	}
	return ids
}
