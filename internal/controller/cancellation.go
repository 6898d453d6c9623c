package controller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// A user who was told that a job is cancelled must be able to rely on all of its tasks being
// gone in time (setting cancel_s), though the controller that a worker sends its heartbeats to
// may not know of the cancellation: the state store may refuse this one controller, and then be
// unavailable to all. The response to a heartbeat keeps the worker's tasks alive for one more
// lease. Hence one invariant, which every response to a worker is held to:
//
//	A heartbeat is answered only by a controller that knows of every cancellation that any
//	controller may have reported to a user up to maxRenewalStaleness ago, and only while no
//	task whose job is known to have been cancelled longer ago than that may still start on
//	the worker.
//
// A controller knows of cancellations in one of two ways: from its cache, as of the moment up to
// which that is known to be complete (cacheCurrentAt), or from the watermarks of all its
// siblings. A watermark lists the cancellations that its sender knows of, and acknowledges the
// newest watermark of ours that the sender has received. The acknowledgement bounds the age of
// the list by our own clock, however long the message was delayed: the list is at least as
// recent as our watermark was when we sent it. A sibling that cannot send watermarks, because it
// ended, is partitioned or has only just started, holds back the time up to which cancellations
// are known: losing messages may cost leases, never the invariant.

// cancellationWatermark is this controller's side of the protocol by which controllers tell one
// another of cancellations without the state store. What siblings sent is in peerState.
type cancellationWatermark struct {
	process        uint64 // distinguishes this process from earlier ones with its label
	cacheCurrentAt Time   // the cache holds everything that was written before
	sentAt         []Time // when the latest watermarks of ours were sent, in order
	sequence       uint64 // of the last one
	next           Time   // when the next one is due

	// recent holds the cancellations that this cache has seen after the revision since, in the
	// order of their revisions.
	recent []wire.Cancellation
	since  wire.Revision

	renewsLeases bool // whether heartbeats were answered when that was last decided
}

const (
	watermarkInterval = time.Second
	// minWatermarkInterval is the least time between watermarks when there is a cancellation
	// that a sibling cannot read from the state store.
	minWatermarkInterval = 200 * time.Millisecond
	maxWatermarksKept    = 128
	// maxRecentCancellations bounds the cancellations that are kept, and so a watermark's size.
	maxRecentCancellations = 600
	// barrierInterval is the longest time between read barriers, so that cacheCurrentAt is
	// recent.
	barrierInterval = time.Second
	// maxLaunchStaleness is how old the knowledge of cancellations may be for a launch.
	maxLaunchStaleness = 3 * time.Second
	// cancelMargin is what is left of cancel_s - lease_s for clocks that drift, for a worker
	// that notices late that its lease has expired, and for delays.
	cancelMargin = 4 * time.Second
)

func (w *cancellationWatermark) init(process uint64) {
	w.process = process
	w.renewsLeases = true
}

// reset forgets the cancellations that were seen: the cache is loaded anew.
func (w *cancellationWatermark) reset() { w.recent, w.since = nil, 0 }

// noteCacheCurrent notes that the cache holds everything that was written before a moment.
func (w *cancellationWatermark) noteCacheCurrent(at Time) {
	w.cacheCurrentAt = max(w.cacheCurrentAt, at)
}

// knownAt is the moment up to which this controller knows of every cancellation that any
// controller may have reported to a user.
func (w *cancellationWatermark) knownAt(now Time, siblings []config.Sibling, peers map[string]*peerState) Time {
	earliest := now
	for _, sibling := range siblings {
		peer := peers[sibling.Label]
		// What an earlier process of a sibling told users is known only if the cache was current
		// at some time after the first message of the present process came.
		if peer == nil || w.cacheCurrentAt < peer.firstHeardAt {
			return w.cacheCurrentAt
		}
		earliest = min(earliest, peer.cancellationsKnownAt)
	}
	return max(w.cacheCurrentAt, earliest)
}

// insert adds a cancellation and, if there are too many, forgets the earliest.
func (w *cancellationWatermark) insert(cancellation wire.Cancellation) {
	i, _ := slices.BinarySearchFunc(w.recent, cancellation, func(a, b wire.Cancellation) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Job, b.Job))
	})
	w.recent = slices.Insert(w.recent, i, cancellation)
	if excess := len(w.recent) - maxRecentCancellations; excess > 0 {
		w.forget(w.recent[excess-1].Version)
	}
}

// forget drops the cancellations up to a revision.
func (w *cancellationWatermark) forget(upTo wire.Revision) {
	w.since = max(w.since, upTo)
	i, _ := slices.BinarySearchFunc(w.recent, upTo+1, func(c wire.Cancellation, revision wire.Revision) int {
		return cmp.Compare(c.Version, revision)
	})
	w.recent = slices.Delete(w.recent, 0, i)
}

// after lists the cancellations after a revision.
func (w *cancellationWatermark) after(revision wire.Revision) []wire.Cancellation {
	var listed []wire.Cancellation
	for _, cancellation := range w.recent {
		if cancellation.Version > revision {
			listed = append(listed, cancellation)
		}
	}
	return listed
}

// noteSent numbers a watermark that is sent now and remembers when that was.
func (w *cancellationWatermark) noteSent(now Time) {
	w.next = now.Add(watermarkInterval)
	w.sequence++
	w.sentAt = append(w.sentAt, now)
	if len(w.sentAt) > maxWatermarksKept {
		w.sentAt = w.sentAt[1:]
	}
}

