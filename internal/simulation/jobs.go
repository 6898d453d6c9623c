package simulation

import (
	"slices"
	"time"

	"lilacrill/internal/controller"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// submittedJob is a job with its tasks, its user's requests and the reported statuses.
type submittedJob struct {
	spec        wire.JobSpec
	runtime     time.Duration                 // of each task; services run until they are stopped
	runtimeOf   func(index int) time.Duration // if set, in place of runtime
	alwaysFails bool                          // its tasks fail on every machine

	submitted       bool
	accepted        bool
	cancelRequested bool
	submittedAt     controller.Time // when it was first submitted
	answeredAt      controller.Time // when a request about it was last answered
	// lastStatus is the latest reported status, or the first terminal one, which was
	// reported at terminalAt.
	lastStatus wire.Status
	terminalAt controller.Time

	startedAt    controller.Time // when its first task started
	completed    map[int]bool    // the tasks that have completed, by index
	launches     int             // launch commands of its tasks that workers executed
	starvedSince controller.Time // when it began to wait although a machine has room; 0 if it does not
	// placements holds its tasks on machines. The method active removes the ended ones.
	placements []placement
}

// placement is a task together with its machine.
type placement struct {
	machine *fakeMachine
	task    *fakeTask
}

// active returns the active tasks of the job.
func (j *submittedJob) active() []placement {
	j.placements = slices.DeleteFunc(j.placements, func(placed placement) bool { return !placed.task.active })
	return j.placements
}

// isComplete reports whether all tasks have completed.
func (j *submittedJob) isComplete() bool { return len(j.completed) >= j.spec.Tasks }

// isOpen reports whether no terminal status of the job has been reported to its user.
func (j *submittedJob) isOpen() bool { return !j.lastStatus.IsTerminal() }

// runtimeOfTask returns the time for which a task runs. A task that has completed before
// ends at once.
func (j *submittedJob) runtimeOfTask(index int) time.Duration {
	switch {
	case j.completed[index]:
		return 0
	case j.runtimeOf != nil:
		return j.runtimeOf(index)
	}
	return j.runtime
}

// StartDelay returns the time from the submission of a job to the start of its first task,
// and whether a task has started.
func (c *Cluster) StartDelay(id wire.JobID) (time.Duration, bool) {
	job := c.jobs[id]
	return job.startedAt.Sub(job.submittedAt), job.startedAt != 0
}

// Unfinished returns the submitted jobs for which no terminal status has been reported. It
// leaves out services, and jobs whose tasks always fail and that nobody cancelled.
func (c *Cluster) Unfinished() []wire.JobID {
	var unfinished []wire.JobID
	for id, job := range c.jobs {
		if job.submitted && job.isOpen() && job.spec.Shape != wire.ShapeService && (!job.alwaysFails || job.cancelRequested) {
			unfinished = append(unfinished, id)
		}
	}
	return unfinished
}

// Records returns the records of the state store as text, for the output of failing tests.
func (c *Cluster) Records() []string {
	var records []string
	for _, entry := range c.store.List(record.RootPrefix) {
		records = append(records, entry.Key+" "+string(entry.Value)+"\n")
	}
	return records
}
