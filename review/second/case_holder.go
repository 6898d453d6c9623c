package second

import (
	"fmt"
	"slices"
	"time"

	"lilacrill/wire"
)

// holderJobs starts a booking service and a job that will be cancelled on the same machine, which it
// returns.
func (r *rig) holderJobs() (*machine, error) {
	camion := wire.MachineType{Name: "camion-16", Cores: 16, MemGB: 64, LocalGB: 80, PullGBPerS: 0.2, OnDemandPrice: 1.11, SpotPrice: 0.39, StartupS: 30}
	machines, err := r.openWith([]wire.MachineType{camion, volqueta}, append([]offerKey{{"camion-16", "san-jose", false}}, slices.Repeat([]offerKey{busyMachine}, fewBusyMachines)...)...)
	if err != nil {
		return nil, err
	}
	booking := newJob("wk-000001", wire.ShapeService, wire.PriorityCritical, 1, 1, 0, 3, 0)
	booking.spec.Class, booking.spec.Types = "booking-desk", []string{"camion-16"}
	ended := newJob("wk-000002", wire.ShapeArray, wire.PriorityNormal, 1, 6, 0, 20, 300*time.Second)
	if err := r.fill(fewBusyMachines); err != nil {
		return nil, err
	}
	return machines[0], r.submitAndAwait(booking, ended)
}

// replacedHolder: the leader for scaling loses the state service and the workers, and another
// controller takes its place. Then a job is cancelled, and its task stops at once. A booking service
// goes on on the same machine. The replaced leader must not return that machine.
func replacedHolder(r *rig) (string, error) {
	m, err := r.holderJobs()
	if err != nil {
		return "", err
	}
	// A controller raises the token for the clean-up of ended tasks 45 s after the last time, or after
	// its start. From then on the clean-up follows at once.
	time.Sleep(time.Until(r.start.Add(47 * time.Second)))
	old := r.leader()
	others := slices.DeleteFunc([]int{0, 1, 2}, func(i int) bool { return i == old })
	cutAt := time.Now()
	if r.trouble {
		r.log("TROUBLE: controller %d, the leader for scaling, loses the state service and the workers", old)
		r.nodes[old].state.set(true)
		r.nodes[old].workers.set(true)
		if err := r.await("another controller leads scaling", 15*time.Second, func() bool { return r.leader() >= 0 && r.leader() != old }); err != nil {
			return "", err
		}
	}
	replacedAt := time.Now()
	r.log("the leader for scaling is controller %d", r.leader())
	if _, err := r.cancel("wk-000002", others...); err != nil {
		return "", err
	}
	if err := r.await("the cancelled task has ended", 20*time.Second, func() bool { return len(r.endsOf("wk-000002")) == 1 }); err != nil {
		return "", err
	}
	for time.Since(cutAt) < holderCut && !m.isGone() {
		time.Sleep(100 * time.Millisecond)
	}
	r.nodes[old].state.set(false)
	r.nodes[old].workers.set(false)
	r.log("the disruption is over after %.0f s", time.Since(cutAt).Seconds())
	time.Sleep(5 * time.Second)
	for _, returned := range r.returnsSoFar() {
		if returned.by == old && returned.at.After(replacedAt) && len(returned.active) > 0 {
			return fmt.Sprintf("controller %d, replaced as the leader for scaling %.1f s before, returned %s while %v ran on it",
				old, returned.at.Sub(replacedAt).Seconds(), returned.machine, returned.active), nil
		}
	}
	return "", nil
}

// holderCut is how long the leader is cut off at most. The site files have 41.5 s (node_cut with
// from_workers) and 50 s (node_cut with from_state).
const holderCut = 41 * time.Second
