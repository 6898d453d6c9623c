package controller

import (
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
)

const (
	// watchTimeout is how long the state store holds a watch request open for want of changes.
	watchTimeout  = 10 * time.Second
	watchInterval = 40 * time.Millisecond
	// watchIdleDelay is how long no change must have been read before a watch is opened: while
	// users ask, read barriers bring every change, and a watch would only have them decoded
	// twice.
	watchIdleDelay  = 100 * time.Millisecond
	storeRetryDelay = 250 * time.Millisecond
	// watchRateFraction and barrierRateFraction are the parts of this controller's requests that
	// watches and read barriers may take.
	watchRateFraction   = 0.25
	barrierRateFraction = 0.3
)

// keepCacheLoaded loads the cache, or watches the state store for changes of it.
func (c *Controller) keepCacheLoaded() {
	switch {
	case c.cache.loadState != cacheLoaded:
		if c.cache.loadState == cacheNotLoaded && c.isDue(c.membership.nextAttempt) {
			c.cache.loadState = cacheLoading
			c.reloadCache()
		}
	case !c.cache.watching && c.isDue(c.cache.nextWatch) && c.now.Sub(c.cancellations.cacheCurrentAt) > watchIdleDelay:
		c.openWatch()
	}
}

// catchUpAfterOutage reads what changed while the state store was unreachable.
func (c *Controller) catchUpAfterOutage() {
	if !c.cache.stale || c.cache.catchingUp || !c.storeReachable() {
		return
	}
	c.cache.catchingUp = true
	c.readBarrier(func(ok bool) {
		c.cache.catchingUp = false
		c.cache.stale = !ok
	})
}

// reloadCache reads all keys: at the start, and when the state store has compacted the changes
// that the cache is missing.
func (c *Controller) reloadCache() {
	c.emit(LoadKeys{call(c, c.applyLoadResult), record.LoadPrefixes})
}

// applyLoadResult replaces the cache by the keys that were read. They were read page by page
// while others wrote: what was read last may be newer than the first page's revision. So the
// watch starts at the first page's revision, and the cache is complete once it has reached the
// last one's.
func (c *Controller) applyLoadResult(result LoadResult) {
	if result.Outcome != Succeeded {
		c.cache.loadState = cacheNotLoaded
		c.membership.nextAttempt = c.now.Add(storeRetryDelay)
		return
	}
	c.noteStoreResponse()
	c.resetCache()
	for _, entry := range result.Entries {
		c.apply(entry.Key, entry.Value, entry.Version)
	}
	c.cache.revision = result.First
	c.cancellations.forget(result.First)
	c.cache.catchUpRevision = result.Last
	c.cache.loadState = cacheLoaded
	c.openWatch()
}

// resetCache drops everything that was read from the state store, and the indexes of it. Only
// archived completions stay: they never change, and a load does not read them.
func (c *Controller) resetCache() {
	archived := c.cache.archivedJobs
	c.cache.init()
	c.cache.archivedJobs = archived
	c.rollout.tracker.Reset()
	c.shards.table.Reset()
	c.cancellations.reset()
	c.completedTasks.reset()
	for _, machine := range c.fleet.machines {
		machine.allocations, machine.criticalAllocations = nil, 0
	}
}

// openWatch keeps one watch request open. It does not block while the cache is known to be
// behind.
func (c *Controller) openWatch() {
	if c.cache.watching || c.cache.loadState != cacheLoaded {
		return
	}
	c.cache.watching = true
	block := watchTimeout
	if c.cache.behind() {
		block = 0
	}
	c.emit(Watch{Call: call(c, c.handleWatchResult), Priority: PriorityUrgent,
		Prefix: record.RootKey, After: c.cache.revision, Block: block})
}

// handleWatchResult applies the result of the open watch and decides when the next one opens.
func (c *Controller) handleWatchResult(result WatchResult) {
	c.cache.watching = false
	if !c.applyWatchResult(result) {
		c.cache.nextWatch = c.now.Add(storeRetryDelay)
		return
	}
	// A short pause lets changes gather: those of a busy store are needed within a second, not
	// at once.
	c.cache.nextWatch = c.now.Add(c.callInterval(watchInterval, watchRateFraction))
	if c.cache.behind() {
		c.openWatch()
	}
}

// callInterval is the time between calls that may take a part of this controller's requests to
// the state store.
func (c *Controller) callInterval(least time.Duration, part float64) time.Duration {
	return max(least, config.Seconds(1/(part*c.rateFraction()*c.settings.Cluster.State.RPS)))
}

// applyWatchResult applies the changes of a watch to the cache and reports whether the state
// store gave any answer.
func (c *Controller) applyWatchResult(result WatchResult) bool {
	c.metrics.countFailure(result.Outcome, countStoreRefused, countStoreUnanswered)
	switch result.Outcome {
	case Succeeded:
	case Compacted:
		if c.cache.loadState == cacheLoaded {
			c.log.Info("watch compacted, reloading all keys", "revision", c.cache.revision)
			c.cache.loadState = cacheNotLoaded
		}
		return false
	default:
		return false
	}
	c.noteStoreResponse()
	for _, event := range result.Response.Events {
		if event.Put != "" {
			c.apply(event.Put, event.Value, event.Version)
		} else {
			c.apply(event.Delete, nil, event.Version)
		}
	}
	c.cache.revision = max(c.cache.revision, result.Response.Revision)
	if c.cache.loadState == cacheLoaded {
		// The answer holds every change from before the call, however late it came.
		c.cancellations.noteCacheCurrent(c.calls.currentStartedAt)
	}
	c.cache.forgetDeletedKeys()
	return true
}

// keepCacheCurrent issues a read barrier if there was none for a while: an open watch shows
// that something changed, never that nothing did.
func (c *Controller) keepCacheCurrent() {
	if c.cache.complete() && c.storeReachable() && c.cache.barrier.idle() && c.now.Sub(c.cancellations.cacheCurrentAt) > barrierInterval {
		c.refreshCache()
	}
}
