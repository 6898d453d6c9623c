// Package shard divides the machines among the controllers. A machine belongs to a share
// by its name, and a share to one process of a controller, which alone may place new
// tasks on its machines. The package knows the records of the shares, decides what this
// controller should do about them (take over, hand over, adopt, move), and returns the
// transactions that do it. Like the core it has no clock, no socket and no goroutine.
package shard

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lilacrill/wire"
)

// Count is the number of shares. A placement demands the record of each share that it
// places in; with so many, one that reaches into all of them stays within the conditions
// of a transaction (docs/shards.md). It must never change: it decides which share a
// machine belongs to.
const Count = 32

// Time is a moment on the steady clock of the process.
type Time time.Duration

// Of is the share that a machine belongs to.
func Of(machine wire.MachineID) wire.ShardID {
	return wire.ShardID(xxhash.Sum64String(string(machine)) % Count)
}

// Valid reports whether there is such a share.
func Valid(id wire.ShardID) bool { return id >= 0 && id < Count }

// affinity orders controllers for a share, or shares for a controller, at random but
// alike for everybody (rendezvous hashing).
func affinity(label string, id wire.ShardID) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(label) // writing to a digest cannot fail
	_, _ = digest.Write([]byte{0, byte(id)})
	return digest.Sum64()
}
