package main

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/simulation"
)

// BenchmarkMixedWithPrevious runs this build beside an earlier release that reads the same formats.
// Controllers are upgraded, rolled back, killed and frozen at random and under load, before and
// after the compressed format comes into force. Then all controllers are upgraded, and finally all
// are rolled back, so that the earlier release has to read everything that this build stored. Run it
// with -benchtime=1x and the path of the earlier program in LILACRILL_PREVIOUS.
func BenchmarkMixedWithPrevious(b *testing.B) {
	previous := os.Getenv(previousProgramVariable)
	require.NotEmpty(b, previous, previousProgramVariable)
	for b.Loop() {
		for seed := range uint64(3) {
			u := startUpgradedCluster(b, upgradeLoad, build{program: previous}, seed)
			stop := make(chan struct{})
			u.users.Go(func() { u.submitJobs(stop, 8*time.Second) })
			for range 4 {
				b.Log(u.randomStep())
			}
			require.Zero(b, u.compressedRecords(), "the later format is dormant")
			u.activateWhenReady()
			for range 6 {
				b.Log(u.randomStep())
			}
			u.upgradeRest()
			require.Eventually(b, func() bool { return u.compressedRecords() > 0 }, testTimeout, 100*time.Millisecond)
			for i := range u.size.controllers {
				u.replace(i, u.older)
			}
			time.Sleep(5 * time.Second)
			close(stop)
			u.finishAndCheck(b)
			fmt.Printf("seed %d: %d starts, %d tasks done, no rule broken\n", seed,
				u.history.Count(simulation.TaskStarted), u.history.Count(simulation.TaskCompleted))
		}
	}
}
