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

// TestAssign: every name has an owner, none has more than its part, and the order in which
// names are given makes no difference. When an owner goes, only its names find another.
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
		load := map[string]int{}
		for _, name := range names {
			require.Contains(t, owners, assigned[name])
			load[assigned[name]]++
		}
		for owner, n := range load {
			require.LessOrEqual(t, n, (len(names)+len(owners)-1)/len(owners), owner)
		}
		reversed := slices.Clone(names)
		slices.Reverse(reversed)
		require.Equal(t, assigned, Assign(owners, reversed))

		gone := rapid.SampledFrom(owners).Draw(t, "gone")
		left := slices.DeleteFunc(slices.Clone(owners), func(o string) bool { return o == gone })
		for _, name := range names {
			if before := HighestScoring(owners, name); before != gone {
				require.Equal(t, before, HighestScoring(left, name))
			}
		}
	})
	require.Empty(t, Assign(nil, []string{"team-0"}))
	require.Empty(t, HighestScoring(nil, "team-0"))
}

// TestHighestAsEver: controllers of different builds that run side by side agree on owners.
func TestHighestAsEver(t *testing.T) {
	owners := []string{"rig-0", "rig-1", "rig-2", "rig-3", "rig-4"}
	var got []string
	for i := range 8 {
		got = append(got, HighestScoring(owners, fmt.Sprint("team-", i)))
	}
	require.Equal(t, []string{"rig-0", "rig-4", "rig-4", "rig-0", "rig-0", "rig-4", "rig-1", "rig-1"}, got)
}
