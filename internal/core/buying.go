package core

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

// refusal is an offer that the cloud had no machine for.
type refusal struct {
	until Time
	pause time.Duration
}

// refuseOffer keeps an offer from being asked for over and over: cheap offers that
// are sold out must not hide dear ones that are not.
func (c *Core) refuseOffer(key capacity.Key) {
	r := c.refused[key]
	r.pause = min(max(2*r.pause, refusalPause), refusalMost)
	r.until = c.now.Add(r.pause)
	c.refused[key] = r
}

// demand is a number of a job's tasks without room.
type demand struct {
	job      *job
	count    int
	promised bool
	zone     string // where they must be, or ""
}

// buy rents for what waits and for the spare room.
func (c *Core) buy() {
	if c.lists == 0 || len(c.catalogue) == 0 || c.hiring > 0 {
		return
	}
	var bootExpected placement.Fleet
	for _, m := range c.inOrder() {
		if c.bootExpected(m) {
			o := capacity.Offer{Type: *c.kind(m.kind), Zone: m.zone, Spot: m.spot}
			bootExpected = append(bootExpected, o.Host(m.id, maxPerHost))
		}
	}
	demands := c.demands()
	if c.lacking > 0 {
		for _, s := range c.spares() {
			s.Count = min(s.Count, c.lacking)
			demands = append(demands, s)
		}
	}
	for i, p := range capacity.Plan(demands, bootExpected, c.offers(), maxPerHost) {
		if i == hiresAtOnce {
			break
		}
		c.hire(wire.ProvisionRequest{
			Name: fmt.Sprintf("%s-%d", c.settings.Label, c.serial()),
			Type: p.Offer.Type.Name, Zone: p.Offer.Zone, Spot: p.Offer.Spot, Count: p.Number,
		}, 3)
	}
}

