package shard

import (
	"slices"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// Each change of shards is one transaction, whose conditions are the versions of the records
// that it changes: of two concurrent changes one fails, and so does one that arrives late.

// addPut adds the write of a shard's record, on the condition that it has not changed.
func (t *Table) addPut(txn *wire.Transaction, id wire.ShardID, next record.Shard) {
	txn.If = append(txn.If, t.Condition(id))
	txn.Then = append(txn.Then, wire.Change{Put: record.ShardKey(id), Value: record.Encode(record.FormatSharding, record.ShardKey(id), next)})
}

// addCondition adds a condition unless the transaction has it.
func addCondition(txn *wire.Transaction, condition wire.Condition) {
	if !slices.Contains(txn.If, condition) {
		txn.If = append(txn.If, condition)
	}
}

// failOver makes this process the owner of shards that have no owner, or whose owner is gone.
// That it is gone is a condition: a controller's liveness record is on its lease, so a shard
// is never taken from an owner that may still be alive.
func (t *Table) failOver(ids []wire.ShardID) wire.Transaction {
	var txn wire.Transaction
	for _, id := range ids {
		s := &t.shards[id]
		if s.Owner.Label != "" {
			addCondition(&txn, t.livenessCondition(s.Owner.Label))
		}
		t.addPut(&txn, id, record.Shard{Owner: t.self, Epoch: s.Epoch + 1})
	}
	return txn
}

// proposal is a shard with the controller that it is to be handed over to.
type proposal struct {
	id wire.ShardID
	to string
}

// propose asks the owners of shards to hand them over. That the targets are alive is a
// condition.
func (t *Table) propose(proposals []proposal, reason string, wall int64) wire.Transaction {
	var txn wire.Transaction
	for _, move := range proposals {
		addCondition(&txn, t.livenessCondition(move.to))
		next := t.shards[move.id].Shard
		next.Move = &record.ShardMove{To: record.ShardOwner{Label: move.to, Incarnation: t.controllers[move.to].Incarnation},
			Phase: record.MoveProposed, Since: wall, Reason: reason}
		t.addPut(&txn, move.id, next)
	}
	return txn
}

// release records that this process, the owner, has no placement under way in shards that it
// is to hand over: their targets may adopt them.
func (t *Table) release(ids []wire.ShardID) wire.Transaction {
	var txn wire.Transaction
	for _, id := range ids {
		next := t.shards[id].Shard
		move := *next.Move
		move.Phase = record.MoveReleased
		next.Move = &move
		t.addPut(&txn, id, next)
	}
	return txn
}

// adopt makes this process the owner of shards that were released to it.
func (t *Table) adopt(ids []wire.ShardID) wire.Transaction {
	var txn wire.Transaction
	for _, id := range ids {
		t.addPut(&txn, id, record.Shard{Owner: t.self, Epoch: t.shards[id].Epoch + 1})
	}
	return txn
}

// undo ends moves whose targets are gone: the shards stay with their owners. That the targets
// are gone is a condition, since one that is alive may adopt at any moment.
func (t *Table) undo(ids []wire.ShardID) wire.Transaction {
	var txn wire.Transaction
	for _, id := range ids {
		next := t.shards[id].Shard
		addCondition(&txn, t.livenessCondition(next.Move.To.Label))
		next.Move = nil
		t.addPut(&txn, id, next)
	}
	return txn
}
