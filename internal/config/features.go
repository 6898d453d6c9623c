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

// Features is the features file, in which operators enable features beyond the defaults. Without a
// file, DefaultFeatures applies.
type Features struct {
	Rollout  Rollout  `toml:"rollout"`
	Tracing  Tracing  `toml:"tracing"`
	Sharding Sharding `toml:"shares"`
}

// Sharding says whether the machines are divided among the controllers.
type Sharding struct {
	// Enabled lets sharding be used once all live controllers enable it.
	Enabled bool `toml:"enabled"`
}

// Rollout says how newer formats of records are activated.
type Rollout struct {
	// Activation is manual, by an operator, or automatic, once all controllers have been
	// ready for SettleS seconds.
	Activation Activation `toml:"activation"`
	SettleS    *float64   `toml:"settle_s"`
	// NewestFormat is the newest format that this controller reads and writes.
	NewestFormat wire.Format `toml:"newest_format"`
}

// Activation is the way in which formats are activated.
type Activation string

// The ways in which formats are activated: by an operator, or automatically.
const (
	ActivationManual    Activation = "manual"
	ActivationAutomatic Activation = "automatic"
)

// Tracing says where spans are written.
type Tracing struct {
	// File, if set, is the file to which one JSON object for each span is written.
	File string `toml:"file"`
}

// defaultSettlePeriod is how long all controllers have to be ready before an automatic activation.
// It leaves time to find out whether a release works, and to roll it back if it does not.
const defaultSettlePeriod = 10 * time.Minute

// SettlePeriod returns how long all controllers have to be ready before an automatic activation. It
// is defaultSettlePeriod unless the file sets settle_s.
func (r *Rollout) SettlePeriod() time.Duration {
	if r.SettleS == nil {
		return defaultSettlePeriod
	}
	return Seconds(*r.SettleS)
}

// Formats returns the range of formats that this controller reads and writes.
func (r *Rollout) Formats() record.FormatRange {
	formats := record.FormatRange{Oldest: record.OldestFormat, Newest: record.NewestFormat}
	if r.NewestFormat != 0 {
		formats.Newest = r.NewestFormat
	}
	return formats
}

// DefaultFeatures returns the features that apply without a features file.
func DefaultFeatures() Features {
	return Features{Rollout: Rollout{Activation: ActivationManual, NewestFormat: record.NewestFormat}}
}

// LoadFeatures reads and checks a features file. Its error is one line that names the file and the
// field. Like that of Load, the error wraps an *apierror.FieldError unless the file cannot be read
// or is not TOML.
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

// ParseFeatures decodes and checks features. An unknown field is an error: unlike the settings file,
// which the platform may extend, the features file is written by operators.
func ParseFeatures(text []byte) (Features, error) {
	features := DefaultFeatures()
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&features); err != nil {
		return features, describeTOML(err)
	}
	return features, features.check()
}

// describeTOML returns an error that says on one line where a text cannot be decoded.
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

// maxSettleS is the maximum settle period, in seconds: a week.
const maxSettleS = 7 * 86400

// check returns an *apierror.FieldError for the first invalid field, or nil.
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
