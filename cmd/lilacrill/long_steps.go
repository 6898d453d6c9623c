package main

import (
	"fmt"
	"log/slog"
	"time"

	"lilacrill/internal/controller"
)

const (
	// longStep is the duration above which a step of the event loop is logged.
	longStep = 250 * time.Millisecond
	// longStepLogInterval is the shortest time between two log lines about long steps.
	longStepLogInterval = 10 * time.Second
)

// longSteps collects the steps of the event loop that took long, and logs the longest of them at
// intervals. An overloaded process would otherwise log several lines a second.
type longSteps struct {
	count   int // since the last log line
	longest time.Duration
	input   string // type of the input of the longest
	nextLog time.Time
}

// add adds a step that began at the given time and took longer than longStep, and logs the steps since
// the last log line if one is due.
func (s *longSteps) add(log *slog.Logger, now time.Time, input controller.Input, took time.Duration) {
	s.count++
	if took > s.longest {
		s.longest, s.input = took, fmt.Sprintf("%T", input)
	}
	if now.Before(s.nextLog) {
		return
	}
	log.Info("step of the event loop took long", "input", s.input, "took", s.longest, "count", s.count)
	*s = longSteps{nextLog: now.Add(longStepLogInterval)}
}
