package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

// TestAlwaysFailingJobsBackOff guards against jobs that fail on every machine harming other jobs
// until they are cancelled. They must be retried rarely and with few canary tasks, no machine may
// be quarantined because of them, even after their cancellation, and healthy jobs must finish.
func TestAlwaysFailingJobsBackOff(t *testing.T) {
	for seed := range uint64(4) {
		cluster := newCluster(seed, 3)
		for i := range 12 {
			cluster.AddMachine(machineTypes[0], zones[i%3], false, 0)
		}
		var failing []wire.JobID
		for n := range 4 {
			spec, _ := testJob(2*n, 0)
			spec.ID, spec.Tasks = wire.JobID(fmt.Sprintf("wk-1%05d", n)), 40
			if n == 2 {
				spec.Shape, spec.Priority, spec.Class, spec.Tasks = wire.ShapeService, wire.PriorityCritical, "portal", 4
			}
			if n == 3 {
				spec.Shape, spec.Priority, spec.Tasks, spec.Cores = wire.ShapeGang, wire.PriorityHigh, 4, 2
			}
			failing = append(failing, spec.ID)
			cluster.At(time.Duration(3+n)*time.Second, func() { cluster.SubmitFailing(spec) })
			if n == 0 {
				cluster.At(60*time.Second, func() { cluster.CancelJob(spec.ID) })
			}
		}
		for n := range 30 {
			spec, run := testJob(n, n%3)
			cluster.At(time.Duration(2+3*n)*time.Second, func() { cluster.Submit(spec, run) })
		}
		cluster.Run(150 * time.Second)
		for n, id := range failing {
			job := cluster.jobs[id]
			require.True(t, job.accepted)
			// At most one launch per task, then canary tasks after growing pauses.
			require.Less(t, job.launches, job.spec.Tasks+30, "seed %d: %s was launched too often", seed, id)
			require.Greater(t, job.launches, 5, "seed %d: %s was not retried", seed, id)
			if n > 0 {
				require.Less(t, cluster.now.Sub(job.answeredAt), 20*time.Second)
			}
		}
		require.Equal(t, wire.StatusCancelled, cluster.jobs[failing[0]].lastStatus)
		for _, n := range cluster.controllers {
			n.lastRequest++
			n.replyHandlers[n.lastRequest] = func(reply controller.Reply) {
				for _, machine := range reply.Body.([]wire.AdminMachine) {
					require.False(t, machine.Faulty, "seed %d: %s is quarantined", seed, machine.ID)
				}
			}
			cluster.step(n, controller.ViewRequested{Request: n.lastRequest, View: wire.ViewMachines})
		}
		cluster.Run(time.Second)
		require.Empty(t, cluster.Unfinished(), "seed %d", seed)
		require.Empty(t, cluster.Violations)
	}
}

// TestFaultyMachineIsQuarantined checks that a machine is quarantined if tasks fail on it while
// other machines run the same jobs without failures, and that no other machine is quarantined
// because of a job that fails on all machines.
func TestFaultyMachineIsQuarantined(t *testing.T) {
	cluster := newCluster(5, 2)
	cluster.Capacity = 0
	cluster.machines[1].faulty = true
	failing, _ := testJob(400, 0)
	failing.Tasks = 6
	cluster.At(3*time.Second, func() { cluster.SubmitFailing(failing) })
	for n := range 40 {
		spec, run := testJob(n, 0)
		cluster.At(time.Duration(2+n)*time.Second, func() { cluster.Submit(spec, run) })
	}
	cluster.Run(50 * time.Second)
	n := cluster.controllers[0]
	n.lastRequest++
	var faulty []wire.MachineID
	n.replyHandlers[n.lastRequest] = func(reply controller.Reply) {
		for _, machine := range reply.Body.([]wire.AdminMachine) {
			if machine.Faulty {
				faulty = append(faulty, machine.ID)
			}
		}
	}
	cluster.step(n, controller.ViewRequested{Request: n.lastRequest, View: wire.ViewMachines})
	cluster.Run(80 * time.Second)
	require.Equal(t, []wire.MachineID{cluster.machines[1].id}, faulty)
	require.Empty(t, cluster.Unfinished())
	require.Empty(t, cluster.Violations)
}
