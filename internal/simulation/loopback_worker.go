package simulation

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"lilacrill/internal/httpcall"
	"lilacrill/wire"
)

const (
	// loopbackPullTime is the time that a worker takes to pull an image.
	loopbackPullTime = 200 * time.Millisecond
	// loopbackBootTime is the time from the provisioning of a machine to its first heartbeat.
	loopbackBootTime = 2 * time.Second
	// minHeartbeatPause is the shortest time between two heartbeats of a worker.
	minHeartbeatPause = 500 * time.Millisecond
	// failoverPause is the time from a failed heartbeat to the next one, which goes to
	// another controller.
	failoverPause = time.Second
	// maxRedirectPause is the longest time from a redirect to the heartbeat that goes to the
	// controller that it names.
	maxRedirectPause = 500 * time.Millisecond
	// noController means that the last heartbeat of a worker was not answered.
	noController = -1
)

// loopbackWorker is one of the LoopbackWorkers.
type loopbackWorker struct {
	fleet             *LoopbackWorkers
	number            int
	id                wire.MachineID
	addr              string
	machineType, zone string
	controller        int           // index of the controller that gets the heartbeats
	heartbeatDue      chan struct{} // holds an element if a heartbeat is due at once

	mu         sync.Mutex
	fault      WorkerFault
	terminated bool
	agentEpoch wire.AgentEpoch
	leaseFrom  time.Time // when the last answered heartbeat was sent, or the agent epoch began
	sequence   wire.Sequence
	token      wire.FencingToken
	tasks      map[taskKey]*wire.TaskStatus
	lastAnswer int  // index of the controller that answered the last heartbeat, or noController
	joined     bool // any heartbeat was answered
}

func (w *loopbackWorker) answeredBy() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastAnswer
}

func (w *loopbackWorker) currentFault() WorkerFault {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault
}

func (w *loopbackWorker) setFault(fault WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = fault
}

// isTerminated reports whether the worker's machine was terminated.
func (w *loopbackWorker) isTerminated() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.terminated
}

// terminate permanently ends the worker and its tasks.
func (w *loopbackWorker) terminate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.terminated {
		return
	}
	w.terminated = true
	if h := w.fleet.settings.History; h != nil {
		h.Record(HistoryEvent{Kind: MachineTerminated, Machine: w.id})
	}
	w.killTasks()
}

// killTasks ends and forgets all tasks. The lock must be held.
func (w *loopbackWorker) killTasks() {
	for key, status := range w.tasks {
		if status.State == wire.TaskRunning {
			w.record(TaskStopped, key)
		}
	}
	clear(w.tasks)
}

// expireLease begins the next agent epoch if the lease has ended.
func (w *loopbackWorker) expireLease(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.terminated || now.Sub(w.leaseFrom) <= w.fleet.settings.Lease {
		return
	}
	w.killTasks()
	w.agentEpoch++
	w.sequence, w.leaseFrom = 0, now
}

// heartbeat returns a heartbeat that describes the worker now.
func (w *loopbackWorker) heartbeat() *wire.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	heartbeat := &wire.Heartbeat{Machine: w.id, Addr: w.addr, Type: w.machineType, Zone: w.zone, AgentEpoch: w.agentEpoch, Sequence: w.sequence, Token: w.token}
	for _, status := range w.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, *status)
	}
	return heartbeat
}

// handleCommands executes the commands of a direct call and reports whether it did. It
// rejects the call if the worker is terminated, the fencing token is too low or the call is for
// another agent epoch.
func (w *loopbackWorker) handleCommands(body wire.CommandRequest) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.terminated || body.Token < w.token || body.AgentEpoch != w.agentEpoch {
		return false
	}
	w.token = body.Token
	w.execute(body.Commands)
	return true
}

// heartbeatLoop sends heartbeats until ctx ends, and keeps the lease.
func (w *loopbackWorker) heartbeatLoop(ctx context.Context) {
	interval := float64(w.fleet.settings.HeartbeatInterval)
	timer := time.NewTimer(time.Duration(rand.Float64() * interval))
	defer timer.Stop()
	client := w.newClient()
	for {
		select {
		case <-ctx.Done():
			client.Close()
			return
		case <-timer.C:
		case <-w.heartbeatDue:
		}
		w.expireLease(time.Now())
		if w.isTerminated() {
			client.Close()
			return
		}
		pause := time.Duration(interval * (0.75 + rand.Float64()/2))
		if next := w.sendHeartbeat(client); next.controller != w.controller {
			client.Close()
			w.controller = next.controller
			client = w.newClient()
			pause = next.pause
		}
		timer.Reset(min(pause, w.leaseLeft()))
		time.Sleep(minHeartbeatPause)
	}
}

// leaseLeft returns the time until the lease ends, or a moment if it has ended.
func (w *loopbackWorker) leaseLeft() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(time.Millisecond, time.Until(w.leaseFrom.Add(w.fleet.settings.Lease)))
}

func (w *loopbackWorker) newClient() *httpcall.Client {
	return httpcall.New(w.fleet.settings.Controllers[w.controller], 1, time.Minute)
}

