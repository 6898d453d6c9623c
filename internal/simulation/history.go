package simulation

import (
	"sync"
	"time"

	"lilacrill/wire"
)

// History is what happened on workers of the real clock and what users were told, in
// order. It checks what must hold of it whatever the controllers went through.
type History struct {
	mu     sync.Mutex
	events []HistoryEvent
	specs  map[wire.JobID]wire.JobSpec
}

// HistoryEvent is one event of a History.
type HistoryEvent struct {
	At   time.Time
	Kind HistoryKind
	Job  wire.JobID

	// Of tasks:
	Machine    wire.MachineID
	Type, Zone string
	Task       wire.TaskID
	Attempt    wire.Attempt

	// Of placements: the incarnation of the process that placed, and the epoch of the
	// machine's shard that it placed under; 0 while shards are not in use.
	Launcher wire.FencingToken
	Epoch    wire.ShardEpoch

	// Of answers to users; RequestedAt is when the request was sent, if that is known. The
	// answer to one that was sent before a terminal status was reported may be older.
	Status      wire.Status
	RequestedAt time.Time
}

// HistoryKind is what an event is.
type HistoryKind int

// The kinds of events.
const (
	// TaskStarted: a task runs on a machine from now on.
	TaskStarted HistoryKind = iota
	// TaskCompleted: it has completed.
	TaskCompleted
	// TaskStopped: it has ended without completing.
	TaskStopped
	// StatusReported: a user was told a job's status; the first says that it is accepted.
	StatusReported
	// CancelRequested: a user asked for a cancellation.
	CancelRequested
	// TaskPlaced: a controller has committed that a task is to run on a machine.
	TaskPlaced
	// MachineTerminated: a machine was terminated, and its tasks with it.
	MachineTerminated
)

// NewHistory makes an empty history.
func NewHistory() *History { return &History{specs: map[wire.JobID]wire.JobSpec{}} }

// RecordSubmission records a job that a user is about to submit.
func (h *History) RecordSubmission(spec wire.JobSpec) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.specs[spec.ID] = spec
}

// Record records an event that takes place now.
func (h *History) Record(event HistoryEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	event.At = time.Now()
	h.events = append(h.events, event)
}

// Count is how many events of a kind there are.
func (h *History) Count(kind HistoryKind) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, event := range h.events {
		if event.Kind == kind {
			n++
		}
	}
	return n
}

// StartDelays are the times from the acceptance of jobs until their first task started, of
// the jobs that were accepted from a moment on and before another.
func (h *History) StartDelays(from, to time.Time) []time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	accepted, started := map[wire.JobID]time.Time{}, map[wire.JobID]bool{}
	var waits []time.Duration
	for _, event := range h.events {
		_, known := accepted[event.Job]
		switch {
		case event.Kind == StatusReported && !known && !started[event.Job] && !event.At.Before(from) && event.At.Before(to):
			accepted[event.Job] = event.At
		case event.Kind == TaskStarted && known && !started[event.Job]:
			waits = append(waits, event.At.Sub(accepted[event.Job]))
		}
		if event.Kind == TaskStarted {
			started[event.Job] = true
		}
	}
	return waits
}
