package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/sockets"
	"lilacrill/wire"
)

// TestDirectCallsBounded guards against calls that pile up, with a socket each,
// when many machines hang at once and each leaves its orders and questions
// unanswered for seconds. Replicas still come back soon, and all work ends.
//
// It also guards against asking in the order of names: the first few that hang were
// asked over and over, and one with replicas that came later was found silent late.
func TestDirectCallsBounded(t *testing.T) {
	for seed := range uint64(12) {
		checkDirectCallsBounded(t, seed)
	}
}

func checkDirectCallsBounded(t *testing.T, seed uint64) {
	set := testSettings()
	set.Cluster.Teams[0].CPUsMax, set.Cluster.Teams[1].CPUsMax = 400, 400
	set.Cluster.Quota.Sockets = 160
	w := NewCluster(set, machineTypes, 2, seed)
	w.Capacity = 60
	for i := range 90 {
		w.AddMachine(machineTypes[0], zones[i%3], false, 0)
	}
	w.Start(0)
	w.Start(1)
	for n := range 30 {
		spec, run := testJob(2*n, 0)
		spec.Tasks = 16
		w.At(time.Duration(2+n/2)*time.Second, func() { w.Submit(spec, run+8*time.Second) })
	}
	service, _ := testJob(999, 1)
	service.Tasks = 8
	w.At(time.Second, func() { w.Submit(service, 0) })
	w.Run(12 * time.Second)
	for i, m := range w.machines {
		if i%2 == 0 {
			m.hung = true
			w.At(40*time.Second, m.resume)
		}
	}
	for n := range 30 {
		w.CancelJob(wire.JobID(fmt.Sprintf("wk-%06d", 2*n)))
	}
	w.Run(15 * time.Second)
	running := 0
	w.eachActiveTask(func(m *fakeMachine, tk *fakeTask) {
		if tk.id.Job == service.ID && !m.hung {
			running++
		}
	})
	require.Equal(t, 8, running, "seed %d: replicas on machines that answer", seed)
	w.Run(150 * time.Second)
	for _, n := range w.controllers {
		require.LessOrEqual(t, n.maxDirectCalls, sockets.Share(&set).Direct, fmt.Sprint("rig-", n.index))
		require.Greater(t, n.maxDirectCalls, 4, "the test does not come near the bound")
	}
	require.Empty(t, w.Violations)
	require.Empty(t, w.Unfinished())
}
