package controller

import (
	"time"

	"lilacrill/internal/capacity"
	"lilacrill/internal/config"
	"lilacrill/wire"
)

const (
	// expectedDelayFactor is how many times the usual boot time a machine may take and still
	// be counted on; what is rented beyond that time is rented elsewhere if it can.
	expectedDelayFactor = 1.8
	expectedDelaySlack  = 3 * time.Second
	// abandonFactor is the same until it is returned as one that never came up, and
	// abandonFactorWhenLate while machines of its type come late, so that they are not
	// returned just before they are up. lateFactor says from when on one is late.
	abandonFactor         = 4.0
	abandonFactorWhenLate = 9.0
	lateFactor            = 2.5
	abandonSlack          = 10 * time.Second
	// lateObservationLifetime is how long one late machine has others waited for longer.
	lateObservationLifetime = 3 * time.Minute
)

// isProvisioning reports whether a rented machine has not come up yet.
func (m *machine) isProvisioning() bool {
	return m.latestHeartbeat == nil && !m.scaling.terminated && m.scaling.status != wire.MachineFailed
}

// expectedToJoin reports whether a rented machine may still be expected to come up soon.
func (c *Controller) expectedToJoin(m *machine) bool {
	t := c.machineTypeNamed(m.machineType)
	if t == nil || !m.isProvisioning() {
		return false
	}
	if _, going := c.cache.terminating[m.id]; going {
		return false
	}
	return c.now.Sub(m.scaling.launchedAt) < config.Seconds(expectedDelayFactor*t.StartupS)+expectedDelaySlack
}

// neverJoined reports whether a machine is to be given up that did not come up.
func (c *Controller) neverJoined(m *machine) bool {
	t := c.machineTypeNamed(m.machineType)
	if t == nil {
		return false
	}
	// As long as none of its type that was rented later is up, all of them may be
	// late: returned too soon, none would ever come up.
	boots := c.provisioner.provisioningDelays[m.machineType]
	most := abandonFactorWhenLate
	if boots.lastJoinedLaunch > m.scaling.launchedAt && (boots.lastLateAt == 0 || c.now.Sub(boots.lastLateAt) > lateObservationLifetime) {
		most = abandonFactor
	}
	return c.now.Sub(m.scaling.launchedAt) > config.Seconds(most*t.StartupS)+abandonSlack
}

// noteJoined notes how long a machine took to come up.
func (c *Controller) noteJoined(m *machine) {
	t := c.machineTypeNamed(m.machineType)
	if t == nil || m.scaling.launchedAt == 0 || m.scaling.launchedAt < c.membership.readyAt {
		return
	}
	boots := c.provisioner.provisioningDelays[m.machineType]
	boots.lastJoinedLaunch = max(boots.lastJoinedLaunch, m.scaling.launchedAt)
	if took := c.now.Sub(m.scaling.launchedAt); took > config.Seconds(lateFactor*t.StartupS) {
		if boots.lastLateAt == 0 || c.now.Sub(boots.lastLateAt) > lateObservationLifetime {
			c.log.Info("machines come up late", "type", m.machineType, "zone", m.zone, "took", took)
		}
		boots.lastLateAt = c.now
	}
	c.provisioner.provisioningDelays[m.machineType] = boots
}

// provisioningDelay is how machines of a type came up.
type provisioningDelay struct {
	lastJoinedLaunch Time // when the newest of them that is up was rented
	lastLateAt       Time // when one last came up late; 0: not yet
}

// overdueFractions says for each offer which part of the machines that were rented of it
// and are not up yet are overdue: others are rented first.
func (c *Controller) overdueFractions() map[capacity.Key]float64 {
	waiting, overdue := map[capacity.Key]float64{}, map[capacity.Key]float64{}
	for _, m := range c.fleet.machines {
		if _, going := c.cache.terminating[m.id]; going || !m.isProvisioning() || m.scaling.status != wire.MachineBooting {
			continue
		}
		key := capacity.Key{Type: m.machineType, Zone: m.zone, Spot: m.spot}
		waiting[key]++
		if !c.expectedToJoin(m) {
			overdue[key]++
		}
	}
	for key, n := range overdue {
		overdue[key] = n / (waiting[key] + 1)
	}
	return overdue
}
