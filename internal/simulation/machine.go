package simulation

import (
	"cmp"
	"slices"
	"time"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

// fakeTask is one attempt on a machine.
type fakeTask struct {
	id           wire.TaskID
	attempt      wire.Attempt
	state        wire.TaskState
	cause        wire.Cause
	checkpointed bool
	active       bool              // has its image and has not exited: counts for the rules
	token        wire.FencingToken // under which it was launched
	epoch        int               // stale timers are told by it
}

type taskKey struct {
	id      wire.TaskID
	attempt wire.Attempt
}

// fakeMachine is a rented machine with its worker.
type fakeMachine struct {
	cluster             *Cluster
	id                  wire.MachineID
	machineType         wire.MachineType
	zone                string
	spot                bool
	provisionedAt       controller.Time
	up                  bool
	terminated          bool // gone, or died
	terminatedAt        controller.Time
	hung                bool
	inboundPartitioned  bool     // its reports arrive, but nothing reaches it
	outboundPartitioned bool     // it reaches no controller, but direct commands reach it
	deferred            []func() // what arrived while it hung

	agentEpoch        wire.AgentEpoch
	sequence          wire.Sequence
	token             wire.FencingToken
	tasks             map[taskKey]*fakeTask
	leaseRenewedAt    controller.Time // when the last answered report was sent
	controller        int
	launches          int // launches it obeyed
	images            map[string]bool
	heartbeatInFlight bool
	heartbeatsSent    int
	preemptionAt      controller.Time
	faulty            bool
}

func (m *fakeMachine) heartbeat() *wire.Heartbeat {
	m.sequence++
	r := &wire.Heartbeat{Machine: m.id, Addr: string(m.id), Type: m.machineType.Name, Zone: m.zone, Spot: m.spot,
		AgentEpoch: m.agentEpoch, Sequence: m.sequence, Token: m.token}
	if m.preemptionAt != 0 {
		s := m.preemptionAt.Sub(m.cluster.now).Seconds()
		r.PreemptionNoticeS = &s
	}
	for _, t := range m.sortedTasks() {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: t.id, Attempt: t.attempt, State: t.state, Cause: t.cause, Checkpointed: t.checkpointed})
	}
	return r
}

// sortedTasks is the tasks in a fixed order, so that a world repeats.
func (m *fakeMachine) sortedTasks() []*fakeTask {
	out := make([]*fakeTask, 0, len(m.tasks))
	for _, t := range m.tasks {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *fakeTask) int {
		return cmp.Or(cmp.Compare(a.id.Job, b.id.Job), a.id.Index-b.id.Index, cmp.Compare(a.attempt, b.attempt))
	})
	return out
}

// deliver runs f now, or when the machine no longer hangs.
func (m *fakeMachine) deliver(f func()) {
	switch {
	case m.terminated:
	case m.hung:
		m.deferred = append(m.deferred, f)
	default:
		m.expireLease()
		f()
	}
}

func (m *fakeMachine) resume() {
	m.hung = false
	m.expireLease()
	queue := m.deferred
	m.deferred = nil
	for _, f := range queue {
		m.deliver(f)
	}
}

// expireLease ends the session when the lease is over.
func (m *fakeMachine) expireLease() {
	if m.cluster.now-m.leaseRenewedAt <= controller.Time(m.cluster.Lease) {
		return
	}
	for _, t := range m.tasks {
		t.active = false
		t.epoch++
	}
	m.tasks = map[taskKey]*fakeTask{}
	m.agentEpoch++
	m.leaseRenewedAt = m.cluster.now
}

func (m *fakeMachine) heartbeatLoop() {
	w := m.cluster
	if m.terminated {
		return
	}
	m.deliver(m.sendHeartbeat)
	w.after(time.Duration(float64(w.HeartbeatInterval)*(0.75+0.5*w.rng.Float64())), m.heartbeatLoop)
}

func (m *fakeMachine) sendHeartbeat() {
	w := m.cluster
	if m.heartbeatInFlight {
		return
	}
	m.heartbeatInFlight = true
	m.heartbeatsSent++
	if m.outboundPartitioned {
		mark := m.heartbeatsSent
		w.after(500*time.Millisecond, func() {
			if m.heartbeatsSent == mark && m.heartbeatInFlight {
				m.heartbeatInFlight = false
				m.deliver(m.nextController)
			}
		})
		return
	}
	n, sentAt, session, mark := w.controllers[m.controller], w.now, m.agentEpoch, m.heartbeatsSent
	open := true
	finish := func(f func()) {
		m.deliver(func() {
			if !open || m.heartbeatsSent != mark {
				return
			}
			open = false
			m.heartbeatInFlight = false
			f()
		})
	}
	w.after(4*time.Second, func() { finish(m.nextController) })
	r := m.heartbeat()
	w.sendToController(n, func(id controller.RequestID) controller.Input {
		return controller.HeartbeatReceived{Request: id, Heartbeat: r}
	},
		func(rep controller.Reply) {
			if m.inboundPartitioned {
				return
			}
			finish(func() {
				a, ok := rep.Body.(wire.HeartbeatResponse)
				if !ok || rep.Status != 200 {
					m.nextController()
					return
				}
				if a.Token < m.token || m.agentEpoch != session {
					return
				}
				m.token = a.Token
				m.leaseRenewedAt = max(m.leaseRenewedAt, sentAt)
				m.execute(a.Commands)
			})
		})
}

