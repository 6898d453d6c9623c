package worker

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/controller"
)

// TestConnectionsBounded guards against keeping a connection to each of thousands of machines. The
// least recently used connections are closed, and calling their workers again works.
func TestConnectionsBounded(t *testing.T) {
	const bound = 4
	var addrs []string
	for range 3 * bound {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"rig":"m-000001","addr":"10.0.0.1:9000","rigtype":"c4","yard":"a","shift":1,"tally":1,"baton":0,"loads":[]}`)
		}))
		defer server.Close()
		addrs = append(addrs, strings.TrimPrefix(server.URL, "http://"))
	}
	client := New(slog.New(slog.NewTextHandler(io.Discard, nil)), bound)
	for range 2 {
		for _, addr := range addrs {
			done := make(chan controller.WorkerResponse, 1)
			client.RequestHeartbeat(addr, func(response controller.WorkerResponse) { done <- response })
			require.NotNil(t, (<-done).Heartbeat)
			client.mu.Lock()
			require.LessOrEqual(t, len(client.workers), bound)
			require.Equal(t, len(client.workers), client.lru.Len())
			client.mu.Unlock()
		}
	}
}
