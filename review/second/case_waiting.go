package second

import (
	"errors"
	"slices"
	"time"

	"lilacrill/wire"
)

// The machine types of the small deployments.
var (
	volqueta = wire.MachineType{Name: "volqueta-4", Cores: 4, MemGB: 32, LocalGB: 80, PullGBPerS: 0.8, OnDemandPrice: 0.31, SpotPrice: 0.1, StartupS: 15}
	grua     = wire.MachineType{Name: "grua-32", Cores: 32, Accelerators: 4, MemGB: 256, LocalGB: 200, PullGBPerS: 0.4, OnDemandPrice: 11.8, SpotPrice: 3.8, StartupS: 35}
)

// inZones returns machine types as the catalogue lists them.
func (r *rig) inZones(types ...wire.MachineType) []wire.MachineType {
	for i := range types {
		types[i].Zones = r.settings.zones
	}
	return types
}

// openWith opens the rig with some machines, of which the cloud has no others.
func (r *rig) openWith(types []wire.MachineType, machines ...offerKey) ([]*machine, error) {
	if err := r.open(r.inZones(types...), map[offerKey]int{}, 15*time.Second); err != nil {
		return nil, err
	}
	var started []*machine
	for _, key := range machines {
		started = append(started, r.cloud.add(key, 0))
	}
	if err := r.await("there is a leader for scaling", 15*time.Second, func() bool { return r.leader() >= 0 }); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second) // the machines report
	return started, nil
}

// busyMachine is a further machine of the deployment, a cheap one. fill leaves no room on such machines.
var busyMachine = offerKey{"volqueta-4", "cartago", true}

// fewBusyMachines is how many of them most cases have.
const fewBusyMachines = 3

// fill submits a job whose tasks fill the busy machines, and waits until they run.
func (r *rig) fill(count int) error {
	filler := newJob("wk-000009", wire.ShapeArray, wire.PriorityHigh, count, 4, 0, 30, 300*time.Second)
	filler.spec.Types, filler.spec.Zone, filler.spec.Spot = []string{"volqueta-4"}, "cartago", true
	return r.submitAndAwait(filler)
}

// submitAndAwait submits jobs and waits until all their tasks are on machines.
func (r *rig) submitAndAwait(jobs ...*job) error {
	for _, j := range jobs {
		if err := r.submit(j, 0, 1, 2); err != nil {
			return err
		}
		if err := r.await(string(j.spec.ID)+" is on its machines", 15*time.Second, func() bool { return len(r.startsOf(j.spec.ID)) == j.spec.Tasks }); err != nil {
			return err
		}
	}
	return nil
}

// take has the cloud take a cheap machine back without notice: one of four, or of twelve.
func (r *rig) take(m *machine) {
	if r.trouble {
		r.log("TROUBLE: the cloud takes %s back without notice", m.id)
		m.end("taken")
	}
}

// awaitPending waits until the controllers know that no task of a job runs any more.
func (r *rig) awaitPending(j *job) error {
	if !r.trouble {
		return nil
	}
	return r.await(string(j.spec.ID)+" is pending again", 40*time.Second, func() bool {
		_, answer := r.call("GET", 0, "/work/"+string(j.spec.ID), nil)
		return answer.Status == wire.StatusPending
	})
}

// waitsForAccelerators: a job that needs accelerators has lost its cheap machine and waits, as the cloud
// has no other. A small job that needs none must not wait for ever beside the room on another machine
// with accelerators.
func waitsForAccelerators(r *rig) (string, error) {
	machines, err := r.openWith([]wire.MachineType{volqueta, grua}, append([]offerKey{{"grua-32", "san-jose", false}, {"grua-32", "heredia", true}}, slices.Repeat([]offerKey{busyMachine}, fewBusyMachines)...)...)
	if err != nil {
		return "", err
	}
	first := newJob("wk-000001", wire.ShapeGang, wire.PriorityHigh, 1, 28, 4, 200, 300*time.Second)
	second := newJob("wk-000002", wire.ShapeGang, wire.PriorityHigh, 1, 28, 4, 200, 300*time.Second)
	second.spec.Spot, second.spec.Zone = true, "heredia"
	first.spec.Zone = "san-jose"
	if err := errors.Join(r.fill(fewBusyMachines), r.submitAndAwait(first, second)); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	r.take(machines[1])
	if err := r.awaitPending(second); err != nil {
		return "", err
	}
	small := newJob("wk-000003", wire.ShapeArray, wire.PriorityNormal, 1, 1, 0, 2.7, 25*time.Second)
	if err := r.submit(small, 0, 1, 2); err != nil {
		return "", err
	}
	return r.watchWaiting(small, time.Now()), nil
}

