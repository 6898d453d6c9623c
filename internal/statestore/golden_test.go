package statestore

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/core"
	"lilacrill/internal/golden"
	"lilacrill/wire"
)

// startClient makes a client of the server that recorder answers for.
func startClient(t *testing.T, recorder *golden.Recorder) *Client {
	server := httptest.NewServer(recorder)
	client := New(&config.Settings{
		Services: config.Services{State: strings.TrimPrefix(server.URL, "http://")},
		Cluster:  config.Cluster{State: config.State{RPS: 1000, WriteRPS: 1000}, Quota: config.Quota{Sockets: 500}},
	}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	done := make(chan struct{})
	go client.Serve(done)
	t.Cleanup(func() {
		close(done)
		server.Close()
	})
	return client
}

// TestGoldenRequests holds what is sent to the state service, and reads answers with all
// fields set.
func TestGoldenRequests(t *testing.T) {
	var entry wire.Entry
	var entries wire.EntryList
	var committed wire.TransactionResponse
	var feed wire.WatchResponse
	golden.NewFiller(2).Fill(&entry)
	golden.NewFiller(2).Fill(&entries)
	golden.NewFiller(2).Fill(&committed)
	golden.NewFiller(2).Fill(&feed)
	entries.More = false
	recorder := &golden.Recorder{Answers: map[string]string{
		"GET /kv/a/b":           encode(t, entry),
		"GET /kv":               encode(t, entries),
		"POST /multi":           encode(t, committed),
		"GET /follow":           encode(t, feed),
		"POST /leases":          `{"permit":7}`,
		"POST /leases/7/extend": `{}`,
	}}
	client := startClient(t, recorder)

	fetched := make(chan core.GetResult, 1)
	client.Fetch(core.GetKey{Key: "a/b"}, func(r core.GetResult) { fetched <- r })
	require.Equal(t, core.GetResult{Outcome: core.Succeeded, Value: entry.Value, Version: entry.Version}, <-fetched)

	loaded := make(chan core.LoadResult, 1)
	client.Load(core.LoadKeys{Prefixes: []string{"l/j/", "l/p/"}}, func(r core.LoadResult) { loaded <- r })
	require.Equal(t, core.LoadResult{Outcome: core.Succeeded, Entries: append(entries.Entries, entries.Entries...),
		First: entries.Revision, Last: entries.Revision}, <-loaded)

	var transaction wire.Transaction
	golden.NewFiller(2).Fill(&transaction)
	commit := make(chan core.CommitResult, 1)
	client.Commit(core.Commit{Txn: transaction}, func(r core.CommitResult) { commit <- r })
	require.Equal(t, core.CommitResult{Outcome: core.Succeeded, Revision: committed.Revision, Failed: committed.Failed}, <-commit)

	fed := make(chan core.WatchResult, 1)
	for _, block := range []time.Duration{0, time.Second} {
		client.Follow(core.Watch{Prefix: "l/", After: 431, Block: block}, func(r core.WatchResult) { fed <- r })
		require.Equal(t, core.WatchResult{Outcome: core.Succeeded, Response: feed}, <-fed)
	}

	granted := make(chan core.LeaseResult, 1)
	client.Grant(core.GrantLease{TTL: 5 * time.Second}, func(r core.LeaseResult) { granted <- r })
	require.Equal(t, core.LeaseResult{Outcome: core.Succeeded, LeaseID: 7}, <-granted)
	client.Extend(core.RenewLease{LeaseID: 7}, func(r core.LeaseResult) { granted <- r })
	require.Equal(t, core.LeaseResult{Outcome: core.Succeeded, LeaseID: 7}, <-granted)

	golden.Compare(t, "requests.txt", recorder.Requests())
}

func encode(t *testing.T, v any) string {
	text, err := json.Marshal(v)
	require.NoError(t, err)
	return string(text)
}
