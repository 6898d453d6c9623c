package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"lilacrill/internal/httpcall"
	"lilacrill/internal/simulation"
	"lilacrill/wire"
)

// soakUsers are users that submit jobs, poll, cancel and repeat submissions while faults last and
// afterwards.
type soakUsers struct {
	*loadCluster

	mu       sync.Mutex
	random   *rand.Rand
	accepted []wire.JobSpec
	services []wire.JobSpec // that are not cancelled yet
}

const (
	soakJobPause = 250 * time.Millisecond // between two submissions in the mean
	// soakCancelShare is the share of the jobs that are cancelled, and soakCancelDelay bounds the
	// time from their acceptance until then.
	soakCancelShare = 0.15
	soakCancelDelay = 6 * time.Second
	soakMaxRuntime  = 5 * time.Second
	soakServices    = 6
	// everywherePause is the time between two questions that are asked at all controllers at once.
	everywherePause = 100 * time.Millisecond
	// everywhereRecent is the number of the latest jobs of which one is asked about everywhere, every
	// other time.
	everywhereRecent = 12
)

func (u *soakUsers) draw(limit int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.IntN(limit)
}

// submitJobs submits jobs of all shapes until stop is closed.
func (u *soakUsers) submitJobs(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(u.draw(int(2 * soakJobPause)))):
		}
		u.startSoakUser(u.newSoakJob(n))
	}
}

// newSoakJob returns a job. The first jobs are services.
func (u *soakUsers) newSoakJob(n int) wire.JobSpec {
	spec := u.newArrayJob(1 + u.draw(u.size.arrayTasks))
	switch {
	case n < soakServices:
		spec.Shape, spec.Priority, spec.RuntimeS = wire.ShapeService, wire.PriorityCritical, 0
		spec.Tasks = 2 + u.draw(4)
	case n%5 == 4:
		spec.Shape, spec.Priority, spec.Tasks = wire.ShapeGang, wire.PriorityHigh, 1+u.draw(3)
	case n%7 == 6:
		spec.Zone = u.size.zones[u.draw(len(u.size.zones))]
	}
	return spec
}

// startSoakUser starts a user that submits a job and polls it until the cluster ends. Some cancel it.
func (u *soakUsers) startSoakUser(spec wire.JobSpec) {
	runtime := time.Duration(0)
	if spec.Shape != wire.ShapeService {
		runtime = time.Duration(u.draw(int(soakMaxRuntime))) + time.Millisecond
	}
	u.workers.SetRuntime(spec.ID, runtime)
	u.history.RecordSubmission(spec)
	cancelAfter := time.Duration(u.draw(int(soakCancelDelay)))
	cancels := spec.Shape != wire.ShapeService && float64(u.draw(1000))/1000 < soakCancelShare
	u.users.Go(func() {
		user := u.newBalancedUser()
		defer user.close()
		if !user.submit(spec) {
			return
		}
		u.noteAccepted(spec)
		if cancels {
			u.users.Go(func() {
				u.sleep(cancelAfter)
				u.cancel(spec.ID)
			})
		}
		for u.ctx.Err() == nil {
			u.sleep(time.Duration(u.pollInterval.Load()))
			user.ask(spec.ID)
		}
	})
}

func (u *soakUsers) noteAccepted(spec wire.JobSpec) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.accepted = append(u.accepted, spec)
	if spec.Shape == wire.ShapeService {
		u.services = append(u.services, spec)
	}
}

// cancel requests the cancellation of a job through the load balancer until it is confirmed or the
// job is done.
func (u *soakUsers) cancel(id wire.JobID) {
	user := u.newBalancedUser()
	defer user.close()
	u.history.Record(simulation.HistoryEvent{Kind: simulation.CancelRequested, Job: id})
	for u.ctx.Err() == nil {
		var status wire.JobStatus
		askedAt := time.Now()
		code := user.call(http.MethodPost, "/work/"+string(id)+"/cancel", struct{}{}, submitTimeout, &status)
		if u.recordAnswer(id, askedAt, code, status) {
			return
		}
		u.sleep(minUserRetryDelay)
	}
}

// cancelServices cancels all services.
func (u *soakUsers) cancelServices() {
	u.mu.Lock()
	services := u.services
	u.services = nil
	u.mu.Unlock()
	for _, spec := range services {
		u.users.Go(func() { u.cancel(spec.ID) })
	}
}

// askEverywhere asks all controllers at once about an accepted job, again and again. One in three
// questions is a repeated submission.
func (u *soakUsers) askEverywhere() {
	clients := make([]*httpcall.Client, u.size.controllers)
	for i, endpoint := range u.network.forUsers {
		clients[i] = httpcall.New(endpoint.addr, 4, time.Minute)
	}
	defer func() {
		for _, client := range clients {
			client.Close()
		}
	}()
	for u.ctx.Err() == nil {
		u.sleep(everywherePause)
		spec, ok := u.drawAccepted()
		if !ok {
			continue
		}
		repeats := u.draw(3) == 0
		for _, client := range clients {
			u.users.Go(func() { u.askAt(client, spec, repeats) })
		}
	}
}

// drawAccepted returns an accepted job, every other time one of the latest.
func (u *soakUsers) drawAccepted() (wire.JobSpec, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.accepted) == 0 {
		return wire.JobSpec{}, false
	}
	from := 0
	if u.random.IntN(2) == 0 {
		from = max(0, len(u.accepted)-everywhereRecent)
	}
	return u.accepted[from+u.random.IntN(len(u.accepted)-from)], true
}

// askAt asks one controller about a job, by a poll or by a repeated submission.
func (u *soakUsers) askAt(client *httpcall.Client, spec wire.JobSpec, repeats bool) {
	method, path, timeout := http.MethodGet, "/work/"+string(spec.ID), pollTimeout
	var body any
	if repeats {
		method, path, timeout, body = http.MethodPost, "/work", submitTimeout, submissionBody(spec)
	}
	var status wire.JobStatus
	askedAt := time.Now()
	code, err := client.Call(method, path, body, timeout, map[int]any{http.StatusOK: &status, http.StatusCreated: &status})
	if err != nil {
		code = 0
	}
	if repeats && (code == http.StatusBadRequest || code == http.StatusUnprocessableEntity) {
		code = http.StatusNotFound // the repeated submission of an accepted job is refused: it is lost
	}
	u.recordAnswer(spec.ID, askedAt, code, status)
}
