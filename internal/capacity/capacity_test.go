package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lilacrill/internal/placement"
	"lilacrill/wire"
)

// offers returns spot and on-demand offers of two machine types in two zones.
func offers() []Offer {
	small := wire.MachineType{Name: "small", Cores: 4, MemGB: 16, OnDemandPrice: 4, SpotPrice: 1}
	large := wire.MachineType{Name: "large", Cores: 16, Accelerators: 2, MemGB: 64, OnDemandPrice: 40, SpotPrice: 12}
	var offers []Offer
	for _, machineType := range []wire.MachineType{small, large} {
		for _, zone := range []string{"a", "b"} {
			offers = append(offers, Offer{Type: machineType, Zone: zone}, Offer{Type: machineType, Zone: zone, Spot: true})
		}
	}
	return offers
}

// demand returns a demand for tasks of an array job.
func demand(cores, accelerators float64, spot bool, count int) Demand {
	return Demand{Request: placement.NewRequest(&wire.JobSpec{ID: "wk-1", Team: "red", Shape: wire.ShapeArray, Tasks: count,
		Cores: cores, Accelerators: accelerators, MemGB: 1, Spot: spot}), Count: count}
}

// TestPlanServesAllDemands checks that the machines of a plan have room for all demands, that the
// plan lists no offer twice, and that it has no spot machines unless a job allows them.
func TestPlanServesAllDemands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var demands []Demand
		var need placement.Resources
		anySpot := false
		for range rapid.IntRange(1, 6).Draw(t, "demands") {
			d := demand(float64(rapid.IntRange(1, 4).Draw(t, "cores")), float64(rapid.IntRange(0, 1).Draw(t, "accelerators")),
				rapid.Bool().Draw(t, "spot"), rapid.IntRange(1, 9).Draw(t, "count"))
			anySpot = anySpot || d.Request.Spot
			need = need.Plus(d.Request.Need, float64(d.Count))
			demands = append(demands, d)
		}
		var room placement.Resources
		seen := map[OfferKey]bool{}
		for _, entry := range Plan(demands, nil, offers(), 300) {
			require.False(t, seen[entry.Offer.Key()], "offer listed twice")
			seen[entry.Offer.Key()] = true
			require.True(t, anySpot || !entry.Offer.Spot)
			require.LessOrEqual(t, entry.Count, wire.MaxProvision)
			host := entry.Offer.NewHost("", 300)
			room = room.Plus(host.Total, float64(entry.Count))
		}
		require.True(t, room.Covers(need), "need %v, provisioned %v", need, room)
	})
}

// TestPlanPrefersCheapAndUsesExpected checks that a plan uses the cheapest offer that the job
// allows, and that it is empty if the expected machines have room or there are no offers.
func TestPlanPrefersCheapAndUsesExpected(t *testing.T) {
	plan := Plan([]Demand{demand(1, 0, true, 4)}, nil, offers(), 300)
	require.Len(t, plan, 1)
	require.Equal(t, OfferKey{"small", "a", true}, plan[0].Offer.Key())
	plan = Plan([]Demand{demand(1, 0, false, 4)}, nil, offers(), 300)
	require.False(t, plan[0].Offer.Spot)
	expected := placement.Fleet{offers()[0].NewHost("m-1", 300)}
	require.Empty(t, Plan([]Demand{demand(1, 0, false, 4)}, expected, offers(), 300))
	require.Empty(t, Plan([]Demand{demand(1, 0, false, 4)}, nil, nil, 300))
}

// TestOverdueOffersLast checks that of offers at the same price, those without overdue machines
// are preferred.
func TestOverdueOffersLast(t *testing.T) {
	all := offers()
	for i := range all {
		if all[i].Zone == "a" {
			all[i].OverdueFraction = 0.5
		}
	}
	for _, entry := range Plan([]Demand{demand(1, 0, true, 3)}, nil, all, 300) {
		require.Equal(t, "b", entry.Offer.Zone)
		require.True(t, entry.Offer.Spot)
	}
}
