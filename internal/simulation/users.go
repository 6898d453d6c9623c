package simulation

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

const (
	// requestTimeout is the time after which users give up a request.
	requestTimeout = 5 * time.Second
	// minRetryDelay is the shortest time until users repeat a request.
	minRetryDelay = time.Second
	// pollInterval is the time between two polls of a job.
	pollInterval = 3 * time.Second
	// pollStormInterval is the time between two polls of a job in a poll storm.
	pollStormInterval = 300 * time.Millisecond
)

// Submit makes a user submit a job, repeat the submission until the job is accepted, and
// poll it from then on. Its tasks run for runtime.
func (c *Cluster) Submit(spec wire.JobSpec, runtime time.Duration) {
	if c.jobs[spec.ID] == nil {
		c.addJob(&submittedJob{spec: spec, runtime: runtime})
	}
	c.submit(c.jobs[spec.ID])
}

// SubmitWithRuntimes is like Submit for a job whose tasks run for different times.
func (c *Cluster) SubmitWithRuntimes(spec wire.JobSpec, runtime func(index int) time.Duration) {
	c.submit(c.addJob(&submittedJob{spec: spec, runtimeOf: runtime}))
}

// SubmitFailing is like Submit for a job whose tasks fail on every machine.
func (c *Cluster) SubmitFailing(spec wire.JobSpec) {
	c.submit(c.addJob(&submittedJob{spec: spec, alwaysFails: true}))
}

func (c *Cluster) addJob(job *submittedJob) *submittedJob {
	job.completed, job.submittedAt = map[int]bool{}, c.now
	c.jobs[job.spec.ID] = job
	return job
}

// submit submits a job repeatedly until it is accepted or permanently rejected.
func (c *Cluster) submit(job *submittedJob) {
	job.submitted = true
	sentAt := c.now
	c.sendToAnyController(submissionInput(&job.spec), func(reply controller.Reply, answered bool) {
		status, isStatus := reply.Body.(wire.JobStatus)
		switch {
		case answered && isStatus && (reply.Status == http.StatusOK || reply.Status == http.StatusCreated):
			c.recordStatus(job, sentAt, status.Status)
			c.poll(job)
		case answered && reply.Status == http.StatusUnprocessableEntity:
			if job.accepted {
				c.reportViolation("lost job: repeated submission of %s got status %d", job.spec.ID, reply.Status)
			}
		default:
			c.after(max(minRetryDelay, reply.RetryAfter), func() { c.submit(job) })
		}
	})
}

// SubmitUnschedulable makes a user submit a job that can never run. Such a job must be
// permanently rejected and never be accepted.
func (c *Cluster) SubmitUnschedulable(spec wire.JobSpec) {
	c.sendToAnyController(submissionInput(&spec), func(reply controller.Reply, answered bool) {
		switch {
		case answered && reply.Status == http.StatusUnprocessableEntity:
			c.Observed[unschedulableJobRejected]++
		case answered && reply.Status < http.StatusMultipleChoices:
			c.reportViolation("unschedulable job accepted: %s", spec.ID)
		default:
			c.after(max(minRetryDelay, reply.RetryAfter), func() { c.SubmitUnschedulable(spec) })
		}
	})
}

// repeatRequests makes users cancel jobs that are done, and repeat the submissions of
// accepted jobs for which no terminal status has been reported.
func (c *Cluster) repeatRequests() {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		job := c.jobs[id]
		switch {
		case job.lastStatus == wire.StatusDone:
			c.Observed[cancelledAfterCompletion]++
			c.CancelJob(id)
		case job.accepted && job.isOpen():
			c.Observed[submissionRepeated]++
			c.repeatSubmission(c.randomController(), job, func(status int) bool { return status < http.StatusTooManyRequests })
		}
	}
}

// repeatSubmission repeats the submission of an accepted job at a controller. The function
// meansLost reports whether an answer with an HTTP status means that the job was lost.
func (c *Cluster) repeatSubmission(process *controllerProcess, job *submittedJob, meansLost func(status int) bool) {
	sentAt := c.now
	c.sendUserRequest(process, submissionInput(&job.spec), func(reply controller.Reply, answered bool) {
		if status, isStatus := reply.Body.(wire.JobStatus); answered && isStatus {
			c.recordStatus(job, sentAt, status.Status)
		} else if answered && meansLost(reply.Status) {
			c.reportViolation("lost job: repeated submission of %s got status %d", job.spec.ID, reply.Status)
		}
	})
}

// handleTaskCompletion makes the users of some jobs cancel them at the moment at which the
// last task completes.
func (c *Cluster) handleTaskCompletion(job *submittedJob) {
	if !job.isComplete() || !job.isOpen() || c.rng.Float64() >= c.CancelOnCompletion {
		return
	}
	c.Observed[cancelledOnCompletion]++
	c.CancelJob(job.spec.ID)
	c.sendRequestBurst(job)
}

// burstTimes are the delays after which the requests of a burst are sent.
var burstTimes = []time.Duration{
	1 * time.Millisecond, 2 * time.Millisecond, 4 * time.Millisecond, 7 * time.Millisecond,
	12 * time.Millisecond, 30 * time.Millisecond, 80 * time.Millisecond, 200 * time.Millisecond,
}

// sendRequestBurst makes users poll a job at all controllers within milliseconds and repeat
// its submission, if RequestBursts is set. Some of the jobs are cancelled at the same time.
func (c *Cluster) sendRequestBurst(job *submittedJob) {
	if !c.RequestBursts {
		return
	}
	meansLost := func(status int) bool {
		return status == http.StatusBadRequest || status == http.StatusNotFound || status == http.StatusUnprocessableEntity
	}
	for i, d := range burstTimes {
		c.after(d, func() {
			for _, process := range c.controllers {
				c.Observed[requestBurst]++
				if (i+process.index)%3 == 0 {
					c.repeatSubmission(process, job, meansLost)
				} else {
					c.pollAt(process, job)
				}
			}
		})
	}
	if c.rng.IntN(4) == 0 && job.spec.Shape != wire.ShapeService {
		c.after(3*time.Millisecond, func() { c.CancelJob(job.spec.ID) })
	}
}

