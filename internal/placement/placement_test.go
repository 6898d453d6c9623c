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
	tagKeys   = []string{"job", "role", "zone"}
	tagValues = []string{"1", "2"}
)

// genTags draws minTags to 2 tags.
func genTags(t *rapid.T, name string, minTags int) Tags {
	return rapid.MapOfN(rapid.SampledFrom(tagKeys), rapid.SampledFrom(tagValues), minTags, 2).Draw(t, name)
}

// genRuleTree draws a rule tree with at most depth levels above its rules.
func genRuleTree(t *rapid.T, depth int) RuleTree {
	switch kind := rapid.IntRange(0, 5).Draw(t, "kind"); {
	case kind == 0 && depth > 0, kind == 1 && depth > 0:
		var subtrees []RuleTree
		for range rapid.IntRange(1, 3).Draw(t, "subtrees") {
			subtrees = append(subtrees, genRuleTree(t, depth-1))
		}
		if kind == 0 {
			return RuleTree{AnyOf: subtrees}
		}
		return RuleTree{AllOf: subtrees}
	}
	rule := &Rule{Subject: Subject(rapid.IntRange(0, 1).Draw(t, "subject")),
		Operator: Operator(rapid.IntRange(0, 1).Draw(t, "operator")), Tags: genTags(t, "tags", 1)}
	if rule.Subject == TaskTags {
		rule.GroupedBy = rapid.SampledFrom([]string{"", "zone", "rack"}).Draw(t, "groupedBy")
		rule.CountsStopping = rapid.Bool().Draw(t, "countsStopping")
		if rule.Operator == Forbids {
			rule.Limit = rapid.IntRange(0, 2).Draw(t, "limit")
		}
	}
	return RuleTree{Rule: rule}
}

// genFleet draws a fleet of machines that run tasks of two teams.
func genFleet(t *rapid.T) Fleet {
	var fleet Fleet
	for i := range rapid.IntRange(1, 5).Draw(t, "hosts") {
		host := &Host{ID: wire.MachineID(fmt.Sprint("m", i)), Labels: Tags{}}
		if rapid.IntRange(0, 4).Draw(t, "labelled") > 0 {
			host.Labels["zone"] = rapid.SampledFrom(tagValues).Draw(t, "zone")
		}
		for range rapid.IntRange(0, 3).Draw(t, "groups") {
			host.TaskGroups = append(host.TaskGroups, TaskGroup{Team: rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"),
				Tags: genTags(t, "task", 0), Count: rapid.IntRange(1, 2).Draw(t, "count"), Stopping: rapid.Bool().Draw(t, "stopping")})
		}
		fleet = append(fleet, host)
	}
	return fleet
}

// holdsByDefinition evaluates a rule tree by the definitions of the rules, task by task and
// without caches.
func holdsByDefinition(fleet Fleet, tree RuleTree, team string, host *Host) bool {
	switch {
	case tree.AnyOf != nil:
		anyHolds := false
		for _, subtree := range tree.AnyOf {
			anyHolds = holdsByDefinition(fleet, subtree, team, host) || anyHolds
		}
		return anyHolds
	case tree.AllOf != nil:
		allHold := true
		for _, subtree := range tree.AllOf {
			allHold = holdsByDefinition(fleet, subtree, team, host) && allHold
		}
		return allHold
	}
	rule := tree.Rule
	matches := func(tags Tags) bool {
		for key := range rule.Tags {
			if tags[key] != rule.Tags[key] {
				return false
			}
		}
		return true
	}
	if rule.Subject == MachineLabels {
		return matches(host.Labels) == (rule.Operator == Requires)
	}
	count := 0
	for _, other := range fleet {
		inGroup := other == host
		if rule.GroupedBy != "" {
			value, labelled := host.Labels[rule.GroupedBy]
			if !labelled {
				return false
			}
			otherValue, ok := other.Labels[rule.GroupedBy]
			inGroup = ok && otherValue == value
		}
		for _, group := range other.TaskGroups {
			for range group.Count {
				if inGroup && group.Team == team && matches(group.Tags) && (rule.CountsStopping || !group.Stopping) {
					count++
				}
			}
		}
	}
	return (rule.Operator == Requires && count > 0) || (rule.Operator == Forbids && count <= rule.Limit)
}

