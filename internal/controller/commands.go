package controller

import (
	"maps"
	"time"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// A worker obeys commands in the name of the highest fencing token that it has seen, and
// refuses those of a lower one. The token is raised in the state store, and a controller
// takes it from there only together with everything that was written before: a command
// that carries it is based on all of that. So whoever raises the token fences off every
// command that was sent before and has not arrived yet, by whichever controller.

const (
	// maxCommands keeps a response to a worker under the protocol's 64 KiB.
	maxCommands = 400
	// checkpointMarginS is granted on top of the time that a job says it needs to save a
	// checkpoint, in seconds.
	checkpointMarginS = 3.0
	// orphanGracePeriod is how long a task without an allocation may run before it is
	// stopped: the record may be on its way to this controller.
	orphanGracePeriod = 5 * time.Second
	// tokenRaiseInterval is the least time between two raises for the sake of cleanup.
	tokenRaiseInterval = 10 * time.Second
	// neverRevision is a revision that no token is ever newer than.
	neverRevision = ^wire.Revision(0)
)

func gracePeriod(seconds float64) *float64 { return &seconds }

func stopCommand(attempt attemptKey, gracePeriodS float64) wire.Command {
	return wire.Command{Verb: wire.VerbStop, Task: attempt.task, Attempt: attempt.attempt, GracePeriodS: gracePeriod(gracePeriodS)}
}

// commandsFor says which commands a machine needs, by its latest heartbeat and the
// allocations on it.
func (c *Controller) commandsFor(machine *machine) []wire.Command {
	var commands []wire.Command
	machine.reconciliation.launchDeferred = false
	for _, allocation := range machine.allocations {
		if allocation.AgentEpoch != machine.latestHeartbeat.AgentEpoch {
			continue
		}
		for i := range allocation.Tasks.All {
			if len(commands) >= maxCommands {
				return commands
			}
			if command := c.commandForTask(machine, allocation, i); command != nil {
				commands = append(commands, *command)
			}
		}
	}
	return commands
}

// commandForTask is the command that one task of an allocation needs; nil if none.
func (c *Controller) commandForTask(machine *machine, allocation *Allocation, index int) *wire.Command {
	job := c.cache.jobs[allocation.Job]
	attempt := allocation.key(index)
	var command wire.Command
	switch task := machine.tasks[attempt]; {
	case task == nil:
		if !c.admitLaunch(machine, allocation, job) {
			return nil
		}
		command = wire.Command{Verb: wire.VerbLaunch, Task: attempt.task, Attempt: attempt.attempt}
	case task.State == wire.TaskExited:
		return nil
	case job == nil || allocation.Eviction == record.EvictionImmediate:
		command = stopCommand(attempt, 0)
	case allocation.Eviction == record.EvictionGraceful && task.State != wire.TaskCheckpointing:
		command = stopCommand(attempt, job.spec.CheckpointSaveS+checkpointMarginS)
	default:
		return nil
	}
	return &command
}

// admitLaunch reports whether this process may launch an allocation's tasks now, and notes
// if it may only later.
//
// Only the recorded launcher launches, and after a failover only once the worker has seen
// the token that fences off the launcher before. While the knowledge of cancellations is
// old, the job may have been cancelled unknown to this controller, and its task would
// start after its user was told that it was cancelled.
func (c *Controller) admitLaunch(machine *machine, allocation *Allocation, job *job) bool {
	if job == nil || allocation.Eviction != record.EvictionNone {
		return false
	}
	if allocation.Launcher != c.membership.incarnation || machine.latestHeartbeat.Token < allocation.Fence {
		return false
	}
	if !c.canLaunch() || c.shouldDeferGangLaunch(machine, allocation, job) {
		machine.reconciliation.launchDeferred = true
		return false
	}
	return true
}

// cleanupCommands says which tasks without an allocation a machine is to stop, and of
// which exited ones it may forget the attempt.
func (c *Controller) cleanupCommands(machine *machine) []wire.Command {
	var commands []wire.Command
	var unconfirmed []attemptKey
	recorded := machine.recordedAttempts()
	reported := map[attemptKey]bool{}
	for i := range machine.latestHeartbeat.Tasks {
		task := &machine.latestHeartbeat.Tasks[i]
		attempt := attemptKey{task.Task, task.Attempt}
		if recorded[attempt] || c.jobUnreadable(task.Task.Job) {
			continue
		}
		reported[attempt] = true
		full := len(commands) >= maxCommands
		if task.State != wire.TaskExited {
			if c.shouldStopOrphan(machine, attempt, full) {
				commands = append(commands, stopCommand(attempt, 0))
			}
			continue
		}
		if _, known := machine.reconciliation.pendingCleanup[attempt]; !known {
			machine.reconciliation.pendingCleanup[attempt] = neverRevision
			unconfirmed = append(unconfirmed, attempt)
		}
		if !full && c.mayClear(machine, attempt) {
			commands = append(commands, wire.Command{Verb: wire.VerbClear, Task: task.Task, Attempt: task.Attempt})
		}
	}
	if len(unconfirmed) > 0 {
		c.readBarrier(func(ok bool) { c.confirmUnrecorded(machine, unconfirmed, ok) })
	}
	machine.reconciliation.retainReported(reported)
	return commands
}

// recordedAttempts is the attempts of the allocations on a machine.
func (m *machine) recordedAttempts() map[attemptKey]bool {
	recorded := map[attemptKey]bool{}
	for _, allocation := range m.allocations {
		for i := range allocation.Tasks.All {
			recorded[allocation.key(i)] = true
		}
	}
	return recorded
}

// shouldStopOrphan reports whether a task that runs without an allocation is to be stopped
// now: at once if its job is complete, otherwise after a while in which its record would
// have come. With full there is no room for the command, and the task is only noted.
func (c *Controller) shouldStopOrphan(machine *machine, attempt attemptKey, full bool) bool {
	if _, complete := c.cache.completion(attempt.task.Job); complete && !full {
		return true
	}
	since, known := machine.reconciliation.orphanTasks[attempt]
	if !known {
		machine.reconciliation.orphanTasks[attempt] = c.now
		return false
	}
	return !full && c.cache.complete() && c.storeReachable() && c.now.Sub(max(since, c.resumedAt)) > orphanGracePeriod
}

// mayClear reports whether a worker may forget an exited attempt. A cleared attempt would
// start again if a launch of it were still under way, so first its allocation must be gone
// from the records, then the token raised, and then the worker must have seen that token:
// no launch sent before can pass it, and no controller that knows it sends one.
func (c *Controller) mayClear(machine *machine, attempt attemptKey) bool {
	return c.cache.tokenVersion > machine.reconciliation.pendingCleanup[attempt] && machine.latestHeartbeat.Token >= c.cache.token
}

// retainReported forgets the attempts that a machine's latest heartbeat no longer lists.
func (r *reconciliation) retainReported(reported map[attemptKey]bool) {
	maps.DeleteFunc(r.pendingCleanup, func(attempt attemptKey, _ wire.Revision) bool { return !reported[attempt] })
	maps.DeleteFunc(r.orphanTasks, func(attempt attemptKey, _ Time) bool { return !reported[attempt] })
}

// confirmUnrecorded notes, after a read barrier, that exited attempts have no allocation.
// Without the barrier the allocation could merely be on its way to this controller: the
// attempt would be cleared, launched again by its launcher, and then taken for exited.
func (c *Controller) confirmUnrecorded(machine *machine, attempts []attemptKey, ok bool) {
	if !ok {
		for _, attempt := range attempts {
			delete(machine.reconciliation.pendingCleanup, attempt)
		}
		return
	}
	for _, attempt := range attempts {
		if _, pending := machine.reconciliation.pendingCleanup[attempt]; !pending {
			continue
		}
		machine.reconciliation.pendingCleanup[attempt] = max(c.cache.revision, c.cache.ownRevision)
		for _, allocation := range machine.allocations {
			if allocation.Job == attempt.task.Job && allocation.Attempt == attempt.attempt && allocation.Tasks.Has(attempt.task.Index) {
				delete(machine.reconciliation.pendingCleanup, attempt)
			}
		}
	}
}

// raiseToken raises the fencing token so that exited tasks can be cleared.
func (c *Controller) raiseToken() {
	if !c.isDue(c.fleet.lastTokenRaiseAt.Add(tokenRaiseInterval)) {
		return
	}
	c.fleet.lastTokenRaiseAt = c.now
	c.commit(PriorityBackground, wire.Transaction{
		If:   []wire.Condition{{Key: record.TokenKey, Version: c.cache.keyVersions[record.TokenKey]}},
		Then: []wire.Change{c.putChange(record.TokenKey, c.cache.token+1)},
	}, func(CommitResult) { c.refreshCache() })
}
