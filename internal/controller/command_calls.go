package controller

import (
	"slices"
	"time"

	"lilacrill/wire"
)

// commandRetryInterval is how long commands to a machine are left to take effect.
const commandRetryInterval = time.Second

// sendCommands sends a machine the commands that it needs, directly, and reports whether
// there were any.
func (c *Controller) sendCommands(machine *machine) bool {
	if !c.membership.ready || machine.latestHeartbeat == nil || machine.scaling.terminated ||
		machine.reconciliation.callInFlight || !c.isDue(machine.reconciliation.nextSend) {
		return false
	}
	request := c.commandRequest(machine)
	if request == nil || !c.fleet.admitCommands(machine) {
		return false
	}
	machine.reconciliation.callInFlight = true
	c.fleet.commandCallsInFlight++
	machine.reconciliation.nextSend = c.now.Add(commandRetryInterval)
	calledAt := c.now
	c.emit(SendCommands{call(c, func(response WorkerResponse) {
		machine.reconciliation.callInFlight = false
		c.fleet.commandCallsInFlight--
		machine.liveness.noteCallResult(calledAt, c.fleet.reachableSince, response.Heartbeat != nil)
		c.applyWorkerResponse(machine, response)
		if machine.reconciliation.resend {
			c.sendCommandsNow(machine)
		}
		c.sendQueuedCommands()
	}), machine.addr, *request})
	return true
}

// commandRequest is what to send a machine by its latest heartbeat; nil if nothing.
func (c *Controller) commandRequest(machine *machine) *wire.CommandRequest {
	heartbeat := machine.latestHeartbeat
	request := &wire.CommandRequest{Token: c.cache.token, AgentEpoch: heartbeat.AgentEpoch}
	if heartbeat.Token > c.cache.token {
		c.refreshCache()
		// While the state store is out of reach that token cannot be read. To stop what
		// is complete is right whatever was written before it, so that much may be
		// commanded in its name.
		if c.storeReachable() {
			return nil
		}
		if request.Commands = c.stopCommands(machine); len(request.Commands) == 0 {
			return nil
		}
		request.Token = heartbeat.Token
	}
	if machine.isReconciled() {
		return nil
	}
	if request.Commands == nil {
		request.Commands = c.commandsFor(machine)
	}
	if len(request.Commands) > 0 {
		return request
	}
	if c.awaitsFence(machine) {
		request.Commands = []wire.Command{} // only to show it the token
		return request
	}
	if !machine.reconciliation.launchDeferred {
		machine.reconciliation.reconciledHeartbeat = heartbeat
	}
	return nil
}

// awaitsFence reports whether a machine has not seen the token that an allocation on it
// waits for: until its next heartbeat, which may be far off, nothing else would show it.
func (c *Controller) awaitsFence(machine *machine) bool {
	heartbeat := machine.latestHeartbeat
	return slices.ContainsFunc(machine.allocations, func(allocation *Allocation) bool {
		return allocation.AgentEpoch == heartbeat.AgentEpoch &&
			allocation.Fence > heartbeat.Token && allocation.Fence <= c.cache.token &&
			(allocation.Launcher == c.membership.incarnation || c.ownsTeam(allocation.page.team))
	})
}

// sendCommandsNow sends what has just been decided, without the pause after earlier commands.
func (c *Controller) sendCommandsNow(machine *machine) {
	if machine.reconciliation.callInFlight {
		machine.reconciliation.resend = true
		return
	}
	machine.reconciliation.resend = false
	machine.reconciliation.nextSend = c.now
	c.sendCommands(machine)
}

// sendCommandsForJob sends the machines of a job's allocations what has just been decided.
func (c *Controller) sendCommandsForJob(id wire.JobID) {
	for _, allocation := range c.cache.allocationsByJob[id] {
		if machine := c.fleet.machines[allocation.Machine]; machine != nil {
			c.sendCommandsNow(machine)
		}
	}
}

// admitCommands reports whether a machine may be sent its commands now; if not, they are
// sent once other calls have completed.
func (f *fleet) admitCommands(machine *machine) bool {
	limit := f.maxWorkerCalls - f.maxWorkerCalls/probeCallDivisor
	urgent := machine.hasCriticalTasks()
	if !urgent {
		limit -= limit / urgentCallDivisor
	}
	if f.commandCallsInFlight < max(1, limit) {
		return true
	}
	f.queueCommands(machine, urgent)
	return false
}

// queueCommands has a machine wait, once, until other calls have completed.
func (f *fleet) queueCommands(machine *machine, urgent bool) {
	if machine.reconciliation.queued {
		return
	}
	machine.reconciliation.queued = true
	if urgent {
		f.queuedUrgentCommands = append(f.queuedUrgentCommands, machine)
	} else {
		f.queuedCommands = append(f.queuedCommands, machine)
	}
}

// sendQueuedCommands sends the commands of machines that waited for other calls to end.
func (c *Controller) sendQueuedCommands() {
	for _, queue := range []*[]*machine{&c.fleet.queuedUrgentCommands, &c.fleet.queuedCommands} {
		for len(*queue) > 0 {
			machine := (*queue)[0]
			machine.reconciliation.queued = false
			*queue = (*queue)[1:]
			c.sendCommandsNow(machine)
			if machine.reconciliation.queued {
				return // it was queued again: too many calls are still under way
			}
		}
	}
}
