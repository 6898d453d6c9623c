package controller

import (
	"cmp"
	"slices"
	"time"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// scheduler holds the times at which the next scheduling passes are due and the state that
// passes share.
//
// There are two kinds of passes. Critical jobs are scheduled as soon as something changes that
// they may wait for. All other jobs are scheduled at intervals that keep this controller
// within its part of the state store's write rate.
type scheduler struct {
	dirty              bool // something changed since the last pass
	criticalDirty      bool // something changed that a pending critical job may wait for
	machinesLost       bool // machines were lost with the tasks on them
	criticalPending    bool // the last pass had a critical job in its queue
	nextPass           Time
	nextNonCritical    Time
	nextCriticalOnly   Time // earliest pass over critical jobs alone, while submissions are backlogged
	nextDemandEstimate Time
	lag                lagMeter

	starvation     starvation
	guaranteedJobs map[wire.JobID]bool // jobs within their teams' quota guarantees
}

// teamSchedule holds the scheduler's state for one team.
type teamSchedule struct {
	inFlight        *placementTransaction
	nextTransaction Time // earliest time of the next transaction
	// nextExitCollection is the time from which this controller may record the task exits of a
	// team that another controller owns. It is 0 if there are no such exits.
	nextExitCollection  Time
	lastTurn            Time
	nextPlacement       Time                    // earliest time of the next placement, after conflicts
	placementConflicts  int                     // consecutive placement writes that ended in a conflict
	firstConflictSentAt Time                    // when the first of these writes was sent
	contendedMachines   map[wire.MachineID]bool // machines that these writes used
}

const (
	// passInterval and passIntervalPerMachine bound the processor time of passes: the minimum
	// interval between two passes is passInterval plus passIntervalPerMachine per machine.
	passInterval           = 30 * time.Millisecond
	passIntervalPerMachine = 60 * time.Microsecond
	// demandEstimateInterval is the interval at which the provisioner estimates the unmet
	// demand if no pass that includes non-critical jobs does so earlier.
	demandEstimateInterval = time.Second
	// idlePassInterval is the time for which a pass that is due is put off while nothing has
	// changed. It is stretched to at most maxIdlePassInterval on a slow or lagging controller.
	idlePassInterval    = 500 * time.Millisecond
	maxIdlePassInterval = 2 * time.Second
	// acceptorPriorityPeriod is the time during which only the controller that accepted a new
	// job places it.
	acceptorPriorityPeriod = 500 * time.Millisecond
	// exitCollectionDelay is the time during which only the team's owner records task exits.
	// A single writer per team avoids conflicts.
	exitCollectionDelay = time.Second
	commitRetryDelay    = 200 * time.Millisecond
	// heartbeatSlack is added to the longest heartbeat interval before a heartbeat counts as
	// missing.
	heartbeatSlack     = 2 * time.Second
	maxTasksPerMachine = 300
	// pageBytesPerTask divides the size limit of a placement page to bound the number of tasks
	// of an allocation.
	pageBytesPerTask = 32
	// maxTxnBytes is the size from which a transaction takes on no more writes. It leaves room
	// for two more pages under the limit of 64 KiB.
	maxTxnBytes = 40 << 10
	// criticalWriteFraction is the fraction of the write rate that critical placements may use
	// while submissions are backlogged.
	criticalWriteFraction = 0.4
	// nonCriticalInterval is the minimum interval between passes over non-critical jobs.
	nonCriticalInterval = 250 * time.Millisecond
)

// teamSettings returns the settings of a team, or nil if the team is not configured.
func (c *Controller) teamSettings(name string) *config.Team {
	for i := range c.settings.Cluster.Teams {
		if c.settings.Cluster.Teams[i].Name == name {
			return &c.settings.Cluster.Teams[i]
		}
	}
	return nil
}

// runScheduler runs a scheduling pass, if one is due, and commits the placements that it made.
// Non-critical jobs stay pending until this controller's write budget allows another
// transaction.
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
	c.scheduler.dirty = !includeNonCritical // non-critical jobs are left to a later pass
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

// hasRelevantChanges reports whether something changed that may affect the jobs of a pass.
func (s *scheduler) hasRelevantChanges(includeNonCritical bool) bool {
	return s.dirty && (includeNonCritical || s.criticalDirty)
}

// idlePassDue reports whether a pass is due even though no change is known.
func (c *Controller) idlePassDue(includeNonCritical bool) bool {
	pause := c.stretchPause(idlePassInterval, maxIdlePassInterval)
	return (includeNonCritical || c.scheduler.criticalDirty) && c.isDue(c.scheduler.nextPass.Add(pause))
}

// estimateDemand runs a pass that writes nothing. The provisioner needs the unmet demand of
// pending jobs even while no placement can be written.
func (c *Controller) estimateDemand() {
	c.scheduler.nextDemandEstimate = c.now.Add(demandEstimateInterval)
	c.scheduler.nextPass = c.now.Add(c.passPause())
	if c.sharded() {
		c.estimateFleetDemand()
	} else {
		c.schedule(map[string]*placementTransaction{}, true)
	}
}

// scheduleNextPasses sets the times at which the passes after this one are due.
func (c *Controller) scheduleNextPasses(includeNonCritical bool) {
	pause := c.passPause()
	c.scheduler.nextPass = c.now.Add(pause)
	if includeNonCritical {
		c.scheduler.nextNonCritical = c.now.Add(max(c.stretchPause(nonCriticalInterval, maxPassPause), 2*pause))
		c.scheduler.nextDemandEstimate = c.now.Add(demandEstimateInterval)
	}
}

// submissionsBacklogged reports whether so many submissions wait to be written that placements
// of critical jobs must leave writes to them. Critical placements have precedence over
// submissions, and every team could write one transaction after another with only a job or two
// in each. Of hundreds of jobs submitted at once, only a few per second would then be accepted,
// and the machines for them would be provisioned just as late. Spacing the placements out puts
// more jobs in each transaction, so that each job takes fewer writes.
func (c *Controller) submissionsBacklogged() bool {
	return c.admission.inFlight >= minAdmissionQueue
}

// startTransactions starts a transaction for the team whose turn it is, and collects the task
// exits to record in it. A transaction is built only when it can be written at once. If it had
// to wait for write tokens, it would be based on an outdated state and end in a conflict. Teams
// therefore take turns. Only after machines were lost with the tasks on them does every team get a
// transaction in the same pass.
func (c *Controller) startTransactions() map[string]*placementTransaction {
	transactions := map[string]*placementTransaction{}
	for _, name := range c.teamsByTurn() {
		team := c.cache.teams[name]
		if team.schedule.inFlight != nil || !c.isDue(team.schedule.nextTransaction) {
			continue
		}
		txn := c.newPlacementTransaction(team)
		c.collectTaskExits(txn)
		if !c.mayRecordExits(txn) || txn.empty() && !c.teamHasWork(name) {
			continue
		}
		transactions[name] = txn
		team.schedule.lastTurn = c.now
		if !c.scheduler.machinesLost {
			c.scheduler.dirty = true // other teams may be waiting for their turn
			break
		}
	}
	c.scheduler.machinesLost = false
	return transactions
}

// teamsByTurn returns the names of the teams, the team with the least recent turn first.
func (c *Controller) teamsByTurn() []string {
	names := sortedKeys(c.cache.teams)
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(c.cache.teams[a].schedule.lastTurn, c.cache.teams[b].schedule.lastTurn)
	})
	return names
}

