package second

import (
	"time"

	"lilacrill/wire"
)

// pullTime is how long a machine takes to fetch an image.
const pullTime = 300 * time.Millisecond

// execute executes commands in order. The lock must be held.
func (m *machine) execute(commands []wire.Command) {
	for _, command := range commands {
		key := attempt{command.Task, command.Attempt}
		run := m.tasks[key]
		switch {
		case command.Verb == wire.VerbLaunch && run == nil:
			m.launch(key)
		case command.Verb == wire.VerbStop && run != nil && run.status.State != wire.TaskExited:
			m.exit(key, run, wire.CauseStopped)
		case command.Verb == wire.VerbClear && run != nil && run.status.State == wire.TaskExited:
			delete(m.tasks, key)
			m.changed = true
		}
	}
}

// launch starts a task, or refuses it. The lock must be held.
func (m *machine) launch(key attempt) {
	j := m.rig.jobOf(key.load.Job)
	run := &taskRun{status: wire.TaskStatus{Task: key.load, Attempt: key.try, State: wire.TaskPulling}, job: j}
	var cause wire.Cause
	switch {
	case j == nil || key.load.Index >= j.spec.Tasks:
		cause = wire.CauseUnknown
	case m.has(key.load):
		cause = wire.CauseInUse
	default:
		if cores, accelerators, memory := m.freeResources(); cores < j.spec.Cores || accelerators < j.spec.Accelerators || memory < j.spec.MemGB {
			cause = wire.CauseNoRoom
		}
	}
	m.tasks[key], m.changed = run, true
	if cause != "" {
		run.status.State, run.status.Cause = wire.TaskExited, cause
		m.rig.log("%s: start of %s try %d refused: %s", m.id, key.load, key.try, cause)
		return
	}
	run.runLeft = j.runtime
	if !m.images[j.spec.Image] {
		run.pullLeft = pullTime
	}
}

// has reports whether a task is on the machine with any attempt. The lock must be held.
func (m *machine) has(load wire.TaskID) bool {
	for key, run := range m.tasks {
		if key.load == load && run.status.State != wire.TaskExited {
			return true
		}
	}
	return false
}

// exit ends a task. The lock must be held.
func (m *machine) exit(key attempt, run *taskRun, cause wire.Cause) {
	m.rig.noteEnd(m, key, run, string(cause))
	run.status.State, run.status.Cause = wire.TaskExited, cause
	m.changed = true
}

// runTasks lets the tasks go on until the machine is gone.
func (m *machine) runTasks() {
	last := time.Now()
	for {
		select {
		case <-m.stop:
			return
		case <-time.After(machineStep):
		}
		hung := m.hung.isClosed()
		m.hung.wait()
		now := time.Now()
		passed := now.Sub(last)
		last = now
		if hung {
			passed = 0
		}
		m.mu.Lock()
		m.expireLease()
		for key, run := range m.tasks {
			m.advance(key, run, passed)
		}
		m.mu.Unlock()
	}
}

// advance lets one task go on for a while. The lock must be held.
func (m *machine) advance(key attempt, run *taskRun, passed time.Duration) {
	switch run.status.State {
	case wire.TaskPulling:
		if run.pullLeft -= passed; run.pullLeft > 0 {
			return
		}
		m.images[run.job.spec.Image] = true
		run.started, m.changed = time.Now(), true
		run.status.State = wire.TaskRunning
		if run.job.spec.Shape == wire.ShapeGang && run.job.spec.Tasks > 1 {
			run.status.State = wire.TaskWaiting
		}
		m.rig.noteStart(m, key, run)
	case wire.TaskWaiting:
		if m.rig.gangComplete(run.job, key.try) {
			run.status.State, m.changed = wire.TaskRunning, true
		}
	case wire.TaskRunning:
		run.runLeft -= passed
		gang := run.job.spec.Shape == wire.ShapeGang && run.job.spec.Tasks > 1
		switch {
		case gang && !m.rig.gangComplete(run.job, key.try):
			m.exit(key, run, wire.CausePeerFailed)
		case run.job.runtime > 0 && run.runLeft <= 0:
			m.exit(key, run, wire.CauseDone)
		}
	}
}
