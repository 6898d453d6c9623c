package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
)

// TestInboundPartitionedMachineIsReplaced guards against a machine whose heartbeats arrive
// although no response or command reaches it. The machine looks healthy while its lease
// expires. Its tasks must be run elsewhere, no new tasks may be placed on it, and it must be
// terminated.
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
		require.LessOrEqual(t, partitioned.launches-before, 0, "tasks were launched on the partitioned machine")
		cluster.Run(22 * time.Second)
		running := 0
		cluster.eachActiveTask(func(machine *fakeMachine, task *fakeTask) {
			if machine != partitioned && task.id.Job == spec.ID {
				running++
			}
		})
		require.Equal(t, 4, running, "running replicas on other machines")
		require.True(t, partitioned.terminated, "the machine was not terminated")
		cluster.Run(60 * time.Second)
		require.Empty(t, cluster.Violations)
		require.Empty(t, cluster.Unfinished())
	}
}

// newBusyFleet returns a cluster of three controllers and a number of machines, with tasks
// running on every machine.
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

// TestInboundPartitionedArrivalsAreDetected checks that a controller detects inbound-partitioned
// machines when the workers of many of them switch to it at once. Workers that switch
// controllers are probed, as they may have switched because nothing reaches them.
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
	require.Equal(t, 8, terminated, "not all partitioned machines were terminated before their leases expired")
	require.Empty(t, cluster.Violations)
}

// TestIsolatedControllerRedirectsWorkers guards against a controller that keeps its workers
// while it is partitioned from the state store and its peers. It cannot record the completions
// of their tasks, so its workers must switch to the other controllers.
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
	require.Empty(t, cluster.Unfinished(), "completions were not recorded, as workers did not switch to the other controllers")
	for _, machine := range cluster.machines {
		require.EqualValues(t, 1, machine.agentEpoch, "a worker's lease expired")
		require.False(t, machine.terminated, "a machine was terminated")
		require.NotZero(t, machine.controller, "a worker still sends heartbeats to the isolated controller")
	}
	require.Empty(t, cluster.Violations)
}

// TestSchedulingContinuesWithoutPeers guards against an owner that places nothing on machines
// whose heartbeats it does not receive. While connections between controllers are refused, a
// controller receives only the heartbeats that workers send to it directly, which may be few.
// The test also guards against machines that stay reserved forever after a placement on them
// conflicted, which matters if no other machines have room.
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
			spec.Tasks = 4 // together the jobs need all machines
			cluster.At(0, func() { cluster.Submit(spec, run+60*time.Second) })
		}
		cluster.Run(12 * time.Second)
		running := 0
		cluster.eachActiveTask(func(_ *fakeMachine, _ *fakeTask) { running++ })
		require.GreaterOrEqual(t, running, 36, "too few tasks run while all workers send heartbeats to rig-%d", receiver)
		cluster.PeersPartitioned = map[int]bool{}
		cluster.Run(120 * time.Second)
		require.Empty(t, cluster.Unfinished(), "jobs did not end, all workers send heartbeats to rig-%d", receiver)
		require.Empty(t, cluster.Violations)
	}
}

// TestConcurrentPlacementsInDifferentZones guards against two controllers that place the same
// task in different zones. While the state store is slow and no peer messages arrive, the
// controllers know of different machines. The condition on the first placement pages of all
// zones must make one of the two transactions conflict.
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

// TestProvisionerWithoutWorkersKeepsMachines guards against a provisioner that is partitioned
// from the workers and therefore considers healthy machines unresponsive or unreachable. It
// could terminate hundreds of them before it detects its own isolation. Another controller must
// become the provisioner, and replicas on a machine that dies meanwhile must be replaced.
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
		require.NotEqual(t, isolated, cluster.provisioner(), "seed %d: the isolated controller is still the provisioner", seed)
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
		require.Equal(t, 12, running, "running replicas, seed %d", seed)
		delete(cluster.WorkersPartitioned, isolated)
		cluster.Run(100 * time.Second)
		require.Empty(t, cluster.Violations)
		require.Empty(t, cluster.Unfinished())
	}
}
