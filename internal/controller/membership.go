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
	writeBudget          float64  // writes that may be made now; below 0 after a large round
	writeBudgetAt        Time

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
func (c *Controller) cacheComplete() bool { return c.loaded && c.revision >= c.catchUpRevision }

func (c *Controller) tickMembership() {
	if !c.loaded {
		if !c.loading && c.isDue(c.nextAttempt) {
			c.loading = true
			c.reloadCache()
		}
	} else if !c.watching && c.isDue(c.nextWatch) && c.now.Sub(c.cacheCurrentAt) > watchIdleDelay {
		c.openWatch()
	}
	if !c.leaseCallInFlight && c.isDue(c.nextRenewal) {
		c.tickLease()
	}
	if c.stale && !c.catchingUp && c.storeReachable() {
		c.catchingUp = true
		c.readBarrier(func(ok bool) {
			c.catchingUp = false
			c.stale = !ok
		})
	}
	c.keepCacheCurrent()
	c.startBarrier()
	if c.enrolled && (c.liveControllers[c.settings.Label] != c.incarnation || c.isolatedControllers[c.settings.Label] != c.isolated()) {
		// A late copy of an earlier enrolment may hang the record on a lease that
		// has since run out; or others should know that we no longer hear workers.
		c.enrolled = false
	}
	if c.cacheComplete() && c.leaseID != 0 && !c.enrolled && !c.joining && c.isDue(c.nextAttempt) {
		c.join()
	}
	if !c.ready && c.incarnation != 0 && c.token >= c.incarnation {
		c.ready, c.readyAt = true, c.now
		c.rolloutEvent(RolloutReady)
		c.log.Info("ready", "boot", c.incarnation, "ledger", c.revision, "jobs", len(c.jobs))
	}
}

func (c *Controller) tickLease() {
	c.leaseCallInFlight = true
	c.nextRenewal = c.now.Add(leaseRenewalInterval)
	then := func(g LeaseResult) {
		c.leaseCallInFlight = false
		switch g.Outcome {
		case Succeeded:
			c.noteStoreResponse()
			if g.LeaseID != 0 && g.LeaseID != c.leaseID {
				c.leaseID, c.enrolled = g.LeaseID, false
			}
		case NotFound:
			c.noteStoreResponse()
			c.log.Warn("the lease ran out")
			c.leaseID, c.enrolled = 0, false
			c.nextRenewal = c.now
		default:
			c.nextRenewal = c.now.Add(storeRetryDelay)
		}
	}
	if c.leaseID == 0 {
		c.emit(GrantLease{call(c, then), membershipLeaseTTL})
	} else {
		c.emit(RenewLease{call(c, then), c.leaseID})
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
	c.joining = true
	boot := c.incarnation
	txn := wire.Transaction{If: []wire.Condition{c.rollout.Demand()}}
	if boot == 0 {
		boot = c.token + 1
		txn.If = append(txn.If, wire.Condition{Key: record.TokenKey, Version: c.keyVersions[record.TokenKey]})
		txn.Then = []wire.Change{c.putChange(record.TokenKey, boot),
			c.putChange(record.RegistrationKey(c.settings.Label), c.registration(boot))}
	}
	node := c.putChange(record.LivenessKey(c.settings.Label), record.Liveness{Incarnation: boot, Isolated: c.isolated()})
	node.LeaseID = c.leaseID
	txn.Then = append(txn.Then, node)
	leaseID := c.leaseID
	c.commit(PriorityLease, txn, func(r CommitResult) {
		c.joining = false
		switch r.Outcome {
		case Succeeded:
			if c.incarnation == 0 {
				c.incarnation = boot
				c.table.Joined(boot)
				c.rolloutEvent(RolloutRegistered)
			}
			c.enrolled = c.leaseID == leaseID
		case Conflict:
			c.readBarrier(func(bool) {})
			c.nextAttempt = c.now.Add(50 * time.Millisecond)
			return
		case NotFound:
			c.leaseID, c.enrolled = 0, false
			c.nextRenewal = c.now
		default:
			c.nextAttempt = c.now.Add(storeRetryDelay)
		}
		// The token is adopted from the feed.
		c.readBarrier(func(bool) {})
	})
}

// registration is what this process registers.
func (c *Controller) registration(boot wire.FencingToken) record.Registration {
	m := c.rollout.Registration(boot)
	m.Sharding = c.shardingEnabled()
	return m
}

// isAlive reports whether the process with this boot is known to be alive.
func (c *Controller) isAlive(boot wire.FencingToken) bool {
	if boot == c.incarnation {
		return true
	}
	for _, b := range c.liveControllers {
		if b == boot {
			return true
		}
	}
	return false
}

// isIsolatedIncarnation reports whether the process with this boot reaches no workers, by its
// own word.
func (c *Controller) isIsolatedIncarnation(boot wire.FencingToken) bool {
	for label, b := range c.liveControllers {
		if b == boot {
			return c.isolatedControllers[label]
		}
	}
	return false
}

// name makes a name or number that no other process ever makes: the boot, then
// a counter.
func (c *Controller) nextSerial() uint64 {
	c.lastSerial++
	return uint64(c.incarnation)<<serialBits | c.lastSerial
}

// serialBits leaves room for 16 million names a process and for a boot number
// of 29 bits below 2^53, which is as far as decimal numbers in JSON are exact.
const serialBits = 24
