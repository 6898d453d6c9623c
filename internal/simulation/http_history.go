package simulation

import (
	"encoding/json"
	"strings"

	"lilacrill/internal/record"
	"lilacrill/internal/shard"
	"lilacrill/wire"
)

// placementLog notes in a history which controller places what, by the transactions that a
// state service has carried out.
type placementLog struct {
	history  *History
	attempts map[wire.Attempt]bool
	// epochs is under which epoch each process last owned a share.
	epochs map[wire.ShardID]map[wire.FencingToken]wire.ShardEpoch
}

func newPlacementLog(h *History) *placementLog {
	return &placementLog{history: h, attempts: map[wire.Attempt]bool{}, epochs: map[wire.ShardID]map[wire.FencingToken]wire.ShardEpoch{}}
}

// committed takes a transaction that the store has carried out.
func (l *placementLog) committed(s *Store, txn wire.Transaction) {
	var policy record.ShardPolicy
	if value, _, ok := s.Get(record.ShardPolicyKey); ok && json.Unmarshal(value, &policy) != nil {
		return
	}
	fresh := map[wire.Attempt]bool{}
	for _, change := range txn.Then {
		switch {
		case strings.HasPrefix(change.Put, record.ShardPrefix):
			l.recordOwner(change)
		case strings.HasPrefix(change.Put, record.PlacementPrefix):
			for _, group := range decodePage(change.Value).Groups {
				if !l.attempts[group.Attempt] {
					fresh[group.Attempt] = true
					l.recordPlacements(s, &group, policy.Enabled)
				}
			}
		}
	}
	for attempt := range fresh {
		l.attempts[attempt] = true
	}
}

// recordOwner notes who owns a share from now on.
func (l *placementLog) recordOwner(change wire.Change) {
	var now record.Shard
	if json.Unmarshal(change.Value, &now) != nil {
		return
	}
	for id := range wire.ShardID(shard.Count) {
		if record.ShardKey(id) == change.Put {
			if l.epochs[id] == nil {
				l.epochs[id] = map[wire.FencingToken]wire.ShardEpoch{}
			}
			l.epochs[id][now.Owner.Incarnation] = now.Epoch
		}
	}
}

// recordPlacements notes the tasks of a group, under the epoch in which its launcher last owned the
// machine's share: a later one than it may know of is not its own.
func (l *placementLog) recordPlacements(s *Store, group *record.AllocationGroup, sharded bool) {
	for i, machine := range group.Machines {
		id := shard.Of(machine)
		var epoch wire.ShardEpoch
		if sharded {
			var owner record.Shard
			value, _, _ := s.Get(record.ShardKey(id))
			_ = json.Unmarshal(value, &owner)
			epoch = owner.Epoch
			if own, ever := l.epochs[id][group.Launcher]; ever {
				epoch = own
			}
		}
		for index := range group.Tasks[i].All {
			l.history.Record(HistoryEvent{Kind: TaskPlaced, Job: group.Job, Machine: machine, Task: wire.TaskID{Job: group.Job, Index: index},
				Attempt: group.Attempt, Launcher: group.Launcher, Epoch: epoch})
		}
	}
}
