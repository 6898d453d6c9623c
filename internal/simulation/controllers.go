package simulation

import (
	"fmt"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/controller"
	"lilacrill/internal/record"
)

const (
	// wallClockStart is the wall clock at the cluster's start, in Unix milliseconds.
	wallClockStart = 1_700_000_000_000
	// wallClockSkew is by how much the wall clock of each controller is ahead of that of
	// the one before, in milliseconds.
	wallClockSkew = 20
)

// controllerProcess is a controller with its process, if it runs.
type controllerProcess struct {
	index int
	// controller is nil while no process runs.
	controller *controller.Controller
	// generation numbers the processes: what was under way for an earlier one is dropped.
	generation     int
	startedAt      controller.Time
	formats        record.FormatRange // what the process reads
	lastRequest    controller.RequestID
	replyHandlers  map[controller.RequestID]func(controller.Reply)
	directCalls    int // calls to workers under way
	maxDirectCalls int // the most of them at once so far
	stalled        bool
	bufferedInputs []controller.Input // what arrived while it was stalled
}

// ShutdownEvent is the end of a process that shut down by itself, since it could not
// read the format in force.
type ShutdownEvent struct {
	Controller int
	Cause      error
}

// controllerLabel is the label of a controller.
func controllerLabel(i int) string { return fmt.Sprintf("rig-%d", i) }

// Start starts a controller, or restarts it.
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

// controllerSettings is the cluster's settings as a controller is started with them.
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

// tick gives a process its ticks until it ends.
func (c *Cluster) tick(process *controllerProcess, generation int) {
	if process.generation != generation {
		return
	}
	c.step(process, controller.Tick{})
	c.after(controller.TickInterval, func() { c.tick(process, generation) })
}

// Stop ends a controller's process.
func (c *Cluster) Stop(i int) {
	c.controllers[i].generation++
	c.controllers[i].controller = nil
}

// Stall has a controller's process do nothing for a while, its clocks running on. What
// arrives meanwhile waits in its buffers, and is handled first when it resumes.
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

// step gives a controller an input and executes what it puts out.
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

// deliverRequest gives a controller a request with the next ID, and its reply to then.
func (c *Cluster) deliverRequest(process *controllerProcess, newInput inputFactory, then func(controller.Reply)) {
	process.lastRequest++
	if then != nil {
		process.replyHandlers[process.lastRequest] = then
	}
	c.step(process, newInput(process.lastRequest))
}

// inputFactory makes the input for a request, given the ID that its reply will have.
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

// completeCall hands a call's result back after d, if the process is still there.
func (c *Cluster) completeCall(call pendingCall, d time.Duration, result controller.Result) {
	c.after(d, func() {
		if !call.callerEnded() {
			c.step(call.process, controller.CallCompleted{Call: call.id, Result: result})
		}
	})
}

// execute carries out what a controller put out.
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
	case controller.SetRateFraction: // the fakes of the store and the cloud limit no rates
	default:
		panic(fmt.Sprintf("output %T", output))
	}
}

func (c *Cluster) deliverReply(process *controllerProcess, reply controller.Reply) {
	then := process.replyHandlers[reply.Request]
	delete(process.replyHandlers, reply.Request)
	if then != nil && c.rng.Float64() >= c.MessageLoss {
		c.after(c.latency(), func() { then(reply) })
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
