package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	helloTimeout    = 4 * time.Second
	helloPause      = 500 * time.Millisecond
	nextNodePause   = time.Second
	maxForemanPause = 500 * time.Millisecond
	bodyLimit       = 64 << 10
	noTask          = "unknown"
)

// Node is a controller as workers and users know it.
type Node struct{ Label, Addr string }

// WorkerTiming is the timing of all workers, as under [cluster.workers] of the settings.
type WorkerTiming struct{ Report, Lease time.Duration }

// Worker is the worker of one machine.
type Worker struct {
	rig    *Rig
	board  *Board
	record *Record
	nodes  []Node
	timing WorkerTiming
	node   int // index of the node that gets the reports, the first at the start
	wake   chan struct{}
	stop   context.CancelFunc // closes the address
	first  time.Duration      // until the first report

	mu        sync.Mutex
	gone      bool
	cut       bool // direct calls get no answer
	joined    bool // a report was answered with 200
	shift     uint64
	tally     uint64
	baton     uint64
	leaseFrom time.Time
	tasks     []*task
	images    map[string]bool
}

type task struct {
	Load   string `json:"load"`
	Try    uint64 `json:"try"`
	Status string `json:"status"`
	Cause  string `json:"cause,omitempty"`
	Stored bool   `json:"stored,omitempty"`
	onRig  bool
}

type order struct {
	Verb string `json:"verb"`
	Load string `json:"load"`
	Try  uint64 `json:"try"`
}

// startWorker starts the worker of a machine at its address, or at a free one if it has none.
func startWorker(ctx context.Context, rig *Rig, board *Board, record *Record, nodes []Node, timing WorkerTiming, first time.Duration) (*Worker, error) {
	w := &Worker{rig: rig, board: board, record: record, nodes: nodes, timing: timing, wake: make(chan struct{}, 1),
		first: first, shift: 1, leaseFrom: time.Now(), images: map[string]bool{}}
	if rig.Addr == "" {
		rig.Addr = loopback
	}
	ctx, w.stop = context.WithCancel(ctx)
	addr, err := ServeAt(ctx, rig.Addr, w)
	if err != nil {
		return nil, err
	}
	rig.Addr = addr
	go w.reportLoop(ctx)
	return w, nil
}

