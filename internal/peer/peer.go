// Package peer carries messages between controllers, as lines of JSON over TCP. They are
// hints: they may be lost, and nothing waits for them. Each controller sends over connections
// that it opened and receives over those that its siblings opened.
package peer

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/internal/sockets"
	"lilacrill/wire"
)

const (
	dialTimeout            = time.Second
	redialDelay            = 500 * time.Millisecond
	writeTimeout           = time.Second
	readTimeout            = 20 * time.Second
	maxQueuedMessages      = 512     // messages that may wait for one sibling
	maxLineBytes           = 4 << 20 // of a message received
	initialReadBufferBytes = 4096    // bytes at first
	queueMemoryDivisor     = 64      // the messages that wait for one sibling may take one part in so many of the memory
	megabyte               = 1 << 20
)

// Mesh is the connections to and from the siblings.
type Mesh struct {
	log            *slog.Logger
	links          []*link
	maxQueuedBytes int64         // that may wait for one sibling
	inbound        chan struct{} // holds one element for every connection from a sibling
}

// link is the connection to one sibling and the messages that wait for it.
type link struct {
	addr        string
	queue       chan []byte
	queuedBytes atomic.Int64
}

// dequeue waits for the next message; ok is false once ctx ends.
func (l *link) dequeue(ctx context.Context) (line []byte, ok bool) {
	select {
	case <-ctx.Done():
		return nil, false
	case line = <-l.queue:
		l.queuedBytes.Add(-int64(len(line)))
		return line, true
	}
}

// enqueue adds a message unless too much waits already: it is lost then.
func (l *link) enqueue(line []byte, maxBytes int64) {
	size := int64(len(line))
	if l.queuedBytes.Load()+size > maxBytes {
		return
	}
	select {
	case l.queue <- line:
		l.queuedBytes.Add(size)
	default:
	}
}

// discardQueued drops the messages that wait.
func (l *link) discardQueued() {
	for {
		select {
		case line := <-l.queue:
			l.queuedBytes.Add(-int64(len(line)))
		default:
			return
		}
	}
}

// New makes a mesh. Send must run for messages to leave, Serve for them to arrive.
func New(settings *config.Settings, log *slog.Logger) *Mesh {
	m := &Mesh{log: log, maxQueuedBytes: int64(settings.Cluster.Quota.MemMB * megabyte / queueMemoryDivisor),
		inbound: make(chan struct{}, max(1, sockets.NewBudget(settings).Peers))}
	for _, sibling := range settings.Siblings {
		m.links = append(m.links, &link{addr: sibling.Endpoint, queue: make(chan []byte, maxQueuedMessages)})
	}
	return m
}

// Broadcast sends a message to all siblings; to one that does not keep up it is lost.
func (m *Mesh) Broadcast(message *wire.PeerMessage) {
	line, err := record.EncodePeerMessage(message)
	if err != nil {
		m.log.Error("peer message not encoded", "err", err)
		return
	}
	line = append(line, '\n')
	for _, link := range m.links {
		link.enqueue(line, m.maxQueuedBytes)
	}
}

// Send keeps the connections to the siblings until ctx ends.
func (m *Mesh) Send(ctx context.Context) {
	for _, link := range m.links {
		go link.maintainConnection(ctx)
	}
	<-ctx.Done()
}

func (l *link) maintainConnection(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp4", l.addr, dialTimeout)
		if err == nil {
			l.sendMessages(ctx, conn)
			_ = conn.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
		l.discardQueued() // what was queued meanwhile is out of date
	}
}

// sendMessages sends messages until ctx ends or the connection fails.
func (l *link) sendMessages(ctx context.Context, conn net.Conn) {
	writer := bufio.NewWriter(conn)
	for {
		line, ok := l.dequeue(ctx)
		if !ok || conn.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
			return
		}
		if _, err := writer.Write(line); err != nil {
			return
		}
		if len(l.queue) == 0 && writer.Flush() != nil {
			return
		}
	}
}

// Serve receives messages from siblings until the listener is closed, and calls receive with
// each, from several goroutines. Connections beyond the socket share are closed at once.
func (m *Mesh) Serve(listener net.Listener, receive func(*wire.PeerMessage)) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		select {
		case m.inbound <- struct{}{}:
			go func() {
				m.receiveMessages(conn, receive)
				<-m.inbound
			}()
		default:
			_ = conn.Close()
		}
	}
}

// receiveMessages receives messages until the connection fails or falls silent.
func (m *Mesh) receiveMessages(conn net.Conn, receive func(*wire.PeerMessage)) {
	defer func() { _ = conn.Close() }()
	lines := bufio.NewScanner(conn)
	lines.Buffer(make([]byte, 0, initialReadBufferBytes), maxLineBytes)
	for {
		if conn.SetReadDeadline(time.Now().Add(readTimeout)) != nil || !lines.Scan() {
			return
		}
		message, err := record.DecodePeerMessage(lines.Bytes())
		if err != nil {
			m.log.Warn("peer message dropped", "addr", conn.RemoteAddr(), "err", err)
			continue
		}
		receive(message)
	}
}
