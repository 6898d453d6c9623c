package simulation

import (
	"slices"
	"time"

	"lilacrill/internal/controller"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

const (
	// minCommitDelay is the shortest delay of delayed transactions. maxCommitDelay bounds
	// the random delay that is added.
	minCommitDelay = 2 * time.Second
	maxCommitDelay = 10 * time.Second
)

// executeOnStore executes a call to the state store.
func (c *Cluster) executeOnStore(process *controllerProcess, output controller.Output) {
	switch o := output.(type) {
	case controller.LoadKeys:
		c.loadKeys(newCall(process, o.Call), o.Prefixes)
	case controller.Watch:
		c.watch(newCall(process, o.Call), o)
	case controller.GetKey:
		c.callStore(newCall(process, o.Call), controller.GetResult{Outcome: controller.NotExecuted}, controller.GetResult{Outcome: controller.Unknown},
			func() controller.Result { return c.getKey(o.Key) })
	case controller.Commit:
		c.commit(newCall(process, o.Call), o.Txn)
	case controller.GrantLease:
		c.callStore(newCall(process, o.Call), controller.LeaseResult{Outcome: controller.NotExecuted}, controller.LeaseResult{Outcome: controller.Unknown},
			func() controller.Result {
				return controller.LeaseResult{LeaseID: c.store.Grant(c.now, controller.Time(o.TTL))}
			})
	case controller.RenewLease:
		c.callStore(newCall(process, o.Call), controller.LeaseResult{Outcome: controller.NotExecuted}, controller.LeaseResult{Outcome: controller.Unknown},
			func() controller.Result { return c.renewLease(o.LeaseID) })
	}
}

// callStore executes a call at the state store. The argument rejected is the result while
// the store rejects calls of the caller, and lost is the result if no answer arrives.
func (c *Cluster) callStore(call pendingCall, rejected, lost controller.Result, execute func() controller.Result) {
	c.after(c.StoreDelay, func() {
		c.callRemote(call, lost, func() controller.Result {
			if c.storeRejects(call.process) {
				return rejected
			}
			return execute()
		})
	})
}

func (c *Cluster) getKey(key string) controller.GetResult {
	value, version, ok := c.store.Get(key)
	if !ok {
		return controller.GetResult{Outcome: controller.NotFound}
	}
	return controller.GetResult{Value: value, Version: version}
}

func (c *Cluster) renewLease(id wire.LeaseID) controller.LeaseResult {
	if !c.store.Renew(c.now, id) {
		return controller.LeaseResult{Outcome: controller.NotFound}
	}
	return controller.LeaseResult{LeaseID: id}
}

// commit executes a transaction. If the transaction is delayed, the caller gives it up after
// callTimeout and gets no answer.
func (c *Cluster) commit(call pendingCall, txn wire.Transaction) {
	c.checkTransaction(txn)
	formats := call.process.formats
	execute := func() controller.CommitResult { return c.commitAndCheck(call.process, formats, txn) }
	if !c.delaysCommit(call.process, txn) {
		c.callStore(call, controller.CommitResult{Outcome: controller.NotExecuted}, controller.CommitResult{Outcome: controller.Unknown},
			func() controller.Result { return execute() })
		return
	}
	c.completeCall(call, callTimeout, controller.CommitResult{Outcome: controller.Unknown})
	d := c.randomLatency()
	if !c.LoseAnswersOnly {
		d = minCommitDelay + time.Duration(c.rng.Int64N(int64(maxCommitDelay)))
	}
	c.after(d, func() {
		if execute().Outcome == controller.Succeeded {
			c.Observed[unansweredCommit]++
		}
	})
}

// delaysCommit decides, partly at random, whether a transaction is delayed. A transaction
// that the store rejects is never delayed.
func (c *Cluster) delaysCommit(process *controllerProcess, txn wire.Transaction) bool {
	delayed := c.rng.Float64() < c.DelayedCommits || c.DelayCommitsOf[process.index] || c.DelayPlacements && c.addsPlacements(txn)
	return delayed && !c.storeRejects(process)
}

// commitAndCheck commits a transaction of a process that reads the given formats, and checks
// the changes.
func (c *Cluster) commitAndCheck(process *controllerProcess, formats record.FormatRange, txn wire.Transaction) controller.CommitResult {
	attempts, shards := c.teamAttempts(txn), c.shardsWritten(txn)
	result := c.store.Commit(txn)
	switch result.Outcome {
	case controller.Succeeded:
		c.checkPlacedJobs(txn, attempts)
		c.checkPlacementOwners(process, txn, attempts)
		c.checkShardChanges(txn, shards)
		c.checkLivenessFormat(txn, formats)
	case controller.Conflict:
		c.Observed[conflictingCommit]++
		c.countConflictingPlacement(txn, attempts, result.Failed)
	}
	return result
}

// loadKeys reads the keys under each prefix in turn, each prefix at its own revision.
func (c *Cluster) loadKeys(call pendingCall, prefixes []string) {
	var result controller.LoadResult
	var loadNext func(i int)
	loadNext = func(i int) {
		switch {
		case call.callerEnded():
		case c.storeRejects(call.process) || c.rng.Float64() < c.MessageLoss:
			c.completeCall(call, callTimeout, controller.LoadResult{Outcome: controller.NotExecuted})
		case i == len(prefixes):
			c.completeCall(call, c.randomLatency(), result)
		default:
			if i == 0 {
				result.First = c.store.Revision()
			}
			result.Last = c.store.Revision()
			result.Entries = append(result.Entries, c.store.List(prefixes[i])...)
			c.after(c.randomLatency(), func() { loadNext(i + 1) })
		}
	}
	c.after(c.randomLatency(), func() { loadNext(0) })
}

// openWatch is a blocking watch that has not been answered.
type openWatch struct {
	call     pendingCall
	watch    controller.Watch
	answered bool
}

// watch executes a watch. A watch that does not block is answered with the changes so far.
func (c *Cluster) watch(call pendingCall, watch controller.Watch) {
	if watch.Block == 0 {
		c.callStore(call, controller.WatchResult{Outcome: controller.NotExecuted}, controller.WatchResult{Outcome: controller.Unknown},
			func() controller.Result { return c.changesSince(watch) })
		return
	}
	open := &openWatch{call: call, watch: watch}
	c.openWatches = append(c.openWatches, open)
	c.after(c.randomLatency(), func() { c.serveWatch(open, false) })
	c.after(watch.Block, func() { c.serveWatch(open, true) })
}

// changesSince returns the changes for a watch, or the outcome Compacted if some of them have
// been dropped.
func (c *Cluster) changesSince(watch controller.Watch) controller.WatchResult {
	if c.store.IsCompacted(watch.After) {
		return controller.WatchResult{Outcome: controller.Compacted}
	}
	return controller.WatchResult{Response: c.store.Changes(watch.Prefix, watch.After)}
}

// notifyWatches serves all open watches after a change.
func (c *Cluster) notifyWatches() {
	for _, open := range c.openWatches {
		c.after(c.randomLatency(), func() { c.serveWatch(open, false) })
	}
}

// serveWatch answers an open watch if there are changes for it or it has timed out.
func (c *Cluster) serveWatch(open *openWatch, timeout bool) {
	if open.answered {
		return
	}
	switch {
	case open.call.callerEnded():
	case !c.storeRejects(open.call.process):
		result := c.changesSince(open.watch)
		if result.Outcome == controller.Succeeded && len(result.Response.Events) == 0 && !timeout {
			return
		}
		c.completeCall(open.call, c.randomLatency(), result)
	case timeout:
		c.completeCall(open.call, c.randomLatency(), controller.WatchResult{Outcome: controller.Unknown})
	default:
		return // the watch stays open until the store accepts calls again
	}
	open.answered = true
	c.openWatches = slices.DeleteFunc(c.openWatches, func(watch *openWatch) bool { return watch.answered })
}
