package record

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestTaskSet compares the operations of TaskSet with the same operations on plain sets of numbers.
// It also checks that a set survives encoding and decoding.
func TestTaskSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		numbers := rapid.SliceOfN(rapid.IntRange(0, 40), 0, 30)
		build := func(name string) (TaskSet, map[int]bool) {
			var s TaskSet
			plain := map[int]bool{}
			for _, i := range numbers.Draw(t, name) {
				s = s.Add(i)
				plain[i] = true
			}
			return s, plain
		}
		a, plainA := build("a")
		b, plainB := build("b")
		n := rapid.IntRange(0, 40).Draw(t, "n")
		first, rest := a.Take(n)
		require.Equal(t, min(n, len(plainA)), first.Len())
		require.Equal(t, a, first.Union(rest))
		require.Equal(t, len(plainA), a.Len())
		for i := range 45 {
			require.Equal(t, plainA[i], a.Contains(i))
			require.Equal(t, plainA[i] || plainB[i], a.Union(b).Contains(i))
			require.Equal(t, plainA[i] && !plainB[i], a.Difference(b).Contains(i))
			require.Equal(t, plainA[i] && plainB[i], a.Intersect(b).Contains(i))
			require.False(t, first.Contains(i) && rest.Contains(i))
		}
		text, err := json.Marshal(a)
		require.NoError(t, err)
		var decoded TaskSet
		require.NoError(t, json.Unmarshal(text, &decoded))
		require.Equal(t, a.Len(), decoded.Len())
		require.True(t, a.Difference(decoded).IsEmpty())
	})
}
