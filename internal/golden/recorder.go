package golden

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
)

// Recorder is an HTTP handler that records requests, one line each, and answers with the fixed
// body for the method and path.
type Recorder struct {
	// Answers are the bodies by method and path, as in "GET /up". The answer to any other
	// request is 404.
	Answers map[string]string

	mu       sync.Mutex
	requests bytes.Buffer
}

// ServeHTTP implements http.Handler.
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
	answer, ok := r.Answers[request.Method+" "+request.URL.Path]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A caller that has gone away fails its own test.
	_, _ = io.WriteString(w, answer)
}

// Requests returns the requests so far.
func (r *Recorder) Requests() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bytes.Clone(r.requests.Bytes())
}
