package simulation

import (
	"fmt"
	"time"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

// keptReport is a copy of a report that was held up on its way.
type keptReport struct {
	report *wire.Heartbeat
	at     controller.Time
}

const giveUp = 1500 * time.Millisecond

// remote carries a call out somewhere else, with all that may go wrong:
// exec runs there; lost is the result if no answer comes.
func (w *World) remote(n *node, gen int, id controller.CallID, lost controller.Result, exec func() controller.Result) {
	if w.rng.Float64() < w.Loss {
		w.returned(n, gen, giveUp, id, lost)
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
		w.returned(n, gen, w.latency(), id, result)
		if w.rng.Float64() < w.Loss/2 { // a late copy
			w.after(time.Duration(w.rng.IntN(30_000))*time.Millisecond, func() { exec() })
		}
	})
}

// direct carries out a call to a worker; a hanging one carries it out later.
func (w *World) direct(n *node, id controller.CallID, addr string, timeout time.Duration, exec func(*machine) controller.WorkerResponse) {
	gen := n.gen
	open := true
	n.calls++
	n.most = max(n.most, n.calls)
	finish := func(d time.Duration, a controller.WorkerResponse) {
		if open {
			open = false
			if n.gen == gen {
				n.calls--
			}
			w.returned(n, gen, d, id, a)
		}
	}
	w.after(timeout, func() { finish(0, controller.WorkerResponse{Outcome: controller.Unknown}) })
	m := w.byID[wire.MachineID(addr)]
	if m != nil && w.apart(m.zone, n) {
		return
	}
	if m == nil || m.dead || m.inboundCut || w.NoDirect || w.CutWorkers[n.index] {
		return
	}
	deliver := func() { m.act(func() { finish(w.latency(), exec(m)) }) }
	d := w.latency()
	if w.rng.Float64() < w.Loss {
		d = time.Duration(w.rng.IntN(30_000)) * time.Millisecond
		w.Seen[fmt.Sprint("call held up, rig-", n.index)]++
	}
	w.after(d, deliver)
	if w.rng.Float64() < w.Loss/2 {
		w.after(time.Duration(w.rng.IntN(30_000))*time.Millisecond, deliver)
	}
}

// apart reports whether a cut lies between a zone's machines and a controller.
func (w *World) apart(zone string, n *node) bool {
	return w.CutZone != "" && (zone == w.CutZone) != (n.index == w.InZone)
}

// CutOff cuts a zone and the controller in it off from everything for a while.
func (w *World) CutOff(zone string, inside int, d time.Duration) {
	w.CutZone, w.InZone = zone, inside
	w.CutState[inside], w.CutPeers[inside] = true, true
	w.At(d, func() {
		w.CutZone = ""
		delete(w.CutState, inside)
		delete(w.CutPeers, inside)
	})
}

// lineLate has a copy of a line come late, perhaps.
func (w *World) lineLate(to *node, line wire.PeerMessage) {
	if w.LateLines == 0 || w.rng.Float64() >= w.LateLines {
		return
	}
	w.after(2*time.Second+time.Duration(w.rng.Int64N(int64(time.Minute))), func() {
		if to.core == nil {
			return
		}
		if line.Format < w.FormatInForce() && w.FormatInForce() > 1 {
			w.Seen["line of an earlier format"]++
		}
		w.step(to, controller.PeerMessageReceived{Message: &line})
	})
}

// toNode sends a request to a controller.
func (w *World) toNode(n *node, makeInput func(controller.RequestID) controller.Input, then func(controller.Reply)) {
	if r, fromWorker := makeInput(0).(controller.HeartbeatReceived); fromWorker && w.rng.Float64() < w.KeepReports {
		w.kept = append(w.kept, keptReport{r.Heartbeat, w.now})
	}
	if _, fromWorker := makeInput(0).(controller.HeartbeatReceived); fromWorker && w.rng.Float64() < w.LateReports {
		w.after(2*time.Second+time.Duration(w.rng.Int64N(int64(3*w.Lease))), func() {
			if n.core != nil && !w.CutWorkers[n.index] {
				n.request++
				w.step(n, makeInput(n.request))
			}
		})
	}
	if r, fromWorker := makeInput(0).(controller.HeartbeatReceived); fromWorker && w.apart(r.Heartbeat.Zone, n) {
		return
	}
	d := w.latency()
	if w.rng.Float64() < w.Loss {
		if w.rng.IntN(2) == 0 {
			return
		}
		d = time.Duration(w.rng.IntN(30_000)) * time.Millisecond
	}
	w.after(d, func() {
		if n.core == nil {
			return
		}
		in := makeInput(0)
		if _, fromWorker := in.(controller.HeartbeatReceived); fromWorker && w.CutWorkers[n.index] {
			return
		}
		n.request++
		n.replies[n.request] = then
		w.step(n, makeInput(n.request))
	})
}

// deliverKept hands the kept reports to all controllers, again and again while a
// controller that has just been started reads its state and begins to act.
func (w *World) deliverKept(began *node) {
	kept := w.kept
	w.kept = nil
	gen := began.gen
	for i := range 8 {
		w.after(time.Duration(i)*250*time.Millisecond, func() {
			for _, n := range w.nodes {
				for _, k := range kept {
					if n.core == nil || began.gen != gen {
						continue
					}
					if n == began && n.core.Healthy() {
						w.Seen["kept report at a new controller"]++
						if m := w.byID[k.report.Machine]; m != nil && k.report.AgentEpoch < m.session {
							w.Seen["report of an earlier session"]++
						}
					}
					n.request++
					w.step(n, controller.HeartbeatReceived{Request: n.request, Heartbeat: k.report})
				}
			}
		})
	}
}
