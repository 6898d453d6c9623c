package standin

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/core"
	"lilacrill/wire"
)

// World is a simulated deployment on a virtual clock.
type World struct {
	Settings    config.Settings
	Lease       time.Duration
	ReportEvery time.Duration
	GangWait    time.Duration
	GangPeer    time.Duration
	Cancel      time.Duration

	// Loss is the part of the messages that is lost, or whose answer is lost,
	// or that is held up and carried out late.
	Loss float64
	// StateDown and CloudDown are outages; CutState names controllers that the
	// state service refuses, CutWorkers such that workers do not reach.
	StateDown, CloudDown bool
	CutState, CutWorkers map[int]bool
	// CutPeers names controllers that hear and reach no sibling; PeerLoss is the part
	// of the lines between controllers that is lost.
	CutPeers map[int]bool
	PeerLoss float64
	// CutZone is a zone that is cut off from everything but the controller in it.
	CutZone string
	InZone  int
	// LateWrites is the part of the transactions that get no answer and are carried
	// out 2 to 12 s later, after newer ones; with LateAtOnce only the answer is lost.
	LateWrites float64
	LateAtOnce bool
	// KeepReports keeps copies of this part of the reports for the next controller
	// that begins: all controllers get them then.
	KeepReports float64
	// CancelAtEnd is the part of the jobs that are called off at the moment at which
	// their last task ends; HangAtCancel of the machines of a job that is called off
	// hang for that long.
	CancelAtEnd  float64
	HangAtCancel time.Duration
	// CloseLooks has users ask at all controllers within milliseconds, again and again,
	// and repeat the submission, after a job was accepted, ended or withdrawn.
	CloseLooks bool
	// Seen counts what took place, by name, for a test to show that it did.
	Seen map[string]int
	// LateReports is the part of the reports of which a copy comes late, from
	// seconds to well over a lease.
	LateReports float64
	// NoDirect has workers refuse direct calls from controllers.
	NoDirect bool
	// Capacity is how many machines there are of each type, zone and kind.
	Capacity int
	// SlowImage, if not 0, is how long a machine fetches an image that it lacks. It
	// gives the fetch up when the task that waits for it ends.
	SlowImage time.Duration
	// Boot, if set, is how long a machine that is rented takes to come up.
	Boot func(kind, zone string) time.Duration
	// SlowState is added to the state service's answers.
	SlowState time.Duration

	// CalmAt is when the last trouble was over; 0 while some may still come.
	CalmAt time.Duration

	// Broken is what went against the rules.
	Broken []string

	now      core.Time
	events   events
	order    int
	rng      *rand.Rand
	store    *Store
	watchers []*watcher
	nodes    []*node
	machines []*machine
	byID     map[wire.MachineID]*machine
	hires    map[string][]wire.MachineID
	types    []wire.MachineType
	jobs     map[wire.JobID]*userJob
	lists    []snapshot
	kept     []keptReport
	log      *slog.Logger
}

type snapshot struct {
	at   core.Time
	list []wire.ListedMachine
}

// keptReport is a copy of a report that was held up on its way.
type keptReport struct {
	report *wire.Report
	at     core.Time
}

type watcher struct {
	f    core.Follow
	n    *node
	gen  int
	done bool
}

type node struct {
	index   int
	core    *core.Core
	gen     int
	born    core.Time
	replies map[core.RequestID]func(core.Reply)
	request core.RequestID
	calls   int // direct calls to workers under way
	most    int // of them at once so far
	frozen  bool
	held    []core.Input // what came while it stood still
}

// userJob is a job with what its user was told.
type userJob struct {
	spec      wire.JobSpec
	runtime   time.Duration
	uneven    func(index int) time.Duration // if set, in place of runtime
	accepted  bool
	submitted bool
	cancelAsk bool
	told      wire.Status
	toldAt    core.Time
	asked     core.Time // when it was first submitted
	answered  core.Time // when a question about it was last answered
	began     core.Time // when a task of it first ran
	complete  map[int]bool
	neglected core.Time // since when it waits beside room
	mistaken  bool      // its tasks fail on every machine
	launched  int       // launches of its tasks that workers obeyed
	placed    []placed  // its tasks on machines; those that no longer are go when it is next read
}

