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

// Cluster is a simulated deployment on a virtual clock.
type Cluster struct {
	Settings          config.Settings
	Lease             time.Duration
	HeartbeatInterval time.Duration
	GangWaitTimeout   time.Duration
	GangPeerTimeout   time.Duration
	CancelTimeout     time.Duration

	// MessageLoss is the part of the messages that is lost, or whose answer is lost,
	// or that is held up and carried out late.
	MessageLoss float64
	// StoreUnavailable and CloudDown are outages; CutState names controllers that the
	// state service refuses, CutWorkers such that workers do not reach.
	StoreUnavailable, CloudUnavailable   bool
	StorePartitioned, WorkersPartitioned map[int]bool
	// PeersPartitioned names controllers that hear and reach no sibling; PeerLoss is the part
	// of the lines between controllers that is lost.
	PeersPartitioned map[int]bool
	PeerMessageLoss  float64
	// PartitionedZone is a zone that is cut off from everything but the controller in it.
	PartitionedZone  string
	ControllerInZone int
	// DelayedCommits is the part of the transactions that get no answer and are carried
	// out 2 to 12 s later, after newer ones; with LateAtOnce only the answer is lost.
	DelayedCommits  float64
	LoseAnswersOnly bool
	// DelayCommitsOf names controllers all of whose transactions are late like that.
	DelayCommitsOf map[int]bool
	// DelayPlacements has all transactions that place late like that.
	DelayPlacements bool
	// ReplayedHeartbeats keeps copies of this part of the reports for the next controller
	// that begins: all controllers get them then.
	ReplayedHeartbeats float64
	// CancelOnCompletion is the part of the jobs that are called off at the moment at which
	// their last task ends; HangAtCancel of the machines of a job that is called off
	// hang for that long.
	CancelOnCompletion float64
	HangOnCancel       time.Duration
	// RequestBursts has users ask at all controllers within milliseconds, again and again,
	// and repeat the submission, after a job was accepted, ended or withdrawn.
	RequestBursts bool
	// Observed counts what took place, by name, for a test to show that it did.
	Observed map[string]int
	// DuplicatedPeerMessages is the part of the lines between controllers of which a copy comes late,
	// from seconds to a minute, to whatever process has the label then.
	DuplicatedPeerMessages float64
	// DuplicatedHeartbeats is the part of the reports of which a copy comes late, from
	// seconds to well over a lease.
	DuplicatedHeartbeats float64
	// DropDirectCalls has workers refuse direct calls from controllers.
	DropDirectCalls bool
	// Capacity is how many machines there are of each type, zone and kind.
	Capacity int
	// ImagePullTime, if not 0, is how long a machine fetches an image that it lacks. It
	// gives the fetch up when the task that waits for it ends.
	ImagePullTime time.Duration
	// ProvisioningDelay, if set, is how long a machine that is rented takes to come up.
	ProvisioningDelay func(kind, zone string) time.Duration
	// StoreDelay is added to the state service's answers.
	StoreDelay time.Duration

	// Features are what the controllers are started with, by their number; those that are
	// not there have DefaultFeatures.
	Features map[int]config.Features
	// Shutdowns is the processes that ended because they could not read the format in force.
	Shutdowns []ShutdownEvent

	// FaultsOverAt is when the last trouble was over; 0 while some may still come.
	FaultsOverAt time.Duration

	// Violations is what went against the rules.
	Violations []string

	now                controller.Time
	events             events
	eventCount         int
	rng                *rand.Rand
	store              *Store
	watchers           []*watcher
	controllers        []*controllerProcess
	machines           []*fakeMachine
	machinesByID       map[wire.MachineID]*fakeMachine
	provisioned        map[string][]wire.MachineID
	machineTypes       []wire.MachineType
	jobs               map[wire.JobID]*submittedJob
	machineListings    []machineListing
	recordedHeartbeats []recordedHeartbeat
	log                *slog.Logger
}

// ShutdownEvent is the end of a process that could not read the format in force.
type ShutdownEvent struct {
	Controller int
	Cause      error
}

type watcher struct {
	watch      controller.Watch
	process    *controllerProcess
	generation int
	done       bool
}

type controllerProcess struct {
	index          int
	controller     *controller.Controller
	generation     int
	startedAt      controller.Time
	replyHandlers  map[controller.RequestID]func(controller.Reply)
	lastRequest    controller.RequestID
	directCalls    int                // direct calls to workers under way
	maxDirectCalls int                // of them at once so far
	formats        record.FormatRange // what its process reads
	stalled        bool
	bufferedInputs []controller.Input // what came while it stood still
}

