package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lilacrill/internal/shard"
	"lilacrill/wire"
)

// shardSteps lists the steps of generated schedules in which shards move. Some are kinds of
// faults. A step listed several times is drawn more often.
var shardSteps = []faultKind{"move", "move", "move", "drain", "end drain", "restart", "stop", "stall", faultStorePartition,
	"store outage", faultWorkerPartition, faultIsolation, faultMachineHangs, faultMachineDies, faultPreemption, "provision"}

// applyShardStep applies one of the shardSteps to the controllers, shard or machine that the
// number n selects. The duration determines how long a drain, stop, stall, outage or other
// temporary step lasts.
func (c *Cluster) applyShardStep(kind faultKind, n int, duration time.Duration) {
	i := n % len(c.controllers)
	switch kind {
	case "move":
		c.changeShards(i, c.shardMove(wire.ShardID(n%shard.Count), n/7%len(c.controllers)))
	case "drain":
		c.changeShards(n/3%len(c.controllers), wire.AdminShardChange{Drain: controllerLabel(i), Reason: "drawn"})
		c.At(duration, func() { c.changeShards(n/3%len(c.controllers), wire.AdminShardChange{EndDrain: controllerLabel(i)}) })
	case "end drain": // no action: the step that starts a drain also schedules its end
	case "restart":
		c.restart(i, duration/10)
	case "stop":
		c.restart(i, duration)
	case "stall":
		c.Stall(i, duration)
	case "provision":
		c.AddMachine(machineTypes[n%2], zones[n%len(zones)], false, duration/10)
	case "store outage":
		c.injectStoreOutage(duration / 2)
	default:
		fault{kind, 0, duration, n}.inject(c)
	}
}

// TestInvariantsHoldWhileShardsMove moves shards on operators' requests, and drains, stops, stalls
// and partitions controllers, in generated orders while jobs run. It checks that the cluster's
// rules hold, that only the owner of a machine's shard places tasks on it, that every job ends,
// and that every shard has an owner in the end.
func TestInvariantsHoldWhileShardsMove(t *testing.T) {
	t.Parallel()
	seen := map[Observation]int{}
	rapid.Check(t, func(t *rapid.T) {
		cluster := newShardedCluster(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "controllers"))
		cluster.MessageLoss = rapid.SampledFrom([]float64{0, 0, 0.03}).Draw(t, "message loss")
		cluster.DelayedCommits = rapid.SampledFrom([]float64{0, 0, 0.1}).Draw(t, "delayed commits")
		cluster.LoseAnswersOnly = rapid.Bool().Draw(t, "lose answers only")
		cluster.DuplicatedPeerMessages = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "duplicated peer messages")
		submitMixedJobs(cluster, 50, 6)
		for range rapid.IntRange(5, 30).Draw(t, "steps") {
			kind := rapid.SampledFrom(shardSteps).Draw(t, "step")
			n := rapid.IntRange(0, 1000).Draw(t, "target")
			duration := time.Duration(rapid.IntRange(1, 20).Draw(t, "duration")) * time.Second
			cluster.At(time.Duration(rapid.IntRange(1, 50).Draw(t, "applied at"))*time.Second, func() { cluster.applyShardStep(kind, n, duration) })
		}
		cluster.Run(75 * time.Second)
		cluster.MessageLoss, cluster.DelayedCommits, cluster.DuplicatedPeerMessages = 0, 0, 0
		cluster.Run(60 * time.Second) // until the last delayed copy
		cluster.FaultsOverAt = cluster.Now()
		cluster.Run(150 * time.Second)
		require.Empty(t, cluster.Violations)
		require.Empty(t, cluster.Unfinished())
		require.Zero(t, cluster.unownedShards())
		for kind, n := range cluster.Observed {
			seen[kind] += n
		}
	})
	require.Greater(t, seen[placedInShard], 2000)
	require.Greater(t, seen[shardAdopted], 100)
	require.Greater(t, seen[shardFailedOver], 100)
}
