package controller

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/internal/shard"
	"lilacrill/wire"
)

// shardState is this process's part in the shares of the machines (docs/shards.md).
type shardState struct {
	table      *shard.Table
	planner    *shard.Planner
	writing    bool // a change of the shares is being written
	nextReview Time
	// acquireFor is a job that needs the room of several controllers at once, and
	// collected when shares were last asked for.
	acquireFor wire.JobID
	acquiredAt Time
	redirects  *rate.Limiter
	// nextFleetEstimate is when the buyer looks at the whole fleet again.
	nextFleetEstimate Time
}

const (
	// shardReviewInterval is how often the shares are looked at.
	shardReviewInterval = 100 * time.Millisecond
	// maxShardsPerTransaction is how many shares one transaction changes at most.
	maxShardsPerTransaction = 6
	// shardReservedConditions is what a placement may demand beside shares and the heads of
	// zones: the list of machines to be returned, the token, its job and some pages.
	shardReservedConditions = 8
	// redirectsPerSecond bounds how fast workers are led to the owners of their shares.
	redirectsPerSecond = 20
	// redirectCooldown is how long a worker that came back is not redirected again.
	redirectCooldown = time.Minute
	// acquiredHoldPeriod is how long shares that were asked for are not handed on again.
	acquiredHoldPeriod = 6 * time.Second
	acquireInterval    = 2 * time.Second
)

func (s *shardState) init(settings *config.Settings) {
	s.table = shard.New(settings.Label)
	s.planner = shard.NewPlanner(s.table, min(maxShardsPerTransaction, settings.Cluster.State.TxnOps-1))
	s.redirects = rate.NewLimiter(redirectsPerSecond, redirectsPerSecond)
}

// shardingEnabled reports whether this process may take part in shares: its features say so,
// and a placement in all of them fits a transaction.
func (c *Controller) shardingEnabled() bool {
	if !c.settings.Features.Sharding.Enabled {
		return false
	}
	need := shard.Count + len(c.settings.Cluster.Zones) + shardReservedConditions
	if most := 4 * c.settings.Cluster.State.TxnOps; most < need {
		c.log.Warn("shares stay off: a transaction of the state service may have too few conditions", "conditions", most, "wanted", need)
		return false
	}
	return true
}

// sharded reports whether each controller places in its own shares only.
func (c *Controller) sharded() bool { return c.shards.table.Enabled() }

// hasPlacementIn reports whether a placement in a share is being written, or may yet be.
func (c *Controller) hasPlacementIn(id wire.ShardID) bool {
	for _, t := range c.cache.teams {
		if t.schedule.inFlight != nil && t.schedule.inFlight.shards[id] {
			return true
		}
	}
	return false
}

// tickShards does what this controller has to do about the shares, one change at a time.
func (c *Controller) tickShards() {
	if c.shards.writing || !c.isDue(c.shards.nextReview) || !c.cacheComplete() || !c.storeReachable() || c.membership.stale {
		return
	}
	c.shards.nextReview = c.now.Add(shardReviewInterval)
	if c.isProvisioner() {
		if a, due := c.shardingSwitch(); due {
			c.commitShardAction(a)
			return
		}
	}
	if !c.sharded() {
		return
	}
	if a, due := c.acquireShards(); due {
		c.commitShardAction(a)
		return
	}
	hold := c.shards.acquiredAt != 0 && c.now.Sub(c.shards.acquiredAt) < acquiredHoldPeriod
	a, due := c.shards.planner.Next(shard.Time(c.now), c.wall, c.hasPlacementIn, hold)
	// Moves wait for their part of the writes: when operators moved all shares at once,
	// what that took was paid back for a minute without a placement (TestContinuousShardMoves).
	if overdrawn := c.writesOverdrawn(); due && (a.Kind == shard.Failover || !overdrawn) {
		c.commitShardAction(a)
	}
}

// shardingSwitch is the change that switches shares on or off, if that is due. It rewrites
// the list of machines to be returned as it is: all placements demand that list, so none
// that was under way before comes after it, whoever made it (TestInvariantsHoldWithShards).
func (c *Controller) shardingSwitch() (shard.Action, bool) {
	a, due := c.shards.table.SwitchPolicy()
	if !due || c.provisioner.recordingTerminations {
		return shard.Action{}, false
	}
	a.Txn.If = append(a.Txn.If, wire.Condition{Key: record.TerminationsKey, Version: c.cache.keyVersions[record.TerminationsKey]})
	a.Txn.Then = append(a.Txn.Then, c.putChange(record.TerminationsKey, c.cache.terminations))
	return a, len(a.Txn.If) <= 4*c.settings.Cluster.State.TxnOps
}

