package second

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// jobOf returns the job that a user has uploaded under a name, or nil.
func (r *rig) jobOf(id wire.JobID) *job {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[id]
}

// noteStart records that a task has its image, and so is on its machine.
func (r *rig) noteStart(m *machine, key attempt, run *taskRun) {
	r.log("%s: %s try %d is on the machine, %s", m.id, key.load, key.try, run.status.State)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gangs[key.load.Job] == nil {
		r.gangs[key.load.Job] = map[wire.Attempt]int{}
	}
	r.gangs[key.load.Job][key.try]++
	r.starts = append(r.starts, taskEvent{at: time.Now(), load: key.load, try: key.try, machine: m.id})
}

// noteEnd records that a task is no longer on its machine.
func (r *rig) noteEnd(m *machine, key attempt, run *taskRun, how string) {
	if run.started.IsZero() {
		return
	}
	r.log("%s: %s try %d ended: %s", m.id, key.load, key.try, how)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gangs[key.load.Job][key.try]--
	r.ends = append(r.ends, taskEvent{at: time.Now(), load: key.load, try: key.try, machine: m.id, how: how})
}

// gangComplete reports whether all tasks of a gang's attempt have their image.
func (r *rig) gangComplete(j *job, try wire.Attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gangs[j.spec.ID][try] >= j.spec.Tasks
}

// startsOf returns the starts of a job's tasks, in order.
func (r *rig) startsOf(id wire.JobID) []taskEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.starts), func(e taskEvent) bool { return e.load.Job != id })
}

// endsOf returns the ends of a job's tasks, in order.
func (r *rig) endsOf(id wire.JobID) []taskEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.ends), func(e taskEvent) bool { return e.load.Job != id })
}

func (r *rig) noteReturn(returned returnedMachine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.returns = append(r.returns, returned)
}

// returnsSoFar returns the machines that were returned.
func (r *rig) returnsSoFar() []returnedMachine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.returns)
}

// leader returns the controller that the state service names as the leader for scaling, or -1.
func (r *rig) leader() int {
	value, ok := r.state.get(record.ProvisionerKey)
	if !ok {
		return -1
	}
	incarnation, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return -1
	}
	for i := range r.nodes {
		var liveness record.Liveness
		if value, ok := r.state.get(record.LivenessKey(nodeLabel(i))); ok && json.Unmarshal(value, &liveness) == nil && uint64(liveness.Incarnation) == incarnation {
			return i
		}
	}
	return -1
}
