// Package core is the scheduler as a state machine: inputs in; what to send,
// write and answer out. It has no clock, no socket and no goroutine. One
// goroutine owns a Core.
package core

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// Core is the state of one controller.
type Core struct {
	set  *config.Settings
	log  *slog.Logger
	rand *rand.Rand

	now  Time
	wall int64 // Unix milliseconds
	out  []Output

	calls    map[CallID]func(any)
	nextCall CallID

	store
	session
	fleet
	cloudView
	planner
	operator
	metrics
	peers map[string]*peerView

	nextBeat Time
}

// New makes a controller that has just started.
func New(set *config.Settings, log *slog.Logger, seed uint64) *Core {
	c := &Core{
		set:   set,
		log:   log,
		rand:  rand.New(rand.NewPCG(seed, 0x6c696c61)),
		calls: map[CallID]func(any){},
		peers: map[string]*peerView{},
	}
	c.store.init()
	c.fleet.init()
	c.cloudView.init()
	c.planner.init()
	c.metrics.init()
	c.chosen = config.DefaultOperator()
	return c
}

// Step takes one input at a moment of the steady clock and of the time of day
// and returns what is to be done. The result is valid until the next call.
func (c *Core) Step(now Time, wall int64, in Input) []Output {
	if now > c.now {
		c.now = now
	}
	c.wall = wall
	c.out = c.out[:0]
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
		c.hello(in)
	case Returned:
		if then, ok := c.calls[in.Call]; ok {
			delete(c.calls, in.Call)
			then(in.Result)
		}
	case ViewAsked:
		c.view(in)
	case ChangeAsked:
		c.change(in)
	case PeerSaid:
		c.peerSaid(in.Line)
	}
	c.plan()
	return c.out
}

// Healthy reports whether this controller can take requests: not while it
// starts, and not while only it is cut from the state service.
func (c *Core) Healthy() bool {
	return c.ready && (c.stateFresh() || c.fresherPeer() == "")
}

func (c *Core) do(o Output) { c.out = append(c.out, o) }

// call registers what to do with a call's result.
func call[R any](c *Core, then func(R)) CallID {
	c.nextCall++
	c.calls[c.nextCall] = func(result any) { then(result.(R)) }
	return c.nextCall
}

// after reports whether t has come.
func (c *Core) after(t Time) bool { return c.now >= t }

func (c *Core) tick() {
	c.tickSession()
	if !c.ready {
		return
	}
	if c.after(c.nextBeat) {
		c.nextBeat = c.now.Add(beatEvery)
		c.beat()
	}
	c.tickFleet()
	c.tickCloud()
	c.tickGarbage()
}

// peerView is what a sibling last said of itself. It is a hint only.
type peerView struct {
	heard Time
	fresh bool
}

const (
	// beatEvery is how often siblings tell one another that they are well.
	beatEvery = time.Second
	// stateSilence is how long the state service may be silent before a
	// controller doubts its own view.
	stateSilence = 2 * time.Second
)

func (c *Core) beat() {
	c.do(Tell{&wire.PeerLine{From: c.set.Label, StateFresh: c.stateFresh()}})
}

func (c *Core) stateFresh() bool { return c.now.Sub(c.stateOK) < stateSilence }

// fresherPeer names a sibling that has the state service while this one has
// not; "" if there is none.
func (c *Core) fresherPeer() string {
	for _, s := range c.set.Siblings {
		if p := c.peers[s.Label]; p != nil && p.fresh && c.now.Sub(p.heard) < 2*beatEvery+beatEvery/2 {
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
		p = &peerView{}
		c.peers[l.From] = p
	}
	switch {
	case l.Report != nil:
		c.hear(l.Report, false)
	case l.Cloud != nil:
		c.listed(l.Cloud)
	default:
		p.heard, p.fresh = c.now, l.StateFresh
	}
}

func (c *Core) sibling(label string) bool {
	for _, s := range c.set.Siblings {
		if s.Label == label {
			return true
		}
	}
	return false
}
