package simulation

import (
	"lilacrill/wire"
)

// machineAttempt identifies a task attempt on a machine.
type machineAttempt struct {
	task    wire.TaskID
	attempt wire.Attempt
	machine wire.MachineID
}

// CheckExactlyOnce returns the violations of the rule that every task of a job that was not
// cancelled runs exactly once. The rule must hold if no machine fails and no task is
// preempted. It is violated by a task that is placed or started twice, is stopped, or never
// completes, and by a start without a placement. A task that was placed on a machine that
// was terminated may run again elsewhere, but it must complete.
func (h *History) CheckExactlyOnce() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := exactlyOnceCheck{
		historyCheck: newHistoryCheck(h.specs, nil, 0),
		terminated:   map[wire.MachineID]bool{},
		rerunAllowed: map[wire.TaskID]bool{},
		placed:       map[machineAttempt]bool{},
		counts:       map[HistoryKind]map[wire.TaskID]int{},
	}
	for _, event := range h.events {
		c.collectExemptions(event)
	}
	for _, event := range h.events {
		c.countEvent(event)
	}
	for id, spec := range h.specs {
		if c.cancelled[id] {
			continue
		}
		for index := range spec.Tasks {
			c.checkCounts(wire.TaskID{Job: id, Index: index})
		}
	}
	return c.sortedViolations()
}

// exactlyOnceCheck counts the events of each task of a history.
type exactlyOnceCheck struct {
	*historyCheck
	terminated   map[wire.MachineID]bool // at any time
	rerunAllowed map[wire.TaskID]bool    // tasks that were placed on a machine that was terminated
	placed       map[machineAttempt]bool
	counts       map[HistoryKind]map[wire.TaskID]int
}

// expectedCounts lists how often each kind of event must have occurred for a task.
var expectedCounts = []struct {
	kind  HistoryKind
	count int
	name  string
}{
	{TaskPlaced, 1, "placed"},
	{TaskStarted, 1, "started"},
	{TaskCompleted, 1, "completed"},
	{TaskStopped, 0, "stopped"},
}

// collectExemptions records the cancelled jobs and the terminated machines. They are collected
// in advance because they also concern earlier events.
func (c *exactlyOnceCheck) collectExemptions(event HistoryEvent) {
	switch event.Kind {
	case CancelRequested:
		c.cancelled[event.Job] = true
	case MachineTerminated:
		c.terminated[event.Machine] = true
	}
}

func (c *exactlyOnceCheck) countEvent(event HistoryEvent) {
	attempt := machineAttempt{event.Task, event.Attempt, event.Machine}
	if event.Kind == TaskPlaced {
		c.placed[attempt] = true
		c.rerunAllowed[event.Task] = c.rerunAllowed[event.Task] || c.terminated[event.Machine]
	}
	if event.Kind == TaskStarted && !c.placed[attempt] {
		c.reportViolation("%v started on %s without a placement there", event.Task, event.Machine)
	}
	if c.counts[event.Kind] == nil {
		c.counts[event.Kind] = map[wire.TaskID]int{}
	}
	c.counts[event.Kind][event.Task]++
}

func (c *exactlyOnceCheck) checkCounts(task wire.TaskID) {
	if c.rerunAllowed[task] {
		if c.counts[TaskCompleted][task] == 0 {
			c.reportViolation("%v never completed after one of its machines was terminated", task)
		}
		return
	}
	for _, expected := range expectedCounts {
		if count := c.counts[expected.kind][task]; count != expected.count {
			c.reportViolation("%v %s %d times, not %d", task, expected.name, count, expected.count)
		}
	}
}
