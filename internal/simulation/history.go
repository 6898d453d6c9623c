package simulation

import (
	"sync"
	"time"

	"lilacrill/wire"
)

// History records, in order, the events on workers on the real clock and the statuses that
// were reported to users. It checks rules that must hold whatever faults the controllers
// have been exposed to.
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

	// Fields of task events.
	Machine    wire.MachineID
	Type, Zone string
	Task       wire.TaskID
	Attempt    wire.Attempt

	// Fields of placements: the incarnation of the process that placed the task, and the
	// epoch of the machine's shard under which it did; 0 while sharding is not enabled.
	Launcher wire.FencingToken
	Epoch    wire.ShardEpoch

	// Fields of reported statuses. RequestedAt is the time at which the user's request was
	// sent, if it is known. The answer to a request that was sent before a terminal status
	// was reported may carry an older status.
	Status      wire.Status
	RequestedAt time.Time
}

// HistoryKind is the kind of a HistoryEvent.
type HistoryKind int

// The kinds of events.
const (
	// TaskStarted is the start of a task on a machine.
	TaskStarted HistoryKind = iota
	// TaskCompleted is the completion of a task.
	TaskCompleted
	// TaskStopped is the end of a task that has not completed.
	TaskStopped
	// StatusReported is the report of a job's status to its user. The first report means
	// that the job is accepted.
	StatusReported
	// CancelRequested is a user's request to cancel a job.
	CancelRequested
	// TaskPlaced is the commit of a placement of a task on a machine by a controller.
	TaskPlaced
	// MachineTerminated is the termination of a machine together with its tasks.
	MachineTerminated
	// MachineJoined is the first answer to a heartbeat of a machine, from which on it may get
	// tasks. Machine, Type and Zone are set.
	MachineJoined
	// QuestionUnanswered is a request about an accepted job that got no status: no response in
	// time, or a response other than 200 and 404. Job and RequestedAt are set.
	QuestionUnanswered
	// JobNotFound is a response that an accepted job does not exist.
	JobNotFound
)

// NewHistory returns an empty history.
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

// Count returns the number of events of a kind.
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

// StartDelays returns, for the jobs of which a status was reported at or after from and
// before to while no task had started, the times from the first such report until the start
// of the first task. If a job was accepted in this period, that report is its acceptance.
// Jobs of which no task has started are left out.
func (h *History) StartDelays(from, to time.Time) []time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	accepted, started := map[wire.JobID]time.Time{}, map[wire.JobID]bool{}
	var delays []time.Duration
	for _, event := range h.events {
		_, known := accepted[event.Job]
		switch {
		case event.Kind == StatusReported && !known && !started[event.Job] && !event.At.Before(from) && event.At.Before(to):
			accepted[event.Job] = event.At
		case event.Kind == TaskStarted && known && !started[event.Job]:
			delays = append(delays, event.At.Sub(accepted[event.Job]))
		}
		if event.Kind == TaskStarted {
			started[event.Job] = true
		}
	}
	return delays
}
