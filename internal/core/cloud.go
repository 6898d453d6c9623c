package core

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"lilacrill/internal/capacity"
	"lilacrill/internal/config"
	"lilacrill/internal/placement"
	"lilacrill/wire"
)

// cloudView is what this controller knows of the cloud, and what it is doing
// there if it is the buyer.
type cloudView struct {
	catalogue   []wire.MachineType
	catalogueAt Time
	cataloguing bool

	backlog []demand // tasks without room, as the last plan left them
	lacking int      // tasks that the spare room falls short of

	claiming  bool
	vacant    Time // since when nobody is known to buy
	listing   bool
	nextList  Time
	lists     int // good lists since this controller became the buyer
	hiring    int
	nextBuy   Time
	refused   map[capacity.Key]refusal
	returning bool
	returned  map[wire.MachineID]bool   // asked to be returned, so not to be kept
	dooming   map[wire.MachineID]string // to be written down as going, and why
	cutZones  map[string]cut            // zones that seem to be cut off
	dearest   float64                   // the price of a core above which machines are left alone; 0: not known
	doomCall  bool                      // the list of them is being written
	nextDoom  Time
	nextSpoil Time
	toldCloud map[wire.MachineID]wire.MachineStatus // as the siblings were told
	boots     map[string]boots                      // by type
	silentAt  []Time                                // when machines were given up for their silence
}

// cut is a zone that seems to be cut off.
type cut struct {
	since  Time // when it last seemed so
	silent int  // machines in it that were silent then
}

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

func (v *cloudView) init() {
	v.refused = map[capacity.Key]refusal{}
	v.boots = map[string]boots{}
	v.dooming = map[wire.MachineID]string{}
	v.cutZones = map[string]cut{}
	v.returned = map[wire.MachineID]bool{}
}

const (
	catalogueEvery = time.Minute
	listEvery      = 2 * time.Second
	buyEvery       = 300 * time.Millisecond
	spoilEvery     = 200 * time.Millisecond
	doomEvery      = 300 * time.Millisecond
	claimPatience  = 3 * time.Second
	refusalPause   = 5 * time.Second // doubled with every refusal in a row
	refusalMost    = 40 * time.Second
	hiresAtOnce    = 4
	overPart       = 0.2 // of the time for a cancellation, that a machine may take to hear of it
	overPartCut    = 0.5 // the same while it may be us who cannot be heard
	askedBySome    = 2 * time.Second
	cutLeast       = 5 // silent machines that a zone must have for replicas in it to be left alone
	cutLeases      = 3
	cutFor         = 40 * time.Second // after which a zone is tried again
	silentWindow   = 10 * time.Second
	silentLeast    = 4 // machines that may be given up in a window, however small the fleet
	silentPart     = 4 // and at least every fourth of those that report
)

// whyIdle is why machines are returned that nothing stands on.
const whyIdle = "idle"

func (c *Core) kind(name string) *wire.MachineType {
	for i := range c.catalogue {
		if c.catalogue[i].Name == name {
			return &c.catalogue[i]
		}
	}
	return nil
}

func (c *Core) tickCloud() {
	if !c.cataloguing && (len(c.catalogue) == 0 || c.now.Sub(c.catalogueAt) > catalogueEvery) && c.after(c.catalogueAt) {
		c.readCatalogue()
	}
	if !c.whole() || !c.stateFresh() {
		return
	}
	if c.buyer != c.boot {
		c.lists = 0
		c.claim()
		return
	}
	if c.deaf() {
		c.resign()
		return
	}
	if c.behind {
		return // another may have bought in our place meanwhile
	}
	if !c.listing && c.after(c.nextList) {
		c.list()
	}
	if c.after(c.nextSpoil) {
		c.nextSpoil = c.now.Add(spoilEvery)
		c.spoil()
	}
	c.writeDoom()
	c.giveBack()
	c.noteImages()
	if c.after(c.nextBuy) {
		c.nextBuy = c.now.Add(buyEvery)
		c.buy()
	}
}

