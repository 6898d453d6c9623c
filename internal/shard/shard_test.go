package shard_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lilacrill/internal/controller"
	"lilacrill/internal/fixedseed"
	"lilacrill/internal/record"
	"lilacrill/internal/shard"
	"lilacrill/internal/simulation"
	"lilacrill/wire"
)

func TestMain(m *testing.M) { fixedseed.Run(m) }

// storedShard returns the record of a shard in the state store.
func storedShard(store *simulation.Store, id wire.ShardID) record.Shard {
	var stored record.Shard
	if value, _, ok := store.Get(record.ShardKey(id)); ok && json.Unmarshal(value, &stored) != nil {
		panic("shard record cannot be decoded")
	}
	return stored
}

// hasLiveness reports whether the state store has the liveness record of a process.
func hasLiveness(store *simulation.Store, owner record.ShardOwner) bool {
	var liveness record.Liveness
	value, _, ok := store.Get(record.LivenessKey(owner.Label))
	return ok && json.Unmarshal(value, &liveness) == nil && liveness.Incarnation == owner.Incarnation
}

// cluster is a group of controllers that share a state store. The view of each of them may lag
// behind the store.
type cluster struct {
	t                require.TestingT
	store            *simulation.Store
	now              shard.Time
	lastIncarnation  wire.FencingToken
	processes        []*controllerProcess
	lateTransactions []wire.Transaction // transactions that arrive at the store later
	ownerChanges     int                // number of changes of a shard's owner
}

// controllerProcess is the latest process of a controller.
type controllerProcess struct {
	label      string
	table      *shard.Table
	planner    *shard.Planner
	revision   wire.Revision // the table reflects all changes up to this revision
	running    bool
	scheduling map[wire.ShardID]bool // the shards in which it has placements under way
}

// newCluster returns a cluster with sharding in use and all its controllers running.
func newCluster(t require.TestingT, controllers int) *cluster {
	c := &cluster{t: t, store: simulation.NewStore()}
	c.put(record.ShardPolicyKey, record.ShardPolicy{Enabled: true})
	for i := range controllers {
		c.processes = append(c.processes, &controllerProcess{label: fmt.Sprint("rig-", i)})
		c.start(i)
	}
	return c
}

// put stores a record unconditionally.
func (c *cluster) put(key string, v any) {
	c.store.Commit(wire.Transaction{Then: []wire.Change{{Put: key, Value: record.Encode(record.FormatSharding, key, v)}}})
}

// start starts a new process of a controller.
func (c *cluster) start(i int) {
	process := c.processes[i]
	c.lastIncarnation++
	process.table, process.revision, process.running, process.scheduling = shard.New(process.label), 0, true, map[wire.ShardID]bool{}
	process.planner = shard.NewPlanner(process.table, 6)
	process.table.ApplyFormat(record.FormatSharding)
	process.table.SetIncarnation(c.lastIncarnation)
	c.put(record.RegistrationKey(process.label), record.Registration{Incarnation: c.lastIncarnation, Formats: record.FormatRange{Oldest: 1, Newest: 3}, Sharding: true})
	c.put(record.LivenessKey(process.label), record.Liveness{Incarnation: c.lastIncarnation})
}

// stop stops the process of a controller. Its liveness record remains until its lease expires.
func (c *cluster) stop(i int) { c.processes[i].running = false }

// expireLeases deletes the liveness records of stopped processes, as when their leases expire.
func (c *cluster) expireLeases() {
	for _, process := range c.processes {
		if !process.running {
			c.store.Commit(wire.Transaction{Then: []wire.Change{{Delete: record.LivenessKey(process.label)}}})
		}
	}
}

// catchUp applies all changes in the state store to the table of a controller.
func (c *cluster) catchUp(process *controllerProcess) {
	feed := c.store.Changes(record.RootPrefix, process.revision)
	for _, event := range feed.Events {
		c.apply(process.table, event)
	}
	process.revision = feed.Revision
}

// apply applies one change in the state store to a table.
func (c *cluster) apply(table *shard.Table, event wire.ChangeEvent) {
	key := event.Put + event.Delete
	label := key[strings.LastIndexByte(key, '/')+1:]
	switch {
	case key == record.ShardPolicyKey:
		require.NoError(c.t, table.ApplyPolicy(event.Value, event.Version))
	case strings.HasPrefix(key, record.ShardPrefix):
		require.NoError(c.t, table.ApplyShard(key, event.Value, event.Version))
	case strings.HasPrefix(key, record.RegistrationPrefix):
		table.ApplyRegistration(label, event.Value, event.Version)
	default:
		var liveness record.Liveness
		if event.Put != "" {
			require.NoError(c.t, json.Unmarshal(event.Value, &liveness))
		}
		table.ApplyLiveness(label, liveness, event.Version, c.now)
	}
}

