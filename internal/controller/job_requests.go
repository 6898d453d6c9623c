package controller

import (
	"net/http"
	"time"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

const (
	// retryDelay and longRetryDelay are the delays after which the sender of a request that cannot
	// be decided now is advised to retry. The long delay applies while the state store is
	// unreachable.
	retryDelay     = time.Second
	longRetryDelay = 2 * time.Second
)

// Reasons in error responses to users. Clients may compare them, so they must not change.
const (
	reasonStarting         = "starting"
	reasonStoreUnavailable = "state service unavailable"
	reasonStateChanged     = "state changed; try again"
	reasonNoSuchJob        = "no such job"
)

func (c *Controller) reply(request RequestID, status int, body any) {
	c.emit(Reply{Request: request, Status: status, Body: body})
}

// refuse replies to a request with an error. If retryAfter is positive, the reply advises the sender
// to retry after that time.
func (c *Controller) refuse(request RequestID, status int, reason string, retryAfter time.Duration) {
	c.metrics.count(countRequestsRefused, 1)
	c.emit(Reply{Request: request, Status: status, Body: wire.ErrorResponse{Error: reason}, RetryAfter: retryAfter})
}

// refuseUnavailable refuses a request that cannot be decided now.
func (c *Controller) refuseUnavailable(request RequestID, reason string) {
	c.refuse(request, http.StatusServiceUnavailable, reason, retryDelay)
}

// afterBarrier calls then once the cache holds everything that was written before now. If that
// cannot be established, it refuses the request instead.
func (c *Controller) afterBarrier(request RequestID, then func()) {
	if c.Unavailability() == UnavailableStore {
		c.refuseUnavailable(request, reasonStoreUnavailable)
		return
	}
	c.readBarrier(func(ok bool) {
		if !ok {
			c.refuseUnavailable(request, reasonStoreUnavailable)
			return
		}
		then()
	})
}

// completionStatus returns the status of a completed job.
func completionStatus(id wire.JobID, completion record.Completion) wire.JobStatus {
	return wire.JobStatus{ID: id, Status: completion.Status, Done: completion.Done}
}

// lookUpJob calls then with a job's status as of now or later. It issues a read barrier, since
// another controller may already have reported a newer status to the user. If the status cannot be
// determined, it refuses the request instead.
func (c *Controller) lookUpJob(request RequestID, id wire.JobID, then func(status wire.JobStatus, found bool)) {
	if completion, ok := c.cache.completion(id); ok {
		then(completionStatus(id, completion), true) // a completion never changes
		return
	}
	if !c.ensureServing(request) {
		return
	}
	c.readBarrier(func(ok bool) {
		if !ok {
			c.refuseUnavailable(request, reasonStoreUnavailable)
			return
		}
		if completion, ok := c.cache.completion(id); ok {
			then(completionStatus(id, completion), true)
			return
		}
		job := c.cache.jobs[id]
		switch {
		case job == nil:
			c.lookUpArchivedJob(request, id, then)
		case job.unreadable:
			c.refuseUnavailable(request, "the job's record cannot be read")
		default:
			then(c.openJobStatus(job), true)
		}
	})
}

// lookUpArchivedJob does the same as lookUpJob for a job that the cache does not hold. It reads the
// job's archived completion from the state store.
func (c *Controller) lookUpArchivedJob(request RequestID, id wire.JobID, then func(status wire.JobStatus, found bool)) {
	key := record.CompletionKey(id)
	c.emit(GetKey{registerCall(c, func(result GetResult) {
		switch result.Outcome {
		case Succeeded:
			c.apply(key, result.Value, result.Version)
			if completion, ok := c.cache.completion(id); ok {
				then(completionStatus(id, completion), true)
			} else {
				c.refuseUnavailable(request, "record not understood")
			}
		case NotFound:
			c.noteStoreResponse()
			then(wire.JobStatus{}, false)
		default:
			c.refuseUnavailable(request, reasonStoreUnavailable)
		}
	}), key})
}

// replyWithStatus replies to a request with a job's status, or calls notFound if there is no such
// job.
func (c *Controller) replyWithStatus(request RequestID, id wire.JobID, notFound func()) {
	c.lookUpJob(request, id, func(status wire.JobStatus, found bool) {
		if found {
			c.reply(request, http.StatusOK, status)
		} else {
			notFound()
		}
	})
}

// openJobStatus returns the status of a job that is not completed.
func (c *Controller) openJobStatus(job *job) wire.JobStatus {
	status := wire.JobStatus{ID: job.id, Status: wire.StatusPending, Done: job.completed.Len()}
	for _, allocation := range c.cache.allocationsByJob[job.id] {
		if machine := c.fleet.machines[allocation.Machine]; machine != nil {
			status.Running += machine.countRunning(allocation)
		}
	}
	if status.Running > 0 {
		status.Status = wire.StatusRunning
	}
	return status
}

func (c *Controller) poll(request RequestID, id wire.JobID) {
	c.replyWithStatus(request, id, func() {
		c.refuse(request, http.StatusNotFound, reasonNoSuchJob, 0)
	})
}

// cancel records a job's cancellation and replies once the record is committed. From then on no
// placement of the job can be committed, because each placement has a condition on the job's record.
// The tasks of the job's allocations are stopped by any controller that handles their machines.
func (c *Controller) cancel(request RequestID, id wire.JobID) {
	c.lookUpJob(request, id, func(status wire.JobStatus, found bool) {
		job := c.cache.jobs[id]
		switch {
		case !found:
			c.refuse(request, http.StatusNotFound, reasonNoSuchJob, 0)
		case status.Status.IsTerminal():
			c.reply(request, http.StatusOK, status)
		case job == nil:
			c.refuseUnavailable(request, reasonStateChanged)
		default:
			c.commitCancellation(request, job, record.Completion{Status: wire.StatusCancelled, Done: status.Done})
		}
	})
}

func (c *Controller) commitCancellation(request RequestID, job *job, completion record.Completion) {
	id := job.id
	c.commit(PriorityUrgent, wire.Transaction{
		If:   []wire.Condition{{Key: record.JobKey(id), Version: job.version}},
		Then: []wire.Change{c.putChange(record.JobKey(id), record.CompletedJob{Completion: completion})},
	}, func(result CommitResult) {
		switch result.Outcome {
		case Succeeded:
			c.metrics.count(countJobsCancelled, 1)
			c.log.Debug("job cancelled", "job_id", id)
			c.reply(request, http.StatusOK, completionStatus(id, completion))
			c.sendCommandsForJob(id)
		case Conflict:
			c.lookUpJob(request, id, func(status wire.JobStatus, found bool) {
				if found && status.Status.IsTerminal() {
					c.reply(request, http.StatusOK, status)
				} else {
					c.refuseUnavailable(request, reasonStateChanged)
				}
			})
		default:
			c.refuseUnavailable(request, reasonStoreUnavailable)
		}
	})
}
