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

// TestEndsNotedByTwo guards against lost notes: tasks of one job end at the same
// time in different zones and are noted by different controllers. Once each
// wrote the job's done record without a condition on it, and undid the other.
// It also guards against launches that nobody sends: the recorded launcher lives
// but does not reach the worker, which reports to another controller.
func TestEndsNotedByTwo(t *testing.T) {
	for seed := range uint64(4) {
		w := newCluster(t, seed, 3)
		for n := range 8 {
			w.AddMachine(machineTypes[0], zones[n%3], false, 0)
		}
		for n := range 40 {
			spec, _ := testJob(n, 4)
			spec.Tasks = 4
			w.At(time.Duration(2+n)*time.Second, func() { w.Submit(spec, 3*time.Second) })
		}
		// The owner hears of nothing itself, so whoever gets a report notes it.
		w.At(time.Second, func() { w.DropDirectCalls = true })
		w.Run(200 * time.Second)
		require.Empty(t, w.Violations)
		require.Empty(t, w.Unfinished(), "%v", w.Records())
	}
}

// TestStopsAreOfUse guards against stopping work for room that is not taken. The
// machine that has a service's image also has a replica of it, and the default
// rule keeps the next one off; once room was made there for that one all the same,
// pass after pass, and it never started.
func TestStopsAreOfUse(t *testing.T) {
	for seed := range uint64(4) {
		w := newCluster(t, seed, 2)
		w.Capacity = 0
		w.machineTypes = slices.Clone(w.machineTypes)
		w.machineTypes[0].PullGBPerS, w.machineTypes[1].PullGBPerS = 0.1, 0.1 // images are slow to come
		service, _ := testJob(1, 1)
		service.Tasks = 1
		w.At(2*time.Second, func() { w.Submit(service, 0) })
		for n := range 8 {
			spec, _ := testJob(2*n, 0)
			spec.Priority, spec.Spot, spec.Tasks, spec.Image = wire.PriorityBestEffort, false, 2, "other"
			w.At(8*time.Second, func() { w.Submit(spec, 200*time.Second) })
		}
		second := service
		second.ID, second.Tasks = "wk-000900", 2
		w.At(20*time.Second, func() { w.Submit(second, 0) })
		w.Run(90 * time.Second)
		launched, running := 0, 0
		for _, m := range w.machines {
			launched += m.launches
		}
		w.eachActiveTask(func(_ *fakeMachine, tk *fakeTask) {
			if tk.id.Job == second.ID {
				running++
			}
		})
		require.Equal(t, 2, running, "replicas")
		require.Less(t, launched, 40, "launches")
		require.Empty(t, w.Violations)
	}
}

// TestSoldOutOffersDoNotHideOthers guards against a buyer that asks for the same
// sold-out offer for every job that waits, and never gets to one that is left.
func TestSoldOutOffersDoNotHideOthers(t *testing.T) {
	w := newCluster(t, 1, 1)
	w.Settings.Cluster.Teams[1].CPUsMax = 400
	w.Settings.Cluster.Objectives[0].Class = "batch" // somebody waits for it
	for n := range 30 {
		spec, _ := testJob(2*n+1, 0)
		spec.Spot, spec.Tasks, spec.RuntimeS = true, 5, 60
		w.At(time.Second, func() { w.Submit(spec, 60*time.Second) })
	}
	w.Run(45 * time.Second)
	rented := map[string]int{}
	for _, m := range w.machines {
		rented[fmt.Sprint(m.machineType.Name, " ", m.spot)]++
	}
	require.Positive(t, rented["g8 false"], "only %v were rented", rented)
}

