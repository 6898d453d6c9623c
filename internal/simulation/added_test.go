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
		cluster := newCluster(t, seed, 3)
		spec, _ := testJob(1, 1)
		spec.Tasks = 4
		cluster.At(2*time.Second, func() { cluster.Submit(spec, 0) })
		cluster.Run(20 * time.Second)
		var partitioned *fakeMachine
		for _, machine := range cluster.machines {
			if len(machine.tasks) > 0 {
				partitioned = machine
				break
			}
		}
		require.NotNil(t, partitioned)
		partitioned.inboundPartitioned = true
		for n := range 20 {
			next, run := testJob(2+2*n, 0)
			cluster.At(time.Duration(8+n)*time.Second, func() { cluster.Submit(next, run) })
		}
		before := partitioned.launches
		cluster.Run(8 * time.Second)
		require.LessOrEqual(t, partitioned.launches-before, 0, "new work on a machine that hears nothing")
		cluster.Run(22 * time.Second)
		running := 0
		cluster.eachActiveTask(func(machine *fakeMachine, task *fakeTask) {
			if machine != partitioned && task.id.Job == spec.ID {
				running++
			}
		})
		require.Equal(t, 4, running, "replicas on machines that hear")
		require.True(t, partitioned.terminated, "the machine was kept")
		cluster.Run(60 * time.Second)
		require.Empty(t, cluster.Violations)
		require.Empty(t, cluster.Unfinished())
	}
}

// TestLateReports guards against taking an old report for a new one: copies come
// up to three leases late, across new sessions, returned machines and
// controllers that have forgotten which report was the last.
func TestLateReports(t *testing.T) {
	for seed := range uint64(6) {
		cluster := newCluster(t, seed, 3)
		cluster.DuplicatedHeartbeats = 0.5
		for n := range 24 {
			spec, run := testJob(n, n%8)
			cluster.At(time.Duration(2*n)*time.Second, func() { cluster.Submit(spec, run) })
			if spec.Shape == wire.ShapeService {
				cluster.At(time.Duration(70+n)*time.Second, func() { cluster.CancelJob(spec.ID) })
			}
		}
		for _, planned := range []fault{
			{"hang", 15 * time.Second, 20 * time.Second, 1}, // well over a lease: a new session
			{"die", 20 * time.Second, 0, 2},
			{"crash all", 28 * time.Second, 0, 0},
			{"hang", 45 * time.Second, 20 * time.Second, 0},
			{"flicker all", 50 * time.Second, 0, 0},
		} {
			cluster.At(planned.at, func() { planned.inject(cluster) })
		}
		cluster.Run(120 * time.Second)
		cluster.DuplicatedHeartbeats = 0
		cluster.Run(50 * time.Second)
		cluster.FaultsOverAt = cluster.Now()
		cluster.Run(150 * time.Second)
		require.Empty(t, cluster.Violations)
		require.Empty(t, cluster.Unfinished(), "%v", cluster.Records())
	}
}

// TestLateReportsOfTheDead guards against keeping a dead machine alive: copies of
// its reports go on coming, and its replicas must run elsewhere all the same.
func TestLateReportsOfTheDead(t *testing.T) {
	for seed := range uint64(6) {
		cluster := newCluster(t, seed, 2)
		cluster.DuplicatedHeartbeats = 1
		for n := range 4 {
			cluster.AddMachine(machineTypes[0], zones[n%3], false, 0) // room to go to
		}
		spec, _ := testJob(1, 1)
		spec.Tasks = 3
		cluster.At(2*time.Second, func() { cluster.Submit(spec, 0) })
		cluster.Run(40 * time.Second)
		var dead *fakeMachine
		cluster.eachActiveTask(func(machine *fakeMachine, _ *fakeTask) { dead = machine })
		require.NotNil(t, dead)
		dead.terminate()
		if seed%2 == 1 {
			cluster.Start(0) // it no longer knows which report was the last
			cluster.Start(1)
			cluster.Run(10 * time.Second)
		}
		cluster.Run(13 * time.Second)
		running := 0
		cluster.eachActiveTask(func(*fakeMachine, *fakeTask) { running++ })
		require.Equal(t, 3, running, "replicas, seed %d", seed)
		require.Empty(t, cluster.Violations)
	}
}

