package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
)

// TestStalledControllerDoesNotTrustBufferedAnswers guards against a controller that resumes from a
// stall and treats the messages in its buffers as recent. If it counted a buffered answer of the
// state store as current contact with the store, although it has been partitioned with its zone
// meanwhile, it would answer workers for too long, and tasks of a cancelled job would run past
// the cancellation timeout.
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
		cluster.At(200*time.Millisecond, func() { cluster.Submit(other, run) }) // a change for its open watch
		cluster.At(time.Second, func() {
			cluster.CloudUnavailable = true
			cluster.PartitionZone(zones[0], 0, 70*time.Second)
			cluster.CancelJob(spec.ID)
		})
		cluster.Run(70 * time.Second)
		require.Empty(t, cluster.Violations, "seed %d", seed)
	}
}

// TestControllerRestartKeepsMachines guards against a provisioner that has just started and
// terminates machines that it knows only from the records, before it has read the cloud's list
// and before their workers, with their long heartbeat interval, are due to send a heartbeat.
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
			cluster.CloudUnavailable = true // delays the cloud's list
			cluster.At(14*time.Second, func() { cluster.CloudUnavailable = false })
		})
		cluster.Run(60 * time.Second)
		for _, machine := range cluster.machines[:60] {
			require.False(t, machine.terminated && len(machine.tasks) > 0, "seed %d: %s was terminated with tasks on it", seed, machine.id)
		}
		require.Empty(t, cluster.Violations)
	}
}

// TestCompletedJobsAnsweredAfterRestart guards against losing completed jobs that are no longer
// cached. After all controllers restart, polls of each completed job and a repeat of its
// submission must still be answered.
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
