package controller

import (
	"fmt"
	"math"
	"slices"
	"time"

	"lilacrill/internal/capacity"
	"lilacrill/internal/placement"
	"lilacrill/wire"
)

// capacityShortage is the state of an offer for which the cloud had no machines.
type capacityShortage struct {
	until   Time          // the offer is not requested before this time
	backoff time.Duration // the current or last pause
}

// capacityShortages holds the capacity shortages by offer. An offer is not requested again
// for a while after a shortage, so that cheap offers that are sold out do not keep more
// expensive ones from being requested.
type capacityShortages map[capacity.OfferKey]capacityShortage

const (
	capacityBackoff    = 5 * time.Second // doubled with every consecutive shortage
	maxCapacityBackoff = 40 * time.Second
)

// note records a shortage of an offer. The pause until the offer is requested again is twice
// as long as the last one, up to maxCapacityBackoff.
func (s capacityShortages) note(key capacity.OfferKey, now Time) {
	shortage := s[key]
	shortage.backoff = min(max(2*shortage.backoff, capacityBackoff), maxCapacityBackoff)
	shortage.until = now.Add(shortage.backoff)
	s[key] = shortage
}

// clear ends the shortage of an offer after the cloud provided machines.
func (s capacityShortages) clear(key capacity.OfferKey) { delete(s, key) }

// isShort reports whether an offer is not to be requested yet.
func (s capacityShortages) isShort(key capacity.OfferKey, now Time) bool { return now < s[key].until }

// scaleOut provisions machines for the unmet demand and the missing headroom, as far as the
// machines that are expected to join do not cover them.
func (c *Controller) scaleOut() {
	if c.provisioner.listsSinceElected == 0 || len(c.provisioner.catalogue) == 0 || c.provisioner.provisionCallsInFlight > 0 {
		return
	}
	var expected placement.Fleet
	for _, m := range c.orderedMachines() {
		if c.expectedToJoin(m) {
			offer := capacity.Offer{Type: *c.machineTypeNamed(m.machineType), Zone: m.zone, Spot: m.spot}
			expected = append(expected, offer.NewHost(m.id, maxTasksPerMachine))
		}
	}
	demands := c.scaleOutDemands()
	if c.provisioner.missingHeadroom > 0 {
		for _, demand := range c.headroomDemands() {
			demand.Count = min(demand.Count, c.provisioner.missingHeadroom)
			demands = append(demands, demand)
		}
	}
	for i, entry := range capacity.Plan(demands, expected, c.offers(), maxTasksPerMachine) {
		if i == maxProvisionCalls {
			break
		}
		c.requestMachines(wire.ProvisionRequest{
			Name:  fmt.Sprintf("%s-%d", c.settings.Label, c.membership.nextSerial()),
			Type:  entry.Offer.Type.Name,
			Zone:  entry.Offer.Zone,
			Spot:  entry.Offer.Spot,
			Count: entry.Count,
		}, maxProvisionTries)
	}
}

// minCoresPerTask is the minimum number of cores with which a task is counted. It keeps the
// computed number of tasks finite for tasks that need next to no cores.
const minCoresPerTask = 0.01

// demandKey holds the properties in which demands must agree to be added up.
type demandKey struct {
	spot       bool
	need       placement.Resources
	oneAtATime bool
}

// demandList collects demands in the order in which they were first added. Equal demands are
// added up, since each demand is tried on all machines that are expected to join.
type demandList struct {
	demands []capacity.Demand
	index   map[demandKey]int
}

// add adds count tasks of an unmet demand. Demands with constraints that demandKey does not
// cover are kept separate.
func (l *demandList) add(unmet unmetDemand, count int) {
	request := unmet.job.request
	demand := capacity.Demand{Request: request, Count: count, Zone: unmet.zone}
	if !hasPlainConstraints(unmet.job) || unmet.zone != "" {
		l.demands = append(l.demands, demand)
		return
	}
	key := demandKey{unmet.job.spec.Spot, request.Need, request.OneAtATime}
	if i, known := l.index[key]; known {
		l.demands[i].Count += count
		return
	}
	l.index[key] = len(l.demands)
	l.demands = append(l.demands, demand)
}

