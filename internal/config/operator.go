package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"reflect"
	"strings"
	"time"
)

// Affinity says what happens when no machine that meets a job's preferred
// rules has room.
type Affinity string

// The modes of "How Atlas chooses a host".
const (
	AffinityPreferred Affinity = "preferred"
	AffinityEnforced  Affinity = "enforced"
)

// Operator is what operators choose at run time, through the administration
// API. It is kept in the state service and is the same for all controllers.
type Operator struct {
	// ProbeMachines, ProbeTries and ProbeS bound placement under contention.
	ProbeMachines int     `json:"probe_hosts"`
	ProbeTries    int     `json:"probe_tries"`
	ProbeS        float64 `json:"probe_s"`
	// PlacementRetryS is the pause before a task is placed again after all tries.
	PlacementRetryS float64 `json:"busy_s"`
	// Affinity decides on preferred rules that cannot be met.
	Affinity Affinity `json:"affinity"`
	// HeadroomFraction is the part of the running tasks of classes that are promised a
	// short wait for which more room is kept free; SpareLeast is the least.
	HeadroomFraction float64 `json:"spare_share"`
	MinHeadroom      int     `json:"spare_least"`
	// UnresponsiveS is how long a machine may be silent before it is returned.
	UnresponsiveS float64 `json:"silence_s"`
	// IdleS is how long a machine may be idle before it is returned.
	IdleS float64 `json:"idle_s"`
}

// DefaultOperator is what holds until operators choose otherwise.
func DefaultOperator() Operator {
	return Operator{
		ProbeMachines: 16, ProbeTries: 3, ProbeS: 0.4, PlacementRetryS: 1,
		Affinity:         AffinityPreferred,
		HeadroomFraction: 0.1, MinHeadroom: 1,
		UnresponsiveS: 3.5, IdleS: 40,
	}
}

// With takes over the values of a JSON object, by their names, and checks the
// result. Its error names the field.
func (o Operator) With(changes json.RawMessage) (Operator, error) {
	next, unknown, err := o.withKnown(changes)
	for name := range unknown {
		return o, fmt.Errorf("%s: no such setting", name)
	}
	if err != nil {
		return o, err
	}
	return next, next.check()
}

// StoredOperator is a settings record as it stands in the state service: what this
// release knows of it, and the fields that only a later one does. They are written
// back with every change, so that going back a release and forth again loses none.
type StoredOperator struct {
	Operator
	later map[string]json.RawMessage
}

// ReadOperator reads a settings record.
func ReadOperator(stored json.RawMessage) (StoredOperator, error) {
	known, later, err := DefaultOperator().withKnown(stored)
	if err == nil {
		err = known.check()
	}
	return StoredOperator{known, later}, err
}

// With is the record with a change of fields that this release knows.
func (s StoredOperator) With(changes json.RawMessage) (StoredOperator, error) {
	next, err := s.Operator.With(changes)
	return StoredOperator{next, s.later}, err
}

// MarshalJSON implements json.Marshaler.
func (s StoredOperator) MarshalJSON() ([]byte, error) {
	known, err := json.Marshal(s.Operator)
	if err != nil || len(s.later) == 0 {
		return known, err
	}
	fields := maps.Clone(s.later)
	if err := json.Unmarshal(known, &fields); err != nil {
		return nil, err
	}
	return json.Marshal(fields)
}

// withKnown takes over the values of the fields that this release knows, and returns
// the others.
func (o Operator) withKnown(changes json.RawMessage) (next Operator, unknown map[string]json.RawMessage, err error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(changes, &fields); err != nil || fields == nil {
		return o, nil, errors.New("settings: want a JSON object")
	}
	v := reflect.ValueOf(&o).Elem()
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		raw, given := fields[name]
		if !given {
			continue
		}
		delete(fields, name)
		if string(raw) == "null" || json.Unmarshal(raw, v.Field(i).Addr().Interface()) != nil {
			return o, nil, fmt.Errorf("%s: wrong type", name)
		}
	}
	return o, fields, nil
}

func (o *Operator) check() error {
	for _, f := range []struct {
		name      string
		v         float64
		low, high float64
	}{
		{"probe_hosts", float64(o.ProbeMachines), 1, 1000},
		{"probe_tries", float64(o.ProbeTries), 1, 100},
		{"probe_s", o.ProbeS, 0.01, 60},
		{"busy_s", o.PlacementRetryS, 0.01, 60},
		{"spare_share", o.HeadroomFraction, 0, 10},
		{"spare_least", float64(o.MinHeadroom), 0, 10000},
		{"silence_s", o.UnresponsiveS, 3, 3600},
		{"idle_s", o.IdleS, 1, 86400},
	} {
		if math.IsNaN(f.v) || f.v < f.low || f.v > f.high {
			return fmt.Errorf("%s: %v is not between %v and %v", f.name, f.v, f.low, f.high)
		}
	}
	if o.Affinity != AffinityPreferred && o.Affinity != AffinityEnforced {
		return fmt.Errorf("affinity: %q is neither preferred nor enforced", o.Affinity)
	}
	return nil
}

// Probe is how long placement under contention may go on.
func (o *Operator) Probe() time.Duration { return Seconds(o.ProbeS) }
