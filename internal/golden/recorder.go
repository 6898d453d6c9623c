package golden

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Recorder is an HTTP handler that records requests, one line each, and responds with a fixed body
// for each method and path.
type Recorder struct {
	// Responses holds the response bodies by method and path, as in "GET /up". Any other request is
	// answered with status 404.
	Responses map[string]string

	mu       sync.Mutex
	requests bytes.Buffer
}

// ServeHTTP implements the http.Handler interface.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.requests, "%s %s [%s] [%s] %s\n", request.Method, request.URL,
		request.Header.Get("Content-Type"), request.Header.Get("Authorization"), body)
	answer, ok := r.Responses[request.Method+" "+request.URL.Path]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A client that has closed the connection fails its own test, so the error is ignored here.
	_, _ = io.WriteString(w, answer)
}

// Requests returns the requests recorded so far.
func (r *Recorder) Requests() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bytes.Clone(r.requests.Bytes())
}

// Start serves the recorder on a loopback address until the test ends, and returns the address.
func (r *Recorder) Start(t testing.TB) string {
	t.Helper()
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Encode returns a value as JSON.
func Encode(t testing.TB, value any) string {
	t.Helper()
	text, err := json.Marshal(value)
	require.NoError(t, err)
	return string(text)
}
