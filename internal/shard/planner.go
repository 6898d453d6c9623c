package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

const (
	// movesPerSecond bounds how fast one controller evens out the shares. A move takes
	// three writes.
	movesPerSecond = 1.5
	moveBurst      = 1
	// Tolerance is how many shares more than another a controller may own before it
	// hands some on: with less, moves would go to and fro.
	Tolerance = 2
	// minLifetime is how long a controller must have lived before shares are moved to it.
	minLifetime = 4 * time.Second
)

// The reasons for moves that controllers make by themselves.
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

// Action is a transaction that this controller should run now.
type Action struct {
	Kind   ActionKind
	Shards []wire.ShardID
	Reason string
	Txn    wire.Transaction
}

// Planner decides what a controller does about the shares.
type Planner struct {
	table *Table
	// maxRecords is how many shares one transaction may change.
	maxRecords int
	moves      *rate.Limiter
}

// NewPlanner makes a planner whose transactions change at most so many records.
func NewPlanner(t *Table, most int) *Planner {
	return &Planner{table: t, maxRecords: max(1, most), moves: rate.NewLimiter(movesPerSecond, moveBurst)}
}

// Next is the most urgent action, if there is any. placing reports whether this process
// has placements under way in a share, hold that it needs the shares that it has for the
// moment; wall is in Unix milliseconds.
func (p *Planner) Next(now Time, wall int64, placing func(wire.ShardID) bool, hold bool) (Action, bool) {
	t := p.table
	if !t.Enabled() || !t.Alive(t.self) {
		return Action{}, false
	}
	var orphans, adopt, undo, release []wire.ShardID
	heirs := t.successors()
	for id := range wire.ShardID(Count) {
		s := &t.shards[id]
		switch {
		case s.unreadable:
		case !t.Alive(s.Owner):
			if heirs[id] == t.self.Label {
				orphans = append(orphans, id)
			}
		case s.Move == nil:
		case s.Move.Phase == record.MoveReleased && s.Move.To == t.self:
			adopt = append(adopt, id)
		case s.Owner == t.self && !t.Alive(s.Move.To):
			undo = append(undo, id)
		case s.Owner == t.self && s.Move.Phase == record.MoveProposed && !placing(id):
			release = append(release, id)
		}
	}
	for _, a := range []struct {
		kind ActionKind
		ids  []wire.ShardID
		txn  func([]wire.ShardID) wire.Transaction
	}{{Failover, orphans, t.failOver}, {Adopt, adopt, t.adopt}, {Undo, undo, t.undo}, {Release, release, t.release}} {
		if len(a.ids) > 0 {
			ids := a.ids[:min(p.maxRecords, len(a.ids))]
			return Action{Kind: a.kind, Shards: ids, Txn: a.txn(ids)}, true
		}
	}
	return p.proposeMoves(now, wall, hold)
}

// proposeMoves proposes moves of this controller's own shares: all of them if it is drained
// or reaches no workers, else one at a time to a controller that owns far fewer.
func (p *Planner) proposeMoves(now Time, wall int64, hold bool) (Action, bool) {
	t := p.table
	why := ""
	if _, drained := t.policy.Drained[t.self.Label]; drained {
		why = ReasonDrain
	} else if t.controllers[t.self.Label].Isolated {
		why = ReasonIsolated
	}
	if why == "" && hold {
		return Action{}, false
	}
	targets := slices.DeleteFunc(t.eligible(), func(label string) bool {
		return label == t.self.Label || now-t.controllers[label].Since < Time(minLifetime)
	})
	if len(targets) == 0 {
		return Action{}, false
	}
	load := t.ownedCounts()
	var proposals []proposal
	for len(proposals) < p.maxRecords {
		target := slices.MinFunc(targets, func(a, b string) int { return cmp.Or(cmp.Compare(load[a], load[b]), cmp.Compare(a, b)) })
		if why == "" && (load[t.self.Label]-load[target] <= Tolerance || len(proposals) > 0) {
			break
		}
		id, any := t.nextToMove(target, proposals)
		if !any {
			break
		}
		proposals = append(proposals, proposal{id, target})
		load[target]++
		load[t.self.Label]--
	}
	// A drain is bounded by what one transaction takes, evening out by tokens.
	if len(proposals) == 0 || why == "" && !p.moves.AllowN(time.Unix(0, int64(now)), 1) {
		return Action{}, false
	}
	if why == "" {
		why = ReasonBalance
	}
	return proposalAction(t.propose(proposals, why, wall), proposals, why), true
}