type placed struct {
	m *machine
	t *task
}

// on is the job's tasks that are on machines.
func (j *userJob) on() []placed {
	j.placed = slices.DeleteFunc(j.placed, func(p placed) bool { return !p.t.on })
	return j.placed
}

type event struct {
	at    core.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].order < e[k].order
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// New makes a world of so many controllers, not yet started.
func New(set config.Settings, types []wire.MachineType, controllers int, seed uint64) *World {
	w := &World{
		Settings: set,
		Lease:    config.Seconds(set.Cluster.Workers.LeaseS), ReportEvery: config.Seconds(set.Cluster.Workers.ReportS),
		GangWait: config.Seconds(set.Cluster.Workers.GangWaitS), GangPeer: config.Seconds(set.Cluster.Workers.GangPeerS),
		Cancel:   config.Seconds(set.Cluster.Workers.CancelS),
		Capacity: 3,
		Seen:     map[string]int{}, CutState: map[int]bool{}, CutWorkers: map[int]bool{}, CutPeers: map[int]bool{},
		rng: rand.New(rand.NewPCG(seed, 7)), store: NewStore(),
		byID: map[wire.MachineID]*machine{}, hires: map[string][]wire.MachineID{}, types: types,
		jobs: map[wire.JobID]*userJob{}, log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	w.store.OnChange = w.feed
	for i := range controllers {
		w.nodes = append(w.nodes, &node{index: i})
	}
	w.every(100*time.Millisecond, func() {
		if !w.StateDown {
			w.store.Expire(w.now)
		}
		w.check()
	})
	w.every(time.Second, func() {
		w.checkWaiting()
		w.lists = append(w.lists, snapshot{w.now, w.list()})
		if len(w.lists) > 15 {
			w.lists = w.lists[1:]
		}
	})
	return w
}

// Log sends the cores' log somewhere.
func (w *World) Log(log *slog.Logger) { w.log = log }

// Now is the time on the world's clock.
func (w *World) Now() time.Duration { return time.Duration(w.now) }

func (w *World) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, event{w.now.Add(max(d, 0)), w.order, run})
}

// At runs f after d.
func (w *World) At(d time.Duration, f func()) { w.after(d, f) }

func (w *World) every(d time.Duration, f func()) {
	var loop func()
	loop = func() {
		f()
		w.after(d, loop)
	}
	w.after(0, loop)
}

// Run lets time pass.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *World) breaks(format string, args ...any) {
	w.Broken = append(w.Broken, fmt.Sprintf("%v: ", time.Duration(w.now))+fmt.Sprintf(format, args...))
}

// latency is how long one message takes.
func (w *World) latency() time.Duration {
	d := time.Duration(500+w.rng.IntN(2500)) * time.Microsecond
	if w.rng.IntN(200) == 0 {
		d += time.Duration(w.rng.IntN(300)) * time.Millisecond
	}
	return d
}

// Start starts a controller, or ends it and starts it again.
func (w *World) Start(i int) {
	n := w.nodes[i]
	w.Stop(i)
	set := w.Settings
	set.Label = fmt.Sprintf("rig-%d", i)
	set.Siblings = nil
	for k := range w.nodes {
		if k != i {
			set.Siblings = append(set.Siblings, config.Sibling{Label: fmt.Sprintf("rig-%d", k)})
		}
	}
	set.Cluster.Size = len(w.nodes)
	n.core = core.New(&set, w.log.With("node", set.Label, "gen", n.gen), w.rng.Uint64())
	n.born = w.now
	n.replies = map[core.RequestID]func(core.Reply){}
	n.frozen, n.held, n.calls = false, nil, 0
	gen := n.gen
	var tick func()
	tick = func() {
		if n.gen == gen {
			w.step(n, core.Tick{})
			w.after(core.TickEvery, tick)
		}
	}
	tick()
	w.deliverKept(n)
}

// Stop ends a controller.
func (w *World) Stop(i int) {
	w.nodes[i].gen++
	w.nodes[i].core = nil
}

