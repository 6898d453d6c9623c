package simulation

import (
	"encoding/json"
	"slices"
	"strings"

	"lilacrill/internal/record"
	"lilacrill/internal/shard"
	"lilacrill/wire"
)

// newPlacements are the machines of the attempts that a transaction adds to a team's
// records, which held those before it.
func newPlacements(txn wire.Transaction, before map[string]bool) []wire.MachineID {
	var machines []wire.MachineID
	for _, change := range txn.Then {
		if !strings.HasPrefix(change.Put, record.PlacementPrefix) {
			continue
		}
		for _, group := range decodePage(change.Value).Groups {
			if !before[attemptName(group.Job, group.Attempt)] {
				machines = append(machines, group.Machines...)
			}
		}
	}
	return machines
}

// addsPlacements reports whether a transaction adds attempts as things stand.
func (c *Cluster) addsPlacements(txn wire.Transaction) bool {
	return len(newPlacements(txn, c.teamAttempts(txn))) > 0
}

// checkPlacementOwners wants tasks placed only on machines of shares that the placing controller
// owned at that moment, with no move under way, and on none that is to be returned.
func (c *Cluster) checkPlacementOwners(process *controllerProcess, txn wire.Transaction, before map[string]bool) {
	shares, returns := c.shardPolicy(), c.terminations()
	for _, id := range newPlacements(txn, before) {
		if returns[id] {
			c.violation("placed on %s, which is to be returned", id)
		}
		if !shares.Enabled {
			continue
		}
		c.Observed[placedInShard]++
		s := c.Shard(shard.Of(id))
		if s.Owner.Label != controllerLabel(process.index) || s.Move != nil {
			c.violation("%s placed on %s of share %d: %+v", controllerLabel(process.index), id, shard.Of(id), s)
		}
	}
}

// Shard is the record of a share.
func (c *Cluster) Shard(id wire.ShardID) record.Shard {
	var s record.Shard
	c.readRecord(record.ShardKey(id), &s)
	return s
}

func (c *Cluster) shardPolicy() record.ShardPolicy {
	var s record.ShardPolicy
	c.readRecord(record.ShardPolicyKey, &s)
	return s
}

// terminations is the machines that are listed to be returned, or as gone.
func (c *Cluster) terminations() map[wire.MachineID]bool {
	var listed record.Terminations
	c.readRecord(record.TerminationsKey, &listed)
	out := map[wire.MachineID]bool{}
	for _, names := range listed.Pending {
		for _, id := range names {
			out[id] = true
		}
	}
	for _, id := range listed.Confirmed {
		out[id] = true
	}
	return out
}

// readRecord reads a record of the state service; one that is not there, or that a test has
// damaged, leaves into as it was.
func (c *Cluster) readRecord(key string, into any) {
	if value, _, ok := c.store.Get(key); ok {
		_ = json.Unmarshal(value, into)
	}
}

// shardsWritten are the records of the shares that a transaction is about to write.
func (c *Cluster) shardsWritten(txn wire.Transaction) map[string]record.Shard {
	out := map[string]record.Shard{}
	for _, change := range txn.Then {
		if strings.HasPrefix(change.Put, record.ShardPrefix) {
			var s record.Shard
			c.readRecord(change.Put, &s)
			out[change.Put] = s
		}
	}
	return out
}

// checkShardChanges holds a change of the shares, before which their records were so, against
// what must hold of it: their format is in force; a share goes to another owner in a later
// epoch, and either was released or its owner has ended.
func (c *Cluster) checkShardChanges(txn wire.Transaction, before map[string]record.Shard) {
	if c.ActiveFormat() < record.FormatSharding && slices.ContainsFunc(txn.Then, func(change wire.Change) bool {
		return change.Put == record.ShardPolicyKey || strings.HasPrefix(change.Put, record.ShardPrefix)
	}) {
		c.violation("record of shares written in format %d", c.ActiveFormat())
	}
	for key, old := range before {
		var now record.Shard
		c.readRecord(key, &now)
		if now.Owner == old.Owner {
			if now.Epoch != old.Epoch {
				c.violation("%s has a new epoch without a new owner", key)
			}
			continue
		}
		if now.Epoch != old.Epoch+1 {
			c.violation("%s goes from epoch %d to %d", key, old.Epoch, now.Epoch)
		}
		released := old.Move != nil && old.Move.Phase == record.MoveReleased && old.Move.To == now.Owner
		switch {
		case released:
			c.Observed[shardAdopted]++
		case old.Epoch > 0 && c.isLive(old.Owner):
			c.violation("%s taken from %s, which lives, by %s", key, old.Owner.Label, now.Owner.Label)
		case old.Epoch > 0:
			c.Observed[shardFailedOver]++
		}
	}
}

// isLive reports whether the record of a process among the living stands.
func (c *Cluster) isLive(owner record.ShardOwner) bool {
	var node record.Liveness
	c.readRecord(record.LivenessKey(owner.Label), &node)
	return node.Incarnation == owner.Incarnation
}

// countIfShardMoves counts what happens to a machine whose share is on the move.
func (c *Cluster) countIfShardMoves(what Observation, id wire.MachineID) {
	if c.Shard(shard.Of(id)).Move != nil {
		c.Observed[what]++
	}
}

// countRejectedPlacement counts placements that were refused because a share of theirs changed, among
// other causes perhaps, or for the list of machines to be returned and nothing else.
func (c *Cluster) countRejectedPlacement(txn wire.Transaction, before map[string]bool, failed []string) {
	if len(newPlacements(txn, before)) == 0 {
		return
	}
	if slices.ContainsFunc(failed, func(key string) bool { return strings.HasPrefix(key, record.ShardPrefix) }) {
		c.Observed[placementConflictedOnShard]++
	}
	if slices.Equal(failed, []string{record.TerminationsKey}) {
		c.Observed[placementConflictedOnTermination]++
	}
}
