package controller

import (
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
	cache              *stateCache
	cluster            *config.Cluster
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

// copyPage is a copy of a page, without completed tasks of completed jobs.
func (txn *placementTransaction) copyPage(current *page) *page {
	return &page{key: current.key, team: current.team, zone: current.zone, number: current.number,
		version: current.version, size: current.size,
		allocations: slices.Clone(current.allocations), completed: txn.cache.uncompletedOnly(current.completed)}
}

// hasCapacityFor reports whether the transaction may still take on more writes. What it demands
// does not grow with its team: the head pages of its zones (those of zones in which it adds
// allocations are among its pages), the pages that it writes, its jobs, the shards that it places
// in, the token and the list of terminations.
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

// stageAllocation adds an allocation to a page of its zone that has space, or to a new one. It
// reports whether the transaction could take it.
func (txn *placementTransaction) stageAllocation(zone string, added Allocation) bool {
	return txn.stageAllocationExcept(zone, added, "")
}

// stageAllocationExcept is stageAllocation on any page but one.
func (txn *placementTransaction) stageAllocationExcept(zone string, added Allocation, exceptKey string) bool {
	team := txn.team
	limit := int(newAllocationFraction * float64(pageLimit(txn.cluster)))
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
			return txn.stageOnPage(current, added, size)
		}
		if number >= team.pageCount[zone] && len(target.allocations) == 0 {
			return false // it would fit on no page
		}
	}
}

// stageOnPage adds an allocation of a size to a page, and stages the head page of the zone, which
// is written with every addition. It reports whether the transaction could take that.
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

// unstageAttempt takes the new allocations of an attempt out of the transaction again.
func (txn *placementTransaction) unstageAttempt(attempt wire.Attempt) {
	for _, staged := range txn.pages {
		staged.allocations = slices.DeleteFunc(staged.allocations, func(a Allocation) bool { return a.Attempt == attempt })
	}
}
