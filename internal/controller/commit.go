package controller

import (
	"encoding/json"
	"strings"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// commit runs a transaction and, if it succeeds, applies its changes to the cache. Changes of the
// fencing token are not applied, as the cache takes it from the watch only (see stateCache.token).
func (c *Controller) commit(priority CallPriority, txn wire.Transaction, then func(CommitResult)) {
	c.commitExceptPrefix(priority, txn, "", then)
}

// commitExceptPrefix does the same as commit, but leaves it to the caller to apply changes of keys
// under a prefix. With an empty prefix all keys are applied.
func (c *Controller) commitExceptPrefix(priority CallPriority, txn wire.Transaction, prefix string, then func(CommitResult)) {
	sent := c.now
	c.spendWrites(len(txn.Then))
	c.emit(Commit{registerCall(c, func(result CommitResult) {
		c.metrics.count(countCommits, 1)
		c.metrics.observe(latencyCommit, c.now.Sub(sent))
		c.metrics.countFailure(result.Outcome, countStoreRefused, countStoreUnanswered)
		switch result.Outcome {
		case NotExecuted:
			c.spendWrites(-len(txn.Then))
		case Succeeded:
			c.noteStoreResponse()
			c.applyCommitted(txn, prefix, result.Revision)
		case Conflict:
			c.noteStoreResponse()
			c.metrics.count(countCommitConflicts, 1)
		}
		then(result)
	}), priority, txn})
}

// applyCommitted applies the changes of a successful transaction to the cache, except changes of
// the fencing token and, unless the prefix is empty, of keys under the prefix.
func (c *Controller) applyCommitted(txn wire.Transaction, exceptPrefix string, revision wire.Revision) {
	c.metrics.count(countValuesWritten, len(txn.Then))
	c.cache.ownRevision = max(c.cache.ownRevision, revision)
	for _, change := range txn.Then {
		switch {
		case change.Put == record.FencingTokenKey || exceptPrefix != "" && strings.HasPrefix(change.Put, exceptPrefix):
		case change.Put != "":
			c.apply(change.Put, change.Value, revision)
		default:
			c.apply(change.Delete, nil, revision)
		}
	}
}

// putChange returns a change that stores a record in the format in force.
func (c *Controller) putChange(key string, value any) wire.Change {
	return wire.Change{Put: key, Value: record.Encode(c.rollout.tracker.Format(), key, value)}
}

// encodePlain encodes a record in the first format, which is uncompressed.
func encodePlain(value any) json.RawMessage { return record.Encode(record.FormatPlain, "", value) }
