// Package controller is the scheduler as a state machine: inputs go in; what to send, to
// write and to answer comes out. It has no clock, no socket and no goroutine, so that the
// same inputs always lead to the same outputs. One goroutine owns a Controller.
//
// Three to five controllers work at the same time, on the same records. None relies on
// being the only one: each write is a transaction with conditions on the versions that it
// was based on, and each command to a worker carries a fencing token (see commands.go).
package controller

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/sockets"
)

const (
	// stallThreshold is a time between inputs after which a controller does not trust
	// what it has not heard: it had no processor to hear it with.
	stallThreshold = 700 * time.Millisecond
	// storeTimeout is how long the state store may leave calls unanswered before a
	// controller takes it for unreachable, and its own cache for old.
	storeTimeout = 2 * time.Second
	// randStream sets the random numbers apart from others made from the same seed.
	randStream = 0x6c696c61
)

// Controller is the state of one controller.
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

// New makes a controller that has just started. Controllers with the same seed draw the
// same random numbers.
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
	c.operator.values.Operator = config.DefaultOperator()
	c.rollout.init(settings)
	c.shards.init(settings)
	c.forwarding.init()
	return c
}

// Step takes one input, at a moment of the steady clock and a time of day in Unix
// milliseconds, and returns what is to be done, in order. The result is valid until the
// next call.
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

// advanceClock notes the time, and whether this process has stalled. That shows at
// whichever input comes first: what waited in buffers meanwhile comes before the next tick.
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
		c.tick()
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

func (c *Controller) tick() {
	c.measureLag()
	c.tickMembership()
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

// isDue reports whether t has come.
func (c *Controller) isDue(t Time) bool { return c.now >= t }

// Healthy reports whether this controller can take requests: not while it starts, and not
// while it alone cannot reach the state store, as far as it can tell: a sibling says that
// it can, or this controller is connected to too few siblings to know.
func (c *Controller) Healthy() bool {
	return c.membership.ready && (c.storeReachable() || c.peerWithStore() == "" && !c.lostPeerQuorum())
}

// noteStoreResponse notes that the state store has answered the call whose result is being
// handled. A response to a call from before this process stalled may have waited all the
// while: it does not show that the store can be reached, nor that the cache is current.
func (c *Controller) noteStoreResponse() {
	if c.calls.currentStartedAt < c.resumedAt {
		return
	}
	c.cache.stale = c.cache.stale || c.cache.loadState == cacheLoaded && !c.storeReachable()
	c.cache.lastStoreResponse = c.now
}

// storeReachable reports whether the state store answered a call lately.
func (c *Controller) storeReachable() bool {
	return c.now.Sub(c.cache.lastStoreResponse) < storeTimeout
}
