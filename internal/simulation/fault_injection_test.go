package simulation

import (
	"time"
)

// fault is one thing that goes wrong for a while.
type fault struct {
	kind     string
	at       time.Duration
	duration time.Duration
	target   int
}

var faultKinds = []string{"crash", "crash all", "flicker", "state down", "state cut", "worker cut", "cloud down",
	"hang", "die", "notice", "slow state", "faulty", "deaf", "alone", "flicker all", "zone cut", "freeze",
	"boots", "polls", "mute"}

func (tr fault) inject(cluster *Cluster) {
	n := tr.target % len(cluster.controllers)
	machine := func() *fakeMachine {
		for i := range cluster.machines {
			if machine := cluster.machines[(i+tr.target)%len(cluster.machines)]; machine.up && !machine.terminated && !machine.hung {
				return machine
			}
		}
		return nil
	}
	switch tr.kind {
	case "crash":
		cluster.Stop(n)
		cluster.At(3*time.Second, func() { cluster.Start(n) })
	case "crash all":
		for i := range cluster.controllers {
			cluster.Stop(i)
			cluster.At(3*time.Second+time.Duration(i)*200*time.Millisecond, func() { cluster.Start(i) })
		}
	case "flicker":
		cluster.Start(n)
		cluster.At(300*time.Millisecond, func() { cluster.Start(n) })
	case "flicker all":
		// All are back within a fraction of a second, and some again while the
		// others still choose owners, buyer and launchers.
		for i := range cluster.controllers {
			cluster.Start(i)
			cluster.At(time.Duration(200+150*i)*time.Millisecond, func() { cluster.Start(i) })
		}
	case "alone":
		cluster.StorePartitioned[n], cluster.PeersPartitioned[n] = true, true
		cluster.At(tr.duration, func() { delete(cluster.StorePartitioned, n); delete(cluster.PeersPartitioned, n) })
	case "freeze":
		cluster.Stall(n, 2*tr.duration)
	case "boots":
		// Machines come up late, never, or within a moment.
		boot := []time.Duration{25 * time.Second, time.Hour, 100 * time.Millisecond}[tr.target%3]
		cluster.ProvisioningDelay = func(string, string) time.Duration { return boot }
		cluster.At(2*tr.duration, func() { cluster.ProvisioningDelay = nil })
	case "polls":
		cluster.PollStorm(2 * tr.duration)
	case "zone cut":
		cluster.PartitionZone(zones[tr.target%len(zones)], n, 2*tr.duration)
	case "deaf":
		if machine := machine(); machine != nil {
			machine.inboundPartitioned = true
			cluster.At(2*tr.duration, func() { machine.inboundPartitioned = false })
		}
	case "mute":
		if machine := machine(); machine != nil {
			machine.outboundPartitioned = true
			cluster.At(2*tr.duration, func() { machine.outboundPartitioned = false })
		}
	case "state down":
		cluster.StoreUnavailable = true
		cluster.At(tr.duration, func() { cluster.StoreUnavailable = false; cluster.store.RenewAll(cluster.now) })
	case "state cut":
		cluster.StorePartitioned[n] = true
		cluster.At(tr.duration, func() { delete(cluster.StorePartitioned, n) })
	case "worker cut":
		cluster.WorkersPartitioned[n] = true
		cluster.At(tr.duration, func() { delete(cluster.WorkersPartitioned, n) })
	case "cloud down":
		cluster.CloudUnavailable = true
		cluster.At(tr.duration, func() { cluster.CloudUnavailable = false })
	case "slow state":
		cluster.StoreDelay = 500 * time.Millisecond
		cluster.At(tr.duration, func() { cluster.StoreDelay = 0 })
	case "hang":
		if machine := machine(); machine != nil {
			machine.hung = true
			cluster.At(tr.duration, machine.resume)
		}
	case "die":
		if machine := machine(); machine != nil {
			machine.terminate()
		}
	case "notice":
		if machine := machine(); machine != nil {
			machine.preemptionAt = cluster.now + 8_000_000_000
			cluster.At(8*time.Second, machine.terminate)
		}
	case "faulty":
		if machine := machine(); machine != nil {
			machine.faulty = true
		}
	}
}

// restart ends a controller and has it back after a while.
func (c *Cluster) restart(i int, after time.Duration) {
	c.Observed[controllerRestarted]++
	c.Stop(i)
	c.At(after, func() { c.Start(i) })
}

// restartProvisioner ends the controller that buys, or another if there is none.
func (c *Cluster) restartProvisioner(after time.Duration) { c.restart(max(0, c.provisioner()), after) }

func (c *Cluster) storeOutage(d time.Duration) {
	c.StoreUnavailable = true
	c.At(d, func() { c.StoreUnavailable = false; c.store.RenewAll(c.now) })
}

func (c *Cluster) partitionFromStore(i int, d time.Duration) {
	c.StorePartitioned[i] = true
	c.At(d, func() { delete(c.StorePartitioned, i) })
}

// eachBusyMachine has something happen to all machines with tasks whose number divides.
func (c *Cluster) eachBusyMachine(every int, f func(*fakeMachine)) {
	for i, machine := range c.machines {
		if len(machine.tasks) > 0 && !machine.terminated && i%every == 0 {
			f(machine)
		}
	}
}

// everyOtherBusyMachine has something happen to every other machine with tasks.
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
