package controller

import (
	"slices"
	"time"

	"lilacrill/internal/placement"
	"lilacrill/wire"
)

// If the controller that is responsible for a job has no capacity for it in its shards, it forwards
// the job to another controller, which is then responsible for the job's placement for
// forwardLifetime. If that controller has no capacity either, it forwards the job in turn, to a
// controller that has not tried. When all have tried, the job returns to the owner of its team, which
// waits before it forwards the job again. Controllers gossip offers of their capacity. Forwarded
// jobs and offers are hints only. The conditions of the transactions decide what is placed.

// forwardedJob is the forwarding of a job: a controller is responsible for placing the job until a
// given time.
type forwardedJob struct {
	to    string // the controller's label
	until Time
	tried []string // the labels of the controllers that had no capacity for the job
}

// jobForwarding holds what this controller knows of forwarded jobs and of its peers' capacity.
type jobForwarding struct {
	forwarded         map[wire.JobID]forwardedJob
	peerCapacity      map[string][]wire.CapacityOffer // by controller
	outgoing          []wire.ForwardedJob             // to be sent once no transaction of the job's team is in flight
	nextCapacityOffer Time
}

const (
	// forwardLifetime is how long a job is left to the controller to which it was forwarded.
	forwardLifetime = 2 * time.Second
	// forwardBackoff is the pause before a job that all controllers have tried is forwarded again.
	// criticalForwardBackoff is that pause for critical jobs. It is also the pause after this
	// controller has forwarded any job, unless the job is forwarded back to it.
	forwardBackoff         = time.Second
	criticalForwardBackoff = 300 * time.Millisecond
	// maxForwardsPerMessage is the maximum number of jobs that one peer message forwards.
	maxForwardsPerMessage = 64
	// capacityOfferInterval is the time between capacity offers to peers.
	capacityOfferInterval = 500 * time.Millisecond
)

func (f *jobForwarding) init() {
	f.forwarded = map[wire.JobID]forwardedJob{}
	f.peerCapacity = map[string][]wire.CapacityOffer{}
}

// current returns a job's last forwarding, and whether it is still in effect.
func (f *jobForwarding) current(id wire.JobID, now Time) (forwardedJob, bool) {
	forwarded, ok := f.forwarded[id]
	return forwarded, ok && now < forwarded.until
}

// noteForwarded records that a job is forwarded as of now.
func (f *jobForwarding) noteForwarded(id wire.JobID, to string, tried []string, now Time) {
	f.forwarded[id] = forwardedJob{to, now.Add(forwardLifetime), tried}
}

// dropExpired drops the forwardings that are no longer in effect.
func (f *jobForwarding) dropExpired(now Time) {
	for id, forwarded := range f.forwarded {
		if now >= forwarded.until {
			delete(f.forwarded, id)
		}
	}
}

// forwardedTo returns the label of the controller to which a job was forwarded, and whether the
// forwarding is still in effect.
func (c *Controller) forwardedTo(id wire.JobID) (string, bool) {
	forwarded, ok := c.forwarding.current(id, c.now)
	return forwarded.to, ok
}

// forwardJob forwards a job for which this controller has no capacity. The target is a controller
// that offers capacity for the job or, unless offeredOnly is set, a controller that could evict less
// urgent tasks for it. If there is no such controller and offeredOnly is not set, the job returns to
// the owner of its team. A starved job stays, since there is reserved room for it here. forwardJob
// reports whether it has forwarded the job.
func (c *Controller) forwardJob(pending *pendingJob, offeredOnly bool) bool {
	job := pending.job
	if !c.schedulesJob(job) || c.isStarved(job) || !c.isDue(job.nextForward) || len(c.forwarding.outgoing) >= maxForwardsPerMessage {
		return false
	}
	tried := []string{c.settings.Label}
	if forwarded, ok := c.forwarding.current(job.id, c.now); ok {
		tried = append(slices.Clone(forwarded.tried), c.settings.Label)
	}
	target := c.nextForwardTarget(pending, tried, offeredOnly)
	owner := c.teamOwner(job.spec.Team)
	switch {
	case target != "":
	case offeredOnly:
		return false
	case owner == c.settings.Label:
		c.handleReturnedJob(job)
		return false
	default:
		target = owner
		tried = append(tried, owner) // a target that has tried already marks the job as returned
	}
	job.nextForward = c.now.Add(criticalForwardBackoff)
	c.forwarding.noteForwarded(job.id, target, tried, c.now)
	c.forwarding.outgoing = append(c.forwarding.outgoing, wire.ForwardedJob{Job: job.id, To: target, Tried: tried})
	c.metrics.count(countJobsForwarded, 1)
	return true
}

// handleReturnedJob handles a job of a team that this controller owns after all controllers have
// tried to place it. A gang, or a job that needs a single zone, may need the capacity of several
// controllers at once, so shards of other controllers are to be acquired for it.
func (c *Controller) handleReturnedJob(job *job) {
	pause := forwardBackoff
	if job.spec.Priority == wire.PriorityCritical {
		pause = criticalForwardBackoff
	}
	job.nextForward = c.now.Add(pause)
	delete(c.forwarding.forwarded, job.id)
	if job.spec.Tasks > 1 && (job.spec.Shape == wire.ShapeGang || job.spec.SingleZone) {
		c.shards.acquireFor = job.id
	}
}

