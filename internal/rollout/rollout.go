// Package rollout decides when a newer format of records and of the lines between
// controllers comes into force. Like the core it has no clock, no socket and no
// goroutine: it is told what stands in the state service, and returns the transactions
// that change it.
//
// A process registers with what it reads in a transaction that demands the format in
// force; an activation is a transaction that demands the registrations which it relied
// on. So an activation and the start of a process that cannot read the new format
// cannot both succeed.
package rollout

import (
	"fmt"
	"slices"
	"strings"

	"lilacrill/internal/fastjson"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// Tracker is what one controller knows of the rollout.
type Tracker struct {
	label   string
	labels  []string // all controllers of the settings, in order
	formats record.FormatRange
	release string

	state         record.Rollout
	stateVersion  wire.Revision
	damaged       error // why the record of the format in force cannot be understood
	registrations map[string]registration
	live          map[string]liveness

	candidate wire.Format // the format that all have been ready for
	since     Time        // when they became so
}

type registration struct {
	record.Registration
	version wire.Revision
}

type liveness struct {
	incarnation wire.FencingToken
	version     wire.Revision
}

// New makes a tracker for the controller label of a service that consists of it and
// its siblings.
func New(label string, siblings []string, formats record.FormatRange, release string) *Tracker {
	labels := append([]string{label}, siblings...)
	slices.Sort(labels)
	t := &Tracker{label: label, labels: labels, formats: formats, release: release}
	t.Reset()
	return t
}

// Reset forgets what was read, before everything is read anew.
func (t *Tracker) Reset() {
	t.state, t.stateVersion, t.damaged = record.Rollout{Format: record.FormatPlain}, 0, nil
	t.registrations, t.live = map[string]registration{}, map[string]liveness{}
}

// ApplyState takes the record of the format in force; a nil value says that there is
// none.
func (t *Tracker) ApplyState(value []byte, version wire.Revision) {
	t.state, t.stateVersion, t.damaged = record.Rollout{Format: record.FormatPlain}, 0, nil
	if value == nil {
		return
	}
	t.stateVersion = version
	if err := fastjson.Unmarshal(value, &t.state); err != nil {
		t.damaged = fmt.Errorf("record %s: %w", record.RolloutKey, err)
	} else if t.state.Format < record.FormatPlain {
		t.damaged = fmt.Errorf("record %s: format: %d is not a format", record.RolloutKey, t.state.Format)
	}
}

// ApplyRegistration takes the record of what a controller's latest process reads. One that
// cannot be understood counts as none, so it holds an activation up.
func (t *Tracker) ApplyRegistration(label string, value []byte, version wire.Revision) error {
	delete(t.registrations, label)
	if value == nil {
		return nil
	}
	m := registration{version: version}
	err := fastjson.Unmarshal(value, &m.Registration)
	if err == nil {
		err = m.Formats.Check()
	}
	if err != nil {
		m.Registration = record.Registration{}
	}
	t.registrations[label] = m
	return err
}

// ApplyLiveness takes a living controller's record; boot is 0 if it has none.
func (t *Tracker) ApplyLiveness(label string, boot wire.FencingToken, version wire.Revision) {
	if boot == 0 {
		delete(t.live, label)
		return
	}
	t.live[label] = liveness{boot, version}
}

// Format is the format in force.
func (t *Tracker) Format() wire.Format { return t.state.Format }

// UnreadableError says that the service has moved on to a format that this process
// does not read. It must not serve.
type UnreadableError struct {
	Format  wire.Format
	Formats record.FormatRange
	Cause   error // set if the format in force could not be found out
}

// Error implements error.
func (e *UnreadableError) Error() string {
	if e.Cause != nil {
		return "the format in force cannot be found out: " + e.Cause.Error()
	}
	return fmt.Sprintf("format %d is in force, and this process reads formats %d to %d: start a newer release, or one without a lower newest_format",
		e.Format, e.Formats.Oldest, e.Formats.Newest)
}

// Unwrap gives the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// CheckReadable reports why this process must not serve, or nil.
func (t *Tracker) CheckReadable() error {
	if t.damaged != nil || !t.formats.Reads(t.state.Format) {
		return &UnreadableError{Format: t.state.Format, Formats: t.formats, Cause: t.damaged}
	}
	return nil
}

// Condition is the condition under which this process may register, or list itself among
// the living: the format in force is still the one that it knows.
func (t *Tracker) Condition() wire.Condition {
	return wire.Condition{Key: record.RolloutKey, Version: t.stateVersion}
}

// Registration is the record of this process.
func (t *Tracker) Registration(boot wire.FencingToken) record.Registration {
	return record.Registration{Incarnation: boot, Formats: t.formats, Release: t.release}
}

// Blocker is a controller that an activation has to wait for, and why.
type Blocker struct {
	Label  string
	Reason string
}

// Blockers lists the controllers that hold a format up: all that may be running, or may
// run later without anybody's word, a process that does not read it.
func (t *Tracker) Blockers(f wire.Format) []Blocker {
	var out []Blocker
	for _, label := range t.knownLabels() {
		if why := t.blockReason(label, f); why != "" {
			out = append(out, Blocker{label, why})
		}
	}
	return out
}

// knownLabels is the controllers of the settings and whatever else lives.
func (t *Tracker) knownLabels() []string {
	labels := slices.Clone(t.labels)
	for label := range t.live {
		if !slices.Contains(labels, label) {
			labels = append(labels, label)
		}
	}
	slices.Sort(labels)
	return labels
}

// blockReason says why a controller holds a format up, or "".
//
// A record of a process that is down proves nothing: a build from before such records
// may have run since, and leaves none. So a controller that is down has to come back,
// or an operator has to exclude it.
func (t *Tracker) blockReason(label string, f wire.Format) string {
	n, alive := t.live[label]
	m, registered := t.registrations[label]
	switch {
	case !alive && t.excluded(label):
		return ""
	case !alive && !registered:
		return "is down and has never registered"
	case !alive:
		return "is down"
	case !registered || m.Incarnation != n.incarnation:
		return "runs a build that does not register what it reads"
	case !m.Formats.Reads(f):
		return fmt.Sprintf("reads formats %d to %d only", m.Formats.Oldest, m.Formats.Newest)
	case !slices.Contains(t.labels, label):
		return "lives, but is not in the settings of " + t.label
	}
	return ""
}

// excluded reports whether a controller that is down need not be waited for.
func (t *Tracker) excluded(label string) bool {
	e, ok := t.state.Excluded[label]
	return ok && t.registrations[label].Incarnation <= e.Incarnation
}

// Activate is the transaction that brings a format into force, made from a version of
// the rollout.
func (t *Tracker) Activate(f wire.Format, version wire.Revision) (wire.Transaction, error) {
	switch {
	case f < record.FormatPlain:
		return wire.Transaction{}, &FieldError{"activate", fmt.Sprintf("%d is not a format", f)}
	case !t.formats.Reads(f):
		return wire.Transaction{}, &FieldError{"activate",
			fmt.Sprintf("format %d is not known to this process, which reads %d to %d", f, t.formats.Oldest, t.formats.Newest)}
	case version != t.stateVersion:
		return wire.Transaction{}, ErrStale
	case f < t.state.Format:
		return wire.Transaction{}, &ConflictError{Why: fmt.Sprintf("format %d is in force: there is no way back below it", t.state.Format)}
	case f == t.state.Format:
		return wire.Transaction{}, &ConflictError{Why: fmt.Sprintf("format %d is in force already", f)}
	}
	if blockers := t.Blockers(f); len(blockers) > 0 {
		return wire.Transaction{}, &ConflictError{Why: "not all controllers are ready for it", Blockers: blockers}
	}
	txn := t.putState(record.Rollout{Format: f})
	for _, label := range t.knownLabels() {
		txn.If = append(txn.If,
			wire.Condition{Key: record.RegistrationKey(label), Version: t.registrations[label].version},
			wire.Condition{Key: record.LivenessKey(label), Version: t.live[label].version})
	}
	return txn, nil
}

// Exclude is the transaction by which a controller that is down is no longer waited
// for.
func (t *Tracker) Exclude(label, reason string, version wire.Revision) (wire.Transaction, error) {
	n, alive := t.live[label]
	switch {
	case !slices.Contains(t.labels, label):
		return wire.Transaction{}, &FieldError{"exclude", fmt.Sprintf("%q is no controller of the settings", label)}
	case strings.TrimSpace(reason) == "":
		return wire.Transaction{}, &FieldError{"reason", "missing"}
	case len(reason) > maxReasonLength:
		return wire.Transaction{}, &FieldError{"reason", fmt.Sprintf("longer than %d bytes", maxReasonLength)}
	case version != t.stateVersion:
		return wire.Transaction{}, ErrStale
	case alive:
		return wire.Transaction{}, &ConflictError{Why: fmt.Sprintf("%s is alive (boot %d): stop it first", label, n.incarnation)}
	}
	next := t.copyState()
	next.Excluded[label] = record.Exclusion{Incarnation: t.registrations[label].Incarnation, Reason: reason}
	txn := t.putState(next)
	txn.If = append(txn.If,
		wire.Condition{Key: record.RegistrationKey(label), Version: t.registrations[label].version},
		wire.Condition{Key: record.LivenessKey(label)})
	return txn, nil
}

// maxReasonLength bounds what an operator may say, so that the record stays small.
const maxReasonLength = 200

// Include is the transaction that takes an exclusion back.
func (t *Tracker) Include(label string, version wire.Revision) (wire.Transaction, error) {
	if _, ok := t.state.Excluded[label]; !ok {
		return wire.Transaction{}, &FieldError{"include", fmt.Sprintf("%q is not excluded", label)}
	}
	if version != t.stateVersion {
		return wire.Transaction{}, ErrStale
	}
	next := t.copyState()
	delete(next.Excluded, label)
	return t.putState(next), nil
}

func (t *Tracker) copyState() record.Rollout {
	next := record.Rollout{Format: t.state.Format, Excluded: map[string]record.Exclusion{}}
	for label, e := range t.state.Excluded {
		next.Excluded[label] = e
	}
	return next
}

// putState writes the record of the format in force on the condition that it is as it
// was read.
func (t *Tracker) putState(next record.Rollout) wire.Transaction {
	return wire.Transaction{
		If:   []wire.Condition{t.Condition()},
		Then: []wire.Change{{Put: record.RolloutKey, Value: record.Encode(record.FormatPlain, record.RolloutKey, next)}},
	}
}
