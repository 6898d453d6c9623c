package sockets

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lilacrill/internal/config"
	"lilacrill/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Run(m) }

// TestBudgetFitsQuota guards against bounds of the kinds of connections that add up to more
// than the process may hold.
func TestBudgetFitsQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var set config.Settings
		set.Cluster.Quota.Sockets = rapid.IntRange(64, 100_000).Draw(t, "sockets")
		set.Siblings = make([]config.Sibling, rapid.IntRange(0, 6).Draw(t, "siblings"))
		b := NewBudget(&set)
		require.LessOrEqual(t, b.Inbound+b.Workers+b.Peers+len(set.Siblings)+b.State+b.Cloud, set.Cluster.Quota.Sockets)
		require.Less(t, b.CloseAfterReply, b.RefuseUsers)
		require.Less(t, b.RefuseUsers, b.Inbound)
	})
}

// failing is a listener that is out of sockets at first.
type failing struct {
	net.Listener
	left int
}

func (f *failing) Accept() (net.Conn, error) {
	if f.left > 0 {
		f.left--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return nil, net.ErrClosed
}

// TestOutOfSockets guards against a server that ends because it was briefly out of sockets.
func TestOutOfSockets(t *testing.T) {
	f := &failing{left: 2}
	_, err := NewRetryingListener(f, slog.New(slog.NewTextHandler(io.Discard, nil))).Accept()
	require.True(t, errors.Is(err, net.ErrClosed))
	require.Zero(t, f.left)
}
