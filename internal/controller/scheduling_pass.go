package controller

import (
	"slices"

	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// schedulingPass is one pass over the pending jobs. It works on a snapshot of the fleet and
// stages what it decides in the teams' placement transactions; nothing is written before
// the pass is over.
//
// The order of work (run): build the hosts, order the pending jobs, note which accelerators
// are wanted, place the critical jobs, reserve headroom, place all other jobs on machines
// that have their image, and at last place what is left on any machine.
type schedulingPass struct {
	c            *Controller
	transactions map[string]*placementTransaction // by team; a team without one is planned for only
	fleet        placement.Fleet
	// Of the allocations that stand, staged ones included: what each team uses of its
	// limits, which tasks of each job are placed, on which hosts and in which zone.
	teamUsage map[string]placement.Resources
	placed    map[wire.JobID]record.TaskSet
	jobHosts  map[wire.JobID][]*placement.Host
	jobZones  map[wire.JobID]string
	// unsatisfiable holds the resources that a search found no room for, by all that the
	// search depends on: a job that needs as much is not searched for again in this pass.
	unsatisfiable map[searchKey][]placement.Resources
	// rankings holds the ranked candidates that searches with the same key share.
	rankings map[rankingKey]*placement.Ranking
	// reserveAccelerators says that a pending job needs accelerators, on on-demand machines
	// or (reserveSpotAccelerators) on spot machines as well: less urgent jobs that need none
	// then avoid the machines that have some. Otherwise another controller places them on
	// each machine from which they were just evicted, and a gang never finds enough
	// accelerators at once.
	reserveAccelerators, reserveSpotAccelerators bool
	// gatheringZones holds the zones in which capacity is being gathered, each for one job.
	gatheringZones map[string]bool
	// cachedImageOnly restricts jobs to machines that have their image.
	cachedImageOnly bool
	// includeNonCritical is false in a pass over the critical jobs alone.
	includeNonCritical bool
	// ownShards restricts the pass to the machines in this controller's shards.
	ownShards bool
}

// schedule runs the scheduling passes that are due: over this controller's shards while
// sharding is in use, over the whole fleet otherwise. Without includeNonCritical it
// considers critical jobs alone.
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

// estimateFleetDemand runs a pass over the whole fleet that writes nothing, so that the
// provisioner knows the demand that no shard has room for.
func (c *Controller) estimateFleetDemand() {
	c.shards.nextFleetEstimate = c.now.Add(max(demandEstimateInterval, 3*c.passPause()))
	c.newSchedulingPass(map[string]*placementTransaction{}, true, false).run()
}

// newSchedulingPass makes a pass with a snapshot of the fleet. A pass over the whole fleet
// plans for all teams, so that what this controller places leaves room for more urgent jobs
// that others will place, and writes only for the jobs that it is responsible for. A pass
// over its own shards plans for those jobs alone.
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

// countAllocation counts an allocation that stands. The host is nil if the pass does not
// consider its machine.
func (p *schedulingPass) countAllocation(page *page, allocation *Allocation, host *placement.Host) {
	p.teamUsage[page.team] = p.teamUsage[page.team].Plus(allocation.taskResources(), float64(allocation.Tasks.Len()))
	p.placed[allocation.Job] = p.placed[allocation.Job].With(allocation.Tasks)
	if host != nil {
		p.jobHosts[allocation.Job] = append(p.jobHosts[allocation.Job], host)
	}
	p.jobZones[allocation.Job] = page.zone
}

// run places the pending jobs and records the unmet demand for the provisioner. Only a full
// pass over the whole fleet knows that demand; others leave what the last such pass found.
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
	for i := range queue {
		p.reserveAcceleratorsFor(&queue[i])
	}
	p.placeRemaining(p.placeInOrder(queue))
	if !p.includeNonCritical || p.ownShards {
		c.provisioner.unmetDemands = previousDemands
	}
}

// placeInOrder places the jobs of the queue, and reserves headroom ahead of the first that is
// not critical. It returns the jobs that were tried on machines with their image only.
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

// placeRemaining places, on any machine, the tasks that found no machine with their image.
// They come last, after every job took the machines that have its image: pulling one
// occupies a machine for as long as many a task runs.
func (p *schedulingPass) placeRemaining(jobs []*pendingJob) {
	p.cachedImageOnly = false
	for _, pending := range jobs {
		if !pending.missing.Empty() {
			p.placeJob(pending)
		}
	}
}

// prefersCachedImage reports whether a job is first tried on machines with its image only.
func (p *schedulingPass) prefersCachedImage(pending *pendingJob) bool {
	return pending.job.spec.Priority.Level() >= wire.PriorityNormal.Level() && !pending.overdue && !pending.guaranteed &&
		hasPlainConstraints(pending.job) && p.c.imagePullIsSlow(pending.job)
}

// reserveAcceleratorsFor reserves the machines with accelerators if a pending job needs some.
// This is done before anything is placed: less urgent jobs within a guarantee come before
// urgent jobs beyond one, and would take those machines although they need no accelerator.
func (p *schedulingPass) reserveAcceleratorsFor(pending *pendingJob) {
	job := pending.job
	if job.request.Need.Accelerators > 0 && job.mayPreempt() && p.tasksWithinLimit(pending) > 0 {
		p.reserveAccelerators = true
		p.reserveSpotAccelerators = p.reserveSpotAccelerators || job.spec.Spot
	}
}

// avoidsAccelerators reports whether a job has to avoid the machines whose accelerators are
// reserved.
func (p *schedulingPass) avoidsAccelerators(job *job) bool {
	return p.reserveAccelerators && job.request.Need.Accelerators == 0 && job.spec.Priority.Level() > wire.PriorityHigh.Level()
}

// hasReservedAccelerators reports whether a machine is reserved for jobs that need
// accelerators.
func (p *schedulingPass) hasReservedAccelerators(host *placement.Host) bool {
	return host.Total.Accelerators > 0 && (p.reserveSpotAccelerators || host.Labels[placement.LabelSpot] != "true")
}