func (c *Core) readCatalogue() {
	c.cataloguing = true
	c.do(ReadCatalogue{call(c, func(r CatalogueRead) {
		c.cataloguing = false
		c.outcome(r.Outcome, countCloudNot, countCloudLost)
		if r.Outcome != Done {
			// An old catalogue still serves; without any, ask again soon.
			c.catalogueAt = c.now.Add(time.Second)
			return
		}
		c.catalogue, c.catalogueAt, c.dirty = r.Catalogue.Types, c.now, true
	})})
}

// claim tries to become the buyer when there is none: one buyer at a time keeps
// controllers from renting twice for the same need.
func (c *Core) claim() {
	if c.buyer != 0 {
		c.vacant = 0
		return
	}
	if c.vacant == 0 {
		c.vacant = c.now
	}
	if c.claiming || c.permit == 0 || !c.enrolled || c.deaf() || !c.mine("buyer") && c.now.Sub(c.vacant) < claimPatience {
		return
	}
	c.claiming = true
	claim := put(buyerKey, c.boot)
	claim.Permit = c.permit
	c.commit(ClassRest, wire.Transaction{
		If:   []wire.Condition{{Key: buyerKey, Stamp: c.ver[buyerKey]}},
		Then: []wire.Change{claim},
	}, func(r Committed) {
		c.claiming = false
		c.vacant = 0
		if r.Outcome == Done {
			c.log.Info("this controller now buys and returns machines")
		} else {
			c.barrier(func(bool) {})
		}
	})
}

// resign leaves buying to another controller, as one that reaches no workers
// cannot tell which machines are to be returned. If all are like this, nobody
// can.
func (c *Core) resign() {
	if c.claiming || len(c.labels) == 0 || slices.Contains(c.labels, c.set.Label) {
		return
	}
	c.claiming = true
	c.log.Info("this controller reaches no workers and leaves buying to another")
	c.commit(ClassRest, wire.Transaction{
		If:   []wire.Condition{{Key: buyerKey, Stamp: c.ver[buyerKey]}},
		Then: []wire.Change{{Drop: buyerKey}},
	}, func(Committed) {
		c.claiming = false
		c.barrier(func(bool) {})
	})
}

func (c *Core) list() {
	c.listing = true
	c.nextList = c.now.Add(listEvery)
	c.do(ListMachines{call(c, func(r Listed) {
		c.listing = false
		c.outcome(r.Outcome, countCloudNot, countCloudLost)
		if r.Outcome != Done {
			return
		}
		c.lists++
		c.listed(r.Machines)
		// A list of several pages takes as many calls, which hires need as well.
		c.nextList = max(c.nextList, c.now.Add(listEvery*time.Duration(len(r.Machines)/wire.MaxList)))
		c.tellList(r.Machines)
	})})
}

// tellList passes on what is new in the list: most of it never changes.
func (c *Core) tellList(list []wire.ListedMachine) {
	told := make(map[wire.MachineID]wire.MachineStatus, len(list))
	var news []wire.ListedMachine
	for i := range list {
		l := &list[i]
		told[l.ID] = l.Status
		if c.toldCloud[l.ID] != l.Status {
			news = append(news, *l)
		}
	}
	c.toldCloud = told
	if len(news) > 0 {
		c.do(Tell{&wire.PeerLine{From: c.set.Label, Cloud: news}})
	}
}

// listed takes a machine list. It lags, so absence from it proves nothing.
func (c *Core) listed(list []wire.ListedMachine) {
	for _, l := range list {
		m := c.machineOf(l.ID)
		if m.newest == nil {
			m.addr, m.kind, m.zone, m.spot = l.Addr, l.Type, l.Zone, l.Spot
		}
		m.listed = c.now
		m.status = l.Status
		if born := c.now.Add(-config.Seconds(l.HeldS)); m.born == 0 || born < m.born {
			m.born = born
		}
	}
}

// reserve keeps room free for tasks that must start at once, before less urgent
// ones are placed.
func (c *Core) reserve(fleet placement.Fleet) {
	for _, m := range c.machines {
		m.reserved = false
	}
	c.lacking = 0
	for _, s := range c.spares() {
		left := s.Count
		for _, ch := range fleet.Choose(s.Request, s.Count, "", placement.Options{
			Relax: true,
		}) {
			left -= ch.Count
			c.machines[ch.Machine].reserved = true
		}
		c.lacking += left
	}
}

