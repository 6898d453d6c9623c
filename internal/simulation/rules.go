package simulation

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

// eachActiveTask yields every task that is on a machine.
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

// checkStart holds the start of a task against the rules.
func (c *Cluster) checkStart(machine *fakeMachine, task *fakeTask, job *submittedJob) {
	spec := &job.spec
	if job.startedAt == 0 {
		job.startedAt = c.now
	}
	if !job.submitted {
		c.violation("invented: start of %v before its submission", task.id)
	}
	sameZone := 1
	for _, placed := range job.active() {
		otherMachine, other := placed.machine, placed.task
		if other == task {
			continue
		}
		if other.id == task.id && otherMachine != machine {
			c.violation("ran_twice: %v on %s and %s", task.id, otherMachine.id, machine.id)
		}
		if spec.SingleZone && otherMachine.zone != machine.zone {
			c.violation("wrong_place: %v in %s, another in %s", task.id, machine.zone, otherMachine.zone)
		}
		if otherMachine.zone == machine.zone {
			sameZone++
		}
	}
	if spec.SpreadZones && sameZone > (spec.Tasks+1)/2 {
		c.violation("wrong_place: %d tasks of %s in %s", sameZone, spec.ID, machine.zone)
	}
	if spec.Zone != "" && spec.Zone != machine.zone || machine.spot && !spec.Spot || len(spec.Types) > 0 && !slices.Contains(spec.Types, machine.machineType.Name) {
		c.violation("wrong_place: %v on %s (%s, %s, spot %v)", task.id, machine.id, machine.machineType.Name, machine.zone, machine.spot)
	}
	if job.lastStatus == wire.StatusCancelled {
		c.Observed[startAfterCancellation]++
		if c.now.Sub(job.terminalAt) > c.CancelTimeout {
			c.violation("ran_cancelled: start of %v", task.id)
		}
	}
}

// maxUnanswered is how long users' questions about a job may go without an answer
// once all troubles are over.
const maxUnanswered = 75 * time.Second

// StartDelay is how long after its submission a job's first task ran.
func (c *Cluster) StartDelay(id wire.JobID) (time.Duration, bool) {
	job := c.jobs[id]
	return job.startedAt.Sub(job.submittedAt), job.startedAt != 0
}

// checkTasksAndQuotas holds what is on the machines against the rules.
func (c *Cluster) checkTasksAndQuotas() {
	type use struct{ cores, accel float64 }
	used := map[string]use{}
	c.eachActiveTask(func(machine *fakeMachine, t *fakeTask) {
		job := c.jobs[t.id.Job]
		u := used[job.spec.Team]
		used[job.spec.Team] = use{u.cores + job.spec.Cores, u.accel + job.spec.Accelerators}
		if job.lastStatus == wire.StatusCancelled && c.now.Sub(job.terminalAt) > c.CancelTimeout {
			c.violation("ran_cancelled: %v on %s", t.id, machine.id)
		}
	})
	for id, job := range c.jobs {
		if since := max(job.answeredAt, controller.Time(c.FaultsOverAt)); c.FaultsOverAt > 0 && job.accepted && c.now.Sub(since) > maxUnanswered {
			c.violation("forgotten: no question about %s was answered for %v", id, c.now.Sub(since))
			job.answeredAt = c.now
		}
	}
	for _, t := range c.Settings.Cluster.Teams {
		cpus, gpus := t.Limits()
		if u := used[t.Name]; u.cores > cpus+1e-6 || u.accel > gpus+1e-6 {
			c.violation("quota: %s uses %v cores, %v accelerators", t.Name, u.cores, u.accel)
		}
	}
}

// maxNeglect is how long a job may wait beside room that it could have, once all
// troubles are over.
const maxNeglect = 90 * time.Second

