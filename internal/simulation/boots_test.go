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
		cluster := NewCluster(testSettings(), machineTypes, 2, seed)
		cluster.ProvisioningDelay = func(string, string) time.Duration { return 30 * time.Second } // 4 s as a rule
		cluster.Start(0)
		cluster.Start(1)
		spec, run := testJob(2, 0)
		cluster.At(2*time.Second, func() { cluster.Submit(spec, run) })
		cluster.Run(60 * time.Second)
		_, began := cluster.StartDelay(spec.ID)
		require.True(t, began, "seed %d", seed)
		require.Empty(t, cluster.Unfinished())
		require.Empty(t, cluster.Violations)
	}
}

// TestMachinesThatNeverComeUp guards work that waits for machines that never come
// up: others are rented elsewhere meanwhile, and the dead ones are returned.
func TestMachinesThatNeverComeUp(t *testing.T) {
	for seed := range uint64(3) {
		cluster := NewCluster(testSettings(), machineTypes, 2, seed)
		cluster.ProvisioningDelay = func(_, zone string) time.Duration {
			if zone == zones[0] {
				return time.Hour
			}
			return time.Second / 2 // up before the list has it
		}
		cluster.Settings.Cluster.Objectives[0].Class = "batch" // somebody waits for it
		cluster.Start(0)
		cluster.Start(1)
		for n := range 12 {
			spec, run := testJob(n, 0)
			cluster.At(time.Duration(2+2*n)*time.Second, func() { cluster.Submit(spec, run) })
		}
		cluster.Run(65 * time.Second)
		require.Empty(t, cluster.Unfinished(), "seed %d", seed)
		cluster.Run(60 * time.Second)
		for _, machine := range cluster.machines {
			require.True(t, machine.up || machine.terminated, "seed %d: %s is still paid for", seed, machine.id)
		}
		require.Empty(t, cluster.Violations)
	}
}
