package simulation

import (
	"fmt"
	"slices"
	"time"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// Check returns the violations of these rules:
//   - A task runs on one machine at a time, and only where its job allows it.
//   - A team stays within its quota limit.
//   - No task runs for longer than cancelTimeout after its job was reported cancelled.
//   - A terminal status is final. A job is reported done only if all its tasks have
//     completed, and cancelled only if a user has requested it.
//   - Every accepted job ends, and is never unknown to a controller.
//   - No two processes place tasks on a machine under the same epoch of its shard, and none
//     does so under an earlier epoch after a later one.
func (h *History) Check(teams []config.Team, cancelTimeout time.Duration) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := newHistoryCheck(h.specs, teams, cancelTimeout)
	for _, event := range h.events {
		c.check(event)
	}
	for id, last := range c.reported {
		if !last.Status.IsTerminal() {
			c.reportViolation("%s was accepted and is %s in the end", id, last.Status)
		}
	}
	for task, start := range c.running {
		c.checkCancelled(task, start.Machine, c.reported[task.Job], h.events[len(h.events)-1].At)
	}
	return c.sortedViolations()
}

// historyCheck checks the events of a history one after another.
type historyCheck struct {
	specs         map[wire.JobID]wire.JobSpec
	teams         []config.Team
	cancelTimeout time.Duration

	running    map[wire.TaskID]HistoryEvent // running tasks with their starts
	completed  map[wire.JobID]map[int]bool
	reported   map[wire.JobID]HistoryEvent // latest reported statuses, or the first terminal ones
	cancelled  map[wire.JobID]bool
	usedCores  map[string]float64              // in use, by team
	placements map[wire.MachineID]HistoryEvent // latest placements
	violations []string
}

func newHistoryCheck(specs map[wire.JobID]wire.JobSpec, teams []config.Team, cancelTimeout time.Duration) *historyCheck {
	return &historyCheck{
		specs:         specs,
		teams:         teams,
		cancelTimeout: cancelTimeout,
		running:       map[wire.TaskID]HistoryEvent{},
		completed:     map[wire.JobID]map[int]bool{},
		reported:      map[wire.JobID]HistoryEvent{},
		cancelled:     map[wire.JobID]bool{},
		usedCores:     map[string]float64{},
		placements:    map[wire.MachineID]HistoryEvent{},
	}
}

func (c *historyCheck) reportViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *historyCheck) sortedViolations() []string {
	slices.Sort(c.violations)
	return c.violations
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
	case JobNotFound:
		c.reportViolation("%s was accepted and then not found", event.Job)
	case QuestionUnanswered: // see CheckAnswered
	case MachineJoined: // see CheckWaiting
	case MachineTerminated: // the ends of its tasks are separate events
	}
}

// checkPlacement checks a placement under a shard epoch against the previous placement on
// the same machine.
func (c *historyCheck) checkPlacement(event HistoryEvent) {
	if event.Epoch == 0 {
		return
	}
	before := c.placements[event.Machine]
	switch {
	case event.Epoch < before.Epoch:
		c.reportViolation("%v placed on %s under epoch %d, after one under epoch %d", event.Task, event.Machine, event.Epoch, before.Epoch)
	case event.Epoch == before.Epoch && event.Launcher != before.Launcher:
		c.reportViolation("%v placed on %s by two processes, %d and %d, under epoch %d", event.Task, event.Machine, before.Launcher, event.Launcher, event.Epoch)
	}
	c.placements[event.Machine] = event
}

func (c *historyCheck) checkStart(event HistoryEvent) {
	spec, known := c.specs[event.Task.Job]
	if !known {
		c.reportViolation("%v started on %s, but nobody submitted its job", event.Task, event.Machine)
		return
	}
	if other, twice := c.running[event.Task]; twice {
		c.reportViolation("%v started on %s while on %s", event.Task, event.Machine, other.Machine)
	}
	if spec.Zone != "" && spec.Zone != event.Zone || len(spec.Types) > 0 && !slices.Contains(spec.Types, event.Type) {
		c.reportViolation("%v started on %s, a %s in %s, which its job does not allow", event.Task, event.Machine, event.Type, event.Zone)
	}
	c.checkCancelled(event.Task, event.Machine, c.reported[event.Task.Job], event.At)
	c.running[event.Task] = event
	c.usedCores[spec.Team] += spec.Cores
	c.checkLimit(spec.Team, event.Task)
}

// checkLimit checks a team's cores against its quota limit at the start of one of its tasks.
func (c *historyCheck) checkLimit(team string, task wire.TaskID) {
	for i := range c.teams {
		if limit, _ := c.teams[i].Limits(); c.teams[i].Name == team && c.usedCores[team] > limit+quotaTolerance {
			c.reportViolation("%s uses %v cores of %v as %v starts", team, c.usedCores[team], limit, task)
		}
	}
}

func (c *historyCheck) checkEnd(event HistoryEvent) {
	start, running := c.running[event.Task]
	if !running || start.Machine != event.Machine {
		return
	}
	delete(c.running, event.Task)
	id := event.Task.Job
	c.usedCores[c.specs[id].Team] -= c.specs[id].Cores
	c.checkCancelled(event.Task, event.Machine, c.reported[id], event.At)
	if event.Kind == TaskCompleted {
		if c.completed[id] == nil {
			c.completed[id] = map[int]bool{}
		}
		c.completed[id][event.Task.Index] = true
	}
}

// checkCancelled checks that a task has not run on a machine for longer than cancelTimeout
// after its job was reported cancelled. The argument at is a time at which the task runs.
func (c *historyCheck) checkCancelled(task wire.TaskID, machine wire.MachineID, reported HistoryEvent, at time.Time) {
	if since := at.Sub(reported.At); reported.Status == wire.StatusCancelled && since > c.cancelTimeout {
		c.reportViolation("%v is on %s %v after its user was notified of the cancellation", task, machine, since)
	}
}

func (c *historyCheck) checkStatus(event HistoryEvent) {
	before := c.reported[event.Job]
	switch {
	case before.Status.IsTerminal():
		if event.Status != before.Status && (event.RequestedAt.IsZero() || event.RequestedAt.After(before.At)) {
			c.reportViolation("%s was reported %s, and then %s", event.Job, before.Status, event.Status)
		}
		return
	case event.Status == wire.StatusCancelled && !c.cancelled[event.Job]:
		c.reportViolation("%s was reported cancelled, but nobody asked for it", event.Job)
	case event.Status == wire.StatusDone && !c.isComplete(event.Job):
		c.reportViolation("%s was reported done with %d of %d tasks completed", event.Job, len(c.completed[event.Job]), c.specs[event.Job].Tasks)
	}
	c.reported[event.Job] = event
}

// isComplete reports whether all tasks of a job have completed. The tasks of a gang complete
// together, so one of them is enough.
func (c *historyCheck) isComplete(id wire.JobID) bool {
	spec, completed := c.specs[id], len(c.completed[id])
	return completed == spec.Tasks || spec.Shape == wire.ShapeGang && completed > 0
}
