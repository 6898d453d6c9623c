package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// TestOrderOfWork guards work that is late against a huge array that nobody stated a
// time for, and everybody against a job that fails on every machine: it stands in no
// queue while it pauses, and takes up nobody's guarantee.
func TestOrderOfWork(t *testing.T) {
	set := &config.Settings{Label: "rig-0", Cluster: config.Cluster{Zones: []string{"east"},
		Teams:      []config.Team{{Name: "desk", CPUs: 20}, {Name: "guest"}},
		Objectives: []config.Objective{{Kind: "finished", Class: "parcel", WithinS: 60}},
		State:      config.State{ValueKB: 8, TxnOps: 12, RPS: 100, WriteRPS: 50}}}
	c := newTestController(set)
	c.wall = 100_000
	add := func(id wire.JobID, team, class string, tasks int, at int64) *job {
		j := &job{id: id, acceptedAt: at, spec: wire.JobSpec{ID: id, Team: team, Class: class, Shape: wire.ShapeArray,
			Priority: wire.PriorityNormal, Tasks: tasks, Cores: 1, RuntimeS: 5}}
		j.request = placement.NewRequest(&j.spec)
		j.crashLoop.failedMachines, j.crashLoop.avoidMachines = map[wire.MachineID]Time{}, map[wire.MachineID]Time{}
		c.cache.jobs[id] = j
		return j
	}
	broken := add("wk-000001", "desk", "parcel", 20, 20_000)
	add("wk-000002", "guest", "sweep", 30_000, 30_000)
	add("wk-000003", "guest", "parcel", 100, 39_000) // it cannot be done by 99 s
	add("wk-000004", "guest", "parcel", 100, 90_000)
	add("wk-000005", "desk", "sweep", 20, 95_000)
	for _, id := range []wire.MachineID{"m-000001", "m-000002", "m-000003"} {
		c.noteTaskFailure(broken, c.machine(id))
	}
	var order []wire.JobID
	pass := &schedulingPass{c: c, includeNonCritical: true}
	for _, pending := range pass.pendingJobs() {
		order = append(order, pending.job.id)
	}
	require.Equal(t, []wire.JobID{"wk-000005", "wk-000004", "wk-000003", "wk-000002"}, order,
		"within a guarantee, in time, late, without a time")
}

// TestTrial guards machines against a wide array that fails everywhere: after a
// pause only a few of its tasks are tried, none while others still stand; one that
// goes well opens it again.
func TestTrial(t *testing.T) {
	set := &config.Settings{Label: "rig-0", Cluster: config.Cluster{Zones: []string{"east"}, State: config.State{ValueKB: 8, TxnOps: 12}}}
	c := newTestController(set)
	j := &job{id: "wk-000001", spec: wire.JobSpec{Shape: wire.ShapeArray, Tasks: 200}}
	j.crashLoop.failedMachines, j.crashLoop.avoidMachines = map[wire.MachineID]Time{}, map[wire.MachineID]Time{}
	c.cache.jobs[j.id] = j
	require.Equal(t, 200, c.limitToCanaries(j, 200))
	for i, id := range []wire.MachineID{"m-000001", "m-000002", "m-000003"} {
		c.noteTaskFailure(j, c.machine(id))
		require.Equal(t, i == 2, c.inBackoff(j))
	}
	require.Equal(t, canaryTasks, c.limitToCanaries(j, 200))
	p := &page{key: record.PlacementKey("red", "east", 0), team: "red", zone: "east",
		allocations: []Allocation{{AllocationHeader: record.AllocationHeader{Job: j.id, Attempt: 1}, Machine: "m-000004", Tasks: record.Span(0, 2)}}}
	c.replacePage(p)
	require.Zero(t, c.limitToCanaries(j, 198))
	before := j.crashLoop.retryAt
	c.now = before
	c.noteTaskFailure(j, c.machine("m-000004"))
	require.Greater(t, j.crashLoop.retryAt.Sub(before), minCrashLoopBackoff, "pauses grow")
	c.noteTaskSuccess(j)
	require.Equal(t, 198, c.limitToCanaries(j, 198))
	require.False(t, c.inBackoff(j))
}
