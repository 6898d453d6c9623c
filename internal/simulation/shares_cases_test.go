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

// controllerIndex is the number of the controller with a label.
func (w *Cluster) controllerIndex(l string) int {
	return slices.IndexFunc(w.controllers, func(n *controllerProcess) bool { return controllerLabel(n.index) == l })
}

// startMove has a share moved, and returns its source and target when it has come to a
// step.
func (w *Cluster) startMove(t *testing.T, id wire.ShardID, step record.MovePhase) (source, target int) {
	t.Helper()
	before := w.Shard(id)
	source = w.controllerIndex(before.Owner.Label)
	target = (source + 1) % len(w.controllers)
	w.changeShards((source+2)%len(w.controllers), w.shardMove(id, target))
	for range 3000 {
		w.Run(time.Millisecond)
		s := w.Shard(id)
		if s.Move != nil && s.Move.Phase == step || step == adopted && s.Epoch > before.Epoch {
			return source, target
		}
	}
	require.Fail(t, "the move never came to a step", "%s: %+v", step, w.Shard(id))
	return 0, 0
}

// shuffleShards has every share moved to another controller again and again until some time.
func (w *Cluster) shuffleShards(until time.Duration) {
	for n := 0; w.Now()+time.Duration(n)*200*time.Millisecond < until; n++ {
		w.At(time.Duration(n)*200*time.Millisecond, func() {
			for k := range 8 {
				id := wire.ShardID((8*n + k) % shard.Count)
				w.changeShards((n+k)%len(w.controllers), w.shardMove(id, (w.controllerIndex(w.Shard(id).Owner.Label)+1)%len(w.controllers)))
			}
		})
	}
}

// finishSharded lets everything end, and wants every share owned by one that lives, and moves
// to come to rest: as the last machines are returned, controllers that hear no worker any
// more hand over all that they own, and get their part again.
func finishSharded(t *testing.T, w *Cluster) {
	t.Helper()
	requireAllFinished(t, w)
	require.Zero(t, w.unownedShards())
	for range 60 {
		if w.movingShards() == 0 {
			return
		}
		w.Run(second)
	}
	require.Zero(t, w.movingShards(), "moves never come to rest")
}