// TestRulesAgainstDefinitions compares the evaluator with a straightforward evaluation of the
// definitions of the rules.
func TestRulesAgainstDefinitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := genFleet(t)
		tree := genRuleTree(t, 3)
		for _, host := range fleet {
			require.Equal(t, holdsByDefinition(fleet, tree, "red", host), fleet.Holds([]RuleTree{tree}, "red", host))
		}
	})
}

// TestChooseObeysConstraints places generated jobs and checks every assignment directly against
// the fields of the job instead of the rules made from them.
func TestChooseObeysConstraints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var fleet Fleet
		for i := range rapid.IntRange(1, 8).Draw(t, "hosts") {
			total := Resources{float64(rapid.IntRange(1, 8).Draw(t, "cores")), float64(rapid.IntRange(0, 2).Draw(t, "accelerators")), 32}
			spot := rapid.Bool().Draw(t, "spot")
			fleet = append(fleet, &Host{ID: wire.MachineID(fmt.Sprint("m", i)), Total: total, Free: total, TaskSlots: 50,
				Labels: Tags{LabelZone: rapid.SampledFrom(zoneNames).Draw(t, "zone"), LabelSpot: fmt.Sprint(spot),
					LabelType: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "type")}})
		}
		job := &wire.JobSpec{ID: "wk-1", Team: "red", Shape: rapid.SampledFrom([]wire.Shape{wire.ShapeArray, wire.ShapeService, wire.ShapeGang}).Draw(t, "shape"),
			Tasks: rapid.IntRange(1, 9).Draw(t, "tasks"), Cores: float64(rapid.IntRange(1, 3).Draw(t, "need")), MemGB: 1,
			SingleZone: rapid.Bool().Draw(t, "singleZone"), SpreadZones: rapid.Bool().Draw(t, "spreadZones"), Spot: rapid.Bool().Draw(t, "allowsSpot")}
		if rapid.Bool().Draw(t, "limitsTypes") {
			job.Types = []string{"x"}
		}
		if rapid.Bool().Draw(t, "limitsZone") {
			job.Zone = "a"
		}
		options := Options{Relax: rapid.Bool().Draw(t, "relax"), AllOrNothing: job.Shape == wire.ShapeGang}
		if rapid.Bool().Draw(t, "samples") {
			options.SampleSize, options.Rand = 3, rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		}
		before := map[wire.MachineID]Resources{}
		byID := map[wire.MachineID]*Host{}
		for _, host := range fleet {
			before[host.ID], byID[host.ID] = host.Free, host
		}
		assignments := fleet.Choose(NewRequest(job), job.Tasks, "", options)
		inZone, onHost, total := map[string]int{}, map[wire.MachineID]int{}, 0
		for _, assignment := range assignments {
			host := byID[assignment.Machine]
			inZone[assignment.Zone] += assignment.Count
			total += assignment.Count
			onHost[assignment.Machine] += assignment.Count
			require.True(t, job.Types == nil || host.Labels[LabelType] == "x")
			require.True(t, job.Zone == "" || assignment.Zone == "a")
			require.True(t, job.Spot || host.Labels[LabelSpot] == "false")
			if job.Shape == wire.ShapeService && !assignment.Relaxed {
				require.Equal(t, 1, assignment.Count, "replicas share a machine though the rule was not relaxed")
			}
		}
		require.LessOrEqual(t, total, job.Tasks)
		if options.AllOrNothing {
			require.True(t, total == 0 || total == job.Tasks, "only part of a gang placed")
		}
		for _, count := range inZone {
			require.True(t, !job.SpreadZones || count <= (job.Tasks+1)/2, "too many tasks in one zone")
		}
		require.True(t, !job.SingleZone || len(inZone) <= 1, "tasks not in a single zone")
		for id, host := range byID {
			require.InDelta(t, before[id].Cores-float64(onHost[id])*job.Cores, host.Free.Cores, 1e-9, "wrong reservation")
			require.GreaterOrEqual(t, host.Free.Cores, 0.0)
		}
	})
}

