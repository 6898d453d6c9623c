package config

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/golden"
)

// TestGoldenSettings decodes a settings file and a features file that have every field, and
// compares the values.
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

// TestGoldenOperatorSettings encodes operators' settings with all fields set, by default and
// with none set, and decodes the first in each way that there is.
func TestGoldenOperatorSettings(t *testing.T) {
	var filled Operator
	filler := golden.NewFiller(1)
	golden.RegisterMaker(filler, func(int) Affinity { return AffinityEnforced })
	filler.Fill(&filled)
	compareJSON(t, "operator-settings.json", filled)
	compareJSON(t, "operator-settings.default.json", DefaultOperator())
	compareJSON(t, "operator-settings.zero.json", Operator{})

	text := golden.Read(t, "operator-settings.json")
	changed, err := DefaultOperator().With(text)
	require.NoError(t, err)
	require.Equal(t, filled, changed)
	stored, err := ReadOperator(text)
	require.NoError(t, err)
	require.Equal(t, filled, stored.Operator)
	compareJSON(t, "operator-settings.json", stored)

	stored.later = map[string]json.RawMessage{"later": json.RawMessage(`{"x":[1,2]}`)}
	compareJSON(t, "operator-settings.later.json", stored)
	again, err := ReadOperator(golden.Read(t, "operator-settings.later.json"))
	require.NoError(t, err)
	require.Equal(t, stored, again)
}

// TestGoldenWords compares the values that enumerated fields of the files may have.
func TestGoldenWords(t *testing.T) {
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
