package config

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/golden"
)

// TestGoldenSettings decodes a settings file and a features file that have every field, and compares
// the values with the golden files.
func TestGoldenSettings(t *testing.T) {
	features, err := LoadFeatures(golden.Path("features.toml"))
	require.NoError(t, err)
	golden.Compare(t, "features-values.json", golden.EncodeValues(t, features))

	settings, err := Load(golden.Path("settings.toml"))
	require.NoError(t, err)
	require.Equal(t, DefaultFeatures(), settings.Features)
	settings.Features = features
	golden.Compare(t, "settings-values.json", golden.EncodeValues(t, settings))
}

// TestGoldenOperatorSettings encodes operator settings with all fields set, with the defaults and
// with no field set. It decodes those with all fields set as a change and as a stored record.
func TestGoldenOperatorSettings(t *testing.T) {
	var filled OperatorSettings
	filler := golden.NewFiller(1)
	golden.RegisterMaker(filler, func(int) Affinity { return AffinityEnforced })
	filler.Fill(&filled)
	compareJSON(t, "operator-settings.json", filled)
	compareJSON(t, "operator-settings.default.json", DefaultOperatorSettings())
	compareJSON(t, "operator-settings.zero.json", OperatorSettings{})

	text := golden.Read(t, "operator-settings.json")
	changed, err := DefaultOperatorSettings().With(text)
	require.NoError(t, err)
	require.Equal(t, filled, changed)
	stored, err := ParseStoredOperatorSettings(text)
	require.NoError(t, err)
	require.Equal(t, filled, stored.OperatorSettings)
	compareJSON(t, "operator-settings.json", stored)

	stored.unknown = map[string]json.RawMessage{"later": json.RawMessage(`{"x":[1,2]}`)}
	compareJSON(t, "operator-settings.later.json", stored)
	again, err := ParseStoredOperatorSettings(golden.Read(t, "operator-settings.later.json"))
	require.NoError(t, err)
	require.Equal(t, stored, again)
}

// TestGoldenEnumSettings compares the values of enumerated settings with the golden file.
func TestGoldenEnumSettings(t *testing.T) {
	compareJSON(t, "words.json", map[string]any{
		"activation": []Activation{ActivationManual, ActivationAutomatic},
		"affinity":   []Affinity{AffinityPreferred, AffinityEnforced},
	})
}

func compareJSON(t *testing.T, name string, v any) {
	t.Helper()
	text, err := json.Marshal(v)
	require.NoError(t, err)
	golden.Compare(t, name, text)
}
