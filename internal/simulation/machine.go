package simulation

import (
	"cmp"
	"slices"
	"time"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

// task is one attempt on a machine.
type task struct {
	id      wire.TaskID
	attempt wire.Attempt
	state   wire.TaskState
	cause   wire.Cause
	stored  bool
	on      bool              // has its image and has not exited: counts for the rules
	token   wire.FencingToken // under which it was launched
	epoch   int               // stale timers are told by it
}

type taskKey struct {
	id      wire.TaskID
	attempt wire.Attempt
}

// machine is a rented machine with its worker.
type machine struct {
	w           *World
	id          wire.MachineID
	kind        wire.MachineType
	zone        string
	spot        bool
	born        controller.Time
	up          bool
	dead        bool // gone, or died
	deadAt      controller.Time
	hung        bool
	inboundCut  bool     // its reports arrive, but nothing reaches it
	outboundCut bool     // it reaches no controller, but direct commands reach it
	queue       []func() // what arrived while it hung

	session  wire.AgentEpoch
	sequence wire.Sequence
	token    wire.FencingToken
	tasks    map[taskKey]*task
	answered controller.Time // when the last answered report was sent
	node     int
	launched int // launches it obeyed
	images   map[string]bool
	sending  bool
	sent     int
	recall   controller.Time
	faulty   bool
}

func (m *machine) report() *wire.Heartbeat {
	m.sequence++
	r := &wire.Heartbeat{Machine: m.id, Addr: string(m.id), Type: m.kind.Name, Zone: m.zone, Spot: m.spot,
		AgentEpoch: m.session, Sequence: m.sequence, Token: m.token}
	if m.recall != 0 {
		s := m.recall.Sub(m.w.now).Seconds()
		r.PreemptionNoticeS = &s
	}
	for _, t := range m.sorted() {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: t.id, Attempt: t.attempt, State: t.state, Cause: t.cause, Checkpointed: t.stored})
	}
	return r
}

// sorted is the tasks in a fixed order, so that a world repeats.
func (m *machine) sorted() []*task {
	out := make([]*task, 0, len(m.tasks))
	for _, t := range m.tasks {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.id.Job, b.id.Job), a.id.Index-b.id.Index, cmp.Compare(a.attempt, b.attempt))
	})
	return out
}

// act runs f now, or when the machine no longer hangs.
func (m *machine) act(f func()) {
	switch {
	case m.dead:
	case m.hung:
		m.queue = append(m.queue, f)
	default:
		m.expire()
		f()
	}
}

func (m *machine) resume() {
	m.hung = false
	m.expire()
	queue := m.queue
	m.queue = nil
	for _, f := range queue {
		m.act(f)
	}
}

// expire ends the session when the lease is over.
func (m *machine) expire() {
	if m.w.now-m.answered <= controller.Time(m.w.Lease) {
		return
	}
	for _, t := range m.tasks {
		t.on = false
		t.epoch++
	}
	m.tasks = map[taskKey]*task{}
	m.session++
	m.answered = m.w.now
}

func (m *machine) reportLoop() {
	w := m.w
	if m.dead {
		return
	}
	m.act(m.sendReport)
	w.after(time.Duration(float64(w.ReportEvery)*(0.75+0.5*w.rng.Float64())), m.reportLoop)
}

func (m *machine) sendReport() {
	w := m.w
	if m.sending {
		return
	}
	m.sending = true
	m.sent++
	if m.outboundCut {
		mark := m.sent
		w.after(500*time.Millisecond, func() {
			if m.sent == mark && m.sending {
				m.sending = false
				m.act(m.nextNode)
			}
		})
		return
	}
	n, sentAt, session, mark := w.nodes[m.node], w.now, m.session, m.sent
	open := true
	finish := func(f func()) {
		m.act(func() {
			if !open || m.sent != mark {
				return
			}
			open = false
			m.sending = false
			f()
		})
	}
	w.after(4*time.Second, func() { finish(m.nextNode) })
	r := m.report()
	w.toNode(n, func(id controller.RequestID) controller.Input {
		return controller.HeartbeatReceived{Request: id, Heartbeat: r}
	},
		func(rep controller.Reply) {
			if m.inboundCut {
				return
			}
			finish(func() {
				a, ok := rep.Body.(wire.HeartbeatResponse)
				if !ok || rep.Status != 200 {
					m.nextNode()
					return
				}
				if a.Token < m.token || m.session != session {
					return
				}
				m.token = a.Token
				m.answered = max(m.answered, sentAt)
				m.obey(a.Commands)
			})
		})
}

func (m *machine) nextNode() { m.node = (m.node + 1) % len(m.w.nodes) }

// do is POST /do.
func (m *machine) do(body wire.CommandRequest) controller.WorkerResponse {
	if body.Token < m.token || body.AgentEpoch != m.session {
		return controller.WorkerResponse{Outcome: controller.NotExecuted, Heartbeat: m.report()}
	}
	m.token = body.Token
	m.obey(body.Commands)
	return controller.WorkerResponse{Outcome: controller.Succeeded, Executed: true, Heartbeat: m.report()}
}

