package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

// controllerCounts returns the sums of the counters of all running controllers, by name.
func (c *Cluster) controllerCounts() map[string]uint64 {
	sum := map[string]uint64{}
	for _, process := range c.controllers {
		if process.controller == nil {
			continue // the controller is down
		}
		process.lastRequest++
		for _, o := range process.controller.Step(c.now-process.startedAt, 0, controller.ViewRequested{Request: process.lastRequest, View: wire.ViewMetrics}) {
			if reply, ok := o.(controller.Reply); ok && reply.Request == process.lastRequest {
				for name, v := range reply.Body.(wire.AdminMetrics).Counts {
					sum[name] += v
				}
			}
		}
	}
	return sum
}

// TestIdleClusterDoesLittleWork guards against an increase of the work in an idle cluster, which
// controllers with a small core share cannot afford. It counts the work of 30 s in which only
// unchanged heartbeats arrive.
func TestIdleClusterDoesLittleWork(t *testing.T) {
	for _, share := range []float64{0.05, 1} {
		settings := testSettings()
		settings.Cluster.Quota.CoreShare = share
		settings.Cluster.Teams[1].CPUsMax = 400
		cluster := clusterSetup{settings: settings, machines: 120, controllers: 3, seed: 1}.start()
		spec, _ := testJob(1, 1)
		spec.Tasks = 300
		cluster.At(2*time.Second, func() { cluster.Submit(spec, 0) })
		cluster.Run(60 * time.Second)
		before := cluster.controllerCounts()
		cluster.Run(30 * time.Second)
		after := cluster.controllerCounts()
		work := func(name string) int { return int(after[name] - before[name]) }
		require.Less(t, work("records_searched_for_proofs"), 5, "unchanged heartbeats must not trigger a search of the records, share %v", share)
		// The provisioner checks unmet demand periodically, less often with a small core share.
		require.Less(t, work("planning_passes"), map[float64]int{0.05: 35, 1: 65}[share], "too many scheduling passes, share %v", share)
		require.Less(t, work("commits"), 30, "too many commits, share %v", share)
		require.Empty(t, cluster.Violations)
	}
}

// TestUnchangedHeartbeatAllocations bounds the allocations for an unchanged heartbeat of a worker,
// because hundreds of them arrive every second.
func TestUnchangedHeartbeatAllocations(t *testing.T) {
	cluster := newCluster(1, 1)
	spec, _ := testJob(1, 1)
	spec.Tasks = 8
	cluster.At(2*time.Second, func() { cluster.Submit(spec, 0) })
	cluster.Run(20 * time.Second)
	process := cluster.controllers[0]
	var machine *fakeMachine
	for _, candidate := range cluster.machines {
		if len(candidate.tasks) > 0 {
			machine = candidate
		}
	}
	heartbeats := make([]*wire.Heartbeat, 300)
	for i := range heartbeats {
		heartbeats[i] = machine.heartbeat()
	}
	i := 0
	allocs := testing.AllocsPerRun(len(heartbeats)-2, func() {
		process.controller.Step(cluster.now-process.startedAt, 0, controller.HeartbeatReceived{Request: controller.RequestID(1_000_000 + i), Heartbeat: heartbeats[i]})
		i++
	})
	require.Less(t, allocs, 25.0)
}
