package simulation

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	linkBufferBytes = 16 << 10
	// lateRequestMin and lateRequestMax bound the delay of requests that a link forwards late, after
	// their senders have given up.
	lateRequestMin = 2 * time.Second
	lateRequestMax = 12 * time.Second
	linkDialLimit  = time.Second
)

// Link forwards TCP connections from a loopback address of its own to a target, and can be made
// faulty. It does not look into the messages.
type Link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	fault   LinkFault
	changed chan struct{} // closed when the fault changes
	open    map[*linkConn]bool
	closed  bool
}

// LinkFault says what is wrong with a link. The zero value is a link without a fault.
type LinkFault struct {
	// HoldRequests and HoldResponses hold the bytes in one direction until the fault ends, and then
	// deliver them, even if their sender has closed the connection. While requests are held, new
	// connections are reset.
	HoldRequests, HoldResponses bool
	Delay                       time.Duration // in each direction
	LateRequests                float64       // share of the requests that are delivered seconds late
	LostResponses               float64       // share of the responses that are dropped together with their connection
}

// linkConn is one forwarded connection.
type linkConn struct{ client, target net.Conn }

func (c *linkConn) close() {
	_ = c.client.Close() // both ends notice
	_ = c.target.Close()
}

// NewLink starts a link to a target.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp4", "127.78.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", target, err)
	}
	l := &Link{listener: listener, target: target, changed: make(chan struct{}), open: map[*linkConn]bool{}}
	go l.accept()
	return l, nil
}

// Addr returns the address to which clients of the target connect.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// SetFault replaces the fault of the link.
func (l *Link) SetFault(fault LinkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
	close(l.changed)
	l.changed = make(chan struct{})
}

// Close closes the link and all its connections.
func (l *Link) Close() {
	_ = l.listener.Close() // the link is no longer needed
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for conn := range l.open {
		conn.close()
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// state returns the present fault, a channel that is closed when it changes, and whether the link is
// closed.
func (l *Link) state() (fault LinkFault, changed <-chan struct{}, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.changed, l.closed
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(client)
	}
}

// forward connects a client with the target, and resets the client if that is not possible.
func (l *Link) forward(client net.Conn) {
	fault, _, _ := l.state()
	var target net.Conn
	var err error
	if !fault.HoldRequests {
		target, err = net.DialTimeout("tcp4", l.target, linkDialLimit)
	}
	if target == nil || err != nil {
		_ = client.(*net.TCPConn).SetLinger(0) // reset rather than closed
		_ = client.Close()
		return
	}
	conn := &linkConn{client: client, target: target}
	if !l.register(conn) {
		conn.close()
		return
	}
	go l.pumpRequests(conn)
	l.pumpResponses(conn)
	l.mu.Lock()
	delete(l.open, conn)
	l.mu.Unlock()
	conn.close()
}

func (l *Link) register(conn *linkConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[conn] = !l.closed
	return !l.closed
}

// pumpRequests forwards the bytes from the client to the target.
func (l *Link) pumpRequests(conn *linkConn) {
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := conn.client.Read(buffer)
		if n > 0 {
			fault := l.await(func(f LinkFault) bool { return f.HoldRequests })
			time.Sleep(fault.Delay)
			if rand.Float64() < fault.LateRequests {
				time.Sleep(lateRequestMin + rand.N(lateRequestMax-lateRequestMin))
			}
			if _, err := conn.target.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = conn.target.(*net.TCPConn).CloseWrite() // the target closes its side then
			return
		}
	}
}

// pumpResponses forwards the bytes from the target to the client.
func (l *Link) pumpResponses(conn *linkConn) {
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := conn.target.Read(buffer)
		fault := l.await(func(f LinkFault) bool { return f.HoldResponses })
		if n > 0 {
			time.Sleep(fault.Delay)
			if rand.Float64() < fault.LostResponses {
				return
			}
			if _, err := conn.client.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// await waits as long as a fault for which held returns true lasts, and returns the fault then.
func (l *Link) await(held func(LinkFault) bool) LinkFault {
	for {
		fault, changed, closed := l.state()
		if closed || !held(fault) {
			return fault
		}
		<-changed
	}
}
