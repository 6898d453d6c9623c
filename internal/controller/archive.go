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

// A completion is first written into the job's own record, in the place of its specification:
// one write, where a completion under a key of its own and the deletion of the record take two.
// Where hundreds of small jobs complete every minute this decides how many can be served. When
// there are many, the oldest are archived while there are writes to spare: moved to keys of their
// own, which need not be loaded when a controller starts.
//
// At any moment one of the two keys exists, since a completion is moved by one transaction: a
// delayed copy of a submission, which demands that neither exists, fails whenever it arrives.

const (
	// maxCompletedInPlace is how many completions may be in their jobs' records before the oldest
	// are archived. From twice as many on, archiving goes ahead of submissions.
	maxCompletedInPlace = 2000
	archiveInterval     = time.Second
)

var errNotTerminal = errors.New("completion without a final status")

// archiveState is the state of the moves of completions.
type archiveState struct {
	inFlight bool
	next     Time
}

// completedRecord is a job's record that holds its completion.
type completedRecord struct {
	id      wire.JobID
	version wire.Revision
}

// completion is how a job was completed, if that is known here.
func (s *stateCache) completion(id wire.JobID) (record.Completion, bool) {
	if completion, ok := s.completedJobs[id]; ok {
		return completion, true
	}
	completion, ok := s.archivedJobs[id]
	return completion, ok
}

// applyArchivedJob takes an archived completion into the cache.
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

// addArchived caches an archived completion; if there are too many, any other one is dropped.
func (s *stateCache) addArchived(id wire.JobID, completion record.Completion) {
	if len(s.archivedJobs) >= maxArchivedJobs {
		for other := range s.archivedJobs {
			delete(s.archivedJobs, other)
			break
		}
	}
	s.archivedJobs[id] = completion
}

// archiveDue reports whether completions are to be archived now.
func (c *Controller) archiveDue() bool {
	completed := len(c.cache.completedJobs)
	if completed <= maxCompletedInPlace || c.archive.inFlight || !c.isDue(c.archive.next) || !c.canAffordWrite() {
		return false
	}
	return !c.submissionsCrowded() || completed > 2*maxCompletedInPlace
}

// archiveCompletedJobs archives some of the oldest completions. Each controller archives its part
// of them.
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

// archiveTransaction moves as many of the oldest completions as a small transaction holds.
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

// completedRecords lists the records that hold completions, the oldest first.
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

// isArchiverOf reports whether this controller, rather than a sibling, archives a job.
func (c *Controller) isArchiverOf(id wire.JobID) bool {
	eligible := c.ownership.eligible
	return len(eligible) == 0 || rendezvous.Highest(eligible, string(id)) == c.settings.Label
}
