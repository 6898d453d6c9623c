package simulation

import (
	"slices"
	"time"

	"lilacrill/wire"
)

// gangTasks are a gang's tasks of one attempt that are on machines.
func gangTasks(job *submittedJob, attempt wire.Attempt) []placement {
	var tasks []placement
	for _, placed := range job.active() {
		if placed.task.attempt == attempt {
			tasks = append(tasks, placed)
		}
	}
	return tasks
}

// isWholeGang reports whether all tasks of a gang are there, in one state.
func isWholeGang(job *submittedJob, tasks []placement, state wire.TaskState) bool {
	return len(tasks) >= job.spec.Tasks &&
		!slices.ContainsFunc(tasks, func(placed placement) bool { return placed.task.state != state })
}

// startGangIfReady starts a gang once all its tasks wait.
func (c *Cluster) startGangIfReady(job *submittedJob, attempt wire.Attempt) {
	tasks := gangTasks(job, attempt)
	if !isWholeGang(job, tasks, wire.TaskWaiting) {
		return
	}
	for _, placed := range tasks {
		placed.machine.run(placed.task, job)
	}
}

// completeGang has all tasks of a gang complete together.
func (c *Cluster) completeGang(job *submittedJob, attempt wire.Attempt) {
	tasks := gangTasks(job, attempt)
	if !isWholeGang(job, tasks, wire.TaskRunning) {
		return
	}
	for i := range job.spec.Tasks {
		job.completed[i] = true
	}
	c.handleTaskCompletion(job)
	for _, placed := range tasks {
		placed.task.exit(wire.CauseDone)
		if !placed.machine.hung {
			placed.machine.sendHeartbeat()
		}
	}
}

// failGang has the rest of a gang fail, some time after one of its tasks did.
func (c *Cluster) failGang(job *submittedJob, attempt wire.Attempt) {
	c.after(time.Duration(c.rng.Int64N(int64(c.GangPeerTimeout))), func() {
		for _, placed := range gangTasks(job, attempt) {
			if placed.task.state != wire.TaskRunning {
				continue
			}
			placed.machine.deliver(func() {
				if placed.task.state == wire.TaskRunning {
					placed.task.exit(wire.CausePeerFailed)
				}
			})
		}
	})
}
