package simulation

import (
	"maps"
	"slices"
	"time"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

func (w *Cluster) randomController() *controllerProcess {
	return w.controllers[w.rng.IntN(len(w.controllers))]
}

// Submit has a user submit a job, and repeat it until it is accepted. Its tasks
// run for runtime.
func (w *Cluster) Submit(spec wire.JobSpec, runtime time.Duration) {
	j := w.jobs[spec.ID]
	if j == nil {
		j = &submittedJob{spec: spec, runtime: runtime, completed: map[int]bool{}, submittedAt: w.now}
		w.jobs[spec.ID] = j
	}
	var try func()
	try = func() {
		j.submitted = true
		asked := w.now
		w.request(func(id controller.RequestID) controller.Input {
			return controller.JobSubmitted{Request: id, Spec: spec}
		},
			func(r controller.Reply, ok bool) {
				if s, good := r.Body.(wire.JobStatus); ok && good && (r.Status == 200 || r.Status == 201) {
					w.recordStatus(j, asked, s.Status)
					w.poll(j)
					return
				}
				if ok && r.Status == 422 {
					if j.accepted {
						w.violation("forgotten: repeat of %s got 422", spec.ID)
					}
					return
				}
				w.after(max(time.Second, r.RetryAfter), try)
			})
	}
	try()
}

// SubmitUnschedulable has a user submit a job that can never run: it must be refused for
// good, and never be accepted.
func (w *Cluster) SubmitUnschedulable(spec wire.JobSpec) {
	var try func()
	try = func() {
		w.request(func(id controller.RequestID) controller.Input {
			return controller.JobSubmitted{Request: id, Spec: spec}
		}, func(r controller.Reply, ok bool) {
			switch {
			case ok && r.Status == 422:
				w.Observed["refused for good"]++
			case ok && r.Status < 300:
				w.violation("accepted though it can never run: %s", spec.ID)
			default:
				w.after(max(time.Second, r.RetryAfter), try)
			}
		})
	}
	try()
}

// repeatRequests has users call off jobs that are done, and repeat submissions of jobs
// that are not.
func (w *Cluster) repeatRequests() {
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		j := w.jobs[id]
		switch {
		case j.lastStatus == wire.StatusDone:
			w.Observed["cancelled when done"]++
			w.CancelJob(id)
		case j.accepted && !j.lastStatus.IsTerminal():
			w.Observed["submitted again"]++
			asked := w.now
			w.request(func(r controller.RequestID) controller.Input {
				return controller.JobSubmitted{Request: r, Spec: j.spec}
			}, func(r controller.Reply, ok bool) {
				if s, good := r.Body.(wire.JobStatus); ok && good {
					w.recordStatus(j, asked, s.Status)
				} else if ok && r.Status < 429 {
					w.violation("forgotten: repeat of %s got %d", id, r.Status)
				}
			})
		}
	}
}

// SubmitWithRuntimes is Submit for a job whose tasks run for different times.
func (w *Cluster) SubmitWithRuntimes(spec wire.JobSpec, runtime func(index int) time.Duration) {
	w.jobs[spec.ID] = &submittedJob{spec: spec, runtimeOf: runtime, completed: map[int]bool{}, submittedAt: w.now}
	w.Submit(spec, 0)
}

// SubmitFailing is Submit for a job whose tasks fail on every machine.
func (w *Cluster) SubmitFailing(spec wire.JobSpec) {
	w.jobs[spec.ID] = &submittedJob{spec: spec, alwaysFails: true, completed: map[int]bool{}, submittedAt: w.now}
	w.Submit(spec, 0)
}

// jobCompleted has the user of a job whose last task has just ended call it off, perhaps.
func (w *Cluster) jobCompleted(j *submittedJob) {
	if len(j.completed) < j.spec.Tasks || j.lastStatus.IsTerminal() || w.rng.Float64() >= w.CancelOnCompletion {
		return
	}
	w.Observed["cancelled at its end"]++
	w.CancelJob(j.spec.ID)
	w.burstOfRequests(j)
}

// burstOfRequests has users ask about a job at all controllers within milliseconds,
// repeat its submission, and call some off at once.
func (w *Cluster) burstOfRequests(j *submittedJob) {
	if !w.RequestBursts {
		return
	}
	for i, d := range []time.Duration{1, 2, 4, 7, 12, 30, 80, 200} {
		w.after(d*time.Millisecond, func() {
			for _, n := range w.controllers {
				w.Observed["close look"]++
				asked := w.now
				if (i+n.index)%3 == 0 {
					w.requestFrom(n, func(id controller.RequestID) controller.Input {
						return controller.JobSubmitted{Request: id, Spec: j.spec}
					},
						func(r controller.Reply, ok bool) {
							if s, good := r.Body.(wire.JobStatus); ok && good {
								w.recordStatus(j, asked, s.Status)
							} else if ok && (r.Status == 400 || r.Status == 404 || r.Status == 422) {
								w.violation("forgotten: repeat of %s got %d", j.spec.ID, r.Status)
							}
						})
				} else {
					w.pollFrom(n, j)
				}
			}
		})
	}
	if w.rng.IntN(4) == 0 && j.spec.Shape != wire.ShapeService {
		w.after(3*time.Millisecond, func() { w.CancelJob(j.spec.ID) })
	}
}

