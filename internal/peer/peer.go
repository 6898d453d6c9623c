// Package peer carries messages between controllers, as lines of JSON over TCP. Delivery is best
// effort: messages may be lost, and nothing waits for them. Each controller sends over connections
// that it opened, and receives over connections that its peers opened.
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
	maxQueuedMessages      = 512     // for one peer
	maxLineBytes           = 4 << 20 // per received message
	initialReadBufferBytes = 4096    // the buffer grows up to maxLineBytes
	queueMemoryDivisor     = 64      // messages queued for one peer may take 1/queueMemoryDivisor of the memory quota
	megabyte               = 1 << 20
)

// Mesh holds the connections to and from the peers.
type Mesh struct {
	log            *slog.Logger
	links          []*link
	maxQueuedBytes int64         // for one peer
	inbound        chan struct{} // holds one element for each connection from a peer
}

// link is the connection to one peer, with the queue of messages to send over it.
type link struct {
	addr        string
	queue       chan []byte
	queuedBytes atomic.Int64
}

// dequeue waits for the next message and removes it from the queue. ok is false if ctx ends first.
func (l *link) dequeue(ctx context.Context) (line []byte, ok bool) {
	select {
	case <-ctx.Done():
		return nil, false
	case line = <-l.queue:
		l.queuedBytes.Add(-int64(len(line)))
		return line, true
	}
}

// enqueue adds a message to the queue, or drops it if the queue is full.
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

// discardQueued drops the queued messages.
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

// New returns a mesh. Messages are sent only while Send runs, and received only while Serve runs.
func New(settings *config.Settings, log *slog.Logger) *Mesh {
	m := &Mesh{log: log, maxQueuedBytes: int64(settings.Cluster.Quota.MemMB * megabyte / queueMemoryDivisor),
		inbound: make(chan struct{}, max(1, sockets.NewBudget(settings).Peers))}
	for _, sibling := range settings.Siblings {
		m.links = append(m.links, &link{addr: sibling.Endpoint, queue: make(chan []byte, maxQueuedMessages)})
	}
	return m
}

// Broadcast queues a message for all peers. For a peer whose queue is full, the message is dropped.
func (m *Mesh) Broadcast(message *wire.PeerMessage) {
	line, err := record.EncodePeerMessage(message)
	if err != nil {
		m.log.Error("failed to encode peer message", "err", err)
		return
	}
	line = append(line, '\n')
	for _, link := range m.links {
		link.enqueue(line, m.maxQueuedBytes)
	}
}

// Send opens connections to the peers and sends queued messages over them until ctx ends.
func (m *Mesh) Send(ctx context.Context) {
	for _, link := range m.links {
		go link.maintainConnection(ctx)
	}
	<-ctx.Done()
}

// maintainConnection connects to the peer and sends messages until ctx ends. It reconnects after each
// failure.
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
		l.discardQueued() // messages queued while there was no connection are out of date
	}
}

// sendMessages sends queued messages until ctx ends or the connection fails.
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

// Serve receives messages from peers until the listener is closed, and calls receive with each
// message, from several goroutines. Connections beyond the socket budget are closed at once.
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

// receiveMessages receives messages until the connection fails or no message arrives within
// readTimeout.
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
