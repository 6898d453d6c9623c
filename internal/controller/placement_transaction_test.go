package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// TestUnwrittenStagedPageKeepsItsVersion guards against taking a page for written that a transaction
// only staged and demanded: its next write would demand a version that never existed, and fail
// until another controller wrote the page.
func TestUnwrittenStagedPageKeepsItsVersion(t *testing.T) {
	set := &config.Settings{Cluster: config.Cluster{Zones: []string{"east"}, State: config.State{ValueKB: 8, TxnOps: 12, RPS: 100, WriteRPS: 50}}}
	c := newTestController(set)
	p := &page{key: record.PlacementKey("blue", "east", 0), team: "blue", zone: "east", version: 5}
	c.replacePage(p)
	c.cache.keyVersions[p.key] = p.version
	r := c.newPlacementTransaction(c.cache.team("blue"))
	r.stagePage(p)
	r.placesTasks = true
	c.commitPlacements(r)
	require.Empty(t, c.outputs, "nothing changed, so nothing is written")
	r.conditions[p.key] = p.version
	c.applyCommittedPages(r, 9)
	require.Equal(t, wire.Revision(5), c.cache.keyVersions[p.key])
	require.Equal(t, wire.Revision(5), c.cache.team("blue").pages[p.key].version)
}
