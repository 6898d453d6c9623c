package worker

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/controller"
	"lilacrill/internal/golden"
	"lilacrill/wire"
)

// TestGoldenRequests holds what is sent to workers, and reads an answer with all fields set.
func TestGoldenRequests(t *testing.T) {
	var report wire.Heartbeat
	golden.NewFiller(2).Fill(&report)
	answer, err := json.Marshal(&report)
	require.NoError(t, err)
	recorder := &golden.Recorder{Answers: map[string]string{"POST /do": string(answer), "GET /show": string(answer)}}
	server := httptest.NewServer(recorder)
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	client := New(slog.New(slog.NewTextHandler(io.Discard, nil)), 4)

	var request wire.CommandRequest
	golden.NewFiller(2).Fill(&request)
	want := controller.WorkerResponse{Outcome: controller.Succeeded, Executed: true, Heartbeat: &report}
	answered := make(chan controller.WorkerResponse, 1)
	client.Do(addr, request, func(a controller.WorkerResponse) { answered <- a })
	require.Equal(t, want, <-answered)
	client.Show(addr, func(a controller.WorkerResponse) { answered <- a })
	require.Equal(t, want, <-answered)
	golden.Compare(t, "requests.txt", recorder.Requests())
}
