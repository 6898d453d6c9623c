package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"lilacrill/internal/apierror"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// Features is the features file: what operators enable beyond the default. Without a file,
// DefaultFeatures holds.
type Features struct {
	Rollout  Rollout  `toml:"rollout"`
	Tracing  Tracing  `toml:"tracing"`
	Sharding Sharding `toml:"shares"`
}

// Sharding says whether the machines are divided among the controllers.
type Sharding struct {
	// Enabled has sharding used once all live controllers enable it.
	Enabled bool `toml:"enabled"`
}

// Rollout says how newer formats of records come into force.
type Rollout struct {
	// Activation is by an operator or, once all controllers have been ready for SettleS
	// seconds, automatic.
	Activation Activation `toml:"activation"`
	SettleS    *float64   `toml:"settle_s"`
	// NewestFormat is the newest format that this controller takes part in.
	NewestFormat wire.Format `toml:"newest_format"`
}

// Activation says what brings a format into force.
type Activation string

// The ways of activation.
const (
	ActivationManual    Activation = "manual"
	ActivationAutomatic Activation = "automatic"
)

// Tracing says where spans go.
type Tracing struct {
	// File, if set, gets one JSON object for each span.
	File string `toml:"file"`
}

// defaultSettle is how long all controllers have to be ready before an automatic
// activation: time to see that a release is good, and to go back if it is not.
const defaultSettle = 10 * time.Minute

// SettlePeriod is how long all controllers have to be ready before an automatic activation. It is
// defaultSettle unless the file says otherwise.
func (r *Rollout) SettlePeriod() time.Duration {
	if r.SettleS == nil {
		return defaultSettle
	}
	return Seconds(*r.SettleS)
}

// Formats is the range of formats that this controller reads and writes.
func (r *Rollout) Formats() record.FormatRange {
	formats := record.FormatRange{Oldest: record.OldestFormat, Newest: record.NewestFormat}
	if r.NewestFormat != 0 {
		formats.Newest = r.NewestFormat
	}
	return formats
}

// DefaultFeatures are those without a features file.
func DefaultFeatures() Features {
	return Features{Rollout: Rollout{Activation: ActivationManual, NewestFormat: record.NewestFormat}}
}

// LoadFeatures reads and checks a features file. Its error is one line with the file and the
// field, and wraps an *apierror.FieldError as that of Load does.
func LoadFeatures(path string) (Features, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Features{}, fmt.Errorf("features file: %w", err)
	}
	features, err := ParseFeatures(text)
	if err != nil {
		return Features{}, fmt.Errorf("features file %s: %w", path, err)
	}
	return features, nil
}

// ParseFeatures decodes and checks features. Unlike settings, which the platform may extend,
// they are the operators' own: a field that is not known is an error.
func ParseFeatures(text []byte) (Features, error) {
	features := DefaultFeatures()
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&features); err != nil {
		return features, describeTOML(err)
	}
	return features, features.check()
}

// describeTOML says on one line where a text cannot be decoded.
func describeTOML(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		return apierror.Field(strings.Join(strict.Errors[0].Key(), "."), "no such field")
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, column := decode.Position()
		return fmt.Errorf("line %d, column %d: %s %v", row, column, decode.Error(), decode.Key())
	}
	return err
}

// maxSettleS is the longest time that an automatic activation may wait: a week.
const maxSettleS = 7 * 86400

// check returns an *apierror.FieldError for the first field that is wrong, or nil.
func (f *Features) check() error {
	rollout := &f.Rollout
	switch {
	case rollout.Activation != ActivationManual && rollout.Activation != ActivationAutomatic:
		return apierror.Field("rollout.activation", "%q is neither manual nor automatic", rollout.Activation)
	case rollout.NewestFormat < record.OldestFormat || rollout.NewestFormat > record.NewestFormat:
		return apierror.Field("rollout.newest_format", "%d is not between %d and %d", rollout.NewestFormat, record.OldestFormat, record.NewestFormat)
	case rollout.SettleS != nil && rollout.Activation != ActivationAutomatic:
		return apierror.Field("rollout.settle_s", "goes with activation = \"automatic\" only")
	case rollout.SettleS != nil && !(*rollout.SettleS >= 0 && *rollout.SettleS <= maxSettleS):
		return apierror.Field("rollout.settle_s", "%v is not between 0 and %d", *rollout.SettleS, maxSettleS)
	}
	return nil
}
