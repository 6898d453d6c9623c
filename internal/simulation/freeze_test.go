package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFrozenKnowsNothing guards against a controller that stands still and, on
// going on, takes what waited in its buffers for news. An answer of the state
// service from before then made it believe that it had the service at that
// moment: cut off meanwhile with its zone, it went on answering workers for too
// long, and tasks of a job that was withdrawn outlived their time.
func TestFrozenKnowsNothing(t *testing.T) {
	for seed := range uint64(6) {
		cluster := newCluster(t, seed, 2)
		spec, _ := testJob(1, 1)
		spec.Tasks, spec.Zone = 2, zones[0]
		cluster.At(2*time.Second, func() { cluster.Submit(spec, 0) })
		for _, machine := range cluster.machines {
			machine.controller = 0
		}
		cluster.Run(20 * time.Second)
		other, run := testJob(2, 0)
		cluster.Stall(0, 8*time.Second)
		cluster.At(200*time.Millisecond, func() { cluster.Submit(other, run) }) // news for its open watch
		cluster.At(time.Second, func() {
			cluster.CloudUnavailable = true
			cluster.PartitionZone(zones[0], 0, 70*time.Second)
			cluster.CancelJob(spec.ID)
		})
		cluster.Run(70 * time.Second)
		require.Empty(t, cluster.Violations, "seed %d", seed)
	}
}

// TestBuyerCutFromWorkers guards against a buyer that workers do not reach, and
// that takes well machines for silent or deaf. It once returned hundreds of them
// before it knew that it was itself cut off. Others take over buying meanwhile,
// and replicas of what then really dies come back.
func TestBuyerCutFromWorkers(t *testing.T) {
	for seed := range uint64(6) {
		cluster := newCluster(t, seed, 3)
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
		buyer := cluster.provisioner()
		require.GreaterOrEqual(t, buyer, 0)
		cluster.WorkersPartitioned[buyer] = true
		cluster.Run(14 * time.Second)
		for _, machine := range cluster.machines[:24] {
			require.False(t, machine.terminated, "seed %d: %s was returned though it is well", seed, machine.id)
		}
		require.NotEqual(t, buyer, cluster.provisioner(), "seed %d: who is cut off still buys", seed)
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
		delete(cluster.WorkersPartitioned, buyer)
		cluster.Run(100 * time.Second)
		require.Empty(t, cluster.Violations)
		require.Empty(t, cluster.Unfinished())
	}
}
