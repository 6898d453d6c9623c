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
	Observed map[Observation]int
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
	j.placements = slices.DeleteFunc(j.placements, func(placed placement) bool { return !placed.task.active })
	return j.placements
}

// NewCluster makes a world of so many controllers, not yet started.
func NewCluster(settings config.Settings, types []wire.MachineType, controllers int, seed uint64) *Cluster {
	cluster := &Cluster{
		Settings: settings,
		Lease:    config.Seconds(settings.Cluster.Workers.LeaseS), HeartbeatInterval: config.Seconds(settings.Cluster.Workers.ReportS),
		GangWaitTimeout: config.Seconds(settings.Cluster.Workers.GangWaitS), GangPeerTimeout: config.Seconds(settings.Cluster.Workers.GangPeerS),
		CancelTimeout: config.Seconds(settings.Cluster.Workers.CancelS),
		Capacity:      3,
		Observed:      map[Observation]int{}, StorePartitioned: map[int]bool{}, WorkersPartitioned: map[int]bool{}, PeersPartitioned: map[int]bool{}, DelayCommitsOf: map[int]bool{}, Features: map[int]config.Features{},
		rng: rand.New(rand.NewPCG(seed, 7)), store: NewStore(),
		machinesByID: map[wire.MachineID]*fakeMachine{}, provisioned: map[string][]wire.MachineID{}, machineTypes: types,
		jobs: map[wire.JobID]*submittedJob{}, log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	cluster.store.OnChange = cluster.notifyWatchers
	for i := range controllers {
		cluster.controllers = append(cluster.controllers, &controllerProcess{index: i})
	}
	cluster.every(100*time.Millisecond, func() {
		if !cluster.StoreUnavailable {
			cluster.store.Expire(cluster.now)
		}
		cluster.checkTasksAndQuotas()
	})
	cluster.every(time.Second, func() {
		cluster.checkNeglect()
		cluster.machineListings = append(cluster.machineListings, machineListing{cluster.now, cluster.listMachines()})
		if len(cluster.machineListings) > 15 {
			cluster.machineListings = cluster.machineListings[1:]
		}
	})
	return cluster
}

// Log sends the cores' log somewhere.
func (c *Cluster) Log(log *slog.Logger) { c.log = log }

// Now is the time on the world's clock.
func (c *Cluster) Now() time.Duration { return time.Duration(c.now) }

func (c *Cluster) after(d time.Duration, run func()) {
	c.eventCount++
	heap.Push(&c.events, event{c.now.Add(max(d, 0)), c.eventCount, run})
}

// At runs f after d.
func (c *Cluster) At(d time.Duration, f func()) { c.after(d, f) }

func (c *Cluster) every(d time.Duration, f func()) {
	var loop func()
	loop = func() {
		f()
		c.after(d, loop)
	}
	c.after(0, loop)
}

// Run lets time pass.
func (c *Cluster) Run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

func (c *Cluster) violation(format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("%v: ", time.Duration(c.now))+fmt.Sprintf(format, args...))
}

// latency is how long one message takes.
func (c *Cluster) latency() time.Duration {
	d := time.Duration(500+c.rng.IntN(2500)) * time.Microsecond
	if c.rng.IntN(200) == 0 {
		d += time.Duration(c.rng.IntN(300)) * time.Millisecond
	}
	return d
}

// Start starts a controller, or ends it and starts it again.
func (c *Cluster) Start(i int) {
	process := c.controllers[i]
	c.Stop(i)
	settings := c.Settings
	settings.Label = controllerLabel(i)
	settings.Siblings = nil
	for k := range c.controllers {
		if k != i {
			settings.Siblings = append(settings.Siblings, config.Sibling{Label: controllerLabel(k)})
		}
	}
	settings.Cluster.Size = len(c.controllers)
	settings.Features = config.DefaultFeatures()
	if features, ok := c.Features[i]; ok {
		settings.Features = features
	}
	process.controller = controller.New(&settings, c.log.With("node", settings.Label, "gen", process.generation), c.rng.Uint64())
	process.startedAt, process.formats = c.now, settings.Features.Rollout.Formats()
	process.replyHandlers = map[controller.RequestID]func(controller.Reply){}
	process.stalled, process.bufferedInputs, process.directCalls = false, nil, 0
	generation := process.generation
	var tick func()
	tick = func() {
		if process.generation == generation {
			c.step(process, controller.Tick{})
			c.after(controller.TickEvery, tick)
		}
	}
	tick()
	c.replayHeartbeats(process)
}

