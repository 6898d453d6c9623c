package core

import (
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
)

// load reads everything anew: at the start, and when the feed no longer goes
// back far enough.
func (c *Core) load() {
	c.do(Load{call(c, func(l Loaded) {
		if l.Outcome != Done {
			c.loading = false
			c.nextTry = c.now.Add(retryState)
			return
		}
		c.stateAnswered()
		finals := c.finals
		c.store.init()
		c.rollout.Reset()
		c.shares.Reset()
		c.finals = finals
		c.withdrawn, c.withdrawnFrom = nil, 0
		clear(c.overOn)
		for _, m := range c.machines {
			m.entries = nil
		}
		clear(c.ofJob)
		clear(c.critical)
		for _, e := range l.Entries {
			c.apply(e.Key, e.Value, e.Version)
		}
		c.feed = l.First
		c.forgetWithdrawn(l.First)
		c.catchUp = l.Last
		c.loading, c.loaded = false, true
		c.watch()
	}), record.LoadPrefixes})
}

// watch keeps one open request on the feed.
func (c *Core) watch() {
	if c.watching || !c.loaded {
		return
	}
	c.watching = true
	block := watchBlock
	if c.feed < c.catchUp {
		block = 0
	}
	c.do(Follow{Call: call(c, func(f Fed) {
		c.watching = false
		if !c.fed(f) {
			c.watchFrom = c.now.Add(retryState)
			return
		}
		// A short pause lets changes gather: what a busy feed brings is wanted
		// within a second, not at once.
		c.watchFrom = c.now.Add(c.every(watchPause, watchPart))
		if c.feed < c.catchUp {
			c.watch()
		}
	}), Class: ClassUrgent, Under: record.RootKey, After: c.feed, Block: block})
}

const (
	watchBlock = 10 * time.Second
	watchPause = 40 * time.Millisecond
	// watchIdle is how long the feed must not have been read for a watch to be
	// opened: while users ask, barriers bring all of it, and a watch would only have
	// it decoded twice.
	watchIdle  = 100 * time.Millisecond
	retryState = 250 * time.Millisecond
	// watchPart and barrierPart are the parts of this controller's requests that
	// reading the feed may take.
	watchPart   = 0.25
	barrierPart = 0.3
)

// every is the time between calls that may take a part of this controller's
// share of the state service's requests.
func (c *Core) every(least time.Duration, part float64) time.Duration {
	return max(least, config.Seconds(1/(part*c.share()*c.settings.Cluster.State.RPS)))
}

// fed takes an answer of the feed and reports whether it was one.
func (c *Core) fed(f Fed) bool {
	c.outcome(f.Outcome, countStateNot, countStateLost)
	switch f.Outcome {
	case Done:
	case TooOld:
		if c.loaded {
			c.log.Info("the feed no longer goes back far enough; reading everything again")
			c.loaded, c.loading = false, false
		}
		return false
	default:
		return false
	}
	c.stateAnswered()
	for _, l := range f.Feed.Events {
		if l.Put != "" {
			c.apply(l.Put, l.Value, l.Version)
		} else {
			c.apply(l.Delete, nil, l.Version)
		}
	}
	c.feed = max(c.feed, f.Feed.Revision)
	if c.loaded {
		c.readTo(c.asked)
	}
	for key, version := range c.dropped {
		if version <= c.feed {
			delete(c.dropped, key)
			delete(c.keyVersions, key)
		}
	}
	return true
}

// barrier calls then once the cache holds everything that was written before
// now. All who wait share one request.
func (c *Core) barrier(then func(ok bool)) {
	if !c.loaded {
		then(false)
		return
	}
	c.queued = append(c.queued, then)
	c.openBarrier()
}

func (c *Core) openBarrier() {
	if c.barrierOpen || len(c.queued) == 0 || !c.after(c.barrierFrom) {
		return
	}
	c.barrierOpen = true
	c.barrierFrom = c.now.Add(c.every(0, barrierPart))
	c.waiting, c.queued = c.queued, nil
	after := c.feed
	c.do(Follow{Call: call(c, func(f Fed) {
		ok := after <= c.feed && c.fed(f)
		c.barrierOpen = false
		served := c.waiting
		c.waiting = nil
		for _, then := range served {
			then(ok)
		}
		c.openBarrier()
	}), Class: ClassAccept, Under: record.RootKey, After: after})
}
