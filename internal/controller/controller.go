// Package controller implements the scheduler as a state machine. It takes inputs and returns
// outputs: messages to send, transactions to commit and replies to requests. It has no clock, no
// sockets and no goroutines, so the same inputs always lead to the same outputs. A Controller must
// be used by one goroutine only.
//
// Three to five controllers work on the same records at the same time. No controller relies on
// being the only one. Each write is a transaction with conditions on the versions that it is based
// on, and each command to a worker carries a fencing token (see commands.go).
package controller

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/sockets"
)

const (
	// stallThreshold is the time between two inputs above which the process counts as having
	// stalled. A process that does not run receives no messages, so their absence during a stall
	// does not show that their senders failed.
	stallThreshold = 700 * time.Millisecond
	// storeTimeout is the time without a response from the state store after which a controller
	// considers the store unreachable and its own cache stale.
	storeTimeout = 2 * time.Second
	// randStream selects a random sequence that differs from other sequences with the same seed.
	randStream = 0x6c696c61
)

// Controller holds the state of one controller process.
type Controller struct {
	settings *config.Settings
	log      *slog.Logger
	rand     *rand.Rand

	now     Time
	wall    int64 // Unix milliseconds
	outputs []Output

	calls          callTable
	cache          stateCache
	membership     membership
	fleet          fleet
	provisioner    provisioner
	scheduler      scheduler
	operator       operatorSettings
	rollout        rolloutState
	shards         shardState
	forwarding     jobForwarding
	metrics        metrics
	serving        serving
	load           loadReport
	cancellations  cancellationWatermark
	completedTasks completedTasks
	writeBudget    writeBudget
	admission      admission
	ownership      ownership
	archive        archiveState
	cleanup        cleanup
	gossip         gossip

	lastStep  Time
	resumedAt Time // when this process last resumed after a stall
}

// New returns a controller that has just started. Controllers with the same seed draw the same
// random numbers.
func New(settings *config.Settings, log *slog.Logger, seed uint64) *Controller {
	c := &Controller{
		settings: settings,
		log:      log,
		rand:     rand.New(rand.NewPCG(seed, randStream)),
	}
	c.calls.init()
	c.cache.init()
	c.gossip.init()
	c.ownership.init()
	c.fleet.init(sockets.NewBudget(settings).Workers)
	c.provisioner.init()
	c.metrics.init()
	c.cancellations.init(c.rand.Uint64())
	c.completedTasks.init()
	c.operator.values.OperatorSettings = config.DefaultOperatorSettings()
	c.rollout.init(settings)
	c.shards.init(settings)
	c.forwarding.init()
	c.scheduler.starvation.init()
	return c
}

// Step handles one input and returns the outputs to be carried out, in order. The time is given by
// the monotonic clock (now) and by the wall clock in Unix milliseconds (wall). The result is valid
// until the next call.
func (c *Controller) Step(now Time, wall int64, in Input) []Output {
	c.advanceClock(now, wall)
	c.outputs = c.outputs[:0]
	if c.rollout.shutdownCause != nil {
		c.refuseWhileShuttingDown(in)
		return c.outputs
	}
	c.handle(in)
	if c.rollout.shutdownCause != nil {
		c.emitShutdown()
		return c.outputs
	}
	c.runScheduler()
	return c.outputs
}

// advanceClock records the time, and whether this process has stalled. It is called for every input
// and not for ticks only, because inputs that were buffered during a stall arrive before the next
// tick.
func (c *Controller) advanceClock(now Time, wall int64) {
	c.now = max(c.now, now)
	if c.now.Sub(c.lastStep) > stallThreshold {
		c.resumedAt = c.now
	}
	c.lastStep = c.now
	c.wall = wall
}

func (c *Controller) handle(in Input) {
	switch in := in.(type) {
	case Tick:
		c.tick(in.Load)
	case JobSubmitted:
		c.submit(in)
	case JobPolled:
		c.poll(in.Request, in.Job)
	case CancelRequested:
		c.cancel(in.Request, in.Job)
	case HeartbeatReceived:
		c.handleHeartbeat(in)
	case CallCompleted:
		c.calls.complete(in)
	case ViewRequested:
		c.handleView(in)
	case SettingsChangeRequested:
		c.changeSettings(in)
	case RolloutChangeRequested:
		c.changeRollout(in)
	case ShardChangeRequested:
		c.changeShards(in)
	case PeerMessageReceived:
		c.handlePeerMessage(in.Message)
	}
}

func (c *Controller) tick(load ProcessLoad) {
	c.measureLag()
	c.tickMembership()
	c.logServing()
	c.reviewProcessLoad(load)
	if !c.membership.ready {
		return
	}
	c.sendGossip()
	c.tickFleet()
	c.tickCloud()
	c.tickCleanup()
	c.tickRollout()
	c.tickShards()
	c.sendForwardedJobs()
}

func (c *Controller) emit(o Output) { c.outputs = append(c.outputs, o) }

// isDue reports whether the time t has been reached.
func (c *Controller) isDue(t Time) bool { return c.now >= t }

// noteStoreResponse records that the state store has answered the call whose result is being
// handled. The response to a call that was made before this process stalled is ignored. It may have
// been buffered during the stall, so it shows neither that the store is reachable now nor that the
// cache is current.
func (c *Controller) noteStoreResponse() {
	if c.calls.currentStartedAt < c.resumedAt {
		return
	}
	c.cache.stale = c.cache.stale || c.cache.loadState == cacheLoaded && !c.storeReachable()
	c.cache.lastStoreResponse = c.now
}

// storeReachable reports whether the state store has answered a call within storeTimeout.
func (c *Controller) storeReachable() bool {
	return c.now.Sub(c.cache.lastStoreResponse) < storeTimeout
}