// request sends a request to some controller and gives up after 5 s.
func (w *Cluster) request(makeInput func(controller.RequestID) controller.Input, then func(controller.Reply, bool)) {
	w.requestFrom(w.randomController(), makeInput, then)
}

// requestFrom is ask at a certain controller.
func (w *Cluster) requestFrom(n *controllerProcess, makeInput func(controller.RequestID) controller.Input, then func(controller.Reply, bool)) {
	open := true
	w.after(5*time.Second, func() {
		if open {
			open = false
			then(controller.Reply{}, false)
		}
	})
	w.sendToController(n, makeInput, func(r controller.Reply) {
		if open {
			open = false
			then(r, true)
		}
	})
}

// recordStatus notes what a user was told and holds it against what was said before
// and what is the case.
//
// An answer to a request that was sent before the user knew better may be old.
func (w *Cluster) recordStatus(j *submittedJob, asked controller.Time, s wire.Status) {
	j.accepted, j.answeredAt = true, w.now
	if j.lastStatus.IsTerminal() && s != j.lastStatus && asked > j.terminalAt {
		w.violation("went_back: %s was %s and is now %s", j.spec.ID, j.lastStatus, s)
	}
	if s == wire.StatusCancelled && !j.cancelRequested {
		w.violation("went_back: %s withdrawn, but nobody asked", j.spec.ID)
	}
	if s == wire.StatusDone && len(j.completed) < j.spec.Tasks {
		w.violation("not_done: %s told done with %d of %d", j.spec.ID, len(j.completed), j.spec.Tasks)
	}
	if s.IsTerminal() && !j.lastStatus.IsTerminal() {
		j.terminalAt = w.now
		if s == wire.StatusCancelled {
			w.Observed["withdrawn"]++
		}
		w.burstOfRequests(j)
	} else if j.lastStatus == "" {
		w.burstOfRequests(j)
	}
	if !j.lastStatus.IsTerminal() {
		j.lastStatus = s
	}
}

func (w *Cluster) poll(j *submittedJob) {
	w.pollOnce(j)
	w.after(3*time.Second, func() { w.poll(j) })
}

func (w *Cluster) pollOnce(j *submittedJob) { w.pollFrom(w.randomController(), j) }

func (w *Cluster) pollFrom(n *controllerProcess, j *submittedJob) {
	asked := w.now
	w.requestFrom(n, func(id controller.RequestID) controller.Input {
		return controller.JobPolled{Request: id, Job: j.spec.ID}
	},
		func(r controller.Reply, ok bool) {
			switch {
			case ok && r.Status == 200:
				w.recordStatus(j, asked, r.Body.(wire.JobStatus).Status)
			case ok && r.Status == 404:
				w.violation("forgotten: poll of %s got 404", j.spec.ID)
			}
		})
}

// PollUnknown polls a job that nobody submitted.
func (w *Cluster) PollUnknown(id wire.JobID) {
	w.request(func(r controller.RequestID) controller.Input { return controller.JobPolled{Request: r, Job: id} },
		func(r controller.Reply, ok bool) {
			if ok && r.Status == 200 {
				w.violation("invented: %s", id)
			}
		})
}

// CancelJob has a user cancel a job, and repeat it until that is answered.
func (w *Cluster) CancelJob(id wire.JobID) {
	j := w.jobs[id]
	if j == nil {
		return
	}
	var try func()
	try = func() {
		if !j.accepted {
			w.after(time.Second, try)
			return
		}
		if w.HangOnCancel > 0 && !j.cancelRequested {
			for _, p := range j.active()[:min(1, len(j.active()))] {
				if !p.machine.hung {
					w.Observed["machine hung at a cancellation"]++
					p.machine.hung = true
					w.after(w.HangOnCancel, p.machine.resume)
				}
			}
		}
		j.cancelRequested = true
		asked := w.now
		w.request(func(r controller.RequestID) controller.Input { return controller.CancelRequested{Request: r, Job: id} },
			func(r controller.Reply, ok bool) {
				if s, good := r.Body.(wire.JobStatus); ok && good && s.Status.IsTerminal() {
					w.recordStatus(j, asked, s.Status)
					return
				}
				w.after(time.Second, try)
			})
	}
	try()
}

// PollStorm has users ask about all jobs many times as often for a while.
func (w *Cluster) PollStorm(d time.Duration) {
	end := w.now.Add(d)
	var ask func()
	ask = func() {
		for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
			if j := w.jobs[id]; j.accepted {
				w.pollOnce(j)
			}
		}
		if w.now < end {
			w.after(300*time.Millisecond, ask)
		}
	}
	ask()
}

// Unfinished names the jobs that are not over, but for services and for jobs that
// can never end because of a mistake in them.
func (w *Cluster) Unfinished() []wire.JobID {
	var out []wire.JobID
	for id, j := range w.jobs {
		if j.submitted && !j.lastStatus.IsTerminal() && j.spec.Shape != wire.ShapeService && (!j.alwaysFails || j.cancelRequested) {
			out = append(out, id)
		}
	}
	return out
}

// Records lists what the state service holds, for a failing test to show.
func (w *Cluster) Records() []string {
	var out []string
	for _, e := range w.store.List("l/") {
		out = append(out, e.Key+" "+string(e.Value)+"\n")
	}
	return out
}
