package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
)

// TestInboundPartitionedMachineIsReplaced guards against a machine whose heartbeats arrive
// while nothing reaches it: it looks well, and its lease runs out unseen. What ran on it
// must run elsewhere, no new work may go there, and it must be terminated.
func TestInboundPartitionedMachineIsReplaced(t *testing.T) {
	for seed := range uint64(6) {
		cluster := newCluster(seed, 3)
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
		require.LessOrEqual(t, partitioned.launches-before, 0, "new work on a machine that nothing reaches")
		cluster.Run(22 * time.Second)
		running := 0
		cluster.eachActiveTask(func(machine *fakeMachine, task *fakeTask) {
			if machine != partitioned && task.id.Job == spec.ID {
				running++
			}
		})
		require.Equal(t, 4, running, "replicas on machines that are reached")
		require.True(t, partitioned.terminated, "the machine was not terminated")
		cluster.Run(60 * time.Second)
		require.Empty(t, cluster.Violations)
		require.Empty(t, cluster.Unfinished())
	}
}

// newBusyFleet is three controllers with so many machines, on each of which something runs.
func newBusyFleet(machines int) *Cluster {
	settings := testSettings()
	settings.Cluster.Teams[1].CPUsMax = 1000
	cluster := clusterSetup{settings: settings, machines: machines, controllers: 3, seed: 1}.start()
	spec, _ := testJob(1, 0)
	spec.Tasks = 2 * machines
	cluster.At(2*time.Second, func() { cluster.Submit(spec, time.Hour) })
	cluster.Run(30 * time.Second)
	return cluster
}

// TestInboundPartitionedArrivalsAreDetected guards the reason for which workers that come
// from another controller are probed at all: many that came because nothing reaches them
// are still told from the others.
func TestInboundPartitionedArrivalsAreDetected(t *testing.T) {
	cluster := newBusyFleet(80)
	for _, machine := range cluster.machines[:8] {
		machine.inboundPartitioned = true
	}
	cluster.Run(cluster.Lease - time.Second)
	terminated := 0
	for _, machine := range cluster.machines[:8] {
		if machine.terminated {
			terminated++
		}
	}
	require.Equal(t, 8, terminated, "terminated before their leases run out")
	require.Empty(t, cluster.Violations)
}

// TestIsolatedControllerRedirectsWorkers guards against a controller that is partitioned
// from the state store and its peers but not from its workers: what completes there cannot
// be recorded, so its workers must find the others while it lasts.
func TestIsolatedControllerRedirectsWorkers(t *testing.T) {
	cluster := newCluster(3, 3)
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

// TestSchedulingContinuesWithoutPeers guards placement while connections between
// controllers are refused: each receives only the heartbeats that workers send to it, and
// an owner that received few of them once placed nothing on the others. It also guards
// against machines of a conflicting placement that stay reserved for ever, as when they are
// the only ones with room.
func TestSchedulingContinuesWithoutPeers(t *testing.T) {
	for receiver := range 3 {
		settings := testSettings()
		settings.Cluster.Teams = []config.Team{{Name: "blue", CPUs: 8, CPUsMax: 60}}
		cluster := clusterSetup{settings: settings, machines: 10, controllers: 3, seed: 1}.start()
		cluster.Capacity = 0
		cluster.Run(5 * time.Second)
		for _, machine := range cluster.machines {
			machine.controller = receiver
		}
		cluster.Run(5 * time.Second)
		cluster.PeersPartitioned[0], cluster.PeersPartitioned[1], cluster.PeersPartitioned[2] = true, true, true
		cluster.Run(9 * time.Second)
		for n := range 10 {
			spec, run := testJob(2*n, 0)
			spec.Tasks = 4 // all of them need all machines
			cluster.At(0, func() { cluster.Submit(spec, run+60*time.Second) })
		}
		cluster.Run(12 * time.Second)
		running := 0
		cluster.eachActiveTask(func(_ *fakeMachine, _ *fakeTask) { running++ })
		require.GreaterOrEqual(t, running, 36, "all report to rig-%d", receiver)
		cluster.PeersPartitioned = map[int]bool{}
		cluster.Run(120 * time.Second)
		require.Empty(t, cluster.Unfinished(), "all report to rig-%d", receiver)
		require.Empty(t, cluster.Violations)
	}
}

// TestConcurrentPlacementsInDifferentZones guards the condition on the first pages of all
// zones: two controllers that know of different machines, since none receives the others'
// messages, place the same task in different zones while the state store is slow.
func TestConcurrentPlacementsInDifferentZones(t *testing.T) {
	for seed := range uint64(8) {
		cluster := newCluster(seed, 3)
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

// TestProvisionerWithoutWorkersKeepsMachines guards against a provisioner that is
// partitioned from the workers, and takes healthy machines for unresponsive or unreachable.
// It once terminated hundreds of them before it knew that it was itself isolated. Another
// becomes provisioner meanwhile, and replicas of what then really dies are replaced.
func TestProvisionerWithoutWorkersKeepsMachines(t *testing.T) {
	for seed := range uint64(6) {
		cluster := newCluster(seed, 3)
		for i := range 20 {
			cluster.AddMachine(machineTypes[0], zones[i%3], false, 0)
		}
		spec, _ := testJob(1, 1)
		spec.Tasks = 12
		cluster.At(2*time.Second, func() { cluster.Submit(spec, 0) })
		for n := range 30 {
			array, run := testJob(2+n, 0)
			cluster.At(time.Duration(2*n)*time.Second, func() { cluster.Submit(array, run) })
		}
		cluster.Run(20 * time.Second)
		isolated := cluster.provisioner()
		require.GreaterOrEqual(t, isolated, 0)
		cluster.WorkersPartitioned[isolated] = true
		cluster.Run(14 * time.Second)
		for _, machine := range cluster.machines[:24] {
			require.False(t, machine.terminated, "seed %d: %s was terminated though it is healthy", seed, machine.id)
		}
		require.NotEqual(t, isolated, cluster.provisioner(), "seed %d: who is isolated still provisions", seed)
		for _, machine := range cluster.machines {
			if !machine.terminated && len(machine.tasks) > 0 {
				machine.terminate()
				break
			}
		}
		cluster.Run(16 * time.Second)
		running := 0
		cluster.eachActiveTask(func(_ *fakeMachine, task *fakeTask) {
			if task.id.Job == spec.ID {
				running++
			}
		})
		require.Equal(t, 12, running, "seed %d", seed)
		delete(cluster.WorkersPartitioned, isolated)
		cluster.Run(100 * time.Second)
		require.Empty(t, cluster.Violations)
		require.Empty(t, cluster.Unfinished())
	}
}
