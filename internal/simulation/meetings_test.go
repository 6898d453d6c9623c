package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// meeting is two troubles that meet. play brings them about within 100 seconds, on a
// world of nine to thirteen machines on which work runs; seen is what the world must
// have counted for the meeting to have taken place, summed over the seeds.
type meeting struct {
	name string
	set  func(*config.Settings)
	play func(w *World)
	seen map[string]int
}

const second = time.Second

// steady submits arrays, gangs and services, one job each half second, some of them
// called off after a while.
func steady(w *World, jobs int, cancelEvery int) {
	for n := range jobs {
		spec, run := job(n, n%8)
		at := 2*second + time.Duration(n)*second/2
		w.At(at, func() { w.Submit(spec, run) })
		if cancelEvery > 0 && n%cancelEvery == 0 || spec.Shape == wire.ShapeService {
			w.At(at+time.Duration(3+n%9)*second, func() { w.CancelJob(spec.ID) })
		}
	}
}

// small submits jobs of one task each, four a second, a quarter of them called off.
func small(w *World, jobs int) {
	for n := range jobs {
		spec, _ := job(n, 0)
		spec.Tasks = 1
		at := 2*second + time.Duration(n)*second/4
		w.At(at, func() { w.Submit(spec, time.Duration(1+n%3)*second) })
		if n%4 == 0 {
			w.At(at+time.Duration(n%5)*second/2, func() { w.CancelJob(spec.ID) })
		}
	}
}

// long submits jobs of long tasks that fill what their teams may use, and calls every
// other off at the given moment.
func long(w *World, jobs int, cancelAt time.Duration) {
	for n := range jobs {
		spec, _ := job(n, 0)
		spec.Tasks = 3
		w.At(2*second, func() { w.Submit(spec, 60*second) })
		if n%2 == 0 {
			w.At(cancelAt+time.Duration(n)*50*time.Millisecond, func() { w.CancelJob(spec.ID) })
		}
	}
}

// tight has teams reach their limits with what there is to do.
func tight(set *config.Settings) {
	for i := range set.Cluster.Teams {
		set.Cluster.Teams[i].CPUsMax = 12
	}
}

// restart ends a controller and has it back after a while.
func (w *World) restart(i int, after time.Duration) {
	w.Seen["restart"]++
	w.Stop(i)
	w.At(after, func() { w.Start(i) })
}

// restartBuyer ends the controller that buys, or another if there is none.
func (w *World) restartBuyer(after time.Duration) { w.restart(max(0, w.buyer()), after) }

func (w *World) outage(d time.Duration) {
	w.StateDown = true
	w.At(d, func() { w.StateDown = false; w.store.RenewAll(w.now) })
}

func (w *World) stateCut(i int, d time.Duration) {
	w.CutState[i] = true
	w.At(d, func() { delete(w.CutState, i) })
}

// whileBusy has something happen to all machines with tasks whose number divides.
func (w *World) whileBusy(every int, f func(*machine)) {
	for i, m := range w.machines {
		if len(m.tasks) > 0 && !m.dead && i%every == 0 {
			f(m)
		}
	}
}

