package controller

import (
	"maps"
	"time"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// A worker obeys commands that carry the highest fencing token that it has seen, and refuses
// commands with a lower one. The token is raised in the state store, and a controller learns
// a new token only together with everything that was written before it. A command that
// carries the token is therefore based on all of that. So raising the token fences off all
// commands, of any controller, that were sent with a lower token: a worker that has seen the
// new token refuses them if they arrive late.

const (
	// maxCommands keeps a response to a worker under the protocol's 64 KiB.
	maxCommands = 400
	// checkpointMarginS is the time, in seconds, that a task gets to save a checkpoint beyond
	// the time that its job states.
	checkpointMarginS = 3.0
	// orphanGracePeriod is how long an orphan task may run before it is stopped. Its
	// allocation may be recorded but not have reached this controller's cache yet.
	orphanGracePeriod = 5 * time.Second
	// tokenRaiseInterval is the shortest time between two raises of the token for the
	// cleanup of exited tasks.
	tokenRaiseInterval = 10 * time.Second
	// maxRevision is higher than the revision of any token. It marks exited attempts that
	// are not confirmed to have no allocation.
	maxRevision = ^wire.Revision(0)
)

func gracePeriod(seconds float64) *float64 { return &seconds }

// stopReason is the reason for which a task is stopped.
type stopReason string

// The reasons of stop commands. They are parts of the names of counters.
const (
	stopJobEnded stopReason = "job_ended"
	stopEvicted  stopReason = "evicted"
	stopOrphan   stopReason = "orphan"
)

// launchRefusal is the reason for which the tasks of an allocation may not be launched now. It is
// empty if they may.
type launchRefusal string

// The reasons of launchRefusal. They are parts of the names of counters.
const (
	launchAdmitted              launchRefusal = ""
	launchOfEndedJob            launchRefusal = "job_ended"
	launchEvicted               launchRefusal = "evicted"
	launchOfOtherProcess        launchRefusal = "other_launcher"
	launchNotFenced             launchRefusal = "fence_not_seen"
	launchCancellationsNotKnown launchRefusal = "cancellations_not_known"
	launchOfGangDeferred        launchRefusal = "gang_deferred"
)

func stopCommand(attempt attemptKey, gracePeriodS float64) wire.Command {
	return wire.Command{Verb: wire.VerbStop, Task: attempt.task, Attempt: attempt.attempt, GracePeriodS: gracePeriod(gracePeriodS)}
}

// commandsFor returns the commands that a machine needs according to its latest heartbeat and
// its allocations.
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

// commandForTask returns the command that one task of an allocation needs, or nil if it needs
// none.
func (c *Controller) commandForTask(machine *machine, allocation *Allocation, index int) *wire.Command {
	job := c.cache.jobs[allocation.Job]
	attempt := allocation.key(index)
	var command wire.Command
	switch task := machine.tasks[attempt]; {
	case task == nil:
		if !c.admitLaunch(machine, allocation, job) {
			return nil
		}
		c.metrics.count(countLaunches, 1)
		command = wire.Command{Verb: wire.VerbLaunch, Task: attempt.task, Attempt: attempt.attempt}
	case task.State == wire.TaskExited:
		return nil
	case job == nil:
		c.metrics.count(countStops+string(stopJobEnded), 1)
		command = stopCommand(attempt, 0)
	case allocation.Eviction == record.EvictionImmediate:
		c.metrics.count(countStops+string(stopEvicted), 1)
		command = stopCommand(attempt, 0)
	case allocation.Eviction == record.EvictionGraceful && task.State != wire.TaskCheckpointing:
		c.metrics.count(countStops+string(stopEvicted), 1)
		command = stopCommand(attempt, job.spec.CheckpointSaveS+checkpointMarginS)
	default:
		return nil
	}
	return &command
}

// admitLaunch reports whether this process may launch an allocation's tasks now. If it may
// launch them only later, admitLaunch sets launchDeferred.
func (c *Controller) admitLaunch(machine *machine, allocation *Allocation, job *job) bool {
	refusal := c.launchRefusal(machine, allocation, job)
	switch refusal {
	case launchAdmitted:
		return true
	case launchCancellationsNotKnown, launchOfGangDeferred:
		machine.reconciliation.launchDeferred = true
	}
	c.metrics.count(countLaunchesRefused+string(refusal), 1)
	return false
}

// launchRefusal returns why this process may not launch an allocation's tasks now.
//
// Only the recorded launcher launches tasks, and after a failover only once the worker has
// seen the token that fences off the previous launcher. While this controller's knowledge of
// cancellations is not recent, it may not know that the job was cancelled, and a task could
// start after the cancellation was confirmed to the user.
func (c *Controller) launchRefusal(machine *machine, allocation *Allocation, job *job) launchRefusal {
	switch {
	case job == nil:
		return launchOfEndedJob
	case allocation.Eviction != record.EvictionNone:
		return launchEvicted
	case allocation.Launcher != c.membership.incarnation:
		return launchOfOtherProcess
	case machine.latestHeartbeat.Token < allocation.Fence:
		return launchNotFenced
	case !c.canLaunch():
		return launchCancellationsNotKnown
	case c.shouldDeferGangLaunch(machine, allocation, job):
		return launchOfGangDeferred
	}
	return launchAdmitted
}

// cleanupCommands returns the commands for tasks without an allocation: stop commands for
// those that still run, and clear commands for the exited ones that the machine may forget.
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
				c.metrics.count(countStops+string(stopOrphan), 1)
				commands = append(commands, stopCommand(attempt, 0))
			}
			continue
		}
		if _, known := machine.reconciliation.pendingCleanup[attempt]; !known {
			machine.reconciliation.pendingCleanup[attempt] = maxRevision
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

// recordedAttempts returns the set of task attempts in the machine's allocations.
func (m *machine) recordedAttempts() map[attemptKey]bool {
	recorded := map[attemptKey]bool{}
	for _, allocation := range m.allocations {
		for i := range allocation.Tasks.All {
			recorded[allocation.key(i)] = true
		}
	}
	return recorded
}

// shouldStopOrphan reports whether an orphan task is to be stopped now. It is stopped at once
// if its job is complete, and otherwise after orphanGracePeriod, in which a record of its
// allocation would have arrived. If full is set, there is no room for another command, and
// only the time since when the task is an orphan is recorded.
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
// start again if a launch command for it were still under way. So first its allocation must
// have been removed from the records, then the token raised, and then the worker must have
// seen that token. The worker refuses launch commands that were sent with a lower token, and
// no controller that knows the new token sends one.
func (c *Controller) mayClear(machine *machine, attempt attemptKey) bool {
	return c.cache.tokenVersion > machine.reconciliation.pendingCleanup[attempt] && machine.latestHeartbeat.Token >= c.cache.token
}

// retainReported drops the attempts that are not in reported, which the machine's latest
// heartbeat no longer lists.
func (r *reconciliation) retainReported(reported map[attemptKey]bool) {
	maps.DeleteFunc(r.pendingCleanup, func(attempt attemptKey, _ wire.Revision) bool { return !reported[attempt] })
	maps.DeleteFunc(r.orphanTasks, func(attempt attemptKey, _ Time) bool { return !reported[attempt] })
}

// confirmUnrecorded records, after a read barrier, that exited attempts have no allocation. ok
// reports whether the barrier succeeded. Without the barrier, the allocation could be recorded
// but not have reached this controller's cache yet. The attempt would then be cleared,
// launched again by its launcher, and treated as exited.
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
			if allocation.Job == attempt.task.Job && allocation.Attempt == attempt.attempt && allocation.Tasks.Contains(attempt.task.Index) {
				delete(machine.reconciliation.pendingCleanup, attempt)
			}
		}
	}
}

// raiseToken raises the fencing token so that exited tasks can be cleared. It does nothing
// within tokenRaiseInterval of the previous raise.
func (c *Controller) raiseToken() {
	if !c.isDue(c.fleet.lastTokenRaiseAt.Add(tokenRaiseInterval)) {
		return
	}
	c.fleet.lastTokenRaiseAt = c.now
	c.commitTokenRaise(PriorityBackground, func(CommitResult) {})
}

// commitTokenRaise raises the fencing token by one, unless another controller has raised it meanwhile,
// and refreshes the cache afterwards.
func (c *Controller) commitTokenRaise(priority CallPriority, then func(CommitResult)) {
	c.commit(priority, wire.Transaction{
		If:   []wire.Condition{{Key: record.FencingTokenKey, Version: c.cache.keyVersions[record.FencingTokenKey]}},
		Then: []wire.Change{c.putChange(record.FencingTokenKey, c.cache.token+1)},
	}, func(result CommitResult) {
		then(result)
		c.refreshCache()
	})
}
