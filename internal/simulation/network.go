package simulation

import (
	"time"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

const (
	// callTimeout is the time after which a controller gives up a call to the store or the
	// cloud.
	callTimeout = 1500 * time.Millisecond
	// commandTimeout and probeTimeout are the times after which a controller gives up
	// commands to workers and probes of them.
	commandTimeout = 2 * time.Second
	probeTimeout   = 800 * time.Millisecond

	// maxRequestDelay bounds the delay of calls and requests that arrive late, and of late
	// copies of them. maxLostCallDelay bounds the delay of calls to the store or the cloud
	// that get no answer and are executed late.
	maxRequestDelay  = 30 * time.Second
	maxLostCallDelay = 40 * time.Second

	// minCopyDelay is the shortest delay of copies of heartbeats and peer messages.
	// maxPeerCopyDelay bounds the random delay that is added for peer messages.
	minCopyDelay     = 2 * time.Second
	maxPeerCopyDelay = time.Minute

	// replayCount is the number of times that recorded heartbeats are replayed after a
	// controller has started, replayInterval apart. The replays cover the time in which the
	// controller loads its state and begins to act.
	replayCount    = 8
	replayInterval = 250 * time.Millisecond
)

// randomLatency returns the random latency of one message. Most messages take milliseconds,
// a few take up to 0.3 s more.
func (c *Cluster) randomLatency() time.Duration {
	d := time.Duration(500+c.rng.IntN(2500)) * time.Microsecond
	if c.rng.IntN(200) == 0 {
		d += time.Duration(c.rng.IntN(300)) * time.Millisecond
	}
	return d
}

// callRemote executes a call at the store or the cloud. The argument lost is the result if no
// answer arrives. A call without an answer is executed in time, late, or not at all. Some of
// the answered calls are executed a second time late, as if the network had duplicated them.
func (c *Cluster) callRemote(call pendingCall, lost controller.Result, execute func() controller.Result) {
	if c.rng.Float64() < c.MessageLoss {
		c.completeCall(call, callTimeout, lost)
		switch c.rng.IntN(3) {
		case 0: // only the answer is lost
			c.after(c.randomLatency(), func() { execute() })
		case 1:
			c.after(c.randomDelay(maxLostCallDelay), func() { execute() })
		}
		return
	}
	c.after(c.randomLatency(), func() {
		result := execute()
		c.completeCall(call, c.randomLatency(), result)
		if c.rng.Float64() < c.MessageLoss/2 {
			c.after(c.randomDelay(maxRequestDelay), func() { execute() })
		}
	})
}

// callWorker executes a direct call at a worker. A worker that hangs executes the call once
// it resumes. The caller gives up after the timeout, and later executions are not answered.
func (c *Cluster) callWorker(process *controllerProcess, id controller.CallID, addr string, timeout time.Duration, execute func(*fakeMachine) controller.WorkerResponse) {
	call := newCall(process, id)
	open := true
	process.directCalls++
	process.maxDirectCalls = max(process.maxDirectCalls, process.directCalls)
	finish := func(d time.Duration, response controller.WorkerResponse) {
		if !open {
			return
		}
		open = false
		if !call.callerEnded() {
			process.directCalls--
		}
		c.completeCall(call, d, response)
	}
	c.after(timeout, func() { finish(0, controller.WorkerResponse{Outcome: controller.Unknown}) })
	machine := c.machinesByAddr[addr]
	if machine == nil || !c.reachesWorker(process, machine) {
		return
	}
	deliver := func() { machine.deliver(func() { finish(c.randomLatency(), execute(machine)) }) }
	d := c.randomLatency()
	if c.rng.Float64() < c.MessageLoss {
		d = c.randomDelay(maxRequestDelay)
		c.Observed[delayedDirectCall(process.index)]++
	}
	c.after(d, deliver)
	if c.rng.Float64() < c.MessageLoss/2 {
		c.after(c.randomDelay(maxRequestDelay), deliver)
	}
	c.copyDirectCall(addr, execute)
}

// reachesWorker reports whether a direct call of a controller reaches the worker of a
// machine.
func (c *Cluster) reachesWorker(process *controllerProcess, machine *fakeMachine) bool {
	return !machine.terminated && !machine.inboundPartitioned && !c.DropDirectCalls &&
		!c.WorkersPartitioned[process.index] && !c.isPartitioned(machine.zone, process)
}

// broadcast sends a message to all peers of a controller.
func (c *Cluster) broadcast(process *controllerProcess, message *wire.PeerMessage) {
	c.checkPeerMessage(message)
	for _, peer := range c.controllers {
		if peer == process || peer.controller == nil || c.PeersPartitioned[process.index] || c.PeersPartitioned[peer.index] {
			continue
		}
		if c.rng.Float64() >= max(c.MessageLoss, c.PeerMessageLoss) {
			c.sendPeerMessage(peer, *message)
		}
	}
}

func (c *Cluster) sendPeerMessage(receiver *controllerProcess, message wire.PeerMessage) {
	generation := receiver.generation
	c.after(c.randomLatency(), func() {
		if receiver.generation == generation {
			c.step(receiver, controller.PeerMessageReceived{Message: &message})
		}
	})
	c.duplicatePeerMessage(receiver, message)
}

// duplicatePeerMessage delivers late copies of some peer messages.
func (c *Cluster) duplicatePeerMessage(receiver *controllerProcess, message wire.PeerMessage) {
	if c.DuplicatedPeerMessages == 0 || c.rng.Float64() >= c.DuplicatedPeerMessages {
		return
	}
	c.after(minCopyDelay+time.Duration(c.rng.Int64N(int64(maxPeerCopyDelay))), func() {
		if receiver.controller == nil {
			return
		}
		if message.Format < c.ActiveFormat() && c.ActiveFormat() > 1 {
			c.Observed[peerMessageOfEarlierFormat]++
		}
		c.step(receiver, controller.PeerMessageReceived{Message: &message})
	})
}

// sendToController sends a request to a controller and calls then with the reply. The
// request may be lost or delayed. If it is a worker's heartbeat, it may also be duplicated,
// or recorded for a replay.
func (c *Cluster) sendToController(process *controllerProcess, newInput inputFactory, then func(controller.Reply)) {
	heartbeat, fromWorker := newInput(0).(controller.HeartbeatReceived)
	if fromWorker {
		c.copyHeartbeat(process, heartbeat.Heartbeat, newInput)
		if c.isPartitioned(heartbeat.Heartbeat.Zone, process) {
			return
		}
	}
	d := c.randomLatency()
	if c.rng.Float64() < c.MessageLoss {
		if c.rng.IntN(2) == 0 {
			return
		}
		d = c.randomDelay(maxRequestDelay)
	}
	c.after(d, func() {
		if process.controller == nil || fromWorker && c.WorkersPartitioned[process.index] {
			return
		}
		c.deliverRequest(process, newInput, then)
	})
}

// copyHeartbeat records some heartbeats for a replay, and delivers late copies of some.
func (c *Cluster) copyHeartbeat(process *controllerProcess, heartbeat *wire.Heartbeat, newInput inputFactory) {
	if c.rng.Float64() < c.ReplayedHeartbeats {
		c.recordedHeartbeats = append(c.recordedHeartbeats, heartbeat)
	}
	if c.rng.Float64() >= c.DuplicatedHeartbeats {
		return
	}
	c.after(minCopyDelay+time.Duration(c.rng.Int64N(int64(3*c.Lease))), func() {
		if process.controller != nil && !c.WorkersPartitioned[process.index] {
			c.deliverRequest(process, newInput, nil)
		}
	})
}

// replayHeartbeats replays the recorded heartbeats to all controllers several times, while
// a controller that has just started loads its state and begins to act.
func (c *Cluster) replayHeartbeats(started *controllerProcess) {
	recorded := c.recordedHeartbeats
	c.recordedHeartbeats = nil
	generation := started.generation
	for i := range replayCount {
		c.after(time.Duration(i)*replayInterval, func() {
			for _, process := range c.controllers {
				for _, heartbeat := range recorded {
					if process.controller != nil && started.generation == generation {
						c.replayHeartbeat(process, heartbeat, process == started)
					}
				}
			}
		})
	}
}

// replayHeartbeat replays a heartbeat to a controller. The flag justStarted marks the
// controller whose start led to the replay.
func (c *Cluster) replayHeartbeat(process *controllerProcess, heartbeat *wire.Heartbeat, justStarted bool) {
	if justStarted && process.controller.Healthy() {
		c.Observed[replayToNewController]++
		if machine := c.machinesByID[heartbeat.Machine]; machine != nil && heartbeat.AgentEpoch < machine.agentEpoch {
			c.Observed[replayOfEarlierEpoch]++
		}
	}
	c.deliverRequest(process, func(id controller.RequestID) controller.Input {
		return controller.HeartbeatReceived{Request: id, Heartbeat: heartbeat}
	}, nil)
}
