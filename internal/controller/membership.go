package controller

import (
	"time"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// membership is this process's place among the controllers.
type membership struct {
	loading, loaded bool
	catchUpRevision wire.Revision // the cache is whole once the feed is here
	nextAttempt     Time
	nextWatch       Time
	stale           bool // the state service was away, and what changed meanwhile is not known yet
	catchingUp      bool

	incarnation wire.FencingToken // the token this process raised when it started
	joining     bool
	ready       bool
	readyAt     Time
	lastSerial  uint64

	assignedRateFraction float64  // of the state service's limits
	eligibleControllers  []string // the living controllers that reach workers

	leaseID           wire.LeaseID
	leaseCallInFlight bool
	nextRenewal       Time
	enrolled          bool // our node record hangs on the present permit
}

const (
	membershipLeaseTTL   = 5 * time.Second
	leaseRenewalInterval = 800 * time.Millisecond
)

// cacheComplete reports whether the cache is complete up to its feed.
func (c *Controller) cacheComplete() bool {
	return c.membership.loaded && c.cache.revision >= c.membership.catchUpRevision
}

func (c *Controller) tickMembership() {
	if !c.membership.loaded {
		if !c.membership.loading && c.isDue(c.membership.nextAttempt) {
			c.membership.loading = true
			c.reloadCache()
		}
	} else if !c.cache.watching && c.isDue(c.membership.nextWatch) && c.now.Sub(c.cancellations.cacheCurrentAt) > watchIdleDelay {
		c.openWatch()
	}
	if !c.membership.leaseCallInFlight && c.isDue(c.membership.nextRenewal) {
		c.tickLease()
	}
	if c.membership.stale && !c.membership.catchingUp && c.storeReachable() {
		c.membership.catchingUp = true
		c.readBarrier(func(ok bool) {
			c.membership.catchingUp = false
			c.membership.stale = !ok
		})
	}
	c.keepCacheCurrent()
	c.startBarrier()
	if c.membership.enrolled && (c.cache.liveControllers[c.settings.Label] != c.membership.incarnation || c.cache.isolatedControllers[c.settings.Label] != c.isolated()) {
		// A late copy of an earlier enrolment may hang the record on a lease that
		// has since run out; or others should know that we no longer hear workers.
		c.membership.enrolled = false
	}
	if c.cacheComplete() && c.membership.leaseID != 0 && !c.membership.enrolled && !c.membership.joining && c.isDue(c.membership.nextAttempt) {
		c.join()
	}
	if !c.membership.ready && c.membership.incarnation != 0 && c.cache.token >= c.membership.incarnation {
		c.membership.ready, c.membership.readyAt = true, c.now
		c.rolloutEvent(RolloutReady)
		c.log.Info("ready", "boot", c.membership.incarnation, "ledger", c.cache.revision, "jobs", len(c.cache.jobs))
	}
}

func (c *Controller) tickLease() {
	c.membership.leaseCallInFlight = true
	c.membership.nextRenewal = c.now.Add(leaseRenewalInterval)
	then := func(g LeaseResult) {
		c.membership.leaseCallInFlight = false
		switch g.Outcome {
		case Succeeded:
			c.noteStoreResponse()
			if g.LeaseID != 0 && g.LeaseID != c.membership.leaseID {
				c.membership.leaseID, c.membership.enrolled = g.LeaseID, false
			}
		case NotFound:
			c.noteStoreResponse()
			c.log.Warn("the lease ran out")
			c.membership.leaseID, c.membership.enrolled = 0, false
			c.membership.nextRenewal = c.now
		default:
			c.membership.nextRenewal = c.now.Add(storeRetryDelay)
		}
	}
	if c.membership.leaseID == 0 {
		c.emit(GrantLease{call(c, then), membershipLeaseTTL})
	} else {
		c.emit(RenewLease{call(c, then), c.membership.leaseID})
	}
}

// join lists this controller among the living. The first time it also raises
// the token: whatever an earlier process of any name sent is fenced off from
// every worker that has seen it, and the number names this process's hires
// and attempts.
//
// It demands the format in force that this process knows: one that cannot read a newer
// format is neither listed before it learns of that nor after.
func (c *Controller) join() {
	c.membership.joining = true
	boot := c.membership.incarnation
	txn := wire.Transaction{If: []wire.Condition{c.rollout.tracker.Demand()}}
	if boot == 0 {
		boot = c.cache.token + 1
		txn.If = append(txn.If, wire.Condition{Key: record.TokenKey, Version: c.cache.keyVersions[record.TokenKey]})
		txn.Then = []wire.Change{c.putChange(record.TokenKey, boot),
			c.putChange(record.RegistrationKey(c.settings.Label), c.registration(boot))}
	}
	node := c.putChange(record.LivenessKey(c.settings.Label), record.Liveness{Incarnation: boot, Isolated: c.isolated()})
	node.LeaseID = c.membership.leaseID
	txn.Then = append(txn.Then, node)
	leaseID := c.membership.leaseID
	c.commit(PriorityLease, txn, func(r CommitResult) {
		c.membership.joining = false
		switch r.Outcome {
		case Succeeded:
			if c.membership.incarnation == 0 {
				c.membership.incarnation = boot
				c.shards.table.Joined(boot)
				c.rolloutEvent(RolloutRegistered)
			}
			c.membership.enrolled = c.membership.leaseID == leaseID
		case Conflict:
			c.readBarrier(func(bool) {})
			c.membership.nextAttempt = c.now.Add(50 * time.Millisecond)
			return
		case NotFound:
			c.membership.leaseID, c.membership.enrolled = 0, false
			c.membership.nextRenewal = c.now
		default:
			c.membership.nextAttempt = c.now.Add(storeRetryDelay)
		}
		// The token is adopted from the feed.
		c.readBarrier(func(bool) {})
	})
}

// registration is what this process registers.
func (c *Controller) registration(boot wire.FencingToken) record.Registration {
	m := c.rollout.tracker.Registration(boot)
	m.Sharding = c.shardingEnabled()
	return m
}

// isAlive reports whether the process with this boot is known to be alive.
func (c *Controller) isAlive(boot wire.FencingToken) bool {
	if boot == c.membership.incarnation {
		return true
	}
	for _, b := range c.cache.liveControllers {
		if b == boot {
			return true
		}
	}
	return false
}

// isIsolatedIncarnation reports whether the process with this boot reaches no workers, by its
// own word.
func (c *Controller) isIsolatedIncarnation(boot wire.FencingToken) bool {
	for label, b := range c.cache.liveControllers {
		if b == boot {
			return c.cache.isolatedControllers[label]
		}
	}
	return false
}

// name makes a name or number that no other process ever makes: the boot, then
// a counter.
func (c *Controller) nextSerial() uint64 {
	c.membership.lastSerial++
	return uint64(c.membership.incarnation)<<serialBits | c.membership.lastSerial
}

// serialBits leaves room for 16 million names a process and for a boot number
// of 29 bits below 2^53, which is as far as decimal numbers in JSON are exact.
const serialBits = 24
