package simulation

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/controller"
	"lilacrill/internal/record"
	"lilacrill/internal/shard"
	"lilacrill/wire"
)

// adopted stands for the moment after a move, beside its steps.
const adopted record.MovePhase = "adopted"

// index is the number of the controller with a label.
func (w *World) index(l string) int {
	return slices.IndexFunc(w.nodes, func(n *node) bool { return label(n.index) == l })
}

// startMove has a share moved, and returns its source and target when it has come to a
// step.
func (w *World) startMove(t *testing.T, id wire.ShardID, step record.MovePhase) (source, target int) {
	t.Helper()
	before := w.Share(id)
	source = w.index(before.Owner.Label)
	target = (source + 1) % len(w.nodes)
	w.changeShares((source+2)%len(w.nodes), w.moveShare(id, target))
	for range 3000 {
		w.Run(time.Millisecond)
		s := w.Share(id)
		if s.Move != nil && s.Move.Phase == step || step == adopted && s.Epoch > before.Epoch {
			return source, target
		}
	}
	require.Fail(t, "the move never came to a step", "%s: %+v", step, w.Share(id))
	return 0, 0
}

// shuffle has every share moved to another controller again and again until some time.
func (w *World) shuffle(until time.Duration) {
	for n := 0; w.Now()+time.Duration(n)*200*time.Millisecond < until; n++ {
		w.At(time.Duration(n)*200*time.Millisecond, func() {
			for k := range 8 {
				id := wire.ShardID((8*n + k) % shard.Count)
				w.changeShares((n+k)%len(w.nodes), w.moveShare(id, (w.index(w.Share(id).Owner.Label)+1)%len(w.nodes)))
			}
		})
	}
}

// finishShares lets everything end, and wants every share owned by one that lives, and moves
// to come to rest: as the last machines are returned, controllers that hear no worker any
// more hand over all that they own, and get their part again.
func finishShares(t *testing.T, w *World) {
	t.Helper()
	finish(t, w)
	require.Zero(t, w.orphans())
	for range 60 {
		if w.moving() == 0 {
			return
		}
		w.Run(second)
	}
	require.Zero(t, w.moving(), "moves never come to rest")
}

// moving counts the shares on the move.
func (w *World) moving() int {
	n := 0
	for id := range wire.ShardID(shard.Count) {
		if w.Share(id).Move != nil {
			n++
		}
	}
	return n
}

// TestControllersEndInMove: source, target or both end at each step of a move, and come back
// within a moment or long after. The move is finished or undone, and nothing is lost or
// doubled.
func TestControllersEndInMove(t *testing.T) {
	t.Parallel()
	for _, step := range []record.MovePhase{record.MoveProposed, record.MoveReleased, adopted} {
		for ends, who := range []string{"source", "target", "both"} {
			for _, back := range []time.Duration{300 * time.Millisecond, 9 * second} {
				t.Run(fmt.Sprint(step, " ", who, " ", back), func(t *testing.T) {
					w := sharesWorld(t, uint64(ends)+7, 3)
					steady(w, 60, 6)
					w.Run(10 * second)
					const id = 11
					before := w.Share(id)
					source, target := w.startMove(t, id, step)
					for i, controller := range []int{source, target} {
						if ends == i || ends == 2 {
							w.restart(controller, back)
						}
					}
					w.Run(8 * second)
					if who == "target" && back > 8*second && step != adopted {
						require.Equal(t, record.Shard{Owner: before.Owner, Epoch: before.Epoch}, w.Share(id), "undone")
					}
					w.Run(12 * second)
					require.True(t, w.alive(w.Share(id).Owner))
					if who != "target" || step == adopted {
						require.Greater(t, w.Share(id).Epoch, before.Epoch)
					}
					finishShares(t, w)
				})
			}
		}
	}
}

// TestFrozenOwner: an owner stands still for long past its lease, with rounds and launches
// under way that are carried out after its shares were taken over, and goes on. Its rounds
// are refused for their shares, and nothing runs twice.
func TestFrozenOwner(t *testing.T) {
	t.Parallel()
	refused, heldUp, takenOver := 0, 0, 0
	for seed := range uint64(10) {
		w := sharesWorld(t, 40+seed, 3)
		busy(w)
		w.Run(12 * second)
		frozen := int(seed) % 3
		w.LateBy[frozen], w.Loss = true, 0.3
		w.Run(5 * second)
		w.Freeze(frozen, 50*second)
		w.LateBy[frozen], w.Loss = false, 0
		// Its lease runs out, or later, where a renewal of it was held up on its way.
		for range 45 {
			if w.Run(second); w.owned()[label(frozen)] == 0 {
				break
			}
		}
		require.Zero(t, w.owned()[label(frozen)], "seed %d", seed)
		takenOver += w.Seen["share taken over"]
		w.Run(50 * second)
		refused += w.Seen["placement refused for its share"]
		heldUp += w.Seen[fmt.Sprint("call held up, rig-", frozen)]
		finishShares(t, w)
	}
	require.Greater(t, takenOver, 50)
	require.Greater(t, refused, 4)
	require.Greater(t, heldUp, 10, "launches that were carried out late")
}

