package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"lilacrill/internal/httpcall"
	"lilacrill/internal/simulation"
	"lilacrill/wire"
)

func (l *loadCluster) submitServices() {
	for n := range l.size.services {
		spec := l.newJob(wire.ShapeService, wire.PriorityCritical, []int{3, 6, 8, 9}[n%4])
		spec.Image = fmt.Sprint("service-", n%12)
		l.startUser(spec, 0)
	}
}

// submitArrays submits arrays at regular intervals for the duration d.
func (l *loadCluster) submitArrays(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(l.size.arrayInterval) {
		l.startUser(l.newArrayJob(l.size.arrayTasks), 25*time.Second)
	}
}

func (l *loadCluster) newArrayJob(tasks int) wire.JobSpec {
	spec := l.newJob(wire.ShapeArray, wire.PriorityNormal, tasks)
	spec.Image = fmt.Sprint("array-", spec.ID[len(spec.ID)-1:])
	return spec
}

func (l *loadCluster) newJob(shape wire.Shape, priority wire.Priority, tasks int) wire.JobSpec {
	number := l.jobs.Add(1)
	return wire.JobSpec{ID: wire.JobID(fmt.Sprintf("wk-%06d", number)), Class: string(shape), Team: fmt.Sprint("team-", number%4), Shape: shape, Priority: priority,
		Tasks: tasks, Cores: 1, MemGB: 2, ImageGB: 1, RuntimeS: 25}
}

// startUser starts a user that submits a job whose tasks run for the given time.
func (l *loadCluster) startUser(spec wire.JobSpec, runtime time.Duration) {
	l.users.Go(func() { l.submitAndPoll(spec, runtime) })
}

// startCancel starts a user that cancels a job after a delay.
func (l *loadCluster) startCancel(id wire.JobID, delay time.Duration) {
	l.users.Go(func() {
		l.sleep(delay)
		l.cancelUntilConfirmed(id)
	})
}

// submitAndPoll acts as a user. It submits a job until the job is accepted, and then polls the job
// until it is finished.
func (l *loadCluster) submitAndPoll(spec wire.JobSpec, runtime time.Duration) {
	l.workers.SetRuntime(spec.ID, runtime)
	l.history.RecordSubmission(spec)
	submitted := time.Now()
	var client *httpcall.Client
	connect := func() {
		if client != nil {
			client.Close()
		}
		client = httpcall.New(l.addrs[rand.IntN(len(l.addrs))], 1, time.Minute)
	}
	connect()
	defer func() { client.Close() }()
	for l.ctx.Err() == nil {
		var s wire.JobStatus
		requestedAt := time.Now()
		status, err := client.Call(http.MethodPost, "/work", submissionBody(spec), 5*time.Second,
			map[int]any{http.StatusCreated: &s, http.StatusOK: &s})
		if err == nil && (status == http.StatusCreated || status == http.StatusOK) {
			l.submissionsAccepted.Add(1)
			l.submissionLatency.record(time.Since(submitted))
			// The response to a retry holds the current status of the job.
			l.history.Record(simulation.HistoryEvent{Kind: simulation.StatusReported, Job: spec.ID, Status: s.Status, RequestedAt: requestedAt})
			break
		}
		l.submissionsRefused.Add(1)
		connect()
		l.sleep(time.Second)
	}
	for l.ctx.Err() == nil {
		l.sleep(time.Duration(l.pollInterval.Load()))
		var s wire.JobStatus
		polledAt := time.Now()
		status, err := client.Call(http.MethodGet, "/work/"+string(spec.ID), nil, 2*time.Second, map[int]any{http.StatusOK: &s})
		l.pollCount.Add(1)
		if err != nil || status != http.StatusOK {
			l.pollsUnanswered.Add(1)
			connect()
			continue
		}
		l.pollLatency.record(time.Since(polledAt))
		l.history.Record(simulation.HistoryEvent{Kind: simulation.StatusReported, Job: spec.ID, Status: s.Status, RequestedAt: polledAt})
		if s.Status.IsTerminal() {
			return
		}
	}
}

// cancelUntilConfirmed acts as a user that requests the cancellation of a job. It repeats the request
// until a response confirms the cancellation or reports that the job is done.
func (l *loadCluster) cancelUntilConfirmed(id wire.JobID) {
	l.history.Record(simulation.HistoryEvent{Kind: simulation.CancelRequested, Job: id})
	for l.ctx.Err() == nil {
		client := httpcall.New(l.addrs[rand.IntN(len(l.addrs))], 1, time.Minute)
		var s wire.JobStatus
		requestedAt := time.Now()
		status, err := client.Call(http.MethodPost, "/work/"+string(id)+"/cancel", struct{}{}, 5*time.Second, map[int]any{http.StatusOK: &s})
		client.Close()
		if err == nil && status == http.StatusOK {
			l.history.Record(simulation.HistoryEvent{Kind: simulation.StatusReported, Job: id, Status: s.Status, RequestedAt: requestedAt})
			return
		}
		l.sleep(500 * time.Millisecond)
	}
}

func (l *loadCluster) sleep(d time.Duration) {
	select {
	case <-l.ctx.Done():
	case <-time.After(d):
	}
}

// submissionBody returns the body of a submission as a user sends it, with every required field.
func submissionBody(spec wire.JobSpec) map[string]any {
	var zone any
	if spec.Zone != "" {
		zone = spec.Zone
	}
	return map[string]any{"yard": zone, "id": spec.ID, "jobclass": spec.Class, "crew": spec.Team, "shape": spec.Shape, "rank": spec.Priority, "loads": spec.Tasks,
		"cores": spec.Cores, "accelerators": 0, "mem_gb": spec.MemGB, "kit": spec.Image, "size_gb": spec.ImageGB, "together": false, "apart": false,
		"loaners": false, "runtime_s": spec.RuntimeS, "savepoint_s": 0, "stash_s": 0}
}

// defaultPollInterval is the interval at which a user polls a job.
const defaultPollInterval = 5 * time.Second
