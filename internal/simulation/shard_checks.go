package simulation

import (
	"slices"
	"strings"

	"lilacrill/internal/record"
	"lilacrill/internal/shard"
	"lilacrill/wire"
)

// Shard is the record of a shard.
func (c *Cluster) Shard(id wire.ShardID) record.Shard {
	var state record.Shard
	c.readRecord(record.ShardKey(id), &state)
	return state
}

func (c *Cluster) shardPolicy() record.ShardPolicy {
	var policy record.ShardPolicy
	c.readRecord(record.ShardPolicyKey, &policy)
	return policy
}

// terminations are the machines with a pending or confirmed termination.
func (c *Cluster) terminations() map[wire.MachineID]bool {
	var listed record.Terminations
	c.readRecord(record.TerminationsKey, &listed)
	machines := map[wire.MachineID]bool{}
	for _, pending := range listed.Pending {
		for _, id := range pending {
			machines[id] = true
		}
	}
	for _, id := range listed.Confirmed {
		machines[id] = true
	}
	return machines
}

// isLive reports whether the liveness record of a shard's owner stands.
func (c *Cluster) isLive(owner record.ShardOwner) bool {
	var liveness record.Liveness
	c.readRecord(record.LivenessKey(owner.Label), &liveness)
	return liveness.Incarnation == owner.Incarnation
}

// checkPlacementOwners checks that a transaction placed tasks only on machines of shards
// that the placing controller owned at that moment, with no move under way, and on none
// with a termination.
func (c *Cluster) checkPlacementOwners(process *controllerProcess, txn wire.Transaction, before map[placedAttemptKey]bool) {
	policy, terminations := c.shardPolicy(), c.terminations()
	for _, id := range newlyPlacedMachines(txn, before) {
		if terminations[id] {
			c.reportViolation("placed on %s, which is to be terminated", id)
		}
		if !policy.Enabled {
			continue
		}
		c.Observed[placedInShard]++
		state := c.Shard(shard.Of(id))
		if state.Owner.Label != controllerLabel(process.index) || state.Move != nil {
			c.reportViolation("%s placed on %s of shard %d: %+v", controllerLabel(process.index), id, shard.Of(id), state)
		}
	}
}

// shardsWritten are the records of the shards that a transaction writes, before it does.
func (c *Cluster) shardsWritten(txn wire.Transaction) map[string]record.Shard {
	states := map[string]record.Shard{}
	for _, change := range txn.Then {
		if strings.HasPrefix(change.Put, record.ShardPrefix) {
			var state record.Shard
			c.readRecord(change.Put, &state)
			states[change.Put] = state
		}
	}
	return states
}

// checkShardChanges checks what a transaction made of the shards' records, which were as
// in before: their format is in force, and a shard goes to another owner in the next
// epoch, and only if its owner released it to that one or has ended.
func (c *Cluster) checkShardChanges(txn wire.Transaction, before map[string]record.Shard) {
	if c.ActiveFormat() < record.FormatSharding && slices.ContainsFunc(txn.Then, isShardRecord) {
		c.reportViolation("record of shards written in format %d", c.ActiveFormat())
	}
	for key, old := range before {
		var state record.Shard
		c.readRecord(key, &state)
		if state.Owner != old.Owner {
			c.checkNewOwner(key, old, state)
		} else if state.Epoch != old.Epoch {
			c.reportViolation("%s has a new epoch without a new owner", key)
		}
	}
}

func isShardRecord(change wire.Change) bool {
	return change.Put == record.ShardPolicyKey || strings.HasPrefix(change.Put, record.ShardPrefix)
}

// checkNewOwner checks that a shard went to another owner as it should.
func (c *Cluster) checkNewOwner(key string, old, state record.Shard) {
	if state.Epoch != old.Epoch+1 {
		c.reportViolation("%s goes from epoch %d to %d", key, old.Epoch, state.Epoch)
	}
	released := old.Move != nil && old.Move.Phase == record.MoveReleased && old.Move.To == state.Owner
	switch {
	case released:
		c.Observed[shardAdopted]++
	case old.Epoch == 0: // it had no owner
	case c.isLive(old.Owner):
		c.reportViolation("%s taken from %s, which lives, by %s", key, old.Owner.Label, state.Owner.Label)
	default:
		c.Observed[shardFailedOver]++
	}
}

// countIfShardMoving counts what happens to a machine if its shard is on the move.
func (c *Cluster) countIfShardMoving(what Observation, id wire.MachineID) {
	if c.Shard(shard.Of(id)).Move != nil {
		c.Observed[what]++
	}
}

// countConflictingPlacement counts placements that conflicted on a record of a shard, among
// others perhaps, or on the list of terminations and nothing else.
func (c *Cluster) countConflictingPlacement(txn wire.Transaction, before map[placedAttemptKey]bool, failed []string) {
	if len(newlyPlacedMachines(txn, before)) == 0 {
		return
	}
	if slices.ContainsFunc(failed, func(key string) bool { return strings.HasPrefix(key, record.ShardPrefix) }) {
		c.Observed[placementConflictedOnShard]++
	}
	if slices.Equal(failed, []string{record.TerminationsKey}) {
		c.Observed[placementConflictedOnTermination]++
	}
}