// heartbeatTarget is the controller that gets the next heartbeat. The pause applies if it is not the
// one that got the last heartbeat.
type heartbeatTarget struct {
	controller int
	pause      time.Duration
}

// sendHeartbeat sends a heartbeat, executes the commands of the response and returns the target of
// the next heartbeat.
func (w *loopbackWorker) sendHeartbeat(client *httpcall.Client) heartbeatTarget {
	heartbeat, sentAt, fault := w.heartbeat(), time.Now(), w.currentFault()
	if fault.HeartbeatsLost {
		time.Sleep(failoverPause)
		return w.nextController()
	}
	var response wire.HeartbeatResponse
	var redirect wire.Redirect
	status, err := client.Call(http.MethodPost, "/hello", heartbeat, heartbeatTimeout,
		map[int]any{http.StatusOK: &response, http.StatusMisdirectedRequest: &redirect})
	switch {
	case err != nil || fault.AnswersLost:
		return w.nextController()
	case status == http.StatusOK:
		w.handleResponse(heartbeat, sentAt, response)
		return heartbeatTarget{controller: w.controller}
	case status == http.StatusMisdirectedRequest:
		return w.redirectTarget(redirect)
	}
	return w.nextController()
}

// handleResponse renews the lease and executes the commands, unless the response belongs to an
// earlier agent epoch or has too low a token.
func (w *loopbackWorker) handleResponse(heartbeat *wire.Heartbeat, sentAt time.Time, response wire.HeartbeatResponse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastAnswer = w.controller
	if h := w.fleet.settings.History; h != nil && !w.joined {
		w.joined = true
		h.Record(HistoryEvent{Kind: MachineJoined, Machine: w.id, Type: w.machineType, Zone: w.zone})
	}
	if w.terminated || response.Token < w.token || heartbeat.AgentEpoch != w.agentEpoch {
		return
	}
	w.token, w.leaseFrom = response.Token, sentAt
	w.execute(response.Commands)
}

// nextController returns the next controller as the target.
func (w *loopbackWorker) nextController() heartbeatTarget {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastAnswer = noController
	return heartbeatTarget{controller: (w.controller + 1) % len(w.fleet.settings.Controllers), pause: failoverPause}
}

// redirectTarget returns the controller that a redirect names as the target, or the next controller
// if it names none, an unknown one or the one that sent it.
func (w *loopbackWorker) redirectTarget(redirect wire.Redirect) heartbeatTarget {
	named := slices.Index(w.fleet.settings.Labels, redirect.Controller)
	if named < 0 || named == w.controller {
		return w.nextController()
	}
	return heartbeatTarget{controller: named, pause: rand.N(maxRedirectPause)}
}

// execute executes commands. The lock must be held.
func (w *loopbackWorker) execute(commands []wire.Command) {
	for _, command := range commands {
		key := taskKey{command.Task, command.Attempt}
		status := w.tasks[key]
		switch {
		case command.Verb == wire.VerbLaunch && status == nil:
			w.tasks[key] = &wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskPulling}
			time.AfterFunc(loopbackPullTime, func() { w.start(key) })
		case command.Verb == wire.VerbStop && status != nil && status.State != wire.TaskExited:
			if status.State == wire.TaskRunning {
				w.record(TaskStopped, key)
			}
			status.State, status.Cause = wire.TaskExited, wire.CauseStopped
		case command.Verb == wire.VerbClear && status != nil && status.State == wire.TaskExited:
			delete(w.tasks, key)
		}
	}
}

func (w *loopbackWorker) start(key taskKey) {
	w.transition(key, wire.TaskPulling, wire.TaskRunning, "")
	if runtime, known := w.fleet.runtimes.Load(key.id.Job); known && runtime.(time.Duration) > 0 {
		time.AfterFunc(runtime.(time.Duration), func() { w.transition(key, wire.TaskRunning, wire.TaskExited, wire.CauseDone) })
	}
}

// record records an event of a task in the history. The lock must be held, so that the
// events of a machine are recorded in their order.
func (w *loopbackWorker) record(kind HistoryKind, key taskKey) {
	if h := w.fleet.settings.History; h != nil {
		h.Record(HistoryEvent{Kind: kind, Job: key.id.Job, Machine: w.id, Type: w.machineType, Zone: w.zone, Task: key.id, Attempt: key.attempt})
	}
}

// transition moves a task from one state to another and makes a heartbeat due at once. It
// does nothing if the task is not in the first state.
func (w *loopbackWorker) transition(key taskKey, from, to wire.TaskState, cause wire.Cause) {
	w.mu.Lock()
	status := w.tasks[key]
	moved := status != nil && status.State == from
	if moved {
		status.State, status.Cause = to, cause
		if to == wire.TaskRunning {
			w.record(TaskStarted, key)
		} else {
			w.record(TaskCompleted, key)
		}
	}
	w.mu.Unlock()
	if !moved {
		return
	}
	select {
	case w.heartbeatDue <- struct{}{}:
	default:
	}
}
