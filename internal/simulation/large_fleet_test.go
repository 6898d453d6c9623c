package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// largeFleetSize is the number of machines of the large fleet, more than any installation runs.
const largeFleetSize = 4200

// TestLargeFleet guards against bounds that a fleet of 4,200 machines exceeds. It checks that the
// fleet is provisioned, sends its heartbeats and runs its tasks, that a restart of all controllers
// leaves tasks and machines running, and that the machines are terminated in the end.
func TestLargeFleet(t *testing.T) {
	t.Parallel()
	runLargeFleet(t, (*Cluster).Start)
}

// TestLargeFleetWithShards is like TestLargeFleet, with shards in use.
func TestLargeFleetWithShards(t *testing.T) {
	t.Parallel()
	cluster := runLargeFleet(t, (*Cluster).startWithShards)
	require.Greater(t, cluster.Observed[placedInShard], largeFleetSize/2)
	require.Zero(t, cluster.unownedShards())
}

func runLargeFleet(t *testing.T, start func(cluster *Cluster, i int)) *Cluster {
	t.Helper()
	settings := testSettings()
	settings.Cluster.Teams = identicalTeams(4, config.Team{CPUs: 4000, CPUsMax: 9000})
	settings.Cluster.Workers = config.Workers{ReportS: 10, LeaseS: 45, GangWaitS: 35, GangPeerS: 6, CancelS: 65}
	settings.Cluster.State = config.State{RPS: 300, WriteRPS: 100, ValueKB: 8, TxnOps: 32}
	settings.Cluster.Quota = config.Quota{CoreShare: 1, MemMB: 400, Sockets: 6000}
	settings.Cluster.Objectives = []config.Objective{{Kind: "finished", Class: "batch", WithinS: 600, Share: 0.9}} // too short to wait for machines that other tasks free
	types := []wire.MachineType{{Name: "c4", Cores: 4, MemGB: 32, OnDemandPrice: 0.2, SpotPrice: 0.1, StartupS: 15, PullGBPerS: 0.5, Zones: zones}}
	cluster := NewCluster(settings, types, 3, 1)
	cluster.Capacity = largeFleetSize
	for i := range cluster.controllers {
		start(cluster, i)
	}
	for n := range 4 {
		spec, _ := testJob(n, 0)
		spec.Team, spec.Tasks, spec.Cores, spec.MemGB, spec.RuntimeS, spec.Spot = teamName(n), largeFleetSize/4, 4, 16, 500, false
		cluster.At(2*time.Second, func() { cluster.Submit(spec, 500*time.Second) })
	}
	up := func() int {
		n := 0
		for _, machine := range cluster.machines {
			if machine.up && !machine.terminated {
				n++
			}
		}
		return n
	}
	running := func() int {
		n := 0
		cluster.eachActiveTask(func(*fakeMachine, *fakeTask) { n++ })
		return n
	}
	runUntil := func(what string, timeout time.Duration, ok func() bool) {
		from := cluster.Now()
		for !ok() {
			require.Less(t, cluster.Now()-from, timeout, "%s: %d up, %d running", what, up(), running())
			cluster.Run(5 * time.Second)
		}
		t.Logf("%s after %v", what, cluster.Now()-from)
	}
	runUntil("all tasks run, one to a machine", 6*time.Minute, func() bool { return running() == largeFleetSize })
	before := len(cluster.machines)
	for i := range cluster.controllers {
		cluster.restart(i, 3*time.Second)
	}
	cluster.Run(30 * time.Second)
	require.Equal(t, largeFleetSize, running(), "tasks lost by the restart of all controllers")
	require.Less(t, len(cluster.machines)-before, largeFleetSize/50, "healthy machines were terminated and replaced")
	runUntil("all jobs are done", 12*time.Minute, func() bool { return len(cluster.Unfinished()) == 0 })
	runUntil("nearly all machines are terminated", 5*time.Minute, func() bool { return up() < largeFleetSize/20 })
	require.Empty(t, cluster.Violations)
	return cluster
}