func (m *fakeMachine) nextController() {
	m.controller = (m.controller + 1) % len(m.cluster.controllers)
}

// handleCommands is POST /do.
func (m *fakeMachine) handleCommands(body wire.CommandRequest) controller.WorkerResponse {
	if body.Token < m.token || body.AgentEpoch != m.agentEpoch {
		return controller.WorkerResponse{Outcome: controller.NotExecuted, Heartbeat: m.heartbeat()}
	}
	m.token = body.Token
	m.execute(body.Commands)
	return controller.WorkerResponse{Outcome: controller.Succeeded, Executed: true, Heartbeat: m.heartbeat()}
}

func (m *fakeMachine) execute(orders []wire.Command) {
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
					m.cluster.violation("unfenced clear of %v", t.id)
				}
				delete(m.tasks, key)
			}
		}
	}
}

func (m *fakeMachine) launch(o wire.Command) {
	w := m.cluster
	m.launches++
	t := &fakeTask{id: o.Task, attempt: o.Attempt, state: wire.TaskPulling, token: m.token}
	m.tasks[taskKey{o.Task, o.Attempt}] = t
	j := w.jobs[o.Task.Job]
	if j != nil {
		j.launches++
	}
	if j == nil {
		w.violation("invented: launch of %v, which nobody submitted", o.Task)
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
	if cores+s.Cores > m.machineType.Cores || accel+s.Accelerators > m.machineType.Accelerators || mem+s.MemGB > m.machineType.MemGB {
		t.state, t.cause = wire.TaskExited, wire.CauseNoRoom
		return
	}
	fetch := time.Duration(w.rng.Int64N(int64(2 * time.Second)))
	if w.ImagePullTime > 0 && !m.images[j.spec.Image] {
		fetch = w.ImagePullTime
	}
	w.after(fetch, func() {
		m.deliver(func() {
			if t.state == wire.TaskPulling && m.tasks[taskKey{t.id, t.attempt}] == t {
				m.images[j.spec.Image] = true
				m.start(t, j)
			}
		})
	})
}

func (m *fakeMachine) start(t *fakeTask, j *submittedJob) {
	w := m.cluster
	t.active = true
	j.placements = append(j.placements, placement{m, t})
	w.checkStart(m, t, j)
	if m.faulty {
		w.after(time.Second, func() { m.deliver(func() { m.exit(t, wire.CauseError) }) })
	}
	if j.spec.Shape == wire.ShapeGang {
		t.state = wire.TaskWaiting
		w.after(w.GangWaitTimeout, func() {
			m.deliver(func() {
				if t.state == wire.TaskWaiting {
					m.exit(t, wire.CauseGangTimeout)
				}
			})
		})
		w.startGangIfReady(j, t.attempt)
		return
	}
	m.run(t, j)
}

func (m *fakeMachine) run(t *fakeTask, j *submittedJob) {
	t.state = wire.TaskRunning
	if j.alwaysFails {
		m.cluster.after(time.Second, func() { m.deliver(func() { m.exit(t, wire.CauseError) }) })
		return
	}
	if j.spec.Shape == wire.ShapeService {
		return
	}
	d := j.runtime
	if j.runtimeOf != nil {
		d = j.runtimeOf(t.id.Index)
	}
	if j.completed[t.id.Index] {
		d = 0
	}
	m.cluster.after(d, func() {
		m.deliver(func() {
			if t.state == wire.TaskRunning && t.active {
				if j.spec.Shape == wire.ShapeGang {
					m.cluster.completeGang(j, t.attempt)
				} else {
					m.exit(t, wire.CauseDone)
				}
			}
		})
	})
}

func (m *fakeMachine) stop(t *fakeTask, windup float64) {
	w := m.cluster
	j := w.jobs[t.id.Job]
	if t.state == wire.TaskRunning && j.spec.CheckpointIntervalS > 0 && windup >= j.spec.CheckpointSaveS {
		t.state = wire.TaskCheckpointing
		w.after(time.Duration(j.spec.CheckpointSaveS*float64(time.Second)), func() {
			m.deliver(func() {
				if t.state == wire.TaskCheckpointing {
					t.checkpointed = true
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

func (m *fakeMachine) exit(t *fakeTask, why wire.Cause) {
	if t.state == wire.TaskExited || m.tasks[taskKey{t.id, t.attempt}] != t {
		return
	}
	wasRunning := t.state == wire.TaskRunning || t.state == wire.TaskCheckpointing
	t.state, t.cause, t.active = wire.TaskExited, why, false
	j := m.cluster.jobs[t.id.Job]
	if why == wire.CauseDone {
		j.completed[t.id.Index] = true
		m.cluster.jobCompleted(j)
	} else if j.spec.Shape == wire.ShapeGang && wasRunning {
		m.cluster.failGang(j, t.attempt)
	}
	m.sendHeartbeat()
}

// terminate ends the machine and everything on it.
func (m *fakeMachine) terminate() {
	m.terminated, m.terminatedAt = true, m.cluster.now
	for _, t := range m.sortedTasks() {
		if t.active && m.cluster.jobs[t.id.Job].spec.Shape == wire.ShapeGang && t.state != wire.TaskWaiting {
			m.cluster.failGang(m.cluster.jobs[t.id.Job], t.attempt)
		}
		t.active = false
	}
}