// mayRecordExits reports whether this controller may write the task exits that a transaction
// collected. The team's owner may do so at once, other controllers only if the owner has not
// recorded them within exitCollectionDelay.
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

// startCriticalTransactions starts a transaction, restricted to critical jobs, for each team
// whose turn it is not. Critical jobs do not wait for their team's turn.
func (c *Controller) startCriticalTransactions(transactions map[string]*placementTransaction) {
	for _, name := range sortedKeys(c.cache.teams) {
		team := c.cache.teams[name]
		if transactions[name] == nil && team.schedule.inFlight == nil && c.isDue(team.schedule.nextTransaction) {
			transactions[name] = c.newPlacementTransaction(team)
			transactions[name].criticalOnly = true
		}
	}
}

// commitTransactions commits the transactions that are not empty. The more operations they have,
// the later the next pass over critical jobs alone may run while submissions are backlogged.
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

// teamHasWork reports whether this controller has work to do for a team: placing tasks,
// completing a job, or evicting tasks from machines with a preemption notice.
func (c *Controller) teamHasWork(team string) bool {
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

// hasTasksToPlace reports whether a job has tasks that this controller should place now.
func (c *Controller) hasTasksToPlace(job *job) bool {
	return !c.inBackoff(job) && job.completed.Len()+c.placedTasks(job.id) < job.spec.Tasks && c.schedulesJob(job)
}

// needsSchedulingPass reports whether this controller has to run a scheduling pass over the
// whole fleet: because it has pending jobs to schedule or, as the provisioner, because it needs
// to know the demand of all other jobs and whether there is enough headroom.
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

// schedulesJob reports whether this controller is responsible for placing a job. For
// acceptorPriorityPeriod, a new job is placed by the controller that accepted it, as long as that
// controller is alive. Otherwise the owner of the job's team is responsible. While sharding is in
// use, a forwarded job is placed by the controller that it was forwarded to.
func (c *Controller) schedulesJob(job *job) bool {
	if to, forwarded := c.forwardedTo(job.id); forwarded && c.sharded() {
		return to == c.settings.Label
	}
	if c.now.Sub(job.firstSeen) < acceptorPriorityPeriod && c.isAlive(job.acceptedBy) {
		return job.acceptedBy == c.membership.incarnation && !c.isolated()
	}
	return c.ownsTeam(job.spec.Team)
}

// sortedKeys returns the keys of a map in ascending order, for loops whose effects depend on the
// order. Go's own map order differs from run to run.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