// TestAllAtOnce is a day that crosses troubles: the state service is away while
// all controllers restart and a machine hangs; then one controller is refused
// while another machine dies; then a slow state service.
func TestAllAtOnce(t *testing.T) {
	for seed := range uint64(6) {
		w := newCluster(t, seed, 3)
		w.MessageLoss = 0.02
		for n := range 24 {
			spec, run := testJob(n, n%8)
			w.At(time.Duration(2*n)*time.Second, func() { w.Submit(spec, run) })
			if spec.Shape == wire.ShapeService {
				w.At(time.Duration(70+n)*time.Second, func() { w.CancelJob(spec.ID) })
			}
		}
		for _, tr := range []fault{
			{"state down", 15 * time.Second, 20 * time.Second, 0},
			{"crash all", 20 * time.Second, 0, 0},
			{"hang", 22 * time.Second, 25 * time.Second, 1},
			{"state cut", 50 * time.Second, 20 * time.Second, 1},
			{"die", 52 * time.Second, 0, 2},
			{"slow state", 75 * time.Second, 20 * time.Second, 0},
			{"cloud down", 75 * time.Second, 15 * time.Second, 0},
		} {
			w.At(tr.at, func() { tr.inject(w) })
		}
		w.Run(120 * time.Second)
		w.MessageLoss = 0
		w.Run(250 * time.Second)
		require.Empty(t, w.Violations)
		require.Empty(t, w.Unfinished(), "%v", w.Records())
	}
}

// TestNothingRentedInACutZone guards against renting, in a zone that is cut off,
// machines that come up silent, are returned for it, and are rented again. It was
// found in incident inc-449b, where some 500 machines went that way.
func TestNothingRentedInACutZone(t *testing.T) {
	for seed := range uint64(4) {
		w := newCluster(t, seed, 3)
		w.Capacity = 12
		w.Settings.Cluster.Teams = []config.Team{{Name: "blue", CPUs: 100, CPUsMax: 400}, {Name: "red", CPUs: 100, CPUsMax: 400}}
		for i := range w.controllers {
			w.Start(i)
		}
		for n := range 8 {
			w.AddMachine(machineTypes[0], zones[n%3], false, 0)
		}
		for n := range 60 {
			spec, _ := testJob(n, 0)
			spec.Tasks, spec.Spot = 4, false
			w.At(time.Duration(2+n)*time.Second, func() { w.Submit(spec, 25*time.Second) })
		}
		w.Run(15 * time.Second)
		w.PartitionZone("east", 0, 50*time.Second)
		w.Run(10 * time.Second)
		before := len(w.machines)
		w.Run(30 * time.Second)
		east, rest := 0, 0
		for _, m := range w.machines[before:] {
			if m.zone == "east" {
				east++
			} else {
				rest++
			}
		}
		require.Positive(t, rest, "nothing was rented at all")
		require.Zero(t, east, "machines rented in the zone that was cut off")
		require.Empty(t, w.Violations)
	}
}

// TestDearMachinesGo guards the money of work in no hurry: as long as all of it
// can start in time on the cheap machines, though they cannot quite keep up,
// dear ones are left alone and returned.
func TestDearMachinesGo(t *testing.T) {
	w := newCluster(t, 7, 2)
	w.Capacity = 0
	set := &w.Settings.Cluster
	set.Teams = []config.Team{{Name: "blue", CPUs: 0, CPUsMax: 200}, {Name: "red", CPUs: 0, CPUsMax: 200}}
	set.Objectives = []config.Objective{{Kind: "wait", Class: "batch", WithinS: 250, Share: 0.9}}
	for i := range w.controllers {
		w.Start(i)
	}
	for n := range 6 {
		w.AddMachine(machineTypes[0], zones[n%3], true, 0)
	}
	for n := range 150 {
		spec, _ := testJob(n, 0)
		spec.Tasks, spec.Spot, spec.RuntimeS = 2, true, 10
		w.At(time.Duration(2+n)*time.Second, func() { w.Submit(spec, 13*time.Second) })
	}
	w.Run(140 * time.Second)
	dear := 0
	for _, m := range w.machines {
		if !m.terminated && !m.spot {
			dear++
		}
	}
	require.Zero(t, dear, "dear machines kept")
	w.Run(100 * time.Second)
	require.Empty(t, w.Unfinished())
	require.Empty(t, w.Violations)
}

