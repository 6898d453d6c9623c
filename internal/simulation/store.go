// Package simulation holds stand-ins for everything outside lilacrill, written
// from its protocol: a state service, a cloud, workers and users, and a world
// in which they and several cores live on one virtual clock. The world checks
// the protocol's rules itself. It serves tests only.
package simulation

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

// Store is the state service: a key-value store with revisions, leases and a
// feed. Its clock is the caller's.
type Store struct {
	revision wire.Revision
	values   map[string]storedValue
	log      []wire.ChangeEvent
	leases   map[wire.LeaseID]*lease
	leaseID  wire.LeaseID
	// compactedRevision is the revision up to which the log was dropped.
	compactedRevision wire.Revision
	// OnChange, if set, is called after every change.
	OnChange func()
}

type storedValue struct {
	value   json.RawMessage
	version wire.Revision
	leaseID wire.LeaseID
}

type lease struct {
	ttl  controller.Time
	ends controller.Time
}

// NewStore makes an empty store.
func NewStore() *Store {
	return &Store{values: map[string]storedValue{}, leases: map[wire.LeaseID]*lease{}}
}

// Revision is the present revision.
func (s *Store) Revision() wire.Revision { return s.revision }

// Get reads one key.
func (s *Store) Get(key string) (json.RawMessage, wire.Revision, bool) {
	stored, ok := s.values[key]
	return stored.value, stored.version, ok
}

// List reads all keys with a prefix, in order.
func (s *Store) List(prefix string) []wire.Entry {
	var out []wire.Entry
	for key, stored := range s.values {
		if strings.HasPrefix(key, prefix) {
			out = append(out, wire.Entry{Key: key, Value: stored.value, Version: stored.version})
		}
	}
	slices.SortFunc(out, func(a, b wire.Entry) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// Changes is all changes under a prefix after a revision.
func (s *Store) Changes(prefix string, after wire.Revision) wire.WatchResponse {
	changes := wire.WatchResponse{Revision: s.revision}
	i, _ := slices.BinarySearchFunc(s.log, after+1, func(logged wire.ChangeEvent, a wire.Revision) int {
		return int(int64(logged.Version) - int64(a))
	})
	for _, logged := range s.log[i:] {
		if strings.HasPrefix(logged.Put+logged.Delete, prefix) {
			changes.Events = append(changes.Events, logged)
		}
	}
	return changes
}

// Compact drops the changes so far from the feed: who has not read them has to read
// the keys again.
func (s *Store) Compact() { s.log, s.compactedRevision = nil, s.revision }

// Compacted reports whether the feed no longer goes back to a revision.
func (s *Store) Compacted(after wire.Revision) bool { return after < s.compactedRevision }

// Commit runs a transaction.
func (s *Store) Commit(txn wire.Transaction) controller.CommitResult {
	var failed []string
	for _, condition := range txn.If {
		if s.values[condition.Key].version != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	if failed != nil {
		return controller.CommitResult{Outcome: controller.Conflict, Revision: s.revision, Failed: failed}
	}
	for _, change := range txn.Then {
		if change.LeaseID != 0 && s.leases[change.LeaseID] == nil {
			return controller.CommitResult{Outcome: controller.NotFound}
		}
	}
	if len(txn.Then) > 0 {
		s.revision++
	}
	for _, change := range txn.Then {
		if change.Put != "" {
			s.values[change.Put] = storedValue{change.Value, s.revision, change.LeaseID}
			s.log = append(s.log, wire.ChangeEvent{Put: change.Put, Value: change.Value, Version: s.revision})
		} else if _, ok := s.values[change.Delete]; ok {
			delete(s.values, change.Delete)
			s.log = append(s.log, wire.ChangeEvent{Delete: change.Delete, Version: s.revision})
		}
	}
	if s.OnChange != nil && len(txn.Then) > 0 {
		s.OnChange()
	}
	return controller.CommitResult{Outcome: controller.Succeeded, Revision: s.revision}
}

// Grant makes a lease.
func (s *Store) Grant(now, ttl controller.Time) wire.LeaseID {
	s.leaseID++
	s.leases[s.leaseID] = &lease{ttl, now + ttl}
	return s.leaseID
}

// Renew renews a lease and reports whether it still was.
func (s *Store) Renew(now controller.Time, id wire.LeaseID) bool {
	l := s.leases[id]
	if l != nil {
		l.ends = now + l.ttl
	}
	return l != nil
}

// Expire ends the leases that were not renewed in time.
func (s *Store) Expire(now controller.Time) {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		l := s.leases[id]
		if now < l.ends {
			continue
		}
		delete(s.leases, id)
		var drops []wire.Change
		for key, stored := range s.values {
			if stored.leaseID == id {
				drops = append(drops, wire.Change{Delete: key})
			}
		}
		slices.SortFunc(drops, func(a, b wire.Change) int { return strings.Compare(a.Delete, b.Delete) })
		if len(drops) > 0 {
			s.Commit(wire.Transaction{Then: drops})
		}
	}
}

// RenewAll gives every lease its full time, as after an outage.
func (s *Store) RenewAll(now controller.Time) {
	for _, l := range s.leases {
		l.ends = now + l.ttl
	}
}
