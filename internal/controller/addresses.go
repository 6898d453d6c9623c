package controller

import (
	"lilacrill/wire"
)

// The cloud may give the address of a machine that is gone to a machine that it creates later. Direct
// calls name no machine, so what is meant for the one that is gone would be carried out by the other.
// Machine IDs are in the order of creation, and an address belongs to the latest machine that is known
// to have had it. Messages of an earlier one that arrive late do not change that.

// noteAddress records that a worker said that its machine has an address.
func (f *fleet) noteAddress(addr string, id wire.MachineID) {
	if f.addressOwners[addr] < id {
		f.addressOwners[addr] = id
	}
}

// addressReused reports whether the address of a machine belongs to a machine that was created later, so
// that this machine is gone.
func (f *fleet) addressReused(machine *machine) bool {
	return f.addressOwners[machine.addr] > machine.id
}

// noteTakenOverAddress fences a worker if a heartbeat is the first of its machine, at an address that an
// earlier machine had, and reports whether it is. Commands that were meant for the earlier machine may
// still arrive there.
func (c *Controller) noteTakenOverAddress(heartbeat *wire.Heartbeat) bool {
	machine := c.machine(heartbeat.Machine)
	owner := c.fleet.addressOwners[heartbeat.Addr]
	if machine.latestHeartbeat != nil || machine.awaitsRestartFence() || owner == "" || owner >= machine.id {
		return false
	}
	c.fleet.noteAddress(heartbeat.Addr, machine.id)
	c.fenceWorker(machine)
	return true
}

// mayRunAtReusedAddress reports whether launches of an allocation may have been carried out by the worker
// that has the machine's address now. That is over once the worker was heard with a token that was raised
// since, and does not list the tasks, or has ended them.
func (c *Controller) mayRunAtReusedAddress(machine *machine, allocation *Allocation) bool {
	owner := c.fleet.machines[c.fleet.addressOwners[machine.addr]]
	if owner == nil || !c.fleet.addressReused(machine) || owner.scaling.terminated {
		return false
	}
	if owner.restart.fence == 0 && !owner.restart.fencing {
		c.fenceWorker(owner)
	}
	if owner.awaitsRestartFence() {
		return true
	}
	for i := range allocation.Tasks.All {
		if task := owner.tasks[allocation.key(i)]; task != nil && task.State != wire.TaskExited {
			return true
		}
	}
	return false
}
