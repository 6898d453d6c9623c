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

// shardState holds what this controller knows of the shards of the machines, and the state of its
// own changes of their ownership (docs/shards.md).
type shardState struct {
	table          *shard.Table
	planner        *shard.Planner
	actionInFlight bool // an action is being committed, or has failed and its read barrier has not ended
	nextReview     Time
	// acquireFor is a job that needs the capacity of several controllers at once, or "".
	// lastAcquiredAt is the time at which shards were last acquired.
	acquireFor      wire.JobID
	lastAcquiredAt  Time
	redirectLimiter *rate.Limiter
	// nextFleetEstimate is the time at which the provisioner next estimates the demand on the whole
	// fleet.
	nextFleetEstimate Time
}

const (
	// shardReviewInterval is the time between reviews of the ownership of the shards.
	shardReviewInterval = 100 * time.Millisecond
	// maxShardsPerTransaction is the maximum number of shards that one transaction changes.
	maxShardsPerTransaction = 6
	// shardReservedConditions is the number of conditions of a placement transaction that are
	// reserved for records other than shards and the head pages of zones: the terminations, the
	// fencing token, the job and some pages.
	shardReservedConditions = 8
	// redirectsPerSecond is the maximum rate at which workers are redirected to the owners of their
	// shards.
	redirectsPerSecond = 20
	// redirectCooldown is the time after a redirect during which the worker is not redirected again,
	// even if it returns to this controller.
	redirectCooldown = time.Minute
	// acquiredHoldPeriod is the time after an acquisition during which this controller moves no
	// shards away for balance.
	acquiredHoldPeriod = 6 * time.Second
	// acquireInterval is the minimum time between acquisitions of shards.
	acquireInterval = 2 * time.Second
)

func (s *shardState) init(settings *config.Settings) {
	s.table = shard.New(settings.Label)
	s.planner = shard.NewPlanner(s.table, min(maxShardsPerTransaction, settings.Cluster.State.TxnOps-1))
	s.redirectLimiter = rate.NewLimiter(redirectsPerSecond, redirectsPerSecond)
}

// maxConditions returns the maximum number of conditions of a transaction.
func (c *Controller) maxConditions() int {
	return conditionsPerWrite * c.settings.Cluster.State.TxnOps
}

// shardingEnabled reports whether this controller may take part in sharding. Sharding must be
// enabled in its features file, and a transaction must have room for the conditions of a placement
// in all shards.
func (c *Controller) shardingEnabled() bool {
	if !c.settings.Features.Sharding.Enabled {
		return false
	}
	required := shard.Count + len(c.settings.Cluster.Zones) + shardReservedConditions
	if limit := c.maxConditions(); limit < required {
		c.log.Warn("sharding disabled: too few conditions per transaction", "conditions", limit, "required", required)
		return false
	}
	return true
}

// sharded reports whether sharding is in use. If so, each controller places tasks only on the
// machines in its own shards.
func (c *Controller) sharded() bool { return c.shards.table.Enabled() }

// hasPlacementIn reports whether a transaction in flight places tasks in a shard.
func (c *Controller) hasPlacementIn(id wire.ShardID) bool {
	for _, team := range c.cache.teams {
		if team.schedule.inFlight != nil && team.schedule.inFlight.shards[id] {
			return true
		}
	}
	return false
}

// tickShards commits the next shard action that is due. Only one action is in flight at a time.
// Switching sharding on or off comes first, then an acquisition for a job, then the planner's next
// action.
func (c *Controller) tickShards() {
	if c.shards.actionInFlight || !c.isDue(c.shards.nextReview) || !c.cache.complete() || !c.storeReachable() || c.cache.stale {
		return
	}
	c.shards.nextReview = c.now.Add(shardReviewInterval)
	if c.isProvisioner() {
		if action, due := c.planShardingSwitch(); due {
			c.commitShardAction(action)
			return
		}
	}
	if !c.sharded() {
		return
	}
	if action, due := c.planAcquisition(); due {
		c.commitShardAction(action)
		return
	}
	keepShards := c.shards.lastAcquiredAt != 0 && c.now.Sub(c.shards.lastAcquiredAt) < acquiredHoldPeriod
	action, due := c.shards.planner.Next(shard.Time(c.now), c.wall, c.hasPlacementIn, keepShards)
	// All actions but failovers wait while the write budget is overdrawn. Otherwise, after operators
	// moved all shards at once, the budget would stay overdrawn and block placements for a minute
	// (TestContinuousShardMoves).
	if overdrawn := c.writesOverdrawn(); due && (action.Kind == shard.Failover || !overdrawn) {
		c.commitShardAction(action)
	}
}

// planShardingSwitch returns the action that switches sharding on or off, and whether it is due. The
// action rewrites the terminations record unchanged. All transactions that place tasks have a
// condition on that record, so no placement of any controller that is in flight during the switch
// can be committed after it (TestInvariantsHoldWithShards).
func (c *Controller) planShardingSwitch() (shard.Action, bool) {
	action, due := c.shards.table.SwitchPolicy()
	if !due || c.provisioner.recordingTerminations {
		return shard.Action{}, false
	}
	action.Txn.If = append(action.Txn.If, wire.Condition{Key: record.TerminationsKey, Version: c.cache.keyVersions[record.TerminationsKey]})
	action.Txn.Then = append(action.Txn.Then, c.putChange(record.TerminationsKey, c.cache.terminations))
	return action, len(action.Txn.If) <= c.maxConditions()
}

