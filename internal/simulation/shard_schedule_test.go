package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lilacrill/internal/shard"
	"lilacrill/wire"
)

// shardSteps are what may happen while shards move, some of them faults.
var shardSteps = []faultKind{"move", "move", "move", "drain", "end drain", "restart", "stop", "stall", faultStorePartition,
	"store outage", faultWorkerPartition, faultIsolation, faultMachineHangs, faultMachineDies, faultPreemption, "provision"}

// applyShardStep takes one of them; last is how long what passes lasts.
func (c *Cluster) applyShardStep(kind faultKind, who int, last time.Duration) {
	i := who % len(c.controllers)
	switch kind {
	case "move":
		c.changeShards(i, c.shardMove(wire.ShardID(who%shard.Count), who/7%len(c.controllers)))
	case "drain":
		c.changeShards(who/3%len(c.controllers), wire.AdminShardChange{Drain: controllerLabel(i), Reason: "drawn"})
		c.At(last, func() { c.changeShards(who/3%len(c.controllers), wire.AdminShardChange{EndDrain: controllerLabel(i)}) })
	case "end drain": // nothing: a drain ends by itself, above
	case "restart":
		c.restart(i, last/10)
	case "stop":
		c.restart(i, last)
	case "stall":
		c.Stall(i, last)
	case "provision":
		c.AddMachine(machineTypes[who%2], zones[who%len(zones)], false, last/10)
	case "store outage":
		c.injectStoreOutage(last / 2)
	default:
		fault{kind, 0, last, who}.inject(c)
	}
}

// TestInvariantsHoldWhileShardsMove moves shards on operators' requests, drains, stops, stalls
// and partitions controllers in generated orders while jobs run. The cluster's rules hold,
// nothing is placed on a machine but by the owner of its shard, every job ends, and every
// shard has an owner in the end.
func TestInvariantsHoldWhileShardsMove(t *testing.T) {
	t.Parallel()
	seen := map[Observation]int{}
	rapid.Check(t, func(t *rapid.T) {
		cluster := newShardedCluster(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "controllers"))
		cluster.MessageLoss = rapid.SampledFrom([]float64{0, 0, 0.03}).Draw(t, "loss")
		cluster.DelayedCommits = rapid.SampledFrom([]float64{0, 0, 0.1}).Draw(t, "late writes")
		cluster.LoseAnswersOnly = rapid.Bool().Draw(t, "at once")
		cluster.DuplicatedPeerMessages = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "late lines")
		submitMixedJobs(cluster, 50, 6)
		for range rapid.IntRange(5, 30).Draw(t, "steps") {
			kind := rapid.SampledFrom(shardSteps).Draw(t, "step")
			who := rapid.IntRange(0, 1000).Draw(t, "who")
			last := time.Duration(rapid.IntRange(1, 20).Draw(t, "last")) * time.Second
			cluster.At(time.Duration(rapid.IntRange(1, 50).Draw(t, "when"))*time.Second, func() { cluster.applyShardStep(kind, who, last) })
		}
		cluster.Run(75 * time.Second)
		cluster.MessageLoss, cluster.DelayedCommits, cluster.DuplicatedPeerMessages = 0, 0, 0
		cluster.Run(60 * time.Second) // the last late copies
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
