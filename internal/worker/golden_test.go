package worker

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/controller"
	"lilacrill/internal/golden"
	"lilacrill/wire"
)

// TestGoldenRequests compares the requests to workers with the golden file, and decodes a response
// with all fields set.
func TestGoldenRequests(t *testing.T) {
	var heartbeat wire.Heartbeat
	golden.NewFiller(2).Fill(&heartbeat)
	response := golden.Encode(t, &heartbeat)
	recorder := &golden.Recorder{Responses: map[string]string{"POST /do": response, "GET /show": response}}
	addr := recorder.Start(t)
	client := New(slog.New(slog.DiscardHandler), 4)

	var request wire.CommandRequest
	golden.NewFiller(2).Fill(&request)
	want := controller.WorkerResponse{Outcome: controller.Succeeded, Executed: true, Heartbeat: &heartbeat}
	responses := make(chan controller.WorkerResponse, 1)
	client.SendCommands(addr, request, func(response controller.WorkerResponse) { responses <- response })
	require.Equal(t, want, <-responses)
	client.RequestHeartbeat(addr, func(response controller.WorkerResponse) { responses <- response })
	require.Equal(t, want, <-responses)
	golden.Compare(t, "requests.txt", recorder.Requests())
}
