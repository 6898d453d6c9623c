package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/sockets"
	"lilacrill/wire"
)

// TestDirectCallsAreBounded guards against calls that accumulate, with a socket each, when many
// machines hang at once and each leaves its commands and probes unanswered for seconds. Replicas
// must still be replaced soon, and all jobs must end.
//
// It also guards against probing machines in the order of their names. The first few hung
// machines would be probed over and over, and a later one with replicas would be detected as
// unresponsive late.
func TestDirectCallsAreBounded(t *testing.T) {
	for seed := range uint64(12) {
		checkDirectCallsBounded(t, seed)
	}
}

func checkDirectCallsBounded(t *testing.T, seed uint64) {
	t.Helper()
	settings := testSettings()
	settings.Cluster.Teams[0].CPUsMax, settings.Cluster.Teams[1].CPUsMax = 400, 400
	settings.Cluster.Quota.Sockets = 160
	cluster := clusterSetup{settings: settings, machines: 90, controllers: 2, seed: seed}.start()
	cluster.Capacity = 60
	for n := range 30 {
		spec, run := testJob(2*n, 0)
		spec.Tasks = 16
		cluster.At(time.Duration(2+n/2)*time.Second, func() { cluster.Submit(spec, run+8*time.Second) })
	}
	service, _ := testJob(999, 1)
	service.Tasks = 8
	cluster.At(time.Second, func() { cluster.Submit(service, 0) })
	cluster.Run(12 * time.Second)
	for i, machine := range cluster.machines {
		if i%2 == 0 {
			machine.hung = true
			cluster.At(40*time.Second, machine.resume)
		}
	}
	for n := range 30 {
		cluster.CancelJob(wire.JobID(fmt.Sprintf("wk-%06d", 2*n)))
	}
	cluster.Run(15 * time.Second)
	running := 0
	cluster.eachActiveTask(func(machine *fakeMachine, task *fakeTask) {
		if task.id.Job == service.ID && !machine.hung {
			running++
		}
	})
	require.Equal(t, 8, running, "seed %d: running replicas on responsive machines", seed)
	cluster.Run(150 * time.Second)
	for _, n := range cluster.controllers {
		require.LessOrEqual(t, n.maxDirectCalls, sockets.NewBudget(&settings).Workers, fmt.Sprint("rig-", n.index))
		require.Greater(t, n.maxDirectCalls, 4, "too few concurrent direct calls to test the bound")
	}
	require.Empty(t, cluster.Violations)
	require.Empty(t, cluster.Unfinished())
}

// TestReplicasReplacedFirstWhenManyMachinesHang guards against replacing replicas late when their
// machines hang shortly after many idle ones. If the idle machines, which are unresponsive first,
// use up the bound on how many machines are terminated at a time, the replicas are missing for as
// long as the fault lasts.
func TestReplicasReplacedFirstWhenManyMachinesHang(t *testing.T) {
	for seed := range uint64(4) {
		settings := testSettings()
		settings.Cluster.Teams[1].CPUsMax = 200
		cluster := clusterSetup{settings: settings, machines: 80, controllers: 3, seed: seed}.start()
		cluster.Capacity = 60
		spec, _ := testJob(1, 1)
		spec.Tasks = 30
		cluster.At(2*time.Second, func() { cluster.Submit(spec, 0) })
		cluster.Run(15 * time.Second)
		idle, busy := 0, 0
		for _, machine := range cluster.machines {
			if len(machine.tasks) == 0 && idle < 24 {
				idle++
				machine.hung = true
			}
		}
		cluster.At(2*time.Second, func() {
			for _, machine := range cluster.machines {
				if len(machine.tasks) > 0 && busy < 9 {
					busy++
					machine.hung = true
				}
			}
		})
		cluster.Run(12 * time.Second)
		running := 0
		cluster.eachActiveTask(func(machine *fakeMachine, _ *fakeTask) {
			if !machine.hung {
				running++
			}
		})
		require.GreaterOrEqual(t, running, 25, "running replicas, seed %d", seed)
		require.Empty(t, cluster.Violations)
	}
}
