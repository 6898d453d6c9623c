package simulation

import (
	"slices"

	"lilacrill/wire"
)

// placedAttempt is an attempt at a task on a machine.
type placedAttempt struct {
	task    wire.TaskID
	attempt wire.Attempt
	machine wire.MachineID
}

// CheckOnce lists what is against every task having run exactly once, which must hold where
// no machine fails and nothing is stopped for more urgent work: a task of a job that was
// not called off that started or was placed twice, was stopped, or never ran, and a start
// without a placement. Tasks that were placed on a machine which was returned may run again
// elsewhere; they must be done all the same.
func (h *History) CheckOnce() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := historyCheck{specs: h.specs, cancelled: map[wire.JobID]bool{}}
	returned := map[wire.MachineID]bool{}
	for _, event := range h.events {
		switch event.Kind {
		case CancelRequested:
			c.cancelled[event.Job] = true
		case MachineTerminated:
			returned[event.Machine] = true
		}
	}
	lost := map[wire.TaskID]bool{} // placed on a machine that was returned
	placed, counts := map[placedAttempt]bool{}, map[HistoryKind]map[wire.TaskID]int{}
	for _, kind := range []HistoryKind{TaskPlaced, TaskStarted, TaskCompleted, TaskStopped} {
		counts[kind] = map[wire.TaskID]int{}
	}
	for _, event := range h.events {
		attempt := placedAttempt{event.Task, event.Attempt, event.Machine}
		if event.Kind == TaskPlaced {
			placed[attempt] = true
			lost[event.Task] = lost[event.Task] || returned[event.Machine]
		}
		if event.Kind == TaskStarted && !placed[attempt] {
			c.violation("%v started on %s without a placement there", event.Task, event.Machine)
		}
		if counts[event.Kind] != nil {
			counts[event.Kind][event.Task]++
		}
	}
	for id, spec := range h.specs {
		if c.cancelled[id] {
			continue
		}
		for index := range spec.Tasks {
			task := wire.TaskID{Job: id, Index: index}
			if lost[task] {
				if counts[TaskCompleted][task] == 0 {
					c.violation("%v never completed after a machine of its was returned", task)
				}
				continue
			}
			for _, want := range []struct {
				kind HistoryKind
				n    int
				what string
			}{{TaskPlaced, 1, "placed"}, {TaskStarted, 1, "started"}, {TaskCompleted, 1, "completed"}, {TaskStopped, 0, "stopped"}} {
				if n := counts[want.kind][task]; n != want.n {
					c.violation("%v %s %d times, not %d", task, want.what, n, want.n)
				}
			}
		}
	}
	slices.Sort(c.violations)
	return c.violations
}
