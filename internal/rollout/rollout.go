// Package rollout decides when a newer format of records and peer messages comes into force.
// Like the controller it has no clock, no socket and no goroutine: it is given the records of
// the state store, and returns the transactions that change them.
//
// The transaction by which a process registers what it reads has the format in force as a
// condition; that by which a format is activated has the registrations that it relied on. So
// an activation and the start of a process that cannot read the new format never both succeed.
package rollout

import (
	"fmt"
	"slices"

	"lilacrill/internal/fastjson"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// Tracker is what one controller knows of the rollout.
type Tracker struct {
	label   string
	labels  []string // of all controllers of the settings, sorted
	formats record.FormatRange
	release string

	state         record.Rollout
	stateVersion  wire.Revision
	unreadable    error                   // why the record of the format in force cannot be decoded
	registrations map[string]registration // by label
	live          map[string]liveness     // of the controllers that are alive, by label

	candidate wire.Format // the format that all controllers have been ready for
	since     Time        // when they became ready
}

// registration is what a controller's latest process registered.
type registration struct {
	record.Registration
	version wire.Revision
}

// liveness is the record of a controller that is alive.
type liveness struct {
	incarnation wire.FencingToken
	version     wire.Revision
}

// New makes a tracker for the controller label, whose cluster consists of it and its siblings.
func New(label string, siblings []string, formats record.FormatRange, release string) *Tracker {
	labels := append([]string{label}, siblings...)
	slices.Sort(labels)
	t := &Tracker{label: label, labels: labels, formats: formats, release: release}
	t.Reset()
	return t
}

// Reset forgets all records, before they are read anew.
func (t *Tracker) Reset() {
	t.state, t.stateVersion, t.unreadable = record.Rollout{Format: record.FormatPlain}, 0, nil
	t.registrations, t.live = map[string]registration{}, map[string]liveness{}
}

// ApplyState applies the record of the format in force; a nil value means that there is none,
// and the first format in force.
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

// ApplyRegistration applies the record of what a controller's latest process reads. One that
// cannot be decoded counts as none, so that its controller blocks activations.
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

// ApplyLiveness applies a controller's liveness record; incarnation is 0 if the controller is
// not alive.
func (t *Tracker) ApplyLiveness(label string, incarnation wire.FencingToken, version wire.Revision) {
	if incarnation == 0 {
		delete(t.live, label)
		return
	}
	t.live[label] = liveness{incarnation, version}
}

// Format is the format in force.
func (t *Tracker) Format() wire.Format { return t.state.Format }

// CheckReadable returns an *UnreadableError if this process must not serve, or nil.
func (t *Tracker) CheckReadable() error {
	if t.unreadable != nil || !t.formats.Reads(t.state.Format) {
		return &UnreadableError{Format: t.state.Format, Formats: t.formats, Cause: t.unreadable}
	}
	return nil
}

// Condition is the condition under which this process may register, or write its liveness
// record: the format in force is still the one that it knows.
func (t *Tracker) Condition() wire.Condition {
	return wire.Condition{Key: record.RolloutKey, Version: t.stateVersion}
}

// Registration is the record of this process.
func (t *Tracker) Registration(incarnation wire.FencingToken) record.Registration {
	return record.Registration{Incarnation: incarnation, Formats: t.formats, Release: t.release}
}
