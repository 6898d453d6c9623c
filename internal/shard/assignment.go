package shard

import (
	"cmp"
	"maps"
	"slices"

	"lilacrill/wire"
)

// nextToMove is the shard of this process with the highest affinity to a target, of those
// that are not proposed already.
func (t *Table) nextToMove(target string, proposals []proposal) (best wire.ShardID, found bool) {
	for id := range wire.ShardID(Count) {
		if !t.MaySchedule(id) || slices.ContainsFunc(proposals, func(move proposal) bool { return move.id == id }) {
			continue
		}
		if !found || affinity(target, id) > affinity(target, best) {
			best, found = id, true
		}
	}
	return best, found
}

// eligibleControllers lists the controllers that may own shards: those that are alive, reach workers
// and are not drained; if there are none, all that are alive. They are in order of label.
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

// ownedCounts is how many shards each live controller owns once all moves under way are
// finished.
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

// successors is which controller takes over each shard without a live owner: the target of a
// move that was under way; a new process of the controller that owned the shard; else the
// controller that owns fewest. Controllers that know the same come to the same result, so
// that they rarely compete for a shard.
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
