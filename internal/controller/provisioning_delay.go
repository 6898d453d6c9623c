package controller

import (
	"time"

	"lilacrill/internal/capacity"
	"lilacrill/internal/config"
	"lilacrill/wire"
)

const (
	// expectedDelayFactor is how many times its type's usual provisioning delay a machine may
	// take and still be expected to join; what takes longer is provisioned elsewhere as well,
	// if it can be.
	expectedDelayFactor = 1.8
	expectedDelaySlack  = 3 * time.Second
	// abandonFactor is how many times that delay it may take until it is terminated as one
	// that never joined, and abandonFactorWhenLate the same while machines of its type join
	// late, so that they are not terminated just before they join.
	abandonFactor         = 4.0
	abandonFactorWhenLate = 9.0
	abandonSlack          = 10 * time.Second
	// lateFactor is how many times that delay a machine takes that joins late.
	lateFactor = 2.5
	// lateJoinLifetime is how long a machine that joined late has others of its type
	// waited for longer.
	lateJoinLifetime = 3 * time.Minute
)

// provisioningDelay is what is known of how long machines of a type take to join.
type provisioningDelay struct {
	latestJoinedLaunchAt Time // when the last launched of them that has joined was launched
	lastLateJoinAt       Time // when one last joined late; 0: none yet
}

// provisioningDelays is the provisioning delays by machine type.
type provisioningDelays map[string]provisioningDelay

// hasRecentLateJoin reports whether a machine of the type joined late not long ago.
func (d provisioningDelay) hasRecentLateJoin(now Time) bool {
	return d.lastLateJoinAt != 0 && now.Sub(d.lastLateJoinAt) <= lateJoinLifetime
}

// noteJoined notes that a machine of a type joined now, and whether it was late. It reports
// whether it is the first late one for a while.
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

// abandonFactor is how many times the usual delay a machine of a type may take that was
// launched at a time. As long as none of its type that was launched later has joined, all of
// them may be late: terminated too soon, none would ever join.
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

// expectedToJoin reports whether a provisioned machine may still be expected to join soon.
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

// neverJoined reports whether a machine that has not joined is to be given up.
func (c *Controller) neverJoined(machine *machine) bool {
	machineType := c.machineTypeNamed(machine.machineType)
	if machineType == nil {
		return false
	}
	factor := c.provisioner.delays.abandonFactor(machine.machineType, machine.scaling.launchedAt, c.now)
	return c.now.Sub(machine.scaling.launchedAt) > config.Seconds(factor*machineType.StartupS)+abandonSlack
}

// noteJoined notes how long a machine took to join. Machines that were launched before this
// controller was ready may have joined unseen, and do not count.
func (c *Controller) noteJoined(machine *machine) {
	machineType := c.machineTypeNamed(machine.machineType)
	if machineType == nil || machine.scaling.launchedAt == 0 || machine.scaling.launchedAt < c.membership.readyAt {
		return
	}
	took := c.now.Sub(machine.scaling.launchedAt)
	late := took > config.Seconds(lateFactor*machineType.StartupS)
	if c.provisioner.delays.noteJoined(machine.machineType, machine.scaling.launchedAt, late, c.now) {
		c.log.Info("machines join late", "type", machine.machineType, "zone", machine.zone, "took", took)
	}
}

// overdueFractions is, for each offer, which part of the machines that were provisioned of it
// and have not joined yet is overdue: other offers are preferred.
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
