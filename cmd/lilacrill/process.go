package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"lilacrill/internal/admin"
	"lilacrill/internal/cloud"
	"lilacrill/internal/config"
	"lilacrill/internal/controller"
	"lilacrill/internal/peer"
	"lilacrill/internal/server"
	"lilacrill/internal/sockets"
	"lilacrill/internal/statestore"
	"lilacrill/internal/tracing"
	"lilacrill/internal/worker"
	"lilacrill/wire"
)

// process runs one controller. A single goroutine, the event loop, passes inputs to the controller
// and executes its outputs. Other goroutines serve the listeners and run the clients of other
// services.
type process struct {
	settings   *config.Settings
	log        *slog.Logger
	controller *controller.Controller
	start      time.Time

	// Requests of users and operators, and heartbeats of workers, have a queue each, so that users
	// do not wait until the heartbeats of all workers are handled.
	requests     chan pendingRequest
	heartbeats   chan pendingRequest
	completions  chan controller.Input // results of calls to other services
	peerMessages chan controller.Input
	// stopped is closed when the event loop ends. After that nothing receives from the channels
	// above.
	stopped chan struct{}

	replies     map[controller.RequestID]chan controller.Reply
	lastRequest atomic.Uint64
	lastStep    atomic.Int64 // time of the controller's last step, in nanoseconds since start
	healthy     atomic.Bool

	state   *statestore.Client
	cloud   *cloud.Client
	workers *worker.Client
	peers   *peer.Mesh
	server  *server.Server
	tracer  *tracing.Tracer

	longSteps longSteps

	// shutdown fires when the event loop must end because of shutdownCause. It is nil until the
	// controller requests a shutdown.
	shutdown      <-chan time.Time
	shutdownCause error
}

// pendingRequest holds the input of a request and the channel that its reply is sent to.
type pendingRequest struct {
	id    controller.RequestID
	input controller.Input
	reply chan controller.Reply
}

// Sizes of the event loop's queues. A request is refused, and a peer message dropped, if its queue
// is full, so that the controller does not work on outdated input. While several queues are not
// empty, the event loop takes turns between them at random.
const (
	requestQueueSize     = 512
	heartbeatQueueSize   = 512
	completionQueueSize  = 4096
	peerMessageQueueSize = 64 // a message may name very many machines
)

const (
	// maxStepGap is the time without a step after which the process no longer counts as healthy.
	maxStepGap = time.Second
	// shutdownGrace is the time during which a process that shuts down still refuses requests
	// before it exits.
	shutdownGrace = 200 * time.Millisecond
)

// Limits of the Go runtime.
const (
	heapFraction  = 0.7 // of the memory quota; stacks and other memory need the rest
	gcPercent     = 200
	bytesPerMB    = 1 << 20
	minGoMaxProcs = 1
)

// newProcess returns a process that has not been started. A nil tracer records nothing.
func newProcess(settings *config.Settings, log *slog.Logger, tracer *tracing.Tracer) *process {
	limitRuntime(settings.Cluster.Quota)
	p := &process{
		settings:     settings,
		log:          log,
		controller:   controller.New(settings, log, rand.Uint64()),
		start:        time.Now(),
		requests:     make(chan pendingRequest, requestQueueSize),
		heartbeats:   make(chan pendingRequest, heartbeatQueueSize),
		completions:  make(chan controller.Input, completionQueueSize),
		peerMessages: make(chan controller.Input, peerMessageQueueSize),
		stopped:      make(chan struct{}),
		replies:      map[controller.RequestID]chan controller.Reply{},
		state:        statestore.New(settings, log),
		cloud:        cloud.New(settings, log),
		workers:      worker.New(log, sockets.NewBudget(settings).Workers),
		peers:        peer.New(settings, log),
		tracer:       tracer,
	}
	p.server = server.New(settings, p, os.Getenv(admin.TokenVariable), log)
	return p
}

// limitRuntime sets the limits of the Go runtime according to the quota of the process.
func limitRuntime(quota config.Quota) {
	debug.SetMemoryLimit(int64(quota.MemMB * heapFraction * bytesPerMB))
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(max(minGoMaxProcs, int(math.Ceil(quota.CoreShare))))
}

// run serves until ctx ends, a listener fails or the controller requests a shutdown.
func (p *process) run(ctx context.Context) error {
	public, peers, err := p.listen()
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return errors.Join(public.Close(), peers.Close())
	})
	group.Go(func() error { return p.server.Serve(public) })
	group.Go(func() error { return p.peers.Serve(peers, p.enqueuePeerMessage) })
	group.Go(func() error { p.peers.Send(ctx); return nil })
	group.Go(func() error { p.state.Serve(ctx); return nil })
	group.Go(func() error { return p.runEventLoop(ctx) })
	err = group.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// listen opens the listeners for users and workers, and for other controllers.
func (p *process) listen() (public, peers net.Listener, err error) {
	public, err = net.Listen("tcp4", p.settings.PublicAddr)
	if err != nil {
		return nil, nil, fmt.Errorf("public_addr: %w", err)
	}
	peers, err = net.Listen("tcp4", p.settings.PeerListen)
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("peer_listen: %w", err), public.Close())
	}
	return sockets.NewRetryingListener(public, p.log), sockets.NewRetryingListener(peers, p.log), nil
}

