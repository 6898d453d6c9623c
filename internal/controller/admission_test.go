package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// TestRetryDelaysAreStaggered checks that submissions that cannot be taken are refused in the same
// step, and that users are advised to retry one after another. If all retried at once, most would
// be refused again.
func TestRetryDelaysAreStaggered(t *testing.T) {
	settings := &config.Settings{Label: "rig-0", Cluster: config.Cluster{Zones: []string{"east"},
		Teams: []config.Team{{Name: "guest"}}, State: config.State{ValueKB: 8, TxnOps: 12, RPS: 100, WriteRPS: 50}}}
	c := newTestController(settings)
	c.provisioner.catalogue = []wire.MachineType{{Name: "c4", Cores: 4, MemGB: 16, Zones: []string{"east"}}}
	c.membership.ready, c.cache.loadState = true, cacheLoaded
	accepted, lastDelay := 0, time.Duration(0)
	for i := range 1000 {
		spec := wire.JobSpec{ID: wire.JobID(fmt.Sprintf("wk-%06d", i)), Team: "guest", Shape: wire.ShapeArray,
			Priority: wire.PriorityBestEffort, Tasks: 1, Cores: 1, MemGB: 1, Image: "img"}
		c.outputs = c.outputs[:0]
		c.submit(JobSubmitted{Request: RequestID(i), Spec: spec})
		require.Len(t, c.outputs, 1)
		reply, refused := c.outputs[0].(Reply)
		if !refused {
			accepted++
			continue
		}
		require.Equal(t, 503, reply.Status)
		require.LessOrEqual(t, reply.RetryAfter, maxRetryDelay)
		if accepted+100 > i {
			require.Greater(t, reply.RetryAfter, lastDelay, "each retry delay exceeds the one before")
			lastDelay = reply.RetryAfter
		}
	}
	require.InDelta(t, 34, accepted, 2, "submissions that can be written in 0.8 s")
}

// TestInfeasibleJobsAreRefusedWithReason checks which jobs are refused because they can never run,
// and the reason given for each.
func TestInfeasibleJobsAreRefusedWithReason(t *testing.T) {
	c := newTestController(&config.Settings{Label: "rig-0", Cluster: config.Cluster{Zones: []string{"east", "west"},
		Teams: []config.Team{{Name: "desk", CPUs: 10, CPUsMax: 10}}, State: config.State{ValueKB: 8, TxnOps: 12, RPS: 100, WriteRPS: 50}}})
	c.provisioner.catalogue = []wire.MachineType{
		{Name: "c4", Cores: 4, MemGB: 16, Zones: []string{"east", "west"}},
		{Name: "c8", Cores: 8, MemGB: 16, Zones: []string{"east"}},
	}
	feasible := wire.JobSpec{ID: "wk-000001", Team: "desk", Shape: wire.ShapeGang, Priority: wire.PriorityNormal, Tasks: 2, Cores: 4, MemGB: 1}
	tests := []struct {
		name   string
		change func(*wire.JobSpec)
		want   error
	}{
		{"feasible", func(*wire.JobSpec) {}, nil},
		{"unknown team", func(s *wire.JobSpec) { s.Team = "nobody" }, errUnknownTeam},
		{"gang above the team's limit", func(s *wire.JobSpec) { s.Tasks = 3 }, errAboveTeamLimit},
		{"array whose tasks fit one by one", func(s *wire.JobSpec) { s.Shape, s.Tasks = wire.ShapeArray, 3 }, nil},
		{"single zone and spread over zones", func(s *wire.JobSpec) { s.SingleZone, s.SpreadZones = true, true }, errSingleAndSpread},
		{"spread over zones in a given zone", func(s *wire.JobSpec) { s.SpreadZones, s.Zone = true, "east" }, errSpreadInZone},
		{"task above every machine type", func(s *wire.JobSpec) { s.Tasks, s.Cores = 1, 9 }, errNoMachineType},
		{"spread over zones of which one has the machine type", func(s *wire.JobSpec) { s.SpreadZones, s.Cores = true, 5 }, errSpreadOverOneZone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			spec := feasible
			test.change(&spec)
			require.ErrorIs(t, c.checkFeasible(&spec), test.want)
		})
	}
}
