package controller

import (
	"slices"
	"time"

	"lilacrill/internal/capacity"
	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// provisioner is what this controller knows of the cloud, and what it is doing
// there if it is the buyer.
type provisioner struct {
	catalogue             []wire.MachineType
	catalogueReadAt       Time
	catalogueReadInFlight bool

	unmetDemands    []unmetDemand // tasks without room, as the last plan left them
	missingHeadroom int           // tasks that the spare room falls short of

	writingLeadership      bool
	leaderlessSince        Time // since when nobody is known to buy
	listInFlight           bool
	nextList               Time
	listsSinceElected      int // good lists since this controller became the buyer
	provisionCallsInFlight int
	nextScaleOut           Time
	capacityShortages      map[capacity.Key]capacityShortage
	terminateCallInFlight  bool
	terminateRequested     map[wire.MachineID]bool   // asked to be returned, so not to be kept
	toTerminate            map[wire.MachineID]string // to be written down as going, and why
	partitionedZones       map[string]partition      // zones that seem to be cut off
	priceLimit             float64                   // the price of a core above which machines are left alone; 0: not known
	recordingTerminations  bool                      // the list of them is being written
	nextTerminationRecord  Time
	nextMachineReview      Time
	gossipedStatus         map[wire.MachineID]wire.MachineStatus // as the siblings were told
	provisioningDelays     map[string]provisioningDelay          // by type
	silentTerminations     []Time                                // when machines were given up for their silence
}

func (v *provisioner) init() {
	v.capacityShortages = map[capacity.Key]capacityShortage{}
	v.provisioningDelays = map[string]provisioningDelay{}
	v.toTerminate = map[wire.MachineID]string{}
	v.partitionedZones = map[string]partition{}
	v.terminateRequested = map[wire.MachineID]bool{}
}

const (
	catalogueInterval             = time.Minute
	listInterval                  = 2 * time.Second
	scaleOutInterval              = 300 * time.Millisecond
	machineReviewInterval         = 200 * time.Millisecond
	maxMachineReviewInterval      = 500 * time.Millisecond
	terminationRecordInterval     = 300 * time.Millisecond
	leadershipClaimDelay          = 3 * time.Second
	capacityBackoff               = 5 * time.Second // doubled with every refusal in a row
	maxCapacityBackoff            = 40 * time.Second
	maxProvisionCalls             = 4
	completedTaskFraction         = 0.2 // of the time for a cancellation, that a machine may take to hear of it
	completedTaskFractionIsolated = 0.5 // the same while it may be us who cannot be heard
	probeGracePeriod              = 2 * time.Second
	minPartitionedMachines        = 5 // silent machines that a zone must have for replicas in it to be left alone
	partitionLeases               = 3
	partitionLifetime             = 40 * time.Second // after which a zone is tried again
	silentTerminationWindow       = 10 * time.Second
	minSilentTerminations         = 4 // machines that may be given up in a window, however small the fleet
	criticalTerminationDivisor    = 2 // of that, one half is kept for machines with critical tasks
	silentTerminationDivisor      = 4 // and at least every fourth of those that report
)

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

func (c *Controller) tickCloud() {
	if !c.provisioner.catalogueReadInFlight && (len(c.provisioner.catalogue) == 0 || c.now.Sub(c.provisioner.catalogueReadAt) > catalogueInterval) && c.isDue(c.provisioner.catalogueReadAt) {
		c.readCatalogue()
	}
	if !c.cacheComplete() || !c.storeReachable() {
		return
	}
	if c.cache.provisionerIncarnation != c.membership.incarnation {
		c.provisioner.listsSinceElected = 0
		c.claimProvisionerLeadership()
		return
	}
	if c.isolated() {
		c.resignProvisionerLeadership()
		return
	}
	if c.membership.stale {
		return // another may have bought in our place meanwhile
	}
	if !c.provisioner.listInFlight && c.isDue(c.provisioner.nextList) {
		c.listMachines()
	}
	if c.isDue(c.provisioner.nextMachineReview) {
		c.provisioner.nextMachineReview = c.now.Add(c.stretchPause(machineReviewInterval, maxMachineReviewInterval))
		c.reviewMachines()
	}
	c.recordTerminations()
	c.terminateRecorded()
	c.recordImages()
	if c.isDue(c.provisioner.nextScaleOut) {
		c.provisioner.nextScaleOut = c.now.Add(max(scaleOutInterval, 3*c.passPause()))
		c.scaleOut()
	}
}

func (c *Controller) readCatalogue() {
	c.provisioner.catalogueReadInFlight = true
	c.emit(ReadCatalogue{call(c, func(r CatalogueResult) {
		c.provisioner.catalogueReadInFlight = false
		c.metrics.countFailure(r.Outcome, countCloudRefused, countCloudUnanswered)
		if r.Outcome != Succeeded {
			// An old catalogue still serves; without any, ask again soon.
			c.provisioner.catalogueReadAt = c.now.Add(time.Second)
			return
		}
		c.provisioner.catalogue, c.provisioner.catalogueReadAt, c.scheduler.dirty = r.Catalogue.Types, c.now, true
	})})
}

// claimProvisionerLeadership tries to become the buyer when there is none: one buyer at a time keeps
// controllers from renting twice for the same need.
func (c *Controller) claimProvisionerLeadership() {
	if c.cache.provisionerIncarnation != 0 {
		c.provisioner.leaderlessSince = 0
		return
	}
	if c.provisioner.leaderlessSince == 0 {
		c.provisioner.leaderlessSince = c.now
	}
	if c.provisioner.writingLeadership || c.membership.leaseID == 0 || !c.membership.enrolled || c.isolated() || !c.ownsTeam("buyer") && c.now.Sub(c.provisioner.leaderlessSince) < leadershipClaimDelay {
		return
	}
	c.provisioner.writingLeadership = true
	claim := c.putChange(record.ProvisionerKey, c.membership.incarnation)
	claim.LeaseID = c.membership.leaseID
	c.commit(PriorityBackground, wire.Transaction{
		If:   []wire.Condition{{Key: record.ProvisionerKey, Version: c.cache.keyVersions[record.ProvisionerKey]}},
		Then: []wire.Change{claim},
	}, func(r CommitResult) {
		c.provisioner.writingLeadership = false
		c.provisioner.leaderlessSince = 0
		if r.Outcome == Succeeded {
			c.log.Info("this controller now buys and returns machines")
		} else {
			c.readBarrier(func(bool) {})
		}
	})
}

// resignProvisionerLeadership leaves buying to another controller, as one that reaches no workers
// cannot tell which machines are to be returned. If all are like this, nobody
// can.
func (c *Controller) resignProvisionerLeadership() {
	if c.provisioner.writingLeadership || len(c.membership.eligibleControllers) == 0 || slices.Contains(c.membership.eligibleControllers, c.settings.Label) {
		return
	}
	c.provisioner.writingLeadership = true
	c.log.Info("this controller reaches no workers and leaves buying to another")
	c.commit(PriorityBackground, wire.Transaction{
		If:   []wire.Condition{{Key: record.ProvisionerKey, Version: c.cache.keyVersions[record.ProvisionerKey]}},
		Then: []wire.Change{{Delete: record.ProvisionerKey}},
	}, func(CommitResult) {
		c.provisioner.writingLeadership = false
		c.readBarrier(func(bool) {})
	})
}

func (c *Controller) listMachines() {
	c.provisioner.listInFlight = true
	c.provisioner.nextList = c.now.Add(listInterval)
	c.emit(ListMachines{call(c, func(r MachinesResult) {
		c.provisioner.listInFlight = false
		c.metrics.countFailure(r.Outcome, countCloudRefused, countCloudUnanswered)
		if r.Outcome != Succeeded {
			return
		}
		c.provisioner.listsSinceElected++
		c.applyMachineList(r.Machines)
		// A list of several pages takes as many calls, which hires need as well.
		c.provisioner.nextList = max(c.provisioner.nextList, c.now.Add(listInterval*time.Duration(len(r.Machines)/wire.MaxMachinesPerPage)))
		c.gossipMachineList(r.Machines)
	})})
}

// gossipMachineList passes on what is new in the list: most of it never changes.
func (c *Controller) gossipMachineList(list []wire.CloudMachine) {
	told := make(map[wire.MachineID]wire.MachineStatus, len(list))
	var news []wire.CloudMachine
	for i := range list {
		l := &list[i]
		told[l.ID] = l.Status
		if c.provisioner.gossipedStatus[l.ID] != l.Status {
			news = append(news, *l)
		}
	}
	c.provisioner.gossipedStatus = told
	if len(news) > 0 {
		line := c.newPeerMessage()
		line.CloudMachines = news
		c.broadcast(line)
	}
}

// applyMachineList takes a machine list. It lags, so absence from it proves nothing.
func (c *Controller) applyMachineList(list []wire.CloudMachine) {
	for _, l := range list {
		m := c.machine(l.ID)
		if m.latestHeartbeat == nil {
			m.addr, m.machineType, m.zone, m.spot = l.Addr, l.Type, l.Zone, l.Spot
		}
		m.scaling.lastListedAt = c.now
		m.scaling.status = l.Status
		if born := c.now.Add(-config.Seconds(l.AgeS)); m.scaling.launchedAt == 0 || born < m.scaling.launchedAt {
			m.scaling.launchedAt = born
		}
	}
}
