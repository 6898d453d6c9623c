package controller

import (
	"slices"
	"time"

	"lilacrill/internal/placement"
	"lilacrill/internal/shard"
	"lilacrill/wire"
)

// A job that finds no room in the shares of the controller that answers for it is handed
// on to another, which places it for a while. Each controller that finds no room either
// hands it on in turn, to one that has not tried; at last it comes back to the owner of
// its team, which waits a moment before the next turn. Siblings say what room they have.
// All of it is hints: what is placed is decided by the conditions of the write.

// forwardedJob is a job that a controller is to place until some time.
type forwardedJob struct {
	to    string
	until Time
	tried []string
}

// jobForwarding is what this controller knows of jobs handed on and of siblings' room.
type jobForwarding struct {
	forwarded         map[wire.JobID]forwardedJob
	siblingCapacity   map[string][]wire.CapacityOffer // by sibling
	outgoing          []wire.ForwardedJob             // to be told once no write of the team is under way
	nextCapacityOffer Time
}

const (
	// forwardLifetime is how long a job is left to the controller that it was handed to.
	forwardLifetime = 2 * time.Second
	// forwardBackoff and criticalForwardBackoff are the pauses after all have tried.
	forwardBackoff         = time.Second
	criticalForwardBackoff = 300 * time.Millisecond
	// maxForwardsPerMessage bounds how many jobs are handed on at once.
	maxForwardsPerMessage = 64
	// capacityOfferInterval is how often siblings are told of room.
	capacityOfferInterval = 500 * time.Millisecond
)

func (s *jobForwarding) init() {
	s.forwarded = map[wire.JobID]forwardedJob{}
	s.siblingCapacity = map[string][]wire.CapacityOffer{}
}

// forwardedTo is the controller that a job was handed to, if that still holds.
func (c *Controller) forwardedTo(id wire.JobID) (string, bool) {
	h, ok := c.forwarding.forwarded[id]
	return h.to, ok && !c.isDue(h.until)
}

// forwardJob hands on a job that found no room here: to a controller that says it has room or,
// without roomOnly, urgent work also to one that could stop others for it. It reports
// whether it did.
func (c *Controller) forwardJob(w *pendingJob, roomOnly bool) bool {
	j := w.job
	if !c.schedulesJob(j) || !c.isDue(j.nextForward) || len(c.forwarding.outgoing) >= maxForwardsPerMessage {
		return false
	}
	tried := []string{c.settings.Label}
	if h, ok := c.forwarding.forwarded[j.id]; ok && !c.isDue(h.until) {
		tried = append(slices.Clone(h.tried), c.settings.Label)
	}
	next := c.nextForwardTarget(w, tried, roomOnly)
	owner := c.teamOwner(j.spec.Team)
	switch {
	case next != "":
	case roomOnly:
		return false
	case owner == c.settings.Label:
		c.jobReturned(j)
		return false
	default:
		next = owner
		tried = append(tried, owner) // it comes back
	}
	j.nextForward = c.now.Add(criticalForwardBackoff)
	c.forwarding.forwarded[j.id] = forwardedJob{next, c.now.Add(forwardLifetime), tried}
	c.forwarding.outgoing = append(c.forwarding.outgoing, wire.ForwardedJob{Job: j.id, To: next, Tried: tried})
	c.metrics.count(countJobsForwarded, 1)
	return true
}

// jobReturned is called when all controllers have tried a job of a team of ours.
func (c *Controller) jobReturned(j *job) {
	pause := forwardBackoff
	if j.spec.Priority == wire.PriorityCritical {
		pause = criticalForwardBackoff
	}
	j.nextForward = c.now.Add(pause)
	delete(c.forwarding.forwarded, j.id)
	if j.spec.Tasks > 1 && (j.spec.Shape == wire.ShapeGang || j.spec.SingleZone) {
		c.shards.acquireFor = j.id
	}
}

