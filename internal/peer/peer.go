// Package peer carries JSON lines between controllers. Lines are hints: they
// may be lost, and nothing waits for them.
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
	dialTimeout  = time.Second
	redialPause  = 500 * time.Millisecond
	writeTimeout = time.Second
	readTimeout  = 20 * time.Second
	backlog      = 512
	maxLine      = 4 << 20
	linesPart    = 64 // the lines that wait may take one part in so many of the memory
	megabyte     = 1 << 20
)

// Mesh is the connections to the siblings.
type Mesh struct {
	log      *slog.Logger
	links    []*link
	mostWait int64         // bytes that may wait for one sibling
	inbound  chan struct{} // holds one element for every connection from a sibling
}

type link struct {
	addr    string
	lines   chan []byte
	waiting atomic.Int64 // bytes
}

// take waits for the next line; ok is false once ctx ends.
func (k *link) take(ctx context.Context) (line []byte, ok bool) {
	select {
	case <-ctx.Done():
		return nil, false
	case line = <-k.lines:
		k.waiting.Add(-int64(len(line)))
		return line, true
	}
}

// New makes a mesh; Serve must run for it to do anything.
func New(set *config.Settings, log *slog.Logger) *Mesh {
	m := &Mesh{log: log, mostWait: int64(set.Cluster.Quota.MemMB * megabyte / linesPart),
		inbound: make(chan struct{}, max(1, sockets.Share(set).Peers))}
	for _, s := range set.Siblings {
		m.links = append(m.links, &link{addr: s.Endpoint, lines: make(chan []byte, backlog)})
	}
	return m
}

// Tell sends a line to all siblings; to one that does not keep up it is lost.
func (m *Mesh) Tell(l *wire.PeerMessage) {
	b, err := record.EncodePeerMessage(l)
	if err != nil {
		m.log.Error("line not written", "err", err)
		return
	}
	b = append(b, '\n')
	size := int64(len(b))
	for _, k := range m.links {
		if k.waiting.Load()+size > m.mostWait {
			continue
		}
		select {
		case k.lines <- b:
			k.waiting.Add(size)
		default:
		}
	}
}

// Send keeps the connections to the siblings until ctx ends.
func (m *Mesh) Send(ctx context.Context) {
	for _, k := range m.links {
		go k.run(ctx)
	}
	<-ctx.Done()
}

func (k *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp4", k.addr, dialTimeout)
		if err == nil {
			k.write(ctx, conn)
			conn.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialPause):
		}
		// What gathered meanwhile is old news.
		for drained := false; !drained; {
			select {
			case line := <-k.lines:
				k.waiting.Add(-int64(len(line)))
			default:
				drained = true
			}
		}
	}
}

func (k *link) write(ctx context.Context, conn net.Conn) {
	w := bufio.NewWriter(conn)
	for {
		line, ok := k.take(ctx)
		if !ok || conn.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
			return
		}
		if _, err := w.Write(line); err != nil {
			return
		}
		if len(k.lines) == 0 && w.Flush() != nil {
			return
		}
	}
}

// Serve takes lines from siblings until the listener is closed.
func (m *Mesh) Serve(ln net.Listener, said func(*wire.PeerMessage)) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		select {
		case m.inbound <- struct{}{}:
			go func() {
				m.read(conn, said)
				<-m.inbound
			}()
		default:
			conn.Close()
		}
	}
}

func (m *Mesh) read(conn net.Conn, said func(*wire.PeerMessage)) {
	defer conn.Close()
	lines := bufio.NewScanner(conn)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	for {
		if conn.SetReadDeadline(time.Now().Add(readTimeout)) != nil || !lines.Scan() {
			return
		}
		l, err := record.DecodePeerMessage(lines.Bytes())
		if err != nil {
			m.log.Warn("peer's line dropped", "from", conn.RemoteAddr(), "err", err)
			continue
		}
		said(l)
	}
}
