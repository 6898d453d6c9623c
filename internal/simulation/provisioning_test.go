package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
)

// TestSlowProvisioningIsAwaited guards against terminating machines shortly before their workers
// join. If all machines join late, no task would ever start.
func TestSlowProvisioningIsAwaited(t *testing.T) {
	for seed := range uint64(3) {
		cluster := NewCluster(testSettings(), machineTypes, 2, seed)
		cluster.ProvisioningDelay = func(string, string) time.Duration { return 30 * time.Second } // the machine type states 4 s
		cluster.Start(0)
		cluster.Start(1)
		spec, run := testJob(2, 0)
		cluster.At(2*time.Second, func() { cluster.Submit(spec, run) })
		cluster.Run(60 * time.Second)
		_, started := cluster.StartDelay(spec.ID)
		require.True(t, started, "seed %d: the job never started", seed)
		require.Empty(t, cluster.Unfinished())
		require.Empty(t, cluster.Violations)
	}
}

// TestNeverJoinedMachinesAreReplaced guards against jobs that stay pending because the machines
// provisioned for them never join. Machines must be provisioned in other zones meanwhile, and
// those that never joined must be terminated.
func TestNeverJoinedMachinesAreReplaced(t *testing.T) {
	for seed := range uint64(3) {
		cluster := NewCluster(testSettings(), machineTypes, 2, seed)
		cluster.ProvisioningDelay = func(_, zone string) time.Duration {
			if zone == zones[0] {
				return time.Hour
			}
			return time.Second / 2 // up before the cloud lists it
		}
		cluster.Settings.Cluster.Objectives[0].Class = "batch" // so that the submitted jobs have an objective
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
			require.True(t, machine.up || machine.terminated, "seed %d: %s never joined and was not terminated", seed, machine.id)
		}
		require.Empty(t, cluster.Violations)
	}
}

// TestCapacityShortageDoesNotHideOtherOffers guards against a provisioner that requests the same
// offer without capacity for every pending job, and never requests an offer that has capacity.
func TestCapacityShortageDoesNotHideOtherOffers(t *testing.T) {
	cluster := newCluster(1, 1)
	cluster.Settings.Cluster.Teams[1].CPUsMax = 400
	cluster.Settings.Cluster.Objectives[0].Class = "batch" // so that the submitted jobs have an objective
	for n := range 30 {
		spec, _ := testJob(2*n+1, 0)
		spec.Spot, spec.Tasks, spec.RuntimeS = true, 5, 60
		cluster.At(time.Second, func() { cluster.Submit(spec, 60*time.Second) })
	}
	cluster.Run(45 * time.Second)
	provisioned := map[string]int{}
	for _, machine := range cluster.machines {
		provisioned[fmt.Sprint(machine.machineType.Name, " ", machine.spot)]++
	}
	require.Positive(t, provisioned["g8 false"], "only %v were provisioned", provisioned)
}

// TestExpensiveMachinesAreTerminated guards against paying for expensive machines that work
// without urgency does not need. As long as all of it can start in time on the cheap machines,
// even if they cannot quite keep up, expensive machines must stay unused and be terminated.
func TestExpensiveMachinesAreTerminated(t *testing.T) {
	cluster := newCluster(7, 2)
	cluster.Capacity = 0
	clusterSettings := &cluster.Settings.Cluster
	clusterSettings.Teams = []config.Team{{Name: "blue", CPUs: 0, CPUsMax: 200}, {Name: "red", CPUs: 0, CPUsMax: 200}}
	clusterSettings.Objectives = []config.Objective{{Kind: "wait", Class: "batch", WithinS: 250, Share: 0.9}}
	for i := range cluster.controllers {
		cluster.Start(i)
	}
	for n := range 6 {
		cluster.AddMachine(machineTypes[0], zones[n%3], true, 0)
	}
	for n := range 150 {
		spec, _ := testJob(n, 0)
		spec.Tasks, spec.Spot, spec.RuntimeS = 2, true, 10
		cluster.At(time.Duration(2+n)*time.Second, func() { cluster.Submit(spec, 13*time.Second) })
	}
	cluster.Run(140 * time.Second)
	expensive := 0
	for _, machine := range cluster.machines {
		if !machine.terminated && !machine.spot {
			expensive++
		}
	}
	require.Zero(t, expensive, "expensive machines kept")
	cluster.Run(100 * time.Second)
	require.Empty(t, cluster.Unfinished())
	require.Empty(t, cluster.Violations)
}