// nextForwardTarget is a controller that has not tried a job and may have room for it; if none
// has, and roomOnly is not set, one that could stop less urgent work for it.
func (c *Controller) nextForwardTarget(w *pendingJob, tried []string, roomOnly bool) string {
	makesRoom := w.job.spec.Priority.Level() <= wire.PriorityHigh.Level() || w.guaranteed
	other := ""
	for _, label := range c.membership.eligibleControllers {
		p := c.gossip.peers[label]
		if label == c.settings.Label || slices.Contains(tried, label) || p == nil || c.now.Sub(p.lastHeardAt) > peerTimeout || c.shards.table.Owned(label) == 0 {
			continue
		}
		if c.offersCapacity(label, w.job) {
			return label
		}
		if makesRoom && !roomOnly {
			other = label
		}
	}
	return other
}

// offersCapacity reports whether a sibling says that it has room for a task of a job.
func (c *Controller) offersCapacity(label string, j *job) bool {
	for i := range c.forwarding.siblingCapacity[label] {
		o := &c.forwarding.siblingCapacity[label][i]
		free := placement.Resources{Cores: o.Cores, Accelerators: o.Accelerators, MemGB: o.MemGB}
		if !free.Covers(j.request.Need) {
			continue
		}
		h := &placement.Host{Labels: c.kindLabels(machineKind{o.Type, o.Zone, o.Spot}), Free: free}
		if (placement.Fleet{h}).Holds(j.request.Enforced, j.spec.Team, h) {
			return true
		}
	}
	return false
}

// sendForwardedJobs tells the siblings of jobs that are handed on. Those of a team of which a
// write is under way wait: whoever gets them would lose its own write to it.
func (c *Controller) sendForwardedJobs() {
	if len(c.forwarding.outgoing) == 0 {
		return
	}
	line := c.newPeerMessage()
	kept := c.forwarding.outgoing[:0]
	for _, h := range c.forwarding.outgoing {
		j := c.cache.jobs[h.Job]
		switch {
		case j == nil:
		case c.cache.team(j.spec.Team).schedule.inFlight != nil:
			kept = append(kept, h)
		default:
			line.ForwardedJobs = append(line.ForwardedJobs, h)
		}
	}
	c.forwarding.outgoing = kept
	if len(line.ForwardedJobs) > 0 {
		c.broadcast(line)
	}
}

// applyForwardedJobs takes a sibling's word on jobs that it hands on.
func (c *Controller) applyForwardedJobs(handOffs []wire.ForwardedJob) {
	for _, h := range handOffs {
		j := c.cache.jobs[h.Job]
		if slices.Contains(h.Tried, h.To) { // it comes back to its team's owner
			delete(c.forwarding.forwarded, h.Job)
			if j != nil && h.To == c.settings.Label {
				c.jobReturned(j)
			}
			continue
		}
		c.forwarding.forwarded[h.Job] = forwardedJob{h.To, c.now.Add(forwardLifetime), h.Tried}
		if h.To == c.settings.Label {
			c.scheduler.dirty = true
			c.scheduler.criticalDirty = c.scheduler.criticalDirty || j != nil && j.spec.Priority == wire.PriorityCritical
			if j != nil {
				j.nextForward = 0
			}
		}
	}
}

// expireForwardedJobs drops what no longer holds.
func (c *Controller) expireForwardedJobs() {
	for id, h := range c.forwarding.forwarded {
		if c.isDue(h.until) {
			delete(c.forwarding.forwarded, id)
		}
	}
}

// addCapacityOffer adds the room in this controller's shares to a line, from time to time.
func (c *Controller) addCapacityOffer(line *wire.PeerMessage) {
	if !c.sharded() || !c.isDue(c.forwarding.nextCapacityOffer) {
		return
	}
	c.forwarding.nextCapacityOffer = c.now.Add(capacityOfferInterval)
	c.expireForwardedJobs()
	room := c.capacityOffers()
	line.Capacity = &room
}

