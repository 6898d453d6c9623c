package controller

import (
	"net/http"
	"time"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

const (
	// renewalWait is how long the response to a heartbeat is delayed if this controller's
	// knowledge of cancellations is not recent enough to renew the lease at once.
	renewalWait = 1500 * time.Millisecond
	// peerQuorumLossDelay is how long the state store must have been unreachable before
	// workers are redirected on the loss of the peer quorum.
	peerQuorumLossDelay = 3 * time.Second
	// In the worker protocol, a worker waits workerTimeout for a response, and
	// workerRetryDelay before it tries another controller.
	workerTimeout    = 4 * time.Second
	workerRetryDelay = time.Second
	// returnedAfterIntervals is the number of heartbeat intervals without a direct heartbeat
	// after which the next one counts as the first from a worker that has changed to this
	// controller.
	returnedAfterIntervals = 2
)

// handleHeartbeat answers a worker's heartbeat. The response renews the worker's lease, and it
// carries commands and this controller's fencing token, under which the worker obeys them.
func (c *Controller) handleHeartbeat(in HeartbeatReceived) {
	if !c.membership.ready {
		c.rejectHeartbeat(in.Request, heartbeatWhileStarting)
		return
	}
	if c.refusesRestartedWorker(in.Heartbeat) {
		c.respondOnceFenced(in, c.now.Add(renewalWait))
		return
	}
	c.handleHeartbeatOfFencedWorker(in)
}

// handleHeartbeatOfFencedWorker answers a worker that no command from before a restart can reach.
func (c *Controller) handleHeartbeatOfFencedWorker(in HeartbeatReceived) {
	if in.Heartbeat.Token <= c.cache.token {
		c.handleHeartbeatWithKnownToken(in)
		return
	}
	// The token was raised. This controller may not send the worker commands until it knows
	// everything that was written before the raise.
	c.readBarrier(func(bool) {
		if in.Heartbeat.Token > c.cache.token {
			c.redirectToPeer(in.Request)
			return
		}
		c.handleHeartbeatWithKnownToken(in)
	})
}

// handleHeartbeatWithKnownToken answers a worker that has not seen a higher fencing token than
// this controller knows.
func (c *Controller) handleHeartbeatWithKnownToken(in HeartbeatReceived) {
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

// canRenewLeaseOf reports whether a worker's lease may be renewed. It must not be if a task
// that runs on the worker, or may still start there, may have been cancelled so long ago that
// another lease would keep the task alive for too long.
func (c *Controller) canRenewLeaseOf(id wire.MachineID) bool {
	return c.canRenewLeases() && !c.mayStartCancelledTask(c.machine(id))
}

// respondOnceRenewable answers a worker after renewalWait if its lease may be renewed then, and
// rejects the heartbeat otherwise. If heartbeats were rejected at once, every worker would try
// one controller after another, one per second.
func (c *Controller) respondOnceRenewable(in HeartbeatReceived) {
	c.fleet.addTimer(c.now.Add(renewalWait), func() {
		if in.Heartbeat.Token <= c.cache.token && c.canRenewLeaseOf(in.Heartbeat.Machine) {
			c.respondToHeartbeat(in)
			return
		}
		c.rejectHeartbeat(in.Request, heartbeatCancellationsNotKnown)
	})
}

// heartbeatRefusal is a reason for which a heartbeat is answered without renewing the worker's
// lease.
type heartbeatRefusal struct {
	counter string // the part of the counter's name that follows countHeartbeatsRefused
	text    string // the error in the response
}

// The reasons of heartbeatRefusal.
var (
	heartbeatWhileStarting         = heartbeatRefusal{"starting", "starting"}
	heartbeatOfRestartedWorker     = heartbeatRefusal{"worker_restarted", "the worker may have restarted"}
	heartbeatCancellationsNotKnown = heartbeatRefusal{"cancellations_not_known", "withdrawals may not be known"}
)

// rejectHeartbeat answers a heartbeat without renewing the worker's lease. The worker then
// tries another controller.
func (c *Controller) rejectHeartbeat(request RequestID, refusal heartbeatRefusal) {
	c.metrics.count(countHeartbeatsRefused+refusal.counter, 1)
	c.reply(request, http.StatusServiceUnavailable, wire.ErrorResponse{Error: refusal.text})
}

// shouldRedirectToPeer reports whether a worker is to try another controller, and records that
// it was redirected. A controller that has lost the state store and the peer quorum cannot
// distinguish two cases. In an outage, its workers' leases depend on it alone. If the other
// controllers still work, they should have the workers, because this controller cannot commit
// the exits of tasks. Each worker is therefore redirected once. If another controller works,
// the worker stays with it, and otherwise it comes back and is kept. A worker is redirected
// only if its lease lasts until it has tried all controllers.
func (c *Controller) shouldRedirectToPeer(machine *machine) bool {
	if !c.lostPeerQuorum() || c.now.Sub(c.cache.lastStoreResponse) < peerQuorumLossDelay ||
		machine.liveness.redirectedToPeerAt > c.cache.lastStoreResponse || !c.leaseOutlastsTryingPeers() {
		return false
	}
	machine.liveness.redirectedToPeerAt = c.now
	c.metrics.count(countPeerRedirects, 1)
	return true
}

// leaseOutlastsTryingPeers reports whether a worker's lease lasts until the worker has tried
// every other controller in vain and come back.
func (c *Controller) leaseOutlastsTryingPeers() bool {
	tryingPeers := time.Duration(len(c.settings.Siblings)) * (workerTimeout + workerRetryDelay)
	return tryingPeers+c.maxHeartbeatInterval()+workerTimeout <= config.Seconds(c.settings.Cluster.Workers.LeaseS)
}

// redirectToPeer redirects a worker to a peer that reaches the state store, or to any other
// controller if no peer is known to.
func (c *Controller) redirectToPeer(request RequestID) {
	c.metrics.count(countHeartbeatsRefused+"redirected_to_peer", 1)
	c.reply(request, http.StatusMisdirectedRequest, wire.Redirect{Controller: c.peerWithStore()})
}

// respondToHeartbeat renews a worker's lease and sends the worker the commands that it needs.
func (c *Controller) respondToHeartbeat(in HeartbeatReceived) {
	machine := c.machine(in.Heartbeat.Machine)
	returned := machine.directHeartbeat == nil ||
		c.now.Sub(machine.liveness.lastDirectAt) > config.Seconds(returnedAfterIntervals*c.settings.Cluster.Workers.ReportS)
	c.applyHeartbeat(in.Heartbeat, true)
	if returned && !machine.liveness.probing && !machine.scaling.terminated && c.fleet.canProbe() {
		// The worker may have changed controllers because no call reaches it, or this may be
		// a late copy of a heartbeat that it sent long ago.
		c.probeMachine(machine)
	}
	var commands []wire.Command
	if machine.latestHeartbeat == in.Heartbeat {
		commands = append(c.commandsFor(machine), c.cleanupCommands(machine)...)
	} else {
		// A heartbeat that is older than the latest was delayed. Commands derived from it
		// could repeat what is already done. The response may still renew the lease.
		commands = c.stopCommands(machine)
	}
	c.metrics.count(countHeartbeatsAnswered, 1)
	c.reply(in.Request, http.StatusOK, wire.HeartbeatResponse{Token: c.cache.token, Commands: commands})
}
