package controller

import (
	"maps"
	"slices"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// commitPlacements writes a transaction and, once it has succeeded, commands the machines.
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

// dropCompletedJobs removes the completed tasks of the jobs that the transaction completes.
func (txn *placementTransaction) dropCompletedJobs() {
	for id := range txn.completedJobs {
		for _, staged := range txn.pages {
			delete(staged.completed, id)
		}
	}
}

// buildPlacementChanges are the writes of a transaction: pages, completions and the token. The
// versions of the pages become conditions.
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
		changes = append(changes, c.putChange(record.TokenKey, c.cache.token+1))
	}
	return changes
}

// addPlacementConditions adds what a transaction demands that places tasks (see
// placementTransaction).
func (c *Controller) addPlacementConditions(txn *placementTransaction) {
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
		if last == 0 || !txn.stageAllocationExcept(staged.zone, moved, key) {
			c.log.Warn("placement page full", "key", key)
			txn.pages[key] = txn.copyPage(txn.team.pages[key])
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
