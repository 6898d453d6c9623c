package controller

import (
	"slices"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// placementTransaction is one transaction with conditions (compare-and-swap) on a team's placement
// records. Decisions are staged on copies of the pages, and commitPlacements writes the pages that
// changed.
//
// No task may run twice, although every controller places tasks based on a cache that may be
// behind. This is ensured by the conditions of the transaction alone, whichever controller makes
// it:
//
//   - The versions of the pages that it writes. Concurrent writes of other controllers are not
//     overwritten.
//   - If it places tasks, the versions of the head pages of all zones, where version 0 requires
//     that the page does not exist. Every transaction that adds an allocation writes the head page
//     of the allocation's zone. So tasks without an allocation at the time of the decision still
//     have none, and everything else that the decision read of the team's allocations still holds.
//   - If it places tasks, the version of the list of terminations. None of its machines was added
//     to that list, or confirmed as terminated, in the meantime. Enabling or disabling sharding
//     rewrites this list as well, so placements of controllers with and without shards never mix.
//   - The versions of the records of the shards in which it places tasks. The write of a controller
//     that was replaced as the owner of a shard fails, however late it is executed.
//   - The versions of the records of the jobs that it places or completes. None of them was
//     cancelled or completed in the meantime.
//   - If it raises the fencing token, the token's version.
//
// A launch is sent only after the transaction has succeeded.
type placementTransaction struct {
	cache              *stateCache
	cluster            *config.Cluster
	team               *team
	pages              map[string]*page              // staged pages by key
	completed          map[wire.JobID]record.TaskSet // tasks that it records as completed
	completedJobs      map[wire.JobID]bool           // jobs that it completes
	zonesWithAdditions map[string]bool               // zones in which it adds allocations
	writtenPages       map[string]bool               // keys of the staged pages that it writes
	conditions         map[string]wire.Revision      // required versions, by key
	placesTasks        bool                          // it adds allocations
	shards             map[wire.ShardID]bool         // shards in which it places tasks
	urgent             bool                          // it places critical tasks
	criticalOnly       bool                          // it may place critical tasks only, as it is not the team's turn
	raisesToken        bool
	usedMachines       map[wire.MachineID]bool // machines on which it places tasks
	notifyMachines     map[wire.MachineID]bool // machines to send new commands to once it has succeeded
	operations         int                     // number of writes so far
	bytes              int                     // size of the written values so far
}

const (
	// newAllocationFraction is the fraction of a page that new allocations may fill. The rest is
	// reserved for evictions and fences, which split allocations.
	newAllocationFraction = 0.8
	// reservedConditions is the number of conditions reserved for the fencing token, the list of
	// terminations, one more job and one more shard.
	reservedConditions = 4
	// conditionsPerWrite bounds the number of conditions of a transaction, relative to the number
	// of writes that the state store allows in a transaction.
	conditionsPerWrite = 4
)

// newPlacementTransaction returns an empty transaction for a team.
func (c *Controller) newPlacementTransaction(team *team) *placementTransaction {
	return &placementTransaction{
		cache:              &c.cache,
		cluster:            &c.settings.Cluster,
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

// empty reports whether the transaction stages neither pages nor completed tasks.
func (txn *placementTransaction) empty() bool { return len(txn.pages) == 0 && len(txn.completed) == 0 }

// stagedOrCurrent returns a page as the transaction would leave it: the staged copy if there is
// one, or else the current page.
func (txn *placementTransaction) stagedOrCurrent(current *page) *page {
	if staged := txn.pages[current.key]; staged != nil {
		return staged
	}
	return current
}

// stagePage returns the transaction's copy of a page, which may be changed, and makes the copy if
// there is none. The copy leaves out the completed tasks of completed jobs.
func (txn *placementTransaction) stagePage(current *page) *page {
	staged := txn.pages[current.key]
	if staged == nil {
		staged = txn.copyPage(current)
		txn.pages[current.key] = staged
		txn.operations++
		txn.bytes += current.size
	}
	return staged
}

// copyPage returns a copy of a page without the completed tasks of completed jobs.
func (txn *placementTransaction) copyPage(current *page) *page {
	return &page{key: current.key, team: current.team, zone: current.zone, number: current.number,
		version: current.version, size: current.size,
		allocations: slices.Clone(current.allocations), completed: txn.cache.withoutCompletedJobs(current.completed)}
}

// hasCapacityFor reports whether the transaction can take the given number of further writes. The
// number of its conditions does not grow with the size of the team. There is one condition for the
// head page of each zone (those of zones with additions are among the staged pages), for each page
// that it writes, for each of its jobs, for each shard in which it places tasks, for the fencing
// token and for the list of terminations.
func (txn *placementTransaction) hasCapacityFor(operations int) bool {
	limits := &txn.cluster.State
	heads := len(txn.cluster.Zones) - len(txn.zonesWithAdditions)
	conditions := len(txn.conditions) + len(txn.pages) + len(txn.shards) + heads + reservedConditions
	return txn.operations+operations < limits.TxnOps && conditions <= conditionsPerWrite*limits.TxnOps && txn.bytes < maxTxnBytes
}

// completeJob stages the completion of a job.
func (txn *placementTransaction) completeJob(job *job) {
	txn.completedJobs[job.id] = true
	txn.operations++
	txn.conditions[record.JobKey(job.id)] = job.version
}

// stageAllocation adds an allocation to a page of its zone that has space, or to a new page. It
// reports whether the allocation could be added.
func (txn *placementTransaction) stageAllocation(zone string, added Allocation) bool {
	return txn.stageAllocationExcept(zone, added, "")
}

// stageAllocationExcept does the same as stageAllocation, but does not use the page with the key
// exceptKey.
func (txn *placementTransaction) stageAllocationExcept(zone string, added Allocation, exceptKey string) bool {
	team := txn.team
	limit := int(newAllocationFraction * float64(pageLimit(txn.cluster)))
	number := 0
	if added.Shape == wire.ShapeService {
		// Service replicas run for a long time. They are kept off the head page, so that they are
		// not rewritten over and over with tasks that start and end within seconds.
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
			return txn.stageOnPage(current, added, size)
		}
		if number >= team.pageCount[zone] && len(target.allocations) == 0 {
			return false // too large even for an empty page
		}
	}
}

// stageOnPage adds an allocation, whose encoded size is given in bytes, to a page. It also stages
// the head page of the zone, which is written with every addition. It reports whether the
// transaction had capacity for both.
func (txn *placementTransaction) stageOnPage(current *page, added Allocation, size int) bool {
	head := txn.team.headPage(current.zone)
	if (txn.pages[current.key] == nil || txn.pages[head.key] == nil) && !txn.hasCapacityFor(2) {
		return false
	}
	txn.stagePage(head)
	staged := txn.stagePage(current)
	staged.allocations = append(staged.allocations, added)
	staged.size += size
	txn.bytes += size
	txn.zonesWithAdditions[current.zone] = true
	return true
}

// unstageAttempt removes the new allocations of an attempt from the staged pages.
func (txn *placementTransaction) unstageAttempt(attempt wire.Attempt) {
	for _, staged := range txn.pages {
		staged.allocations = slices.DeleteFunc(staged.allocations, func(a Allocation) bool { return a.Attempt == attempt })
	}
}
