package main

import (
	"testing"
	"time"
)

// TestSharesShuffled runs real controllers over loopback under load, shuffles the shares all
// the time and kills and freezes controllers. Every job runs exactly once, nothing running
// is stopped by a move, and no machine is placed on by two controllers under one epoch.
func TestSharesShuffled(t *testing.T) {
	size := upgradeLoad
	size.services = 0 // critical work may have others stopped
	s := startShuffled(t, size, 3)
	s.play(t, 200, 60*time.Millisecond, 4)
}

// BenchmarkSharesShuffled is TestSharesShuffled with some thousands of jobs. Run it with
// -benchtime=1x.
func BenchmarkSharesShuffled(b *testing.B) {
	for b.Loop() {
		size := upgradeLoad
		size.services, size.workers, size.teamLimit = 0, 240, 400
		s := startShuffled(b, size, 5)
		s.play(b, 3000, 40*time.Millisecond, 24)
	}
}
