package controller

import (
	"cmp"
	"slices"
	"time"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// scheduler is when the next scheduling passes are due, and what they work on.
//
// Two kinds of passes take turns: critical jobs are scheduled as soon as something changed
// that they wait for, all others at intervals that keep within this controller's share of
// the state store's writes.
type scheduler struct {
	dirty              bool // something changed since the last pass
	criticalDirty      bool // something changed that a pending critical job may wait for
	machinesLost       bool // machines were lost with the tasks on them
	criticalPending    bool // the last pass had a critical job in its queue
	nextPass           Time
	nextNonCritical    Time
	nextCriticalOnly   Time // no pass over critical jobs alone before, while submissions are crowded
	nextDemandEstimate Time
	lag                lagMeter

	guaranteedJobs map[wire.JobID]bool // the jobs within their teams' quota guarantees
}

// teamSchedule is the scheduler's state of a team.
type teamSchedule struct {
	inFlight           *placementTransaction
	nextTransaction    Time // no transaction before
	nextExitCollection Time // when task exits may be recorded here though another controller owns the team
	lastTurn           Time
	nextPlacement      Time                    // no placements before: a pause after lost writes
	lostPlacements     int                     // consecutive lost placement writes
	firstLostAt        Time                    // when the first of them was sent
	contendedMachines  map[wire.MachineID]bool // the machines of the lost writes
}

const (
	// passInterval and passIntervalPerMachine bound the processor time of passes.
	passInterval           = 30 * time.Millisecond
	passIntervalPerMachine = 60 * time.Microsecond
	// demandEstimateInterval is how often the provisioner estimates the unmet demand at least.
	demandEstimateInterval = time.Second
	idlePassInterval       = 500 * time.Millisecond
	maxIdlePassInterval    = 2 * time.Second
	// acceptorPriorityPeriod is how long the placement of a new job is left to the controller
	// that accepted it.
	acceptorPriorityPeriod = 500 * time.Millisecond
	// exitCollectionDelay is how long the recording of task exits is left to the team's
	// owner: a single writer per team avoids lost writes.
	exitCollectionDelay = time.Second
	commitRetryDelay    = 200 * time.Millisecond
	heartbeatSlack      = 2 * time.Second
	maxTasksPerMachine  = 300
	// pageBytesPerTask bounds the tasks of an allocation by the size of a placement page.
	pageBytesPerTask = 32
	maxTxnBytes      = 40 << 10 // leaves room for two more pages under the 64 KiB of a transaction
	// criticalWriteFraction is the part of the writes that critical placements may take while
	// submissions are crowded.
	criticalWriteFraction = 0.4
	// nonCriticalInterval is how often non-critical jobs are scheduled at most.
	nonCriticalInterval = 250 * time.Millisecond
)

// teamSettings is a team's settings; nil if it has none.
func (c *Controller) teamSettings(name string) *config.Team {
	for i := range c.settings.Cluster.Teams {
		if c.settings.Cluster.Teams[i].Name == name {
			return &c.settings.Cluster.Teams[i]
		}
	}
	return nil
}

// runScheduler runs one scheduling pass and commits what it placed, if there is reason to.
// Non-critical jobs gather until this controller's write budget allows another transaction.
func (c *Controller) runScheduler() {
	if !c.membership.ready || !c.cache.complete() || !c.storeReachable() || !c.isDue(c.scheduler.nextPass) {
		return
	}
	// Tasks of lost machines are placed again without delay.
	includeNonCritical := c.scheduler.machinesLost || c.isDue(c.scheduler.nextNonCritical) && c.canAffordWrite()
	if !includeNonCritical && c.isProvisioner() && c.isDue(c.scheduler.nextDemandEstimate) {
		c.estimateDemand()
		return
	}
	if !c.scheduler.hasRelevantChanges(includeNonCritical) && !c.idlePassDue(includeNonCritical) {
		return
	}
	c.scheduler.dirty = !includeNonCritical // a later pass considers what this one does not
	c.scheduler.criticalDirty = false
	c.scheduleNextPasses(includeNonCritical)
	criticalThrottled := c.submissionsBacklogged() && !c.isDue(c.scheduler.nextCriticalOnly)
	if criticalThrottled {
		c.scheduler.criticalDirty = true
		if !includeNonCritical {
			return
		}
	}
	for _, name := range sortedKeys(c.cache.teams) {
		c.expirePlacementRetries(c.cache.teams[name])
	}
	transactions := map[string]*placementTransaction{}
	if includeNonCritical {
		transactions = c.startTransactions()
		c.completeJobs(transactions)
		c.evictIncompleteGangs(transactions)
		c.evictFromPreemptedMachines(transactions)
	}
	if !criticalThrottled {
		c.startCriticalTransactions(transactions)
	}
	c.schedule(transactions, includeNonCritical)
	c.commitTransactions(transactions)
}

// hasRelevantChanges reports whether something changed that a pass may act on.
func (s *scheduler) hasRelevantChanges(includeNonCritical bool) bool {
	return s.dirty && (includeNonCritical || s.criticalDirty)
}

// idlePassDue reports whether a pass is due though nothing is known to have changed.
func (c *Controller) idlePassDue(includeNonCritical bool) bool {
	pause := c.stretchPause(idlePassInterval, maxIdlePassInterval)
	return (includeNonCritical || c.scheduler.criticalDirty) && c.isDue(c.scheduler.nextPass.Add(pause))
}

// estimateDemand runs a pass that writes nothing: machines have to be provisioned for pending
// jobs even while no placement can be written.
func (c *Controller) estimateDemand() {
	c.scheduler.nextDemandEstimate = c.now.Add(demandEstimateInterval)
	c.scheduler.nextPass = c.now.Add(c.passPause())
	if c.sharded() {
		c.estimateFleetDemand()
	} else {
		c.schedule(map[string]*placementTransaction{}, true)
	}
}

// scheduleNextPasses sets when the passes after this one are due.
func (c *Controller) scheduleNextPasses(includeNonCritical bool) {
	pause := c.passPause()
	c.scheduler.nextPass = c.now.Add(pause)
	if includeNonCritical {
		c.scheduler.nextNonCritical = c.now.Add(max(c.stretchPause(nonCriticalInterval, maxPassPause), 2*pause))
		c.scheduler.nextDemandEstimate = c.now.Add(demandEstimateInterval)
	}
}

// submissionsBacklogged reports whether so many submissions wait to be written that placements
// of critical jobs have to leave writes to them. Such placements go first, and each team
// could write one after the other, with a job or two in each: of hundreds of jobs that came
// at once only a few a second were then accepted, and the machines for them were provisioned
// as late. The more jobs there are in a transaction, the fewer writes each takes.
func (c *Controller) submissionsBacklogged() bool {
	return c.admission.inFlight >= minAdmissionQueue
}

// startTransactions starts transactions for the teams whose turn it is, and collects the
// task exits to record in them. A transaction is made when it can be written at once: one
// that waits for write tokens is based on an outdated state, and is lost. So teams take
// turns, unless machines were lost with the tasks on them.
func (c *Controller) startTransactions() map[string]*placementTransaction {
	transactions := map[string]*placementTransaction{}
	for _, name := range c.teamsByTurn() {
		team := c.cache.teams[name]
		if team.schedule.inFlight != nil || !c.isDue(team.schedule.nextTransaction) {
			continue
		}
		txn := c.newPlacementTransaction(team)
		c.collectTaskExits(txn)
		if !c.mayRecordExits(txn) || txn.empty() && !c.teamNeedsWork(name) {
			continue
		}
		transactions[name] = txn
		team.schedule.lastTurn = c.now
		if !c.scheduler.machinesLost {
			c.scheduler.dirty = true // other teams may wait for their turn
			break
		}
	}
	c.scheduler.machinesLost = false
	return transactions
}

// teamsByTurn is the names of the teams, those first whose last turn is the longest ago.
func (c *Controller) teamsByTurn() []string {
	names := sortedKeys(c.cache.teams)
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(c.cache.teams[a].schedule.lastTurn, c.cache.teams[b].schedule.lastTurn)
	})
	return names
}

