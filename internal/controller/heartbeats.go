package controller

import (
	"cmp"
	"slices"
	"time"

	"lilacrill/wire"
)

// tasksByAttempt indexes a heartbeat's tasks. A machine may list an exited attempt
// beside another attempt of the same task, so the task alone does not identify them.
func tasksByAttempt(heartbeat *wire.Heartbeat) map[attemptKey]*wire.TaskStatus {
	tasks := make(map[attemptKey]*wire.TaskStatus, len(heartbeat.Tasks))
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		tasks[attemptKey{task.Task, task.Attempt}] = task
	}
	return tasks
}

// sortedTasks is a heartbeat's tasks in an order that depends on their identity alone.
func sortedTasks(heartbeat *wire.Heartbeat) []*wire.TaskStatus {
	tasks := make([]*wire.TaskStatus, len(heartbeat.Tasks))
	for i := range heartbeat.Tasks {
		tasks[i] = &heartbeat.Tasks[i]
	}
	slices.SortFunc(tasks, func(a, b *wire.TaskStatus) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Attempt, b.Attempt))
	})
	return tasks
}

// sameStatus reports whether two heartbeats of a machine differ in nothing but their
// sequence and the token. A preemption notice counts down, so it always differs.
func sameStatus(a, b *wire.Heartbeat) bool {
	return a.AgentEpoch == b.AgentEpoch && a.PreemptionNoticeS == nil && b.PreemptionNoticeS == nil && a.Addr == b.Addr && slices.Equal(a.Tasks, b.Tasks)
}

// applyHeartbeat takes a heartbeat into what is known of its machine. A direct one comes
// from the worker itself: it alone proves that a task has exited. Another was gossiped
// by a sibling and is a hint: it may be late, so it may show a state that is over.
func (c *Controller) applyHeartbeat(heartbeat *wire.Heartbeat, direct bool) {
	machine := c.machine(heartbeat.Machine)
	if direct {
		c.noteDirectHeartbeat(machine, heartbeat)
	}
	if machine.latestHeartbeat != nil && !heartbeat.Newer(machine.latestHeartbeat) {
		return
	}
	before, first := machine.tasks, machine.latestHeartbeat == nil
	// A heartbeat that only says that the machine is still there changes no schedule.
	c.scheduler.dirty = c.scheduler.dirty || first || !sameStatus(machine.latestHeartbeat, heartbeat) || !c.heartbeatsOnTime(machine)
	machine.liveness.resetUnansweredAfterSilence(c.now, c.maxHeartbeatInterval())
	machine.setLatestHeartbeat(heartbeat, c.now)
	if first {
		c.noteJoined(machine)
	}
	machine.scaling.notePreemptionNotice(heartbeat.PreemptionNoticeS, c.now)
	c.applyTaskStatuses(machine, before)
	if !direct && c.membership.ready {
		c.confirmDirectly(machine)
	}
}

// noteDirectHeartbeat notes that a worker reaches this controller, and keeps the
// heartbeat as the newest proof of what runs there unless it is late.
func (c *Controller) noteDirectHeartbeat(machine *machine, heartbeat *wire.Heartbeat) {
	if c.isolationSuspected() {
		c.fleet.reachableSince = c.now
	}
	c.fleet.lastDirectHeartbeatAt = c.now
	c.gossip.pendingMachines[machine.id] = true
	if machine.directHeartbeat != nil && !heartbeat.Newer(machine.directHeartbeat) {
		return
	}
	if machine.directHeartbeat == nil || !sameStatus(machine.directHeartbeat, heartbeat) {
		machine.markPagesForReview()
		c.scheduler.dirty = true
	}
	machine.directHeartbeat, machine.directTasks, machine.liveness.lastDirectAt = heartbeat, tasksByAttempt(heartbeat), c.now
	for key, since := range machine.reconciliation.missingSince {
		if machine.directTasks[key] != nil || c.now.Sub(since) > forgetMachineAfter {
			delete(machine.reconciliation.missingSince, key)
		}
	}
}