// TestTwoPlaceAtOnce guards the condition on the heads of all zones: two
// controllers that know of different machines, since none hears the others,
// place the same task in different zones while the state service is slow.
func TestTwoPlaceAtOnce(t *testing.T) {
	for seed := range uint64(8) {
		cluster := newCluster(t, seed, 3)
		cluster.StoreDelay = 700 * time.Millisecond
		for i := range cluster.controllers {
			cluster.PeersPartitioned[i] = true
		}
		cluster.DropDirectCalls = true
		cluster.At(5*time.Second, func() {
			for i, machine := range cluster.machines {
				machine.controller = i % 3
			}
		})
		for n := range 12 {
			spec, _ := testJob(n, 1)
			spec.Tasks = 1
			cluster.At(time.Duration(6+n)*time.Second, func() { cluster.Submit(spec, 0) })
		}
		cluster.Run(60 * time.Second)
		require.Empty(t, cluster.Violations)
	}
}

// TestAloneController guards against a controller that has lost the state
// service and its siblings but not its workers: what ends there cannot be
// written down, so its workers must find the others while it lasts.
func TestAloneController(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.Lease = 25 * time.Second
	cluster.Settings.Cluster.Workers.LeaseS = 25
	for i := range cluster.controllers {
		cluster.Start(i)
	}
	cluster.At(5*time.Second, func() {
		for _, machine := range cluster.machines {
			machine.controller = 0
		}
	})
	for n := range 6 {
		spec, _ := testJob(n, 0)
		spec.Tasks = 2
		cluster.At(time.Second, func() { cluster.Submit(spec, 12*time.Second) })
	}
	cluster.Run(8 * time.Second)
	cluster.StorePartitioned[0], cluster.PeersPartitioned[0] = true, true
	cluster.Run(40 * time.Second)
	require.Empty(t, cluster.Unfinished(), "its workers did not find the others")
	for _, machine := range cluster.machines {
		require.EqualValues(t, 1, machine.agentEpoch, "a lease ran out")
		require.False(t, machine.terminated, "a machine was given up")
		require.NotZero(t, machine.controller, "a worker stayed where nothing can be written down")
	}
	require.Empty(t, cluster.Violations)
}

// TestAllAlone guards the leases of workers when there is nobody to send them
// to: the state service is away for a minute, and at its worst no controller
// hears another for a third of that. Longer than that cannot be told from being
// cut off while others withdraw jobs.
func TestAllAlone(t *testing.T) {
	cluster := newCluster(t, 4, 3)
	cluster.Lease = 25 * time.Second
	cluster.Settings.Cluster.Workers.LeaseS = 25
	for i := range cluster.controllers {
		cluster.Start(i)
	}
	cluster.Run(10 * time.Second)
	cluster.StoreUnavailable = true
	for i := range cluster.controllers {
		cluster.PeersPartitioned[i] = true
	}
	cluster.Run(20 * time.Second)
	clear(cluster.PeersPartitioned)
	cluster.Run(40 * time.Second)
	for _, machine := range cluster.machines {
		require.EqualValues(t, 1, machine.agentEpoch, "the lease of %s ran out", machine.id)
	}
	require.Empty(t, cluster.Violations)
}

// TestCancelledInCutZone guards against tasks that a cut-off controller keeps
// alive although others have told users that their jobs are withdrawn, while the
// cloud is away so that their machines cannot be returned. It was found on a
// rough day: a zone was cut off, and the one controller outside that was well
// took itself for cut off, since more than a third of the machines were silent.
func TestCancelledInCutZone(t *testing.T) {
	for seed := range uint64(6) {
		cluster := newCluster(t, seed, 3)
		for n := range 5 {
			cluster.AddMachine(machineTypes[0], zones[n%3], false, 0)
		}
		for n := range 6 {
			spec, _ := testJob(n, 1)
			spec.Tasks, spec.SpreadZones = 4, true
			cluster.At(2*time.Second, func() { cluster.Submit(spec, 0) })
			cluster.At(25*time.Second, func() { cluster.CancelJob(spec.ID) })
		}
		cluster.Run(22 * time.Second)
		cluster.PartitionZone("east", 0, 100*time.Second)
		cloudBack := 90 * time.Second
		if seed%2 == 1 {
			cloudBack = 25 * time.Second // and then one controller alone is well
			cluster.StorePartitioned[1], cluster.PeersPartitioned[1], cluster.WorkersPartitioned[1] = true, true, true
			cluster.At(60*time.Second, func() {
				delete(cluster.StorePartitioned, 1)
				delete(cluster.PeersPartitioned, 1)
				delete(cluster.WorkersPartitioned, 1)
			})
		}
		cluster.CloudUnavailable = true
		cluster.At(cloudBack, func() { cluster.CloudUnavailable = false })
		cluster.Run(150 * time.Second)
		require.Empty(t, cluster.Violations)
	}
}

