package shard

import (
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// waitsForFailover states what a shard without a live owner waits for, for operators.
const waitsForFailover = "its owner is gone: it is about to be taken over"

const millisecondsPerSecond = 1000

// View returns the state of the shards for operators. wall is the current time in Unix
// milliseconds.
func (t *Table) View(wall int64) wire.AdminShards {
	view := wire.AdminShards{State: "in use", Drained: t.policy.Drained, Owned: map[string]int{}, Shards: []wire.AdminShard{}}
	if err := t.CheckInUse(); err != nil {
		view.State = err.Error()
		return view
	}
	for label := range t.controllers {
		view.Owned[label] = t.OwnedCount(label)
	}
	for id := range wire.ShardID(Count) {
		state := &t.shards[id]
		shard := wire.AdminShard{Shard: id, Owner: state.Owner.Label, Incarnation: state.Owner.Incarnation, Epoch: state.Epoch, Alive: t.Alive(state.Owner)}
		if !shard.Alive {
			shard.WaitsFor = waitsForFailover
		}
		if move := state.Move; move != nil {
			shard.To, shard.Phase, shard.Reason = move.To.Label, string(move.Phase), move.Reason
			shard.MovingS = float64(max(0, wall-move.Since)) / millisecondsPerSecond
			shard.WaitsFor = t.moveWaitsFor(state)
		}
		view.Shards = append(view.Shards, shard)
	}
	return view
}

// moveWaitsFor states what a move waits for, for operators.
func (t *Table) moveWaitsFor(s *shardState) string {
	switch {
	case !t.Alive(s.Owner):
		return waitsForFailover
	case !t.Alive(s.Move.To):
		return s.Move.To.Label + " is gone: " + s.Owner.Label + " is about to undo the move"
	case s.Move.Phase == record.MoveProposed:
		return "for the placements under way at " + s.Owner.Label
	}
	return "for " + s.Move.To.Label + " to adopt it"
}
