package shard

import (
	"maps"
	"slices"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// SwitchPolicy returns the action that switches sharding on or off, and whether it is due. Sharding
// is switched on once the current processes of all live controllers enable it, and off once one of
// them does not. The transaction has conditions on the policy and on the liveness records and
// registrations that the decision is based on.
//
// The caller must commit the action together with a write of a record on which every placement has
// a condition. Otherwise a placement that is under way, on any machine and by a process of any
// release, could be committed after the switch.
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

// enabledByAll reports whether the current processes of all live controllers have registered that
// they enable sharding.
func (t *Table) enabledByAll() bool {
	for label, controller := range t.controllers {
		registered := t.registrations[label]
		if registered.Incarnation != controller.Incarnation || !registered.Sharding {
			return false
		}
	}
	return true
}

// putPolicy returns the transaction that stores whether sharding is in use and which controllers
// are drained.
func (t *Table) putPolicy(next record.ShardPolicy) wire.Transaction {
	return wire.Transaction{
		If:   []wire.Condition{t.policyCondition()},
		Then: []wire.Change{{Put: record.ShardPolicyKey, Value: record.Encode(record.FormatSharding, record.ShardPolicyKey, next)}},
	}
}
