package controller

import (
	"cmp"
	"slices"
	"time"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// scheduler decides which tasks go where.
type scheduler struct {
	dirty              bool
	criticalDirty      bool // something came in that a waiting critical job needs
	machinesLost       bool // machines are gone with what stood on them
	criticalPending    bool
	nextPass           Time
	nextNonCritical    Time
	nextCriticalOnly   Time // no round for critical work alone before, while many submissions wait
	nextDemandEstimate Time
	nextFleetReview    Time
	lastTokenRaise     Time
	lastTick           Time
	lag                float64 // how late ticks come of late, in ticks
	lagging            bool
	nextCleanup        Time
	cleaning           bool

	// The index of the records: real ones for commands, and with the rounds
	// that are being written for planning.
	allocationsByJob    map[wire.JobID][]*Allocation
	criticalAllocations map[wire.MachineID]int // entries of critical tasks
	teamOwners          map[string]string      // team to controller, as far as asked since the living changed
	guaranteedJobs      map[wire.JobID]bool    // the jobs within their teams' guarantees
}

// teamSchedule is what the planner keeps of a team.
type teamSchedule struct {
	inFlight           *placementTransaction
	nextTransaction    Time // no round before
	nextExitCollection Time // when proofs may be written here though another is the owner
	lastTurn           Time
	nextPlacement      Time                    // no placements before: after lost writes
	lostPlacements     int                     // lost writes in a row
	firstLostAt        Time                    // when the first of them was sent
	contendedMachines  map[wire.MachineID]bool // machines of the lost writes
}

func (p *scheduler) init() {
	p.allocationsByJob = map[wire.JobID][]*Allocation{}
	p.criticalAllocations = map[wire.MachineID]int{}
	p.teamOwners = map[string]string{}
}

const (
	// passInterval and passIntervalPerMachine bound what planning costs.
	passInterval           = 30 * time.Millisecond
	passIntervalPerMachine = 60 * time.Microsecond
	// demandEstimateInterval is how often the buyer looks at what waits at least.
	demandEstimateInterval = time.Second
	idlePassInterval       = 500 * time.Millisecond
	maxIdlePassInterval    = 2 * time.Second
	// acceptorPriorityPeriod is how long the placement of a new job is left to the controller
	// that accepted it.
	acceptorPriorityPeriod = 500 * time.Millisecond
	// exitCollectionDelay is how long the writing down of proofs is left to the owner:
	// one writer per team spares lost writes.
	exitCollectionDelay = time.Second
	commitRetryDelay    = 200 * time.Millisecond
	heartbeatSlack      = 2 * time.Second
	maxTasksPerMachine  = 300
	maxTxnBytes         = 40 << 10 // leaves room for two more pages under the 64 KiB of a transaction
	// crowdedWriteFraction is the part of the writes that rounds may take meanwhile.
	crowdedWriteFraction = 0.4
	// nonCriticalInterval is how often what can wait is planned at most.
	nonCriticalInterval = 250 * time.Millisecond
)

func (c *Controller) teamSettings(name string) *config.Team {
	for i := range c.settings.Cluster.Teams {
		if c.settings.Cluster.Teams[i].Name == name {
			return &c.settings.Cluster.Teams[i]
		}
	}
	return nil
}

// runScheduler runs one pass over all that waits, if there is reason to. What can wait
// gathers until this controller's share of the writes allows another round.
func (c *Controller) runScheduler() {
	if !c.membership.ready || !c.cacheComplete() || !c.storeReachable() || !c.isDue(c.scheduler.nextPass) {
		return
	}
	// What stood on machines that are gone is not made to wait.
	rest := c.scheduler.machinesLost || c.isDue(c.scheduler.nextNonCritical) && c.canAffordWrite()
	if !rest && c.cache.provisionerIncarnation == c.membership.incarnation && c.isDue(c.scheduler.nextDemandEstimate) {
		// What waits must be bought for even while nothing can be written.
		c.scheduler.nextDemandEstimate = c.now.Add(demandEstimateInterval)
		c.scheduler.nextPass = c.now.Add(c.passPause())
		if c.sharded() {
			c.estimateFleetDemand()
		} else {
			c.schedule(map[string]*placementTransaction{}, true)
		}
		return
	}
	if !rest && !c.scheduler.criticalDirty || !c.scheduler.dirty && !c.isDue(c.scheduler.nextPass.Add(c.stretchPause(idlePassInterval, maxIdlePassInterval))) {
		return
	}
	c.scheduler.dirty = !rest // what could not be looked at now is looked at later
	c.scheduler.criticalDirty = false
	c.scheduler.nextPass = c.now.Add(c.passPause())
	if rest {
		c.scheduler.nextNonCritical = c.now.Add(max(c.stretchPause(nonCriticalInterval, maxPassPause), 2*c.passPause()))
		c.scheduler.nextDemandEstimate = c.now.Add(demandEstimateInterval)
	}
	paced := c.submissionsCrowded() && !c.isDue(c.scheduler.nextCriticalOnly)
	if paced {
		c.scheduler.criticalDirty = true
		if !rest {
			return
		}
	}
	for _, name := range sortedKeys(c.cache.teams) {
		c.expirePlacementRetries(c.cache.teams[name])
	}
	transactions := c.startTransactions(rest)
	if rest {
		c.completeJobs(transactions)
		c.evictBrokenGangs(transactions)
		c.evictFromPreemptedMachines(transactions)
	}
	// Critical work waits for no turn.
	for _, name := range sortedKeys(c.cache.teams) {
		if t := c.cache.teams[name]; !paced && transactions[name] == nil && t.schedule.inFlight == nil && c.isDue(t.schedule.nextTransaction) {
			transactions[name] = c.newPlacementTransaction(t)
			transactions[name].criticalOnly = true
		}
	}
	c.schedule(transactions, rest)
	wrote, ops := false, 0
	for _, name := range sortedKeys(transactions) {
		if r := transactions[name]; !r.empty() {
			c.commitPlacements(r)
			wrote = true
			ops += r.operations
		}
	}
	c.scheduler.nextCriticalOnly = c.now.Add(config.Seconds(float64(ops) / (c.writeRate() * crowdedWriteFraction)))
	if !wrote {
		c.scheduler.nextNonCritical = c.scheduler.nextPass
	}
}

// submissionsCrowded reports whether so many submissions wait to be written that rounds for
// critical work are to leave writes to them. Such rounds go first, and each team
// could write one after the other, with a job or two in each: hundreds of jobs
// that came at once were then accepted at a few a second, and what they need was
// rented as late. The more jobs there are in a round, the fewer writes each takes.
func (c *Controller) submissionsCrowded() bool {
	return c.cache.submissionsInFlight >= minAdmissionQueue
}

// startTransactions starts rounds for the teams whose turn it is. A round is made when it
// can be written at once: one that waits in line for its tokens is based on
// what is no longer so, and is lost. So teams take turns, unless machines are
// gone with what stood on them.
func (c *Controller) startTransactions(rest bool) map[string]*placementTransaction {
	transactions := map[string]*placementTransaction{}
	if !rest {
		return transactions
	}
	names := sortedKeys(c.cache.teams)
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(c.cache.teams[a].schedule.lastTurn, c.cache.teams[b].schedule.lastTurn)
	})
	for _, name := range names {
		t := c.cache.teams[name]
		if t.schedule.inFlight != nil || !c.isDue(t.schedule.nextTransaction) {
			continue
		}
		r := c.newPlacementTransaction(t)
		c.collectTaskExits(r)
		switch {
		case r.empty() || c.ownsTeam(name):
			t.schedule.nextExitCollection = 0
		case t.schedule.nextExitCollection == 0:
			t.schedule.nextExitCollection = c.now.Add(exitCollectionDelay)
			continue
		case !c.isDue(t.schedule.nextExitCollection):
			continue
		}
		if r.empty() && !c.teamNeedsWork(name) {
			continue
		}
		transactions[name] = r
		t.schedule.lastTurn = c.now
		if !c.scheduler.machinesLost {
			c.scheduler.dirty = true // others may wait for their turn
			break
		}
	}
	c.scheduler.machinesLost = false
	return transactions
}

