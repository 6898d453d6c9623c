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
func (w *Cluster) startWithShards(i int) {
	f, settle := config.DefaultFeatures(), 0.0
	f.Rollout.Activation, f.Rollout.SettleS = config.ActivationAutomatic, &settle
	f.Shares.Enabled = true
	w.Features[i] = f
	w.Start(i)
}

// newShardedCluster is a world in which shares are in use, with machines in most of them.
func newShardedCluster(t require.TestingT, seed uint64, controllers int) *Cluster {
	w := newLargeValueCluster(seed, controllers, (*Cluster).startWithShards)
	for i := range 24 {
		w.AddMachine(machineTypes[0], zones[i%len(zones)], false, 0)
	}
	w.Run(15 * second)
	require.True(t, w.shardPolicy().Enabled)
	require.Zero(t, w.unownedShards())
	return w
}

// unownedShards counts the shares without a living owner.
func (w *Cluster) unownedShards() int {
	n := 0
	for id := range wire.ShardID(shard.Count) {
		if s := w.Shard(id); s.Epoch == 0 || !w.isLive(s.Owner) {
			n++
		}
	}
	return n
}

// shardsByOwner counts the shares of each controller.
func (w *Cluster) shardsByOwner() map[string]int {
	owned := map[string]int{}
	for id := range wire.ShardID(shard.Count) {
		owned[w.Shard(id).Owner.Label]++
	}
	return owned
}

// changeShards asks a controller for a change; the reply is there some time later.
func (w *Cluster) changeShards(i int, change wire.AdminShardChange) *controller.Reply {
	reply := &controller.Reply{}
	w.sendToController(w.controllers[i], func(id controller.RequestID) controller.Input {
		return controller.ShardChangeRequested{Request: id, Change: change}
	},
		func(r controller.Reply) { *reply = r })
	return reply
}

// shardMove is a change that moves a share, from the epoch that stands in the state service.
func (w *Cluster) shardMove(id wire.ShardID, to int) wire.AdminShardChange {
	return wire.AdminShardChange{Move: &id, To: controllerLabel(to), Epoch: w.Shard(id).Epoch}
}

// TestSharesEvenlyOwned: once all enable them, every share has one owner, each owns about as
// many, a controller that joins later gets its part, and jobs run as ever. Workers are led to
// the owners of their shares, and none loses its lease on the way.
func TestSharesEvenlyOwned(t *testing.T) {
	w := newShardedCluster(t, 1, 3)
	w.changeSettings(`{"idle_s":86400}`)
	submitMixedJobs(w, 60, 6)
	w.Run(20 * second)
	for i := range 3 {
		require.InDelta(t, shard.Count/3, w.shardsByOwner()[controllerLabel(i)], shard.Tolerance)
	}
	w.Stop(2)
	w.Run(9 * second)
	require.Zero(t, w.unownedShards())
	require.Zero(t, w.shardsByOwner()[controllerLabel(2)])
	w.startWithShards(2)
	w.Run(25 * second)
	for i := range 3 {
		require.InDelta(t, shard.Count/3, w.shardsByOwner()[controllerLabel(i)], shard.Tolerance)
	}
	require.Greater(t, w.Observed["placed in a share"], 50)
	requireAllFinished(t, w)
	led, machines := 0, 0
	for _, m := range w.machines {
		if m.up && !m.terminated {
			machines++
			require.EqualValues(t, 1, m.agentEpoch)
			if controllerLabel(m.controller) == w.Shard(shard.ShardOf(m.id)).Owner.Label {
				led++
			}
		}
	}
	require.Greater(t, led, machines*3/4, "of %d", machines)
}

