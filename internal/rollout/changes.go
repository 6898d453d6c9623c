package rollout

import (
	"slices"
	"strings"

	"lilacrill/internal/apierror"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// Activate returns the transaction that brings a format into force. version is the version of the
// rollout record on which the decision was based. Like Exclude and Include, it returns ErrStale if
// the record has changed since, and an error of package apierror if the request is invalid or in
// conflict with the state of the rollout.
func (t *Tracker) Activate(format wire.Format, version wire.Revision) (wire.Transaction, error) {
	switch {
	case format < record.FormatPlain:
		return wire.Transaction{}, apierror.Field("activate", "%d is not a format", format)
	case !t.formats.Contains(format):
		return wire.Transaction{}, apierror.Field("activate", "format %d is not known to this process, which reads %d to %d", format, t.formats.Oldest, t.formats.Newest)
	case version != t.stateVersion:
		return wire.Transaction{}, ErrStale
	case format < t.state.Format:
		return wire.Transaction{}, apierror.Conflict("format %d is in force: there is no way back below it", t.state.Format)
	case format == t.state.Format:
		return wire.Transaction{}, apierror.Conflict("format %d is in force already", format)
	}
	if blockers := t.Blockers(format); len(blockers) > 0 {
		return wire.Transaction{}, notReadyError(blockers)
	}
	txn := t.putState(record.Rollout{Format: format})
	for _, label := range t.knownLabels() {
		txn.If = append(txn.If,
			wire.Condition{Key: record.RegistrationKey(label), Version: t.registrations[label].version},
			wire.Condition{Key: record.LivenessKey(label), Version: t.live[label].version})
	}
	return txn, nil
}

// Exclude returns the transaction after which a controller that is down no longer blocks activations.
func (t *Tracker) Exclude(label, reason string, version wire.Revision) (wire.Transaction, error) {
	live, alive := t.live[label]
	switch {
	case !slices.Contains(t.labels, label):
		return wire.Transaction{}, apierror.Field("exclude", "%q is no controller of the settings", label)
	case strings.TrimSpace(reason) == "":
		return wire.Transaction{}, apierror.Field("reason", "missing")
	case len(reason) > maxReasonLength:
		return wire.Transaction{}, apierror.Field("reason", "longer than %d bytes", maxReasonLength)
	case version != t.stateVersion:
		return wire.Transaction{}, ErrStale
	case alive:
		return wire.Transaction{}, apierror.Conflict("%s is alive (boot %d): stop it first", label, live.incarnation)
	}
	next := t.copyState()
	next.Excluded[label] = record.Exclusion{Incarnation: t.registrations[label].Incarnation, Reason: reason}
	txn := t.putState(next)
	txn.If = append(txn.If,
		wire.Condition{Key: record.RegistrationKey(label), Version: t.registrations[label].version},
		wire.Condition{Key: record.LivenessKey(label)})
	return txn, nil
}

// maxReasonLength is the maximum length of an operator's reason in bytes. It keeps the record small.
const maxReasonLength = 200

// Include returns the transaction that ends the exclusion of a controller.
func (t *Tracker) Include(label string, version wire.Revision) (wire.Transaction, error) {
	if _, ok := t.state.Excluded[label]; !ok {
		return wire.Transaction{}, apierror.Field("include", "%q is not excluded", label)
	}
	if version != t.stateVersion {
		return wire.Transaction{}, ErrStale
	}
	next := t.copyState()
	delete(next.Excluded, label)
	return t.putState(next), nil
}

// copyState returns a copy of the rollout record whose exclusions may be modified.
func (t *Tracker) copyState() record.Rollout {
	next := record.Rollout{Format: t.state.Format, Excluded: map[string]record.Exclusion{}}
	for label, exclusion := range t.state.Excluded {
		next.Excluded[label] = exclusion
	}
	return next
}

// putState returns a transaction that replaces the rollout record, on the condition that the record
// has not changed since it was applied.
func (t *Tracker) putState(next record.Rollout) wire.Transaction {
	return wire.Transaction{
		If:   []wire.Condition{t.Condition()},
		Then: []wire.Change{{Put: record.RolloutKey, Value: record.Encode(record.FormatPlain, record.RolloutKey, next)}},
	}
}
