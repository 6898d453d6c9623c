package simulation

import (
	"fmt"
	"slices"
	"time"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

type machineListing struct {
	listedAt controller.Time
	machines []wire.CloudMachine
}

func (c *Cluster) callCloud(process *controllerProcess, call controller.CallID, refused controller.Result, exec func() controller.Result) {
	generation := process.generation
	c.after(100*time.Millisecond, func() {
		c.callRemote(process, generation, call, refused, func() controller.Result {
			if c.CloudUnavailable {
				return refused
			}
			return exec()
		})
	})
}

func (c *Cluster) provision(request wire.ProvisionRequest) controller.ProvisionResult {
	if names, ok := c.provisioned[request.Name]; ok {
		return controller.ProvisionResult{Machines: names}
	}
	i := slices.IndexFunc(c.machineTypes, func(t wire.MachineType) bool { return t.Name == request.Type })
	inUse := 0
	for _, machine := range c.machines {
		if !machine.terminated && machine.machineType.Name == request.Type && machine.zone == request.Zone && machine.spot == request.Spot {
			inUse++
		}
	}
	number := min(request.Count, c.Capacity-inUse)
	if i < 0 || number <= 0 {
		return controller.ProvisionResult{Outcome: controller.NotExecuted, NoCapacity: true}
	}
	var names []wire.MachineID
	for range number {
		boot := time.Duration(1+c.rng.IntN(8)) * time.Second
		if c.ProvisioningDelay != nil {
			boot = c.ProvisioningDelay(request.Type, request.Zone)
		}
		names = append(names, c.AddMachine(c.machineTypes[i], request.Zone, request.Spot, boot).id)
		c.countIfShardMoves(machineProvisionedInMovingShard, names[len(names)-1])
	}
	c.provisioned[request.Name] = names
	return controller.ProvisionResult{Machines: names}
}

// AddMachine rents a machine that comes up after boot.
func (c *Cluster) AddMachine(kind wire.MachineType, zone string, spot bool, boot time.Duration) *fakeMachine {
	machine := &fakeMachine{cluster: c, id: wire.MachineID(fmt.Sprintf("m-%06d", len(c.machines))), machineType: kind, zone: zone, spot: spot,
		provisionedAt: c.now, agentEpoch: 1, tasks: map[taskKey]*fakeTask{}, images: map[string]bool{}, controller: c.rng.IntN(len(c.controllers))}
	c.machines = append(c.machines, machine)
	c.machinesByID[machine.id] = machine
	c.after(boot, func() {
		if !machine.terminated {
			machine.up, machine.leaseRenewedAt = true, c.now
			machine.heartbeatLoop()
		}
	})
	return machine
}

func (c *Cluster) listMachines() []wire.CloudMachine {
	var out []wire.CloudMachine
	for _, machine := range c.machines {
		if machine.terminated && (!machine.up || c.now-machine.terminatedAt > controller.Time(30*time.Second)) {
			continue
		}
		listed := wire.CloudMachine{ID: machine.id, Addr: string(machine.id), Type: machine.machineType.Name, Zone: machine.zone, Spot: machine.spot,
			Status: wire.MachineBooting, AgeS: c.now.Sub(machine.provisionedAt).Seconds()}
		if machine.up {
			listed.Status = wire.MachineRunning
		}
		out = append(out, listed)
	}
	return out
}
