package shard

import (
	"slices"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// A change of the shares is one transaction. Each demands the records that it changes as
// they are known here, so of two changes that meet one fails, and one that is carried out
// late fails too.

// put writes a share's record on the condition that it is as it is known here.
func (t *Table) put(txn *wire.Transaction, id wire.ShardID, next record.Shard) {
	txn.If = append(txn.If, t.Condition(id))
	txn.Then = append(txn.Then, wire.Change{Put: record.ShardKey(id), Value: record.Encode(record.FormatSharding, record.ShardKey(id), next)})
}

// requireOnce adds a condition unless it is there.
func requireOnce(txn *wire.Transaction, condition wire.Condition) {
	if !slices.Contains(txn.If, condition) {
		txn.If = append(txn.If, condition)
	}
}

// failOver makes this process the owner of shares that nobody owns, or whose owner has
// ended. That is demanded: an owner's record in the state service hangs on its lease, so
// a share is never taken from one that may still be alive.
func (t *Table) failOver(ids []wire.ShardID) wire.Transaction {
	var txn wire.Transaction
	for _, id := range ids {
		s := &t.shards[id]
		if s.Owner.Label != "" {
			requireOnce(&txn, t.livenessCondition(s.Owner.Label))
		}
		t.put(&txn, id, record.Shard{Owner: t.self, Epoch: s.Epoch + 1})
	}
	return txn
}

// proposal is a share that is to be handed over.
type proposal struct {
	id wire.ShardID
	to string
}

// propose asks the owners of shares to hand them over. The targets must live.
func (t *Table) propose(proposals []proposal, why string, wall int64) wire.Transaction {
	var txn wire.Transaction
	for _, p := range proposals {
		requireOnce(&txn, t.livenessCondition(p.to))
		next := t.shards[p.id].Shard
		next.Move = &record.ShardMove{To: record.ShardOwner{Label: p.to, Incarnation: t.controllers[p.to].Incarnation},
			Phase: record.MoveProposed, Since: wall, Reason: why}
		t.put(&txn, p.id, next)
	}
	return txn
}

// release notes that this process, the owner, has no placement under way in shares that
// it is to hand over.
func (t *Table) release(ids []wire.ShardID) wire.Transaction {
	var txn wire.Transaction
	for _, id := range ids {
		next := t.shards[id].Shard
		move := *next.Move
		move.Phase = record.MoveReleased
		next.Move = &move
		t.put(&txn, id, next)
	}
	return txn
}

// adopt makes this process the owner of shares that were released to it.
func (t *Table) adopt(ids []wire.ShardID) wire.Transaction {
	var txn wire.Transaction
	for _, id := range ids {
		t.put(&txn, id, record.Shard{Owner: t.self, Epoch: t.shards[id].Epoch + 1})
	}
	return txn
}

// undo ends moves whose targets have ended: the shares stay with their owners. That the
// targets have ended is demanded, since one that lives may adopt at any moment.
func (t *Table) undo(ids []wire.ShardID) wire.Transaction {
	var txn wire.Transaction
	for _, id := range ids {
		next := t.shards[id].Shard
		requireOnce(&txn, t.livenessCondition(next.Move.To.Label))
		next.Move = nil
		t.put(&txn, id, next)
	}
	return txn
}

// putPolicy writes whether shares are in use, and who is drained.
func (t *Table) putPolicy(next record.ShardPolicy) wire.Transaction {
	return wire.Transaction{
		If:   []wire.Condition{t.policyCondition()},
		Then: []wire.Change{{Put: record.ShardPolicyKey, Value: record.Encode(record.FormatSharding, record.ShardPolicyKey, next)}},
	}
}
