package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// rolloutSteps lists the steps of generated rollouts. A step listed twice is drawn twice as often.
var rolloutSteps = []string{"upgrade", "upgrade", "roll back", "restart", "stall", "store partition", "store outage", "stop", "activate", "activate", "exclude"}

// applyRolloutStep applies one of the rolloutSteps to the controller that the target selects. The
// duration determines how long a stall, partition, outage or restart lasts.
func (c *Cluster) applyRolloutStep(kind string, target int, duration time.Duration) {
	i := target % len(c.controllers)
	switch kind {
	case "upgrade":
		c.startNewerRelease(i)
	case "roll back":
		c.startOlderRelease(i)
	case "restart":
		c.restart(i, duration/10)
	case "stall":
		c.Stall(i, duration)
	case "store partition":
		c.partitionFromStore(i, duration)
	case "store outage":
		c.injectStoreOutage(duration / 2)
	case "stop":
		c.Stop(i)
	case "activate":
		c.changeRollout(i, c.compressedActivation())
	case "exclude":
		c.changeRollout(i, wire.AdminRolloutChange{Version: c.rolloutVersion(), Exclude: "rig-0", Reason: "drawn"})
	}
}

// TestInvariantsHoldDuringRollouts upgrades, rolls back, stops and stalls controllers in generated
// orders while jobs run and activations are requested, until all controllers run the newer
// release. It checks that the cluster's rules hold, that nothing is written in a later format
// before that format is in force, and that every job ends.
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
		cluster.MessageLoss = rapid.SampledFrom([]float64{0, 0, 0.03}).Draw(t, "message loss")
		cluster.DelayedCommits = rapid.SampledFrom([]float64{0, 0, 0.1}).Draw(t, "delayed commits")
		cluster.DuplicatedPeerMessages = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "duplicated peer messages")
		submitMixedJobs(cluster, 50, 6)
		for range rapid.IntRange(3, 16).Draw(t, "steps") {
			kind := rapid.SampledFrom(rolloutSteps).Draw(t, "step")
			target := rapid.IntRange(0, 3).Draw(t, "target")
			duration := time.Duration(rapid.IntRange(1, 20).Draw(t, "duration")) * time.Second
			cluster.At(time.Duration(rapid.IntRange(5, 70).Draw(t, "applied at"))*time.Second, func() { cluster.applyRolloutStep(kind, target, duration) })
		}
		cluster.Run(75 * time.Second)
		cluster.MessageLoss, cluster.DelayedCommits, cluster.DuplicatedPeerMessages = 0, 0, 0
		if len(cluster.Shutdowns) > 0 {
			seen["older process shut down"]++
		}
		if cluster.ActiveFormat() == record.FormatCompressed {
			seen["compressed format in force early"]++
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
		cluster.Run(45 * time.Second) // until the last delayed copy
		cluster.FaultsOverAt = cluster.Now()
		cluster.Run(150 * time.Second)
		require.Empty(t, cluster.Violations)
		require.Empty(t, cluster.Unfinished())
	})
	require.Greater(t, seen["compressed format in force early"], 10)
	require.Greater(t, seen["older process shut down"], 3)
}
