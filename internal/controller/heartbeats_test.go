package controller

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/placement"
	"lilacrill/wire"
)

// heartbeatEffects holds what a controller concludes from a heartbeat about its machine and the
// two jobs whose tasks exited there.
type heartbeatEffects struct {
	faulty   bool
	failures [2]int  // number of machines on which each job is known to fail
	avoided  [2]Time // time until which each job avoids the machine
}

// TestHeartbeatEffectsAreDeterministic checks that applying a heartbeat with many exited tasks,
// as a controller that has just started receives it, has the same effects on its machine and
// jobs every time, in whatever order the heartbeat lists the tasks. Otherwise a replay of a
// controller's inputs could differ from the recorded run.
func TestHeartbeatEffectsAreDeterministic(t *testing.T) {
	first := effectsOfExits(false)
	require.True(t, first.faulty, "tasks of two jobs first succeeded on the machine and then failed")
	for i := range 200 {
		require.Equal(t, first, effectsOfExits(i%2 == 1), "run %d", i)
	}
}

// effectsOfExits returns the effects on a new controller of a heartbeat with exits of two jobs,
// listed in reverse order if reversed is set.
func effectsOfExits(reversed bool) heartbeatEffects {
	c := newTestController(&config.Settings{Label: "rig-0", Cluster: config.Cluster{Zones: []string{"east"},
		State: config.State{ValueKB: 8, TxnOps: 12, RPS: 100, WriteRPS: 50}}})
	c.now = 1_000_000
	jobs := []*job{newTestJob(c, "wk-000001"), newTestJob(c, "wk-000002")}
	heartbeat := heartbeatWithExits(jobs)
	if reversed {
		slices.Reverse(heartbeat.Tasks)
	}
	c.applyHeartbeat(heartbeat, true)
	machine := c.machine(heartbeat.Machine)
	effects := heartbeatEffects{faulty: !c.isDue(machine.quarantine.faultyUntil)}
	for i, job := range jobs {
		effects.failures[i], effects.avoided[i] = len(job.crashLoop.failedMachines), job.crashLoop.avoidMachines[machine.id]
	}
	return effects
}

func newTestJob(c *Controller, id wire.JobID) *job {
	job := c.addJob(id)
	job.spec = wire.JobSpec{ID: id, Team: "desk", Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: 8, Cores: 1}
	job.request = placement.NewRequest(&job.spec)
	return job
}

func heartbeatWithExits(jobs []*job) *wire.Heartbeat {
	heartbeat := &wire.Heartbeat{Machine: "m-000001", AgentEpoch: 1, Sequence: 1}
	causes := []wire.Cause{wire.CauseDone, wire.CauseError, wire.CauseNoRoom, wire.CauseError, wire.CauseDone, wire.CauseError}
	for _, job := range jobs {
		for i, cause := range causes {
			heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{
				Task:    wire.TaskID{Job: job.id, Index: i},
				Attempt: wire.Attempt(i + 1),
				State:   wire.TaskExited,
				Cause:   cause,
			})
		}
	}
	return heartbeat
}