// waitsForHeadroom: a job loses its cheap machine, and the cloud has no other. It must not wait for ever
// beside a machine whose room is kept free for replicas that nobody has asked for.
func waitsForHeadroom(r *rig) (string, error) {
	r.settings.objectives = "[[cluster.objectives]]\nkind = \"wait\"\nclass = \"booking-desk\"\nwithin_s = 1.0\nshare = 0.9"
	machines, err := r.openWith([]wire.MachineType{volqueta}, append([]offerKey{{"volqueta-4", "san-jose", false}, {"volqueta-4", "heredia", true}}, slices.Repeat([]offerKey{busyMachine}, fewBusyMachines)...)...)
	if err != nil {
		return "", err
	}
	booking := newJob("wk-000001", wire.ShapeService, wire.PriorityCritical, 1, 1, 0, 3, 0)
	booking.spec.Class = "booking-desk"
	sweep := newJob("wk-000002", wire.ShapeArray, wire.PriorityBestEffort, 1, 2, 0, 6, 300*time.Second)
	sweep.spec.Class, sweep.spec.Spot = "invoice-sweep", true
	if err := errors.Join(r.fill(fewBusyMachines), r.submitAndAwait(booking, sweep)); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	r.take(machines[1])
	return r.watchWaiting(sweep, time.Now()), nil
}

// waitsForGang: a gang loses a task with its cheap machine and can't start again, as the cloud has no
// other. A small job must not wait beside the room that the gang can't use.
func waitsForGang(r *rig) (string, error) {
	machines, err := r.openWith([]wire.MachineType{volqueta}, append([]offerKey{{"volqueta-4", "san-jose", false}, {"volqueta-4", "heredia", false}, {"volqueta-4", "heredia", true}}, slices.Repeat([]offerKey{busyMachine}, fewBusyMachines)...)...)
	if err != nil {
		return "", err
	}
	base := newJob("wk-000001", wire.ShapeService, wire.PriorityHigh, 2, 1, 0, 3, 0)
	gang := newJob("wk-000002", wire.ShapeGang, wire.PriorityHigh, 3, 3, 0, 3, 300*time.Second)
	gang.spec.Spot = true
	if err := errors.Join(r.fill(fewBusyMachines), r.submitAndAwait(base, gang)); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	r.take(machines[2])
	if err := r.awaitPending(gang); err != nil {
		return "", err
	}
	small := newJob("wk-000003", wire.ShapeArray, wire.PriorityBestEffort, 1, 2, 0, 6, 20*time.Second)
	if err := r.submit(small, 0, 1, 2); err != nil {
		return "", err
	}
	return r.watchWaiting(small, time.Now()), nil
}

// reusedAddress: the cloud takes a cheap machine back without notice, and gives its address to a machine
// that is rented a moment later. The task that was lost must start again beside the room elsewhere.
func reusedAddress(r *rig) (string, error) {
	machines, err := r.openWith([]wire.MachineType{volqueta}, append([]offerKey{{"volqueta-4", "san-jose", false}, {"volqueta-4", "heredia", true}}, slices.Repeat([]offerKey{busyMachine}, manyBusyMachines)...)...)
	if err != nil {
		return "", err
	}
	r.cloud.setFree(offerKey{"volqueta-4", "heredia", false}, 1)
	r.cloud.setBoot(quickBoot)
	base := newJob("wk-000001", wire.ShapeArray, wire.PriorityNormal, 1, 1, 0, 3, 300*time.Second)
	lost := newJob("wk-000002", wire.ShapeArray, wire.PriorityNormal, 1, 2, 0, 6, 300*time.Second)
	lost.spec.Spot = true
	if err := errors.Join(r.fill(manyBusyMachines), r.submitAndAwait(base, lost)); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	// Between two reports of the machine, so that it is not among those that a controller asks.
	if err := r.await("the machine has not reported for 1.2 s", 20*time.Second, func() bool {
		return machines[1].sinceReport() > 1200*time.Millisecond && machines[1].sinceReport() < 1700*time.Millisecond
	}); err != nil {
		return "", err
	}
	r.take(machines[1])
	next := newJob("wk-000003", wire.ShapeArray, wire.PriorityNormal, 1, 4, 0, 6, 300*time.Second)
	if err := r.submitAndAwait(next); err != nil {
		return "", err
	}
	return r.watchWaiting(lost, time.Now()), nil
}

// manyBusyMachines is how many busy machines there are when an address is reused: a controller that looks
// for a worker that answers asks one of those heard last, and should seldom meet the one that is gone.
const manyBusyMachines = 11

// quickBoot is how long the next machine takes until it is up: "at times machines are up within a second
// or two".
const quickBoot = 1200 * time.Millisecond
