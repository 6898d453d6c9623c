package controller

import (
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// gossip is what controllers tell one another: hints only, which never prove anything.
type gossip struct {
	peers         map[string]*peerState
	nextHeartbeat Time
	nextMessage   Time
	// sendAll says that a sibling is new and is to be told all that was heard.
	sendAll         bool
	pendingMachines map[wire.MachineID]bool // machines heard since the last message
}

// peerState is what a sibling last said of itself. It is a hint only.
type peerState struct {
	lastHeardAt    Time
	storeReachable bool

	process              uint64        // the one that last attested
	sequence             uint64        // its newest attestation
	firstHeardAt         Time          // when the first of them came
	revision             wire.Revision // up to which it knows all changes
	ackedAt              Time          // when our newest attestation was sent that it has heard
	cancellationsKnownAt Time          // up to when all is known that it may have told users
}

// sendGossip tells the siblings what was heard since the last time; if nothing was,
// from time to time only that this controller lives.
func (c *Controller) sendGossip() {
	if !c.isDue(c.gossip.nextMessage) {
		return
	}
	c.gossip.nextMessage = c.now.Add(gossipInterval)
	line := c.newPeerMessage()
	if c.gossip.sendAll {
		c.gossip.sendAll = false
		for id, m := range c.fleet.machines {
			if m.directHeartbeat != nil && c.now.Sub(m.liveness.lastDirectAt) < forgetMachineAfter && !m.scaling.terminated {
				c.gossip.pendingMachines[id] = true
			}
			m.liveness.gossipedHeartbeat = nil
		}
		c.provisioner.gossipedStatus = nil
	}
	if c.isDue(c.cancellations.next) {
		line.Watermark = c.newWatermark()
	}
	c.addCapacityOffer(line)
	for _, id := range sortedKeys(c.gossip.pendingMachines) {
		m := c.fleet.machines[id]
		if m == nil || m.directHeartbeat == nil {
			continue
		}
		r := m.directHeartbeat
		if m.liveness.gossipedHeartbeat != nil && sameStatus(m.liveness.gossipedHeartbeat, r) {
			line.UnchangedHeartbeats = append(line.UnchangedHeartbeats, wire.UnchangedHeartbeat{Machine: id, AgentEpoch: r.AgentEpoch, Sequence: r.Sequence, Token: r.Token})
		} else {
			line.Heartbeats = append(line.Heartbeats, r)
		}
		m.liveness.gossipedHeartbeat = r
		if len(line.Heartbeats) == heartbeatsPerMessage {
			c.broadcast(line)
			line = c.newPeerMessage()
		}
	}
	clear(c.gossip.pendingMachines)
	if len(line.Heartbeats) > 0 || len(line.UnchangedHeartbeats) > 0 || line.Watermark != nil || line.Capacity != nil || c.isDue(c.gossip.nextHeartbeat) {
		c.gossip.nextHeartbeat = c.now.Add(peerHeartbeatInterval)
		c.broadcast(line)
	}
}

// broadcast sends a line to all siblings.
func (c *Controller) broadcast(line *wire.PeerMessage) {
	c.metrics.count(countPeerMessages, 1)
	c.emit(Broadcast{line})
}

// newPeerMessage is an empty line in the format in force. Lines of the first format do not
// name it: builds that know no other may read them.
func (c *Controller) newPeerMessage() *wire.PeerMessage {
	line := &wire.PeerMessage{From: c.settings.Label, StoreReachable: c.storeReachable()}
	if f := c.rollout.tracker.Format(); f > record.FormatPlain {
		line.Format = f
	}
	return line
}

func (c *Controller) handlePeerMessage(l *wire.PeerMessage) {
	if !c.isSibling(l.From) {
		c.log.Warn("line from an unknown peer dropped", "peer", l.From)
		return
	}
	p := c.gossip.peers[l.From]
	if p == nil {
		p = &peerState{lastHeardAt: -Time(peerTimeout) - 1, ackedAt: -Time(ackTimeout) - 1}
		c.gossip.peers[l.From] = p
	}
	for _, r := range l.Heartbeats {
		c.applyHeartbeat(r, false)
	}
	for i := range l.UnchangedHeartbeats {
		c.applyUnchangedHeartbeat(&l.UnchangedHeartbeats[i])
	}
	if len(l.CloudMachines) > 0 {
		c.applyMachineList(l.CloudMachines)
	}
	if l.Capacity != nil {
		c.forwarding.siblingCapacity[l.From] = *l.Capacity
	}
	c.applyForwardedJobs(l.ForwardedJobs)
	if c.now.Sub(p.lastHeardAt) > peerTimeout {
		c.gossip.sendAll = true // it may be new, or have missed much
	}
	p.lastHeardAt, p.storeReachable = c.now, l.StoreReachable
	if l.Watermark != nil {
		c.applyWatermark(p, l.Watermark)
	}
}

// peerTimeout is how long a sibling may say nothing before it counts as lost.
const peerTimeout = 3 * peerHeartbeatInterval

// ackTimeout is how long ago a sibling may have sent what it last heard of us
// before it counts as lost: our attestation, and its own with the echo, take a turn each.
const ackTimeout = peerTimeout + watermarkInterval

func (c *Controller) isSibling(label string) bool {
	for _, s := range c.settings.Siblings {
		if s.Label == label {
			return true
		}
	}
	return false
}
