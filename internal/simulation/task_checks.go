package simulation

import (
	"slices"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/controller"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

const (
	// maxUnanswered is the longest time that users' requests about a job may go unanswered
	// once all faults are over.
	maxUnanswered = 75 * time.Second
	// maxStarvation is the longest time that a job may wait once all faults are over,
	// although a machine has room for it.
	maxStarvation = 90 * time.Second
	// quotaTolerance allows for rounding errors in sums of cores or accelerators.
	quotaTolerance = 1e-6
)

// eachActiveTask calls f for every active task.
func (c *Cluster) eachActiveTask(f func(*fakeMachine, *fakeTask)) {
	for _, machine := range c.machines {
		if machine.terminated {
			continue
		}
		for _, task := range machine.sortedTasks() {
			if task.active {
				f(machine, task)
			}
		}
	}
}

// checkStart checks the start of a task. The task must not run elsewhere, its job must allow
// the machine and be submitted, and the job must not have been reported cancelled more than
// CancelTimeout ago.
func (c *Cluster) checkStart(machine *fakeMachine, task *fakeTask, job *submittedJob) {
	if job.startedAt == 0 {
		job.startedAt = c.now
	}
	if !job.submitted {
		c.reportViolation("unknown job: start of %v before its submission", task.id)
	}
	c.checkSpread(machine, task, job)
	spec := &job.spec
	if !allowsMachine(spec, machine) {
		c.reportViolation("machine not allowed: %v on %s (%s, %s, spot %v)", task.id, machine.id, machine.machineType.Name, machine.zone, machine.spot)
	}
	if job.lastStatus == wire.StatusCancelled {
		c.Observed[startAfterCancellation]++
		if c.now.Sub(job.terminalAt) > c.CancelTimeout {
			c.reportViolation("cancelled job: late start of %v", task.id)
		}
	}
}

// checkSpread checks a starting task against the other tasks of its job. No other attempt at
// the task may be on another machine. All tasks of a single-zone job must be in one zone. If
// a job is to be spread, at most half of its tasks, rounded up, may be in one zone.
func (c *Cluster) checkSpread(machine *fakeMachine, task *fakeTask, job *submittedJob) {
	spec := &job.spec
	sameZone := 1
	for _, placed := range job.active() {
		if placed.task == task {
			continue
		}
		if placed.task.id == task.id && placed.machine != machine {
			c.reportViolation("task on two machines: %v on %s and %s", task.id, placed.machine.id, machine.id)
		}
		if spec.SingleZone && placed.machine.zone != machine.zone {
			c.reportViolation("zone not allowed: %v in %s, another task in %s", task.id, machine.zone, placed.machine.zone)
		}
		if placed.machine.zone == machine.zone {
			sameZone++
		}
	}
	if spec.SpreadZones && sameZone > (spec.Tasks+1)/2 {
		c.reportViolation("zone not allowed: %d tasks of %s in %s", sameZone, spec.ID, machine.zone)
	}
}

// allowsMachine reports whether a job may run on a machine according to the zone, type and
// price model of the machine.
func allowsMachine(spec *wire.JobSpec, machine *fakeMachine) bool {
	return (spec.Zone == "" || spec.Zone == machine.zone) && (!machine.spot || spec.Spot) &&
		(len(spec.Types) == 0 || slices.Contains(spec.Types, machine.machineType.Name))
}

// checkTasksAndQuotas checks the active tasks against the cancellations and the quota limits
// of teams and, once all faults are over, that users get answers.
func (c *Cluster) checkTasksAndQuotas() {
	used := map[string]resources{}
	c.eachActiveTask(func(machine *fakeMachine, task *fakeTask) {
		job := c.jobs[task.id.Job]
		used[job.spec.Team] = used[job.spec.Team].plus(resourcesOf(&job.spec))
		if job.lastStatus == wire.StatusCancelled && c.now.Sub(job.terminalAt) > c.CancelTimeout {
			c.reportViolation("cancelled job: %v still on %s", task.id, machine.id)
		}
	})
	for i := range c.Settings.Cluster.Teams {
		team := &c.Settings.Cluster.Teams[i]
		if usage := used[team.Name]; exceedsQuota(team, usage) {
			c.reportViolation("quota limit exceeded: %s uses %v cores, %v accelerators", team.Name, usage.cores, usage.accelerators)
		}
	}
	if c.FaultsOverAt > 0 {
		c.checkAnswers()
	}
}

func exceedsQuota(team *config.Team, usage resources) bool {
	cores, accelerators := team.Limits()
	return usage.cores > cores+quotaTolerance || usage.accelerators > accelerators+quotaTolerance
}

// checkAnswers checks that requests about each accepted job are answered in time.
func (c *Cluster) checkAnswers() {
	for id, job := range c.jobs {
		since := max(job.answeredAt, controller.Time(c.FaultsOverAt))
		if job.accepted && c.now.Sub(since) > maxUnanswered {
			c.reportViolation("lost job: no request about %s was answered for %v", id, c.now.Sub(since))
			job.answeredAt = c.now
		}
	}
}

// checkStatus checks a status that is reported to a user. A terminal status is final, a job
// is cancelled only on request, and done only if all its tasks have completed.
func (c *Cluster) checkStatus(job *submittedJob, sentAt controller.Time, status wire.Status) {
	if !job.isOpen() && status != job.lastStatus && sentAt > job.terminalAt {
		c.reportViolation("terminal status changed: %s was %s and is now %s", job.spec.ID, job.lastStatus, status)
	}
	if status == wire.StatusCancelled && !job.cancelRequested {
		c.reportViolation("cancellation not requested: %s reported cancelled, but nobody asked for it", job.spec.ID)
	}
	if status == wire.StatusDone && !job.isComplete() {
		c.reportViolation("job not complete: %s reported done with %d of %d tasks", job.spec.ID, len(job.completed), job.spec.Tasks)
	}
}

// checkStarvation checks that no job waits for longer than maxStarvation although a machine
// that fits it has room and its team is under its quota limit.
func (c *Cluster) checkStarvation() {
	if c.FaultsOverAt == 0 {
		return
	}
	used, free := c.usedAndFreeResources()
	for id, job := range c.jobs {
		switch {
		case !job.waitsForOneMachine() || !c.hasRoomFor(job, used, free):
			job.starvedSince = 0
		case job.starvedSince == 0:
			job.starvedSince = c.now
		case c.now.Sub(job.starvedSince) > maxStarvation:
			c.reportViolation("starved: %s waits although a machine has room", id)
			job.starvedSince = 0
		}
	}
}

// usedAndFreeResources returns the resources that each team uses on usable machines, and the
// free resources of these machines. A usable machine is up and not terminated, does not hang,
// is not faulty and has no preemption notice.
func (c *Cluster) usedAndFreeResources() (used map[string]resources, free map[*fakeMachine]resources) {
	used, free = map[string]resources{}, map[*fakeMachine]resources{}
	for _, machine := range c.machines {
		if !machine.up || machine.terminated || machine.hung || machine.faulty || machine.preemptionAt != 0 {
			continue
		}
		left := machineResources(machine.machineType)
		for _, task := range machine.sortedTasks() {
			if task.state != wire.TaskExited {
				spec := &c.jobs[task.id.Job].spec
				left = left.minus(resourcesOf(spec))
				used[spec.Team] = used[spec.Team].plus(resourcesOf(spec))
			}
		}
		free[machine] = left
	}
	return used, free
}

// waitsForOneMachine reports whether the job waits, and one machine with room is enough for
// its next task. If the tasks of a job must be in one zone or spread over several, the room
// on one machine does not decide whether the job can start.
func (j *submittedJob) waitsForOneMachine() bool {
	waits := j.accepted && j.isOpen() && !j.cancelRequested && !j.alwaysFails && !j.isComplete() && len(j.active()) == 0
	return waits && (j.spec.Tasks == 1 || j.spec.Shape == wire.ShapeArray && !j.spec.SingleZone && !j.spec.SpreadZones)
}

// hasRoomFor reports whether a task of a job is within its team's quota limit and some
// machine has room for it.
func (c *Cluster) hasRoomFor(job *submittedJob, used map[string]resources, free map[*fakeMachine]resources) bool {
	needed := resourcesOf(&job.spec)
	i := slices.IndexFunc(c.Settings.Cluster.Teams, func(team config.Team) bool { return team.Name == job.spec.Team })
	if i < 0 || exceedsQuota(&c.Settings.Cluster.Teams[i], used[job.spec.Team].plus(needed)) {
		return false
	}
	for machine, left := range free {
		if needed.fitsIn(left) && allowsMachine(&job.spec, machine) {
			return true
		}
	}
	return false
}

// provisioner returns the index of the controller that is the provisioner, or -1.
func (c *Cluster) provisioner() int {
	var incarnation wire.FencingToken
	c.readRecord(record.ProvisionerKey, &incarnation)
	for i := range c.controllers {
		if incarnation != 0 && c.isLive(record.ShardOwner{Label: controllerLabel(i), Incarnation: incarnation}) {
			return i
		}
	}
	return -1
}
