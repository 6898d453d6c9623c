package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lilacrill/wire"
)

// CheckAnswered returns the violations of the rule that, once all faults are over at the time from,
// no accepted job has only unanswered questions for as long as limit.
func (h *History) CheckAnswered(from time.Time, limit time.Duration) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	unansweredSince := map[wire.JobID]time.Time{}
	longest := map[wire.JobID]time.Duration{}
	for _, event := range h.events {
		switch event.Kind {
		case StatusReported, JobNotFound:
			delete(unansweredSince, event.Job)
		case QuestionUnanswered:
			if event.RequestedAt.Before(from) {
				continue
			}
			if _, known := unansweredSince[event.Job]; !known {
				unansweredSince[event.Job] = event.RequestedAt
			}
			longest[event.Job] = max(longest[event.Job], event.At.Sub(unansweredSince[event.Job]))
		}
	}
	var violations []string
	for id, duration := range longest {
		if duration >= limit {
			violations = append(violations, fmt.Sprintf("%s was forgotten: no question was answered for %v", id, duration.Round(time.Second)))
		}
	}
	slices.Sort(violations)
	return violations
}

// OpenJobs returns the accepted jobs of which no terminal status has been reported.
func (h *History) OpenJobs() []wire.JobID {
	h.mu.Lock()
	defer h.mu.Unlock()
	open, ended := map[wire.JobID]bool{}, map[wire.JobID]bool{}
	for _, event := range h.events {
		if event.Kind == StatusReported {
			open[event.Job] = true
			ended[event.Job] = ended[event.Job] || event.Status.IsTerminal()
		}
	}
	maps.DeleteFunc(open, func(id wire.JobID, _ bool) bool { return ended[id] })
	return slices.Sorted(maps.Keys(open))
}

// AnsweredSince returns about how many of the given jobs a question that was asked at or after the
// time from has been answered.
func (h *History) AnsweredSince(from time.Time, jobs []wire.JobID) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	answered := map[wire.JobID]bool{}
	for _, event := range h.events {
		if event.Kind == StatusReported && !event.RequestedAt.Before(from) {
			answered[event.Job] = true
		}
	}
	count := 0
	for _, id := range jobs {
		if answered[id] {
			count++
		}
	}
	return count
}
