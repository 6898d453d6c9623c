package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// rolloutSteps is what may happen in a rollout besides other troubles.
var rolloutSteps = []string{"upgrade", "upgrade", "roll back", "restart", "freeze", "state cut", "state down", "stop", "activate", "activate", "exclude"}

// rolloutStep does one of them to a controller.
func (w *Cluster) rolloutStep(kind string, who int, last time.Duration) {
	i := who % len(w.controllers)
	switch kind {
	case "upgrade":
		w.startNewer(i)
	case "roll back":
		w.startOlder(i)
	case "restart":
		w.restart(i, last/10)
	case "freeze":
		w.Stall(i, last)
	case "state cut":
		w.partitionFromStore(i, last)
	case "state down":
		w.storeOutage(last / 2)
	case "stop":
		w.Stop(i)
	case "activate":
		w.changeRollout(i, w.activateCompressed())
	case "exclude":
		w.changeRollout(i, wire.AdminRolloutChange{Version: w.rolloutVersion(), Exclude: "rig-0", Reason: "drawn"})
	}
}

// TestRolloutSchedules upgrades, rolls back, ends and freezes controllers in generated
// orders while jobs run, with activations asked for throughout, until all are newer. The
// world's rules hold, nothing of a later format is written before it is in force, and
// every job ends.
func TestRolloutSchedules(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newLargeValueCluster(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "controllers"), func(w *Cluster, i int) {
			if rapid.IntRange(0, 2).Draw(t, "older") == 0 {
				w.startOlder(i)
			} else {
				w.startNewer(i)
			}
		})
		w.MessageLoss = rapid.SampledFrom([]float64{0, 0, 0.03}).Draw(t, "loss")
		w.DelayedCommits = rapid.SampledFrom([]float64{0, 0, 0.1}).Draw(t, "late writes")
		w.DuplicatedPeerMessages = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "late lines")
		submitMixedJobs(w, 50, 6)
		for range rapid.IntRange(3, 16).Draw(t, "steps") {
			kind := rapid.SampledFrom(rolloutSteps).Draw(t, "step")
			who := rapid.IntRange(0, 3).Draw(t, "who")
			last := time.Duration(rapid.IntRange(1, 20).Draw(t, "last")) * second
			w.At(time.Duration(rapid.IntRange(5, 70).Draw(t, "when"))*second, func() { w.rolloutStep(kind, who, last) })
		}
		w.Run(75 * second)
		w.MessageLoss, w.DelayedCommits, w.DuplicatedPeerMessages = 0, 0, 0
		if len(w.Shutdowns) > 0 {
			seen["an older process ended"]++
		}
		if w.ActiveFormat() == record.FormatCompressed {
			seen["in force on the way"]++
		}
		for i := range w.controllers {
			w.startNewer(i)
		}
		w.Run(15 * second)
		if w.ActiveFormat() == record.FormatPlain {
			reply := w.changeRollout(0, w.activateCompressed())
			w.Run(2 * second)
			require.Equal(t, 200, reply.Status, "%v", reply.Body)
		}
		w.Run(45 * second) // the last late copies
		w.FaultsOverAt = w.Now()
		w.Run(150 * second)
		require.Empty(t, w.Violations)
		require.Empty(t, w.Unfinished())
	})
	require.Greater(t, seen["in force on the way"], 10)
	require.Greater(t, seen["an older process ended"], 3)
}
