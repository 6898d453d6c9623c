package simulation

import (
	"encoding/json"
	"slices"
	"strings"

	"lilacrill/internal/record"
	"lilacrill/internal/shard"
	"lilacrill/wire"
)

// newPlacements are the machines of the attempts that a transaction adds to a team's
// records, which held those before it.
func newPlacements(t wire.Transaction, before map[string]bool) []wire.MachineID {
	var machines []wire.MachineID
	for _, change := range t.Then {
		if !strings.HasPrefix(change.Put, record.PlacementPrefix) {
			continue
		}
		for _, g := range decodePage(change.Value).Groups {
			if !before[attemptName(g.Job, g.Attempt)] {
				machines = append(machines, g.Machines...)
			}
		}
	}
	return machines
}

// addsPlacements reports whether a transaction adds attempts as things stand.
func (w *Cluster) addsPlacements(t wire.Transaction) bool {
	return len(newPlacements(t, w.teamAttempts(t))) > 0
}

// checkPlacementOwners wants tasks placed only on machines of shares that the placing controller
// owned at that moment, with no move under way, and on none that is to be returned.
func (w *Cluster) checkPlacementOwners(n *controllerProcess, t wire.Transaction, before map[string]bool) {
	shares, returns := w.shardPolicy(), w.terminations()
	for _, id := range newPlacements(t, before) {
		if returns[id] {
			w.violation("placed on %s, which is to be returned", id)
		}
		if !shares.Enabled {
			continue
		}
		w.Observed["placed in a share"]++
		s := w.Shard(shard.ShardOf(id))
		if s.Owner.Label != controllerLabel(n.index) || s.Move != nil {
			w.violation("%s placed on %s of share %d: %+v", controllerLabel(n.index), id, shard.ShardOf(id), s)
		}
	}
}

// Shard is the record of a share.
func (w *Cluster) Shard(id wire.ShardID) record.Shard {
	var s record.Shard
	w.readRecord(record.ShardKey(id), &s)
	return s
}

func (w *Cluster) shardPolicy() record.ShardPolicy {
	var s record.ShardPolicy
	w.readRecord(record.ShardPolicyKey, &s)
	return s
}

// terminations is the machines that are listed to be returned, or as gone.
func (w *Cluster) terminations() map[wire.MachineID]bool {
	var r record.Terminations
	w.readRecord(record.TerminationsKey, &r)
	out := map[wire.MachineID]bool{}
	for _, names := range r.Pending {
		for _, id := range names {
			out[id] = true
		}
	}
	for _, id := range r.Confirmed {
		out[id] = true
	}
	return out
}

// readRecord reads a record of the state service; one that is not there, or that a test has
// damaged, leaves into as it was.
func (w *Cluster) readRecord(key string, into any) {
	if value, _, ok := w.store.Get(key); ok {
		_ = json.Unmarshal(value, into)
	}
}

// shardsWritten are the records of the shares that a transaction is about to write.
func (w *Cluster) shardsWritten(t wire.Transaction) map[string]record.Shard {
	out := map[string]record.Shard{}
	for _, c := range t.Then {
		if strings.HasPrefix(c.Put, record.ShardPrefix) {
			var s record.Shard
			w.readRecord(c.Put, &s)
			out[c.Put] = s
		}
	}
	return out
}

// checkShardChanges holds a change of the shares, before which their records were so, against
// what must hold of it: their format is in force; a share goes to another owner in a later
// epoch, and either was released or its owner has ended.
func (w *Cluster) checkShardChanges(t wire.Transaction, before map[string]record.Shard) {
	if w.ActiveFormat() < record.FormatSharding && slices.ContainsFunc(t.Then, func(c wire.Change) bool {
		return c.Put == record.ShardPolicyKey || strings.HasPrefix(c.Put, record.ShardPrefix)
	}) {
		w.violation("record of shares written in format %d", w.ActiveFormat())
	}
	for key, old := range before {
		var now record.Shard
		w.readRecord(key, &now)
		if now.Owner == old.Owner {
			if now.Epoch != old.Epoch {
				w.violation("%s has a new epoch without a new owner", key)
			}
			continue
		}
		if now.Epoch != old.Epoch+1 {
			w.violation("%s goes from epoch %d to %d", key, old.Epoch, now.Epoch)
		}
		released := old.Move != nil && old.Move.Phase == record.MoveReleased && old.Move.To == now.Owner
		switch {
		case released:
			w.Observed["share adopted"]++
		case old.Epoch > 0 && w.isLive(old.Owner):
			w.violation("%s taken from %s, which lives, by %s", key, old.Owner.Label, now.Owner.Label)
		case old.Epoch > 0:
			w.Observed["share taken over"]++
		}
	}
}

// isLive reports whether the record of a process among the living stands.
func (w *Cluster) isLive(owner record.ShardOwner) bool {
	var node record.Liveness
	w.readRecord(record.LivenessKey(owner.Label), &node)
	return node.Incarnation == owner.Incarnation
}

// countIfShardMoves counts what happens to a machine whose share is on the move.
func (w *Cluster) countIfShardMoves(what string, id wire.MachineID) {
	if w.Shard(shard.ShardOf(id)).Move != nil {
		w.Observed[what]++
	}
}

// countRejectedPlacement counts placements that were refused because a share of theirs changed, among
// other causes perhaps, or for the list of machines to be returned and nothing else.
func (w *Cluster) countRejectedPlacement(t wire.Transaction, before map[string]bool, failed []string) {
	if len(newPlacements(t, before)) == 0 {
		return
	}
	if slices.ContainsFunc(failed, func(key string) bool { return strings.HasPrefix(key, record.ShardPrefix) }) {
		w.Observed["placement refused for its share"]++
	}
	if slices.Equal(failed, []string{record.TerminationsKey}) {
		w.Observed["placement refused for a machine to be returned"]++
	}
}
