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
			c.loading = false
			c.nextAttempt = c.now.Add(storeRetryDelay)
			return
		}
		c.noteStoreResponse()
		finals := c.archivedJobs
		c.stateCache.init()
		c.rollout.Reset()
		c.table.Reset()
		c.archivedJobs = finals
		c.recentCancellations, c.cancellationsSince = nil, 0
		clear(c.machinesWithCompletedTasks)
		for _, m := range c.machines {
			m.allocations = nil
		}
		clear(c.allocationsByJob)
		clear(c.criticalAllocations)
		for _, e := range l.Entries {
			c.apply(e.Key, e.Value, e.Version)
		}
		c.revision = l.First
		c.forgetCancellations(l.First)
		c.catchUpRevision = l.Last
		c.loading, c.loaded = false, true
		c.openWatch()
	}), record.LoadPrefixes})
}

// openWatch keeps one open request on the feed.
func (c *Controller) openWatch() {
	if c.watching || !c.loaded {
		return
	}
	c.watching = true
	block := watchTimeout
	if c.revision < c.catchUpRevision {
		block = 0
	}
	c.emit(Watch{Call: call(c, func(f WatchResult) {
		c.watching = false
		if !c.applyWatchResult(f) {
			c.nextWatch = c.now.Add(storeRetryDelay)
			return
		}
		// A short pause lets changes gather: what a busy feed brings is wanted
		// within a second, not at once.
		c.nextWatch = c.now.Add(c.callInterval(watchInterval, watchRateFraction))
		if c.revision < c.catchUpRevision {
			c.openWatch()
		}
	}), Priority: PriorityUrgent, Prefix: record.RootKey, After: c.revision, Block: block})
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
	c.countFailure(f.Outcome, countStoreRefused, countStoreUnanswered)
	switch f.Outcome {
	case Succeeded:
	case Compacted:
		if c.loaded {
			c.log.Info("the feed no longer goes back far enough; reading everything again")
			c.loaded, c.loading = false, false
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
	c.revision = max(c.revision, f.Response.Revision)
	if c.loaded {
		c.noteCacheCurrent(c.callStartedAt)
	}
	for key, version := range c.deletedKeys {
		if version <= c.revision {
			delete(c.deletedKeys, key)
			delete(c.keyVersions, key)
		}
	}
	return true
}

// readBarrier calls then once the cache holds everything that was written before
// now. All who wait share one request.
func (c *Controller) readBarrier(then func(ok bool)) {
	if !c.loaded {
		then(false)
		return
	}
	c.barrierQueue = append(c.barrierQueue, then)
	c.startBarrier()
}

func (c *Controller) startBarrier() {
	if c.barrierInFlight || len(c.barrierQueue) == 0 || !c.isDue(c.nextBarrier) {
		return
	}
	c.barrierInFlight = true
	c.nextBarrier = c.now.Add(c.callInterval(0, barrierRateFraction))
	c.barrierWaiters, c.barrierQueue = c.barrierQueue, nil
	after := c.revision
	c.emit(Watch{Call: call(c, func(f WatchResult) {
		ok := after <= c.revision && c.applyWatchResult(f)
		c.barrierInFlight = false
		served := c.barrierWaiters
		c.barrierWaiters = nil
		for _, then := range served {
			then(ok)
		}
		c.startBarrier()
	}), Priority: PriorityAdmission, Prefix: record.RootKey, After: after})
}
