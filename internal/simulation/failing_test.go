package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

// TestMistakenJobs guards everybody else against jobs that fail on every machine
// until they are cancelled: they are tried seldom and with few tasks, no machine is
// blamed for them, also once they were withdrawn, and what is well is served.
func TestMistakenJobs(t *testing.T) {
	for seed := range uint64(4) {
		w := newCluster(t, seed, 3)
		for i := range 12 {
			w.AddMachine(machineTypes[0], zones[i%3], false, 0)
		}
		var mistaken []wire.JobID
		for n := range 4 {
			spec, _ := testJob(2*n, 0)
			spec.ID, spec.Tasks = wire.JobID(fmt.Sprintf("wk-1%05d", n)), 40
			if n == 2 {
				spec.Shape, spec.Priority, spec.Class, spec.Tasks = wire.ShapeService, wire.PriorityCritical, "portal", 4
			}
			if n == 3 {
				spec.Shape, spec.Priority, spec.Tasks, spec.Cores = wire.ShapeGang, wire.PriorityHigh, 4, 2
			}
			mistaken = append(mistaken, spec.ID)
			w.At(time.Duration(3+n)*time.Second, func() { w.SubmitFailing(spec) })
			if n == 0 {
				w.At(60*time.Second, func() { w.CancelJob(spec.ID) })
			}
		}
		for n := range 30 {
			spec, run := testJob(n, n%3)
			w.At(time.Duration(2+3*n)*time.Second, func() { w.Submit(spec, run) })
		}
		w.Run(150 * time.Second)
		for n, id := range mistaken {
			j := w.jobs[id]
			require.True(t, j.accepted)
			// A first wave, then trials with growing pauses.
			require.Less(t, j.launches, j.spec.Tasks+30, "seed %d: %s", seed, id)
			require.Greater(t, j.launches, 5, "seed %d: %s was given up", seed, id)
			if n > 0 {
				require.Less(t, w.now.Sub(j.answeredAt), 20*time.Second)
			}
		}
		require.Equal(t, wire.StatusCancelled, w.jobs[mistaken[0]].lastStatus)
		for _, n := range w.controllers {
			n.lastRequest++
			n.replyHandlers[n.lastRequest] = func(r controller.Reply) {
				for _, m := range r.Body.([]wire.AdminMachine) {
					require.False(t, m.Faulty, "seed %d: %s is blamed", seed, m.ID)
				}
			}
			w.step(n, controller.ViewRequested{Request: n.lastRequest, View: wire.ViewMachines})
		}
		w.Run(time.Second)
		require.Empty(t, w.Unfinished(), "seed %d", seed)
		require.Empty(t, w.Violations)
	}
}

// TestFaultyMachineFound: what fails while others run the same jobs well is the
// machine, also beside jobs that fail everywhere.
func TestFaultyMachineFound(t *testing.T) {
	w := newCluster(t, 5, 2)
	w.Capacity = 0
	w.machines[1].faulty = true
	mistaken, _ := testJob(400, 0)
	mistaken.Tasks = 6
	w.At(3*time.Second, func() { w.SubmitFailing(mistaken) })
	for n := range 40 {
		spec, run := testJob(n, 0)
		w.At(time.Duration(2+n)*time.Second, func() { w.Submit(spec, run) })
	}
	w.Run(50 * time.Second)
	n := w.controllers[0]
	n.lastRequest++
	var faulty []wire.MachineID
	n.replyHandlers[n.lastRequest] = func(r controller.Reply) {
		for _, m := range r.Body.([]wire.AdminMachine) {
			if m.Faulty {
				faulty = append(faulty, m.ID)
			}
		}
	}
	w.step(n, controller.ViewRequested{Request: n.lastRequest, View: wire.ViewMachines})
	w.Run(80 * time.Second)
	require.Equal(t, []wire.MachineID{w.machines[1].id}, faulty)
	require.Empty(t, w.Unfinished())
	require.Empty(t, w.Violations)
}
