package controller

import (
	"io"
	"log/slog"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/placement"
	"lilacrill/wire"
)

// TestSameHeartbeatSameVerdict guards the replay of a controller's inputs: a heartbeat with
// many exited tasks, as a controller that has just started receives it, leads to the same
// verdict on its machine and its jobs every time, in whatever order it lists them.
func TestSameHeartbeatSameVerdict(t *testing.T) {
	type verdict struct {
		faulty   bool
		failures [2]int  // machines on which each job is known to fail
		avoided  [2]Time // until when each avoids the machine
	}
	verdictOf := func(reversed bool) verdict {
		settings := &config.Settings{Label: "rig-0", Cluster: config.Cluster{Zones: []string{"east"},
			State: config.State{ValueKB: 8, TxnOps: 12, RPS: 100, WriteRPS: 50}}}
		c := New(settings, slog.New(slog.NewTextHandler(io.Discard, nil)), 1)
		c.now = 1_000_000
		var jobs []*job
		for _, id := range []wire.JobID{"wk-000001", "wk-000002"} {
			job := c.newJob(id)
			job.spec = wire.JobSpec{ID: id, Team: "desk", Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: 8, Cores: 1}
			job.request = placement.NewRequest(&job.spec)
			jobs = append(jobs, job)
		}
		heartbeat := &wire.Heartbeat{Machine: "m-000001", AgentEpoch: 1, Sequence: 1}
		for _, job := range jobs {
			for i, cause := range []wire.Cause{wire.CauseDone, wire.CauseError, wire.CauseNoRoom, wire.CauseError, wire.CauseDone, wire.CauseError} {
				heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: wire.TaskID{Job: job.id, Index: i}, Attempt: wire.Attempt(i + 1), State: wire.TaskExited, Cause: cause})
			}
		}
		if reversed {
			slices.Reverse(heartbeat.Tasks)
		}
		c.applyHeartbeat(heartbeat, true)
		m := c.machine(heartbeat.Machine)
		result := verdict{faulty: !c.isDue(m.quarantine.faultyUntil)}
		for i, job := range jobs {
			result.failures[i], result.avoided[i] = len(job.crashLoop.failedMachines), job.crashLoop.avoidMachines[m.id]
		}
		return result
	}
	first := verdictOf(false)
	require.True(t, first.faulty, "two jobs went well once and failed then")
	for i := range 200 {
		require.Equal(t, first, verdictOf(i%2 == 1), "run %d", i)
	}
}
