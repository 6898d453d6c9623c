package controller

import (
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
)

const (
	// watchTimeout is the longest time for which the state store holds a watch request open if
	// there are no changes.
	watchTimeout  = 10 * time.Second
	watchInterval = 40 * time.Millisecond
	// watchIdleDelay is the minimum time between a read of all changes and the opening of a watch.
	// While user requests cause read barriers, these read every change, and a watch would only
	// decode the same changes a second time.
	watchIdleDelay  = 100 * time.Millisecond
	storeRetryDelay = 250 * time.Millisecond
	// watchRateFraction and barrierRateFraction are the fractions of this controller's request
	// rate that watches and read barriers may use.
	watchRateFraction   = 0.25
	barrierRateFraction = 0.3
)

// keepCacheLoaded loads the cache if it is not loaded, or else opens a watch for changes when one
// is due.
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

// catchUpAfterOutage reads the changes that were made while the state store was unreachable.
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

// reloadCache reads all keys. This is needed at the start, and when the state store has compacted
// the changes that the cache is missing.
func (c *Controller) reloadCache() {
	startedAt := c.now
	c.emit(LoadKeys{registerCall(c, func(result LoadResult) {
		c.noteLoad(result, c.now.Sub(startedAt))
		c.applyLoadResult(result)
	}), record.LoadPrefixes})
}

// noteLoad logs and counts the result of a load of all keys.
func (c *Controller) noteLoad(result LoadResult, took time.Duration) {
	c.metrics.set(gaugeLoadDuration, int(took.Milliseconds()))
	if result.Outcome != Succeeded {
		c.metrics.count(countLoadsFailed, 1)
		c.log.Debug("load of all keys failed", "outcome", int(result.Outcome), "took", took)
		return
	}
	c.metrics.count(countLoads, 1)
	c.log.Info("loaded all keys", "keys", len(result.Entries), "from_revision", result.First, "to_revision", result.Last, "took", took,
		"failed_before", c.metrics.counts[countLoadsFailed])
}

// applyLoadResult replaces the content of the cache by the keys that were read. They are read page
// by page during concurrent writes, so later pages may be newer than the revision of the first
// page. Therefore the watch starts at the revision of the first page, and the cache is complete
// once the watch has reached the revision of the last page.
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

// resetCache drops all content that was read from the state store, and its indexes. Only archived
// completions are kept, since they never change and a load does not read them.
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

// openWatch opens a watch request unless one is open. The request does not block while the cache is
// known to be behind.
func (c *Controller) openWatch() {
	if c.cache.watching || c.cache.loadState != cacheLoaded {
		return
	}
	c.cache.watching = true
	block := watchTimeout
	if c.cache.behind() {
		block = 0
	}
	c.emit(Watch{Call: registerCall(c, c.handleWatchResult), Priority: PriorityUrgent,
		Prefix: record.RootPrefix, After: c.cache.revision, Block: block})
}

// handleWatchResult applies the result of the watch and sets when the next watch is opened.
func (c *Controller) handleWatchResult(result WatchResult) {
	c.cache.watching = false
	if !c.applyWatchResult(result) {
		c.cache.nextWatch = c.now.Add(storeRetryDelay)
		return
	}
	// A short pause lets changes accumulate, so that a busy store causes fewer requests. Changes
	// are needed within a second, not at once.
	c.cache.nextWatch = c.now.Add(c.callInterval(watchInterval, watchRateFraction))
	if c.cache.behind() {
		c.openWatch()
	}
}

// callInterval returns the time between calls that may use a fraction of this controller's request
// rate to the state store. It is at least the given minimum.
func (c *Controller) callInterval(minimum time.Duration, fraction float64) time.Duration {
	return max(minimum, config.Seconds(1/(fraction*c.rateFraction()*c.settings.Cluster.State.RPS)))
}

// applyWatchResult applies the changes of a watch to the cache. It reports whether the watch
// succeeded.
func (c *Controller) applyWatchResult(result WatchResult) bool {
	c.metrics.countFailure(result.Outcome, countStoreRefused, countStoreUnanswered)
	switch result.Outcome {
	case Succeeded:
	case Compacted:
		if c.cache.loadState == cacheLoaded {
			c.log.Info("watch revision compacted, reloading all keys", "revision", c.cache.revision)
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
		// The response holds every change that was made before the call, however late it arrived.
		c.cancellations.noteCacheCurrent(c.calls.currentStartedAt)
	}
	c.cache.forgetDeletedKeys()
	return true
}

// keepCacheCurrent issues a read barrier if the cache has not been known to be current for longer
// than barrierInterval. An open watch that reports no changes does not show that there are none.
func (c *Controller) keepCacheCurrent() {
	if c.cache.complete() && c.storeReachable() && c.cache.barrier.idle() && c.now.Sub(c.cancellations.cacheCurrentAt) > barrierInterval {
		c.refreshCache()
	}
}
