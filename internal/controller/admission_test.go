package controller

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// TestRefusedUsersAreSpread: what cannot be taken is refused in the same step, and
// users are told to come back one after the other, not all at once.
func TestRefusedUsersAreSpread(t *testing.T) {
	settings := &config.Settings{Label: "rig-0", Cluster: config.Cluster{Zones: []string{"east"},
		Teams: []config.Team{{Name: "guest"}}, State: config.State{ValueKB: 8, TxnOps: 12, RPS: 100, WriteRPS: 50}}}
	c := New(settings, slog.New(slog.NewTextHandler(io.Discard, nil)), 1)
	c.provisioner.catalogue = []wire.MachineType{{Name: "c4", Cores: 4, MemGB: 16, Zones: []string{"east"}}}
	c.membership.ready, c.membership.loaded = true, true
	taken, last := 0, time.Duration(0)
	for i := range 1000 {
		spec := wire.JobSpec{ID: wire.JobID(fmt.Sprintf("wk-%06d", i)), Team: "guest", Shape: wire.ShapeArray,
			Priority: wire.PriorityBestEffort, Tasks: 1, Cores: 1, MemGB: 1, Image: "img"}
		c.outputs = c.outputs[:0]
		c.submit(JobSubmitted{Request: RequestID(i), Spec: spec})
		require.Len(t, c.outputs, 1)
		reply, refused := c.outputs[0].(Reply)
		if !refused {
			taken++
			continue
		}
		require.Equal(t, 503, reply.Status)
		require.LessOrEqual(t, reply.RetryAfter, maxRetryDelay)
		if taken+100 > i {
			require.Greater(t, reply.RetryAfter, last, "a time of its own")
			last = reply.RetryAfter
		}
	}
	require.InDelta(t, 34, taken, 2, "0.8 s worth of writes")
}
