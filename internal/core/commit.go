package core

import (
	"encoding/json"
	"strings"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// commit runs a transaction and takes its changes into the cache when it went
// through. The token comes by the feed alone (see store.token).
func (c *Core) commit(class Class, txn wire.Transaction, then func(Committed)) {
	c.commitKnown(class, txn, "", then)
}

// commitKnown is commit for a caller that takes the keys under known (if not
// empty) into the cache itself.
func (c *Core) commitKnown(class Class, txn wire.Transaction, known string, then func(Committed)) {
	sent := c.now
	c.spend(len(txn.Then))
	c.do(Commit{call(c, func(r Committed) {
		c.count(countCommits, 1)
		c.took(timeCommit, c.now.Sub(sent))
		c.outcome(r.Outcome, countStateNot, countStateLost)
		switch r.Outcome {
		case NotDone:
			c.spend(-len(txn.Then)) // no tokens were used
		case Done:
			c.stateAnswered()
			c.count(countWritten, len(txn.Then))
			c.written = max(c.written, r.Revision)
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
			c.stateAnswered()
			c.count(countConflicts, 1)
		}
		then(r)
	}), class, txn})
}

// put writes a record in the format in force.
func (c *Core) put(key string, v any) wire.Change {
	return wire.Change{Put: key, Value: record.Encode(c.rollout.Format(), key, v)}
}

// encode writes a record in the first format.
func encode(v any) json.RawMessage { return record.Encode(record.FormatPlain, "", v) }