// scaleOutDemands returns the unmet demand for which machines are provisioned. Demand that
// tolerates a wait is left out as long as all of it is expected to start in time on the
// existing machines. Otherwise a burst of jobs would provision machines, expensive ones among
// them, that are idle after it. If the existing machines do not suffice, only enough demand
// is included to make up the difference.
func (c *Controller) scaleOutDemands() []capacity.Demand {
	list := &demandList{index: map[demandKey]int{}}
	var tolerant []unmetDemand
	cores, work, missingCores := 0.0, 0.0, 0.0
	for _, unmet := range c.provisioner.unmetDemands {
		if c.isUrgentDemand(unmet) {
			list.add(unmet, unmet.count)
			continue
		}
		if tolerant == nil {
			cores, work = c.finiteWork()
		}
		tolerant = append(tolerant, unmet)
		work += float64(unmet.count) * unmet.job.spec.Cores * (unmet.job.spec.RuntimeS + startOverheadS)
		missingCores = max(missingCores, work/c.remainingTolerance(unmet.job).Seconds()-cores)
	}
	for _, unmet := range tolerant {
		if missingCores <= 0 {
			break
		}
		cores := unmet.job.spec.Cores
		count := min(unmet.count, int(math.Ceil(missingCores/max(cores, minCoresPerTask))))
		missingCores -= float64(count) * cores
		list.add(unmet, count)
	}
	return list.demands
}

// isUrgentDemand reports whether machines are provisioned at once for an unmet demand: it is
// guaranteed, tolerates no wait, or has waited for too long. For other demand,
// scaleOutDemands assumes that the job can use all existing machines. A job that has waited
// for too long may be unable to use them.
func (c *Controller) isUrgentDemand(unmet unmetDemand) bool {
	tolerance, waited := c.waitTolerance(unmet.job), c.pendingFor(unmet.job)
	return unmet.guaranteed || tolerance == 0 || waited > overdueToleranceFactor*tolerance ||
		!hasPlainConstraints(unmet.job) && waited > tolerance
}

// offers returns the offers of the catalogue in the zones of the cluster that are not
// partitioned, without those in a capacity shortage.
func (c *Controller) offers() []capacity.Offer {
	var offers []capacity.Offer
	overdue := c.overdueFractions()
	for _, machineType := range c.provisioner.catalogue {
		for _, zone := range machineType.Zones {
			if !slices.Contains(c.settings.Cluster.Zones, zone) || c.isPartitioned(zone) {
				continue
			}
			for _, spot := range []bool{false, true} {
				offer := capacity.Offer{Type: machineType, Zone: zone, Spot: spot}
				offer.OverdueFraction = overdue[offer.Key()]
				if !c.provisioner.shortages.isShort(offer.Key(), c.now) {
					offers = append(offers, offer)
				}
			}
		}
	}
	return offers
}

// requestMachines requests machines from the cloud. A call without a response is repeated, up
// to tries calls in all. This is safe because the cloud provisions machines only once for a
// request name.
func (c *Controller) requestMachines(request wire.ProvisionRequest, tries int) {
	c.provisioner.provisionCallsInFlight++
	c.emit(ProvisionMachines{registerCall(c, func(result ProvisionResult) {
		c.provisioner.provisionCallsInFlight--
		key := capacity.OfferKey{Type: request.Type, Zone: request.Zone, Spot: request.Spot}
		switch {
		case result.Outcome == Succeeded:
			c.applyProvisioned(request, result.Machines)
			c.provisioner.shortages.clear(key)
			if len(result.Machines) < request.Count {
				c.provisioner.shortages.note(key, c.now)
			}
		case result.Outcome == Unknown && tries > 1:
			c.requestMachines(request, tries-1)
		case result.NoCapacity:
			c.metrics.count(countNoCapacity, 1)
			c.provisioner.shortages.note(key, c.now)
		default:
			c.provisioner.nextScaleOut = c.now.Add(scaleOutRetryDelay)
		}
	}), request})
}

// applyProvisioned records the machines that the cloud provisioned.
func (c *Controller) applyProvisioned(request wire.ProvisionRequest, machines []wire.MachineID) {
	c.metrics.count(countMachinesProvisioned, len(machines))
	c.log.Info("machines provisioned", "type", request.Type, "zone", request.Zone, "spot", request.Spot,
		"requested", request.Count, "provisioned", len(machines))
	for _, id := range machines {
		machine := c.machine(id)
		if machine.latestHeartbeat == nil {
			machine.machineType, machine.zone, machine.spot = request.Type, request.Zone, request.Spot
		}
		machine.scaling.advanceStatus(wire.MachineBooting)
		machine.scaling.launchedAt, machine.scaling.lastListedAt = c.now, c.now
	}
}