// submittedJob is a job with what its user was told.
type submittedJob struct {
	spec            wire.JobSpec
	runtime         time.Duration
	runtimeOf       func(index int) time.Duration // if set, in place of runtime
	accepted        bool
	submitted       bool
	cancelRequested bool
	lastStatus      wire.Status
	terminalAt      controller.Time
	submittedAt     controller.Time // when it was first submitted
	answeredAt      controller.Time // when a question about it was last answered
	startedAt       controller.Time // when a task of it first ran
	completed       map[int]bool
	neglectedSince  controller.Time // since when it waits beside room
	alwaysFails     bool            // its tasks fail on every machine
	launches        int             // launches of its tasks that workers obeyed
	placements      []placement     // its tasks on machines; those that no longer are go when it is next read
}

type placement struct {
	machine *fakeMachine
	task    *fakeTask
}

// active is the job's tasks that are on machines.
func (j *submittedJob) active() []placement {
	j.placements = slices.DeleteFunc(j.placements, func(p placement) bool { return !p.task.active })
	return j.placements
}

// NewCluster makes a world of so many controllers, not yet started.
func NewCluster(set config.Settings, types []wire.MachineType, controllers int, seed uint64) *Cluster {
	w := &Cluster{
		Settings: set,
		Lease:    config.Seconds(set.Cluster.Workers.LeaseS), HeartbeatInterval: config.Seconds(set.Cluster.Workers.ReportS),
		GangWaitTimeout: config.Seconds(set.Cluster.Workers.GangWaitS), GangPeerTimeout: config.Seconds(set.Cluster.Workers.GangPeerS),
		CancelTimeout: config.Seconds(set.Cluster.Workers.CancelS),
		Capacity:      3,
		Observed:      map[string]int{}, StorePartitioned: map[int]bool{}, WorkersPartitioned: map[int]bool{}, PeersPartitioned: map[int]bool{}, DelayCommitsOf: map[int]bool{}, Features: map[int]config.Features{},
		rng: rand.New(rand.NewPCG(seed, 7)), store: NewStore(),
		machinesByID: map[wire.MachineID]*fakeMachine{}, provisioned: map[string][]wire.MachineID{}, machineTypes: types,
		jobs: map[wire.JobID]*submittedJob{}, log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	w.store.OnChange = w.notifyWatchers
	for i := range controllers {
		w.controllers = append(w.controllers, &controllerProcess{index: i})
	}
	w.every(100*time.Millisecond, func() {
		if !w.StoreUnavailable {
			w.store.Expire(w.now)
		}
		w.checkTasksAndQuotas()
	})
	w.every(time.Second, func() {
		w.checkNeglect()
		w.machineListings = append(w.machineListings, machineListing{w.now, w.listMachines()})
		if len(w.machineListings) > 15 {
			w.machineListings = w.machineListings[1:]
		}
	})
	return w
}

// Log sends the cores' log somewhere.
func (w *Cluster) Log(log *slog.Logger) { w.log = log }

// Now is the time on the world's clock.
func (w *Cluster) Now() time.Duration { return time.Duration(w.now) }

func (w *Cluster) after(d time.Duration, run func()) {
	w.eventCount++
	heap.Push(&w.events, event{w.now.Add(max(d, 0)), w.eventCount, run})
}

// At runs f after d.
func (w *Cluster) At(d time.Duration, f func()) { w.after(d, f) }

func (w *Cluster) every(d time.Duration, f func()) {
	var loop func()
	loop = func() {
		f()
		w.after(d, loop)
	}
	w.after(0, loop)
}

// Run lets time pass.
func (w *Cluster) Run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *Cluster) violation(format string, args ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf("%v: ", time.Duration(w.now))+fmt.Sprintf(format, args...))
}

// latency is how long one message takes.
func (w *Cluster) latency() time.Duration {
	d := time.Duration(500+w.rng.IntN(2500)) * time.Microsecond
	if w.rng.IntN(200) == 0 {
		d += time.Duration(w.rng.IntN(300)) * time.Millisecond
	}
	return d
}

