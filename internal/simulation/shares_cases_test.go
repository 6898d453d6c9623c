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
func (c *Cluster) controllerIndex(l string) int {
	return slices.IndexFunc(c.controllers, func(process *controllerProcess) bool { return controllerLabel(process.index) == l })
}

// startMove has a share moved, and returns its source and target when it has come to a
// step.
func (c *Cluster) startMove(t *testing.T, id wire.ShardID, step record.MovePhase) (source, target int) {
	t.Helper()
	before := c.Shard(id)
	source = c.controllerIndex(before.Owner.Label)
	target = (source + 1) % len(c.controllers)
	c.changeShards((source+2)%len(c.controllers), c.shardMove(id, target))
	for range 3000 {
		c.Run(time.Millisecond)
		s := c.Shard(id)
		if s.Move != nil && s.Move.Phase == step || step == adopted && s.Epoch > before.Epoch {
			return source, target
		}
	}
	require.Fail(t, "the move never came to a step", "%s: %+v", step, c.Shard(id))
	return 0, 0
}

// shuffleShards has every share moved to another controller again and again until some time.
func (c *Cluster) shuffleShards(until time.Duration) {
	for n := 0; c.Now()+time.Duration(n)*200*time.Millisecond < until; n++ {
		c.At(time.Duration(n)*200*time.Millisecond, func() {
			for k := range 8 {
				id := wire.ShardID((8*n + k) % shard.Count)
				c.changeShards((n+k)%len(c.controllers), c.shardMove(id, (c.controllerIndex(c.Shard(id).Owner.Label)+1)%len(c.controllers)))
			}
		})
	}
}

// finishSharded lets everything end, and wants every share owned by one that lives, and moves
// to come to rest: as the last machines are returned, controllers that hear no worker any
// more hand over all that they own, and get their part again.
func finishSharded(t *testing.T, cluster *Cluster) {
	t.Helper()
	requireAllFinished(t, cluster)
	require.Zero(t, cluster.unownedShards())
	for range 60 {
		if cluster.movingShards() == 0 {
			return
		}
		cluster.Run(time.Second)
	}
	require.Zero(t, cluster.movingShards(), "moves never come to rest")
}

