package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"lilacrill/wire"
)

// LoopbackWorkers are fakes of workers on the real clock. Each has a loopback address of its
// own, sends heartbeats to one controller over one connection, and executes commands. All
// share one listener, which distinguishes them by the address that was called.
type LoopbackWorkers struct {
	ctx      context.Context // ends all workers
	settings LoopbackSettings
	capacity int // machines that the cloud has
	port     int
	runtimes sync.Map // wire.JobID to time.Duration; 0 for a service

	mu          sync.Mutex
	workers     []*loopbackWorker
	byAddr      map[string]*loopbackWorker
	provisioned map[string][]wire.MachineID // by the name of the request
}

// LoopbackSettings are the settings of all workers.
type LoopbackSettings struct {
	Controllers       []string // public addresses
	Labels            []string // of the controllers, in the same order
	HeartbeatInterval time.Duration
	Lease             time.Duration
	Zones             []string
	Types             []wire.MachineType
	// History, if set, records the events of the workers' tasks.
	History *History
}

// StartLoopbackWorkers starts count workers that run until ctx ends.
func StartLoopbackWorkers(ctx context.Context, settings LoopbackSettings, count int) (*LoopbackWorkers, error) {
	listener, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, fmt.Errorf("listen for calls to %d workers: %w", count, err)
	}
	w := &LoopbackWorkers{ctx: ctx, settings: settings, capacity: count, port: listener.Addr().(*net.TCPAddr).Port,
		byAddr: map[string]*loopbackWorker{}, provisioned: map[string][]wire.MachineID{}}
	for i := range count {
		types, zones := settings.Types, settings.Zones
		w.add(types[i%len(types)].Name, zones[i/len(types)%len(zones)])
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

// add adds a worker. Controllers are assigned in turn.
func (w *LoopbackWorkers) add(machineType, zone string) *loopbackWorker {
	i := len(w.workers)
	worker := &loopbackWorker{
		fleet:        w,
		number:       i,
		id:           wire.MachineID(fmt.Sprintf("m-%06d", i+1)),
		addr:         fmt.Sprintf("127.1.%d.%d:%d", i/200, i%200+1, w.port),
		machineType:  machineType,
		zone:         zone,
		controller:   i % len(w.settings.Controllers),
		heartbeatDue: make(chan struct{}, 1),
		agentEpoch:   1,
		leaseFrom:    time.Now(),
		tasks:        map[taskKey]*wire.TaskStatus{},
		lastAnswer:   noController,
	}
	w.workers = append(w.workers, worker)
	w.byAddr[worker.addr] = worker
	return worker
}

// all returns all workers, with those that were terminated.
func (w *LoopbackWorkers) all() []*loopbackWorker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.workers)
}

// Provision adds machines that replace terminated ones, and returns their names. A repeated request
// returns the same names.
func (w *LoopbackWorkers) Provision(request wire.ProvisionRequest) []wire.MachineID {
	w.mu.Lock()
	defer w.mu.Unlock()
	if names, repeated := w.provisioned[request.Name]; repeated {
		return names
	}
	live := 0
	for _, worker := range w.workers {
		if !worker.isTerminated() {
			live++
		}
	}
	var names []wire.MachineID
	for range min(request.Count, w.capacity-live) {
		worker := w.add(request.Type, request.Zone)
		names = append(names, worker.id)
		time.AfterFunc(loopbackBootTime, func() { worker.heartbeatLoop(w.ctx) })
	}
	if len(names) > 0 {
		w.provisioned[request.Name] = names
	}
	return names
}

// SetRuntime sets the time for which the tasks of a job run. With 0 they run until they are
// stopped.
func (w *LoopbackWorkers) SetRuntime(id wire.JobID, runtime time.Duration) {
	w.runtimes.Store(id, runtime)
}

// CloudMachines returns the machines of the workers as a cloud lists them.
func (w *LoopbackWorkers) CloudMachines() []wire.CloudMachine {
	var list []wire.CloudMachine
	for _, worker := range w.all() {
		if worker.isTerminated() {
			continue
		}
		list = append(list, wire.CloudMachine{ID: worker.id, Addr: worker.addr, Type: worker.machineType, Zone: worker.zone, Status: wire.MachineRunning})
	}
	return list
}

// Terminate ends workers and all their tasks, as a cloud does when it terminates machines.
func (w *LoopbackWorkers) Terminate(names []wire.MachineID) {
	for _, worker := range w.all() {
		if slices.Contains(names, worker.id) {
			worker.terminate()
		}
	}
}

// CountAt returns the number of workers whose last heartbeat the controller with the given index has
// answered.
func (w *LoopbackWorkers) CountAt(controller int) int {
	count := 0
	for _, worker := range w.all() {
		if worker.answeredBy() == controller {
			count++
		}
	}
	return count
}

// PartitionZone partitions the workers of a zone from all controllers, or ends the
// partition.
func (w *LoopbackWorkers) PartitionZone(zone string, partitioned bool) {
	fault := WorkerFault{}
	if partitioned {
		fault = WorkerFault{HeartbeatsLost: true, CallsLost: true}
	}
	for _, worker := range w.all() {
		if worker.zone == zone {
			worker.setFault(fault)
		}
	}
}

// WorkerFault says which messages of a worker are lost.
type WorkerFault struct {
	HeartbeatsLost bool // on their way to any controller
	AnswersLost    bool // the responses to heartbeats
	CallsLost      bool // direct calls
}

// SetFaults sets the fault of every worker. The workers are numbered from 0.
func (w *LoopbackWorkers) SetFaults(faultOf func(number int) WorkerFault) {
	for _, worker := range w.all() {
		worker.setFault(faultOf(worker.number))
	}
}

// InZone returns a function that reports whether the worker with a number is in a zone.
func (w *LoopbackWorkers) InZone(zone string) func(number int) bool {
	workers := w.all()
	return func(number int) bool { return number < len(workers) && workers[number].zone == zone }
}

// Count returns the number of workers that there have been.
func (w *LoopbackWorkers) Count() int { return len(w.all()) }

// ServeHTTP answers direct calls to the workers.
func (w *LoopbackWorkers) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	w.mu.Lock()
	worker := w.byAddr[in.Host]
	w.mu.Unlock()
	if worker == nil || worker.currentFault().CallsLost || worker.isTerminated() {
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
