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

// Once a job's cancellation is confirmed to the user, all of its tasks must have ended within
// the setting cancel_s, even if the controller that receives a worker's heartbeats does not know
// of the cancellation. It may not know because the state store refused this one controller and
// then became unavailable to all. The response to a heartbeat keeps the worker's tasks alive for
// one more lease. Every response to a worker therefore keeps this invariant:
//
//	A heartbeat is answered only by a controller that knows of every cancellation that any
//	controller may have reported to a user up to maxRenewalStaleness ago, and only while no
//	task whose job is known to have been cancelled longer ago than that may still start on
//	the worker.
//
// A controller knows of cancellations in one of two ways: from its cache, as of the time up to
// which the cache is known to be complete (cacheCurrentAt), or from the watermarks of all its
// peers. A watermark lists the cancellations that its sender knows of, and acknowledges the
// newest watermark that the sender has received from this controller. The acknowledgement bounds
// the age of the list by this controller's own clock, however long the message was delayed: the
// list is at least as recent as the sending of the acknowledged watermark. A peer that cannot
// send watermarks, because it ended, is partitioned or has just started, holds back the time up
// to which cancellations are known. Lost messages may therefore cause leases to expire, but they
// never violate the invariant.

// cancellationWatermark is this controller's side of the protocol by which controllers exchange
// cancellations without the state store. What the peers sent is kept in peerState.
type cancellationWatermark struct {
	process        uint64 // distinguishes this process from earlier ones with its label
	cacheCurrentAt Time   // the cache holds everything that was written before this time
	sentAt         []Time // when the latest watermarks were sent, in order
	sequence       uint64 // sequence number of the last watermark sent
	next           Time   // when the next watermark is due

	// recent holds the cancellations that the cache has seen after the revision since, in the
	// order of their revisions.
	recent []wire.Cancellation
	since  wire.Revision

	renewsLeases bool // the last result of canRenewLeases
}

const (
	watermarkInterval = time.Second
	// earlyWatermarkDelay is the delay of the next watermark when there is a cancellation that
	// a peer cannot read from the state store.
	earlyWatermarkDelay = 200 * time.Millisecond
	maxWatermarksKept   = 128 // watermarks whose sending times are kept
	// maxRecentCancellations bounds the cancellations that are kept, and so a watermark's size.
	maxRecentCancellations = 600
	// barrierInterval is how old cacheCurrentAt may be before a read barrier is issued to
	// renew it.
	barrierInterval = time.Second
	// maxLaunchStaleness is the largest age of the knowledge of cancellations at which tasks
	// may be launched.
	maxLaunchStaleness = 3 * time.Second
	// cancelMargin is the part of cancel_s - lease_s that is reserved for clock drift, for
	// workers that notice late that their lease has expired, and for delays.
	cancelMargin = 4 * time.Second
)

func (w *cancellationWatermark) init(process uint64) {
	w.process = process
	w.renewsLeases = true
}

// reset drops the recent cancellations when the cache is loaded anew.
func (w *cancellationWatermark) reset() { w.recent, w.since = nil, 0 }

// noteCacheCurrent records that the cache holds everything that was written before the given
// time.
func (w *cancellationWatermark) noteCacheCurrent(at Time) {
	w.cacheCurrentAt = max(w.cacheCurrentAt, at)
}

// knownAt returns the time up to which this controller knows of every cancellation that any
// controller may have reported to a user.
func (w *cancellationWatermark) knownAt(now Time, siblings []config.Sibling, peers map[string]*peerState) Time {
	earliest := now
	for _, sibling := range siblings {
		peer := peers[sibling.Label]
		// The cancellations that an earlier process of a peer reported to users are known only
		// if the cache was current at some time after the first watermark of the peer's present
		// process arrived.
		if peer == nil || w.cacheCurrentAt < peer.firstHeardAt {
			return w.cacheCurrentAt
		}
		earliest = min(earliest, peer.cancellationsKnownAt)
	}
	return max(w.cacheCurrentAt, earliest)
}

// insert adds a cancellation and, if there are too many, drops the earliest ones.
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

// after returns the cancellations after a revision.
func (w *cancellationWatermark) after(revision wire.Revision) []wire.Cancellation {
	var listed []wire.Cancellation
	for _, cancellation := range w.recent {
		if cancellation.Version > revision {
			listed = append(listed, cancellation)
		}
	}
	return listed
}

