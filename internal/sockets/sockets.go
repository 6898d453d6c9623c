// Package sockets divides the sockets that a controller may hold among the kinds of its
// connections, so that none crowds out the others: out of sockets, a controller would receive
// no heartbeats, and take all workers for unresponsive.
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
	// CloseAfterReplyAbove is how many of them there may be before users' connections are closed
	// after each reply, and RefuseUsersAbove before users are refused and told when to retry: the
	// rest is for workers and health checks.
	CloseAfterReplyAbove, RefuseUsersAbove int
	// Workers is for calls to workers.
	Workers int
	// Peers is for connections from siblings.
	Peers int
	// State and Cloud are for calls to the state store and to the cloud.
	State, Cloud int
}

const (
	workerCallsDivisor      = 8  // one socket in so many is for calls to workers
	stateDivisor            = 64 // one in so many is for the state store, within its bounds
	minWorkerSockets        = 4
	minInboundSockets       = 8
	cloudSockets            = 4
	minStateSockets         = 8
	maxStateSockets         = 28
	connectionsPerPeer      = 3 // a sibling that restarts may leave dead connections behind
	reservedSockets         = 4 // of listeners and the runtime
	closeAfterReplyFraction = 0.6
	refuseUsersFraction     = 0.85
)

// NewBudget divides the sockets of a controller's settings.
func NewBudget(settings *config.Settings) Budget {
	total, peers := settings.Cluster.Quota.Sockets, len(settings.Siblings)
	budget := Budget{
		Workers: max(minWorkerSockets, total/workerCallsDivisor),
		Peers:   connectionsPerPeer * peers,
		State:   max(minStateSockets, min(maxStateSockets, total/stateDivisor)),
		Cloud:   cloudSockets,
	}
	budget.Inbound = max(minInboundSockets, total-budget.Workers-budget.Peers-peers-budget.State-budget.Cloud-reservedSockets)
	budget.CloseAfterReplyAbove = int(closeAfterReplyFraction * float64(budget.Inbound))
	budget.RefuseUsersAbove = int(refuseUsersFraction * float64(budget.Inbound))
	return budget
}

// NewRetryingListener makes a listener that retries when it is briefly out of sockets. A server
// that gave up then would end the whole process.
func NewRetryingListener(listener net.Listener, log *slog.Logger) net.Listener {
	return &retryingListener{Listener: listener, log: log}
}

type retryingListener struct {
	net.Listener
	log *slog.Logger
}

// acceptRetryDelay is the delay before the next attempt to accept.
const acceptRetryDelay = 50 * time.Millisecond

// Accept implements net.Listener.
func (l *retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.log.Warn("accept failed", "err", err)
		time.Sleep(acceptRetryDelay)
	}
}
