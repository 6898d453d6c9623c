package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newBusyFleet is three controllers with so many machines, on each of which something runs.
func newBusyFleet(machines int) *Cluster {
	set := testSettings()
	set.Cluster.Teams[1].CPUsMax = 1000
	w := NewCluster(set, machineTypes, 3, 1)
	for i := range machines {
		w.AddMachine(machineTypes[0], zones[i%3], false, 0)
	}
	for i := range w.controllers {
		w.Start(i)
	}
	spec, _ := testJob(1, 0)
	spec.Tasks = 2 * machines
	w.At(2*time.Second, func() { w.Submit(spec, time.Hour) })
	w.Run(30 * time.Second)
	return w
}

// TestArrivalsWithInboundCutAreFound guards the reason for which workers that come are asked at
// all: many that came because nothing reaches them are still told from the others.
func TestArrivalsWithInboundCutAreFound(t *testing.T) {
	w := newBusyFleet(80)
	for _, m := range w.machines[:8] {
		m.inboundPartitioned = true
	}
	w.Run(w.Lease - time.Second)
	unreachable := 0
	for _, m := range w.machines[:8] {
		if m.terminated {
			unreachable++
		}
	}
	require.Equal(t, 8, unreachable, "returned before their leases run out")
	require.Empty(t, w.Violations)
}