// TestShareMovedByOperator: of two moves of a share that operators ask for at once one is
// carried out, and the other refused.
func TestShareMovedByOperator(t *testing.T) {
	w := newShardedCluster(t, 2, 3)
	submitMixedJobs(w, 40, 6)
	const id = 5
	from := w.Shard(id).Owner.Label
	to := 0
	for controllerLabel(to) == from {
		to++
	}
	change := w.shardMove(id, to)
	first, second2 := w.changeShards(0, change), w.changeShards(1, change)
	w.Run(3 * second)
	require.ElementsMatch(t, []int{http.StatusOK, http.StatusConflict}, []int{first.Status, second2.Status})
	require.Equal(t, controllerLabel(to), w.Shard(id).Owner.Label)
	require.Equal(t, change.Epoch+1, w.Shard(id).Epoch)
	requireAllFinished(t, w)
}

// TestRulesHoldWithShares is TestRulesHold with shares in use from early on.
func TestRulesHoldWithShares(t *testing.T) {
	t.Parallel()
	placed := 0
	rapid.Check(t, func(t *rapid.T) {
		w := runGeneratedScheduleWith(t, (*Cluster).startWithShards)
		placed += w.Observed["placed in a share"]
		require.Empty(t, w.Violations)
		require.Empty(t, w.Unfinished(), "jobs that never ended: %v", w.Records())
	})
	require.Greater(t, placed, 1000)
}

// shardSteps is what may happen while shares move.
var shardSteps = []string{"move", "move", "move", "drain", "end drain", "restart", "stop", "freeze", "state cut", "state down", "worker cut", "alone",
	"machine hangs", "machine dies", "notice", "rent"}

// shardStep does one of them; last is how long what passes lasts.
func (w *Cluster) shardStep(kind string, who int, last time.Duration) {
	i := who % len(w.controllers)
	switch kind {
	case "move":
		w.changeShards(i, w.shardMove(wire.ShardID(who%shard.Count), who/7%len(w.controllers)))
	case "drain":
		w.changeShards(who/3%len(w.controllers), wire.AdminShardChange{Drain: controllerLabel(i), Reason: "drawn"})
		w.At(last, func() { w.changeShards(who/3%len(w.controllers), wire.AdminShardChange{EndDrain: controllerLabel(i)}) })
	case "restart":
		w.restart(i, last/10)
	case "stop":
		w.restart(i, last)
	case "freeze":
		w.Stall(i, last)
	case "rent":
		w.AddMachine(machineTypes[who%2], zones[who%len(zones)], false, last/10)
	case "state down":
		w.storeOutage(last / 2)
	case "machine hangs":
		fault{"hang", 0, last, who}.inject(w)
	case "machine dies":
		fault{"die", 0, last, who}.inject(w)
	default:
		fault{kind, 0, last, who}.inject(w)
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
		w := newShardedCluster(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "controllers"))
		w.MessageLoss = rapid.SampledFrom([]float64{0, 0, 0.03}).Draw(t, "loss")
		w.DelayedCommits = rapid.SampledFrom([]float64{0, 0, 0.1}).Draw(t, "late writes")
		w.LoseAnswersOnly = rapid.Bool().Draw(t, "at once")
		w.DuplicatedPeerMessages = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "late lines")
		submitMixedJobs(w, 50, 6)
		for range rapid.IntRange(5, 30).Draw(t, "steps") {
			kind := rapid.SampledFrom(shardSteps).Draw(t, "step")
			who := rapid.IntRange(0, 1000).Draw(t, "who")
			last := time.Duration(rapid.IntRange(1, 20).Draw(t, "last")) * second
			w.At(time.Duration(rapid.IntRange(1, 50).Draw(t, "when"))*second, func() { w.shardStep(kind, who, last) })
		}
		w.Run(75 * second)
		w.MessageLoss, w.DelayedCommits, w.DuplicatedPeerMessages = 0, 0, 0
		w.Run(60 * second) // the last late copies
		w.FaultsOverAt = w.Now()
		w.Run(150 * second)
		require.Empty(t, w.Violations)
		require.Empty(t, w.Unfinished())
		require.Zero(t, w.unownedShards())
		for kind, n := range w.Observed {
			seen[kind] += n
		}
	})
	require.Greater(t, seen["placed in a share"], 2000)
	require.Greater(t, seen["share adopted"], 100)
	require.Greater(t, seen["share taken over"], 100)
}
