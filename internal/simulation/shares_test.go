package simulation

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lilacrill/internal/config"
	"lilacrill/internal/controller"
	"lilacrill/internal/shard"
	"lilacrill/wire"
)

// startWithShards starts a controller that enables shares, and brings the newest format into
// force once all read it.
func (c *Cluster) startWithShards(i int) {
	features, settle := config.DefaultFeatures(), 0.0
	features.Rollout.Activation, features.Rollout.SettleS = config.ActivationAutomatic, &settle
	features.Shares.Enabled = true
	c.Features[i] = features
	c.Start(i)
}

// newShardedCluster is a world in which shares are in use, with machines in most of them.
func newShardedCluster(t require.TestingT, seed uint64, controllers int) *Cluster {
	cluster := newLargeValueCluster(seed, controllers, (*Cluster).startWithShards)
	for i := range 24 {
		cluster.AddMachine(machineTypes[0], zones[i%len(zones)], false, 0)
	}
	cluster.Run(15 * time.Second)
	require.True(t, cluster.shardPolicy().Enabled)
	require.Zero(t, cluster.unownedShards())
	return cluster
}

// unownedShards counts the shares without a living owner.
func (c *Cluster) unownedShards() int {
	n := 0
	for id := range wire.ShardID(shard.Count) {
		if s := c.Shard(id); s.Epoch == 0 || !c.isLive(s.Owner) {
			n++
		}
	}
	return n
}

// shardsByOwner counts the shares of each controller.
func (c *Cluster) shardsByOwner() map[string]int {
	owned := map[string]int{}
	for id := range wire.ShardID(shard.Count) {
		owned[c.Shard(id).Owner.Label]++
	}
	return owned
}

// changeShards asks a controller for a change; the reply is there some time later.
func (c *Cluster) changeShards(i int, change wire.AdminShardChange) *controller.Reply {
	reply := &controller.Reply{}
	c.sendToController(c.controllers[i], func(id controller.RequestID) controller.Input {
		return controller.ShardChangeRequested{Request: id, Change: change}
	},
		func(received controller.Reply) { *reply = received })
	return reply
}

// shardMove is a change that moves a share, from the epoch that stands in the state service.
func (c *Cluster) shardMove(id wire.ShardID, to int) wire.AdminShardChange {
	return wire.AdminShardChange{Move: &id, To: controllerLabel(to), Epoch: c.Shard(id).Epoch}
}

// TestSharesEvenlyOwned: once all enable them, every share has one owner, each owns about as
// many, a controller that joins later gets its part, and jobs run as ever. Workers are led to
// the owners of their shares, and none loses its lease on the way.
func TestSharesEvenlyOwned(t *testing.T) {
	cluster := newShardedCluster(t, 1, 3)
	cluster.changeSettings(`{"idle_s":86400}`)
	submitMixedJobs(cluster, 60, 6)
	cluster.Run(20 * time.Second)
	for i := range 3 {
		require.InDelta(t, shard.Count/3, cluster.shardsByOwner()[controllerLabel(i)], shard.Tolerance)
	}
	cluster.Stop(2)
	cluster.Run(9 * time.Second)
	require.Zero(t, cluster.unownedShards())
	require.Zero(t, cluster.shardsByOwner()[controllerLabel(2)])
	cluster.startWithShards(2)
	cluster.Run(25 * time.Second)
	for i := range 3 {
		require.InDelta(t, shard.Count/3, cluster.shardsByOwner()[controllerLabel(i)], shard.Tolerance)
	}
	require.Greater(t, cluster.Observed["placed in a share"], 50)
	requireAllFinished(t, cluster)
	led, machines := 0, 0
	for _, machine := range cluster.machines {
		if machine.up && !machine.terminated {
			machines++
			require.EqualValues(t, 1, machine.agentEpoch)
			if controllerLabel(machine.controller) == cluster.Shard(shard.ShardOf(machine.id)).Owner.Label {
				led++
			}
		}
	}
	require.Greater(t, led, machines*3/4, "of %d", machines)
}

// TestShareMovedByOperator: of two moves of a share that operators ask for at once one is
// carried out, and the other refused.
func TestShareMovedByOperator(t *testing.T) {
	cluster := newShardedCluster(t, 2, 3)
	submitMixedJobs(cluster, 40, 6)
	const id = 5
	from := cluster.Shard(id).Owner.Label
	to := 0
	for controllerLabel(to) == from {
		to++
	}
	change := cluster.shardMove(id, to)
	firstReply, secondReply := cluster.changeShards(0, change), cluster.changeShards(1, change)
	cluster.Run(3 * time.Second)
	require.ElementsMatch(t, []int{http.StatusOK, http.StatusConflict}, []int{firstReply.Status, secondReply.Status})
	require.Equal(t, controllerLabel(to), cluster.Shard(id).Owner.Label)
	require.Equal(t, change.Epoch+1, cluster.Shard(id).Epoch)
	requireAllFinished(t, cluster)
}

// TestRulesHoldWithShares is TestRulesHold with shares in use from early on.
func TestRulesHoldWithShares(t *testing.T) {
	t.Parallel()
	placed := 0
	rapid.Check(t, func(t *rapid.T) {
		cluster := runGeneratedScheduleWith(t, (*Cluster).startWithShards)
		placed += cluster.Observed["placed in a share"]
		require.Empty(t, cluster.Violations)
		require.Empty(t, cluster.Unfinished(), "jobs that never ended: %v", cluster.Records())
	})
	require.Greater(t, placed, 1000)
}

// shardSteps is what may happen while shares move.
var shardSteps = []string{"move", "move", "move", "drain", "end drain", "restart", "stop", "freeze", "state cut", "state down", "worker cut", "alone",
	"machine hangs", "machine dies", "notice", "rent"}

// shardStep does one of them; last is how long what passes lasts.
func (c *Cluster) shardStep(kind string, who int, last time.Duration) {
	i := who % len(c.controllers)
	switch kind {
	case "move":
		c.changeShards(i, c.shardMove(wire.ShardID(who%shard.Count), who/7%len(c.controllers)))
	case "drain":
		c.changeShards(who/3%len(c.controllers), wire.AdminShardChange{Drain: controllerLabel(i), Reason: "drawn"})
		c.At(last, func() { c.changeShards(who/3%len(c.controllers), wire.AdminShardChange{EndDrain: controllerLabel(i)}) })
	case "restart":
		c.restart(i, last/10)
	case "stop":
		c.restart(i, last)
	case "freeze":
		c.Stall(i, last)
	case "rent":
		c.AddMachine(machineTypes[who%2], zones[who%len(zones)], false, last/10)
	case "state down":
		c.storeOutage(last / 2)
	case "machine hangs":
		fault{"hang", 0, last, who}.inject(c)
	case "machine dies":
		fault{"die", 0, last, who}.inject(c)
	default:
		fault{kind, 0, last, who}.inject(c)
	}
}

// TestShareSchedules moves shares by operators' words, drains, ends, freezes and cuts
// controllers in generated orders while jobs run. The world's rules hold, nothing is placed
// on a machine but by the owner of its share, every job ends, and every share has an owner
// in the end.
func TestShareSchedules(t *testing.T) {
	t.Parallel()
	seen := map[string]int{}
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
			cluster.At(time.Duration(rapid.IntRange(1, 50).Draw(t, "when"))*time.Second, func() { cluster.shardStep(kind, who, last) })
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
	require.Greater(t, seen["placed in a share"], 2000)
	require.Greater(t, seen["share adopted"], 100)
	require.Greater(t, seen["share taken over"], 100)
}