// nextForwardTarget returns the label of a controller that has not tried a job and offers capacity
// for it. If there is none and offeredOnly is not set, it returns the label of a controller that
// could evict less urgent tasks for the job. It returns "" if there is no such controller either.
func (c *Controller) nextForwardTarget(pending *pendingJob, tried []string, offeredOnly bool) string {
	mayPreempt := pending.job.spec.Priority.Level() <= wire.PriorityHigh.Level() || pending.guaranteed
	preemptionTarget := ""
	for _, label := range c.ownership.eligible {
		peer := c.gossip.peers[label]
		if label == c.settings.Label || slices.Contains(tried, label) || peer == nil || !peer.isHeard(c.now) || c.shards.table.OwnedCount(label) == 0 {
			continue
		}
		if c.offersCapacity(label, pending.job) {
			return label
		}
		if mayPreempt && !offeredOnly {
			preemptionTarget = label
		}
	}
	return preemptionTarget
}

// offersCapacity reports whether a peer offers capacity for a task of a job.
func (c *Controller) offersCapacity(label string, job *job) bool {
	for _, offer := range c.forwarding.peerCapacity[label] {
		free := placement.Resources{Cores: offer.Cores, Accelerators: offer.Accelerators, MemGB: offer.MemGB}
		if !free.Covers(job.request.Need) {
			continue
		}
		host := &placement.Host{Labels: c.fleet.kindLabels(machineKind{offer.Type, offer.Zone, offer.Spot}), Free: free}
		if (placement.Fleet{host}).Holds(job.request.Enforced, job.spec.Team, host) {
			return true
		}
	}
	return false
}

// sendForwardedJobs sends the forwarded jobs to all peers. A job waits while a transaction of its
// team is in flight, because a transaction of the controller to which it is forwarded would conflict
// with that transaction.
func (c *Controller) sendForwardedJobs() {
	if len(c.forwarding.outgoing) == 0 {
		return
	}
	message := c.newPeerMessage()
	kept := c.forwarding.outgoing[:0]
	for _, forwarded := range c.forwarding.outgoing {
		job := c.cache.jobs[forwarded.Job]
		switch {
		case job == nil:
		case c.cache.team(job.spec.Team).schedule.inFlight != nil:
			kept = append(kept, forwarded)
		default:
			message.ForwardedJobs = append(message.ForwardedJobs, forwarded)
		}
	}
	c.forwarding.outgoing = kept
	if len(message.ForwardedJobs) > 0 {
		c.broadcast(message)
	}
}

// applyForwardedJobs records the jobs that a peer forwards.
func (c *Controller) applyForwardedJobs(jobs []wire.ForwardedJob) {
	for _, forwarded := range jobs {
		job := c.cache.jobs[forwarded.Job]
		if slices.Contains(forwarded.Tried, forwarded.To) { // the job returns to its team's owner
			delete(c.forwarding.forwarded, forwarded.Job)
			if job != nil && forwarded.To == c.settings.Label {
				c.handleReturnedJob(job)
			}
			continue
		}
		c.forwarding.noteForwarded(forwarded.Job, forwarded.To, forwarded.Tried, c.now)
		if forwarded.To == c.settings.Label {
			c.scheduler.dirty = true
			c.scheduler.criticalDirty = c.scheduler.criticalDirty || job != nil && job.spec.Priority == wire.PriorityCritical
			if job != nil {
				job.nextForward = 0
			}
		}
	}
}

// addCapacityOffer adds the capacity offers of this controller's shards to a peer message, if they
// are due.
func (c *Controller) addCapacityOffer(message *wire.PeerMessage) {
	if !c.sharded() || !c.isDue(c.forwarding.nextCapacityOffer) {
		return
	}
	c.forwarding.nextCapacityOffer = c.now.Add(capacityOfferInterval)
	c.forwarding.dropExpired(c.now)
	offers := c.capacityOffers()
	message.Capacity = &offers
}

// capacityOffers returns one offer for each kind of machine in this controller's shards. For each
// resource it states the largest amount that is free on any machine of that kind.
func (c *Controller) capacityOffers() []wire.CapacityOffer {
	mostFree := map[machineKind]placement.Resources{}
	var kinds []machineKind
	for _, machine := range c.orderedMachines() {
		machineType := c.machineTypeNamed(machine.machineType)
		if machineType == nil || !c.shards.table.MaySchedule(machine.shard) || !c.acceptsTasks(machine) {
			continue
		}
		free := machineResources(machineType)
		for _, allocation := range machine.allocations {
			free = free.Plus(allocation.taskResources(), -float64(allocation.Tasks.Len()))
		}
		kind := machineKind{machine.machineType, machine.zone, machine.spot}
		most, known := mostFree[kind]
		if !known {
			kinds = append(kinds, kind)
		}
		mostFree[kind] = placement.Resources{
			Cores:        max(most.Cores, free.Cores),
			Accelerators: max(most.Accelerators, free.Accelerators),
			MemGB:        max(most.MemGB, free.MemGB),
		}
	}
	offers := make([]wire.CapacityOffer, 0, len(kinds))
	for _, kind := range kinds {
		free := mostFree[kind]
		offers = append(offers, wire.CapacityOffer{Type: kind.machineType, Zone: kind.zone, Spot: kind.spot, Cores: free.Cores, Accelerators: free.Accelerators, MemGB: free.MemGB})
	}
	return offers
}
