package controller

import (
	"math"
	"time"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

const (
	// waitToleranceFraction is the part of an objective's slack, and deadlineWaitFraction of
	// a deadline's, that may be spent pending.
	waitToleranceFraction = 0.4
	deadlineWaitFraction  = 0.15
	minWaitTolerance      = 15 * time.Second
	// overdueToleranceFactor times its tolerance is when a wait is too long.
	overdueToleranceFactor = 2
	// noObjectiveRuntimeFactor times its run time, and noObjectiveMinS seconds, is what a job
	// without any objective or deadline may take; noObjectiveFirstStart is how long it waits
	// for its first start before machines are provisioned for it at once.
	noObjectiveRuntimeFactor = 4
	noObjectiveMinS          = 240.0
	noObjectiveMaxStartWait  = 60 * time.Second
	// startOverheadS is how many seconds a task occupies a machine beside its run time.
	startOverheadS = 5.0
)

// waitTolerance is how long after its submission a job's tasks may be left pending: a part of
// what its objectives and its deadline leave. Urgent jobs tolerate no wait.
func (c *Controller) waitTolerance(job *job) time.Duration {
	if job.spec.Priority.Level() <= wire.PriorityHigh.Level() {
		return 0
	}
	slackS := c.objectiveSlackS(job)
	if math.IsInf(slackS, 1) {
		// It has neither a deadline nor an objective. It is to start soon, and to complete in
		// some proportion to its length, but machines are not provisioned for it as if it
		// were urgent.
		if !job.started && c.pendingFor(job) > noObjectiveMaxStartWait {
			return 0
		}
		slackS = noObjectiveRuntimeFactor*job.spec.RuntimeS + noObjectiveMinS
	}
	return config.Seconds(max(0, waitToleranceFraction*slackS))
}

// objectiveSlackS is how many seconds a job's objectives and deadline leave beside its run
// time; infinite if it has none. Run times count twice: estimates are often wrong by half or
// more.
func (c *Controller) objectiveSlackS(job *job) float64 {
	slackS := math.Inf(1)
	if job.spec.DeadlineS > 0 {
		slackS = (job.spec.DeadlineS - 2*job.spec.RuntimeS) * deadlineWaitFraction / waitToleranceFraction
	}
	for _, objective := range c.settings.Cluster.Objectives {
		if objective.Class != job.spec.Class {
			continue
		}
		switch objective.Kind {
		case objectiveWait:
			slackS = min(slackS, objective.WithinS)
		case objectiveFinished:
			slackS = min(slackS, objective.WithinS-2*job.spec.RuntimeS)
		}
	}
	return slackS
}

// remainingTolerance is how long a job's tasks may still be left pending.
func (c *Controller) remainingTolerance(job *job) time.Duration {
	return max(c.waitTolerance(job)-c.pendingFor(job), minWaitTolerance)
}
