package controller

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
)

// servingController returns a controller that can decide users' requests, and its log.
func servingController() (*Controller, *bytes.Buffer) {
	var log bytes.Buffer
	settings := &config.Settings{Label: "rig-0", Cluster: config.Cluster{State: config.State{ValueKB: 8, RPS: 100}}}
	c := New(settings, slog.New(slog.NewTextHandler(&log, nil)), 1)
	c.membership.ready, c.cache.loadState = true, cacheLoaded
	return c, &log
}

// reviewFor reviews the load once a second for d, each time after the function step has changed it.
func (c *Controller) reviewFor(d time.Duration, load *ProcessLoad, step func()) {
	for end := c.now.Add(d); c.now < end; {
		c.now = c.now.Add(loadReviewInterval)
		step()
		c.reviewProcessLoad(*load)
	}
}

// TestPollsRefusedByAvailableControllerAreAViolation guards against refusals that nobody is told of.
func TestPollsRefusedByAvailableControllerAreAViolation(t *testing.T) {
	c, log := servingController()
	var load ProcessLoad
	refuse := func() {
		c.cache.lastStoreResponse = c.now
		load.Polls.Unanswered[RefusedForConnections]++
	}
	c.reviewFor(answerBound, &load, refuse)
	require.Zero(t, c.metrics.counts[countInvariantViolations])
	c.reviewFor(2*time.Second, &load, refuse)
	require.Equal(t, uint64(1), c.metrics.counts[countInvariantViolations])
	c.reviewFor(time.Minute, &load, refuse)
	require.Equal(t, uint64(1), c.metrics.counts[countInvariantViolations], "once in a spell")
	require.Equal(t, 1, strings.Count(log.String(), "level=ERROR"), log.String())
	require.Equal(t, 1, strings.Count(log.String(), `msg="refusing polls" reason=connections`), log.String())

	load.Polls.Answered++
	c.reviewFor(answerBound, &load, refuse)
	require.Equal(t, uint64(1), c.metrics.counts[countInvariantViolations], "an answer ends the spell")
}

// TestPollsRefusedWhileUnavailableAreNoViolation guards against an error for each store outage.
func TestPollsRefusedWhileUnavailableAreNoViolation(t *testing.T) {
	c, log := servingController()
	var load ProcessLoad
	c.reviewFor(2*answerBound, &load, func() { load.Polls.Unanswered[RefusedByController]++ })
	require.Equal(t, UnavailableStore, c.Unavailability())
	require.Zero(t, c.metrics.counts[countInvariantViolations], log.String())
}