// spares is the room to be kept free: for every class that is promised a short
// wait, for some part of the tasks it has now.
func (c *Core) spares() []capacity.Demand {
	type seen struct {
		spec  *wire.JobSpec
		tasks int
	}
	// By class and image: room on a machine that must fetch the image first
	// would not do.
	type key struct{ class, image string }
	classes := map[key]*seen{}
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		if j.strikes > 0 {
			continue
		}
		k := key{j.spec.Class, j.spec.Image}
		s := classes[k]
		if s == nil {
			s = &seen{}
			classes[k] = s
		}
		s.spec = &j.spec
		s.tasks += j.spec.Tasks - j.done.Len()
	}
	promised := map[string]bool{}
	for _, o := range c.set.Cluster.Objectives {
		if o.Kind == "wait" {
			promised[o.Class] = true
		}
	}
	keys := slices.SortedFunc(maps.Keys(classes), func(a, b key) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.image, b.image))
	})
	var out []capacity.Demand
	for _, k := range keys {
		s := classes[k]
		// Work that is not critical has its room made by stopping others.
		if !promised[k.class] || s.spec.Rank != wire.RankCritical {
			continue
		}
		spec := *s.spec
		spec.ID, spec.Zone, spec.Apart, spec.Together, spec.Shape = "", "", false, false, wire.ShapeArray
		out = append(out, capacity.Demand{Request: placement.NewRequest(&spec),
			Count: c.chosen.SpareLeast + int(math.Ceil(c.chosen.SpareShare*float64(s.tasks)))})
	}
	return out
}

