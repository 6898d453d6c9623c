package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/placement"
	"lilacrill/wire"
)

// TestPendingJobsOrder checks that late jobs are placed before a huge array without a deadline,
// and that a job that fails on every machine does not hold up others: while it is in crash-loop
// backoff, it is not in the queue and takes up none of its team's quota guarantee.
func TestPendingJobsOrder(t *testing.T) {
	c := newTestController(&config.Settings{Label: "rig-0", Cluster: config.Cluster{
		Zones:      []string{"east"},
		Teams:      []config.Team{{Name: "desk", CPUs: 20}, {Name: "guest"}},
		Objectives: []config.Objective{{Kind: objectiveFinished, Class: "parcel", WithinS: 60}},
		State:      config.State{ValueKB: 8, TxnOps: 12, RPS: 100, WriteRPS: 50},
	}})
	c.wall = 100_000
	add := func(id wire.JobID, team, class string, tasks int, acceptedAt int64) *job {
		j := &job{id: id, acceptedAt: acceptedAt, spec: wire.JobSpec{ID: id, Team: team, Class: class, Shape: wire.ShapeArray,
			Priority: wire.PriorityNormal, Tasks: tasks, Cores: 1, RuntimeS: 5}}
		j.request = placement.NewRequest(&j.spec)
		j.crashLoop = newCrashLoopBackoff()
		c.cache.jobs[id] = j
		return j
	}
	crashLooping := add("wk-000001", "desk", "parcel", 20, 20_000)
	add("wk-000002", "guest", "sweep", 30_000, 30_000)
	add("wk-000003", "guest", "parcel", 100, 39_000) // cannot complete by its objective, at 99 s
	add("wk-000004", "guest", "parcel", 100, 90_000)
	add("wk-000005", "desk", "sweep", 20, 95_000)
	for _, id := range []wire.MachineID{"m-000001", "m-000002", "m-000003"} {
		c.noteTaskFailure(crashLooping, c.machine(id))
	}
	var order []wire.JobID
	pass := &schedulingPass{c: c, includeNonCritical: true}
	for _, pending := range pass.pendingJobs() {
		order = append(order, pending.job.id)
	}
	require.Equal(t, []wire.JobID{"wk-000005", "wk-000004", "wk-000003", "wk-000002"}, order,
		"want: within the quota guarantee, can meet its deadline, late, without a deadline")
}
