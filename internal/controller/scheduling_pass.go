package controller

import (
	"math"
	"slices"

	"lilacrill/internal/config"
	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// schedulingPass is one pass over what waits.
type schedulingPass struct {
	transactions map[string]*placementTransaction
	fleet        placement.Fleet
	teamUsage    map[string]placement.Resources // of the teams' limits
	jobHosts     map[wire.JobID][]*placement.Host
	// unsatisfiable holds what found no room, by all that a search depends on: what needs
	// as much need not look again in this pass.
	unsatisfiable map[searchKey][]placement.Resources
	// rankings holds the machines in order for what many jobs need alike.
	rankings map[rankingKey]*placement.Ranking
	// reserveAccelerators says that work waits for accelerators, on ordinary or on any machines:
	// what needs none and is less urgent then leaves those that have some alone.
	// Otherwise it comes back, placed by another controller, to each machine that
	// it was just stopped on, and a gang never finds enough of them at once.
	reserveAccelerators, reserveSpotAccelerators bool
	// gatheringZones holds the zones in which room is being gathered, each for one job.
	gatheringZones map[string]bool
	// cachedImageOnly has jobs take only machines that have their image.
	cachedImageOnly bool
	// ownShards says that it looks at the machines in this controller's shares only.
	ownShards bool
}

// searchKey is what the result of looking for room depends on, beside the amount.
type searchKey struct {
	team               string
	priority           int
	spot               bool
	guaranteed         bool
	preempting         bool // others
	avoidsAccelerators bool
	avoidsExpensive    bool // it leaves dear machines alone
}

// rankingKey is what a search for room depends on that others can share the ranking of.
type rankingKey struct {
	searchKey
	need            placement.Resources
	image           string
	single          bool
	cachedImageOnly bool // machines that have the image only
}

// reuseRanking readies the machines for a search, or takes what an earlier one readied.
func (c *Controller) reuseRanking(p *schedulingPass, k searchKey, j *job, warm bool, o *placement.Options) {
	if !hasPlainConstraints(j) || o.Probes > 0 || o.AllOrNothing {
		return
	}
	key := rankingKey{k, j.request.Need, j.spec.Image, j.request.OneAtATime, warm}
	r := p.rankings[key]
	if r == nil {
		r = p.fleet.Rank(j.request, *o)
		p.rankings[key] = r
	}
	o.Ranking = r
}

// schedule gives waiting tasks machines, in this controller's shares while they are in use.
// Without rest it looks at critical work alone.
func (c *Controller) schedule(transactions map[string]*placementTransaction, rest bool) {
	if len(c.provisioner.catalogue) == 0 {
		return
	}
	if !c.sharded() {
		if c.needsSchedulingPass(rest) {
			c.runSchedulingPass(transactions, rest, false)
		}
		return
	}
	if rest && c.cache.provisionerIncarnation == c.membership.incarnation && c.isDue(c.shards.nextFleetEstimate) {
		c.estimateFleetDemand()
	}
	if c.hasPendingJobs(rest) {
		c.runSchedulingPass(transactions, rest, true)
	}
}

// estimateFleetDemand plans over the whole fleet without writing anything, so that the buyer knows
// what lacks room anywhere.
func (c *Controller) estimateFleetDemand() {
	c.shards.nextFleetEstimate = c.now.Add(max(demandEstimateInterval, 3*c.passPause()))
	c.runSchedulingPass(map[string]*placementTransaction{}, true, false)
}

// runSchedulingPass is one pass. On the whole fleet it plans for all teams, so that what this
// controller places leaves room for more urgent work that others will place, and writes
// only for those that it answers for. In its own shares it plans for those alone.
func (c *Controller) runSchedulingPass(transactions map[string]*placementTransaction, rest, ownShares bool) {
	c.metrics.count(countPasses, 1)
	p := &schedulingPass{transactions: transactions, ownShards: ownShares, teamUsage: map[string]placement.Resources{}, jobHosts: map[wire.JobID][]*placement.Host{},
		unsatisfiable: map[searchKey][]placement.Resources{}, gatheringZones: map[string]bool{},
		rankings: map[rankingKey]*placement.Ranking{}}
	placed := map[wire.JobID]record.TaskSet{}
	zones := map[wire.JobID]string{}
	p.fleet = c.buildHosts(transactions, ownShares, func(pg *page, e *Allocation, h *placement.Host) {
		p.teamUsage[pg.team] = p.teamUsage[pg.team].Plus(e.taskResources(), float64(e.Tasks.Len()))
		placed[e.Job] = placed[e.Job].With(e.Tasks)
		if h != nil {
			p.jobHosts[e.Job] = append(p.jobHosts[e.Job], h)
		}
		zones[e.Job] = pg.zone
	})
	queue := c.pendingJobs(transactions, placed, zones, rest)
	if rest {
		c.updatePriceLimit(queue)
	}
	if ownShares {
		queue = slices.DeleteFunc(queue, func(w pendingJob) bool { return !c.schedulesJob(w.job) })
	}
	c.scheduler.criticalPending = len(queue) > 0 && queue[0].job.spec.Priority == wire.PriorityCritical
	backlog := c.provisioner.unmetDemands
	c.provisioner.unmetDemands = nil
	for i := range queue {
		p.reserveAcceleratorsFor(&queue[i], c)
	}
	reserved := !rest
	var later []*pendingJob
	for i := range queue {
		w := &queue[i]
		if w.job.spec.Priority != wire.PriorityCritical && !reserved {
			reserved = true
			c.reserveHeadroom(p)
		}
		p.cachedImageOnly = w.job.spec.Priority.Level() >= wire.PriorityNormal.Level() && !w.overdue && !w.guaranteed && hasPlainConstraints(w.job) && c.imagePullIsSlow(w.job)
		if c.placeJob(p, w); p.cachedImageOnly {
			later = append(later, w)
		}
	}
	if !reserved {
		c.reserveHeadroom(p)
	}
	// What is left over once every job took the machines that have its image goes
	// to whoever is first: fetching one holds a machine up as long as many a task.
	p.cachedImageOnly = false
	for _, w := range later {
		if !w.missing.Empty() {
			c.placeJob(p, w)
		}
	}
	if !rest || ownShares {
		c.provisioner.unmetDemands = backlog
	}
}

func (c *Controller) placeJob(p *schedulingPass, w *pendingJob) {
	j := w.job
	team := j.spec.Team
	count := c.limitToCanaries(j, p.tasksWithinLimit(c, w))
	whole := j.spec.Shape == wire.ShapeGang
	if count == 0 && j.crashLoop.consecutiveBackoffs > 0 {
		j.pendingReason = "its tasks fail on every machine; some are tried now"
		return
	}
	if count == 0 {
		j.pendingReason = "the team is at its limit"
		return
	}
	r := p.transactions[team]
	t := c.cache.team(team)
	act := r != nil && (!r.criticalOnly || j.spec.Priority == wire.PriorityCritical) &&
		t.schedule.inFlight == nil && c.isDue(t.schedule.nextPlacement) && c.schedulesJob(j) && c.hasCapacityFor(r, 0)
	if p.jobHosts[j.id] == nil {
		p.jobHosts[j.id] = []*placement.Host{} // none is known, rather than nothing
	}
	o := placement.Options{Relax: c.operator.values.Affinity == config.AffinityPreferred, AllOrNothing: whole, Rand: c.rand, JobHosts: p.jobHosts[j.id]}
	hold := p.avoidsAccelerators(j)
	spare := c.avoidsExpensive(w)
	if len(j.crashLoop.avoidMachines) > 0 || hold || spare {
		o.Usable = func(h *placement.Host) bool {
			until, avoid := j.crashLoop.avoidMachines[h.ID]
			return (!avoid || c.isDue(until)) && !(hold && p.isReserved(h)) && !(spare && c.abovePriceLimit(c.fleet.machines[h.ID]))
		}
	}
	if act && t.schedule.lostPlacements > 0 {
		o.Probes, o.Excluded, o.Relax = c.operator.values.ProbeHosts, t.schedule.contendedMachines, false
	}
	j.pendingReason = "being placed"
	choices := c.chooseMachines(p, w, &count, o)
	missing := w.missing
	attempt := wire.Attempt(0)
	for _, ch := range choices {
		p.teamUsage[team] = p.teamUsage[team].Plus(j.request.Need, float64(ch.Count))
		m := c.fleet.machines[ch.Machine]
		for left := ch.Count; left > 0; {
			var tasks record.TaskSet
			tasks, missing = missing.Take(min(left, c.maxTasksPerAllocation()))
			left -= tasks.Len()
			if !act {
				continue
			}
			if attempt == 0 {
				attempt = wire.Attempt(c.nextSerial())
			}
			e := Allocation{AllocationHeader: record.AllocationHeader{Job: j.id, Attempt: attempt, Launcher: c.membership.incarnation,
				Cores: j.spec.Cores, Accelerators: j.spec.Accelerators, MemGB: j.spec.MemGB,
				Priority: j.spec.Priority.Level(), Shape: j.spec.Shape}, Machine: m.id, AgentEpoch: m.latestHeartbeat.AgentEpoch, Tasks: tasks}
			if !c.hasCapacityFor(r, 0) || !c.stageAllocation(r, m.zone, e) {
				act = false
				if whole {
					// A gang is placed as a whole or not at all.
					c.unstageAttempt(r, attempt)
				}
				continue
			}
			r.placesTasks = true
			if c.sharded() {
				r.shards[m.shard] = true
			}
			r.urgent = r.urgent || j.spec.Priority == wire.PriorityCritical
			r.conditions[record.JobKey(j.id)] = j.version
			r.usedMachines[m.id] = true
			r.notifyMachines[m.id] = true
			c.metrics.count(countPlaced, tasks.Len())
			c.log.Debug("tasks placed", "job", j.id, "class", j.spec.Class, "machine", m.id, "attempt", attempt, "tasks", tasks.Len(),
				"image", m.images.cached[j.spec.Image], "promised", w.guaranteed)
		}
		if ch.Relaxed && act {
			c.metrics.count(countRelaxed, ch.Count)
			c.log.Debug("preferred rule relaxed", "job", j.id, "machine", m.id)
		}
	}
	w.missing = missing
	if count > 0 && !p.cachedImageOnly {
		c.handleUnmetDemand(p, w, count)
	}
}

// tasksWithinLimit is how many of a job's tasks its team's limit leaves room for: it counts
// whatever may still be on a machine.
func (p *schedulingPass) tasksWithinLimit(c *Controller, w *pendingJob) int {
	set := c.teamSettings(w.job.spec.Team)
	if set == nil {
		return 0
	}
	cpus, gpus := set.Limits()
	count := placement.Resources{Cores: cpus, Accelerators: gpus, MemGB: config.Unlimited}.
		Plus(p.teamUsage[w.job.spec.Team], -1).Fits(w.job.request.Need, w.missing.Len())
	if w.job.spec.Shape == wire.ShapeGang && count < w.job.spec.Tasks {
		return 0
	}
	return count
}

// reserveAcceleratorsFor has machines with accelerators kept for a job that waits for some,
// before anything is placed: less urgent work within a guarantee comes before
// urgent work beyond one, and would take them although it needs none.
func (p *schedulingPass) reserveAcceleratorsFor(w *pendingJob, c *Controller) {
	if w.job.request.Need.Accelerators > 0 && w.job.crashLoop.consecutiveBackoffs <= maxBackoffsWithPreemption && p.tasksWithinLimit(c, w) > 0 {
		p.reserveAccelerators, p.reserveSpotAccelerators = true, p.reserveSpotAccelerators || w.job.spec.Spot
	}
}

// avoidsAccelerators reports whether a job is to leave machines alone that are kept.
func (p *schedulingPass) avoidsAccelerators(j *job) bool {
	return p.reserveAccelerators && j.request.Need.Accelerators == 0 && j.spec.Priority.Level() > wire.PriorityHigh.Level()
}

// avoidsExpensive reports whether a job leaves machines alone that are too dear for
// work in no hurry.
func (c *Controller) avoidsExpensive(w *pendingJob) bool {
	return !w.guaranteed && !math.IsInf(c.provisioner.priceLimit, 1) && c.waitTolerance(w.job) > 0
}

// isReserved reports whether a machine is kept for work that waits for accelerators.
func (p *schedulingPass) isReserved(h *placement.Host) bool {
	return h.Total.Accelerators > 0 && (p.reserveSpotAccelerators || h.Labels[placement.LabelSpot] != "true")
}

// maxTasksPerAllocation is how many tasks one entry may hold, so that it fits on a page
// together with others.
func (c *Controller) maxTasksPerAllocation() int {
	return max(1, min(maxTasksPerMachine, c.pageLimit()/32))
}

// hasPlainConstraints reports whether a search for room for the job depends on nothing but
// what search says.
func hasPlainConstraints(j *job) bool {
	s := &j.spec
	return len(s.Types) == 0 && s.Zone == "" && !s.SpreadZones && !s.SingleZone && s.Shape != wire.ShapeGang && len(j.crashLoop.avoidMachines) == 0
}

// knownUnsatisfiable reports whether something that needs no more found no room in this
// pass.
func (p *schedulingPass) knownUnsatisfiable(k searchKey, j *job) bool {
	return hasPlainConstraints(j) && slices.ContainsFunc(p.unsatisfiable[k], func(a placement.Resources) bool { return j.request.Need.Covers(a) })
}

// noteUnsatisfiable notes that a job found none.
func (p *schedulingPass) noteUnsatisfiable(k searchKey, j *job) {
	if hasPlainConstraints(j) {
		p.unsatisfiable[k] = append(p.unsatisfiable[k], j.request.Need)
	}
}

// chooseMachines finds machines for a job's tasks and takes what it dealt with off
// count. Urgent work goes where its image is already, since fetching one takes
// longer than stopping something less urgent that stands in the way.
func (c *Controller) chooseMachines(p *schedulingPass, w *pendingJob, count *int, o placement.Options) []placement.Assignment {
	j := w.job
	free := searchKey{spot: j.spec.Spot, avoidsAccelerators: p.avoidsAccelerators(j), avoidsExpensive: c.avoidsExpensive(w)}
	if p.knownUnsatisfiable(free, j) {
		return nil
	}
	usable := o.Usable
	hasImage := func(h *placement.Host) bool { return h.Images[j.spec.Image] && (usable == nil || usable(h)) }
	warm := o
	warm.Usable = hasImage
	warm.Relax = false
	c.reuseRanking(p, free, j, true, &warm)
	choices := p.fleet.Choose(j.request, *count, w.zone, warm)
	take := func() {
		for _, ch := range choices {
			*count -= ch.Count
			p.jobHosts[j.id] = append(p.jobHosts[j.id], c.fleet.machines[ch.Machine].host)
			if j.spec.SingleZone {
				w.zone = ch.Zone
			}
		}
	}
	take()
	if *count == 0 || p.cachedImageOnly {
		return choices
	}
	if j.spec.Priority.Level() <= wire.PriorityHigh.Level() && j.crashLoop.consecutiveBackoffs <= maxBackoffsWithPreemption && c.imagePullIsSlow(j) {
		*count = c.awaitFreeingCapacity(p, w, slices.Concat(j.request.Enforced, j.request.Preferred), *count, hasImage)
	}
	first := choices
	o.JobHosts = p.jobHosts[j.id]
	c.reuseRanking(p, free, j, false, &o)
	choices = p.fleet.Choose(j.request, *count, w.zone, o)
	take()
	if *count > 0 && o.Probes == 0 && o.Relax {
		p.noteUnsatisfiable(free, j)
	}
	return append(first, choices...)
}

// slowImagePullS is how long an image may take to fetch before it is worth stopping
// other work to do without.
const slowImagePullS = 0.5

// imagePullIsSlow reports whether a start without the image would be noticed.
func (c *Controller) imagePullIsSlow(j *job) bool {
	best := 0.0
	for i := range c.provisioner.catalogue {
		if t := &c.provisioner.catalogue[i]; machineResources(t).Covers(j.request.Need) {
			best = max(best, t.PullGBPerS)
		}
	}
	return best == 0 || j.spec.ImageGB/best > slowImagePullS
}

// awaitFreeingCapacity has tasks wait for room that is being freed on some machines, or
// has less urgent work there stopped, and returns how many still have none.
//
// The rules are those that the placement itself will go by. Where they were
// laxer, tasks would be stopped pass after pass for room that is never taken.
func (c *Controller) awaitFreeingCapacity(p *schedulingPass, w *pendingJob, rules []placement.Node, count int, usable func(*placement.Host) bool) int {
	j := w.job
	if w.zone != "" {
		rules = append(slices.Clip(rules), placement.InZone(w.zone))
	}
	// Together and gangs: one zone, or all or none, cannot be had one by one.
	if (j.spec.SingleZone && w.zone == "" || j.spec.Shape == wire.ShapeGang) && j.spec.Tasks > 1 {
		return count
	}
	rd := p.fleet.NewEvaluator(p.jobHosts[j.id])
	for _, h := range p.fleet {
		if count == 0 {
			return 0
		}
		if h.Unschedulable || h.Freeing.Cores <= 0 {
			continue
		}
		room := h.Free.Plus(h.Freeing, 1)
		if !room.Covers(j.request.Need) || !usable(h) || !rd.Holds(rules, j.spec.Team, h) {
			continue
		}
		n := room.Fits(j.request.Need, count)
		if j.request.OneAtATime {
			n = 1
		}
		c.reserveFreeingCapacity(p, rd, j, h, n)
		count -= n
	}
	if count > 0 && c.schedulesJob(j) {
		count = c.preempt(p, rd, rules, w, count, usable)
	}
	return count
}

// reserveFreeingCapacity keeps room that is being freed for tasks of a job.
func (c *Controller) reserveFreeingCapacity(p *schedulingPass, rd *placement.Evaluator, j *job, h *placement.Host, n int) {
	rd.Reserve(j.request, h, n)
	p.jobHosts[j.id] = append(p.jobHosts[j.id], h)
}

// schedulesJob reports whether this controller answers for a job's placement: a new
// job's first placement is up to the one that accepted it, everything else to
// its team's owner.
//
// While shares are in use, a job may have been handed on.
func (c *Controller) schedulesJob(j *job) bool {
	if to, handed := c.forwardedTo(j.id); handed && c.sharded() {
		return to == c.settings.Label
	}
	if c.now.Sub(j.firstSeen) < acceptorPriorityPeriod && c.isAlive(j.acceptedBy) {
		return j.acceptedBy == c.membership.incarnation && !c.isolated()
	}
	return c.ownsTeam(j.spec.Team)
}

// handleUnmetDemand deals with tasks that found no room: they wait for room that is being
// freed, or have less urgent work stopped, or else stand in the backlog that
// the buyer sees.
func (c *Controller) handleUnmetDemand(p *schedulingPass, w *pendingJob, count int) {
	if w.job.crashLoop.consecutiveBackoffs > maxBackoffsWithPreemption {
		w.job.pendingReason = "its tasks fail on every machine; tried again when something is free"
		return
	}
	if p.ownShards && c.forwardJob(w, true) {
		w.job.pendingReason = "no machine in this controller's shares has room: handed on"
		return
	}
	if j := w.job; j.spec.Tasks > 1 && (j.spec.Shape == wire.ShapeGang || j.spec.SingleZone && w.zone == "") {
		zone, lacking := c.gatherCapacity(p, w, count)
		j.pendingReason = "not enough machines that fit have room at once"
		if lacking > 0 && p.ownShards {
			c.forwardJob(w, false)
		}
		if lacking > 0 {
			c.provisioner.unmetDemands = append(c.provisioner.unmetDemands, unmetDemand{job: j, count: lacking, guaranteed: w.guaranteed, zone: zone})
		}
		return
	}
	usable := func(*placement.Host) bool { return true }
	if p.avoidsAccelerators(w.job) {
		usable = func(h *placement.Host) bool { return !p.isReserved(h) }
	}
	stop := searchKey{w.job.spec.Team, w.job.spec.Priority.Level(), w.job.spec.Spot, w.guaranteed, true, false, false}
	if !p.knownUnsatisfiable(stop, w.job) {
		rules := w.job.request.Enforced
		if c.operator.values.Affinity == config.AffinityEnforced {
			rules = slices.Concat(rules, w.job.request.Preferred)
		}
		count = c.awaitFreeingCapacity(p, w, rules, count, usable)
		if count > 0 {
			p.noteUnsatisfiable(stop, w.job)
		}
	}
	if count > 0 {
		w.job.pendingReason = "no machine that fits has room"
		if p.ownShards {
			c.forwardJob(w, false)
		}
		c.provisioner.unmetDemands = append(c.provisioner.unmetDemands, unmetDemand{job: w.job, count: count, guaranteed: w.guaranteed})
	}
}