// movingShards counts the shares on the move.
func (c *Cluster) movingShards() int {
	n := 0
	for id := range wire.ShardID(shard.Count) {
		if c.Shard(id).Move != nil {
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
			for _, back := range []time.Duration{300 * time.Millisecond, 9 * time.Second} {
				t.Run(fmt.Sprint(step, " ", who, " ", back), func(t *testing.T) {
					cluster := newShardedCluster(t, uint64(ends)+7, 3)
					submitMixedJobs(cluster, 60, 6)
					cluster.Run(10 * time.Second)
					const id = 11
					before := cluster.Shard(id)
					source, target := cluster.startMove(t, id, step)
					for i, controller := range []int{source, target} {
						if ends == i || ends == 2 {
							cluster.restart(controller, back)
						}
					}
					cluster.Run(8 * time.Second)
					if who == "target" && back > 8*time.Second && step != adopted {
						require.Equal(t, record.Shard{Owner: before.Owner, Epoch: before.Epoch}, cluster.Shard(id), "undone")
					}
					cluster.Run(12 * time.Second)
					require.True(t, cluster.isLive(cluster.Shard(id).Owner))
					if who != "target" || step == adopted {
						require.Greater(t, cluster.Shard(id).Epoch, before.Epoch)
					}
					finishSharded(t, cluster)
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
		cluster := newShardedCluster(t, 40+seed, 3)
		submitBusyLoad(cluster)
		cluster.Run(12 * time.Second)
		frozen := int(seed) % 3
		cluster.DelayCommitsOf[frozen], cluster.MessageLoss = true, 0.3
		cluster.Run(5 * time.Second)
		cluster.Stall(frozen, 50*time.Second)
		cluster.DelayCommitsOf[frozen], cluster.MessageLoss = false, 0
		// Its lease runs out, or later, where a renewal of it was held up on its way.
		for range 45 {
			if cluster.Run(time.Second); cluster.shardsByOwner()[controllerLabel(frozen)] == 0 {
				break
			}
		}
		require.Zero(t, cluster.shardsByOwner()[controllerLabel(frozen)], "seed %d", seed)
		takenOver += cluster.Observed["share taken over"]
		cluster.Run(50 * time.Second)
		refused += cluster.Observed["placement refused for its share"]
		heldUp += cluster.Observed[fmt.Sprint("call held up, rig-", frozen)]
		finishSharded(t, cluster)
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
		settings := testSettings()
		settings.Cluster.State.ValueKB = 8
		settings.Cluster.Teams[0].CPUsMax, settings.Cluster.Teams[1].CPUsMax = 10, 12
		cluster := newClusterStartedBy(settings, 60+seed, 3, (*Cluster).startWithShards)
		cluster.Run(10 * time.Second)
		cluster.changeSettings(`{"idle_s":5}`)
		submitMixedJobs(cluster, 60, 4)
		for n := range 6 {
			spec, _ := testJob(1000+n, 0)
			spec.Tasks = 20
			cluster.At(time.Duration(5+8*n)*time.Second, func() { cluster.Submit(spec, 12*time.Second) })
		}
		cluster.shuffleShards(cluster.Now() + 60*time.Second)
		for n := range 60 {
			cluster.At(time.Duration(n)*time.Second, cluster.countTeamsAtLimit)
		}
		for n := range 16 {
			cluster.At(time.Duration(4+3*n)*time.Second, func() {
				cluster.eachBusyMachine(2, func(machine *fakeMachine) {
					if !machine.hung {
						machine.hung = true
						cluster.countIfShardMoves("machine hangs in a share that moves", machine.id)
						cluster.At(time.Duration(1+n%2*15)*time.Second, machine.resume)
					}
				})
			})
		}
		cluster.Run(65 * time.Second)
		for _, machine := range cluster.machines {
			if machine.agentEpoch > 1 {
				cluster.Observed["back in a new session"]++
			}
		}
		finishSharded(t, cluster)
		for name, n := range cluster.Observed {
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
func (c *Cluster) changeSettings(settings string) {
	_, version, _ := c.store.Get(record.SettingsKey)
	c.sendToController(c.controllers[0], func(id controller.RequestID) controller.Input {
		return controller.SettingsChangeRequested{Request: id, Change: wire.AdminSettings{Version: version, Settings: json.RawMessage(settings)}}
	}, func(controller.Reply) {})
	c.Run(time.Second)
}

// TestGangOverShares: a gang that needs more machines than any controller owns, and none can
// be rented, gets the shares of others; an array uses the machines of all at once.
func TestGangOverShares(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		cluster := newLargeValueCluster(80+seed, 3, (*Cluster).startWithShards)
		cluster.Capacity = 0
		cluster.Run(15 * time.Second)
		cluster.changeSettings(`{"idle_s":86400}`)
		gang, _ := testJob(1, 2)
		gang.Tasks, gang.Cores, gang.SingleZone = 10, 4, false
		cluster.Submit(gang, 10*time.Second)
		cluster.Run(12 * time.Second)
		began, ok := cluster.StartDelay(gang.ID)
		require.True(t, ok, "seed %d", seed)
		t.Log("gang of 10 over 12 machines began after", began)
		cluster.Run(15 * time.Second)
		array, _ := testJob(3, 0)
		array.Tasks, array.Cores = 12, 4
		cluster.Submit(array, 20*time.Second)
		cluster.Run(8 * time.Second)
		require.Len(t, cluster.jobs[array.ID].active(), 12, "seed %d", seed)
		finishSharded(t, cluster)
	}
}

// TestAdoptionAnswerLost: the adopting write is carried out and its answer lost.
func TestAdoptionAnswerLost(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		cluster := newShardedCluster(t, 90+seed, 3)
		submitMixedJobs(cluster, 60, 6)
		cluster.Run(8 * time.Second)
		_, target := cluster.startMove(t, 7, record.MoveReleased)
		before := cluster.Observed["unanswered write"]
		cluster.DelayCommitsOf[target], cluster.LoseAnswersOnly = true, true
		cluster.Run(2 * time.Second)
		cluster.DelayCommitsOf[target] = false
		require.Greater(t, cluster.Observed["unanswered write"], before)
		require.Equal(t, controllerLabel(target), cluster.Shard(7).Owner.Label)
		finishSharded(t, cluster)
	}
}

// TestOutageInMove: the state service is away for longer than a lease within a move. Nobody
// takes anything over: every lease has its full time again.
func TestOutageInMove(t *testing.T) {
	t.Parallel()
	for _, step := range []record.MovePhase{record.MoveProposed, record.MoveReleased} {
		cluster := newShardedCluster(t, 95, 3)
		submitMixedJobs(cluster, 60, 6)
		cluster.Run(8 * time.Second)
		_, target := cluster.startMove(t, 9, step)
		before := cluster.Observed["share taken over"]
		cluster.storeOutage(9 * time.Second)
		cluster.Run(15 * time.Second)
		require.Equal(t, controllerLabel(target), cluster.Shard(9).Owner.Label)
		require.Equal(t, before, cluster.Observed["share taken over"])
		finishSharded(t, cluster)
	}
}

// TestSharesDormant: one controller that reads the second format only keeps shares dormant,
// and one that does not enable them keeps them off; started without, it switches them off.
func TestSharesDormant(t *testing.T) {
	t.Parallel()
	cluster := newLargeValueCluster(96, 3, func(cluster *Cluster, i int) {
		cluster.startWithShards(i)
		if i == 2 {
			features := config.DefaultFeatures()
			features.Rollout.NewestFormat = record.FormatCompressed
			cluster.Features[i] = features
			cluster.Start(i)
		}
	})
	submitMixedJobs(cluster, 60, 6)
	cluster.Run(15 * time.Second)
	require.Equal(t, record.FormatCompressed, cluster.ActiveFormat())
	reply := cluster.changeShards(0, wire.AdminShardChange{Drain: "rig-1", Reason: "none"})
	cluster.Run(time.Second)
	require.Equal(t, 409, reply.Status)
	require.Contains(t, reply.Body.(wire.ErrorResponse).Error, "dormant")

	cluster.startNewer(2) // reads all formats, and does not enable shares
	cluster.Run(15 * time.Second)
	require.Equal(t, record.FormatSharding, cluster.ActiveFormat())
	require.False(t, cluster.shardPolicy().Enabled)
	require.Zero(t, cluster.Observed["placed in a share"])
	cluster.startWithShards(2)
	cluster.Run(15 * time.Second)
	require.True(t, cluster.shardPolicy().Enabled)
	cluster.startNewer(0)
	cluster.Run(10 * time.Second)
	require.False(t, cluster.shardPolicy().Enabled)
	requireAllFinished(t, cluster)
}

// TestDrainedControllerEnds: a drained controller hands over all its shares and ends; nothing
// has to be taken over. Its drain ended, it gets its part again.
func TestDrainedControllerEnds(t *testing.T) {
	t.Parallel()
	cluster := newShardedCluster(t, 97, 3)
	submitMixedJobs(cluster, 60, 6)
	reply := cluster.changeShards(0, wire.AdminShardChange{Drain: "rig-1", Reason: "new disks"})
	cluster.Run(8 * time.Second)
	require.Equal(t, 200, reply.Status)
	require.Zero(t, cluster.shardsByOwner()["rig-1"])
	cluster.Stop(1)
	before := cluster.Observed["share taken over"]
	cluster.Run(10 * time.Second)
	require.Equal(t, before, cluster.Observed["share taken over"])
	cluster.startWithShards(1)
	cluster.Run(10 * time.Second)
	require.Zero(t, cluster.shardsByOwner()["rig-1"], "it is drained still")
	cluster.changeShards(2, wire.AdminShardChange{EndDrain: "rig-1"})
	cluster.Run(20 * time.Second)
	require.InDelta(t, shard.Count/3, cluster.shardsByOwner()["rig-1"], shard.Tolerance)
	finishSharded(t, cluster)
}

// TestReturnedMeanwhile guards the demand on the list of machines to be returned: a placement
// is held up on its way, the buyer returns the idle machine that it is on, and the
// placement comes after. Without the demand it stands on a machine that is gone.
func TestReturnedMeanwhile(t *testing.T) {
	t.Parallel()
	refused := 0
	for seed := range uint64(8) {
		cluster := newCluster(t, 300+seed, 3)
		cluster.Capacity = 0
		cluster.Run(5 * time.Second)
		cluster.changeSettings(`{"idle_s":8}`)
		cluster.Run(time.Duration(seed) * 250 * time.Millisecond)
		cluster.DelayPlacements = true
		for i := range 4 {
			spec, run := testJob(10+i, 0)
			spec.Tasks = 1
			cluster.Submit(spec, run)
		}
		cluster.Run(6 * time.Second)
		cluster.DelayPlacements = false
		cluster.Run(10 * time.Second)
		cluster.Capacity = 3
		refused += cluster.Observed["placement refused for a machine to be returned"]
		requireAllFinished(t, cluster)
	}
	require.Greater(t, refused, 5)
}
