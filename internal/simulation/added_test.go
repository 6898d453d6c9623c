package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// TestMachineWithInboundCut guards against a machine whose reports arrive while nothing
// reaches it: it looks well, and its lease runs out unseen. What stood on it
// must run elsewhere, no new work may go there, and it must not be kept.
func TestMachineWithInboundCut(t *testing.T) {
	for seed := range uint64(6) {
		w := newCluster(t, seed, 3)
		spec, _ := testJob(1, 1)
		spec.Tasks = 4
		w.At(2*time.Second, func() { w.Submit(spec, 0) })
		w.Run(20 * time.Second)
		var inboundCut *fakeMachine
		for _, m := range w.machines {
			if len(m.tasks) > 0 {
				inboundCut = m
				break
			}
		}
		require.NotNil(t, inboundCut)
		inboundCut.inboundPartitioned = true
		for n := range 20 {
			next, run := testJob(2+2*n, 0)
			w.At(time.Duration(8+n)*time.Second, func() { w.Submit(next, run) })
		}
		before := inboundCut.launches
		w.Run(8 * time.Second)
		require.LessOrEqual(t, inboundCut.launches-before, 0, "new work on a machine that hears nothing")
		w.Run(22 * time.Second)
		running := 0
		w.eachActiveTask(func(m *fakeMachine, tk *fakeTask) {
			if m != inboundCut && tk.id.Job == spec.ID {
				running++
			}
		})
		require.Equal(t, 4, running, "replicas on machines that hear")
		require.True(t, inboundCut.terminated, "the machine was kept")
		w.Run(60 * time.Second)
		require.Empty(t, w.Violations)
		require.Empty(t, w.Unfinished())
	}
}

// TestLateReports guards against taking an old report for a new one: copies come
// up to three leases late, across new sessions, returned machines and
// controllers that have forgotten which report was the last.
func TestLateReports(t *testing.T) {
	for seed := range uint64(6) {
		w := newCluster(t, seed, 3)
		w.DuplicatedHeartbeats = 0.5
		for n := range 24 {
			spec, run := testJob(n, n%8)
			w.At(time.Duration(2*n)*time.Second, func() { w.Submit(spec, run) })
			if spec.Shape == wire.ShapeService {
				w.At(time.Duration(70+n)*time.Second, func() { w.CancelJob(spec.ID) })
			}
		}
		for _, tr := range []fault{
			{"hang", 15 * time.Second, 20 * time.Second, 1}, // well over a lease: a new session
			{"die", 20 * time.Second, 0, 2},
			{"crash all", 28 * time.Second, 0, 0},
			{"hang", 45 * time.Second, 20 * time.Second, 0},
			{"flicker all", 50 * time.Second, 0, 0},
		} {
			w.At(tr.at, func() { tr.inject(w) })
		}
		w.Run(120 * time.Second)
		w.DuplicatedHeartbeats = 0
		w.Run(50 * time.Second)
		w.FaultsOverAt = w.Now()
		w.Run(150 * time.Second)
		require.Empty(t, w.Violations)
		require.Empty(t, w.Unfinished(), "%v", w.Records())
	}
}

// TestLateReportsOfTheDead guards against keeping a dead machine alive: copies of
// its reports go on coming, and its replicas must run elsewhere all the same.
func TestLateReportsOfTheDead(t *testing.T) {
	for seed := range uint64(6) {
		w := newCluster(t, seed, 2)
		w.DuplicatedHeartbeats = 1
		for n := range 4 {
			w.AddMachine(machineTypes[0], zones[n%3], false, 0) // room to go to
		}
		spec, _ := testJob(1, 1)
		spec.Tasks = 3
		w.At(2*time.Second, func() { w.Submit(spec, 0) })
		w.Run(40 * time.Second)
		var dead *fakeMachine
		w.eachActiveTask(func(m *fakeMachine, _ *fakeTask) { dead = m })
		require.NotNil(t, dead)
		dead.terminate()
		if seed%2 == 1 {
			w.Start(0) // it no longer knows which report was the last
			w.Start(1)
			w.Run(10 * time.Second)
		}
		w.Run(13 * time.Second)
		running := 0
		w.eachActiveTask(func(*fakeMachine, *fakeTask) { running++ })
		require.Equal(t, 3, running, "replicas, seed %d", seed)
		require.Empty(t, w.Violations)
	}
}

