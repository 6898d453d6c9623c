package controller

import (
	"lilacrill/internal/config"
	"lilacrill/internal/placement"
	"lilacrill/wire"
)

// maxJobsInView is the maximum number of jobs in one view.
const maxJobsInView = 500

func (c *Controller) viewControllers() []wire.AdminController {
	views := []wire.AdminController{c.viewSelf()}
	for _, peer := range c.settings.Siblings {
		views = append(views, c.viewPeer(peer.Label))
	}
	return views
}

func (c *Controller) viewSelf() wire.AdminController {
	return wire.AdminController{
		Label:            c.settings.Label,
		Incarnation:      c.membership.incarnation,
		Alive:            true,
		Provisioner:      c.isProvisioner(),
		Self:             true,
		StoreReachable:   c.storeReachable(),
		InboundOK:        true,
		OutboundOK:       true,
		Isolated:         c.isolated(),
		Revision:         c.cache.revision,
		Token:            c.cache.token,
		StoreLagS:        c.now.Sub(c.cancellations.cacheCurrentAt).Seconds(),
		CancellationLagS: c.now.Sub(c.cancellationsKnownAt()).Seconds(),
		RenewsLeases:     c.now.Sub(c.cancellationsKnownAt()) <= c.maxRenewalStaleness(),
		TimerLagS:        c.scheduler.lag.delayTicks * TickInterval.Seconds(),
	}
}

// viewPeer returns the view of a peer, based on the records and on the peer's last message.
func (c *Controller) viewPeer(label string) wire.AdminController {
	incarnation, alive := c.cache.liveControllers[label]
	view := wire.AdminController{
		Label:       label,
		Incarnation: incarnation,
		Alive:       alive,
		Provisioner: alive && c.cache.provisionerIncarnation == incarnation,
		Isolated:    c.cache.isolatedControllers[label],
	}
	if peer := c.gossip.peers[label]; peer != nil {
		view.StoreReachable = peer.storeReachable && c.now.Sub(peer.lastHeardAt) < peerTimeout
		view.InboundOK = peer.isHeard(c.now)
		view.OutboundOK = peer.isConnected(c.now)
	}
	return view
}

func (c *Controller) viewTeams() []wire.AdminTeam {
	var views []wire.AdminTeam
	for i := range c.settings.Cluster.Teams {
		views = append(views, c.viewTeam(&c.settings.Cluster.Teams[i]))
	}
	return views
}

func (c *Controller) viewTeam(settings *config.Team) wire.AdminTeam {
	team := c.cache.team(settings.Name)
	view := wire.AdminTeam{
		Name:             settings.Name,
		Owner:            c.teamOwner(settings.Name),
		CPUsGuaranteed:   settings.CPUs,
		CPUsMax:          settings.CPUsMax,
		GPUsGuaranteed:   settings.GPUs,
		GPUsMax:          settings.GPUsMax,
		PlacementPages:   len(team.pages),
		PlacementBackoff: !c.isDue(team.schedule.nextPlacement),
	}
	used := team.resourcesUsed()
	view.CPUsUsed, view.GPUsUsed = used.Cores, used.Accelerators
	for _, job := range c.cache.jobs {
		if job.spec.Team == settings.Name {
			view.Jobs++
			view.WaitingTasks += job.spec.Tasks - job.completed.Len() - c.placedTasks(job.id)
		}
	}
	return view
}

// resourcesUsed returns the sum of the resources of the team's allocations. It adds them in the
// order of the pages, because the rounding of a floating-point sum depends on the order.
func (t *team) resourcesUsed() placement.Resources {
	var used placement.Resources
	for _, page := range t.orderedPages() {
		for i := range page.allocations {
			allocation := &page.allocations[i]
			used = used.Plus(allocation.taskResources(), float64(allocation.Tasks.Len()))
		}
	}
	return used
}

// placedTasks returns the number of a job's tasks that have allocations in the placement records.
func (c *Controller) placedTasks(id wire.JobID) int {
	count := 0
	for _, allocation := range c.cache.allocationsByJob[id] {
		count += allocation.Tasks.Len()
	}
	return count
}

func (c *Controller) viewMachines() []wire.AdminMachine {
	views := []wire.AdminMachine{}
	for _, machine := range c.orderedMachines() {
		if !machine.scaling.terminated {
			views = append(views, c.viewMachine(machine))
		}
	}
	return views
}

func (c *Controller) viewMachine(machine *machine) wire.AdminMachine {
	view := wire.AdminMachine{
		ID:                machine.id,
		Type:              machine.machineType,
		Zone:              machine.zone,
		Spot:              machine.spot,
		Status:            machine.scaling.status,
		SilentS:           c.silence(machine).Seconds(),
		Faulty:            !c.isDue(machine.quarantine.faultyUntil),
		Reserved:          machine.scaling.holdsHeadroom,
		ProvisioningLate:  machine.isProvisioning() && machine.scaling.status == wire.MachineBooting && !c.expectedToJoin(machine),
		PreemptionNotice:  machine.scaling.preemptionAt != 0,
		TerminationReason: c.cache.terminating[machine.id].reason,
	}
	for _, allocation := range machine.allocations {
		view.Tasks += allocation.Tasks.Len()
	}
	return view
}

func (c *Controller) viewJobs() []wire.AdminJob {
	views := []wire.AdminJob{}
	for _, id := range sortedKeys(c.cache.jobs) {
		views = append(views, c.viewJob(c.cache.jobs[id]))
		if len(views) == maxJobsInView {
			break
		}
	}
	return views
}

func (c *Controller) viewJob(job *job) wire.AdminJob {
	view := wire.AdminJob{
		ID:       job.id,
		Class:    job.spec.Class,
		Team:     job.spec.Team,
		Priority: job.spec.Priority,
		Tasks:    job.spec.Tasks,
		Done:     job.completed.Len(),
		Placed:   c.placedTasks(job.id),
		FailedOn: len(job.crashLoop.failedMachines),
		BackoffS: max(0, job.crashLoop.retryAt.Sub(c.now).Seconds()),
	}
	view.Waiting = max(0, view.Tasks-view.Done-view.Placed)
	if view.Waiting > 0 {
		view.Reason = job.pendingReason
	}
	return view
}
