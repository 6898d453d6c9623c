package controller

import (
	"encoding/json"
	"strings"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// commit runs a transaction and takes its changes into the cache when it went
// through. The token comes by the feed alone (see store.token).
func (c *Controller) commit(class CallPriority, txn wire.Transaction, then func(CommitResult)) {
	c.commitExceptPrefix(class, txn, "", then)
}

// commitExceptPrefix is commit for a caller that takes the keys under known (if not
// empty) into the cache itself.
func (c *Controller) commitExceptPrefix(class CallPriority, txn wire.Transaction, known string, then func(CommitResult)) {
	sent := c.now
	c.spendWrites(len(txn.Then))
	c.emit(Commit{call(c, func(r CommitResult) {
		c.metrics.count(countCommits, 1)
		c.metrics.observe(latencyCommit, c.now.Sub(sent))
		c.metrics.countFailure(r.Outcome, countStoreRefused, countStoreUnanswered)
		switch r.Outcome {
		case NotExecuted:
			c.spendWrites(-len(txn.Then)) // no tokens were used
		case Succeeded:
			c.noteStoreResponse()
			c.metrics.count(countWritten, len(txn.Then))
			c.cache.ownRevision = max(c.cache.ownRevision, r.Revision)
			for _, ch := range txn.Then {
				switch {
				case ch.Put == record.TokenKey || known != "" && strings.HasPrefix(ch.Put, known):
				case ch.Put != "":
					c.apply(ch.Put, ch.Value, r.Revision)
				default:
					c.apply(ch.Delete, nil, r.Revision)
				}
			}
		case Conflict:
			c.noteStoreResponse()
			c.metrics.count(countConflicts, 1)
		}
		then(r)
	}), class, txn})
}

// putChange writes a record in the format in force.
func (c *Controller) putChange(key string, v any) wire.Change {
	return wire.Change{Put: key, Value: record.Encode(c.rollout.tracker.Format(), key, v)}
}

// encodePlain writes a record in the first format.
func encodePlain(v any) json.RawMessage { return record.Encode(record.FormatPlain, "", v) }
