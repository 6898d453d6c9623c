package controller

import (
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
)

// reloadCache reads everything anew: at the start, and when the feed no longer goes
// back far enough.
func (c *Controller) reloadCache() {
	c.emit(LoadKeys{call(c, func(l LoadResult) {
		if l.Outcome != Succeeded {
			c.membership.loading = false
			c.membership.nextAttempt = c.now.Add(storeRetryDelay)
			return
		}
		c.noteStoreResponse()
		finals := c.cache.archivedJobs
		c.cache.init()
		c.rollout.tracker.Reset()
		c.shards.table.Reset()
		c.cache.archivedJobs = finals
		c.cancellations.recentCancellations, c.cancellations.cancellationsSince = nil, 0
		clear(c.cancellations.machinesWithCompletedTasks)
		for _, m := range c.fleet.machines {
			m.allocations = nil
		}
		clear(c.scheduler.allocationsByJob)
		clear(c.scheduler.criticalAllocations)
		for _, e := range l.Entries {
			c.apply(e.Key, e.Value, e.Version)
		}
		c.cache.revision = l.First
		c.forgetCancellations(l.First)
		c.membership.catchUpRevision = l.Last
		c.membership.loading, c.membership.loaded = false, true
		c.openWatch()
	}), record.LoadPrefixes})
}

// openWatch keeps one open request on the feed.
func (c *Controller) openWatch() {
	if c.cache.watching || !c.membership.loaded {
		return
	}
	c.cache.watching = true
	block := watchTimeout
	if c.cache.revision < c.membership.catchUpRevision {
		block = 0
	}
	c.emit(Watch{Call: call(c, func(f WatchResult) {
		c.cache.watching = false
		if !c.applyWatchResult(f) {
			c.membership.nextWatch = c.now.Add(storeRetryDelay)
			return
		}
		// A short pause lets changes gather: what a busy feed brings is wanted
		// within a second, not at once.
		c.membership.nextWatch = c.now.Add(c.callInterval(watchInterval, watchRateFraction))
		if c.cache.revision < c.membership.catchUpRevision {
			c.openWatch()
		}
	}), Priority: PriorityUrgent, Prefix: record.RootKey, After: c.cache.revision, Block: block})
}

const (
	watchTimeout  = 10 * time.Second
	watchInterval = 40 * time.Millisecond
	// watchIdleDelay is how long the feed must not have been read for a watch to be
	// opened: while users ask, barriers bring all of it, and a watch would only have
	// it decoded twice.
	watchIdleDelay  = 100 * time.Millisecond
	storeRetryDelay = 250 * time.Millisecond
	// watchRateFraction and barrierRateFraction are the parts of this controller's requests that
	// reading the feed may take.
	watchRateFraction   = 0.25
	barrierRateFraction = 0.3
)

// callInterval is the time between calls that may take a part of this controller's
// share of the state service's requests.
func (c *Controller) callInterval(least time.Duration, part float64) time.Duration {
	return max(least, config.Seconds(1/(part*c.rateFraction()*c.settings.Cluster.State.RPS)))
}

// applyWatchResult takes an answer of the feed and reports whether it was one.
func (c *Controller) applyWatchResult(f WatchResult) bool {
	c.metrics.countFailure(f.Outcome, countStoreRefused, countStoreUnanswered)
	switch f.Outcome {
	case Succeeded:
	case Compacted:
		if c.membership.loaded {
			c.log.Info("the feed no longer goes back far enough; reading everything again")
			c.membership.loaded, c.membership.loading = false, false
		}
		return false
	default:
		return false
	}
	c.noteStoreResponse()
	for _, l := range f.Response.Events {
		if l.Put != "" {
			c.apply(l.Put, l.Value, l.Version)
		} else {
			c.apply(l.Delete, nil, l.Version)
		}
	}
	c.cache.revision = max(c.cache.revision, f.Response.Revision)
	if c.membership.loaded {
		c.noteCacheCurrent(c.callStartedAt)
	}
	for key, version := range c.cache.deletedKeys {
		if version <= c.cache.revision {
			delete(c.cache.deletedKeys, key)
			delete(c.cache.keyVersions, key)
		}
	}
	return true
}

// readBarrier calls then once the cache holds everything that was written before
// now. All who wait share one request.
func (c *Controller) readBarrier(then func(ok bool)) {
	if !c.membership.loaded {
		then(false)
		return
	}
	c.cache.barrierQueue = append(c.cache.barrierQueue, then)
	c.startBarrier()
}

func (c *Controller) startBarrier() {
	if c.cache.barrierInFlight || len(c.cache.barrierQueue) == 0 || !c.isDue(c.cache.nextBarrier) {
		return
	}
	c.cache.barrierInFlight = true
	c.cache.nextBarrier = c.now.Add(c.callInterval(0, barrierRateFraction))
	c.cache.barrierWaiters, c.cache.barrierQueue = c.cache.barrierQueue, nil
	after := c.cache.revision
	c.emit(Watch{Call: call(c, func(f WatchResult) {
		ok := after <= c.cache.revision && c.applyWatchResult(f)
		c.cache.barrierInFlight = false
		served := c.cache.barrierWaiters
		c.cache.barrierWaiters = nil
		for _, then := range served {
			then(ok)
		}
		c.startBarrier()
	}), Priority: PriorityAdmission, Prefix: record.RootKey, After: after})
}
