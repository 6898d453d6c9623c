// Package standin holds the stand-ins of the review's cases: the state service, the cloud, workers
// and users, each as the project's protocol describes it, and the means to start controllers as
// processes. Every address is a loopback address.
package standin

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Record writes what was sent, answered and run, one line for each event, with the time since the
// start of the case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Add writes one line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := strings.ReplaceAll(fmt.Sprintf(format, args...), "\n", " ")
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), line)
}

// Say writes one line and prints it as well.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// bucket is a token bucket.
type bucket struct {
	rate, burst, tokens float64
	at                  time.Time
}

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, tokens: burst, at: time.Now()}
}

// take takes n tokens and reports whether there were as many.
func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}
