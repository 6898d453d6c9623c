package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lilacrill/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Run(m) }

// TestAssign checks that Assign gives every name an owner, gives no owner more than its equal
// part, and does not depend on the order of the names. It also checks that the removal of an
// owner changes HighestScoring only for the names of this owner.
func TestAssign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var owners, names []string
		for i := range rapid.IntRange(1, 9).Draw(t, "owners") {
			owners = append(owners, fmt.Sprint("rig-", i))
		}
		for i := range rapid.IntRange(0, 40).Draw(t, "names") {
			names = append(names, fmt.Sprint("team-", i))
		}
		assigned := Assign(owners, names)
		assignedCount := map[string]int{}
		for _, name := range names {
			require.Contains(t, owners, assigned[name])
			assignedCount[assigned[name]]++
		}
		for owner, count := range assignedCount {
			require.LessOrEqual(t, count, (len(names)+len(owners)-1)/len(owners), owner)
		}
		reversed := slices.Clone(names)
		slices.Reverse(reversed)
		require.Equal(t, assigned, Assign(owners, reversed))

		removed := rapid.SampledFrom(owners).Draw(t, "removed")
		remaining := slices.DeleteFunc(slices.Clone(owners), func(owner string) bool { return owner == removed })
		for _, name := range names {
			if before := HighestScoring(owners, name); before != removed {
				require.Equal(t, before, HighestScoring(remaining, name))
			}
		}
	})
	require.Empty(t, Assign(nil, []string{"team-0"}))
	require.Empty(t, HighestScoring(nil, "team-0"))
}

// TestHighestScoringIsStable compares HighestScoring with recorded results. If they changed,
// controllers of different releases that run side by side would disagree on the owners.
func TestHighestScoringIsStable(t *testing.T) {
	owners := []string{"rig-0", "rig-1", "rig-2", "rig-3", "rig-4"}
	var got []string
	for i := range 8 {
		got = append(got, HighestScoring(owners, fmt.Sprint("team-", i)))
	}
	require.Equal(t, []string{"rig-0", "rig-4", "rig-4", "rig-0", "rig-0", "rig-4", "rig-1", "rig-1"}, got)
}
