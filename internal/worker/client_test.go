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

// TestConnectionsBounded guards against a connection kept to each of thousands of
// machines: those that were used longest ago are closed, and calling again works.
func TestConnectionsBounded(t *testing.T) {
	const bound = 4
	var addrs []string
	for range 12 {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"rig":"m-000001","addr":"10.0.0.1:9000","rigtype":"c4","yard":"a","shift":1,"tally":1,"baton":0,"loads":[]}`)
		}))
		defer s.Close()
		addrs = append(addrs, strings.TrimPrefix(s.URL, "http://"))
	}
	c := New(slog.New(slog.NewTextHandler(io.Discard, nil)), bound)
	for range 2 {
		for _, addr := range addrs {
			done := make(chan controller.WorkerResponse, 1)
			c.Show(addr, func(a controller.WorkerResponse) { done <- a })
			require.NotNil(t, (<-done).Heartbeat)
			c.mu.Lock()
			require.LessOrEqual(t, len(c.workers), bound)
			require.Equal(t, len(c.workers), c.recent.Len())
			c.mu.Unlock()
		}
	}
}
