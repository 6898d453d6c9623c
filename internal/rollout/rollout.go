// Package rollout decides when a newer format of records and peer messages comes into force.
// Like the controller, it has no clock, no socket and no goroutine: its caller passes in the
// records of the state store and commits the transactions that it returns.
//
// A process registers the formats that it reads on the condition that the format in force is
// unchanged. A format is activated on the condition that the registrations and liveness records
// behind the decision are unchanged. An activation and the start of a process that cannot read
// the new format therefore never both succeed.
package rollout

import (
	"fmt"
	"slices"

	"lilacrill/internal/fastjson"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// Tracker holds the records of the rollout as one controller has read them.
type Tracker struct {
	label   string
	labels  []string           // of all controllers in the settings, sorted
	formats record.FormatRange // formats that this process reads
	release string

	state         record.Rollout
	stateVersion  wire.Revision
	unreadable    error                   // set if the record of the format in force cannot be decoded
	registrations map[string]registration // by label
	live          map[string]liveness     // liveness records of the live controllers, by label

	candidate  wire.Format // newest format that no controller blocks, or 0
	readySince Time        // since when no controller has blocked the candidate
}

// registration is the registration of a controller's latest process and the version of its record.
type registration struct {
	record.Registration
	version wire.Revision
}

// liveness is the incarnation of a live controller and the version of its liveness record.
type liveness struct {
	incarnation wire.FencingToken
	version     wire.Revision
}

// New returns a tracker for the controller with the given label, in a cluster of this controller and
// its peers. The tracker has no records yet.
func New(label string, peers []string, formats record.FormatRange, release string) *Tracker {
	labels := append([]string{label}, peers...)
	slices.Sort(labels)
	t := &Tracker{label: label, labels: labels, formats: formats, release: release}
	t.Reset()
	return t
}

// Reset discards all records, before they are reloaded from the state store.
func (t *Tracker) Reset() {
	t.state, t.stateVersion, t.unreadable = record.Rollout{Format: record.FormatPlain}, 0, nil
	t.registrations, t.live = map[string]registration{}, map[string]liveness{}
}

// ApplyState applies the record of the format in force. A nil value means that there is no such
// record, in which case the first format is in force.
func (t *Tracker) ApplyState(value []byte, version wire.Revision) {
	t.state, t.stateVersion, t.unreadable = record.Rollout{Format: record.FormatPlain}, 0, nil
	if value == nil {
		return
	}
	t.stateVersion = version
	if err := fastjson.Unmarshal(value, &t.state); err != nil {
		t.unreadable = fmt.Errorf("record %s: %w", record.RolloutKey, err)
	} else if t.state.Format < record.FormatPlain {
		t.unreadable = fmt.Errorf("record %s: format: %d is not a format", record.RolloutKey, t.state.Format)
	}
}

// ApplyRegistration applies the registration of a controller's latest process. It returns an error
// if the record cannot be decoded or is invalid. Such a record counts as an empty registration, so
// that its controller blocks activations.
func (t *Tracker) ApplyRegistration(label string, value []byte, version wire.Revision) error {
	delete(t.registrations, label)
	if value == nil {
		return nil
	}
	registered := registration{version: version}
	err := fastjson.Unmarshal(value, &registered.Registration)
	if err == nil {
		err = registered.Formats.Check()
	}
	if err != nil {
		registered.Registration = record.Registration{}
	}
	t.registrations[label] = registered
	return err
}

// ApplyLiveness applies a controller's liveness record. An incarnation of 0 means that the
// controller is not alive.
func (t *Tracker) ApplyLiveness(label string, incarnation wire.FencingToken, version wire.Revision) {
	if incarnation == 0 {
		delete(t.live, label)
		return
	}
	t.live[label] = liveness{incarnation, version}
}

// Format returns the format in force.
func (t *Tracker) Format() wire.Format { return t.state.Format }

// CheckReadable returns an *UnreadableError if this process must not serve because it cannot read
// the format in force, or nil.
func (t *Tracker) CheckReadable() error {
	if t.unreadable != nil || !t.formats.Contains(t.state.Format) {
		return &UnreadableError{Format: t.state.Format, Formats: t.formats, Cause: t.unreadable}
	}
	return nil
}

// Condition returns the condition under which this process may register or write its liveness
// record: the record of the format in force has not changed since it was applied.
func (t *Tracker) Condition() wire.Condition {
	return wire.Condition{Key: record.RolloutKey, Version: t.stateVersion}
}

// Registration returns the registration of this process.
func (t *Tracker) Registration(incarnation wire.FencingToken) record.Registration {
	return record.Registration{Incarnation: incarnation, Formats: t.formats, Release: t.release}
}
