// Package review_test starts the scripts of the review's cases. The tests skip themselves unless
// REVIEW_CASES is set, and need the build of the deploy file and review/build.sh.
package review_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const casesVariable = "REVIEW_CASES"

// TestReviewTaskRunsOnce starts case 1.
func TestReviewTaskRunsOnce(t *testing.T) { runCase(t, "1") }

// TestReviewLostTaskIsPlacedAgain starts case 2.
func TestReviewLostTaskIsPlacedAgain(t *testing.T) { runCase(t, "2") }

// TestReviewFailedServiceStartsAgain starts case 3.
func TestReviewFailedServiceStartsAgain(t *testing.T) { runCase(t, "3") }

// runCase runs the script of a case, which exits with 0 if the rule held.
func runCase(t *testing.T, folder string) {
	if os.Getenv(casesVariable) == "" {
		t.Skip("a case of the review; set " + casesVariable + " to run it")
	}
	output, err := exec.Command("bash", filepath.Join(folder, "run.sh")).CombinedOutput()
	t.Logf("%s", output)
	require.NoError(t, err, "the rule was broken (1) or the case could not run (2)")
}
