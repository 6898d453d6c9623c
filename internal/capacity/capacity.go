// Package capacity plans which machines to provision: it sets the demands against the machines
// that are expected to join, and chooses the cheapest offer for what is left. It has no clock
// and no randomness.
package capacity

import (
	"cmp"
	"math"
	"slices"

	"lilacrill/internal/placement"
	"lilacrill/wire"
)

// Demand is a number of equal tasks without room.
type Demand struct {
	Request *placement.Request
	Count   int
	Zone    string // where they must run; "" if anywhere
}

// Offer is a kind of machine in a zone that the cloud may have.
type Offer struct {
	Type wire.MachineType
	Zone string
	Spot bool
	// OverdueFraction is which part of the machines that were provisioned of it and have not
	// joined yet is overdue, from 0 to 1.
	OverdueFraction float64
}

// Price is what a machine of the offer costs per hour.
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

// Key is the offer's key.
func (o Offer) Key() OfferKey { return OfferKey{o.Type.Name, o.Zone, o.Spot} }

// NewHost is an empty machine of the offer that takes up to taskSlots tasks.
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

// PlanEntry is a number of machines to provision.
type PlanEntry struct {
	Offer Offer
	Count int
}

// Plan is what to provision for the demands, most urgent first, that the expected machines
// (provisioned, but not joined yet) do not satisfy. It places the demands on the expected
// machines in passing. The caller leaves out the offers that the cloud was short of lately.
//
// No offer is in the plan twice, and no launch is larger than the cloud allows for one call.
func Plan(demands []Demand, expected placement.Fleet, offers []Offer, taskSlots int) []PlanEntry {
	var launches []PlanEntry
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
		launches, count = addToPlan(launches, offer, count)
		for range count {
			expected = append(expected, offer.NewHost("", taskSlots))
		}
		expected.Choose(demand.Request, unplaced, demand.Zone, placement.Options{Relax: true})
	}
	return launches
}

// addToPlan adds machines of an offer to the launches, up to what one call allows, and returns
// how many it added.
func addToPlan(launches []PlanEntry, offer Offer, count int) ([]PlanEntry, int) {
	i := slices.IndexFunc(launches, func(launch PlanEntry) bool { return launch.Offer.Key() == offer.Key() })
	if i < 0 {
		count = min(count, wire.MaxProvision)
		return append(launches, PlanEntry{offer, count}), count
	}
	count = min(count, wire.MaxProvision-launches[i].Count)
	launches[i].Count += count
	return launches, count
}

// option is an offer that can serve a demand.
type option struct {
	offer       Offer
	count       int // machines
	costPerTask float64
}

// cheapestOffer finds the offer that serves count tasks of a demand at the lowest cost, and how
// many machines of it they need; 0 if no offer can serve them.
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

// evaluateOffer estimates what it costs to serve count tasks of a demand with an offer, and reports
// whether the offer can serve them. Of a machine that the tasks do not fill, half of the unused
// part counts: it will serve other tasks too, but not surely. An offer whose machines are
// overdue costs more: they may come late, or never.
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
	filled := float64(count) / float64(perMachine)
	paid := (filled + float64(machines)) / 2
	return option{offer, machines, offer.Price() * paid / float64(count) * (1 + offer.OverdueFraction)}, true
}

// roundCost makes costs equal that differ by rounding.
func roundCost(cost float64) float64 { return math.Round(cost*1e9) / 1e9 }
