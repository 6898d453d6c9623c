package core

import (
	"cmp"
	"slices"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// mendGangs stops what is left of a gang that lost a task, so that it can start
// again as a whole.
func (c *Core) mendGangs(rounds map[string]*round) {
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		r := rounds[j.spec.Team]
		if j.spec.Shape != wire.ShapeGang || r == nil || !c.ownsTeam(j.spec.Team) || !c.fits(r, 4) {
			continue
		}
		if r.ends[id] || c.holds(id) {
			continue
		}
		var placed record.TaskSet
		for _, l := range c.entriesOf(r, id) {
			placed = placed.With(l.entry.Tasks)
		}
		if n := placed.Len(); n > 0 && n < j.spec.Tasks {
			c.haltJob(r, id, record.EvictionImmediate)
		}
	}
}

// gather gets room ready for tasks that start at once or share a zone, which
// cannot be had one by one: in the zone (for those that need one) that comes
// closest, it has less urgent work stopped if that is all it takes, and keeps
// for them what is free or being freed, so that smaller work does not nibble it
// away. It returns that zone and how many tasks still lack room there.
//
// A zone gathers for one job at a time, the most urgent: when several large gangs
// each kept a part of what they need, a fifth of the machines stood idle.
func (c *Core) gather(p *placing, w *waiting, count int) (string, int) {
	j := w.job
	need := j.req.Need
	rd := p.fleet.Reading(p.own[j.id])
	type room struct {
		host      *placement.Host
		now, most int // tasks that there will be room for, and if others are stopped
	}
	rooms, now, most := map[string][]room{}, map[string]int{}, map[string]int{}
	lower := ^uint8(0) << (j.spec.Priority.Level() + 1)
	for _, h := range p.fleet {
		if h.Closed || !h.Total.Covers(need) || !rd.Holds(j.req.Enforced, j.spec.Team, h) {
			continue
		}
		free := h.Free.Plus(h.Freeing, 1)
		r := room{host: h, now: free.Times(need, count)}
		if h.Ranks&lower != 0 || w.promised && h.Beyond {
			for _, e := range c.entriesOn(h.ID) {
				if c.preemptable(p.rounds, e, w, false) {
					free = free.Plus(e.need(), float64(e.Tasks.Len()))
				}
			}
		}
		if r.most = free.Times(need, count); r.most > 0 {
			z := ""
			if j.spec.SingleZone {
				z = h.Labels[placement.LabelZone]
			}
			rooms[z], now[z], most[z] = append(rooms[z], r), now[z]+r.now, most[z]+r.most
		}
	}
	zones := []string{""}
	if j.spec.SingleZone {
		zones = c.settings.Cluster.Zones
	}
	open := slices.DeleteFunc(slices.Clone(zones), func(z string) bool { return p.gathering[z] })
	gathers := len(open) > 0
	if gathers {
		zones = open
	}
	best := slices.MaxFunc(zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(min(now[a], count), min(now[b], count)), cmp.Compare(min(most[a], count), min(most[b], count)),
			cmp.Compare(c.openOffers(j, a), c.openOffers(j, b)))
	})
	if !gathers {
		return best, count
	}
	p.gathering[best] = true
	left := count
	stops := most[best] >= count && c.places(j)
	slices.SortFunc(rooms[best], func(a, b room) int {
		return cmp.Or(-cmp.Compare(a.now, b.now), cmp.Compare(a.host.ID, b.host.ID))
	})
	for _, r := range rooms[best] {
		for n := 0; n < r.most && left > 0; n++ {
			if n >= r.now && (!stops || !c.makeRoom(p.rounds, r.host, w, false)) {
				break
			}
			r.host.Free = r.host.Free.Plus(need, -1)
			left--
		}
	}
	return best, left
}

// fetchSlack is how much longer than reckoned an image may take to fetch.
const fetchSlack = 4.0 / 3

// fetchTime is how long a machine may take to fetch a job's image; 0 if it has it.
func (c *Core) fetchTime(m *machine, j *job) time.Duration {
	t := c.kind(m.kind)
	if t == nil || t.PullGBPerS <= 0 || m.has[j.spec.Image] {
		return 0
	}
	return config.Seconds(fetchSlack * j.spec.ImageGB / t.PullGBPerS)
}

// gangFetch is how long the slowest machine of a gang's attempt may take to fetch
// the image.
func (c *Core) gangFetch(j *job, attempt wire.Attempt) time.Duration {
	most := time.Duration(0)
	for _, e := range c.ofJob[j.id] {
		if m := c.machines[e.Machine]; m != nil && e.Attempt == attempt {
			most = max(most, c.fetchTime(m, j))
		}
	}
	return most
}

// holdsBack reports whether a gang's task is not to be launched yet: others of its
// attempt have to fetch the image for so long that it would give up waiting for
// them. The whole gang would then be stopped, the fetches with it, and start anew,
// over and over. Its place is kept meanwhile.
func (c *Core) holdsBack(m *machine, e *Entry, j *job) bool {
	if e.Shape != wire.ShapeGang || j.spec.Tasks < 2 {
		return false
	}
	patience := config.Seconds(c.settings.Cluster.Workers.GangWaitS / 2)
	most := c.gangFetch(j, e.Attempt)
	if most <= patience {
		return false
	}
	if j.launching != e.Attempt {
		j.launching, j.launchFrom = e.Attempt, c.now
	}
	return c.now.Sub(j.launchFrom) < most-c.fetchTime(m, j)-patience
}

// openOffers counts the machine types that a job can use and that the cloud has
// not refused lately in a zone.
func (c *Core) openOffers(j *job, zone string) int {
	n := 0
	for _, o := range c.offers() {
		h := o.Host("", 1)
		if (zone == "" || o.Zone == zone) && h.Total.Covers(j.req.Need) && (placement.Fleet{h}).Holds(j.req.Enforced, j.spec.Team, h) {
			n++
		}
	}
	return n
}
