package shard

import (
	"fmt"
	"strconv"
	"strings"

	"lilacrill/internal/fastjson"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// Table is what one controller knows of the shares and of who could own them.
type Table struct {
	self record.ShardOwner

	policy        record.ShardPolicy
	policyVersion wire.Revision
	shards        [Count]shardState
	controllers   map[string]Controller // that live
	registrations map[string]registration
	format        wire.Format // in force
}

// shardState is a share's record. Its version is 0 while there is none.
type shardState struct {
	record.Shard
	version    wire.Revision
	unreadable bool
}

type registration struct {
	record.Registration
	version wire.Revision
}

// Controller is a living controller.
type Controller struct {
	Incarnation wire.FencingToken
	Isolated    bool // it reaches no workers, by its own word
	Version     wire.Revision
	// Since is when this process became known to live.
	Since Time
}

// New makes a table for the controller label.
func New(label string) *Table {
	t := &Table{self: record.ShardOwner{Label: label}}
	t.Reset()
	return t
}

// Reset forgets what was read, before everything is read anew.
func (t *Table) Reset() {
	t.policy, t.policyVersion = record.ShardPolicy{}, 0
	t.shards = [Count]shardState{}
	t.controllers, t.registrations = map[string]Controller{}, map[string]registration{}
	t.format = record.FormatPlain
}

// SetIncarnation notes the boot of this process.
func (t *Table) SetIncarnation(boot wire.FencingToken) { t.self.Incarnation = boot }

// ApplyFormat takes the format in force.
func (t *Table) ApplyFormat(format wire.Format) { t.format = format }

// ApplyPolicy takes the record that says whether shares are in use; a nil value says that
// there is none.
func (t *Table) ApplyPolicy(value []byte, version wire.Revision) error {
	t.policy, t.policyVersion = record.ShardPolicy{}, version
	if value == nil {
		t.policyVersion = 0
		return nil
	}
	return fastjson.Unmarshal(value, &t.policy)
}

// ApplyShard takes a share's record by its key. One that cannot be understood belongs to
// nobody here: this controller places nothing in it.
func (t *Table) ApplyShard(key string, value []byte, version wire.Revision) error {
	n, err := strconv.Atoi(strings.TrimPrefix(key, record.ShardPrefix))
	if err != nil || !Valid(wire.ShardID(n)) {
		return fmt.Errorf("share record %q: no such share", key)
	}
	s := shardState{version: version}
	if value == nil {
		s.version = 0
	} else if err = fastjson.Unmarshal(value, &s.Shard); err != nil {
		s.Shard, s.unreadable = record.Shard{}, true
	}
	t.shards[n] = s
	return err
}

// ApplyRegistration takes what a controller's latest process has registered.
func (t *Table) ApplyRegistration(label string, value []byte, version wire.Revision) {
	delete(t.registrations, label)
	m := registration{version: version}
	if value != nil && fastjson.Unmarshal(value, &m.Registration) == nil {
		t.registrations[label] = m
	}
}

// ApplyLiveness takes a living controller's record; boot is 0 if it has none.
func (t *Table) ApplyLiveness(label string, node record.Liveness, version wire.Revision, now Time) {
	before, known := t.controllers[label]
	if node.Incarnation == 0 {
		delete(t.controllers, label)
		return
	}
	since := now
	if known && before.Incarnation == node.Incarnation {
		since = before.Since
	}
	t.controllers[label] = Controller{Incarnation: node.Incarnation, Isolated: node.Isolated, Version: version, Since: since}
}

// Enabled reports whether shares are in use.
func (t *Table) Enabled() bool { return t.policy.Enabled }

// Alive reports whether a process is known to live.
func (t *Table) Alive(owner record.ShardOwner) bool {
	c, ok := t.controllers[owner.Label]
	return ok && owner.Incarnation != 0 && c.Incarnation == owner.Incarnation
}

// Owner is the process that owns a share. It may have ended.
func (t *Table) Owner(id wire.ShardID) record.ShardOwner { return t.shards[id].Owner }

// Epoch is how often a share has changed hands.
func (t *Table) Epoch(id wire.ShardID) wire.ShardEpoch { return t.shards[id].Epoch }

// MaySchedule reports whether this process may start placements on the machines of a share: it
// owns it, and no move of it is under way.
func (t *Table) MaySchedule(id wire.ShardID) bool {
	s := &t.shards[id]
	return t.self.Incarnation != 0 && s.Owner == t.self && s.Move == nil && !s.unreadable
}

// OwnedCount counts the shares that a controller's living process owns.
func (t *Table) OwnedCount(label string) int {
	n := 0
	for i := range t.shards {
		if o := t.shards[i].Owner; o.Label == label && t.Alive(o) {
			n++
		}
	}
	return n
}

// Condition is the condition that a share's record is as it is known here. A placement
// demands it of every share that it places in.
func (t *Table) Condition(id wire.ShardID) wire.Condition {
	return wire.Condition{Key: record.ShardKey(id), Version: t.shards[id].version}
}

func (t *Table) policyCondition() wire.Condition {
	return wire.Condition{Key: record.ShardPolicyKey, Version: t.policyVersion}
}

// livenessCondition is the condition that a controller lives, or does not, as it is known
// here. The record of one that lives hangs on its lease.
func (t *Table) livenessCondition(label string) wire.Condition {
	return wire.Condition{Key: record.LivenessKey(label), Version: t.controllers[label].Version}
}
