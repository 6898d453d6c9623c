package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

type object map[string]any

// loopback is a free port of a loopback address of this process, so that no other process takes a port
// between its choice and its use. freeHost is another such address for FreeAddr, so that no listener of
// this process takes it either.
var (
	octet    = rand.IntN(octets)
	loopback = fmt.Sprintf("127.%d.%d.1:0", minOctet+octet, 1+rand.IntN(octets))
	freeHost = fmt.Sprintf("127.%d.%d.2:0", minOctet+octet, 1+rand.IntN(octets))
	given    sync.Map // addresses that FreeAddr has returned
)

const minOctet, octets = 10, 200

// answer sends a JSON body.
func answer(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err) // cannot happen: the stand-ins encode only bodies that they made themselves
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded) // an error means that the caller has gone
}

// readBody reads a body of at most limit bytes.
func readBody(r *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	return body, err == nil && int64(len(body)) <= limit
}

// Serve serves a handler on a free loopback port until ctx ends, and returns the address.
func Serve(ctx context.Context, handler http.Handler) (string, error) {
	return ServeAt(ctx, loopback, handler)
}

// ServeAt does the same at a given address.
func ServeAt(ctx context.Context, addr string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	go func() {
		<-ctx.Done()
		_ = server.Close() // calls in progress are dropped
	}()
	return listener.Addr().String(), nil
}

// FreeAddr returns a loopback address with a port that is free now, another one each time.
func FreeAddr() (string, error) {
	for {
		listener, err := net.Listen("tcp4", freeHost)
		if err != nil {
			return "", fmt.Errorf("listen: %w", err)
		}
		addr := listener.Addr().String()
		if err := listener.Close(); err != nil {
			return "", fmt.Errorf("close: %w", err)
		}
		if _, taken := given.LoadOrStore(addr, true); !taken {
			return addr, nil
		}
	}
}

// call makes one call with a JSON body, unless it is nil, and returns the status and the body of the
// answer. The status is 0 if there was no answer in time.
func call(client *http.Client, method, url string, body any, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err) // cannot happen, as above
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return 0, nil
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// newClient returns a client that keeps one connection to each address and follows no redirects.
func newClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
