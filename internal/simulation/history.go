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
func (h *History) Record(e HistoryEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.At = time.Now()
	h.events = append(h.events, e)
}

// Count is how many events of a kind there are.
func (h *History) Count(kind HistoryKind) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, e := range h.events {
		if e.Kind == kind {
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
	for _, e := range h.events {
		c.check(e)
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

func (c *historyCheck) check(e HistoryEvent) {
	switch e.Kind {
	case TaskStarted:
		c.checkStart(e)
	case TaskCompleted, TaskStopped:
		c.checkEnd(e)
	case CancelRequested:
		c.cancelled[e.Job] = true
	case StatusReported:
		c.checkStatus(e)
	case TaskPlaced:
		c.checkPlacement(e)
	}
}

// checkPlacement holds a placement under an epoch against the one before on its machine.
func (c *historyCheck) checkPlacement(e HistoryEvent) {
	before := c.placements[e.Machine]
	switch {
	case e.Epoch == 0:
		return
	case e.Epoch < before.Epoch:
		c.violation("%v placed on %s under epoch %d, after one under epoch %d", e.Task, e.Machine, e.Epoch, before.Epoch)
	case e.Epoch == before.Epoch && e.Launcher != before.Launcher:
		c.violation("%v placed on %s by two processes, %d and %d, under epoch %d", e.Task, e.Machine, before.Launcher, e.Launcher, e.Epoch)
	}
	c.placements[e.Machine] = e
}

func (c *historyCheck) checkStart(e HistoryEvent) {
	spec, known := c.specs[e.Task.Job]
	if !known {
		c.violation("%v started on %s, and nobody submitted it", e.Task, e.Machine)
		return
	}
	if other, twice := c.running[e.Task]; twice {
		c.violation("%v started on %s while on %s", e.Task, e.Machine, other.Machine)
	}
	if spec.Zone != "" && spec.Zone != e.Zone || len(spec.Types) > 0 && !slices.Contains(spec.Types, e.Type) {
		c.violation("%v started on %s, a %s in %s", e.Task, e.Machine, e.Type, e.Zone)
	}
	c.checkCancelled(e.Task, e.Machine, c.reported[e.Task.Job], e.At)
	c.running[e.Task] = e
	c.cores[spec.Team] += spec.Cores
	for i := range c.teams {
		if limit, _ := c.teams[i].Limits(); c.teams[i].Name == spec.Team && c.cores[spec.Team] > limit+1e-6 {
			c.violation("%s uses %v cores of %v as %v starts", spec.Team, c.cores[spec.Team], limit, e.Task)
		}
	}
}

func (c *historyCheck) checkEnd(e HistoryEvent) {
	start, on := c.running[e.Task]
	if !on || start.Machine != e.Machine {
		return
	}
	delete(c.running, e.Task)
	c.cores[c.specs[e.Task.Job].Team] -= c.specs[e.Task.Job].Cores
	c.checkCancelled(e.Task, e.Machine, c.reported[e.Task.Job], e.At)
	if e.Kind == TaskCompleted {
		if c.completed[e.Task.Job] == nil {
			c.completed[e.Task.Job] = map[int]bool{}
		}
		c.completed[e.Task.Job][e.Task.Index] = true
	}
}

// checkCancelled holds a task that is on a machine at some moment against what its user
// was told last.
func (c *historyCheck) checkCancelled(task wire.TaskID, machine wire.MachineID, told HistoryEvent, at time.Time) {
	if told.Status == wire.StatusCancelled && at.Sub(told.At) > c.cancelTimeout {
		c.violation("%v is on %s %v after its user was told that it is withdrawn", task, machine, at.Sub(told.At))
	}
}

func (c *historyCheck) checkStatus(e HistoryEvent) {
	before := c.reported[e.Job]
	switch {
	case before.Status.IsTerminal():
		if e.Status != before.Status && (e.RequestedAt.IsZero() || e.RequestedAt.After(before.At)) {
			c.violation("%s was called %s, and then %s", e.Job, before.Status, e.Status)
		}
		return
	case e.Status == wire.StatusCancelled && !c.cancelled[e.Job]:
		c.violation("%s was called withdrawn, and nobody asked for that", e.Job)
	case e.Status == wire.StatusDone && !c.isComplete(e.Job):
		c.violation("%s was called done with %d tasks of %d done", e.Job, len(c.completed[e.Job]), c.specs[e.Job].Tasks)
	}
	c.reported[e.Job] = e
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
	for _, e := range h.events {
		_, known := accepted[e.Job]
		switch {
		case e.Kind == StatusReported && !known && !started[e.Job] && !e.At.Before(from) && e.At.Before(to):
			accepted[e.Job] = e.At
		case e.Kind == TaskStarted && known && !started[e.Job]:
			out = append(out, e.At.Sub(accepted[e.Job]))
		}
		if e.Kind == TaskStarted {
			started[e.Job] = true
		}
	}
	return out
}
