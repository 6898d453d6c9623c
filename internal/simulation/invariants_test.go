package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// runGeneratedSchedule runs a generated schedule of jobs and faults, followed by a time without
// faults in which all jobs must end.
func runGeneratedSchedule(t *rapid.T) *Cluster { return runGeneratedScheduleWith(t, (*Cluster).Start) }

// runGeneratedScheduleWith is like runGeneratedSchedule, but starts the controllers with the given
// function.
func runGeneratedScheduleWith(t *rapid.T, start func(cluster *Cluster, i int)) *Cluster {
	settings := testSettings()
	settings.Cluster.Teams = append(settings.Cluster.Teams, config.Team{Name: "guest"})
	cluster := newClusterStartedBy(settings, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 3).Draw(t, "controllers"), start)
	cluster.MessageLoss = rapid.SampledFrom([]float64{0, 0.02, 0.08}).Draw(t, "message loss")
	cluster.DuplicatedHeartbeats = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "duplicated heartbeats")
	// Each of these faults is absent from some schedules, so that different combinations occur.
	cluster.DelayedCommits = rapid.SampledFrom([]float64{0, 0, 0.2}).Draw(t, "delayed commits")
	cluster.LoseAnswersOnly = rapid.Bool().Draw(t, "lose answers only")
	cluster.ReplayedHeartbeats = rapid.SampledFrom([]float64{0, 0, 0.2}).Draw(t, "replayed heartbeats")
	cluster.CancelOnCompletion = rapid.SampledFrom([]float64{0, 0, 0.4}).Draw(t, "cancel on completion")
	cluster.HangOnCancel = rapid.SampledFrom([]time.Duration{0, 0, 8 * time.Second, 50 * time.Second}).Draw(t, "hang on cancel")
	cluster.RequestBursts = rapid.SampledFrom([]bool{false, false, true}).Draw(t, "request bursts")
	for n := range rapid.IntRange(4, 24).Draw(t, "jobs") {
		spec, run := testJob(n, rapid.IntRange(0, 7).Draw(t, "kind"))
		at := time.Duration(rapid.IntRange(0, 60).Draw(t, "submitted at")) * time.Second
		if n%6 == 5 && spec.Accelerators == 0 {
			spec.Team = "guest"
		}
		if rapid.IntRange(0, 9).Draw(t, "always fails") == 0 {
			cluster.At(at, func() { cluster.SubmitFailing(spec) })
		} else {
			cluster.At(at, func() { cluster.Submit(spec, run) })
		}
		// Some services keep running to the end, so that users have jobs to poll.
		cancelled := rapid.IntRange(0, 5).Draw(t, "cancelled")
		if spec.Shape == wire.ShapeService && cancelled < 4 || cancelled == 0 {
			cluster.At(at+time.Duration(rapid.IntRange(0, 90).Draw(t, "cancelled after"))*time.Second, func() { cluster.CancelJob(spec.ID) })
		}
	}
	for range rapid.IntRange(0, 8).Draw(t, "faults") {
		planned := fault{rapid.SampledFrom(faultKinds).Draw(t, "fault"),
			time.Duration(rapid.IntRange(5, 90).Draw(t, "injected at")) * time.Second,
			time.Duration(rapid.IntRange(2, 25).Draw(t, "duration")) * time.Second, rapid.IntRange(0, 9).Draw(t, "target")}
		cluster.At(planned.at, func() { planned.inject(cluster) })
	}
	cluster.At(30*time.Second, func() { cluster.PollUnknown("wk-999999") })
	cluster.Run(130 * time.Second)
	cluster.MessageLoss, cluster.DelayedCommits, cluster.ReplayedHeartbeats, cluster.HangOnCancel, cluster.RequestBursts, cluster.CancelOnCompletion = 0, 0, 0, 0, false, 0
	cluster.Run(50 * time.Second) // until the last delayed copy and the end of the last fault
	cluster.FaultsOverAt = cluster.Now()
	cluster.Run(250 * time.Second)
	return cluster
}

// TestInvariantsHold runs several controllers through generated schedules of message losses,
// delays, duplicates, outages and restarts, and checks that the protocol's rules hold.
func TestInvariantsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := runGeneratedSchedule(t)
		require.Empty(t, cluster.Violations)
		require.Empty(t, cluster.Unfinished(), "jobs that never ended: %v", cluster.Records())
	})
}

// TestInvariantsHoldWithShards is like TestInvariantsHold, with shards in use soon after the start.
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

// requireAllFinished runs the cluster until all jobs should have ended, and requires that they
// have and that no rule was violated.
func requireAllFinished(t *testing.T, cluster *Cluster) {
	t.Helper()
	cluster.Run(60 * time.Second)
	cluster.FaultsOverAt = cluster.Now()
	cluster.Run(150 * time.Second)
	require.Empty(t, cluster.Violations)
	require.Empty(t, cluster.Unfinished())
}