// TestShuffle moves all shares round and round while jobs run, teams are at their limits,
// users cancel, and machines are rented, returned, hang and come back in a new session.
func TestShuffle(t *testing.T) {
	t.Parallel()
	seen := map[string]int{}
	for seed := range uint64(6) {
		set := settings()
		set.Cluster.State.ValueKB = 8
		set.Cluster.Teams[0].CPUsMax, set.Cluster.Teams[1].CPUsMax = 10, 12
		w := worldWith(set, 60+seed, 3, (*World).startSharing)
		w.Run(10 * second)
		w.changeSettings(`{"idle_s":5}`)
		steady(w, 60, 4)
		for n := range 6 {
			spec, _ := job(1000+n, 0)
			spec.Tasks = 20
			w.At(time.Duration(5+8*n)*second, func() { w.Submit(spec, 12*second) })
		}
		w.shuffle(w.Now() + 60*second)
		for n := range 60 {
			w.At(time.Duration(n)*second, w.noteLimits)
		}
		for n := range 16 {
			w.At(time.Duration(4+3*n)*second, func() {
				w.whileBusy(2, func(m *machine) {
					if !m.hung {
						m.hung = true
						w.noteMoving("machine hangs in a share that moves", m.id)
						w.At(time.Duration(1+n%2*15)*second, m.resume)
					}
				})
			})
		}
		w.Run(65 * second)
		for _, m := range w.machines {
			if m.session > 1 {
				w.Seen["back in a new session"]++
			}
		}
		finishShares(t, w)
		for name, n := range w.Seen {
			seen[name] += n
		}
	}
	t.Log(seen)
	for name, least := range map[string]int{"share adopted": 1000, "withdrawn": 30, "at a limit": 3, "placed in a share": 300,
		"machine rented into a share that moves": 5, "machine returned out of a share that moves": 5,
		"machine hangs in a share that moves": 5, "back in a new session": 3} {
		require.Greater(t, seen[name], least, name)
	}
}

// changeSettings has an operator change the settings.
func (w *World) changeSettings(settings string) {
	_, version, _ := w.store.Get(record.SettingsKey)
	w.toNode(w.nodes[0], func(id controller.RequestID) controller.Input {
		return controller.SettingsChangeRequested{Request: id, Change: wire.AdminSettings{Version: version, Settings: json.RawMessage(settings)}}
	}, func(controller.Reply) {})
	w.Run(second)
}

// TestGangOverShares: a gang that needs more machines than any controller owns, and none can
// be rented, gets the shares of others; an array uses the machines of all at once.
func TestGangOverShares(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := wideWorld(80+seed, 3, (*World).startSharing)
		w.Capacity = 0
		w.Run(15 * second)
		w.changeSettings(`{"idle_s":86400}`)
		gang, _ := job(1, 2)
		gang.Tasks, gang.Cores, gang.SingleZone = 10, 4, false
		w.Submit(gang, 10*second)
		w.Run(12 * second)
		began, ok := w.Begun(gang.ID)
		require.True(t, ok, "seed %d", seed)
		t.Log("gang of 10 over 12 machines began after", began)
		w.Run(15 * second)
		array, _ := job(3, 0)
		array.Tasks, array.Cores = 12, 4
		w.Submit(array, 20*second)
		w.Run(8 * second)
		require.Len(t, w.jobs[array.ID].on(), 12, "seed %d", seed)
		finishShares(t, w)
	}
}

// TestAdoptionAnswerLost: the adopting write is carried out and its answer lost.
func TestAdoptionAnswerLost(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := sharesWorld(t, 90+seed, 3)
		steady(w, 60, 6)
		w.Run(8 * second)
		_, target := w.startMove(t, 7, record.MoveReleased)
		before := w.Seen["unanswered write"]
		w.LateBy[target], w.LateAtOnce = true, true
		w.Run(2 * second)
		w.LateBy[target] = false
		require.Greater(t, w.Seen["unanswered write"], before)
		require.Equal(t, label(target), w.Share(7).Owner.Label)
		finishShares(t, w)
	}
}

