package simulation

import (
	"maps"
	"slices"
	"time"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

func (c *Cluster) randomController() *controllerProcess {
	return c.controllers[c.rng.IntN(len(c.controllers))]
}

// Submit has a user submit a job, and repeat it until it is accepted. Its tasks
// run for runtime.
func (c *Cluster) Submit(spec wire.JobSpec, runtime time.Duration) {
	job := c.jobs[spec.ID]
	if job == nil {
		job = &submittedJob{spec: spec, runtime: runtime, completed: map[int]bool{}, submittedAt: c.now}
		c.jobs[spec.ID] = job
	}
	var try func()
	try = func() {
		job.submitted = true
		sentAt := c.now
		c.request(func(id controller.RequestID) controller.Input {
			return controller.JobSubmitted{Request: id, Spec: spec}
		},
			func(reply controller.Reply, ok bool) {
				if status, good := reply.Body.(wire.JobStatus); ok && good && (reply.Status == 200 || reply.Status == 201) {
					c.recordStatus(job, sentAt, status.Status)
					c.poll(job)
					return
				}
				if ok && reply.Status == 422 {
					if job.accepted {
						c.violation("forgotten: repeat of %s got 422", spec.ID)
					}
					return
				}
				c.after(max(time.Second, reply.RetryAfter), try)
			})
	}
	try()
}

// SubmitUnschedulable has a user submit a job that can never run: it must be refused for
// good, and never be accepted.
func (c *Cluster) SubmitUnschedulable(spec wire.JobSpec) {
	var try func()
	try = func() {
		c.request(func(id controller.RequestID) controller.Input {
			return controller.JobSubmitted{Request: id, Spec: spec}
		}, func(reply controller.Reply, ok bool) {
			switch {
			case ok && reply.Status == 422:
				c.Observed[unschedulableJobRejected]++
			case ok && reply.Status < 300:
				c.violation("accepted though it can never run: %s", spec.ID)
			default:
				c.after(max(time.Second, reply.RetryAfter), try)
			}
		})
	}
	try()
}

// repeatRequests has users call off jobs that are done, and repeat submissions of jobs
// that are not.
func (c *Cluster) repeatRequests() {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		job := c.jobs[id]
		switch {
		case job.lastStatus == wire.StatusDone:
			c.Observed[cancelledAfterCompletion]++
			c.CancelJob(id)
		case job.accepted && !job.lastStatus.IsTerminal():
			c.Observed[submissionRepeated]++
			sentAt := c.now
			c.request(func(r controller.RequestID) controller.Input {
				return controller.JobSubmitted{Request: r, Spec: job.spec}
			}, func(r controller.Reply, ok bool) {
				if status, good := r.Body.(wire.JobStatus); ok && good {
					c.recordStatus(job, sentAt, status.Status)
				} else if ok && r.Status < 429 {
					c.violation("forgotten: repeat of %s got %d", id, r.Status)
				}
			})
		}
	}
}

// SubmitWithRuntimes is Submit for a job whose tasks run for different times.
func (c *Cluster) SubmitWithRuntimes(spec wire.JobSpec, runtime func(index int) time.Duration) {
	c.jobs[spec.ID] = &submittedJob{spec: spec, runtimeOf: runtime, completed: map[int]bool{}, submittedAt: c.now}
	c.Submit(spec, 0)
}

// SubmitFailing is Submit for a job whose tasks fail on every machine.
func (c *Cluster) SubmitFailing(spec wire.JobSpec) {
	c.jobs[spec.ID] = &submittedJob{spec: spec, alwaysFails: true, completed: map[int]bool{}, submittedAt: c.now}
	c.Submit(spec, 0)
}

// jobCompleted has the user of a job whose last task has just ended call it off, perhaps.
func (c *Cluster) jobCompleted(job *submittedJob) {
	if len(job.completed) < job.spec.Tasks || job.lastStatus.IsTerminal() || c.rng.Float64() >= c.CancelOnCompletion {
		return
	}
	c.Observed[cancelledOnCompletion]++
	c.CancelJob(job.spec.ID)
	c.burstOfRequests(job)
}

// burstOfRequests has users ask about a job at all controllers within milliseconds,
// repeat its submission, and call some off at once.
func (c *Cluster) burstOfRequests(job *submittedJob) {
	if !c.RequestBursts {
		return
	}
	for i, d := range []time.Duration{1, 2, 4, 7, 12, 30, 80, 200} {
		c.after(d*time.Millisecond, func() {
			for _, process := range c.controllers {
				c.Observed[requestBurst]++
				sentAt := c.now
				if (i+process.index)%3 == 0 {
					c.requestFrom(process, func(id controller.RequestID) controller.Input {
						return controller.JobSubmitted{Request: id, Spec: job.spec}
					},
						func(reply controller.Reply, ok bool) {
							if status, good := reply.Body.(wire.JobStatus); ok && good {
								c.recordStatus(job, sentAt, status.Status)
							} else if ok && (reply.Status == 400 || reply.Status == 404 || reply.Status == 422) {
								c.violation("forgotten: repeat of %s got %d", job.spec.ID, reply.Status)
							}
						})
				} else {
					c.pollFrom(process, job)
				}
			}
		})
	}
	if c.rng.IntN(4) == 0 && job.spec.Shape != wire.ShapeService {
		c.after(3*time.Millisecond, func() { c.CancelJob(job.spec.ID) })
	}
}

