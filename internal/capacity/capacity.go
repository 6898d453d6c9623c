// Package capacity plans which machines to provision. It places the unmet demand on the machines
// that are expected to join, and chooses the cheapest offer for the tasks that remain. It reads
// no clock and uses no randomness.
package capacity

import (
	"cmp"
	"math"
	"slices"

	"lilacrill/internal/placement"
	"lilacrill/wire"
)

// Demand is a number of tasks with equal requests for which no machine has room.
type Demand struct {
	Request *placement.Request
	Count   int
	Zone    string // where the tasks must run, or "" if they may run in any zone
}

// Offer is a machine type in one zone, either spot or on-demand, that the cloud may have
// available.
type Offer struct {
	Type wire.MachineType
	Zone string
	Spot bool
	// OverdueFraction is the fraction, from 0 to 1, of the machines of this offer being
	// provisioned that are overdue to join.
	OverdueFraction float64
}

// Price returns the cost of a machine of the offer per hour.
func (o Offer) Price() float64 {
	if o.Spot {
		return o.Type.SpotPrice
	}
	return o.Type.OnDemandPrice
}

// OfferKey identifies an offer.
type OfferKey struct {
	Type, Zone string
	Spot       bool
}

// Key returns the key of the offer.
func (o Offer) Key() OfferKey { return OfferKey{o.Type.Name, o.Zone, o.Spot} }

// NewHost returns an empty machine of the offer that takes up to taskSlots tasks.
func (o Offer) NewHost(id wire.MachineID, taskSlots int) *placement.Host {
	spot := "false"
	if o.Spot {
		spot = "true"
	}
	total := placement.Resources{Cores: o.Type.Cores, Accelerators: o.Type.Accelerators, MemGB: o.Type.MemGB}
	return &placement.Host{
		ID:        id,
		Labels:    placement.Tags{placement.LabelType: o.Type.Name, placement.LabelZone: o.Zone, placement.LabelSpot: spot},
		Total:     total,
		Free:      total,
		TaskSlots: taskSlots,
		Price:     o.Price(),
	}
}

// PlanEntry is a number of machines of one offer to provision.
type PlanEntry struct {
	Offer Offer
	Count int
}

// Plan returns the machines to provision for the demands that the expected machines do not
// satisfy. The demands are sorted by urgency, most urgent first. The expected machines are
// provisioned but have not joined yet; Plan reserves their resources for the demands that it
// places on them. The caller leaves out offers for which the cloud recently reported a capacity
// shortage.
//
// The plan has at most one entry for each offer, with no more machines than one call to the
// cloud may provision. Demand that exceeds this remains unmet.
func Plan(demands []Demand, expected placement.Fleet, offers []Offer, taskSlots int) []PlanEntry {
	var plan []PlanEntry
	for _, demand := range demands {
		unplaced := demand.Count
		for _, assignment := range expected.Choose(demand.Request, unplaced, demand.Zone, placement.Options{Relax: true}) {
			unplaced -= assignment.Count
		}
		if unplaced <= 0 {
			continue
		}
		offer, count := cheapestOffer(demand, unplaced, offers, taskSlots)
		if count == 0 {
			continue
		}
		plan, count = addToPlan(plan, offer, count)
		for range count {
			expected = append(expected, offer.NewHost("", taskSlots))
		}
		expected.Choose(demand.Request, unplaced, demand.Zone, placement.Options{Relax: true})
	}
	return plan
}

// addToPlan adds machines of an offer to the plan, up to the number that one call to the cloud may
// provision, and returns how many it added.
func addToPlan(plan []PlanEntry, offer Offer, count int) ([]PlanEntry, int) {
	i := slices.IndexFunc(plan, func(entry PlanEntry) bool { return entry.Offer.Key() == offer.Key() })
	if i < 0 {
		count = min(count, wire.MaxProvision)
		return append(plan, PlanEntry{offer, count}), count
	}
	count = min(count, wire.MaxProvision-plan[i].Count)
	plan[i].Count += count
	return plan, count
}

// option is an offer that can serve a demand.
type option struct {
	offer       Offer
	count       int // machines
	costPerTask float64
}

// cheapestOffer returns the offer that serves count tasks of a demand at the lowest estimated
// cost, and the number of its machines that the tasks need. The number is 0 if no offer can serve
// them. Of offers with equal cost it prefers the machine type that starts faster.
func cheapestOffer(demand Demand, count int, offers []Offer, taskSlots int) (Offer, int) {
	var options []option
	for _, offer := range offers {
		if o, ok := evaluateOffer(demand, count, offer, taskSlots); ok {
			options = append(options, o)
		}
	}
	if len(options) == 0 {
		return Offer{}, 0
	}
	best := slices.MinFunc(options, func(a, b option) int {
		return cmp.Or(
			cmp.Compare(roundCost(a.costPerTask), roundCost(b.costPerTask)),
			cmp.Compare(a.offer.Type.StartupS, b.offer.Type.StartupS),
			cmp.Compare(a.offer.Zone, b.offer.Zone))
	})
	return best.offer, best.count
}

// evaluateOffer estimates the cost of serving count tasks of a demand with an offer, and reports
// whether the offer can serve them. If the tasks do not fill the last machine, half of its unused
// part is included in the cost, since it is not certain that other tasks will use that part. The
// cost of an offer increases with its fraction of overdue machines, since further machines of it
// may join late or never.
func evaluateOffer(demand Demand, count int, offer Offer, taskSlots int) (option, bool) {
	host := offer.NewHost("", taskSlots)
	if !(placement.Fleet{host}).Holds(demand.Request.Enforced, demand.Request.Team, host) {
		return option{}, false
	}
	if demand.Zone != "" && offer.Zone != demand.Zone {
		return option{}, false
	}
	perMachine := host.Free.FitCount(demand.Request.Need, taskSlots)
	if perMachine == 0 {
		return option{}, false
	}
	machines := (count + perMachine - 1) / perMachine
	filledMachines := float64(count) / float64(perMachine)
	chargedMachines := (filledMachines + float64(machines)) / 2
	return option{offer, machines, offer.Price() * chargedMachines / float64(count) * (1 + offer.OverdueFraction)}, true
}

// roundCost rounds a cost so that costs compare as equal if they differ by rounding errors only.
func roundCost(cost float64) float64 { return math.Round(cost*1e9) / 1e9 }
