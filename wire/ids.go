// Package wire holds the message formats lilacrill speaks with users, workers,
// the cloud, the state service and its own siblings. Clients may import it.
package wire

import (
	"fmt"
	"strconv"
	"strings"
)

// JobID names a job; users choose it.
type JobID string

// maxJobDigits bounds the number in a job id so that ids stay short keys.
const maxJobDigits = 18

// Valid reports whether the id has the one form the protocol allows.
func (id JobID) Valid() bool {
	digits, ok := strings.CutPrefix(string(id), "wk-")
	if !ok || len(digits) == 0 || len(digits) > maxJobDigits {
		return false
	}
	for _, r := range digits {
		if r < '0' || r > '9' {
			return false
		}
	}
	return true
}

// MachineID names a rented machine.
type MachineID string

// TaskID names one task of a job, as in "wk-000412/3".
type TaskID struct {
	Job   JobID
	Index int
}

// String gives the form used on the wire.
func (t TaskID) String() string { return string(t.Job) + "/" + strconv.Itoa(t.Index) }

// MarshalText implements encoding.TextMarshaler.
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *TaskID) UnmarshalText(b []byte) error {
	job, index, ok := strings.Cut(string(b), "/")
	if !ok || !JobID(job).Valid() {
		return fmt.Errorf("task id %q: want wk-NUMBER/INDEX", b)
	}
	n, err := strconv.Atoi(index)
	if err != nil || n < 0 || n >= MaxTasks {
		return fmt.Errorf("task id %q: bad index", b)
	}
	t.Job, t.Index = JobID(job), n
	return nil
}

// Attempt tells one start of a task from another.
type Attempt uint64

// FencingToken says who may command workers: the higher one wins.
type FencingToken uint64

// AgentEpoch counts a worker's sessions.
type AgentEpoch uint64

// Sequence orders a worker's messages within a session.
type Sequence uint64

// Revision is a revision of the state service.
type Revision uint64

// LeaseID names a lease of the state service.
type LeaseID uint64

// Format numbers a way of writing records and the lines between controllers.
type Format int

// ShardID numbers a share of the machines.
type ShardID int

// ShardEpoch counts how often a share has changed hands.
type ShardEpoch uint64
