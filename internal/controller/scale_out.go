package controller

import (
	"fmt"
	"math"
	"slices"
	"time"

	"lilacrill/internal/capacity"
	"lilacrill/internal/config"
	"lilacrill/internal/placement"
	"lilacrill/wire"
)

// capacityShortage is an offer that the cloud had no machine for.
type capacityShortage struct {
	until   Time
	backoff time.Duration
}

// noteCapacityShortage keeps an offer from being asked for over and over: cheap offers that
// are sold out must not hide dear ones that are not.
func (c *Controller) noteCapacityShortage(key capacity.Key) {
	r := c.provisioner.capacityShortages[key]
	r.backoff = min(max(2*r.backoff, capacityBackoff), maxCapacityBackoff)
	r.until = c.now.Add(r.backoff)
	c.provisioner.capacityShortages[key] = r
}

// scaleOut rents for what waits and for the spare room.
func (c *Controller) scaleOut() {
	if c.provisioner.listsSinceElected == 0 || len(c.provisioner.catalogue) == 0 || c.provisioner.provisionCallsInFlight > 0 {
		return
	}
	var bootExpected placement.Fleet
	for _, m := range c.orderedMachines() {
		if c.expectedToJoin(m) {
			o := capacity.Offer{Type: *c.machineTypeNamed(m.machineType), Zone: m.zone, Spot: m.spot}
			bootExpected = append(bootExpected, o.Host(m.id, maxTasksPerMachine))
		}
	}
	demands := c.scaleOutDemands()
	if c.provisioner.missingHeadroom > 0 {
		for _, s := range c.headroomDemands() {
			s.Count = min(s.Count, c.provisioner.missingHeadroom)
			demands = append(demands, s)
		}
	}
	for i, p := range capacity.Plan(demands, bootExpected, c.offers(), maxTasksPerMachine) {
		if i == maxProvisionCalls {
			break
		}
		c.requestMachines(wire.ProvisionRequest{
			Name: fmt.Sprintf("%s-%d", c.settings.Label, c.nextSerial()),
			Type: p.Offer.Type.Name, Zone: p.Offer.Zone, Spot: p.Offer.Spot, Count: p.Count,
		}, 3)
	}
}

// scaleOutDemands is what of the backlog more is rented for. Work in no hurry waits for
// room to come free, as long as all of it can be expected to start in time on
// the machines that there are: a burst then does not rent machines, dear ones
// among them, that stand idle after it. Where it cannot, as much is rented as
// makes up the difference.
func (c *Controller) scaleOutDemands() []capacity.Demand {
	var out []capacity.Demand
	// Demands for the same go together: each is set against all that is coming.
	alike := map[rankingKey]int{}
	add := func(d unmetDemand, count int) {
		key := rankingKey{searchKey: searchKey{spot: d.job.spec.Spot}, need: d.job.request.Need, oneAtATime: d.job.request.OneAtATime}
		if k, known := alike[key]; known && hasPlainConstraints(d.job) && d.zone == "" {
			out[k].Count += count
			return
		}
		if hasPlainConstraints(d.job) && d.zone == "" {
			alike[key] = len(out)
		}
		out = append(out, capacity.Demand{Request: d.job.request, Count: count, Zone: d.zone})
	}
	var patient []unmetDemand
	cores, work, lacking := 0.0, 0.0, 0.0
	for _, d := range c.provisioner.unmetDemands {
		patience := c.waitTolerance(d.job)
		if d.guaranteed || patience == 0 || c.pendingFor(d.job) > overdueToleranceFactor*patience || !hasPlainConstraints(d.job) && c.pendingFor(d.job) > patience {
			// What has waited for too long may be unable to use the machines that
			// there are: the reckoning below counts them all.
			add(d, d.count)
			continue
		}
		if patient == nil {
			cores, work = c.finiteWork()
		}
		patient = append(patient, d)
		s := &d.job.spec
		work += float64(d.count) * s.Cores * (s.RuntimeS + startOverheadS)
		left := max(patience-c.pendingFor(d.job), minWaitTolerance).Seconds()
		lacking = max(lacking, work/left-cores)
	}
	for _, d := range patient {
		if lacking <= 0 {
			break
		}
		n := min(d.count, int(math.Ceil(lacking/max(d.job.spec.Cores, 0.01))))
		lacking -= float64(n) * d.job.spec.Cores
		add(d, n)
	}
	return out
}

