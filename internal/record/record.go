// Package record defines the records that controllers keep in the state store: their keys, their
// types, and how each format encodes and decodes them.
package record

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"lilacrill/wire"
)

// Job is the record of a job. It holds either a job that is not completed or, if Completion is set,
// only how the job was completed.
type Job struct {
	Spec wire.JobSpec `json:"spec"`
	// AcceptedAt is the time at which the job was accepted, in Unix milliseconds.
	AcceptedAt int64 `json:"at"`
	// AcceptedBy is the incarnation of the controller that accepted the job and initially
	// schedules it.
	AcceptedBy wire.FencingToken `json:"by"`
	// Completion is set if the job is completed. The record then has no other content.
	Completion *Completion `json:"over,omitempty"`
}

// CompletedJob is the record that replaces a Job when the job is completed. It decodes as a Job.
type CompletedJob struct {
	Completion Completion `json:"over"`
}

// Completion is the result of a completed job.
type Completion struct {
	Status wire.Status `json:"status"`
	Done   int         `json:"done"` // number of tasks that succeeded
}

// Liveness is the record of a live controller. It is attached to the controller's lease and is
// deleted when the lease expires.
type Liveness struct {
	Incarnation wire.FencingToken `json:"boot"`
	// Isolated is set if the controller reaches no workers, so that it should own no team.
	Isolated bool `json:"deaf,omitempty"`
}

// Terminations is the record of the machine terminations that are under way. Pending holds the
// machines to be terminated, by reason. Confirmed holds machines whose termination the cloud has
// confirmed while they still have allocations. To every controller that reads the record, this
// confirms the exit of the tasks on these machines. A terminated machine without allocations is
// dropped from both lists. A machine with allocations that leaves Pending without being added to
// Confirmed has not been terminated.
//
// A single record takes one write however many machines are terminated at once, and gives placement
// transactions a single version to use as a condition.
type Terminations struct {
	Pending   map[string][]wire.MachineID `json:"going,omitempty"`
	Confirmed []wire.MachineID            `json:"gone,omitempty"`
}

// Images holds the images known to be cached on the machines of one bucket.
type Images map[wire.MachineID][]string

// Eviction states whether and how the tasks of an allocation are to be stopped.
type Eviction int

// The kinds of eviction.
const (
	EvictionNone      Eviction = iota
	EvictionGraceful           // with time to save a checkpoint
	EvictionImmediate          // without time to save a checkpoint
)

// AllocationHeader holds the properties shared by all allocations of one job in one transaction.
type AllocationHeader struct {
	Job     wire.JobID   `json:"j"`
	Attempt wire.Attempt `json:"a"`
	// Launcher is the incarnation of the only controller that may send the launch.
	Launcher wire.FencingToken `json:"l"`
	// Fence, if not 0, is a fencing token. The machine must have received it before the launch may
	// be sent or, in an eviction, before a heartbeat that lacks a task confirms the exit of that
	// task.
	Fence    wire.FencingToken `json:"f,omitempty"`
	Eviction Eviction          `json:"s,omitempty"`

	// The resources of one task, and the priority and the shape of the job. With these, capacity can
	// be computed without the record of the job.

	Cores        float64    `json:"c,omitempty"`
	Accelerators float64    `json:"g,omitempty"`
	MemGB        float64    `json:"r,omitempty"`
	Priority     int        `json:"p,omitempty"`
	Shape        wire.Shape `json:"b"`
}

// AllocationGroup holds the allocations that share one header. Its three lists have one element for
// each machine.
type AllocationGroup struct {
	AllocationHeader
	Machines    []wire.MachineID  `json:"m"`
	AgentEpochs []wire.AgentEpoch `json:"h"`
	Tasks       []TaskSet         `json:"k"`
}

// PlacementPage is a placement record. It holds a part of the allocations of a team in a zone. The
// transaction that removes tasks that succeeded from their allocation also adds them to Completed,
// where they stay until the job is completed. The completion of a task thus needs no write of its own.
type PlacementPage struct {
	Groups    []AllocationGroup      `json:"e"`
	Completed map[wire.JobID]TaskSet `json:"d,omitempty"`
}

// ErrInvalidPage is wrapped by the errors of PlacementPage.Check.
var ErrInvalidPage = errors.New("invalid placement page")

// Check returns an error that wraps ErrInvalidPage if the lists of a group differ in length.
func (p *PlacementPage) Check() error {
	for i := range p.Groups {
		group := &p.Groups[i]
		if len(group.AgentEpochs) != len(group.Machines) || len(group.Tasks) != len(group.Machines) {
			return fmt.Errorf("%w: group of %d machines with %d agent epochs and %d task sets",
				ErrInvalidPage, len(group.Machines), len(group.AgentEpochs), len(group.Tasks))
		}
	}
	return nil
}

// Sizes, in bytes, of the punctuation and field names in the plain JSON of a page.
const (
	// PageOverhead is the size of an empty page.
	PageOverhead = len(`{"e":[],"d":{}}`)
	// CompletedOverhead is the size of an entry of Completed, without the id of the job and the task
	// set.
	CompletedOverhead = len(`"":,`)

	// machineOverhead is the size of one machine in the lists of a group, without its id, its agent
	// epoch and its task set.
	machineOverhead = len(`"",`) + len(`,`) + len(`,`)
)

// EntrySize returns the encoded size, in bytes, of the entry of one machine in the lists of a group.
func EntrySize(id wire.MachineID, epoch wire.AgentEpoch, tasks TaskSet) int {
	return machineOverhead + len(id) + len(strconv.FormatUint(uint64(epoch), 10)) + tasks.EncodedSize()
}

// EncodedSize returns the encoded size, in bytes, of a group with this header and empty lists,
// including the comma that separates the group from the next.
func (h *AllocationHeader) EncodedSize() int {
	return len(encodePlain(AllocationGroup{AllocationHeader: *h})) + len(`,`)
}

// encodePlain returns the plain JSON of a record, as FormatPlain writes it.
func encodePlain(record any) []byte {
	text, err := json.Marshal(record)
	if err != nil {
		// Cannot happen: json.Marshal does not fail for the types of records.
		panic(err)
	}
	return text
}