// controllerLabel is the label of a controller.
func controllerLabel(i int) string { return fmt.Sprintf("rig-%d", i) }

// Stop ends a controller.
func (c *Cluster) Stop(i int) {
	c.controllers[i].generation++
	c.controllers[i].controller = nil
}

// Stall has a controller stand still for a while, its clocks running on. What
// comes meanwhile waits for it in buffers, and is handled first when it goes on.
func (c *Cluster) Stall(i int, d time.Duration) {
	process := c.controllers[i]
	if process.controller == nil || process.stalled {
		return
	}
	process.stalled = true
	generation := process.generation
	c.after(d, func() {
		if process.generation != generation {
			return
		}
		process.stalled = false
		held := process.bufferedInputs
		process.bufferedInputs = nil
		for _, in := range held {
			c.step(process, in)
		}
	})
}

func (c *Cluster) step(process *controllerProcess, in controller.Input) {
	if process.stalled {
		if _, tick := in.(controller.Tick); !tick {
			process.bufferedInputs = append(process.bufferedInputs, in)
		}
		return
	}
	wall := 1_700_000_000_000 + time.Duration(c.now).Milliseconds() + int64(process.index)*20
	for _, o := range process.controller.Step(c.now-process.startedAt, wall, in) {
		c.execute(process, o)
	}
}

// completeCall hands a call's result back, if the caller still lives.
func (c *Cluster) completeCall(process *controllerProcess, generation int, d time.Duration, call controller.CallID, result controller.Result) {
	c.after(d, func() {
		if process.generation == generation {
			c.step(process, controller.CallCompleted{Call: call, Result: result})
		}
	})
}

