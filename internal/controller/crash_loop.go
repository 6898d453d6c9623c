package controller

import (
	"time"

	"lilacrill/wire"
)

// crashLoopBackoff is the state of a job's failures and successes. A job that was submitted
// with a mistake fails on every machine until its user cancels it. It is retried with a few
// canary tasks after increasing pauses, so that it does not cost other jobs their capacity.
type crashLoopBackoff struct {
	failedMachines      map[wire.MachineID]Time // machines on which tasks failed since the last success, and when
	consecutiveBackoffs int                     // number of backoffs since the last success
	retryAt             Time                    // no tasks are placed before
	runningSince        Time                    // since when canary tasks have been seen running without an error; 0 if none have
	hasSucceeded        bool                    // a task completed, or ran for long enough
	avoidMachines       map[wire.MachineID]Time // machines to avoid, and until when
}

const (
	// minFailedMachines is the number of machines on which a job must have failed before the
	// job, and not the machines, counts as faulty.
	minFailedMachines = 3
	// canaryTasks is the number of tasks of such a job that are tried after a pause.
	canaryTasks = 2
	// canaryPeriod is how long canary tasks must run without an error before the job counts
	// as recovered.
	canaryPeriod = 15 * time.Second
	// maxBackoffsWithPreemption is the number of consecutive backoffs up to which capacity is
	// provisioned, gathered or freed by eviction for a job. After more backoffs the job gets
	// free capacity only.
	maxBackoffsWithPreemption = 2
	minCrashLoopBackoff       = 2 * time.Second // doubled with every consecutive backoff
	maxCrashLoopBackoff       = time.Minute
	maxBackoffDoublings       = 10 // keeps the doubling from overflowing
	// failureLifetime is how long a failure is remembered. A service that runs for a long
	// time encounters several faulty machines over time, which must not add up.
	failureLifetime = 2 * time.Minute

	// faultyMachineThreshold is the number of jobs that must have failed on a machine, although
	// they run well elsewhere, before the machine is quarantined.
	faultyMachineThreshold = 2
	// unprovenJobWeight is the weight in that number of a job of which no task has succeeded
	// yet, since the job may be faulty itself.
	unprovenJobWeight = 0.5
	// avoidFullMachineFor is how long a job avoids a machine that had no room for its task,
	// and avoidFaultyMachineFor a machine on which its task failed.
	avoidFullMachineFor   = 3 * time.Second
	avoidFaultyMachineFor = 2 * time.Minute
	// unknownCauseBackoff is the pause of a job after one of its tasks exited for an unknown
	// cause.
	unknownCauseBackoff = 2 * time.Second
	// faultyMachineLifetime is how long a machine stays quarantined, and how long failures of
	// jobs on a machine count towards that.
	faultyMachineLifetime = 5 * time.Minute
)

func newCrashLoopBackoff() crashLoopBackoff {
	return crashLoopBackoff{
		failedMachines: map[wire.MachineID]Time{},
		avoidMachines:  map[wire.MachineID]Time{},
	}
}

// failsEverywhere reports whether the job's tasks failed on so many machines that the job,
// and not the machines, seems faulty.
func (b *crashLoopBackoff) failsEverywhere() bool { return len(b.failedMachines) >= minFailedMachines }

// noteFailure records a failure on a machine. Outside of a crash loop, failures older than
// failureLifetime are dropped.
func (b *crashLoopBackoff) noteFailure(machine wire.MachineID, now Time) {
	for id, at := range b.failedMachines {
		if now.Sub(at) > failureLifetime && b.consecutiveBackoffs == 0 {
			delete(b.failedMachines, id)
		}
	}
	b.avoidMachines[machine] = now.Add(avoidFaultyMachineFor)
	b.failedMachines[machine] = now
	b.runningSince = 0
}

// backOff starts the next pause, which is twice as long as the one before, up to
// maxCrashLoopBackoff.
func (b *crashLoopBackoff) backOff(now Time) {
	pause := min(minCrashLoopBackoff<<min(b.consecutiveBackoffs, maxBackoffDoublings), maxCrashLoopBackoff)
	b.consecutiveBackoffs++
	b.retryAt = now.Add(pause)
}

// noteSuccess records a success, which ends a crash loop, and reports whether there was a
// failure to recover from.
func (b *crashLoopBackoff) noteSuccess() bool {
	b.hasSucceeded = true
	if len(b.failedMachines) == 0 && b.consecutiveBackoffs == 0 {
		return false
	}
	clear(b.failedMachines)
	b.consecutiveBackoffs, b.retryAt, b.runningSince = 0, 0, 0
	return true
}

// mayPreempt reports whether capacity may be provisioned, gathered or freed for a job. It is
// false for a job that has kept failing on every machine.
func (j *job) mayPreempt() bool { return j.crashLoop.consecutiveBackoffs <= maxBackoffsWithPreemption }

