package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFeatures requires valid files, including those under deploy, to be accepted, and the error for
// an unknown, invalid or contradictory field to name the field.
func TestFeatures(t *testing.T) {
	f, err := ParseFeatures(nil)
	require.NoError(t, err)
	require.Equal(t, DefaultFeatures(), f)
	f, err = ParseFeatures([]byte("[rollout]\nactivation = \"automatic\"\nsettle_s = 60.0\n"))
	require.NoError(t, err)
	require.Equal(t, time.Minute, f.Rollout.SettlePeriod())
	for text, field := range map[string]string{
		"[rollout]\nspeed = 3":                               "rollout.speed",
		"[shares]\non = true":                                "shares.on",
		"[shares]\nenabled = 1":                              "enabled",
		"[rollout]\nactivation = \"never\"":                  "rollout.activation",
		"[rollout]\nnewest_format = 0":                       "rollout.newest_format",
		"[rollout]\nnewest_format = -1":                      "rollout.newest_format",
		"[rollout]\nnewest_format = 4":                       "rollout.newest_format",
		"[rollout]\nnewest_format = \"2\"":                   "newest_format",
		"[rollout]\nsettle_s = 5.0":                          "rollout.settle_s",
		"[rollout]\nactivation=\"automatic\"\nsettle_s=-1.0": "rollout.settle_s",
		"[rollout]\nactivation=\"automatic\"\nsettle_s=nan":  "rollout.settle_s",
		"rollout = 3":                                        "rollout",
	} {
		_, err := ParseFeatures([]byte(text))
		require.ErrorContains(t, err, field, text)
	}
	files, err := filepath.Glob("../../deploy/features*.toml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		_, err := LoadFeatures(file)
		require.NoError(t, err)
	}
	_, err = LoadFeatures(filepath.Join(t.TempDir(), "none.toml"))
	require.ErrorIs(t, err, os.ErrNotExist)
}

// TestSettingsOfNewerReleaseAreKept checks that a change made by this release keeps the stored fields
// that only a newer release knows, that a change cannot set such a field, and that a stored value out
// of bounds is rejected.
func TestSettingsOfNewerReleaseAreKept(t *testing.T) {
	stored, err := ParseStoredOperatorSettings(json.RawMessage(`{"idle_s":50,"later":{"x":[1,2]},"other":null}`))
	require.NoError(t, err)
	require.Equal(t, 50.0, stored.IdleS)
	changed, err := stored.With(json.RawMessage(`{"idle_s":60}`))
	require.NoError(t, err)
	written, err := json.Marshal(changed)
	require.NoError(t, err)
	again, err := ParseStoredOperatorSettings(written)
	require.NoError(t, err)
	require.Equal(t, 60.0, again.IdleS)
	require.JSONEq(t, `{"x":[1,2]}`, string(again.unknown["later"]))
	require.Contains(t, again.unknown, "other")
	_, err = stored.With(json.RawMessage(`{"later":1}`))
	require.ErrorContains(t, err, "later")
	_, err = ParseStoredOperatorSettings(json.RawMessage(`{"idle_s":1e9}`))
	require.ErrorContains(t, err, "idle_s")
}
