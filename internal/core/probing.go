package core

import (
	"time"

	"lilacrill/internal/config"
)

// Direct calls to workers cost more than anything else that a controller does for a
// single machine: most take a new connection. When a controller ended, hundreds of
// workers came to the next within seconds, and when a zone was cut off, each of its
// machines was asked once a second for as long as that lasted: a controller with a
// small share of a processor then had little left for its users.

const (
	// arrivalsProbedAtOnce is how many of the workers that come to this controller
	// between two looks at the machines are asked at once.
	arrivalsProbedAtOnce = 4
	// controllerSilence is how long a sibling must not have been heard for its workers
	// to count as on their way to others.
	controllerSilence = heartbeatEvery + heartbeatEvery/2
	// maxProbePause is the longest pause between two calls to a machine that leaves
	// them unanswered.
	maxProbePause = 10 * time.Second
)

// probeArrival has a worker asked that has come to this controller: it may have come
// because nothing reaches it, or what came may be a late copy of a report that it sent
// long ago. Where many come at once, their next report shows as much at no cost: a
// worker that had no answer would go on to another controller. Only one whose next
// report does not come in time is asked then.
func (c *Core) probeArrival(m *machine) {
	if m.requestingReport || m.gone {
		return
	}
	c.arrivals++
	if c.arrivals <= arrivalsProbedAtOnce && c.mayAsk() {
		m.probeAt = 0
		c.requestReport(m)
		return
	}
	next := config.Seconds(1.25 * c.settings.Cluster.Workers.ReportS)
	m.probeAt = c.now.Add(max(workerPatience, next) + nextLookEvery)
}

// losesController reports whether the controller that a machine reports to is not
// heard: then the worker is on its way to another, and asking would only tell what its
// report is about to say.
func (c *Core) losesController(m *machine) bool {
	if m.reportsTo == c.settings.Label {
		return false
	}
	p := c.peers[m.reportsTo]
	return p == nil || c.now.Sub(p.heard) > controllerSilence
}

// probeDue reports whether a worker that came some time ago is to be asked now.
func (m *machine) probeDue(now Time) bool { return m.probeAt != 0 && now >= m.probeAt }

// probePause is how long a machine is left alone once it was asked. Two calls without
// an answer are all that any decision needs; after them the pause doubles. A machine
// that goes on reports by itself.
func (m *machine) probePause() time.Duration {
	pause := reportRequestRetry
	for range m.unansweredRequests - 1 {
		if pause *= 2; pause >= maxProbePause {
			return maxProbePause
		}
	}
	return pause
}