// noteSent advances the sequence number for a watermark that is sent now, and records the time.
func (w *cancellationWatermark) noteSent(now Time) {
	w.next = now.Add(watermarkInterval)
	w.sequence++
	w.sentAt = append(w.sentAt, now)
	if len(w.sentAt) > maxWatermarksKept {
		w.sentAt = w.sentAt[1:]
	}
}

// sentTime returns when the acknowledged watermark was sent. It returns false if this process
// sent no such watermark, or sent it so long ago that the time is no longer kept.
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

// maxRenewalStaleness returns the largest age of the knowledge of cancellations at which a
// worker's lease may be renewed. It is at least maxLaunchStaleness, even if the settings leave
// less time than that.
func (c *Controller) maxRenewalStaleness() time.Duration {
	workers := &c.settings.Cluster.Workers
	return max(config.Seconds(workers.CancelS-workers.LeaseS)-cancelMargin, maxLaunchStaleness)
}

// cancellationsKnownAt returns the time up to which this controller knows of every cancellation
// that any controller may have reported to a user.
func (c *Controller) cancellationsKnownAt() Time {
	return c.cancellations.knownAt(c.now, c.settings.Siblings, c.gossip.peers)
}

// canRenewLeases reports whether the knowledge of cancellations is recent enough to renew the
// leases of workers, and logs when that changes.
func (c *Controller) canRenewLeases() bool {
	staleness := c.now.Sub(c.cancellationsKnownAt())
	ok := staleness <= c.maxRenewalStaleness()
	if ok == c.cancellations.renewsLeases {
		return ok
	}
	c.cancellations.renewsLeases = ok
	if ok {
		c.log.Info("renewal of worker leases resumed")
	} else {
		c.metrics.count(countRenewalsSuspended, 1)
		c.log.Info("renewal of worker leases suspended", "reason", "this controller may not know all cancellations",
			"cancellations_age", staleness, "cache_age", c.now.Sub(c.cancellations.cacheCurrentAt))
	}
	return ok
}

// canLaunch reports whether the knowledge of cancellations is recent enough to launch tasks.
func (c *Controller) canLaunch() bool {
	return c.now.Sub(c.cancellationsKnownAt()) <= maxLaunchStaleness
}

// noteCancellation keeps a cancellation for the next watermarks. If a peer does not reach the
// state store, and so cannot read the cancellation there, the next watermark is sent early.
func (c *Controller) noteCancellation(cancellation wire.Cancellation) {
	c.cancellations.insert(cancellation)
	for _, peer := range c.gossip.peers {
		if !peer.storeReachable {
			c.cancellations.next = min(c.cancellations.next, c.now.Add(earlyWatermarkDelay))
		}
	}
}

// newWatermark returns this controller's watermark as of now, which is then to be sent. Only two
// kinds of process may send watermarks: one that has loaded nothing yet, and so has reported
// nothing to any user, and one whose cache is complete.
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
	// Cancellations that all peers have read need not be kept. Cancellations that all peers from
	// which messages arrive now have read need not be listed, but they are kept for the other
	// peers, which may come back.
	c.cancellations.forget(min(lowest, c.cache.revision))
	watermark.Since = max(c.cancellations.since, min(lowestHeard, c.cache.revision))
	watermark.Cancellations = c.cancellations.after(watermark.Since)
	return watermark
}

// applyWatermark applies the cancellations of a peer's watermark to the cache, and records the
// time up to which all cancellations that the peer may have reported are then known.
func (c *Controller) applyWatermark(peer *peerState, watermark *wire.CancellationWatermark) {
	if peer.process != watermark.Process {
		peer.process, peer.sequence, peer.firstHeardAt, peer.cancellationsKnownAt = watermark.Process, 0, c.now, 0
	}
	peer.sequence = max(peer.sequence, watermark.Sequence)
	peer.revision = max(peer.revision, watermark.Revision)
	c.applyPeerCancellations(watermark.Cancellations)
	ack, ok := watermark.Acks[c.settings.Label]
	if !ok {
		return
	}
	sentAt, ok := c.cancellations.sentTime(ack)
	if !ok {
		return
	}
	peer.ackedAt = max(peer.ackedAt, sentAt)
	// If the list begins after the revision of this cache, cancellations in between may be
	// missing here.
	if c.cache.complete() && c.cache.revision >= watermark.Since {
		peer.cancellationsKnownAt = max(peer.cancellationsKnownAt, sentAt)
	}
}

// applyPeerCancellations applies the cancellations that are newer than the cache. The others
// are known here already, or their records have been archived since.
func (c *Controller) applyPeerCancellations(cancellations []wire.Cancellation) {
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