// Freeze has a controller stand still for a while, its clocks running on. What
// comes meanwhile waits for it in buffers, and is handled first when it goes on.
func (w *World) Freeze(i int, d time.Duration) {
	n := w.nodes[i]
	if n.core == nil || n.frozen {
		return
	}
	n.frozen = true
	gen := n.gen
	w.after(d, func() {
		if n.gen != gen {
			return
		}
		n.frozen = false
		held := n.held
		n.held = nil
		for _, in := range held {
			w.step(n, in)
		}
	})
}

func (w *World) step(n *node, in core.Input) {
	if n.frozen {
		if _, tick := in.(core.Tick); !tick {
			n.held = append(n.held, in)
		}
		return
	}
	wall := 1_700_000_000_000 + time.Duration(w.now).Milliseconds() + int64(n.index)*20
	for _, o := range n.core.Step(w.now-n.born, wall, in) {
		w.carryOut(n, o)
	}
}

// returned hands a call's result back, if the caller still lives.
func (w *World) returned(n *node, gen int, d time.Duration, id core.CallID, result any) {
	w.after(d, func() {
		if n.gen == gen {
			w.step(n, core.Returned{Call: id, Result: result})
		}
	})
}

const giveUp = 1500 * time.Millisecond

// remote carries a call out somewhere else, with all that may go wrong:
// exec runs there; lost is the result if no answer comes.
func (w *World) remote(n *node, gen int, id core.CallID, lost any, exec func() any) {
	if w.rng.Float64() < w.Loss {
		w.returned(n, gen, giveUp, id, lost)
		switch w.rng.IntN(3) {
		case 0: // carried out, but the answer is lost
			w.after(w.latency(), func() { exec() })
		case 1: // held up, and carried out long after
			w.after(time.Duration(w.rng.IntN(40_000))*time.Millisecond, func() { exec() })
		}
		return
	}
	w.after(w.latency(), func() {
		result := exec()
		w.returned(n, gen, w.latency(), id, result)
		if w.rng.Float64() < w.Loss/2 { // a late copy
			w.after(time.Duration(w.rng.IntN(30_000))*time.Millisecond, func() { exec() })
		}
	})
}

// state carries a call to the state service out; refused is the result while
// it refuses.
func (w *World) state(n *node, id core.CallID, refused, lost any, exec func() any) {
	gen := n.gen
	w.after(w.SlowState, func() {
		w.remote(n, gen, id, lost, func() any {
			if w.StateDown || w.CutState[n.index] {
				return refused
			}
			return exec()
		})
	})
}

