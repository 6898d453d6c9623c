package second

import (
	"os"
	"os/exec"
	"testing"
)

// runsCases is the variable that has the tests below run the cases. Each takes up to two minutes, and
// needs the builds that the README of the repository and review/build-2.sh name.
const runsCases = "REVIEW_2_CASES"

// runCase runs the script of a case. The test fails if the rule was broken.
func runCase(t *testing.T, folder string) {
	if os.Getenv(runsCases) == "" {
		t.Skip("set " + runsCases + " to run the cases of the second review")
	}
	output, err := exec.Command("../" + folder + "/run.sh").CombinedOutput()
	if err != nil {
		t.Fatalf("review/%s/run.sh: %v: %s", folder, err, output)
	}
}

// TestReplacedLeaderReturnsNoMachines runs review/4.
func TestReplacedLeaderReturnsNoMachines(t *testing.T) { runCase(t, "4") }

// TestJobUsesRoomKeptAsHeadroom runs review/5.
func TestJobUsesRoomKeptAsHeadroom(t *testing.T) { runCase(t, "5") }

// TestJobUsesRoomBesideWaitingAccelerators runs review/6.
func TestJobUsesRoomBesideWaitingAccelerators(t *testing.T) { runCase(t, "6") }

// TestJobUsesRoomThatWaitingGangCannotUse runs review/7.
func TestJobUsesRoomThatWaitingGangCannotUse(t *testing.T) { runCase(t, "7") }

// TestLostTaskStartsAgainWhenAddressIsReused runs review/8.
func TestLostTaskStartsAgainWhenAddressIsReused(t *testing.T) { runCase(t, "8") }
