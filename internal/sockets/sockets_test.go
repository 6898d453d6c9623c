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

// TestBudgetFitsQuota guards against a budget whose connections add up to more than the process may
// hold.
func TestBudgetFitsQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var settings config.Settings
		settings.Cluster.Quota.Sockets = rapid.IntRange(64, 100_000).Draw(t, "sockets")
		settings.Siblings = make([]config.Sibling, rapid.IntRange(0, 6).Draw(t, "siblings"))
		b := NewBudget(&settings)
		require.LessOrEqual(t, b.Inbound+b.Workers+b.Peers+len(settings.Siblings)+b.State+b.Cloud, settings.Cluster.Quota.Sockets)
		require.Less(t, b.CloseAfterReplyAbove, b.LimitUsersAbove)
		require.Less(t, b.LimitUsersAbove, b.Inbound)
	})
}

// TestUsersAlwaysGetAPartOfTheConnections guards against users and workers starving each other.
func TestUsersAlwaysGetAPartOfTheConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var settings config.Settings
		settings.Cluster.Quota.Sockets = rapid.IntRange(64, 100_000).Draw(t, "sockets")
		b := NewBudget(&settings)
		others := rapid.IntRange(0, b.Inbound).Draw(t, "connections of workers")
		users := 0
		for users < b.Inbound && users+1 <= b.UserRequestLimit(others+users+1, users+1) {
			users++
		}
		require.Positive(t, users)
		if others+users > b.LimitUsersAbove && users > 1 {
			require.LessOrEqual(t, others+users, max(b.LimitUsersAbove, (b.Inbound+others)/2+1), "users leave connections free")
		}
	})
}

// failingListener is a listener whose first attempts to accept fail for lack of sockets.
type failingListener struct {
	net.Listener
	remainingFailures int
}

func (f *failingListener) Accept() (net.Conn, error) {
	if f.remainingFailures > 0 {
		f.remainingFailures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return nil, net.ErrClosed
}

// TestListenerRetriesWhenOutOfSockets guards against a server that stops because the process is
// briefly out of sockets.
func TestListenerRetriesWhenOutOfSockets(t *testing.T) {
	f := &failingListener{remainingFailures: 2}
	_, err := NewRetryingListener(f, slog.New(slog.NewTextHandler(io.Discard, nil))).Accept()
	require.True(t, errors.Is(err, net.ErrClosed))
	require.Zero(t, f.remainingFailures)
}