// Enqueue implements server.Backend.
func (p *process) Enqueue(makeInput func(controller.RequestID) controller.Input) (<-chan controller.Reply, bool) {
	id := controller.RequestID(p.lastRequest.Add(1))
	request := pendingRequest{id: id, input: makeInput(id), reply: make(chan controller.Reply, 1)}
	queue := p.requests
	if _, fromWorker := request.input.(controller.HeartbeatReceived); fromWorker {
		queue = p.heartbeats
	}
	select {
	case queue <- request:
		return request.reply, true
	default:
		return nil, false
	}
}

// Healthy implements server.Backend.
func (p *process) Healthy() bool {
	return p.healthy.Load() && time.Since(p.start)-time.Duration(p.lastStep.Load()) < maxStepGap
}

// enqueuePeerMessage queues a message for the event loop. It drops the message if the queue is full.
// Peer messages are repeated, and outdated ones would only delay the others.
func (p *process) enqueuePeerMessage(message *wire.PeerMessage) {
	select {
	case p.peerMessages <- controller.PeerMessageReceived{Message: message}:
	default:
	}
}

// runEventLoop passes inputs to the controller until ctx ends or the shutdown that the controller
// requested is due.
func (p *process) runEventLoop(ctx context.Context) error {
	defer close(p.stopped)
	tick := time.NewTicker(controller.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.shutdown:
			return p.shutdownCause
		case <-tick.C:
			p.step(controller.Tick{Load: p.load()})
		case input := <-p.completions:
			p.step(input)
		case input := <-p.peerMessages:
			p.step(input)
		case request := <-p.requests:
			p.handleRequest(request)
		case request := <-p.heartbeats:
			p.handleRequest(request)
		}
	}
}

// handleRequest passes a request to the controller.
func (p *process) handleRequest(request pendingRequest) {
	p.replies[request.id] = request.reply
	p.step(request.input)
}

// load returns the load of this process.
func (p *process) load() controller.ProcessLoad {
	load := p.server.Load()
	load.QueuedRequests, load.QueuedHeartbeats = len(p.requests), len(p.heartbeats)
	return load
}

// step passes one input to the controller and executes its outputs in order.
func (p *process) step(input controller.Input) {
	now := time.Now()
	sinceStart := now.Sub(p.start)
	for _, output := range p.controller.Step(controller.Time(sinceStart), now.UnixMilli(), input) {
		p.execute(output)
	}
	if took := time.Since(now); took > longStep {
		p.longSteps.add(p.log, now, input, took)
	}
	p.lastStep.Store(int64(sinceStart))
	p.healthy.Store(p.controller.Healthy())
}

// shutDown makes the event loop end after shutdownGrace. The controller refuses the requests that
// arrive until then.
func (p *process) shutDown(cause error) {
	if p.shutdown == nil {
		p.shutdown, p.shutdownCause = time.After(shutdownGrace), cause
	}
}

// completionCallback returns a callback that passes the result of a call to the controller.
func completionCallback[R controller.Result](p *process, call controller.CallID) func(R) {
	return func(result R) {
		select {
		case p.completions <- controller.CallCompleted{Call: call, Result: result}:
		case <-p.stopped:
		}
	}
}

// sendReply sends a reply to the goroutine that waits for it.
func (p *process) sendReply(reply controller.Reply) {
	if replies := p.replies[reply.Request]; replies != nil {
		delete(p.replies, reply.Request)
		replies <- reply
	}
}

// execute executes one output. It does not wait for the result of a call. The client that makes the
// call passes the result to a callback.
func (p *process) execute(output controller.Output) {
	switch output := output.(type) {
	case controller.Reply:
		p.sendReply(output)
	case controller.LoadKeys:
		p.state.Load(output, completionCallback[controller.LoadResult](p, output.Call))
	case controller.Watch:
		p.state.Watch(output, completionCallback[controller.WatchResult](p, output.Call))
	case controller.GetKey:
		p.state.Get(output, completionCallback[controller.GetResult](p, output.Call))
	case controller.Commit:
		p.state.Commit(output, completionCallback[controller.CommitResult](p, output.Call))
	case controller.GrantLease:
		p.state.GrantLease(output, completionCallback[controller.LeaseResult](p, output.Call))
	case controller.RenewLease:
		p.state.RenewLease(output, completionCallback[controller.LeaseResult](p, output.Call))
	case controller.SetRateFraction:
		p.state.SetRateFraction(output.Fraction)
	case controller.ReadCatalogue:
		p.cloud.ReadCatalogue(completionCallback[controller.CatalogueResult](p, output.Call))
	case controller.ListMachines:
		p.cloud.ListMachines(completionCallback[controller.MachinesResult](p, output.Call))
	case controller.ProvisionMachines:
		p.cloud.Provision(output.Request, completionCallback[controller.ProvisionResult](p, output.Call))
	case controller.TerminateMachines:
		p.cloud.Terminate(output.Machines, completionCallback[controller.TerminateResult](p, output.Call))
	case controller.SendCommands:
		p.workers.SendCommands(output.Addr, output.Body, completionCallback[controller.WorkerResponse](p, output.Call))
	case controller.RequestHeartbeat:
		p.workers.RequestHeartbeat(output.Addr, completionCallback[controller.WorkerResponse](p, output.Call))
	case controller.Broadcast:
		p.peers.Broadcast(output.Message)
	case controller.RolloutEvent:
		p.tracer.RecordRollout(output)
	case controller.Shutdown:
		p.shutDown(output.Cause)
	default:
		panic(fmt.Sprintf("output of unknown type %T", output))
	}
}
