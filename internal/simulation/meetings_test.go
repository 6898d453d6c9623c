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

// faultPair is two troubles that meet. play brings them about within 100 seconds, on a
// world of nine to thirteen machines on which work runs; seen is what the world must
// have counted for the meeting to have taken place, summed over the seeds.
type faultPair struct {
	name      string
	configure func(*config.Settings)
	inject    func(w *Cluster)
	observed  map[string]int
}

const second = time.Second

// submitMixedJobs submits arrays, gangs and services, one job each half second, some of them
// called off after a while.
func submitMixedJobs(w *Cluster, jobs int, cancelEvery int) {
	for n := range jobs {
		spec, run := testJob(n, n%8)
		at := 2*second + time.Duration(n)*second/2
		w.At(at, func() { w.Submit(spec, run) })
		if cancelEvery > 0 && n%cancelEvery == 0 || spec.Shape == wire.ShapeService {
			w.At(at+time.Duration(3+n%9)*second, func() { w.CancelJob(spec.ID) })
		}
	}
}

// submitSmallJobs submits jobs of one task each, four a second, a quarter of them called off.
func submitSmallJobs(w *Cluster, jobs int) {
	for n := range jobs {
		spec, _ := testJob(n, 0)
		spec.Tasks = 1
		at := 2*second + time.Duration(n)*second/4
		w.At(at, func() { w.Submit(spec, time.Duration(1+n%3)*second) })
		if n%4 == 0 {
			w.At(at+time.Duration(n%5)*second/2, func() { w.CancelJob(spec.ID) })
		}
	}
}

// submitLongJobs submits jobs of long tasks that fill what their teams may use, and calls every
// other off at the given moment.
func submitLongJobs(w *Cluster, jobs int, cancelAt time.Duration) {
	for n := range jobs {
		spec, _ := testJob(n, 0)
		spec.Tasks = 3
		w.At(2*second, func() { w.Submit(spec, 60*second) })
		if n%2 == 0 {
			w.At(cancelAt+time.Duration(n)*50*time.Millisecond, func() { w.CancelJob(spec.ID) })
		}
	}
}

// lowerTeamLimits has teams reach their limits with what there is to do.
func lowerTeamLimits(set *config.Settings) {
	for i := range set.Cluster.Teams {
		set.Cluster.Teams[i].CPUsMax = 12
	}
}

// restart ends a controller and has it back after a while.
func (w *Cluster) restart(i int, after time.Duration) {
	w.Observed["restart"]++
	w.Stop(i)
	w.At(after, func() { w.Start(i) })
}

// restartProvisioner ends the controller that buys, or another if there is none.
func (w *Cluster) restartProvisioner(after time.Duration) { w.restart(max(0, w.provisioner()), after) }

func (w *Cluster) storeOutage(d time.Duration) {
	w.StoreUnavailable = true
	w.At(d, func() { w.StoreUnavailable = false; w.store.RenewAll(w.now) })
}

func (w *Cluster) partitionFromStore(i int, d time.Duration) {
	w.StorePartitioned[i] = true
	w.At(d, func() { delete(w.StorePartitioned, i) })
}

// eachBusyMachine has something happen to all machines with tasks whose number divides.
func (w *Cluster) eachBusyMachine(every int, f func(*fakeMachine)) {
	for i, m := range w.machines {
		if len(m.tasks) > 0 && !m.terminated && i%every == 0 {
			f(m)
		}
	}
}

