// Package core is the scheduler as a state machine: inputs in; what to send,
// write and answer out. It has no clock, no socket and no goroutine. One
// goroutine owns a Core.
package core

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/internal/sockets"
	"lilacrill/wire"
)

// Core is the state of one controller.
type Core struct {
	settings *config.Settings
	log      *slog.Logger
	rand     *rand.Rand

	now  Time
	wall int64 // Unix milliseconds
	out  []Output

	calls    map[CallID]pending
	nextCall CallID
	asked    Time // when the call was made whose result is being handled

	store
	session
	fleet
	cloudView
	planner
	operator
	rolloutState
	metrics
	cancellationKnowledge
	peers map[string]*peerView

	lastStep      Time
	awake         Time // when this process last went on after standing still
	nextHeartbeat Time
	nextTell      Time
	tellAll       bool // a sibling is new: tell it all that was heard
	toTell        map[wire.MachineID]bool
}

// New makes a controller that has just started.
func New(settings *config.Settings, log *slog.Logger, seed uint64) *Core {
	c := &Core{
		settings: settings,
		log:      log,
		rand:     rand.New(rand.NewPCG(seed, 0x6c696c61)),
		calls:    map[CallID]pending{},
		peers:    map[string]*peerView{},

		toTell: map[wire.MachineID]bool{},
	}
	c.store.init()
	c.fleet.init(sockets.Share(settings).Direct)
	c.cloudView.init()
	c.planner.init()
	c.metrics.init()
	c.cancellationKnowledge.init(c.rand.Uint64())
	c.chosen.Operator = config.DefaultOperator()
	c.rolloutState.init(settings)
	return c
}

// Step takes one input at a moment of the steady clock and of the time of day
// and returns what is to be done. The result is valid until the next call.
func (c *Core) Step(now Time, wall int64, in Input) []Output {
	if now > c.now {
		c.now = now
	}
	// What waited in buffers meanwhile comes before the next tick, so whatever
	// comes first has to notice.
	if c.now.Sub(c.lastStep) > stoodStill {
		c.awake = c.now
	}
	c.lastStep = c.now
	c.wall = wall
	c.out = c.out[:0]
	if c.retired != nil {
		c.refuseRetired(in)
		return c.out
	}
	switch in := in.(type) {
	case Tick:
		c.tick()
	case Submitted:
		c.submit(in)
	case Polled:
		c.poll(in.Request, in.Job)
	case CancelAsked:
		c.cancel(in.Request, in.Job)
	case Reported:
		c.handleReport(in)
	case Returned:
		if p, ok := c.calls[in.Call]; ok {
			delete(c.calls, in.Call)
			c.asked = p.asked
			p.then(in.Result)
		}
	case ViewAsked:
		c.view(in)
	case ChangeAsked:
		c.change(in)
	case RolloutAsked:
		c.changeRollout(in)
	case PeerSaid:
		c.peerSaid(in.Line)
	}
	if c.retired != nil {
		c.retireNow()
		return c.out
	}
	c.plan()
	return c.out
}

// Healthy reports whether this controller can take requests: not while it
// starts, and not while only it is cut from the state service, as far as it can
// tell: a sibling says that it has it, or none can be heard at all.
func (c *Core) Healthy() bool {
	return c.ready && (c.stateFresh() || c.fresherPeer() == "" && !c.alone())
}

// alone reports whether this controller hears and is heard by less than half of
// all, itself among them: what it hears one way only may be held back for the other.
// In an outage of the state service those who are well still hear
// one another; two that share a zone which is cut off do as well, so one
// sibling is not enough.
func (c *Core) alone() bool {
	heard := 1
	for _, p := range c.peers {
		if c.now.Sub(p.echoed) <= echoSilence {
			heard++
		}
	}
	return 2*heard <= 1+len(c.settings.Siblings) && c.now.Sub(c.readyAt) > echoSilence
}

func (c *Core) do(o Output) { c.out = append(c.out, o) }

// pending is a call without a result yet.
type pending struct {
	asked Time
	then  func(any)
}

// call registers what to do with a call's result.
func call[R any](c *Core, then func(R)) CallID {
	c.nextCall++
	c.calls[c.nextCall] = pending{c.now, func(result any) { then(result.(R)) }}
	return c.nextCall
}

// stateAnswered notes that the state service has answered the call whose result
// is being handled. An answer to a call from before this process stood still may
// have waited all the while: it does not show that the service can be reached,
// nor that what is known here is fresh.
func (c *Core) stateAnswered() {
	if c.asked < c.awake {
		return
	}
	c.behind = c.behind || c.loaded && !c.stateFresh()
	c.stateOK = c.now
}

// after reports whether t has come.
func (c *Core) after(t Time) bool { return c.now >= t }

func (c *Core) tick() {
	c.noteLag()
	c.tickSession()
	if !c.ready {
		return
	}
	c.sendHeartbeat()
	c.tickFleet()
	c.tickCloud()
	c.tickGarbage()
	c.tickRollout()
}

