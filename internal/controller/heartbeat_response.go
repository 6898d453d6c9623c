package controller

import (
	"net/http"
	"time"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// handleHeartbeat answers a worker's report.
func (c *Controller) handleHeartbeat(in HeartbeatReceived) {
	r := in.Heartbeat
	if !c.membership.ready {
		c.emit(Reply{Request: in.Request, Status: http.StatusServiceUnavailable, Body: wire.ErrorResponse{Error: "starting"}})
		return
	}
	if r.Token > c.cache.token {
		// Somebody raised the token; until we know everything that was written
		// before, we are not entitled to command this worker.
		c.readBarrier(func(bool) {
			if r.Token > c.cache.token {
				c.redirectToPeer(in.Request)
				return
			}
			c.handleHeartbeatAtToken(in)
		})
		return
	}
	c.handleHeartbeatAtToken(in)
}

// handleHeartbeatAtToken answers a worker that has seen no token which is not known here.
func (c *Controller) handleHeartbeatAtToken(in HeartbeatReceived) {
	r := in.Heartbeat
	if !c.canRenewLeases() || c.mayStartCancelledTask(c.machine(r.Machine)) {
		// What stands on this worker, or may yet start there, may have been withdrawn
		// so long ago that another lease would keep it alive for too long.
		c.applyHeartbeat(r, true)
		if c.peerWithStore() != "" {
			c.redirectToPeer(in.Request)
			return
		}
		// Refused at once, it would try one controller after the other, a second
		// each, and so would all others. A moment later it may be answered.
		c.fleet.timers = append(c.fleet.timers, timer{c.now.Add(renewalWait), func() {
			if r.Token <= c.cache.token && c.canRenewLeases() && !c.mayStartCancelledTask(c.machine(r.Machine)) {
				c.respondToHeartbeat(in)
				return
			}
			c.emit(Reply{Request: in.Request, Status: http.StatusServiceUnavailable, Body: wire.ErrorResponse{Error: "withdrawals may not be known"}})
		}})
		return
	}
	if !c.storeReachable() && (c.peerWithStore() != "" || c.shouldRedirectToPeer(c.machine(r.Machine))) {
		c.applyHeartbeat(r, true)
		c.redirectToPeer(in.Request)
		return
	}
	if !c.redirectToOwner(in) {
		c.respondToHeartbeat(in)
	}
}

// shouldRedirectToPeer reports whether a worker is to try another controller. One that has
// lost the state service and all its siblings cannot tell whether that is an
// outage, in which its workers' leases hang on it alone, or whether the others
// are well, and nobody can write down what ends here. So each worker is sent on
// once: where others are well it stays with them, and if it comes back, having
// found none, it is kept. It is sent only if its lease lasts for the tour.
func (c *Controller) shouldRedirectToPeer(m *machine) bool {
	w := &c.settings.Cluster.Workers
	tour := time.Duration(len(c.settings.Siblings)) * (workerTimeout + workerRetryDelay)
	if !c.lostPeerQuorum() || c.now.Sub(c.cache.lastStoreResponse) < peerQuorumLossDelay || m.liveness.redirectedToPeerAt > c.cache.lastStoreResponse ||
		tour+config.Seconds(1.25*w.ReportS)+workerTimeout > config.Seconds(w.LeaseS) {
		return false
	}
	m.liveness.redirectedToPeerAt = c.now
	c.metrics.count(countPeerRedirects, 1)
	return true
}

const (
	// renewalWait is how long a worker waits for a controller that cannot answer
	// it now to learn what it lacks.
	renewalWait = 1500 * time.Millisecond
	// peerQuorumLossDelay is how long the state service and the siblings must be away
	// before workers are sent on.
	peerQuorumLossDelay = 3 * time.Second
	// workerTimeout and workerRetryDelay are how long the protocol has a worker wait
	// for an answer, and between two controllers.
	workerTimeout    = 4 * time.Second
	workerRetryDelay = time.Second
)

func (c *Controller) redirectToPeer(r RequestID) {
	c.reply(r, http.StatusMisdirectedRequest, wire.Redirect{Controller: c.peerWithStore()})
}

func (c *Controller) respondToHeartbeat(in HeartbeatReceived) {
	m := c.machine(in.Heartbeat.Machine)
	came := m.directHeartbeat == nil || c.now.Sub(m.liveness.lastDirectAt) > config.Seconds(2*c.settings.Cluster.Workers.ReportS)
	c.applyHeartbeat(in.Heartbeat, true)
	if came && !m.liveness.requesting && !m.scaling.terminated && c.canProbe() {
		// It may have come because nothing reaches it, or this may be a late copy
		// of a report that it sent long ago.
		c.probeMachine(m)
	}
	var orders []wire.Command
	// A report that is older than one we know was held up on its way: orders
	// that follow from it could repeat what is over.
	if m.latestHeartbeat == in.Heartbeat {
		orders = append(c.commandsFor(m), c.cleanupCommands(m)...)
	} else {
		orders = c.stopCommands(m) // the answer may renew the lease all the same
	}
	c.reply(in.Request, http.StatusOK, wire.HeartbeatResponse{Token: c.cache.token, Commands: orders})
}
