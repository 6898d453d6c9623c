package shard

import (
	"fmt"
	"strconv"
	"strings"

	"lilacrill/internal/fastjson"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// Table is what one controller knows of the shards, from their records, and of the
// controllers that may own them.
type Table struct {
	self record.ShardOwner

	policy        record.ShardPolicy
	policyVersion wire.Revision
	shards        [Count]shardState
	controllers   map[string]Controller   // that are alive, by label
	registrations map[string]registration // by label
	format        wire.Format             // in force
}

// shardState is a shard's record. Its version is 0 while there is none.
type shardState struct {
	record.Shard
	version    wire.Revision
	unreadable bool
}

// registration is what a controller's latest process registered.
type registration struct {
	record.Registration
	version wire.Revision
}

// Controller is a controller that is alive.
type Controller struct {
	Incarnation wire.FencingToken
	Isolated    bool // it reports that it reaches no workers
	Version     wire.Revision
	// Since is when this process was first known to be alive.
	Since Time
}

// New makes a table for the controller label.
func New(label string) *Table {
	t := &Table{self: record.ShardOwner{Label: label}}
	t.Reset()
	return t
}

// Reset forgets all records, before they are read anew.
func (t *Table) Reset() {
	t.policy, t.policyVersion = record.ShardPolicy{}, 0
	t.shards = [Count]shardState{}
	t.controllers, t.registrations = map[string]Controller{}, map[string]registration{}
	t.format = record.FormatPlain
}

// SetIncarnation sets the incarnation of this process, once it has joined.
func (t *Table) SetIncarnation(incarnation wire.FencingToken) { t.self.Incarnation = incarnation }

// ApplyFormat sets the format in force.
func (t *Table) ApplyFormat(format wire.Format) { t.format = format }

// ApplyPolicy applies the record that says whether sharding is in use; a nil value means that
// there is none.
func (t *Table) ApplyPolicy(value []byte, version wire.Revision) error {
	t.policy, t.policyVersion = record.ShardPolicy{}, version
	if value == nil {
		t.policyVersion = 0
		return nil
	}
	return fastjson.Unmarshal(value, &t.policy)
}

// ApplyShard applies a shard's record by its key. One that cannot be decoded has no owner
// here: this controller schedules nothing in it, and leaves the record alone.
func (t *Table) ApplyShard(key string, value []byte, version wire.Revision) error {
	number, err := strconv.Atoi(strings.TrimPrefix(key, record.ShardPrefix))
	if err != nil || !Valid(wire.ShardID(number)) {
		return fmt.Errorf("share record %q: no such share", key)
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

// ApplyRegistration applies what a controller's latest process has registered.
func (t *Table) ApplyRegistration(label string, value []byte, version wire.Revision) {
	delete(t.registrations, label)
	registered := registration{version: version}
	if value != nil && fastjson.Unmarshal(value, &registered.Registration) == nil {
		t.registrations[label] = registered
	}
}

// ApplyLiveness applies a controller's liveness record, which has no incarnation if the
// controller is not alive.
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

// Alive reports whether a process is known to be alive.
func (t *Table) Alive(owner record.ShardOwner) bool {
	c, ok := t.controllers[owner.Label]
	return ok && owner.Incarnation != 0 && c.Incarnation == owner.Incarnation
}

// Owner is the process that owns a shard. It may be gone.
func (t *Table) Owner(id wire.ShardID) record.ShardOwner { return t.shards[id].Owner }

// Epoch counts the changes of a shard's owner.
func (t *Table) Epoch(id wire.ShardID) wire.ShardEpoch { return t.shards[id].Epoch }

// MaySchedule reports whether this process may start placements on the machines of a shard:
// it owns the shard, and no move of it is under way.
func (t *Table) MaySchedule(id wire.ShardID) bool {
	s := &t.shards[id]
	return t.self.Incarnation != 0 && s.Owner == t.self && s.Move == nil && !s.unreadable
}

// OwnedCount counts the shards that a controller's live process owns.
func (t *Table) OwnedCount(label string) int {
	count := 0
	for i := range t.shards {
		if owner := t.shards[i].Owner; owner.Label == label && t.Alive(owner) {
			count++
		}
	}
	return count
}

// Condition is the condition that a shard's record has not changed. It is part of every
// placement in the shard.
func (t *Table) Condition(id wire.ShardID) wire.Condition {
	return wire.Condition{Key: record.ShardKey(id), Version: t.shards[id].version}
}

func (t *Table) policyCondition() wire.Condition {
	return wire.Condition{Key: record.ShardPolicyKey, Version: t.policyVersion}
}

// livenessCondition is the condition that a controller is still alive, or still gone, as this
// controller knows it. The record of a live controller is on its lease.
func (t *Table) livenessCondition(label string) wire.Condition {
	return wire.Condition{Key: record.LivenessKey(label), Version: t.controllers[label].Version}
}
