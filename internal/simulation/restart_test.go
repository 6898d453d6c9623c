package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
)

// TestStalledControllerDoesNotTrustBufferedAnswers guards against a controller that stalls
// and, when it resumes, takes what waited in its buffers for news. An answer of the state
// store from before then made it believe that it reached the store at that moment:
// partitioned meanwhile with its zone, it went on answering workers for too long, and tasks
// of a cancelled job outlived their time.
func TestStalledControllerDoesNotTrustBufferedAnswers(t *testing.T) {
	for seed := range uint64(6) {
		cluster := newCluster(seed, 2)
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

// TestControllerRestartKeepsMachines guards against a provisioner that has just started:
// machines that it knows by the records alone it gave up before it had read the cloud's
// list, and before their workers, with heartbeats far apart, had reason to send one.
func TestControllerRestartKeepsMachines(t *testing.T) {
	for seed := range uint64(6) {
		settings := testSettings()
		settings.Cluster.Teams[1].CPUsMax = 200
		settings.Cluster.Workers = config.Workers{ReportS: 10, LeaseS: 45, GangWaitS: 35, GangPeerS: 6, CancelS: 65}
		cluster := clusterSetup{settings: settings, machines: 60, controllers: 3, seed: seed}.start()
		spec, _ := testJob(1, 1)
		spec.Tasks = 48
		cluster.At(13*time.Second, func() { cluster.Submit(spec, 0) })
		cluster.Run(30 * time.Second)
		cluster.injectStoreOutage(20 * time.Second)
		cluster.At(17*time.Second, func() {
			for i := range cluster.controllers {
				cluster.restart(i, 4*time.Second)
			}
			cluster.CloudUnavailable = true // the list comes late
			cluster.At(14*time.Second, func() { cluster.CloudUnavailable = false })
		})
		cluster.Run(60 * time.Second)
		for _, machine := range cluster.machines[:60] {
			require.False(t, machine.terminated && len(machine.tasks) > 0, "seed %d: %s was terminated", seed, machine.id)
		}
		require.Empty(t, cluster.Violations)
	}
}

// TestCompletedJobsAnsweredAfterRestart guards against forgetting what is no longer cached:
// after every controller restarted, each completed job is still answered, and so is a
// repeat of its submission.
func TestCompletedJobsAnsweredAfterRestart(t *testing.T) {
	cluster := newCluster(6, 2)
	for n := range 10 {
		spec, run := testJob(n, 0)
		cluster.At(time.Second, func() { cluster.Submit(spec, run) })
		cluster.At(90*time.Second, func() { cluster.Submit(spec, run) })
	}
	cluster.Run(60 * time.Second)
	require.Empty(t, cluster.Unfinished())
	for i := range cluster.controllers {
		cluster.Start(i)
	}
	cluster.FaultsOverAt = cluster.Now()
	cluster.Run(100 * time.Second)
	require.Empty(t, cluster.Violations)
}
