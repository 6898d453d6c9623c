package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// answerLimit is the longest time, once all faults are over, in which no question about an accepted
// job is answered.
const answerLimit = 75 * time.Second

// gatheringLoad is the size of a cluster in which all workers together take more connections than
// those above which a controller refuses users, as 4,000 workers do with a quota of 5,000 sockets.
var gatheringLoad = loadSize{controllers: 3, workers: 240, zones: []string{"a", "b", "c"}, reportS: 1, leaseS: 20, cancelS: 40,
	quota: config.Quota{CoreShare: 1, MemMB: 200, Sockets: 330}, writeRPS: 100, teamLimit: 400}

// TestUsersAreAnsweredAfterWorkersGatheredAtOneController guards against refusing users for workers.
func TestUsersAreAnsweredAfterWorkersGatheredAtOneController(t *testing.T) {
	const users = 60
	l := startLoadCluster(t, gatheringLoad)
	l.pollInterval.Store(int64(time.Second))
	var jobs []wire.JobID
	for range users {
		spec := l.newArrayJob(1)
		jobs = append(jobs, spec.ID)
		l.startBalancedUser(spec, 10*time.Minute)
	}
	require.Eventually(t, func() bool { return l.submissionsAccepted.Load() == users }, testTimeout, 100*time.Millisecond)

	for i := 1; i < l.size.controllers; i++ {
		l.kill(i)
	}
	l.awaitWorkersAt(0)
	for i := 1; i < l.size.controllers; i++ {
		l.start(i)
	}
	require.Eventually(t, l.balancer.AllHealthy, testTimeout, 100*time.Millisecond)

	over := time.Now()
	for l.history.AnsweredSince(over, jobs) < users && time.Since(over) < answerLimit {
		time.Sleep(100 * time.Millisecond)
	}
	require.Equal(t, users, l.history.AnsweredSince(over, jobs), "jobs about which a question was answered within %v", answerLimit)
	l.stop()
	require.Empty(t, l.loggedErrors(t))
}

// awaitWorkersAt waits until a controller has answered the latest heartbeat of every worker.
func (l *loadCluster) awaitWorkersAt(controller int) {
	require.Eventually(l.tb, func() bool { return l.workers.CountAt(controller) == l.size.workers }, testTimeout, 100*time.Millisecond)
}
