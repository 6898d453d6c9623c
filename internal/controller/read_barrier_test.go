package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// TestReadBarrierServesOnlyEarlierReaders checks that a reader that is queued while a request is in
// flight is not served by that request. The response may not include writes that were made between
// the request and the queueing of the reader.
func TestReadBarrierServesOnlyEarlierReaders(t *testing.T) {
	var served []string
	reader := func(name string) func(bool) { return func(bool) { served = append(served, name) } }
	serve := func(readers []func(bool)) {
		for _, then := range readers {
			then(true)
		}
	}
	var barrier readBarrier
	require.True(t, barrier.idle())
	require.False(t, barrier.ready(0), "no reader is queued")

	barrier.queued = append(barrier.queued, reader("first"))
	require.True(t, barrier.ready(0))
	barrier.begin(Time(time.Second))
	barrier.queued = append(barrier.queued, reader("second"))
	require.False(t, barrier.ready(Time(time.Minute)), "one request at a time")
	serve(barrier.end())
	require.Equal(t, []string{"first"}, served)

	require.False(t, barrier.idle())
	require.False(t, barrier.ready(Time(time.Second)-1), "before the rate allows it")
	require.True(t, barrier.ready(Time(time.Second)))
	barrier.begin(Time(2 * time.Second))
	serve(barrier.end())
	require.Equal(t, []string{"first", "second"}, served)
	require.True(t, barrier.idle())
}

// TestReadBarrierFailsAfterReload checks that a response is not applied, and that the readers are
// notified of the failure, if the cache was reloaded at an earlier revision while the request was
// in flight. The response would leave a gap in the changes.
func TestReadBarrierFailsAfterReload(t *testing.T) {
	c := newTestController(&config.Settings{Label: "rig-0", Cluster: config.Cluster{State: config.State{ValueKB: 8, RPS: 100}}})
	c.cache.loadState, c.cache.revision = cacheLoaded, 100
	var results []bool
	c.readBarrier(func(ok bool) { results = append(results, ok) })
	c.cache.revision = 90
	response := wire.WatchResponse{Revision: 110, Events: []wire.ChangeEvent{{Put: record.FencingTokenKey, Value: []byte("7"), Version: 105}}}
	c.calls.pending[c.calls.lastID].complete(WatchResult{Response: response})
	require.Equal(t, []bool{false}, results)
	require.Equal(t, wire.Revision(90), c.cache.revision)
	require.Zero(t, c.cache.token)
}
