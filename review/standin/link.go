package standin

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

const linkBuffer = 64 << 10

// Link carries TCP connections from a loopback address of its own to a target. While it is interrupted
// it holds what was sent on open connections, in both directions, and delivers it once the
// interruption ends, even if the sender has closed the connection. Connections that are opened
// meanwhile are never carried.
type Link struct {
	target string
	addr   string

	mu   sync.Mutex
	open chan struct{} // closed while the link is not interrupted
	held bool
}

// NewLink starts a link to a target, which carries connections until ctx ends.
func NewLink(ctx context.Context, target string) (*Link, error) {
	listener, err := net.Listen("tcp4", loopback)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	l := &Link{target: target, addr: listener.Addr().String(), open: make(chan struct{})}
	close(l.open)
	go func() {
		<-ctx.Done()
		_ = listener.Close()
	}()
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(client)
		}
	}()
	return l, nil
}

// Interrupt begins or ends an interruption.
func (l *Link) Interrupt(held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case held && !l.held:
		l.open = make(chan struct{})
	case !held && l.held:
		close(l.open)
	}
	l.held = held
}

// await waits until the link is not interrupted, and reports whether it had to.
func (l *Link) await() bool {
	l.mu.Lock()
	open, held := l.open, l.held
	l.mu.Unlock()
	<-open
	return held
}

func (l *Link) carry(client net.Conn) {
	defer func() { _ = client.Close() }()
	if l.await() {
		return // opened during an interruption
	}
	target, err := net.DialTimeout("tcp4", l.target, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.pump(client, target)
		_ = target.(*net.TCPConn).CloseWrite() // the target closes its side then
	}()
	l.pump(target, client)
	_ = client.(*net.TCPConn).CloseWrite()
	<-done
}

// pump carries one direction until its end.
func (l *Link) pump(from, to net.Conn) {
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		l.await()
		if n > 0 {
			_, _ = to.Write(buffer[:n]) // an error means that the receiver has gone
		}
		if err != nil {
			return
		}
	}
}

// Addr returns the address to which clients of the target connect.
func (l *Link) Addr() string { return l.addr }
