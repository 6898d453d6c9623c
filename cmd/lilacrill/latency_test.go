package main

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// latencyHistogram is a histogram of latencies that is safe for concurrent use.
type latencyHistogram struct {
	mu    sync.Mutex
	times *hdrhistogram.Histogram // in microseconds
}

// maxLatency is the upper bound of a histogram. A longer latency is recorded as maxLatency.
const maxLatency = 5 * time.Minute

func (l *latencyHistogram) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.times == nil {
		l.times = hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	}
	_ = l.times.RecordValue(min(d, maxLatency).Microseconds()) // within the bounds, so there is no error
}

// take returns the histogram of the latencies recorded so far and starts a new one.
func (l *latencyHistogram) take() *hdrhistogram.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	times := l.times
	l.times = nil
	if times == nil {
		times = hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	}
	return times
}
