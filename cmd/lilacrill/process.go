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

// process runs one controller: one goroutine, its event loop, feeds the controller inputs and
// executes its outputs, while listeners and clients connect it to the outside.
type process struct {
	settings   *config.Settings
	log        *slog.Logger
	controller *controller.Controller
	start      time.Time

	requests     chan pendingRequest
	completions  chan controller.Input // of calls to other services
	peerMessages chan controller.Input
	// stopped is closed when the event loop ends: nobody receives from the channels then.
	stopped chan struct{}

	replies     map[controller.RequestID]chan controller.Reply
	lastRequest atomic.Uint64
	lastStep    atomic.Int64 // when the controller last took a step, since start
	healthy     atomic.Bool

	state   *statestore.Client
	cloud   *cloud.Client
	workers *worker.Client
	peers   *peer.Mesh
	tracer  *tracing.Tracer

	// shutdown fires when the event loop must end because of shutdownCause. It is nil until
	// the controller asks for that.
	shutdown      <-chan time.Time
	shutdownCause error
}

// pendingRequest is a request's input with the channel that its reply is sent to.
type pendingRequest struct {
	id    controller.RequestID
	input controller.Input
	reply chan controller.Reply
}

// Sizes of the event loop's queues. A request or peer message that finds its queue full is
// refused or dropped, so that the controller never works on what is out of date.
const (
	requestQueueSize     = 512
	completionQueueSize  = 4096
	peerMessageQueueSize = 64 // each may name very many machines
)

const (
	// maxStepGap is how long the event loop may go without a step and still count as healthy.
	maxStepGap = time.Second
	// shutdownGrace is how long a process that must end still answers requests, with
	// refusals.
	shutdownGrace = 200 * time.Millisecond
)

// Limits of the Go runtime.
const (
	heapFraction  = 0.7 // of the memory quota; stacks and the rest need some too
	gcPercent     = 200
	bytesPerMB    = 1 << 20
	minGoMaxProcs = 1
)

// newProcess makes a process that has not started yet. A nil tracer traces nothing.
func newProcess(settings *config.Settings, log *slog.Logger, tracer *tracing.Tracer) *process {
	limitRuntime(settings.Cluster.Quota)
	return &process{
		settings:     settings,
		log:          log,
		controller:   controller.New(settings, log, rand.Uint64()),
		start:        time.Now(),
		requests:     make(chan pendingRequest, requestQueueSize),
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
}

// limitRuntime keeps the Go runtime within the quota of the process.
func limitRuntime(quota config.Quota) {
	debug.SetMemoryLimit(int64(quota.MemMB * heapFraction * bytesPerMB))
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(max(minGoMaxProcs, int(math.Ceil(quota.CoreShare))))
}

// run serves until ctx ends, a listener fails or the controller asks to shut down.
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
	group.Go(func() error { return server.New(p.settings, p, os.Getenv(admin.TokenVariable), p.log).Serve(public) })
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
	select {
	case p.requests <- request:
		return request.reply, true
	default:
		return nil, false
	}
}

// Healthy implements server.Backend.
func (p *process) Healthy() bool {
	return p.healthy.Load() && time.Since(p.start)-time.Duration(p.lastStep.Load()) < maxStepGap
}

// enqueuePeerMessage passes a message on to the event loop. It is dropped if the loop is
// behind: peer messages are repeated, and late ones only delay the others.
func (p *process) enqueuePeerMessage(message *wire.PeerMessage) {
	select {
	case p.peerMessages <- controller.PeerMessageReceived{Message: message}:
	default:
	}
}

// runEventLoop feeds the controller until ctx ends or the controller asks to shut down.
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
			p.step(controller.Tick{})
		case input := <-p.completions:
			p.step(input)
		case input := <-p.peerMessages:
			p.step(input)
		case request := <-p.requests:
			p.replies[request.id] = request.reply
			p.step(request.input)
		}
	}
}

// step gives the controller one input and executes its outputs, in their order.
func (p *process) step(input controller.Input) {
	now := time.Now()
	sinceStart := now.Sub(p.start)
	for _, output := range p.controller.Step(controller.Time(sinceStart), now.UnixMilli(), input) {
		p.execute(output)
	}
	p.lastStep.Store(int64(sinceStart))
	p.healthy.Store(p.controller.Healthy())
}

// shutDown has the event loop end after a grace period, in which the controller refuses the
// requests that came until then.
func (p *process) shutDown(cause error) {
	if p.shutdown == nil {
		p.shutdown, p.shutdownCause = time.After(shutdownGrace), cause
	}
}

// completionCallback returns the callback that passes a call's result to the controller.
func completionCallback[R controller.Result](p *process, call controller.CallID) func(R) {
	return func(result R) {
		select {
		case p.completions <- controller.CallCompleted{Call: call, Result: result}:
		case <-p.stopped:
		}
	}
}

// sendReply answers a request.
func (p *process) sendReply(reply controller.Reply) {
	if waiting := p.replies[reply.Request]; waiting != nil {
		delete(p.replies, reply.Request)
		waiting <- reply
	}
}

// execute does what one output asks for. No call waits for its result here: the client that
// makes it returns the result by a callback.
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