// ServeHTTP answers direct calls.
func (w *Worker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	w.mu.Lock()
	if w.gone || w.cut {
		w.mu.Unlock()
		<-in.Context().Done() // a machine that is gone or cut off gives no answer
		panic(http.ErrAbortHandler)
	}
	defer w.mu.Unlock()
	w.checkLease()
	if in.URL.Path == "/show" {
		answer(out, http.StatusOK, w.report())
		return
	}
	var body struct {
		Baton  *uint64 `json:"baton"`
		Shift  *uint64 `json:"shift"`
		Orders []order `json:"orders"`
	}
	text, ok := readBody(in, bodyLimit)
	if !ok || json.Unmarshal(text, &body) != nil || body.Baton == nil || body.Shift == nil {
		answer(out, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	w.record.Add("%s: /do baton %d shift %d %s", w.rig.ID, *body.Baton, *body.Shift, orders(body.Orders))
	if *body.Baton < w.baton || *body.Shift != w.shift {
		answer(out, http.StatusConflict, w.report())
		return
	}
	w.see(*body.Baton)
	w.execute(body.Orders)
	answer(out, http.StatusOK, w.report())
}

func orders(list []order) string {
	var words []string
	for _, o := range list {
		words = append(words, fmt.Sprintf("%s %s try %d", o.Verb, o.Load, o.Try))
	}
	return "[" + strings.Join(words, ", ") + "]"
}

// report returns a report. The lock must be held.
func (w *Worker) report() object {
	w.tally++
	loads := []task{}
	for _, t := range w.tasks {
		loads = append(loads, *t)
	}
	return object{"rig": w.rig.ID, "addr": w.rig.Addr, "rigtype": w.rig.Type, "yard": w.rig.Yard, "loaners": w.rig.Loaners,
		"shift": w.shift, "tally": w.tally, "baton": w.baton, "recall_s": nil, "loads": loads}
}

// see notes a token. The lock must be held.
func (w *Worker) see(baton uint64) {
	if baton > w.baton {
		w.baton = baton
		w.reportSoon()
	}
}

// reportSoon makes a report due at once.
func (w *Worker) reportSoon() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// checkLease begins the next session if the lease has ended. The lock must be held.
func (w *Worker) checkLease() {
	if w.gone || time.Since(w.leaseFrom) <= w.timing.Lease {
		return
	}
	w.record.Add("%s: lease of session %d has ended", w.rig.ID, w.shift)
	w.killTasks("lease ended")
	w.shift++
	w.leaseFrom = time.Now()
	w.reportSoon()
}

// killTasks kills and forgets all tasks. The lock must be held.
func (w *Worker) killTasks(why string) {
	for _, t := range w.tasks {
		w.leave(t, why)
		t.Status = "exited"
	}
	w.tasks = nil
}

// leave notes that a task is no longer on the machine. The lock must be held.
func (w *Worker) leave(t *task, why string) {
	if t.onRig {
		t.onRig = false
		w.board.taskOff(t.Load, w.rig.ID, why)
	}
}

// exit ends a task. The lock must be held.
func (w *Worker) exit(t *task, cause string) {
	w.leave(t, cause)
	t.Status, t.Cause = "exited", cause
	w.reportSoon()
}

// end ends the worker and everything on its machine for good.
func (w *Worker) end(why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.gone {
		w.gone = true
		w.killTasks(why)
		w.stop()
	}
}

// execute executes orders. The lock must be held.
func (w *Worker) execute(list []order) {
	for _, o := range list {
		var found *task
		for _, t := range w.tasks {
			if t.Load == o.Load && t.Try == o.Try {
				found = t
			}
		}
		switch {
		case o.Verb == "launch" && found == nil:
			w.launch(o)
		case o.Verb == "stop" && found != nil && found.Status != "exited":
			w.exit(found, "halted")
		case o.Verb == "clear" && found != nil && found.Status == "exited":
			w.forget(found)
		}
	}
}

func (w *Worker) forget(forgotten *task) {
	var kept []*task
	for _, t := range w.tasks {
		if t != forgotten {
			kept = append(kept, t)
		}
	}
	w.tasks = kept
}

// launch starts a task once its image is fetched. The lock must be held.
func (w *Worker) launch(o order) {
	job, index, ok := w.lookUp(o.Load)
	t := &task{Load: o.Load, Try: o.Try, Status: "pulling"}
	var cores, mem float64
	inUse := false
	for _, other := range w.tasks {
		if other.Status != "exited" {
			taken, _, _ := w.lookUp(other.Load)
			cores, mem = cores+taken.Cores, mem+taken.MemGB
			inUse = inUse || other.Load == o.Load
		}
	}
	w.tasks = append(w.tasks, t)
	const rounding = 1e-6
	switch {
	case !ok || index >= job.Loads:
		w.exit(t, noTask)
		return
	case inUse:
		w.exit(t, "in_use")
		return
	case cores+job.Cores > w.rig.Kind.Cores+rounding || mem+job.MemGB > w.rig.Kind.MemGB+rounding:
		w.exit(t, "no_room")
		return
	}
	fetch := time.Duration(0)
	if !w.images[job.Kit] {
		fetch = time.Duration(job.SizeGB / w.rig.Kind.PullGBPerS * float64(time.Second))
	}
	time.AfterFunc(fetch, func() { w.begin(t, job) })
	w.reportSoon()
}

// lookUp returns the job of a task, and the number of the task.
func (w *Worker) lookUp(load string) (Job, int, bool) {
	id, number, _ := strings.Cut(load, "/")
	index, err := strconv.Atoi(number)
	job, ok := w.board.job(id)
	return job, index, ok && err == nil
}

// begin runs a task that has its image.
func (w *Worker) begin(t *task, job Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone || t.Status != "pulling" {
		return
	}
	w.images[job.Kit] = true
	if w.board.Done(t.Load) {
		w.exit(t, "done") // the result was kept
		return
	}
	t.Status, t.onRig = "running", true
	w.board.taskOn(t.Load, w.rig)
	w.reportSoon()
	if w.rig.Faulty.Load() {
		time.AfterFunc(failsAfter, func() { w.finish(t, "error") })
	} else if job.Runs > 0 {
		time.AfterFunc(job.Runs, func() { w.finish(t, "done") })
	}
}

// finish ends a running task by itself.
func (w *Worker) finish(t *task, cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.gone && t.Status == "running" {
		w.exit(t, cause)
	}
}

// reportLoop sends reports until ctx ends or the machine is gone.
func (w *Worker) reportLoop(ctx context.Context) {
	client := newClient()
	timer := time.NewTimer(w.first)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-w.wake:
		}
		w.mu.Lock()
		w.checkLease()
		gone := w.gone
		w.mu.Unlock()
		if gone {
			client.CloseIdleConnections()
			return
		}
		before := w.node
		pause := w.sendReport(client)
		if w.node != before {
			client.CloseIdleConnections()
		}
		timer.Reset(pause)
		time.Sleep(helloPause)
	}
}

// sendReport sends one report and returns the pause until the next.
func (w *Worker) sendReport(client *http.Client) time.Duration {
	w.mu.Lock()
	report, shift := w.report(), w.shift
	w.mu.Unlock()
	sent := time.Now()
	status, text := call(client, http.MethodPost, "http://"+w.nodes[w.node].Addr+"/hello", report, helloTimeout)
	w.mu.Lock()
	defer w.mu.Unlock()
	var body struct {
		Baton   uint64  `json:"baton"`
		Orders  []order `json:"orders"`
		Foreman string  `json:"foreman"`
	}
	if status == 0 || json.Unmarshal(text, &body) != nil {
		status = 0
	}
	if len(body.Orders) > 0 {
		w.record.Add("%s: report answered with baton %d %s", w.rig.ID, body.Baton, orders(body.Orders))
	}
	switch {
	case w.gone:
	case status == http.StatusOK:
		if shift == w.shift && body.Baton >= w.baton && body.Baton > 0 {
			w.leaseFrom, w.joined = sent, true
			w.see(body.Baton)
			w.execute(body.Orders)
		}
		quarter := w.timing.Report / 4
		return w.timing.Report - quarter + rand.N(2*quarter)
	case status == http.StatusMisdirectedRequest:
		for i, node := range w.nodes {
			if node.Label == body.Foreman && i != w.node {
				w.node = i
				return rand.N(maxForemanPause)
			}
		}
	}
	w.node = (w.node + 1) % len(w.nodes)
	return nextNodePause
}

// SetCut cuts direct calls to the worker off, or ends that.
func (w *Worker) SetCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}
