package controller

import (
	"maps"
	"slices"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// commitPlacements commits a transaction and, once it has succeeded, sends commands to the machines
// that it concerns.
func (c *Controller) commitPlacements(placements *placementTransaction) {
	placements.dropCompletedJobs()
	changes := c.buildPlacementChanges(placements)
	if len(changes) == 0 {
		return
	}
	if placements.placesTasks {
		c.addPlacementConditions(placements)
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

// dropCompletedJobs removes the completed tasks of the jobs that the transaction completes from its
// staged pages.
func (txn *placementTransaction) dropCompletedJobs() {
	for id := range txn.completedJobs {
		for _, staged := range txn.pages {
			delete(staged.completed, id)
		}
	}
}

// buildPlacementChanges returns the writes of a transaction: the pages that changed, the
// completions of jobs and the fencing token. It adds the versions of the written pages to the
// conditions.
func (c *Controller) buildPlacementChanges(txn *placementTransaction) []wire.Change {
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
		changes = append(changes, c.putChange(record.FencingTokenKey, c.cache.token+1))
	}
	return changes
}

// addPlacementConditions adds the conditions of a transaction that places tasks (see
// placementTransaction).
func (c *Controller) addPlacementConditions(txn *placementTransaction) {
	for _, zone := range c.settings.Cluster.Zones {
		head := txn.team.headPage(zone)
		txn.conditions[head.key] = head.version // 0 requires that it does not exist
	}
	txn.conditions[record.TerminationsKey] = c.cache.keyVersions[record.TerminationsKey]
	for id := range txn.shards {
		owned := c.shards.table.Condition(id)
		txn.conditions[owned.Key] = owned.Version
	}
}

// handlePlacementResult handles the result of a transaction that was sent at the given time.
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
			c.notePlacementConflict(txn, sent)
		}
	}
	// The cache must be current before the team's next transaction. A conflict means that another
	// controller wrote changes that the cache does not have yet, and a transaction without a
	// response may have been executed.
	c.readBarrier(func(ok bool) {
		schedule.inFlight = nil
		c.scheduler.dirty = true
		if !ok {
			schedule.nextTransaction = c.now.Add(commitRetryDelay)
		}
	})
}

// handleCommittedPlacements applies a successful transaction to the cache and sends commands to the
// machines that it concerns.
func (c *Controller) handleCommittedPlacements(txn *placementTransaction, revision wire.Revision) {
	c.applyCommittedPages(txn, revision)
	for id := range txn.completedJobs {
		if c.cache.jobs[id] == nil {
			c.metrics.count(countJobsCompleted, 1)
		}
	}
	if txn.placesTasks {
		txn.team.schedule.resetPlacementConflicts()
	}
	for _, id := range sortedKeys(txn.notifyMachines) {
		if machine := c.fleet.machines[id]; machine != nil {
			c.sendCommandsNow(machine)
		}
	}
	if txn.raisesToken {
		c.refreshCache() // the cache takes the new token from the watch only
	}
}

// applyCommittedPages applies the pages that a transaction wrote to the cache.
func (c *Controller) applyCommittedPages(txn *placementTransaction, version wire.Revision) {
	for _, key := range sortedKeys(txn.pages) {
		// A staged page without changes is not written, even if its version is a condition. If it
		// were treated as written, the next transaction would require a version that never existed.
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

// finalizePages prepares the pages that a transaction writes, and returns their keys. These are the
// pages that changed and the head page of every zone in which it adds allocations.
func (c *Controller) finalizePages(txn *placementTransaction) []string {
	for _, key := range sortedKeys(txn.pages) {
		c.fitPage(txn, key)
	}
	for _, zone := range sortedKeys(txn.zonesWithAdditions) {
		txn.stagePage(txn.team.headPage(zone))
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

// fitPage moves allocations from a staged page to other pages until its value is within the size
// limit. Evictions and fences, which split allocations, may have made the page too large. If the
// allocations cannot be moved, the changes to the page are discarded, to be made again once there
// is space.
func (c *Controller) fitPage(txn *placementTransaction, key string) {
	staged := txn.pages[key]
	staged.sortAllocations()
	for staged.encodedSize() > c.pageLimit() {
		last := len(staged.allocations) - 1
		moved := staged.allocations[last]
		staged.allocations = staged.allocations[:last]
		if last == 0 || !txn.stageAllocationExcept(staged.zone, moved, key) {
			c.log.Warn("placement page full, changes to it postponed", "key", key)
			txn.pages[key] = txn.copyPage(txn.team.pages[key])
			return
		}
	}
}

// mustWrite reports whether a staged page has to be written, because it changed or because it is
// the head page of a zone with additions.
func (txn *placementTransaction) mustWrite(staged *page) bool {
	stored := txn.team.pages[staged.key]
	isHeadOfAddition := staged.number == 0 && txn.zonesWithAdditions[staged.zone]
	return stored == nil || isHeadOfAddition || !stored.sameContent(staged)
}

// sameContent reports whether two pages have the same stored content.
func (p *page) sameContent(other *page) bool {
	return len(p.completed) == len(other.completed) &&
		slices.EqualFunc(p.allocations, other.allocations, func(a, b Allocation) bool { return a.equal(&b) }) &&
		maps.EqualFunc(p.completed, other.completed, record.TaskSet.Equal)
}

// notePlacementConflict handles a transaction that places tasks and conflicted with another
// controller's. The machines that it used count as contended, and the next attempts try a few other
// machines at random. After a bounded number of conflicts, the team's placements are paused.
func (c *Controller) notePlacementConflict(txn *placementTransaction, sent Time) {
	team := txn.team
	team.schedule.notePlacementConflict(sent, txn.usedMachines)
	if team.schedule.placementConflicts >= c.operator.values.ProbeTries {
		c.backOffPlacement(team)
	} else {
		c.expirePlacementRetries(team)
	}
}

// expirePlacementRetries ends a team's retries once they have taken too long. If every machine with
// free capacity is contended, no further transaction is made whose result could end the retries.
// Without this time limit the machines would stay contended, and the tasks pending, forever.
func (c *Controller) expirePlacementRetries(team *team) {
	if team.schedule.placementConflicts > 0 && c.now.Sub(team.schedule.firstConflictSentAt) > c.operator.values.ProbeDuration() {
		c.backOffPlacement(team)
	}
}

// backOffPlacement pauses a team's placements after conflicts.
func (c *Controller) backOffPlacement(team *team) {
	team.schedule.resetPlacementConflicts()
	team.schedule.nextPlacement = c.now.Add(config.Seconds(c.operator.values.PlacementRetryS))
	c.metrics.count(countPlacementBackoffs, 1)
	c.log.Debug("placements paused after conflicts", "team", team.name)
}

// notePlacementConflict counts a conflict of a transaction that was sent at the given time, and adds
// the machines that it used to the contended ones.
func (s *teamSchedule) notePlacementConflict(sent Time, machines map[wire.MachineID]bool) {
	if s.placementConflicts == 0 {
		s.firstConflictSentAt = sent
		s.contendedMachines = map[wire.MachineID]bool{}
	}
	s.placementConflicts++
	for id := range machines {
		s.contendedMachines[id] = true
	}
}

// resetPlacementConflicts clears the count of conflicts and the contended machines.
func (s *teamSchedule) resetPlacementConflicts() { s.placementConflicts, s.contendedMachines = 0, nil }
