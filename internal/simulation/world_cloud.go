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

func (w *Cluster) callCloud(n *controllerProcess, id controller.CallID, refused controller.Result, exec func() controller.Result) {
	gen := n.generation
	w.after(100*time.Millisecond, func() {
		w.callRemote(n, gen, id, refused, func() controller.Result {
			if w.CloudUnavailable {
				return refused
			}
			return exec()
		})
	})
}

func (w *Cluster) provision(h wire.ProvisionRequest) controller.ProvisionResult {
	if names, ok := w.provisioned[h.Name]; ok {
		return controller.ProvisionResult{Machines: names}
	}
	i := slices.IndexFunc(w.machineTypes, func(t wire.MachineType) bool { return t.Name == h.Type })
	inUse := 0
	for _, m := range w.machines {
		if !m.terminated && m.machineType.Name == h.Type && m.zone == h.Zone && m.spot == h.Spot {
			inUse++
		}
	}
	number := min(h.Count, w.Capacity-inUse)
	if i < 0 || number <= 0 {
		return controller.ProvisionResult{Outcome: controller.NotExecuted, NoCapacity: true}
	}
	var names []wire.MachineID
	for range number {
		boot := time.Duration(1+w.rng.IntN(8)) * time.Second
		if w.ProvisioningDelay != nil {
			boot = w.ProvisioningDelay(h.Type, h.Zone)
		}
		names = append(names, w.AddMachine(w.machineTypes[i], h.Zone, h.Spot, boot).id)
		w.countIfShardMoves("machine rented into a share that moves", names[len(names)-1])
	}
	w.provisioned[h.Name] = names
	return controller.ProvisionResult{Machines: names}
}

// AddMachine rents a machine that comes up after boot.
func (w *Cluster) AddMachine(kind wire.MachineType, zone string, spot bool, boot time.Duration) *fakeMachine {
	m := &fakeMachine{cluster: w, id: wire.MachineID(fmt.Sprintf("m-%06d", len(w.machines))), machineType: kind, zone: zone, spot: spot,
		provisionedAt: w.now, agentEpoch: 1, tasks: map[taskKey]*fakeTask{}, images: map[string]bool{}, controller: w.rng.IntN(len(w.controllers))}
	w.machines = append(w.machines, m)
	w.machinesByID[m.id] = m
	w.after(boot, func() {
		if !m.terminated {
			m.up, m.leaseRenewedAt = true, w.now
			m.heartbeatLoop()
		}
	})
	return m
}

func (w *Cluster) listMachines() []wire.CloudMachine {
	var out []wire.CloudMachine
	for _, m := range w.machines {
		if m.terminated && (!m.up || w.now-m.terminatedAt > controller.Time(30*time.Second)) {
			continue
		}
		l := wire.CloudMachine{ID: m.id, Addr: string(m.id), Type: m.machineType.Name, Zone: m.zone, Spot: m.spot,
			Status: wire.MachineBooting, AgeS: w.now.Sub(m.provisionedAt).Seconds()}
		if m.up {
			l.Status = wire.MachineRunning
		}
		out = append(out, l)
	}
	return out
}
