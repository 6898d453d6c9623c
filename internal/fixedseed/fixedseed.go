// Package fixedseed makes generated tests use the same inputs in each run, so that a check of
// the same sources always has the same result.
package fixedseed

import (
	"flag"
	"os"
	"testing"
)

// seed is any number but 0, which has rapid choose a new seed for each run.
const seed = "20261201"

// Run runs a package's tests, for its TestMain, and exits. A seed given on the command line
// is used instead.
func Run(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := f.Value.Set(seed); err != nil {
			panic(err) // the flag takes numbers
		}
	}
	os.Exit(m.Run())
}
