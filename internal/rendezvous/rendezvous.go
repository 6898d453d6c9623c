// Package rendezvous assigns names to owners by rendezvous hashing. All processes that know the
// same owners compute the same assignment.
package rendezvous

import (
	"hash/fnv"
	"slices"
)

// HighestScoring returns the owner that scores highest for the name, or "" if there are no owners.
// If an owner is removed, only the names for which it scored highest get another owner.
func HighestScoring(owners []string, name string) string {
	best, bestScore := "", uint64(0)
	for _, owner := range owners {
		if s := score(owner, name); s >= bestScore {
			best, bestScore = owner, s
		}
	}
	return best
}

// score returns the score of an owner for a name. The function must not change between releases,
// since controllers of different releases that run side by side have to agree on the owners.
func score(owner, name string) uint64 {
	hash := fnv.New64a()
	// Writing to a hash never returns an error.
	_, _ = hash.Write([]byte(owner))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(name))
	sum := hash.Sum64()
	sum ^= sum >> 31
	return sum * 0x9e3779b97f4a7c15
}

// Assign assigns the names to the owners, such that no owner gets more than its equal part of the
// names, rounded up. It goes through the names in sorted order and assigns each name to the owner
// that scores highest for it among those that have not reached this limit. The result does not
// depend on the order in which the names are given.
func Assign(owners, names []string) map[string]string {
	assigned := make(map[string]string, len(names))
	if len(owners) == 0 {
		return assigned
	}
	maxPerOwner := (len(names) + len(owners) - 1) / len(owners)
	assignedCount := map[string]int{}
	for _, name := range slices.Sorted(slices.Values(names)) {
		available := slices.DeleteFunc(slices.Clone(owners), func(owner string) bool { return assignedCount[owner] >= maxPerOwner })
		owner := HighestScoring(available, name)
		assignedCount[owner]++
		assigned[name] = owner
	}
	return assigned
}