// movingShards counts the shares on the move.
func (w *Cluster) movingShards() int {
	n := 0
	for id := range wire.ShardID(shard.Count) {
		if w.Shard(id).Move != nil {
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
					w := newShardedCluster(t, uint64(ends)+7, 3)
					submitMixedJobs(w, 60, 6)
					w.Run(10 * second)
					const id = 11
					before := w.Shard(id)
					source, target := w.startMove(t, id, step)
					for i, controller := range []int{source, target} {
						if ends == i || ends == 2 {
							w.restart(controller, back)
						}
					}
					w.Run(8 * second)
					if who == "target" && back > 8*second && step != adopted {
						require.Equal(t, record.Shard{Owner: before.Owner, Epoch: before.Epoch}, w.Shard(id), "undone")
					}
					w.Run(12 * second)
					require.True(t, w.isLive(w.Shard(id).Owner))
					if who != "target" || step == adopted {
						require.Greater(t, w.Shard(id).Epoch, before.Epoch)
					}
					finishSharded(t, w)
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
		w := newShardedCluster(t, 40+seed, 3)
		submitBusyLoad(w)
		w.Run(12 * second)
		frozen := int(seed) % 3
		w.DelayCommitsOf[frozen], w.MessageLoss = true, 0.3
		w.Run(5 * second)
		w.Stall(frozen, 50*second)
		w.DelayCommitsOf[frozen], w.MessageLoss = false, 0
		// Its lease runs out, or later, where a renewal of it was held up on its way.
		for range 45 {
			if w.Run(second); w.shardsByOwner()[controllerLabel(frozen)] == 0 {
				break
			}
		}
		require.Zero(t, w.shardsByOwner()[controllerLabel(frozen)], "seed %d", seed)
		takenOver += w.Observed["share taken over"]
		w.Run(50 * second)
		refused += w.Observed["placement refused for its share"]
		heldUp += w.Observed[fmt.Sprint("call held up, rig-", frozen)]
		finishSharded(t, w)
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
		set := testSettings()
		set.Cluster.State.ValueKB = 8
		set.Cluster.Teams[0].CPUsMax, set.Cluster.Teams[1].CPUsMax = 10, 12
		w := newClusterStartedBy(set, 60+seed, 3, (*Cluster).startWithShards)
		w.Run(10 * second)
		w.changeSettings(`{"idle_s":5}`)
		submitMixedJobs(w, 60, 4)
		for n := range 6 {
			spec, _ := testJob(1000+n, 0)
			spec.Tasks = 20
			w.At(time.Duration(5+8*n)*second, func() { w.Submit(spec, 12*second) })
		}
		w.shuffleShards(w.Now() + 60*second)
		for n := range 60 {
			w.At(time.Duration(n)*second, w.countTeamsAtLimit)
		}
		for n := range 16 {
			w.At(time.Duration(4+3*n)*second, func() {
				w.eachBusyMachine(2, func(m *fakeMachine) {
					if !m.hung {
						m.hung = true
						w.countIfShardMoves("machine hangs in a share that moves", m.id)
						w.At(time.Duration(1+n%2*15)*second, m.resume)
					}
				})
			})
		}
		w.Run(65 * second)
		for _, m := range w.machines {
			if m.agentEpoch > 1 {
				w.Observed["back in a new session"]++
			}
		}
		finishSharded(t, w)
		for name, n := range w.Observed {
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
func (w *Cluster) changeSettings(settings string) {
	_, version, _ := w.store.Get(record.SettingsKey)
	w.sendToController(w.controllers[0], func(id controller.RequestID) controller.Input {
		return controller.SettingsChangeRequested{Request: id, Change: wire.AdminSettings{Version: version, Settings: json.RawMessage(settings)}}
	}, func(controller.Reply) {})
	w.Run(second)
}

// TestGangOverShares: a gang that needs more machines than any controller owns, and none can
// be rented, gets the shares of others; an array uses the machines of all at once.
func TestGangOverShares(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := newLargeValueCluster(80+seed, 3, (*Cluster).startWithShards)
		w.Capacity = 0
		w.Run(15 * second)
		w.changeSettings(`{"idle_s":86400}`)
		gang, _ := testJob(1, 2)
		gang.Tasks, gang.Cores, gang.SingleZone = 10, 4, false
		w.Submit(gang, 10*second)
		w.Run(12 * second)
		began, ok := w.StartDelay(gang.ID)
		require.True(t, ok, "seed %d", seed)
		t.Log("gang of 10 over 12 machines began after", began)
		w.Run(15 * second)
		array, _ := testJob(3, 0)
		array.Tasks, array.Cores = 12, 4
		w.Submit(array, 20*second)
		w.Run(8 * second)
		require.Len(t, w.jobs[array.ID].active(), 12, "seed %d", seed)
		finishSharded(t, w)
	}
}

// TestAdoptionAnswerLost: the adopting write is carried out and its answer lost.
func TestAdoptionAnswerLost(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := newShardedCluster(t, 90+seed, 3)
		submitMixedJobs(w, 60, 6)
		w.Run(8 * second)
		_, target := w.startMove(t, 7, record.MoveReleased)
		before := w.Observed["unanswered write"]
		w.DelayCommitsOf[target], w.LoseAnswersOnly = true, true
		w.Run(2 * second)
		w.DelayCommitsOf[target] = false
		require.Greater(t, w.Observed["unanswered write"], before)
		require.Equal(t, controllerLabel(target), w.Shard(7).Owner.Label)
		finishSharded(t, w)
	}
}

// TestOutageInMove: the state service is away for longer than a lease within a move. Nobody
// takes anything over: every lease has its full time again.
func TestOutageInMove(t *testing.T) {
	t.Parallel()
	for _, step := range []record.MovePhase{record.MoveProposed, record.MoveReleased} {
		w := newShardedCluster(t, 95, 3)
		submitMixedJobs(w, 60, 6)
		w.Run(8 * second)
		_, target := w.startMove(t, 9, step)
		before := w.Observed["share taken over"]
		w.storeOutage(9 * second)
		w.Run(15 * second)
		require.Equal(t, controllerLabel(target), w.Shard(9).Owner.Label)
		require.Equal(t, before, w.Observed["share taken over"])
		finishSharded(t, w)
	}
}

// TestSharesDormant: one controller that reads the second format only keeps shares dormant,
// and one that does not enable them keeps them off; started without, it switches them off.
func TestSharesDormant(t *testing.T) {
	t.Parallel()
	w := newLargeValueCluster(96, 3, func(w *Cluster, i int) {
		w.startWithShards(i)
		if i == 2 {
			f := config.DefaultFeatures()
			f.Rollout.NewestFormat = record.FormatCompressed
			w.Features[i] = f
			w.Start(i)
		}
	})
	submitMixedJobs(w, 60, 6)
	w.Run(15 * second)
	require.Equal(t, record.FormatCompressed, w.ActiveFormat())
	reply := w.changeShards(0, wire.AdminShardChange{Drain: "rig-1", Reason: "none"})
	w.Run(second)
	require.Equal(t, 409, reply.Status)
	require.Contains(t, reply.Body.(wire.ErrorResponse).Error, "dormant")

	w.startNewer(2) // reads all formats, and does not enable shares
	w.Run(15 * second)
	require.Equal(t, record.FormatSharding, w.ActiveFormat())
	require.False(t, w.shardPolicy().Enabled)
	require.Zero(t, w.Observed["placed in a share"])
	w.startWithShards(2)
	w.Run(15 * second)
	require.True(t, w.shardPolicy().Enabled)
	w.startNewer(0)
	w.Run(10 * second)
	require.False(t, w.shardPolicy().Enabled)
	requireAllFinished(t, w)
}

// TestDrainedControllerEnds: a drained controller hands over all its shares and ends; nothing
// has to be taken over. Its drain ended, it gets its part again.
func TestDrainedControllerEnds(t *testing.T) {
	t.Parallel()
	w := newShardedCluster(t, 97, 3)
	submitMixedJobs(w, 60, 6)
	reply := w.changeShards(0, wire.AdminShardChange{Drain: "rig-1", Reason: "new disks"})
	w.Run(8 * second)
	require.Equal(t, 200, reply.Status)
	require.Zero(t, w.shardsByOwner()["rig-1"])
	w.Stop(1)
	before := w.Observed["share taken over"]
	w.Run(10 * second)
	require.Equal(t, before, w.Observed["share taken over"])
	w.startWithShards(1)
	w.Run(10 * second)
	require.Zero(t, w.shardsByOwner()["rig-1"], "it is drained still")
	w.changeShards(2, wire.AdminShardChange{EndDrain: "rig-1"})
	w.Run(20 * second)
	require.InDelta(t, shard.Count/3, w.shardsByOwner()["rig-1"], shard.Tolerance)
	finishSharded(t, w)
}

// TestReturnedMeanwhile guards the demand on the list of machines to be returned: a placement
// is held up on its way, the buyer returns the idle machine that it is on, and the
// placement comes after. Without the demand it stands on a machine that is gone.
func TestReturnedMeanwhile(t *testing.T) {
	t.Parallel()
	refused := 0
	for seed := range uint64(8) {
		w := newCluster(t, 300+seed, 3)
		w.Capacity = 0
		w.Run(5 * second)
		w.changeSettings(`{"idle_s":8}`)
		w.Run(time.Duration(seed) * 250 * time.Millisecond)
		w.DelayPlacements = true
		for i := range 4 {
			spec, run := testJob(10+i, 0)
			spec.Tasks = 1
			w.Submit(spec, run)
		}
		w.Run(6 * second)
		w.DelayPlacements = false
		w.Run(10 * second)
		w.Capacity = 3
		refused += w.Observed["placement refused for a machine to be returned"]
		requireAllFinished(t, w)
	}
	require.Greater(t, refused, 5)
}