// TestLargestBegin guards against putting the largest jobs off without end. A
// stream of small jobs takes more than there is, all of them could be in time,
// and the objectives make it look best to leave the large ones for later.
func TestLargestBegin(t *testing.T) {
	cluster := newCluster(t, 5, 2)
	cluster.Capacity = 0 // nothing to rent
	clusterSettings := &cluster.Settings.Cluster
	clusterSettings.Teams = []config.Team{{Name: "blue", CPUs: 4, CPUsMax: 100}, {Name: "red", CPUs: 4, CPUsMax: 100}}
	clusterSettings.Objectives = append(clusterSettings.Objectives, config.Objective{Kind: "finished", Class: "batch", WithinS: 60, Share: 0.9})
	for i := range cluster.controllers {
		cluster.Start(i)
	}
	var large []wire.JobID
	for n := range 200 {
		spec, _ := testJob(n, []int{0, 3}[n%2])
		spec.Tasks, spec.RuntimeS, spec.Spot = 2, 10, false
		if n%25 == 24 {
			spec.Tasks, spec.RuntimeS = 60, 10
			large = append(large, spec.ID)
		}
		cluster.At(time.Duration(n)*1500*time.Millisecond, func() { cluster.Submit(spec, 10*time.Second) })
	}
	cluster.Run(200*1500*time.Millisecond + 4*time.Minute)
	for _, id := range large {
		after, began := cluster.StartDelay(id)
		require.True(t, began, "%s never began", id)
		require.LessOrEqual(t, after, 4*time.Minute, "%s began late", id)
	}
	require.Empty(t, cluster.Violations)
}

// TestFinishedRemembered guards against forgetting what is no longer cached:
// after every controller started anew, each finished job is still answered, and
// so is a repeat of its submission.
func TestFinishedRemembered(t *testing.T) {
	cluster := newCluster(t, 6, 2)
	for n := range 10 {
		spec, run := testJob(n, 0)
		cluster.At(time.Second, func() { cluster.Submit(spec, run) })
		cluster.At(90*time.Second, func() { cluster.Submit(spec, run) })
	}
	cluster.Run(60 * time.Second)
	require.Empty(t, cluster.Unfinished())
	for i := range cluster.controllers {
		cluster.Start(i)
	}
	cluster.FaultsOverAt = cluster.Now()
	cluster.Run(100 * time.Second)
	require.Empty(t, cluster.Violations)
}

// TestLimitCountsHalted guards the team's limit against counting only what is to
// go on: tasks that save before they stop still use what they use.
func TestLimitCountsHalted(t *testing.T) {
	for seed := range uint64(4) {
		cluster := newCluster(t, seed, 2)
		cluster.Settings.Cluster.Teams = []config.Team{{Name: "blue", CPUs: 4, CPUsMax: 8}}
		for i := range cluster.controllers {
			cluster.Start(i)
		}
		for n := range 6 {
			spec, _ := testJob(2*n, 3)
			spec.Tasks, spec.Spot, spec.CheckpointIntervalS, spec.CheckpointSaveS = 4, false, 3, 6
			cluster.At(time.Duration(1+n)*time.Second, func() { cluster.Submit(spec, 40*time.Second) })
		}
		cluster.Run(15 * time.Second)
		for _, machine := range cluster.machines {
			if len(machine.tasks) > 0 {
				machine.preemptionAt = cluster.now + 14_000_000_000
				cluster.At(14*time.Second, machine.terminate)
				break
			}
		}
		cluster.Run(60 * time.Second)
		require.Empty(t, cluster.Violations)
	}
}

// TestPlacedOnlyWithItsJob guards a placement's condition on its job: users
// cancel while placements of the job are under way to a slow state service. The
// world holds every record against the jobs there are when it is written.
func TestPlacedOnlyWithItsJob(t *testing.T) {
	for seed := range uint64(8) {
		cluster := newCluster(t, seed, 3)
		cluster.StoreDelay = 300 * time.Millisecond
		for n := range 40 {
			spec, run := testJob(n, 0)
			spec.ID = wire.JobID(fmt.Sprintf("wk-%06d", n))
			at := time.Second + time.Duration(n)*700*time.Millisecond
			cluster.At(at, func() { cluster.Submit(spec, run) })
			cluster.At(at+time.Duration(100*(n%12))*time.Millisecond, func() { cluster.CancelJob(spec.ID) })
		}
		cluster.Run(90 * time.Second)
		require.Empty(t, cluster.Violations)
	}
}
