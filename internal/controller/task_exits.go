package controller

import (
	"time"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// A task is removed from its allocation only once its exit is confirmed, since its room is
// then given to other tasks and the task may be placed again. Any of the following confirms
// an exit:
//
//   - a direct heartbeat of the agent epoch for which the task was launched lists the task as
//     exited;
//   - a direct heartbeat has a later agent epoch, which means that the worker's lease ran out
//     and the worker killed all tasks;
//   - the machine was terminated.
//
// A heartbeat that does not list a task confirms its exit only if no launch of the task can
// still arrive: the allocation was fenced, and the worker has seen the fencing token. The
// absence of heartbeats confirms nothing. Neither do gossiped heartbeats, since they may be
// late.

const (
	// exitOperations is the maximum number of operations of a transaction that the exits of
	// one allocation take: the writes of the page and of the fencing token.
	// completionOperations includes the write of the job's record.
	exitOperations       = 2
	completionOperations = 3
)

// launchTimeout is how long a launcher may take to deliver a launch to a worker before the
// controller that receives the worker's heartbeats becomes the launcher.
const launchTimeout = 3 * time.Second

// observedTasks holds the tasks of an allocation by their state in a direct heartbeat of the
// allocation's agent epoch.
type observedTasks struct {
	exited  record.TaskSet
	done    record.TaskSet // those of exited that need not run again
	missing record.TaskSet // not listed in the heartbeat
}

// collectTaskExits removes tasks with a confirmed exit from the pages of a team, and fences
// launches that may still arrive.
func (c *Controller) collectTaskExits(txn *placementTransaction) {
	for _, page := range txn.team.orderedPages() {
		if !page.needsReview || c.cache.unreadable[page.key] != nil {
			continue // a write of a page that cannot be read would be lost
		}
		page.needsReview = false
		c.metrics.count(countPagesReviewed, 1)
		for i := range page.allocations {
			// Operations are left for the pages of the zones in which the transaction may
			// place tasks. On a page that is written anyway, further exits take no further
			// write.
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

// markPagesForReview marks the pages with allocations on a machine for review after something
// new became known of the machine, since that may confirm exits of their tasks.
func (m *machine) markPagesForReview() {
	for _, allocation := range m.allocations {
		allocation.page.needsReview = true
	}
}

// collectTaskExit removes the exited tasks of one allocation. It reports whether to review
// the allocation again even if nothing new becomes known of its machine, because an exit is
// still unconfirmed or a removal is yet to be committed. Most allocations run for a long time
// and need no review meanwhile.
func (c *Controller) collectTaskExit(txn *placementTransaction, page *page, allocation *Allocation) bool {
	machine := allocation.host
	heartbeat := machine.directHeartbeat
	// A worker in a new agent epoch obeys no command that was meant for an earlier one.
	if machine.scaling.terminated || heartbeat != nil && machine.isOfLaterEpoch(heartbeat, allocation) {
		if c.mayRunAtReusedAddress(machine, allocation) {
			return true
		}
		c.removeTasks(txn, page, allocation, allocation.Tasks, record.TaskSet{})
		return true
	}
	if heartbeat == nil || heartbeat.AgentEpoch < allocation.AgentEpoch {
		return false
	}
	observed := c.observeTasks(machine, allocation)
	if !observed.missing.IsEmpty() {
		if c.isFencedOff(allocation, heartbeat) {
			observed.exited = observed.exited.Union(observed.missing)
		} else {
			c.fenceMissingTasks(txn, page, allocation)
		}
	}
	if observed.exited.IsEmpty() {
		return !observed.missing.IsEmpty()
	}
	if !observed.done.IsEmpty() {
		observed.done = c.noteTasksDone(txn, allocation, observed.done)
	}
	c.removeTasks(txn, page, allocation, observed.exited, observed.done)
	return true
}

// observeTasks groups the tasks of an allocation by their state in the direct heartbeat.
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

// isFencedOff reports whether no launch of an allocation that is to be stopped can reach its
// worker any more. Those of its tasks that the worker does not list will then never run.
func (c *Controller) isFencedOff(allocation *Allocation, heartbeat *wire.Heartbeat) bool {
	return allocation.Eviction != record.EvictionNone && allocation.Fence > 0 && heartbeat.Token >= allocation.Fence
}

// fenceMissingTasks fences the launch of tasks that a worker does not list, if the launch may
// still arrive although it should not: the tasks are to be stopped, or their launcher has
// failed and this process takes its place (failover). With the fence, a launch that was sent
// by the earlier launcher is refused or appears in the next heartbeat.
func (c *Controller) fenceMissingTasks(txn *placementTransaction, page *page, allocation *Allocation) {
	switch {
	case allocation.Eviction != record.EvictionNone && allocation.Fence > 0:
		// already fenced, but the worker has not seen the fencing token yet
	case allocation.Eviction != record.EvictionNone || c.cache.jobs[allocation.Job] == nil:
		c.raiseFence(txn, page, allocation, func(staged *Allocation) {
			if staged.Eviction == record.EvictionNone {
				staged.Eviction = record.EvictionImmediate
			}
		})
	case c.launcherFailed(allocation):
		c.raiseFence(txn, page, allocation, func(staged *Allocation) {
			staged.Launcher = c.membership.incarnation
			c.metrics.count(countAllocationTakeOvers, 1)
		})
	}
}

// launcherFailed reports whether the launcher of an allocation is not alive, or is alive but
// does not reach the worker.
func (c *Controller) launcherFailed(allocation *Allocation) bool {
	if !c.isAlive(allocation.Launcher) {
		return true
	}
	return allocation.Launcher != c.membership.incarnation &&
		(c.isIsolatedIncarnation(allocation.Launcher) || c.launchTimedOut(allocation.host, allocation))
}

// noteTasksDone makes the transaction record tasks as done, and complete the job if they were
// its last ones. It returns the tasks to record, which are all tasks of the job for a gang,
// since these complete together.
func (c *Controller) noteTasksDone(txn *placementTransaction, allocation *Allocation, done record.TaskSet) record.TaskSet {
	job := c.cache.jobs[allocation.Job]
	if allocation.Shape == wire.ShapeGang {
		done = record.Span(0, job.spec.Tasks)
	}
	txn.completed[job.id] = txn.completed[job.id].Union(done)
	// If the transaction has no capacity left for the completion, completeJobs writes it
	// later. The room on the machine is freed in either case.
	if !txn.completedJobs[job.id] && job.completed.Union(txn.completed[job.id]).Len() == job.spec.Tasks && c.canCompleteJob(txn) {
		txn.completeJob(job)
	}
	return done
}

// canCompleteJob reports whether a transaction has the capacity to complete a job and still
// place tasks in all zones.
func (c *Controller) canCompleteJob(txn *placementTransaction) bool {
	return txn.hasCapacityFor(completionOperations + len(c.settings.Cluster.Zones))
}

// launchTimedOut reports whether the direct heartbeats of a worker have not listed the tasks
// of an allocation for so long that the launcher does not seem to reach the worker.
func (c *Controller) launchTimedOut(machine *machine, allocation *Allocation) bool {
	first := allocation.key(allocation.Tasks.First())
	since, ok := machine.reconciliation.missingSince[first]
	if !ok {
		machine.reconciliation.missingSince[first] = c.now
		return false
	}
	timeout := launchTimeout
	if job := c.cache.jobs[allocation.Job]; job != nil && allocation.Shape == wire.ShapeGang {
		timeout += c.gangImagePullTime(job, allocation.Attempt) // the launcher may defer the launch of a gang
	}
	return c.now.Sub(max(since, c.resumedAt)) > timeout && c.now.Sub(machine.liveness.lastDirectAt) < launchTimeout
}

// raiseFence changes an allocation and raises the fencing token in the same transaction, so
// that every controller that knows the token also knows the change.
func (c *Controller) raiseFence(txn *placementTransaction, page *page, allocation *Allocation, change func(*Allocation)) {
	staged := txn.stagePage(page)
	for i := range staged.allocations {
		candidate := &staged.allocations[i]
		if !sameAllocation(candidate, allocation) {
			continue
		}
		change(candidate)
		candidate.Fence = c.cache.token + 1
		c.metrics.count(countFencesRaised, 1)
		if !txn.raisesToken {
			txn.raisesToken = true
			txn.operations++
			txn.conditions[record.FencingTokenKey] = c.cache.keyVersions[record.FencingTokenKey]
		}
		txn.notifyMachines[allocation.Machine] = true
	}
}

func sameAllocation(a, b *Allocation) bool {
	return a.Job == b.Job && a.Attempt == b.Attempt && a.Machine == b.Machine && a.Eviction == b.Eviction
}

// removeTasks removes exited tasks from an allocation and records those of them that are
// done.
func (c *Controller) removeTasks(txn *placementTransaction, page *page, allocation *Allocation, exited, done record.TaskSet) {
	staged := txn.stagePage(page)
	kept := staged.allocations[:0]
	for _, candidate := range staged.allocations {
		if candidate.Job == allocation.Job && candidate.Attempt == allocation.Attempt && candidate.Machine == allocation.Machine {
			candidate.Tasks = candidate.Tasks.Difference(exited)
			if candidate.Tasks.IsEmpty() {
				continue
			}
		}
		kept = append(kept, candidate)
	}
	staged.allocations = kept
	if !done.IsEmpty() {
		staged.completed[allocation.Job] = staged.completed[allocation.Job].Union(done)
	}
}

// completeJobs completes jobs that were not completed together with their last tasks. Either
// several controllers recorded the last tasks at once and none of them saw all tasks, or the
// transaction had no capacity left for the completion, as may happen when hundreds of small
// jobs end together.
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
