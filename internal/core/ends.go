package core

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
	// mostOver is how many ended jobs may stand in their own records before the
	// oldest are moved, and twice as many before that goes ahead of submissions.
	mostOver  = 2000
	fileEvery = time.Second
)

// ended finds how a job ended, if that is known here.
func (c *Core) ended(id wire.JobID) (record.Completion, bool) {
	if f, ok := c.over[id]; ok {
		return f, true
	}
	f, ok := c.finals[id]
	return f, ok
}

// applyFinal takes a final state under a key of its own into the cache.
func (c *Core) applyFinal(id wire.JobID, value json.RawMessage) error {
	var f record.Completion
	if err := fastjson.Unmarshal(value, &f); err != nil {
		return err
	}
	if !f.Status.IsTerminal() {
		return errNotFinal
	}
	c.remember(id, f)
	return nil
}

func (c *Core) remember(id wire.JobID, f record.Completion) {
	if len(c.finals) >= maxFinals {
		for old := range c.finals {
			delete(c.finals, old)
			break
		}
	}
	c.finals[id] = f
}

// file moves the final states of some jobs that ended long ago to keys of their
// own. Each controller moves its part of them.
func (c *Core) file() {
	if len(c.over) <= mostOver || c.filing || !c.after(c.nextFile) || !c.affords() || c.crowded() && len(c.over) <= 2*mostOver {
		return
	}
	c.nextFile = c.now.Add(fileEvery)
	type old struct {
		id      wire.JobID
		version wire.Revision
	}
	oldest := make([]old, 0, len(c.over))
	for id := range c.over {
		oldest = append(oldest, old{id, c.keyVersions[record.JobKey(id)]})
	}
	slices.SortFunc(oldest, func(a, b old) int { return cmp.Or(cmp.Compare(a.version, b.version), cmp.Compare(a.id, b.id)) })
	var txn wire.Transaction
	for _, o := range oldest[:len(oldest)-mostOver] {
		if len(txn.Then)+2 > min(c.settings.Cluster.State.TxnOps, roundWrites) {
			break
		}
		if len(c.labels) > 0 && rendezvous.Highest(c.labels, string(o.id)) != c.settings.Label {
			continue
		}
		txn.If = append(txn.If, wire.Condition{Key: record.JobKey(o.id), Version: o.version}, wire.Condition{Key: record.CompletionKey(o.id)})
		txn.Then = append(txn.Then, c.put(record.CompletionKey(o.id), c.over[o.id]), wire.Change{Delete: record.JobKey(o.id)})
	}
	if len(txn.Then) == 0 {
		return
	}
	c.filing = true
	c.commit(ClassRest, txn, func(Committed) { c.filing = false })
}
