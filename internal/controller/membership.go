package controller

import (
	"time"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

const (
	// joinConflictDelay is how long to wait before the next attempt to join after a
	// conflict, as when another controller changed the token meanwhile.
	joinConflictDelay = 50 * time.Millisecond
	// serialBits allows 16 million serial numbers per process, and incarnations of 29 bits
	// below 2^53, the limit up to which numbers in JSON are exact.
	serialBits = 24
)

// membership is the state of this process as one of the controllers: its lease and its
// incarnation. The process becomes ready once its cache holds the raise of the token that
// established its incarnation, and everything that was written before that.
type membership struct {
	nextAttempt Time // earliest time of the next attempt to load the cache or to join

	incarnation wire.FencingToken // the token that this process raised when it started; 0 until then
	joining     bool
	ready       bool
	readyAt     Time
	lastSerial  uint64

	leaseID           wire.LeaseID // 0: none
	leaseCallInFlight bool
	nextRenewal       Time
	livenessRecorded  bool // the liveness record is attached to the present lease
}

// tickMembership keeps the cache loaded and current, renews the lease and the liveness record,
// and makes this controller ready when it can be.
func (c *Controller) tickMembership() {
	c.keepCacheLoaded()
	if !c.membership.leaseCallInFlight && c.isDue(c.membership.nextRenewal) {
		c.renewLease()
	}
	c.catchUpAfterOutage()
	c.keepCacheCurrent()
	c.startBarrier()
	c.maintainLivenessRecord()
	c.checkReady()
}

// maintainLivenessRecord writes this controller's liveness record if it is missing or wrong. A
// delayed write may have attached the record to a lease that has since expired, or the record may
// not state correctly whether this controller is isolated.
func (c *Controller) maintainLivenessRecord() {
	label := c.settings.Label
	if c.membership.livenessRecorded && (c.cache.liveControllers[label] != c.membership.incarnation || c.cache.isolatedControllers[label] != c.isolated()) {
		c.membership.livenessRecorded = false
	}
	if c.cache.complete() && c.membership.leaseID != 0 && !c.membership.livenessRecorded && !c.membership.joining && c.isDue(c.membership.nextAttempt) {
		c.join()
	}
}

// checkReady makes this controller ready once its cache holds the token of its incarnation.
func (c *Controller) checkReady() {
	if c.membership.ready || c.membership.incarnation == 0 || c.cache.token < c.membership.incarnation {
		return
	}
	c.membership.ready, c.membership.readyAt = true, c.now
	c.emitRolloutEvent(RolloutReady)
	c.log.Info("ready", "incarnation", c.membership.incarnation, "revision", c.cache.revision, "jobs", len(c.cache.jobs))
}

// join writes this controller's liveness record. The first time, it also raises the fencing
// token, so that every worker that has seen the new token refuses commands that any controller
// sent earlier. The new token is the incarnation of this process, and it also makes the
// process's serial numbers unique.
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
		// The cache takes the token only from a read of the state store.
		c.refreshCache()
	})
}

// joinTransaction returns the transaction of join. It is conditional on the format in force
// that this process knows, so that a process that cannot read a newer format gets no liveness
// record once that format is in force, even before the process learns of it.
func (c *Controller) joinTransaction(incarnation wire.FencingToken) wire.Transaction {
	txn := wire.Transaction{If: []wire.Condition{c.rollout.tracker.Condition()}}
	if c.membership.incarnation == 0 {
		txn.If = append(txn.If, wire.Condition{Key: record.FencingTokenKey, Version: c.cache.keyVersions[record.FencingTokenKey]})
		txn.Then = []wire.Change{c.putChange(record.FencingTokenKey, incarnation),
			c.putChange(record.RegistrationKey(c.settings.Label), c.registration(incarnation))}
	}
	liveness := c.putChange(record.LivenessKey(c.settings.Label), record.Liveness{Incarnation: incarnation, Isolated: c.isolated()})
	liveness.LeaseID = c.membership.leaseID
	txn.Then = append(txn.Then, liveness)
	return txn
}

// handleJoinResult handles the outcome of a join transaction for an incarnation and a lease.
func (c *Controller) handleJoinResult(outcome Outcome, incarnation wire.FencingToken, leaseID wire.LeaseID) {
	switch outcome {
	case Succeeded:
		if c.membership.incarnation == 0 {
			c.membership.incarnation = incarnation
			c.shards.table.SetIncarnation(incarnation)
			c.emitRolloutEvent(RolloutRegistered)
		}
		c.membership.livenessRecorded = c.membership.leaseID == leaseID
	case Conflict:
		c.membership.nextAttempt = c.now.Add(joinConflictDelay)
	case NotFound:
		c.membership.dropLease(c.now)
	default:
		c.membership.nextAttempt = c.now.Add(storeRetryDelay)
	}
}

// registration returns the registration of this process under an incarnation.
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

// isIsolatedIncarnation reports whether the process of an incarnation is alive and, according
// to its liveness record, isolated.
func (c *Controller) isIsolatedIncarnation(incarnation wire.FencingToken) bool {
	label, alive := c.cache.liveController(incarnation)
	return alive && c.cache.isolatedControllers[label]
}

// liveController returns the label of the live controller whose process has an incarnation.
func (s *stateCache) liveController(incarnation wire.FencingToken) (label string, alive bool) {
	for label, live := range s.liveControllers {
		if live == incarnation {
			return label, true
		}
	}
	return "", false
}

// nextSerial returns a number that is unique across all processes. It consists of the
// incarnation and a counter.
func (m *membership) nextSerial() uint64 {
	m.lastSerial++
	return uint64(m.incarnation)<<serialBits | m.lastSerial
}
