package simulation

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

const (
	// heartbeatTimeout is the time after which a worker gives up a heartbeat and switches
	// to the next controller. connectionTimeout is that time if no connection is made.
	heartbeatTimeout  = 4 * time.Second
	connectionTimeout = 500 * time.Millisecond
)

// fakeMachine is a machine of the cloud together with its worker.
type fakeMachine struct {
	cluster       *Cluster
	id            wire.MachineID
	addr          string
	machineType   wire.MachineType
	zone          string
	spot          bool
	provisionedAt controller.Time
	up            bool // the worker has joined, and the cloud has not terminated the machine
	terminated    bool // by the cloud, or because it died
	terminatedAt  controller.Time
	preemptionAt  controller.Time // 0 without a preemption notice

	// Injected faults. While the machine hangs, deliveries to it wait in deferred.
	hung                bool
	deferred            []func()
	inboundPartitioned  bool // its heartbeats arrive, but no response or command reaches it
	outboundPartitioned bool // its heartbeats do not arrive, but commands reach it
	faulty              bool // every task on it fails

	agentEpoch        wire.AgentEpoch
	sequence          wire.Sequence
	token             wire.FencingToken
	tasks             map[taskKey]*fakeTask
	images            map[string]bool
	launches          int             // number of launch commands that it executed
	controller        int             // index of the controller to which it sends heartbeats
	leaseRenewedAt    controller.Time // when the last answered heartbeat was sent
	heartbeatInFlight bool
	heartbeatsSent    int
}

// setAddr gives the machine an address, which may be that of a machine that is gone.
func (m *fakeMachine) setAddr(addr string) {
	m.addr = addr
	m.cluster.machinesByAddr[addr] = m
}

// heartbeat returns the worker's next heartbeat.
func (m *fakeMachine) heartbeat() *wire.Heartbeat {
	m.sequence++
	heartbeat := &wire.Heartbeat{Machine: m.id, Addr: m.addr, Type: m.machineType.Name, Zone: m.zone, Spot: m.spot,
		AgentEpoch: m.agentEpoch, Sequence: m.sequence, Token: m.token}
	if m.preemptionAt != 0 {
		notice := m.preemptionAt.Sub(m.cluster.now).Seconds()
		heartbeat.PreemptionNoticeS = &notice
	}
	for _, task := range m.sortedTasks() {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: task.id, Attempt: task.attempt, State: task.state, Cause: task.cause, Checkpointed: task.checkpointed})
	}
	return heartbeat
}

// sortedTasks returns the tasks in a fixed order, so that the seed determines the course
// of a run.
func (m *fakeMachine) sortedTasks() []*fakeTask {
	tasks := make([]*fakeTask, 0, len(m.tasks))
	for _, task := range m.tasks {
		tasks = append(tasks, task)
	}
	slices.SortFunc(tasks, func(a, b *fakeTask) int {
		return cmp.Or(cmp.Compare(a.id.Job, b.id.Job), a.id.Index-b.id.Index, cmp.Compare(a.attempt, b.attempt))
	})
	return tasks
}

// deliver runs f on the machine now or, if the machine hangs, once it resumes. A terminated
// machine drops f.
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

// resume ends the hang of the machine and runs the deferred deliveries.
func (m *fakeMachine) resume() {
	m.hung = false
	m.expireLease()
	deferred := m.deferred
	m.deferred = nil
	for _, f := range deferred {
		m.deliver(f)
	}
}

// hangFor makes the machine hang for d.
func (m *fakeMachine) hangFor(d time.Duration) {
	m.hung = true
	m.cluster.At(d, m.resume)
}

// expireLease ends all tasks and begins a new agent epoch if the lease has expired.
func (m *fakeMachine) expireLease() {
	if m.cluster.now-m.leaseRenewedAt <= controller.Time(m.cluster.Lease) {
		return
	}
	for _, task := range m.tasks {
		task.active = false
	}
	m.tasks = map[taskKey]*fakeTask{}
	m.agentEpoch++
	m.leaseRenewedAt = m.cluster.now
}

// terminate ends the machine and its tasks.
func (m *fakeMachine) terminate() {
	m.terminated, m.terminatedAt = true, m.cluster.now
	m.endTasks()
}

