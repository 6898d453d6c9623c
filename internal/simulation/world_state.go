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

// state carries a call to the state service out; refused is the result while
// it refuses.
func (w *World) state(n *node, id controller.CallID, refused, lost controller.Result, exec func() controller.Result) {
	gen := n.gen
	w.after(w.SlowState, func() {
		w.remote(n, gen, id, lost, func() controller.Result {
			if w.StateDown || w.CutState[n.index] {
				return refused
			}
			return exec()
		})
	})
}

// checkLimits holds a transaction against the limits of the state service, and
// wants every record written on the condition that it is as it was read.
func (w *World) checkLimits(t wire.Transaction) {
	l := w.Settings.Cluster.State
	if len(t.Then) > l.TxnOps || len(t.If) > 4*l.TxnOps {
		w.breaks("transaction with %d changes and %d conditions", len(t.Then), len(t.If))
	}
	for _, c := range t.Then {
		w.Seen["values written"]++
		w.Seen["bytes written"] += len(c.Value)
		for _, records := range []string{"l/p/", "l/j/", "l/f/", "l/m"} {
			if strings.HasPrefix(c.Put, records) && !slices.ContainsFunc(t.If, func(i wire.Condition) bool { return i.Key == c.Put }) {
				w.breaks("%s written without a condition on it", c.Put)
			}
		}
		if format := w.FormatInForce(); format < record.FormatCompressed && strings.HasPrefix(string(c.Value), `"`) {
			w.breaks("%s written in a later format than %d, which is in force", c.Put, format)
		}
		if float64(len(c.Value)) > l.ValueKB*1024 {
			w.breaks("value of %d bytes under %s", len(c.Value), c.Put)
		}
	}
}

// FormatInForce is the format that stands in the state service.
func (w *World) FormatInForce() wire.Format {
	value, _, ok := w.store.Get(record.RolloutKey)
	state := record.Rollout{Format: record.FormatPlain}
	if ok && json.Unmarshal(value, &state) != nil {
		return 0
	}
	return state.Format
}

// checkJoined wants nobody listed among the living, by a transaction that was carried
// out, who does not read the format in force.
func (w *World) checkJoined(t wire.Transaction, reads record.FormatRange) {
	for _, c := range t.Then {
		if strings.HasPrefix(c.Put, record.LivenessPrefix) && !reads.Reads(w.FormatInForce()) {
			w.breaks("%s written by a process that does not read format %d", c.Put, w.FormatInForce())
		}
	}
}

// checkLine wants lines in no later format than the one in force.
func (w *World) checkLine(line *wire.PeerMessage) {
	if format := w.FormatInForce(); line.Format > format {
		w.breaks("line from %s in format %d while %d is in force", line.From, line.Format, format)
	}
	if (line.Capacity != nil || line.ForwardedJobs != nil) && line.Format < record.FormatSharding {
		w.breaks("line from %s with room or jobs handed on in format %d", line.From, line.Format)
	}
}

// placements are the attempts in a team's records that a transaction is about
// to write.
func (w *World) placements(t wire.Transaction) map[string]bool {
	out := map[string]bool{}
	for _, ch := range t.Then {
		if parts := strings.Split(ch.Put, "/"); strings.HasPrefix(ch.Put, "l/p/") {
			for _, e := range w.store.List("l/p/" + parts[2] + "/") {
				for name := range attempts(e.Value) {
					out[name] = true
				}
			}
		}
	}
	return out
}

// checkPlacements wants every attempt that a transaction adds to be of a job
// that there is.
func (w *World) checkPlacements(t wire.Transaction, before map[string]bool) {
	for _, ch := range t.Then {
		if !strings.HasPrefix(ch.Put, "l/p/") {
			continue
		}
		for name, id := range attempts(ch.Value) {
			if !w.jobOpen(id) && !before[name] {
				w.breaks("placed without its job: %s", name)
			}
		}
	}
}

// jobOpen reports whether there is a job that is not over.
func (w *World) jobOpen(id wire.JobID) bool {
	value, _, ok := w.store.Get(record.JobKey(id))
	var job record.Job
	return ok && record.Decode(value, mostValue, &job) == nil && job.Completion == nil
}

// mostValue is more than any record of a world takes.
const mostValue = 1 << 20

// pageOf reads a placement record. One that a test has damaged counts as empty.
func pageOf(value json.RawMessage) record.PlacementPage {
	var page record.PlacementPage
	if err := record.Decode(value, mostValue, &page); err != nil {
		return record.PlacementPage{}
	}
	return page
}

// attempts are the attempts that a placement record names, with their jobs.
func attempts(value json.RawMessage) map[string]wire.JobID {
	out := map[string]wire.JobID{}
	for _, g := range pageOf(value).Groups {
		out[attemptName(g.Job, g.Attempt)] = g.Job
	}
	return out
}

func attemptName(job wire.JobID, attempt wire.Attempt) string { return fmt.Sprint(job, " ", attempt) }

func (w *World) load(n *node, o controller.LoadKeys) {
	gen := n.gen
	var r controller.LoadResult
	var next func(i int)
	next = func(i int) {
		switch {
		case n.gen != gen:
		case w.StateDown || w.CutState[n.index] || w.rng.Float64() < w.Loss:
			w.returned(n, gen, giveUp, o.Call, controller.LoadResult{Outcome: controller.NotExecuted})
		case i == len(o.Prefixes):
			w.returned(n, gen, w.latency(), o.Call, r)
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

// fed is the feed's answer.
func (w *World) fed(f controller.Watch) controller.WatchResult {
	if w.store.TooOld(f.After) {
		return controller.WatchResult{Outcome: controller.Compacted}
	}
	return controller.WatchResult{Response: w.store.Feed(f.Prefix, f.After)}
}

// feed serves the open watches after a change.
func (w *World) feed() {
	for _, wt := range w.watchers {
		w.after(w.latency(), func() { w.serveWatcher(wt, false) })
	}
}

func (w *World) serveWatcher(wt *watcher, timeout bool) {
	if wt.done {
		return
	}
	if wt.n.gen != wt.gen {
		wt.done = true
	} else if !w.StateDown && !w.CutState[wt.n.index] {
		f := w.fed(wt.f)
		if f.Outcome == controller.Succeeded && len(f.Response.Events) == 0 && !timeout {
			return
		}
		wt.done = true
		w.returned(wt.n, wt.gen, w.latency(), wt.f.Call, f)
	} else if timeout {
		wt.done = true
		w.returned(wt.n, wt.gen, w.latency(), wt.f.Call, controller.WatchResult{Outcome: controller.Unknown})
	}
	w.watchers = slices.DeleteFunc(w.watchers, func(x *watcher) bool { return x.done })
}
