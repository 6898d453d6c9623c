// Package sockets divides the sockets that a controller may hold among the kinds of its connections,
// so that no kind uses up the sockets of the others. A controller without free sockets would receive
// no heartbeats, and would consider all workers unresponsive.
package sockets

import (
	"errors"
	"log/slog"
	"net"
	"time"

	"lilacrill/internal/config"
)

// Budget is the maximum number of connections of each kind that a controller may hold.
type Budget struct {
	// Inbound is for connections from users, workers and health checks.
	Inbound int
	// With more than CloseAfterReplyAbove inbound connections, users' connections are closed
	// after each reply. With more than LimitUsersAbove, users may hold only a part of the
	// connections that workers and health checks leave (see UserRequestLimit).
	CloseAfterReplyAbove, LimitUsersAbove int
	// Workers is for calls to workers.
	Workers int
	// Peers is for connections from peers.
	Peers int
	// State and Cloud are for calls to the state store and to the cloud.
	State, Cloud int
}

const (
	workerCallsDivisor      = 8  // calls to workers get 1/workerCallsDivisor of the sockets
	stateDivisor            = 64 // the state store gets 1/stateDivisor of the sockets, from minStateSockets to maxStateSockets
	minWorkerSockets        = 4
	minInboundSockets       = 8
	cloudSockets            = 4
	minStateSockets         = 8
	maxStateSockets         = 28
	connectionsPerPeer      = 3    // a peer that restarts may leave stale connections open
	reservedSockets         = 4    // for the listeners and the runtime
	closeAfterReplyFraction = 0.6  // of Budget.Inbound
	limitUsersFraction      = 0.85 // of Budget.Inbound
	// userDivisor is the part of the free connections that users may hold above
	// Budget.LimitUsersAbove: 1/userDivisor.
	userDivisor = 2
)

// NewBudget divides the sockets in a controller's quota.
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
	budget.LimitUsersAbove = int(limitUsersFraction * float64(budget.Inbound))
	return budget
}

// UserRequestLimit returns how many requests of users may be in progress while the given number of
// inbound connections is open, inProgress of them with such a request. The limit applies above
// LimitUsersAbove connections. It is at least 1, since a connection that is open already costs
// nothing more if its request is answered than if it is refused.
func (b *Budget) UserRequestLimit(connections, inProgress int) int {
	if connections <= b.LimitUsersAbove {
		return b.Inbound
	}
	free := b.Inbound - (connections - inProgress)
	return max(1, free/userDivisor)
}

// NewRetryingListener returns a listener that retries when accepting a connection fails, as it does
// while the process is briefly out of sockets. Otherwise the server would stop, and the whole process
// with it.
func NewRetryingListener(listener net.Listener, log *slog.Logger) net.Listener {
	return &retryingListener{Listener: listener, log: log}
}

// retryingListener is the listener that NewRetryingListener returns.
type retryingListener struct {
	net.Listener
	log *slog.Logger
}

// acceptRetryDelay is the delay between a failed attempt to accept a connection and the next one.
const acceptRetryDelay = 50 * time.Millisecond

// Accept implements net.Listener.
func (l *retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.log.Warn("failed to accept connection, retrying", "err", err)
		time.Sleep(acceptRetryDelay)
	}
}
