package simulation

import (
	"time"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

// recordedHeartbeat is a copy of a report that was held up on its way.
type recordedHeartbeat struct {
	heartbeat *wire.Heartbeat
	at        controller.Time
}

const callTimeout = 1500 * time.Millisecond

// callRemote carries a call out somewhere else, with all that may go wrong:
// exec runs there; lost is the result if no answer comes.
func (c *Cluster) callRemote(process *controllerProcess, generation int, call controller.CallID, lost controller.Result, exec func() controller.Result) {
	if c.rng.Float64() < c.MessageLoss {
		c.completeCall(process, generation, callTimeout, call, lost)
		switch c.rng.IntN(3) {
		case 0: // carried out, but the answer is lost
			c.after(c.latency(), func() { exec() })
		case 1: // held up, and carried out long after
			c.after(time.Duration(c.rng.IntN(40_000))*time.Millisecond, func() { exec() })
		}
		return
	}
	c.after(c.latency(), func() {
		result := exec()
		c.completeCall(process, generation, c.latency(), call, result)
		if c.rng.Float64() < c.MessageLoss/2 { // a late copy
			c.after(time.Duration(c.rng.IntN(30_000))*time.Millisecond, func() { exec() })
		}
	})
}

// callWorker carries out a call to a worker; a hanging one carries it out later.
func (c *Cluster) callWorker(process *controllerProcess, call controller.CallID, addr string, timeout time.Duration, exec func(*fakeMachine) controller.WorkerResponse) {
	generation := process.generation
	open := true
	process.directCalls++
	process.maxDirectCalls = max(process.maxDirectCalls, process.directCalls)
	finish := func(d time.Duration, response controller.WorkerResponse) {
		if open {
			open = false
			if process.generation == generation {
				process.directCalls--
			}
			c.completeCall(process, generation, d, call, response)
		}
	}
	c.after(timeout, func() { finish(0, controller.WorkerResponse{Outcome: controller.Unknown}) })
	machine := c.machinesByID[wire.MachineID(addr)]
	if machine != nil && c.isPartitioned(machine.zone, process) {
		return
	}
	if machine == nil || machine.terminated || machine.inboundPartitioned || c.DropDirectCalls || c.WorkersPartitioned[process.index] {
		return
	}
	deliver := func() { machine.deliver(func() { finish(c.latency(), exec(machine)) }) }
	d := c.latency()
	if c.rng.Float64() < c.MessageLoss {
		d = time.Duration(c.rng.IntN(30_000)) * time.Millisecond
		c.Observed[delayedDirectCall(process.index)]++
	}
	c.after(d, deliver)
	if c.rng.Float64() < c.MessageLoss/2 {
		c.after(time.Duration(c.rng.IntN(30_000))*time.Millisecond, deliver)
	}
}

// isPartitioned reports whether a cut lies between a zone's machines and a controller.
func (c *Cluster) isPartitioned(zone string, process *controllerProcess) bool {
	return c.PartitionedZone != "" && (zone == c.PartitionedZone) != (process.index == c.ControllerInZone)
}

// PartitionZone cuts a zone and the controller in it off from everything for a while.
func (c *Cluster) PartitionZone(zone string, inside int, d time.Duration) {
	c.PartitionedZone, c.ControllerInZone = zone, inside
	c.StorePartitioned[inside], c.PeersPartitioned[inside] = true, true
	c.At(d, func() {
		c.PartitionedZone = ""
		delete(c.StorePartitioned, inside)
		delete(c.PeersPartitioned, inside)
	})
}

// duplicatePeerMessage has a copy of a line come late, perhaps.
func (c *Cluster) duplicatePeerMessage(receiver *controllerProcess, message wire.PeerMessage) {
	if c.DuplicatedPeerMessages == 0 || c.rng.Float64() >= c.DuplicatedPeerMessages {
		return
	}
	c.after(2*time.Second+time.Duration(c.rng.Int64N(int64(time.Minute))), func() {
		if receiver.controller == nil {
			return
		}
		if message.Format < c.ActiveFormat() && c.ActiveFormat() > 1 {
			c.Observed[peerMessageOfEarlierFormat]++
		}
		c.step(receiver, controller.PeerMessageReceived{Message: &message})
	})
}

// sendToController sends a request to a controller.
func (c *Cluster) sendToController(process *controllerProcess, newInput func(controller.RequestID) controller.Input, then func(controller.Reply)) {
	if r, fromWorker := newInput(0).(controller.HeartbeatReceived); fromWorker && c.rng.Float64() < c.ReplayedHeartbeats {
		c.recordedHeartbeats = append(c.recordedHeartbeats, recordedHeartbeat{r.Heartbeat, c.now})
	}
	if _, fromWorker := newInput(0).(controller.HeartbeatReceived); fromWorker && c.rng.Float64() < c.DuplicatedHeartbeats {
		c.after(2*time.Second+time.Duration(c.rng.Int64N(int64(3*c.Lease))), func() {
			if process.controller != nil && !c.WorkersPartitioned[process.index] {
				process.lastRequest++
				c.step(process, newInput(process.lastRequest))
			}
		})
	}
	if r, fromWorker := newInput(0).(controller.HeartbeatReceived); fromWorker && c.isPartitioned(r.Heartbeat.Zone, process) {
		return
	}
	d := c.latency()
	if c.rng.Float64() < c.MessageLoss {
		if c.rng.IntN(2) == 0 {
			return
		}
		d = time.Duration(c.rng.IntN(30_000)) * time.Millisecond
	}
	c.after(d, func() {
		if process.controller == nil {
			return
		}
		in := newInput(0)
		if _, fromWorker := in.(controller.HeartbeatReceived); fromWorker && c.WorkersPartitioned[process.index] {
			return
		}
		process.lastRequest++
		process.replyHandlers[process.lastRequest] = then
		c.step(process, newInput(process.lastRequest))
	})
}

// replayHeartbeats hands the kept reports to all controllers, again and again while a
// controller that has just been started reads its state and begins to act.
func (c *Cluster) replayHeartbeats(began *controllerProcess) {
	kept := c.recordedHeartbeats
	c.recordedHeartbeats = nil
	generation := began.generation
	for i := range 8 {
		c.after(time.Duration(i)*250*time.Millisecond, func() {
			for _, process := range c.controllers {
				for _, recorded := range kept {
					if process.controller == nil || began.generation != generation {
						continue
					}
					if process == began && process.controller.Healthy() {
						c.Observed[replayToNewController]++
						if machine := c.machinesByID[recorded.heartbeat.Machine]; machine != nil && recorded.heartbeat.AgentEpoch < machine.agentEpoch {
							c.Observed[replayOfEarlierEpoch]++
						}
					}
					process.lastRequest++
					c.step(process, controller.HeartbeatReceived{Request: process.lastRequest, Heartbeat: recorded.heartbeat})
				}
			}
		})
	}
}
