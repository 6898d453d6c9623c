package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lilacrill/wire"
)

var (
	zoneNames = []string{"a", "b", "c"}
	keys      = []string{"job", "role", "zone"}
	values    = []string{"1", "2"}
)

func genTags(t *rapid.T, name string, least int) Tags {
	return rapid.MapOfN(rapid.SampledFrom(keys), rapid.SampledFrom(values), least, 2).Draw(t, name)
}

func genNode(t *rapid.T, depth int) RuleTree {
	switch kind := rapid.IntRange(0, 5).Draw(t, "node"); {
	case kind == 0 && depth > 0, kind == 1 && depth > 0:
		var kids []RuleTree
		for range rapid.IntRange(1, 3).Draw(t, "kids") {
			kids = append(kids, genNode(t, depth-1))
		}
		if kind == 0 {
			return RuleTree{AnyOf: kids}
		}
		return RuleTree{AllOf: kids}
	}
	r := &Rule{Subject: Subject(rapid.IntRange(0, 1).Draw(t, "resource")),
		Operator: Operator(rapid.IntRange(0, 1).Draw(t, "operator")), Tags: genTags(t, "tags", 1)}
	if r.Subject == TaskTags {
		r.GroupedBy = rapid.SampledFrom([]string{"", "zone", "rack"}).Draw(t, "within")
		r.CountsStopping = rapid.Bool().Draw(t, "stopping")
		if r.Operator == Forbids {
			r.Limit = rapid.IntRange(0, 2).Draw(t, "allow")
		}
	}
	return RuleTree{Rule: r}
}

func genFleet(t *rapid.T) Fleet {
	var f Fleet
	for i := range rapid.IntRange(1, 5).Draw(t, "hosts") {
		h := &Host{ID: wire.MachineID(fmt.Sprint("m", i)), Labels: Tags{}}
		if rapid.IntRange(0, 4).Draw(t, "labelled") > 0 {
			h.Labels["zone"] = rapid.SampledFrom(values).Draw(t, "zone")
		}
		for range rapid.IntRange(0, 3).Draw(t, "groups") {
			h.TaskGroups = append(h.TaskGroups, TaskGroup{Team: rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"),
				Tags: genTags(t, "task", 0), Count: rapid.IntRange(1, 2).Draw(t, "count"), Stopping: rapid.Bool().Draw(t, "gone")})
		}
		f = append(f, h)
	}
	return f
}

// plain evaluates a node by the definitions of the rules, task by task and without caches.
func plain(f Fleet, n RuleTree, team string, h *Host) bool {
	switch {
	case n.AnyOf != nil:
		anyHolds := false
		for _, k := range n.AnyOf {
			anyHolds = plain(f, k, team, h) || anyHolds
		}
		return anyHolds
	case n.AllOf != nil:
		all := true
		for _, k := range n.AllOf {
			all = plain(f, k, team, h) && all
		}
		return all
	}
	r := n.Rule
	matches := func(tags Tags) bool {
		for k := range r.Tags {
			if tags[k] != r.Tags[k] {
				return false
			}
		}
		return true
	}
	if r.Subject == MachineLabels {
		return matches(h.Labels) == (r.Operator == Requires)
	}
	count := 0
	for _, o := range f {
		inGroup := o == h
		if r.GroupedBy != "" {
			mine, labelled := h.Labels[r.GroupedBy]
			if !labelled {
				return false
			}
			its, ok := o.Labels[r.GroupedBy]
			inGroup = ok && its == mine
		}
		for _, g := range o.TaskGroups {
			for range g.Count {
				if inGroup && g.Team == team && matches(g.Tags) && (r.CountsStopping || !g.Stopping) {
					count++
				}
			}
		}
	}
	return (r.Operator == Requires && count > 0) || (r.Operator == Forbids && count <= r.Limit)
}

// TestRulesAgainstDefinitions compares the evaluator with a plain evaluation of the rules'
// definitions.
func TestRulesAgainstDefinitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := genFleet(t)
		n := genNode(t, 3)
		for _, h := range f {
			require.Equal(t, plain(f, n, "red", h), f.Holds([]RuleTree{n}, "red", h))
		}
	})
}

