package simulation

import (
	"fmt"
	"slices"
	"time"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

type snapshot struct {
	at   controller.Time
	list []wire.CloudMachine
}

func (w *World) cloud(n *node, id controller.CallID, refused controller.Result, exec func() controller.Result) {
	gen := n.gen
	w.after(100*time.Millisecond, func() {
		w.remote(n, gen, id, refused, func() controller.Result {
			if w.CloudDown {
				return refused
			}
			return exec()
		})
	})
}

func (w *World) hire(h wire.ProvisionRequest) controller.ProvisionResult {
	if names, ok := w.hires[h.Name]; ok {
		return controller.ProvisionResult{Machines: names}
	}
	i := slices.IndexFunc(w.types, func(t wire.MachineType) bool { return t.Name == h.Type })
	inUse := 0
	for _, m := range w.machines {
		if !m.dead && m.kind.Name == h.Type && m.zone == h.Zone && m.spot == h.Spot {
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
		if w.Boot != nil {
			boot = w.Boot(h.Type, h.Zone)
		}
		names = append(names, w.AddMachine(w.types[i], h.Zone, h.Spot, boot).id)
		w.noteMoving("machine rented into a share that moves", names[len(names)-1])
	}
	w.hires[h.Name] = names
	return controller.ProvisionResult{Machines: names}
}

// AddMachine rents a machine that comes up after boot.
func (w *World) AddMachine(kind wire.MachineType, zone string, spot bool, boot time.Duration) *machine {
	m := &machine{w: w, id: wire.MachineID(fmt.Sprintf("m-%06d", len(w.machines))), kind: kind, zone: zone, spot: spot,
		born: w.now, session: 1, tasks: map[taskKey]*task{}, images: map[string]bool{}, node: w.rng.IntN(len(w.nodes))}
	w.machines = append(w.machines, m)
	w.byID[m.id] = m
	w.after(boot, func() {
		if !m.dead {
			m.up, m.answered = true, w.now
			m.reportLoop()
		}
	})
	return m
}

func (w *World) list() []wire.CloudMachine {
	var out []wire.CloudMachine
	for _, m := range w.machines {
		if m.dead && (!m.up || w.now-m.deadAt > controller.Time(30*time.Second)) {
			continue
		}
		l := wire.CloudMachine{ID: m.id, Addr: string(m.id), Type: m.kind.Name, Zone: m.zone, Spot: m.spot,
			Status: wire.MachineBooting, AgeS: w.now.Sub(m.born).Seconds()}
		if m.up {
			l.Status = wire.MachineRunning
		}
		out = append(out, l)
	}
	return out
}