// peerView is what a sibling last said of itself. It is a hint only.
type peerView struct {
	heard Time
	fresh bool

	process  uint64        // the one that last attested
	number   uint64        // its newest attestation
	since    Time          // when the first of them came
	revision wire.Revision // up to which it knows all changes
	echoed   Time          // when our newest attestation was sent that it has heard
	attested Time          // up to when all is known that it may have told users
}

const (
	// heartbeatEvery is how often siblings tell one another that they are well.
	heartbeatEvery = time.Second
	// tellEvery is how often siblings are told what workers reported.
	tellEvery      = 200 * time.Millisecond
	reportsPerLine = 100
	// stoodStill is a time between inputs after which a controller does not trust
	// what it has not heard: it had no processor to hear it with.
	stoodStill = 700 * time.Millisecond
	// stateSilence is how long the state service may be silent before a
	// controller doubts its own view.
	stateSilence = 2 * time.Second
)

// sendHeartbeat tells the siblings what was heard since the last time; if nothing was,
// from time to time only that this controller lives.
func (c *Core) sendHeartbeat() {
	if !c.after(c.nextTell) {
		return
	}
	c.nextTell = c.now.Add(tellEvery)
	line := c.newLine()
	if c.tellAll {
		c.tellAll = false
		for id, m := range c.machines {
			if m.direct != nil && c.now.Sub(m.heardDirect) < forgetAfter && !m.gone {
				c.toTell[id] = true
			}
			m.told = nil
		}
		c.toldCloud = nil
	}
	if c.after(c.nextAttestation) {
		line.Attestation = c.attest()
	}
	for _, id := range sortedKeys(c.toTell) {
		m := c.machines[id]
		if m == nil || m.direct == nil {
			continue
		}
		r := m.direct
		if m.told != nil && sameReport(m.told, r) {
			line.Heard = append(line.Heard, wire.Heard{Machine: id, Session: r.Session, Sequence: r.Sequence, Token: r.Token})
		} else {
			line.Reports = append(line.Reports, r)
		}
		m.told = r
		if len(line.Reports) == reportsPerLine {
			c.do(Tell{line})
			line = c.newLine()
		}
	}
	clear(c.toTell)
	if len(line.Reports) > 0 || len(line.Heard) > 0 || line.Attestation != nil || c.after(c.nextHeartbeat) {
		c.nextHeartbeat = c.now.Add(heartbeatEvery)
		c.do(Tell{line})
	}
}

// newLine is an empty line in the format in force. Lines of the first format do not
// name it: builds that know no other may read them.
func (c *Core) newLine() *wire.PeerLine {
	line := &wire.PeerLine{From: c.settings.Label, StateFresh: c.stateFresh()}
	if f := c.rollout.Format(); f > record.FormatPlain {
		line.Format = f
	}
	return line
}

// sameReport reports whether nothing changed between two reports of a machine
// but their number and the token.
func sameReport(a, b *wire.Report) bool {
	return a.Session == b.Session && a.RecallS == nil && b.RecallS == nil && a.Addr == b.Addr && slices.Equal(a.Tasks, b.Tasks)
}

func (c *Core) stateFresh() bool { return c.now.Sub(c.stateOK) < stateSilence }

// fresherPeer names a sibling that has the state service while this one has
// not; "" if there is none.
func (c *Core) fresherPeer() string {
	for _, s := range c.settings.Siblings {
		if p := c.peers[s.Label]; p != nil && p.fresh && c.now.Sub(p.heard) < 2*heartbeatEvery+heartbeatEvery/2 {
			return s.Label
		}
	}
	return ""
}

func (c *Core) peerSaid(l *wire.PeerLine) {
	if !c.sibling(l.From) {
		c.log.Warn("line from an unknown peer dropped", "peer", l.From)
		return
	}
	p := c.peers[l.From]
	if p == nil {
		p = &peerView{heard: -Time(peerSilence) - 1, echoed: -Time(echoSilence) - 1}
		c.peers[l.From] = p
	}
	for _, r := range l.Reports {
		c.hear(r, false)
	}
	for i := range l.Heard {
		c.heardAgain(&l.Heard[i])
	}
	if len(l.Cloud) > 0 {
		c.listed(l.Cloud)
	}
	if c.now.Sub(p.heard) > peerSilence {
		c.tellAll = true // it may be new, or have missed much
	}
	p.heard, p.fresh = c.now, l.StateFresh
	if l.Attestation != nil {
		c.acceptAttestation(p, l.Attestation)
	}
}

// peerSilence is how long a sibling may say nothing before it counts as lost.
const peerSilence = 3 * heartbeatEvery

// echoSilence is how long ago a sibling may have sent what it last heard of us
// before it counts as lost: our attestation, and its own with the echo, take a turn each.
const echoSilence = peerSilence + attestEvery

func (c *Core) sibling(label string) bool {
	for _, s := range c.settings.Siblings {
		if s.Label == label {
			return true
		}
	}
	return false
}
