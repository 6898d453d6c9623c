package controller

import "time"

const (
	// TickEvery is how often the controller is to be given a Tick.
	TickEvery = 50 * time.Millisecond
	// referenceCoreShare is the share of a processor that the pauses are dimensioned for.
	referenceCoreShare = 0.18
	maxPassPause       = time.Second
	lagSmoothing       = 0.1 // the weight of the last tick in the moving average
	// lagThreshold and lagRecovered are the lags, in ticks, above which a process counts as
	// lagging, and below which it has recovered.
	lagThreshold, lagRecovered = 3.0, 0.5
)

// lagMeter measures how late ticks come: this shows whether the process has enough of the
// processor.
type lagMeter struct {
	lastTick Time
	ticks    float64 // the moving average of how late ticks come, in ticks
	lagging  bool
}

// lagChange is a change that a tick brought.
type lagChange int

const (
	lagUnchanged lagChange = iota
	lagStarted
	lagEnded
)

// tick measures the lag at a tick. Stalls count up to stallThreshold: they are handled on their
// own (see Controller.Step).
func (l *lagMeter) tick(now Time) lagChange {
	late := min(now.Sub(l.lastTick)-TickEvery, stallThreshold)
	l.ticks += lagSmoothing * (max(0, float64(late)/float64(TickEvery)) - l.ticks)
	l.lastTick = now
	switch {
	case !l.lagging && l.ticks > lagThreshold:
		l.lagging = true
		return lagStarted
	case l.lagging && l.ticks < lagRecovered:
		l.lagging = false
		return lagEnded
	}
	return lagUnchanged
}

// delay is how late ticks come.
func (l *lagMeter) delay() time.Duration { return time.Duration(l.ticks * float64(TickEvery)) }

// measureLag measures the lag at a tick, and logs when it starts and ends.
func (c *Controller) measureLag() {
	switch c.scheduler.lag.tick(c.now) {
	case lagStarted:
		c.metrics.count(countLagging, 1)
		c.log.Info("ticks late, deferrable work slowed down", "hint", "cluster.quota.core_share may be too small",
			"tick_delay", c.scheduler.lag.delay().Round(time.Millisecond), "core_share", c.settings.Cluster.Quota.CoreShare)
	case lagEnded:
		c.log.Info("ticks on time again")
	case lagUnchanged:
	}
}

// passPause is the least time between passes, whose cost is in proportion to the fleet.
func (c *Controller) passPause() time.Duration {
	return c.stretchPause(passInterval+time.Duration(len(c.fleet.machines))*passIntervalPerMachine, maxPassPause)
}

// stretchPause stretches the pause before work that can be deferred, where this process has a
// small share of a processor, and further while it lags: leases, responses and what waits
// for them come first. The pause is not stretched beyond longest.
func (c *Controller) stretchPause(pause, longest time.Duration) time.Duration {
	stretch := max(1, referenceCoreShare/c.settings.Cluster.Quota.CoreShare) * (1 + c.scheduler.lag.ticks)
	return max(pause, min(longest, time.Duration(float64(pause)*stretch)))
}