// act commits the next action of a controller, or keeps its transaction for later if delayed is
// set. It returns the action and whether one was due.
func (c *cluster) act(i int, delayed bool) (shard.Action, bool) {
	process := c.processes[i]
	if !process.running {
		return shard.Action{}, false
	}
	action, due := process.planner.Next(c.now, int64(time.Duration(c.now)/time.Millisecond), func(id wire.ShardID) bool { return process.scheduling[id] }, false)
	if !due {
		return action, false
	}
	if delayed {
		c.lateTransactions = append(c.lateTransactions, action.Txn)
	} else {
		c.commit(action.Txn)
	}
	return action, true
}

// commit commits a transaction and checks each change of an owner: the epoch of the shard must
// increase by one, and the previous owner must have released the shard or be gone.
func (c *cluster) commit(txn wire.Transaction) {
	before := map[wire.ShardID]record.Shard{}
	alive := map[wire.ShardID]bool{}
	for id := range wire.ShardID(shard.Count) {
		before[id] = storedShard(c.store, id)
		alive[id] = hasLiveness(c.store, before[id].Owner)
	}
	if c.store.Commit(txn).Outcome != controller.Succeeded {
		return
	}
	for id, old := range before {
		now := storedShard(c.store, id)
		if now.Owner == old.Owner {
			require.Equal(c.t, old.Epoch, now.Epoch)
			continue
		}
		c.ownerChanges++
		require.Equal(c.t, old.Epoch+1, now.Epoch)
		released := old.Move != nil && old.Move.Phase == record.MoveReleased && old.Move.To == now.Owner
		require.True(c.t, released || !alive[id], "shard %d taken from %v, which is alive", id, old.Owner)
	}
}

// converge lets all controllers catch up and act until no action is due any more. It fails the
// test if that state is not reached.
func (c *cluster) converge() {
	idleRounds := 0
	for range 2000 {
		c.now += shard.Time(100 * time.Millisecond)
		idle := true
		for i, process := range c.processes {
			if process.running {
				c.catchUp(process)
				if _, acted := c.act(i, false); acted {
					idle = false
				}
			}
		}
		if idleRounds++; !idle {
			idleRounds = 0
		}
		if idleRounds > 100 { // 10 s, longer than any pause between actions
			return
		}
	}
	require.Fail(c.t, "the controllers keep moving shards")
}

// ownedCounts returns the number of shards of each controller. It requires that all owners are
// alive and that no shard is being moved.
func (c *cluster) ownedCounts() map[string]int {
	owned := map[string]int{}
	for id := range wire.ShardID(shard.Count) {
		s := storedShard(c.store, id)
		require.True(c.t, hasLiveness(c.store, s.Owner), "shard %d is owned by %v, which is gone", id, s.Owner)
		require.Nil(c.t, s.Move, "shard %d", id)
		owned[s.Owner.Label]++
	}
	return owned
}

// TestGeneratedMoves runs generated sequences of steps in which controllers with lagging views
// start, stop, are drained, move shards and commit transactions late. It checks that no shard is
// taken from a live owner that has not released it, and that in the end every shard has a live
// owner and the shards are balanced within the tolerance.
func TestGeneratedMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.IntRange(1, 5).Draw(t, "controllers"))
		drained := map[string]bool{}
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			c.runGeneratedStep(t, drained)
		}
		for i := range c.processes {
			if !c.processes[i].running {
				c.start(i)
			}
			clear(c.processes[i].scheduling)
		}
		c.expireLeases()
		c.converge()
		c.requireBalanced(t, drained)
		for _, txn := range c.lateTransactions { // the conditions of each must fail, or its effect be harmless
			c.commit(txn)
		}
		c.converge()
		c.ownedCounts()
	})
}

