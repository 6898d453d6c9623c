// Package wire has the messages that lilacrill exchanges with users, workers, the cloud, the
// state store and its siblings. Clients may import it. The JSON names are the protocol's,
// the Go names those of docs/glossary.md. Fields that end in S are seconds.
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

// Valid reports whether the id has the form that the protocol allows: wk-NUMBER.
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

// MachineID names a machine.
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

// FencingToken orders the controllers that command workers: a worker refuses commands with a
// lower token than it has seen.
type FencingToken uint64

// AgentEpoch counts the starts of a worker's agent. What an earlier one reported no longer
// holds.
type AgentEpoch uint64

// Sequence orders the heartbeats of a worker within one agent epoch.
type Sequence uint64

// Revision is a revision of the state store, or the one at which a key was last written.
type Revision uint64

// LeaseID names a lease of the state store.
type LeaseID uint64

// Format numbers a way of encoding records and peer messages.
type Format int

// ShardID numbers a shard of the machines.
type ShardID int

// ShardEpoch counts the changes of a shard's owner.
type ShardEpoch uint64
