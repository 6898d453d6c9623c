// Package shard divides the machines among the controllers. A machine belongs to a shard by
// its name, and a shard to one process of a controller, which alone may schedule tasks on its
// machines. The package holds the records of the shards, decides what this controller should
// do about them (failover, handover, adoption, rebalancing), and returns the transactions that
// do it. Like the controller it has no clock, no socket and no goroutine.
package shard

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lilacrill/wire"
)

// Count is the number of shards. The record of each shard that a placement uses is a
// condition of its transaction; with this many, a placement in all of them stays within the
// limit of conditions (docs/shards.md). It must never change: it decides which shard a
// machine belongs to.
const Count = 32

// Time is a moment on the monotonic clock of the process, since its start.
type Time time.Duration

// Of is the shard that a machine belongs to.
func Of(machine wire.MachineID) wire.ShardID {
	return wire.ShardID(xxhash.Sum64String(string(machine)) % Count)
}

// Valid reports whether a shard has this number.
func Valid(id wire.ShardID) bool { return id >= 0 && id < Count }

// affinity orders controllers for a shard, or shards for a controller, by rendezvous hashing:
// pseudo-randomly, and the same on all controllers.
func affinity(label string, id wire.ShardID) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(label) // writing to a digest cannot fail
	_, _ = digest.Write([]byte{0, byte(id)})
	return digest.Sum64()
}