// teamNeedsWork reports whether a team has something that is this controller's to do:
// tasks without a machine, or whatever else its owner looks after.
func (c *Controller) teamNeedsWork(team string) bool {
	ownsTeam := c.ownsTeam(team)
	if ownsTeam && slices.ContainsFunc(c.orderedMachines(), func(m *machine) bool { return m.scaling.preemptionAt != 0 }) {
		return true
	}
	for id, j := range c.cache.jobs {
		if j.spec.Team != team {
			continue
		}
		if done := j.completed.Len(); ownsTeam && done >= j.spec.Tasks || !c.inBackoff(j) && done+c.placedTasks(id) < j.spec.Tasks && c.schedulesJob(j) {
			return true
		}
	}
	return false
}

// passPause is the least time between passes, which cost in proportion to the
// fleet.
func (c *Controller) passPause() time.Duration {
	return c.stretchPause(passInterval+time.Duration(len(c.fleet.machines))*passIntervalPerMachine, maxPassPause)
}

// stretchPause is a pause of what can be put off, stretched where this process has a small
// share of a processor, and further while it falls behind: leases, answers and what
// waits for them come first. It is not stretched beyond most.
func (c *Controller) stretchPause(pause, most time.Duration) time.Duration {
	stretch := max(1, referenceCoreShare/c.settings.Cluster.Quota.CoreShare) * (1 + c.scheduler.lag)
	return max(pause, min(most, time.Duration(float64(pause)*stretch)))
}

