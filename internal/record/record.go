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
	// At is when the job was accepted, in Unix milliseconds.
	At int64 `json:"at"`
	// By is the boot of the controller that accepted it and places it first.
	By wire.FencingToken `json:"by"`
	// Over, if set, is how it ended, and all that is left of it.
	Over *Final `json:"over,omitempty"`
}

// Over is what a job's record becomes when it ends.
type Over struct {
	Over Final `json:"over"`
}

// Final is how a job ended.
type Final struct {
	Status wire.Status `json:"status"`
	Done   int         `json:"done"`
}

// Node says that a controller is alive; it hangs on its lease.
type Node struct {
	Boot wire.FencingToken `json:"boot"`
	// Isolated says that it reaches no workers, so that it should own no team.
	Isolated bool `json:"deaf,omitempty"`
}

// Returns is all machines that are about to be returned, by why, and those
// that the cloud has confirmed to be gone while something still stands on them:
// whoever reads that may take it as proof. One that leaves Going without being
// Gone was kept after all. One record for all of them costs one write however
// many go at once, and gives placements one version to demand.
type Returns struct {
	Going map[string][]wire.MachineID `json:"going,omitempty"`
	Gone  []wire.MachineID            `json:"gone,omitempty"`
}

// Images is which images the machines of one shard were seen to have.
type Images map[wire.MachineID][]string

// Halt says whether and how an entry's tasks are to be stopped.
type Halt int

// The ways to stop.
const (
	HaltNo   Halt = iota
	HaltSave      // with time to save
	HaltAtOnce
)

// Head is what the entries of one job and round share.
type Head struct {
	Job     wire.JobID   `json:"j"`
	Attempt wire.Attempt `json:"a"`
	// Launcher is the boot of the only controller that may send the launch.
	Launcher wire.FencingToken `json:"l"`
	// Fence, if not 0, is the token that the machine must have seen before the
	// launch may be sent or, with Halt, before a report that lacks a task
	// proves that it is gone.
	Fence wire.FencingToken `json:"f,omitempty"`
	Halt  Halt              `json:"s,omitempty"`

	Cores        float64    `json:"c,omitempty"`
	Accelerators float64    `json:"g,omitempty"`
	MemGB        float64    `json:"r,omitempty"`
	Rank         int        `json:"p,omitempty"`
	Shape        wire.Shape `json:"b"`
}

// Group is the entries that share a head, machine by machine.
type Group struct {
	Head
	Machines []wire.MachineID  `json:"m"`
	Sessions []wire.AgentEpoch `json:"h"`
	Tasks    []TaskSet         `json:"k"`
}

// Page is a placement record. Tasks that are done move from their entry to Done in
// the write that removes them, and stay there until the job is over: an end costs no
// write of its own.
type Page struct {
	Groups []Group                `json:"e"`
	Done   map[wire.JobID]TaskSet `json:"d,omitempty"`
}

// Check reports a group whose lists do not go together, or nil.
func (p *Page) Check() error {
	for i := range p.Groups {
		g := &p.Groups[i]
		if len(g.Sessions) != len(g.Machines) || len(g.Tasks) != len(g.Machines) {
			return fmt.Errorf("group of %d machines with %d sessions and %d task sets",
				len(g.Machines), len(g.Sessions), len(g.Tasks))
		}
	}
	return nil
}

// What parts of a page's plain value take beyond what stands in them.
const (
	// PageRoom is what an empty page takes.
	PageRoom = len(`{"e":[],"d":{}}`)
	// DoneRoom is what a set of done tasks takes beside the job's name and the set.
	DoneRoom = len(`"":,`)

	machineRoom = len(`"",`) + len(`,`) + len(`,`)
)

// MachineRoom is what one machine takes in a group, beside the head.
func MachineRoom(id wire.MachineID, session wire.AgentEpoch, tasks TaskSet) int {
	return machineRoom + len(id) + len(strconv.FormatUint(uint64(session), 10)) + tasks.Room()
}

// Room is what a head takes with the empty lists after it.
func (h *Head) Room() int { return len(plain(Group{Head: *h})) + len(`,`) }

// plain is a record as JSON, as the first format writes it.
func plain(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		// Only this package's types come here; none of them can fail.
		panic(err)
	}
	return b
}
