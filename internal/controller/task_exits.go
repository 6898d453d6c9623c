package controller

import (
	"time"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// A task is removed from its allocation only once its exit is confirmed, since its room is
// then given to others and the task may be placed again. One of three things confirms it:
//
//   - a direct heartbeat of the agent epoch for which it was launched lists the task as
//     exited;
//   - a direct heartbeat has a later agent epoch: the worker's lease ran out, and it killed
//     everything;
//   - the machine was terminated.
//
// That a heartbeat does not list a task confirms its exit only if no launch of it can still
// arrive: the allocation was fenced, and the worker has seen the fencing token. Silence
// confirms nothing, and gossiped heartbeats do not either: they may be late.

const (
	// exitOperations is the most operations of a transaction that the exits of an allocation
	// take: the page and the token. completionOperations has the job's record as well.
	exitOperations       = 2
	completionOperations = 3
)

// launchTimeout is how long a launcher has to get a launch to a worker before the
// controller that receives the worker's heartbeats becomes the launcher.
const launchTimeout = 3 * time.Second

// observedTasks is the tasks of an allocation by what a direct heartbeat of its agent
// epoch says of them.
type observedTasks struct {
	exited  record.TaskSet
	done    record.TaskSet // of the exited: those that need not run again
	missing record.TaskSet // not listed
}

// collectTaskExits removes tasks with a confirmed exit from the pages of a team, and fences
// off launches that may still arrive.
func (c *Controller) collectTaskExits(txn *placementTransaction) {
	for _, page := range txn.team.orderedPages() {
		if !page.needsReview || c.cache.unreadable[page.key] != nil {
			continue // a write of a page that cannot be read would be lost
		}
		page.needsReview = false
		c.metrics.count(countPagesReviewed, 1)
		for i := range page.allocations {
			// Room is left for the pages of the zones that it may place in. On a page
			// that is written anyway, more exits cost no further write.
			if txn.pages[page.key] == nil && !c.canCompleteJob(txn) || !txn.hasCapacityFor(exitOperations) {
				page.needsReview = true
				break
			}
			if c.collectTaskExit(txn, page, &page.allocations[i]) {
				page.needsReview = true
			}
		}
	}
}

// markPagesForReview notes that a machine showed something new: exits of tasks
// of its allocations may be confirmed by it.
func (m *machine) markPagesForReview() {
	for _, allocation := range m.allocations {
		allocation.page.needsReview = true
	}
}

// collectTaskExit removes the exited tasks of one allocation, and reports whether to look
// at it again even if its machine shows nothing new: something is open, or was removed and
// is yet to be written. Most allocations run for long and cost nothing meanwhile.
func (c *Controller) collectTaskExit(txn *placementTransaction, page *page, allocation *Allocation) bool {
	machine := allocation.host
	heartbeat := machine.directHeartbeat
	// After a new agent epoch the worker obeys no command that was meant for the one before.
	if machine.scaling.terminated || heartbeat != nil && heartbeat.AgentEpoch > allocation.AgentEpoch {
		c.removeTasks(txn, page, allocation, allocation.Tasks, record.TaskSet{})
		return true
	}
	if heartbeat == nil || heartbeat.AgentEpoch < allocation.AgentEpoch {
		return false
	}
	observed := c.observeTasks(machine, allocation)
	if !observed.missing.Empty() {
		if c.isFencedOff(allocation, heartbeat) {
			observed.exited = observed.exited.With(observed.missing)
		} else {
			c.fenceMissingTasks(txn, page, allocation)
		}
	}
	if observed.exited.Empty() {
		return !observed.missing.Empty()
	}
	if !observed.done.Empty() {
		observed.done = c.noteTasksDone(txn, allocation, observed.done)
	}
	c.removeTasks(txn, page, allocation, observed.exited, observed.done)
	return true
}

// observeTasks sorts an allocation's tasks by what the direct heartbeat says of them.
func (c *Controller) observeTasks(machine *machine, allocation *Allocation) observedTasks {
	var observed observedTasks
	countsAsDone := c.cache.jobs[allocation.Job] != nil && allocation.Shape != wire.ShapeService
	for i := range allocation.Tasks.All {
		task := machine.directTasks[allocation.key(i)]
		switch {
		case task == nil:
			observed.missing = observed.missing.Add(i)
		case task.State == wire.TaskExited:
			observed.exited = observed.exited.Add(i)
			if task.Cause == wire.CauseDone && countsAsDone {
				observed.done = observed.done.Add(i)
			}
		}
	}
	return observed
}

// isFencedOff reports whether no launch of an allocation that is to end can reach its worker
// any more: what the worker does not list then will never run.
func (c *Controller) isFencedOff(allocation *Allocation, heartbeat *wire.Heartbeat) bool {
	return allocation.Eviction != record.EvictionNone && allocation.Fence > 0 && heartbeat.Token >= allocation.Fence
}

// fenceMissingTasks fences off a launch of tasks that a worker does not list, where it may
// still arrive though it should not: the tasks are to end, or their launcher has failed and
// this process takes its place (failover). With the fence, a launch that the other sent is
// refused or shows in the next heartbeat.
func (c *Controller) fenceMissingTasks(txn *placementTransaction, page *page, allocation *Allocation) {
	switch {
	case allocation.Eviction != record.EvictionNone && allocation.Fence > 0:
		// fenced already: the worker has yet to see it
	case allocation.Eviction != record.EvictionNone || c.cache.jobs[allocation.Job] == nil:
		c.raiseFence(txn, page, allocation, func(staged *Allocation) {
			if staged.Eviction == record.EvictionNone {
				staged.Eviction = record.EvictionImmediate
			}
		})
	case c.launcherFailed(allocation):
		c.raiseFence(txn, page, allocation, func(staged *Allocation) {
			staged.Launcher = c.membership.incarnation
			c.metrics.count(countTakeOvers, 1)
		})
	}
}

// launcherFailed reports whether an allocation's launcher has ended, or lives but does not
// reach the worker.
func (c *Controller) launcherFailed(allocation *Allocation) bool {
	if !c.isAlive(allocation.Launcher) {
		return true
	}
	return allocation.Launcher != c.membership.incarnation &&
		(c.isIsolatedIncarnation(allocation.Launcher) || c.launchTimedOut(allocation.host, allocation))
}

// noteTasksDone has the transaction record tasks as done, and complete the job if they were
// its last. It returns the tasks to record: those of a gang complete together.
func (c *Controller) noteTasksDone(txn *placementTransaction, allocation *Allocation, done record.TaskSet) record.TaskSet {
	job := c.cache.jobs[allocation.Job]
	if allocation.Shape == wire.ShapeGang {
		done = record.Span(0, job.spec.Tasks)
	}
	txn.completed[job.id] = txn.completed[job.id].With(done)
	// Where there is no room for the completion it is written later (completeJobs): the
	// machine's room is free all the same.
	if !txn.completedJobs[job.id] && job.completed.With(txn.completed[job.id]).Len() == job.spec.Tasks && c.canCompleteJob(txn) {
		txn.completeJob(job)
	}
	return done
}

// canCompleteJob reports whether a transaction may take on another change and still have
// room to place tasks in all zones.
func (c *Controller) canCompleteJob(txn *placementTransaction) bool {
	return txn.hasCapacityFor(completionOperations + len(c.settings.Cluster.Zones))
}

// launchTimedOut reports whether a worker that sends heartbeats to this controller has
// lacked an allocation's tasks for so long that its launcher does not seem to reach it.
func (c *Controller) launchTimedOut(machine *machine, allocation *Allocation) bool {
	first := allocation.key(allocation.Tasks.First())
	since, ok := machine.reconciliation.missingSince[first]
	if !ok {
		machine.reconciliation.missingSince[first] = c.now
		return false
	}
	timeout := launchTimeout
	if job := c.cache.jobs[allocation.Job]; job != nil && allocation.Shape == wire.ShapeGang {
		timeout += c.gangImagePullTime(job, allocation.Attempt) // its launcher may defer it
	}
	return c.now.Sub(max(since, c.resumedAt)) > timeout && c.now.Sub(machine.liveness.lastDirectAt) < launchTimeout
}

// raiseFence changes an allocation and raises the token in the same transaction: whoever
// knows of the token knows of the change.
func (c *Controller) raiseFence(txn *placementTransaction, page *page, allocation *Allocation, change func(*Allocation)) {
	staged := txn.stagePage(page)
	for i := range staged.allocations {
		candidate := &staged.allocations[i]
		if !sameAllocation(candidate, allocation) {
			continue
		}
		change(candidate)
		candidate.Fence = c.cache.token + 1
		c.metrics.count(countFences, 1)
		if !txn.raisesToken {
			txn.raisesToken = true
			txn.operations++
			txn.conditions[record.TokenKey] = c.cache.keyVersions[record.TokenKey]
		}
		txn.notifyMachines[allocation.Machine] = true
	}
}

func sameAllocation(a, b *Allocation) bool {
	return a.Job == b.Job && a.Attempt == b.Attempt && a.Machine == b.Machine && a.Eviction == b.Eviction
}

// removeTasks takes exited tasks out of an allocation and records those of them that are
// done.
func (c *Controller) removeTasks(txn *placementTransaction, page *page, allocation *Allocation, exited, done record.TaskSet) {
	staged := txn.stagePage(page)
	kept := staged.allocations[:0]
	for _, candidate := range staged.allocations {
		if candidate.Job == allocation.Job && candidate.Attempt == allocation.Attempt && candidate.Machine == allocation.Machine {
			candidate.Tasks = candidate.Tasks.Without(exited)
			if candidate.Tasks.Empty() {
				continue
			}
		}
		kept = append(kept, candidate)
	}
	staged.allocations = kept
	if !done.Empty() {
		staged.completed[allocation.Job] = staged.completed[allocation.Job].With(done)
	}
}

// completeJobs completes jobs whose last tasks were recorded by several controllers at
// once, none of which saw them all, or by a transaction that had no room left for the
// completions: when hundreds of small jobs end together, these come after their tasks'.
func (c *Controller) completeJobs(transactions map[string]*placementTransaction) {
	for _, id := range sortedKeys(c.cache.jobs) {
		job := c.cache.jobs[id]
		txn := transactions[job.spec.Team]
		if txn == nil || job.completed.Len() < job.spec.Tasks || !c.ownsTeam(job.spec.Team) || !txn.hasCapacityFor(completionOperations) {
			continue
		}
		if !txn.completedJobs[id] {
			txn.completed[id] = record.TaskSet{}
			txn.completeJob(job)
		}
	}
}