func (m *machine) obey(orders []wire.Command) {
	for _, o := range orders {
		key := taskKey{o.Task, o.Attempt}
		t := m.tasks[key]
		switch o.Verb {
		case wire.VerbLaunch:
			if t == nil {
				m.launch(o)
			}
		case wire.VerbStop:
			if t != nil && t.state != wire.TaskExited {
				m.stop(t, *o.GracePeriodS)
			}
		case wire.VerbClear:
			if t != nil && t.state == wire.TaskExited {
				// Another copy of the launch may be under way, and would start the
				// task again.
				if m.token <= t.token {
					m.w.breaks("unfenced clear of %v", t.id)
				}
				delete(m.tasks, key)
			}
		}
	}
}

func (m *machine) launch(o wire.Command) {
	w := m.w
	m.launched++
	t := &task{id: o.Task, attempt: o.Attempt, state: wire.TaskPulling, token: m.token}
	m.tasks[taskKey{o.Task, o.Attempt}] = t
	j := w.jobs[o.Task.Job]
	if j != nil {
		j.launched++
	}
	if j == nil {
		w.breaks("invented: launch of %v, which nobody submitted", o.Task)
		return
	}
	var cores, accel, mem float64
	for _, x := range m.tasks {
		if x == t || x.state == wire.TaskExited {
			continue
		}
		if x.id == t.id {
			t.state, t.cause = wire.TaskExited, wire.CauseInUse
			return
		}
		spec := &w.jobs[x.id.Job].spec
		cores, accel, mem = cores+spec.Cores, accel+spec.Accelerators, mem+spec.MemGB
	}
	s := &j.spec
	if cores+s.Cores > m.kind.Cores || accel+s.Accelerators > m.kind.Accelerators || mem+s.MemGB > m.kind.MemGB {
		t.state, t.cause = wire.TaskExited, wire.CauseNoRoom
		return
	}
	fetch := time.Duration(w.rng.Int64N(int64(2 * time.Second)))
	if w.SlowImage > 0 && !m.images[j.spec.Image] {
		fetch = w.SlowImage
	}
	w.after(fetch, func() {
		m.act(func() {
			if t.state == wire.TaskPulling && m.tasks[taskKey{t.id, t.attempt}] == t {
				m.images[j.spec.Image] = true
				m.start(t, j)
			}
		})
	})
}

func (m *machine) start(t *task, j *userJob) {
	w := m.w
	t.on = true
	j.placed = append(j.placed, placed{m, t})
	w.started(m, t, j)
	if m.faulty {
		w.after(time.Second, func() { m.act(func() { m.exit(t, wire.CauseError) }) })
	}
	if j.spec.Shape == wire.ShapeGang {
		t.state = wire.TaskWaiting
		w.after(w.GangWait, func() {
			m.act(func() {
				if t.state == wire.TaskWaiting {
					m.exit(t, wire.CauseGangTimeout)
				}
			})
		})
		w.gangReady(j, t.attempt)
		return
	}
	m.run(t, j)
}

func (m *machine) run(t *task, j *userJob) {
	t.state = wire.TaskRunning
	if j.mistaken {
		m.w.after(time.Second, func() { m.act(func() { m.exit(t, wire.CauseError) }) })
		return
	}
	if j.spec.Shape == wire.ShapeService {
		return
	}
	d := j.runtime
	if j.uneven != nil {
		d = j.uneven(t.id.Index)
	}
	if j.complete[t.id.Index] {
		d = 0
	}
	m.w.after(d, func() {
		m.act(func() {
			if t.state == wire.TaskRunning && t.on {
				if j.spec.Shape == wire.ShapeGang {
					m.w.gangDone(j, t.attempt)
				} else {
					m.exit(t, wire.CauseDone)
				}
			}
		})
	})
}

func (m *machine) stop(t *task, windup float64) {
	w := m.w
	j := w.jobs[t.id.Job]
	if t.state == wire.TaskRunning && j.spec.CheckpointIntervalS > 0 && windup >= j.spec.CheckpointSaveS {
		t.state = wire.TaskCheckpointing
		w.after(time.Duration(j.spec.CheckpointSaveS*float64(time.Second)), func() {
			m.act(func() {
				if t.state == wire.TaskCheckpointing {
					t.stored = true
					m.exit(t, wire.CauseStopped)
				}
			})
		})
		return
	}
	if t.state == wire.TaskCheckpointing && windup > 0 {
		return
	}
	m.exit(t, wire.CauseStopped)
}

func (m *machine) exit(t *task, why wire.Cause) {
	if t.state == wire.TaskExited || m.tasks[taskKey{t.id, t.attempt}] != t {
		return
	}
	wasRunning := t.state == wire.TaskRunning || t.state == wire.TaskCheckpointing
	t.state, t.cause, t.on = wire.TaskExited, why, false
	j := m.w.jobs[t.id.Job]
	if why == wire.CauseDone {
		j.complete[t.id.Index] = true
		m.w.ended(j)
	} else if j.spec.Shape == wire.ShapeGang && wasRunning {
		m.w.gangLost(j, t.attempt)
	}
	m.sendReport()
}

// vanish ends the machine and everything on it.
func (m *machine) vanish() {
	m.dead, m.deadAt = true, m.w.now
	for _, t := range m.sorted() {
		if t.on && m.w.jobs[t.id.Job].spec.Shape == wire.ShapeGang && t.state != wire.TaskWaiting {
			m.w.gangLost(m.w.jobs[t.id.Job], t.attempt)
		}
		t.on = false
	}
}
