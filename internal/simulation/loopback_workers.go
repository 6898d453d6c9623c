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
	settings LoopbackSettings
	port     int
	runtimes sync.Map                   // wire.JobID to time.Duration; 0 for a service
	workers  map[string]*loopbackWorker // by address; read-only once they run
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
		number:       i,
		id:           wire.MachineID(fmt.Sprintf("m-%06d", i+1)),
		addr:         fmt.Sprintf("127.1.%d.%d:%d", i/200, i%200+1, w.port),
		machineType:  types[i%len(types)].Name,
		zone:         zones[i/len(types)%len(zones)],
		controller:   i % len(w.settings.Controllers),
		heartbeatDue: make(chan struct{}, 1),
		agentEpoch:   1,
		leaseFrom:    time.Now(),
		tasks:        map[taskKey]*wire.TaskStatus{},
		lastAnswer:   noController,
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

// CountAt returns the number of workers whose last heartbeat the controller with the given index has
// answered.
func (w *LoopbackWorkers) CountAt(controller int) int {
	count := 0
	for _, worker := range w.workers {
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
	for _, worker := range w.workers {
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

// SetFault sets the fault of every worker for which selected returns true. The workers are numbered
// from 0.
func (w *LoopbackWorkers) SetFault(fault WorkerFault, selected func(number int) bool) {
	for _, worker := range w.workers {
		if selected(worker.number) {
			worker.setFault(fault)
		}
	}
}

// ServeHTTP answers direct calls to the workers.
func (w *LoopbackWorkers) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	worker := w.workers[in.Host]
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