// TestOutageInMove: the state service is away for longer than a lease within a move. Nobody
// takes anything over: every lease has its full time again.
func TestOutageInMove(t *testing.T) {
	t.Parallel()
	for _, step := range []record.MovePhase{record.MoveProposed, record.MoveReleased} {
		w := sharesWorld(t, 95, 3)
		steady(w, 60, 6)
		w.Run(8 * second)
		_, target := w.startMove(t, 9, step)
		before := w.Seen["share taken over"]
		w.outage(9 * second)
		w.Run(15 * second)
		require.Equal(t, label(target), w.Share(9).Owner.Label)
		require.Equal(t, before, w.Seen["share taken over"])
		finishShares(t, w)
	}
}

// TestSharesDormant: one controller that reads the second format only keeps shares dormant,
// and one that does not enable them keeps them off; started without, it switches them off.
func TestSharesDormant(t *testing.T) {
	t.Parallel()
	w := wideWorld(96, 3, func(w *World, i int) {
		w.startSharing(i)
		if i == 2 {
			f := config.DefaultFeatures()
			f.Rollout.NewestFormat = record.FormatCompressed
			w.Features[i] = f
			w.Start(i)
		}
	})
	steady(w, 60, 6)
	w.Run(15 * second)
	require.Equal(t, record.FormatCompressed, w.FormatInForce())
	reply := w.changeShares(0, wire.AdminShardChange{Drain: "rig-1", Reason: "none"})
	w.Run(second)
	require.Equal(t, 409, reply.Status)
	require.Contains(t, reply.Body.(wire.ErrorResponse).Error, "dormant")

	w.startNewer(2) // reads all formats, and does not enable shares
	w.Run(15 * second)
	require.Equal(t, record.FormatSharding, w.FormatInForce())
	require.False(t, w.sharePolicy().Enabled)
	require.Zero(t, w.Seen["placed in a share"])
	w.startSharing(2)
	w.Run(15 * second)
	require.True(t, w.sharePolicy().Enabled)
	w.startNewer(0)
	w.Run(10 * second)
	require.False(t, w.sharePolicy().Enabled)
	finish(t, w)
}

// TestDrainedControllerEnds: a drained controller hands over all its shares and ends; nothing
// has to be taken over. Its drain ended, it gets its part again.
func TestDrainedControllerEnds(t *testing.T) {
	t.Parallel()
	w := sharesWorld(t, 97, 3)
	steady(w, 60, 6)
	reply := w.changeShares(0, wire.AdminShardChange{Drain: "rig-1", Reason: "new disks"})
	w.Run(8 * second)
	require.Equal(t, 200, reply.Status)
	require.Zero(t, w.owned()["rig-1"])
	w.Stop(1)
	before := w.Seen["share taken over"]
	w.Run(10 * second)
	require.Equal(t, before, w.Seen["share taken over"])
	w.startSharing(1)
	w.Run(10 * second)
	require.Zero(t, w.owned()["rig-1"], "it is drained still")
	w.changeShares(2, wire.AdminShardChange{EndDrain: "rig-1"})
	w.Run(20 * second)
	require.InDelta(t, shard.Count/3, w.owned()["rig-1"], shard.Tolerance)
	finishShares(t, w)
}

// TestReturnedMeanwhile guards the demand on the list of machines to be returned: a placement
// is held up on its way, the buyer returns the idle machine that it is on, and the
// placement comes after. Without the demand it stands on a machine that is gone.
func TestReturnedMeanwhile(t *testing.T) {
	t.Parallel()
	refused := 0
	for seed := range uint64(8) {
		w := newWorld(t, 300+seed, 3)
		w.Capacity = 0
		w.Run(5 * second)
		w.changeSettings(`{"idle_s":8}`)
		w.Run(time.Duration(seed) * 250 * time.Millisecond)
		w.LatePlacements = true
		for i := range 4 {
			spec, run := job(10+i, 0)
			spec.Tasks = 1
			w.Submit(spec, run)
		}
		w.Run(6 * second)
		w.LatePlacements = false
		w.Run(10 * second)
		w.Capacity = 3
		refused += w.Seen["placement refused for a machine to be returned"]
		finish(t, w)
	}
	require.Greater(t, refused, 5)
}
