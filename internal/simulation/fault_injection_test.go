package simulation

import (
	"time"
)

// faultKind is the kind of a fault.
type faultKind string

// Kinds of faults.
const (
	faultCrash             faultKind = "controller crashes"
	faultCrashAll          faultKind = "all controllers crash"
	faultDoubleRestart     faultKind = "controller restarts twice"
	faultDoubleRestartAll  faultKind = "all controllers restart twice"
	faultStall             faultKind = "controller stalls"
	faultIsolation         faultKind = "controller partitioned from store and peers"
	faultStorePartition    faultKind = "controller partitioned from store"
	faultWorkerPartition   faultKind = "controller partitioned from workers"
	faultZonePartition     faultKind = "zone partitioned with a controller"
	faultStoreUnavailable  faultKind = "store unavailable"
	faultSlowStore         faultKind = "slow store"
	faultCloudUnavailable  faultKind = "cloud unavailable"
	faultProvisioningDelay faultKind = "provisioning delay"
	faultPollStorm         faultKind = "poll storm"
	faultMachineHangs      faultKind = "machine hangs"
	faultMachineDies       faultKind = "machine dies"
	faultPreemption        faultKind = "preemption notice"
	faultFaultyMachine     faultKind = "faulty machine"
	faultInboundPartition  faultKind = "inbound partition of a machine"
	faultOutboundPartition faultKind = "outbound partition of a machine"
)

// faultKinds lists all kinds of faults. Rapid's stored failure files refer to them by index, so
// their order must not change.
var faultKinds = []faultKind{
	faultCrash, faultCrashAll, faultDoubleRestart, faultStoreUnavailable, faultStorePartition, faultWorkerPartition, faultCloudUnavailable,
	faultMachineHangs, faultMachineDies, faultPreemption, faultSlowStore, faultFaultyMachine, faultInboundPartition, faultIsolation,
	faultDoubleRestartAll, faultZonePartition, faultStall, faultProvisioningDelay, faultPollStorm, faultOutboundPartition,
}

const (
	// crashDowntime is the time from a controller's crash to its restart.
	crashDowntime = 3 * time.Second
	// preemptionNotice is the time from a machine's preemption notice to its termination.
	preemptionNotice = 8 * time.Second
)

// fault is a fault that a test injects into a cluster.
type fault struct {
	kind     faultKind
	at       time.Duration // when the schedule injects it
	duration time.Duration // some kinds last twice as long, others ignore it
	target   int           // selects the controller, machine, zone or provisioning delay, modulo their number
}

// inject injects the fault immediately. It ignores the field at.
func (f fault) inject(c *Cluster) {
	if machineFault := f.machineFault(c); machineFault != nil {
		if machine := f.targetMachine(c); machine != nil {
			machineFault(machine)
		}
		return
	}
	i := f.target % len(c.controllers)
	switch f.kind {
	case faultCrash:
		c.Stop(i)
		c.At(crashDowntime, func() { c.Start(i) })
	case faultCrashAll:
		for i := range c.controllers {
			c.Stop(i)
			c.At(crashDowntime+time.Duration(i)*200*time.Millisecond, func() { c.Start(i) })
		}
	case faultDoubleRestart:
		c.Start(i)
		c.At(300*time.Millisecond, func() { c.Start(i) })
	case faultDoubleRestartAll:
		// All controllers restart at once, and again 150 ms apart, so that some restart
		// while the others still elect shard owners, the provisioner and launchers.
		for i := range c.controllers {
			c.Start(i)
			c.At(time.Duration(200+150*i)*time.Millisecond, func() { c.Start(i) })
		}
	case faultStall:
		c.Stall(i, 2*f.duration)
	case faultZonePartition:
		c.PartitionZone(zones[f.target%len(zones)], i, 2*f.duration)
	case faultPollStorm:
		c.PollStorm(2 * f.duration)
	case faultProvisioningDelay:
		// Workers join late, never, or almost at once.
		delay := []time.Duration{25 * time.Second, time.Hour, 100 * time.Millisecond}[f.target%3]
		c.ProvisioningDelay = func(string, string) time.Duration { return delay }
		c.At(2*f.duration, func() { c.ProvisioningDelay = nil })
	default:
		f.injectPartitionOrOutage(c, i)
	}
}

