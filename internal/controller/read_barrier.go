package controller

import "lilacrill/internal/record"

// readBarrier collects readers who need the cache to hold everything that was written to the
// state store before they asked. One watch request that does not block serves all readers that
// queued before it was sent. A reader that comes while a request is in flight waits for the
// next one: the request in flight may have been answered before the reader asked, and its
// answer would not show what was written in between.
type readBarrier struct {
	inFlight bool
	next     Time            // no request before, so that users who ask do not use up the rate
	waiting  []func(ok bool) // served by the request in flight
	queued   []func(ok bool) // served by the one after it
}

// idle reports whether nobody waits for a barrier.
func (b *readBarrier) idle() bool { return !b.inFlight && len(b.queued) == 0 }

// ready reports whether a request can be sent now and would serve anybody.
func (b *readBarrier) ready(now Time) bool {
	return !b.inFlight && len(b.queued) > 0 && now >= b.next
}

// begin notes that a request is sent, and that none may follow before next.
func (b *readBarrier) begin(next Time) {
	b.inFlight, b.next = true, next
	b.waiting, b.queued = b.queued, nil
}

// end notes that the request in flight has its result and returns the readers that it serves.
func (b *readBarrier) end() []func(ok bool) {
	served := b.waiting
	b.inFlight, b.waiting = false, nil
	return served
}

// readBarrier calls then(true) once the cache holds everything that was written before this
// call. It calls then(false) if the state store cannot show that: the cache is not loaded, the
// store gives no answer, or it no longer has the changes since the cache's revision.
func (c *Controller) readBarrier(then func(ok bool)) {
	if c.cache.loadState != cacheLoaded {
		then(false)
		return
	}
	c.cache.barrier.queued = append(c.cache.barrier.queued, then)
	c.startBarrier()
}

// refreshCache reads everything that was written before this call, where nothing waits for it.
func (c *Controller) refreshCache() { c.readBarrier(func(bool) {}) }

// startBarrier sends a request for the readers that are queued, if it may be sent now.
func (c *Controller) startBarrier() {
	if !c.cache.barrier.ready(c.now) {
		return
	}
	c.cache.barrier.begin(c.now.Add(c.callInterval(0, barrierRateFraction)))
	after := c.cache.revision
	c.emit(Watch{Call: call(c, func(result WatchResult) {
		// A reload meanwhile may have set the cache back to before the request.
		ok := after <= c.cache.revision && c.applyWatchResult(result)
		for _, then := range c.cache.barrier.end() {
			then(ok)
		}
		c.startBarrier()
	}), Priority: PriorityAdmission, Prefix: record.RootKey, After: after})
}
