package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// rolloutSteps are what may happen in a rollout besides other faults.
var rolloutSteps = []string{"upgrade", "upgrade", "roll back", "restart", "freeze", "state cut", "state down", "stop", "activate", "activate", "exclude"}

// applyRolloutStep takes one of them on a controller.
func (c *Cluster) applyRolloutStep(kind string, who int, last time.Duration) {
	i := who % len(c.controllers)
	switch kind {
	case "upgrade":
		c.startNewerRelease(i)
	case "roll back":
		c.startOlderRelease(i)
	case "restart":
		c.restart(i, last/10)
	case "freeze":
		c.Stall(i, last)
	case "state cut":
		c.partitionFromStore(i, last)
	case "state down":
		c.injectStoreOutage(last / 2)
	case "stop":
		c.Stop(i)
	case "activate":
		c.changeRollout(i, c.compressedActivation())
	case "exclude":
		c.changeRollout(i, wire.AdminRolloutChange{Version: c.rolloutVersion(), Exclude: "rig-0", Reason: "drawn"})
	}
}

// TestInvariantsHoldDuringRollouts upgrades, rolls back, stops and stalls controllers in
// generated orders while jobs run, with activations requested throughout, until all are
// newer. The cluster's rules hold, nothing of a later format is written before it is in
// force, and every job ends.
func TestInvariantsHoldDuringRollouts(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		cluster := newLargeValueCluster(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "controllers"), func(cluster *Cluster, i int) {
			if rapid.IntRange(0, 2).Draw(t, "older") == 0 {
				cluster.startOlderRelease(i)
			} else {
				cluster.startNewerRelease(i)
			}
		})
		cluster.MessageLoss = rapid.SampledFrom([]float64{0, 0, 0.03}).Draw(t, "loss")
		cluster.DelayedCommits = rapid.SampledFrom([]float64{0, 0, 0.1}).Draw(t, "late writes")
		cluster.DuplicatedPeerMessages = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "late lines")
		submitMixedJobs(cluster, 50, 6)
		for range rapid.IntRange(3, 16).Draw(t, "steps") {
			kind := rapid.SampledFrom(rolloutSteps).Draw(t, "step")
			who := rapid.IntRange(0, 3).Draw(t, "who")
			last := time.Duration(rapid.IntRange(1, 20).Draw(t, "last")) * time.Second
			cluster.At(time.Duration(rapid.IntRange(5, 70).Draw(t, "when"))*time.Second, func() { cluster.applyRolloutStep(kind, who, last) })
		}
		cluster.Run(75 * time.Second)
		cluster.MessageLoss, cluster.DelayedCommits, cluster.DuplicatedPeerMessages = 0, 0, 0
		if len(cluster.Shutdowns) > 0 {
			seen["an older process ended"]++
		}
		if cluster.ActiveFormat() == record.FormatCompressed {
			seen["in force on the way"]++
		}
		for i := range cluster.controllers {
			cluster.startNewerRelease(i)
		}
		cluster.Run(15 * time.Second)
		if cluster.ActiveFormat() == record.FormatPlain {
			reply := cluster.changeRollout(0, cluster.compressedActivation())
			cluster.Run(2 * time.Second)
			require.Equal(t, 200, reply.Status, "%v", reply.Body)
		}
		cluster.Run(45 * time.Second) // the last late copies
		cluster.FaultsOverAt = cluster.Now()
		cluster.Run(150 * time.Second)
		require.Empty(t, cluster.Violations)
		require.Empty(t, cluster.Unfinished())
	})
	require.Greater(t, seen["in force on the way"], 10)
	require.Greater(t, seen["an older process ended"], 3)
}