var faultPairs = []faultPair{
	{name: "late writes and leaders that end", observed: map[string]int{"unanswered write": 15, "restart": 8}, inject: func(w *Cluster) {
		w.DelayedCommits = 0.3
		submitMixedJobs(w, 60, 4)
		w.At(15*second, func() { w.restartProvisioner(3 * second) })
		w.At(32*second, func() { w.restartProvisioner(300 * time.Millisecond) })
		w.At(60*second, func() { w.DelayedCommits = 0 })
	}},
	{name: "answers of writes lost while all ask", observed: map[string]int{"unanswered write": 15, "close look": 1000}, inject: func(w *Cluster) {
		w.DelayedCommits, w.LoseAnswersOnly, w.RequestBursts = 0.3, true, true
		submitMixedJobs(w, 60, 5)
		w.At(60*second, func() { w.DelayedCommits = 0 })
	}},
	{name: "late writes while all ask", observed: map[string]int{"unanswered write": 15, "close look": 1000}, inject: func(w *Cluster) {
		w.DelayedCommits, w.RequestBursts = 0.2, true
		submitMixedJobs(w, 60, 5)
		w.At(60*second, func() { w.DelayedCommits = 0 })
	}},
	{name: "old reports as a leader begins", observed: map[string]int{"kept report at a new controller": 100, "restart": 12}, inject: func(w *Cluster) {
		w.ReplayedHeartbeats, w.DuplicatedHeartbeats = 0.2, 0.1
		submitMixedJobs(w, 60, 4)
		for i := range 3 {
			w.At(time.Duration(14+13*i)*second, func() { w.restartProvisioner(time.Duration(i) * second) })
		}
		w.At(60*second, func() { w.ReplayedHeartbeats, w.DuplicatedHeartbeats = 0, 0 })
	}},
	{name: "reports of earlier sessions as a leader begins", observed: map[string]int{"report of an earlier session": 20}, inject: func(w *Cluster) {
		submitMixedJobs(w, 60, 4)
		w.At(10*second, func() { w.ReplayedHeartbeats = 0.5 })
		w.At(20*second, func() {
			for i := range w.controllers {
				w.restart(i, 20*second) // all are away for longer than a lease
			}
		})
		w.At(70*second, func() { w.ReplayedHeartbeats = 0 })
	}},
	{name: "called off and asked about at the end", observed: map[string]int{"cancelled at its end": 100, "close look": 1000}, inject: func(w *Cluster) {
		w.CancelOnCompletion, w.RequestBursts = 0.7, true
		submitMixedJobs(w, 80, 0)
	}},
	{name: "small jobs, a quarter called off", observed: map[string]int{"withdrawn": 100}, inject: func(w *Cluster) {
		submitSmallJobs(w, 240)
	}},
	{name: "small jobs, called off, looked at, and a leader that ends", observed: map[string]int{"withdrawn": 50, "restart": 8}, inject: func(w *Cluster) {
		submitSmallJobs(w, 200)
		w.RequestBursts = true
		w.At(20*second, func() { w.restartProvisioner(3 * second) })
		w.At(36*second, func() { w.restartProvisioner(200 * time.Millisecond) })
	}},
	{name: "a leader cut off with users and workers, jobs called off by another", observed: map[string]int{"withdrawn": 20, "leader cut off": 4}, inject: func(w *Cluster) {
		submitLongJobs(w, 10, 21*second)
		w.At(20*second, func() {
			n := max(0, w.provisioner())
			w.Observed["leader cut off"]++
			w.PeersPartitioned[n] = true
			for _, m := range w.machines {
				m.controller = n
			}
			w.partitionFromStore(n, 45*second)
			w.At(45*second, func() { delete(w.PeersPartitioned, n) })
		})
	}},
	{name: "called off while work changes hands", observed: map[string]int{"withdrawn": 20, "restart": 8}, inject: func(w *Cluster) {
		submitLongJobs(w, 10, 20500*time.Millisecond)
		w.At(20*second, func() { w.restart(0, 6*second) })
		w.At(21*second, func() { w.restart(1, 400*time.Millisecond) })
	}},
	{name: "at the limit, machines hang at their cancellation, leaders change", configure: lowerTeamLimits, observed: map[string]int{"machine hung at a cancellation": 8, "restart": 4, "at a limit": 8}, inject: func(w *Cluster) {
		w.HangOnCancel = 25 * second
		submitLongJobs(w, 16, 20*second)
		w.At(19*second, w.countTeamsAtLimit)
		w.At(20500*time.Millisecond, func() { w.restartProvisioner(3 * second) })
		w.At(45*second, func() { w.HangOnCancel = 0 })
	}},
	{name: "at the limit, machines deaf at a cancellation, leaders change", configure: lowerTeamLimits, observed: map[string]int{"withdrawn": 20, "restart": 4, "at a limit": 8}, inject: func(w *Cluster) {
		submitLongJobs(w, 16, 20*second)
		w.At(19*second, func() {
			w.countTeamsAtLimit()
			w.eachBusyMachine(2, func(m *fakeMachine) {
				m.inboundPartitioned = true
				w.At(30*second, func() { m.inboundPartitioned = false })
			})
		})
		w.At(20500*time.Millisecond, func() { w.restartProvisioner(3 * second) })
	}},
	{name: "at the limit, machines cut off at a cancellation, leaders change", configure: lowerTeamLimits, observed: map[string]int{"withdrawn": 20, "restart": 4, "at a limit": 8}, inject: func(w *Cluster) {
		submitLongJobs(w, 16, 20*second)
		w.At(19*second, func() { w.countTeamsAtLimit(); w.PartitionZone(zones[0], 2, 35*second) })
		w.At(20500*time.Millisecond, func() { w.restart(0, 3*second) })
	}},
	{name: "hand over and back, all end, one is back at once", observed: map[string]int{"restart": 20}, inject: func(w *Cluster) {
		submitMixedJobs(w, 60, 4)
		w.At(12*second, func() { w.restartProvisioner(3 * second) })
		w.At(20*second, func() { w.restartProvisioner(3 * second) })
		w.At(30*second, func() {
			for i := range w.controllers {
				w.restart(i, []time.Duration{400 * time.Millisecond, 4 * second, 9 * second}[i])
			}
		})
	}},
	{name: "a leader ends while machines with long tasks hang or are deaf", observed: map[string]int{"restart": 4, "out of reach": 8}, inject: func(w *Cluster) {
		submitLongJobs(w, 10, 30*second)
		w.At(20*second, func() {
			w.eachBusyMachine(2, func(m *fakeMachine) {
				w.Observed["out of reach"]++
				if len(m.tasks)%2 == 0 {
					m.hung = true
					w.At(9*second, m.resume)
				} else {
					m.inboundPartitioned = true
					w.At(20*second, func() { m.inboundPartitioned = false })
				}
			})
			w.restartProvisioner(3 * second)
		})
	}},
	{name: "mute machines, jobs called off", observed: map[string]int{"out of reach": 8, "withdrawn": 20}, inject: func(w *Cluster) {
		submitLongJobs(w, 10, 21*second)
		w.At(20*second, func() {
			w.eachBusyMachine(2, func(m *fakeMachine) {
				w.Observed["out of reach"]++
				m.outboundPartitioned = true
				w.At(30*second, func() { m.outboundPartitioned = false })
			})
		})
	}},
	{name: "all away for longer than a lease", observed: map[string]int{"restart": 12, "withdrawn": 10}, inject: func(w *Cluster) {
		submitMixedJobs(w, 60, 4)
		w.At(20*second, func() {
			for i := range w.controllers {
				w.restart(i, w.Lease+5*second+time.Duration(i)*400*time.Millisecond)
			}
		})
	}},
	{name: "leaders change ten times, also in an outage", observed: map[string]int{"restart": 40, "withdrawn": 20}, inject: func(w *Cluster) {
		submitMixedJobs(w, 80, 4)
		for i := range 10 {
			w.At(time.Duration(10+8*i)*second, func() { w.restartProvisioner(time.Duration(200+700*(i%4)) * time.Millisecond) })
		}
		w.At(40*second, func() { w.storeOutage(25 * second) })
	}},
	{name: "a zone cut off with a controller", observed: map[string]int{"withdrawn": 20}, inject: func(w *Cluster) {
		submitMixedJobs(w, 60, 3)
		w.At(15*second, func() { w.PartitionZone(zones[1], 1, w.Lease+20*second) })
	}},
	{name: "ends far apart across a change of leader", observed: map[string]int{"restart": 12}, inject: func(w *Cluster) {
		for n := range 12 {
			spec, _ := testJob(n, 0)
			spec.Tasks = 2 + n%2
			w.At(2*second, func() {
				w.SubmitWithRuntimes(spec, func(i int) time.Duration { return time.Duration(5+25*i) * second })
			})
		}
		for i := range 3 {
			w.At(time.Duration(10+10*i)*second, func() { w.restartProvisioner(3 * second) })
		}
	}},
	{name: "more work than room over slow links", observed: map[string]int{"withdrawn": 20}, inject: func(w *Cluster) {
		w.StoreDelay, w.MessageLoss = 700*time.Millisecond, 0.02
		submitMixedJobs(w, 120, 4)
		w.At(70*second, func() { w.StoreDelay, w.MessageLoss = 0, 0 })
	}},
	{name: "a slow state service, then refused, then away, while users call off", observed: map[string]int{"withdrawn": 20}, inject: func(w *Cluster) {
		w.RequestBursts = true
		submitLongJobs(w, 12, 24*second)
		w.At(15*second, func() { w.StoreDelay = 600 * time.Millisecond })
		w.At(23*second, func() { w.StoreDelay = 0; w.partitionFromStore(max(0, w.provisioner()), 20*second) })
		w.At(25200*time.Millisecond, func() { w.storeOutage(w.CancelTimeout + 8*second) })
	}},
	{name: "jobs of one zone lose machines", observed: map[string]int{"died": 8}, inject: func(w *Cluster) {
		for n := range 24 {
			spec, run := testJob(n, 7)
			w.At(time.Duration(2+n/2)*second, func() { w.Submit(spec, run+10*second) })
		}
		for i := range 3 {
			w.At(time.Duration(8+6*i)*second, func() {
				for _, m := range w.machines {
					if len(m.tasks) > 0 && !m.terminated {
						w.Observed["died"]++
						m.terminate()
						break
					}
				}
			})
		}
	}},
	{name: "commands and answers held up", observed: map[string]int{"withdrawn": 20}, inject: func(w *Cluster) {
		w.MessageLoss = 0.15 // half of what is not lost outright comes late
		submitMixedJobs(w, 60, 4)
		w.At(60*second, func() { w.MessageLoss = 0 })
	}},
	{name: "machines up at once, writes lag, the leader ends", observed: map[string]int{"unanswered write": 12, "restart": 8}, inject: func(w *Cluster) {
		w.ProvisioningDelay = func(string, string) time.Duration { return second }
		w.DelayedCommits, w.StoreDelay = 0.2, 300*time.Millisecond
		submitMixedJobs(w, 60, 4)
		w.At(9*second, func() { w.restartProvisioner(3 * second) })
		w.At(22*second, func() { w.restartProvisioner(500 * time.Millisecond) })
		w.At(60*second, func() { w.DelayedCommits, w.StoreDelay = 0, 0 })
	}},
	{name: "machines hang at a cancellation in an outage", observed: map[string]int{"machine hung at a cancellation": 8}, inject: func(w *Cluster) {
		w.HangOnCancel = 60 * second
		submitLongJobs(w, 10, 19500*time.Millisecond)
		w.At(20600*time.Millisecond, func() { w.storeOutage(w.CancelTimeout + 5*second) })
		w.At(40*second, func() { w.HangOnCancel = 0 })
	}},
	{name: "all end while machines hang with withdrawn work", observed: map[string]int{"machine hung at a cancellation": 8, "restart": 12, "withdrawn": 8}, inject: func(w *Cluster) {
		w.HangOnCancel = 60 * second
		submitLongJobs(w, 10, 18*second)
		w.At(21*second, func() {
			w.WorkersPartitioned = map[int]bool{0: true, 1: true, 2: true}
			w.At(25*second, func() { w.WorkersPartitioned = map[int]bool{} })
		})
		w.At(30*second, func() {
			w.HangOnCancel = 0
			for i := range w.controllers {
				w.restart(i, 3*second)
			}
			w.storeOutage(22 * second)
		})
	}},
	{name: "odd requests while leaders change", observed: map[string]int{"refused for good": 20, "submitted again": 100, "cancelled when done": 100, "restart": 8}, inject: func(w *Cluster) {
		w.machineTypes = append(slices.Clone(w.machineTypes), wire.MachineType{Name: "x2", Cores: 64, MemGB: 64, OnDemandPrice: 3, SpotPrice: 1, StartupS: 5, Zones: zones[:1]})
		submitMixedJobs(w, 60, 6)
		for i := range 20 {
			w.At(time.Duration(10+4*i)*second, w.repeatRequests)
			spec, _ := testJob(900+i, 0)
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
			w.At(time.Duration(5+3*i)*second, func() { w.SubmitUnschedulable(spec) })
		}
		w.At(20*second, func() { w.restartProvisioner(3 * second) })
		w.At(40*second, func() { w.restartProvisioner(300 * time.Millisecond) })
	}},
	{name: "everything is read anew while users ask", observed: map[string]int{"read anew": 4, "close look": 500}, inject: func(w *Cluster) {
		w.RequestBursts = true
		submitMixedJobs(w, 60, 4)
		w.At(20*second, func() {
			// The feed goes back no further than that, as after very many changes.
			w.partitionFromStore(0, 8*second)
			w.At(7500*time.Millisecond, func() { w.store.Compact(); w.Observed["read anew"]++ })
		})
	}},
}

