package controller

import (
	"time"

	"lilacrill/internal/capacity"
	"lilacrill/internal/config"
	"lilacrill/wire"
)

const (
	// expectedDelayFactor times the usual provisioning delay of its type, plus
	// expectedDelaySlack, is the time within which a machine is expected to join. If a machine
	// takes longer, another one is provisioned in its place, of another offer if possible.
	expectedDelayFactor = 1.8
	expectedDelaySlack  = 3 * time.Second
	// abandonFactor times the usual provisioning delay, plus abandonSlack, is how long a
	// machine may take to join before it is terminated. abandonFactorWhenLate applies instead
	// while machines of its type join late, so that they are not terminated just before they
	// join.
	abandonFactor         = 4.0
	abandonFactorWhenLate = 9.0
	abandonSlack          = 10 * time.Second
	// lateFactor times the usual provisioning delay is the time after which a machine counts
	// as joining late.
	lateFactor = 2.5
	// lateJoinLifetime is how long abandonFactorWhenLate applies to a machine type after a
	// machine of it has joined late.
	lateJoinLifetime = 3 * time.Minute
)

// provisioningDelay holds what was observed when machines of one type joined.
type provisioningDelay struct {
	latestJoinedLaunchAt Time // latest launch time of those that have joined
	lastLateJoinAt       Time // when one last joined late; 0 if none has
}

// provisioningDelays holds these observations by machine type.
type provisioningDelays map[string]provisioningDelay

// hasRecentLateJoin reports whether a machine of the type joined late within
// lateJoinLifetime.
func (d provisioningDelay) hasRecentLateJoin(now Time) bool {
	return d.lastLateJoinAt != 0 && now.Sub(d.lastLateJoinAt) <= lateJoinLifetime
}

// noteJoined records that a machine of a type joined now, and whether it was late. It reports
// whether this is the first late machine of the type within lateJoinLifetime.
func (d provisioningDelays) noteJoined(machineType string, launchedAt Time, late bool, now Time) (firstLate bool) {
	delay := d[machineType]
	delay.latestJoinedLaunchAt = max(delay.latestJoinedLaunchAt, launchedAt)
	if late {
		firstLate = !delay.hasRecentLateJoin(now)
		delay.lastLateJoinAt = now
	}
	d[machineType] = delay
	return firstLate
}

// abandonFactor returns how many times the usual provisioning delay a machine that was
// launched at launchedAt may take to join. As long as no machine of its type that was
// launched later has joined, all of them may be late. If they were terminated too soon, none
// would ever join.
func (d provisioningDelays) abandonFactor(machineType string, launchedAt, now Time) float64 {
	delay := d[machineType]
	if delay.latestJoinedLaunchAt > launchedAt && !delay.hasRecentLateJoin(now) {
		return abandonFactor
	}
	return abandonFactorWhenLate
}

// isProvisioning reports whether a provisioned machine has not joined yet.
func (m *machine) isProvisioning() bool {
	return m.latestHeartbeat == nil && !m.scaling.terminated && m.scaling.status != wire.MachineFailed
}

// expectedToJoin reports whether a provisioned machine is still expected to join soon.
func (c *Controller) expectedToJoin(machine *machine) bool {
	machineType := c.machineTypeNamed(machine.machineType)
	if machineType == nil || !machine.isProvisioning() {
		return false
	}
	if _, terminating := c.cache.terminating[machine.id]; terminating {
		return false
	}
	return c.now.Sub(machine.scaling.launchedAt) < config.Seconds(expectedDelayFactor*machineType.StartupS)+expectedDelaySlack
}

// neverJoined reports whether a machine has taken so long to join that it is to be
// terminated.
func (c *Controller) neverJoined(machine *machine) bool {
	machineType := c.machineTypeNamed(machine.machineType)
	if machineType == nil {
		return false
	}
	factor := c.provisioner.delays.abandonFactor(machine.machineType, machine.scaling.launchedAt, c.now)
	return c.now.Sub(machine.scaling.launchedAt) > config.Seconds(factor*machineType.StartupS)+abandonSlack
}

// noteJoined records how long a machine took to join. Machines that were launched before this
// controller was ready do not count, since they may have joined unnoticed.
func (c *Controller) noteJoined(machine *machine) {
	machineType := c.machineTypeNamed(machine.machineType)
	if machineType == nil || machine.scaling.launchedAt == 0 || machine.scaling.launchedAt < c.membership.readyAt {
		return
	}
	took := c.now.Sub(machine.scaling.launchedAt)
	late := took > config.Seconds(lateFactor*machineType.StartupS)
	if c.provisioner.delays.noteJoined(machine.machineType, machine.scaling.launchedAt, late, c.now) {
		c.log.Info("provisioned machine joined late", "type", machine.machineType, "zone", machine.zone, "took", took)
	}
}

// overdueFractions returns, for each offer with overdue machines, the fraction of its booting
// machines that are overdue to join. Offers with a smaller fraction are preferred.
func (c *Controller) overdueFractions() map[capacity.OfferKey]float64 {
	provisioning, overdue := map[capacity.OfferKey]float64{}, map[capacity.OfferKey]float64{}
	for _, machine := range c.fleet.machines {
		if _, terminating := c.cache.terminating[machine.id]; terminating || !machine.isProvisioning() || machine.scaling.status != wire.MachineBooting {
			continue
		}
		key := capacity.OfferKey{Type: machine.machineType, Zone: machine.zone, Spot: machine.spot}
		provisioning[key]++
		if !c.expectedToJoin(machine) {
			overdue[key]++
		}
	}
	for key, n := range overdue {
		overdue[key] = n / (provisioning[key] + 1)
	}
	return overdue
}
