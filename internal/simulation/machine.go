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
	heartbeat := &wire.Heartbeat{Machine: m.id, Addr: string(m.id), Type: m.machineType.Name, Zone: m.zone, Spot: m.spot,
		AgentEpoch: m.agentEpoch, Sequence: m.sequence, Token: m.token}
	if m.preemptionAt != 0 {
		s := m.preemptionAt.Sub(m.cluster.now).Seconds()
		heartbeat.PreemptionNoticeS = &s
	}
	for _, task := range m.sortedTasks() {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: task.id, Attempt: task.attempt, State: task.state, Cause: task.cause, Checkpointed: task.checkpointed})
	}
	return heartbeat
}

// sortedTasks is the tasks in a fixed order, so that a world repeats.
func (m *fakeMachine) sortedTasks() []*fakeTask {
	out := make([]*fakeTask, 0, len(m.tasks))
	for _, task := range m.tasks {
		out = append(out, task)
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
	for _, task := range m.tasks {
		task.active = false
		task.epoch++
	}
	m.tasks = map[taskKey]*fakeTask{}
	m.agentEpoch++
	m.leaseRenewedAt = m.cluster.now
}

func (m *fakeMachine) heartbeatLoop() {
	cluster := m.cluster
	if m.terminated {
		return
	}
	m.deliver(m.sendHeartbeat)
	cluster.after(time.Duration(float64(cluster.HeartbeatInterval)*(0.75+0.5*cluster.rng.Float64())), m.heartbeatLoop)
}

func (m *fakeMachine) sendHeartbeat() {
	cluster := m.cluster
	if m.heartbeatInFlight {
		return
	}
	m.heartbeatInFlight = true
	m.heartbeatsSent++
	if m.outboundPartitioned {
		mark := m.heartbeatsSent
		cluster.after(500*time.Millisecond, func() {
			if m.heartbeatsSent == mark && m.heartbeatInFlight {
				m.heartbeatInFlight = false
				m.deliver(m.nextController)
			}
		})
		return
	}
	process, sentAt, agentEpoch, mark := cluster.controllers[m.controller], cluster.now, m.agentEpoch, m.heartbeatsSent
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
	cluster.after(4*time.Second, func() { finish(m.nextController) })
	heartbeat := m.heartbeat()
	cluster.sendToController(process, func(id controller.RequestID) controller.Input {
		return controller.HeartbeatReceived{Request: id, Heartbeat: heartbeat}
	},
		func(rep controller.Reply) {
			if m.inboundPartitioned {
				return
			}
			finish(func() {
				response, ok := rep.Body.(wire.HeartbeatResponse)
				if !ok || rep.Status != 200 {
					m.nextController()
					return
				}
				if response.Token < m.token || m.agentEpoch != agentEpoch {
					return
				}
				m.token = response.Token
				m.leaseRenewedAt = max(m.leaseRenewedAt, sentAt)
				m.execute(response.Commands)
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
	for _, command := range orders {
		key := taskKey{command.Task, command.Attempt}
		task := m.tasks[key]
		switch command.Verb {
		case wire.VerbLaunch:
			if task == nil {
				m.launch(command)
			}
		case wire.VerbStop:
			if task != nil && task.state != wire.TaskExited {
				m.stop(task, *command.GracePeriodS)
			}
		case wire.VerbClear:
			if task != nil && task.state == wire.TaskExited {
				// Another copy of the launch may be under way, and would start the
				// task again.
				if m.token <= task.token {
					m.cluster.violation("unfenced clear of %v", task.id)
				}
				delete(m.tasks, key)
			}
		}
	}
}

func (m *fakeMachine) launch(command wire.Command) {
	cluster := m.cluster
	m.launches++
	task := &fakeTask{id: command.Task, attempt: command.Attempt, state: wire.TaskPulling, token: m.token}
	m.tasks[taskKey{command.Task, command.Attempt}] = task
	job := cluster.jobs[command.Task.Job]
	if job != nil {
		job.launches++
	}
	if job == nil {
		cluster.violation("invented: launch of %v, which nobody submitted", command.Task)
		return
	}
	var cores, accel, mem float64
	for _, other := range m.tasks {
		if other == task || other.state == wire.TaskExited {
			continue
		}
		if other.id == task.id {
			task.state, task.cause = wire.TaskExited, wire.CauseInUse
			return
		}
		spec := &cluster.jobs[other.id.Job].spec
		cores, accel, mem = cores+spec.Cores, accel+spec.Accelerators, mem+spec.MemGB
	}
	spec := &job.spec
	if cores+spec.Cores > m.machineType.Cores || accel+spec.Accelerators > m.machineType.Accelerators || mem+spec.MemGB > m.machineType.MemGB {
		task.state, task.cause = wire.TaskExited, wire.CauseNoRoom
		return
	}
	fetch := time.Duration(cluster.rng.Int64N(int64(2 * time.Second)))
	if cluster.ImagePullTime > 0 && !m.images[job.spec.Image] {
		fetch = cluster.ImagePullTime
	}
	cluster.after(fetch, func() {
		m.deliver(func() {
			if task.state == wire.TaskPulling && m.tasks[taskKey{task.id, task.attempt}] == task {
				m.images[job.spec.Image] = true
				m.start(task, job)
			}
		})
	})
}

func (m *fakeMachine) start(task *fakeTask, job *submittedJob) {
	cluster := m.cluster
	task.active = true
	job.placements = append(job.placements, placement{m, task})
	cluster.checkStart(m, task, job)
	if m.faulty {
		cluster.after(time.Second, func() { m.deliver(func() { m.exit(task, wire.CauseError) }) })
	}
	if job.spec.Shape == wire.ShapeGang {
		task.state = wire.TaskWaiting
		cluster.after(cluster.GangWaitTimeout, func() {
			m.deliver(func() {
				if task.state == wire.TaskWaiting {
					m.exit(task, wire.CauseGangTimeout)
				}
			})
		})
		cluster.startGangIfReady(job, task.attempt)
		return
	}
	m.run(task, job)
}

func (m *fakeMachine) run(task *fakeTask, job *submittedJob) {
	task.state = wire.TaskRunning
	if job.alwaysFails {
		m.cluster.after(time.Second, func() { m.deliver(func() { m.exit(task, wire.CauseError) }) })
		return
	}
	if job.spec.Shape == wire.ShapeService {
		return
	}
	d := job.runtime
	if job.runtimeOf != nil {
		d = job.runtimeOf(task.id.Index)
	}
	if job.completed[task.id.Index] {
		d = 0
	}
	m.cluster.after(d, func() {
		m.deliver(func() {
			if task.state == wire.TaskRunning && task.active {
				if job.spec.Shape == wire.ShapeGang {
					m.cluster.completeGang(job, task.attempt)
				} else {
					m.exit(task, wire.CauseDone)
				}
			}
		})
	})
}

func (m *fakeMachine) stop(task *fakeTask, gracePeriodS float64) {
	cluster := m.cluster
	job := cluster.jobs[task.id.Job]
	if task.state == wire.TaskRunning && job.spec.CheckpointIntervalS > 0 && gracePeriodS >= job.spec.CheckpointSaveS {
		task.state = wire.TaskCheckpointing
		cluster.after(time.Duration(job.spec.CheckpointSaveS*float64(time.Second)), func() {
			m.deliver(func() {
				if task.state == wire.TaskCheckpointing {
					task.checkpointed = true
					m.exit(task, wire.CauseStopped)
				}
			})
		})
		return
	}
	if task.state == wire.TaskCheckpointing && gracePeriodS > 0 {
		return
	}
	m.exit(task, wire.CauseStopped)
}

func (m *fakeMachine) exit(task *fakeTask, cause wire.Cause) {
	if task.state == wire.TaskExited || m.tasks[taskKey{task.id, task.attempt}] != task {
		return
	}
	wasRunning := task.state == wire.TaskRunning || task.state == wire.TaskCheckpointing
	task.state, task.cause, task.active = wire.TaskExited, cause, false
	job := m.cluster.jobs[task.id.Job]
	if cause == wire.CauseDone {
		job.completed[task.id.Index] = true
		m.cluster.jobCompleted(job)
	} else if job.spec.Shape == wire.ShapeGang && wasRunning {
		m.cluster.failGang(job, task.attempt)
	}
	m.sendHeartbeat()
}

// terminate ends the machine and everything on it.
func (m *fakeMachine) terminate() {
	m.terminated, m.terminatedAt = true, m.cluster.now
	for _, task := range m.sortedTasks() {
		if task.active && m.cluster.jobs[task.id.Job].spec.Shape == wire.ShapeGang && task.state != wire.TaskWaiting {
			m.cluster.failGang(m.cluster.jobs[task.id.Job], task.attempt)
		}
		task.active = false
	}
}
