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
	// movesPerSecond bounds the rate at which one controller moves shards for balance. Each
	// move takes three writes.
	movesPerSecond = 1.5
	// moveBurst is the number of moves that this rate allows at once.
	moveBurst = 1
	// BalanceTolerance is the number of shards that a controller may own in excess of another
	// before it hands some over. With a smaller tolerance shards would move back and forth.
	BalanceTolerance = 2
	// minLifetime is the time for which a controller must have been alive before shards are
	// moved to it.
	minLifetime = 4 * time.Second
)

// The reasons for moves that controllers propose on their own. They are stored with the move and
// shown to operators.
const (
	ReasonBalance  = "to even out the shares"
	ReasonDrain    = "its owner is drained"
	ReasonIsolated = "its owner reaches no workers"
	ReasonGang     = "a job needs the room of several controllers at once"
)

// ActionKind states what an action does.
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

// Action is a change of shards that this controller should commit now.
type Action struct {
	Kind   ActionKind
	Shards []wire.ShardID
	Reason string // set for Propose only
	Txn    wire.Transaction
}

// Planner decides which change of shards a controller makes next.
type Planner struct {
	table *Table
	// maxRecords is the number of shard records that one transaction may change.
	maxRecords  int
	moveLimiter *rate.Limiter
}

// NewPlanner returns a planner whose transactions change at most maxRecords shard records. A
// maxRecords below 1 is taken as 1.
func NewPlanner(t *Table, maxRecords int) *Planner {
	return &Planner{table: t, maxRecords: max(1, maxRecords), moveLimiter: rate.NewLimiter(movesPerSecond, moveBurst)}
}

// Next returns the most urgent action, if any is due. scheduling reports whether this process has
// placements under way in a shard. keepShards suspends moves for balance, for a process that
// currently needs the shards that it owns. wall is the current time in Unix milliseconds.
func (p *Planner) Next(now Time, wall int64, scheduling func(wire.ShardID) bool, keepShards bool) (Action, bool) {
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
	return p.proposeMoves(now, wall, keepShards)
}

// dueActions returns the shards for which this process has to take an action, by kind of action.
// A move of a shard is first proposed, then released by the owner, then adopted by the target. The
// owner undoes it if the target is gone.
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

// proposeMoves proposes moves of shards of this controller. A drained or isolated controller hands
// over all its shards. Any other controller hands over one shard at a time, to a controller that
// owns fewer shards by more than BalanceTolerance.
func (p *Planner) proposeMoves(now Time, wall int64, keepShards bool) (Action, bool) {
	t := p.table
	reason, evacuate := t.evacuationReason()
	if !evacuate {
		if keepShards {
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
	// Evacuation is bounded by the size of a transaction only, rebalancing also by the limiter.
	if len(proposals) == 0 || !evacuate && !p.moveLimiter.AllowN(time.Unix(0, int64(now)), 1) {
		return Action{}, false
	}
	return t.proposeAction(proposals, reason, wall), true
}

// evacuationReason reports whether this controller must hand over all its shards, and the reason.
func (t *Table) evacuationReason() (reason string, evacuate bool) {
	if _, drained := t.policy.Drained[t.self.Label]; drained {
		return ReasonDrain, true
	}
	return ReasonIsolated, t.controllers[t.self.Label].Isolated
}

// chooseMoves chooses shards of this controller to move, with their targets. To evacuate the
// controller it chooses as many shards as one transaction may change. Otherwise it chooses at most
// one, and only if a target owns fewer shards by more than BalanceTolerance.
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

// Acquire returns the action that proposes moves of shards to this process, for a job that needs
// the capacity of several controllers at once. It leaves out shards that are being moved already,
// and reports false if no shard remains. wall is the current time in Unix milliseconds.
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

// proposeAction returns the action that commits the proposals.
func (t *Table) proposeAction(proposals []proposal, reason string, wall int64) Action {
	action := Action{Kind: Propose, Reason: reason, Txn: t.propose(proposals, reason, wall)}
	for _, proposed := range proposals {
		action.Shards = append(action.Shards, proposed.id)
	}
	return action
}