// endTasks ends all tasks of the machine without a report.
func (m *fakeMachine) endTasks() {
	for _, task := range m.sortedTasks() {
		job := m.cluster.jobs[task.id.Job]
		if task.active && job.spec.Shape == wire.ShapeGang && task.state != wire.TaskWaiting {
			m.cluster.failGang(job, task.attempt)
		}
		task.active = false
	}
}

// reclaim ends the machine because the cloud takes it back. Unlike a machine that died, it leaves
// the cloud's list, though older lists still show it.
func (m *fakeMachine) reclaim() {
	m.terminate()
	m.up = false
}

// heartbeatLoop sends heartbeats about one HeartbeatInterval apart until the machine is
// terminated.
func (m *fakeMachine) heartbeatLoop() {
	if m.terminated {
		return
	}
	c := m.cluster
	m.deliver(m.sendHeartbeat)
	c.after(time.Duration(float64(c.HeartbeatInterval)*(0.75+0.5*c.rng.Float64())), m.heartbeatLoop)
}

// sendHeartbeat sends a heartbeat unless one is in flight.
func (m *fakeMachine) sendHeartbeat() {
	if m.heartbeatInFlight {
		return
	}
	m.heartbeatInFlight = true
	m.heartbeatsSent++
	sent := m.heartbeatsSent
	if m.outboundPartitioned {
		m.cluster.after(connectionTimeout, func() {
			if m.heartbeatsSent == sent && m.heartbeatInFlight {
				m.heartbeatInFlight = false
				m.deliver(m.switchController)
			}
		})
		return
	}
	m.callController(sent)
}

// callController sends the heartbeat with the given number. Of its response and its
// timeout, only the one that comes first is handled.
func (m *fakeMachine) callController(sent int) {
	c, sentAt, agentEpoch := m.cluster, m.cluster.now, m.agentEpoch
	process := c.controllers[m.controller]
	open := true
	finish := func(handle func()) {
		m.deliver(func() {
			if !open || m.heartbeatsSent != sent {
				return
			}
			open = false
			m.heartbeatInFlight = false
			handle()
		})
	}
	c.after(heartbeatTimeout, func() { finish(m.switchController) })
	heartbeat := m.heartbeat()
	newInput := func(id controller.RequestID) controller.Input {
		return controller.HeartbeatReceived{Request: id, Heartbeat: heartbeat}
	}
	c.sendToController(process, newInput, func(reply controller.Reply) {
		if !m.inboundPartitioned {
			finish(func() { m.handleResponse(reply, sentAt, agentEpoch) })
		}
	})
}

// handleResponse handles the response to a heartbeat that was sent at sentAt in the given
// agent epoch. The lease counts from the sending of the heartbeat, not from the response.
func (m *fakeMachine) handleResponse(reply controller.Reply, sentAt controller.Time, agentEpoch wire.AgentEpoch) {
	response, ok := reply.Body.(wire.HeartbeatResponse)
	if !ok || reply.Status != http.StatusOK {
		m.switchController()
		return
	}
	if response.Token < m.token || m.agentEpoch != agentEpoch {
		return
	}
	m.token = response.Token
	m.leaseRenewedAt = max(m.leaseRenewedAt, sentAt)
	m.execute(response.Commands)
}

func (m *fakeMachine) switchController() {
	m.controller = (m.controller + 1) % len(m.cluster.controllers)
}

// handleCommands handles a direct call with commands. The call is rejected if its fencing
// token is lower than that of an earlier call or response, or if it is for another agent
// epoch.
func (m *fakeMachine) handleCommands(request wire.CommandRequest) controller.WorkerResponse {
	if request.Token < m.token || request.AgentEpoch != m.agentEpoch {
		return controller.WorkerResponse{Outcome: controller.NotExecuted, Heartbeat: m.heartbeat()}
	}
	m.token = request.Token
	m.execute(request.Commands)
	return controller.WorkerResponse{Outcome: controller.Succeeded, Executed: true, Heartbeat: m.heartbeat()}
}

func (m *fakeMachine) execute(commands []wire.Command) {
	for _, command := range commands {
		task := m.tasks[taskKey{command.Task, command.Attempt}]
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
				m.clear(task)
			}
		}
	}
}

// clear removes an exited task. The fencing token must have increased since the launch of
// the task. Otherwise a copy of the launch command that is still under way would start the
// task again.
func (m *fakeMachine) clear(task *fakeTask) {
	if m.token <= task.token {
		m.cluster.reportViolation("%v cleared without a higher fencing token", task.id)
	}
	delete(m.tasks, task.key())
}
