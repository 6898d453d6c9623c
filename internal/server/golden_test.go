package server

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/golden"
)

// TestGoldenResponses compares the responses to users, workers and health checks with the golden
// file.
func TestGoldenResponses(t *testing.T) {
	var settings config.Settings
	settings.Cluster.Quota.Sockets = 500
	server := New(&settings, readyBackend{}, "", slog.New(slog.NewTextHandler(io.Discard, nil)))
	const job = `{"id":"wk-000412","jobclass":"train","crew":"vision","shape":"group","rank":"high","loads":16,` +
		`"cores":8.0,"accelerators":1.0,"mem_gb":64.0,"kit":"img-07","size_gb":6.2,"rigtypes":["g8"],"yard":null,` +
		`"together":true,"apart":false,"loaners":true,"runtime_s":240.0,"savepoint_s":30.0,"stash_s":4.0,"due_s":900.0}`
	var transcript bytes.Buffer
	for _, request := range []struct{ method, path, body string }{
		{http.MethodGet, "/up", ""},
		{http.MethodPost, "/work", job},
		{http.MethodPost, "/work", `{}`},
		{http.MethodPost, "/work", `[]`},
		{http.MethodGet, "/work/wk-000412", ""},
		{http.MethodGet, "/work/nonsense", ""},
		{http.MethodPost, "/work/wk-000412/cancel", ""},
		{http.MethodPost, "/work/nonsense/cancel", ""},
		{http.MethodPost, "/hello", heartbeat},
		{http.MethodPost, "/hello", `{}`},
		{http.MethodGet, "/admin/v1/jobs", ""},
	} {
		response, err := server.app.Test(httptest.NewRequest(request.method, request.path, strings.NewReader(request.body)))
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		fmt.Fprintf(&transcript, "%s %s %s\n%d [%s] %s\n", request.method, request.path, request.body,
			response.StatusCode, response.Header.Get("Content-Type"), body)
	}
	golden.Compare(t, "answers.txt", transcript.Bytes())
}
