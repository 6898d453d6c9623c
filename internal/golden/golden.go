// Package golden helps tests to hold encoded values against files under testdata, so that
// a change of form is noticed. Only tests import it.
package golden

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// updateVariable is the environment variable that, when it is 1, has Compare write the
// files instead of reading them.
const updateVariable = "UPDATE_GOLDEN"

// Path is where a golden file of the package under test stands.
func Path(name string) string { return filepath.Join("testdata", "golden", name) }

// Updating reports whether golden files are to be written.
func Updating() bool { return os.Getenv(updateVariable) == "1" }

// Compare requires got, with a line end added, to be what the golden file holds.
func Compare(t testing.TB, name string, got []byte) {
	t.Helper()
	if Updating() {
		Write(t, name, got)
	}
	require.Equal(t, string(Read(t, name)), string(got), "%s (%s=1 writes it anew)", Path(name), updateVariable)
}

// Read returns what the golden file holds, without the line end that Write added.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	stored, err := os.ReadFile(Path(name))
	require.NoError(t, err)
	require.NotEmpty(t, stored, Path(name))
	last := len(stored) - 1
	require.Equal(t, byte('\n'), stored[last], "%s: no line end", Path(name))
	return stored[:last]
}

// Write makes the golden file hold got and a line end.
func Write(t testing.TB, name string, got []byte) {
	t.Helper()
	path := Path(name)
	require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
	require.NoError(t, os.WriteFile(path, append(append([]byte{}, got...), '\n'), 0o644))
}
