// Package statestore calls the state service. Calls take tokens for requests
// and for writes; when these are short, urgent calls go first.
package statestore

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lilacrill/internal/controller"
)

// queue hands out tokens to calls, the most urgent class first.
type queue struct {
	mu       sync.Mutex
	classes  [controller.PriorityLevels][]*waiter
	requests *rate.Limiter
	writes   *rate.Limiter
	wake     chan struct{}
}

type waiter struct {
	writes   int
	deadline time.Time
	run      func()
	expire   func()
}

// keepBack is the part of the limits that is not used, so that clocks that
// drift and bursts that add up do not pass them.
const keepBack = 0.08

func newQueue(requests, writes float64) *queue {
	q := &queue{
		requests: rate.NewLimiter(1, 1),
		writes:   rate.NewLimiter(1, 1),
		wake:     make(chan struct{}, 1),
	}
	q.share(requests, writes, 1)
	return q
}

// share sets the part of the limits that may be used.
func (q *queue) share(requests, writes, part float64) {
	set := func(l *rate.Limiter, limit float64) {
		limit *= (1 - keepBack) * part
		l.SetLimit(rate.Limit(limit))
		l.SetBurst(max(1, int(limit)))
	}
	set(q.requests, requests)
	set(q.writes, writes)
}

// add queues a call; it runs on a goroutine of its own, or expires.
func (q *queue) add(class controller.CallPriority, w *waiter) {
	q.mu.Lock()
	q.classes[class] = append(q.classes[class], w)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// pollEvery is how often waiting calls are looked at for want of tokens.
const pollEvery = 5 * time.Millisecond

// serve hands out tokens until done is closed.
func (q *queue) serve(done <-chan struct{}) {
	for {
		wait := q.step(time.Now())
		var timer <-chan time.Time
		if wait > 0 {
			timer = time.After(wait)
		}
		select {
		case <-done:
			return
		case <-q.wake:
		case <-timer:
		}
	}
}

// step runs what it can and returns how long to wait; 0 means until something
// is added.
func (q *queue) step(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := false
	for class := range q.classes {
		kept := q.classes[class][:0]
		for _, w := range q.classes[class] {
			switch {
			case now.After(w.deadline):
				go w.expire()
			case !waiting && q.take(now, w.writes):
				go w.run()
			default:
				waiting = true
				kept = append(kept, w)
			}
		}
		clear(q.classes[class][len(kept):])
		q.classes[class] = kept
	}
	if waiting {
		return pollEvery
	}
	return 0
}

// take takes the tokens of one call, or none.
func (q *queue) take(now time.Time, writes int) bool {
	writes = min(writes, q.writes.Burst())
	if q.requests.TokensAt(now) < 1 || q.writes.TokensAt(now) < float64(writes) {
		return false
	}
	return q.requests.AllowN(now, 1) && q.writes.AllowN(now, writes)
}
