package simulation

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/controller"
	"lilacrill/internal/record"
	"lilacrill/internal/shard"
	"lilacrill/wire"
)

// startWithShards starts a controller that enables shards and automatically activates the
// newest format once all controllers read it.
func (c *Cluster) startWithShards(i int) {
	features, settle := config.DefaultFeatures(), 0.0
	features.Rollout.Activation, features.Rollout.SettleS = config.ActivationAutomatic, &settle
	features.Sharding.Enabled = true
	c.Features[i] = features
	c.Start(i)
}

// newShardedCluster returns a cluster in which shards are in use and most have machines.
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

// unownedShards returns the number of shards without a live owner.
func (c *Cluster) unownedShards() int {
	n := 0
	for id := range wire.ShardID(shard.Count) {
		if s := c.Shard(id); s.Epoch == 0 || !c.isLive(s.Owner) {
			n++
		}
	}
	return n
}

// shardsByOwner returns the number of shards that each controller owns, by its label.
func (c *Cluster) shardsByOwner() map[string]int {
	owned := map[string]int{}
	for id := range wire.ShardID(shard.Count) {
		owned[c.Shard(id).Owner.Label]++
	}
	return owned
}

// changeShards requests a change from a controller. The returned reply is filled in when the
// controller answers.
func (c *Cluster) changeShards(i int, change wire.AdminShardChange) *controller.Reply {
	reply := &controller.Reply{}
	c.sendToController(c.controllers[i], func(id controller.RequestID) controller.Input {
		return controller.ShardChangeRequested{Request: id, Change: change}
	},
		func(received controller.Reply) { *reply = received })
	return reply
}

// shardMove returns a change that moves a shard from its epoch in the state store to another
// controller.
func (c *Cluster) shardMove(id wire.ShardID, to int) wire.AdminShardChange {
	return wire.AdminShardChange{Move: &id, To: controllerLabel(to), Epoch: c.Shard(id).Epoch}
}

// TestShardsAreBalanced checks that, once all controllers enable shards, every shard has an
// owner, the shards are evenly distributed, and a controller that joins later gets its part.
// Jobs run as without shards. Workers are redirected to the owners of their shards, and none
// loses its lease in the process.
func TestShardsAreBalanced(t *testing.T) {
	cluster := newShardedCluster(t, 1, 3)
	cluster.changeSettings(`{"idle_s":86400}`)
	submitMixedJobs(cluster, 60, 6)
	cluster.Run(20 * time.Second)
	for i := range 3 {
		require.InDelta(t, shard.Count/3, cluster.shardsByOwner()[controllerLabel(i)], shard.BalanceTolerance)
	}
	cluster.Stop(2)
	cluster.Run(9 * time.Second)
	require.Zero(t, cluster.unownedShards())
	require.Zero(t, cluster.shardsByOwner()[controllerLabel(2)])
	cluster.startWithShards(2)
	cluster.Run(25 * time.Second)
	for i := range 3 {
		require.InDelta(t, shard.Count/3, cluster.shardsByOwner()[controllerLabel(i)], shard.BalanceTolerance)
	}
	require.Greater(t, cluster.Observed[placedInShard], 50)
	requireAllFinished(t, cluster)
	atOwner, machines := 0, 0
	for _, machine := range cluster.machines {
		if machine.up && !machine.terminated {
			machines++
			require.EqualValues(t, 1, machine.agentEpoch)
			if controllerLabel(machine.controller) == cluster.Shard(shard.Of(machine.id)).Owner.Label {
				atOwner++
			}
		}
	}
	require.Greater(t, atOwner, machines*3/4, "too few of %d workers send heartbeats to the owners of their shards", machines)
}

