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

// shardIn is a shard's record in the state store.
func shardIn(store *simulation.Store, id wire.ShardID) record.Shard {
	var out record.Shard
	if value, _, ok := store.Get(record.ShardKey(id)); ok && json.Unmarshal(value, &out) != nil {
		panic("share record")
	}
	return out
}

// liveIn reports whether a process's liveness record is in the state store.
func liveIn(store *simulation.Store, owner record.ShardOwner) bool {
	var node record.Liveness
	value, _, ok := store.Get(record.LivenessKey(owner.Label))
	return ok && json.Unmarshal(value, &node) == nil && node.Incarnation == owner.Incarnation
}

// cluster is controllers that share a state store, each with a cache that may lag.
type cluster struct {
	t                require.TestingT
	store            *simulation.Store
	now              shard.Time
	lastIncarnation  wire.FencingToken
	processes        []*process
	lateTransactions []wire.Transaction // that arrive later
	ownerChanges     int                // changes of owner
}

type process struct {
	label      string
	table      *shard.Table
	planner    *shard.Planner
	revision   wire.Revision // up to which it has applied all changes
	running    bool
	scheduling map[wire.ShardID]bool // the shards in which it has placements under way
}

func newCluster(t require.TestingT, controllers int) *cluster {
	c := &cluster{t: t, store: simulation.NewStore()}
	c.put(record.ShardPolicyKey, record.ShardPolicy{Enabled: true})
	for i := range controllers {
		c.processes = append(c.processes, &process{label: fmt.Sprint("rig-", i)})
		c.start(i)
	}
	return c
}

func (c *cluster) put(key string, v any) {
	c.store.Commit(wire.Transaction{Then: []wire.Change{{Put: key, Value: record.Encode(record.FormatSharding, key, v)}}})
}

// start starts a new process of a controller.
func (c *cluster) start(i int) {
	n := c.processes[i]
	c.lastIncarnation++
	n.table, n.revision, n.running, n.scheduling = shard.New(n.label), 0, true, map[wire.ShardID]bool{}
	n.planner = shard.NewPlanner(n.table, 6)
	n.table.ApplyFormat(record.FormatSharding)
	n.table.SetIncarnation(c.lastIncarnation)
	c.put(record.RegistrationKey(n.label), record.Registration{Incarnation: c.lastIncarnation, Formats: record.FormatRange{Oldest: 1, Newest: 3}, Sharding: true})
	c.put(record.LivenessKey(n.label), record.Liveness{Incarnation: c.lastIncarnation})
}

// end ends a process; its liveness record goes when its lease expires.
func (c *cluster) end(i int) { c.processes[i].running = false }

// expire has the leases of processes that have ended expire.
func (c *cluster) expire() {
	for _, n := range c.processes {
		if !n.running {
			c.store.Commit(wire.Transaction{Then: []wire.Change{{Delete: record.LivenessKey(n.label)}}})
		}
	}
}

// catchUp has a controller apply all changes.
func (c *cluster) catchUp(n *process) {
	feed := c.store.Changes(record.RootKey, n.revision)
	for _, l := range feed.Events {
		c.apply(n.table, l)
	}
	n.revision = feed.Revision
}

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

// act has a controller take its next action; its transaction may arrive late.
func (c *cluster) act(i int, heldUp bool) (shard.Action, bool) {
	n := c.processes[i]
	if !n.running {
		return shard.Action{}, false
	}
	action, due := n.planner.Next(c.now, int64(time.Duration(c.now)/time.Millisecond), func(id wire.ShardID) bool { return n.scheduling[id] }, false)
	if !due {
		return action, false
	}
	if heldUp {
		c.lateTransactions = append(c.lateTransactions, action.Txn)
	} else {
		c.commit(action.Txn)
	}
	return action, true
}

// commit commits a transaction and checks each change of owner.
func (c *cluster) commit(txn wire.Transaction) {
	before := map[wire.ShardID]record.Shard{}
	alive := map[wire.ShardID]bool{}
	for id := range wire.ShardID(shard.Count) {
		before[id] = shardIn(c.store, id)
		alive[id] = liveIn(c.store, before[id].Owner)
	}
	if c.store.Commit(txn).Outcome != controller.Succeeded {
		return
	}
	for id, old := range before {
		now := shardIn(c.store, id)
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

// converge has all controllers read and act until nothing is left to do, and requires that to happen.
func (c *cluster) converge() {
	quiet := 0
	for range 2000 {
		c.now += shard.Time(100 * time.Millisecond)
		done := true
		for i, n := range c.processes {
			if n.running {
				c.catchUp(n)
				if _, acted := c.act(i, false); acted {
					done = false
				}
			}
		}
		if quiet++; !done {
			quiet = 0
		}
		if quiet > 100 { // longer than any pause
			return
		}
	}
	require.Fail(c.t, "the shards are moved without end")
}

// ownedCounts counts the shards of each controller. All owners must be alive, and no shard being moved.
func (c *cluster) ownedCounts() map[string]int {
	owned := map[string]int{}
	for id := range wire.ShardID(shard.Count) {
		s := shardIn(c.store, id)
		require.True(c.t, liveIn(c.store, s.Owner), "shard %d is with %v", id, s.Owner)
		require.Nil(c.t, s.Move, "share %d", id)
		owned[s.Owner.Label]++
	}
	return owned
}

// TestGeneratedMoves has controllers with lagging views start, end, drain, move shards and
// have writes arrive late, in generated orders. No shard is taken from a live owner that has
// not released it, and in the end every shard has one owner, within the tolerance.
func TestGeneratedMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.IntRange(1, 5).Draw(t, "controllers"))
		drained := map[string]bool{}
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			c.generatedStep(t, drained)
		}
		for i := range c.processes {
			if !c.processes[i].running {
				c.start(i)
			}
			clear(c.processes[i].scheduling)
		}
		c.expire()
		c.converge()
		c.requireBalanced(t, drained)
		for _, txn := range c.lateTransactions { // what arrives now finds its conditions failed, or does no harm
			c.commit(txn)
		}
		c.converge()
		c.ownedCounts()
	})
}

