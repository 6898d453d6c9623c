package core

import (
	"slices"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

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
		line.Watermark = c.attest()
	}
	c.offerRoom(line)
	for _, id := range sortedKeys(c.toTell) {
		m := c.machines[id]
		if m == nil || m.direct == nil {
			continue
		}
		r := m.direct
		if m.told != nil && sameReport(m.told, r) {
			line.UnchangedHeartbeats = append(line.UnchangedHeartbeats, wire.UnchangedHeartbeat{Machine: id, AgentEpoch: r.AgentEpoch, Sequence: r.Sequence, Token: r.Token})
		} else {
			line.Heartbeats = append(line.Heartbeats, r)
		}
		m.told = r
		if len(line.Heartbeats) == reportsPerLine {
			c.tell(line)
			line = c.newLine()
		}
	}
	clear(c.toTell)
	if len(line.Heartbeats) > 0 || len(line.UnchangedHeartbeats) > 0 || line.Watermark != nil || line.Capacity != nil || c.after(c.nextHeartbeat) {
		c.nextHeartbeat = c.now.Add(heartbeatEvery)
		c.tell(line)
	}
}

// tell sends a line to all siblings.
func (c *Core) tell(line *wire.PeerMessage) {
	c.count(countLines, 1)
	c.do(Tell{line})
}

// newLine is an empty line in the format in force. Lines of the first format do not
// name it: builds that know no other may read them.
func (c *Core) newLine() *wire.PeerMessage {
	line := &wire.PeerMessage{From: c.settings.Label, StoreReachable: c.stateFresh()}
	if f := c.rollout.Format(); f > record.FormatPlain {
		line.Format = f
	}
	return line
}

// sameReport reports whether nothing changed between two reports of a machine
// but their number and the token.
func sameReport(a, b *wire.Heartbeat) bool {
	return a.AgentEpoch == b.AgentEpoch && a.PreemptionNoticeS == nil && b.PreemptionNoticeS == nil && a.Addr == b.Addr && slices.Equal(a.Tasks, b.Tasks)
}

func (c *Core) peerSaid(l *wire.PeerMessage) {
	if !c.sibling(l.From) {
		c.log.Warn("line from an unknown peer dropped", "peer", l.From)
		return
	}
	p := c.peers[l.From]
	if p == nil {
		p = &peerView{heard: -Time(peerSilence) - 1, echoed: -Time(echoSilence) - 1}
		c.peers[l.From] = p
	}
	for _, r := range l.Heartbeats {
		c.hear(r, false)
	}
	for i := range l.UnchangedHeartbeats {
		c.heardAgain(&l.UnchangedHeartbeats[i])
	}
	if len(l.CloudMachines) > 0 {
		c.listed(l.CloudMachines)
	}
	if l.Capacity != nil {
		c.siblingRoom[l.From] = *l.Capacity
	}
	c.takeHandOffs(l.ForwardedJobs)
	if c.now.Sub(p.heard) > peerSilence {
		c.tellAll = true // it may be new, or have missed much
	}
	p.heard, p.fresh = c.now, l.StoreReachable
	if l.Watermark != nil {
		c.acceptAttestation(p, l.Watermark)
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
