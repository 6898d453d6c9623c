package standin

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Job is a job as its user submits it.
type Job struct {
	ID           string   `json:"id"`
	Class        string   `json:"jobclass"`
	Team         string   `json:"crew"`
	Shape        string   `json:"shape"`
	Rank         string   `json:"rank"`
	Loads        int      `json:"loads"`
	Cores        float64  `json:"cores"`
	Accelerators float64  `json:"accelerators"`
	MemGB        float64  `json:"mem_gb"`
	Kit          string   `json:"kit"`
	SizeGB       float64  `json:"size_gb"`
	Types        []string `json:"rigtypes"`
	Yard         *string  `json:"yard"`
	Together     bool     `json:"together"`
	Apart        bool     `json:"apart"`
	Loaners      bool     `json:"loaners"`
	RuntimeS     float64  `json:"runtime_s"`
	SavepointS   float64  `json:"savepoint_s"`
	StashS       float64  `json:"stash_s"`

	// Runs is how long each task really runs. 0: until it is stopped.
	Runs time.Duration `json:"-"`
}

// Board knows the jobs that users have submitted, and which tasks are on which machines. A task is
// on its machine from the moment it has its image until it exits, is killed or the machine is gone.
type Board struct {
	record *Record

	mu     sync.Mutex
	jobs   map[string]Job
	on     map[string]map[string]int // by task, then by machine: how many attempts
	starts map[string]int            // by task
	done   map[string]bool           // tasks that have completed
	broken []string                  // names of rules
}

// NewBoard returns an empty board.
func NewBoard(record *Record) *Board {
	return &Board{record: record, jobs: map[string]Job{}, on: map[string]map[string]int{}, starts: map[string]int{}, done: map[string]bool{}}
}

// Upload makes a job known to the workers.
func (b *Board) Upload(job Job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.jobs[job.ID] = job
}

func (b *Board) job(id string) (Job, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	job, ok := b.jobs[id]
	return job, ok
}

// taskOn notes that a task has its image.
func (b *Board) taskOn(load string, machine *Rig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rig := machine.ID
	id, _, _ := strings.Cut(load, "/")
	if job := b.jobs[id]; machine.Loaners && !job.Loaners || job.Types != nil && !slices.Contains(job.Types, machine.Type) || job.Yard != nil && *job.Yard != machine.Yard {
		b.broken = append(b.broken, "wrong_place")
		b.record.Say("BROKEN wrong_place: %s starts on %s, a %s in %s, spot %v", load, rig, machine.Type, machine.Yard, machine.Loaners)
	}
	if b.on[load] == nil {
		b.on[load] = map[string]int{}
	}
	for other := range b.on[load] {
		if other != rig {
			b.broken = append(b.broken, "ran_twice")
			b.record.Say("BROKEN ran_twice: %s starts on %s while it is on %s", load, rig, other)
		}
	}
	b.on[load][rig]++
	b.starts[load]++
	b.record.Add("run: %s is on %s", load, rig)
}

// taskOff notes that a task is no longer on its machine.
func (b *Board) taskOff(load, rig, why string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.on[load][rig]--; b.on[load][rig] <= 0 {
		delete(b.on[load], rig)
	}
	if why == "done" {
		b.done[load] = true
	}
	b.record.Add("run: %s is off %s: %s", load, rig, why)
}

// OnMachines returns the machines that a task is on.
func (b *Board) OnMachines(load string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var rigs []string
	for rig := range b.on[load] {
		rigs = append(rigs, rig)
	}
	return rigs
}

// Done reports whether a task has completed.
func (b *Board) Done(load string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.done[load]
}

// Starts returns how often a task has started.
func (b *Board) Starts(load string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.starts[load]
}

// Broken returns the names of the rules that starts of tasks have broken.
func (b *Board) Broken() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.broken)
}