// setLatestHeartbeat replaces what is known of the machine by a newer heartbeat.
func (m *machine) setLatestHeartbeat(heartbeat *wire.Heartbeat, now Time) {
	m.latestHeartbeat, m.tasks = heartbeat, tasksByAttempt(heartbeat)
	m.liveness.noteHeartbeat(now)
	m.addr, m.machineType, m.zone, m.spot = heartbeat.Addr, heartbeat.Type, heartbeat.Zone, heartbeat.Spot
}

// notePreemptionNotice notes in how many seconds the cloud will take the machine; nil: no
// notice is in force.
func (s *scaling) notePreemptionNotice(seconds *float64, now Time) {
	s.preemptionAt = 0
	if seconds != nil {
		s.preemptionAt = now.Add(time.Duration(*seconds * float64(time.Second)))
	}
}

// applyTaskStatuses draws the conclusions from the tasks in a machine's latest heartbeat;
// before is the tasks of the heartbeat before it.
//
// The order is fixed: what one exit shows of a job decides what the next shows of the
// machine, so in the order of the map the same heartbeat quarantined it or not.
func (c *Controller) applyTaskStatuses(machine *machine, before map[attemptKey]*wire.TaskStatus) {
	pulling := map[string]bool{}
	for _, task := range sortedTasks(machine.latestHeartbeat) {
		key := attemptKey{task.Task, task.Attempt}
		if machine.tasks[key] != task {
			continue // listed twice: the last counts
		}
		if job := c.cache.jobs[task.Task.Job]; job != nil {
			if task.State == wire.TaskPulling {
				pulling[job.spec.Image] = true
			}
			c.noteTaskState(machine, job, task.State)
		}
		if old := before[key]; task.State == wire.TaskExited && (old == nil || old.State != wire.TaskExited) {
			c.noteTaskExit(machine, task)
		}
	}
	machine.images.pulling = len(pulling)
}

// noteTaskState notes what a task's state shows of its job and of the machine's images.
func (c *Controller) noteTaskState(machine *machine, job *job, state wire.TaskState) {
	if state == wire.TaskRunning || state == wire.TaskWaiting {
		c.noteImageUse(machine, job.spec.Image)
		c.noteJobStarted(job)
	}
	if state == wire.TaskRunning && job.crashLoop.consecutiveBackoffs > 0 {
		c.noteCanaryRunning(job)
	}
}

// noteJobStarted measures, the first time only, how long a job took to start.
func (c *Controller) noteJobStarted(job *job) {
	if job.started {
		return
	}
	job.started = true
	c.log.Debug("job started", "job_id", job.id, "class", job.spec.Class, "after_s", float64(c.wall-job.acceptedAt)/1000)
	c.metrics.observe(latencyJobStart, time.Duration(max(0, c.wall-job.acceptedAt))*time.Millisecond)
}

// applyUnchangedHeartbeat takes a sibling's gossip that a machine sent another heartbeat
// with the status of the one before.
func (c *Controller) applyUnchangedHeartbeat(unchanged *wire.UnchangedHeartbeat) {
	machine := c.fleet.machines[unchanged.Machine]
	if machine == nil || machine.latestHeartbeat == nil {
		return
	}
	if machine.latestHeartbeat.AgentEpoch != unchanged.AgentEpoch || machine.latestHeartbeat.Sequence >= unchanged.Sequence {
		return
	}
	machine.liveness.resetUnansweredAfterSilence(c.now, c.maxHeartbeatInterval())
	heartbeat := *machine.latestHeartbeat
	heartbeat.Sequence, heartbeat.Token = unchanged.Sequence, unchanged.Token
	machine.latestHeartbeat = &heartbeat
	machine.liveness.noteHeartbeat(c.now)
	if c.membership.ready {
		c.confirmDirectly(machine)
	}
}

// applyWorkerResponse takes the heartbeat with which a worker answered a direct call. A
// worker that has seen a higher fencing token than is known here obeys nobody who does
// not know it, so this controller first reads what was written before.
func (c *Controller) applyWorkerResponse(machine *machine, response WorkerResponse) {
	if response.Heartbeat == nil || response.Heartbeat.Machine != machine.id {
		return
	}
	c.applyHeartbeat(response.Heartbeat, true)
	if response.Heartbeat.Token > c.cache.token {
		c.refreshCache()
	}
}
