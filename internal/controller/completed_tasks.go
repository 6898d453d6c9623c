package controller

import (
	"slices"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// completedTasks tracks the machines on which, according to the placement records, tasks of
// completed jobs may still run. These tasks must have stopped within the time for a
// cancellation (setting cancel_s). The machine is commanded to stop them, and is terminated
// if commands do not reach it.
type completedTasks struct {
	// since holds, for each such machine, the latest time before which no controller can have
	// reported to the user that the job was cancelled.
	since map[wire.MachineID]Time
}

func (t *completedTasks) init() { t.since = map[wire.MachineID]Time{} }

// reset forgets all machines before the cache is loaded anew.
func (t *completedTasks) reset() { clear(t.since) }

// add adds a machine, unless it is tracked already.
func (t *completedTasks) add(id wire.MachineID, since Time) {
	if _, known := t.since[id]; !known {
		t.since[id] = since
	}
}

// heldLongerThan reports whether a machine has been tracked for longer than limit.
func (t *completedTasks) heldLongerThan(id wire.MachineID, now Time, limit time.Duration) bool {
	since, known := t.since[id]
	return known && now.Sub(since) > limit
}

// completedTaskState is the state of the tasks of completed jobs on a machine, according to
// the placement records and the machine's latest heartbeat.
type completedTaskState struct {
	recorded bool // the records have such tasks on the machine
	active   bool // one of them may still run or start
	// launchable is set if one of them may still start: no heartbeat has shown yet that its
	// launch can no longer arrive.
	launchable bool
}

const (
	// The fractions of the time for a cancellation (cancel_s) after which a machine is
	// terminated although the termination cannot be recorded. The first applies while the
	// state store is reachable, the second to a controller that does not reach it, and the
	// third to the provisioner if it does not reach the state store but does not seem to be
	// isolated.
	unrecordedTerminationFraction            = 0.7
	unrecordedTerminationFractionIsolated    = 0.55
	unrecordedTerminationFractionProvisioner = 0.3
)

// noteCompletedTasksOn records that a machine may hold a task of a completed job. A job that
// is found completed while the cache is loaded may have been cancelled any time ago, so all
// of the time for its cancellation counts as spent. Otherwise, if a machine hangs from before
// all controllers end until after one has restarted, it could hold such a task beyond that
// time, since the restarted controller would grant the whole time again.
func (c *Controller) noteCompletedTasksOn(id wire.MachineID) {
	since := c.cancellationsKnownAt()
	if c.cache.loadState == cacheLoading {
		since = c.now.Add(-config.Seconds(c.settings.Cluster.Workers.CancelS))
	}
	c.completedTasks.add(id, since)
}

// completedTasksOn returns the state of the tasks of completed jobs on a machine.
func (c *Controller) completedTasksOn(id wire.MachineID) completedTaskState {
	var state completedTaskState
	machine := c.fleet.machines[id]
	for _, allocation := range c.fleet.allocationsOn(id) {
		if c.cache.jobs[allocation.Job] != nil {
			continue
		}
		if machine == nil || machine.latestHeartbeat == nil {
			return completedTaskState{recorded: true, active: true, launchable: true}
		}
		state.recorded = true
		if machine.isOfLaterEpoch(machine.latestHeartbeat, allocation) || machine.scaling.terminated {
			continue // the agent epoch of the allocation is over, and its launches are valid in no other
		}
		state.addTasks(machine, allocation)
	}
	return state
}

// addTasks adds the state of the tasks of an allocation of a completed job.
func (s *completedTaskState) addTasks(machine *machine, allocation *Allocation) {
	// Only a heartbeat that carries the fencing token of the eviction proves that a task that
	// it does not list will not start.
	launchFenced := allocation.Eviction != record.EvictionNone && allocation.Fence != 0 &&
		machine.latestHeartbeat.Token >= allocation.Fence
	for i := range allocation.Tasks.All {
		task := machine.tasks[allocation.key(i)]
		switch {
		case task == nil && !launchFenced:
			s.active, s.launchable = true, true
		case task != nil && task.State != wire.TaskExited:
			s.active = true
		}
	}
}

// mayStartCancelledTask reports whether a task may still start on a machine although its job
// was cancelled so long ago that the machine's lease must not be renewed. A launch that was
// sent in time may be delayed for as long as the machine's agent epoch lasts.
func (c *Controller) mayStartCancelledTask(machine *machine) bool {
	return c.completedTasks.heldLongerThan(machine.id, c.now, c.maxRenewalStaleness()) &&
		c.completedTasksOn(machine.id).launchable
}

// tickCompletedTasks commands machines to stop tasks of completed jobs until the tasks have
// stopped, and terminates machines that commands do not reach.
func (c *Controller) tickCompletedTasks() {
	var unresponsive []wire.MachineID
	for _, id := range sortedKeys(c.completedTasks.since) {
		state := c.completedTasksOn(id)
		if !state.recorded {
			delete(c.completedTasks.since, id)
			continue
		}
		machine := c.machine(id)
		if machine.scaling.terminated || !state.active {
			continue
		}
		c.stopCompletedTasks(machine)
		if c.cannotCommand(machine) && len(unresponsive) < wire.MaxTerminate &&
			c.completedTasks.heldLongerThan(id, c.now, c.unrecordedTerminationDelay()) {
			unresponsive = append(unresponsive, id)
		}
	}
	if len(unresponsive) > 0 && !c.provisioner.terminateCallInFlight {
		c.terminateUnrecorded(unresponsive)
	}
}

// stopCompletedTasks sends a machine its commands if they are due. A machine without a
// heartbeat is probed first, since commands need its agent epoch.
func (c *Controller) stopCompletedTasks(machine *machine) {
	if c.isDue(machine.reconciliation.nextSend) && !machine.reconciliation.callInFlight && (!c.storeReachable() || c.isResponsibleFor(machine)) {
		c.sendCommands(machine)
	}
	if machine.latestHeartbeat == nil && machine.addr != "" && machine.liveness.probeAllowed(c.now) && c.fleet.canProbe() {
		c.probeMachine(machine)
	}
}

// cannotCommand reports whether commands do not reach a machine: it leaves calls unanswered
// or, if its address is not known, has sent no heartbeat although it had the time to.
func (c *Controller) cannotCommand(machine *machine) bool {
	if machine.addr != "" {
		return machine.liveness.unansweredCalls >= unreachableThreshold
	}
	listeningSince := max(machine.firstKnownAt, c.membership.readyAt, c.resumedAt, c.fleet.reachableSince)
	return c.now.Sub(listeningSince) > c.maxHeartbeatInterval()+time.Second && !c.isolationSuspected()
}

// isResponsibleFor reports whether this controller repeats the commands to a machine: it owns
// a team with tasks of completed jobs there, or the machine sends its heartbeats to this
// controller.
func (c *Controller) isResponsibleFor(machine *machine) bool {
	return machine.directHeartbeat != nil && machine.directHeartbeat == machine.latestHeartbeat ||
		slices.ContainsFunc(machine.allocations, func(allocation *Allocation) bool {
			return c.cache.jobs[allocation.Job] == nil && c.ownsTeam(allocation.page.team)
		})
}

// unrecordedTerminationDelay returns how long a machine that commands do not reach may hold
// tasks of completed jobs before it is terminated without a record. While the state store is
// reachable, the provisioner terminates such a machine with a record well before.
func (c *Controller) unrecordedTerminationDelay() time.Duration {
	fraction := unrecordedTerminationFraction
	if !c.storeReachable() {
		fraction = unrecordedTerminationFractionIsolated
		if c.isProvisioner() && !c.isolationSuspected() {
			fraction = unrecordedTerminationFractionProvisioner
		}
	}
	return config.Seconds(fraction * c.settings.Cluster.Workers.CancelS)
}

// terminateUnrecorded terminates machines although their termination cannot be recorded. This
// causes no task to run twice, since nothing runs on a terminated machine. The other tasks of
// the machine are lost. Their loss is detected once the state store is reachable: the
// machine, which does not respond and still holds completed tasks, is then terminated once
// more with a record.
func (c *Controller) terminateUnrecorded(machines []wire.MachineID) {
	for _, id := range machines {
		c.log.Info("terminating machine without recording the termination", "reason", "holds completed tasks and does not respond",
			"machine_id", id, "completed_for", c.now.Sub(c.completedTasks.since[id]))
	}
	c.callTerminate(machines, func(*machine) { c.metrics.count(countMachinesTerminatedUnrecorded, 1) })
}

// stopCommands returns the commands to stop the tasks of completed jobs on a machine, whether
// the records have these tasks or not. The commands are correct whatever else has been
// written meanwhile, since a completed job stays completed.
func (c *Controller) stopCommands(machine *machine) []wire.Command {
	var commands []wire.Command
	for i := range machine.latestHeartbeat.Tasks {
		task := &machine.latestHeartbeat.Tasks[i]
		if task.State == wire.TaskExited || len(commands) >= maxCommands {
			continue
		}
		if _, completed := c.cache.completion(task.Task.Job); completed {
			commands = append(commands, wire.Command{Verb: wire.VerbStop, Task: task.Task, Attempt: task.Attempt, GracePeriodS: gracePeriod(0)})
		}
	}
	return commands
}
