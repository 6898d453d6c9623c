package controller

import (
	"slices"

	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// hostBuilder builds the fleet in the form that the placement rules use, first from the
// machines and then from the allocations on them.
type hostBuilder struct {
	controller *Controller
	// ownShards restricts the schedulable machines to those in this controller's shards.
	ownShards bool
	fleet     placement.Fleet
	current   allocatedJob
}

// allocatedJob caches the lookups for the job of the allocation that was added last, since
// allocations of one job are mostly adjacent.
type allocatedJob struct {
	id         wire.JobID
	job        *job // nil if it is completed
	tags       placement.Tags
	guaranteed bool // within its team's quota guarantee
}

// buildHosts builds the fleet in the form that the placement rules use: the machines with the
// allocations of the records and of the transactions that are being written. With ownShards
// it contains the machines in this controller's shards and, as unschedulable, those with
// tasks of jobs that this controller schedules, since the rules read these. Every allocation
// is passed to visit, with a nil host if its machine is left out.
func (c *Controller) buildHosts(transactions map[string]*placementTransaction, ownShards bool, visit func(*page, *Allocation, *placement.Host)) placement.Fleet {
	builder := &hostBuilder{controller: c, ownShards: ownShards}
	builder.addMachines()
	c.visitStagedAllocations(transactions, func(page *page, allocation *Allocation) {
		visit(page, allocation, builder.addAllocation(page, allocation))
	})
	return builder.fleet
}

// addMachines adds the machines that have joined and are not terminated, except those that
// outsideOwnShards leaves out.
func (b *hostBuilder) addMachines() {
	c := b.controller
	hosts := make([]placement.Host, len(c.fleet.machines))
	b.fleet = make(placement.Fleet, 0, len(c.fleet.machines))
	for i, machine := range c.orderedMachines() {
		machine.host = nil
		machineType := c.machineTypeNamed(machine.machineType)
		if machineType == nil || machine.latestHeartbeat == nil || machine.scaling.terminated || b.outsideOwnShards(machine) {
			continue
		}
		hosts[i] = c.emptyHost(machine, machineType)
		machine.host = &hosts[i]
		b.fleet = append(b.fleet, machine.host)
	}
}

// outsideOwnShards reports whether a machine is left out because it is not in this
// controller's shards.
func (b *hostBuilder) outsideOwnShards(machine *machine) bool {
	return b.ownShards && !b.controller.shards.table.MaySchedule(machine.shard)
}

// emptyHost returns the host for a machine without any tasks.
func (c *Controller) emptyHost(machine *machine, machineType *wire.MachineType) placement.Host {
	resources := machineResources(machineType)
	host := placement.Host{
		ID:            machine.id,
		Labels:        c.labelsOf(machine),
		Total:         resources,
		Free:          resources,
		TaskSlots:     maxTasksPerMachine,
		Unschedulable: !c.acceptsTasks(machine),
		Images:        machine.images.cached,
		PullingImages: machine.images.pulling,
		Price:         machineType.OnDemandPrice,
	}
	if machine.spot {
		host.Price = machineType.SpotPrice
	}
	if !c.isDue(machine.quarantine.faultyUntil) {
		host.Penalty = 1
	}
	return host
}

// addAllocation adds an allocation to its host and returns that host, or nil if the machine
// is left out.
func (b *hostBuilder) addAllocation(page *page, allocation *Allocation) *placement.Host {
	machine := allocation.host
	if machine == nil {
		machine = b.controller.machine(allocation.Machine) // a staged allocation is in no index
	}
	if machine.host == nil {
		if b.outsideOwnShards(machine) && !b.schedulesJob(allocation.Job) {
			return nil
		}
		// The host may stand for a machine that is not known. It gets the zone of the page,
		// which rules about zones read.
		machine.host = &placement.Host{ID: allocation.Machine, Labels: placement.Tags{placement.LabelZone: page.zone}, Unschedulable: true}
		b.fleet = append(b.fleet, machine.host)
	}
	b.selectJob(allocation)
	b.addTasks(machine.host, page.team, allocation)
	return machine.host
}

// schedulesJob reports whether this controller schedules a job.
func (b *hostBuilder) schedulesJob(id wire.JobID) bool {
	job := b.controller.cache.jobs[id]
	return job != nil && b.controller.schedulesJob(job)
}

// selectJob makes an allocation's job the current one.
func (b *hostBuilder) selectJob(allocation *Allocation) {
	id := allocation.Job
	if id == b.current.id {
		return
	}
	job := b.controller.cache.jobs[id]
	var tags placement.Tags
	if job != nil {
		tags = job.request.Tags
	} else {
		tags = allocation.tags()
	}
	b.current = allocatedJob{id: id, job: job, tags: tags, guaranteed: b.controller.scheduler.guaranteedJobs[id]}
}

// addTasks adds the tasks of an allocation of the current job to a host.
func (b *hostBuilder) addTasks(host *placement.Host, team string, allocation *Allocation) {
	count := allocation.Tasks.Len()
	resources := allocation.taskResources()
	host.Free = host.Free.Plus(resources, -float64(count))
	host.TaskSlots -= count
	stopping := allocation.Eviction != record.EvictionNone || b.current.job == nil
	if stopping {
		host.Freeing = host.Freeing.Plus(resources, float64(count))
	} else {
		host.PreemptablePriorities |= 1 << allocation.Priority
		host.HasUnguaranteedTasks = host.HasUnguaranteedTasks || allocation.Priority >= wire.PriorityNormal.Level() && !b.current.guaranteed
	}
	host.TaskGroups = append(host.TaskGroups, placement.TaskGroup{Team: team, Tags: b.current.tags, Count: count, Stopping: stopping})
}

// acceptsTasks reports whether a machine may take new tasks now.
func (c *Controller) acceptsTasks(machine *machine) bool {
	if machine == nil || machine.latestHeartbeat == nil || machine.isTerminated() {
		return false
	}
	if machine.scaling.preemptionAt != 0 || machine.scaling.status == wire.MachineFailed || c.fleet.addressReused(machine) {
		return false
	}
	if _, terminating := c.cache.terminating[machine.id]; terminating {
		return false
	}
	if machine.unreachable() && !c.fleet.outboundSuspect {
		return false
	}
	return c.heartbeatsOnTime(machine) && slices.Contains(c.settings.Cluster.Zones, machine.zone)
}

// heartbeatsOnTime reports whether the next heartbeat of a machine is not overdue.
func (c *Controller) heartbeatsOnTime(machine *machine) bool {
	return c.now.Sub(machine.liveness.lastHeartbeatAt) < c.maxHeartbeatInterval()+heartbeatSlack
}
