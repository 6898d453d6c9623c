package statestore

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/controller"
	"lilacrill/internal/golden"
	"lilacrill/wire"
)

// startClient starts a client whose requests are received and answered by recorder.
func startClient(t *testing.T, recorder *golden.Recorder) *Client {
	t.Helper()
	client := New(&config.Settings{
		Services: config.Services{State: recorder.Start(t)},
		Cluster:  config.Cluster{State: config.State{RPS: 1000, WriteRPS: 1000}, Quota: config.Quota{Sockets: 500}},
	}, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(context.Background())
	go client.Serve(ctx)
	t.Cleanup(stop)
	return client
}

// TestGoldenRequests compares the requests to the state store with the golden file, and decodes
// responses with all fields set.
func TestGoldenRequests(t *testing.T) {
	var entry wire.Entry
	var entries wire.EntryList
	var committed wire.TransactionResponse
	var watched wire.WatchResponse
	golden.NewFiller(2).Fill(&entry)
	golden.NewFiller(2).Fill(&entries)
	golden.NewFiller(2).Fill(&committed)
	golden.NewFiller(2).Fill(&watched)
	entries.More = false
	recorder := &golden.Recorder{Responses: map[string]string{
		"GET /kv/a/b":           golden.Encode(t, entry),
		"GET /kv":               golden.Encode(t, entries),
		"POST /multi":           golden.Encode(t, committed),
		"GET /follow":           golden.Encode(t, watched),
		"POST /leases":          `{"permit":7}`,
		"POST /leases/7/extend": `{}`,
	}}
	client := startClient(t, recorder)

	fetched := make(chan controller.GetResult, 1)
	client.Get(controller.GetKey{Key: "a/b"}, func(r controller.GetResult) { fetched <- r })
	require.Equal(t, controller.GetResult{Outcome: controller.Succeeded, Value: entry.Value, Version: entry.Version}, <-fetched)

	loaded := make(chan controller.LoadResult, 1)
	client.Load(controller.LoadKeys{Prefixes: []string{"l/j/", "l/p/"}}, func(r controller.LoadResult) { loaded <- r })
	require.Equal(t, controller.LoadResult{Outcome: controller.Succeeded, Entries: append(entries.Entries, entries.Entries...),
		First: entries.Revision, Last: entries.Revision}, <-loaded)

	var transaction wire.Transaction
	golden.NewFiller(2).Fill(&transaction)
	commit := make(chan controller.CommitResult, 1)
	client.Commit(controller.Commit{Txn: transaction}, func(r controller.CommitResult) { commit <- r })
	require.Equal(t, controller.CommitResult{Outcome: controller.Succeeded, Revision: committed.Revision, Failed: committed.Failed}, <-commit)

	changes := make(chan controller.WatchResult, 1)
	for _, block := range []time.Duration{0, time.Second} {
		client.Watch(controller.Watch{Prefix: "l/", After: 431, Block: block}, func(r controller.WatchResult) { changes <- r })
		require.Equal(t, controller.WatchResult{Outcome: controller.Succeeded, Response: watched}, <-changes)
	}

	granted := make(chan controller.LeaseResult, 1)
	client.GrantLease(controller.GrantLease{TTL: 5 * time.Second}, func(r controller.LeaseResult) { granted <- r })
	require.Equal(t, controller.LeaseResult{Outcome: controller.Succeeded, LeaseID: 7}, <-granted)
	client.RenewLease(controller.RenewLease{LeaseID: 7}, func(r controller.LeaseResult) { granted <- r })
	require.Equal(t, controller.LeaseResult{Outcome: controller.Succeeded, LeaseID: 7}, <-granted)

	golden.Compare(t, "requests.txt", recorder.Requests())
}