// updatePriceLimit finds the price of a core up to which machines are needed so that
// work in no hurry can be expected to start in time. Such work then leaves dearer
// ones alone, unless replicas keep them anyway, so that they come to be idle and
// are returned, while it waits a little longer.
func (c *Controller) updatePriceLimit(queue []pendingJob) {
	_, work := c.finiteWork()
	need, any := 0.0, false
	for i := range queue {
		w := &queue[i]
		s := &w.job.spec
		if s.Shape == wire.ShapeService {
			continue
		}
		work += float64(w.missing.Len()) * s.Cores * (s.RuntimeS + startOverheadS)
		patience := c.waitTolerance(w.job)
		if w.guaranteed || patience == 0 {
			patience = 0
		} else {
			any = true
		}
		need = max(need, capacityMargin*work/max(patience-c.pendingFor(w.job), minWaitTolerance).Seconds())
	}
	c.provisioner.priceLimit = math.Inf(1)
	if !any {
		return
	}
	byPrice := map[float64]float64{}
	for _, m := range c.orderedMachines() {
		t := c.machineTypeNamed(m.machineType)
		if t == nil || !c.acceptsTasks(m) {
			continue
		}
		cores := t.Cores
		for _, e := range m.allocations {
			if e.Shape == wire.ShapeService {
				cores -= e.Cores * float64(e.Tasks.Len())
			}
		}
		byPrice[pricePerCore(t, m.spot)] += cores
	}
	for _, price := range sortedKeys(byPrice) {
		if need -= byPrice[price]; need <= 0 {
			c.provisioner.priceLimit = price
			return
		}
	}
}

func pricePerCore(t *wire.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice / max(t.Cores, 1)
	}
	return t.OnDemandPrice / max(t.Cores, 1)
}

// abovePriceLimit reports whether a machine is one that work in no hurry leaves alone.
func (c *Controller) abovePriceLimit(m *machine) bool {
	t := c.machineTypeNamed(m.machineType)
	return t != nil && c.provisioner.priceLimit > 0 && pricePerCore(t, m.spot) > c.provisioner.priceLimit*(1+1e-9) && !c.hasCriticalTasks(m)
}

// avoidsExpensive reports whether a job leaves machines above the price limit alone.
func (c *Controller) avoidsExpensive(pending *pendingJob) bool {
	return !pending.guaranteed && !math.IsInf(c.provisioner.priceLimit, 1) && c.waitTolerance(pending.job) > 0
}

// capacityMargin is how much more than the work that is known of the machines that
// are not too dear should be able to do.
const capacityMargin = 1.25

// finiteWork is the cores that work which ends has at its disposal, and how many
// core-seconds of it they are still at.
func (c *Controller) finiteWork() (cores, work float64) {
	for _, m := range c.orderedMachines() {
		t := c.machineTypeNamed(m.machineType)
		if t == nil || !c.acceptsTasks(m) {
			continue // what is coming is set against what is rented
		}
		cores += t.Cores
		for _, e := range m.allocations {
			n := e.Cores * float64(e.Tasks.Len())
			if e.Shape == wire.ShapeService {
				cores -= n
			} else if j := c.cache.jobs[e.Job]; j != nil {
				work += n * j.spec.RuntimeS / 2
			}
		}
	}
	return cores, work
}

