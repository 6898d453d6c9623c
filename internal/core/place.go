package core

import (
	"math"
	"slices"

	"lilacrill/internal/config"
	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// placing is one pass over what waits.
type placing struct {
	rounds map[string]*round
	fleet  placement.Fleet
	used   map[string]placement.Amount // of the teams' limits
	own    map[wire.JobID][]*placement.Host
	// full holds what found no room, by all that a search depends on: what needs
	// as much need not look again in this pass.
	full map[search][]placement.Amount
	// ranked holds the machines in order for what many jobs need alike.
	ranked map[like]*placement.Ranking
	// held says that work waits for accelerators, on ordinary or on any machines:
	// what needs none and is less urgent then leaves those that have some alone.
	// Otherwise it comes back, placed by another controller, to each machine that
	// it was just stopped on, and a gang never finds enough of them at once.
	held, heldSpot bool
	// gathering holds the zones in which room is being gathered, each for one job.
	gathering map[string]bool
	// warmOnly has jobs take only machines that have their image.
	warmOnly bool
	// ownShares says that it looks at the machines in this controller's shares only.
	ownShares bool
}

// search is what the result of looking for room depends on, beside the amount.
type search struct {
	team     string
	rank     int
	spot     bool
	promised bool
	stopping bool // others
	held     bool
	dear     bool // it leaves dear machines alone
}

// like is what a search for room depends on that others can share the ranking of.
type like struct {
	search
	need   placement.Amount
	image  string
	single bool
	warm   bool // machines that have the image only
}

// rank readies the machines for a search, or takes what an earlier one readied.
func (c *Core) rank(p *placing, k search, j *job, warm bool, o *placement.Options) {
	if !plain(j) || o.Probes > 0 || o.Whole {
		return
	}
	key := like{k, j.req.Need, j.spec.Image, j.req.Single, warm}
	r := p.ranked[key]
	if r == nil {
		r = p.fleet.Rank(j.req, *o)
		p.ranked[key] = r
	}
	o.Ranking = r
}

// place gives waiting tasks machines, in this controller's shares while they are in use.
// Without rest it looks at critical work alone.
func (c *Core) place(rounds map[string]*round, rest bool) {
	if len(c.catalogue) == 0 {
		return
	}
	if !c.sharded() {
		if c.concerns(rest) {
			c.placeOn(rounds, rest, false)
		}
		return
	}
	if rest && c.buyer == c.boot && c.after(c.nextFleetSurvey) {
		c.surveyFleet()
	}
	if c.waitsForUs(rest) {
		c.placeOn(rounds, rest, true)
	}
}

// surveyFleet plans over the whole fleet without writing anything, so that the buyer knows
// what lacks room anywhere.
func (c *Core) surveyFleet() {
	c.nextFleetSurvey = c.now.Add(max(surveyEvery, 3*c.planPause()))
	c.placeOn(map[string]*round{}, true, false)
}

// placeOn is one pass. On the whole fleet it plans for all teams, so that what this
// controller places leaves room for more urgent work that others will place, and writes
// only for those that it answers for. In its own shares it plans for those alone.
func (c *Core) placeOn(rounds map[string]*round, rest, ownShares bool) {
	c.count(countPasses, 1)
	p := &placing{rounds: rounds, ownShares: ownShares, used: map[string]placement.Amount{}, own: map[wire.JobID][]*placement.Host{},
		full: map[search][]placement.Amount{}, gathering: map[string]bool{},
		ranked: map[like]*placement.Ranking{}}
	placed := map[wire.JobID]record.TaskSet{}
	zones := map[wire.JobID]string{}
	p.fleet = c.hosts(rounds, ownShares, func(pg *page, e *Entry, h *placement.Host) {
		p.used[pg.team] = p.used[pg.team].Plus(e.need(), float64(e.Tasks.Len()))
		placed[e.Job] = placed[e.Job].With(e.Tasks)
		if h != nil {
			p.own[e.Job] = append(p.own[e.Job], h)
		}
		zones[e.Job] = pg.zone
	})
	queue := c.queue(rounds, placed, zones, rest)
	if rest {
		c.spareDear(queue)
	}
	if ownShares {
		queue = slices.DeleteFunc(queue, func(w waiting) bool { return !c.places(w.job) })
	}
	c.criticalWaits = len(queue) > 0 && queue[0].job.spec.Priority == wire.PriorityCritical
	backlog := c.backlog
	c.backlog = nil
	for i := range queue {
		p.keepFor(&queue[i], c)
	}
	reserved := !rest
	var later []*waiting
	for i := range queue {
		w := &queue[i]
		if w.job.spec.Priority != wire.PriorityCritical && !reserved {
			reserved = true
			c.reserve(p)
		}
		p.warmOnly = w.job.spec.Priority.Level() >= wire.PriorityNormal.Level() && !w.overdue && !w.promised && plain(w.job) && c.coldSlow(w.job)
		if c.placeJob(p, w); p.warmOnly {
			later = append(later, w)
		}
	}
	if !reserved {
		c.reserve(p)
	}
	// What is left over once every job took the machines that have its image goes
	// to whoever is first: fetching one holds a machine up as long as many a task.
	p.warmOnly = false
	for _, w := range later {
		if !w.missing.Empty() {
			c.placeJob(p, w)
		}
	}
	if !rest || ownShares {
		c.backlog = backlog
	}
}

func (c *Core) placeJob(p *placing, w *waiting) {
	j := w.job
	team := j.spec.Team
	count := c.trial(j, p.room(c, w))
	whole := j.spec.Shape == wire.ShapeGang
	if count == 0 && j.strikes > 0 {
		j.why = "its tasks fail on every machine; some are tried now"
		return
	}
	if count == 0 {
		j.why = "the team is at its limit"
		return
	}
	r := p.rounds[team]
	t := c.teamOf(team)
	act := r != nil && (!r.urgentOnly || j.spec.Priority == wire.PriorityCritical) &&
		t.writing == nil && c.after(t.placeFrom) && c.places(j) && c.fits(r, 0)
	if p.own[j.id] == nil {
		p.own[j.id] = []*placement.Host{} // none is known, rather than nothing
	}
	o := placement.Options{Relax: c.chosen.Affinity == config.AffinityPreferred, Whole: whole, Rand: c.rand, Own: p.own[j.id]}
	hold := p.leaves(j)
	spare := c.leavesDear(w)
	if len(j.avoid) > 0 || hold || spare {
		o.Usable = func(h *placement.Host) bool {
			until, avoid := j.avoid[h.ID]
			return (!avoid || c.after(until)) && !(hold && p.keeps(h)) && !(spare && c.tooDear(c.machines[h.ID]))
		}
	}
	if act && t.tries > 0 {
		o.Probes, o.Skip, o.Relax = c.chosen.ProbeHosts, t.locked, false
	}
	j.why = "being placed"
	choices := c.choose(p, w, &count, o)
	missing := w.missing
	attempt := wire.Attempt(0)
	for _, ch := range choices {
		p.used[team] = p.used[team].Plus(j.req.Need, float64(ch.Count))
		m := c.machines[ch.Machine]
		for left := ch.Count; left > 0; {
			var tasks record.TaskSet
			tasks, missing = missing.Take(min(left, c.entryTasks()))
			left -= tasks.Len()
			if !act {
				continue
			}
			if attempt == 0 {
				attempt = wire.Attempt(c.serial())
			}
			e := Entry{AllocationHeader: record.AllocationHeader{Job: j.id, Attempt: attempt, Launcher: c.boot,
				Cores: j.spec.Cores, Accelerators: j.spec.Accelerators, MemGB: j.spec.MemGB,
				Priority: j.spec.Priority.Level(), Shape: j.spec.Shape}, Machine: m.id, Session: m.newest.AgentEpoch, Tasks: tasks}
			if !c.fits(r, 0) || !c.add(r, m.zone, e) {
				act = false
				if whole {
					// A gang is placed as a whole or not at all.
					c.unadd(r, attempt)
				}
				continue
			}
			r.places = true
			if c.sharded() {
				r.shares[m.share] = true
			}
			r.urgent = r.urgent || j.spec.Priority == wire.PriorityCritical
			r.conds[record.JobKey(j.id)] = j.version
			r.skip[m.id] = true
			r.tell[m.id] = true
			c.count(countPlaced, tasks.Len())
			c.log.Debug("tasks placed", "job", j.id, "class", j.spec.Class, "machine", m.id, "attempt", attempt, "tasks", tasks.Len(),
				"image", m.has[j.spec.Image], "promised", w.promised)
		}
		if ch.Relaxed && act {
			c.count(countRelaxed, ch.Count)
			c.log.Debug("preferred rule relaxed", "job", j.id, "machine", m.id)
		}
	}
	w.missing = missing
	if count > 0 && !p.warmOnly {
		c.wanting(p, w, count)
	}
}

// room is how many of a job's tasks its team's limit leaves room for: it counts
// whatever may still be on a machine.
func (p *placing) room(c *Core, w *waiting) int {
	set := c.teamSettings(w.job.spec.Team)
	if set == nil {
		return 0
	}
	cpus, gpus := set.Limits()
	count := placement.Amount{Cores: cpus, Accelerators: gpus, MemGB: config.Unlimited}.
		Plus(p.used[w.job.spec.Team], -1).Times(w.job.req.Need, w.missing.Len())
	if w.job.spec.Shape == wire.ShapeGang && count < w.job.spec.Tasks {
		return 0
	}
	return count
}

// keepFor has machines with accelerators kept for a job that waits for some,
// before anything is placed: less urgent work within a guarantee comes before
// urgent work beyond one, and would take them although it needs none.
func (p *placing) keepFor(w *waiting, c *Core) {
	if w.job.req.Need.Accelerators > 0 && w.job.strikes <= freeOnly && p.room(c, w) > 0 {
		p.held, p.heldSpot = true, p.heldSpot || w.job.spec.Spot
	}
}

// leaves reports whether a job is to leave machines alone that are kept.
func (p *placing) leaves(j *job) bool {
	return p.held && j.req.Need.Accelerators == 0 && j.spec.Priority.Level() > wire.PriorityHigh.Level()
}

// leavesDear reports whether a job leaves machines alone that are too dear for
// work in no hurry.
func (c *Core) leavesDear(w *waiting) bool {
	return !w.promised && !math.IsInf(c.dearest, 1) && c.patience(w.job) > 0
}

// keeps reports whether a machine is kept for work that waits for accelerators.
func (p *placing) keeps(h *placement.Host) bool {
	return h.Total.Accelerators > 0 && (p.heldSpot || h.Labels[placement.LabelSpot] != "true")
}

// entryTasks is how many tasks one entry may hold, so that it fits on a page
// together with others.
func (c *Core) entryTasks() int { return max(1, min(maxPerHost, c.pageLimit()/32)) }

// plain reports whether a search for room for the job depends on nothing but
// what search says.
func plain(j *job) bool {
	s := &j.spec
	return len(s.Types) == 0 && s.Zone == "" && !s.SpreadZones && !s.SingleZone && s.Shape != wire.ShapeGang && len(j.avoid) == 0
}

// hopeless reports whether something that needs no more found no room in this
// pass.
func (p *placing) hopeless(k search, j *job) bool {
	return plain(j) && slices.ContainsFunc(p.full[k], func(a placement.Amount) bool { return j.req.Need.Covers(a) })
}

// noRoom notes that a job found none.
func (p *placing) noRoom(k search, j *job) {
	if plain(j) {
		p.full[k] = append(p.full[k], j.req.Need)
	}
}

// choose finds machines for a job's tasks and takes what it dealt with off
// count. Urgent work goes where its image is already, since fetching one takes
// longer than stopping something less urgent that stands in the way.
func (c *Core) choose(p *placing, w *waiting, count *int, o placement.Options) []placement.Choice {
	j := w.job
	free := search{spot: j.spec.Spot, held: p.leaves(j), dear: c.leavesDear(w)}
	if p.hopeless(free, j) {
		return nil
	}
	usable := o.Usable
	hasImage := func(h *placement.Host) bool { return h.Images[j.spec.Image] && (usable == nil || usable(h)) }
	warm := o
	warm.Usable = hasImage
	warm.Relax = false
	c.rank(p, free, j, true, &warm)
	choices := p.fleet.Choose(j.req, *count, w.zone, warm)
	take := func() {
		for _, ch := range choices {
			*count -= ch.Count
			p.own[j.id] = append(p.own[j.id], c.machines[ch.Machine].host)
			if j.spec.SingleZone {
				w.zone = ch.Zone
			}
		}
	}
	take()
	if *count == 0 || p.warmOnly {
		return choices
	}
	if j.spec.Priority.Level() <= wire.PriorityHigh.Level() && j.strikes <= freeOnly && c.coldSlow(j) {
		*count = c.awaitRoom(p, w, slices.Concat(j.req.Enforced, j.req.Preferred), *count, hasImage)
	}
	first := choices
	o.Own = p.own[j.id]
	c.rank(p, free, j, false, &o)
	choices = p.fleet.Choose(j.req, *count, w.zone, o)
	take()
	if *count > 0 && o.Probes == 0 && o.Relax {
		p.noRoom(free, j)
	}
	return append(first, choices...)
}

// slowFetch is how long an image may take to fetch before it is worth stopping
// other work to do without.
const slowFetch = 0.5

// coldSlow reports whether a start without the image would be noticed.
func (c *Core) coldSlow(j *job) bool {
	best := 0.0
	for i := range c.catalogue {
		if t := &c.catalogue[i]; amountOf(t).Covers(j.req.Need) {
			best = max(best, t.PullGBPerS)
		}
	}
	return best == 0 || j.spec.ImageGB/best > slowFetch
}

// awaitRoom has tasks wait for room that is being freed on some machines, or
// has less urgent work there stopped, and returns how many still have none.
//
// The rules are those that the placement itself will go by. Where they were
// laxer, tasks would be stopped pass after pass for room that is never taken.
func (c *Core) awaitRoom(p *placing, w *waiting, rules []placement.Node, count int, usable func(*placement.Host) bool) int {
	j := w.job
	if w.zone != "" {
		rules = append(slices.Clip(rules), placement.InZone(w.zone))
	}
	// Together and gangs: one zone, or all or none, cannot be had one by one.
	if (j.spec.SingleZone && w.zone == "" || j.spec.Shape == wire.ShapeGang) && j.spec.Tasks > 1 {
		return count
	}
	rd := p.fleet.Reading(p.own[j.id])
	for _, h := range p.fleet {
		if count == 0 {
			return 0
		}
		if h.Closed || h.Freeing.Cores <= 0 {
			continue
		}
		room := h.Free.Plus(h.Freeing, 1)
		if !room.Covers(j.req.Need) || !usable(h) || !rd.Holds(rules, j.spec.Team, h) {
			continue
		}
		n := room.Times(j.req.Need, count)
		if j.req.Single {
			n = 1
		}
		c.book(p, rd, j, h, n)
		count -= n
	}
	if count > 0 && c.places(j) {
		count = c.preempt(p, rd, rules, w, count, usable)
	}
	return count
}

// book keeps room that is being freed for tasks of a job.
func (c *Core) book(p *placing, rd *placement.Reading, j *job, h *placement.Host, n int) {
	rd.Book(j.req, h, n)
	p.own[j.id] = append(p.own[j.id], h)
}

// places reports whether this controller answers for a job's placement: a new
// job's first placement is up to the one that accepted it, everything else to
// its team's owner.
//
// While shares are in use, a job may have been handed on.
func (c *Core) places(j *job) bool {
	if to, handed := c.holder(j.id); handed && c.sharded() {
		return to == c.settings.Label
	}
	if c.now.Sub(j.seen) < firstTime && c.live(j.by) {
		return j.by == c.boot && !c.isolated()
	}
	return c.ownsTeam(j.spec.Team)
}

// wanting deals with tasks that found no room: they wait for room that is being
// freed, or have less urgent work stopped, or else stand in the backlog that
// the buyer sees.
func (c *Core) wanting(p *placing, w *waiting, count int) {
	if w.job.strikes > freeOnly {
		w.job.why = "its tasks fail on every machine; tried again when something is free"
		return
	}
	if p.ownShares && c.handOn(w, true) {
		w.job.why = "no machine in this controller's shares has room: handed on"
		return
	}
	if j := w.job; j.spec.Tasks > 1 && (j.spec.Shape == wire.ShapeGang || j.spec.SingleZone && w.zone == "") {
		zone, lacking := c.gather(p, w, count)
		j.why = "not enough machines that fit have room at once"
		if lacking > 0 && p.ownShares {
			c.handOn(w, false)
		}
		if lacking > 0 {
			c.backlog = append(c.backlog, demand{job: j, count: lacking, promised: w.promised, zone: zone})
		}
		return
	}
	usable := func(*placement.Host) bool { return true }
	if p.leaves(w.job) {
		usable = func(h *placement.Host) bool { return !p.keeps(h) }
	}
	stop := search{w.job.spec.Team, w.job.spec.Priority.Level(), w.job.spec.Spot, w.promised, true, false, false}
	if !p.hopeless(stop, w.job) {
		rules := w.job.req.Enforced
		if c.chosen.Affinity == config.AffinityEnforced {
			rules = slices.Concat(rules, w.job.req.Preferred)
		}
		count = c.awaitRoom(p, w, rules, count, usable)
		if count > 0 {
			p.noRoom(stop, w.job)
		}
	}
	if count > 0 {
		w.job.why = "no machine that fits has room"
		if p.ownShares {
			c.handOn(w, false)
		}
		c.backlog = append(c.backlog, demand{job: w.job, count: count, promised: w.promised})
	}
}
