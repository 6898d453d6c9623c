package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// TestDuplicatedHeartbeatsAreIgnored guards against taking an old heartbeat for a new one:
// copies arrive up to three leases late, across new agent epochs, terminated machines and
// controllers that have forgotten which heartbeat was the last.
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
			{faultMachineHangs, 15 * time.Second, 20 * time.Second, 1}, // well over a lease: a new session
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

// TestDuplicatedHeartbeatsOfDeadMachine guards against keeping a dead machine alive: copies
// of its heartbeats go on arriving, and its replicas must run elsewhere all the same.
func TestDuplicatedHeartbeatsOfDeadMachine(t *testing.T) {
	for seed := range uint64(6) {
		cluster := newCluster(seed, 2)
		cluster.DuplicatedHeartbeats = 1
		for n := range 4 {
			cluster.AddMachine(machineTypes[0], zones[n%3], false, 0) // room to go to
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
			cluster.Start(0) // it no longer knows which report was the last
			cluster.Start(1)
			cluster.Run(10 * time.Second)
		}
		cluster.Run(13 * time.Second)
		running := 0
		cluster.eachActiveTask(func(*fakeMachine, *fakeTask) { running++ })
		require.Equal(t, 3, running, "replicas, seed %d", seed)
		require.Empty(t, cluster.Violations)
	}
}

// TestDeadMachineDetectedWithLongHeartbeatInterval guards against counting machines as
// unresponsive that only have no reason yet to send a heartbeat: where heartbeats are far
// apart most are, at any time. With one peer partitioned no machine was given up then.
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
		require.Equal(t, 10, running, "seed %d", seed)
		require.Empty(t, cluster.Violations)
	}
}
