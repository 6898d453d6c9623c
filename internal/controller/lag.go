package controller

import "time"

const (
	// TickInterval is the interval at which the controller expects a Tick.
	TickInterval = 50 * time.Millisecond
	// referenceCoreShare is the share of a processor core that the pauses are designed for.
	// With a smaller share they are longer.
	referenceCoreShare = 0.18
	maxPassPause       = time.Second
	lagSmoothing       = 0.1 // the weight of the last tick in the moving average
	// A process counts as lagging when its lag, in ticks, exceeds lagThreshold, until the lag
	// falls below lagRecoveryThreshold.
	lagThreshold, lagRecoveryThreshold = 3.0, 0.5
)

// lagMeter measures how late ticks come, which shows whether the process gets enough processor
// time.
type lagMeter struct {
	lastTick   Time
	delayTicks float64 // the moving average of how late ticks come, in ticks
	lagging    bool
}

// lagChange is the change of lagMeter.lagging at a tick.
type lagChange int

const (
	lagUnchanged lagChange = iota
	lagStarted
	lagEnded
)

// tick measures the lag at a tick. A delay counts only up to stallThreshold, since longer ones
// are stalls and handled separately (see Controller.Step).
func (l *lagMeter) tick(now Time) lagChange {
	late := min(now.Sub(l.lastTick)-TickInterval, stallThreshold)
	l.delayTicks += lagSmoothing * (max(0, float64(late)/float64(TickInterval)) - l.delayTicks)
	l.lastTick = now
	switch {
	case !l.lagging && l.delayTicks > lagThreshold:
		l.lagging = true
		return lagStarted
	case l.lagging && l.delayTicks < lagRecoveryThreshold:
		l.lagging = false
		return lagEnded
	}
	return lagUnchanged
}

// delay returns the average lag as a duration.
func (l *lagMeter) delay() time.Duration { return time.Duration(l.delayTicks * float64(TickInterval)) }

// measureLag measures the lag at a tick, and logs when this process starts and stops lagging.
func (c *Controller) measureLag() {
	switch c.scheduler.lag.tick(c.now) {
	case lagStarted:
		c.metrics.count(countLagPeriods, 1)
		c.log.Info("event loop is lagging, slowing down deferrable work", "hint", "cluster.quota.core_share may be too small",
			"tick_delay", c.scheduler.lag.delay().Round(time.Millisecond), "core_share", c.settings.Cluster.Quota.CoreShare)
	case lagEnded:
		c.log.Info("event loop is no longer lagging")
	case lagUnchanged:
	}
}

// passPause returns the shortest time between scheduling passes. It grows with the number of
// machines, since the cost of a pass does.
func (c *Controller) passPause() time.Duration {
	return c.stretchPause(passInterval+time.Duration(len(c.fleet.machines))*passIntervalPerMachine, maxPassPause)
}

// stretchPause returns the pause before deferrable work, lengthened if this process has a small
// share of a processor core, and further while the process lags. This leaves the processor to
// leases, responses and the work that depends on them. The pause is not lengthened beyond
// longest.
func (c *Controller) stretchPause(pause, longest time.Duration) time.Duration {
	stretch := max(1, referenceCoreShare/c.settings.Cluster.Quota.CoreShare) * (1 + c.scheduler.lag.delayTicks)
	return max(pause, min(longest, time.Duration(float64(pause)*stretch)))
}
