package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// TestOldestCompletionsAreArchived checks that the oldest completions are moved to separate keys
// when there are more than maxCompletedInPlace. Each is moved by one transaction with conditions on
// both keys, so that a delayed copy of a submission never finds both keys missing. Archived
// completions stay in the cache.
func TestOldestCompletionsAreArchived(t *testing.T) {
	settings := &config.Settings{Label: "rig-0", Cluster: config.Cluster{Zones: []string{"east"},
		State: config.State{ValueKB: 8, TxnOps: 12, RPS: 100, WriteRPS: 50}}}
	c := newTestController(settings)
	name := func(i int) wire.JobID { return wire.JobID(fmt.Sprintf("wk-%06d", i)) }
	for i := range maxCompletedInPlace + 2 {
		c.apply(record.JobKey(name(i)), encodePlain(record.CompletedJob{Completion: record.Completion{Status: wire.StatusDone, Done: 1}}), wire.Revision(i+1))
	}
	c.now, c.writeBudget = Time(time.Hour), writeBudget{available: 20, refilledAt: Time(time.Hour)}
	c.archiveCompletedJobs()
	require.Len(t, c.outputs, 1)
	txn := c.outputs[0].(Commit).Txn
	require.Len(t, txn.Then, 4)
	for i := range 2 {
		require.Contains(t, txn.If, wire.Condition{Key: record.JobKey(name(i)), Version: wire.Revision(i + 1)})
		require.Contains(t, txn.If, wire.Condition{Key: record.CompletionKey(name(i))})
		require.Contains(t, txn.Then, wire.Change{Delete: record.JobKey(name(i))})
	}
	c.archiveCompletedJobs()
	require.Len(t, c.outputs, 1, "one at a time")
	c.calls.pending[c.calls.lastID].complete(CommitResult{Revision: 9000})
	require.Len(t, c.cache.completedJobs, maxCompletedInPlace)
	for i := range maxCompletedInPlace + 2 {
		completion, ok := c.cache.completion(name(i))
		require.True(t, ok)
		require.Equal(t, wire.StatusDone, completion.Status)
	}
	c.now += Time(time.Minute)
	c.archiveCompletedJobs()
	require.Len(t, c.outputs, 1, "few enough are left")
}
