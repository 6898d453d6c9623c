package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newBusyFleet is three controllers with so many machines, on each of which something runs.
func newBusyFleet(machines int) *Cluster {
	settings := testSettings()
	settings.Cluster.Teams[1].CPUsMax = 1000
	cluster := NewCluster(settings, machineTypes, 3, 1)
	for i := range machines {
		cluster.AddMachine(machineTypes[0], zones[i%3], false, 0)
	}
	for i := range cluster.controllers {
		cluster.Start(i)
	}
	spec, _ := testJob(1, 0)
	spec.Tasks = 2 * machines
	cluster.At(2*time.Second, func() { cluster.Submit(spec, time.Hour) })
	cluster.Run(30 * time.Second)
	return cluster
}

// TestArrivalsWithInboundCutAreFound guards the reason for which workers that come are asked at
// all: many that came because nothing reaches them are still told from the others.
func TestArrivalsWithInboundCutAreFound(t *testing.T) {
	cluster := newBusyFleet(80)
	for _, machine := range cluster.machines[:8] {
		machine.inboundPartitioned = true
	}
	cluster.Run(cluster.Lease - time.Second)
	unreachable := 0
	for _, machine := range cluster.machines[:8] {
		if machine.terminated {
			unreachable++
		}
	}
	require.Equal(t, 8, unreachable, "returned before their leases run out")
	require.Empty(t, cluster.Violations)
}
