package controller

import (
	"time"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

const (
	// joinConflictDelay is how long to wait after another controller changed the token
	// while this one joined.
	joinConflictDelay = 50 * time.Millisecond
	// serialBits leaves room for 16 million serial numbers a process and for an
	// incarnation of 29 bits below 2^53, which is as far as decimal numbers in JSON are
	// exact.
	serialBits = 24
)

// membership is this process's place among the controllers: its lease and its incarnation. It
// becomes ready once its cache holds the raise of the token that made its incarnation, and
// everything that was written before that.
type membership struct {
	nextAttempt Time // to load the cache, or to join

	incarnation wire.FencingToken // the token that this process raised when it started; 0 until then
	joining     bool
	ready       bool
	readyAt     Time
	lastSerial  uint64

	leaseID           wire.LeaseID // 0: none
	leaseCallInFlight bool
	nextRenewal       Time
	enrolled          bool // our liveness record hangs on the present lease
}

func (c *Controller) tickMembership() {
	c.keepCacheLoaded()
	if !c.membership.leaseCallInFlight && c.isDue(c.membership.nextRenewal) {
		c.renewLease()
	}
	c.catchUpAfterOutage()
	c.keepCacheCurrent()
	c.startBarrier()
	c.keepEnrolled()
	c.checkReady()
}

// keepEnrolled writes this controller's liveness record where it is missing or wrong: a late
// copy of an earlier one may hang it on a lease that has since expired, or others should
// know that this controller has lost the workers, or has them again.
func (c *Controller) keepEnrolled() {
	label := c.settings.Label
	if c.membership.enrolled && (c.cache.liveControllers[label] != c.membership.incarnation || c.cache.isolatedControllers[label] != c.isolated()) {
		c.membership.enrolled = false
	}
	if c.cache.complete() && c.membership.leaseID != 0 && !c.membership.enrolled && !c.membership.joining && c.isDue(c.membership.nextAttempt) {
		c.join()
	}
}

func (c *Controller) checkReady() {
	if c.membership.ready || c.membership.incarnation == 0 || c.cache.token < c.membership.incarnation {
		return
	}
	c.membership.ready, c.membership.readyAt = true, c.now
	c.rolloutEvent(RolloutReady)
	c.log.Info("ready", "incarnation", c.membership.incarnation, "revision", c.cache.revision, "jobs", len(c.cache.jobs))
}

// join lists this controller among the live ones. The first time it also raises the token:
// whatever an earlier process of any controller sent is fenced off from every worker that
// has seen it. The new token is this process's incarnation, which also makes its serial
// numbers unique.
func (c *Controller) join() {
	c.membership.joining = true
	incarnation := c.membership.incarnation
	if incarnation == 0 {
		incarnation = c.cache.token + 1
	}
	leaseID := c.membership.leaseID
	c.commit(PriorityLease, c.joinTransaction(incarnation), func(result CommitResult) {
		c.membership.joining = false
		c.handleJoinResult(result.Outcome, incarnation, leaseID)
		// The token is taken from a read of the state store alone.
		c.refreshCache()
	})
}

// joinTransaction is conditional on the format in force that this process knows: one that
// cannot read a newer format is neither listed before it learns of that nor after.
func (c *Controller) joinTransaction(incarnation wire.FencingToken) wire.Transaction {
	txn := wire.Transaction{If: []wire.Condition{c.rollout.tracker.Condition()}}
	if c.membership.incarnation == 0 {
		txn.If = append(txn.If, wire.Condition{Key: record.TokenKey, Version: c.cache.keyVersions[record.TokenKey]})
		txn.Then = []wire.Change{c.putChange(record.TokenKey, incarnation),
			c.putChange(record.RegistrationKey(c.settings.Label), c.registration(incarnation))}
	}
	liveness := c.putChange(record.LivenessKey(c.settings.Label), record.Liveness{Incarnation: incarnation, Isolated: c.isolated()})
	liveness.LeaseID = c.membership.leaseID
	txn.Then = append(txn.Then, liveness)
	return txn
}

func (c *Controller) handleJoinResult(outcome Outcome, incarnation wire.FencingToken, leaseID wire.LeaseID) {
	switch outcome {
	case Succeeded:
		if c.membership.incarnation == 0 {
			c.membership.incarnation = incarnation
			c.shards.table.SetIncarnation(incarnation)
			c.rolloutEvent(RolloutRegistered)
		}
		c.membership.enrolled = c.membership.leaseID == leaseID
	case Conflict:
		c.membership.nextAttempt = c.now.Add(joinConflictDelay)
	case NotFound:
		c.membership.dropLease(c.now)
	default:
		c.membership.nextAttempt = c.now.Add(storeRetryDelay)
	}
}

// registration is what this process registers.
func (c *Controller) registration(incarnation wire.FencingToken) record.Registration {
	registration := c.rollout.tracker.Registration(incarnation)
	registration.Sharding = c.shardingEnabled()
	return registration
}

// isAlive reports whether the process of an incarnation is known to be alive.
func (c *Controller) isAlive(incarnation wire.FencingToken) bool {
	if incarnation == c.membership.incarnation {
		return true
	}
	_, alive := c.cache.liveController(incarnation)
	return alive
}

// isIsolatedIncarnation reports whether the process of an incarnation reaches no workers, by
// its own liveness record.
func (c *Controller) isIsolatedIncarnation(incarnation wire.FencingToken) bool {
	label, alive := c.cache.liveController(incarnation)
	return alive && c.cache.isolatedControllers[label]
}

// liveController finds the label of the live controller whose process has an incarnation.
func (s *stateCache) liveController(incarnation wire.FencingToken) (label string, alive bool) {
	for label, live := range s.liveControllers {
		if live == incarnation {
			return label, true
		}
	}
	return "", false
}

// nextSerial makes a number that no other process ever makes: the incarnation, then a
// counter.
func (m *membership) nextSerial() uint64 {
	m.lastSerial++
	return uint64(m.incarnation)<<serialBits | m.lastSerial
}