// waitTolerance is how long after its submission a job's tasks may be left waiting:
// a part of what the objectives leave.
func (c *Controller) waitTolerance(j *job) time.Duration {
	if j.spec.Priority.Level() <= wire.PriorityHigh.Level() {
		return 0
	}
	left := math.Inf(1)
	if j.spec.DeadlineS > 0 {
		// Estimates are often wrong by half or more.
		left = (j.spec.DeadlineS - 2*j.spec.RuntimeS) * deadlineWaitFraction / waitToleranceFraction
	}
	for _, o := range c.settings.Cluster.Objectives {
		if o.Class != j.spec.Class {
			continue
		}
		switch o.Kind {
		case objectiveWait:
			left = min(left, o.WithinS)
		case objectiveFinished:
			left = min(left, o.WithinS-2*j.spec.RuntimeS)
		}
	}
	if math.IsInf(left, 1) {
		// Nobody stated a time. It is to begin soon, and to be done in some
		// proportion to its length, but machines are not rented for it as if it
		// were urgent.
		if !j.started && c.pendingFor(j) > noObjectiveFirstStart {
			return 0
		}
		left = noObjectiveRuntimes*j.spec.RuntimeS + noObjectiveMinS
	}
	return config.Seconds(max(0, waitToleranceFraction*left))
}

const (
	// waitToleranceFraction is the part of the time an objective leaves, and deadlineWaitFraction of the
	// time before a deadline, that may be spent waiting.
	waitToleranceFraction  = 0.4
	deadlineWaitFraction   = 0.15
	minWaitTolerance       = 15 * time.Second
	overdueToleranceFactor = 2
	// noObjectiveRuntimes times its length, and noObjectiveMinS seconds, is what work without
	// any objective or deadline may take; noObjectiveFirstStart is how long it waits for its
	// first start before machines are rented for it at once.
	noObjectiveRuntimes   = 4
	noObjectiveMinS       = 240.0
	noObjectiveFirstStart = 60 * time.Second
	startOverheadS        = 5.0 // seconds that a task takes beside its run time
)

// offers is all the cloud may have, less what it refused lately.
func (c *Controller) offers() []capacity.Offer {
	var out []capacity.Offer
	doubts := c.overdueFractions()
	for _, t := range c.provisioner.catalogue {
		for _, zone := range t.Zones {
			if !slices.Contains(c.settings.Cluster.Zones, zone) || c.isPartitioned(zone) {
				continue
			}
			for _, spot := range []bool{false, true} {
				o := capacity.Offer{Type: t, Zone: zone, Spot: spot}
				o.OverdueFraction = doubts[o.Key()]
				if c.isDue(c.provisioner.capacityShortages[o.Key()].until) {
					out = append(out, o)
				}
			}
		}
	}
	return out
}

func (c *Controller) requestMachines(h wire.ProvisionRequest, tries int) {
	c.provisioner.provisionCallsInFlight++
	c.emit(ProvisionMachines{call(c, func(r ProvisionResult) {
		c.provisioner.provisionCallsInFlight--
		key := capacity.Key{Type: h.Type, Zone: h.Zone, Spot: h.Spot}
		switch {
		case r.Outcome == Succeeded:
			c.metrics.count(countProvisioned, len(r.Machines))
			c.log.Info("machines rented", "type", h.Type, "zone", h.Zone, "spot", h.Spot, "asked", h.Count, "got", len(r.Machines))
			for _, id := range r.Machines {
				m := c.machine(id)
				if m.latestHeartbeat == nil {
					m.machineType, m.zone, m.spot, m.scaling.status = h.Type, h.Zone, h.Spot, wire.MachineBooting
				}
				m.scaling.launchedAt, m.scaling.lastListedAt = c.now, c.now
			}
			delete(c.provisioner.capacityShortages, key)
			if len(r.Machines) < h.Count {
				c.noteCapacityShortage(key)
			}
		case r.Outcome == Unknown && tries > 1:
			// The name makes the repeat safe: it rents nothing twice.
			c.requestMachines(h, tries-1)
		case r.NoCapacity:
			c.metrics.count(countNoCapacity, 1)
			c.noteCapacityShortage(key)
		default:
			c.provisioner.nextScaleOut = c.now.Add(time.Second)
		}
	}), h})
}
