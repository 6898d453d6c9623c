package simulation

import (
	"container/heap"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/controller"
	"lilacrill/internal/record"
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
	// LateBy names controllers all of whose transactions are late like that.
	LateBy map[int]bool
	// LatePlacements has all transactions that place late like that.
	LatePlacements bool
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
	// LateLines is the part of the lines between controllers of which a copy comes late,
	// from seconds to a minute, to whatever process has the label then.
	LateLines float64
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

	// Features are what the controllers are started with, by their number; those that are
	// not there have DefaultFeatures.
	Features map[int]config.Features
	// Retired is the processes that ended because they could not read the format in force.
	Retired []Retirement

	// CalmAt is when the last trouble was over; 0 while some may still come.
	CalmAt time.Duration

	// Broken is what went against the rules.
	Broken []string

	now      controller.Time
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

// Retirement is the end of a process that could not read the format in force.
type Retirement struct {
	Controller int
	Cause      error
}

type watcher struct {
	f    controller.Watch
	n    *node
	gen  int
	done bool
}

type node struct {
	index   int
	core    *controller.Controller
	gen     int
	born    controller.Time
	replies map[controller.RequestID]func(controller.Reply)
	request controller.RequestID
	calls   int                // direct calls to workers under way
	most    int                // of them at once so far
	reads   record.FormatRange // what its process reads
	frozen  bool
	held    []controller.Input // what came while it stood still
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
	toldAt    controller.Time
	asked     controller.Time // when it was first submitted
	answered  controller.Time // when a question about it was last answered
	began     controller.Time // when a task of it first ran
	complete  map[int]bool
	neglected controller.Time // since when it waits beside room
	mistaken  bool            // its tasks fail on every machine
	launched  int             // launches of its tasks that workers obeyed
	placed    []placed        // its tasks on machines; those that no longer are go when it is next read
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

// New makes a world of so many controllers, not yet started.
func New(set config.Settings, types []wire.MachineType, controllers int, seed uint64) *World {
	w := &World{
		Settings: set,
		Lease:    config.Seconds(set.Cluster.Workers.LeaseS), ReportEvery: config.Seconds(set.Cluster.Workers.ReportS),
		GangWait: config.Seconds(set.Cluster.Workers.GangWaitS), GangPeer: config.Seconds(set.Cluster.Workers.GangPeerS),
		Cancel:   config.Seconds(set.Cluster.Workers.CancelS),
		Capacity: 3,
		Seen:     map[string]int{}, CutState: map[int]bool{}, CutWorkers: map[int]bool{}, CutPeers: map[int]bool{}, LateBy: map[int]bool{}, Features: map[int]config.Features{},
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
	set.Label = label(i)
	set.Siblings = nil
	for k := range w.nodes {
		if k != i {
			set.Siblings = append(set.Siblings, config.Sibling{Label: label(k)})
		}
	}
	set.Cluster.Size = len(w.nodes)
	set.Features = config.DefaultFeatures()
	if f, ok := w.Features[i]; ok {
		set.Features = f
	}
	n.core = controller.New(&set, w.log.With("node", set.Label, "gen", n.gen), w.rng.Uint64())
	n.born, n.reads = w.now, set.Features.Rollout.Formats()
	n.replies = map[controller.RequestID]func(controller.Reply){}
	n.frozen, n.held, n.calls = false, nil, 0
	gen := n.gen
	var tick func()
	tick = func() {
		if n.gen == gen {
			w.step(n, controller.Tick{})
			w.after(controller.TickEvery, tick)
		}
	}
	tick()
	w.deliverKept(n)
}

// label is the label of a controller.
func label(i int) string { return fmt.Sprintf("rig-%d", i) }

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

func (w *World) step(n *node, in controller.Input) {
	if n.frozen {
		if _, tick := in.(controller.Tick); !tick {
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
func (w *World) returned(n *node, gen int, d time.Duration, id controller.CallID, result controller.Result) {
	w.after(d, func() {
		if n.gen == gen {
			w.step(n, controller.CallCompleted{Call: id, Result: result})
		}
	})
}

func (w *World) carryOut(n *node, o controller.Output) {
	gen := n.gen
	switch o := o.(type) {
	case controller.Reply:
		then := n.replies[o.Request]
		delete(n.replies, o.Request)
		if then != nil && w.rng.Float64() >= w.Loss {
			w.after(w.latency(), func() { then(o) })
		}
	case controller.LoadKeys:
		w.load(n, o)
	case controller.Watch:
		if o.Block == 0 {
			w.state(n, o.Call, controller.WatchResult{Outcome: controller.NotExecuted}, controller.WatchResult{Outcome: controller.Unknown}, func() controller.Result { return w.fed(o) })
			return
		}
		wt := &watcher{f: o, n: n, gen: gen}
		w.watchers = append(w.watchers, wt)
		w.after(w.latency(), func() { w.serveWatcher(wt, false) })
		w.after(o.Block, func() { w.serveWatcher(wt, true) })
	case controller.GetKey:
		w.state(n, o.Call, controller.GetResult{Outcome: controller.NotExecuted}, controller.GetResult{Outcome: controller.Unknown}, func() controller.Result {
			v, version, ok := w.store.Get(o.Key)
			if !ok {
				return controller.GetResult{Outcome: controller.NotFound}
			}
			return controller.GetResult{Value: v, Version: version}
		})
	case controller.Commit:
		w.checkLimits(o.Txn)
		reads := n.reads
		exec := func() controller.CommitResult {
			before, owners := w.placements(o.Txn), w.owners(o.Txn)
			r := w.store.Multi(o.Txn)
			if r.Outcome == controller.Succeeded {
				w.checkPlacements(o.Txn, before)
				w.checkOwners(n, o.Txn, before)
				w.checkShares(o.Txn, owners)
				w.checkJoined(o.Txn, reads)
			} else if r.Outcome == controller.Conflict {
				w.Seen["lost write"]++
				w.noteRefused(o.Txn, before, r.Failed)
			}
			return r
		}
		if (w.rng.Float64() < w.LateWrites || w.LateBy[n.index] || w.LatePlacements && w.places(o.Txn)) && !w.StateDown && !w.CutState[n.index] {
			w.returned(n, gen, giveUp, o.Call, controller.CommitResult{Outcome: controller.Unknown})
			d := w.latency()
			if !w.LateAtOnce {
				d = 2*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))
			}
			w.after(d, func() {
				if exec().Outcome == controller.Succeeded {
					w.Seen["unanswered write"]++
				}
			})
			return
		}
		w.state(n, o.Call, controller.CommitResult{Outcome: controller.NotExecuted}, controller.CommitResult{Outcome: controller.Unknown}, func() controller.Result { return exec() })
	case controller.GrantLease:
		w.state(n, o.Call, controller.LeaseResult{Outcome: controller.NotExecuted}, controller.LeaseResult{Outcome: controller.Unknown}, func() controller.Result {
			return controller.LeaseResult{LeaseID: w.store.Grant(w.now, controller.Time(o.TTL))}
		})
	case controller.RenewLease:
		w.state(n, o.Call, controller.LeaseResult{Outcome: controller.NotExecuted}, controller.LeaseResult{Outcome: controller.Unknown}, func() controller.Result {
			if !w.store.Extend(w.now, o.LeaseID) {
				return controller.LeaseResult{Outcome: controller.NotFound}
			}
			return controller.LeaseResult{LeaseID: o.LeaseID}
		})
	case controller.RolloutEvent:
		w.Seen[string(o.Kind)]++
	case controller.Shutdown:
		w.Retired = append(w.Retired, Retirement{Controller: n.index, Cause: o.Cause})
		w.after(0, func() {
			if n.gen == gen {
				w.Stop(n.index)
			}
		})
	case controller.SetRateShare:
	case controller.ReadCatalogue:
		w.cloud(n, o.Call, controller.CatalogueResult{Outcome: controller.NotExecuted}, func() controller.Result {
			return controller.CatalogueResult{Catalogue: wire.Catalogue{Types: w.types}}
		})
	case controller.ListMachines:
		w.cloud(n, o.Call, controller.MachinesResult{Outcome: controller.NotExecuted}, func() controller.Result {
			return controller.MachinesResult{Machines: w.lists[w.rng.IntN(min(len(w.lists), 5))+max(0, len(w.lists)-5)].list}
		})
	case controller.ProvisionMachines:
		w.cloud(n, o.Call, controller.ProvisionResult{Outcome: controller.Unknown}, func() controller.Result { return w.hire(o.Request) })
	case controller.TerminateMachines:
		w.cloud(n, o.Call, controller.TerminateResult{Outcome: controller.Unknown}, func() controller.Result {
			for _, id := range o.Machines {
				if m := w.byID[id]; m != nil {
					w.noteMoving("machine returned out of a share that moves", id)
					m.vanish()
					m.up = false
				}
			}
			return controller.TerminateResult{}
		})
	case controller.SendCommands:
		w.direct(n, o.Call, o.Addr, 2*time.Second, func(m *machine) controller.WorkerResponse { return m.do(o.Body) })
	case controller.RequestHeartbeat:
		w.direct(n, o.Call, o.Addr, 800*time.Millisecond, func(m *machine) controller.WorkerResponse { return controller.WorkerResponse{Heartbeat: m.report()} })
	case controller.Broadcast:
		w.checkLine(o.Message)
		for _, s := range w.nodes {
			if s != n && s.core != nil && !w.CutPeers[n.index] && !w.CutPeers[s.index] && w.rng.Float64() >= max(w.Loss, w.PeerLoss) {
				line := *o.Message
				to, togen := s, s.gen
				w.after(w.latency(), func() {
					if to.gen == togen {
						w.step(to, controller.PeerMessageReceived{Message: &line})
					}
				})
				w.lineLate(to, line)
			}
		}
	default:
		panic(fmt.Sprintf("output %T", o))
	}
}