// Start starts a controller, or ends it and starts it again.
func (w *Cluster) Start(i int) {
	n := w.controllers[i]
	w.Stop(i)
	set := w.Settings
	set.Label = controllerLabel(i)
	set.Siblings = nil
	for k := range w.controllers {
		if k != i {
			set.Siblings = append(set.Siblings, config.Sibling{Label: controllerLabel(k)})
		}
	}
	set.Cluster.Size = len(w.controllers)
	set.Features = config.DefaultFeatures()
	if f, ok := w.Features[i]; ok {
		set.Features = f
	}
	n.controller = controller.New(&set, w.log.With("node", set.Label, "gen", n.generation), w.rng.Uint64())
	n.startedAt, n.formats = w.now, set.Features.Rollout.Formats()
	n.replyHandlers = map[controller.RequestID]func(controller.Reply){}
	n.stalled, n.bufferedInputs, n.directCalls = false, nil, 0
	gen := n.generation
	var tick func()
	tick = func() {
		if n.generation == gen {
			w.step(n, controller.Tick{})
			w.after(controller.TickEvery, tick)
		}
	}
	tick()
	w.replayHeartbeats(n)
}

// controllerLabel is the label of a controller.
func controllerLabel(i int) string { return fmt.Sprintf("rig-%d", i) }

// Stop ends a controller.
func (w *Cluster) Stop(i int) {
	w.controllers[i].generation++
	w.controllers[i].controller = nil
}

// Stall has a controller stand still for a while, its clocks running on. What
// comes meanwhile waits for it in buffers, and is handled first when it goes on.
func (w *Cluster) Stall(i int, d time.Duration) {
	n := w.controllers[i]
	if n.controller == nil || n.stalled {
		return
	}
	n.stalled = true
	gen := n.generation
	w.after(d, func() {
		if n.generation != gen {
			return
		}
		n.stalled = false
		held := n.bufferedInputs
		n.bufferedInputs = nil
		for _, in := range held {
			w.step(n, in)
		}
	})
}

func (w *Cluster) step(n *controllerProcess, in controller.Input) {
	if n.stalled {
		if _, tick := in.(controller.Tick); !tick {
			n.bufferedInputs = append(n.bufferedInputs, in)
		}
		return
	}
	wall := 1_700_000_000_000 + time.Duration(w.now).Milliseconds() + int64(n.index)*20
	for _, o := range n.controller.Step(w.now-n.startedAt, wall, in) {
		w.execute(n, o)
	}
}

// completeCall hands a call's result back, if the caller still lives.
func (w *Cluster) completeCall(n *controllerProcess, gen int, d time.Duration, id controller.CallID, result controller.Result) {
	w.after(d, func() {
		if n.generation == gen {
			w.step(n, controller.CallCompleted{Call: id, Result: result})
		}
	})
}

