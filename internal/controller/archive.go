package controller

import (
	"cmp"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"lilacrill/internal/fastjson"
	"lilacrill/internal/record"
	"lilacrill/internal/rendezvous"
	"lilacrill/wire"
)

// A completion is first written into the job's own record, where it replaces the job's
// specification. This takes one write, whereas a completion under a separate key and the deletion
// of the record take two. If hundreds of small jobs complete every minute, the writes limit how
// many jobs can be served. When there are many completions, the oldest are archived while the write
// budget allows it. They are moved to separate keys, which are not loaded when a controller starts.
//
// A completion is moved by one transaction, so one of the two keys exists at any moment. A delayed
// copy of a submission requires that neither key exists, and so fails whenever it arrives.

const (
	// maxCompletedInPlace is the number of completions in their jobs' records above which the
	// oldest are archived. Above twice that number, archiving takes precedence over submissions.
	maxCompletedInPlace = 2000
	archiveInterval     = time.Second
)

var errNotTerminal = errors.New("completion without a final status")

// archiveState is the state of archiving completions.
type archiveState struct {
	inFlight bool
	next     Time
}

// completedRecord identifies a job's record that holds its completion, with the record's version.
type completedRecord struct {
	id      wire.JobID
	version wire.Revision
}

// completion returns the completion of a job, and whether it is in the cache.
func (s *stateCache) completion(id wire.JobID) (record.Completion, bool) {
	if completion, ok := s.completedJobs[id]; ok {
		return completion, true
	}
	completion, ok := s.archivedJobs[id]
	return completion, ok
}

// applyArchivedJob applies the record of an archived completion to the cache.
func (c *Controller) applyArchivedJob(id wire.JobID, value json.RawMessage) error {
	var completion record.Completion
	if err := fastjson.Unmarshal(value, &completion); err != nil {
		return err
	}
	if !completion.Status.IsTerminal() {
		return errNotTerminal
	}
	c.cache.addArchived(id, completion)
	return nil
}

// addArchived caches an archived completion. If the cache is full, it drops an arbitrary other one.
func (s *stateCache) addArchived(id wire.JobID, completion record.Completion) {
	if len(s.archivedJobs) >= maxArchivedJobs {
		for other := range s.archivedJobs {
			delete(s.archivedJobs, other)
			break
		}
	}
	s.archivedJobs[id] = completion
}

// archiveDue reports whether completions should be archived now.
func (c *Controller) archiveDue() bool {
	completed := len(c.cache.completedJobs)
	if completed <= maxCompletedInPlace || c.archive.inFlight || !c.isDue(c.archive.next) || !c.canAffordWrite() {
		return false
	}
	return !c.submissionsBacklogged() || completed > 2*maxCompletedInPlace
}

// archiveCompletedJobs archives some of the oldest completions. Each controller archives only the
// jobs that isArchiverOf assigns to it.
func (c *Controller) archiveCompletedJobs() {
	if !c.archiveDue() {
		return
	}
	c.archive.next = c.now.Add(archiveInterval)
	txn := c.archiveTransaction()
	if len(txn.Then) == 0 {
		return
	}
	c.archive.inFlight = true
	c.commit(PriorityBackground, txn, func(CommitResult) { c.archive.inFlight = false })
}

// archiveTransaction returns a transaction that moves as many of the oldest completions as fit into
// a small transaction. It is empty if this controller has none to move.
func (c *Controller) archiveTransaction() wire.Transaction {
	const operationsPerJob = 2
	limit := min(c.settings.Cluster.State.TxnOps, typicalTransactionWrites)
	oldest := c.cache.completedRecords()
	var txn wire.Transaction
	for _, old := range oldest[:len(oldest)-maxCompletedInPlace] {
		if len(txn.Then)+operationsPerJob > limit {
			break
		}
		if !c.isArchiverOf(old.id) {
			continue
		}
		jobKey, archiveKey := record.JobKey(old.id), record.CompletionKey(old.id)
		txn.If = append(txn.If, wire.Condition{Key: jobKey, Version: old.version}, wire.Condition{Key: archiveKey})
		txn.Then = append(txn.Then, c.putChange(archiveKey, c.cache.completedJobs[old.id]), wire.Change{Delete: jobKey})
	}
	return txn
}

// completedRecords returns the records that hold completions, the oldest first.
func (s *stateCache) completedRecords() []completedRecord {
	records := make([]completedRecord, 0, len(s.completedJobs))
	for id := range s.completedJobs {
		records = append(records, completedRecord{id, s.keyVersions[record.JobKey(id)]})
	}
	slices.SortFunc(records, func(a, b completedRecord) int {
		return cmp.Or(cmp.Compare(a.version, b.version), cmp.Compare(a.id, b.id))
	})
	return records
}

// isArchiverOf reports whether this controller, and no peer, archives the completion of a job.
func (c *Controller) isArchiverOf(id wire.JobID) bool {
	eligible := c.ownership.eligible
	return len(eligible) == 0 || rendezvous.HighestScoring(eligible, string(id)) == c.settings.Label
}
