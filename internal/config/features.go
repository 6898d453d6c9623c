package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// Features is the features file: what is enabled beyond the ordinary. Without one,
// DefaultFeatures holds.
type Features struct {
	Rollout  Rollout  `toml:"rollout"`
	Tracing  Tracing  `toml:"tracing"`
	Sharding Sharding `toml:"shares"`
}

// Sharding says whether the machines are divided among the controllers.
type Sharding struct {
	// Enabled has shares used once all living controllers enable them.
	Enabled bool `toml:"enabled"`
}

// Rollout says how newer formats of records come into force.
type Rollout struct {
	// Activation is by an operator's word or, once all controllers have been ready for
	// SettleS, by itself.
	Activation Activation `toml:"activation"`
	SettleS    *float64   `toml:"settle_s"`
	// NewestFormat is the newest format that this controller takes part in.
	NewestFormat wire.Format `toml:"newest_format"`
}

// Activation says who brings a format into force.
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

// Settle is how long all controllers have to be ready before an automatic activation.
func (r *Rollout) Settle() time.Duration {
	if r.SettleS == nil {
		return defaultSettle
	}
	return Seconds(*r.SettleS)
}

// Formats is what this controller reads and writes.
func (r *Rollout) Formats() record.FormatRange {
	formats := record.FormatRange{Oldest: record.Oldest, Newest: record.Newest}
	if r.NewestFormat != 0 {
		formats.Newest = r.NewestFormat
	}
	return formats
}

// DefaultFeatures is what holds without a features file.
func DefaultFeatures() Features {
	return Features{Rollout: Rollout{Activation: ActivationManual, NewestFormat: record.Newest}}
}

// LoadFeatures reads and checks a features file. Its error is one line that names the
// field.
func LoadFeatures(path string) (Features, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Features{}, fmt.Errorf("features file: %w", err)
	}
	f, err := ParseFeatures(text)
	if err != nil {
		return Features{}, fmt.Errorf("features file %s: %w", path, err)
	}
	return f, nil
}

// ParseFeatures reads and checks features. Unlike settings, which the platform may
// extend, they are the operators' own: a field that is not known is refused.
func ParseFeatures(text []byte) (Features, error) {
	f := DefaultFeatures()
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return f, describeTOML(err)
	}
	return f, f.check()
}

// describeTOML says on one line where a file cannot be read.
func describeTOML(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		return fmt.Errorf("%s: no such field", joinKey(strict.Errors[0].Key()))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, column := decode.Position()
		return fmt.Errorf("line %d, column %d: %s %v", row, column, decode.Error(), decode.Key())
	}
	return err
}

func joinKey(key toml.Key) string {
	var b bytes.Buffer
	for i, part := range key {
		if i > 0 {
			b.WriteByte('.')
		}
		b.WriteString(part)
	}
	return b.String()
}

// mostSettleS is the longest time that an automatic activation may wait: a week.
const mostSettleS = 7 * 86400

func (f *Features) check() error {
	r := &f.Rollout
	switch {
	case r.Activation != ActivationManual && r.Activation != ActivationAutomatic:
		return fmt.Errorf("rollout.activation: %q is neither manual nor automatic", r.Activation)
	case r.NewestFormat < record.Oldest || r.NewestFormat > record.Newest:
		return fmt.Errorf("rollout.newest_format: %d is not between %d and %d", r.NewestFormat, record.Oldest, record.Newest)
	case r.SettleS != nil && r.Activation != ActivationAutomatic:
		return errors.New("rollout.settle_s: goes with activation = \"automatic\" only")
	case r.SettleS != nil && !(*r.SettleS >= 0 && *r.SettleS <= mostSettleS):
		return fmt.Errorf("rollout.settle_s: %v is not between 0 and %d", *r.SettleS, mostSettleS)
	}
	return nil
}
