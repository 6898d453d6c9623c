package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

// controllerCounts is what the controllers have counted, added up.
func (w *Cluster) controllerCounts() map[string]uint64 {
	sum := map[string]uint64{}
	for _, n := range w.controllers {
		if n.controller == nil {
			continue // it is down
		}
		n.lastRequest++
		for _, o := range n.controller.Step(w.now-n.startedAt, 0, controller.ViewRequested{Request: n.lastRequest, View: wire.ViewMetrics}) {
			if r, ok := o.(controller.Reply); ok && r.Request == n.lastRequest {
				for name, v := range r.Body.(wire.AdminMetrics).Counts {
					sum[name] += v
				}
			}
		}
	}
	return sum
}

// TestIdleCostsLittle counts the work of half a minute in which nothing but unchanged
// reports comes: what small shares were gained by must not be lost unnoticed.
func TestIdleCostsLittle(t *testing.T) {
	for _, share := range []float64{0.05, 1} {
		set := testSettings()
		set.Cluster.Quota.CoreShare = share
		set.Cluster.Teams[1].CPUsMax = 400
		w := NewCluster(set, machineTypes, 3, 1)
		for i := range 120 {
			w.AddMachine(machineTypes[0], zones[i%3], false, 0)
		}
		for i := range w.controllers {
			w.Start(i)
		}
		spec, _ := testJob(1, 1)
		spec.Tasks = 300
		w.At(2*time.Second, func() { w.Submit(spec, 0) })
		w.Run(60 * time.Second)
		before := w.controllerCounts()
		w.Run(30 * time.Second)
		after := w.controllerCounts()
		work := func(name string) int { return int(after[name] - before[name]) }
		require.Less(t, work("records_searched_for_proofs"), 5, "unchanged reports prove nothing new, share %v", share)
		// The buyer looks at what waits now and then, slower with a small share.
		require.Less(t, work("planning_passes"), map[float64]int{0.05: 35, 1: 65}[share], "share %v", share)
		require.Less(t, work("commits"), 30, "share %v", share)
		require.Empty(t, w.Violations)
	}
}

// TestUnchangedReportAllocates bounds what a worker's report costs that says nothing
// new: hundreds come every second.
func TestUnchangedReportAllocates(t *testing.T) {
	w := newCluster(t, 1, 1)
	spec, _ := testJob(1, 1)
	spec.Tasks = 8
	w.At(2*time.Second, func() { w.Submit(spec, 0) })
	w.Run(20 * time.Second)
	n := w.controllers[0]
	var m *fakeMachine
	for _, x := range w.machines {
		if len(x.tasks) > 0 {
			m = x
		}
	}
	reports := make([]*wire.Heartbeat, 300)
	for i := range reports {
		reports[i] = m.heartbeat()
	}
	i := 0
	allocs := testing.AllocsPerRun(len(reports)-2, func() {
		n.controller.Step(w.now-n.startedAt, 0, controller.HeartbeatReceived{Request: controller.RequestID(1_000_000 + i), Heartbeat: reports[i]})
		i++
	})
	require.Less(t, allocs, 25.0)
}
