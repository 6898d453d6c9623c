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
		w := newCluster(t, seed, 2)
		spec, _ := testJob(1, 1)
		spec.Tasks, spec.Zone = 2, zones[0]
		w.At(2*time.Second, func() { w.Submit(spec, 0) })
		for _, m := range w.machines {
			m.controller = 0
		}
		w.Run(20 * time.Second)
		other, run := testJob(2, 0)
		w.Stall(0, 8*time.Second)
		w.At(200*time.Millisecond, func() { w.Submit(other, run) }) // news for its open watch
		w.At(time.Second, func() {
			w.CloudUnavailable = true
			w.PartitionZone(zones[0], 0, 70*time.Second)
			w.CancelJob(spec.ID)
		})
		w.Run(70 * time.Second)
		require.Empty(t, w.Violations, "seed %d", seed)
	}
}

// TestBuyerCutFromWorkers guards against a buyer that workers do not reach, and
// that takes well machines for silent or deaf. It once returned hundreds of them
// before it knew that it was itself cut off. Others take over buying meanwhile,
// and replicas of what then really dies come back.
func TestBuyerCutFromWorkers(t *testing.T) {
	for seed := range uint64(6) {
		w := newCluster(t, seed, 3)
		for i := range 20 {
			w.AddMachine(machineTypes[0], zones[i%3], false, 0)
		}
		spec, _ := testJob(1, 1)
		spec.Tasks = 12
		w.At(2*time.Second, func() { w.Submit(spec, 0) })
		for n := range 30 {
			array, run := testJob(2+n, 0)
			w.At(time.Duration(2*n)*time.Second, func() { w.Submit(array, run) })
		}
		w.Run(20 * time.Second)
		buyer := w.provisioner()
		require.GreaterOrEqual(t, buyer, 0)
		w.WorkersPartitioned[buyer] = true
		w.Run(14 * time.Second)
		for _, m := range w.machines[:24] {
			require.False(t, m.terminated, "seed %d: %s was returned though it is well", seed, m.id)
		}
		require.NotEqual(t, buyer, w.provisioner(), "seed %d: who is cut off still buys", seed)
		for _, m := range w.machines {
			if !m.terminated && len(m.tasks) > 0 {
				m.terminate()
				break
			}
		}
		w.Run(16 * time.Second)
		running := 0
		w.eachActiveTask(func(_ *fakeMachine, tk *fakeTask) {
			if tk.id.Job == spec.ID {
				running++
			}
		})
		require.Equal(t, 12, running, "seed %d", seed)
		delete(w.WorkersPartitioned, buyer)
		w.Run(100 * time.Second)
		require.Empty(t, w.Violations)
		require.Empty(t, w.Unfinished())
	}
}
