package controller

import (
	"cmp"
	"slices"

	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// gangEvictionOperations is how many operations a transaction must have left for the eviction
// of a gang's remaining tasks.
const gangEvictionOperations = 4

// evictIncompleteGangs evicts the remaining tasks of gangs that lost a task, so that each can
// start again as a whole.
func (c *Controller) evictIncompleteGangs(transactions map[string]*placementTransaction) {
	for _, id := range sortedKeys(c.cache.jobs) {
		job := c.cache.jobs[id]
		txn := transactions[job.spec.Team]
		if job.spec.Shape != wire.ShapeGang || txn == nil || !c.ownsTeam(job.spec.Team) || !txn.hasCapacityFor(gangEvictionOperations) {
			continue
		}
		if txn.completedJobs[id] || c.jobUnreadable(id) {
			continue
		}
		var placed record.TaskSet
		for _, located := range c.jobAllocations(txn, id) {
			placed = placed.With(located.allocation.Tasks)
		}
		if n := placed.Len(); n > 0 && n < job.spec.Tasks {
			c.stageJobEviction(txn, id, record.EvictionImmediate)
		}
	}
}

// gatherCapacity gathers capacity for tasks that start at once or share a zone, and so cannot
// be placed one by one. In the zone (for jobs that need a single one) that comes closest it
// reserves what is free or being freed, so that smaller jobs do not take it bit by bit, and
// evicts less urgent tasks if that is all it takes. It returns that zone and how many tasks
// still lack room there.
//
// Capacity is gathered for one job per zone at a time, the most urgent: when several large
// gangs each kept a part of what they need, a fifth of the machines stood idle.
func (p *schedulingPass) gatherCapacity(pending *pendingJob, count int) (zone string, lacking int) {
	job := pending.job
	evaluator := p.fleet.NewEvaluator(p.jobHosts[job.id])
	fits := func(host *placement.Host) bool { return evaluator.Holds(job.request.Enforced, job.spec.Team, host) }
	zones := capacityByZone(job, p.fleet, count, fits, func(host *placement.Host, free placement.Resources) placement.Resources {
		return p.addPreemptable(pending, host, free)
	})
	best, gathers := p.bestGatheringZone(job, zones, count)
	if !gathers {
		return best, count
	}
	p.gatheringZones[best] = true
	return best, p.gatherInZone(pending, zones[best], count)
}

// addPreemptable adds to the free resources of a host those of the tasks that may be evicted
// there for a job.
func (p *schedulingPass) addPreemptable(pending *pendingJob, host *placement.Host, free placement.Resources) placement.Resources {
	lowerPriorityMask := ^uint8(0) << (pending.job.spec.Priority.Level() + 1)
	if host.PreemptablePriorities&lowerPriorityMask == 0 && !(pending.guaranteed && host.HasUnguaranteedTasks) {
		return free
	}
	for _, allocation := range p.c.fleet.allocationsOn(host.ID) {
		if p.c.preemptable(p.transactions, allocation, pending, false) {
			free = free.Plus(allocation.taskResources(), float64(allocation.Tasks.Len()))
		}
	}
	return free
}

// bestGatheringZone is the zone that comes closest to having room for count tasks of a job:
// by what is free, then by what could be freed, then by the machines that the cloud may have.
// It reports false if capacity is being gathered for other jobs in all zones.
func (p *schedulingPass) bestGatheringZone(job *job, capacities map[string]*zoneCapacity, count int) (string, bool) {
	zones := []string{""}
	if job.spec.SingleZone {
		zones = p.c.settings.Cluster.Zones
	}
	open := slices.DeleteFunc(slices.Clone(zones), func(zone string) bool { return p.gatheringZones[zone] })
	if len(open) > 0 {
		zones = open
	}
	capacityOf := func(zone string) zoneCapacity {
		if capacity := capacities[zone]; capacity != nil {
			return *capacity
		}
		return zoneCapacity{}
	}
	best := slices.MaxFunc(zones, func(a, b string) int {
		ca, cb := capacityOf(a), capacityOf(b)
		return cmp.Or(
			cmp.Compare(min(ca.available, count), min(cb.available, count)),
			cmp.Compare(min(ca.withPreemption, count), min(cb.withPreemption, count)),
			cmp.Compare(p.c.countOffers(job, a), p.c.countOffers(job, b)))
	})
	return best, len(open) > 0
}

// gatherInZone reserves the capacity of a zone for count tasks of a job, hosts with the most
// free room first, and returns how many tasks still lack room. Tasks are evicted only if all
// of the job then has room.
func (p *schedulingPass) gatherInZone(pending *pendingJob, zone *zoneCapacity, count int) int {
	if zone == nil {
		return count
	}
	preempts := zone.withPreemption >= count && p.c.schedulesJob(pending.job)
	slices.SortFunc(zone.hosts, func(a, b hostCapacity) int {
		return cmp.Or(-cmp.Compare(a.available, b.available), cmp.Compare(a.host.ID, b.host.ID))
	})
	remaining := count
	for _, capacity := range zone.hosts {
		for n := 0; n < capacity.withPreemption && remaining > 0; n++ {
			if n >= capacity.available && (!preempts || !p.c.makeRoom(p.transactions, capacity.host, pending, false)) {
				break
			}
			capacity.host.Free = capacity.host.Free.Plus(pending.job.request.Need, -1)
			remaining--
		}
	}
	return remaining
}

// countOffers counts the offers that a job can use in a zone ("" for any) and that the cloud
// has not been short of lately.
func (c *Controller) countOffers(job *job, zone string) int {
	n := 0
	for _, offer := range c.offers() {
		host := offer.NewHost("", 1)
		if (zone == "" || offer.Zone == zone) && host.Total.Covers(job.request.Need) &&
			(placement.Fleet{host}).Holds(job.request.Enforced, job.spec.Team, host) {
			n++
		}
	}
	return n
}
