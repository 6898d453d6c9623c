package simulation

import (
	"maps"
	"slices"
	"time"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

func (w *World) anyNode() *node { return w.nodes[w.rng.IntN(len(w.nodes))] }

// Submit has a user submit a job, and repeat it until it is accepted. Its tasks
// run for runtime.
func (w *World) Submit(spec wire.JobSpec, runtime time.Duration) {
	j := w.jobs[spec.ID]
	if j == nil {
		j = &userJob{spec: spec, runtime: runtime, complete: map[int]bool{}, asked: w.now}
		w.jobs[spec.ID] = j
	}
	var try func()
	try = func() {
		j.submitted = true
		asked := w.now
		w.ask(func(id controller.RequestID) controller.Input {
			return controller.JobSubmitted{Request: id, Spec: spec}
		},
			func(r controller.Reply, ok bool) {
				if s, good := r.Body.(wire.JobStatus); ok && good && (r.Status == 200 || r.Status == 201) {
					w.tell(j, asked, s.Status)
					w.poll(j)
					return
				}
				if ok && r.Status == 422 {
					if j.accepted {
						w.breaks("forgotten: repeat of %s got 422", spec.ID)
					}
					return
				}
				w.after(max(time.Second, r.RetryAfter), try)
			})
	}
	try()
}

// SubmitImpossible has a user submit a job that can never run: it must be refused for
// good, and never be accepted.
func (w *World) SubmitImpossible(spec wire.JobSpec) {
	var try func()
	try = func() {
		w.ask(func(id controller.RequestID) controller.Input {
			return controller.JobSubmitted{Request: id, Spec: spec}
		}, func(r controller.Reply, ok bool) {
			switch {
			case ok && r.Status == 422:
				w.Seen["refused for good"]++
			case ok && r.Status < 300:
				w.breaks("accepted though it can never run: %s", spec.ID)
			default:
				w.after(max(time.Second, r.RetryAfter), try)
			}
		})
	}
	try()
}

// oddRequests has users call off jobs that are done, and repeat submissions of jobs
// that are not.
func (w *World) oddRequests() {
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		j := w.jobs[id]
		switch {
		case j.told == wire.StatusDone:
			w.Seen["cancelled when done"]++
			w.CancelJob(id)
		case j.accepted && !j.told.IsTerminal():
			w.Seen["submitted again"]++
			asked := w.now
			w.ask(func(r controller.RequestID) controller.Input {
				return controller.JobSubmitted{Request: r, Spec: j.spec}
			}, func(r controller.Reply, ok bool) {
				if s, good := r.Body.(wire.JobStatus); ok && good {
					w.tell(j, asked, s.Status)
				} else if ok && r.Status < 429 {
					w.breaks("forgotten: repeat of %s got %d", id, r.Status)
				}
			})
		}
	}
}

// SubmitUneven is Submit for a job whose tasks run for different times.
func (w *World) SubmitUneven(spec wire.JobSpec, runtime func(index int) time.Duration) {
	w.jobs[spec.ID] = &userJob{spec: spec, uneven: runtime, complete: map[int]bool{}, asked: w.now}
	w.Submit(spec, 0)
}

// SubmitMistaken is Submit for a job whose tasks fail on every machine.
func (w *World) SubmitMistaken(spec wire.JobSpec) {
	w.jobs[spec.ID] = &userJob{spec: spec, mistaken: true, complete: map[int]bool{}, asked: w.now}
	w.Submit(spec, 0)
}

// ended has the user of a job whose last task has just ended call it off, perhaps.
func (w *World) ended(j *userJob) {
	if len(j.complete) < j.spec.Tasks || j.told.IsTerminal() || w.rng.Float64() >= w.CancelAtEnd {
		return
	}
	w.Seen["cancelled at its end"]++
	w.CancelJob(j.spec.ID)
	w.lookClosely(j)
}

// lookClosely has users ask about a job at all controllers within milliseconds,
// repeat its submission, and call some off at once.
func (w *World) lookClosely(j *userJob) {
	if !w.CloseLooks {
		return
	}
	for i, d := range []time.Duration{1, 2, 4, 7, 12, 30, 80, 200} {
		w.after(d*time.Millisecond, func() {
			for _, n := range w.nodes {
				w.Seen["close look"]++
				asked := w.now
				if (i+n.index)%3 == 0 {
					w.askAt(n, func(id controller.RequestID) controller.Input {
						return controller.JobSubmitted{Request: id, Spec: j.spec}
					},
						func(r controller.Reply, ok bool) {
							if s, good := r.Body.(wire.JobStatus); ok && good {
								w.tell(j, asked, s.Status)
							} else if ok && (r.Status == 400 || r.Status == 404 || r.Status == 422) {
								w.breaks("forgotten: repeat of %s got %d", j.spec.ID, r.Status)
							}
						})
				} else {
					w.pollAt(n, j)
				}
			}
		})
	}
	if w.rng.IntN(4) == 0 && j.spec.Shape != wire.ShapeService {
		w.after(3*time.Millisecond, func() { w.CancelJob(j.spec.ID) })
	}
}

