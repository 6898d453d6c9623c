package share

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
	self record.ShareOwner

	policy        record.Shares
	policyVersion wire.Revision
	shares        [Count]knownShare
	controllers   map[string]Controller // that live
	members       map[string]knownMember
	format        wire.Format // in force
}

// knownShare is a share's record. Its version is 0 while there is none.
type knownShare struct {
	record.Share
	version    wire.Revision
	unreadable bool
}

type knownMember struct {
	record.Member
	version wire.Revision
}

// Controller is a living controller.
type Controller struct {
	Boot     wire.FencingToken
	Isolated bool // it reaches no workers, by its own word
	Version  wire.Revision
	// Since is when this process became known to live.
	Since Time
}

// New makes a table for the controller label.
func New(label string) *Table {
	t := &Table{self: record.ShareOwner{Label: label}}
	t.Reset()
	return t
}

// Reset forgets what was read, before everything is read anew.
func (t *Table) Reset() {
	t.policy, t.policyVersion = record.Shares{}, 0
	t.shares = [Count]knownShare{}
	t.controllers, t.members = map[string]Controller{}, map[string]knownMember{}
	t.format = record.FormatPlain
}

// Joined notes the boot of this process.
func (t *Table) Joined(boot wire.FencingToken) { t.self.Boot = boot }

// ApplyFormat takes the format in force.
func (t *Table) ApplyFormat(format wire.Format) { t.format = format }

// ApplyPolicy takes the record that says whether shares are in use; a nil value says that
// there is none.
func (t *Table) ApplyPolicy(value []byte, version wire.Revision) error {
	t.policy, t.policyVersion = record.Shares{}, version
	if value == nil {
		t.policyVersion = 0
		return nil
	}
	return fastjson.Unmarshal(value, &t.policy)
}

// ApplyShare takes a share's record by its key. One that cannot be understood belongs to
// nobody here: this controller places nothing in it.
func (t *Table) ApplyShare(key string, value []byte, version wire.Revision) error {
	n, err := strconv.Atoi(strings.TrimPrefix(key, record.SharePrefix))
	if err != nil || !Valid(wire.ShardID(n)) {
		return fmt.Errorf("share record %q: no such share", key)
	}
	s := knownShare{version: version}
	if value == nil {
		s.version = 0
	} else if err = fastjson.Unmarshal(value, &s.Share); err != nil {
		s.Share, s.unreadable = record.Share{}, true
	}
	t.shares[n] = s
	return err
}

// ApplyMember takes what a controller's latest process has registered.
func (t *Table) ApplyMember(label string, value []byte, version wire.Revision) {
	delete(t.members, label)
	m := knownMember{version: version}
	if value != nil && fastjson.Unmarshal(value, &m.Member) == nil {
		t.members[label] = m
	}
}

// ApplyController takes a living controller's record; boot is 0 if it has none.
func (t *Table) ApplyController(label string, node record.Node, version wire.Revision, now Time) {
	before, known := t.controllers[label]
	if node.Boot == 0 {
		delete(t.controllers, label)
		return
	}
	since := now
	if known && before.Boot == node.Boot {
		since = before.Since
	}
	t.controllers[label] = Controller{Boot: node.Boot, Isolated: node.Isolated, Version: version, Since: since}
}

// Enabled reports whether shares are in use.
func (t *Table) Enabled() bool { return t.policy.Enabled }

// Live reports whether a process is known to live.
func (t *Table) Live(owner record.ShareOwner) bool {
	c, ok := t.controllers[owner.Label]
	return ok && owner.Boot != 0 && c.Boot == owner.Boot
}

// Owner is the process that owns a share. It may have ended.
func (t *Table) Owner(id wire.ShardID) record.ShareOwner { return t.shares[id].Owner }

// Epoch is how often a share has changed hands.
func (t *Table) Epoch(id wire.ShardID) wire.ShardEpoch { return t.shares[id].Epoch }

// Places reports whether this process may start placements on the machines of a share: it
// owns it, and no move of it is under way.
func (t *Table) Places(id wire.ShardID) bool {
	s := &t.shares[id]
	return t.self.Boot != 0 && s.Owner == t.self && s.Move == nil && !s.unreadable
}

// Owned counts the shares that a controller's living process owns.
func (t *Table) Owned(label string) int {
	n := 0
	for i := range t.shares {
		if o := t.shares[i].Owner; o.Label == label && t.Live(o) {
			n++
		}
	}
	return n
}

// Demand is the condition that a share's record is as it is known here. A placement
// demands it of every share that it places in.
func (t *Table) Demand(id wire.ShardID) wire.Condition {
	return wire.Condition{Key: record.ShareKey(id), Version: t.shares[id].version}
}

func (t *Table) policyDemand() wire.Condition {
	return wire.Condition{Key: record.SharesKey, Version: t.policyVersion}
}

// controllerDemand is the condition that a controller lives, or does not, as it is known
// here. The record of one that lives hangs on its lease.
func (t *Table) controllerDemand(label string) wire.Condition {
	return wire.Condition{Key: record.NodeKey(label), Version: t.controllers[label].Version}
}
