package controller

import (
	"math"
	"time"

	"lilacrill/wire"
)

const (
	// capacityMargin times the known work is the work that the machines within the price
	// limit must be able to do.
	capacityMargin = 1.25
	// maxPriceAvoidance is how long after its submission a job without a placed task may avoid
	// expensive machines. No job may wait for 90 s while a machine that fits has room.
	maxPriceAvoidance = 60 * time.Second
	// priceTolerance is the relative tolerance for rounding errors in prices.
	priceTolerance = 1e-9
)

// updatePriceLimit determines the price limit. It is the lowest price of a core at which the
// machines up to that price suffice for the jobs that tolerate a wait to be expected to start
// in time. These jobs avoid more expensive machines, except those with critical tasks. The
// avoided machines then become idle and are terminated, while the jobs wait a little longer,
// but not for longer than maxPriceAvoidance.
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

// coresNeeded returns how many cores the finite jobs (all but services) need for all of them
// to be expected to start in time, and whether any of the pending ones tolerates a wait.
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

// finiteCoresByPrice returns the cores of the machines that accept tasks, without those that
// services use, by price per core.
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

// pricePerCore returns the price of a core per hour.
func pricePerCore(machineType *wire.MachineType, spot bool) float64 {
	if spot {
		return machineType.SpotPrice / max(machineType.Cores, 1)
	}
	return machineType.OnDemandPrice / max(machineType.Cores, 1)
}

// abovePriceLimit reports whether a machine is so expensive that jobs that tolerate a wait
// avoid it. Machines with critical tasks are not avoided.
func (c *Controller) abovePriceLimit(machine *machine) bool {
	machineType := c.machineTypeNamed(machine.machineType)
	return machineType != nil && c.provisioner.priceLimit > 0 &&
		pricePerCore(machineType, machine.spot) > c.provisioner.priceLimit*(1+priceTolerance) && !machine.hasCriticalTasks()
}

// avoidsExpensive reports whether a job avoids machines above the price limit.
func (c *Controller) avoidsExpensive(pending *pendingJob) bool {
	return !pending.guaranteed && !math.IsInf(c.provisioner.priceLimit, 1) && c.waitTolerance(pending.job) > 0 &&
		!c.waitsUnplaced(pending.job)
}

// waitsUnplaced reports whether a job has no placed task maxPriceAvoidance after its submission. The
// job may be unable to use any machine within the price limit.
func (c *Controller) waitsUnplaced(job *job) bool {
	return c.pendingFor(job) > maxPriceAvoidance && len(c.cache.allocationsByJob[job.id]) == 0
}

// finiteWork returns the number of cores available to finite jobs (all but services), and the
// remaining work of their running tasks in core-seconds. The tasks are assumed to have half
// of their run time left on average.
func (c *Controller) finiteWork() (cores, work float64) {
	for _, machine := range c.orderedMachines() {
		machineType := c.machineTypeNamed(machine.machineType)
		if machineType == nil || !c.acceptsTasks(machine) {
			continue // scaleOut deducts machines that have yet to join from the demands
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
