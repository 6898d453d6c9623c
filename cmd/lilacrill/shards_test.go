package main

import (
	"testing"
	"time"
)

// TestShardsShuffled runs real controllers over loopback under load, moves shards all the time
// and kills and freezes controllers. Every job runs exactly once, no move stops a running
// task, and no two controllers schedule on a machine in one epoch of its shard.
func TestShardsShuffled(t *testing.T) {
	size := upgradeLoad
	size.services = 0 // critical jobs may preempt others
	s := startShuffledCluster(t, size, 3)
	s.run(t, 200, 60*time.Millisecond, 4)
}

// BenchmarkShardsShuffled is TestShardsShuffled with some thousands of jobs. Run it with
// -benchtime=1x.
func BenchmarkShardsShuffled(b *testing.B) {
	for b.Loop() {
		size := upgradeLoad
		size.services, size.workers, size.teamLimit = 0, 240, 400
		s := startShuffledCluster(b, size, 5)
		s.run(b, 3000, 40*time.Millisecond, 24)
	}
}
