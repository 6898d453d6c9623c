package controller

import (
	"slices"

	"lilacrill/wire"
)

// A worker whose process ended and came back remembers nothing: its agent epoch, its sequence number
// and the token that it has seen begin anew. Late copies of commands that were carried out before its
// end would take effect again, since they match the epoch and carry a token that is not lower. And its
// heartbeats seem older than those before its end.
//
// That a worker restarted is certain if its answer to a call is not newer than what was known when the
// call was made; a heartbeat that it sends by itself may be a late copy. The fencing token is then
// raised. Until the worker has seen the new token, it gets no commands, and its lease is not renewed
// with an earlier token. From then on every message with the new token is newer than all without it.

// workerRestart is what is known of the last restart of a machine's worker.
type workerRestart struct {
	fencing bool              // the token has yet to be raised
	fence   wire.FencingToken // the token that was raised after the restart; 0 if there was none
}

// newer reports whether the machine's worker created a heartbeat after another.
func (m *machine) newer(heartbeat, than *wire.Heartbeat) bool {
	if after := m.sentAfterRestart(heartbeat); after != m.sentAfterRestart(than) {
		return after
	}
	return heartbeat.Newer(than)
}

// sentAfterRestart reports whether a heartbeat is known to come from the worker after its last restart.
func (m *machine) sentAfterRestart(heartbeat *wire.Heartbeat) bool {
	return m.restart.fence > 0 && heartbeat.Token >= m.restart.fence
}

// awaitsRestartFence reports whether the worker has restarted and has not been heard since with the
// token that was raised then.
func (m *machine) awaitsRestartFence() bool {
	return m.restart.fencing || m.restart.fence > 0 && (m.latestHeartbeat == nil || !m.sentAfterRestart(m.latestHeartbeat))
}

// isOfLaterEpoch reports whether a heartbeat proves that the worker has ended all tasks of an
// allocation and obeys no command for them: because its lease expired, or because the worker restarted,
// which sets its epoch back.
func (m *machine) isOfLaterEpoch(heartbeat *wire.Heartbeat, allocation *Allocation) bool {
	return heartbeat.AgentEpoch > allocation.AgentEpoch ||
		heartbeat.AgentEpoch < allocation.AgentEpoch && m.sentAfterRestart(heartbeat)
}

// refusesRestartedWorker reports whether a heartbeat must not be answered with the token that this
// controller knows, because its worker seems to have restarted.
func (c *Controller) refusesRestartedWorker(heartbeat *wire.Heartbeat) bool {
	machine := c.machine(heartbeat.Machine)
	switch {
	case machine.restart.fencing:
		return true
	case machine.awaitsRestartFence():
		return c.cache.token < machine.restart.fence && !machine.sentAfterRestart(heartbeat)
	case c.noteTakenOverAddress(heartbeat):
		return true
	case !machine.mayHaveRestarted(heartbeat):
		return false
	}
	if machine.liveness.probeAllowed(c.now) && !machine.scaling.terminated && c.fleet.canProbe() {
		c.probeMachine(machine)
	}
	return true
}

// respondOnceFenced answers a worker that may have restarted as soon as its heartbeat may be answered,
// and rejects the heartbeat after the deadline. Until the worker is answered, it obeys late copies of
// commands, so it is not sent to another controller.
func (c *Controller) respondOnceFenced(in HeartbeatReceived, deadline Time) {
	c.fleet.addTimer(c.now.Add(TickInterval), func() {
		switch {
		case !c.refusesRestartedWorker(in.Heartbeat):
			c.handleHeartbeatOfFencedWorker(in)
		case c.isDue(deadline):
			c.rejectHeartbeat(in.Request, heartbeatOfRestartedWorker)
		default:
			c.respondOnceFenced(in, deadline)
		}
	})
}

// mayHaveRestarted reports whether a heartbeat is from a worker that has restarted, or a late copy of
// one of the first heartbeats of the worker.
func (m *machine) mayHaveRestarted(heartbeat *wire.Heartbeat) bool {
	return heartbeat.Token == 0 && m.latestHeartbeat != nil && m.latestHeartbeat.Token > 0 && !m.newer(heartbeat, m.latestHeartbeat)
}

// noteAnswer checks the answer of a worker to a call. known was the machine's latest heartbeat when the
// call was made.
func (c *Controller) noteAnswer(machine *machine, known, answer *wire.Heartbeat) {
	if known == nil || machine.awaitsRestartFence() || machine.newer(answer, known) {
		return
	}
	c.metrics.count(countWorkerRestarts, 1)
	c.log.Info("worker restarted without its state", "machine_id", machine.id, "agent_epoch", answer.AgentEpoch,
		"known_agent_epoch", known.AgentEpoch, "sequence", answer.Sequence, "known_sequence", known.Sequence)
	c.fenceWorker(machine)
}

// noteRestartSeenByPeer notes a restart that a heartbeat shows which seems older than the latest one, if
// its worker had yet seen a higher token.
func (c *Controller) noteRestartSeenByPeer(machine *machine, heartbeat *wire.Heartbeat) {
	if !machine.awaitsRestartFence() && heartbeat.Token > machine.latestHeartbeat.Token {
		machine.restart.fence = heartbeat.Token
	}
}

// fenceWorker has the fencing token raised before a worker is answered again.
func (c *Controller) fenceWorker(machine *machine) {
	machine.restart.fencing = true
	c.fleet.restartedWorkers = append(c.fleet.restartedWorkers, machine)
	c.raiseRestartFence()
}

// raiseRestartFence raises the fencing token for all workers that wait for it. It does nothing while a
// raise is under way or the state store cannot be reached. The raise fails if another controller raises
// the token meanwhile, and is then repeated.
func (c *Controller) raiseRestartFence() {
	if len(c.fleet.restartedWorkers) == 0 || c.fleet.raisingRestartFence || !c.isDue(c.fleet.nextRestartFence) ||
		!c.storeReachable() || !c.cache.complete() {
		return
	}
	c.fleet.raisingRestartFence = true
	fence := c.cache.token + 1
	fenced := slices.Clone(c.fleet.restartedWorkers)
	c.commitTokenRaise(PriorityUrgent, func(result CommitResult) {
		c.fleet.raisingRestartFence = false
		if result.Outcome != Succeeded {
			c.fleet.nextRestartFence = c.now.Add(commitRetryDelay)
			return
		}
		for _, machine := range fenced {
			machine.restart = workerRestart{fence: fence}
		}
		c.fleet.restartedWorkers = slices.Clone(c.fleet.restartedWorkers[len(fenced):])
	})
}
