package simulation

import (
	"fmt"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/controller"
	"lilacrill/internal/record"
)

const (
	// wallClockStart is the wall-clock time at the start of the cluster, in Unix
	// milliseconds.
	wallClockStart = 1_700_000_000_000
	// wallClockSkew is the time by which the wall clock of each controller is ahead of that
	// of the controller with the previous index, in milliseconds.
	wallClockSkew = 20
)

// controllerProcess is a controller with its process, if one is running.
type controllerProcess struct {
	index int
	// controller is nil while no process runs.
	controller *controller.Controller
	// generation is the number of the process. Events and call results for an earlier
	// process are dropped.
	generation     int
	startedAt      controller.Time
	formats        record.FormatRange // formats that the process reads
	lastRequest    controller.RequestID
	replyHandlers  map[controller.RequestID]func(controller.Reply)
	directCalls    int // direct calls to workers in progress
	maxDirectCalls int // largest number of directCalls so far
	stalled        bool
	bufferedInputs []controller.Input // inputs that arrived while it was stalled
}

// ShutdownEvent records that a process shut down by itself because it could not read the
// format in force.
type ShutdownEvent struct {
	Controller int
	Cause      error
}

// controllerLabel returns the label of the controller with index i.
func controllerLabel(i int) string { return fmt.Sprintf("rig-%d", i) }

// Start starts the controller with index i, or restarts it if it is running.
func (c *Cluster) Start(i int) {
	process := c.controllers[i]
	c.Stop(i)
	settings := c.controllerSettings(i)
	process.controller = controller.New(&settings, c.log.With("node", settings.Label, "gen", process.generation), c.rng.Uint64())
	process.startedAt, process.formats = c.now, settings.Features.Rollout.Formats()
	process.replyHandlers = map[controller.RequestID]func(controller.Reply){}
	process.stalled, process.bufferedInputs, process.directCalls = false, nil, 0
	c.tick(process, process.generation)
	c.replayHeartbeats(process)
}

// controllerSettings returns the settings with which the controller with index i is
// started.
func (c *Cluster) controllerSettings(i int) config.Settings {
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
	return settings
}

// tick passes a tick to a process now and at every TickInterval until the process ends.
func (c *Cluster) tick(process *controllerProcess, generation int) {
	if process.generation != generation {
		return
	}
	c.step(process, controller.Tick{})
	c.after(controller.TickInterval, func() { c.tick(process, generation) })
}

// Stop ends the process of the controller with index i.
func (c *Cluster) Stop(i int) {
	c.controllers[i].generation++
	c.controllers[i].controller = nil
}

// Stall suspends a controller's process for d, while its clocks run on. Inputs that arrive
// meanwhile are buffered and handled first when the process resumes; ticks are skipped.
func (c *Cluster) Stall(i int, d time.Duration) {
	process := c.controllers[i]
	if process.controller == nil || process.stalled {
		return
	}
	process.stalled = true
	generation := process.generation
	c.after(d, func() {
		if process.generation == generation {
			c.resume(process)
		}
	})
}

func (c *Cluster) resume(process *controllerProcess) {
	buffered := process.bufferedInputs
	process.stalled, process.bufferedInputs = false, nil
	for _, input := range buffered {
		c.step(process, input)
	}
}

// step passes an input to a controller and executes the outputs.
func (c *Cluster) step(p *controllerProcess, input controller.Input) {
	if p.stalled {
		if _, tick := input.(controller.Tick); !tick {
			p.bufferedInputs = append(p.bufferedInputs, input)
		}
		return
	}
	wall := wallClockStart + c.Now().Milliseconds() + int64(p.index)*wallClockSkew
	for _, output := range p.controller.Step(c.now-p.startedAt, wall, input) {
		c.execute(p, output)
	}
}

// deliverRequest passes a request with the next ID to a controller. Unless then is nil, it
// is called with the reply.
func (c *Cluster) deliverRequest(process *controllerProcess, newInput inputFactory, then func(controller.Reply)) {
	process.lastRequest++
	if then != nil {
		process.replyHandlers[process.lastRequest] = then
	}
	c.step(process, newInput(process.lastRequest))
}

// inputFactory returns the input for a request, given the ID of the request.
type inputFactory func(controller.RequestID) controller.Input

// pendingCall is a call of a controller's process that awaits its result.
type pendingCall struct {
	process    *controllerProcess
	generation int
	id         controller.CallID
}

func newCall(process *controllerProcess, id controller.CallID) pendingCall {
	return pendingCall{process: process, generation: process.generation, id: id}
}

// callerEnded reports whether the process that made the call has ended.
func (p pendingCall) callerEnded() bool { return p.process.generation != p.generation }

// completeCall passes the result of a call to its process after d, unless the process has
// ended.
func (c *Cluster) completeCall(call pendingCall, d time.Duration, result controller.Result) {
	c.after(d, func() {
		if !call.callerEnded() {
			c.step(call.process, controller.CallCompleted{Call: call.id, Result: result})
		}
	})
}

// execute executes an output of a controller.
func (c *Cluster) execute(process *controllerProcess, output controller.Output) {
	switch o := output.(type) {
	case controller.Reply:
		c.deliverReply(process, o)
	case controller.LoadKeys, controller.Watch, controller.GetKey, controller.Commit, controller.GrantLease, controller.RenewLease:
		c.executeOnStore(process, o)
	case controller.ReadCatalogue, controller.ListMachines, controller.ProvisionMachines, controller.TerminateMachines:
		c.executeOnCloud(process, o)
	case controller.SendCommands:
		c.callWorker(process, o.Call, o.Addr, commandTimeout, func(machine *fakeMachine) controller.WorkerResponse {
			return machine.handleCommands(o.Body)
		})
	case controller.RequestHeartbeat:
		c.callWorker(process, o.Call, o.Addr, probeTimeout, func(machine *fakeMachine) controller.WorkerResponse {
			return controller.WorkerResponse{Heartbeat: machine.heartbeat()}
		})
	case controller.Broadcast:
		c.broadcast(process, o.Message)
	case controller.RolloutEvent:
		c.Observed[Observation(o.Kind)]++
	case controller.Shutdown:
		c.shutDown(process, o.Cause)
	case controller.SetRateFraction: // the fakes of the store and the cloud do not limit rates
	default:
		panic(fmt.Sprintf("unexpected controller output %T", output))
	}
}

func (c *Cluster) deliverReply(process *controllerProcess, reply controller.Reply) {
	then := process.replyHandlers[reply.Request]
	delete(process.replyHandlers, reply.Request)
	if then != nil && c.rng.Float64() >= c.MessageLoss {
		c.after(c.randomLatency(), func() { then(reply) })
	}
}

func (c *Cluster) shutDown(process *controllerProcess, cause error) {
	c.Shutdowns = append(c.Shutdowns, ShutdownEvent{Controller: process.index, Cause: cause})
	generation := process.generation
	c.after(0, func() {
		if process.generation == generation {
			c.Stop(process.index)
		}
	})
}
