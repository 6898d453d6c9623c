package shard

import (
	"maps"
	"slices"
	"strings"

	"lilacrill/internal/apierror"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// maxReasonLength bounds an operator's reason, in bytes, so that the record stays small.
const maxReasonLength = 200

// CheckInUse returns nil if sharding is in use. Otherwise operators cannot change shards, and it
// returns an error that states why sharding is not in use.
func (t *Table) CheckInUse() error {
	switch {
	case t.format < record.FormatSharding:
		return apierror.Conflict("shares are dormant: format %d is in force, and they need format %d", t.format, record.FormatSharding)
	case !t.policy.Enabled:
		return apierror.Conflict("shares are off: not all living controllers were started with them enabled")
	}
	return nil
}

// reasonOperator is the reason stored with moves that operators request.
const reasonOperator = "by an operator"

// Move returns the transaction that proposes an operator's move of a shard to the controller with
// label to. epoch is the shard epoch that the operator saw; the move is refused if the shard has
// another one. wall is the current time in Unix milliseconds. Errors are of package apierror.
func (t *Table) Move(id wire.ShardID, to string, epoch wire.ShardEpoch, wall int64) (wire.Transaction, error) {
	if err := t.CheckInUse(); err != nil {
		return wire.Transaction{}, err
	}
	if !Valid(id) {
		return wire.Transaction{}, apierror.NotFound("share: %d", id)
	}
	s := &t.shards[id]
	_, known := t.registrations[to]
	_, alive := t.controllers[to]
	_, drained := t.policy.Drained[to]
	switch {
	case !known && !alive:
		return wire.Transaction{}, apierror.NotFound("controller: %q", to)
	case !alive:
		return wire.Transaction{}, apierror.Conflict("%s is down", to)
	case drained:
		return wire.Transaction{}, apierror.Conflict("%s is drained: %s", to, t.policy.Drained[to])
	case !t.Alive(s.Owner):
		return wire.Transaction{}, apierror.Conflict("share %d is being taken over from %s, which is gone", id, s.Owner.Label)
	case s.Move != nil:
		return wire.Transaction{}, apierror.Conflict("share %d is on its way from %s to %s already (%s)", id, s.Owner.Label, s.Move.To.Label, s.Move.Phase)
	case epoch != s.Epoch:
		return wire.Transaction{}, apierror.Conflict("stale epoch: share %d is in epoch %d, with %s", id, s.Epoch, s.Owner.Label)
	case s.Owner.Label == to:
		return wire.Transaction{}, apierror.Conflict("share %d is with %s already", id, to)
	}
	return t.propose([]proposal{{id, to}}, reasonOperator, wall), nil
}

// Drain returns the transaction that drains a controller: the controller hands over all its
// shards, and gets no others. Errors are of package apierror.
func (t *Table) Drain(label, reason string) (wire.Transaction, error) {
	if err := t.CheckInUse(); err != nil {
		return wire.Transaction{}, err
	}
	_, known := t.registrations[label]
	_, alive := t.controllers[label]
	_, drained := t.policy.Drained[label]
	switch {
	case !known && !alive:
		return wire.Transaction{}, apierror.NotFound("controller: %q", label)
	case strings.TrimSpace(reason) == "":
		return wire.Transaction{}, apierror.Field("reason", "missing")
	case len(reason) > maxReasonLength:
		return wire.Transaction{}, apierror.Field("reason", "longer than %d bytes", maxReasonLength)
	case drained:
		return wire.Transaction{}, apierror.Conflict("%s is drained already: %s", label, t.policy.Drained[label])
	case !slices.ContainsFunc(t.eligibleControllers(), func(other string) bool { return other != label }):
		return wire.Transaction{}, apierror.Conflict("nobody else could own the shares of %s", label)
	}
	next := record.ShardPolicy{Enabled: true, Drained: maps.Clone(t.policy.Drained)}
	if next.Drained == nil {
		next.Drained = map[string]string{}
	}
	next.Drained[label] = reason
	return t.putPolicy(next), nil
}

// EndDrain returns the transaction that ends the drain of a controller. Errors are of package
// apierror.
func (t *Table) EndDrain(label string) (wire.Transaction, error) {
	if err := t.CheckInUse(); err != nil {
		return wire.Transaction{}, err
	}
	if _, drained := t.policy.Drained[label]; !drained {
		return wire.Transaction{}, apierror.Conflict("%s is not drained", label)
	}
	next := record.ShardPolicy{Enabled: true, Drained: maps.Clone(t.policy.Drained)}
	delete(next.Drained, label)
	return t.putPolicy(next), nil
}
