package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// TestCacheIgnoresOlderChanges checks that a key keeps its newest value, and that a deleted key
// stays deleted until the watch has passed its deletion, after which no older change can arrive.
// Changes come both from the watch and from the controller's own transactions, so they may arrive
// twice and out of order.
func TestCacheIgnoresOlderChanges(t *testing.T) {
	var cache stateCache
	cache.init()
	require.True(t, cache.advanceVersion("key", 5, false))
	require.False(t, cache.advanceVersion("key", 5, false), "the same change again")
	require.False(t, cache.advanceVersion("key", 4, true), "an older deletion")
	require.True(t, cache.advanceVersion("key", 7, true))
	cache.revision = 6
	cache.forgetDeletedKeys()
	require.False(t, cache.advanceVersion("key", 6, false), "written before the deletion")
	cache.revision = 7
	cache.forgetDeletedKeys()
	require.Empty(t, cache.keyVersions)
	require.Empty(t, cache.deletedKeys)
}

// TestTokenIsTakenFromTheWatchOnly checks that the cache does not take the fencing token from the
// controller's own transaction. A command with a raised token must be based on everything that was
// written before the token was raised. The result of the controller's own transaction contains the
// token, but not the earlier writes of other controllers.
func TestTokenIsTakenFromTheWatchOnly(t *testing.T) {
	c := newTestController(&config.Settings{Label: "rig-0", Cluster: config.Cluster{State: config.State{ValueKB: 8, RPS: 100, WriteRPS: 50}}})
	c.commit(PriorityLease, wire.Transaction{Then: []wire.Change{c.putChange(record.FencingTokenKey, wire.FencingToken(3))}}, func(CommitResult) {})
	c.calls.pending[c.calls.lastID].complete(CommitResult{Revision: 12})
	require.Zero(t, c.cache.token)
	require.Equal(t, wire.Revision(12), c.cache.ownRevision)
	event := wire.ChangeEvent{Put: record.FencingTokenKey, Value: []byte("3"), Version: 12}
	require.True(t, c.applyWatchResult(WatchResult{Response: wire.WatchResponse{Revision: 12, Events: []wire.ChangeEvent{event}}}))
	require.Equal(t, wire.FencingToken(3), c.cache.token)
}
