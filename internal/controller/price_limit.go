package controller

import (
	"math"

	"lilacrill/wire"
)

const (
	// capacityMargin is how much more work than is known of the machines within the price
	// limit should be able to do.
	capacityMargin = 1.25
	// priceTolerance forgives rounding in prices, relative to them.
	priceTolerance = 1e-9
)

// updatePriceLimit finds the price of a core up to which machines are needed for jobs that
// tolerate a wait to be expected to start in time. Such jobs then leave more expensive
// machines alone, unless services keep them anyway, so that those become idle and are
// terminated, while the jobs wait a little longer.
func (c *Controller) updatePriceLimit(queue []pendingJob) {
	c.provisioner.priceLimit = math.Inf(1)
	cores, anyTolerant := c.coresNeeded(queue)
	if !anyTolerant {
		return
	}
	coresByPrice := c.finiteCoresByPrice()
	for _, price := range sortedKeys(coresByPrice) {
		if cores -= coresByPrice[price]; cores <= 0 {
			c.provisioner.priceLimit = price
			return
		}
	}
}

// coresNeeded is how many cores the finite jobs need for all to be expected to start in time,
// and whether any of the pending ones tolerates a wait.
func (c *Controller) coresNeeded(queue []pendingJob) (cores float64, anyTolerant bool) {
	_, work := c.finiteWork()
	for i := range queue {
		pending := &queue[i]
		spec := &pending.job.spec
		if spec.Shape == wire.ShapeService {
			continue
		}
		work += float64(pending.missing.Len()) * spec.Cores * (spec.RuntimeS + startOverheadS)
		tolerance := c.waitTolerance(pending.job)
		if pending.guaranteed || tolerance == 0 {
			tolerance = 0
		} else {
			anyTolerant = true
		}
		cores = max(cores, capacityMargin*work/max(tolerance-c.pendingFor(pending.job), minWaitTolerance).Seconds())
	}
	return cores, anyTolerant
}

// finiteCoresByPrice is the cores of the machines that accept tasks, without those that
// services take, by the price of a core.
func (c *Controller) finiteCoresByPrice() map[float64]float64 {
	coresByPrice := map[float64]float64{}
	for _, machine := range c.orderedMachines() {
		machineType := c.machineTypeNamed(machine.machineType)
		if machineType == nil || !c.acceptsTasks(machine) {
			continue
		}
		cores := machineType.Cores
		for _, allocation := range machine.allocations {
			if allocation.Shape == wire.ShapeService {
				cores -= allocation.Cores * float64(allocation.Tasks.Len())
			}
		}
		coresByPrice[pricePerCore(machineType, machine.spot)] += cores
	}
	return coresByPrice
}

// pricePerCore is the price of a core for an hour.
func pricePerCore(machineType *wire.MachineType, spot bool) float64 {
	if spot {
		return machineType.SpotPrice / max(machineType.Cores, 1)
	}
	return machineType.OnDemandPrice / max(machineType.Cores, 1)
}

// abovePriceLimit reports whether a machine is so expensive that jobs that tolerate a wait
// leave it alone.
func (c *Controller) abovePriceLimit(machine *machine) bool {
	machineType := c.machineTypeNamed(machine.machineType)
	return machineType != nil && c.provisioner.priceLimit > 0 &&
		pricePerCore(machineType, machine.spot) > c.provisioner.priceLimit*(1+priceTolerance) && !machine.hasCriticalTasks()
}

// avoidsExpensive reports whether a job leaves machines above the price limit alone.
func (c *Controller) avoidsExpensive(pending *pendingJob) bool {
	return !pending.guaranteed && !math.IsInf(c.provisioner.priceLimit, 1) && c.waitTolerance(pending.job) > 0
}

// finiteWork is the cores that finite jobs (all but services) have at their disposal, and how
// many core-seconds of work their running tasks still have, half of them on average.
func (c *Controller) finiteWork() (cores, work float64) {
	for _, machine := range c.orderedMachines() {
		machineType := c.machineTypeNamed(machine.machineType)
		if machineType == nil || !c.acceptsTasks(machine) {
			continue // machines that have yet to join are set against the demands by scaleOut
		}
		cores += machineType.Cores
		for _, allocation := range machine.allocations {
			used := allocation.Cores * float64(allocation.Tasks.Len())
			if allocation.Shape == wire.ShapeService {
				cores -= used
			} else if job := c.cache.jobs[allocation.Job]; job != nil {
				work += used * job.spec.RuntimeS / 2
			}
		}
	}
	return cores, work
}
