package simulation

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// History is what happened on the workers and what users were told, in order. It checks
// what must hold of it whatever the controllers went through.
type History struct {
	mu     sync.Mutex
	events []HistoryEvent
	specs  map[wire.JobID]wire.JobSpec
}

// HistoryEvent is one entry of a History.
type HistoryEvent struct {
	At   time.Time
	Kind HistoryKind
	Job  wire.JobID

	// Of tasks:
	Machine    wire.MachineID
	Type, Zone string
	Task       wire.TaskID
	Attempt    wire.Attempt

	// Of placements: the process that placed, and the epoch of the machine's share that
	// it placed under; 0 while shares are not in use.
	Launcher wire.FencingToken
	Epoch    wire.ShardEpoch

	// Of answers to users; Asked is when the question was sent, if it is known. An answer to
	// one that was sent before a final state was told may be older than that.
	Status      wire.Status
	RequestedAt time.Time
}

// HistoryKind says what an event is.
type HistoryKind int

// The kinds of events.
const (
	// TaskStarted: a task runs on a machine from now on.
	TaskStarted HistoryKind = iota
	// TaskCompleted: it is done.
	TaskCompleted
	// TaskStopped: it is gone without being done.
	TaskStopped
	// StatusReported: a user got an answer about a job; the first says that it is accepted.
	StatusReported
	// CancelRequested: a user asked for a cancellation.
	CancelRequested
	// TaskPlaced: a controller has written that a task is to run on a machine.
	TaskPlaced
	// MachineTerminated: a machine was given back to the cloud, and is gone with its tasks.
	MachineTerminated
)

// NewHistory makes an empty history.
func NewHistory() *History { return &History{specs: map[wire.JobID]wire.JobSpec{}} }

// RecordSubmission notes a job that a user is about to submit.
func (h *History) RecordSubmission(spec wire.JobSpec) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.specs[spec.ID] = spec
}

// Record notes an event that takes place now.
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

// Check lists what broke a rule: a task on two machines, a task where its job does not
// allow it, a team above its limit, a task of a job for longer than cancel after its
// user was told that it is withdrawn, an answer that takes back a final one, a job called
// done before its tasks were, a withdrawal that nobody asked for, and an accepted job
// that was never over; and a machine that two controllers placed on under one epoch of its
// share, or one under an older epoch after a newer.
func (h *History) Check(teams []config.Team, cancel time.Duration) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := historyCheck{specs: h.specs, teams: teams, cancelTimeout: cancel, running: map[wire.TaskID]HistoryEvent{}, completed: map[wire.JobID]map[int]bool{},
		reported: map[wire.JobID]HistoryEvent{}, cancelled: map[wire.JobID]bool{}, cores: map[string]float64{},
		placements: map[wire.MachineID]HistoryEvent{}}
	for _, event := range h.events {
		c.check(event)
	}
	for id, last := range c.reported {
		if !last.Status.IsTerminal() {
			c.violation("%s was accepted and is %s in the end", id, last.Status)
		}
	}
	for task, start := range c.running {
		c.checkCancelled(task, start.Machine, c.reported[task.Job], h.events[len(h.events)-1].At)
	}
	slices.Sort(c.violations)
	return c.violations
}

// historyCheck goes through a history.
type historyCheck struct {
	specs         map[wire.JobID]wire.JobSpec
	teams         []config.Team
	cancelTimeout time.Duration
	running       map[wire.TaskID]HistoryEvent // the tasks on machines, with their starts
	completed     map[wire.JobID]map[int]bool
	reported      map[wire.JobID]HistoryEvent // the last answer
	cancelled     map[wire.JobID]bool
	cores         map[string]float64              // used by team
	placements    map[wire.MachineID]HistoryEvent // the last placement
	violations    []string
}

func (c *historyCheck) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *historyCheck) check(event HistoryEvent) {
	switch event.Kind {
	case TaskStarted:
		c.checkStart(event)
	case TaskCompleted, TaskStopped:
		c.checkEnd(event)
	case CancelRequested:
		c.cancelled[event.Job] = true
	case StatusReported:
		c.checkStatus(event)
	case TaskPlaced:
		c.checkPlacement(event)
	}
}