// checkNeglect looks for jobs that wait beside a machine that fits them and has room,
// while their team is under its limit. Jobs whose tasks have to be placed together or
// apart are left out: whether they fit is not told by one machine.
func (c *Cluster) checkNeglect() {
	if c.FaultsOverAt == 0 {
		return
	}
	used, free := map[string][2]float64{}, map[*fakeMachine][3]float64{}
	for _, machine := range c.machines {
		if !machine.up || machine.terminated || machine.hung || machine.faulty || machine.preemptionAt != 0 {
			continue
		}
		f := [3]float64{machine.machineType.Cores, machine.machineType.Accelerators, machine.machineType.MemGB}
		for _, t := range machine.sortedTasks() {
			spec := &c.jobs[t.id.Job].spec
			if t.state != wire.TaskExited {
				f = [3]float64{f[0] - spec.Cores, f[1] - spec.Accelerators, f[2] - spec.MemGB}
				u := used[spec.Team]
				used[spec.Team] = [2]float64{u[0] + spec.Cores, u[1] + spec.Accelerators}
			}
		}
		free[machine] = f
	}
	for id, job := range c.jobs {
		spec := &job.spec
		waits := job.accepted && !job.lastStatus.IsTerminal() && !job.cancelRequested && !job.alwaysFails && len(job.completed) < spec.Tasks && len(job.active()) == 0 &&
			(spec.Tasks == 1 || spec.Shape == wire.ShapeArray && !spec.SingleZone && !spec.SpreadZones)
		beside := false
		if waits {
			for _, t := range c.Settings.Cluster.Teams {
				cpus, gpus := t.Limits()
				if u := used[t.Name]; t.Name == spec.Team && u[0]+spec.Cores <= cpus+1e-6 && u[1]+spec.Accelerators <= gpus+1e-6 {
					for machine, f := range free {
						beside = beside || f[0] >= spec.Cores && f[1] >= spec.Accelerators && f[2] >= spec.MemGB && (spec.Zone == "" || spec.Zone == machine.zone) &&
							(!machine.spot || spec.Spot) && (len(spec.Types) == 0 || slices.Contains(spec.Types, machine.machineType.Name))
					}
				}
			}
		}
		switch {
		case !beside:
			job.neglectedSince = 0
		case job.neglectedSince == 0:
			job.neglectedSince = c.now
		case c.now.Sub(job.neglectedSince) > maxNeglect:
			c.violation("neglected: %s waits beside room", id)
			job.neglectedSince = 0
		}
	}
}

// gangTasks finds a gang's tasks of one attempt that are on machines.
func (c *Cluster) gangTasks(job *submittedJob, attempt wire.Attempt) (machines []*fakeMachine, tasks []*fakeTask) {
	for _, placed := range job.active() {
		if placed.task.attempt == attempt {
			machines, tasks = append(machines, placed.machine), append(tasks, placed.task)
		}
	}
	return machines, tasks
}

// startGangIfReady starts a gang once all its tasks wait.
func (c *Cluster) startGangIfReady(job *submittedJob, attempt wire.Attempt) {
	machines, tasks := c.gangTasks(job, attempt)
	if len(tasks) < job.spec.Tasks {
		return
	}
	for _, task := range tasks {
		if task.state != wire.TaskWaiting {
			return
		}
	}
	for i, task := range tasks {
		machines[i].run(task, job)
	}
}

func (c *Cluster) completeGang(job *submittedJob, attempt wire.Attempt) {
	machines, tasks := c.gangTasks(job, attempt)
	if len(tasks) < job.spec.Tasks || slices.ContainsFunc(tasks, func(task *fakeTask) bool { return task.state != wire.TaskRunning }) {
		return
	}
	for i := range job.spec.Tasks {
		job.completed[i] = true
	}
	c.jobCompleted(job)
	for i, task := range tasks {
		task.active = false
		task.state, task.cause = wire.TaskExited, wire.CauseDone
		if !machines[i].hung {
			machines[i].sendHeartbeat()
		}
	}
}

// failGang has the rest of a gang notice that a task is gone.
func (c *Cluster) failGang(job *submittedJob, attempt wire.Attempt) {
	c.after(time.Duration(c.rng.Int64N(int64(c.GangPeerTimeout))), func() {
		machines, tasks := c.gangTasks(job, attempt)
		for i, task := range tasks {
			if task.state == wire.TaskRunning {
				machines[i].deliver(func() {
					if task.state == wire.TaskRunning {
						task.active = false
						task.state, task.cause = wire.TaskExited, wire.CausePeerFailed
					}
				})
			}
		}
	})
}

// HasViolation reports whether a rule of this name was broken.
func (c *Cluster) HasViolation(rule string) bool {
	return slices.ContainsFunc(c.Violations, func(s string) bool { return strings.Contains(s, rule) })
}

// provisioner is the controller that buys machines, or -1.
func (c *Cluster) provisioner() int {
	boots := map[string]int{}
	for i := range c.controllers {
		if v, _, ok := c.store.Get(fmt.Sprintf("l/n/rig-%d", i)); ok {
			var n struct{ Boot json.Number }
			if json.Unmarshal(v, &n) == nil {
				boots[n.Boot.String()] = i
			}
		}
	}
	v, _, _ := c.store.Get("l/buyer")
	if i, ok := boots[string(v)]; ok {
		return i
	}
	return -1
}