var meetings = []meeting{
	{name: "late writes and leaders that end", seen: map[string]int{"unanswered write": 15, "restart": 8}, play: func(w *World) {
		w.LateWrites = 0.3
		steady(w, 60, 4)
		w.At(15*second, func() { w.restartBuyer(3 * second) })
		w.At(32*second, func() { w.restartBuyer(300 * time.Millisecond) })
		w.At(60*second, func() { w.LateWrites = 0 })
	}},
	{name: "answers of writes lost while all ask", seen: map[string]int{"unanswered write": 15, "close look": 1000}, play: func(w *World) {
		w.LateWrites, w.LateAtOnce, w.CloseLooks = 0.3, true, true
		steady(w, 60, 5)
		w.At(60*second, func() { w.LateWrites = 0 })
	}},
	{name: "late writes while all ask", seen: map[string]int{"unanswered write": 15, "close look": 1000}, play: func(w *World) {
		w.LateWrites, w.CloseLooks = 0.2, true
		steady(w, 60, 5)
		w.At(60*second, func() { w.LateWrites = 0 })
	}},
	{name: "old reports as a leader begins", seen: map[string]int{"kept report at a new controller": 100, "restart": 12}, play: func(w *World) {
		w.KeepReports, w.LateReports = 0.2, 0.1
		steady(w, 60, 4)
		for i := range 3 {
			w.At(time.Duration(14+13*i)*second, func() { w.restartBuyer(time.Duration(i) * second) })
		}
		w.At(60*second, func() { w.KeepReports, w.LateReports = 0, 0 })
	}},
	{name: "reports of earlier sessions as a leader begins", seen: map[string]int{"report of an earlier session": 20}, play: func(w *World) {
		steady(w, 60, 4)
		w.At(10*second, func() { w.KeepReports = 0.5 })
		w.At(20*second, func() {
			for i := range w.nodes {
				w.restart(i, 20*second) // all are away for longer than a lease
			}
		})
		w.At(70*second, func() { w.KeepReports = 0 })
	}},
	{name: "called off and asked about at the end", seen: map[string]int{"cancelled at its end": 100, "close look": 1000}, play: func(w *World) {
		w.CancelAtEnd, w.CloseLooks = 0.7, true
		steady(w, 80, 0)
	}},
	{name: "small jobs, a quarter called off", seen: map[string]int{"withdrawn": 100}, play: func(w *World) {
		small(w, 240)
	}},
	{name: "small jobs, called off, looked at, and a leader that ends", seen: map[string]int{"withdrawn": 50, "restart": 8}, play: func(w *World) {
		small(w, 200)
		w.CloseLooks = true
		w.At(20*second, func() { w.restartBuyer(3 * second) })
		w.At(36*second, func() { w.restartBuyer(200 * time.Millisecond) })
	}},
	{name: "a leader cut off with users and workers, jobs called off by another", seen: map[string]int{"withdrawn": 20, "leader cut off": 4}, play: func(w *World) {
		long(w, 10, 21*second)
		w.At(20*second, func() {
			n := max(0, w.buyer())
			w.Seen["leader cut off"]++
			w.CutPeers[n] = true
			for _, m := range w.machines {
				m.node = n
			}
			w.stateCut(n, 45*second)
			w.At(45*second, func() { delete(w.CutPeers, n) })
		})
	}},
	{name: "called off while work changes hands", seen: map[string]int{"withdrawn": 20, "restart": 8}, play: func(w *World) {
		long(w, 10, 20500*time.Millisecond)
		w.At(20*second, func() { w.restart(0, 6*second) })
		w.At(21*second, func() { w.restart(1, 400*time.Millisecond) })
	}},
	{name: "at the limit, machines hang at their cancellation, leaders change", set: tight, seen: map[string]int{"machine hung at a cancellation": 8, "restart": 4, "at a limit": 8}, play: func(w *World) {
		w.HangAtCancel = 25 * second
		long(w, 16, 20*second)
		w.At(19*second, w.noteLimits)
		w.At(20500*time.Millisecond, func() { w.restartBuyer(3 * second) })
		w.At(45*second, func() { w.HangAtCancel = 0 })
	}},
	{name: "at the limit, machines deaf at a cancellation, leaders change", set: tight, seen: map[string]int{"withdrawn": 20, "restart": 4, "at a limit": 8}, play: func(w *World) {
		long(w, 16, 20*second)
		w.At(19*second, func() {
			w.noteLimits()
			w.whileBusy(2, func(m *machine) { m.inboundCut = true; w.At(30*second, func() { m.inboundCut = false }) })
		})
		w.At(20500*time.Millisecond, func() { w.restartBuyer(3 * second) })
	}},
	{name: "at the limit, machines cut off at a cancellation, leaders change", set: tight, seen: map[string]int{"withdrawn": 20, "restart": 4, "at a limit": 8}, play: func(w *World) {
		long(w, 16, 20*second)
		w.At(19*second, func() { w.noteLimits(); w.CutOff(zones[0], 2, 35*second) })
		w.At(20500*time.Millisecond, func() { w.restart(0, 3*second) })
	}},
	{name: "hand over and back, all end, one is back at once", seen: map[string]int{"restart": 20}, play: func(w *World) {
		steady(w, 60, 4)
		w.At(12*second, func() { w.restartBuyer(3 * second) })
		w.At(20*second, func() { w.restartBuyer(3 * second) })
		w.At(30*second, func() {
			for i := range w.nodes {
				w.restart(i, []time.Duration{400 * time.Millisecond, 4 * second, 9 * second}[i])
			}
		})
	}},
	{name: "a leader ends while machines with long tasks hang or are deaf", seen: map[string]int{"restart": 4, "out of reach": 8}, play: func(w *World) {
		long(w, 10, 30*second)
		w.At(20*second, func() {
			w.whileBusy(2, func(m *machine) {
				w.Seen["out of reach"]++
				if len(m.tasks)%2 == 0 {
					m.hung = true
					w.At(9*second, m.resume)
				} else {
					m.inboundCut = true
					w.At(20*second, func() { m.inboundCut = false })
				}
			})
			w.restartBuyer(3 * second)
		})
	}},
	{name: "mute machines, jobs called off", seen: map[string]int{"out of reach": 8, "withdrawn": 20}, play: func(w *World) {
		long(w, 10, 21*second)
		w.At(20*second, func() {
			w.whileBusy(2, func(m *machine) {
				w.Seen["out of reach"]++
				m.outboundCut = true
				w.At(30*second, func() { m.outboundCut = false })
			})
		})
	}},
	{name: "all away for longer than a lease", seen: map[string]int{"restart": 12, "withdrawn": 10}, play: func(w *World) {
		steady(w, 60, 4)
		w.At(20*second, func() {
			for i := range w.nodes {
				w.restart(i, w.Lease+5*second+time.Duration(i)*400*time.Millisecond)
			}
		})
	}},
	{name: "leaders change ten times, also in an outage", seen: map[string]int{"restart": 40, "withdrawn": 20}, play: func(w *World) {
		steady(w, 80, 4)
		for i := range 10 {
			w.At(time.Duration(10+8*i)*second, func() { w.restartBuyer(time.Duration(200+700*(i%4)) * time.Millisecond) })
		}
		w.At(40*second, func() { w.outage(25 * second) })
	}},
	{name: "a zone cut off with a controller", seen: map[string]int{"withdrawn": 20}, play: func(w *World) {
		steady(w, 60, 3)
		w.At(15*second, func() { w.CutOff(zones[1], 1, w.Lease+20*second) })
	}},
	{name: "ends far apart across a change of leader", seen: map[string]int{"restart": 12}, play: func(w *World) {
		for n := range 12 {
			spec, _ := job(n, 0)
			spec.Tasks = 2 + n%2
			w.At(2*second, func() { w.SubmitUneven(spec, func(i int) time.Duration { return time.Duration(5+25*i) * second }) })
		}
		for i := range 3 {
			w.At(time.Duration(10+10*i)*second, func() { w.restartBuyer(3 * second) })
		}
	}},
	{name: "more work than room over slow links", seen: map[string]int{"withdrawn": 20}, play: func(w *World) {
		w.SlowState, w.Loss = 700*time.Millisecond, 0.02
		steady(w, 120, 4)
		w.At(70*second, func() { w.SlowState, w.Loss = 0, 0 })
	}},
	{name: "a slow state service, then refused, then away, while users call off", seen: map[string]int{"withdrawn": 20}, play: func(w *World) {
		w.CloseLooks = true
		long(w, 12, 24*second)
		w.At(15*second, func() { w.SlowState = 600 * time.Millisecond })
		w.At(23*second, func() { w.SlowState = 0; w.stateCut(max(0, w.buyer()), 20*second) })
		w.At(25200*time.Millisecond, func() { w.outage(w.Cancel + 8*second) })
	}},
	{name: "jobs of one zone lose machines", seen: map[string]int{"died": 8}, play: func(w *World) {
		for n := range 24 {
			spec, run := job(n, 7)
			w.At(time.Duration(2+n/2)*second, func() { w.Submit(spec, run+10*second) })
		}
		for i := range 3 {
			w.At(time.Duration(8+6*i)*second, func() {
				for _, m := range w.machines {
					if len(m.tasks) > 0 && !m.dead {
						w.Seen["died"]++
						m.vanish()
						break
					}
				}
			})
		}
	}},
	{name: "commands and answers held up", seen: map[string]int{"withdrawn": 20}, play: func(w *World) {
		w.Loss = 0.15 // half of what is not lost outright comes late
		steady(w, 60, 4)
		w.At(60*second, func() { w.Loss = 0 })
	}},
	{name: "machines up at once, writes lag, the leader ends", seen: map[string]int{"unanswered write": 12, "restart": 8}, play: func(w *World) {
		w.Boot = func(string, string) time.Duration { return second }
		w.LateWrites, w.SlowState = 0.2, 300*time.Millisecond
		steady(w, 60, 4)
		w.At(9*second, func() { w.restartBuyer(3 * second) })
		w.At(22*second, func() { w.restartBuyer(500 * time.Millisecond) })
		w.At(60*second, func() { w.LateWrites, w.SlowState = 0, 0 })
	}},
	{name: "machines hang at a cancellation in an outage", seen: map[string]int{"machine hung at a cancellation": 8}, play: func(w *World) {
		w.HangAtCancel = 60 * second
		long(w, 10, 19500*time.Millisecond)
		w.At(20600*time.Millisecond, func() { w.outage(w.Cancel + 5*second) })
		w.At(40*second, func() { w.HangAtCancel = 0 })
	}},
	{name: "all end while machines hang with withdrawn work", seen: map[string]int{"machine hung at a cancellation": 8, "restart": 12, "withdrawn": 8}, play: func(w *World) {
		w.HangAtCancel = 60 * second
		long(w, 10, 18*second)
		w.At(21*second, func() {
			w.CutWorkers = map[int]bool{0: true, 1: true, 2: true}
			w.At(25*second, func() { w.CutWorkers = map[int]bool{} })
		})
		w.At(30*second, func() {
			w.HangAtCancel = 0
			for i := range w.nodes {
				w.restart(i, 3*second)
			}
			w.outage(22 * second)
		})
	}},
	{name: "odd requests while leaders change", seen: map[string]int{"refused for good": 20, "submitted again": 100, "cancelled when done": 100, "restart": 8}, play: func(w *World) {
		w.types = append(slices.Clone(w.types), wire.MachineType{Name: "x2", Cores: 64, MemGB: 64, OnDemandPrice: 3, SpotPrice: 1, StartupS: 5, Zones: zones[:1]})
		steady(w, 60, 6)
		for i := range 20 {
			w.At(time.Duration(10+4*i)*second, w.oddRequests)
			spec, _ := job(900+i, 0)
			switch i % 4 {
			case 0:
				spec.Cores = 100
			case 1:
				spec.Types = []string{"none"}
			case 2:
				spec.Zone, spec.Types = zones[1], []string{"x2"}
			case 3:
				// Only one zone has machines that large.
				spec.Shape, spec.SpreadZones, spec.Tasks, spec.Cores, spec.Team = wire.ShapeService, true, 2, 9, "red"
			}
			w.At(time.Duration(5+3*i)*second, func() { w.SubmitImpossible(spec) })
		}
		w.At(20*second, func() { w.restartBuyer(3 * second) })
		w.At(40*second, func() { w.restartBuyer(300 * time.Millisecond) })
	}},
	{name: "everything is read anew while users ask", seen: map[string]int{"read anew": 4, "close look": 500}, play: func(w *World) {
		w.CloseLooks = true
		steady(w, 60, 4)
		w.At(20*second, func() {
			// The feed goes back no further than that, as after very many changes.
			w.stateCut(0, 8*second)
			w.At(7500*time.Millisecond, func() { w.store.Forget(); w.Seen["read anew"]++ })
		})
	}},
}

