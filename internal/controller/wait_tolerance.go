package controller

import (
	"math"
	"time"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

const (
	// waitToleranceFraction is the fraction of an objective's slack, and deadlineWaitFraction
	// the fraction of a deadline's slack, that a job may spend pending.
	waitToleranceFraction = 0.4
	deadlineWaitFraction  = 0.15
	minWaitTolerance      = 15 * time.Second
	// A job has waited too long once it has been pending for more than overdueToleranceFactor
	// times its wait tolerance.
	overdueToleranceFactor = 2
	// The slack of a job without any objective or deadline is noObjectiveRuntimeFactor times its
	// run time plus noObjectiveMinS seconds. If it has not started noObjectiveMaxStartWait after
	// its submission, it tolerates no more waiting, and machines are provisioned for it at once.
	noObjectiveRuntimeFactor = 4
	noObjectiveMinS          = 240.0
	noObjectiveMaxStartWait  = 60 * time.Second
	// startOverheadS is the number of seconds that a task occupies a machine in addition to its
	// run time.
	startOverheadS = 5.0
)

// waitTolerance returns how long after its submission a job's tasks may stay pending: a fraction
// of the slack that its objectives and its deadline leave. Urgent jobs tolerate no wait.
func (c *Controller) waitTolerance(job *job) time.Duration {
	if job.spec.Priority.Level() <= wire.PriorityHigh.Level() {
		return 0
	}
	slackS := c.objectiveSlackS(job)
	if math.IsInf(slackS, 1) {
		// A job with neither a deadline nor an objective should start soon and complete in
		// proportion to its run time, but machines are not provisioned for it as for an urgent
		// job.
		if !job.started && c.pendingFor(job) > noObjectiveMaxStartWait {
			return 0
		}
		slackS = noObjectiveRuntimeFactor*job.spec.RuntimeS + noObjectiveMinS
	}
	return config.Seconds(max(0, waitToleranceFraction*slackS))
}

// objectiveSlackS returns the number of seconds that a job's objectives and deadline leave in
// addition to its run time, or infinity if it has none. Run times count twice, because the stated
// estimates are often wrong by half or more. The slack of a deadline is scaled so that
// waitTolerance yields deadlineWaitFraction of it.
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

// remainingTolerance returns how much longer a job's tasks may stay pending, but at least
// minWaitTolerance.
func (c *Controller) remainingTolerance(job *job) time.Duration {
	return max(c.waitTolerance(job)-c.pendingFor(job), minWaitTolerance)
}
