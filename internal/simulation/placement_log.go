package simulation

import (
	"encoding/json"
	"strings"

	"lilacrill/internal/record"
	"lilacrill/internal/shard"
	"lilacrill/wire"
)

// placementLog records in a history which process places which tasks. It takes this from the
// transactions that a store has committed.
type placementLog struct {
	history  *History
	attempts map[wire.Attempt]bool
	// epochs holds, by shard and by the incarnation of a process, the epoch in which the
	// process last owned the shard.
	epochs map[wire.ShardID]map[wire.FencingToken]wire.ShardEpoch
}

func newPlacementLog(h *History) *placementLog {
	return &placementLog{history: h, attempts: map[wire.Attempt]bool{}, epochs: map[wire.ShardID]map[wire.FencingToken]wire.ShardEpoch{}}
}

// recordTransaction records the shard owners and the new placements of a transaction that
// the store has committed.
func (l *placementLog) recordTransaction(s *Store, txn wire.Transaction) {
	var policy record.ShardPolicy
	if value, _, ok := s.Get(record.ShardPolicyKey); ok && json.Unmarshal(value, &policy) != nil {
		return
	}
	added := map[wire.Attempt]bool{}
	for _, change := range txn.Then {
		switch {
		case strings.HasPrefix(change.Put, record.ShardPrefix):
			l.recordOwner(change)
		case strings.HasPrefix(change.Put, record.PlacementPrefix):
			for _, group := range decodePage(change.Value).Groups {
				if !l.attempts[group.Attempt] {
					added[group.Attempt] = true
					l.recordPlacements(s, &group, policy.Enabled)
				}
			}
		}
	}
	for attempt := range added {
		l.attempts[attempt] = true
	}
}

// recordOwner records the owner of a shard and its epoch.
func (l *placementLog) recordOwner(change wire.Change) {
	var state record.Shard
	if json.Unmarshal(change.Value, &state) != nil {
		return
	}
	for id := range wire.ShardID(shard.Count) {
		if record.ShardKey(id) != change.Put {
			continue
		}
		if l.epochs[id] == nil {
			l.epochs[id] = map[wire.FencingToken]wire.ShardEpoch{}
		}
		l.epochs[id][state.Owner.Incarnation] = state.Epoch
	}
}

// recordPlacements records the placements of the tasks of an allocation group.
func (l *placementLog) recordPlacements(s *Store, group *record.AllocationGroup, sharded bool) {
	for i, machine := range group.Machines {
		var epoch wire.ShardEpoch
		if sharded {
			epoch = l.epochOf(s, shard.Of(machine), group.Launcher)
		}
		for index := range group.Tasks[i].All {
			l.history.Record(HistoryEvent{Kind: TaskPlaced, Job: group.Job, Machine: machine, Task: wire.TaskID{Job: group.Job, Index: index},
				Attempt: group.Attempt, Launcher: group.Launcher, Epoch: epoch})
		}
	}
}

// epochOf returns the epoch in which a process last owned a shard. The current epoch may
// belong to another owner that the process does not know of yet. If the process never owned
// the shard, epochOf returns the current epoch.
func (l *placementLog) epochOf(s *Store, id wire.ShardID, launcher wire.FencingToken) wire.ShardEpoch {
	if epoch, owned := l.epochs[id][launcher]; owned {
		return epoch
	}
	var state record.Shard
	value, _, _ := s.Get(record.ShardKey(id))
	_ = json.Unmarshal(value, &state) // without a record the epoch is 0
	return state.Epoch
}
