package simulation

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"lilacrill/internal/controller"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// callStore carries a call to the state service out; refused is the result while
// it refuses.
func (c *Cluster) callStore(process *controllerProcess, call controller.CallID, refused, lost controller.Result, exec func() controller.Result) {
	generation := process.generation
	c.after(c.StoreDelay, func() {
		c.callRemote(process, generation, call, lost, func() controller.Result {
			if c.StoreUnavailable || c.StorePartitioned[process.index] {
				return refused
			}
			return exec()
		})
	})
}

// checkTransaction holds a transaction against the limits of the state service, and
// wants every record written on the condition that it is as it was read.
func (c *Cluster) checkTransaction(txn wire.Transaction) {
	limits := c.Settings.Cluster.State
	if len(txn.Then) > limits.TxnOps || len(txn.If) > 4*limits.TxnOps {
		c.violation("transaction with %d changes and %d conditions", len(txn.Then), len(txn.If))
	}
	for _, change := range txn.Then {
		c.Observed[valuesWritten]++
		c.Observed[bytesWritten] += len(change.Value)
		for _, records := range []string{"l/p/", "l/j/", "l/f/", "l/m"} {
			if strings.HasPrefix(change.Put, records) && !slices.ContainsFunc(txn.If, func(condition wire.Condition) bool { return condition.Key == change.Put }) {
				c.violation("%s written without a condition on it", change.Put)
			}
		}
		if format := c.ActiveFormat(); format < record.FormatCompressed && strings.HasPrefix(string(change.Value), `"`) {
			c.violation("%s written in a later format than %d, which is in force", change.Put, format)
		}
		if float64(len(change.Value)) > limits.ValueKB*1024 {
			c.violation("value of %d bytes under %s", len(change.Value), change.Put)
		}
	}
}

// ActiveFormat is the format that stands in the state service.
func (c *Cluster) ActiveFormat() wire.Format {
	value, _, ok := c.store.Get(record.RolloutKey)
	state := record.Rollout{Format: record.FormatPlain}
	if ok && json.Unmarshal(value, &state) != nil {
		return 0
	}
	return state.Format
}

// checkLivenessFormat wants nobody listed among the living, by a transaction that was carried
// out, who does not read the format in force.
func (c *Cluster) checkLivenessFormat(txn wire.Transaction, reads record.FormatRange) {
	for _, change := range txn.Then {
		if strings.HasPrefix(change.Put, record.LivenessPrefix) && !reads.Reads(c.ActiveFormat()) {
			c.violation("%s written by a process that does not read format %d", change.Put, c.ActiveFormat())
		}
	}
}

// checkPeerMessage wants lines in no later format than the one in force.
func (c *Cluster) checkPeerMessage(message *wire.PeerMessage) {
	if format := c.ActiveFormat(); message.Format > format {
		c.violation("line from %s in format %d while %d is in force", message.From, message.Format, format)
	}
	if (message.Capacity != nil || message.ForwardedJobs != nil) && message.Format < record.FormatSharding {
		c.violation("line from %s with room or jobs handed on in format %d", message.From, message.Format)
	}
}

// teamAttempts are the attempts in a team's records that a transaction is about
// to write.
func (c *Cluster) teamAttempts(txn wire.Transaction) map[string]bool {
	out := map[string]bool{}
	for _, change := range txn.Then {
		if parts := strings.Split(change.Put, "/"); strings.HasPrefix(change.Put, "l/p/") {
			for _, entry := range c.store.List("l/p/" + parts[2] + "/") {
				for name := range pageAttempts(entry.Value) {
					out[name] = true
				}
			}
		}
	}
	return out
}

// checkPlacedJobs wants every attempt that a transaction adds to be of a job
// that there is.
func (c *Cluster) checkPlacedJobs(txn wire.Transaction, before map[string]bool) {
	for _, change := range txn.Then {
		if !strings.HasPrefix(change.Put, "l/p/") {
			continue
		}
		for name, id := range pageAttempts(change.Value) {
			if !c.isJobOpen(id) && !before[name] {
				c.violation("placed without its job: %s", name)
			}
		}
	}
}

// isJobOpen reports whether there is a job that is not over.
func (c *Cluster) isJobOpen(id wire.JobID) bool {
	value, _, ok := c.store.Get(record.JobKey(id))
	var job record.Job
	return ok && record.Decode(value, maxRecordSize, &job) == nil && job.Completion == nil
}

// maxRecordSize is more than any record of a world takes.
const maxRecordSize = 1 << 20

// decodePage reads a placement record. One that a test has damaged counts as empty.
func decodePage(value json.RawMessage) record.PlacementPage {
	var page record.PlacementPage
	if err := record.Decode(value, maxRecordSize, &page); err != nil {
		return record.PlacementPage{}
	}
	return page
}

// pageAttempts are the attempts that a placement record names, with their jobs.
func pageAttempts(value json.RawMessage) map[string]wire.JobID {
	out := map[string]wire.JobID{}
	for _, group := range decodePage(value).Groups {
		out[attemptName(group.Job, group.Attempt)] = group.Job
	}
	return out
}

func attemptName(job wire.JobID, attempt wire.Attempt) string { return fmt.Sprint(job, " ", attempt) }

func (c *Cluster) loadKeys(process *controllerProcess, o controller.LoadKeys) {
	generation := process.generation
	var result controller.LoadResult
	var next func(i int)
	next = func(i int) {
		switch {
		case process.generation != generation:
		case c.StoreUnavailable || c.StorePartitioned[process.index] || c.rng.Float64() < c.MessageLoss:
			c.completeCall(process, generation, callTimeout, o.Call, controller.LoadResult{Outcome: controller.NotExecuted})
		case i == len(o.Prefixes):
			c.completeCall(process, generation, c.latency(), o.Call, result)
		default:
			if i == 0 {
				result.First = c.store.Revision()
			}
			result.Last = c.store.Revision()
			result.Entries = append(result.Entries, c.store.List(o.Prefixes[i])...)
			c.after(c.latency(), func() { next(i + 1) })
		}
	}
	c.after(c.latency(), func() { next(0) })
}

// watchResult is the feed's answer.
func (c *Cluster) watchResult(f controller.Watch) controller.WatchResult {
	if c.store.Compacted(f.After) {
		return controller.WatchResult{Outcome: controller.Compacted}
	}
	return controller.WatchResult{Response: c.store.Changes(f.Prefix, f.After)}
}

// notifyWatchers serves the open watches after a change.
func (c *Cluster) notifyWatchers() {
	for _, watch := range c.watchers {
		c.after(c.latency(), func() { c.serveWatcher(watch, false) })
	}
}

func (c *Cluster) serveWatcher(watch *watcher, timeout bool) {
	if watch.done {
		return
	}
	if watch.process.generation != watch.generation {
		watch.done = true
	} else if !c.StoreUnavailable && !c.StorePartitioned[watch.process.index] {
		result := c.watchResult(watch.watch)
		if result.Outcome == controller.Succeeded && len(result.Response.Events) == 0 && !timeout {
			return
		}
		watch.done = true
		c.completeCall(watch.process, watch.generation, c.latency(), watch.watch.Call, result)
	} else if timeout {
		watch.done = true
		c.completeCall(watch.process, watch.generation, c.latency(), watch.watch.Call, controller.WatchResult{Outcome: controller.Unknown})
	}
	c.watchers = slices.DeleteFunc(c.watchers, func(x *watcher) bool { return x.done })
}
