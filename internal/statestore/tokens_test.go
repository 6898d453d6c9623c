package statestore

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/controller"
)

func drain(q *queue, now time.Time) {
	for q.requests.AllowN(now, 1) {
	}
}

// TestUrgentCallsGoFirst fills the queue while there are no tokens and then
// hands out tokens one by one.
func TestUrgentCallsGoFirst(t *testing.T) {
	q := newQueue(100, 100)
	now := time.Now()
	drain(q, now)
	order := make(chan controller.CallPriority, 8)
	for _, class := range []controller.CallPriority{controller.PriorityBackground, controller.PriorityAdmission, controller.PriorityLease, controller.PriorityUrgent} {
		q.add(class, &waiter{deadline: now.Add(time.Hour), run: func() { order <- class }, expire: func() { t.Error("expired") }})
	}
	require.Positive(t, q.step(now), "ran without a token")
	require.Empty(t, order)
	for _, want := range []controller.CallPriority{controller.PriorityLease, controller.PriorityUrgent, controller.PriorityAdmission, controller.PriorityBackground} {
		now = now.Add(11 * time.Millisecond)
		q.step(now)
		require.Equal(t, want, <-order)
	}
	require.Zero(t, q.step(now.Add(time.Second)))
}

// TestCallsExpire: a call that gets no token in time is given back, and takes
// none later.
func TestCallsExpire(t *testing.T) {
	q := newQueue(100, 100)
	now := time.Now()
	drain(q, now)
	var expired sync.WaitGroup
	expired.Add(1)
	q.add(controller.PriorityBackground, &waiter{deadline: now.Add(time.Millisecond), run: func() { t.Error("ran") }, expire: expired.Done})
	q.step(now.Add(time.Second))
	expired.Wait()
}

// TestShare: the limits are divided among the living, and a large transaction
// still goes through when its writes are more than the share's burst.
func TestShare(t *testing.T) {
	q := newQueue(150, 40)
	q.share(150, 40, 1.0/3)
	require.Less(t, float64(q.requests.Limit())*3, 150.0)
	require.Less(t, float64(q.writes.Limit())*3, 40.0)
	now := time.Now().Add(time.Minute)
	require.True(t, q.take(now, 32))
	require.False(t, q.take(now, 1))
	require.True(t, q.take(now.Add(time.Second), 12))
}