// TestConcurrentShardMovesOneSucceeds checks that of two concurrent requests to move a shard
// one succeeds and the other is rejected.
func TestConcurrentShardMovesOneSucceeds(t *testing.T) {
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

// TestShardsDormantUntilAllControllersEnableThem checks that shards are dormant while one
// controller reads no format later than the second, and off while one controller does not
// enable them. Restarting a controller without shards enabled switches them off again.
func TestShardsDormantUntilAllControllersEnableThem(t *testing.T) {
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

	cluster.startNewerRelease(2) // reads all formats but does not enable shards
	cluster.Run(15 * time.Second)
	require.Equal(t, record.FormatSharding, cluster.ActiveFormat())
	require.False(t, cluster.shardPolicy().Enabled)
	require.Zero(t, cluster.Observed[placedInShard])
	cluster.startWithShards(2)
	cluster.Run(15 * time.Second)
	require.True(t, cluster.shardPolicy().Enabled)
	cluster.startNewerRelease(0)
	cluster.Run(10 * time.Second)
	require.False(t, cluster.shardPolicy().Enabled)
	requireAllFinished(t, cluster)
}

// TestDrainedControllerHandsOverShards checks that a drained controller hands over all its
// shards, so that none fails over when it stops. Once its drain is ended, it gets its part
// again.
func TestDrainedControllerHandsOverShards(t *testing.T) {
	t.Parallel()
	cluster := newShardedCluster(t, 97, 3)
	submitMixedJobs(cluster, 60, 6)
	reply := cluster.changeShards(0, wire.AdminShardChange{Drain: "rig-1", Reason: "new disks"})
	cluster.Run(8 * time.Second)
	require.Equal(t, 200, reply.Status)
	require.Zero(t, cluster.shardsByOwner()["rig-1"])
	cluster.Stop(1)
	before := cluster.Observed[shardFailedOver]
	cluster.Run(10 * time.Second)
	require.Equal(t, before, cluster.Observed[shardFailedOver])
	cluster.startWithShards(1)
	cluster.Run(10 * time.Second)
	require.Zero(t, cluster.shardsByOwner()["rig-1"], "a controller that is still drained owns shards")
	cluster.changeShards(2, wire.AdminShardChange{EndDrain: "rig-1"})
	cluster.Run(20 * time.Second)
	require.InDelta(t, shard.Count/3, cluster.shardsByOwner()["rig-1"], shard.BalanceTolerance)
	requireShardsSettled(t, cluster)
}

// TestGangSpansShards checks that a gang starts although it needs more machines than the shards
// of any one controller contain, and none can be provisioned. Shards of other controllers must be
// moved for it. The test also checks that an array uses the machines of all controllers at once.
func TestGangSpansShards(t *testing.T) {
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
		startDelay, ok := cluster.StartDelay(gang.ID)
		require.True(t, ok, "seed %d", seed)
		t.Log("gang of 10 over 12 machines started after", startDelay)
		cluster.Run(15 * time.Second)
		array, _ := testJob(3, 0)
		array.Tasks, array.Cores = 12, 4
		cluster.Submit(array, 20*time.Second)
		cluster.Run(8 * time.Second)
		require.Len(t, cluster.jobs[array.ID].active(), 12, "seed %d", seed)
		requireShardsSettled(t, cluster)
	}
}

// TestNoPlacementOnTerminatedMachine guards against placements on terminated machines. A
// placement is delayed on its way to the state store, and meanwhile the provisioner terminates
// the machine, which is idle. Without a condition on the list of terminations the placement
// would still be committed.
func TestNoPlacementOnTerminatedMachine(t *testing.T) {
	t.Parallel()
	conflicts := 0
	for seed := range uint64(8) {
		cluster := newCluster(300+seed, 3)
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
		conflicts += cluster.Observed[placementConflictedOnTermination]
		requireAllFinished(t, cluster)
	}
	require.Greater(t, conflicts, 5)
}

// changeSettings changes the operator settings and runs the cluster for a second.
func (c *Cluster) changeSettings(settings string) {
	_, version, _ := c.store.Get(record.SettingsKey)
	c.sendToController(c.controllers[0], func(id controller.RequestID) controller.Input {
		return controller.SettingsChangeRequested{Request: id, Change: wire.AdminSettings{Version: version, Settings: json.RawMessage(settings)}}
	}, func(controller.Reply) {})
	c.Run(time.Second)
}