// ask sends a request to some controller and gives up after 5 s.
func (w *World) ask(makeInput func(controller.RequestID) controller.Input, then func(controller.Reply, bool)) {
	w.askAt(w.anyNode(), makeInput, then)
}

// askAt is ask at a certain controller.
func (w *World) askAt(n *node, makeInput func(controller.RequestID) controller.Input, then func(controller.Reply, bool)) {
	open := true
	w.after(5*time.Second, func() {
		if open {
			open = false
			then(controller.Reply{}, false)
		}
	})
	w.toNode(n, makeInput, func(r controller.Reply) {
		if open {
			open = false
			then(r, true)
		}
	})
}

// tell notes what a user was told and holds it against what was said before
// and what is the case.
//
// An answer to a request that was sent before the user knew better may be old.
func (w *World) tell(j *userJob, asked controller.Time, s wire.Status) {
	j.accepted, j.answered = true, w.now
	if j.told.IsTerminal() && s != j.told && asked > j.toldAt {
		w.breaks("went_back: %s was %s and is now %s", j.spec.ID, j.told, s)
	}
	if s == wire.StatusCancelled && !j.cancelAsk {
		w.breaks("went_back: %s withdrawn, but nobody asked", j.spec.ID)
	}
	if s == wire.StatusDone && len(j.complete) < j.spec.Tasks {
		w.breaks("not_done: %s told done with %d of %d", j.spec.ID, len(j.complete), j.spec.Tasks)
	}
	if s.IsTerminal() && !j.told.IsTerminal() {
		j.toldAt = w.now
		if s == wire.StatusCancelled {
			w.Seen["withdrawn"]++
		}
		w.lookClosely(j)
	} else if j.told == "" {
		w.lookClosely(j)
	}
	if !j.told.IsTerminal() {
		j.told = s
	}
}

func (w *World) poll(j *userJob) {
	w.pollOnce(j)
	w.after(3*time.Second, func() { w.poll(j) })
}

func (w *World) pollOnce(j *userJob) { w.pollAt(w.anyNode(), j) }

func (w *World) pollAt(n *node, j *userJob) {
	asked := w.now
	w.askAt(n, func(id controller.RequestID) controller.Input {
		return controller.JobPolled{Request: id, Job: j.spec.ID}
	},
		func(r controller.Reply, ok bool) {
			switch {
			case ok && r.Status == 200:
				w.tell(j, asked, r.Body.(wire.JobStatus).Status)
			case ok && r.Status == 404:
				w.breaks("forgotten: poll of %s got 404", j.spec.ID)
			}
		})
}

// AskUnknown polls a job that nobody submitted.
func (w *World) AskUnknown(id wire.JobID) {
	w.ask(func(r controller.RequestID) controller.Input { return controller.JobPolled{Request: r, Job: id} },
		func(r controller.Reply, ok bool) {
			if ok && r.Status == 200 {
				w.breaks("invented: %s", id)
			}
		})
}

// CancelJob has a user cancel a job, and repeat it until that is answered.
func (w *World) CancelJob(id wire.JobID) {
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
		if w.HangAtCancel > 0 && !j.cancelAsk {
			for _, p := range j.on()[:min(1, len(j.on()))] {
				if !p.m.hung {
					w.Seen["machine hung at a cancellation"]++
					p.m.hung = true
					w.after(w.HangAtCancel, p.m.resume)
				}
			}
		}
		j.cancelAsk = true
		asked := w.now
		w.ask(func(r controller.RequestID) controller.Input { return controller.CancelRequested{Request: r, Job: id} },
			func(r controller.Reply, ok bool) {
				if s, good := r.Body.(wire.JobStatus); ok && good && s.Status.IsTerminal() {
					w.tell(j, asked, s.Status)
					return
				}
				w.after(time.Second, try)
			})
	}
	try()
}

// PollStorm has users ask about all jobs many times as often for a while.
func (w *World) PollStorm(d time.Duration) {
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
func (w *World) Unfinished() []wire.JobID {
	var out []wire.JobID
	for id, j := range w.jobs {
		if j.submitted && !j.told.IsTerminal() && j.spec.Shape != wire.ShapeService && (!j.mistaken || j.cancelAsk) {
			out = append(out, id)
		}
	}
	return out
}

// Records lists what the state service holds, for a failing test to show.
func (w *World) Records() []string {
	var out []string
	for _, e := range w.store.List("l/") {
		out = append(out, e.Key+" "+string(e.Value)+"\n")
	}
	return out
}
