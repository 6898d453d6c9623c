package second

import (
	"fmt"
	"io"
	"net"
)

// startPeerLink forwards connections from one controller to the peer address of another. While one of
// them is cut off nothing passes, and the connections are reset when the cut ends.
func (r *rig) startPeerLink(from, to int) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("link: %w", err)
	}
	r.onClose(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.forward(conn, from, to)
		}
	}()
	return listener.Addr().String(), nil
}

// awaitLink waits until neither controller is cut off, and reports whether it had to wait.
func (r *rig) awaitLink(from, to int) bool {
	waited := r.nodes[from].peers.isClosed() || r.nodes[to].peers.isClosed()
	r.nodes[from].peers.wait()
	r.nodes[to].peers.wait()
	return waited
}

// forward forwards one connection until a cut ends or one side closes it.
func (r *rig) forward(conn net.Conn, from, to int) {
	defer func() { _ = conn.Close() }()
	if r.awaitLink(from, to) {
		return
	}
	target, err := net.Dial("tcp4", r.peerAddrs[to])
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	go func() {
		_, _ = io.Copy(io.Discard, target) // peers send nothing back; this notices the end
		_ = conn.Close()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := conn.Read(buffer)
		if err != nil || r.awaitLink(from, to) {
			return
		}
		if _, err := target.Write(buffer[:n]); err != nil {
			return
		}
	}
}