// checkPlacement holds a placement under an epoch against the one before on its machine.
func (c *historyCheck) checkPlacement(event HistoryEvent) {
	before := c.placements[event.Machine]
	switch {
	case event.Epoch == 0:
		return
	case event.Epoch < before.Epoch:
		c.violation("%v placed on %s under epoch %d, after one under epoch %d", event.Task, event.Machine, event.Epoch, before.Epoch)
	case event.Epoch == before.Epoch && event.Launcher != before.Launcher:
		c.violation("%v placed on %s by two processes, %d and %d, under epoch %d", event.Task, event.Machine, before.Launcher, event.Launcher, event.Epoch)
	}
	c.placements[event.Machine] = event
}

func (c *historyCheck) checkStart(event HistoryEvent) {
	spec, known := c.specs[event.Task.Job]
	if !known {
		c.violation("%v started on %s, and nobody submitted it", event.Task, event.Machine)
		return
	}
	if other, twice := c.running[event.Task]; twice {
		c.violation("%v started on %s while on %s", event.Task, event.Machine, other.Machine)
	}
	if spec.Zone != "" && spec.Zone != event.Zone || len(spec.Types) > 0 && !slices.Contains(spec.Types, event.Type) {
		c.violation("%v started on %s, a %s in %s", event.Task, event.Machine, event.Type, event.Zone)
	}
	c.checkCancelled(event.Task, event.Machine, c.reported[event.Task.Job], event.At)
	c.running[event.Task] = event
	c.cores[spec.Team] += spec.Cores
	for i := range c.teams {
		if limit, _ := c.teams[i].Limits(); c.teams[i].Name == spec.Team && c.cores[spec.Team] > limit+1e-6 {
			c.violation("%s uses %v cores of %v as %v starts", spec.Team, c.cores[spec.Team], limit, event.Task)
		}
	}
}

func (c *historyCheck) checkEnd(event HistoryEvent) {
	start, on := c.running[event.Task]
	if !on || start.Machine != event.Machine {
		return
	}
	delete(c.running, event.Task)
	c.cores[c.specs[event.Task.Job].Team] -= c.specs[event.Task.Job].Cores
	c.checkCancelled(event.Task, event.Machine, c.reported[event.Task.Job], event.At)
	if event.Kind == TaskCompleted {
		if c.completed[event.Task.Job] == nil {
			c.completed[event.Task.Job] = map[int]bool{}
		}
		c.completed[event.Task.Job][event.Task.Index] = true
	}
}

// checkCancelled holds a task that is on a machine at some moment against what its user
// was told last.
func (c *historyCheck) checkCancelled(task wire.TaskID, machine wire.MachineID, told HistoryEvent, at time.Time) {
	if told.Status == wire.StatusCancelled && at.Sub(told.At) > c.cancelTimeout {
		c.violation("%v is on %s %v after its user was told that it is withdrawn", task, machine, at.Sub(told.At))
	}
}

func (c *historyCheck) checkStatus(event HistoryEvent) {
	before := c.reported[event.Job]
	switch {
	case before.Status.IsTerminal():
		if event.Status != before.Status && (event.RequestedAt.IsZero() || event.RequestedAt.After(before.At)) {
			c.violation("%s was called %s, and then %s", event.Job, before.Status, event.Status)
		}
		return
	case event.Status == wire.StatusCancelled && !c.cancelled[event.Job]:
		c.violation("%s was called withdrawn, and nobody asked for that", event.Job)
	case event.Status == wire.StatusDone && !c.isComplete(event.Job):
		c.violation("%s was called done with %d tasks of %d done", event.Job, len(c.completed[event.Job]), c.specs[event.Job].Tasks)
	}
	c.reported[event.Job] = event
}

// isComplete reports whether all tasks of a job are done; those of a gang are together.
func (c *historyCheck) isComplete(id wire.JobID) bool {
	spec, done := c.specs[id], len(c.completed[id])
	return done == spec.Tasks || spec.Shape == wire.ShapeGang && done > 0
}

// StartTimes is how long the jobs that were accepted from a moment on, and before
// another, waited from then until their first task ran.
func (h *History) StartTimes(from, to time.Time) []time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	accepted, started := map[wire.JobID]time.Time{}, map[wire.JobID]bool{}
	var out []time.Duration
	for _, event := range h.events {
		_, known := accepted[event.Job]
		switch {
		case event.Kind == StatusReported && !known && !started[event.Job] && !event.At.Before(from) && event.At.Before(to):
			accepted[event.Job] = event.At
		case event.Kind == TaskStarted && known && !started[event.Job]:
			out = append(out, event.At.Sub(accepted[event.Job]))
		}
		if event.Kind == TaskStarted {
			started[event.Job] = true
		}
	}
	return out
}
