package controller

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"lilacrill/internal/fastjson"
	"lilacrill/internal/record"
	"lilacrill/internal/rendezvous"
	"lilacrill/wire"
)

// How a job ended is first written into its own record, in the place of what it
// was: one write, where a final state under a key of its own and the drop of the
// record take two. Where hundreds of small jobs end every minute this decides how
// many can be served. In quiet moments, and only once there are many, the oldest are
// moved to keys of their own, which need not be read when a controller starts.
//
// At any moment one of the two keys stands, and a move is one transaction: so a late
// copy of a submission fails on one of them, whenever it comes.

const (
	// maxCompletedInPlace is how many ended jobs may stand in their own records before the
	// oldest are moved, and twice as many before that goes ahead of submissions.
	maxCompletedInPlace = 2000
	archiveInterval     = time.Second
)

// completion finds how a job ended, if that is known here.
func (c *Controller) completion(id wire.JobID) (record.Completion, bool) {
	if f, ok := c.cache.completedJobs[id]; ok {
		return f, true
	}
	f, ok := c.cache.archivedJobs[id]
	return f, ok
}

// applyArchivedJob takes a final state under a key of its own into the cache.
func (c *Controller) applyArchivedJob(id wire.JobID, value json.RawMessage) error {
	var f record.Completion
	if err := fastjson.Unmarshal(value, &f); err != nil {
		return err
	}
	if !f.Status.IsTerminal() {
		return errNotTerminal
	}
	c.cacheArchivedJob(id, f)
	return nil
}

func (c *Controller) cacheArchivedJob(id wire.JobID, f record.Completion) {
	if len(c.cache.archivedJobs) >= maxArchivedJobs {
		for old := range c.cache.archivedJobs {
			delete(c.cache.archivedJobs, old)
			break
		}
	}
	c.cache.archivedJobs[id] = f
}

// archiveCompletedJobs moves the final states of some jobs that ended long ago to keys of their
// own. Each controller moves its part of them.
func (c *Controller) archiveCompletedJobs() {
	if len(c.cache.completedJobs) <= maxCompletedInPlace || c.cache.archiving || !c.isDue(c.cache.nextArchive) || !c.canAffordWrite() || c.submissionsCrowded() && len(c.cache.completedJobs) <= 2*maxCompletedInPlace {
		return
	}
	c.cache.nextArchive = c.now.Add(archiveInterval)
	type old struct {
		id      wire.JobID
		version wire.Revision
	}
	oldest := make([]old, 0, len(c.cache.completedJobs))
	for id := range c.cache.completedJobs {
		oldest = append(oldest, old{id, c.cache.keyVersions[record.JobKey(id)]})
	}
	slices.SortFunc(oldest, func(a, b old) int { return cmp.Or(cmp.Compare(a.version, b.version), cmp.Compare(a.id, b.id)) })
	var txn wire.Transaction
	for _, o := range oldest[:len(oldest)-maxCompletedInPlace] {
		if len(txn.Then)+2 > min(c.settings.Cluster.State.TxnOps, typicalTransactionWrites) {
			break
		}
		if len(c.membership.eligibleControllers) > 0 && rendezvous.Highest(c.membership.eligibleControllers, string(o.id)) != c.settings.Label {
			continue
		}
		txn.If = append(txn.If, wire.Condition{Key: record.JobKey(o.id), Version: o.version}, wire.Condition{Key: record.CompletionKey(o.id)})
		txn.Then = append(txn.Then, c.putChange(record.CompletionKey(o.id), c.cache.completedJobs[o.id]), wire.Change{Delete: record.JobKey(o.id)})
	}
	if len(txn.Then) == 0 {
		return
	}
	c.cache.archiving = true
	c.commit(PriorityBackground, txn, func(CommitResult) { c.cache.archiving = false })
}
