package simulation

import (
	"time"

	"lilacrill/wire"
)

const (
	// maxPullTime bounds the random time that a machine takes to pull an image.
	maxPullTime = 2 * time.Second
	// failureDelay is the time after which a task fails if its job always fails or its
	// machine is faulty.
	failureDelay = time.Second
)

// fakeTask is a task attempt on a machine.
type fakeTask struct {
	id           wire.TaskID
	attempt      wire.Attempt
	state        wire.TaskState
	cause        wire.Cause
	checkpointed bool
	active       bool              // has its image and has not exited; the rules apply to active tasks only
	token        wire.FencingToken // fencing token of its launch
}

// taskKey identifies a task attempt on its machine.
type taskKey struct {
	id      wire.TaskID
	attempt wire.Attempt
}

func (t *fakeTask) key() taskKey { return taskKey{t.id, t.attempt} }

// exit marks the task as exited with a cause.
func (t *fakeTask) exit(cause wire.Cause) {
	t.state, t.cause, t.active = wire.TaskExited, cause, false
}

// launch executes a launch command. The task starts once its image is pulled.
func (m *fakeMachine) launch(command wire.Command) {
	c := m.cluster
	m.launches++
	task := &fakeTask{id: command.Task, attempt: command.Attempt, state: wire.TaskPulling, token: m.token}
	m.tasks[task.key()] = task
	job := c.jobs[command.Task.Job]
	if job == nil {
		c.reportViolation("unknown job: launch of %v, which nobody submitted", command.Task)
		return
	}
	job.launches++
	if cause := m.rejectionCause(task, &job.spec); cause != "" {
		task.exit(cause)
		return
	}
	pull := time.Duration(c.rng.Int64N(int64(maxPullTime)))
	if c.ImagePullTime > 0 && !m.images[job.spec.Image] {
		pull = c.ImagePullTime
	}
	c.after(pull, func() {
		m.deliver(func() {
			if task.state == wire.TaskPulling && m.tasks[task.key()] == task {
				m.images[job.spec.Image] = true
				m.start(task, job)
			}
		})
	})
}

// rejectionCause returns the cause for which the machine cannot run a launched task: another
// attempt at the task is on the machine, or there is no room. It returns "" if the machine
// can run the task.
func (m *fakeMachine) rejectionCause(task *fakeTask, spec *wire.JobSpec) wire.Cause {
	var used resources
	for _, other := range m.tasks {
		if other == task || other.state == wire.TaskExited {
			continue
		}
		if other.id == task.id {
			return wire.CauseInUse
		}
		used = used.plus(resourcesOf(&m.cluster.jobs[other.id.Job].spec))
	}
	if !used.plus(resourcesOf(spec)).fitsIn(machineResources(m.machineType)) {
		return wire.CauseNoRoom
	}
	return ""
}

// start starts a task whose image is pulled. A task of a gang then waits for the others.
func (m *fakeMachine) start(task *fakeTask, job *submittedJob) {
	c := m.cluster
	task.active = true
	job.placements = append(job.placements, placement{m, task})
	c.checkStart(m, task, job)
	if m.faulty {
		m.failLater(task)
	}
	if job.spec.Shape != wire.ShapeGang {
		m.run(task, job)
		return
	}
	task.state = wire.TaskWaiting
	c.after(c.GangWaitTimeout, func() {
		m.deliver(func() {
			if task.state == wire.TaskWaiting {
				m.exit(task, wire.CauseGangTimeout)
			}
		})
	})
	c.startGangIfReady(job, task.attempt)
}

// run runs a task until it completes, fails or is stopped.
func (m *fakeMachine) run(task *fakeTask, job *submittedJob) {
	task.state = wire.TaskRunning
	switch {
	case job.alwaysFails:
		m.failLater(task)
	case job.spec.Shape != wire.ShapeService:
		m.cluster.after(job.runtimeOfTask(task.id.Index), func() {
			m.deliver(func() { m.complete(task, job) })
		})
	}
}

func (m *fakeMachine) failLater(task *fakeTask) {
	m.cluster.after(failureDelay, func() { m.deliver(func() { m.exit(task, wire.CauseError) }) })
}

func (m *fakeMachine) complete(task *fakeTask, job *submittedJob) {
	if task.state != wire.TaskRunning || !task.active {
		return
	}
	if job.spec.Shape == wire.ShapeGang {
		m.cluster.completeGang(job, task.attempt)
	} else {
		m.exit(task, wire.CauseDone)
	}
}

// stop stops a task. A running task that makes checkpoints is checkpointed first if the
// grace period is long enough. If the task is already being checkpointed, a stop without a
// grace period ends it at once, and any other stop lets the checkpoint finish.
func (m *fakeMachine) stop(task *fakeTask, gracePeriodS float64) {
	spec := &m.cluster.jobs[task.id.Job].spec
	switch {
	case task.state == wire.TaskRunning && spec.CheckpointIntervalS > 0 && gracePeriodS >= spec.CheckpointSaveS:
		m.checkpoint(task, time.Duration(spec.CheckpointSaveS*float64(time.Second)))
	case task.state == wire.TaskCheckpointing && gracePeriodS > 0:
	default:
		m.exit(task, wire.CauseStopped)
	}
}

// checkpoint saves a task's checkpoint, which takes saveTime, and then stops the task.
func (m *fakeMachine) checkpoint(task *fakeTask, saveTime time.Duration) {
	task.state = wire.TaskCheckpointing
	m.cluster.after(saveTime, func() {
		m.deliver(func() {
			if task.state == wire.TaskCheckpointing {
				task.checkpointed = true
				m.exit(task, wire.CauseStopped)
			}
		})
	})
}

// exit ends a task with a cause and sends a heartbeat at once. If the task was a running
// task of a gang and did not complete, the rest of the gang fails.
func (m *fakeMachine) exit(task *fakeTask, cause wire.Cause) {
	if task.state == wire.TaskExited || m.tasks[task.key()] != task {
		return
	}
	wasRunning := task.state == wire.TaskRunning || task.state == wire.TaskCheckpointing
	task.exit(cause)
	job := m.cluster.jobs[task.id.Job]
	if cause == wire.CauseDone {
		job.completed[task.id.Index] = true
		m.cluster.handleTaskCompletion(job)
	} else if job.spec.Shape == wire.ShapeGang && wasRunning {
		m.cluster.failGang(job, task.attempt)
	}
	m.sendHeartbeat()
}
