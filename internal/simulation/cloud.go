package simulation

import (
	"fmt"
	"slices"
	"time"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

const (
	// cloudDelay is added to every call to the cloud.
	cloudDelay = 100 * time.Millisecond
	// recentListings is the number of the latest machine lists from which the cloud chooses
	// its answers.
	recentListings = 5
	// terminatedListingTime is the time for which a machine that died stays in the cloud's
	// list. A machine that the cloud itself terminated leaves the list at once.
	terminatedListingTime = 30 * time.Second
	// maxProvisioningDelay is the longest random time from the provisioning of a machine
	// until its worker joins, in seconds.
	maxProvisioningDelay = 8
)

// executeOnCloud executes a call to the cloud.
func (c *Cluster) executeOnCloud(process *controllerProcess, output controller.Output) {
	switch o := output.(type) {
	case controller.ReadCatalogue:
		c.callCloud(newCall(process, o.Call), controller.CatalogueResult{Outcome: controller.NotExecuted}, func() controller.Result {
			return controller.CatalogueResult{Catalogue: wire.Catalogue{Types: c.machineTypes}}
		})
	case controller.ListMachines:
		c.callCloud(newCall(process, o.Call), controller.MachinesResult{Outcome: controller.NotExecuted}, func() controller.Result {
			return controller.MachinesResult{Machines: c.alterListing(c.randomListing())}
		})
	case controller.ProvisionMachines:
		c.callCloud(newCall(process, o.Call), controller.ProvisionResult{Outcome: controller.Unknown}, func() controller.Result {
			return c.provision(o.Request)
		})
	case controller.TerminateMachines:
		c.callCloud(newCall(process, o.Call), controller.TerminateResult{Outcome: controller.Unknown}, func() controller.Result {
			return c.terminateMachines(o.Machines)
		})
	}
}

// callCloud executes a call at the cloud. The argument failed is the result during an outage
// or if no answer arrives.
func (c *Cluster) callCloud(call pendingCall, failed controller.Result, execute func() controller.Result) {
	c.after(cloudDelay, func() {
		c.callRemote(call, failed, func() controller.Result {
			if c.CloudUnavailable {
				return failed
			}
			return execute()
		})
	})
}

// provision provisions as many of the requested machines as the capacity allows. A repeated
// request returns the same machines.
func (c *Cluster) provision(request wire.ProvisionRequest) controller.ProvisionResult {
	if names, repeated := c.provisionedByRequest[request.Name]; repeated {
		return controller.ProvisionResult{Machines: names}
	}
	i := slices.IndexFunc(c.machineTypes, func(t wire.MachineType) bool { return t.Name == request.Type })
	count := min(request.Count, c.Capacity-c.machinesInUse(request))
	if i < 0 || count <= 0 {
		return controller.ProvisionResult{Outcome: controller.NotExecuted, NoCapacity: true}
	}
	var names []wire.MachineID
	for range count {
		delay := time.Duration(1+c.rng.IntN(maxProvisioningDelay)) * time.Second
		if c.ProvisioningDelay != nil {
			delay = c.ProvisioningDelay(request.Type, request.Zone)
		}
		machine := c.AddMachine(c.machineTypes[i], request.Zone, request.Spot, delay)
		names = append(names, machine.id)
		c.countIfShardMoving(machineProvisionedInMovingShard, machine.id)
	}
	c.provisionedByRequest[request.Name] = names
	return controller.ProvisionResult{Machines: names}
}

// machinesInUse returns the number of machines of the type, zone and price model of a
// request.
func (c *Cluster) machinesInUse(request wire.ProvisionRequest) int {
	inUse := 0
	for _, machine := range c.machines {
		if !machine.terminated && machine.machineType.Name == request.Type && machine.zone == request.Zone && machine.spot == request.Spot {
			inUse++
		}
	}
	return inUse
}

// AddMachine provisions a machine whose worker joins after a delay.
func (c *Cluster) AddMachine(machineType wire.MachineType, zone string, spot bool, delay time.Duration) *fakeMachine {
	machine := &fakeMachine{
		cluster:       c,
		id:            wire.MachineID(fmt.Sprintf("m-%06d", len(c.machines))),
		machineType:   machineType,
		zone:          zone,
		spot:          spot,
		provisionedAt: c.now,
		agentEpoch:    1,
		tasks:         map[taskKey]*fakeTask{},
		images:        map[string]bool{},
		controller:    c.rng.IntN(len(c.controllers)),
	}
	c.machines = append(c.machines, machine)
	c.machinesByID[machine.id] = machine
	machine.setAddr(string(machine.id))
	c.after(delay, func() {
		if !machine.terminated {
			machine.up, machine.leaseRenewedAt = true, c.now
			machine.heartbeatLoop()
		}
	})
	return machine
}

func (c *Cluster) terminateMachines(ids []wire.MachineID) controller.TerminateResult {
	for _, id := range ids {
		if machine := c.machinesByID[id]; machine != nil {
			c.countIfShardMoving(machineTerminatedInMovingShard, id)
			machine.reclaim()
		}
	}
	return controller.TerminateResult{}
}

// recordListing records the current machine list for later answers.
func (c *Cluster) recordListing() {
	c.machineListings = append(c.machineListings, c.listMachines())
	if len(c.machineListings) > maxListings {
		c.machineListings = c.machineListings[1:]
	}
}

// randomListing returns one of the latest machine lists, since the lists of a cloud lag
// behind its machines.
func (c *Cluster) randomListing() []wire.CloudMachine {
	recent := min(len(c.machineListings), recentListings)
	return c.machineListings[c.rng.IntN(recent)+len(c.machineListings)-recent]
}

// alterListing returns a machine list with the statuses of ListedStatus, if that is set.
func (c *Cluster) alterListing(list []wire.CloudMachine) []wire.CloudMachine {
	if c.ListedStatus == nil {
		return list
	}
	var altered []wire.CloudMachine
	for _, listed := range list {
		if listed.Status = c.ListedStatus(listed); listed.Status != "" {
			altered = append(altered, listed)
		}
	}
	return altered
}

// listMachines returns the current machine list of the cloud, without lag.
func (c *Cluster) listMachines() []wire.CloudMachine {
	var list []wire.CloudMachine
	for _, machine := range c.machines {
		if machine.terminated && (!machine.up || c.now-machine.terminatedAt > controller.Time(terminatedListingTime)) {
			continue
		}
		listed := wire.CloudMachine{ID: machine.id, Addr: machine.addr, Type: machine.machineType.Name, Zone: machine.zone, Spot: machine.spot,
			Status: wire.MachineBooting, AgeS: c.now.Sub(machine.provisionedAt).Seconds()}
		if machine.up {
			listed.Status = wire.MachineRunning
		}
		list = append(list, listed)
	}
	return list
}
