package shard

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

const (
	// movesPerSecond bounds how fast one controller rebalances. A move takes three writes.
	movesPerSecond = 1.5
	moveBurst      = 1
	// BalanceTolerance is how many more shards than another a controller may own before it hands
	// some over: with less, shards would move back and forth.
	BalanceTolerance = 2
	// minLifetime is how long a controller must have been alive before shards are moved to
	// it.
	minLifetime = 4 * time.Second
)

// The reasons for moves that controllers make by themselves. Operators see them, and they
// are stored with the move.
const (
	ReasonBalance  = "to even out the shares"
	ReasonDrain    = "its owner is drained"
	ReasonIsolated = "its owner reaches no workers"
	ReasonGang     = "a job needs the room of several controllers at once"
)

// ActionKind says what an action does.
type ActionKind string

// The kinds of actions.
const (
	Failover ActionKind = "taken over"
	Adopt    ActionKind = "adopted"
	Undo     ActionKind = "move undone"
	Release  ActionKind = "released"
	Propose  ActionKind = "move proposed"
	Switch   ActionKind = "shares switched on or off"
)

// Action is a transaction that this controller should commit now.
type Action struct {
	Kind   ActionKind
	Shards []wire.ShardID
	Reason string // only of moves
	Txn    wire.Transaction
}

// Planner decides which action a controller takes next.
type Planner struct {
	table *Table
	// maxRecords is how many shards one transaction may change.
	maxRecords  int
	moveLimiter *rate.Limiter
}

// NewPlanner makes a planner whose transactions change at most maxRecords records, but at
// least one.
func NewPlanner(t *Table, maxRecords int) *Planner {
	return &Planner{table: t, maxRecords: max(1, maxRecords), moveLimiter: rate.NewLimiter(movesPerSecond, moveBurst)}
}

// Next is the most urgent action, if there is any. scheduling reports whether this process
// has placements under way in a shard, hold that it needs the shards that it has for the
// moment; wall is in Unix milliseconds.
func (p *Planner) Next(now Time, wall int64, scheduling func(wire.ShardID) bool, hold bool) (Action, bool) {
	t := p.table
	if !t.Enabled() || !t.Alive(t.self) {
		return Action{}, false
	}
	due := t.dueActions(scheduling)
	for _, step := range []struct {
		kind        ActionKind
		transaction func([]wire.ShardID) wire.Transaction
	}{{Failover, t.failOver}, {Adopt, t.adopt}, {Undo, t.undo}, {Release, t.release}} {
		if ids := due[step.kind]; len(ids) > 0 {
			ids = ids[:min(p.maxRecords, len(ids))]
			return Action{Kind: step.kind, Shards: ids, Txn: step.transaction(ids)}, true
		}
	}
	return p.proposeMoves(now, wall, hold)
}

// dueActions lists the shards by what this process has to do about them. The handover of a
// shard is proposed, then released by its owner, then adopted by its target; it is undone if
// the target is gone.
func (t *Table) dueActions(scheduling func(wire.ShardID) bool) map[ActionKind][]wire.ShardID {
	due := map[ActionKind][]wire.ShardID{}
	successors := t.successors()
	for id := range wire.ShardID(Count) {
		s := &t.shards[id]
		switch {
		case s.unreadable:
		case !t.Alive(s.Owner):
			if successors[id] == t.self.Label {
				due[Failover] = append(due[Failover], id)
			}
		case s.Move == nil:
		case s.Move.Phase == record.MoveReleased && s.Move.To == t.self:
			due[Adopt] = append(due[Adopt], id)
		case s.Owner == t.self && !t.Alive(s.Move.To):
			due[Undo] = append(due[Undo], id)
		case s.Owner == t.self && s.Move.Phase == record.MoveProposed && !scheduling(id):
			due[Release] = append(due[Release], id)
		}
	}
	return due
}

// proposeMoves proposes moves of this controller's own shards: all of them if it is drained
// or isolated, else one at a time to a controller that owns far fewer.
func (p *Planner) proposeMoves(now Time, wall int64, hold bool) (Action, bool) {
	t := p.table
	reason, evacuate := t.evacuationReason()
	if !evacuate {
		if hold {
			return Action{}, false
		}
		reason = ReasonBalance
	}
	targets := slices.DeleteFunc(t.eligibleControllers(), func(label string) bool {
		return label == t.self.Label || now-t.controllers[label].Since < Time(minLifetime)
	})
	if len(targets) == 0 {
		return Action{}, false
	}
	proposals := p.chooseMoves(targets, evacuate)
	// An evacuation is bounded by what one transaction takes, rebalancing by the limiter.
	if len(proposals) == 0 || !evacuate && !p.moveLimiter.AllowN(time.Unix(0, int64(now)), 1) {
		return Action{}, false
	}
	return t.proposeAction(proposals, reason, wall), true
}

// evacuationReason says whether this controller must hand over all its shards, and why.
func (t *Table) evacuationReason() (reason string, evacuate bool) {
	if _, drained := t.policy.Drained[t.self.Label]; drained {
		return ReasonDrain, true
	}
	return ReasonIsolated, t.controllers[t.self.Label].Isolated
}

// chooseMoves chooses shards of this controller and their targets: as many as one
// transaction takes to evacuate it, else one at most, and only if a target owns so many
// fewer that the move makes the shards more even.
func (p *Planner) chooseMoves(targets []string, evacuate bool) []proposal {
	t := p.table
	owned := t.ownedCounts()
	var proposals []proposal
	for len(proposals) < p.maxRecords {
		target := slices.MinFunc(targets, func(a, b string) int { return cmp.Or(cmp.Compare(owned[a], owned[b]), cmp.Compare(a, b)) })
		if !evacuate && (owned[t.self.Label]-owned[target] <= BalanceTolerance || len(proposals) > 0) {
			break
		}
		id, found := t.nextToMove(target, proposals)
		if !found {
			break
		}
		proposals = append(proposals, proposal{id, target})
		owned[target]++
		owned[t.self.Label]--
	}
	return proposals
}

// Acquire proposes that shards be handed over to this process, for a job that needs the
// capacity of several controllers at once. Shards that are being moved already are left out.
func (p *Planner) Acquire(ids []wire.ShardID, wall int64) (Action, bool) {
	t := p.table
	var proposals []proposal
	for _, id := range ids {
		s := &t.shards[id]
		movable := s.Move == nil && s.Owner != t.self && t.Alive(s.Owner) && t.Alive(t.self)
		if movable && len(proposals) < p.maxRecords {
			proposals = append(proposals, proposal{id, t.self.Label})
		}
	}
	if len(proposals) == 0 {
		return Action{}, false
	}
	return t.proposeAction(proposals, ReasonGang, wall), true
}

func (t *Table) proposeAction(proposals []proposal, reason string, wall int64) Action {
	action := Action{Kind: Propose, Reason: reason, Txn: t.propose(proposals, reason, wall)}
	for _, move := range proposals {
		action.Shards = append(action.Shards, move.id)
	}
	return action
}
