package shard

import (
	"slices"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// Each change of shards is one transaction, with the versions of the changed records as its
// conditions. Of two concurrent changes to the same shard one fails. A change that arrives late
// fails if the shard has changed since.

// addPut adds the write of a shard's record to a transaction, with the condition that the record
// has not changed.
func (t *Table) addPut(txn *wire.Transaction, id wire.ShardID, next record.Shard) {
	txn.If = append(txn.If, t.Condition(id))
	txn.Then = append(txn.Then, wire.Change{Put: record.ShardKey(id), Value: record.Encode(record.FormatSharding, record.ShardKey(id), next)})
}

// addCondition adds a condition to a transaction unless the transaction has this condition already.
func addCondition(txn *wire.Transaction, condition wire.Condition) {
	if !slices.Contains(txn.If, condition) {
		txn.If = append(txn.If, condition)
	}
}

// failOver returns the transaction that makes this process the owner of shards that have no owner
// or whose owner is gone. It has the condition that the liveness record of the owner has not
// changed, i.e. that the owner is still gone. The record is attached to the lease of the owner, so
// a shard is never taken from an owner that may still be alive.
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

// proposal is a proposed move of a shard to the controller with label to.
type proposal struct {
	id wire.ShardID
	to string
}

// propose returns the transaction that records proposed moves of shards, so that their owners release
// the shards. It has the condition that the targets are alive.
func (t *Table) propose(proposals []proposal, reason string, wall int64) wire.Transaction {
	var txn wire.Transaction
	for _, proposed := range proposals {
		addCondition(&txn, t.livenessCondition(proposed.to))
		next := t.shards[proposed.id].Shard
		next.Move = &record.ShardMove{To: record.ShardOwner{Label: proposed.to, Incarnation: t.controllers[proposed.to].Incarnation},
			Phase: record.MoveProposed, Since: wall, Reason: reason}
		t.addPut(&txn, proposed.id, next)
	}
	return txn
}

// release returns the transaction that records that this process, the owner of shards to be
// handed over, has no placement under way in them. The targets may then adopt the shards.
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

// adopt returns the transaction that makes this process the owner of shards that were released to
// it.
func (t *Table) adopt(ids []wire.ShardID) wire.Transaction {
	var txn wire.Transaction
	for _, id := range ids {
		t.addPut(&txn, id, record.Shard{Owner: t.self, Epoch: t.shards[id].Epoch + 1})
	}
	return txn
}

// undo returns the transaction that ends moves whose targets are gone, so that the shards stay
// with their owners. It has the condition that the targets are gone, since a target that is alive
// may adopt a released shard at any moment.
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