// TestUrgentBeyondGuaranteeFindsRoom guards gangs beyond their team's guarantee:
// less urgent work within a guarantee comes before them, and once took the
// machines with accelerators over and over although it needs none, so that a
// quarter of these never had a gang while dozens waited.
func TestUrgentBeyondGuaranteeFindsRoom(t *testing.T) {
	for seed := range uint64(4) {
		set := testSettings()
		set.Cluster.Teams = []config.Team{{Name: "blue", CPUs: 60, CPUsMax: 100}, {Name: "red", CPUsMax: 100, GPUsMax: 20}}
		w := NewCluster(set, machineTypes, 2, seed)
		w.Capacity = 0
		for i := range 6 {
			w.AddMachine(machineTypes[1], zones[0], false, 0)
			w.AddMachine(machineTypes[0], zones[i%3], false, 0)
		}
		w.Start(0)
		w.Start(1)
		for n := range 60 {
			spec, run := testJob(2*n, 0)
			spec.Tasks, spec.Spot = 8, false
			w.At(time.Duration(n)*time.Second, func() { w.Submit(spec, run+8*time.Second) })
		}
		gang, _ := testJob(201, 2)
		gang.Tasks, gang.Cores, gang.Accelerators, gang.SingleZone = 4, 7, 2, true
		w.At(20*time.Second, func() { w.Submit(gang, 20*time.Second) })
		w.Run(65 * time.Second)
		began, ok := w.StartDelay(gang.ID)
		require.True(t, ok, "seed %d: the gang has not begun", seed)
		require.Less(t, began, 40*time.Second, "seed %d", seed)
		w.Run(150 * time.Second)
		require.Empty(t, w.Violations)
		require.Empty(t, w.Unfinished())
	}
}

// TestGivenUpWithRareReports guards against counting machines as silent that only
// have no reason to report yet: where reports are far apart most are, at any
// time. With one sibling out of hearing no machine was given up then.
func TestGivenUpWithRareReports(t *testing.T) {
	for seed := range uint64(6) {
		set := testSettings()
		set.Cluster.Workers = config.Workers{ReportS: 20, LeaseS: 60, GangWaitS: 35, GangPeerS: 6, CancelS: 80}
		w := NewCluster(set, machineTypes, 3, seed)
		for i := range 30 {
			w.AddMachine(machineTypes[0], zones[i%3], false, 0)
		}
		for i := range w.controllers {
			w.Start(i)
		}
		spec, _ := testJob(1, 1)
		spec.Tasks = 10
		w.At(2*time.Second, func() { w.Submit(spec, 0) })
		w.Run(15 * time.Second)
		w.PeersPartitioned[(w.provisioner()+1)%3] = true
		w.Run(6 * time.Second)
		for _, m := range w.machines {
			if len(m.tasks) > 0 {
				m.terminate()
				break
			}
		}
		w.Run(15 * time.Second)
		running := 0
		w.eachActiveTask(func(_ *fakeMachine, _ *fakeTask) { running++ })
		require.Equal(t, 10, running, "seed %d", seed)
		require.Empty(t, w.Violations)
	}
}

// TestAcceleratorsOfACutZoneKept guards the scarcest machines of a zone that is cut
// off: they leave calls unanswered, which is no reason to return them as ones that
// do not hear. Once back, they are there with their images.
func TestAcceleratorsOfACutZoneKept(t *testing.T) {
	for seed := range uint64(4) {
		set := testSettings()
		set.Cluster.Teams[1].CPUsMax, set.Cluster.Teams[1].GPUsMax = 200, 60
		w := NewCluster(set, machineTypes, 3, seed)
		w.Capacity = 0
		for i := range w.controllers {
			w.Start(i)
		}
		for i := range 18 {
			w.AddMachine(machineTypes[1], zones[i%3], false, 0)
		}
		for n := range 18 {
			spec, _ := testJob(201+2*n, 6)
			spec.Tasks, spec.Cores, spec.Accelerators = 1, 6, 2 // every machine is needed
			w.At(2*time.Second, func() { w.Submit(spec, 300*time.Second) })
		}
		w.Run(20 * time.Second)
		w.PartitionZone(zones[1], 1, 30*time.Second)
		w.Run(60 * time.Second)
		for _, m := range w.machines {
			if m.machineType.Name == machineTypes[1].Name {
				require.False(t, m.terminated && m.zone == zones[1], "seed %d: %s was returned", seed, m.id)
			}
		}
		require.Empty(t, w.Violations)
	}
}

