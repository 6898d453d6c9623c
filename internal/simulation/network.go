package simulation

import (
	"fmt"
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
func (w *Cluster) callRemote(n *controllerProcess, gen int, id controller.CallID, lost controller.Result, exec func() controller.Result) {
	if w.rng.Float64() < w.MessageLoss {
		w.completeCall(n, gen, callTimeout, id, lost)
		switch w.rng.IntN(3) {
		case 0: // carried out, but the answer is lost
			w.after(w.latency(), func() { exec() })
		case 1: // held up, and carried out long after
			w.after(time.Duration(w.rng.IntN(40_000))*time.Millisecond, func() { exec() })
		}
		return
	}
	w.after(w.latency(), func() {
		result := exec()
		w.completeCall(n, gen, w.latency(), id, result)
		if w.rng.Float64() < w.MessageLoss/2 { // a late copy
			w.after(time.Duration(w.rng.IntN(30_000))*time.Millisecond, func() { exec() })
		}
	})
}

// callWorker carries out a call to a worker; a hanging one carries it out later.
func (w *Cluster) callWorker(n *controllerProcess, id controller.CallID, addr string, timeout time.Duration, exec func(*fakeMachine) controller.WorkerResponse) {
	gen := n.generation
	open := true
	n.directCalls++
	n.maxDirectCalls = max(n.maxDirectCalls, n.directCalls)
	finish := func(d time.Duration, a controller.WorkerResponse) {
		if open {
			open = false
			if n.generation == gen {
				n.directCalls--
			}
			w.completeCall(n, gen, d, id, a)
		}
	}
	w.after(timeout, func() { finish(0, controller.WorkerResponse{Outcome: controller.Unknown}) })
	m := w.machinesByID[wire.MachineID(addr)]
	if m != nil && w.isPartitioned(m.zone, n) {
		return
	}
	if m == nil || m.terminated || m.inboundPartitioned || w.DropDirectCalls || w.WorkersPartitioned[n.index] {
		return
	}
	deliver := func() { m.deliver(func() { finish(w.latency(), exec(m)) }) }
	d := w.latency()
	if w.rng.Float64() < w.MessageLoss {
		d = time.Duration(w.rng.IntN(30_000)) * time.Millisecond
		w.Observed[fmt.Sprint("call held up, rig-", n.index)]++
	}
	w.after(d, deliver)
	if w.rng.Float64() < w.MessageLoss/2 {
		w.after(time.Duration(w.rng.IntN(30_000))*time.Millisecond, deliver)
	}
}

// isPartitioned reports whether a cut lies between a zone's machines and a controller.
func (w *Cluster) isPartitioned(zone string, n *controllerProcess) bool {
	return w.PartitionedZone != "" && (zone == w.PartitionedZone) != (n.index == w.ControllerInZone)
}

// PartitionZone cuts a zone and the controller in it off from everything for a while.
func (w *Cluster) PartitionZone(zone string, inside int, d time.Duration) {
	w.PartitionedZone, w.ControllerInZone = zone, inside
	w.StorePartitioned[inside], w.PeersPartitioned[inside] = true, true
	w.At(d, func() {
		w.PartitionedZone = ""
		delete(w.StorePartitioned, inside)
		delete(w.PeersPartitioned, inside)
	})
}

// duplicatePeerMessage has a copy of a line come late, perhaps.
func (w *Cluster) duplicatePeerMessage(to *controllerProcess, line wire.PeerMessage) {
	if w.DuplicatedPeerMessages == 0 || w.rng.Float64() >= w.DuplicatedPeerMessages {
		return
	}
	w.after(2*time.Second+time.Duration(w.rng.Int64N(int64(time.Minute))), func() {
		if to.controller == nil {
			return
		}
		if line.Format < w.ActiveFormat() && w.ActiveFormat() > 1 {
			w.Observed["line of an earlier format"]++
		}
		w.step(to, controller.PeerMessageReceived{Message: &line})
	})
}

// sendToController sends a request to a controller.
func (w *Cluster) sendToController(n *controllerProcess, makeInput func(controller.RequestID) controller.Input, then func(controller.Reply)) {
	if r, fromWorker := makeInput(0).(controller.HeartbeatReceived); fromWorker && w.rng.Float64() < w.ReplayedHeartbeats {
		w.recordedHeartbeats = append(w.recordedHeartbeats, recordedHeartbeat{r.Heartbeat, w.now})
	}
	if _, fromWorker := makeInput(0).(controller.HeartbeatReceived); fromWorker && w.rng.Float64() < w.DuplicatedHeartbeats {
		w.after(2*time.Second+time.Duration(w.rng.Int64N(int64(3*w.Lease))), func() {
			if n.controller != nil && !w.WorkersPartitioned[n.index] {
				n.lastRequest++
				w.step(n, makeInput(n.lastRequest))
			}
		})
	}
	if r, fromWorker := makeInput(0).(controller.HeartbeatReceived); fromWorker && w.isPartitioned(r.Heartbeat.Zone, n) {
		return
	}
	d := w.latency()
	if w.rng.Float64() < w.MessageLoss {
		if w.rng.IntN(2) == 0 {
			return
		}
		d = time.Duration(w.rng.IntN(30_000)) * time.Millisecond
	}
	w.after(d, func() {
		if n.controller == nil {
			return
		}
		in := makeInput(0)
		if _, fromWorker := in.(controller.HeartbeatReceived); fromWorker && w.WorkersPartitioned[n.index] {
			return
		}
		n.lastRequest++
		n.replyHandlers[n.lastRequest] = then
		w.step(n, makeInput(n.lastRequest))
	})
}

// replayHeartbeats hands the kept reports to all controllers, again and again while a
// controller that has just been started reads its state and begins to act.
func (w *Cluster) replayHeartbeats(began *controllerProcess) {
	kept := w.recordedHeartbeats
	w.recordedHeartbeats = nil
	gen := began.generation
	for i := range 8 {
		w.after(time.Duration(i)*250*time.Millisecond, func() {
			for _, n := range w.controllers {
				for _, k := range kept {
					if n.controller == nil || began.generation != gen {
						continue
					}
					if n == began && n.controller.Healthy() {
						w.Observed["kept report at a new controller"]++
						if m := w.machinesByID[k.heartbeat.Machine]; m != nil && k.heartbeat.AgentEpoch < m.agentEpoch {
							w.Observed["report of an earlier session"]++
						}
					}
					n.lastRequest++
					w.step(n, controller.HeartbeatReceived{Request: n.lastRequest, Heartbeat: k.heartbeat})
				}
			}
		})
	}
}