// TestTwoPlaceAtOnce guards the condition on the heads of all zones: two
// controllers that know of different machines, since none hears the others,
// place the same task in different zones while the state service is slow.
func TestTwoPlaceAtOnce(t *testing.T) {
	for seed := range uint64(8) {
		w := newCluster(t, seed, 3)
		w.StoreDelay = 700 * time.Millisecond
		for i := range w.controllers {
			w.PeersPartitioned[i] = true
		}
		w.DropDirectCalls = true
		w.At(5*time.Second, func() {
			for i, m := range w.machines {
				m.controller = i % 3
			}
		})
		for n := range 12 {
			spec, _ := testJob(n, 1)
			spec.Tasks = 1
			w.At(time.Duration(6+n)*time.Second, func() { w.Submit(spec, 0) })
		}
		w.Run(60 * time.Second)
		require.Empty(t, w.Violations)
	}
}

// TestAloneController guards against a controller that has lost the state
// service and its siblings but not its workers: what ends there cannot be
// written down, so its workers must find the others while it lasts.
func TestAloneController(t *testing.T) {
	w := newCluster(t, 3, 3)
	w.Lease = 25 * time.Second
	w.Settings.Cluster.Workers.LeaseS = 25
	for i := range w.controllers {
		w.Start(i)
	}
	w.At(5*time.Second, func() {
		for _, m := range w.machines {
			m.controller = 0
		}
	})
	for n := range 6 {
		spec, _ := testJob(n, 0)
		spec.Tasks = 2
		w.At(time.Second, func() { w.Submit(spec, 12*time.Second) })
	}
	w.Run(8 * time.Second)
	w.StorePartitioned[0], w.PeersPartitioned[0] = true, true
	w.Run(40 * time.Second)
	require.Empty(t, w.Unfinished(), "its workers did not find the others")
	for _, m := range w.machines {
		require.EqualValues(t, 1, m.agentEpoch, "a lease ran out")
		require.False(t, m.terminated, "a machine was given up")
		require.NotZero(t, m.controller, "a worker stayed where nothing can be written down")
	}
	require.Empty(t, w.Violations)
}

// TestAllAlone guards the leases of workers when there is nobody to send them
// to: the state service is away for a minute, and at its worst no controller
// hears another for a third of that. Longer than that cannot be told from being
// cut off while others withdraw jobs.
func TestAllAlone(t *testing.T) {
	w := newCluster(t, 4, 3)
	w.Lease = 25 * time.Second
	w.Settings.Cluster.Workers.LeaseS = 25
	for i := range w.controllers {
		w.Start(i)
	}
	w.Run(10 * time.Second)
	w.StoreUnavailable = true
	for i := range w.controllers {
		w.PeersPartitioned[i] = true
	}
	w.Run(20 * time.Second)
	clear(w.PeersPartitioned)
	w.Run(40 * time.Second)
	for _, m := range w.machines {
		require.EqualValues(t, 1, m.agentEpoch, "the lease of %s ran out", m.id)
	}
	require.Empty(t, w.Violations)
}

// TestCancelledInCutZone guards against tasks that a cut-off controller keeps
// alive although others have told users that their jobs are withdrawn, while the
// cloud is away so that their machines cannot be returned. It was found on a
// rough day: a zone was cut off, and the one controller outside that was well
// took itself for cut off, since more than a third of the machines were silent.
func TestCancelledInCutZone(t *testing.T) {
	for seed := range uint64(6) {
		w := newCluster(t, seed, 3)
		for n := range 5 {
			w.AddMachine(machineTypes[0], zones[n%3], false, 0)
		}
		for n := range 6 {
			spec, _ := testJob(n, 1)
			spec.Tasks, spec.SpreadZones = 4, true
			w.At(2*time.Second, func() { w.Submit(spec, 0) })
			w.At(25*time.Second, func() { w.CancelJob(spec.ID) })
		}
		w.Run(22 * time.Second)
		w.PartitionZone("east", 0, 100*time.Second)
		cloudBack := 90 * time.Second
		if seed%2 == 1 {
			cloudBack = 25 * time.Second // and then one controller alone is well
			w.StorePartitioned[1], w.PeersPartitioned[1], w.WorkersPartitioned[1] = true, true, true
			w.At(60*time.Second, func() {
				delete(w.StorePartitioned, 1)
				delete(w.PeersPartitioned, 1)
				delete(w.WorkersPartitioned, 1)
			})
		}
		w.CloudUnavailable = true
		w.At(cloudBack, func() { w.CloudUnavailable = false })
		w.Run(150 * time.Second)
		require.Empty(t, w.Violations)
	}
}

