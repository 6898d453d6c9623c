package core

import (
	"time"

	"lilacrill/wire"
)

// failing is what this controller knows of a job whose tasks fail. A job that was
// submitted with a mistake fails on every machine until its user cancels it: it is
// tried again and again, with few tasks, ever longer pauses between, and at nobody
// else's cost.
type failing struct {
	errors    map[wire.MachineID]Time // machines on which tasks failed since one last went well
	strikes   int                     // pauses that were made since then
	notBefore Time                    // no new tasks before
	runsFrom  Time                    // since when tasks were seen running without an error
	well      bool                    // tasks of it went well
	avoid     map[wire.MachineID]Time
}

const (
	// brokenLeast is on how many machines a job must have failed before it, and
	// not they, looks at fault.
	brokenLeast = 3
	// trialTasks is how many tasks of such a job are tried after a pause.
	trialTasks = 2
	// trialTime is how long a task may run without an error before the job counts
	// as one that runs after all.
	trialTime = 15 * time.Second
	// freeOnly is the number of pauses after which a job is given only what is
	// free: nothing is rented, gathered or stopped for it any more.
	freeOnly   = 2
	leastPause = 2 * time.Second // doubled with every pause in a row
	mostPause  = time.Minute
	// errorsLast is how long an error is remembered: a service that goes on for
	// long meets several faulty machines in time.
	errorsLast = 2 * time.Minute

	// faultyLeast is how many jobs must have failed on a machine that run well
	// elsewhere.
	faultyLeast  = 2
	avoidFull    = 3 * time.Second
	avoidFaulty  = 2 * time.Minute
	unknownPause = 2 * time.Second
	badMachine   = 5 * time.Minute
)

// paused reports whether none of a job's tasks are to be placed for now. While it
// pauses it takes part in nothing: it takes no room, no guarantee, no turn.
func (c *Core) paused(j *job) bool { return j.unreadable || !c.after(j.notBefore) }

// noteError remembers that a task of a job failed on a machine.
func (c *Core) noteError(j *job, m *machine) {
	for id, at := range j.errors {
		if c.now.Sub(at) > errorsLast && j.strikes == 0 {
			delete(j.errors, id)
		}
	}
	j.avoid[m.id] = c.now.Add(avoidFaulty)
	j.errors[m.id] = c.now
	j.runsFrom = 0
	m.faults[j.id] = c.now
	if len(j.errors) >= brokenLeast && !c.paused(j) {
		// It fails wherever it runs: the job is at fault, not the machines.
		pause := min(leastPause<<min(j.strikes, 10), mostPause)
		j.strikes++
		j.notBefore = c.now.Add(pause)
		c.dirty = true
		if j.strikes == 1 {
			c.count(countFailing, 1)
			c.log.Info("job fails wherever it runs; it is tried again with few tasks", "job", j.id, "class", j.spec.Class,
				"team", j.spec.Team, "machines", len(j.errors))
		}
	}
	c.judge(m)
}

// noteWell remembers that a job runs well.
func (c *Core) noteWell(j *job) {
	j.well = true
	if len(j.errors) == 0 && j.strikes == 0 {
		return
	}
	if j.strikes > 0 {
		c.log.Info("job runs after all", "job", j.id, "class", j.spec.Class)
		c.dirty = true
	}
	clear(j.errors)
	j.strikes, j.notBefore, j.runsFrom = 0, 0, 0
}

// trial is how many more tasks of a job that failed everywhere may be tried now.
// Once those that are tried have run for a while, it is not broken.
func (c *Core) trial(j *job, count int) int {
	if j.strikes == 0 || j.spec.Shape == wire.ShapeGang {
		return count
	}
	return min(count, max(0, trialTasks-c.placedOf(j.id)))
}

// noteRuns is told that a task of a failing job was seen running. If it goes on
// like that for a while, the job is not at fault.
func (c *Core) noteRuns(j *job) {
	if j.runsFrom == 0 {
		j.runsFrom = c.now
	} else if c.now.Sub(j.runsFrom) > trialTime {
		c.noteWell(j)
	}
}

// judge calls a machine faulty when several jobs failed on it that do not fail
// elsewhere. A job of which no task has gone well yet may be at fault itself, and
// tells half as much; one that was withdrawn tells nothing.
func (c *Core) judge(m *machine) {
	n := 0.0
	for id, at := range m.faults {
		j := c.jobs[id]
		f, _ := c.ended(id)
		switch {
		case c.now.Sub(at) > badMachine:
			delete(m.faults, id)
		case j == nil && f.Status == wire.StatusDone, j != nil && len(j.errors) < brokenLeast && j.well:
			n++
		case j != nil && len(j.errors) < brokenLeast:
			n += 0.5
		}
	}
	if n >= faultyLeast && c.after(m.badUntil) {
		m.badUntil = c.now.Add(badMachine)
		c.log.Info("machine looks faulty", "machine", m.id, "jobs", n)
	}
}

// noteExit remembers what an exit says of its machine and its job. All of this
// only steers the choice of machines.
func (c *Core) noteExit(m *machine, t *wire.TaskStatus) {
	c.log.Debug("task ended", "task", t.Task, "attempt", t.Attempt, "machine", m.id, "cause", t.Cause, "stored", t.Checkpointed)
	j := c.jobs[t.Task.Job]
	if j == nil {
		return
	}
	switch t.Cause {
	case wire.CauseNoRoom, wire.CauseInUse:
		j.avoid[m.id] = c.now.Add(avoidFull)
	case wire.CauseUnknown:
		j.notBefore = max(j.notBefore, c.now.Add(unknownPause))
	case wire.CauseError:
		c.noteError(j, m)
	case wire.CauseDone:
		c.noteWell(j)
	}
}
