package controller

import (
	"maps"
	"slices"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// placementTransaction is one compare-and-swap write to a team's placement records. Decisions are
// staged on copies of the pages; commitPlacements writes the pages that changed.
//
// No task may run twice, though every controller places from a cache that may be behind. That
// rests on what the transaction demands of the state store, never on who made it:
//
//   - the versions of the pages that it writes: what others wrote meanwhile is not overwritten;
//   - if it places tasks, the versions of the head pages of all zones (one that does not exist
//     must still not). An allocation is never added without its zone's head page being written,
//     so the tasks that had no allocation when the decision was made still have none, and what
//     else the decision read of the team's allocations holds;
//   - if it places tasks, the version of the list of terminations: none of its machines was put
//     on that list or confirmed to be gone meanwhile. Switching sharding rewrites this list as
//     well, so placements of controllers with and without shards never mix;
//   - the records of the shards that it places in: a controller that was replaced as the owner of
//     a shard loses the write, however late it is executed;
//   - the versions of the records of the jobs that it places or completes: none of them was
//     cancelled or completed meanwhile;
//   - if it raises the fencing token, the token's version.
//
// A launch is sent only once the transaction has succeeded.
type placementTransaction struct {
	team               *team
	pages              map[string]*page              // staged pages by key
	completed          map[wire.JobID]record.TaskSet // tasks that it notes as completed
	completedJobs      map[wire.JobID]bool           // jobs that it completes
	zonesWithAdditions map[string]bool               // zones in which it adds allocations
	writtenPages       map[string]bool               // keys of the staged pages that it writes
	conditions         map[string]wire.Revision      // versions that it demands, by key
	placesTasks        bool                          // it adds allocations
	shards             map[wire.ShardID]bool         // shards that it places in
	urgent             bool                          // it places critical tasks
	criticalOnly       bool                          // it is not this team's turn for other tasks
	raisesToken        bool
	usedMachines       map[wire.MachineID]bool // machines that it places on
	notifyMachines     map[wire.MachineID]bool // machines with new commands afterwards
	operations         int                     // writes so far
	bytes              int                     // size of the values so far
}

const (
	// newAllocationFraction is the part of a page that new allocations may fill: the rest is for
	// evictions and fences, which divide allocations.
	newAllocationFraction = 0.8
	// reservedConditions is for the token, the list of terminations, and a job and a shard more.
	reservedConditions = 4
	// conditionsPerWrite bounds the conditions of a transaction, in proportion to its writes.
	conditionsPerWrite = 4
)

func (c *Controller) newPlacementTransaction(team *team) *placementTransaction {
	return &placementTransaction{
		team:               team,
		pages:              map[string]*page{},
		completed:          map[wire.JobID]record.TaskSet{},
		completedJobs:      map[wire.JobID]bool{},
		zonesWithAdditions: map[string]bool{},
		writtenPages:       map[string]bool{},
		conditions:         map[string]wire.Revision{},
		shards:             map[wire.ShardID]bool{},
		usedMachines:       map[wire.MachineID]bool{},
		notifyMachines:     map[wire.MachineID]bool{},
	}
}

func (txn *placementTransaction) empty() bool { return len(txn.pages) == 0 && len(txn.completed) == 0 }

// stagedOrCurrent is a page as the transaction would leave it.
func (txn *placementTransaction) stagedOrCurrent(current *page) *page {
	if staged := txn.pages[current.key]; staged != nil {
		return staged
	}
	return current
}

// stagePage is the copy of a page that the transaction may change. Completed tasks of completed
// jobs are left out of it.
func (c *Controller) stagePage(txn *placementTransaction, current *page) *page {
	staged := txn.pages[current.key]
	if staged == nil {
		staged = c.copyPage(current)
		txn.pages[current.key] = staged
		txn.operations++
		txn.bytes += current.size
	}
	return staged
}

func (c *Controller) copyPage(current *page) *page {
	return &page{key: current.key, team: current.team, zone: current.zone, number: current.number,
		version: current.version, size: current.size,
		allocations: slices.Clone(current.allocations), completed: c.uncompletedOnly(current.completed)}
}

// hasCapacityFor reports whether the transaction may still take on more writes. What it demands
// does not grow with its team: the head pages of its zones (those of zones in which it adds
// allocations are among its pages), the pages that it writes, its jobs, the shards that it places
// in, the token and the list of terminations.
func (c *Controller) hasCapacityFor(txn *placementTransaction, operations int) bool {
	limits := &c.settings.Cluster.State
	heads := len(c.settings.Cluster.Zones) - len(txn.zonesWithAdditions)
	conditions := len(txn.conditions) + len(txn.pages) + len(txn.shards) + heads + reservedConditions
	return txn.operations+operations < limits.TxnOps && conditions <= conditionsPerWrite*limits.TxnOps && txn.bytes < maxTxnBytes
}

// completeJob stages the completion of a job.
func (c *Controller) completeJob(txn *placementTransaction, job *job) {
	txn.completedJobs[job.id] = true
	txn.operations++
	txn.conditions[record.JobKey(job.id)] = job.version
}

// stageAllocation adds an allocation to a page of its zone that has space, or to a new one. It
// reports whether the transaction could take it.
func (c *Controller) stageAllocation(txn *placementTransaction, zone string, added Allocation) bool {
	return c.stageAllocationExcept(txn, zone, added, "")
}

// stageAllocationExcept is stageAllocation on any page but one.
func (c *Controller) stageAllocationExcept(txn *placementTransaction, zone string, added Allocation, exceptKey string) bool {
	team := txn.team
	limit := int(newAllocationFraction * float64(c.pageLimit()))
	number := 0
	if added.Shape == wire.ShapeService {
		// Replicas run for long. On pages of their own they are not rewritten again and again
		// with tasks that come and go within seconds.
		number = 1
	}
	for ; ; number++ {
		current := team.pages[record.PlacementKey(team.name, zone, number)]
		if current == nil {
			if number > 1 && number < team.pageCount[zone] {
				return false // the page exists, but is not in the cache
			}
			current = newPage(team.name, zone, number)
		}
		target := txn.stagedOrCurrent(current)
		size := added.encodedSizeAfter(target.allocations)
		if current.key != exceptKey && target.size+size <= limit {
			return c.stageOnPage(txn, current, added, size)
		}
		if number >= team.pageCount[zone] && len(target.allocations) == 0 {
			return false // it would fit on no page
		}
	}
}

// stageOnPage adds an allocation of a size to a page, and stages the head page of the zone, which
// is written with every addition. It reports whether the transaction could take that.
func (c *Controller) stageOnPage(txn *placementTransaction, current *page, added Allocation, size int) bool {
	head := txn.team.headPage(current.zone)
	if (txn.pages[current.key] == nil || txn.pages[head.key] == nil) && !c.hasCapacityFor(txn, 2) {
		return false
	}
	c.stagePage(txn, head)
	staged := c.stagePage(txn, current)
	staged.allocations = append(staged.allocations, added)
	staged.size += size
	txn.bytes += size
	txn.zonesWithAdditions[current.zone] = true
	return true
}

// unstageAttempt takes the new allocations of an attempt out of the transaction again.
func (c *Controller) unstageAttempt(txn *placementTransaction, attempt wire.Attempt) {
	for _, staged := range txn.pages {
		staged.allocations = slices.DeleteFunc(staged.allocations, func(a Allocation) bool { return a.Attempt == attempt })
	}
}

// commitPlacements writes a transaction and, once it has succeeded, commands the machines.
func (c *Controller) commitPlacements(placements *placementTransaction) {
	placements.dropCompletedJobs()
	changes := c.placementChanges(placements)
	if len(changes) == 0 {
		return
	}
	if placements.placesTasks {
		c.demandPlacementConditions(placements)
	}
	txn := wire.Transaction{Then: changes}
	for _, key := range sortedKeys(placements.conditions) {
		txn.If = append(txn.If, wire.Condition{Key: key, Version: placements.conditions[key]})
	}
	priority := PriorityBackground
	if placements.urgent {
		priority = PriorityUrgent
	}
	placements.team.schedule.inFlight = placements
	sent := c.now
	c.commitExceptPrefix(priority, txn, record.PlacementPrefix, func(result CommitResult) {
		c.handlePlacementResult(placements, sent, result)
	})
}

// dropCompletedJobs removes the completed tasks of the jobs that the transaction completes.
func (txn *placementTransaction) dropCompletedJobs() {
	for id := range txn.completedJobs {
		for _, staged := range txn.pages {
			delete(staged.completed, id)
		}
	}
}

// placementChanges are the writes of a transaction: pages, completions and the token. The
// versions of the pages become conditions.
func (c *Controller) placementChanges(txn *placementTransaction) []wire.Change {
	var changes []wire.Change
	for _, key := range c.finalizePages(txn) {
		staged := txn.pages[key]
		txn.conditions[key] = staged.version
		txn.writtenPages[key] = true
		changes = append(changes, c.putChange(key, staged.value()))
	}
	for _, id := range sortedKeys(txn.completedJobs) {
		completion := record.Completion{Status: wire.StatusDone, Done: c.cache.jobs[id].spec.Tasks}
		changes = append(changes, c.putChange(record.JobKey(id), record.CompletedJob{Completion: completion}))
	}
	if txn.raisesToken {
		changes = append(changes, c.putChange(record.TokenKey, c.cache.token+1))
	}
	return changes
}

// demandPlacementConditions adds what a transaction demands that places tasks (see
// placementTransaction).
func (c *Controller) demandPlacementConditions(txn *placementTransaction) {
	for _, zone := range c.settings.Cluster.Zones {
		head := txn.team.headPage(zone)
		txn.conditions[head.key] = head.version // 0 if it must not exist
	}
	txn.conditions[record.TerminationsKey] = c.cache.keyVersions[record.TerminationsKey]
	for id := range txn.shards {
		owned := c.shards.table.Condition(id)
		txn.conditions[owned.Key] = owned.Version
	}
}

// handlePlacementResult handles the result of a transaction that was sent at a time.
func (c *Controller) handlePlacementResult(txn *placementTransaction, sent Time, result CommitResult) {
	schedule := &txn.team.schedule
	c.scheduler.dirty = true
	c.scheduler.criticalDirty = c.scheduler.criticalDirty || c.scheduler.criticalPending
	switch result.Outcome {
	case Succeeded:
		schedule.inFlight = nil
		c.handleCommittedPlacements(txn, result.Revision)
		return
	case NotExecuted:
		schedule.inFlight = nil
		schedule.nextTransaction = c.now.Add(commitRetryDelay)
		return
	case Conflict:
		if txn.placesTasks {
			c.noteLostPlacement(txn, sent)
		}
	}
	// The cache has to be current before the team's next transaction: a conflict means that
	// others wrote what is not known here, and a transaction without an answer may have been
	// executed.
	c.readBarrier(func(ok bool) {
		schedule.inFlight = nil
		c.scheduler.dirty = true
		if !ok {
			schedule.nextTransaction = c.now.Add(commitRetryDelay)
		}
	})
}

// handleCommittedPlacements takes a transaction that succeeded into the cache and commands the
// machines that it concerns.
func (c *Controller) handleCommittedPlacements(txn *placementTransaction, revision wire.Revision) {
	c.applyCommittedPages(txn, revision)
	for id := range txn.completedJobs {
		if c.cache.jobs[id] == nil {
			c.metrics.count(countCompleted, 1)
		}
	}
	if txn.placesTasks {
		txn.team.schedule.resetLostPlacements()
	}
	for _, id := range sortedKeys(txn.notifyMachines) {
		if machine := c.fleet.machines[id]; machine != nil {
			c.sendCommandsNow(machine)
		}
	}
	if txn.raisesToken {
		c.refreshCache() // the new token is known only from the watch
	}
}

// applyCommittedPages takes the pages that a transaction wrote into the cache.
func (c *Controller) applyCommittedPages(txn *placementTransaction, version wire.Revision) {
	for _, key := range sortedKeys(txn.pages) {
		// A staged page that came out as it was is not written, though its version may be
		// demanded: taking it for written would demand a version that never existed the next
		// time.
		if !txn.writtenPages[key] || version <= c.cache.keyVersions[key] {
			continue
		}
		written := txn.pages[key]
		c.cache.keyVersions[key] = version
		written.version = version
		written.updateSize()
		c.replacePage(written)
	}
}

// finalizePages readies the pages that a transaction writes and returns their keys: those that
// changed, and the head page of every zone in which it adds allocations.
func (c *Controller) finalizePages(txn *placementTransaction) []string {
	for _, key := range sortedKeys(txn.pages) {
		c.fitPage(txn, key)
	}
	for _, zone := range sortedKeys(txn.zonesWithAdditions) {
		c.stagePage(txn, txn.team.headPage(zone))
	}
	var keys []string
	for _, key := range sortedKeys(txn.pages) {
		staged := txn.pages[key]
		staged.sortAllocations()
		if txn.mustWrite(staged) {
			keys = append(keys, key)
		}
	}
	return keys
}

// fitPage moves allocations of a staged page to other pages until its value fits: evictions and
// fences, which divide allocations, may have made it too large. If no page takes them, the page
// is left as it was until there is space.
func (c *Controller) fitPage(txn *placementTransaction, key string) {
	staged := txn.pages[key]
	staged.sortAllocations()
	for staged.encodedSize() > c.pageLimit() {
		last := len(staged.allocations) - 1
		moved := staged.allocations[last]
		staged.allocations = staged.allocations[:last]
		if last == 0 || !c.stageAllocationExcept(txn, staged.zone, moved, key) {
			c.log.Warn("placement page full", "key", key)
			txn.pages[key] = c.copyPage(txn.team.pages[key])
			return
		}
	}
}

// mustWrite reports whether a staged page is written: it changed, or it is the head page of a
// zone with additions.
func (txn *placementTransaction) mustWrite(staged *page) bool {
	stored := txn.team.pages[staged.key]
	isHeadOfAddition := staged.number == 0 && txn.zonesWithAdditions[staged.zone]
	return stored == nil || isHeadOfAddition || !stored.sameContent(staged)
}

// sameContent reports whether two pages are stored alike.
func (p *page) sameContent(other *page) bool {
	return len(p.completed) == len(other.completed) &&
		slices.EqualFunc(p.allocations, other.allocations, func(a, b Allocation) bool { return a.equal(&b) }) &&
		maps.EqualFunc(p.completed, other.completed, record.TaskSet.Equal)
}

// noteLostPlacement notes that a transaction that places tasks was lost to another controller's:
// its machines count as contended, and the next attempts probe others at random, for a bounded
// number of times.
func (c *Controller) noteLostPlacement(txn *placementTransaction, sent Time) {
	team := txn.team
	team.schedule.noteLostPlacement(sent, txn.usedMachines)
	if team.schedule.lostPlacements >= c.operator.values.ProbeTries {
		c.backOffPlacement(team)
	} else {
		c.expirePlacementRetries(team)
	}
}

// expirePlacementRetries ends a team's retries once they have taken too long. Where every machine
// with free capacity is contended there is no further write to lose or win, and without this
// bound the machines would stay contended, and the tasks pending, for ever.
func (c *Controller) expirePlacementRetries(team *team) {
	if team.schedule.lostPlacements > 0 && c.now.Sub(team.schedule.firstLostAt) > c.operator.values.Probe() {
		c.backOffPlacement(team)
	}
}

// backOffPlacement pauses a team's placements after lost transactions.
func (c *Controller) backOffPlacement(team *team) {
	team.schedule.resetLostPlacements()
	team.schedule.nextPlacement = c.now.Add(config.Seconds(c.operator.values.PlacementRetryS))
	c.metrics.count(countPlacementBackoffs, 1)
	c.log.Debug("placement backed off", "team", team.name)
}

// noteLostPlacement counts a lost transaction, sent at a time, and the machines that it used.
func (s *teamSchedule) noteLostPlacement(sent Time, machines map[wire.MachineID]bool) {
	if s.lostPlacements == 0 {
		s.firstLostAt = sent
		s.contendedMachines = map[wire.MachineID]bool{}
	}
	s.lostPlacements++
	for id := range machines {
		s.contendedMachines[id] = true
	}
}

// resetLostPlacements forgets the lost transactions and their machines.
func (s *teamSchedule) resetLostPlacements() { s.lostPlacements, s.contendedMachines = 0, nil }