func (w *World) carryOut(n *node, o core.Output) {
	gen := n.gen
	switch o := o.(type) {
	case core.Reply:
		then := n.replies[o.Request]
		delete(n.replies, o.Request)
		if then != nil && w.rng.Float64() >= w.Loss {
			w.after(w.latency(), func() { then(o) })
		}
	case core.Load:
		w.load(n, o)
	case core.Follow:
		if o.Block == 0 {
			w.state(n, o.Call, core.Fed{Outcome: core.NotDone}, core.Fed{Outcome: core.Unknown}, func() any { return w.fed(o) })
			return
		}
		wt := &watcher{f: o, n: n, gen: gen}
		w.watchers = append(w.watchers, wt)
		w.after(w.latency(), func() { w.serveWatcher(wt, false) })
		w.after(o.Block, func() { w.serveWatcher(wt, true) })
	case core.Fetch:
		w.state(n, o.Call, core.Fetched{Outcome: core.NotDone}, core.Fetched{Outcome: core.Unknown}, func() any {
			v, stamp, ok := w.store.Get(o.Key)
			if !ok {
				return core.Fetched{Outcome: core.Missing}
			}
			return core.Fetched{Value: v, Stamp: stamp}
		})
	case core.Commit:
		w.checkLimits(o.Txn)
		exec := func() core.Committed {
			before := w.placements(o.Txn)
			r := w.store.Multi(o.Txn)
			if r.Outcome == core.Done {
				w.checkPlacements(o.Txn, before)
			}
			return r
		}
		if w.rng.Float64() < w.LateWrites && !w.StateDown && !w.CutState[n.index] {
			w.returned(n, gen, giveUp, o.Call, core.Committed{Outcome: core.Unknown})
			d := w.latency()
			if !w.LateAtOnce {
				d = 2*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))
			}
			w.after(d, func() {
				if exec().Outcome == core.Done {
					w.Seen["unanswered write"]++
				}
			})
			return
		}
		w.state(n, o.Call, core.Committed{Outcome: core.NotDone}, core.Committed{Outcome: core.Unknown}, func() any { return exec() })
	case core.Grant:
		w.state(n, o.Call, core.Granted{Outcome: core.NotDone}, core.Granted{Outcome: core.Unknown}, func() any {
			return core.Granted{Permit: w.store.Grant(w.now, core.Time(o.TTL))}
		})
	case core.Extend:
		w.state(n, o.Call, core.Granted{Outcome: core.NotDone}, core.Granted{Outcome: core.Unknown}, func() any {
			if !w.store.Extend(w.now, o.Permit) {
				return core.Granted{Outcome: core.Missing}
			}
			return core.Granted{Permit: o.Permit}
		})
	case core.Share:
	case core.ReadCatalogue:
		w.cloud(n, o.Call, core.CatalogueRead{Outcome: core.NotDone}, func() any {
			return core.CatalogueRead{Catalogue: wire.Catalogue{Types: w.types}}
		})
	case core.ListMachines:
		w.cloud(n, o.Call, core.Listed{Outcome: core.NotDone}, func() any {
			return core.Listed{Machines: w.lists[w.rng.IntN(min(len(w.lists), 5))+max(0, len(w.lists)-5)].list}
		})
	case core.HireMachines:
		w.cloud(n, o.Call, core.Hired{Outcome: core.Unknown}, func() any { return w.hire(o.Hire) })
	case core.ReturnMachines:
		w.cloud(n, o.Call, core.GivenBack{Outcome: core.Unknown}, func() any {
			for _, id := range o.Names {
				if m := w.byID[id]; m != nil {
					m.vanish()
					m.up = false
				}
			}
			return core.GivenBack{}
		})
	case core.Order:
		w.direct(n, o.Call, o.Addr, 2*time.Second, func(m *machine) core.Answered { return m.do(o.Body) })
	case core.Show:
		w.direct(n, o.Call, o.Addr, 800*time.Millisecond, func(m *machine) core.Answered { return core.Answered{Report: m.report()} })
	case core.Tell:
		for _, s := range w.nodes {
			if s != n && s.core != nil && !w.CutPeers[n.index] && !w.CutPeers[s.index] && w.rng.Float64() >= max(w.Loss, w.PeerLoss) {
				line := *o.Line
				to, togen := s, s.gen
				w.after(w.latency(), func() {
					if to.gen == togen {
						w.step(to, core.PeerSaid{Line: &line})
					}
				})
			}
		}
	default:
		panic(fmt.Sprintf("output %T", o))
	}
}

// checkLimits holds a transaction against the limits of the state service, and
// wants every record written on the condition that it is as it was read.
func (w *World) checkLimits(t wire.Transaction) {
	l := w.Settings.Cluster.State
	if len(t.Then) > l.TxnOps || len(t.If) > 4*l.TxnOps {
		w.breaks("transaction with %d changes and %d conditions", len(t.Then), len(t.If))
	}
	for _, c := range t.Then {
		for _, records := range []string{"l/p/", "l/j/", "l/f/", "l/m"} {
			if strings.HasPrefix(c.Put, records) && !slices.ContainsFunc(t.If, func(i wire.Condition) bool { return i.Key == c.Put }) {
				w.breaks("%s written without a condition on it", c.Put)
			}
		}
		if float64(len(c.Value)) > l.ValueKB*1024 {
			w.breaks("value of %d bytes under %s", len(c.Value), c.Put)
		}
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
			if v, _, ok := w.store.Get("l/j/" + string(id)); (!ok || strings.Contains(string(v), `"over"`)) && !before[name] {
				w.breaks("placed without its job: %s", name)
			}
		}
	}
}

// attempts are the attempts that a placement record names, with their jobs.
func attempts(value json.RawMessage) map[string]wire.JobID {
	var v struct {
		Groups []struct {
			Job     wire.JobID   `json:"j"`
			Attempt wire.Attempt `json:"a"`
		} `json:"e"`
	}
	if err := json.Unmarshal(value, &v); err != nil {
		panic(err) // the core writes nothing else there
	}
	out := map[string]wire.JobID{}
	for _, g := range v.Groups {
		out[fmt.Sprint(g.Job, " ", g.Attempt)] = g.Job
	}
	return out
}