// generatedStep draws and does one step, and notes which controllers are drained.
func (c *cluster) generatedStep(t *rapid.T, drained map[string]bool) {
	c.now += shard.Time(rapid.IntRange(0, 2000).Draw(t, "ms")) * shard.Time(time.Millisecond)
	i := rapid.IntRange(0, len(c.processes)-1).Draw(t, "who")
	n := c.processes[i]
	id := wire.ShardID(rapid.IntRange(0, shard.Count-1).Draw(t, "share"))
	switch rapid.SampledFrom([]string{"act", "act", "act", "act", "read", "read", "read", "late", "carried out", "end", "start", "expire", "place", "move", "drain"}).Draw(t, "step") {
	case "act":
		c.act(i, false)
	case "late":
		c.act(i, true)
	case "carried out":
		if len(c.lateTransactions) > 0 {
			c.commit(c.lateTransactions[0])
			c.lateTransactions = c.lateTransactions[1:]
		}
	case "read":
		if n.running {
			c.catchUp(n)
		}
	case "end":
		c.end(i)
	case "start":
		c.expire()
		c.start(i)
	case "expire":
		c.expire()
	case "place":
		n.scheduling[id] = !n.scheduling[id] && n.running && n.table.MaySchedule(id)
	case "move":
		if txn, err := n.table.Move(id, c.processes[rapid.IntRange(0, len(c.processes)-1).Draw(t, "to")].label, n.table.Epoch(id), 0); err == nil && n.running {
			c.commit(txn)
		}
	case "drain":
		if txn, err := n.table.Drain(n.label, "drawn"); err == nil && c.store.Commit(txn).Outcome == controller.Succeeded {
			drained[n.label] = true
		} else if txn, err := n.table.EndDrain(n.label); err == nil && c.store.Commit(txn).Outcome == controller.Succeeded {
			delete(drained, n.label)
		}
	}
}

// requireBalanced requires drained controllers to own no shard, and the others an equal
// number within the tolerance.
func (c *cluster) requireBalanced(t require.TestingT, drained map[string]bool) {
	owned := c.ownedCounts()
	able := 0
	for _, n := range c.processes {
		if !drained[n.label] {
			able++
		}
	}
	for _, n := range c.processes {
		switch {
		case able == 0:
		case drained[n.label]:
			require.Zero(t, owned[n.label], "%s is drained", n.label)
		default:
			require.InDelta(t, float64(shard.Count)/float64(able), owned[n.label], shard.BalanceTolerance)
		}
	}
}

// TestFewMoves: a controller that ends and one that starts move no more shards than they
// must.
func TestFewMoves(t *testing.T) {
	c := newCluster(t, 4)
	c.converge()
	require.Equal(t, shard.Count, c.ownerChanges)
	before := c.ownedCounts()
	c.end(3)
	c.converge()
	require.Equal(t, shard.Count, c.ownerChanges, "its lease has not run out")
	c.expire()
	c.converge()
	require.Equal(t, shard.Count+before["rig-3"], c.ownerChanges)
	c.start(3)
	changed := c.ownerChanges
	c.converge()
	require.GreaterOrEqual(t, c.ownedCounts()["rig-3"], shard.Count/4-shard.BalanceTolerance)
	require.Equal(t, c.ownedCounts()["rig-3"], c.ownerChanges-changed, "none went to and fro")
	changed = c.ownerChanges
	c.start(3) // back at once
	c.converge()
	require.Equal(t, c.ownedCounts()["rig-3"], c.ownerChanges-changed, "it takes its own again")
}

// TestMachinesSpread: a shard depends on a machine's name alone, in all releases, and the
// shards of any fleet are of about one size.
func TestMachinesSpread(t *testing.T) {
	require.Equal(t, []wire.ShardID{shard.Of("m-000000"), shard.Of("m-000231"), shard.Of("m-123456")}, []wire.ShardID{20, 30, 15})
	for _, fleet := range []int{1000, 4000, 40000} {
		var sizes [shard.Count]int
		for i := range fleet {
			sizes[shard.Of(wire.MachineID(fmt.Sprintf("m-%06d", i)))]++
		}
		for id, n := range sizes {
			require.InEpsilon(t, float64(fleet)/shard.Count, n, 0.55, "share %d of %d machines", id, fleet)
		}
	}
}

// TestDamagedShareRecord: a shard whose record cannot be decoded has no owner, and is left
// alone.
func TestDamagedShareRecord(t *testing.T) {
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
