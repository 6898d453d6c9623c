package core

import (
	"io"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// TestUnwrittenDraft guards against taking a page for written that a round only
// drafted and demanded: its next write would demand a version that never was,
// and fail until somebody else wrote the page.
func TestUnwrittenDraft(t *testing.T) {
	set := &config.Settings{Cluster: config.Cluster{Zones: []string{"east"}, State: config.State{ValueKB: 8, TxnOps: 12, RPS: 100, WriteRPS: 50}}}
	c := New(set, slog.New(slog.NewTextHandler(io.Discard, nil)), 1)
	p := &page{key: record.PlacementKey("blue", "east", 0), team: "blue", zone: "east", version: 5}
	c.turn(p)
	c.keyVersions[p.key] = p.version
	r := c.newRound(c.teamOf("blue"))
	c.draft(r, p)
	r.places = true
	c.write(r)
	require.Empty(t, c.out, "nothing changed, so nothing is written")
	r.conds[p.key] = p.version
	c.adopt(r, 9)
	require.Equal(t, wire.Revision(5), c.keyVersions[p.key])
	require.Equal(t, wire.Revision(5), c.teamOf("blue").pages[p.key].version)
}
