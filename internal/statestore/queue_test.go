package statestore

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/controller"
)

// takeRequestTokens takes all request tokens.
func takeRequestTokens(q *queue, now time.Time) {
	for q.requests.AllowN(now, 1) {
	}
}

// TestUrgentCallsGoFirst queues calls of every priority while there are no tokens, then makes
// tokens available one by one and checks that the most urgent call runs first.
func TestUrgentCallsGoFirst(t *testing.T) {
	q := newQueue(100, 100)
	now := time.Now()
	takeRequestTokens(q, now)
	order := make(chan controller.CallPriority, 8)
	for _, priority := range []controller.CallPriority{controller.PriorityBackground, controller.PriorityAdmission, controller.PriorityLease, controller.PriorityUrgent} {
		q.add(priority, &queuedCall{deadline: now.Add(time.Hour), run: func() { order <- priority }, expire: func() { t.Error("expired") }})
	}
	require.Positive(t, q.startCalls(now), "ran without a token")
	require.Empty(t, order)
	for _, want := range []controller.CallPriority{controller.PriorityLease, controller.PriorityUrgent, controller.PriorityAdmission, controller.PriorityBackground} {
		now = now.Add(11 * time.Millisecond)
		q.startCalls(now)
		require.Equal(t, want, <-order)
	}
	require.Zero(t, q.startCalls(now.Add(time.Second)))
}

// TestCallsExpire checks that a call that gets no token in time expires and does not run.
func TestCallsExpire(t *testing.T) {
	q := newQueue(100, 100)
	now := time.Now()
	takeRequestTokens(q, now)
	var expired sync.WaitGroup
	expired.Add(1)
	q.add(controller.PriorityBackground, &queuedCall{deadline: now.Add(time.Millisecond), run: func() { t.Error("ran") }, expire: expired.Done})
	q.startCalls(now.Add(time.Second))
	expired.Wait()
}

// TestLimitsAreDivided checks that the fractions of three controllers together stay within the
// limits, and that a transaction with more writes than the burst of its controller's fraction
// still gets tokens.
func TestLimitsAreDivided(t *testing.T) {
	q := newQueue(150, 40)
	q.setLimits(150, 40, 1.0/3)
	require.Less(t, float64(q.requests.Limit())*3, 150.0)
	require.Less(t, float64(q.writes.Limit())*3, 40.0)
	now := time.Now().Add(time.Minute)
	require.True(t, q.takeTokens(now, 32))
	require.False(t, q.takeTokens(now, 1))
	require.True(t, q.takeTokens(now.Add(time.Second), 12))
}

// TestReadsDoNotWaitForWrites guards against reads that wait behind transactions without tokens.
func TestReadsDoNotWaitForWrites(t *testing.T) {
	q := newQueue(100, 10)
	now := time.Now().Add(time.Minute)
	require.True(t, q.takeTokens(now, q.writes.Burst()), "takes all write tokens")
	ran := make(chan string, 4)
	call := func(name string, writes int) *queuedCall {
		return &queuedCall{writes: writes, deadline: now.Add(time.Hour), run: func() { ran <- name }, expire: func() { t.Error("expired") }}
	}
	q.add(controller.PriorityUrgent, call("placement", 5))
	q.add(controller.PriorityAdmission, call("submission", 1))
	q.add(controller.PriorityAdmission, call("read", 0))
	require.Positive(t, q.startCalls(now))
	select {
	case first := <-ran:
		require.Equal(t, "read", first)
	case <-time.After(10 * time.Second):
		require.Fail(t, "the read waits for write tokens")
	}
	require.Positive(t, q.startCalls(now.Add(200*time.Millisecond)))
	require.Empty(t, ran, "a small transaction does not overtake a large one")
	require.Zero(t, q.startCalls(now.Add(time.Second)))
	require.ElementsMatch(t, []string{"placement", "submission"}, []string{<-ran, <-ran})
}