// TestShortCutKeepsReplicas guards replicas in a zone that is cut off for a while:
// they run on while their workers' leases last, and are lost only if their
// machines are returned. What really dies elsewhere is still replaced soon. Where few
// machines of the zone have reason to be asked early (seeds 6 and 33 with random numbers
// as they were once), the first was returned before the cut was seen.
func TestShortCutKeepsReplicas(t *testing.T) {
	for seed := range uint64(40) {
		set := testSettings()
		set.Cluster.Teams[1].CPUsMax = 200
		w := NewCluster(set, machineTypes, 3, seed)
		for i := range 60 {
			w.AddMachine(machineTypes[0], zones[i%3], false, 0)
		}
		for i := range w.controllers {
			w.Start(i)
		}
		spec, _ := testJob(1, 1)
		spec.Tasks = 48
		w.At(2*time.Second, func() { w.Submit(spec, 0) })
		w.Run(15 * time.Second)
		w.PartitionZone(zones[1], 1, 9*time.Second)
		var dead *fakeMachine
		for _, m := range w.machines {
			if m.zone == zones[0] && len(m.tasks) > 0 {
				dead = m
				break
			}
		}
		dead.terminate()
		w.Run(14 * time.Second)
		running := 0
		w.eachActiveTask(func(_ *fakeMachine, _ *fakeTask) { running++ })
		require.Equal(t, 48, running, "seed %d", seed)
		for _, m := range w.machines {
			require.False(t, m.terminated && m.zone == zones[1] && len(m.tasks) > 0, "seed %d: %s was returned", seed, m.id)
		}
		w.Run(30 * time.Second)
		require.Empty(t, w.Violations)
	}
}

// TestWorkGoesOnWithoutSiblings guards placement while connections between
// controllers are refused: each hears only the workers that report to it, and a
// owner that hears few of them once placed nothing on the others. It also guards
// against machines of a lost write that stay locked for ever, as when they are the
// only ones with room.
func TestWorkGoesOnWithoutSiblings(t *testing.T) {
	for hears := range 3 {
		set := testSettings()
		set.Cluster.Teams = []config.Team{{Name: "blue", CPUs: 8, CPUsMax: 60}}
		w := NewCluster(set, machineTypes, 3, 1)
		for i := range 10 {
			w.AddMachine(machineTypes[0], zones[i%3], false, 0)
		}
		for i := range w.controllers {
			w.Start(i)
		}
		w.Capacity = 0
		w.Run(5 * time.Second)
		for _, m := range w.machines {
			m.controller = hears
		}
		w.Run(5 * time.Second)
		w.PeersPartitioned[0], w.PeersPartitioned[1], w.PeersPartitioned[2] = true, true, true
		w.Run(9 * time.Second)
		for n := range 10 {
			spec, run := testJob(2*n, 0)
			spec.Tasks = 4 // all of them need all machines
			w.At(0, func() { w.Submit(spec, run+60*time.Second) })
		}
		w.Run(12 * time.Second)
		running := 0
		w.eachActiveTask(func(_ *fakeMachine, _ *fakeTask) { running++ })
		require.GreaterOrEqual(t, running, 36, "all report to rig-%d", hears)
		w.PeersPartitioned = map[int]bool{}
		w.Run(120 * time.Second)
		require.Empty(t, w.Unfinished(), "all report to rig-%d", hears)
		require.Empty(t, w.Violations)
	}
}

