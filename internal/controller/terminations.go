package controller

import (
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// The termination of a machine takes three steps, so that no task is placed on the machine
// concurrently:
//
//   - recordTerminations records the termination as pending. Every transaction that places tasks
//     has a condition on the version of this record.
//   - Once that record is known to be committed, terminateRecordedMachines requests the
//     termination from the cloud.
//   - Once the cloud has confirmed the termination, the machine is recorded as confirmed for as
//     long as there are allocations on it.

// terminationMark is the decision to terminate a machine, until the termination is recorded.
type terminationMark struct {
	reason string
	at     Time
}

// isOverruled reports whether the machine has recovered since it was marked. The state store may be
// unreachable for a while before the termination can be recorded.
func (m terminationMark) isOverruled(machine *machine) bool {
	switch m.reason {
	case reasonSilent, reasonNeverJoined:
		return machine.liveness.lastHeartbeatAt > m.at
	case reasonUnreachable:
		return !machine.unreachable()
	}
	return false
}

// dropOverruledMarks removes the marks of machines that have recovered.
func (c *Controller) dropOverruledMarks() {
	for id, mark := range c.provisioner.toTerminate {
		if machine := c.fleet.machines[id]; machine != nil && mark.isOverruled(machine) {
			delete(c.provisioner.toTerminate, id)
		}
	}
}

// terminationsDraft is the next record of terminations, limited to the size of a value.
type terminationsDraft struct {
	terminations record.Terminations
	freeBytes    int // left in the value
}

// confirm adds a machine whose termination is confirmed.
func (d *terminationsDraft) confirm(id wire.MachineID) {
	d.freeBytes -= len(id) + len(`"",`)
	d.terminations.Confirmed = append(d.terminations.Confirmed, id)
}

// addPending adds a machine whose termination is pending.
func (d *terminationsDraft) addPending(reason string, id wire.MachineID) {
	d.freeBytes -= len(id) + len(`"",`)
	d.terminations.Pending[reason] = append(d.terminations.Pending[reason], id)
}

// reserveReason subtracts the encoded size of a reason from the free bytes, unless the reason has
// machines already.
func (d *terminationsDraft) reserveReason(reason string) {
	if d.terminations.Pending[reason] == nil {
		d.freeBytes -= len(reason) + len(`"":[],`)
	}
}

// recordTerminations records the machines whose termination is pending or confirmed. Transactions
// that place tasks have a condition on this record's version, so they conflict with this write.
func (c *Controller) recordTerminations() {
	if c.provisioner.recordingTerminations || !c.isDue(c.provisioner.nextTerminationRecord) {
		return
	}
	draft := &terminationsDraft{
		terminations: record.Terminations{Pending: map[string][]wire.MachineID{}},
		freeBytes:    c.pageLimit() - len(`{"going":{},"gone":[]}`),
	}
	c.dropOverruledMarks()
	if changed := c.carryOverTerminations(draft); !changed && len(c.provisioner.toTerminate) == 0 {
		return
	}
	added := c.addMarkedMachines(draft)
	c.provisioner.recordingTerminations = true
	c.provisioner.nextTerminationRecord = c.now.Add(terminationRecordInterval)
	// This is one write for all machines, and service replicas wait for it. So it has priority over
	// submissions.
	c.commit(PriorityUrgent, wire.Transaction{
		If:   []wire.Condition{{Key: record.TerminationsKey, Version: c.cache.keyVersions[record.TerminationsKey]}},
		Then: []wire.Change{c.putChange(record.TerminationsKey, draft.terminations)},
	}, func(result CommitResult) {
		c.provisioner.recordingTerminations = false
		if result.Outcome != NotExecuted {
			for _, id := range added {
				delete(c.provisioner.toTerminate, id)
			}
		}
		if result.Outcome != Succeeded {
			c.refreshCache()
		}
	})
}

// carryOverTerminations adds the entries of the current record that still apply to the draft, and
// reports whether any entry changed or was dropped.
func (c *Controller) carryOverTerminations(draft *terminationsDraft) (changed bool) {
	for _, id := range sortedKeys(c.cache.terminating) {
		pending := c.cache.terminating[id]
		switch machine := c.machine(id); {
		case machine.scaling.terminated:
			changed = true
			if len(machine.allocations) > 0 {
				draft.confirm(id)
			}
		case c.shouldCancelIdleTermination(machine, pending):
			changed = true
		default:
			draft.addPending(pending.reason, id)
		}
	}
	for _, id := range c.cache.terminations.Confirmed {
		if len(c.machine(id).allocations) == 0 {
			changed = true
		} else {
			draft.confirm(id)
		}
	}
	return changed
}

// shouldCancelIdleTermination reports whether the termination of an idle machine is to be
// cancelled, because tasks were placed on it before the termination was recorded. It can no longer
// be cancelled once it was requested from the cloud.
func (c *Controller) shouldCancelIdleTermination(machine *machine, pending pendingTermination) bool {
	return pending.reason == reasonIdle && len(machine.allocations) > 0 && !c.provisioner.terminateRequested[machine.id]
}

// addMarkedMachines adds the machines that are marked for termination to the draft, as far as they
// fit, and returns those added.
func (c *Controller) addMarkedMachines(draft *terminationsDraft) []wire.MachineID {
	added := make([]wire.MachineID, 0, len(c.provisioner.toTerminate))
	for _, id := range sortedKeys(c.provisioner.toTerminate) {
		reason := c.provisioner.toTerminate[id].reason
		draft.reserveReason(reason)
		if draft.freeBytes > 0 {
			c.machine(id) // adds the machine again if it was removed in the meantime
			draft.addPending(reason, id)
			added = append(added, id)
		}
	}
	return added
}

// terminateRecordedMachines requests from the cloud the termination of the machines that are
// recorded as pending. If the call succeeds, the machines and all tasks on them are gone. Only then
// are their allocations removed from the records.
func (c *Controller) terminateRecordedMachines() {
	if c.provisioner.terminateCallInFlight {
		return
	}
	var ids []wire.MachineID
	for _, id := range sortedKeys(c.cache.terminating) {
		pending := c.cache.terminating[id]
		machine := c.machine(id)
		if machine.scaling.terminated || pending.since > c.cache.revision || len(ids) == wire.MaxTerminate || c.shouldCancelIdleTermination(machine, pending) {
			continue
		}
		ids = append(ids, id)
		c.provisioner.terminateRequested[id] = true
	}
	if len(ids) == 0 {
		return
	}
	c.callTerminate(ids, func(machine *machine) {
		c.metrics.count(countMachinesTerminated+c.cache.terminating[machine.id].reason, 1)
		delete(c.provisioner.terminateRequested, machine.id)
	})
}

// callTerminate requests the termination of machines from the cloud. It calls terminated for each
// machine once the cloud has confirmed the termination.
func (c *Controller) callTerminate(ids []wire.MachineID, terminated func(*machine)) {
	c.provisioner.terminateCallInFlight = true
	c.emit(TerminateMachines{registerCall(c, func(result TerminateResult) {
		c.provisioner.terminateCallInFlight = false
		c.metrics.countFailure(result.Outcome, countCloudRefused, countCloudUnanswered)
		if result.Outcome != Succeeded {
			return
		}
		for _, id := range ids {
			machine := c.machine(id)
			machine.scaling.terminated, machine.scaling.terminatedAt, c.scheduler.dirty = true, c.now, true
			machine.markPagesForReview()
			terminated(machine)
		}
	}), ids})
}
