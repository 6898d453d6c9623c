package simulation

import (
	"slices"
	"time"

	"lilacrill/internal/controller"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

const (
	// minCommitDelay is the least delay of delayed transactions, and maxCommitDelay bounds
	// what comes on top.
	minCommitDelay = 2 * time.Second
	maxCommitDelay = 10 * time.Second
)

// executeOnStore carries out a call to the state store.
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

// callStore executes a call at the state store; rejected is its result while the store
// rejects the caller, and lost if no answer comes.
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

// commit executes a transaction, or delays it while its caller gives it up.
func (c *Cluster) commit(call pendingCall, txn wire.Transaction) {
	c.checkTransaction(txn)
	formats := call.process.formats
	execute := func() controller.CommitResult { return c.commitChecked(call.process, formats, txn) }
	if !c.delaysCommit(call.process, txn) {
		c.callStore(call, controller.CommitResult{Outcome: controller.NotExecuted}, controller.CommitResult{Outcome: controller.Unknown},
			func() controller.Result { return execute() })
		return
	}
	c.completeCall(call, callTimeout, controller.CommitResult{Outcome: controller.Unknown})
	d := c.latency()
	if !c.LoseAnswersOnly {
		d = minCommitDelay + time.Duration(c.rng.Int64N(int64(maxCommitDelay)))
	}
	c.after(d, func() {
		if execute().Outcome == controller.Succeeded {
			c.Observed[unansweredCommit]++
		}
	})
}

// delaysCommit draws whether a transaction is delayed; the store rejects it sooner if it
// does.
func (c *Cluster) delaysCommit(process *controllerProcess, txn wire.Transaction) bool {
	delayed := c.rng.Float64() < c.DelayedCommits || c.DelayCommitsOf[process.index] || c.DelayPlacements && c.addsPlacements(txn)
	return delayed && !c.storeRejects(process)
}

// commitChecked commits a transaction of a process that reads these formats, and checks
// what it changes.
func (c *Cluster) commitChecked(process *controllerProcess, formats record.FormatRange, txn wire.Transaction) controller.CommitResult {
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

// loadKeys reads the keys under one prefix after another, each at its own revision.
func (c *Cluster) loadKeys(call pendingCall, prefixes []string) {
	var result controller.LoadResult
	var loadNext func(i int)
	loadNext = func(i int) {
		switch {
		case call.callerEnded():
		case c.storeRejects(call.process) || c.rng.Float64() < c.MessageLoss:
			c.completeCall(call, callTimeout, controller.LoadResult{Outcome: controller.NotExecuted})
		case i == len(prefixes):
			c.completeCall(call, c.latency(), result)
		default:
			if i == 0 {
				result.First = c.store.Revision()
			}
			result.Last = c.store.Revision()
			result.Entries = append(result.Entries, c.store.List(prefixes[i])...)
			c.after(c.latency(), func() { loadNext(i + 1) })
		}
	}
	c.after(c.latency(), func() { loadNext(0) })
}

// openWatch is a watch that waits for a change.
type openWatch struct {
	call     pendingCall
	watch    controller.Watch
	answered bool
}

// watch answers a watch, at once if it does not block.
func (c *Cluster) watch(call pendingCall, watch controller.Watch) {
	if watch.Block == 0 {
		c.callStore(call, controller.WatchResult{Outcome: controller.NotExecuted}, controller.WatchResult{Outcome: controller.Unknown},
			func() controller.Result { return c.changesSince(watch) })
		return
	}
	open := &openWatch{call: call, watch: watch}
	c.openWatches = append(c.openWatches, open)
	c.after(c.latency(), func() { c.serveWatch(open, false) })
	c.after(watch.Block, func() { c.serveWatch(open, true) })
}

// changesSince is the changes that a watch asks for.
func (c *Cluster) changesSince(watch controller.Watch) controller.WatchResult {
	if c.store.IsCompacted(watch.After) {
		return controller.WatchResult{Outcome: controller.Compacted}
	}
	return controller.WatchResult{Response: c.store.Changes(watch.Prefix, watch.After)}
}

// notifyWatches serves the open watches after a change.
func (c *Cluster) notifyWatches() {
	for _, open := range c.openWatches {
		c.after(c.latency(), func() { c.serveWatch(open, false) })
	}
}

// serveWatch answers an open watch if there are changes for it, or its time is over.
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
		c.completeCall(open.call, c.latency(), result)
	case timeout:
		c.completeCall(open.call, c.latency(), controller.WatchResult{Outcome: controller.Unknown})
	default:
		return // it waits for the store to accept calls again
	}
	open.answered = true
	c.openWatches = slices.DeleteFunc(c.openWatches, func(watch *openWatch) bool { return watch.answered })
}