// measureLag is called at every tick: how late ticks come shows whether this process
// keeps up.
func (c *Controller) measureLag() {
	late := min(c.now.Sub(c.scheduler.lastTick)-TickEvery, stallThreshold)
	c.scheduler.lag += lagSmoothing * (max(0, float64(late)/float64(TickEvery)) - c.scheduler.lag)
	c.scheduler.lastTick = c.now
	if late := c.scheduler.lag > lagThreshold; late != c.scheduler.lagging && (late || c.scheduler.lag < lagRecovered) {
		c.scheduler.lagging = late
		if late {
			c.metrics.count(countLagging, 1)
			c.log.Info("this process falls behind: what can wait is put off; cluster.quota.core_share may be too small",
				"late", time.Duration(c.scheduler.lag*float64(TickEvery)).Round(time.Millisecond), "core_share", c.settings.Cluster.Quota.CoreShare)
		} else {
			c.log.Info("this process keeps up again")
		}
	}
}

const (
	// TickEvery is how often the core is to be given a Tick.
	TickEvery = 50 * time.Millisecond
	// referenceCoreShare is the share of a processor that pauses are meant for.
	referenceCoreShare = 0.18
	maxPassPause       = time.Second
	lagSmoothing       = 0.1 // of the last tick, in the mean
	// lagThreshold and lagRecovered are how late ticks come, in ticks, when a process is said to
	// fall behind, and to keep up again.
	lagThreshold, lagRecovered = 3.0, 0.5
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// needsSchedulingPass reports whether anything waits that this controller answers for. The
// buyer also has to know what else does, and whether enough room is kept free.
func (c *Controller) needsSchedulingPass(rest bool) bool {
	return rest && c.cache.provisionerIncarnation == c.membership.incarnation || c.hasPendingJobs(rest)
}

// hasPendingJobs reports whether anything waits that this controller answers for.
func (c *Controller) hasPendingJobs(rest bool) bool {
	for id, j := range c.cache.jobs {
		if (rest || j.spec.Priority == wire.PriorityCritical) && !c.inBackoff(j) && j.completed.Len()+c.placedTasks(id) < j.spec.Tasks && c.schedulesJob(j) {
			return true
		}
	}
	return false
}
