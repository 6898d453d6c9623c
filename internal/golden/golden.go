// Package golden compares encoded values with files under testdata, so that tests notice a
// change of encoding. Only tests import it.
package golden

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// updateVariable is the environment variable that makes Compare write the golden files first if its
// value is 1.
const updateVariable = "UPDATE_GOLDEN"

// Path returns the path of a golden file of the package under test.
func Path(name string) string { return filepath.Join("testdata", "golden", name) }

// Updating reports whether golden files are to be written.
func Updating() bool { return os.Getenv(updateVariable) == "1" }

// Compare requires the golden file to contain got and a final newline. With UPDATE_GOLDEN=1 it
// writes the file first.
func Compare(t testing.TB, name string, got []byte) {
	t.Helper()
	if Updating() {
		Write(t, name, got)
	}
	require.Equal(t, string(Read(t, name)), string(got), "%s (%s=1 updates it)", Path(name), updateVariable)
}

// Read returns the content of the golden file without its final newline.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	stored, err := os.ReadFile(Path(name))
	require.NoError(t, err)
	require.NotEmpty(t, stored, Path(name))
	last := len(stored) - 1
	require.Equal(t, byte('\n'), stored[last], "%s: no final newline", Path(name))
	return stored[:last]
}

// Write writes got and a final newline to the golden file.
func Write(t testing.TB, name string, got []byte) {
	t.Helper()
	path := Path(name)
	require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
	require.NoError(t, os.WriteFile(path, append(append([]byte{}, got...), '\n'), 0o644))
}
