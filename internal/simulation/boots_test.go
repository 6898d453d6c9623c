package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLateMachinesAreAwaited guards against returning machines that come up late
// just before they do: where all of them are late, nothing would ever start.
func TestLateMachinesAreAwaited(t *testing.T) {
	for seed := range uint64(3) {
		w := NewCluster(testSettings(), machineTypes, 2, seed)
		w.ProvisioningDelay = func(string, string) time.Duration { return 30 * time.Second } // 4 s as a rule
		w.Start(0)
		w.Start(1)
		spec, run := testJob(2, 0)
		w.At(2*time.Second, func() { w.Submit(spec, run) })
		w.Run(60 * time.Second)
		_, began := w.StartDelay(spec.ID)
		require.True(t, began, "seed %d", seed)
		require.Empty(t, w.Unfinished())
		require.Empty(t, w.Violations)
	}
}

// TestMachinesThatNeverComeUp guards work that waits for machines that never come
// up: others are rented elsewhere meanwhile, and the dead ones are returned.
func TestMachinesThatNeverComeUp(t *testing.T) {
	for seed := range uint64(3) {
		w := NewCluster(testSettings(), machineTypes, 2, seed)
		w.ProvisioningDelay = func(_, zone string) time.Duration {
			if zone == zones[0] {
				return time.Hour
			}
			return time.Second / 2 // up before the list has it
		}
		w.Settings.Cluster.Objectives[0].Class = "batch" // somebody waits for it
		w.Start(0)
		w.Start(1)
		for n := range 12 {
			spec, run := testJob(n, 0)
			w.At(time.Duration(2+2*n)*time.Second, func() { w.Submit(spec, run) })
		}
		w.Run(65 * time.Second)
		require.Empty(t, w.Unfinished(), "seed %d", seed)
		w.Run(60 * time.Second)
		for _, m := range w.machines {
			require.True(t, m.up || m.terminated, "seed %d: %s is still paid for", seed, m.id)
		}
		require.Empty(t, w.Violations)
	}
}
