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

// capacityShortage is an offer that the cloud had no machine for.
type capacityShortage struct {
	until   Time // the offer is not asked for before
	backoff time.Duration
}

// capacityShortages is the shortages by offer. They keep an offer from being asked for over
// and over: cheap offers that are sold out must not hide expensive ones that are not.
type capacityShortages map[capacity.OfferKey]capacityShortage

const (
	capacityBackoff    = 5 * time.Second // doubled with every shortage in a row
	maxCapacityBackoff = 40 * time.Second
)

// note notes a shortage.
func (s capacityShortages) note(key capacity.OfferKey, now Time) {
	shortage := s[key]
	shortage.backoff = min(max(2*shortage.backoff, capacityBackoff), maxCapacityBackoff)
	shortage.until = now.Add(shortage.backoff)
	s[key] = shortage
}

// clear ends a shortage: the cloud had machines.
func (s capacityShortages) clear(key capacity.OfferKey) { delete(s, key) }

// isShort reports whether an offer is not to be asked for now.
func (s capacityShortages) isShort(key capacity.OfferKey, now Time) bool { return now < s[key].until }

// scaleOut provisions machines for the unmet demand and the missing headroom, less what the
// machines that are expected to join will satisfy.
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
	for i, launch := range capacity.Plan(demands, expected, c.offers(), maxTasksPerMachine) {
		if i == maxProvisionCalls {
			break
		}
		c.requestMachines(wire.ProvisionRequest{
			Name:  fmt.Sprintf("%s-%d", c.settings.Label, c.membership.nextSerial()),
			Type:  launch.Offer.Type.Name,
			Zone:  launch.Offer.Zone,
			Spot:  launch.Offer.Spot,
			Count: launch.Count,
		}, maxProvisionTries)
	}
}

// minCoresPerTask keeps the count of tasks that need next to no cores finite.
const minCoresPerTask = 0.01

// demandKey is what demands have in common that are provisioned for together.
type demandKey struct {
	spot       bool
	need       placement.Resources
	oneAtATime bool
}

// demandList is demands in the order in which they were added first. Equal demands are added
// up: each is set against all machines that are expected to join.
type demandList struct {
	demands []capacity.Demand
	index   map[demandKey]int
}

// add adds count tasks of an unmet demand.
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

// scaleOutDemands is the unmet demand that machines are provisioned for. Demand that tolerates
// a wait is not provisioned for as long as all of it can be expected to start in time on the
// machines that there are: a burst then does not provision machines, expensive ones among
// them, that are idle after it. Otherwise as much is provisioned as makes up the difference.
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

// isUrgentDemand reports whether machines are provisioned at once for an unmet demand: it
// tolerates no wait, or has waited for too long and so may be unable to use the machines that
// there are, all of which scaleOutDemands counts otherwise.
func (c *Controller) isUrgentDemand(unmet unmetDemand) bool {
	tolerance, waited := c.waitTolerance(unmet.job), c.pendingFor(unmet.job)
	return unmet.guaranteed || tolerance == 0 || waited > overdueToleranceFactor*tolerance ||
		!hasPlainConstraints(unmet.job) && waited > tolerance
}

// offers is all that the cloud may have in the zones that are not partitioned, less what it
// has been short of lately.
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

// requestMachines has the cloud provision machines. A call without an answer is repeated, up
// to tries calls in all: its name makes that safe, as the cloud provisions nothing twice for
// one name.
func (c *Controller) requestMachines(request wire.ProvisionRequest, tries int) {
	c.provisioner.provisionCallsInFlight++
	c.emit(ProvisionMachines{call(c, func(result ProvisionResult) {
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

// applyProvisioned notes the machines that the cloud provisioned.
func (c *Controller) applyProvisioned(request wire.ProvisionRequest, machines []wire.MachineID) {
	c.metrics.count(countProvisioned, len(machines))
	c.log.Info("machines provisioned", "type", request.Type, "zone", request.Zone, "spot", request.Spot,
		"requested", request.Count, "provisioned", len(machines))
	for _, id := range machines {
		machine := c.machine(id)
		if machine.latestHeartbeat == nil {
			machine.machineType, machine.zone, machine.spot, machine.scaling.status = request.Type, request.Zone, request.Spot, wire.MachineBooting
		}
		machine.scaling.launchedAt, machine.scaling.lastListedAt = c.now, c.now
	}
}
