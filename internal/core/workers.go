package core

import (
	"net/http"
	"time"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// handleReport answers a worker's report.
func (c *Core) handleReport(in Reported) {
	r := in.Report
	if !c.ready {
		c.do(Reply{Request: in.Request, Status: http.StatusServiceUnavailable, Body: wire.ErrorResponse{Error: "starting"}})
		return
	}
	if r.Token > c.token {
		// Somebody raised the token; until we know everything that was written
		// before, we are not entitled to command this worker.
		c.barrier(func(bool) {
			if r.Token > c.token {
				c.sendAway(in.Request)
				return
			}
			c.handleKnownReport(in)
		})
		return
	}
	c.handleKnownReport(in)
}

// handleKnownReport answers a worker that has seen no token which is not known here.
func (c *Core) handleKnownReport(in Reported) {
	r := in.Report
	if !c.mayRenew() || c.mayStillStart(c.machineOf(r.Machine)) {
		// What stands on this worker, or may yet start there, may have been withdrawn
		// so long ago that another lease would keep it alive for too long.
		c.hear(r, true)
		if c.fresherPeer() != "" {
			c.sendAway(in.Request)
			return
		}
		// Refused at once, it would try one controller after the other, a second
		// each, and so would all others. A moment later it may be answered.
		c.timeouts = append(c.timeouts, timeout{c.now.Add(renewPatience), func() {
			if r.Token <= c.token && c.mayRenew() && !c.mayStillStart(c.machineOf(r.Machine)) {
				c.answerWorker(in)
				return
			}
			c.do(Reply{Request: in.Request, Status: http.StatusServiceUnavailable, Body: wire.ErrorResponse{Error: "withdrawals may not be known"}})
		}})
		return
	}
	if !c.stateFresh() && (c.fresherPeer() != "" || c.sendsOn(c.machineOf(r.Machine))) {
		c.hear(r, true)
		c.sendAway(in.Request)
		return
	}
	if !c.redirect(in) {
		c.answerWorker(in)
	}
}

// sendsOn reports whether a worker is to try another controller. One that has
// lost the state service and all its siblings cannot tell whether that is an
// outage, in which its workers' leases hang on it alone, or whether the others
// are well, and nobody can write down what ends here. So each worker is sent on
// once: where others are well it stays with them, and if it comes back, having
// found none, it is kept. It is sent only if its lease lasts for the tour.
func (c *Core) sendsOn(m *machine) bool {
	w := &c.settings.Cluster.Workers
	tour := time.Duration(len(c.settings.Siblings)) * (workerPatience + workerPause)
	if !c.alone() || c.now.Sub(c.stateOK) < aloneAfter || m.sentOn > c.stateOK ||
		tour+config.Seconds(1.25*w.ReportS)+workerPatience > config.Seconds(w.LeaseS) {
		return false
	}
	m.sentOn = c.now
	c.count(countSentOn, 1)
	return true
}

const (
	// renewPatience is how long a worker waits for a controller that cannot answer
	// it now to learn what it lacks.
	renewPatience = 1500 * time.Millisecond
	// aloneAfter is how long the state service and the siblings must be away
	// before workers are sent on.
	aloneAfter = 3 * time.Second
	// workerPatience and workerPause are how long the protocol has a worker wait
	// for an answer, and between two controllers.
	workerPatience = 4 * time.Second
	workerPause    = time.Second
)

func (c *Core) sendAway(r RequestID) {
	c.reply(r, http.StatusMisdirectedRequest, wire.Redirect{Controller: c.fresherPeer()})
}

func (c *Core) answerWorker(in Reported) {
	m := c.machineOf(in.Report.Machine)
	came := m.direct == nil || c.now.Sub(m.heardDirect) > config.Seconds(2*c.settings.Cluster.Workers.ReportS)
	c.hear(in.Report, true)
	if came && !m.requestingReport && !m.gone && c.mayAsk() {
		// It may have come because nothing reaches it, or this may be a late copy
		// of a report that it sent long ago.
		c.requestReport(m)
	}
	var orders []wire.Command
	// A report that is older than one we know was held up on its way: orders
	// that follow from it could repeat what is over.
	if m.newest == in.Report {
		orders = append(c.ordersFor(m), c.clears(m)...)
	} else {
		orders = c.stopsOf(m) // the answer may renew the lease all the same
	}
	c.reply(in.Request, http.StatusOK, wire.HeartbeatResponse{Token: c.token, Commands: orders})
}
