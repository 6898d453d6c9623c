package standin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fleetOf is three controllers with so many machines, on each of which something runs.
func fleetOf(machines int) *World {
	set := settings()
	set.Cluster.Teams[1].CPUsMax = 1000
	w := New(set, types, 3, 1)
	for i := range machines {
		w.AddMachine(types[0], zones[i%3], false, 0)
	}
	for i := range w.nodes {
		w.Start(i)
	}
	spec, _ := job(1, 0)
	spec.Tasks = 2 * machines
	w.At(2*time.Second, func() { w.Submit(spec, time.Hour) })
	w.Run(30 * time.Second)
	return w
}

// asked counts the direct questions to workers while the world runs for so long.
func (w *World) asked(d time.Duration) int {
	const name = "workers_asked"
	before := w.counts()[name]
	w.Run(d)
	return int(w.counts()[name] - before)
}

// TestArrivalsAreNotAllAsked guards against what the end of a controller cost the
// others: each worker that came to them was called back over a connection of its own.
func TestArrivalsAreNotAllAsked(t *testing.T) {
	w := fleetOf(180)
	w.Stop(0)
	require.Less(t, w.asked(20*time.Second), 100, "some sixty workers came")
	require.Empty(t, w.Broken)
}

// TestSilentMachinesAreAskedLessOften guards against asking each machine that hangs
// once a second for as long as it hangs. What hangs is still given up.
func TestSilentMachinesAreAskedLessOften(t *testing.T) {
	w := fleetOf(60)
	w.CutOff(zones[0], 0, time.Hour)
	require.Less(t, w.asked(60*time.Second), 1000, "twenty machines cannot be reached, and forty by the controller among them")
	for _, m := range w.machines[:1] {
		require.Equal(t, zones[0], m.zone)
	}
	m := w.machines[1]
	m.hung = true
	w.Run(20 * time.Second)
	require.True(t, m.dead, "a machine that hangs is returned")
	require.Empty(t, w.Broken)
}

// TestDeafArrivalsAreFound guards the reason for which workers that come are asked at
// all: many that came because nothing reaches them are still told from the others.
func TestDeafArrivalsAreFound(t *testing.T) {
	w := fleetOf(80)
	for _, m := range w.machines[:8] {
		m.inboundCut = true
	}
	w.Run(w.Lease - time.Second)
	unreachable := 0
	for _, m := range w.machines[:8] {
		if m.dead {
			unreachable++
		}
	}
	require.Equal(t, 8, unreachable, "returned before their leases run out")
	require.Empty(t, w.Broken)
}
