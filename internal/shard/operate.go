package shard

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// maxReasonLength bounds what an operator may say, so that the record stays small.
const maxReasonLength = 200

// CheckInUse reports why nothing can be changed, or nil.
func (t *Table) CheckInUse() error {
	switch {
	case t.format < record.FormatSharding:
		return conflict("shares are dormant: format %d is in force, and they need format %d", t.format, record.FormatSharding)
	case !t.policy.Enabled:
		return conflict("shares are off: not all living controllers were started with them enabled")
	}
	return nil
}

// Move is the transaction by which an operator has a share moved to a controller. epoch is
// the one that the operator saw.
func (t *Table) Move(id wire.ShardID, to string, epoch wire.ShardEpoch, wall int64) (wire.Transaction, error) {
	if err := t.CheckInUse(); err != nil {
		return wire.Transaction{}, err
	}
	if !Valid(id) {
		return wire.Transaction{}, &NotFoundError{fmt.Sprintf("share: %d", id)}
	}
	s := &t.shards[id]
	_, known := t.registrations[to]
	_, alive := t.controllers[to]
	_, drained := t.policy.Drained[to]
	switch {
	case !known && !alive:
		return wire.Transaction{}, &NotFoundError{fmt.Sprintf("controller: %q", to)}
	case !alive:
		return wire.Transaction{}, conflict("%s is down", to)
	case drained:
		return wire.Transaction{}, conflict("%s is drained: %s", to, t.policy.Drained[to])
	case !t.Alive(s.Owner):
		return wire.Transaction{}, conflict("share %d is being taken over from %s, which is gone", id, s.Owner.Label)
	case s.Move != nil:
		return wire.Transaction{}, conflict("share %d is on its way from %s to %s already (%s)", id, s.Owner.Label, s.Move.To.Label, s.Move.Phase)
	case epoch != s.Epoch:
		return wire.Transaction{}, conflict("stale epoch: share %d is in epoch %d, with %s", id, s.Epoch, s.Owner.Label)
	case s.Owner.Label == to:
		return wire.Transaction{}, conflict("share %d is with %s already", id, to)
	}
	return t.propose([]proposal{{id, to}}, "by an operator", wall), nil
}

// Drain is the transaction after which a controller hands over all its shares and gets
// none.
func (t *Table) Drain(label, reason string) (wire.Transaction, error) {
	if err := t.CheckInUse(); err != nil {
		return wire.Transaction{}, err
	}
	_, known := t.registrations[label]
	_, alive := t.controllers[label]
	_, drained := t.policy.Drained[label]
	switch {
	case !known && !alive:
		return wire.Transaction{}, &NotFoundError{fmt.Sprintf("controller: %q", label)}
	case strings.TrimSpace(reason) == "":
		return wire.Transaction{}, &InvalidFieldError{"reason", "missing"}
	case len(reason) > maxReasonLength:
		return wire.Transaction{}, &InvalidFieldError{"reason", fmt.Sprintf("longer than %d bytes", maxReasonLength)}
	case drained:
		return wire.Transaction{}, conflict("%s is drained already: %s", label, t.policy.Drained[label])
	case !slices.ContainsFunc(t.eligible(), func(other string) bool { return other != label }):
		return wire.Transaction{}, conflict("nobody else could own the shares of %s", label)
	}
	next := record.ShardPolicy{Enabled: true, Drained: maps.Clone(t.policy.Drained)}
	if next.Drained == nil {
		next.Drained = map[string]string{}
	}
	next.Drained[label] = reason
	return t.putPolicy(next), nil
}

// EndDrain is the transaction that takes a drain back.
func (t *Table) EndDrain(label string) (wire.Transaction, error) {
	if err := t.CheckInUse(); err != nil {
		return wire.Transaction{}, err
	}
	if _, drained := t.policy.Drained[label]; !drained {
		return wire.Transaction{}, conflict("%s is not drained", label)
	}
	next := record.ShardPolicy{Enabled: true, Drained: maps.Clone(t.policy.Drained)}
	delete(next.Drained, label)
	return t.putPolicy(next), nil
}

// View is the shares as operators see them; wall is in Unix milliseconds.
func (t *Table) View(wall int64) wire.AdminShards {
	v := wire.AdminShards{State: "in use", Drained: t.policy.Drained, Owned: map[string]int{}, Shards: []wire.AdminShard{}}
	if err := t.CheckInUse(); err != nil {
		v.State = err.Error()
		return v
	}
	for label := range t.controllers {
		v.Owned[label] = t.OwnedCount(label)
	}
	for id := range wire.ShardID(Count) {
		s := &t.shards[id]
		share := wire.AdminShard{Shard: id, Owner: s.Owner.Label, Incarnation: s.Owner.Incarnation, Epoch: s.Epoch, Alive: t.Alive(s.Owner)}
		if !share.Alive {
			share.WaitsFor = "its owner is gone: it is about to be taken over"
		}
		if m := s.Move; m != nil {
			share.To, share.Phase, share.Reason = m.To.Label, string(m.Phase), m.Reason
			share.MovingS = float64(max(0, wall-m.Since)) / 1000
			share.WaitsFor = t.moveWaitsFor(s)
		}
		v.Shards = append(v.Shards, share)
	}
	return v
}

// moveWaitsFor says what a move waits for.
func (t *Table) moveWaitsFor(s *shardState) string {
	switch {
	case !t.Alive(s.Owner):
		return "its owner is gone: it is about to be taken over"
	case !t.Alive(s.Move.To):
		return s.Move.To.Label + " is gone: " + s.Owner.Label + " is about to undo the move"
	case s.Move.Phase == record.MoveProposed:
		return "for the placements under way at " + s.Owner.Label
	}
	return "for " + s.Move.To.Label + " to adopt it"
}
