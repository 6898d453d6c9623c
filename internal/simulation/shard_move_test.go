package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/record"
	"lilacrill/internal/shard"
	"lilacrill/wire"
)

// moveAdopted stands for the state after a move, in which the target has adopted the shard. It
// is not a phase that is stored.
const moveAdopted record.MovePhase = "adopted"

// controllerIndex returns the index of the controller with a label.
func (c *Cluster) controllerIndex(label string) int {
	return slices.IndexFunc(c.controllers, func(process *controllerProcess) bool { return controllerLabel(process.index) == label })
}

// moveShardUntil requests a move of a shard and runs the cluster until the move has reached a
// phase. It returns the source and the target of the move.
func (c *Cluster) moveShardUntil(t *testing.T, id wire.ShardID, phase record.MovePhase) (source, target int) {
	t.Helper()
	before := c.Shard(id)
	source = c.controllerIndex(before.Owner.Label)
	target = (source + 1) % len(c.controllers)
	c.changeShards((source+2)%len(c.controllers), c.shardMove(id, target))
	for range 3000 {
		c.Run(time.Millisecond)
		s := c.Shard(id)
		if s.Move != nil && s.Move.Phase == phase || phase == moveAdopted && s.Epoch > before.Epoch {
			return source, target
		}
	}
	require.Fail(t, "the move did not reach the phase", "%s: %+v", phase, c.Shard(id))
	return 0, 0
}

// shuffleShards requests moves of all shards to other controllers, over and over, until the given
// time.
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

// requireShardsSettled requires that all jobs finish, that every shard is owned by a live
// process, and that all moves end. Moves can still be under way then: when the last machines
// are terminated, controllers that no longer receive heartbeats hand over all their shards, and
// later get their part again.
func requireShardsSettled(t *testing.T, cluster *Cluster) {
	t.Helper()
	requireAllFinished(t, cluster)
	require.Zero(t, cluster.unownedShards())
	for range 60 {
		if cluster.movingShards() == 0 {
			return
		}
		cluster.Run(time.Second)
	}
	require.Zero(t, cluster.movingShards(), "shards are still being moved")
}

// movingShards returns the number of shards that are being moved.
func (c *Cluster) movingShards() int {
	n := 0
	for id := range wire.ShardID(shard.Count) {
		if c.Shard(id).Move != nil {
			n++
		}
	}
	return n
}

// TestControllersRestartDuringShardMove checks that a move is finished or undone, and no task
// is lost or run twice, when the source, the target or both stop in any phase of the move and
// restart 0.3 s or 9 s later.
func TestControllersRestartDuringShardMove(t *testing.T) {
	t.Parallel()
	for _, phase := range []record.MovePhase{record.MoveProposed, record.MoveReleased, moveAdopted} {
		for restarted, role := range []string{"source", "target", "both"} {
			for _, downtime := range []time.Duration{300 * time.Millisecond, 9 * time.Second} {
				t.Run(fmt.Sprint(phase, " ", role, " ", downtime), func(t *testing.T) {
					cluster := newShardedCluster(t, uint64(restarted)+7, 3)
					submitMixedJobs(cluster, 60, 6)
					cluster.Run(10 * time.Second)
					const id = 11
					before := cluster.Shard(id)
					source, target := cluster.moveShardUntil(t, id, phase)
					for i, controller := range []int{source, target} {
						if restarted == i || restarted == 2 {
							cluster.restart(controller, downtime)
						}
					}
					cluster.Run(8 * time.Second)
					if role == "target" && downtime > 8*time.Second && phase != moveAdopted {
						require.Equal(t, record.Shard{Owner: before.Owner, Epoch: before.Epoch}, cluster.Shard(id), "the move was not undone")
					}
					cluster.Run(12 * time.Second)
					require.True(t, cluster.isLive(cluster.Shard(id).Owner))
					if role != "target" || phase == moveAdopted {
						require.Greater(t, cluster.Shard(id).Epoch, before.Epoch)
					}
					requireShardsSettled(t, cluster)
				})
			}
		}
	}
}