// inBackoff reports whether no tasks of a job are to be placed for now. A job in backoff
// takes no capacity, no part of its team's quota guarantee and no turn in the order of jobs.
func (c *Controller) inBackoff(j *job) bool {
	return j.unreadable || !c.isDue(j.crashLoop.retryAt)
}

// noteTaskFailure records that a task of a job failed on a machine. The job is backed off if
// it fails on every machine, and the machine is quarantined if it seems faulty.
func (c *Controller) noteTaskFailure(job *job, machine *machine) {
	job.crashLoop.noteFailure(machine.id, c.now)
	machine.quarantine.failedJobs[job.id] = c.now
	if job.crashLoop.failsEverywhere() && !c.inBackoff(job) {
		job.crashLoop.backOff(c.now)
		c.scheduler.dirty = true
		if job.crashLoop.consecutiveBackoffs == 1 {
			c.metrics.count(countCrashLoops, 1)
			c.log.Info("job in crash-loop backoff", "job_id", job.id, "class", job.spec.Class,
				"team", job.spec.Team, "failed_machines", len(job.crashLoop.failedMachines))
		}
	}
	c.quarantineIfFaulty(machine)
}

// noteTaskSuccess records that a task of a job completed, or ran for long enough.
func (c *Controller) noteTaskSuccess(job *job) {
	wasInCrashLoop := job.crashLoop.consecutiveBackoffs > 0
	if job.crashLoop.noteSuccess() && wasInCrashLoop {
		c.log.Info("job recovered from crash loop", "job_id", job.id, "class", job.spec.Class)
		c.scheduler.dirty = true
	}
}

// limitToCanaries returns how many of count tasks of a job may be placed now. A job in a
// crash loop gets only a few canary tasks until they have run for a while. A gang is tried as
// a whole.
func (c *Controller) limitToCanaries(job *job, count int) int {
	if job.crashLoop.consecutiveBackoffs == 0 || job.spec.Shape == wire.ShapeGang {
		return count
	}
	return min(count, max(0, canaryTasks-c.placedTasks(job.id)))
}

// noteCanaryRunning records that a task of a job in a crash loop was seen running. The job
// has recovered once its canary tasks have run for canaryPeriod.
func (c *Controller) noteCanaryRunning(job *job) {
	if job.crashLoop.runningSince == 0 {
		job.crashLoop.runningSince = c.now
	} else if c.now.Sub(job.crashLoop.runningSince) > canaryPeriod {
		c.noteTaskSuccess(job)
	}
}

// quarantineIfFaulty quarantines a machine on which several jobs failed that do not fail
// elsewhere. A job of which no task has succeeded yet may be faulty itself and counts half. A
// cancelled job does not count.
func (c *Controller) quarantineIfFaulty(machine *machine) {
	failedJobs := 0.0
	for id, at := range machine.quarantine.failedJobs {
		job := c.cache.jobs[id]
		completion, _ := c.cache.completion(id)
		switch {
		case c.now.Sub(at) > faultyMachineLifetime:
			delete(machine.quarantine.failedJobs, id)
		case job == nil && completion.Status == wire.StatusDone, job != nil && !job.crashLoop.failsEverywhere() && job.crashLoop.hasSucceeded:
			failedJobs++
		case job != nil && !job.crashLoop.failsEverywhere():
			failedJobs += unprovenJobWeight
		}
	}
	if failedJobs >= faultyMachineThreshold && c.isDue(machine.quarantine.faultyUntil) {
		machine.quarantine.faultyUntil = c.now.Add(faultyMachineLifetime)
		c.log.Info("machine quarantined", "machine_id", machine.id, "failed_jobs", failedJobs)
	}
}

// noteTaskExit records what the exit of a task implies for its machine and its job. This
// affects only where and when tasks are placed.
func (c *Controller) noteTaskExit(machine *machine, status *wire.TaskStatus) {
	c.log.Debug("task exited", "task", status.Task, "attempt", status.Attempt, "machine_id", machine.id,
		"cause", status.Cause, "checkpointed", status.Checkpointed)
	job := c.cache.jobs[status.Task.Job]
	if job == nil {
		return
	}
	switch status.Cause {
	case wire.CauseNoRoom, wire.CauseInUse:
		job.crashLoop.avoidMachines[machine.id] = c.now.Add(avoidFullMachineFor)
	case wire.CauseUnknown:
		job.crashLoop.retryAt = max(job.crashLoop.retryAt, c.now.Add(unknownCauseBackoff))
	case wire.CauseError:
		c.noteTaskFailure(job, machine)
	case wire.CauseDone:
		c.noteTaskSuccess(job)
	}
}