// demands is what of the backlog more is rented for. Work in no hurry waits for
// room to come free, as long as all of it can be expected to start in time on
// the machines that there are: a burst then does not rent machines, dear ones
// among them, that stand idle after it. Where it cannot, as much is rented as
// makes up the difference.
func (c *Core) demands() []capacity.Demand {
	var out []capacity.Demand
	// Demands for the same go together: each is set against all that is coming.
	alike := map[like]int{}
	add := func(d demand, count int) {
		key := like{search: search{spot: d.job.spec.Spot}, need: d.job.req.Need, single: d.job.req.Single}
		if k, known := alike[key]; known && plain(d.job) && d.zone == "" {
			out[k].Count += count
			return
		}
		if plain(d.job) && d.zone == "" {
			alike[key] = len(out)
		}
		out = append(out, capacity.Demand{Request: d.job.req, Count: count, Zone: d.zone})
	}
	var patient []demand
	cores, work, lacking := 0.0, 0.0, 0.0
	for _, d := range c.backlog {
		patience := c.patience(d.job)
		if d.promised || patience == 0 || c.waited(d.job) > pastPatience*patience || !plain(d.job) && c.waited(d.job) > patience {
			// What has waited for too long may be unable to use the machines that
			// there are: the reckoning below counts them all.
			add(d, d.count)
			continue
		}
		if patient == nil {
			cores, work = c.underWay()
		}
		patient = append(patient, d)
		s := &d.job.spec
		work += float64(d.count) * s.Cores * (s.RuntimeS + startSlack)
		left := max(patience-c.waited(d.job), leastPatience).Seconds()
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

// spareDear finds the price of a core up to which machines are needed so that
// work in no hurry can be expected to start in time. Such work then leaves dearer
// ones alone, unless replicas keep them anyway, so that they come to be idle and
// are returned, while it waits a little longer.
func (c *Core) spareDear(queue []waiting) {
	_, work := c.underWay()
	need, any := 0.0, false
	for i := range queue {
		w := &queue[i]
		s := &w.job.spec
		if s.Shape == wire.ShapeService {
			continue
		}
		work += float64(w.missing.Len()) * s.Cores * (s.RuntimeS + startSlack)
		patience := c.patience(w.job)
		if w.promised || patience == 0 {
			patience = 0
		} else {
			any = true
		}
		need = max(need, dearMargin*work/max(patience-c.waited(w.job), leastPatience).Seconds())
	}
	c.dearest = math.Inf(1)
	if !any {
		return
	}
	byPrice := map[float64]float64{}
	for _, m := range c.inOrder() {
		t := c.kind(m.kind)
		if t == nil || !c.usable(m) {
			continue
		}
		cores := t.Cores
		for _, e := range m.entries {
			if e.Shape == wire.ShapeService {
				cores -= e.Cores * float64(e.Tasks.Len())
			}
		}
		byPrice[corePrice(t, m.spot)] += cores
	}
	for _, price := range sortedKeys(byPrice) {
		if need -= byPrice[price]; need <= 0 {
			c.dearest = price
			return
		}
	}
}

func corePrice(t *wire.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice / max(t.Cores, 1)
	}
	return t.OnDemandPrice / max(t.Cores, 1)
}

// tooDear reports whether a machine is one that work in no hurry leaves alone.
func (c *Core) tooDear(m *machine) bool {
	t := c.kind(m.kind)
	return t != nil && c.dearest > 0 && corePrice(t, m.spot) > c.dearest*(1+1e-9) && !c.hasCriticalTasks(m)
}

// dearMargin is how much more than the work that is known of the machines that
// are not too dear should be able to do.
const dearMargin = 1.25

// underWay is the cores that work which ends has at its disposal, and how many
// core-seconds of it they are still at.
func (c *Core) underWay() (cores, work float64) {
	for _, m := range c.inOrder() {
		t := c.kind(m.kind)
		if t == nil || !c.usable(m) {
			continue // what is coming is set against what is rented
		}
		cores += t.Cores
		for _, e := range m.entries {
			n := e.Cores * float64(e.Tasks.Len())
			if e.Shape == wire.ShapeService {
				cores -= n
			} else if j := c.jobs[e.Job]; j != nil {
				work += n * j.spec.RuntimeS / 2
			}
		}
	}
	return cores, work
}

// patience is how long after its submission a job's tasks may be left waiting:
// a part of what the objectives leave.
func (c *Core) patience(j *job) time.Duration {
	if j.spec.Priority.Level() <= wire.PriorityHigh.Level() {
		return 0
	}
	left := math.Inf(1)
	if j.spec.DeadlineS > 0 {
		// Estimates are often wrong by half or more.
		left = (j.spec.DeadlineS - 2*j.spec.RuntimeS) * duePart / patientPart
	}
	for _, o := range c.settings.Cluster.Objectives {
		if o.Class != j.spec.Class {
			continue
		}
		switch o.Kind {
		case "wait":
			left = min(left, o.WithinS)
		case "finished":
			left = min(left, o.WithinS-2*j.spec.RuntimeS)
		}
	}
	if math.IsInf(left, 1) {
		// Nobody stated a time. It is to begin soon, and to be done in some
		// proportion to its length, but machines are not rented for it as if it
		// were urgent.
		if !j.started && c.waited(j) > beginSoon {
			return 0
		}
		left = unaimedRuns*j.spec.RuntimeS + unaimedLeast
	}
	return config.Seconds(max(0, patientPart*left))
}

const (
	// patientPart is the part of the time an objective leaves, and duePart of the
	// time before a deadline, that may be spent waiting.
	patientPart   = 0.4
	duePart       = 0.15
	leastPatience = 15 * time.Second
	pastPatience  = 2
	// unaimedRuns times its length, and unaimedLeast seconds, is what work without
	// any objective or deadline may take; beginSoon is how long it waits for its
	// first start before machines are rented for it at once.
	unaimedRuns  = 4
	unaimedLeast = 240.0
	beginSoon    = 60 * time.Second
	startSlack   = 5.0 // seconds that a task takes beside its run time
)

// offers is all the cloud may have, less what it refused lately.
func (c *Core) offers() []capacity.Offer {
	var out []capacity.Offer
	doubts := c.doubts()
	for _, t := range c.catalogue {
		for _, zone := range t.Zones {
			if !slices.Contains(c.settings.Cluster.Zones, zone) || c.isCut(zone) {
				continue
			}
			for _, spot := range []bool{false, true} {
				o := capacity.Offer{Type: t, Zone: zone, Spot: spot}
				o.Doubt = doubts[o.Key()]
				if c.after(c.refused[o.Key()].until) {
					out = append(out, o)
				}
			}
		}
	}
	return out
}

func (c *Core) hire(h wire.ProvisionRequest, tries int) {
	c.hiring++
	c.do(HireMachines{call(c, func(r Hired) {
		c.hiring--
		key := capacity.Key{Type: h.Type, Zone: h.Zone, Spot: h.Spot}
		switch {
		case r.Outcome == Done:
			c.count(countHired, len(r.Names))
			c.log.Info("machines rented", "type", h.Type, "zone", h.Zone, "spot", h.Spot, "asked", h.Count, "got", len(r.Names))
			for _, id := range r.Names {
				m := c.machineOf(id)
				if m.newest == nil {
					m.kind, m.zone, m.spot, m.status = h.Type, h.Zone, h.Spot, wire.MachineBooting
				}
				m.born, m.listed = c.now, c.now
			}
			delete(c.refused, key)
			if len(r.Names) < h.Count {
				c.refuseOffer(key)
			}
		case r.Outcome == Unknown && tries > 1:
			// The name makes the repeat safe: it rents nothing twice.
			c.hire(h, tries-1)
		case r.Refused:
			c.count(countNoCapacity, 1)
			c.refuseOffer(key)
		default:
			c.nextBuy = c.now.Add(time.Second)
		}
	}), h})
}
