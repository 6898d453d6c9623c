package simulation

import (
	"slices"
	"time"

	"lilacrill/internal/controller"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// submittedJob is a job with what its user did and was told, and its tasks.
type submittedJob struct {
	spec        wire.JobSpec
	runtime     time.Duration                 // of each task; of services, until stopped
	runtimeOf   func(index int) time.Duration // if set, in place of runtime
	alwaysFails bool                          // its tasks fail on every machine

	submitted       bool
	accepted        bool
	cancelRequested bool
	submittedAt     controller.Time // when it was first submitted
	answeredAt      controller.Time // when a request about it was last answered
	// lastStatus is the status reported last, or the first terminal one, with its time.
	lastStatus wire.Status
	terminalAt controller.Time

	startedAt    controller.Time // when its first task started
	completed    map[int]bool    // the tasks that have completed, by index
	launches     int             // launch commands of its tasks that workers executed
	starvedSince controller.Time // since when it waits beside room; 0 if it does not
	// placements are its tasks on machines; those that have ended go when it is read next.
	placements []placement
}

// placement is a task on its machine.
type placement struct {
	machine *fakeMachine
	task    *fakeTask
}

// active are the job's tasks that are on machines.
func (j *submittedJob) active() []placement {
	j.placements = slices.DeleteFunc(j.placements, func(placed placement) bool { return !placed.task.active })
	return j.placements
}

// isComplete reports whether all tasks have completed.
func (j *submittedJob) isComplete() bool { return len(j.completed) >= j.spec.Tasks }

// isOpen reports whether the user does not know the job to be over.
func (j *submittedJob) isOpen() bool { return !j.lastStatus.IsTerminal() }

// runtimeOfTask is how long a task runs; one that has completed before ends at once.
func (j *submittedJob) runtimeOfTask(index int) time.Duration {
	switch {
	case j.completed[index]:
		return 0
	case j.runtimeOf != nil:
		return j.runtimeOf(index)
	}
	return j.runtime
}

// StartDelay is how long after its submission a job's first task started, if one did.
func (c *Cluster) StartDelay(id wire.JobID) (time.Duration, bool) {
	job := c.jobs[id]
	return job.startedAt.Sub(job.submittedAt), job.startedAt != 0
}

// Unfinished names the jobs that are not over, except services, and jobs whose tasks
// always fail and that nobody cancelled.
func (c *Cluster) Unfinished() []wire.JobID {
	var unfinished []wire.JobID
	for id, job := range c.jobs {
		if job.submitted && job.isOpen() && job.spec.Shape != wire.ShapeService && (!job.alwaysFails || job.cancelRequested) {
			unfinished = append(unfinished, id)
		}
	}
	return unfinished
}

// Records lists what the state store holds, for a failing test to show.
func (c *Cluster) Records() []string {
	var records []string
	for _, entry := range c.store.List(record.RootPrefix) {
		records = append(records, entry.Key+" "+string(entry.Value)+"\n")
	}
	return records
}