// runGeneratedStep draws a step, runs it, and keeps the set of drained controllers up to date.
func (c *cluster) runGeneratedStep(t *rapid.T, drained map[string]bool) {
	c.now += shard.Time(rapid.IntRange(0, 2000).Draw(t, "ms")) * shard.Time(time.Millisecond)
	i := rapid.IntRange(0, len(c.processes)-1).Draw(t, "controller")
	process := c.processes[i]
	id := wire.ShardID(rapid.IntRange(0, shard.Count-1).Draw(t, "shard"))
	switch rapid.SampledFrom([]string{"act", "act", "act", "act", "read", "read", "read", "act late", "late arrival", "stop", "start", "expire", "place", "move", "drain"}).Draw(t, "step") {
	case "act":
		c.act(i, false)
	case "act late":
		c.act(i, true)
	case "late arrival":
		if len(c.lateTransactions) > 0 {
			c.commit(c.lateTransactions[0])
			c.lateTransactions = c.lateTransactions[1:]
		}
	case "read":
		if process.running {
			c.catchUp(process)
		}
	case "stop":
		c.stop(i)
	case "start":
		c.expireLeases()
		c.start(i)
	case "expire":
		c.expireLeases()
	case "place":
		process.scheduling[id] = !process.scheduling[id] && process.running && process.table.MaySchedule(id)
	case "move":
		if txn, err := process.table.Move(id, c.processes[rapid.IntRange(0, len(c.processes)-1).Draw(t, "to")].label, process.table.Epoch(id), 0); err == nil && process.running {
			c.commit(txn)
		}
	case "drain":
		if txn, err := process.table.Drain(process.label, "drawn"); err == nil && c.store.Commit(txn).Outcome == controller.Succeeded {
			drained[process.label] = true
		} else if txn, err := process.table.EndDrain(process.label); err == nil && c.store.Commit(txn).Outcome == controller.Succeeded {
			delete(drained, process.label)
		}
	}
}

// requireBalanced requires that drained controllers own no shards, and that each other controller
// owns its equal part of the shards within the tolerance.
func (c *cluster) requireBalanced(t require.TestingT, drained map[string]bool) {
	owned := c.ownedCounts()
	undrained := 0
	for _, process := range c.processes {
		if !drained[process.label] {
			undrained++
		}
	}
	for _, process := range c.processes {
		switch {
		case undrained == 0:
		case drained[process.label]:
			require.Zero(t, owned[process.label], "%s is drained", process.label)
		default:
			require.InDelta(t, float64(shard.Count)/float64(undrained), owned[process.label], shard.BalanceTolerance)
		}
	}
}

// TestFewMoves checks that the stop and the start of a controller cause no more moves of shards
// than necessary.
func TestFewMoves(t *testing.T) {
	c := newCluster(t, 4)
	c.converge()
	require.Equal(t, shard.Count, c.ownerChanges)
	before := c.ownedCounts()
	c.stop(3)
	c.converge()
	require.Equal(t, shard.Count, c.ownerChanges, "shards were taken over before the lease expired")
	c.expireLeases()
	c.converge()
	require.Equal(t, shard.Count+before["rig-3"], c.ownerChanges)
	c.start(3)
	changed := c.ownerChanges
	c.converge()
	require.GreaterOrEqual(t, c.ownedCounts()["rig-3"], shard.Count/4-shard.BalanceTolerance)
	require.Equal(t, c.ownedCounts()["rig-3"], c.ownerChanges-changed, "a shard moved more than once")
	changed = c.ownerChanges
	c.start(3) // restarted at once, before its lease expires
	c.converge()
	require.Equal(t, c.ownedCounts()["rig-3"], c.ownerChanges-changed, "the restarted controller did not just take over its own shards")
}

// TestMachinesSpread checks that the shard of a machine depends on its ID alone and is the same in
// all releases, and that the shards of a fleet have similar sizes.
func TestMachinesSpread(t *testing.T) {
	require.Equal(t, []wire.ShardID{shard.Of("m-000000"), shard.Of("m-000231"), shard.Of("m-123456")}, []wire.ShardID{20, 30, 15})
	for _, fleet := range []int{1000, 4000, 40000} {
		var sizes [shard.Count]int
		for i := range fleet {
			sizes[shard.Of(wire.MachineID(fmt.Sprintf("m-%06d", i)))]++
		}
		for id, size := range sizes {
			require.InEpsilon(t, float64(fleet)/shard.Count, size, 0.55, "shard %d of %d machines", id, fleet)
		}
	}
}

// TestDamagedShardRecord checks that a shard whose record cannot be decoded has no owner, and that
// controllers do not change its record.
func TestDamagedShardRecord(t *testing.T) {
	c := newCluster(t, 1)
	c.converge()
	table := c.processes[0].table
	require.True(t, table.MaySchedule(3))
	require.Error(t, table.ApplyShard(record.ShardKey(3), []byte(`{"owner":7}`), 999))
	require.False(t, table.MaySchedule(3))
	require.Error(t, table.ApplyShard(record.ShardPrefix+"99", []byte(`{}`), 999))
	require.Error(t, table.ApplyShard(record.ShardPrefix+"x", []byte(`{}`), 999))
	_, due := c.act(0, false)
	require.False(t, due)
}