// TestPreferredRulesRelaxedOnlyForRoom checks that replicas of a service share a machine if
// relaxing is allowed and no other machine has room. They do not share one if relaxing is not
// allowed, even if the other machine is excluded.
func TestPreferredRulesRelaxedOnlyForRoom(t *testing.T) {
	fleet := func() Fleet {
		var hosts Fleet
		for _, id := range []wire.MachineID{"m1", "m2"} {
			hosts = append(hosts, &Host{ID: id, Labels: labels("a"), Total: Resources{4, 0, 8}, Free: Resources{4, 0, 8}, TaskSlots: 9})
		}
		return hosts
	}
	job := &wire.JobSpec{ID: "wk-1", Team: "red", Shape: wire.ShapeService, Tasks: 3, Cores: 1, MemGB: 1}
	assignments := fleet().Choose(NewRequest(job), 3, "", Options{Relax: true})
	require.Len(t, assignments, 3)
	require.True(t, assignments[2].Relaxed)
	require.Equal(t, 2, totalCount(fleet().Choose(NewRequest(job), 3, "", Options{})))
	withExclusion := fleet().Choose(NewRequest(job), 3, "", Options{Excluded: map[wire.MachineID]bool{"m2": true}})
	require.Equal(t, 1, totalCount(withExclusion), "replicas share a machine because another was excluded")
}

// labels returns the labels of an on-demand machine.
func labels(zone string) Tags { return Tags{LabelZone: zone, LabelSpot: "false", LabelType: "x"} }

// TestSharedRanking checks that searches with equal requests place as many tasks if they share
// a ranking as if each makes its own, and that no machine is overcommitted.
func TestSharedRanking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := func() Fleet {
			var hosts Fleet
			for i, cores := range []float64{1, 4, 2, 8, 3} {
				total := Resources{Cores: cores, MemGB: 10}
				hosts = append(hosts, &Host{ID: wire.MachineID(fmt.Sprint("m", i)), Labels: Tags{LabelSpot: "false"}, Total: total, Free: total, TaskSlots: 4})
			}
			return hosts
		}
		request := NewRequest(&wire.JobSpec{ID: "wk-1", Team: "red", Shape: wire.ShapeArray, Cores: rapid.SampledFrom([]float64{0.5, 1, 3}).Draw(t, "cores"), MemGB: 1})
		shared, separate := fleet(), fleet()
		ranking := shared.Rank(request, Options{})
		for range rapid.IntRange(1, 12).Draw(t, "jobs") {
			tasks := rapid.IntRange(1, 4).Draw(t, "tasks")
			require.Equal(t, totalCount(separate.Choose(request, tasks, "", Options{})), totalCount(shared.Choose(request, tasks, "", Options{Ranking: ranking})))
		}
		for _, host := range shared {
			require.True(t, host.Free.Covers(Resources{}) && host.TaskSlots >= 0)
		}
	})
}

// TestReleasedReservationsLeaveNoTrace guards against room that stays occupied by tasks that only kept
// it: after the release, a host has the room, the slots and the rule counts that it had before.
func TestReleasedReservationsLeaveNoTrace(t *testing.T) {
	request := NewRequest(&wire.JobSpec{ID: "wk-000001", Team: "red", Shape: wire.ShapeService, Tasks: 2, Cores: 2, MemGB: 1})
	host := &Host{ID: "m1", Labels: Tags{LabelZone: "a"}, Total: Resources{Cores: 4, MemGB: 8}, Free: Resources{Cores: 4, MemGB: 8}, TaskSlots: 3}
	fleet := Fleet{host}
	host.AddTasks(request.Team, request.Tags, request.Need, 1) // this one is placed
	before := host.Free
	assignments := fleet.Choose(request, 1, "", Options{Relax: true})
	require.Len(t, assignments, 1)
	host.NoteReservation(request, 1)
	require.Empty(t, fleet.Choose(request, 1, "", Options{Relax: true}), "the room is reserved")
	fleet.ReleaseReservations()
	require.Equal(t, before, host.Free)
	require.Equal(t, 2, host.TaskSlots)
	require.Equal(t, 1, host.TaskGroups[0].Count)
	require.Empty(t, host.Reservations)
	require.Len(t, fleet.Choose(request, 1, "", Options{Relax: true}), 1, "the room is free again")
}
