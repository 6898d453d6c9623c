// Package shard divides the machines among the controllers. The ID of a machine determines its
// shard. A shard is owned by one process of a controller, and only this process may schedule tasks
// on the machines of the shard. The package caches the records of the shards, decides which changes
// this controller should make to them (failover, handover, adoption, rebalancing), and returns the
// transactions for these changes. Like package controller, it uses no clock, no sockets and no
// goroutines.
package shard

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lilacrill/wire"
)

// Count is the number of shards. It must never change, since it determines to which shard a machine
// belongs. A placement transaction has a condition on the record of each shard in which it places
// tasks. With this number of shards, a placement in all of them stays within the limit of
// conditions per transaction (docs/shards.md).
const Count = 32

// Time is a point in time on the monotonic clock, as the time since the start of the process.
type Time time.Duration

// Of returns the shard to which a machine belongs.
func Of(machine wire.MachineID) wire.ShardID {
	return wire.ShardID(xxhash.Sum64String(string(machine)) % Count)
}

// Valid reports whether id is the number of a shard.
func Valid(id wire.ShardID) bool { return id >= 0 && id < Count }

// affinity returns the rendezvous hash of a controller and a shard. It orders controllers for a
// shard, or shards for a controller, pseudo-randomly but identically in all processes.
func affinity(label string, id wire.ShardID) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(label) // writing to a digest cannot fail
	_, _ = digest.Write([]byte{0, byte(id)})
	return digest.Sum64()
}
