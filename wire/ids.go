// Package wire defines the messages that a controller exchanges with users, workers, the cloud,
// the state store and its peers. Clients may import it. The JSON names are those of the
// protocol, the Go names those of docs/glossary.md. Fields whose names end in S are in seconds.
package wire

import (
	"fmt"
	"strconv"
	"strings"
)

// JobID identifies a job. Users choose it.
type JobID string

// maxJobDigits is the maximum number of digits in a job ID. It keeps the keys that contain job
// IDs short.
const maxJobDigits = 18

// Valid reports whether the ID has the form wk-NUMBER that the protocol requires.
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

// MachineID identifies a machine.
type MachineID string

// TaskID identifies one task of a job, as in "wk-000412/3".
type TaskID struct {
	Job   JobID
	Index int
}

// String returns the ID in the form used in messages.
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

// Attempt numbers a task attempt, so that one start of a task can be distinguished from another.
type Attempt uint64

// FencingToken orders the controllers that send commands to workers. A worker rejects a command
// whose token is lower than the highest that it has received.
type FencingToken uint64

// AgentEpoch counts the starts of a worker's agent. Heartbeats of an earlier epoch are outdated.
type AgentEpoch uint64

// Sequence orders the heartbeats of a worker within one agent epoch.
type Sequence uint64

// Revision is a revision of the state store, or the one at which a key was last written.
type Revision uint64

// LeaseID identifies a lease of the state store.
type LeaseID uint64

// Format is the number of an encoding of records and peer messages.
type Format int

// ShardID is the number of a shard of the machines.
type ShardID int

// ShardEpoch counts the changes of a shard's owner.
type ShardEpoch uint64