// recordStatus records a reported status of a job, and checks it against the earlier ones
// and against the job's tasks. The answer to a request that was sent before a terminal
// status was reported may carry an older status.
func (c *Cluster) recordStatus(job *submittedJob, sentAt controller.Time, status wire.Status) {
	job.accepted, job.answeredAt = true, c.now
	c.checkStatus(job, sentAt, status)
	switch {
	case !job.isOpen():
		return
	case status.IsTerminal():
		job.terminalAt = c.now
		if status == wire.StatusCancelled {
			c.Observed[jobCancelled]++
		}
		c.sendRequestBurst(job)
	case job.lastStatus == "":
		c.sendRequestBurst(job)
	}
	job.lastStatus = status
}

// poll polls a job at random controllers, every pollInterval from now on.
func (c *Cluster) poll(job *submittedJob) {
	c.pollAt(c.randomController(), job)
	c.after(pollInterval, func() { c.poll(job) })
}

// pollAt polls a job once at a controller.
func (c *Cluster) pollAt(process *controllerProcess, job *submittedJob) {
	sentAt := c.now
	c.sendUserRequest(process, pollInput(job.spec.ID), func(reply controller.Reply, answered bool) {
		switch {
		case answered && reply.Status == http.StatusOK:
			c.recordStatus(job, sentAt, reply.Body.(wire.JobStatus).Status)
		case answered && reply.Status == http.StatusNotFound:
			c.reportViolation("lost job: poll of %s got status %d", job.spec.ID, reply.Status)
		}
	})
}

// PollUnknown polls a job that nobody submitted. It must not be found.
func (c *Cluster) PollUnknown(id wire.JobID) {
	c.sendToAnyController(pollInput(id), func(reply controller.Reply, answered bool) {
		if answered && reply.Status == http.StatusOK {
			c.reportViolation("unknown job: poll of %s succeeded, but nobody submitted it", id)
		}
	})
}

// PollStorm makes users poll all accepted jobs many times as often for d.
func (c *Cluster) PollStorm(d time.Duration) { c.pollAllUntil(c.now.Add(d)) }

func (c *Cluster) pollAllUntil(end controller.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if job := c.jobs[id]; job.accepted {
			c.pollAt(c.randomController(), job)
		}
	}
	if c.now < end {
		c.after(pollStormInterval, func() { c.pollAllUntil(end) })
	}
}

// CancelJob makes a user cancel a job once it is accepted, and repeat the request until a
// terminal status is reported.
func (c *Cluster) CancelJob(id wire.JobID) {
	if job := c.jobs[id]; job != nil {
		c.cancel(job)
	}
}

func (c *Cluster) cancel(job *submittedJob) {
	retry := func() { c.after(minRetryDelay, func() { c.cancel(job) }) }
	if !job.accepted {
		retry()
		return
	}
	if c.HangOnCancel > 0 && !job.cancelRequested {
		c.hangMachineOf(job)
	}
	job.cancelRequested = true
	sentAt := c.now
	c.sendToAnyController(cancellationInput(job.spec.ID), func(reply controller.Reply, answered bool) {
		if status, isStatus := reply.Body.(wire.JobStatus); answered && isStatus && status.Status.IsTerminal() {
			c.recordStatus(job, sentAt, status.Status)
			return
		}
		retry()
	})
}

// hangMachineOf makes the machine of a job's first active task hang.
func (c *Cluster) hangMachineOf(job *submittedJob) {
	if active := job.active(); len(active) > 0 && !active[0].machine.hung {
		c.Observed[machineHungOnCancellation]++
		active[0].machine.hangFor(c.HangOnCancel)
	}
}

// submissionInput returns a factory for the input that submits a job.
func submissionInput(spec *wire.JobSpec) inputFactory {
	return func(id controller.RequestID) controller.Input {
		return controller.JobSubmitted{Request: id, Spec: *spec}
	}
}

// pollInput returns a factory for the input that polls a job.
func pollInput(job wire.JobID) inputFactory {
	return func(id controller.RequestID) controller.Input { return controller.JobPolled{Request: id, Job: job} }
}

// cancellationInput returns a factory for the input that cancels a job.
func cancellationInput(job wire.JobID) inputFactory {
	return func(id controller.RequestID) controller.Input {
		return controller.CancelRequested{Request: id, Job: job}
	}
}

func (c *Cluster) randomController() *controllerProcess {
	return c.controllers[c.rng.IntN(len(c.controllers))]
}

// sendToAnyController sends a user's request to a random controller.
func (c *Cluster) sendToAnyController(newInput inputFactory, then func(reply controller.Reply, answered bool)) {
	c.sendUserRequest(c.randomController(), newInput, then)
}

// sendUserRequest sends a user's request to a controller. It calls then with the reply, or
// with answered false if none arrives within requestTimeout.
func (c *Cluster) sendUserRequest(process *controllerProcess, newInput inputFactory, then func(reply controller.Reply, answered bool)) {
	open := true
	finish := func(reply controller.Reply, answered bool) {
		if open {
			open = false
			then(reply, answered)
		}
	}
	c.after(requestTimeout, func() { finish(controller.Reply{}, false) })
	c.sendToController(process, newInput, func(reply controller.Reply) { finish(reply, true) })
}
