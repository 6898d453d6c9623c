package controller

import (
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

const (
	// peerHeartbeatInterval is how often siblings are sent a message at least.
	peerHeartbeatInterval = time.Second
	// gossipInterval is how often siblings are sent the heartbeats received meanwhile.
	gossipInterval = 200 * time.Millisecond
	// heartbeatsPerMessage bounds the heartbeats in full that one message carries.
	heartbeatsPerMessage = 100
	// peerTimeout is how long a sibling may send nothing before it counts as lost.
	peerTimeout = 3 * peerHeartbeatInterval
	// ackTimeout is how long ago a sibling may have acknowledged a watermark of ours
	// before it counts as lost: our watermark, and its own with the acknowledgement, take
	// an interval each.
	ackTimeout = peerTimeout + watermarkInterval
	// peerStoreTimeout is for how long a sibling's message that it reaches the state store is
	// relied upon.
	peerStoreTimeout = 2*peerHeartbeatInterval + peerHeartbeatInterval/2
)

// gossip is the controllers' messages about the workers' heartbeats and about themselves. It
// is hints only: messages may be lost, late or out of order, and prove nothing. What a
// controller writes down on account of a hint it first confirms, by a direct heartbeat or
// the conditions of its transaction.
type gossip struct {
	peers         map[string]*peerState // by label
	nextHeartbeat Time
	nextMessage   Time
	// sendAll says that a sibling is new and is to be sent all heartbeats that are known.
	sendAll         bool
	pendingMachines map[wire.MachineID]bool // machines heard since the last message
}

// peerState is a sibling's state by its last messages. It is a hint only.
type peerState struct {
	lastHeardAt    Time
	storeReachable bool

	process              uint64        // the sibling's process that last sent a watermark
	sequence             uint64        // its newest watermark
	firstHeardAt         Time          // when the first of them came
	revision             wire.Revision // up to which it knows all changes
	ackedAt              Time          // when the newest of our watermarks that it received was sent
	cancellationsKnownAt Time          // up to when every cancellation is known that it may have confirmed to users
}

func (g *gossip) init() {
	g.peers = map[string]*peerState{}
	g.pendingMachines = map[wire.MachineID]bool{}
}

// peer finds a sibling's state, or adds that of one that has sent nothing yet.
func (g *gossip) peer(label string) *peerState {
	peer := g.peers[label]
	if peer == nil {
		peer = &peerState{lastHeardAt: -Time(peerTimeout) - 1, ackedAt: -Time(ackTimeout) - 1}
		g.peers[label] = peer
	}
	return peer
}

// isHeard reports whether messages of the sibling arrive.
func (p *peerState) isHeard(now Time) bool { return now.Sub(p.lastHeardAt) <= peerTimeout }

// hearsUs reports whether messages arrive both ways: what arrives one way only may be held
// up on the other.
func (p *peerState) hearsUs(now Time) bool { return now.Sub(p.ackedAt) <= ackTimeout }

// countConnected counts the siblings with which messages arrive both ways.
func (g *gossip) countConnected(now Time) int {
	count := 0
	for _, peer := range g.peers {
		if peer.hearsUs(now) {
			count++
		}
	}
	return count
}

// withStore names a sibling that reaches the state store by its last message; "" if none does.
func (g *gossip) withStore(siblings []config.Sibling, now Time) string {
	for _, sibling := range siblings {
		if peer := g.peers[sibling.Label]; peer != nil && peer.storeReachable && now.Sub(peer.lastHeardAt) < peerStoreTimeout {
			return sibling.Label
		}
	}
	return ""
}

// lostPeerQuorum reports whether this controller is connected to less than half of all
// controllers, itself among them. In an outage of the state store those that are well still
// are connected to one another; two that share a partitioned zone are as well, so one
// sibling is not enough.
func (c *Controller) lostPeerQuorum() bool {
	connected := 1 + c.gossip.countConnected(c.now)
	return 2*connected <= 1+len(c.settings.Siblings) && c.now.Sub(c.membership.readyAt) > ackTimeout
}

// peerWithStore names a sibling that reaches the state store; "" if none does.
func (c *Controller) peerWithStore() string {
	return c.gossip.withStore(c.settings.Siblings, c.now)
}

func (c *Controller) isSibling(label string) bool {
	for _, sibling := range c.settings.Siblings {
		if sibling.Label == label {
			return true
		}
	}
	return false
}

// sendGossip sends the siblings the heartbeats received since the last time; if there were
// none, it sends an empty message from time to time to show that this controller is alive.
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

// queueAllHeartbeats has the next messages carry all that this controller knows of the
// machines at first hand, in full.
func (c *Controller) queueAllHeartbeats() {
	for id, machine := range c.fleet.machines {
		if machine.directHeartbeat != nil && c.now.Sub(machine.liveness.lastDirectAt) < forgetMachineAfter && !machine.scaling.terminated {
			c.gossip.pendingMachines[id] = true
		}
		machine.liveness.gossipedHeartbeat = nil
	}
	c.provisioner.gossipedStatus = nil
}

// addHeartbeats adds the pending machines' heartbeats to a message, of those that show
// nothing new only that they came. It broadcasts messages that are full, and returns the
// one that is not.
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

// broadcast sends a message to all siblings.
func (c *Controller) broadcast(message *wire.PeerMessage) {
	c.metrics.count(countPeerMessages, 1)
	c.emit(Broadcast{message})
}

// newPeerMessage is an empty message in the format in force. Messages of the first format
// do not name it: builds that know no other may read them.
func (c *Controller) newPeerMessage() *wire.PeerMessage {
	message := &wire.PeerMessage{From: c.settings.Label, StoreReachable: c.storeReachable()}
	if format := c.rollout.tracker.Format(); format > record.FormatPlain {
		message.Format = format
	}
	return message
}

// handlePeerMessage takes the hints in a sibling's message.
func (c *Controller) handlePeerMessage(message *wire.PeerMessage) {
	if !c.isSibling(message.From) {
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
		c.gossip.sendAll = true // it may be new, or have missed much
	}
	peer.lastHeardAt, peer.storeReachable = c.now, message.StoreReachable
	if message.Watermark != nil {
		c.applyWatermark(peer, message.Watermark)
	}
}
