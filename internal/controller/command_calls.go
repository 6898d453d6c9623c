package controller

import (
	"slices"
	"time"

	"lilacrill/wire"
)

// commandRetryInterval is how long commands to a machine may take effect before they are sent
// again.
const commandRetryInterval = time.Second

// sendCommands sends the commands that a machine needs in a direct call to its worker, and
// reports whether it made the call.
func (c *Controller) sendCommands(machine *machine) bool {
	if !c.membership.ready || machine.latestHeartbeat == nil || machine.scaling.terminated ||
		machine.awaitsRestartFence() || c.fleet.addressReused(machine) ||
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
	calledAt, known := c.now, machine.latestHeartbeat
	c.emit(SendCommands{registerCall(c, func(response WorkerResponse) {
		machine.reconciliation.callInFlight = false
		c.fleet.commandCallsInFlight--
		c.handleWorkerResponse(machine, calledAt, known, response)
		if machine.reconciliation.resend {
			c.sendCommandsNow(machine)
		}
		c.sendQueuedCommands()
	}), machine.addr, *request})
	return true
}

// commandRequest returns the request to send to a machine according to its latest heartbeat,
// or nil if there is nothing to send.
func (c *Controller) commandRequest(machine *machine) *wire.CommandRequest {
	heartbeat := machine.latestHeartbeat
	request := &wire.CommandRequest{Token: c.cache.token, AgentEpoch: heartbeat.AgentEpoch}
	if heartbeat.Token > c.cache.token {
		c.refreshCache()
		// While the state store is unreachable, that token cannot be read. Stopping tasks
		// of completed jobs is correct whatever was written before the token was raised,
		// so these commands may be sent with it.
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
	if c.awaitsFencingToken(machine) {
		request.Commands = []wire.Command{} // only sends the token
		return request
	}
	if !machine.reconciliation.launchDeferred {
		machine.reconciliation.reconciledHeartbeat = heartbeat
	}
	return nil
}

// awaitsFencingToken reports whether an allocation on a machine waits until the machine has
// seen a token that this controller knows. Without a call, the machine would see that token
// only in the response to its next heartbeat, which may be far off.
func (c *Controller) awaitsFencingToken(machine *machine) bool {
	heartbeat := machine.latestHeartbeat
	return slices.ContainsFunc(machine.allocations, func(allocation *Allocation) bool {
		return allocation.AgentEpoch == heartbeat.AgentEpoch &&
			allocation.Fence > heartbeat.Token && allocation.Fence <= c.cache.token &&
			(allocation.Launcher == c.membership.incarnation || c.ownsTeam(allocation.page.team))
	})
}

// sendCommandsNow sends a machine's commands without waiting for commandRetryInterval to pass
// since earlier commands. If a call is under way, the commands are sent when it ends.
func (c *Controller) sendCommandsNow(machine *machine) {
	if machine.reconciliation.callInFlight {
		machine.reconciliation.resend = true
		return
	}
	machine.reconciliation.resend = false
	machine.reconciliation.nextSend = c.now
	c.sendCommands(machine)
}

// sendCommandsForJob sends the commands of all machines that have allocations of a job.
func (c *Controller) sendCommandsForJob(id wire.JobID) {
	for _, allocation := range c.cache.allocationsByJob[id] {
		if machine := c.fleet.machines[allocation.Machine]; machine != nil {
			c.sendCommandsNow(machine)
		}
	}
}

// admitCommands reports whether a machine's commands may be sent now. If they may not, it
// queues the machine until other calls have completed.
func (f *fleet) admitCommands(machine *machine) bool {
	limit := f.maxWorkerCalls - f.maxWorkerCalls/probeCallDivisor
	critical := machine.hasCriticalTasks()
	if !critical {
		limit -= limit / criticalCallDivisor
	}
	if f.commandCallsInFlight < max(1, limit) {
		return true
	}
	f.queueCommands(machine, critical)
	return false
}

// queueCommands queues a machine until other calls have completed, unless it is queued
// already.
func (f *fleet) queueCommands(machine *machine, critical bool) {
	if machine.reconciliation.queued {
		return
	}
	machine.reconciliation.queued = true
	if critical {
		f.queuedCriticalCommands = append(f.queuedCriticalCommands, machine)
	} else {
		f.queuedCommands = append(f.queuedCommands, machine)
	}
}

// sendQueuedCommands sends the commands of queued machines, those with critical tasks first,
// until the limit on calls is reached.
func (c *Controller) sendQueuedCommands() {
	for _, queue := range []*[]*machine{&c.fleet.queuedCriticalCommands, &c.fleet.queuedCommands} {
		for len(*queue) > 0 {
			machine := (*queue)[0]
			machine.reconciliation.queued = false
			*queue = (*queue)[1:]
			c.sendCommandsNow(machine)
			if machine.reconciliation.queued {
				return // the machine was queued again because too many calls are still under way
			}
		}
	}
}