func (w *World) load(n *node, o core.Load) {
	gen := n.gen
	var r core.Loaded
	var next func(i int)
	next = func(i int) {
		switch {
		case n.gen != gen:
		case w.StateDown || w.CutState[n.index] || w.rng.Float64() < w.Loss:
			w.returned(n, gen, giveUp, o.Call, core.Loaded{Outcome: core.NotDone})
		case i == len(o.Prefixes):
			w.returned(n, gen, w.latency(), o.Call, r)
		default:
			if i == 0 {
				r.First = w.store.Ledger()
			}
			r.Last = w.store.Ledger()
			r.Entries = append(r.Entries, w.store.List(o.Prefixes[i])...)
			w.after(w.latency(), func() { next(i + 1) })
		}
	}
	w.after(w.latency(), func() { next(0) })
}

// fed is the feed's answer.
func (w *World) fed(f core.Follow) core.Fed {
	if w.store.TooOld(f.After) {
		return core.Fed{Outcome: core.TooOld}
	}
	return core.Fed{Feed: w.store.Feed(f.Under, f.After)}
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
		if f.Outcome == core.Done && len(f.Feed.Log) == 0 && !timeout {
			return
		}
		wt.done = true
		w.returned(wt.n, wt.gen, w.latency(), wt.f.Call, f)
	} else if timeout {
		wt.done = true
		w.returned(wt.n, wt.gen, w.latency(), wt.f.Call, core.Fed{Outcome: core.Unknown})
	}
	w.watchers = slices.DeleteFunc(w.watchers, func(x *watcher) bool { return x.done })
}

func (w *World) cloud(n *node, id core.CallID, refused any, exec func() any) {
	gen := n.gen
	w.after(100*time.Millisecond, func() {
		w.remote(n, gen, id, refused, func() any {
			if w.CloudDown {
				return refused
			}
			return exec()
		})
	})
}

func (w *World) hire(h wire.Hire) core.Hired {
	if names, ok := w.hires[h.Name]; ok {
		return core.Hired{Names: names}
	}
	i := slices.IndexFunc(w.types, func(t wire.MachineType) bool { return t.Name == h.Type })
	inUse := 0
	for _, m := range w.machines {
		if !m.dead && m.kind.Name == h.Type && m.zone == h.Zone && m.spot == h.Spot {
			inUse++
		}
	}
	number := min(h.Number, w.Capacity-inUse)
	if i < 0 || number <= 0 {
		return core.Hired{Outcome: core.NotDone, Refused: true}
	}
	var names []wire.MachineID
	for range number {
		boot := time.Duration(1+w.rng.IntN(8)) * time.Second
		if w.Boot != nil {
			boot = w.Boot(h.Type, h.Zone)
		}
		names = append(names, w.AddMachine(w.types[i], h.Zone, h.Spot, boot).id)
	}
	w.hires[h.Name] = names
	return core.Hired{Names: names}
}

// AddMachine rents a machine that comes up after boot.
func (w *World) AddMachine(kind wire.MachineType, zone string, spot bool, boot time.Duration) *machine {
	m := &machine{w: w, id: wire.MachineID(fmt.Sprintf("m-%06d", len(w.machines))), kind: kind, zone: zone, spot: spot,
		born: w.now, shift: 1, tasks: map[taskKey]*task{}, images: map[string]bool{}, node: w.rng.IntN(len(w.nodes))}
	w.machines = append(w.machines, m)
	w.byID[m.id] = m
	w.after(boot, func() {
		if !m.dead {
			m.up, m.answered = true, w.now
			m.reportLoop()
		}
	})
	return m
}

func (w *World) list() []wire.ListedMachine {
	var out []wire.ListedMachine
	for _, m := range w.machines {
		if m.dead && (!m.up || w.now-m.deadAt > core.Time(30*time.Second)) {
			continue
		}
		l := wire.ListedMachine{ID: m.id, Addr: string(m.id), Type: m.kind.Name, Zone: m.zone, Spot: m.spot,
			Status: wire.MachineBooting, HeldS: w.now.Sub(m.born).Seconds()}
		if m.up {
			l.Status = wire.MachineRunning
		}
		out = append(out, l)
	}
	return out
}

