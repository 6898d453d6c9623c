package shard

import (
	"fmt"
	"strconv"
	"strings"

	"lilacrill/internal/fastjson"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// Table is the view that one controller has of the shards and of the controllers that may own
// them, built from their records.
type Table struct {
	self record.ShardOwner

	policy        record.ShardPolicy
	policyVersion wire.Revision
	shards        [Count]shardState
	controllers   map[string]Controller   // the live controllers, by label
	registrations map[string]registration // by label
	format        wire.Format             // the format in force
}

// shardState is the record of a shard. Its version is 0 while the record does not exist.
type shardState struct {
	record.Shard
	version    wire.Revision
	unreadable bool
}

// registration is the registration of the latest process of a controller.
type registration struct {
	record.Registration
	version wire.Revision
}

// Controller is a live controller.
type Controller struct {
	Incarnation wire.FencingToken
	Isolated    bool          // whether it reports that it reaches no workers
	Version     wire.Revision // of its liveness record
	// Since is the time at which this incarnation was first known to be alive.
	Since Time
}

// New returns an empty table for the controller with the given label.
func New(label string) *Table {
	t := &Table{self: record.ShardOwner{Label: label}}
	t.Reset()
	return t
}

// Reset discards all records, before they are read again.
func (t *Table) Reset() {
	t.policy, t.policyVersion = record.ShardPolicy{}, 0
	t.shards = [Count]shardState{}
	t.controllers, t.registrations = map[string]Controller{}, map[string]registration{}
	t.format = record.FormatPlain
}

// SetIncarnation sets the incarnation of this process, which is known once the process has joined.
func (t *Table) SetIncarnation(incarnation wire.FencingToken) { t.self.Incarnation = incarnation }

// ApplyFormat sets the format in force.
func (t *Table) ApplyFormat(format wire.Format) { t.format = format }

// ApplyPolicy applies the record that states whether sharding is in use and which controllers are
// drained. A nil value means that the record does not exist.
func (t *Table) ApplyPolicy(value []byte, version wire.Revision) error {
	t.policy, t.policyVersion = record.ShardPolicy{}, version
	if value == nil {
		t.policyVersion = 0
		return nil
	}
	return fastjson.Unmarshal(value, &t.policy)
}

// ApplyShard applies the record of the shard that key identifies. A nil value means that the record
// does not exist. A shard whose record cannot be decoded is treated as having no owner: this
// controller places no tasks in it and does not change the record.
func (t *Table) ApplyShard(key string, value []byte, version wire.Revision) error {
	number, err := strconv.Atoi(strings.TrimPrefix(key, record.ShardPrefix))
	if err != nil || !Valid(wire.ShardID(number)) {
		return fmt.Errorf("shard record %q: no such shard", key)
	}
	s := shardState{version: version}
	if value == nil {
		s.version = 0
	} else if err = fastjson.Unmarshal(value, &s.Shard); err != nil {
		s.Shard, s.unreadable = record.Shard{}, true
	}
	t.shards[number] = s
	return err
}

// ApplyRegistration applies the registration of the latest process of a controller. It treats a
// record that cannot be decoded as missing.
func (t *Table) ApplyRegistration(label string, value []byte, version wire.Revision) {
	delete(t.registrations, label)
	registered := registration{version: version}
	if value != nil && fastjson.Unmarshal(value, &registered.Registration) == nil {
		t.registrations[label] = registered
	}
}

// ApplyLiveness applies the liveness record of a controller. The incarnation is 0 if the controller
// is not alive.
func (t *Table) ApplyLiveness(label string, liveness record.Liveness, version wire.Revision, now Time) {
	before, known := t.controllers[label]
	if liveness.Incarnation == 0 {
		delete(t.controllers, label)
		return
	}
	since := now
	if known && before.Incarnation == liveness.Incarnation {
		since = before.Since
	}
	t.controllers[label] = Controller{Incarnation: liveness.Incarnation, Isolated: liveness.Isolated, Version: version, Since: since}
}

// Enabled reports whether sharding is in use.
func (t *Table) Enabled() bool { return t.policy.Enabled }

// Alive reports whether a process of a controller is known to be alive.
func (t *Table) Alive(owner record.ShardOwner) bool {
	controller, ok := t.controllers[owner.Label]
	return ok && owner.Incarnation != 0 && controller.Incarnation == owner.Incarnation
}

// Owner returns the process that owns a shard according to its record. The process may be gone.
func (t *Table) Owner(id wire.ShardID) record.ShardOwner { return t.shards[id].Owner }

// Epoch returns the epoch of a shard, which increases with each change of its owner.
func (t *Table) Epoch(id wire.ShardID) wire.ShardEpoch { return t.shards[id].Epoch }

// MaySchedule reports whether this process may start placements on the machines of a shard. This is
// the case if the process owns the shard and no move of the shard is under way.
func (t *Table) MaySchedule(id wire.ShardID) bool {
	s := &t.shards[id]
	return t.self.Incarnation != 0 && s.Owner == t.self && s.Move == nil && !s.unreadable
}

// OwnedCount returns the number of shards that the live process of a controller owns.
func (t *Table) OwnedCount(label string) int {
	count := 0
	for i := range t.shards {
		if owner := t.shards[i].Owner; owner.Label == label && t.Alive(owner) {
			count++
		}
	}
	return count
}

// Condition returns the condition that the record of a shard has not changed. Every transaction
// that places tasks in the shard has this condition.
func (t *Table) Condition(id wire.ShardID) wire.Condition {
	return wire.Condition{Key: record.ShardKey(id), Version: t.shards[id].version}
}

// policyCondition returns the condition that the policy has not changed.
func (t *Table) policyCondition() wire.Condition {
	return wire.Condition{Key: record.ShardPolicyKey, Version: t.policyVersion}
}

// livenessCondition returns the condition that the liveness record of a controller has not changed,
// so that the controller is still alive or still gone, whichever this table states. The record is
// attached to the controller's lease.
func (t *Table) livenessCondition(label string) wire.Condition {
	return wire.Condition{Key: record.LivenessKey(label), Version: t.controllers[label].Version}
}
