package controller

import (
	"slices"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// completedTasks tracks the machines on which, by the placement records, tasks of completed jobs
// may still run. They have to be gone by the time for a cancellation (setting cancel_s): the
// machine is commanded to stop them, and one that cannot be commanded is terminated.
type completedTasks struct {
	// since holds, for each such machine, the latest moment before which no user can have been
	// told that the job was cancelled.
	since map[wire.MachineID]Time
}

func (t *completedTasks) init() { t.since = map[wire.MachineID]Time{} }

// reset forgets all machines: the cache is loaded anew.
func (t *completedTasks) reset() { clear(t.since) }

// add notes a machine, unless it is known already.
func (t *completedTasks) add(id wire.MachineID, since Time) {
	if _, known := t.since[id]; !known {
		t.since[id] = since
	}
}

// heldLongerThan reports whether a machine has been known for longer than a time.
func (t *completedTasks) heldLongerThan(id wire.MachineID, now Time, limit time.Duration) bool {
	since, known := t.since[id]
	return known && now.Sub(since) > limit
}

// completedTaskState is what the placement records and a machine's latest heartbeat say of tasks
// of completed jobs on the machine.
type completedTaskState struct {
	recorded bool // the records have such tasks there
	active   bool // one of them may still run or start
	// launchable says that one may still start: no heartbeat has shown that its launch can no
	// longer arrive.
	launchable bool
}

const (
	// The parts of the time for a cancellation (cancel_s) after which a machine is terminated
	// though that cannot be recorded: by any controller, by one that does not reach the state
	// store, and by the provisioner that does not reach it.
	unrecordedFraction            = 0.7
	unrecordedFractionIsolated    = 0.55
	unrecordedFractionProvisioner = 0.3
)

// noteCompletedTasksOn notes that a machine may hold tasks of a completed job. What a process
// reads at its start may have been cancelled any time ago: once a machine hung with such a task
// from before all controllers ended until after its time was up, as the controller that came
// back gave it all of the time again.
func (c *Controller) noteCompletedTasksOn(id wire.MachineID) {
	since := c.cancellationsKnownAt()
	if c.cache.loadState == cacheLoading {
		since = c.now.Add(-config.Seconds(c.settings.Cluster.Workers.CancelS))
	}
	c.completedTasks.add(id, since)
}

// completedTasksOn is the state of the tasks of completed jobs on a machine.
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
		if machine.latestHeartbeat.AgentEpoch > allocation.AgentEpoch || machine.scaling.terminated {
			continue // its agent epoch is over, and a launch on its way is for that one
		}
		state.addTasks(machine, allocation)
	}
	return state
}

// addTasks adds the state of an allocation's tasks, of a completed job, on a machine.
func (s *completedTaskState) addTasks(machine *machine, allocation *Allocation) {
	// Only a heartbeat that carries the token of the eviction proves that a task which it lacks
	// will not start.
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

// mayStartCancelledTask reports whether a task may still start on a machine whose job was
// cancelled so long ago that the machine's lease must not be renewed: a launch that was sent in
// time may be delayed for as long as the machine's agent epoch lasts.
func (c *Controller) mayStartCancelledTask(machine *machine) bool {
	return c.completedTasks.heldLongerThan(machine.id, c.now, c.maxRenewalStaleness()) &&
		c.completedTasksOn(machine.id).launchable
}

// tickCompletedTasks commands machines to stop tasks of completed jobs until they have, and
// terminates those that cannot be commanded.
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

// stopCompletedTasks sends a machine its commands if this is due. One without a heartbeat is
// probed first, since commands need its agent epoch.
func (c *Controller) stopCompletedTasks(machine *machine) {
	if c.isDue(machine.reconciliation.nextSend) && !machine.reconciliation.callInFlight && (!c.storeReachable() || c.isResponsibleFor(machine)) {
		c.sendCommands(machine)
	}
	if machine.latestHeartbeat == nil && machine.addr != "" && machine.liveness.probeAllowed(c.now) && c.fleet.canProbe() {
		c.probeMachine(machine)
	}
}

// cannotCommand reports whether a machine leaves calls unanswered or, where its address is not
// known here, had time for a heartbeat and sent none.
func (c *Controller) cannotCommand(machine *machine) bool {
	if machine.addr != "" {
		return machine.liveness.unansweredCalls >= unreachableThreshold
	}
	listeningSince := max(machine.firstKnownAt, c.membership.readyAt, c.resumedAt, c.fleet.reachableSince)
	return c.now.Sub(listeningSince) > c.maxHeartbeatInterval()+time.Second && !c.isolationSuspected()
}

// isResponsibleFor reports whether this controller repeats the commands to a machine: it owns a
// team with completed tasks there, or the machine sends its heartbeats here.
func (c *Controller) isResponsibleFor(machine *machine) bool {
	return machine.directHeartbeat != nil && machine.directHeartbeat == machine.latestHeartbeat ||
		slices.ContainsFunc(machine.allocations, func(allocation *Allocation) bool {
			return c.cache.jobs[allocation.Job] == nil && c.ownsTeam(allocation.page.team)
		})
}

// unrecordedTerminationDelay is how long a machine that cannot be commanded may hold completed
// tasks before it is terminated without a record of that. While the state store is reachable the
// provisioner terminates it with a record well before.
func (c *Controller) unrecordedTerminationDelay() time.Duration {
	part := unrecordedFraction
	if !c.storeReachable() {
		part = unrecordedFractionIsolated
		if c.isProvisioner() && !c.isolationSuspected() {
			part = unrecordedFractionProvisioner
		}
	}
	return config.Seconds(part * c.settings.Cluster.Workers.CancelS)
}

// terminateUnrecorded terminates machines though their termination cannot be recorded. A machine
// that is terminated is gone, so nothing runs twice by this: its other tasks are lost, and are
// found to be lost once the state store is reachable, when the machine, unresponsive and holding
// completed tasks, is terminated once more with a record.
func (c *Controller) terminateUnrecorded(machines []wire.MachineID) {
	for _, id := range machines {
		c.log.Info("machine terminated without a record", "reason", "holds completed tasks and does not respond",
			"machine_id", id, "completed_for", c.now.Sub(c.completedTasks.since[id]))
	}
	c.callTerminate(machines, func(*machine) { c.metrics.count(countTerminatedUnrecorded, 1) })
}

// stopCommands are the commands to stop the tasks of completed jobs on a machine, recorded or
// not. They are right whatever else was written meanwhile, since a job that is completed stays
// so.
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
