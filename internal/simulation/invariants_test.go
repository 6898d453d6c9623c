package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// runGeneratedSchedule runs one generated day and then a quiet time in which all must end.
func runGeneratedSchedule(t *rapid.T) *Cluster { return runGeneratedScheduleWith(t, (*Cluster).Start) }

// runGeneratedScheduleWith is runGeneratedSchedule with a function that starts the
// controllers.
func runGeneratedScheduleWith(t *rapid.T, start func(cluster *Cluster, i int)) *Cluster {
	settings := testSettings()
	settings.Cluster.Teams = append(settings.Cluster.Teams, config.Team{Name: "guest"})
	cluster := newClusterStartedBy(settings, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 3).Draw(t, "controllers"), start)
	cluster.MessageLoss = rapid.SampledFrom([]float64{0, 0.02, 0.08}).Draw(t, "loss")
	cluster.DuplicatedHeartbeats = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "late")
	// Which faults meet: each is there on some days and not on others.
	cluster.DelayedCommits = rapid.SampledFrom([]float64{0, 0, 0.2}).Draw(t, "late writes")
	cluster.LoseAnswersOnly = rapid.Bool().Draw(t, "at once")
	cluster.ReplayedHeartbeats = rapid.SampledFrom([]float64{0, 0, 0.2}).Draw(t, "kept reports")
	cluster.CancelOnCompletion = rapid.SampledFrom([]float64{0, 0, 0.4}).Draw(t, "cancel at end")
	cluster.HangOnCancel = rapid.SampledFrom([]time.Duration{0, 0, 8 * time.Second, 50 * time.Second}).Draw(t, "hang at cancel")
	cluster.RequestBursts = rapid.SampledFrom([]bool{false, false, true}).Draw(t, "close looks")
	for n := range rapid.IntRange(4, 24).Draw(t, "jobs") {
		spec, run := testJob(n, rapid.IntRange(0, 7).Draw(t, "kind"))
		at := time.Duration(rapid.IntRange(0, 60).Draw(t, "at")) * time.Second
		if n%6 == 5 && spec.Accelerators == 0 {
			spec.Team = "guest"
		}
		if rapid.IntRange(0, 9).Draw(t, "always fails") == 0 {
			cluster.At(at, func() { cluster.SubmitFailing(spec) })
		} else {
			cluster.At(at, func() { cluster.Submit(spec, run) })
		}
		// Some services are left running, so that there is something to poll.
		cancelled := rapid.IntRange(0, 5).Draw(t, "cancelled")
		if spec.Shape == wire.ShapeService && cancelled < 4 || cancelled == 0 {
			cluster.At(at+time.Duration(rapid.IntRange(0, 90).Draw(t, "cancel"))*time.Second, func() { cluster.CancelJob(spec.ID) })
		}
	}
	for range rapid.IntRange(0, 8).Draw(t, "faults") {
		planned := fault{rapid.SampledFrom(faultKinds).Draw(t, "fault"),
			time.Duration(rapid.IntRange(5, 90).Draw(t, "when")) * time.Second,
			time.Duration(rapid.IntRange(2, 25).Draw(t, "last")) * time.Second, rapid.IntRange(0, 9).Draw(t, "who")}
		cluster.At(planned.at, func() { planned.inject(cluster) })
	}
	cluster.At(30*time.Second, func() { cluster.PollUnknown("wk-999999") })
	cluster.Run(130 * time.Second)
	cluster.MessageLoss, cluster.DelayedCommits, cluster.ReplayedHeartbeats, cluster.HangOnCancel, cluster.RequestBursts, cluster.CancelOnCompletion = 0, 0, 0, 0, false, 0
	cluster.Run(50 * time.Second) // the last late copies and the last fault
	cluster.FaultsOverAt = cluster.Now()
	cluster.Run(250 * time.Second)
	return cluster
}

// TestInvariantsHold drives several controllers through generated days of losses, delays,
// duplicates, outages and restarts, and checks what happens against the protocol's rules.
func TestInvariantsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := runGeneratedSchedule(t)
		require.Empty(t, cluster.Violations)
		require.Empty(t, cluster.Unfinished(), "jobs that never ended: %v", cluster.Records())
	})
}

// TestInvariantsHoldWithShards is TestInvariantsHold with shards in use from early on.
func TestInvariantsHoldWithShards(t *testing.T) {
	t.Parallel()
	placed := 0
	rapid.Check(t, func(t *rapid.T) {
		cluster := runGeneratedScheduleWith(t, (*Cluster).startWithShards)
		placed += cluster.Observed[placedInShard]
		require.Empty(t, cluster.Violations)
		require.Empty(t, cluster.Unfinished(), "jobs that never ended: %v", cluster.Records())
	})
	require.Greater(t, placed, 1000)
}

// requireAllFinished lets everything end, and requires that no rule was violated on the
// way.
func requireAllFinished(t *testing.T, cluster *Cluster) {
	t.Helper()
	cluster.Run(60 * time.Second)
	cluster.FaultsOverAt = cluster.Now()
	cluster.Run(150 * time.Second)
	require.Empty(t, cluster.Violations)
	require.Empty(t, cluster.Unfinished())
}