// sentTime is when the watermark with a sequence number was sent; false if this process sent no
// such one, or sent it too long ago to remember.
func (w *cancellationWatermark) sentTime(ack wire.WatermarkAck) (Time, bool) {
	if ack.Process != w.process || ack.Sequence > w.sequence {
		return 0, false
	}
	i := len(w.sentAt) - 1 - int(w.sequence-ack.Sequence)
	if i < 0 {
		return 0, false
	}
	return w.sentAt[i], true
}

// maxRenewalStaleness is how old the knowledge of cancellations may be for a response that
// renews a worker's lease. Where the settings leave no time for that, what suffices for a launch
// has to do.
func (c *Controller) maxRenewalStaleness() time.Duration {
	workers := &c.settings.Cluster.Workers
	return max(config.Seconds(workers.CancelS-workers.LeaseS)-cancelMargin, maxLaunchStaleness)
}

// cancellationsKnownAt is the moment up to which this controller knows of every cancellation
// that any controller may have reported to a user.
func (c *Controller) cancellationsKnownAt() Time {
	return c.cancellations.knownAt(c.now, c.settings.Siblings, c.gossip.peers)
}

// canRenewLeases reports whether heartbeats may be answered, and logs when that changes.
func (c *Controller) canRenewLeases() bool {
	staleness := c.now.Sub(c.cancellationsKnownAt())
	ok := staleness <= c.maxRenewalStaleness()
	if ok == c.cancellations.renewsLeases {
		return ok
	}
	c.cancellations.renewsLeases = ok
	if ok {
		c.log.Info("lease renewals resumed")
	} else {
		c.metrics.count(countRenewalsSuspended, 1)
		c.log.Info("lease renewals suspended", "reason", "cancellations may be unknown here",
			"cancellations_age", staleness, "cache_age", c.now.Sub(c.cancellations.cacheCurrentAt))
	}
	return ok
}

// canLaunch reports whether the knowledge of cancellations is recent enough to launch anything.
func (c *Controller) canLaunch() bool {
	return c.now.Sub(c.cancellationsKnownAt()) <= maxLaunchStaleness
}

// noteCancellation remembers a cancellation for the siblings. One that does not reach the state
// store is sent it soon, since it cannot read it there.
func (c *Controller) noteCancellation(cancellation wire.Cancellation) {
	c.cancellations.insert(cancellation)
	for _, peer := range c.gossip.peers {
		if !peer.storeReachable {
			c.cancellations.next = min(c.cancellations.next, c.now.Add(minWatermarkInterval))
		}
	}
}

// newWatermark is this controller's watermark as of now. Only a process that has loaded nothing
// yet, and so has reported nothing to any user, and one whose cache is complete may send one.
func (c *Controller) newWatermark() *wire.CancellationWatermark {
	c.cancellations.noteSent(c.now)
	watermark := &wire.CancellationWatermark{Process: c.cancellations.process, Sequence: c.cancellations.sequence, Revision: c.cache.revision}
	lowest, lowestHeard := wire.Revision(math.MaxUint64), wire.Revision(math.MaxUint64)
	for _, sibling := range c.settings.Siblings {
		peer := c.gossip.peers[sibling.Label]
		if peer == nil || peer.process == 0 {
			lowest = 0
			continue
		}
		if watermark.Acks == nil {
			watermark.Acks = map[string]wire.WatermarkAck{}
		}
		watermark.Acks[sibling.Label] = wire.WatermarkAck{Process: peer.process, Sequence: peer.sequence}
		lowest = min(lowest, peer.revision)
		if c.now.Sub(peer.lastHeardAt) <= peerTimeout {
			lowestHeard = min(lowestHeard, peer.revision)
		}
	}
	// What every sibling has read need not be kept. What those that are heard now have read need
	// not be listed, while one that is not heard may come back and need it.
	c.cancellations.forget(min(lowest, c.cache.revision))
	watermark.Since = max(c.cancellations.since, min(lowestHeard, c.cache.revision))
	watermark.Cancellations = c.cancellations.after(watermark.Since)
	return watermark
}

// applyWatermark takes the cancellations of a sibling's watermark into the cache, and notes up to
// when this proves that all are known which the sibling may have reported.
func (c *Controller) applyWatermark(peer *peerState, watermark *wire.CancellationWatermark) {
	if peer.process != watermark.Process {
		peer.process, peer.sequence, peer.firstHeardAt, peer.cancellationsKnownAt = watermark.Process, 0, c.now, 0
	}
	peer.sequence = max(peer.sequence, watermark.Sequence)
	peer.revision = max(peer.revision, watermark.Revision)
	c.applySiblingCancellations(watermark.Cancellations)
	ack, ok := watermark.Acks[c.settings.Label]
	if !ok {
		return
	}
	sentAt, ok := c.cancellations.sentTime(ack)
	if !ok {
		return
	}
	peer.ackedAt = max(peer.ackedAt, sentAt)
	// A list that begins after what was read here leaves a gap: it proves nothing.
	if c.cache.complete() && c.cache.revision >= watermark.Since {
		peer.cancellationsKnownAt = max(peer.cancellationsKnownAt, sentAt)
	}
}

// applySiblingCancellations applies the cancellations that are newer than the cache. The others
// are known here already, or their records were archived since.
func (c *Controller) applySiblingCancellations(cancellations []wire.Cancellation) {
	if c.cache.loadState != cacheLoaded {
		return
	}
	for _, cancellation := range cancellations {
		if cancellation.Version <= c.cache.revision {
			continue
		}
		completion := record.Completion{Status: wire.StatusCancelled, Done: cancellation.Done}
		c.apply(record.JobKey(cancellation.Job), encodePlain(record.CompletedJob{Completion: completion}), cancellation.Version)
	}
}
