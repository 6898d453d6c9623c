package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// waitingSampleInterval is the time between two looks at the waiting jobs.
const waitingSampleInterval = time.Second

// CheckWaiting returns the violations of the rule that, once all faults are over at the time from,
// no job waits for as long as limit while a machine that fits has room and its team is under its
// limit. A gang fits where there is room for all its tasks.
func (h *History) CheckWaiting(types []wire.MachineType, teams []config.Team, from time.Time, limit time.Duration) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := &waitingCheck{historyCheck: newHistoryCheck(h.specs, teams, 0), from: from, limit: limit,
		types: map[string]*wire.MachineType{}, free: map[wire.MachineID]*freeMachine{}, since: map[wire.JobID]time.Time{}, reportedWaiting: map[wire.JobID]bool{}}
	for i := range types {
		c.types[types[i].Name] = &types[i]
	}
	for i, event := range h.events {
		if i > 0 && event.At.Sub(c.sampledAt) >= waitingSampleInterval {
			c.sample(h.events[i-1].At) // what is true since the previous event
			c.sample(event.At)         // and has been until this one
		}
		c.apply(event)
	}
	slices.Sort(c.starved)
	return c.starved
}

// freeMachine is the room that a machine has.
type freeMachine struct {
	machineType, zone string
	cores, memGB      float64
}

// waitingCheck replays a history and looks at the waiting jobs once a second.
type waitingCheck struct {
	*historyCheck
	from            time.Time
	limit           time.Duration
	types           map[string]*wire.MachineType
	free            map[wire.MachineID]*freeMachine
	since           map[wire.JobID]time.Time // since when a job waits beside room
	reportedWaiting map[wire.JobID]bool
	sampledAt       time.Time
	starved         []string // the violations of this rule, apart from those of historyCheck
}

func (c *waitingCheck) apply(event HistoryEvent) {
	switch event.Kind {
	case MachineJoined:
		machineType := c.types[event.Type]
		c.free[event.Machine] = &freeMachine{machineType: event.Type, zone: event.Zone, cores: machineType.Cores, memGB: machineType.MemGB}
	case MachineTerminated:
		delete(c.free, event.Machine)
	case TaskStarted:
		c.occupy(event, 1)
		delete(c.since, event.Job)
	case TaskCompleted, TaskStopped:
		if start, running := c.running[event.Task]; running && start.Machine == event.Machine {
			c.occupy(event, -1)
		}
	}
	c.check(event)
}

// occupy takes the room of a task from its machine, or returns it if sign is -1.
func (c *waitingCheck) occupy(event HistoryEvent, sign float64) {
	if machine, spec := c.free[event.Machine], c.specs[event.Job]; machine != nil {
		machine.cores -= sign * spec.Cores
		machine.memGB -= sign * spec.MemGB
	}
}

// sample looks at all waiting jobs.
func (c *waitingCheck) sample(now time.Time) {
	c.sampledAt = now
	for _, id := range slices.Sorted(maps.Keys(c.reported)) {
		if !c.waits(id) || !c.fits(id) {
			delete(c.since, id)
			continue
		}
		if _, known := c.since[id]; !known {
			c.since[id] = now
		}
		since := c.since[id]
		if since.Before(c.from) {
			since = c.from
		}
		if waited := now.Sub(since); waited >= c.limit && !c.reportedWaiting[id] {
			c.reportedWaiting[id] = true
			c.starved = append(c.starved, fmt.Sprintf("%s waits for %v although a machine has room", id, waited.Round(time.Second)))
		}
	}
}

// waits reports whether a job was accepted, has not ended, and not all its tasks run or are done.
func (c *waitingCheck) waits(id wire.JobID) bool {
	return !c.reported[id].Status.IsTerminal() && !c.cancelled[id] && !c.isComplete(id) && c.missingTasks(id) > 0
}

func (c *waitingCheck) missingTasks(id wire.JobID) int {
	missing := c.specs[id].Tasks - len(c.completed[id])
	for task := range c.running {
		if task.Job == id {
			missing--
		}
	}
	return missing
}

// fits reports whether there is room for a task of a job, or for all tasks if it is a gang.
func (c *waitingCheck) fits(id wire.JobID) bool {
	spec := c.specs[id]
	needed := 1
	if spec.Shape == wire.ShapeGang {
		needed = spec.Tasks
	}
	for i := range c.teams {
		limit, _ := c.teams[i].Limits()
		if c.teams[i].Name == spec.Team && c.usedCores[spec.Team]+float64(needed)*spec.Cores > limit+quotaTolerance {
			return false
		}
	}
	slots := 0
	for _, machine := range c.free {
		if spec.Zone != "" && spec.Zone != machine.zone || len(spec.Types) > 0 && !slices.Contains(spec.Types, machine.machineType) {
			continue
		}
		slots += int(min(machine.cores/spec.Cores, machine.memGB/spec.MemGB))
	}
	return slots >= needed
}
