package main

import (
	"testing"
	"time"
)

// TestShardsShuffled runs controller processes on loopback addresses under load, moves shards
// continuously, and kills and freezes controllers. Every job must run exactly once, no move may stop
// a running task, and no two controllers may schedule on a machine in the same epoch of its shard.
func TestShardsShuffled(t *testing.T) {
	size := upgradeLoad
	size.services = 0 // services have critical priority and may preempt other jobs
	s := startShuffledCluster(t, size, 3)
	s.run(t, 200, 60*time.Millisecond, 4)
}

// BenchmarkShardsShuffled runs the scenario of TestShardsShuffled with several thousand jobs. Run it
// with -benchtime=1x.
func BenchmarkShardsShuffled(b *testing.B) {
	for b.Loop() {
		size := upgradeLoad
		size.services, size.workers, size.teamLimit = 0, 240, 400
		s := startShuffledCluster(b, size, 5)
		s.run(b, 3000, 40*time.Millisecond, 24)
	}
}
