package controller

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// TestSumsDoNotDependOnMapOrder checks that sums of fractions of cores are the same every
// time, both where operators see them and where they decide whether a job is deferred.
// Floating-point sums in the random iteration order of a map would differ in rounding, and
// replaying the inputs of a controller would give other results.
func TestSumsDoNotDependOnMapOrder(t *testing.T) {
	settings := &config.Settings{Label: "rig-0", Cluster: config.Cluster{Zones: []string{"east", "north", "west"},
		Teams: []config.Team{{Name: "desk"}}, Workers: config.Workers{ReportS: 2, LeaseS: 15},
		State: config.State{ValueKB: 8, TxnOps: 12, RPS: 100, WriteRPS: 50}}}
	sums := func(work float64) (used float64, late bool) {
		c := newTestController(settings)
		for i, zone := range settings.Cluster.Zones {
			c.replacePage(&page{key: record.PlacementKey("desk", zone, 0), team: "desk", zone: zone, allocations: []Allocation{{
				AllocationHeader: record.AllocationHeader{Job: "wk-000001", Attempt: 1, Cores: float64(i+1) / 10}, Machine: "m-000001", Tasks: record.Span(0, 1)}}})
		}
		c.provisioner.catalogue = []wire.MachineType{{Name: "c4", Cores: 4, MemGB: 16, Zones: settings.Cluster.Zones}}
		machine := c.machine("m-000001")
		machine.machineType, machine.zone, machine.latestHeartbeat = "c4", "east", &wire.Heartbeat{}
		require.True(t, c.acceptsTasks(machine))
		for i := range 8 {
			service := c.addJob(wire.JobID(fmt.Sprintf("wk-%06d", 100+i)))
			service.spec = wire.JobSpec{Shape: wire.ShapeService, Tasks: 1, Cores: float64(i+1) / 10}
			service.request = placement.NewRequest(&service.spec)
		}
		pending := []pendingJob{{job: &job{spec: wire.JobSpec{Tasks: 1, Cores: 1, RuntimeS: work}}, missing: record.Span(0, 1), deadline: 1000}}
		late = c.deferLargestLateJobs(pending)
		return c.viewTeams()[0].CPUsUsed, late
	}
	// Finds the maximum work for which a job is not deferred, by bisection.
	low, high := 0.0, 4.0
	for range 60 {
		if _, late := sums((low + high) / 2); late {
			high = (low + high) / 2
		} else {
			low = (low + high) / 2
		}
	}
	require.InDelta(t, 4-3.6, low, 1e-9)
	used, _ := sums(low)
	for range 100 {
		again, late := sums(low)
		require.Equal(t, used, again)
		require.False(t, late)
		_, late = sums(high)
		require.True(t, late)
	}
}
