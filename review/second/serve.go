package second

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
)

// connKey is the key of a connection's *connInfo in the contexts of its requests.
type connKey struct{}

// connInfo says how a connection to a stand-in was opened.
type connInfo struct {
	node      int  // the controller that opened it; -1 if unknown
	epoch     int  // of the address of a machine
	duringCut bool // it was opened while the controller was cut off
}

// gateOf returns the gate between a controller and a stand-in. It may return nil.
type gateOf func(node int) *gate

// serve serves a handler on a free loopback port. identify says which controller opened
// a connection. Requests wait at the gate, and those over connections that were opened during a cut are
// dropped when it ends.
func serve(handler http.Handler, identify func(net.Conn) connInfo, gates gateOf) (*http.Server, string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("stand-in: %w", err)
	}
	server := &http.Server{
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			info := identify(conn)
			if g := gates(info.node); g != nil {
				info.duringCut = g.isClosed()
			}
			return context.WithValue(ctx, connKey{}, &info)
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			info := r.Context().Value(connKey{}).(*connInfo)
			if g := gates(info.node); g != nil {
				g.wait()
			}
			if info.duringCut {
				panic(http.ErrAbortHandler) // it never reached the stand-in
			}
			handler.ServeHTTP(w, r)
		}),
	}
	go func() { _ = server.Serve(listener) }() // it ends when the server is closed
	return server, listener.Addr().String(), nil
}

// writeJSON answers a request.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller has gone
}

// refusal is the body of an answer that refuses a request.
type refusal struct {
	Error string `json:"error"`
}
