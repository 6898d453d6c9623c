package controller

import (
	"time"

	"lilacrill/wire"
)

// crashLoopBackoff is what this controller knows of a job whose tasks fail. A job that was
// submitted with a mistake fails on every machine until its user cancels it: it is
// tried again and again, with few tasks, ever longer pauses between, and at nobody
// else's cost.
type crashLoopBackoff struct {
	failedMachines      map[wire.MachineID]Time // machines on which tasks failed since one last went well
	consecutiveBackoffs int                     // pauses that were made since then
	retryAt             Time                    // no new tasks before
	runningSince        Time                    // since when tasks were seen running without an error
	hasSucceeded        bool                    // tasks of it went well
	avoidMachines       map[wire.MachineID]Time
}

const (
	// minFailedMachines is on how many machines a job must have failed before it, and
	// not they, looks at fault.
	minFailedMachines = 3
	// canaryTasks is how many tasks of such a job are tried after a pause.
	canaryTasks = 2
	// canaryPeriod is how long a task may run without an error before the job counts
	// as one that runs after all.
	canaryPeriod = 15 * time.Second
	// maxBackoffsWithPreemption is the number of pauses after which a job is given only what is
	// free: nothing is rented, gathered or stopped for it any more.
	maxBackoffsWithPreemption = 2
	minCrashLoopBackoff       = 2 * time.Second // doubled with every pause in a row
	maxCrashLoopBackoff       = time.Minute
	// failureLifetime is how long an error is remembered: a service that goes on for
	// long meets several faulty machines in time.
	failureLifetime = 2 * time.Minute

	// faultyMachineThreshold is how many jobs must have failed on a machine that run well
	// elsewhere.
	faultyMachineThreshold = 2
	avoidFullMachineFor    = 3 * time.Second
	avoidFaultyMachineFor  = 2 * time.Minute
	unknownCauseBackoff    = 2 * time.Second
	faultyMachineLifetime  = 5 * time.Minute
)

// inBackoff reports whether none of a job's tasks are to be placed for now. While it
// pauses it takes part in nothing: it takes no room, no guarantee, no turn.
func (c *Controller) inBackoff(j *job) bool {
	return j.unreadable || !c.isDue(j.crashLoop.retryAt)
}

// noteTaskFailure remembers that a task of a job failed on a machine.
func (c *Controller) noteTaskFailure(j *job, m *machine) {
	for id, at := range j.crashLoop.failedMachines {
		if c.now.Sub(at) > failureLifetime && j.crashLoop.consecutiveBackoffs == 0 {
			delete(j.crashLoop.failedMachines, id)
		}
	}
	j.crashLoop.avoidMachines[m.id] = c.now.Add(avoidFaultyMachineFor)
	j.crashLoop.failedMachines[m.id] = c.now
	j.crashLoop.runningSince = 0
	m.quarantine.failedJobs[j.id] = c.now
	if len(j.crashLoop.failedMachines) >= minFailedMachines && !c.inBackoff(j) {
		// It fails wherever it runs: the job is at fault, not the machines.
		pause := min(minCrashLoopBackoff<<min(j.crashLoop.consecutiveBackoffs, 10), maxCrashLoopBackoff)
		j.crashLoop.consecutiveBackoffs++
		j.crashLoop.retryAt = c.now.Add(pause)
		c.scheduler.dirty = true
		if j.crashLoop.consecutiveBackoffs == 1 {
			c.metrics.count(countCrashLoops, 1)
			c.log.Info("job fails wherever it runs; it is tried again with few tasks", "job", j.id, "class", j.spec.Class,
				"team", j.spec.Team, "machines", len(j.crashLoop.failedMachines))
		}
	}
	c.quarantineIfFaulty(m)
}

// noteTaskSuccess remembers that a job runs well.
func (c *Controller) noteTaskSuccess(j *job) {
	j.crashLoop.hasSucceeded = true
	if len(j.crashLoop.failedMachines) == 0 && j.crashLoop.consecutiveBackoffs == 0 {
		return
	}
	if j.crashLoop.consecutiveBackoffs > 0 {
		c.log.Info("job runs after all", "job", j.id, "class", j.spec.Class)
		c.scheduler.dirty = true
	}
	clear(j.crashLoop.failedMachines)
	j.crashLoop.consecutiveBackoffs, j.crashLoop.retryAt, j.crashLoop.runningSince = 0, 0, 0
}

// limitToCanaries is how many more tasks of a job that failed everywhere may be tried now.
// Once those that are tried have run for a while, it is not broken.
func (c *Controller) limitToCanaries(j *job, count int) int {
	if j.crashLoop.consecutiveBackoffs == 0 || j.spec.Shape == wire.ShapeGang {
		return count
	}
	return min(count, max(0, canaryTasks-c.placedTasks(j.id)))
}

// noteCanaryRunning is told that a task of a failing job was seen running. If it goes on
// like that for a while, the job is not at fault.
func (c *Controller) noteCanaryRunning(j *job) {
	if j.crashLoop.runningSince == 0 {
		j.crashLoop.runningSince = c.now
	} else if c.now.Sub(j.crashLoop.runningSince) > canaryPeriod {
		c.noteTaskSuccess(j)
	}
}

// quarantineIfFaulty calls a machine faulty when several jobs failed on it that do not fail
// elsewhere. A job of which no task has gone well yet may be at fault itself, and
// tells half as much; one that was withdrawn tells nothing.
func (c *Controller) quarantineIfFaulty(m *machine) {
	n := 0.0
	for id, at := range m.quarantine.failedJobs {
		j := c.cache.jobs[id]
		f, _ := c.completion(id)
		switch {
		case c.now.Sub(at) > faultyMachineLifetime:
			delete(m.quarantine.failedJobs, id)
		case j == nil && f.Status == wire.StatusDone, j != nil && len(j.crashLoop.failedMachines) < minFailedMachines && j.crashLoop.hasSucceeded:
			n++
		case j != nil && len(j.crashLoop.failedMachines) < minFailedMachines:
			n += 0.5
		}
	}
	if n >= faultyMachineThreshold && c.isDue(m.quarantine.faultyUntil) {
		m.quarantine.faultyUntil = c.now.Add(faultyMachineLifetime)
		c.log.Info("machine looks faulty", "machine", m.id, "jobs", n)
	}
}

// noteTaskExit remembers what an exit says of its machine and its job. All of this
// only steers the choice of machines.
func (c *Controller) noteTaskExit(m *machine, t *wire.TaskStatus) {
	c.log.Debug("task ended", "task", t.Task, "attempt", t.Attempt, "machine", m.id, "cause", t.Cause, "stored", t.Checkpointed)
	j := c.cache.jobs[t.Task.Job]
	if j == nil {
		return
	}
	switch t.Cause {
	case wire.CauseNoRoom, wire.CauseInUse:
		j.crashLoop.avoidMachines[m.id] = c.now.Add(avoidFullMachineFor)
	case wire.CauseUnknown:
		j.crashLoop.retryAt = max(j.crashLoop.retryAt, c.now.Add(unknownCauseBackoff))
	case wire.CauseError:
		c.noteTaskFailure(j, m)
	case wire.CauseDone:
		c.noteTaskSuccess(j)
	}
}
