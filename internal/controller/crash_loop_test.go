package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// TestCrashLoopLimitsJobToCanaries guards against a large array job that fails on every
// machine and keeps occupying machines. After a pause only a few of its tasks are tried, none
// while other canary tasks are still placed, and a success ends the limit.
func TestCrashLoopLimitsJobToCanaries(t *testing.T) {
	c := newTestController(&config.Settings{Label: "rig-0", Cluster: config.Cluster{
		Zones: []string{"east"},
		State: config.State{ValueKB: 8, TxnOps: 12},
	}})
	j := &job{id: "wk-000001", spec: wire.JobSpec{Shape: wire.ShapeArray, Tasks: 200}}
	j.crashLoop = newCrashLoopBackoff()
	c.cache.jobs[j.id] = j
	require.Equal(t, 200, c.limitToCanaries(j, 200))
	for i, id := range []wire.MachineID{"m-000001", "m-000002", "m-000003"} {
		c.noteTaskFailure(j, c.machine(id))
		require.Equal(t, i == 2, c.inBackoff(j))
	}
	require.Equal(t, canaryTasks, c.limitToCanaries(j, 200))
	c.replacePage(&page{key: record.PlacementKey("red", "east", 0), team: "red", zone: "east",
		allocations: []Allocation{{AllocationHeader: record.AllocationHeader{Job: j.id, Attempt: 1}, Machine: "m-000004", Tasks: record.Span(0, 2)}}})
	require.Zero(t, c.limitToCanaries(j, 198))
	before := j.crashLoop.retryAt
	c.now = before
	c.noteTaskFailure(j, c.machine("m-000004"))
	require.Greater(t, j.crashLoop.retryAt.Sub(before), minCrashLoopBackoff, "the pause must grow")
	c.noteTaskSuccess(j)
	require.Equal(t, 198, c.limitToCanaries(j, 198))
	require.False(t, c.inBackoff(j))
}
