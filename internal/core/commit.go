package core

import (
	"encoding/json"
	"strings"

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
			c.written = max(c.written, r.Revision)
			for _, ch := range txn.Then {
				switch {
				case ch.Put == tokenKey || known != "" && strings.HasPrefix(ch.Put, known):
				case ch.Put != "":
					c.apply(ch.Put, ch.Value, r.Revision)
				default:
					c.apply(ch.Drop, nil, r.Revision)
				}
			}
		case Conflict:
			c.stateAnswered()
			c.count(countConflicts, 1)
		}
		then(r)
	}), class, txn})
}

func put(key string, v any) wire.Change { return wire.Change{Put: key, Value: encode(v)} }

func encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		// Only our own record types come here; none of them can fail.
		panic(err)
	}
	return b
}