// TestChooseKeepsTheRules places generated jobs and checks every assignment against the job's
// fields, without rules.
func TestChooseKeepsTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f Fleet
		for i := range rapid.IntRange(1, 8).Draw(t, "hosts") {
			total := Resources{float64(rapid.IntRange(1, 8).Draw(t, "cores")), float64(rapid.IntRange(0, 2).Draw(t, "gpus")), 32}
			spot := rapid.Bool().Draw(t, "spot")
			f = append(f, &Host{ID: wire.MachineID(fmt.Sprint("m", i)), Total: total, Free: total, TaskSlots: 50,
				Labels: Tags{LabelZone: rapid.SampledFrom(zoneNames).Draw(t, "zone"), LabelSpot: fmt.Sprint(spot),
					LabelType: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "type")}})
		}
		j := &wire.JobSpec{ID: "wk-1", Team: "red", Shape: rapid.SampledFrom([]wire.Shape{wire.ShapeArray, wire.ShapeService, wire.ShapeGang}).Draw(t, "shape"),
			Tasks: rapid.IntRange(1, 9).Draw(t, "tasks"), Cores: float64(rapid.IntRange(1, 3).Draw(t, "need")), MemGB: 1,
			SingleZone: rapid.Bool().Draw(t, "together"), SpreadZones: rapid.Bool().Draw(t, "apart"), Spot: rapid.Bool().Draw(t, "spotOK")}
		if rapid.Bool().Draw(t, "typed") {
			j.Types = []string{"x"}
		}
		if rapid.Bool().Draw(t, "zoned") {
			j.Zone = "a"
		}
		o := Options{Relax: rapid.Bool().Draw(t, "relax"), AllOrNothing: j.Shape == wire.ShapeGang}
		if rapid.Bool().Draw(t, "probing") {
			o.SampleSize, o.Rand = 3, rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		}
		before := map[wire.MachineID]Resources{}
		byID := map[wire.MachineID]*Host{}
		for _, h := range f {
			before[h.ID], byID[h.ID] = h.Free, h
		}
		assignments := f.Choose(NewRequest(j), j.Tasks, "", o)
		inZone, onHost, sum := map[string]int{}, map[wire.MachineID]int{}, 0
		for _, c := range assignments {
			h := byID[c.Machine]
			inZone[c.Zone] += c.Count
			sum += c.Count
			onHost[c.Machine] += c.Count
			require.True(t, j.Types == nil || h.Labels[LabelType] == "x")
			require.True(t, j.Zone == "" || c.Zone == "a")
			require.True(t, j.Spot || h.Labels[LabelSpot] == "false")
			if j.Shape == wire.ShapeService && !c.Relaxed {
				require.Equal(t, 1, c.Count, "replicas share a machine though the rule was not relaxed")
			}
		}
		require.LessOrEqual(t, sum, j.Tasks)
		if o.AllOrNothing {
			require.True(t, sum == 0 || sum == j.Tasks, "part of a gang placed")
		}
		for _, n := range inZone {
			require.True(t, !j.SpreadZones || n <= (j.Tasks+1)/2, "too many in one zone")
		}
		require.True(t, !j.SingleZone || len(inZone) <= 1, "not in a single zone")
		for id, h := range byID {
			require.InDelta(t, before[id].Cores-float64(onHost[id])*j.Cores, h.Free.Cores, 1e-9, "reserved wrongly")
			require.GreaterOrEqual(t, h.Free.Cores, 0.0)
		}
	})
}

// TestPreferredIsRelaxedOnlyForRoom: replicas share a machine when no other has room, but not
// when the others are merely excluded.
func TestPreferredIsRelaxedOnlyForRoom(t *testing.T) {
	fleet := func() Fleet {
		var f Fleet
		for _, id := range []wire.MachineID{"m1", "m2"} {
			f = append(f, &Host{ID: id, Labels: labels("a"), Total: Resources{4, 0, 8}, Free: Resources{4, 0, 8}, TaskSlots: 9})
		}
		return f
	}
	j := &wire.JobSpec{ID: "wk-1", Team: "red", Shape: wire.ShapeService, Tasks: 3, Cores: 1, MemGB: 1}
	assignments := fleet().Choose(NewRequest(j), 3, "", Options{Relax: true})
	require.Len(t, assignments, 3)
	require.True(t, assignments[2].Relaxed)
	require.Equal(t, 2, totalCount(fleet().Choose(NewRequest(j), 3, "", Options{})))
	excluded := fleet().Choose(NewRequest(j), 3, "", Options{Excluded: map[wire.MachineID]bool{"m2": true}})
	require.Equal(t, 1, totalCount(excluded), "an excluded machine made replicas share")
}

func labels(zone string) Tags { return Tags{LabelZone: zone, LabelSpot: "false", LabelType: "x"} }

// TestSharedRanking: searches for the same resources that share a ranking place as many tasks
// as ones that score every machine anew, and no machine is overcommitted.
func TestSharedRanking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := func() Fleet {
			var f Fleet
			for i, cores := range []float64{1, 4, 2, 8, 3} {
				a := Resources{Cores: cores, MemGB: 10}
				f = append(f, &Host{ID: wire.MachineID(fmt.Sprint("m", i)), Labels: Tags{LabelSpot: "false"}, Total: a, Free: a, TaskSlots: 4})
			}
			return f
		}
		r := NewRequest(&wire.JobSpec{ID: "wk-1", Team: "red", Shape: wire.ShapeArray, Cores: rapid.SampledFrom([]float64{0.5, 1, 3}).Draw(t, "cores"), MemGB: 1})
		shared, anew := fleet(), fleet()
		ranking := shared.Rank(r, Options{})
		for range rapid.IntRange(1, 12).Draw(t, "jobs") {
			n := rapid.IntRange(1, 4).Draw(t, "tasks")
			require.Equal(t, totalCount(anew.Choose(r, n, "", Options{})), totalCount(shared.Choose(r, n, "", Options{Ranking: ranking})))
		}
		for _, h := range shared {
			require.True(t, h.Free.Covers(Resources{}) && h.TaskSlots >= 0)
		}
	})
}