// TestGangWaitsForSlowImages guards gangs on machines of which some have the image
// and others fetch it for longer than a waiting task waits: the attempt was stopped
// with the fetches in it, and the next, and the next.
func TestGangWaitsForSlowImages(t *testing.T) {
	for seed := range uint64(4) {
		w := newCluster(t, seed, 2)
		w.Capacity = 0
		w.ImagePullTime = 30 * time.Second // gangs wait for 20 s
		w.machineTypes = slices.Clone(w.machineTypes)
		for i := range w.machineTypes {
			w.machineTypes[i].PullGBPerS = 0.1
		}
		first, _ := testJob(2, 0)
		first.Tasks, first.ImageGB = 1, 3
		w.At(2*time.Second, func() { w.Submit(first, time.Second) })
		w.Run(38 * time.Second)
		gang, _ := testJob(4, 2)
		gang.Tasks, gang.Cores, gang.ImageGB, gang.SingleZone = 3, 3, 3, false
		w.At(0, func() { w.Submit(gang, 5*time.Second) })
		w.Run(80 * time.Second)
		began, ok := w.StartDelay(gang.ID)
		require.True(t, ok)
		require.Less(t, began, 50*time.Second, "seed %d", seed)
		require.Empty(t, w.Unfinished(), "seed %d", seed)
		require.Empty(t, w.Violations)
	}
}

// TestReplicasFirstWhenManyHang guards replicas on machines that hang along with
// many others: these were silent first, and once used up the bound on how many
// machines go at a time, so that the replicas were missing for as long as it lasts.
func TestReplicasFirstWhenManyHang(t *testing.T) {
	for seed := range uint64(4) {
		set := testSettings()
		set.Cluster.Teams[1].CPUsMax = 200
		w := NewCluster(set, machineTypes, 3, seed)
		w.Capacity = 60
		for i := range 80 {
			w.AddMachine(machineTypes[0], zones[i%3], false, 0)
		}
		for i := range w.controllers {
			w.Start(i)
		}
		spec, _ := testJob(1, 1)
		spec.Tasks = 30
		w.At(2*time.Second, func() { w.Submit(spec, 0) })
		w.Run(15 * time.Second)
		idle, busy := 0, 0
		for _, m := range w.machines {
			if len(m.tasks) == 0 && idle < 24 {
				idle++
				m.hung = true
			}
		}
		w.At(2*time.Second, func() {
			for _, m := range w.machines {
				if len(m.tasks) > 0 && busy < 9 {
					busy++
					m.hung = true
				}
			}
		})
		w.Run(12 * time.Second)
		running := 0
		w.eachActiveTask(func(m *fakeMachine, _ *fakeTask) {
			if !m.hung {
				running++
			}
		})
		require.GreaterOrEqual(t, running, 25, "seed %d", seed)
		require.Empty(t, w.Violations)
	}
}

// TestRestartKeepsMachines guards against a buyer that has just started: what it knows
// by the records alone it gave up before it had read the list of machines, and before
// their workers, with reports far apart, had reason to report.
func TestRestartKeepsMachines(t *testing.T) {
	for seed := range uint64(6) {
		set := testSettings()
		set.Cluster.Teams[1].CPUsMax = 200
		set.Cluster.Workers = config.Workers{ReportS: 10, LeaseS: 45, GangWaitS: 35, GangPeerS: 6, CancelS: 65}
		w := NewCluster(set, machineTypes, 3, seed)
		for i := range 60 {
			w.AddMachine(machineTypes[0], zones[i%3], false, 0)
		}
		for i := range w.controllers {
			w.Start(i)
		}
		spec, _ := testJob(1, 1)
		spec.Tasks = 48
		w.At(13*time.Second, func() { w.Submit(spec, 0) })
		w.Run(30 * time.Second)
		w.storeOutage(20 * time.Second)
		w.At(17*time.Second, func() {
			for i := range w.controllers {
				w.restart(i, 4*time.Second)
			}
			w.CloudUnavailable = true // the list comes late
			w.At(14*time.Second, func() { w.CloudUnavailable = false })
		})
		w.Run(60 * time.Second)
		for _, m := range w.machines[:60] {
			require.False(t, m.terminated && len(m.tasks) > 0, "seed %d: %s was returned", seed, m.id)
		}
		require.Empty(t, w.Violations)
	}
}
