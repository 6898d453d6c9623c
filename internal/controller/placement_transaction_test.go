package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// TestUnwrittenStagedPageKeepsItsVersion guards against treating a page as written that a
// transaction only staged and named in its conditions. The next write of the page would then
// require a version that never existed, and conflict until another controller wrote the page.
func TestUnwrittenStagedPageKeepsItsVersion(t *testing.T) {
	settings := &config.Settings{Cluster: config.Cluster{Zones: []string{"east"}, State: config.State{ValueKB: 8, TxnOps: 12, RPS: 100, WriteRPS: 50}}}
	c := newTestController(settings)
	head := &page{key: record.PlacementKey("blue", "east", 0), team: "blue", zone: "east", version: 5}
	c.replacePage(head)
	c.cache.keyVersions[head.key] = head.version
	txn := c.newPlacementTransaction(c.cache.team("blue"))
	txn.stagePage(head)
	txn.placesTasks = true
	c.commitPlacements(txn)
	require.Empty(t, c.outputs, "nothing changed, so nothing is written")
	txn.conditions[head.key] = head.version
	c.applyCommittedPages(txn, 9)
	require.Equal(t, wire.Revision(5), c.cache.keyVersions[head.key])
	require.Equal(t, wire.Revision(5), c.cache.team("blue").pages[head.key].version)
}