// commitShardAction runs a change of the shares. After one that was lost or not answered the
// records are read before the next.
func (c *Controller) commitShardAction(a shard.Action) {
	c.shards.writing = true
	class := PriorityBackground
	if a.Kind == shard.Failover || a.Kind == shard.Adopt {
		class = PriorityUrgent // nobody places there meanwhile
	}
	c.commit(class, a.Txn, func(r CommitResult) {
		if r.Outcome != Succeeded {
			c.metrics.count(countShardConflicts, 1)
			c.readBarrier(func(bool) { c.shards.writing = false })
			return
		}
		c.shards.writing = false
		c.metrics.count(countShardActions+string(a.Kind), max(1, len(a.Shards)))
		c.log.Info("shares: "+string(a.Kind), "shares", a.Shards, "why", a.Reason)
	})
}

// applyShardRecord takes a record of the shares.
func (c *Controller) applyShardRecord(key string, value []byte, version wire.Revision) error {
	c.scheduler.dirty, c.scheduler.criticalDirty = true, c.scheduler.criticalDirty || c.scheduler.criticalPending
	if key != record.ShardPolicyKey {
		return c.shards.table.ApplyShard(key, value, version)
	}
	before := c.sharded()
	err := c.shards.table.ApplyPolicy(value, version)
	if now := c.sharded(); now != before {
		c.log.Info("shares in use", "now", now, "revision", version)
	}
	return err
}

// redirectToOwner leads a worker to the controller that owns its share, if it can be had without
// a renewal lost: its lease was renewed here a moment ago, and the owner is well. It
// reports whether the request was answered.
func (c *Controller) redirectToOwner(in HeartbeatReceived) bool {
	m := c.machine(in.Heartbeat.Machine)
	if !c.sharded() || m.directHeartbeat == nil || !in.Heartbeat.Newer(m.directHeartbeat) || len(c.stopCommands(m)) > 0 {
		return false
	}
	owner := c.shards.table.Owner(m.shard)
	p := c.gossip.peers[owner.Label]
	switch {
	case owner.Label == c.settings.Label || !c.shards.table.Alive(owner) || c.cache.isolatedControllers[owner.Label]:
		return false
	case p == nil || !p.storeReachable || c.now.Sub(p.lastHeardAt) > 2*peerHeartbeatInterval:
		return false
	case c.now.Sub(m.liveness.lastDirectAt) > config.Seconds(2*c.settings.Cluster.Workers.ReportS):
		return false
	case m.liveness.redirectedToOwnerAt != 0 && c.now.Sub(m.liveness.redirectedToOwnerAt) < redirectCooldown:
		return false
	case !c.shards.redirects.AllowN(time.Unix(0, int64(c.now)), 1):
		return false
	}
	m.liveness.redirectedToOwnerAt = c.now
	c.metrics.count(countOwnerRedirects, 1)
	c.applyHeartbeat(in.Heartbeat, true)
	c.reply(in.Request, http.StatusMisdirectedRequest, wire.Redirect{Controller: owner.Label})
	return true
}

// viewShards answers with the shares as of now or later.
func (c *Controller) viewShards(r RequestID) {
	c.afterBarrier(r, func() { c.reply(r, http.StatusOK, c.shardsView()) })
}

func (c *Controller) shardsView() wire.AdminShards {
	v := c.shards.table.View(c.wall)
	for _, m := range c.orderedMachines() { // a sum of fractions depends on the order
		if m.isTerminated() || int(m.shard) >= len(v.Shards) {
			continue
		}
		s := &v.Shards[m.shard]
		s.Machines++
		for _, e := range m.allocations {
			s.CoresUsed += e.Cores * float64(e.Tasks.Len())
		}
	}
	return v
}

// changeShards carries out what an operator asks of the shares.
func (c *Controller) changeShards(in ShardChangeRequested) {
	if !c.ensureServing(in.Request) {
		return
	}
	c.carryOut(operatorChange{
		request:     in.Request,
		subject:     "shares",
		transaction: func() (wire.Transaction, error) { return c.shardTransaction(in.Change) },
		done: func() {
			c.log.Info("shards changed by operator", "move", in.Change.Move, "to", in.Change.To, "drain", in.Change.Drain,
				"reason", in.Change.Reason, "end_drain", in.Change.EndDrain)
			c.reply(in.Request, http.StatusOK, c.shardsView())
		},
	})
}

func (c *Controller) shardTransaction(change wire.AdminShardChange) (wire.Transaction, error) {
	switch {
	case change.Move != nil:
		return c.shards.table.Move(*change.Move, change.To, change.Epoch, c.wall)
	case change.Drain != "":
		return c.shards.table.Drain(change.Drain, change.Reason)
	default:
		return c.shards.table.EndDrain(change.EndDrain)
	}
}