// mayRecordExits reports whether this controller may write the task exits that a transaction
// collected: the team's owner at once, others only if the owner has not done so for
// exitCollectionDelay.
func (c *Controller) mayRecordExits(txn *placementTransaction) bool {
	schedule := &txn.team.schedule
	switch {
	case txn.empty() || c.ownsTeam(txn.team.name):
		schedule.nextExitCollection = 0
		return true
	case schedule.nextExitCollection == 0:
		schedule.nextExitCollection = c.now.Add(exitCollectionDelay)
		return false
	}
	return c.isDue(schedule.nextExitCollection)
}

// startCriticalTransactions starts transactions for critical jobs alone for the teams whose
// turn it is not: critical jobs wait for no turn.
func (c *Controller) startCriticalTransactions(transactions map[string]*placementTransaction) {
	for _, name := range sortedKeys(c.cache.teams) {
		team := c.cache.teams[name]
		if transactions[name] == nil && team.schedule.inFlight == nil && c.isDue(team.schedule.nextTransaction) {
			transactions[name] = c.newPlacementTransaction(team)
			transactions[name].criticalOnly = true
		}
	}
}

// commitTransactions commits the transactions that are not empty, and paces the next pass
// over critical jobs by their size.
func (c *Controller) commitTransactions(transactions map[string]*placementTransaction) {
	committed, operations := false, 0
	for _, name := range sortedKeys(transactions) {
		if txn := transactions[name]; !txn.empty() {
			c.commitPlacements(txn)
			committed = true
			operations += txn.operations
		}
	}
	c.scheduler.nextCriticalOnly = c.now.Add(config.Seconds(float64(operations) / (c.writeRate() * criticalWriteFraction)))
	if !committed {
		c.scheduler.nextNonCritical = c.scheduler.nextPass
	}
}