// noteLimits counts that a team uses all that it may.
func (w *World) noteLimits() {
	used := map[string]float64{}
	w.onMachines(func(_ *machine, t *task) { s := &w.jobs[t.id.Job].spec; used[s.Team] += s.Cores })
	for _, t := range w.Settings.Cluster.Teams {
		if cpus, _ := t.Limits(); used[t.Name] > cpus-1 {
			w.Seen["at a limit"]++
		}
	}
}

// TestMeetings holds the rules where two troubles meet, one meeting at a time.
func TestMeetings(t *testing.T) {
	for _, mt := range meetings {
		t.Run(mt.name, func(t *testing.T) {
			seen := map[string]int{}
			for seed := range uint64(4) {
				set := settings()
				if mt.set != nil {
					mt.set(&set)
				}
				w := worldOf(set, seed, 3)
				for i := range 9 {
					w.AddMachine(types[i%2], zones[i%3], false, 0)
				}
				mt.play(w)
				w.Run(125 * time.Second)
				w.CloseLooks, w.CancelAtEnd = false, 0
				w.Run(45 * time.Second)
				w.CalmAt = w.Now()
				w.Run(250 * time.Second)
				require.Empty(t, w.Broken, "seed %d", seed)
				require.Empty(t, w.Unfinished(), "seed %d", seed)
				for name, n := range w.Seen {
					seen[name] += n
				}
			}
			for name, n := range mt.seen {
				require.GreaterOrEqual(t, seen[name], n, fmt.Sprintf("%s: not what the test is about", name))
			}
			t.Log(seen)
		})
	}
}