// countTeamsAtLimit counts that a team uses all that it may.
func (w *Cluster) countTeamsAtLimit() {
	used := map[string]float64{}
	w.eachActiveTask(func(_ *fakeMachine, t *fakeTask) { s := &w.jobs[t.id.Job].spec; used[s.Team] += s.Cores })
	for _, t := range w.Settings.Cluster.Teams {
		if cpus, _ := t.Limits(); used[t.Name] > cpus-1 {
			w.Observed["at a limit"]++
		}
	}
}

// TestMeetings holds the rules where two troubles meet, one meeting at a time.
func TestMeetings(t *testing.T) {
	for _, mt := range faultPairs {
		t.Run(mt.name, func(t *testing.T) {
			seen := map[string]int{}
			for seed := range uint64(4) {
				set := testSettings()
				if mt.configure != nil {
					mt.configure(&set)
				}
				w := newClusterWith(set, seed, 3)
				for i := range 9 {
					w.AddMachine(machineTypes[i%2], zones[i%3], false, 0)
				}
				mt.inject(w)
				w.Run(125 * time.Second)
				w.RequestBursts, w.CancelOnCompletion = false, 0
				w.Run(45 * time.Second)
				w.FaultsOverAt = w.Now()
				w.Run(250 * time.Second)
				require.Empty(t, w.Violations, "seed %d", seed)
				require.Empty(t, w.Unfinished(), "seed %d", seed)
				for name, n := range w.Observed {
					seen[name] += n
				}
			}
			for name, n := range mt.observed {
				require.GreaterOrEqual(t, seen[name], n, fmt.Sprintf("%s: not what the test is about", name))
			}
			t.Log(seen)
		})
	}
}