func (w *Cluster) execute(n *controllerProcess, o controller.Output) {
	gen := n.generation
	switch o := o.(type) {
	case controller.Reply:
		then := n.replyHandlers[o.Request]
		delete(n.replyHandlers, o.Request)
		if then != nil && w.rng.Float64() >= w.MessageLoss {
			w.after(w.latency(), func() { then(o) })
		}
	case controller.LoadKeys:
		w.loadKeys(n, o)
	case controller.Watch:
		if o.Block == 0 {
			w.callStore(n, o.Call, controller.WatchResult{Outcome: controller.NotExecuted}, controller.WatchResult{Outcome: controller.Unknown}, func() controller.Result { return w.watchResult(o) })
			return
		}
		wt := &watcher{watch: o, process: n, generation: gen}
		w.watchers = append(w.watchers, wt)
		w.after(w.latency(), func() { w.serveWatcher(wt, false) })
		w.after(o.Block, func() { w.serveWatcher(wt, true) })
	case controller.GetKey:
		w.callStore(n, o.Call, controller.GetResult{Outcome: controller.NotExecuted}, controller.GetResult{Outcome: controller.Unknown}, func() controller.Result {
			v, version, ok := w.store.Get(o.Key)
			if !ok {
				return controller.GetResult{Outcome: controller.NotFound}
			}
			return controller.GetResult{Value: v, Version: version}
		})
	case controller.Commit:
		w.checkTransaction(o.Txn)
		reads := n.formats
		exec := func() controller.CommitResult {
			before, owners := w.teamAttempts(o.Txn), w.shardsWritten(o.Txn)
			r := w.store.Commit(o.Txn)
			if r.Outcome == controller.Succeeded {
				w.checkPlacedJobs(o.Txn, before)
				w.checkPlacementOwners(n, o.Txn, before)
				w.checkShardChanges(o.Txn, owners)
				w.checkLivenessFormat(o.Txn, reads)
			} else if r.Outcome == controller.Conflict {
				w.Observed["lost write"]++
				w.countRejectedPlacement(o.Txn, before, r.Failed)
			}
			return r
		}
		if (w.rng.Float64() < w.DelayedCommits || w.DelayCommitsOf[n.index] || w.DelayPlacements && w.addsPlacements(o.Txn)) && !w.StoreUnavailable && !w.StorePartitioned[n.index] {
			w.completeCall(n, gen, callTimeout, o.Call, controller.CommitResult{Outcome: controller.Unknown})
			d := w.latency()
			if !w.LoseAnswersOnly {
				d = 2*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))
			}
			w.after(d, func() {
				if exec().Outcome == controller.Succeeded {
					w.Observed["unanswered write"]++
				}
			})
			return
		}
		w.callStore(n, o.Call, controller.CommitResult{Outcome: controller.NotExecuted}, controller.CommitResult{Outcome: controller.Unknown}, func() controller.Result { return exec() })
	case controller.GrantLease:
		w.callStore(n, o.Call, controller.LeaseResult{Outcome: controller.NotExecuted}, controller.LeaseResult{Outcome: controller.Unknown}, func() controller.Result {
			return controller.LeaseResult{LeaseID: w.store.Grant(w.now, controller.Time(o.TTL))}
		})
	case controller.RenewLease:
		w.callStore(n, o.Call, controller.LeaseResult{Outcome: controller.NotExecuted}, controller.LeaseResult{Outcome: controller.Unknown}, func() controller.Result {
			if !w.store.Renew(w.now, o.LeaseID) {
				return controller.LeaseResult{Outcome: controller.NotFound}
			}
			return controller.LeaseResult{LeaseID: o.LeaseID}
		})
	case controller.RolloutEvent:
		w.Observed[string(o.Kind)]++
	case controller.Shutdown:
		w.Shutdowns = append(w.Shutdowns, ShutdownEvent{Controller: n.index, Cause: o.Cause})
		w.after(0, func() {
			if n.generation == gen {
				w.Stop(n.index)
			}
		})
	case controller.SetRateShare:
	case controller.ReadCatalogue:
		w.callCloud(n, o.Call, controller.CatalogueResult{Outcome: controller.NotExecuted}, func() controller.Result {
			return controller.CatalogueResult{Catalogue: wire.Catalogue{Types: w.machineTypes}}
		})
	case controller.ListMachines:
		w.callCloud(n, o.Call, controller.MachinesResult{Outcome: controller.NotExecuted}, func() controller.Result {
			return controller.MachinesResult{Machines: w.machineListings[w.rng.IntN(min(len(w.machineListings), 5))+max(0, len(w.machineListings)-5)].machines}
		})
	case controller.ProvisionMachines:
		w.callCloud(n, o.Call, controller.ProvisionResult{Outcome: controller.Unknown}, func() controller.Result { return w.provision(o.Request) })
	case controller.TerminateMachines:
		w.callCloud(n, o.Call, controller.TerminateResult{Outcome: controller.Unknown}, func() controller.Result {
			for _, id := range o.Machines {
				if m := w.machinesByID[id]; m != nil {
					w.countIfShardMoves("machine returned out of a share that moves", id)
					m.terminate()
					m.up = false
				}
			}
			return controller.TerminateResult{}
		})
	case controller.SendCommands:
		w.callWorker(n, o.Call, o.Addr, 2*time.Second, func(m *fakeMachine) controller.WorkerResponse { return m.handleCommands(o.Body) })
	case controller.RequestHeartbeat:
		w.callWorker(n, o.Call, o.Addr, 800*time.Millisecond, func(m *fakeMachine) controller.WorkerResponse {
			return controller.WorkerResponse{Heartbeat: m.heartbeat()}
		})
	case controller.Broadcast:
		w.checkPeerMessage(o.Message)
		for _, s := range w.controllers {
			if s != n && s.controller != nil && !w.PeersPartitioned[n.index] && !w.PeersPartitioned[s.index] && w.rng.Float64() >= max(w.MessageLoss, w.PeerMessageLoss) {
				line := *o.Message
				to, togen := s, s.generation
				w.after(w.latency(), func() {
					if to.generation == togen {
						w.step(to, controller.PeerMessageReceived{Message: &line})
					}
				})
				w.duplicatePeerMessage(to, line)
			}
		}
	default:
		panic(fmt.Sprintf("output %T", o))
	}
}
