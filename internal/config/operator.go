package config

import (
	"encoding/json"
	"maps"
	"math"
	"reflect"
	"strings"
	"time"

	"lilacrill/internal/apierror"
)

// Affinity says what happens if no machine that meets a job's preferred rules has enough free
// capacity.
type Affinity string

// With AffinityPreferred the job is scheduled on other machines. With AffinityEnforced it waits.
const (
	AffinityPreferred Affinity = "preferred"
	AffinityEnforced  Affinity = "enforced"
)

// OperatorSettings are the settings that operators change at run time, through the administration
// API. They are kept in the state store and are the same for all controllers. Fields whose names
// end in S are in seconds.
type OperatorSettings struct {
	// ProbeMachines, ProbeTries and ProbeS bound placement under contention: the number of
	// machines considered at a time, the number of tries, and their total duration.
	ProbeMachines int     `json:"probe_hosts"`
	ProbeTries    int     `json:"probe_tries"`
	ProbeS        float64 `json:"probe_s"`
	// PlacementRetryS is how long a team's placements pause after all tries have failed.
	PlacementRetryS float64 `json:"busy_s"`
	// Affinity applies if preferred rules cannot be met.
	Affinity Affinity `json:"affinity"`
	// HeadroomFraction and MinHeadroom determine the headroom for critical jobs of classes
	// that have an objective for their waiting time. For each class and image, the headroom is
	// MinHeadroom tasks plus this fraction of the tasks that are not completed.
	HeadroomFraction float64 `json:"spare_share"`
	MinHeadroom      int     `json:"spare_least"`
	// UnresponsiveS is how long a machine may be unresponsive before it is terminated.
	UnresponsiveS float64 `json:"silence_s"`
	// IdleS is how long a machine may be idle before it is terminated.
	IdleS float64 `json:"idle_s"`
}

// DefaultOperatorSettings returns the settings that apply until operators change them.
func DefaultOperatorSettings() OperatorSettings {
	return OperatorSettings{
		ProbeMachines: 16, ProbeTries: 3, ProbeS: 0.4, PlacementRetryS: 1,
		Affinity:         AffinityPreferred,
		HeadroomFraction: 0.1, MinHeadroom: 1,
		UnresponsiveS: 3.5, IdleS: 40,
	}
}

// With returns a copy of the settings with the values of a JSON object, whose fields are names of
// settings. Its error is an *apierror.FieldError.
func (o OperatorSettings) With(changes json.RawMessage) (OperatorSettings, error) {
	next, unknown, err := o.withKnown(changes)
	for name := range unknown {
		return o, apierror.Field(name, "no such setting")
	}
	if err != nil {
		return o, err
	}
	return next, next.check()
}

// StoredOperatorSettings is the record of the operator settings in the state store. It holds the
// fields that this release knows, and those that only a newer release knows. The latter are written
// back with every change, so that none is lost when a release is rolled back and forward again.
type StoredOperatorSettings struct {
	OperatorSettings
	unknown map[string]json.RawMessage
}

// ParseStoredOperatorSettings decodes and checks the record of the operator settings.
func ParseStoredOperatorSettings(stored json.RawMessage) (StoredOperatorSettings, error) {
	known, unknown, err := DefaultOperatorSettings().withKnown(stored)
	if err == nil {
		err = known.check()
	}
	return StoredOperatorSettings{known, unknown}, err
}

// With returns a copy of the record with the values of a JSON object, whose fields must be known to
// this release.
func (s StoredOperatorSettings) With(changes json.RawMessage) (StoredOperatorSettings, error) {
	next, err := s.OperatorSettings.With(changes)
	return StoredOperatorSettings{next, s.unknown}, err
}

// MarshalJSON implements json.Marshaler.
func (s StoredOperatorSettings) MarshalJSON() ([]byte, error) {
	known, err := json.Marshal(s.OperatorSettings)
	if err != nil || len(s.unknown) == 0 {
		return known, err
	}
	fields := maps.Clone(s.unknown)
	if err := json.Unmarshal(known, &fields); err != nil {
		return nil, err
	}
	return json.Marshal(fields)
}

// withKnown returns a copy of the settings with the values of those fields of a JSON object that this
// release knows, and the other fields of the object as unknown.
func (o OperatorSettings) withKnown(changes json.RawMessage) (next OperatorSettings, unknown map[string]json.RawMessage, err error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(changes, &fields); err != nil || fields == nil {
		return o, nil, apierror.Field("settings", "want a JSON object")
	}
	settings := reflect.ValueOf(&o).Elem()
	for i := range settings.NumField() {
		name, _, _ := strings.Cut(settings.Type().Field(i).Tag.Get("json"), ",")
		raw, given := fields[name]
		if !given {
			continue
		}
		delete(fields, name)
		if string(raw) == "null" || json.Unmarshal(raw, settings.Field(i).Addr().Interface()) != nil {
			return o, nil, apierror.Field(name, "wrong type")
		}
	}
	return o, fields, nil
}

// check returns an *apierror.FieldError for the first setting that is out of bounds, or nil.
func (o *OperatorSettings) check() error {
	for _, setting := range []struct {
		name      string
		value     float64
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
		if math.IsNaN(setting.value) || setting.value < setting.low || setting.value > setting.high {
			return apierror.Field(setting.name, "%v is not between %v and %v", setting.value, setting.low, setting.high)
		}
	}
	if o.Affinity != AffinityPreferred && o.Affinity != AffinityEnforced {
		return apierror.Field("affinity", "%q is neither preferred nor enforced", o.Affinity)
	}
	return nil
}

// ProbeDuration returns the time limit of placement under contention.
func (o *OperatorSettings) ProbeDuration() time.Duration { return Seconds(o.ProbeS) }