func proposalAction(txn wire.Transaction, proposals []proposal, why string) Action {
	a := Action{Kind: Propose, Reason: why, Txn: txn}
	for _, p := range proposals {
		a.Shards = append(a.Shards, p.id)
	}
	return a
}

// nextToMove is the share of this process that suits a target best, of those that it is
// not to hand over already.
func (t *Table) nextToMove(target string, proposals []proposal) (best wire.ShardID, any bool) {
	for id := range wire.ShardID(Count) {
		if !t.MaySchedule(id) || slices.ContainsFunc(proposals, func(p proposal) bool { return p.id == id }) {
			continue
		}
		if !any || affinity(target, id) > affinity(target, best) {
			best, any = id, true
		}
	}
	return best, any
}

// eligible is the controllers that may own shares: those that live, reach workers and are
// not drained; if there are none, all that live.
func (t *Table) eligible() []string {
	labels := slices.Sorted(maps.Keys(t.controllers))
	able := slices.DeleteFunc(slices.Clone(labels), func(label string) bool {
		_, drained := t.policy.Drained[label]
		return drained || t.controllers[label].Isolated
	})
	if len(able) > 0 {
		return able
	}
	return labels
}

// ownedCounts is how many shares each living controller owns, once all moves are over.
func (t *Table) ownedCounts() map[string]int {
	load := map[string]int{}
	for i := range t.shards {
		s := &t.shards[i]
		switch {
		case !t.Alive(s.Owner):
		case s.Move != nil && t.Alive(s.Move.To):
			load[s.Move.To.Label]++
		default:
			load[s.Owner.Label]++
		}
	}
	return load
}

// successors is who takes over each share without a living owner. All controllers that know
// the same come to the same result: the target of a move that was under way; a new
// process of the controller that owned the share; else whoever owns fewest.
func (t *Table) successors() map[wire.ShardID]string {
	eligible := t.eligible()
	load := t.ownedCounts()
	heirs := map[wire.ShardID]string{}
	var rest []wire.ShardID
	for id := range wire.ShardID(Count) {
		s := &t.shards[id]
		switch {
		case t.Alive(s.Owner):
		case s.Move != nil && t.Alive(s.Move.To) && slices.Contains(eligible, s.Move.To.Label):
			heirs[id] = s.Move.To.Label
		case slices.Contains(eligible, s.Owner.Label):
			heirs[id] = s.Owner.Label
		default:
			rest = append(rest, id)
		}
		if label := heirs[id]; label != "" {
			load[label]++
		}
	}
	for _, id := range rest {
		if len(eligible) == 0 {
			break
		}
		heir := slices.MinFunc(eligible, func(a, b string) int {
			return cmp.Or(cmp.Compare(load[a], load[b]), -cmp.Compare(affinity(a, id), affinity(b, id)), cmp.Compare(a, b))
		})
		heirs[id] = heir
		load[heir]++
	}
	return heirs
}

// Acquire asks for shares to be handed over to this process, for a job that needs the
// room of several controllers at once. Shares that move already are left out.
func (p *Planner) Acquire(ids []wire.ShardID, wall int64) (Action, bool) {
	t := p.table
	var proposals []proposal
	for _, id := range ids {
		if s := &t.shards[id]; len(proposals) < p.maxRecords && s.Move == nil && s.Owner != t.self && t.Alive(s.Owner) && t.Alive(t.self) {
			proposals = append(proposals, proposal{id, t.self.Label})
		}
	}
	if len(proposals) == 0 {
		return Action{}, false
	}
	return proposalAction(t.propose(proposals, ReasonGang, wall), proposals, ReasonGang), true
}

// SwitchPolicy is the transaction that switches shares on, once the latest processes of all
// living controllers enable them, or off, once one of them does not. It demands the
// registrations that it relies on.
//
// It has to be carried out together with a change of a record that every placement
// demands: else a placement on any machine that was under way, from a process of any build,
// could come after it.
func (t *Table) SwitchPolicy() (Action, bool) {
	if t.format < record.FormatSharding || len(t.controllers) == 0 {
		return Action{}, false
	}
	want := true
	for label, c := range t.controllers {
		m := t.registrations[label]
		want = want && m.Incarnation == c.Incarnation && m.Sharding
	}
	if want == t.policy.Enabled {
		return Action{}, false
	}
	txn := t.putPolicy(record.ShardPolicy{Enabled: want, Drained: t.policy.Drained})
	for _, label := range slices.Sorted(maps.Keys(t.controllers)) {
		txn.If = append(txn.If, t.livenessCondition(label), wire.Condition{Key: record.RegistrationKey(label), Version: t.registrations[label].version})
	}
	return Action{Kind: Switch, Txn: txn}, true
}
