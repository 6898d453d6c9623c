package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// TestDuplicatedHeartbeatsAreIgnored guards against treating an old heartbeat as a new one. Copies
// arrive up to three leases late, also after the agent epoch changed, the machine was terminated,
// or the controllers restarted and lost track of the latest heartbeat.
func TestDuplicatedHeartbeatsAreIgnored(t *testing.T) {
	for seed := range uint64(6) {
		cluster := newCluster(seed, 3)
		cluster.DuplicatedHeartbeats = 0.5
		for n := range 24 {
			spec, run := testJob(n, n%8)
			cluster.At(time.Duration(2*n)*time.Second, func() { cluster.Submit(spec, run) })
			if spec.Shape == wire.ShapeService {
				cluster.At(time.Duration(70+n)*time.Second, func() { cluster.CancelJob(spec.ID) })
			}
		}
		for _, planned := range []fault{
			{faultMachineHangs, 15 * time.Second, 20 * time.Second, 1}, // longer than a lease, so a new agent epoch begins
			{faultMachineDies, 20 * time.Second, 0, 2},
			{faultCrashAll, 28 * time.Second, 0, 0},
			{faultMachineHangs, 45 * time.Second, 20 * time.Second, 0},
			{faultDoubleRestartAll, 50 * time.Second, 0, 0},
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

// TestDuplicatedHeartbeatsOfDeadMachine guards against considering a dead machine alive because
// copies of its heartbeats keep arriving. Its replicas must be replaced on other machines.
func TestDuplicatedHeartbeatsOfDeadMachine(t *testing.T) {
	for seed := range uint64(6) {
		cluster := newCluster(seed, 2)
		cluster.DuplicatedHeartbeats = 1
		for n := range 4 {
			cluster.AddMachine(machineTypes[0], zones[n%3], false, 0) // room for the replacements
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
			cluster.Start(0) // no longer knows which heartbeat was the latest
			cluster.Start(1)
			cluster.Run(10 * time.Second)
		}
		cluster.Run(13 * time.Second)
		running := 0
		cluster.eachActiveTask(func(*fakeMachine, *fakeTask) { running++ })
		require.Equal(t, 3, running, "running replicas, seed %d", seed)
		require.Empty(t, cluster.Violations)
	}
}

// TestDeadMachineDetectedWithLongHeartbeatInterval guards against counting machines as
// unresponsive although their next heartbeat is not due yet. With a long heartbeat interval this
// applies to most machines at any time. If they were counted while one peer is partitioned, no
// machine would be terminated.
func TestDeadMachineDetectedWithLongHeartbeatInterval(t *testing.T) {
	for seed := range uint64(6) {
		settings := testSettings()
		settings.Cluster.Workers = config.Workers{ReportS: 20, LeaseS: 60, GangWaitS: 35, GangPeerS: 6, CancelS: 80}
		cluster := clusterSetup{settings: settings, machines: 30, controllers: 3, seed: seed}.start()
		spec, _ := testJob(1, 1)
		spec.Tasks = 10
		cluster.At(2*time.Second, func() { cluster.Submit(spec, 0) })
		cluster.Run(15 * time.Second)
		cluster.PeersPartitioned[(cluster.provisioner()+1)%3] = true
		cluster.Run(6 * time.Second)
		for _, machine := range cluster.machines {
			if len(machine.tasks) > 0 {
				machine.terminate()
				break
			}
		}
		cluster.Run(15 * time.Second)
		running := 0
		cluster.eachActiveTask(func(_ *fakeMachine, _ *fakeTask) { running++ })
		require.Equal(t, 10, running, "running replicas, seed %d", seed)
		require.Empty(t, cluster.Violations)
	}
}