// buy rents for what waits and for the spare room.
func (c *Core) buy() {
	if c.lists == 0 || len(c.catalogue) == 0 || c.hiring > 0 {
		return
	}
	var coming placement.Fleet
	for _, id := range c.inOrder() {
		if m := c.machines[id]; c.coming(m) {
			o := capacity.Offer{Type: *c.kind(m.kind), Zone: m.zone, Spot: m.spot}
			coming = append(coming, o.Host(m.id, maxPerHost))
		}
	}
	demands := c.demands()
	if c.lacking > 0 {
		for _, s := range c.spares() {
			s.Count = min(s.Count, c.lacking)
			demands = append(demands, s)
		}
	}
	for i, p := range capacity.Plan(demands, coming, c.offers(), maxPerHost) {
		if i == hiresAtOnce {
			break
		}
		c.hire(wire.Hire{
			Name: fmt.Sprintf("%s-%d", c.set.Label, c.serial()),
			Type: p.Offer.Type.Name, Zone: p.Offer.Zone, Spot: p.Offer.Spot, Number: p.Number,
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
	var patient []demand
	cores, work, lacking := 0.0, 0.0, 0.0
	for _, d := range c.backlog {
		patience := c.patience(d.job)
		if d.promised || patience == 0 {
			out = append(out, capacity.Demand{Request: d.job.req, Count: d.count, Zone: d.zone})
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
		out = append(out, capacity.Demand{Request: d.job.req, Count: n, Zone: d.zone})
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
	for _, id := range c.inOrder() {
		m := c.machines[id]
		t := c.kind(m.kind)
		if t == nil || !c.usable(m) {
			continue
		}
		cores := t.Cores
		for _, e := range c.onMachine[id] {
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
		return t.MarketPrice / max(t.Cores, 1)
	}
	return t.Rate / max(t.Cores, 1)
}

// tooDear reports whether a machine is one that work in no hurry leaves alone.
func (c *Core) tooDear(m *machine) bool {
	t := c.kind(m.kind)
	return t != nil && c.dearest > 0 && corePrice(t, m.spot) > c.dearest*(1+1e-9) && !c.pressing(m)
}

// dearMargin is how much more than the work that is known of the machines that
// are not too dear should be able to do.
const dearMargin = 1.25

// underWay is the cores that work which ends has at its disposal, and how many
// core-seconds of it they are still at.
func (c *Core) underWay() (cores, work float64) {
	for _, id := range c.inOrder() {
		m := c.machines[id]
		t := c.kind(m.kind)
		if t == nil || !c.usable(m) {
			continue // what is coming is set against what is rented
		}
		cores += t.Cores
		for _, e := range c.onMachine[id] {
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
	if j.spec.Rank.Order() <= wire.RankHigh.Order() {
		return 0
	}
	left := math.Inf(1)
	if j.spec.DueS > 0 {
		// Estimates are often wrong by half or more.
		left = (j.spec.DueS - 2*j.spec.RuntimeS) * duePart / patientPart
	}
	for _, o := range c.set.Cluster.Objectives {
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
		return 0
	}
	return config.Seconds(max(0, patientPart*left))
}

const (
	// patientPart is the part of the time an objective leaves, and duePart of the
	// time before a deadline, that may be spent waiting.
	patientPart   = 0.4
	duePart       = 0.15
	leastPatience = 15 * time.Second
	startSlack    = 5.0 // seconds that a task takes beside its run time
)

// offers is all the cloud may have, less what it refused lately.
func (c *Core) offers() []capacity.Offer {
	var out []capacity.Offer
	doubts := c.doubts()
	for _, t := range c.catalogue {
		for _, zone := range t.Zones {
			if !slices.Contains(c.set.Cluster.Zones, zone) || c.isCut(zone) {
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

func (c *Core) hire(h wire.Hire, tries int) {
	c.hiring++
	c.do(HireMachines{call(c, func(r Hired) {
		c.hiring--
		key := capacity.Key{Type: h.Type, Zone: h.Zone, Spot: h.Spot}
		switch {
		case r.Outcome == Done:
			c.count(countHired, len(r.Names))
			c.log.Info("machines rented", "type", h.Type, "zone", h.Zone, "spot", h.Spot, "asked", h.Number, "got", len(r.Names))
			for _, id := range r.Names {
				m := c.machineOf(id)
				if m.newest == nil {
					m.kind, m.zone, m.spot, m.status = h.Type, h.Zone, h.Spot, wire.MachineBooting
				}
				m.born, m.listed = c.now, c.now
			}
			delete(c.refused, key)
			if len(r.Names) < h.Number {
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

// spoil finds machines that should go: dead, silent, never up, or idle.
func (c *Core) spoil() {
	for id := range c.onMachine {
		c.machineOf(id) // one that neither reports nor is listed is silent too
	}
	silence, idle := config.Seconds(c.chosen.SilenceS), config.Seconds(c.chosen.IdleS)
	silent, reporting := 0, 0
	bySilent, byHeard, lastHeard := map[string]int{}, map[string]int{}, map[string]Time{}
	for id, m := range c.machines {
		// What we return ourselves falls silent, which says nothing about us.
		if _, going := c.dooms[id]; m.newest != nil && !m.left() && !going {
			reporting++
			lastHeard[m.zone] = max(lastHeard[m.zone], m.heard)
			// Reports may be further apart than that: only what was asked and did
			// not answer is silent, or should have been asked by somebody long ago. Where all that had no reason to report counted, a
			// zone that was cut off was never seen to be, and with one sibling out of
			// hearing no machine was given up.
			switch quiet := c.now.Sub(c.lastSign(m)); {
			case quiet <= silence/2:
				byHeard[m.zone]++
			case m.shows > 0 || quiet > c.silentAsk(m)+askedBySome:
				bySilent[m.zone]++
				silent++
			}
		}
	}
	for zone, n := range bySilent {
		// Nearly all of a zone at once, while others are heard: it is cut off. Seen
		// before the first of them would be given up.
		if n > 2 && n > 3*byHeard[zone] && 2*silent < reporting {
			c.cutZones[zone] = cut{c.now, n}
		}
	}
	for zone, seen := range c.cutZones {
		if c.now.Sub(seen.since) > cutFor || lastHeard[zone] > seen.since.Add(silence) {
			delete(c.cutZones, zone)
		}
	}
	// Many silent at once, and no sibling that hears them: it may be us who is
	// cut off.
	cutOff := silent > 2 && 2*silent > reporting && !c.siblingsWell() ||
		c.inDoubt() && (silent < reporting || !c.siblingsWell())
	for _, id := range c.inOrder() {
		m := c.machines[id]
		if _, going := c.dooms[id]; m.gone || m.left() && len(c.onMachine[id]) == 0 || c.dooming[id] != "" || going {
			continue
		}
		quiet := c.now.Sub(c.lastSign(m))
		if !slices.ContainsFunc(c.onMachine[id], func(e *Entry) bool { return c.jobs[e.Job] == nil }) {
			m.overSince = 0
		} else if m.overSince == 0 {
			m.overSince = c.now
		}
		busy := len(c.onMachine[id]) > 0
		if busy || m.reserved || m.newest == nil {
			m.idleSince = 0
		} else if m.idleSince == 0 {
			m.idleSince = c.now
		}
		switch {
		case m.status == wire.MachineFailed:
			c.toDoom(m, "failed")
		case m.newest == nil && m.status != wire.MachineRunning && !busy:
			if c.neverCame(m) {
				c.toDoom(m, "never came up")
			}
		case m.overSince != 0 && c.now.Sub(m.overSince) > c.overPatience(cutOff) && m.unanswered >= deafCalls:
			// Tasks of jobs that are over must be gone in time, and it cannot be
			// told: whatever the bounds, it goes.
			c.toDoom(m, "holds ended work")
		case quiet > c.lenience(m, silence) && (m.shows >= 2 || m.addr == "") && !cutOff && (busy || c.now.Sub(m.listed) < forgetAfter):
			if c.mayGiveUp(reporting) {
				c.toDoom(m, "silent")
			}
		case m.deaf() && m.heard > m.deafSince && !c.unheard && !cutOff &&
			c.now.Sub(m.deafSince) > config.Seconds(c.set.Cluster.Workers.LeaseS/2):
			// Its reports come, but it hears nothing: its lease runs out unseen. One
			// whose reports do not come either is silent, and may be in a zone that is
			// cut off: once all machines of such a zone went this way.
			if c.mayGiveUp(reporting) {
				c.toDoom(m, "unreachable")
			}
		case m.idleSince != 0 && c.now.Sub(m.idleSince) > idle && c.lacking == 0 &&
			(len(c.backlog) == 0 || c.tooDear(m) || c.now.Sub(m.idleSince) > 2*idle): // what waits cannot use it
			c.toDoom(m, whyIdle)
		}
	}
}

// overPatience is how long a machine may hold ended work that it cannot be told
// to stop. While it may be us who cannot be heard, others have time to do it.
func (c *Core) overPatience(cutOff bool) time.Duration {
	part := overPart
	if cutOff {
		part = overPartCut
	}
	return config.Seconds(part * c.set.Cluster.Workers.CancelS)
}

// isCut reports whether a zone seems to be cut off. Nothing is rented there
// meanwhile: what came up would be silent, be returned, and be rented again.
func (c *Core) isCut(zone string) bool {
	_, cut := c.cutZones[zone]
	return cut
}

// lenience is how long a machine may be silent before it is given up. What hangs
// often goes on after a while: where nothing urgent stands on it, waiting costs
// less than to start its work anew on a machine that has yet to boot.
func (c *Core) lenience(m *machine, silence time.Duration) time.Duration {
	for _, e := range c.onMachine[m.id] {
		if e.Rank == wire.RankCritical.Order() {
			if c.cutZones[m.zone].silent >= cutLeast {
				// A zone that is cut off works on, and its workers' leases last for a
				// while: so long nothing on it is lost, unless we return it.
				w := &c.set.Cluster.Workers
				return max(silence, config.Seconds(w.LeaseS-1.25*w.ReportS))
			}
			return silence
		}
	}
	if t := c.kind(m.kind); t != nil && t.Accelerators > 0 {
		if c.isCut(m.zone) {
			// They could not be replaced in their zone, and are the scarcest: once the
			// zone is back, they are there with their images.
			return cutLeases * config.Seconds(c.set.Cluster.Workers.LeaseS)
		}
		// Until all of the zone had reason to report, it may be cut off.
		silence += config.Seconds(1.3 * c.set.Cluster.Workers.ReportS)
	}
	for _, e := range c.onMachine[m.id] {
		if e.Rank == wire.RankHigh.Order() {
			return silence
		}
	}
	return max(silence, 2*config.Seconds(c.set.Cluster.Workers.ReportS))
}

// siblingsWell reports whether all other living controllers talk to us.
func (c *Core) siblingsWell() bool {
	for label := range c.nodes {
		if label == c.set.Label {
			continue
		}
		if p := c.peers[label]; p == nil || c.now.Sub(p.heard) > 3*beatEvery {
			return false
		}
	}
	return len(c.nodes) > 1
}

// mayGiveUp bounds how many silent machines go at once.
func (c *Core) mayGiveUp(reporting int) bool {
	c.silentAt = slices.DeleteFunc(c.silentAt, func(t Time) bool { return c.now.Sub(t) > silentWindow })
	if len(c.silentAt) >= max(silentLeast, reporting/silentPart) {
		return false
	}
	c.silentAt = append(c.silentAt, c.now)
	return true
}

// toDoom notes that a machine is to be returned; it is written down with the
// others of the moment.
func (c *Core) toDoom(m *machine, why string) {
	c.dooming[m.id] = why
	c.log.Info("machine to be returned", "machine", m.id, "why", why, "quiet", c.now.Sub(c.lastSign(m)), "unanswered", m.unanswered)
}

// writeDoom writes down which machines are going and which are gone. Placements
// demand that this record is as they saw it, so none can slip in unseen.
func (c *Core) writeDoom() {
	if c.doomCall || !c.after(c.nextDoom) {
		return
	}
	next := doomRecord{Going: map[string][]wire.MachineID{}}
	changed := len(c.dooming) > 0
	room := c.pageLimit() - len(`{"going":{},"gone":[]}`)
	keep := func(list []wire.MachineID, id wire.MachineID) []wire.MachineID {
		room -= len(id) + len(`"",`)
		return append(list, id)
	}
	for _, id := range sortedKeys(c.dooms) {
		d := c.dooms[id]
		switch m := c.machineOf(id); {
		case m.gone:
			changed = true
			if len(c.onMachine[id]) > 0 {
				next.Gone = keep(next.Gone, id)
			}
		case d.why == whyIdle && len(c.onMachine[id]) > 0 && !c.returned[id]:
			changed = true // it got work before its end was written down: keep it
		default:
			next.Going[d.why] = keep(next.Going[d.why], id)
		}
	}
	for _, id := range c.doom.Gone {
		if len(c.onMachine[id]) == 0 {
			changed = true
		} else {
			next.Gone = keep(next.Gone, id)
		}
	}
	if !changed {
		return
	}
	taken := make([]wire.MachineID, 0, len(c.dooming))
	for _, id := range sortedKeys(c.dooming) {
		why := c.dooming[id]
		if next.Going[why] == nil {
			room -= len(why) + len(`"":[],`)
		}
		if room > 0 && c.machineOf(id) != nil {
			next.Going[why] = keep(next.Going[why], id)
			taken = append(taken, id)
		}
	}
	c.doomCall = true
	c.nextDoom = c.now.Add(doomEvery)
	// One write for all that goes, which replicas wait for: ahead of submissions.
	c.commit(ClassUrgent, wire.Transaction{
		If:   []wire.Condition{{Key: doomKey, Stamp: c.ver[doomKey]}},
		Then: []wire.Change{put(doomKey, next)},
	}, func(r Committed) {
		c.doomCall = false
		if r.Outcome != NotDone {
			for _, id := range taken {
				delete(c.dooming, id)
			}
		}
		if r.Outcome != Done {
			c.barrier(func(bool) {})
		}
	})
}

// giveBack returns doomed machines. The cloud's 200 means that they and all on
// them are gone; only then do their tasks leave the records.
func (c *Core) giveBack() {
	if c.returning {
		return
	}
	var names []wire.MachineID
	for _, id := range sortedKeys(c.dooms) {
		d := c.dooms[id]
		if m := c.machineOf(id); m.gone || d.since > c.feed || len(names) == wire.MaxReturn ||
			d.why == whyIdle && len(c.onMachine[id]) > 0 && !c.returned[id] {
			continue
		}
		names = append(names, id)
		c.returned[id] = true
	}
	if len(names) == 0 {
		return
	}
	c.returning = true
	c.do(ReturnMachines{call(c, func(r GivenBack) {
		c.returning = false
		c.outcome(r.Outcome, countCloudNot, countCloudLost)
		if r.Outcome != Done {
			return
		}
		for _, id := range names {
			m := c.machineOf(id)
			m.gone, m.goneAt, c.dirty = true, c.now, true
			c.count(countReturned+c.dooms[id].why, 1)
			delete(c.returned, id)
		}
	}), names})
}
