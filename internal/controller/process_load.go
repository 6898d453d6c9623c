package controller

import "time"

const (
	// answerBound is the time, as users state it, in which at least one poll must be answered
	// while nothing is wrong.
	answerBound = 75 * time.Second
	// pollRefusalPause is the time without refused polls after which the server counts as no
	// longer refusing them.
	pollRefusalPause = 10 * time.Second
	// loadReviewInterval is the interval at which the load of the process is looked at.
	loadReviewInterval = time.Second
)

// ProcessLoad describes the load of the process that runs the controller. The controller reports it
// to operators and checks it, but decides nothing by it.
type ProcessLoad struct {
	InboundConnections int // open connections from users, workers and health checks
	QueuedRequests     int // requests of users and operators that wait for the event loop
	QueuedHeartbeats   int // heartbeats that wait for the event loop
	Polls              PollCounts
}

// PollCounts counts the polls since the start of the process. A poll is unanswered if its response
// has a status other than 200 and 404.
type PollCounts struct {
	Answered   uint64
	Unanswered [PollRefusals]uint64
}

// PollRefusal is a reason for which a poll is unanswered.
type PollRefusal int

// The reasons of PollRefusal. PollRefusals is their number.
const (
	// RefusedForConnections: too many connections are open.
	RefusedForConnections PollRefusal = iota
	// RefusedForRequests: too many requests of users are in progress.
	RefusedForRequests
	// RefusedForQueue: the event loop's queue is full.
	RefusedForQueue
	// RefusedForTime: the controller did not decide in time.
	RefusedForTime
	// RefusedByController: the controller cannot decide (see Unavailability).
	RefusedByController
	PollRefusals
)

// String returns the name of the reason in the log and in the names of counters.
func (r PollRefusal) String() string {
	return [PollRefusals]string{"connections", "requests", "queue", "timeout", "controller"}[r]
}

// total returns the number of unanswered polls.
func (p *PollCounts) total() uint64 {
	var sum uint64
	for _, count := range p.Unanswered {
		sum += count
	}
	return sum
}

// loadReport is what was reported of the load of the process.
type loadReport struct {
	last       ProcessLoad
	nextReview Time

	refusing      bool
	lastRefusedAt Time
	// unansweredSince is when the first poll was refused since the last one was answered, or
	// since this controller became able to answer; 0 if there is none.
	unansweredSince Time
	violated        bool // the violation of the present spell is reported
}

// reviewProcessLoad reports the load of the process and checks that polls are answered while this
// controller can decide them.
func (c *Controller) reviewProcessLoad(load ProcessLoad) {
	if !c.isDue(c.load.nextReview) {
		return
	}
	c.load.nextReview = c.now.Add(loadReviewInterval)
	c.metrics.set(gaugeInboundConnections, load.InboundConnections)
	c.metrics.set(gaugeQueuedRequests, load.QueuedRequests)
	c.metrics.set(gaugeQueuedHeartbeats, load.QueuedHeartbeats)
	for reason := range PollRefusals {
		c.metrics.set(gaugePollsUnanswered+reason.String(), int(load.Polls.Unanswered[reason]))
	}
	c.logPollRefusals(load)
	c.checkPollsAnswered(load)
	c.load.last = load
}

// logPollRefusals logs when polls begin to be refused and when that is over.
func (c *Controller) logPollRefusals(load ProcessLoad) {
	refused := false
	for reason := range PollRefusals {
		count := load.Polls.Unanswered[reason] - c.load.last.Polls.Unanswered[reason]
		if count == 0 {
			continue
		}
		refused = true
		if !c.load.refusing {
			c.log.Info("refusing polls", "reason", reason.String(), "count", count, "inbound_connections", load.InboundConnections,
				"queued_requests", load.QueuedRequests, "queued_heartbeats", load.QueuedHeartbeats, "unavailable", string(c.Unavailability()), "healthy", c.Healthy())
		}
	}
	switch {
	case refused:
		c.load.refusing, c.load.lastRefusedAt = true, c.now
	case c.load.refusing && c.now.Sub(c.load.lastRefusedAt) > pollRefusalPause:
		c.load.refusing = false
		c.log.Info("no longer refusing polls", "inbound_connections", load.InboundConnections)
	}
}

// checkPollsAnswered reports a violation of the invariant that, while this controller can decide
// users' requests, it does not refuse every poll for as long as answerBound.
func (c *Controller) checkPollsAnswered(load ProcessLoad) {
	switch {
	case c.Unavailability() != Available || c.load.unansweredSince != 0 && c.resumedAt > c.load.unansweredSince || load.Polls.Answered > c.load.last.Polls.Answered:
		c.load.unansweredSince, c.load.violated = 0, false
	case load.Polls.total() == c.load.last.Polls.total():
	case c.load.unansweredSince == 0:
		c.load.unansweredSince = c.now
	case !c.load.violated && c.now.Sub(c.load.unansweredSince) >= answerBound:
		c.load.violated = true
		c.metrics.count(countInvariantViolations, 1)
		c.log.Error("invariant violated: polls are refused although this controller can decide them",
			"for", c.now.Sub(c.load.unansweredSince), "inbound_connections", load.InboundConnections, "healthy", c.Healthy())
	}
}
