package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"lilacrill/internal/simulation"
	"lilacrill/wire"
)

const (
	// pollTimeout and submitTimeout are how long users wait for a response.
	pollTimeout   = 2 * time.Second
	submitTimeout = 5 * time.Second
	// minUserRetryDelay is the shortest time until a user repeats a request.
	minUserRetryDelay = time.Second
)

// balancedUser is a user who reaches the controllers through the load balancer. It keeps its
// connection from one request to the next for as long as the controller does.
type balancedUser struct {
	cluster *loadCluster
	client  *http.Client
}

func (l *loadCluster) newBalancedUser() *balancedUser {
	transport := &http.Transport{DialContext: l.balancer.DialContext, MaxConnsPerHost: 1}
	return &balancedUser{cluster: l, client: &http.Client{Transport: transport}}
}

// close closes the user's connection.
func (u *balancedUser) close() { u.client.CloseIdleConnections() }

// call sends a request, at any controller, and returns the HTTP status of the response, or 0 if none
// arrived. The body of a response with status 200 or 201 is decoded into status.
func (u *balancedUser) call(method, path string, body any, timeout time.Duration, status *wire.JobStatus) int {
	ctx, cancel := context.WithTimeout(u.cluster.ctx, timeout)
	defer cancel()
	var encoded []byte
	if body != nil {
		encoded, _ = json.Marshal(body) // the body consists of encodable types
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://balancer"+path, bytes.NewReader(encoded))
	if err != nil {
		return 0
	}
	response, err := u.client.Do(request)
	if err != nil {
		return 0
	}
	text, err := io.ReadAll(response.Body)
	if closeErr := response.Body.Close(); err != nil || closeErr != nil {
		return 0
	}
	if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusCreated {
		if json.Unmarshal(text, status) != nil {
			return 0
		}
	}
	return response.StatusCode
}

// ask polls a job once, records the outcome in the history, and reports whether the job has ended.
func (u *balancedUser) ask(id wire.JobID) (ended bool) {
	var status wire.JobStatus
	askedAt := time.Now()
	code := u.call(http.MethodGet, "/work/"+string(id), nil, pollTimeout, &status)
	return u.cluster.recordAnswer(id, askedAt, code, status)
}

// recordAnswer records the answer to a user's question about an accepted job, and reports whether
// the answer says that the job has ended.
func (l *loadCluster) recordAnswer(id wire.JobID, askedAt time.Time, code int, status wire.JobStatus) (ended bool) {
	l.pollCount.Add(1)
	switch code {
	case http.StatusOK, http.StatusCreated:
		l.pollLatency.record(time.Since(askedAt))
		l.history.Record(simulation.HistoryEvent{Kind: simulation.StatusReported, Job: id, Status: status.Status, RequestedAt: askedAt})
		return status.Status.IsTerminal()
	case http.StatusNotFound:
		l.history.Record(simulation.HistoryEvent{Kind: simulation.JobNotFound, Job: id, RequestedAt: askedAt})
	default:
		if l.ctx.Err() == nil { // otherwise the test has ended the request
			l.pollsUnanswered.Add(1)
			l.history.Record(simulation.HistoryEvent{Kind: simulation.QuestionUnanswered, Job: id, RequestedAt: askedAt})
		}
	}
	return false
}

// submit submits a job, and repeats the submission until the job is accepted. It reports whether it
// was, which is false only if the cluster ended before.
func (u *balancedUser) submit(spec wire.JobSpec) bool {
	for u.cluster.ctx.Err() == nil {
		var status wire.JobStatus
		sentAt := time.Now()
		code := u.call(http.MethodPost, "/work", submissionBody(spec), submitTimeout, &status)
		if code == http.StatusOK || code == http.StatusCreated {
			u.cluster.submissionsAccepted.Add(1)
			u.cluster.history.Record(simulation.HistoryEvent{Kind: simulation.StatusReported, Job: spec.ID, Status: status.Status, RequestedAt: sentAt})
			return true
		}
		u.cluster.submissionsRefused.Add(1)
		u.cluster.sleep(minUserRetryDelay)
	}
	return false
}

// startBalancedUser starts a user that submits a job whose tasks run for the given time, and polls it
// until it has ended.
func (l *loadCluster) startBalancedUser(spec wire.JobSpec, runtime time.Duration) {
	l.workers.SetRuntime(spec.ID, runtime)
	l.history.RecordSubmission(spec)
	l.users.Go(func() {
		user := l.newBalancedUser()
		defer user.close()
		if !user.submit(spec) {
			return
		}
		for ended := false; !ended && l.ctx.Err() == nil; {
			l.sleep(time.Duration(l.pollInterval.Load()))
			ended = user.ask(spec.ID)
		}
	})
}
