package simulation

import (
	"slices"
	"time"

	"lilacrill/wire"
)

// gangTasks returns the active tasks of one attempt of a gang.
func gangTasks(job *submittedJob, attempt wire.Attempt) []placement {
	var tasks []placement
	for _, placed := range job.active() {
		if placed.task.attempt == attempt {
			tasks = append(tasks, placed)
		}
	}
	return tasks
}

// isWholeGang reports whether tasks contains all tasks of a gang, each in the given state.
func isWholeGang(job *submittedJob, tasks []placement, state wire.TaskState) bool {
	return len(tasks) >= job.spec.Tasks &&
		!slices.ContainsFunc(tasks, func(placed placement) bool { return placed.task.state != state })
}

// startGangIfReady runs the tasks of a gang if all of them are waiting.
func (c *Cluster) startGangIfReady(job *submittedJob, attempt wire.Attempt) {
	tasks := gangTasks(job, attempt)
	if !isWholeGang(job, tasks, wire.TaskWaiting) {
		return
	}
	for _, placed := range tasks {
		placed.machine.run(placed.task, job)
	}
}

// completeGang completes all tasks of a gang together if all of them are running.
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

// failGang makes the running tasks of a gang fail, within GangPeerTimeout after the failure
// of one of them.
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