// request sends a request to some controller and gives up after 5 s.
func (c *Cluster) request(newInput func(controller.RequestID) controller.Input, then func(controller.Reply, bool)) {
	c.requestFrom(c.randomController(), newInput, then)
}

// requestFrom is ask at a certain controller.
func (c *Cluster) requestFrom(process *controllerProcess, newInput func(controller.RequestID) controller.Input, then func(controller.Reply, bool)) {
	open := true
	c.after(5*time.Second, func() {
		if open {
			open = false
			then(controller.Reply{}, false)
		}
	})
	c.sendToController(process, newInput, func(reply controller.Reply) {
		if open {
			open = false
			then(reply, true)
		}
	})
}

// recordStatus notes what a user was told and holds it against what was said before
// and what is the case.
//
// An answer to a request that was sent before the user knew better may be old.
func (c *Cluster) recordStatus(job *submittedJob, sentAt controller.Time, status wire.Status) {
	job.accepted, job.answeredAt = true, c.now
	if job.lastStatus.IsTerminal() && status != job.lastStatus && sentAt > job.terminalAt {
		c.violation("went_back: %s was %s and is now %s", job.spec.ID, job.lastStatus, status)
	}
	if status == wire.StatusCancelled && !job.cancelRequested {
		c.violation("went_back: %s withdrawn, but nobody asked", job.spec.ID)
	}
	if status == wire.StatusDone && len(job.completed) < job.spec.Tasks {
		c.violation("not_done: %s told done with %d of %d", job.spec.ID, len(job.completed), job.spec.Tasks)
	}
	if status.IsTerminal() && !job.lastStatus.IsTerminal() {
		job.terminalAt = c.now
		if status == wire.StatusCancelled {
			c.Observed[jobCancelled]++
		}
		c.burstOfRequests(job)
	} else if job.lastStatus == "" {
		c.burstOfRequests(job)
	}
	if !job.lastStatus.IsTerminal() {
		job.lastStatus = status
	}
}

func (c *Cluster) poll(job *submittedJob) {
	c.pollOnce(job)
	c.after(3*time.Second, func() { c.poll(job) })
}

func (c *Cluster) pollOnce(job *submittedJob) { c.pollFrom(c.randomController(), job) }

func (c *Cluster) pollFrom(process *controllerProcess, job *submittedJob) {
	sentAt := c.now
	c.requestFrom(process, func(id controller.RequestID) controller.Input {
		return controller.JobPolled{Request: id, Job: job.spec.ID}
	},
		func(reply controller.Reply, ok bool) {
			switch {
			case ok && reply.Status == 200:
				c.recordStatus(job, sentAt, reply.Body.(wire.JobStatus).Status)
			case ok && reply.Status == 404:
				c.violation("forgotten: poll of %s got 404", job.spec.ID)
			}
		})
}

// PollUnknown polls a job that nobody submitted.
func (c *Cluster) PollUnknown(id wire.JobID) {
	c.request(func(r controller.RequestID) controller.Input { return controller.JobPolled{Request: r, Job: id} },
		func(r controller.Reply, ok bool) {
			if ok && r.Status == 200 {
				c.violation("invented: %s", id)
			}
		})
}

// CancelJob has a user cancel a job, and repeat it until that is answered.
func (c *Cluster) CancelJob(id wire.JobID) {
	job := c.jobs[id]
	if job == nil {
		return
	}
	var attempt func()
	attempt = func() {
		if !job.accepted {
			c.after(time.Second, attempt)
			return
		}
		if c.HangOnCancel > 0 && !job.cancelRequested {
			for _, placed := range job.active()[:min(1, len(job.active()))] {
				if !placed.machine.hung {
					c.Observed[machineHungOnCancellation]++
					placed.machine.hung = true
					c.after(c.HangOnCancel, placed.machine.resume)
				}
			}
		}
		job.cancelRequested = true
		sentAt := c.now
		c.request(func(r controller.RequestID) controller.Input { return controller.CancelRequested{Request: r, Job: id} },
			func(r controller.Reply, ok bool) {
				if status, good := r.Body.(wire.JobStatus); ok && good && status.Status.IsTerminal() {
					c.recordStatus(job, sentAt, status.Status)
					return
				}
				c.after(time.Second, attempt)
			})
	}
	attempt()
}

// PollStorm has users ask about all jobs many times as often for a while.
func (c *Cluster) PollStorm(d time.Duration) {
	end := c.now.Add(d)
	var ask func()
	ask = func() {
		for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
			if job := c.jobs[id]; job.accepted {
				c.pollOnce(job)
			}
		}
		if c.now < end {
			c.after(300*time.Millisecond, ask)
		}
	}
	ask()
}

// Unfinished names the jobs that are not over, but for services and for jobs that
// can never end because of a mistake in them.
func (c *Cluster) Unfinished() []wire.JobID {
	var out []wire.JobID
	for id, job := range c.jobs {
		if job.submitted && !job.lastStatus.IsTerminal() && job.spec.Shape != wire.ShapeService && (!job.alwaysFails || job.cancelRequested) {
			out = append(out, id)
		}
	}
	return out
}

// Records lists what the state service holds, for a failing test to show.
func (c *Cluster) Records() []string {
	var out []string
	for _, entry := range c.store.List("l/") {
		out = append(out, entry.Key+" "+string(entry.Value)+"\n")
	}
	return out
}
