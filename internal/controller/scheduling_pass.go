package controller

import (
	"slices"

	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// schedulingPass is one pass over the pending jobs. It works on a snapshot of the fleet and
// stages its decisions in the teams' placement transactions. Nothing is written before the pass
// is over.
//
// newSchedulingPass builds the hosts. The method run then takes these steps in order:
//
//  1. It orders the pending jobs and reserves machines with accelerators.
//  2. It places the critical jobs, and then reserves headroom.
//  3. It places all other jobs. Those that prefer a cached image are placed only on machines that
//     have the image.
//  4. It places the remaining tasks of jobs that prefer a cached image on any machine.
//  5. It releases all reservations, and gives the room to jobs that these have kept waiting for too
//     long (see starvation).
type schedulingPass struct {
	c            *Controller
	transactions map[string]*placementTransaction // by team; for a team without one the pass only plans
	fleet        placement.Fleet
	// The usage and placements that follow from the current allocations, staged ones included:
	// the resources that each team uses of its limits, and the placed tasks, hosts and zone of
	// each job.
	teamUsage map[string]placement.Resources
	placed    map[wire.JobID]record.TaskSet
	jobHosts  map[wire.JobID][]*placement.Host
	jobZones  map[wire.JobID]string
	// unsatisfiable holds, by search key, the resource needs for which a search found no room.
	// The search is not repeated in this pass for a job that needs at least as much.
	unsatisfiable map[searchKey][]placement.Resources
	// rankings holds ranked candidates, shared by all searches with the same key.
	rankings map[rankingKey]*placement.Ranking
	// accelerators holds the machines that are reserved for pending jobs that need accelerators.
	accelerators map[*placement.Host]bool
	// gatheringZones holds the zones in which capacity is being gathered for a job, at most one
	// job per zone.
	gatheringZones map[string]bool
	// cachedImageOnly restricts placement to machines that have the job's image.
	cachedImageOnly bool
	// includeNonCritical is false in a pass over the critical jobs only.
	includeNonCritical bool
	// ownShards restricts the pass to the machines in this controller's shards.
	ownShards bool
}

// schedule runs the scheduling passes that are due. While sharding is in use, a pass covers this
// controller's shards, otherwise the whole fleet. Without includeNonCritical, only critical jobs
// are considered.
func (c *Controller) schedule(transactions map[string]*placementTransaction, includeNonCritical bool) {
	if len(c.provisioner.catalogue) == 0 {
		return
	}
	if !c.sharded() {
		if c.needsSchedulingPass(includeNonCritical) {
			c.newSchedulingPass(transactions, includeNonCritical, false).run()
		}
		return
	}
	if includeNonCritical && c.isProvisioner() && c.isDue(c.shards.nextFleetEstimate) {
		c.estimateFleetDemand()
	}
	if c.hasPendingJobs(includeNonCritical) {
		c.newSchedulingPass(transactions, includeNonCritical, true).run()
	}
}

// estimateFleetDemand runs a pass over the whole fleet that writes nothing. It gives the
// provisioner the demand that no shard has room for.
func (c *Controller) estimateFleetDemand() {
	c.shards.nextFleetEstimate = c.now.Add(max(demandEstimateInterval, 3*c.passPause()))
	c.newSchedulingPass(map[string]*placementTransaction{}, true, false).run()
}

// newSchedulingPass creates a pass with a snapshot of the fleet. A pass over the whole fleet
// plans for the jobs of all teams, so that the placements of this controller leave room for more
// urgent jobs that other controllers will place. It writes placements only for the jobs that
// this controller is responsible for. A pass over this controller's own shards plans only for
// these jobs.
func (c *Controller) newSchedulingPass(transactions map[string]*placementTransaction, includeNonCritical, ownShards bool) *schedulingPass {
	p := &schedulingPass{
		c:                  c,
		transactions:       transactions,
		includeNonCritical: includeNonCritical,
		ownShards:          ownShards,
		teamUsage:          map[string]placement.Resources{},
		placed:             map[wire.JobID]record.TaskSet{},
		jobHosts:           map[wire.JobID][]*placement.Host{},
		jobZones:           map[wire.JobID]string{},
		unsatisfiable:      map[searchKey][]placement.Resources{},
		rankings:           map[rankingKey]*placement.Ranking{},
		gatheringZones:     map[string]bool{},
	}
	p.fleet = c.buildHosts(transactions, ownShards, p.countAllocation)
	return p
}

// countAllocation adds a current allocation to the usage and placements of the pass. The host is
// nil if the pass does not consider the allocation's machine.
func (p *schedulingPass) countAllocation(page *page, allocation *Allocation, host *placement.Host) {
	p.teamUsage[page.team] = p.teamUsage[page.team].Plus(allocation.taskResources(), float64(allocation.Tasks.Len()))
	p.placed[allocation.Job] = p.placed[allocation.Job].Union(allocation.Tasks)
	if host != nil {
		p.jobHosts[allocation.Job] = append(p.jobHosts[allocation.Job], host)
	}
	p.jobZones[allocation.Job] = page.zone
}

// run places the pending jobs and records the unmet demand for the provisioner. Only a pass over
// all jobs and the whole fleet can determine that demand. Other passes keep the result of the
// last such pass.
func (p *schedulingPass) run() {
	c := p.c
	c.metrics.count(countSchedulingPasses, 1)
	queue := p.pendingJobs()
	if p.includeNonCritical {
		c.updatePriceLimit(queue)
	}
	if p.ownShards {
		queue = slices.DeleteFunc(queue, func(pending pendingJob) bool { return !c.schedulesJob(pending.job) })
	}
	c.scheduler.criticalPending = len(queue) > 0 && queue[0].job.spec.Priority == wire.PriorityCritical
	previousDemands := c.provisioner.unmetDemands
	c.provisioner.unmetDemands = nil
	p.reserveAccelerators(queue)
	p.placeRemaining(p.placeInOrder(queue))
	if p.includeNonCritical && p.ownShards == c.sharded() {
		p.placeStarved(queue)
	}
	if !p.includeNonCritical || p.ownShards {
		c.provisioner.unmetDemands = previousDemands
	}
}

// placeInOrder places the jobs of the queue in order, and reserves headroom before the first job
// that is not critical. It returns the jobs for which only machines with their image were
// considered.
func (p *schedulingPass) placeInOrder(queue []pendingJob) (cachedOnly []*pendingJob) {
	headroomReserved := !p.includeNonCritical
	for i := range queue {
		pending := &queue[i]
		if pending.job.spec.Priority != wire.PriorityCritical && !headroomReserved {
			headroomReserved = true
			p.reserveHeadroom()
		}
		p.cachedImageOnly = p.prefersCachedImage(pending)
		p.placeJob(pending)
		if p.cachedImageOnly {
			cachedOnly = append(cachedOnly, pending)
		}
	}
	if !headroomReserved {
		p.reserveHeadroom()
	}
	return cachedOnly
}

// placeRemaining places, on any machine, the tasks that found no room on a machine with their
// image. They come last, after every job was tried on the machines that have its image, because
// pulling an image can occupy a machine for as long as a task runs.
func (p *schedulingPass) placeRemaining(jobs []*pendingJob) {
	p.cachedImageOnly = false
	for _, pending := range jobs {
		if !pending.missing.IsEmpty() {
			p.placeJob(pending)
		}
	}
}

// prefersCachedImage reports whether a job is at first placed only on machines with its image.
func (p *schedulingPass) prefersCachedImage(pending *pendingJob) bool {
	return pending.job.spec.Priority.Level() >= wire.PriorityNormal.Level() && !pending.overdue && !pending.guaranteed &&
		hasPlainConstraints(pending.job) && p.c.imagePullIsSlow(pending.job)
}
