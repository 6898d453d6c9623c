package main

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// latency is a histogram that several users fill.
type latency struct {
	mu    sync.Mutex
	times *hdrhistogram.Histogram
}

const longestLatency = 5 * time.Minute

func (l *latency) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.times == nil {
		l.times = hdrhistogram.New(1, longestLatency.Microseconds(), 3)
	}
	_ = l.times.RecordValue(min(d, longestLatency).Microseconds()) // within its bounds
}

// take returns what was recorded and begins anew.
func (l *latency) take() *hdrhistogram.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	times := l.times
	l.times = nil
	if times == nil {
		times = hdrhistogram.New(1, longestLatency.Microseconds(), 3)
	}
	return times
}
