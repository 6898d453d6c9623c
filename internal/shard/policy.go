package shard

import (
	"maps"
	"slices"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// SwitchPolicy is the transaction that switches sharding on, once the latest processes of
// all live controllers enable it, or off, once one of them does not. Its conditions are the
// registrations that it relies on.
//
// It has to be committed together with a change of a record that is a condition of every
// placement: else a placement on any machine that was under way, from a process of any
// build, could come after it.
func (t *Table) SwitchPolicy() (Action, bool) {
	if t.format < record.FormatSharding || len(t.controllers) == 0 {
		return Action{}, false
	}
	enable := t.enabledByAll()
	if enable == t.policy.Enabled {
		return Action{}, false
	}
	txn := t.putPolicy(record.ShardPolicy{Enabled: enable, Drained: t.policy.Drained})
	for _, label := range slices.Sorted(maps.Keys(t.controllers)) {
		txn.If = append(txn.If, t.livenessCondition(label),
			wire.Condition{Key: record.RegistrationKey(label), Version: t.registrations[label].version})
	}
	return Action{Kind: Switch, Txn: txn}, true
}

// enabledByAll reports whether the present processes of all live controllers have registered
// that they enable sharding.
func (t *Table) enabledByAll() bool {
	for label, live := range t.controllers {
		registered := t.registrations[label]
		if registered.Incarnation != live.Incarnation || !registered.Sharding {
			return false
		}
	}
	return true
}

// putPolicy writes whether sharding is in use, and which controllers are drained.
func (t *Table) putPolicy(next record.ShardPolicy) wire.Transaction {
	return wire.Transaction{
		If:   []wire.Condition{t.policyCondition()},
		Then: []wire.Change{{Put: record.ShardPolicyKey, Value: record.Encode(record.FormatSharding, record.ShardPolicyKey, next)}},
	}
}
