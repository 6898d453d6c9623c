// Package rendezvous assigns names to owners by rendezvous hashing: all that know the same
// owners come to the same result, and when an owner goes only its names get another one.
package rendezvous

import (
	"hash/fnv"
	"slices"
)

// HighestScoring is the owner that scores highest for a name, "" if there are no owners.
func HighestScoring(owners []string, name string) string {
	best, bestScore := "", uint64(0)
	for _, owner := range owners {
		if s := score(owner, name); s >= bestScore {
			best, bestScore = owner, s
		}
	}
	return best
}

// score must be the same in all builds that run side by side: they have to agree on owners.
func score(owner, name string) uint64 {
	hash := fnv.New64a()
	// Writing to a hash cannot fail.
	_, _ = hash.Write([]byte(owner))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(name))
	sum := hash.Sum64()
	sum ^= sum >> 31
	return sum * 0x9e3779b97f4a7c15
}

// Assign gives each name to the owner that scores highest for it and has fewer than its equal
// part of the names, rounded up.
func Assign(owners, names []string) map[string]string {
	assigned := make(map[string]string, len(names))
	if len(owners) == 0 {
		return assigned
	}
	maxPerOwner := (len(names) + len(owners) - 1) / len(owners)
	assignedCount := map[string]int{}
	for _, name := range slices.Sorted(slices.Values(names)) {
		open := slices.DeleteFunc(slices.Clone(owners), func(owner string) bool { return assignedCount[owner] >= maxPerOwner })
		best := HighestScoring(open, name)
		assignedCount[best]++
		assigned[name] = best
	}
	return assigned
}
