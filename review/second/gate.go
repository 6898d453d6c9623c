package second

import "sync"

// gate lets traffic through while it is open. A closed gate holds it back until it is opened again.
type gate struct {
	mu     sync.Mutex
	closed bool
	opened chan struct{} // closed when the gate is opened
}

// set closes or opens the gate.
func (g *gate) set(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case closed && !g.closed:
		g.closed, g.opened = true, make(chan struct{})
	case !closed && g.closed:
		g.closed = false
		close(g.opened)
	}
}

// isClosed reports whether the gate is closed.
func (g *gate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// wait waits until the gate is open.
func (g *gate) wait() {
	for {
		g.mu.Lock()
		closed, opened := g.closed, g.opened
		g.mu.Unlock()
		if !closed {
			return
		}
		<-opened
	}
}

// node holds what the network does to one controller. A closed gate is a cut: what is sent over a
// connection from before is held and delivered when the cut ends, and a connection that is opened
// meanwhile gives no answer and is reset when the cut ends.
type node struct {
	state, cloud, workers, peers gate
}
