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
func (w *Cluster) callStore(n *controllerProcess, id controller.CallID, refused, lost controller.Result, exec func() controller.Result) {
	gen := n.generation
	w.after(w.StoreDelay, func() {
		w.callRemote(n, gen, id, lost, func() controller.Result {
			if w.StoreUnavailable || w.StorePartitioned[n.index] {
				return refused
			}
			return exec()
		})
	})
}

// checkTransaction holds a transaction against the limits of the state service, and
// wants every record written on the condition that it is as it was read.
func (w *Cluster) checkTransaction(t wire.Transaction) {
	l := w.Settings.Cluster.State
	if len(t.Then) > l.TxnOps || len(t.If) > 4*l.TxnOps {
		w.violation("transaction with %d changes and %d conditions", len(t.Then), len(t.If))
	}
	for _, c := range t.Then {
		w.Observed["values written"]++
		w.Observed["bytes written"] += len(c.Value)
		for _, records := range []string{"l/p/", "l/j/", "l/f/", "l/m"} {
			if strings.HasPrefix(c.Put, records) && !slices.ContainsFunc(t.If, func(i wire.Condition) bool { return i.Key == c.Put }) {
				w.violation("%s written without a condition on it", c.Put)
			}
		}
		if format := w.ActiveFormat(); format < record.FormatCompressed && strings.HasPrefix(string(c.Value), `"`) {
			w.violation("%s written in a later format than %d, which is in force", c.Put, format)
		}
		if float64(len(c.Value)) > l.ValueKB*1024 {
			w.violation("value of %d bytes under %s", len(c.Value), c.Put)
		}
	}
}

// ActiveFormat is the format that stands in the state service.
func (w *Cluster) ActiveFormat() wire.Format {
	value, _, ok := w.store.Get(record.RolloutKey)
	state := record.Rollout{Format: record.FormatPlain}
	if ok && json.Unmarshal(value, &state) != nil {
		return 0
	}
	return state.Format
}

// checkLivenessFormat wants nobody listed among the living, by a transaction that was carried
// out, who does not read the format in force.
func (w *Cluster) checkLivenessFormat(t wire.Transaction, reads record.FormatRange) {
	for _, c := range t.Then {
		if strings.HasPrefix(c.Put, record.LivenessPrefix) && !reads.Reads(w.ActiveFormat()) {
			w.violation("%s written by a process that does not read format %d", c.Put, w.ActiveFormat())
		}
	}
}

// checkPeerMessage wants lines in no later format than the one in force.
func (w *Cluster) checkPeerMessage(line *wire.PeerMessage) {
	if format := w.ActiveFormat(); line.Format > format {
		w.violation("line from %s in format %d while %d is in force", line.From, line.Format, format)
	}
	if (line.Capacity != nil || line.ForwardedJobs != nil) && line.Format < record.FormatSharding {
		w.violation("line from %s with room or jobs handed on in format %d", line.From, line.Format)
	}
}

// teamAttempts are the attempts in a team's records that a transaction is about
// to write.
func (w *Cluster) teamAttempts(t wire.Transaction) map[string]bool {
	out := map[string]bool{}
	for _, ch := range t.Then {
		if parts := strings.Split(ch.Put, "/"); strings.HasPrefix(ch.Put, "l/p/") {
			for _, e := range w.store.List("l/p/" + parts[2] + "/") {
				for name := range pageAttempts(e.Value) {
					out[name] = true
				}
			}
		}
	}
	return out
}

// checkPlacedJobs wants every attempt that a transaction adds to be of a job
// that there is.
func (w *Cluster) checkPlacedJobs(t wire.Transaction, before map[string]bool) {
	for _, ch := range t.Then {
		if !strings.HasPrefix(ch.Put, "l/p/") {
			continue
		}
		for name, id := range pageAttempts(ch.Value) {
			if !w.isJobOpen(id) && !before[name] {
				w.violation("placed without its job: %s", name)
			}
		}
	}
}

// isJobOpen reports whether there is a job that is not over.
func (w *Cluster) isJobOpen(id wire.JobID) bool {
	value, _, ok := w.store.Get(record.JobKey(id))
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
	for _, g := range decodePage(value).Groups {
		out[attemptName(g.Job, g.Attempt)] = g.Job
	}
	return out
}

func attemptName(job wire.JobID, attempt wire.Attempt) string { return fmt.Sprint(job, " ", attempt) }

func (w *Cluster) loadKeys(n *controllerProcess, o controller.LoadKeys) {
	gen := n.generation
	var r controller.LoadResult
	var next func(i int)
	next = func(i int) {
		switch {
		case n.generation != gen:
		case w.StoreUnavailable || w.StorePartitioned[n.index] || w.rng.Float64() < w.MessageLoss:
			w.completeCall(n, gen, callTimeout, o.Call, controller.LoadResult{Outcome: controller.NotExecuted})
		case i == len(o.Prefixes):
			w.completeCall(n, gen, w.latency(), o.Call, r)
		default:
			if i == 0 {
				r.First = w.store.Revision()
			}
			r.Last = w.store.Revision()
			r.Entries = append(r.Entries, w.store.List(o.Prefixes[i])...)
			w.after(w.latency(), func() { next(i + 1) })
		}
	}
	w.after(w.latency(), func() { next(0) })
}

// watchResult is the feed's answer.
func (w *Cluster) watchResult(f controller.Watch) controller.WatchResult {
	if w.store.Compacted(f.After) {
		return controller.WatchResult{Outcome: controller.Compacted}
	}
	return controller.WatchResult{Response: w.store.Changes(f.Prefix, f.After)}
}

// notifyWatchers serves the open watches after a change.
func (w *Cluster) notifyWatchers() {
	for _, wt := range w.watchers {
		w.after(w.latency(), func() { w.serveWatcher(wt, false) })
	}
}

func (w *Cluster) serveWatcher(wt *watcher, timeout bool) {
	if wt.done {
		return
	}
	if wt.process.generation != wt.generation {
		wt.done = true
	} else if !w.StoreUnavailable && !w.StorePartitioned[wt.process.index] {
		f := w.watchResult(wt.watch)
		if f.Outcome == controller.Succeeded && len(f.Response.Events) == 0 && !timeout {
			return
		}
		wt.done = true
		w.completeCall(wt.process, wt.generation, w.latency(), wt.watch.Call, f)
	} else if timeout {
		wt.done = true
		w.completeCall(wt.process, wt.generation, w.latency(), wt.watch.Call, controller.WatchResult{Outcome: controller.Unknown})
	}
	w.watchers = slices.DeleteFunc(w.watchers, func(x *watcher) bool { return x.done })
}
