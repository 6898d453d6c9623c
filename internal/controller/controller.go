// Package controller is the scheduler as a state machine: inputs in; what to send,
// write and answer out. It has no clock, no socket and no goroutine. One
// goroutine owns a Core.
package controller

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/sockets"
	"lilacrill/wire"
)

// Controller is the state of one controller.
type Controller struct {
	settings *config.Settings
	log      *slog.Logger
	rand     *rand.Rand

	now     Time
	wall    int64 // Unix milliseconds
	outputs []Output

	pendingCalls  map[CallID]pendingCall
	nextCall      CallID
	callStartedAt Time // when the call was made whose result is being handled

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
	gossip         gossip

	lastStep  Time
	resumedAt Time // when this process last went on after standing still
}

// New makes a controller that has just started.
func New(settings *config.Settings, log *slog.Logger, seed uint64) *Controller {
	c := &Controller{
		settings:     settings,
		log:          log,
		rand:         rand.New(rand.NewPCG(seed, 0x6c696c61)),
		pendingCalls: map[CallID]pendingCall{},
		gossip: gossip{
			peers:           map[string]*peerState{},
			pendingMachines: map[wire.MachineID]bool{},
		},
	}
	c.cache.init()
	c.fleet.init(sockets.Share(settings).Direct)
	c.provisioner.init()
	c.scheduler.init()
	c.metrics.init()
	c.cancellations.init(c.rand.Uint64())
	c.completedTasks.init()
	c.operator.values.Operator = config.DefaultOperator()
	c.rollout.init(settings)
	c.shards.init(settings)
	c.forwarding.init()
	return c
}

// Step takes one input at a moment of the steady clock and of the time of day
// and returns what is to be done. The result is valid until the next call.
func (c *Controller) Step(now Time, wall int64, in Input) []Output {
	if now > c.now {
		c.now = now
	}
	// What waited in buffers meanwhile comes before the next tick, so whatever
	// comes first has to notice.
	if c.now.Sub(c.lastStep) > stallThreshold {
		c.resumedAt = c.now
	}
	c.lastStep = c.now
	c.wall = wall
	c.outputs = c.outputs[:0]
	if c.rollout.shutdownCause != nil {
		c.refuseWhileShuttingDown(in)
		return c.outputs
	}
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
		c.completeCall(in)
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
	if c.rollout.shutdownCause != nil {
		c.emitShutdown()
		return c.outputs
	}
	c.runScheduler()
	return c.outputs
}

// Healthy reports whether this controller can take requests: not while it
// starts, and not while only it is cut from the state service, as far as it can
// tell: a sibling says that it has it, or none can be heard at all.
func (c *Controller) Healthy() bool {
	return c.membership.ready && (c.storeReachable() || c.peerWithStore() == "" && !c.lostPeerQuorum())
}

// lostPeerQuorum reports whether this controller hears and is heard by less than half of
// all, itself among them: what it hears one way only may be held back for the other.
// In an outage of the state service those who are well still hear
// one another; two that share a zone which is cut off do as well, so one
// sibling is not enough.
func (c *Controller) lostPeerQuorum() bool {
	heard := 1
	for _, p := range c.gossip.peers {
		if c.now.Sub(p.ackedAt) <= ackTimeout {
			heard++
		}
	}
	return 2*heard <= 1+len(c.settings.Siblings) && c.now.Sub(c.membership.readyAt) > ackTimeout
}

func (c *Controller) emit(o Output) { c.outputs = append(c.outputs, o) }

// noteStoreResponse notes that the state service has answered the call whose result
// is being handled. An answer to a call from before this process stood still may
// have waited all the while: it does not show that the service can be reached,
// nor that what is known here is fresh.
func (c *Controller) noteStoreResponse() {
	if c.callStartedAt < c.resumedAt {
		return
	}
	c.membership.stale = c.membership.stale || c.membership.loaded && !c.storeReachable()
	c.cache.lastStoreResponse = c.now
}

// isDue reports whether t has come.
func (c *Controller) isDue(t Time) bool { return c.now >= t }

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

const (
	// peerHeartbeatInterval is how often siblings tell one another that they are well.
	peerHeartbeatInterval = time.Second
	// gossipInterval is how often siblings are told what workers reported.
	gossipInterval       = 200 * time.Millisecond
	heartbeatsPerMessage = 100
	// stallThreshold is a time between inputs after which a controller does not trust
	// what it has not heard: it had no processor to hear it with.
	stallThreshold = 700 * time.Millisecond
	// storeTimeout is how long the state service may be silent before a
	// controller doubts its own view.
	storeTimeout = 2 * time.Second
)

func (c *Controller) storeReachable() bool {
	return c.now.Sub(c.cache.lastStoreResponse) < storeTimeout
}

// peerWithStore names a sibling that has the state service while this one has
// not; "" if there is none.
func (c *Controller) peerWithStore() string {
	for _, s := range c.settings.Siblings {
		if p := c.gossip.peers[s.Label]; p != nil && p.storeReachable && c.now.Sub(p.lastHeardAt) < 2*peerHeartbeatInterval+peerHeartbeatInterval/2 {
			return s.Label
		}
	}
	return ""
}
