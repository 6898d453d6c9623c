package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

// counts is what the controllers have counted, added up.
func (w *World) counts() map[string]uint64 {
	sum := map[string]uint64{}
	for _, n := range w.nodes {
		if n.core == nil {
			continue // it is down
		}
		n.request++
		for _, o := range n.core.Step(w.now-n.born, 0, controller.ViewRequested{Request: n.request, View: wire.ViewMetrics}) {
			if r, ok := o.(controller.Reply); ok && r.Request == n.request {
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
		set := settings()
		set.Cluster.Quota.CoreShare = share
		set.Cluster.Teams[1].CPUsMax = 400
		w := New(set, types, 3, 1)
		for i := range 120 {
			w.AddMachine(types[0], zones[i%3], false, 0)
		}
		for i := range w.nodes {
			w.Start(i)
		}
		spec, _ := job(1, 1)
		spec.Tasks = 300
		w.At(2*time.Second, func() { w.Submit(spec, 0) })
		w.Run(60 * time.Second)
		before := w.counts()
		w.Run(30 * time.Second)
		after := w.counts()
		work := func(name string) int { return int(after[name] - before[name]) }
		require.Less(t, work("records_searched_for_proofs"), 5, "unchanged reports prove nothing new, share %v", share)
		// The buyer looks at what waits now and then, slower with a small share.
		require.Less(t, work("planning_passes"), map[float64]int{0.05: 35, 1: 65}[share], "share %v", share)
		require.Less(t, work("commits"), 30, "share %v", share)
		require.Empty(t, w.Broken)
	}
}

// TestUnchangedReportAllocates bounds what a worker's report costs that says nothing
// new: hundreds come every second.
func TestUnchangedReportAllocates(t *testing.T) {
	w := newWorld(t, 1, 1)
	spec, _ := job(1, 1)
	spec.Tasks = 8
	w.At(2*time.Second, func() { w.Submit(spec, 0) })
	w.Run(20 * time.Second)
	n := w.nodes[0]
	var m *machine
	for _, x := range w.machines {
		if len(x.tasks) > 0 {
			m = x
		}
	}
	reports := make([]*wire.Heartbeat, 300)
	for i := range reports {
		reports[i] = m.report()
	}
	i := 0
	allocs := testing.AllocsPerRun(len(reports)-2, func() {
		n.core.Step(w.now-n.born, 0, controller.HeartbeatReceived{Request: controller.RequestID(1_000_000 + i), Heartbeat: reports[i]})
		i++
	})
	require.Less(t, allocs, 25.0)
}