func (c *Controller) capacityOffers() []wire.CapacityOffer {
	best := map[machineKind]placement.Resources{}
	var kinds []machineKind
	for _, m := range c.orderedMachines() {
		t := c.machineTypeNamed(m.machineType)
		if t == nil || !c.shards.table.Places(m.shard) || !c.acceptsTasks(m) {
			continue
		}
		free := machineResources(t)
		for _, e := range m.allocations {
			free = free.Plus(e.taskResources(), -float64(e.Tasks.Len()))
		}
		key := machineKind{m.machineType, m.zone, m.spot}
		most, known := best[key]
		if !known {
			kinds = append(kinds, key)
		}
		best[key] = placement.Resources{Cores: max(most.Cores, free.Cores), Accelerators: max(most.Accelerators, free.Accelerators),
			MemGB: max(most.MemGB, free.MemGB)}
	}
	offers := make([]wire.CapacityOffer, 0, len(kinds))
	for _, k := range kinds {
		a := best[k]
		offers = append(offers, wire.CapacityOffer{Type: k.kind, Zone: k.zone, Spot: k.spot, Cores: a.Cores, Accelerators: a.Accelerators, MemGB: a.MemGB})
	}
	return offers
}

// acquireShards asks for the shares whose machines, together with those of this controller, have
// room for a job that needs it at once and that no controller alone can place.
func (c *Controller) acquireShards() (shard.Action, bool) {
	j := c.cache.jobs[c.shards.acquireFor]
	c.shards.acquireFor = ""
	if j == nil || c.shards.acquiredAt != 0 && c.now.Sub(c.shards.acquiredAt) < acquireInterval || len(c.provisioner.catalogue) == 0 {
		return shard.Action{}, false
	}
	ids := c.shardsForJob(j)
	if len(ids) == 0 {
		return shard.Action{}, false
	}
	a, due := c.shards.planner.Acquire(ids, c.wall)
	if due {
		c.shards.acquiredAt = c.now
		c.log.Debug("shares asked for", "job", j.id, "shares", a.Shards)
	}
	return a, due
}

// shardsForJob finds the shares of others whose machines a job needs, in the zone that comes
// closest if it is to stay in one.
func (c *Controller) shardsForJob(j *job) []wire.ShardID {
	type candidate struct {
		share     wire.ShardID
		now, most int // tasks that there is room for, and if less urgent work is stopped
	}
	need := j.request.Need
	byZone, now, most := map[string][]candidate{}, map[string]int{}, map[string]int{}
	fleet := c.buildHosts(map[string]*placementTransaction{}, false, func(*page, *Allocation, *placement.Host) {})
	for _, h := range fleet {
		if h.Unschedulable || !h.Total.Covers(need) || !(placement.Fleet{h}).Holds(j.request.Enforced, j.spec.Team, h) {
			continue
		}
		m := c.fleet.machines[h.ID]
		free := h.Free.Plus(h.Freeing, 1)
		cand := candidate{share: m.shard, now: free.Fits(need, j.spec.Tasks)}
		for _, e := range m.allocations {
			if e.Priority > j.spec.Priority.Level() {
				free = free.Plus(e.taskResources(), float64(e.Tasks.Len()))
			}
		}
		cand.most = free.Fits(need, j.spec.Tasks)
		zone := ""
		if j.spec.SingleZone {
			zone = m.zone
		}
		byZone[zone], now[zone], most[zone] = append(byZone[zone], cand), now[zone]+cand.now, most[zone]+cand.most
	}
	best, any := "", false
	for _, zone := range sortedKeys(byZone) {
		if most[zone] >= j.spec.Tasks && (!any || now[zone] > now[best] || now[zone] == now[best] && most[zone] > most[best]) {
			best, any = zone, true
		}
	}
	if !any {
		return nil
	}
	slices.SortStableFunc(byZone[best], func(a, b candidate) int { return b.now - a.now })
	have := 0
	for _, cand := range byZone[best] {
		if c.shards.table.Places(cand.share) {
			have += max(cand.now, cand.most)
		}
	}
	var ids []wire.ShardID
	for _, cand := range byZone[best] {
		if have >= j.spec.Tasks {
			break
		}
		if cand.most > 0 && !c.shards.table.Places(cand.share) && !slices.Contains(ids, cand.share) {
			ids = append(ids, cand.share)
		}
		if slices.Contains(ids, cand.share) {
			have += cand.most
		}
	}
	return ids
}
