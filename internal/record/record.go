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

// Job is the record of a job that is not completed or, with Completion, how it was completed.
type Job struct {
	Spec wire.JobSpec `json:"spec"`
	// AcceptedAt is when the job was accepted, in Unix milliseconds.
	AcceptedAt int64 `json:"at"`
	// AcceptedBy is the incarnation of the controller that accepted it and schedules it first.
	AcceptedBy wire.FencingToken `json:"by"`
	// Completion, if set, is how it was completed, and all that is left of it.
	Completion *Completion `json:"over,omitempty"`
}

// CompletedJob is what a job's record becomes when the job is completed.
type CompletedJob struct {
	Completion Completion `json:"over"`
}

// Completion is how a job was completed.
type Completion struct {
	Status wire.Status `json:"status"`
	Done   int         `json:"done"` // tasks that succeeded
}

// Liveness says that a controller is alive. The record is attached to the controller's lease, and
// is deleted when that expires.
type Liveness struct {
	Incarnation wire.FencingToken `json:"boot"`
	// Isolated says that the controller reaches no workers, so that it should own no team.
	Isolated bool `json:"deaf,omitempty"`
}

// Terminations is all machines that are to be terminated, by reason, and those whose termination
// the cloud has confirmed while there are still allocations on them: for every controller that
// reads it, that confirms the exit of their tasks. A machine that leaves Pending without being
// Confirmed was kept after all. One record for all of them costs one write however many machines
// are terminated at once, and gives placement transactions one version to demand.
type Terminations struct {
	Pending   map[string][]wire.MachineID `json:"going,omitempty"`
	Confirmed []wire.MachineID            `json:"gone,omitempty"`
}

// Images is which images the machines of one bucket were seen to have.
type Images map[wire.MachineID][]string

// Eviction says whether and how an allocation's tasks are to be stopped.
type Eviction int

// The kinds of eviction.
const (
	EvictionNone      Eviction = iota
	EvictionGraceful           // with time to save a checkpoint
	EvictionImmediate          // without
)

// AllocationHeader is what the allocations of one job in one transaction have in common.
type AllocationHeader struct {
	Job     wire.JobID   `json:"j"`
	Attempt wire.Attempt `json:"a"`
	// Launcher is the incarnation of the only controller that may send the launch.
	Launcher wire.FencingToken `json:"l"`
	// Fence, if not 0, is the fencing token that the machine must have seen before the launch may
	// be sent or, with an eviction, before a heartbeat without a task confirms the task's exit.
	Fence    wire.FencingToken `json:"f,omitempty"`
	Eviction Eviction          `json:"s,omitempty"`

	// What one task takes, and the job's priority and shape, so that capacity can be computed
	// without the job's record.

	Cores        float64    `json:"c,omitempty"`
	Accelerators float64    `json:"g,omitempty"`
	MemGB        float64    `json:"r,omitempty"`
	Priority     int        `json:"p,omitempty"`
	Shape        wire.Shape `json:"b"`
}

// AllocationGroup is the allocations with one header: three lists with an element for each machine.
type AllocationGroup struct {
	AllocationHeader
	Machines    []wire.MachineID  `json:"m"`
	AgentEpochs []wire.AgentEpoch `json:"h"`
	Tasks       []TaskSet         `json:"k"`
}

// PlacementPage is a placement record: a part of a team's allocations in a zone. Tasks that
// succeeded move from their allocation to Completed in the transaction that removes them, and stay
// there until the job is completed: the completion of a task costs no write of its own.
type PlacementPage struct {
	Groups    []AllocationGroup      `json:"e"`
	Completed map[wire.JobID]TaskSet `json:"d,omitempty"`
}

// ErrInvalidPage is the cause for which a placement page is refused.
var ErrInvalidPage = errors.New("invalid placement page")

// Check reports a group whose lists have different lengths, wrapping ErrInvalidPage, or nil.
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

// The bytes that parts of a page's plain JSON take beyond their content.
const (
	// PageOverhead is the size of an empty page.
	PageOverhead = len(`{"e":[],"d":{}}`)
	// CompletedOverhead is what a set of completed tasks takes beside the job's name and the set.
	CompletedOverhead = len(`"":,`)

	machineOverhead = len(`"",`) + len(`,`) + len(`,`)
)

// MachineSize is how many bytes one machine takes in a group, beside the header.
func MachineSize(id wire.MachineID, epoch wire.AgentEpoch, tasks TaskSet) int {
	return machineOverhead + len(id) + len(strconv.FormatUint(uint64(epoch), 10)) + tasks.EncodedSize()
}

// EncodedSize is how many bytes a header takes with the empty lists after it.
func (h *AllocationHeader) EncodedSize() int {
	return len(encodePlain(AllocationGroup{AllocationHeader: *h})) + len(`,`)
}

// encodePlain is a record's JSON, as the first format writes it.
func encodePlain(record any) []byte {
	text, err := json.Marshal(record)
	if err != nil {
		// Only this package's types come here; none of them can fail.
		panic(err)
	}
	return text
}
