package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStoreOutageKeepsWorkerLeases guards against losing running tasks when the state store is
// unavailable for all controllers. While the peers attest for one another, no worker may lose its
// lease, however long the outage lasts.
func TestStoreOutageKeepsWorkerLeases(t *testing.T) {
	cluster := newClusterWith(shortCancelSettings(), 1, 3)
	for i := range 9 {
		cluster.AddMachine(machineTypes[0], zones[i%3], false, 0)
	}
	spec, _ := testJob(1, 1)
	spec.Tasks = 8
	cluster.At(2*time.Second, func() { cluster.Submit(spec, 0) })
	cluster.Run(20 * time.Second)
	cluster.StoreUnavailable = true
	cluster.Run(100 * time.Second)
	cluster.StoreUnavailable = false
	cluster.store.RenewAll(cluster.now)
	cluster.Run(10 * time.Second)
	cluster.eachActiveTask(func(machine *fakeMachine, _ *fakeTask) {
		require.EqualValues(t, 1, machine.agentEpoch, "%s lost its lease", machine.id)
	})
	require.Equal(t, 8, cluster.jobs[spec.ID].launches, "replicas were relaunched")
	require.Empty(t, cluster.Violations)
}

// TestStoreOutageWithoutPeersKeepsWorkerLeases guards against workers losing their leases when
// there is no controller to redirect them to. The state store is unavailable for a minute, and
// during a third of that no controller receives messages from its peers. A controller cannot
// distinguish a longer loss of both from its own isolation while other controllers cancel jobs.
func TestStoreOutageWithoutPeersKeepsWorkerLeases(t *testing.T) {
	cluster := newCluster(4, 3)
	cluster.Lease = 25 * time.Second
	cluster.Settings.Cluster.Workers.LeaseS = 25
	for i := range cluster.controllers {
		cluster.Start(i)
	}
	cluster.Run(10 * time.Second)
	cluster.StoreUnavailable = true
	for i := range cluster.controllers {
		cluster.PeersPartitioned[i] = true
	}
	cluster.Run(20 * time.Second)
	clear(cluster.PeersPartitioned)
	cluster.Run(40 * time.Second)
	for _, machine := range cluster.machines {
		require.EqualValues(t, 1, machine.agentEpoch, "the lease of %s expired", machine.id)
	}
	require.Empty(t, cluster.Violations)
}