// teamNeedsWork reports whether a team has something for this controller to do: to place
// tasks, to complete a job, or to evict tasks from machines with a preemption notice.
func (c *Controller) teamNeedsWork(team string) bool {
	ownsTeam := c.ownsTeam(team)
	if ownsTeam && slices.ContainsFunc(c.orderedMachines(), func(machine *machine) bool { return machine.scaling.preemptionAt != 0 }) {
		return true
	}
	for _, job := range c.cache.jobs {
		if job.spec.Team != team {
			continue
		}
		if ownsTeam && job.completed.Len() >= job.spec.Tasks || c.hasTasksToPlace(job) {
			return true
		}
	}
	return false
}

// hasTasksToPlace reports whether a job has tasks that this controller is to place now.
func (c *Controller) hasTasksToPlace(job *job) bool {
	return !c.inBackoff(job) && job.completed.Len()+c.placedTasks(job.id) < job.spec.Tasks && c.schedulesJob(job)
}

// needsSchedulingPass reports whether this controller has jobs to schedule. The provisioner
// also has to know the demand of all other jobs, and whether there is enough headroom.
func (c *Controller) needsSchedulingPass(includeNonCritical bool) bool {
	return includeNonCritical && c.isProvisioner() || c.hasPendingJobs(includeNonCritical)
}

// hasPendingJobs reports whether there are pending jobs that this controller schedules.
func (c *Controller) hasPendingJobs(includeNonCritical bool) bool {
	for _, job := range c.cache.jobs {
		if (includeNonCritical || job.spec.Priority == wire.PriorityCritical) && c.hasTasksToPlace(job) {
			return true
		}
	}
	return false
}

// schedulesJob reports whether this controller is responsible for a job's placement: for a
// new job's first placement the controller that accepted it, for everything else the owner
// of its team. While sharding is in use, a job may have been forwarded to another.
func (c *Controller) schedulesJob(job *job) bool {
	if to, forwarded := c.forwardedTo(job.id); forwarded && c.sharded() {
		return to == c.settings.Label
	}
	if c.now.Sub(job.firstSeen) < acceptorPriorityPeriod && c.isAlive(job.acceptedBy) {
		return job.acceptedBy == c.membership.incarnation && !c.isolated()
	}
	return c.ownsTeam(job.spec.Team)
}

// sortedKeys is the keys of a map in order: what depends on a map's own order differs from run
// to run.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
