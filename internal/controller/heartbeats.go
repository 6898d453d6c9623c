package controller

import (
	"cmp"
	"slices"
	"time"

	"lilacrill/wire"
)

// tasksByAttempt indexes a heartbeat's tasks by task and attempt. A machine may list an
// exited attempt beside another attempt of the same task.
func tasksByAttempt(heartbeat *wire.Heartbeat) map[attemptKey]*wire.TaskStatus {
	tasks := make(map[attemptKey]*wire.TaskStatus, len(heartbeat.Tasks))
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		tasks[attemptKey{task.Task, task.Attempt}] = task
	}
	return tasks
}

// sortedTasks returns a heartbeat's tasks in the order of job, index and attempt, whatever
// their order in the heartbeat.
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

// sameStatus reports whether two heartbeats of a machine differ only in their sequence number
// and fencing token. Heartbeats with a preemption notice always differ, since the notice
// counts down.
func sameStatus(a, b *wire.Heartbeat) bool {
	return a.AgentEpoch == b.AgentEpoch && a.PreemptionNoticeS == nil && b.PreemptionNoticeS == nil && a.Addr == b.Addr && slices.Equal(a.Tasks, b.Tasks)
}

// applyHeartbeat updates a machine's state from its heartbeat. A direct heartbeat comes from
// the worker itself, and only a direct one proves that a task has exited. Other heartbeats
// were gossiped by a peer. They may be late and show a state that has passed.
func (c *Controller) applyHeartbeat(heartbeat *wire.Heartbeat, direct bool) {
	machine := c.machine(heartbeat.Machine)
	if direct {
		c.noteDirectHeartbeat(machine, heartbeat)
	}
	if machine.latestHeartbeat != nil && !machine.newer(heartbeat, machine.latestHeartbeat) {
		c.noteRestartSeenByPeer(machine, heartbeat)
		return
	}
	before, first := machine.tasks, machine.latestHeartbeat == nil
	// A heartbeat without changes needs no scheduling pass unless it was overdue, in which case
	// the machine accepts tasks again.
	c.scheduler.dirty = c.scheduler.dirty || first || !sameStatus(machine.latestHeartbeat, heartbeat) || !c.heartbeatsOnTime(machine)
	machine.liveness.resetUnansweredAfterSilence(c.now, c.maxHeartbeatInterval())
	machine.setLatestHeartbeat(heartbeat, c.now)
	c.fleet.noteAddress(heartbeat.Addr, machine.id)
	if first {
		c.noteJoined(machine)
	}
	machine.scaling.notePreemptionNotice(heartbeat.PreemptionNoticeS, c.now)
	c.applyTaskStatuses(machine, before)
	if !direct && c.membership.ready {
		c.probeToConfirm(machine)
	}
}

// noteDirectHeartbeat records that a worker's heartbeat reached this controller. Unless a
// newer one came before, the heartbeat becomes the machine's direct heartbeat, which proves
// what runs there.
func (c *Controller) noteDirectHeartbeat(machine *machine, heartbeat *wire.Heartbeat) {
	if c.isolationSuspected() {
		c.fleet.reachableSince = c.now
	}
	c.fleet.lastDirectHeartbeatAt = c.now
	c.gossip.pendingMachines[machine.id] = true
	if machine.directHeartbeat != nil && !machine.newer(heartbeat, machine.directHeartbeat) {
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

// setLatestHeartbeat updates the machine's state from a heartbeat that is newer than all
// before.
func (m *machine) setLatestHeartbeat(heartbeat *wire.Heartbeat, now Time) {
	m.latestHeartbeat, m.tasks = heartbeat, tasksByAttempt(heartbeat)
	m.liveness.noteHeartbeat(now)
	m.scaling.advanceStatus(wire.MachineRunning)
	m.addr, m.machineType, m.zone, m.spot = heartbeat.Addr, heartbeat.Type, heartbeat.Zone, heartbeat.Spot
}

// notePreemptionNotice records in how many seconds the cloud will take the machine back, or,
// if seconds is nil, that no preemption notice is in force.
func (s *scaling) notePreemptionNotice(seconds *float64, now Time) {
	s.preemptionAt = 0
	if seconds != nil {
		s.preemptionAt = now.Add(time.Duration(*seconds * float64(time.Second)))
	}
}

// applyTaskStatuses updates jobs and the machine from the task statuses in the machine's
// latest heartbeat. before holds the tasks of the previous heartbeat.
//
// The tasks are taken in a fixed order, because the effect of an exit on the machine depends
// on the earlier exits of its job. In the random order of the map, the same heartbeat might
// or might not quarantine the machine.
func (c *Controller) applyTaskStatuses(machine *machine, before map[attemptKey]*wire.TaskStatus) {
	pulling := map[string]bool{}
	for _, task := range sortedTasks(machine.latestHeartbeat) {
		key := attemptKey{task.Task, task.Attempt}
		if machine.tasks[key] != task {
			continue // the attempt is listed twice, and its last status counts
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

// noteTaskState updates a task's job and the machine's images from the state of the task.
func (c *Controller) noteTaskState(machine *machine, job *job, state wire.TaskState) {
	if state == wire.TaskRunning || state == wire.TaskWaiting {
		c.noteImageUse(machine, job.spec.Image)
		c.noteJobStarted(job)
	}
	if state == wire.TaskRunning && job.crashLoop.consecutiveBackoffs > 0 {
		c.noteCanaryRunning(job)
	}
}

// noteJobStarted records how long a job took to start when its first task has started.
func (c *Controller) noteJobStarted(job *job) {
	if job.started {
		return
	}
	job.started = true
	c.log.Debug("job started", "job_id", job.id, "class", job.spec.Class, "after_s", float64(c.wall-job.acceptedAt)/1000)
	c.metrics.observe(latencyJobStart, time.Duration(max(0, c.wall-job.acceptedAt))*time.Millisecond)
}

// applyUnchangedHeartbeat applies a gossiped heartbeat whose status is the same as that of
// the previous heartbeat and was therefore left out of the message.
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
		c.probeToConfirm(machine)
	}
}

// handleWorkerResponse handles the response to a direct call to a machine, or its lack, and reports
// whether the machine answered. calledAt is the time of the call, and known was the machine's latest
// heartbeat then. The answer of another machine, which has the address by now, is none.
func (c *Controller) handleWorkerResponse(machine *machine, calledAt Time, known *wire.Heartbeat, response WorkerResponse) bool {
	answer := response.Heartbeat
	answered := answer != nil && answer.Machine == machine.id
	if answer != nil && !answered && !c.noteTakenOverAddress(answer) {
		c.fleet.noteAddress(answer.Addr, answer.Machine)
	}
	machine.liveness.noteCallResult(calledAt, c.fleet.reachableSince, answered)
	if answered {
		c.applyAnswer(machine, known, answer)
	}
	return answered
}

// applyAnswer applies the heartbeat with which a worker answered a direct call. known was the machine's
// latest heartbeat when the call was made. A worker refuses commands with a lower fencing token than the
// highest that it has seen. If its token is not known here yet, the cache is refreshed to get the token
// and everything that was written before it.
func (c *Controller) applyAnswer(machine *machine, known, answer *wire.Heartbeat) {
	c.noteAnswer(machine, known, answer)
	c.applyHeartbeat(answer, true)
	if answer.Token > c.cache.token {
		c.refreshCache()
	}
}