// direct carries out a call to a worker; a hanging one carries it out later.
func (w *World) direct(n *node, id core.CallID, addr string, timeout time.Duration, exec func(*machine) core.Answered) {
	gen := n.gen
	open := true
	n.calls++
	n.most = max(n.most, n.calls)
	finish := func(d time.Duration, a core.Answered) {
		if open {
			open = false
			if n.gen == gen {
				n.calls--
			}
			w.returned(n, gen, d, id, a)
		}
	}
	w.after(timeout, func() { finish(0, core.Answered{Outcome: core.Unknown}) })
	m := w.byID[wire.MachineID(addr)]
	if m != nil && w.apart(m.zone, n) {
		return
	}
	if m == nil || m.dead || m.deaf || w.NoDirect || w.CutWorkers[n.index] {
		return
	}
	deliver := func() { m.act(func() { finish(w.latency(), exec(m)) }) }
	d := w.latency()
	if w.rng.Float64() < w.Loss {
		d = time.Duration(w.rng.IntN(30_000)) * time.Millisecond
	}
	w.after(d, deliver)
	if w.rng.Float64() < w.Loss/2 {
		w.after(time.Duration(w.rng.IntN(30_000))*time.Millisecond, deliver)
	}
}

// apart reports whether a cut lies between a zone's machines and a controller.
func (w *World) apart(zone string, n *node) bool {
	return w.CutZone != "" && (zone == w.CutZone) != (n.index == w.InZone)
}

// CutOff cuts a zone and the controller in it off from everything for a while.
func (w *World) CutOff(zone string, inside int, d time.Duration) {
	w.CutZone, w.InZone = zone, inside
	w.CutState[inside], w.CutPeers[inside] = true, true
	w.At(d, func() {
		w.CutZone = ""
		delete(w.CutState, inside)
		delete(w.CutPeers, inside)
	})
}

// toNode sends a request to a controller.
func (w *World) toNode(n *node, makeInput func(core.RequestID) core.Input, then func(core.Reply)) {
	if r, fromWorker := makeInput(0).(core.Reported); fromWorker && w.rng.Float64() < w.KeepReports {
		w.kept = append(w.kept, keptReport{r.Report, w.now})
	}
	if _, fromWorker := makeInput(0).(core.Reported); fromWorker && w.rng.Float64() < w.LateReports {
		w.after(2*time.Second+time.Duration(w.rng.Int64N(int64(3*w.Lease))), func() {
			if n.core != nil && !w.CutWorkers[n.index] {
				n.request++
				w.step(n, makeInput(n.request))
			}
		})
	}
	if r, fromWorker := makeInput(0).(core.Reported); fromWorker && w.apart(r.Report.Zone, n) {
		return
	}
	d := w.latency()
	if w.rng.Float64() < w.Loss {
		if w.rng.IntN(2) == 0 {
			return
		}
		d = time.Duration(w.rng.IntN(30_000)) * time.Millisecond
	}
	w.after(d, func() {
		if n.core == nil {
			return
		}
		in := makeInput(0)
		if _, fromWorker := in.(core.Reported); fromWorker && w.CutWorkers[n.index] {
			return
		}
		n.request++
		n.replies[n.request] = then
		w.step(n, makeInput(n.request))
	})
}

// deliverKept hands the kept reports to all controllers, again and again while a
// controller that has just been started reads its state and begins to act.
func (w *World) deliverKept(began *node) {
	kept := w.kept
	w.kept = nil
	gen := began.gen
	for i := range 8 {
		w.after(time.Duration(i)*250*time.Millisecond, func() {
			for _, n := range w.nodes {
				for _, k := range kept {
					if n.core == nil || began.gen != gen {
						continue
					}
					if n == began && n.core.Healthy() {
						w.Seen["kept report at a new controller"]++
						if m := w.byID[k.report.Machine]; m != nil && k.report.Shift < m.shift {
							w.Seen["report of an earlier session"]++
						}
					}
					n.request++
					w.step(n, core.Reported{Request: n.request, Report: k.report})
				}
			}
		})
	}
}
