package controller

import (
	"slices"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// provisioner holds what this controller knows of the cloud and, if it is the leader for
// scaling, the state of its operations in the cloud.
type provisioner struct {
	catalogue             []wire.MachineType
	catalogueReadAt       Time
	catalogueReadInFlight bool

	unmetDemands    []unmetDemand // from the last scheduling pass over the whole fleet
	missingHeadroom int           // tasks of the headroom for which there is no room
	priceLimit      float64       // price of a core per hour above which jobs that can wait avoid a machine; 0: not known, +Inf: no limit

	// Leadership and the machine list.
	writingLeadership bool
	leaderlessSince   Time // since when no leader has been known; 0 if there is one
	listInFlight      bool
	nextList          Time
	listsSinceElected int                                   // lists read since this controller became the leader
	lastListAt        Time                                  // when the last list that was read was requested
	gossipedStatus    map[wire.MachineID]wire.MachineStatus // as last sent to peers

	// Scaling out.
	provisionCallsInFlight int
	nextScaleOut           Time
	shortages              capacityShortages
	delays                 provisioningDelays

	// Scaling in.
	partitions            partitionDetector
	silentTerminations    terminationLimiter
	terminateCallInFlight bool
	terminateRequested    map[wire.MachineID]bool            // machines whose termination was requested from the cloud
	toTerminate           map[wire.MachineID]terminationMark // machines to be recorded as pending
	recordingTerminations bool                               // the terminations record is being written
	nextTerminationRecord Time
	nextMachineReview     Time
	nextRetainedLog       Time
}

func (p *provisioner) init() {
	p.shortages = capacityShortages{}
	p.delays = provisioningDelays{}
	p.partitions.zones = map[string]partition{}
	p.toTerminate = map[wire.MachineID]terminationMark{}
	p.terminateRequested = map[wire.MachineID]bool{}
}

const (
	catalogueInterval         = time.Minute
	catalogueRetryDelay       = time.Second
	listInterval              = 2 * time.Second
	scaleOutInterval          = 300 * time.Millisecond
	scaleOutRetryDelay        = time.Second
	machineReviewInterval     = 200 * time.Millisecond
	maxMachineReviewInterval  = 500 * time.Millisecond
	terminationRecordInterval = 300 * time.Millisecond
	// leadershipClaimDelay is how long the other controllers leave the leadership to the
	// preferred one.
	leadershipClaimDelay = 3 * time.Second
	// maxProvisionCalls limits the number of calls for one plan.
	maxProvisionCalls = 4
	// maxProvisionTries limits how often a call without a response is made.
	maxProvisionTries = 3
)

// leadershipKey is hashed like the name of a team to select the controller that is preferred
// as leader for scaling. This spreads the preference over the controllers.
const leadershipKey = "buyer"

// machineTypeNamed returns the named machine type of the catalogue, or nil if it is not
// known.
func (c *Controller) machineTypeNamed(name string) *wire.MachineType {
	for i := range c.provisioner.catalogue {
		if c.provisioner.catalogue[i].Name == name {
			return &c.provisioner.catalogue[i]
		}
	}
	return nil
}

// isProvisioner reports whether this controller is the leader for scaling.
func (c *Controller) isProvisioner() bool {
	return c.cache.provisionerIncarnation == c.membership.incarnation
}

// tickCloud carries out the operations in the cloud that are due. Only the leader for scaling
// lists, reviews, provisions and terminates machines.
func (c *Controller) tickCloud() {
	if c.provisioner.catalogueDue(c.now) {
		c.readCatalogue()
	}
	if !c.readyToScale() {
		return
	}
	if !c.provisioner.listInFlight && c.isDue(c.provisioner.nextList) {
		c.listMachines()
	}
	if c.isDue(c.provisioner.nextMachineReview) {
		c.provisioner.nextMachineReview = c.now.Add(c.stretchPause(machineReviewInterval, maxMachineReviewInterval))
		c.reviewMachines()
	}
	c.recordTerminations()
	c.terminateRecordedMachines()
	c.recordImages()
	if c.isDue(c.provisioner.nextScaleOut) {
		c.provisioner.nextScaleOut = c.now.Add(max(scaleOutInterval, 3*c.passPause()))
		c.scaleOut()
	}
}

// readyToScale reports whether this controller is the leader for scaling and may act as such now. If
// there is no leader it claims the leadership, and it resigns if it reaches no workers.
func (c *Controller) readyToScale() bool {
	if !c.cache.complete() || !c.storeReachable() {
		return false
	}
	if !c.isProvisioner() {
		c.provisioner.listsSinceElected = 0
		clear(c.provisioner.toTerminate) // the next leader decides anew
		c.claimProvisionerLeadership()
		return false
	}
	if c.isolated() {
		c.resignProvisionerLeadership()
		return false
	}
	return !c.cache.stale // otherwise another controller may have become the leader meanwhile
}

// catalogueDue reports whether the catalogue is to be read.
func (p *provisioner) catalogueDue(now Time) bool {
	outdated := len(p.catalogue) == 0 || now.Sub(p.catalogueReadAt) > catalogueInterval
	return !p.catalogueReadInFlight && outdated && now >= p.catalogueReadAt
}

// readCatalogue reads the machine types that the cloud offers.
func (c *Controller) readCatalogue() {
	c.provisioner.catalogueReadInFlight = true
	c.emit(ReadCatalogue{registerCall(c, func(result CatalogueResult) {
		c.provisioner.catalogueReadInFlight = false
		c.metrics.countFailure(result.Outcome, countCloudRefused, countCloudUnanswered)
		if result.Outcome != Succeeded {
			// An outdated catalogue remains usable. If there is none, it is read again soon.
			c.provisioner.catalogueReadAt = c.now.Add(catalogueRetryDelay)
			return
		}
		c.provisioner.catalogue, c.provisioner.catalogueReadAt, c.scheduler.dirty = result.Catalogue.Types, c.now, true
	})})
}

// claimProvisionerLeadership tries to become the leader for scaling if there is none. A
// single leader at a time keeps controllers from provisioning twice for the same demand.
func (c *Controller) claimProvisionerLeadership() {
	if c.cache.provisionerIncarnation != 0 {
		c.provisioner.leaderlessSince = 0
		return
	}
	if c.provisioner.leaderlessSince == 0 {
		c.provisioner.leaderlessSince = c.now
	}
	if c.provisioner.writingLeadership || c.membership.leaseID == 0 || !c.membership.livenessRecorded || c.isolated() ||
		!c.ownsTeam(leadershipKey) && c.now.Sub(c.provisioner.leaderlessSince) < leadershipClaimDelay {
		return
	}
	c.provisioner.writingLeadership = true
	claim := c.putChange(record.ProvisionerKey, c.membership.incarnation)
	claim.LeaseID = c.membership.leaseID
	c.commitLeadership(claim, func(result CommitResult) {
		c.provisioner.leaderlessSince = 0
		if result.Outcome == Succeeded {
			c.log.Info("became leader for scaling", "incarnation", c.membership.incarnation, "token", c.cache.token, "revision", result.Revision)
		} else {
			c.refreshCache()
		}
	})
}

// resignProvisionerLeadership leaves scaling to another controller, since a controller that
// reaches no workers cannot decide which machines to terminate. If all controllers are
// isolated, the leader does not resign, as none of the others could decide it either.
func (c *Controller) resignProvisionerLeadership() {
	if c.provisioner.writingLeadership || len(c.ownership.eligible) == 0 || slices.Contains(c.ownership.eligible, c.settings.Label) {
		return
	}
	c.provisioner.writingLeadership = true
	c.log.Info("resigning as leader for scaling", "reason", "no direct heartbeats from workers", "incarnation", c.membership.incarnation, "token", c.cache.token)
	c.commitLeadership(wire.Change{Delete: record.ProvisionerKey}, func(CommitResult) {
		c.refreshCache()
	})
}

// commitLeadership writes a change of the leadership, unless the leadership has changed
// meanwhile.
func (c *Controller) commitLeadership(change wire.Change, then func(CommitResult)) {
	c.commit(PriorityBackground, wire.Transaction{
		If:   []wire.Condition{{Key: record.ProvisionerKey, Version: c.cache.keyVersions[record.ProvisionerKey]}},
		Then: []wire.Change{change},
	}, func(result CommitResult) {
		c.provisioner.writingLeadership = false
		then(result)
	})
}

// listMachines reads the cloud's machine list, applies it and gossips what changed.
func (c *Controller) listMachines() {
	c.provisioner.listInFlight = true
	c.provisioner.nextList = c.now.Add(listInterval)
	requestedAt := c.now
	c.emit(ListMachines{registerCall(c, func(result MachinesResult) {
		c.provisioner.listInFlight = false
		c.metrics.countFailure(result.Outcome, countCloudRefused, countCloudUnanswered)
		if result.Outcome != Succeeded {
			return
		}
		c.provisioner.listsSinceElected++
		c.provisioner.lastListAt = requestedAt
		c.applyMachineList(result.Machines)
		// A list takes a call for every page, and provisioning needs calls as well. A longer
		// list is therefore read less often.
		pages := len(result.Machines) / wire.MaxMachinesPerPage
		c.provisioner.nextList = max(c.provisioner.nextList, c.now.Add(listInterval*time.Duration(pages)))
		c.gossipMachineList(result.Machines)
	})})
}

// gossipMachineList sends peers what has changed in the list, since most of it never changes.
func (c *Controller) gossipMachineList(list []wire.CloudMachine) {
	changed := c.provisioner.takeChanged(list)
	if len(changed) == 0 {
		return
	}
	message := c.newPeerMessage()
	message.CloudMachines = changed
	c.broadcast(message)
}

// takeChanged returns the listed machines whose status differs from the one last gossiped,
// and marks all statuses as gossiped.
func (p *provisioner) takeChanged(list []wire.CloudMachine) []wire.CloudMachine {
	statuses := make(map[wire.MachineID]wire.MachineStatus, len(list))
	var changed []wire.CloudMachine
	for _, listed := range list {
		statuses[listed.ID] = listed.Status
		if p.gossipedStatus[listed.ID] != listed.Status {
			changed = append(changed, listed)
		}
	}
	p.gossipedStatus = statuses
	return changed
}

// applyMachineList applies the cloud's machine list. The list lags behind, so a machine that
// is absent from it may exist nonetheless, and one that it contains may be gone. What the
// machine's worker has reported overrules the list.
func (c *Controller) applyMachineList(list []wire.CloudMachine) {
	for _, listed := range list {
		machine := c.machine(listed.ID)
		if machine.latestHeartbeat == nil {
			machine.addr, machine.machineType, machine.zone, machine.spot = listed.Addr, listed.Type, listed.Zone, listed.Spot
		}
		machine.scaling.lastListedAt = c.now
		machine.scaling.advanceStatus(listed.Status)
		if launched := c.now.Add(-config.Seconds(listed.AgeS)); machine.scaling.launchedAt == 0 || launched < machine.scaling.launchedAt {
			machine.scaling.launchedAt = launched
		}
	}
}
