package controller

import (
	"encoding/json"
	"fmt"

	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// job is the cached state of a job that is not completed.
type job struct {
	id         wire.JobID
	spec       wire.JobSpec
	acceptedAt int64              // Unix milliseconds
	acceptedBy wire.FencingToken  // the incarnation that accepted the job
	version    wire.Revision      // version of the job's record
	completed  record.TaskSet     // tasks that are completed according to the placement records
	request    *placement.Request // derived from spec

	// The following fields are known to this controller only.

	crashLoop     crashLoopBackoff
	firstSeen     Time
	pendingReason string // why tasks of the job are pending
	started       bool   // the job's first start was counted
	// launchingAttempt is the attempt of a gang whose launch began at launchStartedAt.
	launchingAttempt wire.Attempt
	launchStartedAt  Time
	nextForward      Time // earliest time at which the job may be forwarded
	// unreadable reports whether the job's record cannot be decoded (see markJobUnreadable).
	unreadable bool
}

// addJob adds an empty job to the cache and returns it.
func (c *Controller) addJob(id wire.JobID) *job {
	added := &job{id: id, firstSeen: c.now}
	added.crashLoop = newCrashLoopBackoff()
	c.cache.jobs[id] = added
	return added
}

// applyJob applies a job's record to the cache. A nil value means that the record was deleted.
func (c *Controller) applyJob(id wire.JobID, value json.RawMessage, version wire.Revision) error {
	c.scheduler.dirty = true
	for _, allocation := range c.cache.allocationsByJob[id] {
		allocation.host.reconciliation.reconciledHeartbeat, allocation.page.needsReview = nil, true
	}
	if value == nil {
		// The transaction that deleted the record archived the job's completion under a separate
		// key.
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

// applyCompletion records that a job is completed. Its tasks that are still on machines are tracked
// as completed tasks. If the job was cancelled, the cancellation is added to the watermarks that peers
// receive.
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

// applyOpenJob applies the record of a job that is not completed to the cache.
func (c *Controller) applyOpenJob(id wire.JobID, stored *record.Job, version wire.Revision) {
	cached := c.cache.jobs[id]
	if cached == nil {
		cached = c.addJob(id)
		// While all keys are being loaded, a page may be applied before the jobs of its tasks.
		for _, page := range c.cache.team(stored.Spec.Team).pages {
			cached.completed = cached.completed.Union(page.completed[id])
		}
	}
	c.scheduler.criticalDirty = c.scheduler.criticalDirty || stored.Spec.Priority == wire.PriorityCritical
	cached.spec, cached.version, cached.unreadable = stored.Spec, version, false
	cached.acceptedAt, cached.acceptedBy = stored.AcceptedAt, stored.AcceptedBy
	cached.request = placement.NewRequest(&cached.spec)
}

// markJobUnreadable keeps a job whose record cannot be decoded. Its tasks keep running, but no more
// of them are placed. The job does not count as completed, and requests for it are refused with the
// advice to retry.
func (c *Controller) markJobUnreadable(id wire.JobID, version wire.Revision) {
	delete(c.cache.completedJobs, id)
	cached := c.cache.jobs[id]
	if cached == nil {
		cached = c.addJob(id)
		cached.spec = wire.JobSpec{ID: id, Tasks: wire.MaxTasks}
		cached.request = placement.NewRequest(&cached.spec)
	}
	cached.version, cached.unreadable = version, true
}

// jobUnreadable reports whether the record of a job, or a placement record of its team, cannot be
// decoded. If so, no conclusion may be drawn from the job's tasks in a machine's heartbeat.
func (c *Controller) jobUnreadable(id wire.JobID) bool {
	cached := c.cache.jobs[id]
	return len(c.cache.unreadable) > 0 && cached != nil && (cached.unreadable || c.teamUnreadable(cached.spec.Team))
}
