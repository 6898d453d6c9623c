package controller

import (
	"lilacrill/internal/config"
	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// jobPlacement is the placement of one pending job in a scheduling pass.
type jobPlacement struct {
	pass        *schedulingPass
	pending     *pendingJob
	transaction *placementTransaction
	// canStage reports whether allocations are staged in the transaction. Otherwise the pass
	// only plans: the tasks take room on the hosts of its snapshot, and another controller or a
	// later pass writes their allocations.
	canStage bool
	attempt  wire.Attempt // shared by all tasks that this pass places; 0 before the first
}

// placeJob places as many of a pending job's missing tasks as its team's quota limit and the
// fleet have room for, and handles the tasks without room as unmet demand.
func (p *schedulingPass) placeJob(pending *pendingJob) {
	job := pending.job
	count := p.c.limitToCanaries(job, p.tasksWithinLimit(pending))
	if count == 0 {
		job.pendingReason = reasonTeamAtLimit
		if job.crashLoop.consecutiveBackoffs > 0 {
			job.pendingReason = reasonCanariesRunning
		}
		return
	}
	if p.jobHosts[job.id] == nil {
		p.jobHosts[job.id] = []*placement.Host{} // known to have no hosts; nil would mean unknown
	}
	jobPlacement := p.newJobPlacement(pending)
	options := jobPlacement.options()
	job.pendingReason = reasonBeingPlaced
	assignments, unplaced := p.chooseMachines(pending, count, options)
	for _, assignment := range assignments {
		jobPlacement.place(assignment)
	}
	if unplaced > 0 && !p.cachedImageOnly {
		p.handleUnmetDemand(pending, unplaced)
	}
}

func (p *schedulingPass) newJobPlacement(pending *pendingJob) *jobPlacement {
	c, job := p.c, pending.job
	transaction := p.transactions[job.spec.Team]
	schedule := &c.cache.team(job.spec.Team).schedule
	return &jobPlacement{
		pass:        p,
		pending:     pending,
		transaction: transaction,
		canStage: transaction != nil && (!transaction.criticalOnly || job.spec.Priority == wire.PriorityCritical) &&
			schedule.inFlight == nil && c.isDue(schedule.nextPlacement) && c.schedulesJob(job) && transaction.hasCapacityFor(0),
	}
}

// options returns the options for choosing machines for the job. After placement writes that ended
// in conflicts, the machines that these writes used are excluded and only a few others are tried at
// random, so that two controllers do not contend for the same machines again.
func (j *jobPlacement) options() placement.Options {
	c, p, job := j.pass.c, j.pass, j.pending.job
	options := placement.Options{
		Relax:        c.operator.values.Affinity == config.AffinityPreferred,
		AllOrNothing: job.spec.Shape == wire.ShapeGang,
		Rand:         c.rand,
		JobHosts:     p.jobHosts[job.id],
	}
	avoidsAccelerators := p.avoidsAccelerators(job)
	avoidsExpensive := c.avoidsExpensive(j.pending)
	if len(job.crashLoop.avoidMachines) > 0 || avoidsAccelerators || avoidsExpensive {
		options.Usable = func(host *placement.Host) bool {
			until, avoided := job.crashLoop.avoidMachines[host.ID]
			return (!avoided || c.isDue(until)) &&
				!(avoidsAccelerators && p.accelerators[host]) &&
				!(avoidsExpensive && c.abovePriceLimit(c.fleet.machines[host.ID]))
		}
	}
	if schedule := &c.cache.team(job.spec.Team).schedule; j.canStage && schedule.placementConflicts > 0 {
		options.SampleSize, options.Excluded, options.Relax = c.operator.values.ProbeMachines, schedule.contendedMachines, false
	}
	return options
}

// place removes the tasks of an assignment from the missing tasks and stages allocations for
// them. The tasks are split into several allocations if one would be too large.
func (j *jobPlacement) place(assignment placement.Assignment) {
	c, p, job := j.pass.c, j.pass, j.pending.job
	p.teamUsage[job.spec.Team] = p.teamUsage[job.spec.Team].Plus(job.request.Need, float64(assignment.Count))
	machine := c.fleet.machines[assignment.Machine]
	for left := assignment.Count; left > 0; {
		var tasks record.TaskSet
		tasks, j.pending.missing = j.pending.missing.Take(min(left, c.maxTasksPerAllocation()))
		left -= tasks.Len()
		if !j.canStage || !j.stage(machine, tasks) {
			machine.host.NoteReservation(job.request, tasks.Len())
		}
	}
	if assignment.Relaxed && j.canStage {
		c.metrics.count(countAffinityRelaxed, assignment.Count)
		c.log.Debug("preferred rule relaxed", "job_id", job.id, "machine_id", machine.id)
	}
}

// stage stages an allocation of tasks on a machine, and reports whether it did. Once the transaction
// is full, the remaining tasks of the job are only planned for. Allocations of a gang that are already
// staged are then unstaged, because a gang is placed as a whole or not at all.
func (j *jobPlacement) stage(machine *machine, tasks record.TaskSet) bool {
	c, job := j.pass.c, j.pending.job
	if j.attempt == 0 {
		j.attempt = wire.Attempt(c.membership.nextSerial())
	}
	allocation := j.newAllocation(machine, tasks)
	if !j.transaction.hasCapacityFor(0) || !j.transaction.stageAllocation(machine.zone, allocation) {
		j.canStage = false
		if job.spec.Shape == wire.ShapeGang {
			j.transaction.unstageAttempt(j.attempt)
			j.pending.staged = false
		}
		return false
	}
	j.pending.staged = true
	j.transaction.placesTasks = true
	if c.sharded() {
		j.transaction.shards[machine.shard] = true
	}
	j.transaction.urgent = j.transaction.urgent || job.spec.Priority == wire.PriorityCritical
	j.transaction.conditions[record.JobKey(job.id)] = job.version
	j.transaction.usedMachines[machine.id] = true
	j.transaction.notifyMachines[machine.id] = true
	c.metrics.count(countTasksPlaced, tasks.Len())
	c.log.Debug("tasks placed", "job_id", job.id, "class", job.spec.Class, "machine_id", machine.id, "attempt", j.attempt, "tasks", tasks.Len(),
		"image_cached", machine.images.cached[job.spec.Image], "guaranteed", j.pending.guaranteed)
	return true
}

func (j *jobPlacement) newAllocation(machine *machine, tasks record.TaskSet) Allocation {
	spec := &j.pending.job.spec
	return Allocation{
		AllocationHeader: record.AllocationHeader{
			Job:          j.pending.job.id,
			Attempt:      j.attempt,
			Launcher:     j.pass.c.membership.incarnation,
			Cores:        spec.Cores,
			Accelerators: spec.Accelerators,
			MemGB:        spec.MemGB,
			Priority:     spec.Priority.Level(),
			Shape:        spec.Shape,
		},
		Machine:    machine.id,
		AgentEpoch: machine.latestHeartbeat.AgentEpoch,
		Tasks:      tasks,
	}
}

// tasksWithinLimit returns the number of a job's missing tasks that fit into its team's quota
// limit. All tasks that may still run on a machine count towards the limit. For a gang the result
// is 0 unless all of its tasks fit.
func (p *schedulingPass) tasksWithinLimit(pending *pendingJob) int {
	spec := &pending.job.spec
	settings := p.c.teamSettings(spec.Team)
	if settings == nil {
		return 0
	}
	cpus, gpus := settings.Limits()
	limit := placement.Resources{Cores: cpus, Accelerators: gpus, MemGB: config.Unlimited}
	count := limit.Plus(p.teamUsage[spec.Team], -1).FitCount(pending.job.request.Need, pending.missing.Len())
	if spec.Shape == wire.ShapeGang && count < spec.Tasks {
		return 0
	}
	return count
}

// maxTasksPerAllocation returns the maximum number of tasks of one allocation. It keeps an
// allocation small enough to fit on a placement page together with others.
func (c *Controller) maxTasksPerAllocation() int {
	return max(1, min(maxTasksPerMachine, c.pageLimit()/pageBytesPerTask))
}
