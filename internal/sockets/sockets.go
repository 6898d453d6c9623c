// Package sockets shares out the sockets that a controller may hold, so that
// none of those it serves crowds out the others: out of sockets, a controller
// would hear no worker, and take them for silent.
package sockets

import (
	"errors"
	"log/slog"
	"net"
	"time"

	"lilacrill/internal/config"
)

// Budget is how many connections of each kind a controller may hold.
type Budget struct {
	// Inbound is for users, workers and health checks.
	Inbound int
	// CloseAfterReply is how many of them there may be before users' connections are
	// closed once they are answered, and Full before users are told at once to
	// come back later: the rest is for workers and health checks.
	CloseAfterReply, RefuseUsers int
	// Workers is for calls to workers.
	Workers int
	// Peers is for connections from siblings.
	Peers int
	// State and Cloud are for calls to these services.
	State, Cloud int
}

const (
	directPart  = 8  // one in so many is for calls to workers
	servicePart = 64 // for the state service, within its bounds
	leastState  = 8
	mostState   = 28
	perPeer     = 3 // a sibling that comes back may leave dead connections behind
	own         = 4 // listeners, and what the runtime holds
	crowdedPart = 0.6
	fullPart    = 0.85
)

// NewBudget makes a budget of a controller's settings.
func NewBudget(set *config.Settings) Budget {
	total, peers := set.Cluster.Quota.Sockets, len(set.Siblings)
	b := Budget{
		Workers: max(4, total/directPart),
		Peers:   perPeer * peers,
		State:   max(leastState, min(mostState, total/servicePart)),
		Cloud:   4,
	}
	b.Inbound = max(8, total-b.Workers-b.Peers-peers-b.State-b.Cloud-own)
	b.CloseAfterReply = int(crowdedPart * float64(b.Inbound))
	b.RefuseUsers = int(fullPart * float64(b.Inbound))
	return b
}

// Listener keeps accepting when it is out of sockets for a moment. A server
// that gave up then would end the whole process.
func Listener(ln net.Listener, log *slog.Logger) net.Listener {
	return &patient{Listener: ln, log: log}
}

type patient struct {
	net.Listener
	log *slog.Logger
}

// acceptPause is how long to wait before the next try to accept.
const acceptPause = 50 * time.Millisecond

// Accept implements net.Listener.
func (p *patient) Accept() (net.Conn, error) {
	for {
		conn, err := p.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		p.log.Warn("connection not accepted", "err", err)
		time.Sleep(acceptPause)
	}
}
