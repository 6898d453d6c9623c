package statestore

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lilacrill/internal/controller"
)

const (
	// reservedFraction is the part of the rate limits that is not used, so that clock drift and
	// bursts that add up do not exceed the limits.
	reservedFraction = 0.08
	// queueTimeout is how long a call may wait for tokens before it expires.
	queueTimeout = 2 * time.Second
	// pollInterval is how long the queue waits between checks for tokens while calls wait for
	// them.
	pollInterval = 5 * time.Millisecond
)

// queue starts calls as tokens for requests and for writes become available, those of the most
// urgent priority first. A call that waits for a request token holds up all calls behind it, and a
// call that waits for write tokens all calls with writes behind it, so that many small calls cannot
// starve a large one. A read needs no write token, so it does not wait for calls that do.
type queue struct {
	mu       sync.Mutex
	waiting  [controller.PriorityLevels][]*queuedCall
	requests *rate.Limiter
	writes   *rate.Limiter
	wake     chan struct{}
}

// queuedCall is a call that waits for one request token and for one write token for each of its
// writes. Either run or expire is called, once, on a goroutine of its own.
type queuedCall struct {
	writes   int
	deadline time.Time
	run      func()
	expire   func()
}

// newQueue returns a queue. The limits are in requests and in writes per second.
func newQueue(requests, writes float64) *queue {
	q := &queue{
		requests: rate.NewLimiter(1, 1),
		writes:   rate.NewLimiter(1, 1),
		wake:     make(chan struct{}, 1),
	}
	q.setLimits(requests, writes, 1)
	return q
}

// setLimits sets the limits to a fraction of the state store's limits, less reservedFraction.
func (q *queue) setLimits(requests, writes, fraction float64) {
	setLimit(q.requests, requests*(1-reservedFraction)*fraction)
	setLimit(q.writes, writes*(1-reservedFraction)*fraction)
}

// setLimit sets a limit in tokens per second. The tokens of one second may be used at once.
func setLimit(limiter *rate.Limiter, limit float64) {
	limiter.SetLimit(rate.Limit(limit))
	limiter.SetBurst(max(1, int(limit)))
}

// add queues a call.
func (q *queue) add(priority controller.CallPriority, call *queuedCall) {
	q.mu.Lock()
	q.waiting[priority] = append(q.waiting[priority], call)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// serve starts calls until the context ends.
func (q *queue) serve(ctx context.Context) {
	for {
		var timer <-chan time.Time
		if wait := q.startCalls(time.Now()); wait > 0 {
			timer = time.After(wait)
		}
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		case <-timer:
		}
	}
}

// startCalls starts the calls that there are tokens for, expires those whose deadline has passed,
// and returns how long to wait before it is to be called again. A result of 0 means to wait until a
// call is added.
func (q *queue) startCalls(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	readsBlocked, writesBlocked := false, false
	for priority, calls := range q.waiting {
		kept := calls[:0]
		for _, call := range calls {
			blocked := readsBlocked || writesBlocked && call.writes > 0
			switch {
			case now.After(call.deadline):
				go call.expire()
			case !blocked && q.takeTokens(now, call.writes):
				go call.run()
			default:
				writesBlocked = true
				readsBlocked = readsBlocked || q.requests.TokensAt(now) < 1
				kept = append(kept, call)
			}
		}
		clear(calls[len(kept):])
		q.waiting[priority] = kept
	}
	if writesBlocked {
		return pollInterval
	}
	return 0
}

// takeTokens takes all tokens that a call needs, or none, and reports whether it took them. A call
// with more writes than the burst of the write limit takes as many write tokens as the burst.
func (q *queue) takeTokens(now time.Time, writes int) bool {
	writes = min(writes, q.writes.Burst())
	if q.requests.TokensAt(now) < 1 || q.writes.TokensAt(now) < float64(writes) {
		return false
	}
	return q.requests.AllowN(now, 1) && q.writes.AllowN(now, writes)
}
