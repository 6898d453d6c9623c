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

// startSharing starts a controller that enables shares, and brings the newest format into
// force once all read it.
func (w *World) startSharing(i int) {
	f, settle := config.DefaultFeatures(), 0.0
	f.Rollout.Activation, f.Rollout.SettleS = config.ActivationAutomatic, &settle
	f.Shares.Enabled = true
	w.Features[i] = f
	w.Start(i)
}

// sharesWorld is a world in which shares are in use, with machines in most of them.
func sharesWorld(t require.TestingT, seed uint64, controllers int) *World {
	w := wideWorld(seed, controllers, (*World).startSharing)
	for i := range 24 {
		w.AddMachine(types[0], zones[i%len(zones)], false, 0)
	}
	w.Run(15 * second)
	require.True(t, w.sharePolicy().Enabled)
	require.Zero(t, w.orphans())
	return w
}

// orphans counts the shares without a living owner.
func (w *World) orphans() int {
	n := 0
	for id := range wire.ShardID(shard.Count) {
		if s := w.Share(id); s.Epoch == 0 || !w.alive(s.Owner) {
			n++
		}
	}
	return n
}

// owned counts the shares of each controller.
func (w *World) owned() map[string]int {
	owned := map[string]int{}
	for id := range wire.ShardID(shard.Count) {
		owned[w.Share(id).Owner.Label]++
	}
	return owned
}

// changeShards asks a controller for a change; the reply is there some time later.
func (w *World) changeShares(i int, change wire.AdminShardChange) *controller.Reply {
	reply := &controller.Reply{}
	w.toNode(w.nodes[i], func(id controller.RequestID) controller.Input {
		return controller.ShardChangeRequested{Request: id, Change: change}
	},
		func(r controller.Reply) { *reply = r })
	return reply
}

// moveShare is a change that moves a share, from the epoch that stands in the state service.
func (w *World) moveShare(id wire.ShardID, to int) wire.AdminShardChange {
	return wire.AdminShardChange{Move: &id, To: label(to), Epoch: w.Share(id).Epoch}
}

// TestSharesEvenlyOwned: once all enable them, every share has one owner, each owns about as
// many, a controller that joins later gets its part, and jobs run as ever. Workers are led to
// the owners of their shares, and none loses its lease on the way.
func TestSharesEvenlyOwned(t *testing.T) {
	w := sharesWorld(t, 1, 3)
	w.changeSettings(`{"idle_s":86400}`)
	steady(w, 60, 6)
	w.Run(20 * second)
	for i := range 3 {
		require.InDelta(t, shard.Count/3, w.owned()[label(i)], shard.Tolerance)
	}
	w.Stop(2)
	w.Run(9 * second)
	require.Zero(t, w.orphans())
	require.Zero(t, w.owned()[label(2)])
	w.startSharing(2)
	w.Run(25 * second)
	for i := range 3 {
		require.InDelta(t, shard.Count/3, w.owned()[label(i)], shard.Tolerance)
	}
	require.Greater(t, w.Seen["placed in a share"], 50)
	finish(t, w)
	led, machines := 0, 0
	for _, m := range w.machines {
		if m.up && !m.dead {
			machines++
			require.EqualValues(t, 1, m.session)
			if label(m.node) == w.Share(shard.ShardOf(m.id)).Owner.Label {
				led++
			}
		}
	}
	require.Greater(t, led, machines*3/4, "of %d", machines)
}

// TestShareMovedByOperator: of two moves of a share that operators ask for at once one is
// carried out, and the other refused.
func TestShareMovedByOperator(t *testing.T) {
	w := sharesWorld(t, 2, 3)
	steady(w, 40, 6)
	const id = 5
	from := w.Share(id).Owner.Label
	to := 0
	for label(to) == from {
		to++
	}
	change := w.moveShare(id, to)
	first, second2 := w.changeShares(0, change), w.changeShares(1, change)
	w.Run(3 * second)
	require.ElementsMatch(t, []int{http.StatusOK, http.StatusConflict}, []int{first.Status, second2.Status})
	require.Equal(t, label(to), w.Share(id).Owner.Label)
	require.Equal(t, change.Epoch+1, w.Share(id).Epoch)
	finish(t, w)
}

// TestRulesHoldWithShares is TestRulesHold with shares in use from early on.
func TestRulesHoldWithShares(t *testing.T) {
	t.Parallel()
	placed := 0
	rapid.Check(t, func(t *rapid.T) {
		w := playWith(t, (*World).startSharing)
		placed += w.Seen["placed in a share"]
		require.Empty(t, w.Broken)
		require.Empty(t, w.Unfinished(), "jobs that never ended: %v", w.Records())
	})
	require.Greater(t, placed, 1000)
}

// shareSteps is what may happen while shares move.
var shareSteps = []string{"move", "move", "move", "drain", "end drain", "restart", "stop", "freeze", "state cut", "state down", "worker cut", "alone",
	"machine hangs", "machine dies", "notice", "rent"}

// shareStep does one of them; last is how long what passes lasts.
func (w *World) shareStep(kind string, who int, last time.Duration) {
	i := who % len(w.nodes)
	switch kind {
	case "move":
		w.changeShares(i, w.moveShare(wire.ShardID(who%shard.Count), who/7%len(w.nodes)))
	case "drain":
		w.changeShares(who/3%len(w.nodes), wire.AdminShardChange{Drain: label(i), Reason: "drawn"})
		w.At(last, func() { w.changeShares(who/3%len(w.nodes), wire.AdminShardChange{EndDrain: label(i)}) })
	case "restart":
		w.restart(i, last/10)
	case "stop":
		w.restart(i, last)
	case "freeze":
		w.Freeze(i, last)
	case "rent":
		w.AddMachine(types[who%2], zones[who%len(zones)], false, last/10)
	case "state down":
		w.outage(last / 2)
	case "machine hangs":
		trouble{"hang", 0, last, who}.happen(w)
	case "machine dies":
		trouble{"die", 0, last, who}.happen(w)
	default:
		trouble{kind, 0, last, who}.happen(w)
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
		w := sharesWorld(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "controllers"))
		w.Loss = rapid.SampledFrom([]float64{0, 0, 0.03}).Draw(t, "loss")
		w.LateWrites = rapid.SampledFrom([]float64{0, 0, 0.1}).Draw(t, "late writes")
		w.LateAtOnce = rapid.Bool().Draw(t, "at once")
		w.LateLines = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "late lines")
		steady(w, 50, 6)
		for range rapid.IntRange(5, 30).Draw(t, "steps") {
			kind := rapid.SampledFrom(shareSteps).Draw(t, "step")
			who := rapid.IntRange(0, 1000).Draw(t, "who")
			last := time.Duration(rapid.IntRange(1, 20).Draw(t, "last")) * second
			w.At(time.Duration(rapid.IntRange(1, 50).Draw(t, "when"))*second, func() { w.shareStep(kind, who, last) })
		}
		w.Run(75 * second)
		w.Loss, w.LateWrites, w.LateLines = 0, 0, 0
		w.Run(60 * second) // the last late copies
		w.CalmAt = w.Now()
		w.Run(150 * second)
		require.Empty(t, w.Broken)
		require.Empty(t, w.Unfinished())
		require.Zero(t, w.orphans())
		for kind, n := range w.Seen {
			seen[kind] += n
		}
	})
	require.Greater(t, seen["placed in a share"], 2000)
	require.Greater(t, seen["share adopted"], 100)
	require.Greater(t, seen["share taken over"], 100)
}
