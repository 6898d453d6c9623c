package shard

import (
	"cmp"
	"maps"
	"slices"

	"lilacrill/wire"
)

// nextToMove returns the shard of this process with the highest affinity to a target, leaving
// out shards whose move is under way or among the proposals.
func (t *Table) nextToMove(target string, proposals []proposal) (best wire.ShardID, found bool) {
	for id := range wire.ShardID(Count) {
		if !t.MaySchedule(id) || slices.ContainsFunc(proposals, func(proposed proposal) bool { return proposed.id == id }) {
			continue
		}
		if !found || affinity(target, id) > affinity(target, best) {
			best, found = id, true
		}
	}
	return best, found
}

// eligibleControllers returns the labels, in order, of the controllers that may own shards. These
// are the live controllers that reach workers and are not drained or, if there are none, all live
// controllers.
func (t *Table) eligibleControllers() []string {
	labels := slices.Sorted(maps.Keys(t.controllers))
	healthy := slices.DeleteFunc(slices.Clone(labels), func(label string) bool {
		_, drained := t.policy.Drained[label]
		return drained || t.controllers[label].Isolated
	})
	if len(healthy) > 0 {
		return healthy
	}
	return labels
}

// ownedCounts returns the number of shards that each live controller will own once all moves
// under way have finished.
func (t *Table) ownedCounts() map[string]int {
	owned := map[string]int{}
	for i := range t.shards {
		s := &t.shards[i]
		switch {
		case !t.Alive(s.Owner):
		case s.Move != nil && t.Alive(s.Move.To):
			owned[s.Move.To.Label]++
		default:
			owned[s.Owner.Label]++
		}
	}
	return owned
}

// successors returns, for each shard without a live owner, the label of the controller that takes
// it over. This is the target of the shard's move if one was under way, else a new process of the
// controller that owned the shard, else the controller that owns the fewest shards. Only eligible
// controllers take over shards. Controllers with the same view compute the same result, so they
// rarely compete for a shard.
func (t *Table) successors() map[wire.ShardID]string {
	eligible := t.eligibleControllers()
	owned := t.ownedCounts()
	successors := map[wire.ShardID]string{}
	var unassigned []wire.ShardID
	for id := range wire.ShardID(Count) {
		s := &t.shards[id]
		switch {
		case t.Alive(s.Owner):
		case s.Move != nil && t.Alive(s.Move.To) && slices.Contains(eligible, s.Move.To.Label):
			successors[id] = s.Move.To.Label
		case slices.Contains(eligible, s.Owner.Label):
			successors[id] = s.Owner.Label
		default:
			unassigned = append(unassigned, id)
		}
		if label := successors[id]; label != "" {
			owned[label]++
		}
	}
	for _, id := range unassigned {
		if len(eligible) == 0 {
			break
		}
		successor := slices.MinFunc(eligible, func(a, b string) int {
			return cmp.Or(cmp.Compare(owned[a], owned[b]), -cmp.Compare(affinity(a, id), affinity(b, id)), cmp.Compare(a, b))
		})
		successors[id] = successor
		owned[successor]++
	}
	return successors
}
