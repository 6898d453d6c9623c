package simulation

import (
	"slices"
	"strings"

	"lilacrill/internal/record"
	"lilacrill/internal/shard"
	"lilacrill/wire"
)

// Shard returns the record of a shard.
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

// terminations returns the machines with a pending or confirmed termination.
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

// isLive reports whether the owner of a shard has a liveness record of its incarnation.
func (c *Cluster) isLive(owner record.ShardOwner) bool {
	var liveness record.Liveness
	c.readRecord(record.LivenessKey(owner.Label), &liveness)
	return liveness.Incarnation == owner.Incarnation
}

// checkPlacementOwners checks the machines on which a transaction placed tasks. None of them
// may have a termination. With sharding enabled, each must be in a shard that the placing
// controller owns at that time and that is not being moved.
func (c *Cluster) checkPlacementOwners(process *controllerProcess, txn wire.Transaction, before map[placedAttemptKey]bool) {
	policy, terminations := c.shardPolicy(), c.terminations()
	for _, id := range newlyPlacedMachines(txn, before) {
		if terminations[id] {
			c.reportViolation("tasks placed on %s, which has a pending or confirmed termination", id)
		}
		if !policy.Enabled {
			continue
		}
		c.Observed[placedInShard]++
		state := c.Shard(shard.Of(id))
		if state.Owner.Label != controllerLabel(process.index) || state.Move != nil {
			c.reportViolation("%s placed tasks on %s of shard %d, which it does not own or which is being moved: %+v", controllerLabel(process.index), id, shard.Of(id), state)
		}
	}
}

// shardsWritten returns the records of the shards that a transaction writes, by their keys.
// It is called before the transaction is committed.
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

// checkShardChanges checks the changes of a committed transaction to the records of shards,
// given these records before the transaction. The format in force must support sharding. A
// shard may only go to another owner in the next epoch, and only if the previous owner has
// released the shard to the new one or is no longer live.
func (c *Cluster) checkShardChanges(txn wire.Transaction, before map[string]record.Shard) {
	if c.ActiveFormat() < record.FormatSharding && slices.ContainsFunc(txn.Then, isShardRecord) {
		c.reportViolation("shard record written while format %d is in force", c.ActiveFormat())
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

// checkNewOwner checks the change of the owner of a shard. The epoch must increase by 1, and
// the previous owner must have released the shard to the new one or must no longer be live.
func (c *Cluster) checkNewOwner(key string, old, state record.Shard) {
	if state.Epoch != old.Epoch+1 {
		c.reportViolation("%s goes from epoch %d to %d", key, old.Epoch, state.Epoch)
	}
	released := old.Move != nil && old.Move.Phase == record.MoveReleased && old.Move.To == state.Owner
	switch {
	case released:
		c.Observed[shardAdopted]++
	case old.Epoch == 0: // the shard had no owner
	case c.isLive(old.Owner):
		c.reportViolation("%s taken over from %s, which is live, by %s", key, old.Owner.Label, state.Owner.Label)
	default:
		c.Observed[shardFailedOver]++
	}
}

// countIfShardMoving counts an observation of a machine if the machine's shard is being moved.
func (c *Cluster) countIfShardMoving(observation Observation, id wire.MachineID) {
	if c.Shard(shard.Of(id)).Move != nil {
		c.Observed[observation]++
	}
}

// countConflictingPlacement counts a conflicting transaction that would have added
// placements. It counts conflicts on the record of a shard, with or without other records,
// and conflicts on the list of terminations only.
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