// commitShardAction commits a shard action. If that fails or its outcome is unknown, the next action
// waits for a read barrier, which brings the cache up to date.
func (c *Controller) commitShardAction(action shard.Action) {
	c.shards.actionInFlight = true
	priority := PriorityBackground
	if action.Kind == shard.Failover || action.Kind == shard.Adopt {
		priority = PriorityUrgent // no controller places tasks in these shards until the action is committed
	}
	c.commit(priority, action.Txn, func(result CommitResult) {
		if result.Outcome != Succeeded {
			c.metrics.count(countShardConflicts, 1)
			c.readBarrier(func(bool) { c.shards.actionInFlight = false })
			return
		}
		c.shards.actionInFlight = false
		c.metrics.count(countShardActions+string(action.Kind), max(1, len(action.Shards)))
		c.log.Info("shards changed", "action", action.Kind, "shards", action.Shards, "reason", action.Reason)
	})
}

// applyShardRecord applies the record of the sharding policy, or of the ownership of a shard.
func (c *Controller) applyShardRecord(key string, value []byte, version wire.Revision) error {
	c.scheduler.dirty, c.scheduler.criticalDirty = true, c.scheduler.criticalDirty || c.scheduler.criticalPending
	if key != record.ShardPolicyKey {
		return c.shards.table.ApplyShard(key, value, version)
	}
	before := c.sharded()
	err := c.shards.table.ApplyPolicy(value, version)
	if now := c.sharded(); now != before {
		c.log.Info("sharding switched on or off", "enabled", now, "revision", version)
	}
	return err
}

// redirectToOwner redirects a worker to the controller that owns its machine's shard. It reports
// whether it has replied to the request.
func (c *Controller) redirectToOwner(in HeartbeatReceived) bool {
	machine := c.machine(in.Heartbeat.Machine)
	if !c.sharded() || machine.directHeartbeat == nil || !in.Heartbeat.Newer(machine.directHeartbeat) || len(c.stopCommands(machine)) > 0 {
		return false
	}
	owner := c.shards.table.Owner(machine.shard)
	if !c.mayRedirectTo(owner, machine) || !c.shards.redirectLimiter.AllowN(time.Unix(0, int64(c.now)), 1) {
		return false
	}
	machine.liveness.redirectedToOwnerAt = c.now
	c.metrics.count(countOwnerRedirects, 1)
	c.applyHeartbeat(in.Heartbeat, true)
	c.reply(in.Request, http.StatusMisdirectedRequest, wire.Redirect{Controller: owner.Label})
	return true
}

// mayRedirectTo reports whether a worker can be redirected to a shard's owner without missing a
// renewal of its lease. Its lease must have been renewed here recently, the owner must be healthy,
// and the worker must not have been redirected recently.
func (c *Controller) mayRedirectTo(owner record.ShardOwner, machine *machine) bool {
	peer := c.gossip.peers[owner.Label]
	ownerHealthy := c.shards.table.Alive(owner) && !c.cache.isolatedControllers[owner.Label] &&
		peer != nil && peer.storeReachable && c.now.Sub(peer.lastHeardAt) <= 2*peerHeartbeatInterval
	renewedRecently := c.now.Sub(machine.liveness.lastDirectAt) <= config.Seconds(2*c.settings.Cluster.Workers.ReportS)
	redirectedRecently := machine.liveness.redirectedToOwnerAt != 0 && c.now.Sub(machine.liveness.redirectedToOwnerAt) < redirectCooldown
	return owner.Label != c.settings.Label && ownerHealthy && renewedRecently && !redirectedRecently
}

// replyWithShards replies to a request with the shards as of now or later.
func (c *Controller) replyWithShards(request RequestID) {
	c.afterBarrier(request, func() { c.reply(request, http.StatusOK, c.viewShards()) })
}

// viewShards returns the shards, each with the number of its machines and the cores that tasks use
// on them.
func (c *Controller) viewShards() wire.AdminShards {
	view := c.shards.table.View(c.wall)
	for _, machine := range c.orderedMachines() { // the rounding of a floating-point sum depends on the order
		if machine.isTerminated() || int(machine.shard) >= len(view.Shards) {
			continue
		}
		shardView := &view.Shards[machine.shard]
		shardView.Machines++
		for _, allocation := range machine.allocations {
			shardView.CoresUsed += allocation.Cores * float64(allocation.Tasks.Len())
		}
	}
	return view
}

// changeShards commits an operator's change of the shards.
func (c *Controller) changeShards(in ShardChangeRequested) {
	if !c.ensureServing(in.Request) {
		return
	}
	c.commitOperatorChange(operatorChange{
		request:     in.Request,
		subject:     "shares",
		transaction: func() (wire.Transaction, error) { return c.shardTransaction(in.Change) },
		onCommitted: func() {
			c.log.Info("shards changed by operator", "move", in.Change.Move, "to", in.Change.To, "drain", in.Change.Drain,
				"reason", in.Change.Reason, "end_drain", in.Change.EndDrain)
			c.reply(in.Request, http.StatusOK, c.viewShards())
		},
	})
}

// shardTransaction returns the transaction for an operator's change of the shards.
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
