package controller

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lilacrill/wire"
)

// metrics counts what a person needs to find a cause.
type metrics struct {
	counts map[string]uint64
	times  map[string]*hdrhistogram.Histogram
}

// The names of the counts and times.
const (
	countAccepted             = "jobs_accepted"
	countRefused              = "requests_refused"
	countCompleted            = "jobs_done"
	countCancelled            = "jobs_withdrawn"
	countCommits              = "commits"
	countWritten              = "values_written"
	countPeerMessages         = "lines_told"
	countConflicts            = "commit_conflicts"
	countPlacementBackoffs    = "placements_busy"
	countPlaced               = "tasks_placed"
	countRelaxed              = "preferred_relaxed"
	countPreempted            = "tasks_preempted"
	countCrashLoops           = "jobs_failing_everywhere"
	countLaunchRetries        = "launches_resent"
	countFences               = "fences"
	countTakeOvers            = "take_overs"
	countStoreRefused         = "state_calls_refused"
	countStoreUnanswered      = "state_calls_unanswered"
	countCloudRefused         = "cloud_calls_refused"
	countCloudUnanswered      = "cloud_calls_unanswered"
	countProvisioned          = "machines_rented"
	countNoCapacity           = "hires_without_capacity"
	countPeerRedirects        = "workers_sent_on"
	countProbes               = "workers_asked"
	countRenewalsSuspended    = "answers_held_back_spells"
	countPasses               = "planning_passes"
	countPagesReviewed        = "records_searched_for_proofs"
	countLagging              = "spells_behind"
	countTerminatedUnrecorded = "machines_returned_unwritten"
	countOwnerRedirects       = "workers_redirected"
	countJobsForwarded        = "jobs_handed_on"
	countShardActions         = "shares_" // + what was done
	countShardConflicts       = "share_changes_lost"
	countTerminated           = "machines_returned_" // + why

	latencyAdmission = "acceptance"
	latencyJobStart  = "job_start"
	latencyCommit    = "commit"
)

// maxLatency is the longest time that is told apart from longer ones.
const maxLatency = time.Hour

func (m *metrics) init() {
	m.counts = map[string]uint64{}
	m.times = map[string]*hdrhistogram.Histogram{}
	for _, name := range []string{latencyAdmission, latencyJobStart, latencyCommit} {
		m.times[name] = hdrhistogram.New(1, maxLatency.Milliseconds(), 2)
	}
}

func (m *metrics) count(name string, n int) { m.counts[name] += uint64(n) }

func (m *metrics) observe(name string, d time.Duration) {
	// The value is cut to what the histogram holds, so recording cannot fail.
	_ = m.times[name].RecordValue(min(max(d, time.Millisecond), maxLatency).Milliseconds())
}

// countFailure counts calls that did not go through.
func (m *metrics) countFailure(o Outcome, refused, lost string) {
	switch o {
	case NotExecuted:
		m.count(refused, 1)
	case Unknown:
		m.count(lost, 1)
	}
}

func (m *metrics) view() wire.AdminMetrics {
	v := wire.AdminMetrics{Counts: map[string]uint64{}, Times: map[string]wire.AdminLatency{}}
	for name, n := range m.counts {
		v.Counts[name] = n
	}
	for name, h := range m.times {
		v.Times[name] = wire.AdminLatency{Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90),
			P99: h.ValueAtQuantile(99), Max: h.Max()}
	}
	return v
}
