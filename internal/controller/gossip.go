package controller

import (
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

const (
	// peerHeartbeatInterval is the longest time between two messages to the peers.
	peerHeartbeatInterval = time.Second
	// gossipInterval is how often newly received heartbeats are sent to the peers.
	gossipInterval = 200 * time.Millisecond
	// heartbeatsPerMessage is the largest number of complete heartbeats in a message.
	heartbeatsPerMessage = 100
	// peerTimeout is how long a peer may send no message before it counts as lost.
	peerTimeout = 3 * peerHeartbeatInterval
	// ackTimeout is the age, of the newest watermark of this controller that a peer has
	// acknowledged, above which the connection to the peer counts as lost. The watermark and
	// the peer's own watermark with the acknowledgement wait up to watermarkInterval each to
	// be sent.
	ackTimeout = peerTimeout + watermarkInterval
	// peerStoreTimeout is how long a peer counts as reaching the state store after a message
	// that states so.
	peerStoreTimeout = 2*peerHeartbeatInterval + peerHeartbeatInterval/2
)

// gossip is the state of the exchange of messages between controllers about the workers'
// heartbeats and about themselves. Messages may be lost, late or out of order. Before a
// controller commits anything because of a message, it confirms the message by a direct
// heartbeat or by the conditions of its transaction.
type gossip struct {
	peers         map[string]*peerState // by label
	nextHeartbeat Time
	nextMessage   Time
	// sendAll is set if a peer is new or was lost, and all known heartbeats are to be sent.
	sendAll         bool
	pendingMachines map[wire.MachineID]bool // machines whose heartbeats arrived since the last message
}

// peerState is the state of a peer according to its messages. It may be out of date.
type peerState struct {
	lastHeardAt    Time
	storeReachable bool

	process              uint64        // the process of the peer that last sent a watermark
	sequence             uint64        // sequence number of the newest watermark of that process
	firstHeardAt         Time          // when the first watermark of that process arrived
	revision             wire.Revision // the revision up to which the peer knows all changes
	ackedAt              Time          // when the newest watermark that the peer acknowledged was sent to it
	cancellationsKnownAt Time          // time up to which all cancellations confirmed by the peer are known here
}

func (g *gossip) init() {
	g.peers = map[string]*peerState{}
	g.pendingMachines = map[wire.MachineID]bool{}
}

// peer returns the state of a peer, and adds it if the peer has sent nothing yet.
func (g *gossip) peer(label string) *peerState {
	peer := g.peers[label]
	if peer == nil {
		peer = &peerState{lastHeardAt: -Time(peerTimeout) - 1, ackedAt: -Time(ackTimeout) - 1}
		g.peers[label] = peer
	}
	return peer
}

// isHeard reports whether a message of the peer has arrived within peerTimeout.
func (p *peerState) isHeard(now Time) bool { return now.Sub(p.lastHeardAt) <= peerTimeout }

// isConnected reports whether messages arrive in both directions. The arrival of messages from
// the peer does not show that the peer receives messages from this controller.
func (p *peerState) isConnected(now Time) bool { return now.Sub(p.ackedAt) <= ackTimeout }

// countConnected returns the number of peers with which messages arrive in both directions.
func (g *gossip) countConnected(now Time) int {
	count := 0
	for _, peer := range g.peers {
		if peer.isConnected(now) {
			count++
		}
	}
	return count
}

// withStore returns the label of a peer that reaches the state store according to its last
// message, or "" if there is none.
func (g *gossip) withStore(siblings []config.Sibling, now Time) string {
	for _, sibling := range siblings {
		if peer := g.peers[sibling.Label]; peer != nil && peer.storeReachable && now.Sub(peer.lastHeardAt) < peerStoreTimeout {
			return sibling.Label
		}
	}
	return ""
}

// lostPeerQuorum reports whether this controller is connected to at most half of all
// controllers, itself included. In an outage of the state store, the controllers that work
// are still connected to one another. One connected peer is not sufficient evidence of that,
// since two controllers in the same partitioned zone are connected as well.
func (c *Controller) lostPeerQuorum() bool {
	connected := 1 + c.gossip.countConnected(c.now)
	return 2*connected <= 1+len(c.settings.Siblings) && c.now.Sub(c.membership.readyAt) > ackTimeout
}

// receivesFromAllPeers reports whether messages from all other live controllers arrive. It is
// false if there are no others.
func (c *Controller) receivesFromAllPeers() bool {
	for label := range c.cache.liveControllers {
		if label == c.settings.Label {
			continue
		}
		if peer := c.gossip.peers[label]; peer == nil || !peer.isHeard(c.now) {
			return false
		}
	}
	return len(c.cache.liveControllers) > 1
}

// peerWithStore returns the label of a peer that reaches the state store, or "" if none is
// known to.
func (c *Controller) peerWithStore() string {
	return c.gossip.withStore(c.settings.Siblings, c.now)
}

// isPeer reports whether the settings name a peer with the given label.
func (c *Controller) isPeer(label string) bool {
	for _, sibling := range c.settings.Siblings {
		if sibling.Label == label {
			return true
		}
	}
	return false
}

// sendGossip sends the peers the heartbeats received since the last message, a watermark and a
// capacity offer if they are due. If there is nothing to send, it sends an empty message every
// peerHeartbeatInterval to show that this controller is alive.
func (c *Controller) sendGossip() {
	if !c.isDue(c.gossip.nextMessage) {
		return
	}
	c.gossip.nextMessage = c.now.Add(gossipInterval)
	message := c.newPeerMessage()
	if c.gossip.sendAll {
		c.gossip.sendAll = false
		c.queueAllHeartbeats()
	}
	if c.isDue(c.cancellations.next) {
		message.Watermark = c.newWatermark()
	}
	c.addCapacityOffer(message)
	message = c.addHeartbeats(message)
	hasContent := len(message.Heartbeats) > 0 || len(message.UnchangedHeartbeats) > 0 || message.Watermark != nil || message.Capacity != nil
	if hasContent || c.isDue(c.gossip.nextHeartbeat) {
		c.gossip.nextHeartbeat = c.now.Add(peerHeartbeatInterval)
		c.broadcast(message)
	}
}

// queueAllHeartbeats queues all machines with a direct heartbeat within forgetMachineAfter. The
// next messages then carry these heartbeats and the cloud's machine list in full.
func (c *Controller) queueAllHeartbeats() {
	for id, machine := range c.fleet.machines {
		if machine.directHeartbeat != nil && c.now.Sub(machine.liveness.lastDirectAt) < forgetMachineAfter && !machine.scaling.terminated {
			c.gossip.pendingMachines[id] = true
		}
		machine.liveness.gossipedHeartbeat = nil
	}
	c.provisioner.gossipedStatus = nil
}

// addHeartbeats adds the pending machines' heartbeats to a message. A heartbeat with the same
// status as the last one sent is added as an unchanged heartbeat. addHeartbeats broadcasts each
// message that is full and returns the last one, which is not.
func (c *Controller) addHeartbeats(message *wire.PeerMessage) *wire.PeerMessage {
	for _, id := range sortedKeys(c.gossip.pendingMachines) {
		machine := c.fleet.machines[id]
		if machine == nil || machine.directHeartbeat == nil {
			continue
		}
		heartbeat := machine.directHeartbeat
		if machine.liveness.gossipedHeartbeat != nil && sameStatus(machine.liveness.gossipedHeartbeat, heartbeat) {
			message.UnchangedHeartbeats = append(message.UnchangedHeartbeats, wire.UnchangedHeartbeat{
				Machine: id, AgentEpoch: heartbeat.AgentEpoch, Sequence: heartbeat.Sequence, Token: heartbeat.Token})
		} else {
			message.Heartbeats = append(message.Heartbeats, heartbeat)
		}
		machine.liveness.gossipedHeartbeat = heartbeat
		if len(message.Heartbeats) == heartbeatsPerMessage {
			c.broadcast(message)
			message = c.newPeerMessage()
		}
	}
	clear(c.gossip.pendingMachines)
	return message
}

// broadcast sends a message to all peers.
func (c *Controller) broadcast(message *wire.PeerMessage) {
	c.metrics.count(countPeerMessages, 1)
	c.emit(Broadcast{message})
}

// newPeerMessage returns an empty message in the format in force. Messages in the first format
// do not state their format, since they may be read by builds that know no other.
func (c *Controller) newPeerMessage() *wire.PeerMessage {
	message := &wire.PeerMessage{From: c.settings.Label, StoreReachable: c.storeReachable()}
	if format := c.rollout.tracker.Format(); format > record.FormatPlain {
		message.Format = format
	}
	return message
}

// handlePeerMessage applies a message from a peer.
func (c *Controller) handlePeerMessage(message *wire.PeerMessage) {
	if !c.isPeer(message.From) {
		c.log.Warn("message from unknown peer dropped", "peer", message.From)
		return
	}
	peer := c.gossip.peer(message.From)
	for _, heartbeat := range message.Heartbeats {
		c.applyHeartbeat(heartbeat, false)
	}
	for i := range message.UnchangedHeartbeats {
		c.applyUnchangedHeartbeat(&message.UnchangedHeartbeats[i])
	}
	if len(message.CloudMachines) > 0 {
		c.applyMachineList(message.CloudMachines)
	}
	if message.Capacity != nil {
		c.forwarding.peerCapacity[message.From] = *message.Capacity
	}
	c.applyForwardedJobs(message.ForwardedJobs)
	if !peer.isHeard(c.now) {
		c.gossip.sendAll = true // the peer may be new, or have missed many messages
	}
	peer.lastHeardAt, peer.storeReachable = c.now, message.StoreReachable
	if message.Watermark != nil {
		c.applyWatermark(peer, message.Watermark)
	}
}