// injectPartitionOrOutage injects a partition of controller i, or an outage or slowdown of a
// service.
func (f fault) injectPartitionOrOutage(c *Cluster, i int) {
	switch f.kind {
	case faultIsolation:
		c.StorePartitioned[i], c.PeersPartitioned[i] = true, true
		c.At(f.duration, func() { delete(c.StorePartitioned, i); delete(c.PeersPartitioned, i) })
	case faultStorePartition:
		c.partitionFromStore(i, f.duration)
	case faultWorkerPartition:
		c.WorkersPartitioned[i] = true
		c.At(f.duration, func() { delete(c.WorkersPartitioned, i) })
	case faultStoreUnavailable:
		c.injectStoreOutage(f.duration)
	case faultCloudUnavailable:
		c.CloudUnavailable = true
		c.At(f.duration, func() { c.CloudUnavailable = false })
	case faultSlowStore:
		c.StoreDelay = 500 * time.Millisecond
		c.At(f.duration, func() { c.StoreDelay = 0 })
	default:
		panic("no such fault: " + f.kind)
	}
}

// machineFault returns a function that applies the fault to a machine, or nil if the fault is
// not one of a machine.
func (f fault) machineFault(c *Cluster) func(*fakeMachine) {
	switch f.kind {
	case faultMachineHangs:
		return func(machine *fakeMachine) { machine.hangFor(f.duration) }
	case faultMachineDies:
		return (*fakeMachine).terminate
	case faultPreemption:
		return func(machine *fakeMachine) {
			machine.preemptionAt = c.now.Add(preemptionNotice)
			c.At(preemptionNotice, machine.terminate)
		}
	case faultFaultyMachine:
		return func(machine *fakeMachine) { machine.faulty = true }
	case faultInboundPartition:
		return func(machine *fakeMachine) {
			machine.inboundPartitioned = true
			c.At(2*f.duration, func() { machine.inboundPartitioned = false })
		}
	case faultOutboundPartition:
		return func(machine *fakeMachine) {
			machine.outboundPartitioned = true
			c.At(2*f.duration, func() { machine.outboundPartitioned = false })
		}
	}
	return nil
}

// targetMachine returns the first machine, counted from the target on, that is up and neither
// terminated nor hung. It returns nil if there is none.
func (f fault) targetMachine(c *Cluster) *fakeMachine {
	for i := range c.machines {
		if machine := c.machines[(i+f.target)%len(c.machines)]; machine.up && !machine.terminated && !machine.hung {
			return machine
		}
	}
	return nil
}

// restart stops a controller and starts it again after the given time.
func (c *Cluster) restart(i int, after time.Duration) {
	c.Observed[controllerRestarted]++
	c.Stop(i)
	c.At(after, func() { c.Start(i) })
}

// restartProvisioner restarts the provisioner, or controller 0 if there is no provisioner.
func (c *Cluster) restartProvisioner(after time.Duration) { c.restart(max(0, c.provisioner()), after) }

// injectStoreOutage makes the state store unavailable for the given time. Afterwards every lease
// is renewed for its full time.
func (c *Cluster) injectStoreOutage(d time.Duration) {
	c.StoreUnavailable = true
	c.At(d, func() { c.StoreUnavailable = false; c.store.RenewAll(c.now) })
}

// partitionFromStore partitions a controller from the state store for the given time.
func (c *Cluster) partitionFromStore(i int, d time.Duration) {
	c.StorePartitioned[i] = true
	c.At(d, func() { delete(c.StorePartitioned, i) })
}

// eachBusyMachine calls f for the machines that have tasks and whose index is a multiple of
// every.
func (c *Cluster) eachBusyMachine(every int, f func(*fakeMachine)) {
	for i, machine := range c.machines {
		if len(machine.tasks) > 0 && !machine.terminated && i%every == 0 {
			f(machine)
		}
	}
}

// everyOtherBusyMachine calls f for every other machine among those that have tasks.
func (c *Cluster) everyOtherBusyMachine(f func(*fakeMachine)) {
	n := 0
	for _, machine := range c.machines {
		if len(machine.tasks) > 0 && !machine.terminated {
			if n++; n%2 == 0 {
				f(machine)
			}
		}
	}
}
