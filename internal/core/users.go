package core

import (
	"net/http"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

const (
	// submitPatience is how long a submission may wait for the state service
	// before its user is told to come back.
	submitPatience = 1500 * time.Millisecond
	comeBack       = time.Second
	comeBackLater  = 2 * time.Second
	// acceptAhead is how much of this controller's writes submissions may have in
	// line, and acceptLeast how many of them in any case.
	acceptAhead = 800 * time.Millisecond
	acceptLeast = 4
	// acceptPart is how many submissions users are told to come back with, as a part
	// of the writes: some more than can be taken, since the others' share of the
	// writes is not always used. comeBackMost is the longest time that a user is
	// told: they give up after a minute.
	acceptPart   = 1.3
	comeBackMost = 10 * time.Second
)

func (c *Core) reply(r RequestID, status int, body any) {
	c.do(Reply{Request: r, Status: status, Body: body})
}

func (c *Core) refuse(r RequestID, status int, why string, after time.Duration) {
	c.count(countRefused, 1)
	c.do(Reply{Request: r, Status: status, Body: wire.ErrorResponse{Error: why}, RetryAfter: after})
}

func (c *Core) unavailable(r RequestID, why string) {
	c.refuse(r, http.StatusServiceUnavailable, why, comeBack)
}

// serving reports whether user requests can be decided now, and answers the
// request if not.
func (c *Core) serving(r RequestID) bool {
	switch {
	case !c.ready || !c.whole():
		c.unavailable(r, "starting")
	case !c.stateFresh():
		c.refuse(r, http.StatusServiceUnavailable, "state service unavailable", comeBackLater)
	default:
		return true
	}
	return false
}

func (c *Core) submit(in Submitted) {
	if f, ok := c.ended(in.Spec.ID); ok {
		c.reply(in.Request, http.StatusOK, finalStatus(in.Spec.ID, f))
		return
	}
	if !c.serving(in.Request) {
		return
	}
	if c.jobs[in.Spec.ID] != nil {
		c.lookUp(in.Request, in.Spec.ID, func(s wire.JobStatus, found bool) {
			if found {
				c.reply(in.Request, http.StatusOK, s)
			} else {
				c.unavailable(in.Request, "state changed; try again")
			}
		})
		return
	}
	if len(c.catalogue) == 0 {
		c.unavailable(in.Request, "machine types not known yet")
		return
	}
	if why := c.neverRuns(&in.Spec); why != "" {
		// What was accepted once is not refused now, even if the catalogue has
		// changed since: so first make sure that it is new.
		c.lookUp(in.Request, in.Spec.ID, func(s wire.JobStatus, found bool) {
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
func (c *Core) accept(in Submitted) {
	id := in.Spec.ID
	if rate := c.writeRate(); float64(c.accepting) >= max(acceptLeast, rate*acceptAhead.Seconds()) {
		// More would only wait in line until their users ask again.
		c.refuse(in.Request, http.StatusServiceUnavailable, "too many submissions at once", c.nextTurn())
		return
	}
	c.accepting++
	open, asked := true, c.now
	c.timeouts = append(c.timeouts, timeout{c.now.Add(submitPatience), func() {
		if open {
			open = false
			c.unavailable(in.Request, "state service slow")
		}
	}})
	c.commit(ClassAccept, wire.Transaction{
		If:   []wire.Condition{{Key: record.JobKey(id)}, {Key: record.CompletionKey(id)}},
		Then: []wire.Change{c.put(record.JobKey(id), record.Job{Spec: in.Spec, AcceptedAt: c.wall, AcceptedBy: c.boot})},
	}, func(r Committed) {
		c.accepting--
		if r.Outcome == Done {
			c.count(countAccepted, 1)
			c.took(timeAccept, c.now.Sub(asked))
			c.log.Debug("job accepted", "job", id, "team", in.Spec.Team, "tasks", in.Spec.Tasks)
		}
		if !open {
			return
		}
		open = false
		switch r.Outcome {
		case Done:
			c.reply(in.Request, http.StatusCreated, wire.JobStatus{ID: id, Status: wire.StatusPending})
		case Conflict:
			c.lookUp(in.Request, id, func(s wire.JobStatus, found bool) {
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

// nextTurn is when a user whose submission cannot be taken now should come back:
// each is given a time of its own, as far apart as submissions can be written.
// Told the same, all would come back at once, and most of them in vain.
func (c *Core) nextTurn() time.Duration {
	c.turnAt = max(c.turnAt, c.now.Add(comeBack)).Add(config.Seconds(1 / (c.writeRate() * acceptPart)))
	wait := c.turnAt.Sub(c.now)
	if wait > comeBackMost {
		wait = comeBackMost - time.Duration(c.rand.Int64N(int64(comeBackMost/2)))
	}
	return wait
}

// neverRuns says why a job can never run, or "".
func (c *Core) neverRuns(j *wire.JobSpec) string {
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
	for i := range c.catalogue {
		m := &c.catalogue[i]
		if !amountOf(m).Covers(req.Need) {
			continue
		}
		for _, zone := range m.Zones {
			h := &placement.Host{Labels: labels(m.Name, zone, false)}
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

func finalStatus(id wire.JobID, f record.Completion) wire.JobStatus {
	return wire.JobStatus{ID: id, Status: f.Status, Done: f.Done}
}

// lookUp finds a job's state as of now or later: after a barrier, since another
// controller may have told its user something newer. If that cannot be done,
// it answers the request itself.
func (c *Core) lookUp(r RequestID, id wire.JobID, then func(s wire.JobStatus, found bool)) {
	if f, ok := c.ended(id); ok {
		then(finalStatus(id, f), true)
		return
	}
	if !c.serving(r) {
		return
	}
	c.barrier(func(ok bool) {
		if !ok {
			c.unavailable(r, "state service unavailable")
			return
		}
		if f, ok := c.ended(id); ok {
			then(finalStatus(id, f), true)
			return
		}
		if j := c.jobs[id]; j != nil && j.unreadable {
			c.unavailable(r, "the job's record cannot be read")
			return
		} else if j != nil {
			then(c.status(j), true)
			return
		}
		c.do(Fetch{call(c, func(f Fetched) {
			switch f.Outcome {
			case Done:
				c.apply(record.CompletionKey(id), f.Value, f.Version)
				if f, ok := c.ended(id); ok {
					then(finalStatus(id, f), true)
				} else {
					c.unavailable(r, "record not understood")
				}
			case Missing:
				c.stateAnswered()
				then(wire.JobStatus{}, false)
			default:
				c.unavailable(r, "state service unavailable")
			}
		}), record.CompletionKey(id)})
	})
}

func (c *Core) status(j *job) wire.JobStatus {
	s := wire.JobStatus{ID: j.id, Status: wire.StatusPending, Done: j.done.Len()}
	for _, e := range c.ofJob[j.id] {
		if m := c.machines[e.Machine]; m != nil {
			s.Running += m.running(e)
		}
	}
	if s.Running > 0 {
		s.Status = wire.StatusRunning
	}
	return s
}

func (c *Core) poll(r RequestID, id wire.JobID) {
	c.lookUp(r, id, func(s wire.JobStatus, found bool) {
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
func (c *Core) cancel(r RequestID, id wire.JobID) {
	c.lookUp(r, id, func(s wire.JobStatus, found bool) {
		j := c.jobs[id]
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
		c.commit(ClassUrgent, wire.Transaction{
			If:   []wire.Condition{{Key: record.JobKey(id), Version: j.version}},
			Then: []wire.Change{c.put(record.JobKey(id), record.CompletedJob{Completion: end})},
		}, func(done Committed) {
			switch done.Outcome {
			case Done:
				c.count(countWithdrawn, 1)
				c.log.Debug("job withdrawn", "job", id)
				c.reply(r, http.StatusOK, finalStatus(id, end))
				c.sendOrdersOfJob(id)
			case Conflict:
				c.lookUp(r, id, func(s wire.JobStatus, found bool) {
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
