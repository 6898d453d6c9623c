package main

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/controller"
	"lilacrill/wire"
)

// TestPollsDoNotWaitBehindHeartbeats guards against heartbeats that fill the event loop's queue.
func TestPollsDoNotWaitBehindHeartbeats(t *testing.T) {
	settings := &config.Settings{Label: "rig-0", Zone: "east", Cluster: config.Cluster{Size: 1, State: config.State{RPS: 100, WriteRPS: 100, ValueKB: 8, TxnOps: 16},
		Quota: config.Quota{CoreShare: 1, MemMB: 200, Sockets: 2000}}}
	p := newProcess(settings, slog.New(slog.DiscardHandler), nil)
	enqueueHeartbeat := func() bool {
		_, ok := p.Enqueue(func(id controller.RequestID) controller.Input {
			machine := wire.MachineID(fmt.Sprint("m-", id%4000))
			return controller.HeartbeatReceived{Request: id, Heartbeat: &wire.Heartbeat{Machine: machine, Addr: "127.0.0.1:1", Type: "c4", Zone: "east", AgentEpoch: 1}}
		})
		return ok
	}
	for enqueueHeartbeat() {
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		for ctx.Err() == nil {
			enqueueHeartbeat()
		}
	})
	defer running.Wait()
	defer stop()
	for n := range 20 {
		poll, ok := p.Enqueue(func(id controller.RequestID) controller.Input {
			return controller.JobPolled{Request: id, Job: "wk-000001"}
		})
		require.True(t, ok, "the poll is refused")
		if n == 0 {
			running.Go(func() { _ = p.runEventLoop(ctx) })
		}
		select {
		case <-poll:
		case <-time.After(10 * time.Second):
			require.Fail(t, "the poll is not answered")
		}
	}
}
