package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"lilacrill/internal/httpcall"
	"lilacrill/wire"
)

// LoopbackWorkers are fakes of workers on the real clock. Each has a loopback address of its
// own, sends heartbeats to one controller over one connection, and executes commands. All
// share one listener, which distinguishes them by the address that was called.
type LoopbackWorkers struct {
	settings LoopbackSettings
	port     int
	runtimes sync.Map                   // wire.JobID to time.Duration; 0 for a service
	workers  map[string]*loopbackWorker // by address; read-only once they run
}

// LoopbackSettings are the settings of all workers.
type LoopbackSettings struct {
	Controllers       []string // public addresses
	HeartbeatInterval time.Duration
	Zones             []string
	Types             []wire.MachineType
	// History, if set, records the events of the workers' tasks.
	History *History
}

const (
	// loopbackPullTime is the time that a worker takes to pull an image.
	loopbackPullTime = 200 * time.Millisecond
	// minHeartbeatPause is the shortest time between two heartbeats of a worker.
	minHeartbeatPause = 500 * time.Millisecond
	// failoverPause is the time from a failed heartbeat to the next one, which goes to
	// another controller.
	failoverPause = time.Second
)

// StartLoopbackWorkers starts count workers that run until ctx ends.
func StartLoopbackWorkers(ctx context.Context, settings LoopbackSettings, count int) (*LoopbackWorkers, error) {
	listener, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, fmt.Errorf("listen for calls to %d workers: %w", count, err)
	}
	w := &LoopbackWorkers{settings: settings, port: listener.Addr().(*net.TCPAddr).Port, workers: map[string]*loopbackWorker{}}
	for i := range count {
		worker := w.newWorker(i)
		w.workers[worker.addr] = worker
	}
	server := &http.Server{Handler: w}
	go func() { _ = server.Serve(listener) }()
	go func() {
		<-ctx.Done()
		_ = server.Close() // calls in progress are dropped
	}()
	for _, worker := range w.workers {
		go worker.heartbeatLoop(ctx)
	}
	return w, nil
}

// newWorker returns the worker with number i. Types, zones and controllers are assigned in
// turn.
func (w *LoopbackWorkers) newWorker(i int) *loopbackWorker {
	types, zones := w.settings.Types, w.settings.Zones
	return &loopbackWorker{
		fleet:        w,
		id:           wire.MachineID(fmt.Sprintf("m-%06d", i+1)),
		addr:         fmt.Sprintf("127.1.%d.%d:%d", i/200, i%200+1, w.port),
		machineType:  types[i%len(types)].Name,
		zone:         zones[i/len(types)%len(zones)],
		controller:   i % len(w.settings.Controllers),
		heartbeatDue: make(chan struct{}, 1),
		tasks:        map[taskKey]*wire.TaskStatus{},
	}
}

// SetRuntime sets the time for which the tasks of a job run. With 0 they run until they are
// stopped.
func (w *LoopbackWorkers) SetRuntime(id wire.JobID, runtime time.Duration) {
	w.runtimes.Store(id, runtime)
}

// CloudMachines returns the machines of the workers as a cloud lists them.
func (w *LoopbackWorkers) CloudMachines() []wire.CloudMachine {
	var list []wire.CloudMachine
	for _, worker := range w.workers {
		if worker.isTerminated() {
			continue
		}
		list = append(list, wire.CloudMachine{ID: worker.id, Addr: worker.addr, Type: worker.machineType, Zone: worker.zone, Status: wire.MachineRunning})
	}
	return list
}

// Terminate ends workers and all their tasks, as a cloud does when it terminates machines.
func (w *LoopbackWorkers) Terminate(names []wire.MachineID) {
	for _, worker := range w.workers {
		if slices.Contains(names, worker.id) {
			worker.terminate()
		}
	}
}

// PartitionZone partitions the workers of a zone from all controllers, or ends the
// partition.
func (w *LoopbackWorkers) PartitionZone(zone string, partitioned bool) {
	for _, worker := range w.workers {
		if worker.zone == zone {
			worker.mu.Lock()
			worker.partitioned = partitioned || worker.terminated
			worker.mu.Unlock()
		}
	}
}

// ServeHTTP answers direct calls to the workers.
func (w *LoopbackWorkers) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	worker := w.workers[in.Host]
	if worker == nil || worker.isPartitioned() {
		panic(http.ErrAbortHandler)
	}
	if in.URL.Path == "/show" {
		writeJSON(out, http.StatusOK, worker.heartbeat())
		return
	}
	var body wire.CommandRequest
	if json.NewDecoder(in.Body).Decode(&body) != nil {
		writeJSON(out, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	status := http.StatusOK
	if !worker.handleCommands(body) {
		status = http.StatusConflict
	}
	writeJSON(out, status, worker.heartbeat())
}

// loopbackWorker is one of the LoopbackWorkers.
type loopbackWorker struct {
	fleet             *LoopbackWorkers
	id                wire.MachineID
	addr              string
	machineType, zone string
	controller        int
	heartbeatDue      chan struct{} // holds an element if a heartbeat is due at once

	mu          sync.Mutex
	partitioned bool // permanently if terminated
	terminated  bool
	sequence    wire.Sequence
	token       wire.FencingToken
	tasks       map[taskKey]*wire.TaskStatus
}

func (w *loopbackWorker) isPartitioned() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.partitioned
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
	w.partitioned, w.terminated = true, true
	if h := w.fleet.settings.History; h != nil {
		h.Record(HistoryEvent{Kind: MachineTerminated, Machine: w.id})
	}
	for key, status := range w.tasks {
		if status.State == wire.TaskRunning {
			w.record(TaskStopped, key)
		}
	}
	clear(w.tasks)
}

func (w *loopbackWorker) heartbeat() *wire.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	heartbeat := &wire.Heartbeat{Machine: w.id, Addr: w.addr, Type: w.machineType, Zone: w.zone, AgentEpoch: 1, Sequence: w.sequence, Token: w.token}
	for _, status := range w.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, *status)
	}
	return heartbeat
}

// handleCommands executes the commands of a direct call and reports whether it did. It
// rejects the call if the worker is terminated or the fencing token is too low.
func (w *loopbackWorker) handleCommands(body wire.CommandRequest) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.terminated || body.Token < w.token {
		return false
	}
	w.token = body.Token
	w.execute(body.Commands)
	return true
}

// heartbeatLoop sends heartbeats until ctx ends. After a failed heartbeat it switches to the
// next controller.
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
		pause := time.Duration(interval * (0.75 + rand.Float64()/2))
		if !w.isPartitioned() && !w.sendHeartbeat(client) {
			client.Close()
			w.controller = (w.controller + 1) % len(w.fleet.settings.Controllers)
			client = w.newClient()
			pause = failoverPause
		}
		timer.Reset(pause)
		time.Sleep(minHeartbeatPause)
	}
}

func (w *loopbackWorker) newClient() *httpcall.Client {
	return httpcall.New(w.fleet.settings.Controllers[w.controller], 1, time.Minute)
}

func (w *loopbackWorker) sendHeartbeat(client *httpcall.Client) bool {
	var response wire.HeartbeatResponse
	status, err := client.Call(http.MethodPost, "/hello", w.heartbeat(), heartbeatTimeout, map[int]any{http.StatusOK: &response})
	if err != nil || status != http.StatusOK {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.terminated && response.Token >= w.token {
		w.token = response.Token
		w.execute(response.Commands)
	}
	return true
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