func (c *Cluster) execute(process *controllerProcess, o controller.Output) {
	generation := process.generation
	switch o := o.(type) {
	case controller.Reply:
		then := process.replyHandlers[o.Request]
		delete(process.replyHandlers, o.Request)
		if then != nil && c.rng.Float64() >= c.MessageLoss {
			c.after(c.latency(), func() { then(o) })
		}
	case controller.LoadKeys:
		c.loadKeys(process, o)
	case controller.Watch:
		if o.Block == 0 {
			c.callStore(process, o.Call, controller.WatchResult{Outcome: controller.NotExecuted}, controller.WatchResult{Outcome: controller.Unknown}, func() controller.Result { return c.watchResult(o) })
			return
		}
		watch := &watcher{watch: o, process: process, generation: generation}
		c.watchers = append(c.watchers, watch)
		c.after(c.latency(), func() { c.serveWatcher(watch, false) })
		c.after(o.Block, func() { c.serveWatcher(watch, true) })
	case controller.GetKey:
		c.callStore(process, o.Call, controller.GetResult{Outcome: controller.NotExecuted}, controller.GetResult{Outcome: controller.Unknown}, func() controller.Result {
			v, version, ok := c.store.Get(o.Key)
			if !ok {
				return controller.GetResult{Outcome: controller.NotFound}
			}
			return controller.GetResult{Value: v, Version: version}
		})
	case controller.Commit:
		c.checkTransaction(o.Txn)
		reads := process.formats
		exec := func() controller.CommitResult {
			before, owners := c.teamAttempts(o.Txn), c.shardsWritten(o.Txn)
			result := c.store.Commit(o.Txn)
			if result.Outcome == controller.Succeeded {
				c.checkPlacedJobs(o.Txn, before)
				c.checkPlacementOwners(process, o.Txn, before)
				c.checkShardChanges(o.Txn, owners)
				c.checkLivenessFormat(o.Txn, reads)
			} else if result.Outcome == controller.Conflict {
				c.Observed[conflictingCommit]++
				c.countRejectedPlacement(o.Txn, before, result.Failed)
			}
			return result
		}
		if (c.rng.Float64() < c.DelayedCommits || c.DelayCommitsOf[process.index] || c.DelayPlacements && c.addsPlacements(o.Txn)) && !c.StoreUnavailable && !c.StorePartitioned[process.index] {
			c.completeCall(process, generation, callTimeout, o.Call, controller.CommitResult{Outcome: controller.Unknown})
			d := c.latency()
			if !c.LoseAnswersOnly {
				d = 2*time.Second + time.Duration(c.rng.Int64N(int64(10*time.Second)))
			}
			c.after(d, func() {
				if exec().Outcome == controller.Succeeded {
					c.Observed[unansweredCommit]++
				}
			})
			return
		}
		c.callStore(process, o.Call, controller.CommitResult{Outcome: controller.NotExecuted}, controller.CommitResult{Outcome: controller.Unknown}, func() controller.Result { return exec() })
	case controller.GrantLease:
		c.callStore(process, o.Call, controller.LeaseResult{Outcome: controller.NotExecuted}, controller.LeaseResult{Outcome: controller.Unknown}, func() controller.Result {
			return controller.LeaseResult{LeaseID: c.store.Grant(c.now, controller.Time(o.TTL))}
		})
	case controller.RenewLease:
		c.callStore(process, o.Call, controller.LeaseResult{Outcome: controller.NotExecuted}, controller.LeaseResult{Outcome: controller.Unknown}, func() controller.Result {
			if !c.store.Renew(c.now, o.LeaseID) {
				return controller.LeaseResult{Outcome: controller.NotFound}
			}
			return controller.LeaseResult{LeaseID: o.LeaseID}
		})
	case controller.RolloutEvent:
		c.Observed[Observation(o.Kind)]++
	case controller.Shutdown:
		c.Shutdowns = append(c.Shutdowns, ShutdownEvent{Controller: process.index, Cause: o.Cause})
		c.after(0, func() {
			if process.generation == generation {
				c.Stop(process.index)
			}
		})
	case controller.SetRateShare:
	case controller.ReadCatalogue:
		c.callCloud(process, o.Call, controller.CatalogueResult{Outcome: controller.NotExecuted}, func() controller.Result {
			return controller.CatalogueResult{Catalogue: wire.Catalogue{Types: c.machineTypes}}
		})
	case controller.ListMachines:
		c.callCloud(process, o.Call, controller.MachinesResult{Outcome: controller.NotExecuted}, func() controller.Result {
			return controller.MachinesResult{Machines: c.machineListings[c.rng.IntN(min(len(c.machineListings), 5))+max(0, len(c.machineListings)-5)].machines}
		})
	case controller.ProvisionMachines:
		c.callCloud(process, o.Call, controller.ProvisionResult{Outcome: controller.Unknown}, func() controller.Result { return c.provision(o.Request) })
	case controller.TerminateMachines:
		c.callCloud(process, o.Call, controller.TerminateResult{Outcome: controller.Unknown}, func() controller.Result {
			for _, id := range o.Machines {
				if machine := c.machinesByID[id]; machine != nil {
					c.countIfShardMoves(machineTerminatedInMovingShard, id)
					machine.terminate()
					machine.up = false
				}
			}
			return controller.TerminateResult{}
		})
	case controller.SendCommands:
		c.callWorker(process, o.Call, o.Addr, 2*time.Second, func(machine *fakeMachine) controller.WorkerResponse { return machine.handleCommands(o.Body) })
	case controller.RequestHeartbeat:
		c.callWorker(process, o.Call, o.Addr, 800*time.Millisecond, func(machine *fakeMachine) controller.WorkerResponse {
			return controller.WorkerResponse{Heartbeat: machine.heartbeat()}
		})
	case controller.Broadcast:
		c.checkPeerMessage(o.Message)
		for _, peer := range c.controllers {
			if peer != process && peer.controller != nil && !c.PeersPartitioned[process.index] && !c.PeersPartitioned[peer.index] && c.rng.Float64() >= max(c.MessageLoss, c.PeerMessageLoss) {
				message := *o.Message
				receiver, receiverGeneration := peer, peer.generation
				c.after(c.latency(), func() {
					if receiver.generation == receiverGeneration {
						c.step(receiver, controller.PeerMessageReceived{Message: &message})
					}
				})
				c.duplicatePeerMessage(receiver, message)
			}
		}
	default:
		panic(fmt.Sprintf("output %T", o))
	}
}
