package controller

import (
	"encoding/json"
	"fmt"

	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// job is a job that is not completed.
type job struct {
	id         wire.JobID
	spec       wire.JobSpec
	acceptedAt int64              // Unix milliseconds
	acceptedBy wire.FencingToken  // the incarnation that accepted it
	version    wire.Revision      // of its record
	completed  record.TaskSet     // by the placement records
	request    *placement.Request // made from spec

	// What follows is known to this controller only.

	crashLoop     crashLoopBackoff
	firstSeen     Time
	pendingReason string // why tasks of it are pending
	started       bool   // its first start was counted
	// launchingAttempt is the attempt of a gang that is being launched, since launchStartedAt.
	launchingAttempt wire.Attempt
	launchStartedAt  Time
	nextForward      Time // it is not forwarded before
	// unreadable says that its record cannot be decoded (see markJobUnreadable).
	unreadable bool
}

// newJob adds a job to the cache.
func (c *Controller) newJob(id wire.JobID) *job {
	added := &job{id: id, firstSeen: c.now}
	added.crashLoop = newCrashLoopBackoff()
	c.cache.jobs[id] = added
	return added
}

// applyJob takes a job's record, or nil if it was deleted, into the cache.
func (c *Controller) applyJob(id wire.JobID, value json.RawMessage, version wire.Revision) error {
	c.scheduler.dirty = true
	for _, allocation := range c.cache.allocationsByJob[id] {
		allocation.host.reconciliation.reconciledHeartbeat, allocation.page.needsReview = nil, true
	}
	if value == nil {
		// The same transaction archived its completion under a key of its own.
		delete(c.cache.jobs, id)
		delete(c.cache.completedJobs, id)
		return nil
	}
	var stored record.Job
	if err := record.Decode(value, c.maxDecodedSize(), &stored); err != nil {
		c.markJobUnreadable(id, version)
		return fmt.Errorf("decode job: %w", err)
	}
	if stored.Completion != nil {
		return c.applyCompletion(id, *stored.Completion, version)
	}
	c.applyOpenJob(id, &stored, version)
	return nil
}

// applyCompletion notes that a job is completed. Its tasks that are still on machines are looked
// after as completed tasks and, if it was cancelled, siblings are told.
func (c *Controller) applyCompletion(id wire.JobID, completion record.Completion, version wire.Revision) error {
	if !completion.Status.IsTerminal() {
		return errNotTerminal
	}
	delete(c.cache.jobs, id)
	if _, known := c.cache.completedJobs[id]; !known && completion.Status == wire.StatusCancelled {
		c.noteCancellation(wire.Cancellation{Job: id, Version: version, Done: completion.Done})
	}
	c.cache.completedJobs[id] = completion
	for _, allocation := range c.cache.allocationsByJob[id] {
		c.noteCompletedTasksOn(allocation.Machine)
	}
	return nil
}

// applyOpenJob takes the record of a job that is not completed into the cache.
func (c *Controller) applyOpenJob(id wire.JobID, stored *record.Job, version wire.Revision) {
	cached := c.cache.jobs[id]
	if cached == nil {
		cached = c.newJob(id)
		// While all keys are loaded, a page may have come before its job.
		for _, page := range c.cache.team(stored.Spec.Team).pages {
			cached.completed = cached.completed.With(page.completed[id])
		}
	}
	c.scheduler.criticalDirty = c.scheduler.criticalDirty || stored.Spec.Priority == wire.PriorityCritical
	cached.spec, cached.version, cached.unreadable = stored.Spec, version, false
	cached.acceptedAt, cached.acceptedBy = stored.AcceptedAt, stored.AcceptedBy
	cached.request = placement.NewRequest(&cached.spec)
}

// markJobUnreadable keeps a job whose record cannot be decoded as it is: its tasks keep running,
// none is placed, the job is not taken for completed, and its users are told to come back.
func (c *Controller) markJobUnreadable(id wire.JobID, version wire.Revision) {
	delete(c.cache.completedJobs, id)
	cached := c.cache.jobs[id]
	if cached == nil {
		cached = c.newJob(id)
		cached.spec = wire.JobSpec{ID: id, Tasks: wire.MaxTasks}
		cached.request = placement.NewRequest(&cached.spec)
	}
	cached.version, cached.unreadable = version, true
}

// jobUnreadable reports whether the record of a job, or a placement record of its team, cannot be
// decoded, so that nothing can be concluded from what a machine says of the job's tasks.
func (c *Controller) jobUnreadable(id wire.JobID) bool {
	cached := c.cache.jobs[id]
	return len(c.cache.unreadable) > 0 && cached != nil && (cached.unreadable || c.teamUnreadable(cached.spec.Team))
}
