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
	// maxUnanswered is how long users' requests about a job may go without an answer once
	// all faults are over.
	maxUnanswered = 75 * time.Second
	// maxStarvation is how long a job may wait beside room that it could have then.
	maxStarvation = 90 * time.Second
	// quotaTolerance is for the rounding of sums of cores.
	quotaTolerance = 1e-6
)

// eachActiveTask calls f for every task that is on a machine.
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

// checkStart checks the start of a task: it runs nowhere else, is where its job allows
// it, and its job is submitted and not long cancelled.
func (c *Cluster) checkStart(machine *fakeMachine, task *fakeTask, job *submittedJob) {
	if job.startedAt == 0 {
		job.startedAt = c.now
	}
	if !job.submitted {
		c.reportViolation("invented: start of %v before its submission", task.id)
	}
	c.checkSpread(machine, task, job)
	spec := &job.spec
	if !allowsMachine(spec, machine) {
		c.reportViolation("wrong_place: %v on %s (%s, %s, spot %v)", task.id, machine.id, machine.machineType.Name, machine.zone, machine.spot)
	}
	if job.lastStatus == wire.StatusCancelled {
		c.Observed[startAfterCancellation]++
		if c.now.Sub(job.terminalAt) > c.CancelTimeout {
			c.reportViolation("ran_cancelled: start of %v", task.id)
		}
	}
}

// checkSpread checks a task that starts against its job's other tasks: at most half of
// them, rounded up, may be in one zone if they are to be spread, and all must be if not.
func (c *Cluster) checkSpread(machine *fakeMachine, task *fakeTask, job *submittedJob) {
	spec := &job.spec
	sameZone := 1
	for _, placed := range job.active() {
		if placed.task == task {
			continue
		}
		if placed.task.id == task.id && placed.machine != machine {
			c.reportViolation("ran_twice: %v on %s and %s", task.id, placed.machine.id, machine.id)
		}
		if spec.SingleZone && placed.machine.zone != machine.zone {
			c.reportViolation("wrong_place: %v in %s, another in %s", task.id, machine.zone, placed.machine.zone)
		}
		if placed.machine.zone == machine.zone {
			sameZone++
		}
	}
	if spec.SpreadZones && sameZone > (spec.Tasks+1)/2 {
		c.reportViolation("wrong_place: %d tasks of %s in %s", sameZone, spec.ID, machine.zone)
	}
}

// allowsMachine reports whether a job may run on a machine, by its zone, type and price
// model.
func allowsMachine(spec *wire.JobSpec, machine *fakeMachine) bool {
	return (spec.Zone == "" || spec.Zone == machine.zone) && (!machine.spot || spec.Spot) &&
		(len(spec.Types) == 0 || slices.Contains(spec.Types, machine.machineType.Name))
}

// checkTasksAndQuotas checks what is on the machines, and that users are answered.
func (c *Cluster) checkTasksAndQuotas() {
	used := map[string]resources{}
	c.eachActiveTask(func(machine *fakeMachine, task *fakeTask) {
		job := c.jobs[task.id.Job]
		used[job.spec.Team] = used[job.spec.Team].plus(resourcesOf(&job.spec))
		if job.lastStatus == wire.StatusCancelled && c.now.Sub(job.terminalAt) > c.CancelTimeout {
			c.reportViolation("ran_cancelled: %v on %s", task.id, machine.id)
		}
	})
	for i := range c.Settings.Cluster.Teams {
		team := &c.Settings.Cluster.Teams[i]
		if usage := used[team.Name]; exceedsQuota(team, usage) {
			c.reportViolation("quota: %s uses %v cores, %v accelerators", team.Name, usage.cores, usage.accelerators)
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
			c.reportViolation("forgotten: no request about %s was answered for %v", id, c.now.Sub(since))
			job.answeredAt = c.now
		}
	}
}

// checkStatus checks a status that a user is told: a terminal one is final, and true.
func (c *Cluster) checkStatus(job *submittedJob, sentAt controller.Time, status wire.Status) {
	if !job.isOpen() && status != job.lastStatus && sentAt > job.terminalAt {
		c.reportViolation("went_back: %s was %s and is now %s", job.spec.ID, job.lastStatus, status)
	}
	if status == wire.StatusCancelled && !job.cancelRequested {
		c.reportViolation("went_back: %s cancelled, but nobody asked", job.spec.ID)
	}
	if status == wire.StatusDone && !job.isComplete() {
		c.reportViolation("not_done: %s reported done with %d of %d", job.spec.ID, len(job.completed), job.spec.Tasks)
	}
}

// checkStarvation looks for jobs that wait beside a machine that fits them and has room,
// while their team is under its limit.
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
			c.reportViolation("neglected: %s waits beside room", id)
			job.starvedSince = 0
		}
	}
}

// usedAndFreeResources are what the teams use on machines without a fault, and what these have
// left.
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
// its next task. Of jobs whose tasks have to be in one zone or spread over several, a
// single machine does not tell.
func (j *submittedJob) waitsForOneMachine() bool {
	waits := j.accepted && j.isOpen() && !j.cancelRequested && !j.alwaysFails && !j.isComplete() && len(j.active()) == 0
	return waits && (j.spec.Tasks == 1 || j.spec.Shape == wire.ShapeArray && !j.spec.SingleZone && !j.spec.SpreadZones)
}

// hasRoomFor reports whether a task of a job is within its team's quota, and some
// machine has room for it.
func (c *Cluster) hasRoomFor(job *submittedJob, used map[string]resources, free map[*fakeMachine]resources) bool {
	needed := resourcesOf(&job.spec)
	i := slices.IndexFunc(c.Settings.Cluster.Teams, func(team config.Team) bool { return team.Name == job.spec.Team })
	if i < 0 || exceedsQuota(&c.Settings.Cluster.Teams[i], used[job.spec.Team].plus(needed)) {
		return false
	}
	for machine, left := range free {
		if needed.fitIn(left) && allowsMachine(&job.spec, machine) {
			return true
		}
	}
	return false
}

// provisioner is the controller that provisions machines, or -1.
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
