package controller

import (
	"net/http"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

const (
	// submitTimeout is how long a submission may wait for the state service
	// before its user is told to come back.
	submitTimeout  = 1500 * time.Millisecond
	retryDelay     = time.Second
	longRetryDelay = 2 * time.Second
	// admissionQueueTime is how much of this controller's writes submissions may have in
	// line, and minAdmissionQueue how many of them in any case.
	admissionQueueTime = 800 * time.Millisecond
	minAdmissionQueue  = 4
	// admissionOversubscription is how many submissions users are told to come back with, as a part
	// of the writes: some more than can be taken, since the others' share of the
	// writes is not always used. maxRetryDelay is the longest time that a user is
	// told: they give up after a minute.
	admissionOversubscription = 1.3
	maxRetryDelay             = 10 * time.Second
)

func (c *Controller) reply(r RequestID, status int, body any) {
	c.emit(Reply{Request: r, Status: status, Body: body})
}

func (c *Controller) refuse(r RequestID, status int, why string, after time.Duration) {
	c.metrics.count(countRefused, 1)
	c.emit(Reply{Request: r, Status: status, Body: wire.ErrorResponse{Error: why}, RetryAfter: after})
}

func (c *Controller) unavailable(r RequestID, why string) {
	c.refuse(r, http.StatusServiceUnavailable, why, retryDelay)
}

// ensureServing reports whether user requests can be decided now, and answers the
// request if not.
func (c *Controller) ensureServing(r RequestID) bool {
	switch {
	case !c.membership.ready || !c.cacheComplete():
		c.unavailable(r, "starting")
	case !c.storeReachable():
		c.refuse(r, http.StatusServiceUnavailable, "state service unavailable", longRetryDelay)
	default:
		return true
	}
	return false
}

func (c *Controller) submit(in JobSubmitted) {
	if f, ok := c.completion(in.Spec.ID); ok {
		c.reply(in.Request, http.StatusOK, completionStatus(in.Spec.ID, f))
		return
	}
	if !c.ensureServing(in.Request) {
		return
	}
	if c.cache.jobs[in.Spec.ID] != nil {
		c.lookUpJob(in.Request, in.Spec.ID, func(s wire.JobStatus, found bool) {
			if found {
				c.reply(in.Request, http.StatusOK, s)
			} else {
				c.unavailable(in.Request, "state changed; try again")
			}
		})
		return
	}
	if len(c.provisioner.catalogue) == 0 {
		c.unavailable(in.Request, "machine types not known yet")
		return
	}
	if why := c.rejectionReason(&in.Spec); why != "" {
		// What was accepted once is not refused now, even if the catalogue has
		// changed since: so first make sure that it is new.
		c.lookUpJob(in.Request, in.Spec.ID, func(s wire.JobStatus, found bool) {
			if found {
				c.reply(in.Request, http.StatusOK, s)
			} else {
				c.refuse(in.Request, http.StatusUnprocessableEntity, why, 0)
			}
		})
		return
	}
	c.accept(in)
}

// accept writes the job down before its user is told. Should the answer of the
// state service be lost, the user's retry finds the job or writes it again.
func (c *Controller) accept(in JobSubmitted) {
	id := in.Spec.ID
	if rate := c.writeRate(); float64(c.cache.submissionsInFlight) >= max(minAdmissionQueue, rate*admissionQueueTime.Seconds()) {
		// More would only wait in line until their users ask again.
		c.refuse(in.Request, http.StatusServiceUnavailable, "too many submissions at once", c.nextRetryDelay())
		return
	}
	c.cache.submissionsInFlight++
	open, asked := true, c.now
	c.fleet.timers = append(c.fleet.timers, timer{c.now.Add(submitTimeout), func() {
		if open {
			open = false
			c.unavailable(in.Request, "state service slow")
		}
	}})
	c.commit(PriorityAdmission, wire.Transaction{
		If:   []wire.Condition{{Key: record.JobKey(id)}, {Key: record.CompletionKey(id)}},
		Then: []wire.Change{c.putChange(record.JobKey(id), record.Job{Spec: in.Spec, AcceptedAt: c.wall, AcceptedBy: c.membership.incarnation})},
	}, func(r CommitResult) {
		c.cache.submissionsInFlight--
		if r.Outcome == Succeeded {
			c.metrics.count(countAccepted, 1)
			c.metrics.observe(latencyAdmission, c.now.Sub(asked))
			c.log.Debug("job accepted", "job", id, "team", in.Spec.Team, "tasks", in.Spec.Tasks)
		}
		if !open {
			return
		}
		open = false
		switch r.Outcome {
		case Succeeded:
			c.reply(in.Request, http.StatusCreated, wire.JobStatus{ID: id, Status: wire.StatusPending})
		case Conflict:
			c.lookUpJob(in.Request, id, func(s wire.JobStatus, found bool) {
				if found {
					c.reply(in.Request, http.StatusOK, s)
				} else {
					c.unavailable(in.Request, "state changed; try again")
				}
			})
		default:
			c.unavailable(in.Request, "state service unavailable")
		}
	})
}

// nextRetryDelay is when a user whose submission cannot be taken now should come back:
// each is given a time of its own, as far apart as submissions can be written.
// Told the same, all would come back at once, and most of them in vain.
func (c *Controller) nextRetryDelay() time.Duration {
	c.cache.lastAdvisedRetry = max(c.cache.lastAdvisedRetry, c.now.Add(retryDelay)).Add(config.Seconds(1 / (c.writeRate() * admissionOversubscription)))
	wait := c.cache.lastAdvisedRetry.Sub(c.now)
	if wait > maxRetryDelay {
		wait = maxRetryDelay - time.Duration(c.rand.Int64N(int64(maxRetryDelay/2)))
	}
	return wait
}

// rejectionReason says why a job can never run, or "".
func (c *Controller) rejectionReason(j *wire.JobSpec) string {
	t := c.teamSettings(j.Team)
	if t == nil {
		return "unknown team"
	}
	n := float64(j.Tasks)
	if j.Shape == wire.ShapeArray {
		n = 1
	}
	if cpus, gpus := t.Limits(); n*j.Cores > cpus+1e-6 || n*j.Accelerators > gpus+1e-6 {
		return "needs more than the team's limit"
	}
	if j.SingleZone && j.SpreadZones && j.Tasks > 1 && j.Shape != wire.ShapeArray {
		return "together and apart at once"
	}
	if j.SpreadZones && j.Zone != "" && j.Tasks > 1 && j.Shape != wire.ShapeArray {
		return "apart in a single zone"
	}
	req := placement.NewRequest(j)
	fits := map[string]bool{} // the zones with machines that a task fits
	for i := range c.provisioner.catalogue {
		m := &c.provisioner.catalogue[i]
		if !machineResources(m).Covers(req.Need) {
			continue
		}
		for _, zone := range m.Zones {
			h := &placement.Host{Labels: machineLabels(m.Name, zone, false)}
			if (placement.Fleet{h}).Holds(req.Enforced, j.Team, h) {
				fits[zone] = true
			}
		}
	}
	switch {
	case len(fits) == 0:
		return "a task fits no allowed machine type"
	case len(fits) == 1 && j.SpreadZones && j.Tasks > 1 && j.Shape != wire.ShapeArray:
		return "apart, but only one zone has machines that a task fits"
	}
	return ""
}

func completionStatus(id wire.JobID, f record.Completion) wire.JobStatus {
	return wire.JobStatus{ID: id, Status: f.Status, Done: f.Done}
}

// lookUpJob finds a job's state as of now or later: after a barrier, since another
// controller may have told its user something newer. If that cannot be done,
// it answers the request itself.
func (c *Controller) lookUpJob(r RequestID, id wire.JobID, then func(s wire.JobStatus, found bool)) {
	if f, ok := c.completion(id); ok {
		then(completionStatus(id, f), true)
		return
	}
	if !c.ensureServing(r) {
		return
	}
	c.readBarrier(func(ok bool) {
		if !ok {
			c.unavailable(r, "state service unavailable")
			return
		}
		if f, ok := c.completion(id); ok {
			then(completionStatus(id, f), true)
			return
		}
		if j := c.cache.jobs[id]; j != nil && j.unreadable {
			c.unavailable(r, "the job's record cannot be read")
			return
		} else if j != nil {
			then(c.status(j), true)
			return
		}
		c.emit(GetKey{call(c, func(f GetResult) {
			switch f.Outcome {
			case Succeeded:
				c.apply(record.CompletionKey(id), f.Value, f.Version)
				if f, ok := c.completion(id); ok {
					then(completionStatus(id, f), true)
				} else {
					c.unavailable(r, "record not understood")
				}
			case NotFound:
				c.noteStoreResponse()
				then(wire.JobStatus{}, false)
			default:
				c.unavailable(r, "state service unavailable")
			}
		}), record.CompletionKey(id)})
	})
}

func (c *Controller) status(j *job) wire.JobStatus {
	s := wire.JobStatus{ID: j.id, Status: wire.StatusPending, Done: j.completed.Len()}
	for _, e := range c.scheduler.allocationsByJob[j.id] {
		if m := c.fleet.machines[e.Machine]; m != nil {
			s.Running += m.running(e)
		}
	}
	if s.Running > 0 {
		s.Status = wire.StatusRunning
	}
	return s
}

func (c *Controller) poll(r RequestID, id wire.JobID) {
	c.lookUpJob(r, id, func(s wire.JobStatus, found bool) {
		if found {
			c.reply(r, http.StatusOK, s)
		} else {
			c.refuse(r, http.StatusNotFound, "no such job", 0)
		}
	})
}

// cancel writes the job's end before its user is told. From then on no
// placement of it can be committed (each demands the job's record), and its
// entries, now without a job, are stopped by whoever sees them.
func (c *Controller) cancel(r RequestID, id wire.JobID) {
	c.lookUpJob(r, id, func(s wire.JobStatus, found bool) {
		j := c.cache.jobs[id]
		switch {
		case !found:
			c.refuse(r, http.StatusNotFound, "no such job", 0)
			return
		case s.Status.IsTerminal():
			c.reply(r, http.StatusOK, s)
			return
		case j == nil:
			c.unavailable(r, "state changed; try again")
			return
		}
		end := record.Completion{Status: wire.StatusCancelled, Done: s.Done}
		c.commit(PriorityUrgent, wire.Transaction{
			If:   []wire.Condition{{Key: record.JobKey(id), Version: j.version}},
			Then: []wire.Change{c.putChange(record.JobKey(id), record.CompletedJob{Completion: end})},
		}, func(done CommitResult) {
			switch done.Outcome {
			case Succeeded:
				c.metrics.count(countCancelled, 1)
				c.log.Debug("job withdrawn", "job", id)
				c.reply(r, http.StatusOK, completionStatus(id, end))
				c.sendCommandsForJob(id)
			case Conflict:
				c.lookUpJob(r, id, func(s wire.JobStatus, found bool) {
					if found && s.Status.IsTerminal() {
						c.reply(r, http.StatusOK, s)
					} else {
						c.unavailable(r, "state changed; try again")
					}
				})
			default:
				c.unavailable(r, "state service unavailable")
			}
		})
	})
}
