package controller

import (
	"net/http"
	"time"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

const (
	// renewalWait is how long a worker waits for a controller that cannot answer it now to
	// learn what it lacks.
	renewalWait = 1500 * time.Millisecond
	// peerQuorumLossDelay is how long the state store and the siblings must be out of reach
	// before workers are redirected.
	peerQuorumLossDelay = 3 * time.Second
	// workerTimeout and workerRetryDelay are how long the protocol has a worker wait for a
	// response, and between two controllers.
	workerTimeout    = 4 * time.Second
	workerRetryDelay = time.Second
	// returnedAfterIntervals is after how many heartbeat intervals without a direct
	// heartbeat a worker counts as one that has only just come to this controller.
	returnedAfterIntervals = 2
)

// handleHeartbeat answers a worker's heartbeat. The response renews the worker's lease, and
// the commands in it are obeyed in the name of this controller's fencing token.
func (c *Controller) handleHeartbeat(in HeartbeatReceived) {
	if !c.membership.ready {
		c.rejectHeartbeat(in.Request, "starting")
		return
	}
	if in.Heartbeat.Token <= c.cache.token {
		c.handleHeartbeatAtToken(in)
		return
	}
	// Somebody raised the token; until this controller knows everything that was written
	// before, it is not entitled to command this worker.
	c.readBarrier(func(bool) {
		if in.Heartbeat.Token > c.cache.token {
			c.redirectToPeer(in.Request)
			return
		}
		c.handleHeartbeatAtToken(in)
	})
}

// handleHeartbeatAtToken answers a worker that has seen no token which is not known here.
func (c *Controller) handleHeartbeatAtToken(in HeartbeatReceived) {
	if !c.canRenewLeaseOf(in.Heartbeat.Machine) {
		c.applyHeartbeat(in.Heartbeat, true)
		if c.peerWithStore() != "" {
			c.redirectToPeer(in.Request)
			return
		}
		c.respondOnceRenewable(in)
		return
	}
	if !c.storeReachable() && (c.peerWithStore() != "" || c.shouldRedirectToPeer(c.machine(in.Heartbeat.Machine))) {
		c.applyHeartbeat(in.Heartbeat, true)
		c.redirectToPeer(in.Request)
		return
	}
	if !c.redirectToOwner(in) {
		c.respondToHeartbeat(in)
	}
}

// canRenewLeaseOf reports whether a worker may be answered: what runs on it, or may yet
// start there, may have been cancelled so long ago that another lease would keep it alive
// for too long.
func (c *Controller) canRenewLeaseOf(id wire.MachineID) bool {
	return c.canRenewLeases() && !c.mayStartCancelledTask(c.machine(id))
}

// respondOnceRenewable answers a worker a moment later if its lease may be renewed then.
// Rejected at once, it would try one controller after the other, a second each, and so
// would all others.
func (c *Controller) respondOnceRenewable(in HeartbeatReceived) {
	c.fleet.addTimer(c.now.Add(renewalWait), func() {
		if in.Heartbeat.Token <= c.cache.token && c.canRenewLeaseOf(in.Heartbeat.Machine) {
			c.respondToHeartbeat(in)
			return
		}
		c.rejectHeartbeat(in.Request, "withdrawals may not be known")
	})
}

// rejectHeartbeat leaves a worker's lease as it is; the worker tries another controller.
func (c *Controller) rejectHeartbeat(request RequestID, reason string) {
	c.reply(request, http.StatusServiceUnavailable, wire.ErrorResponse{Error: reason})
}

// shouldRedirectToPeer reports whether a worker is to try another controller. One that has
// lost the state store and all its siblings cannot tell whether that is an outage, in which
// its workers' leases hang on it alone, or whether the others are well, and nobody can write
// down what exits here. So each worker is redirected once: where others are well it stays
// with them, and if it comes back, having found none, it is kept. It is redirected only if
// its lease lasts for the tour of all controllers.
func (c *Controller) shouldRedirectToPeer(machine *machine) bool {
	if !c.lostPeerQuorum() || c.now.Sub(c.cache.lastStoreResponse) < peerQuorumLossDelay ||
		machine.liveness.redirectedToPeerAt > c.cache.lastStoreResponse || !c.leaseOutlastsTour() {
		return false
	}
	machine.liveness.redirectedToPeerAt = c.now
	c.metrics.count(countPeerRedirects, 1)
	return true
}

// leaseOutlastsTour reports whether a worker's lease lasts until it has tried every other
// controller in vain and come back.
func (c *Controller) leaseOutlastsTour() bool {
	tour := time.Duration(len(c.settings.Siblings)) * (workerTimeout + workerRetryDelay)
	return tour+c.maxHeartbeatInterval()+workerTimeout <= config.Seconds(c.settings.Cluster.Workers.LeaseS)
}

func (c *Controller) redirectToPeer(request RequestID) {
	c.reply(request, http.StatusMisdirectedRequest, wire.Redirect{Controller: c.peerWithStore()})
}

// respondToHeartbeat renews a worker's lease and sends it the commands that it needs.
func (c *Controller) respondToHeartbeat(in HeartbeatReceived) {
	machine := c.machine(in.Heartbeat.Machine)
	returned := machine.directHeartbeat == nil ||
		c.now.Sub(machine.liveness.lastDirectAt) > config.Seconds(returnedAfterIntervals*c.settings.Cluster.Workers.ReportS)
	c.applyHeartbeat(in.Heartbeat, true)
	if returned && !machine.liveness.probing && !machine.scaling.terminated && c.fleet.canProbe() {
		// It may have come because no call reaches it, or this may be a late copy of a
		// heartbeat that it sent long ago.
		c.probeMachine(machine)
	}
	var commands []wire.Command
	if machine.latestHeartbeat == in.Heartbeat {
		commands = append(c.commandsFor(machine), c.cleanupCommands(machine)...)
	} else {
		// A heartbeat that is older than the latest was held up on its way: commands that
		// follow from it could repeat what is over. The response may renew the lease all
		// the same.
		commands = c.stopCommands(machine)
	}
	c.reply(in.Request, http.StatusOK, wire.HeartbeatResponse{Token: c.cache.token, Commands: commands})
}
