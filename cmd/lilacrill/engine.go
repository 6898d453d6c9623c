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

// engine owns the core: one goroutine feeds it and carries out what it wants.
type engine struct {
	set   *config.Settings
	log   *slog.Logger
	core  *controller.Controller
	start time.Time

	inbox   chan envelope
	results chan controller.Input
	hints   chan controller.Input // what siblings say
	replies map[controller.RequestID]chan controller.Reply
	last    atomic.Uint64
	stepped atomic.Int64 // when the core last took a step, since start
	healthy atomic.Bool

	state   *statestore.Client
	cloud   *cloud.Client
	workers *worker.Client
	mesh    *peer.Mesh
	tracer  *tracing.Tracer

	// ending fires when this process must end because of cause.
	ending <-chan time.Time
	cause  error
}

// envelope is a request's input with where its reply goes.
type envelope struct {
	input controller.Input
	id    controller.RequestID
	reply chan controller.Reply
}

const (
	inboxSize    = 512
	resultsSize  = 4096
	hintsSize    = 64 // each may name very many machines
	stalled      = time.Second
	memoryShare  = 0.7 // of the limit, for what Go counts; stacks and the rest need some too
	gcPercent    = 200
	megabyte     = 1 << 20
	minimumProcs = 1
	// retireGrace is how long a process that must end still answers.
	retireGrace = 200 * time.Millisecond
)

func newEngine(set *config.Settings, log *slog.Logger, tracer *tracing.Tracer) *engine {
	debug.SetMemoryLimit(int64(set.Cluster.Quota.MemMB * memoryShare * megabyte))
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(max(minimumProcs, int(math.Ceil(set.Cluster.Quota.CoreShare))))
	return &engine{
		set:     set,
		log:     log,
		core:    controller.New(set, log, rand.Uint64()),
		start:   time.Now(),
		inbox:   make(chan envelope, inboxSize),
		results: make(chan controller.Input, resultsSize),
		hints:   make(chan controller.Input, hintsSize),
		replies: map[controller.RequestID]chan controller.Reply{},
		state:   statestore.New(set, log),
		cloud:   cloud.New(set, log),
		workers: worker.New(log, sockets.Share(set).Direct),
		mesh:    peer.New(set, log),
		tracer:  tracer,
	}
}

// Ask implements server.Backend.
func (e *engine) Ask(makeInput func(controller.RequestID) controller.Input) (<-chan controller.Reply, bool) {
	id := controller.RequestID(e.last.Add(1))
	env := envelope{input: makeInput(id), id: id, reply: make(chan controller.Reply, 1)}
	select {
	case e.inbox <- env:
		return env.reply, true
	default:
		return nil, false
	}
}

// Healthy implements server.Backend.
func (e *engine) Healthy() bool {
	return e.healthy.Load() && time.Since(e.start)-time.Duration(e.stepped.Load()) < stalled
}

// run serves until ctx ends or a listener fails.
func (e *engine) run(ctx context.Context) error {
	public, err := net.Listen("tcp4", e.set.PublicAddr)
	if err != nil {
		return fmt.Errorf("public_addr: %w", err)
	}
	peers, err := net.Listen("tcp4", e.set.PeerListen)
	if err != nil {
		public.Close()
		return fmt.Errorf("peer_listen: %w", err)
	}
	public, peers = sockets.Listener(public, e.log), sockets.Listener(peers, e.log)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return errors.Join(public.Close(), peers.Close())
	})
	g.Go(func() error { return server.New(e.set, e, os.Getenv(admin.TokenVariable), e.log).Serve(public) })
	g.Go(func() error {
		return e.mesh.Serve(peers, func(l *wire.PeerMessage) { e.offer(controller.PeerMessageReceived{Message: l}) })
	})
	g.Go(func() error { e.mesh.Send(ctx); return nil })
	g.Go(func() error { e.state.Serve(ctx.Done()); return nil })
	g.Go(func() error { return e.loop(ctx) })
	err = g.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// offer passes on a hint, unless there is too much to do.
func (e *engine) offer(in controller.Input) {
	select {
	case e.hints <- in:
	default:
	}
}

// loop feeds the core until ctx ends or the core says that this process must end.
func (e *engine) loop(ctx context.Context) error {
	tick := time.NewTicker(controller.TickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.ending:
			return e.cause
		case <-tick.C:
			e.step(controller.Tick{})
		case in := <-e.results:
			e.step(in)
		case in := <-e.hints:
			e.step(in)
		case env := <-e.inbox:
			e.replies[env.id] = env.reply
			e.step(env.input)
		}
	}
}

func (e *engine) step(in controller.Input) {
	now := time.Now()
	since := now.Sub(e.start)
	for _, o := range e.core.Step(controller.Time(since), now.UnixMilli(), in) {
		e.carryOut(o)
	}
	e.stepped.Store(int64(since))
	e.healthy.Store(e.core.Healthy())
}

// retire has the loop end, once requests that came until then were refused.
func (e *engine) retire(cause error) {
	if e.ending == nil {
		e.ending, e.cause = time.After(retireGrace), cause
	}
}

// back returns a call's result to the core.
func back[R controller.Result](e *engine, id controller.CallID) func(R) {
	return func(r R) { e.results <- controller.CallCompleted{Call: id, Result: r} }
}

func (e *engine) carryOut(o controller.Output) {
	switch o := o.(type) {
	case controller.Reply:
		if ch := e.replies[o.Request]; ch != nil {
			delete(e.replies, o.Request)
			ch <- o
		}
	case controller.LoadKeys:
		e.state.Load(o, back[controller.LoadResult](e, o.Call))
	case controller.Watch:
		e.state.Watch(o, back[controller.WatchResult](e, o.Call))
	case controller.GetKey:
		e.state.Get(o, back[controller.GetResult](e, o.Call))
	case controller.Commit:
		e.state.Commit(o, back[controller.CommitResult](e, o.Call))
	case controller.GrantLease:
		e.state.GrantLease(o, back[controller.LeaseResult](e, o.Call))
	case controller.RenewLease:
		e.state.RenewLease(o, back[controller.LeaseResult](e, o.Call))
	case controller.SetRateShare:
		e.state.SetRateFraction(o.Fraction)
	case controller.ReadCatalogue:
		e.cloud.ReadCatalogue(back[controller.CatalogueResult](e, o.Call))
	case controller.ListMachines:
		e.cloud.ListMachines(back[controller.MachinesResult](e, o.Call))
	case controller.ProvisionMachines:
		e.cloud.Provision(o.Request, back[controller.ProvisionResult](e, o.Call))
	case controller.TerminateMachines:
		e.cloud.Terminate(o.Machines, back[controller.TerminateResult](e, o.Call))
	case controller.SendCommands:
		e.workers.SendCommands(o.Addr, o.Body, back[controller.WorkerResponse](e, o.Call))
	case controller.RequestHeartbeat:
		e.workers.RequestHeartbeat(o.Addr, back[controller.WorkerResponse](e, o.Call))
	case controller.Broadcast:
		e.mesh.Broadcast(o.Message)
	case controller.RolloutEvent:
		e.tracer.Rollout(o)
	case controller.Shutdown:
		e.retire(o.Cause)
	default:
		panic(fmt.Sprintf("output %T not known", o))
	}
}
