// Package capacity decides which machines to rent. It has no clock and no
// randomness.
package capacity

import (
	"cmp"
	"math"
	"slices"

	"lilacrill/internal/placement"
	"lilacrill/wire"
)

// Demand is a number of like tasks without room.
type Demand struct {
	Request *placement.Request
	Count   int
	Zone    string // where they must be, or ""
}

// Offer is a kind of machine in a zone that the cloud may have.
type Offer struct {
	Type wire.MachineType
	Zone string
	Spot bool
	// OverdueFraction is which part of what was rented of it and is not up yet is overdue,
	// from 0 to 1.
	OverdueFraction float64
}

// Price is what the offer costs an hour.
func (o Offer) Price() float64 {
	if o.Spot {
		return o.Type.SpotPrice
	}
	return o.Type.OnDemandPrice
}

// Key names an offer.
type Key struct {
	Type, Zone string
	Spot       bool
}

// Key is the offer's name.
func (o Offer) Key() Key { return Key{o.Type.Name, o.Zone, o.Spot} }

// Host is an empty machine of the offer.
func (o Offer) Host(id wire.MachineID, slots int) *placement.Host {
	spot := "false"
	if o.Spot {
		spot = "true"
	}
	total := placement.Resources{Cores: o.Type.Cores, Accelerators: o.Type.Accelerators, MemGB: o.Type.MemGB}
	return &placement.Host{
		ID:     id,
		Labels: placement.Tags{placement.LabelType: o.Type.Name, placement.LabelZone: o.Zone, placement.LabelSpot: spot},
		Total:  total, Free: total, TaskSlots: slots, Price: o.Price(),
	}
}

// Launch is a number of machines to rent.
type Launch struct {
	Offer Offer
	Count int
}

// Plan says what to rent for the demands, most urgent first, that the coming
// machines (rented, but not up yet) will not satisfy. The coming machines are
// filled in passing. Offers that were refused lately are left out by the
// caller.
func Plan(demands []Demand, coming placement.Fleet, offers []Offer, slots int) []Launch {
	var out []Launch
	for _, d := range demands {
		left := d.Count
		for _, ch := range coming.Choose(d.Request, left, d.Zone, placement.Options{Relax: true}) {
			left -= ch.Count
		}
		if left <= 0 {
			continue
		}
		best, number := cheapestOffer(d, left, offers, slots)
		if number == 0 {
			continue
		}
		if k := slices.IndexFunc(out, func(p Launch) bool { return p.Offer.Key() == best.Key() }); k >= 0 {
			number = min(number, wire.MaxProvision-out[k].Count)
			out[k].Count += number
		} else {
			number = min(number, wire.MaxProvision)
			out = append(out, Launch{best, number})
		}
		for range number {
			coming = append(coming, best.Host("", slots))
		}
		coming.Choose(d.Request, left, d.Zone, placement.Options{Relax: true})
	}
	return out
}

// cheapestOffer finds the offer that serves the tasks at the lowest price, counting only
// the machines' part that they will use where they use less than all of it.
func cheapestOffer(d Demand, count int, offers []Offer, slots int) (Offer, int) {
	type option struct {
		offer  Offer
		number int
		cost   float64
	}
	var options []option
	for _, o := range offers {
		h := o.Host("", slots)
		if !(placement.Fleet{h}).Holds(d.Request.Enforced, d.Request.Team, h) {
			continue
		}
		if d.Zone != "" && o.Zone != d.Zone {
			continue
		}
		per := h.Free.Fits(d.Request.Need, slots)
		if per == 0 {
			continue
		}
		number := (count + per - 1) / per
		// A machine that is not filled will serve others too, but not surely.
		filled := float64(count) / float64(per)
		paid := (filled + float64(number)) / 2
		// What may come late, or never, is worth less.
		options = append(options, option{o, number, o.Price() * paid / float64(count) * (1 + o.OverdueFraction)})
	}
	if len(options) == 0 {
		return Offer{}, 0
	}
	best := slices.MinFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(roundCost(a.cost), roundCost(b.cost)), cmp.Compare(a.offer.Type.StartupS, b.offer.Type.StartupS),
			cmp.Compare(a.offer.Zone, b.offer.Zone))
	})
	return best.offer, best.number
}

// roundCost makes costs that differ by rounding equal.
func roundCost(f float64) float64 { return math.Round(f*1e9) / 1e9 }
