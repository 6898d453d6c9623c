package controller

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lilacrill/wire"
)

// metrics holds the counters and latencies that operators see, by name.
type metrics struct {
	counts map[string]uint64
	times  map[string]*hdrhistogram.Histogram // in milliseconds
}

// Names of the counters and latencies. They are part of the administration API and must not
// change.
const (
	countJobsAccepted                 = "jobs_accepted"
	countRequestsRefused              = "requests_refused"
	countJobsCompleted                = "jobs_done"
	countJobsCancelled                = "jobs_withdrawn"
	countCommits                      = "commits"
	countValuesWritten                = "values_written"
	countPeerMessages                 = "lines_told"
	countCommitConflicts              = "commit_conflicts"
	countPlacementBackoffs            = "placements_busy"
	countTasksPlaced                  = "tasks_placed"
	countAffinityRelaxed              = "preferred_relaxed"
	countTasksPreempted               = "tasks_preempted"
	countReservationsReleased         = "reservations_released"
	countCrashLoops                   = "jobs_failing_everywhere"
	countLaunchRetries                = "launches_resent"
	countFencesRaised                 = "fences"
	countAllocationTakeOvers          = "take_overs"
	countStoreRefused                 = "state_calls_refused"
	countStoreUnanswered              = "state_calls_unanswered"
	countCloudRefused                 = "cloud_calls_refused"
	countCloudUnanswered              = "cloud_calls_unanswered"
	countMachinesProvisioned          = "machines_rented"
	countNoCapacity                   = "hires_without_capacity"
	countPeerRedirects                = "workers_sent_on"
	countProbes                       = "workers_asked"
	countWorkerRestarts               = "workers_restarted"
	countRenewalsSuspended            = "answers_held_back_spells"
	countSchedulingPasses             = "planning_passes"
	countPagesReviewed                = "records_searched_for_proofs"
	countLagPeriods                   = "spells_behind"
	countMachinesTerminatedUnrecorded = "machines_returned_unwritten"
	countOwnerRedirects               = "workers_redirected"
	countJobsForwarded                = "jobs_handed_on"
	countShardActions                 = "shares_" // followed by the kind of action
	countShardConflicts               = "share_changes_lost"
	countMachinesTerminated           = "machines_returned_" // followed by the reason
	countHealthChanges                = "health_changes"
	countInvariantViolations          = "invariant_violations"
	countLoads                        = "loads"
	countLoadsFailed                  = "loads_failed"
	countBarriersFailed               = "barriers_failed"
	countHeartbeatsAnswered           = "heartbeats_answered"
	countHeartbeatsRefused            = "heartbeats_refused_" // followed by the reason
	countLaunches                     = "launches_commanded"
	countLaunchesRefused              = "launches_refused_" // followed by the reason
	countStops                        = "stops_commanded_"  // followed by the reason

	gaugeInboundConnections = "connections_inbound"
	gaugeQueuedRequests     = "requests_queued"
	gaugeQueuedHeartbeats   = "heartbeats_queued"
	gaugePollsUnanswered    = "polls_unanswered_" // followed by the reason
	gaugeLoadDuration       = "load_last_ms"

	latencyAdmission = "acceptance"
	latencyJobStart  = "job_start"
	latencyCommit    = "commit"
)

// maxLatency is the longest latency that is recorded. Longer ones count as maxLatency.
const maxLatency = time.Hour

func (m *metrics) init() {
	m.counts = map[string]uint64{}
	m.times = map[string]*hdrhistogram.Histogram{}
	for _, name := range []string{latencyAdmission, latencyJobStart, latencyCommit} {
		m.times[name] = hdrhistogram.New(1, maxLatency.Milliseconds(), 2)
	}
}

// count adds n to a counter.
func (m *metrics) count(name string, n int) { m.counts[name] += uint64(n) }

// set sets a counter that shows a present value.
func (m *metrics) set(name string, value int) { m.counts[name] = uint64(value) }

// observe adds an observation to a latency.
func (m *metrics) observe(name string, latency time.Duration) {
	// The value is clamped to the range of the histogram, so recording cannot fail.
	_ = m.times[name].RecordValue(min(max(latency, time.Millisecond), maxLatency).Milliseconds())
}

// countFailure counts a failed call, in the counter refused if the call was not executed, and in
// the counter unanswered if that is unknown.
func (m *metrics) countFailure(outcome Outcome, refused, unanswered string) {
	switch outcome {
	case NotExecuted:
		m.count(refused, 1)
	case Unknown:
		m.count(unanswered, 1)
	}
}

// view returns the metrics as shown by the administration API.
func (m *metrics) view() wire.AdminMetrics {
	view := wire.AdminMetrics{Counts: map[string]uint64{}, Times: map[string]wire.AdminLatency{}}
	for name, n := range m.counts {
		view.Counts[name] = n
	}
	for name, histogram := range m.times {
		view.Times[name] = wire.AdminLatency{
			Count: histogram.TotalCount(),
			P50:   histogram.ValueAtQuantile(50),
			P90:   histogram.ValueAtQuantile(90),
			P99:   histogram.ValueAtQuantile(99),
			Max:   histogram.Max(),
		}
	}
	return view
}
