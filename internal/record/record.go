// Package record holds the records that controllers keep in the state service: their
// keys, their shapes, and how each format writes and reads them.
package record

import (
	"encoding/json"
	"fmt"
	"strconv"

	"lilacrill/wire"
)

// Job is a job that is not over or, with Over, how it ended.
type Job struct {
	Spec wire.JobSpec `json:"spec"`
	// AcceptedAt is when the job was accepted, in Unix milliseconds.
	AcceptedAt int64 `json:"at"`
	// AcceptedBy is the boot of the controller that accepted it and places it first.
	AcceptedBy wire.FencingToken `json:"by"`
	// Completion, if set, is how it ended, and all that is left of it.
	Completion *Completion `json:"over,omitempty"`
}

// CompletedJob is what a job's record becomes when it ends.
type CompletedJob struct {
	Completion Completion `json:"over"`
}

// Completion is how a job ended.
type Completion struct {
	Status wire.Status `json:"status"`
	Done   int         `json:"done"`
}

// Liveness says that a controller is alive; it hangs on its lease.
type Liveness struct {
	Incarnation wire.FencingToken `json:"boot"`
	// Isolated says that it reaches no workers, so that it should own no team.
	Isolated bool `json:"deaf,omitempty"`
}

// Terminations is all machines that are about to be returned, by why, and those
// that the cloud has confirmed to be gone while something still stands on them:
// whoever reads that may take it as proof. One that leaves Going without being
// Gone was kept after all. One record for all of them costs one write however
// many go at once, and gives placements one version to demand.
type Terminations struct {
	Pending   map[string][]wire.MachineID `json:"going,omitempty"`
	Confirmed []wire.MachineID            `json:"gone,omitempty"`
}

// Images is which images the machines of one shard were seen to have.
type Images map[wire.MachineID][]string

// Eviction says whether and how an entry's tasks are to be stopped.
type Eviction int

// The ways to stop.
const (
	EvictionNone     Eviction = iota
	EvictionGraceful          // with time to save
	EvictionImmediate
)

// AllocationHeader is what the entries of one job and round share.
type AllocationHeader struct {
	Job     wire.JobID   `json:"j"`
	Attempt wire.Attempt `json:"a"`
	// Launcher is the boot of the only controller that may send the launch.
	Launcher wire.FencingToken `json:"l"`
	// Fence, if not 0, is the token that the machine must have seen before the
	// launch may be sent or, with Halt, before a report that lacks a task
	// proves that it is gone.
	Fence    wire.FencingToken `json:"f,omitempty"`
	Eviction Eviction          `json:"s,omitempty"`

	Cores        float64    `json:"c,omitempty"`
	Accelerators float64    `json:"g,omitempty"`
	MemGB        float64    `json:"r,omitempty"`
	Priority     int        `json:"p,omitempty"`
	Shape        wire.Shape `json:"b"`
}

// AllocationGroup is the entries that share a head, machine by machine.
type AllocationGroup struct {
	AllocationHeader
	Machines    []wire.MachineID  `json:"m"`
	AgentEpochs []wire.AgentEpoch `json:"h"`
	Tasks       []TaskSet         `json:"k"`
}

// PlacementPage is a placement record. Tasks that are done move from their entry to Done in
// the write that removes them, and stay there until the job is over: an end costs no
// write of its own.
type PlacementPage struct {
	Groups    []AllocationGroup      `json:"e"`
	Completed map[wire.JobID]TaskSet `json:"d,omitempty"`
}

// Check reports a group whose lists do not go together, or nil.
func (p *PlacementPage) Check() error {
	for i := range p.Groups {
		g := &p.Groups[i]
		if len(g.AgentEpochs) != len(g.Machines) || len(g.Tasks) != len(g.Machines) {
			return fmt.Errorf("group of %d machines with %d sessions and %d task sets",
				len(g.Machines), len(g.AgentEpochs), len(g.Tasks))
		}
	}
	return nil
}

// What parts of a page's plain value take beyond what stands in them.
const (
	// PageOverhead is what an empty page takes.
	PageOverhead = len(`{"e":[],"d":{}}`)
	// CompletedOverhead is what a set of done tasks takes beside the job's name and the set.
	CompletedOverhead = len(`"":,`)

	machineOverhead = len(`"",`) + len(`,`) + len(`,`)
)

// MachineSize is what one machine takes in a group, beside the head.
func MachineSize(id wire.MachineID, session wire.AgentEpoch, tasks TaskSet) int {
	return machineOverhead + len(id) + len(strconv.FormatUint(uint64(session), 10)) + tasks.EncodedSize()
}

// EncodedSize is what a head takes with the empty lists after it.
func (h *AllocationHeader) EncodedSize() int {
	return len(encodePlain(AllocationGroup{AllocationHeader: *h})) + len(`,`)
}

// encodePlain is a record as JSON, as the first format writes it.
func encodePlain(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		// Only this package's types come here; none of them can fail.
		panic(err)
	}
	return b
}