// TestStalledShardOwnerIsFenced checks an owner that stalls until long after its lease has
// expired and then resumes. Its commits and launches that are under way are executed after its
// shards have failed over. The commits must conflict on the records of the shards, and no task
// may run twice.
func TestStalledShardOwnerIsFenced(t *testing.T) {
	t.Parallel()
	conflicts, delayed, failedOver := 0, 0, 0
	for seed := range uint64(10) {
		cluster := newShardedCluster(t, 40+seed, 3)
		submitBusyLoad(cluster)
		cluster.Run(12 * time.Second)
		stalled := int(seed) % 3
		cluster.DelayCommitsOf[stalled], cluster.MessageLoss = true, 0.3
		cluster.Run(5 * time.Second)
		cluster.Stall(stalled, 50*time.Second)
		cluster.DelayCommitsOf[stalled], cluster.MessageLoss = false, 0
		// Its shards fail over when its lease expires, which a delayed renewal can postpone.
		for range 45 {
			if cluster.Run(time.Second); cluster.shardsByOwner()[controllerLabel(stalled)] == 0 {
				break
			}
		}
		require.Zero(t, cluster.shardsByOwner()[controllerLabel(stalled)], "seed %d", seed)
		failedOver += cluster.Observed[shardFailedOver]
		cluster.Run(50 * time.Second)
		conflicts += cluster.Observed[placementConflictedOnShard]
		delayed += cluster.Observed[delayedDirectCall(stalled)]
		requireShardsSettled(t, cluster)
	}
	require.Greater(t, failedOver, 50)
	require.Greater(t, conflicts, 4)
	require.Greater(t, delayed, 10, "too few launches were executed late")
}

// TestContinuousShardMoves checks that the cluster's rules hold while all shards are moved
// continuously, jobs run, teams reach their limits, users cancel jobs, and machines are
// provisioned, are terminated, hang and return in a new agent epoch.
func TestContinuousShardMoves(t *testing.T) {
	t.Parallel()
	observed := map[Observation]int{}
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
						cluster.countIfShardMoving(machineHungInMovingShard, machine.id)
						cluster.At(time.Duration(1+n%2*15)*time.Second, machine.resume)
					}
				})
			})
		}
		cluster.Run(65 * time.Second)
		for _, machine := range cluster.machines {
			if machine.agentEpoch > 1 {
				cluster.Observed[machineInNewEpoch]++
			}
		}
		requireShardsSettled(t, cluster)
		for name, n := range cluster.Observed {
			observed[name] += n
		}
	}
	t.Log(observed)
	for name, threshold := range map[Observation]int{shardAdopted: 1000, jobCancelled: 30, teamAtLimit: 3, placedInShard: 300,
		machineProvisionedInMovingShard: 5, machineTerminatedInMovingShard: 5, machineHungInMovingShard: 5, machineInNewEpoch: 3} {
		require.Greater(t, observed[name], threshold, name)
	}
}

// TestShardAdoptionAnswerLost checks that an adoption takes effect if it is committed but its
// answer is lost.
func TestShardAdoptionAnswerLost(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		cluster := newShardedCluster(t, 90+seed, 3)
		submitMixedJobs(cluster, 60, 6)
		cluster.Run(8 * time.Second)
		_, target := cluster.moveShardUntil(t, 7, record.MoveReleased)
		before := cluster.Observed[unansweredCommit]
		cluster.DelayCommitsOf[target], cluster.LoseAnswersOnly = true, true
		cluster.Run(2 * time.Second)
		cluster.DelayCommitsOf[target] = false
		require.Greater(t, cluster.Observed[unansweredCommit], before)
		require.Equal(t, controllerLabel(target), cluster.Shard(7).Owner.Label)
		requireShardsSettled(t, cluster)
	}
}

// TestStoreOutageDuringShardMove checks that a move is finished and no shard fails over when the
// state store is unavailable for longer than a lease during the move, because every lease has
// its full duration when the store is available again.
func TestStoreOutageDuringShardMove(t *testing.T) {
	t.Parallel()
	for _, phase := range []record.MovePhase{record.MoveProposed, record.MoveReleased} {
		cluster := newShardedCluster(t, 95, 3)
		submitMixedJobs(cluster, 60, 6)
		cluster.Run(8 * time.Second)
		_, target := cluster.moveShardUntil(t, 9, phase)
		before := cluster.Observed[shardFailedOver]
		cluster.injectStoreOutage(9 * time.Second)
		cluster.Run(15 * time.Second)
		require.Equal(t, controllerLabel(target), cluster.Shard(9).Owner.Label)
		require.Equal(t, before, cluster.Observed[shardFailedOver])
		requireShardsSettled(t, cluster)
	}
}