// TestLargestBegin guards against putting the largest jobs off without end. A
// stream of small jobs takes more than there is, all of them could be in time,
// and the objectives make it look best to leave the large ones for later.
func TestLargestBegin(t *testing.T) {
	w := newCluster(t, 5, 2)
	w.Capacity = 0 // nothing to rent
	set := &w.Settings.Cluster
	set.Teams = []config.Team{{Name: "blue", CPUs: 4, CPUsMax: 100}, {Name: "red", CPUs: 4, CPUsMax: 100}}
	set.Objectives = append(set.Objectives, config.Objective{Kind: "finished", Class: "batch", WithinS: 60, Share: 0.9})
	for i := range w.controllers {
		w.Start(i)
	}
	var large []wire.JobID
	for n := range 200 {
		spec, _ := testJob(n, []int{0, 3}[n%2])
		spec.Tasks, spec.RuntimeS, spec.Spot = 2, 10, false
		if n%25 == 24 {
			spec.Tasks, spec.RuntimeS = 60, 10
			large = append(large, spec.ID)
		}
		w.At(time.Duration(n)*1500*time.Millisecond, func() { w.Submit(spec, 10*time.Second) })
	}
	w.Run(200*1500*time.Millisecond + 4*time.Minute)
	for _, id := range large {
		after, began := w.StartDelay(id)
		require.True(t, began, "%s never began", id)
		require.LessOrEqual(t, after, 4*time.Minute, "%s began late", id)
	}
	require.Empty(t, w.Violations)
}

// TestFinishedRemembered guards against forgetting what is no longer cached:
// after every controller started anew, each finished job is still answered, and
// so is a repeat of its submission.
func TestFinishedRemembered(t *testing.T) {
	w := newCluster(t, 6, 2)
	for n := range 10 {
		spec, run := testJob(n, 0)
		w.At(time.Second, func() { w.Submit(spec, run) })
		w.At(90*time.Second, func() { w.Submit(spec, run) })
	}
	w.Run(60 * time.Second)
	require.Empty(t, w.Unfinished())
	for i := range w.controllers {
		w.Start(i)
	}
	w.FaultsOverAt = w.Now()
	w.Run(100 * time.Second)
	require.Empty(t, w.Violations)
}

// TestLimitCountsHalted guards the team's limit against counting only what is to
// go on: tasks that save before they stop still use what they use.
func TestLimitCountsHalted(t *testing.T) {
	for seed := range uint64(4) {
		w := newCluster(t, seed, 2)
		w.Settings.Cluster.Teams = []config.Team{{Name: "blue", CPUs: 4, CPUsMax: 8}}
		for i := range w.controllers {
			w.Start(i)
		}
		for n := range 6 {
			spec, _ := testJob(2*n, 3)
			spec.Tasks, spec.Spot, spec.CheckpointIntervalS, spec.CheckpointSaveS = 4, false, 3, 6
			w.At(time.Duration(1+n)*time.Second, func() { w.Submit(spec, 40*time.Second) })
		}
		w.Run(15 * time.Second)
		for _, m := range w.machines {
			if len(m.tasks) > 0 {
				m.preemptionAt = w.now + 14_000_000_000
				w.At(14*time.Second, m.terminate)
				break
			}
		}
		w.Run(60 * time.Second)
		require.Empty(t, w.Violations)
	}
}

// TestPlacedOnlyWithItsJob guards a placement's condition on its job: users
// cancel while placements of the job are under way to a slow state service. The
// world holds every record against the jobs there are when it is written.
func TestPlacedOnlyWithItsJob(t *testing.T) {
	for seed := range uint64(8) {
		w := newCluster(t, seed, 3)
		w.StoreDelay = 300 * time.Millisecond
		for n := range 40 {
			spec, run := testJob(n, 0)
			spec.ID = wire.JobID(fmt.Sprintf("wk-%06d", n))
			at := time.Second + time.Duration(n)*700*time.Millisecond
			w.At(at, func() { w.Submit(spec, run) })
			w.At(at+time.Duration(100*(n%12))*time.Millisecond, func() { w.CancelJob(spec.ID) })
		}
		w.Run(90 * time.Second)
		require.Empty(t, w.Violations)
	}
}
