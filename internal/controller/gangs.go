package controller

import (
	"cmp"
	"slices"

	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// gangEvictionOperations is the number of operations that a transaction must have left before it
// takes on the eviction of a gang's remaining tasks.
const gangEvictionOperations = 4

// evictIncompleteGangs evicts the remaining tasks of gangs that lost a task, so that each gang
// can start again as a whole.
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
			placed = placed.Union(located.allocation.Tasks)
		}
		if n := placed.Len(); n > 0 && n < job.spec.Tasks {
			c.stageJobEviction(txn, id, record.EvictionImmediate)
		}
	}
}

// gatherCapacity reserves capacity for a job whose tasks must start at once or share a zone, and
// therefore cannot be placed one by one. It chooses the zone that comes closest to having room, or
// "" (the whole fleet) if the job does not need a single zone. There it reserves capacity that is
// free or being freed, so that smaller jobs do not take it piece by piece, and evicts less urgent
// tasks if the whole job then has room. It returns the chosen zone and the number of tasks that
// still lack room.
//
// Capacity is gathered for only one job per zone at a time, the most urgent. With several large
// gangs that each hold a part of what they need, a fifth of the machines can stand idle.
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

// addPreemptable returns the free resources of a host plus those of the tasks that may be evicted
// there for a pending job.
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

// bestGatheringZone returns the zone that comes closest to having room for count tasks of a job.
// Zones are compared by the capacity that is free or being freed, then by the capacity including
// evictions, then by the number of usable cloud offers. Zones in which capacity is already being
// gathered are skipped. If that applies to all zones, all are compared and the second result is
// false.
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

// gatherInZone reserves capacity in a zone for count tasks of a job, on the hosts with the most
// room first, and returns the number of tasks that still lack room. Tasks of other jobs are
// evicted only if the whole job then has room.
func (p *schedulingPass) gatherInZone(pending *pendingJob, zone *zoneCapacity, count int) int {
	if zone == nil {
		return count
	}
	preempts := zone.withPreemption >= count && p.c.schedulesJob(pending.job)
	slices.SortFunc(zone.hosts, func(a, b hostCapacity) int {
		return cmp.Or(-cmp.Compare(a.available, b.available), cmp.Compare(a.host.ID, b.host.ID))
	})
	left, request := count, pending.job.request
	for _, capacity := range zone.hosts {
		for n := 0; n < capacity.withPreemption && left > 0; n++ {
			if n >= capacity.available && (!preempts || !p.c.makeRoom(p.transactions, capacity.host, pending, false)) {
				break
			}
			capacity.host.AddTasks(request.Team, request.Tags, request.Need, 1)
			capacity.host.NoteReservation(request, 1)
			left--
		}
	}
	return left
}

// countOffers counts the cloud offers in a zone ("" for any zone) that a job can use. Offers with
// a recent capacity shortage are not counted.
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
