package simulation

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

// Store is a fake of the state store: a key-value store with revisions, leases and
// watches. Its methods take the current time from the caller.
type Store struct {
	revision wire.Revision
	values   map[string]storedValue
	log      []wire.ChangeEvent
	leases   map[wire.LeaseID]*lease
	leaseID  wire.LeaseID
	// compactedRevision is the revision up to which the log has been dropped.
	compactedRevision wire.Revision
	// OnChange, if set, is called after every change.
	OnChange func()
}

type storedValue struct {
	value   json.RawMessage
	version wire.Revision
	leaseID wire.LeaseID // the key is deleted when this lease ends; 0 if there is none
}

type lease struct {
	ttl       controller.Time
	expiresAt controller.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{values: map[string]storedValue{}, leases: map[wire.LeaseID]*lease{}}
}

// Revision returns the current revision.
func (s *Store) Revision() wire.Revision { return s.revision }

// Get returns the value and the version of a key, and whether the key exists.
func (s *Store) Get(key string) (json.RawMessage, wire.Revision, bool) {
	stored, ok := s.values[key]
	return stored.value, stored.version, ok
}

// List returns the entries of all keys with a prefix, in the order of the keys.
func (s *Store) List(prefix string) []wire.Entry {
	var entries []wire.Entry
	for key, stored := range s.values {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, wire.Entry{Key: key, Value: stored.value, Version: stored.version})
		}
	}
	slices.SortFunc(entries, func(a, b wire.Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries
}

// Changes returns all changes under a prefix after a revision, as a watch receives them.
func (s *Store) Changes(prefix string, after wire.Revision) wire.WatchResponse {
	changes := wire.WatchResponse{Revision: s.revision}
	first, _ := slices.BinarySearchFunc(s.log, after+1, func(logged wire.ChangeEvent, revision wire.Revision) int {
		return cmp.Compare(logged.Version, revision)
	})
	for _, logged := range s.log[first:] {
		if strings.HasPrefix(logged.Put+logged.Delete, prefix) {
			changes.Events = append(changes.Events, logged)
		}
	}
	return changes
}

// Compact drops all recorded changes. A client that has not read them has to load the keys
// again.
func (s *Store) Compact() { s.log, s.compactedRevision = nil, s.revision }

// IsCompacted reports whether changes after a revision have been dropped.
func (s *Store) IsCompacted(after wire.Revision) bool { return after < s.compactedRevision }

// Commit commits a transaction if its conditions hold and its leases exist.
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
		s.apply(txn.Then)
	}
	return controller.CommitResult{Outcome: controller.Succeeded, Revision: s.revision}
}

// apply applies changes at the next revision.
func (s *Store) apply(changes []wire.Change) {
	s.revision++
	for _, change := range changes {
		if change.Put != "" {
			s.values[change.Put] = storedValue{change.Value, s.revision, change.LeaseID}
			s.log = append(s.log, wire.ChangeEvent{Put: change.Put, Value: change.Value, Version: s.revision})
		} else if _, ok := s.values[change.Delete]; ok {
			delete(s.values, change.Delete)
			s.log = append(s.log, wire.ChangeEvent{Delete: change.Delete, Version: s.revision})
		}
	}
	if s.OnChange != nil {
		s.OnChange()
	}
}

// Grant grants a lease and returns its ID.
func (s *Store) Grant(now, ttl controller.Time) wire.LeaseID {
	s.leaseID++
	s.leases[s.leaseID] = &lease{ttl, now + ttl}
	return s.leaseID
}

// Renew extends a lease to its full TTL from now, and reports whether it still existed.
func (s *Store) Renew(now controller.Time, id wire.LeaseID) bool {
	renewed := s.leases[id]
	if renewed != nil {
		renewed.expiresAt = now + renewed.ttl
	}
	return renewed != nil
}

// RenewAll extends every lease to its full TTL from now, as after an outage.
func (s *Store) RenewAll(now controller.Time) {
	for id := range s.leases {
		s.Renew(now, id)
	}
}

// Expire ends the leases that were not renewed in time, and deletes their keys.
func (s *Store) Expire(now controller.Time) {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if now < s.leases[id].expiresAt {
			continue
		}
		delete(s.leases, id)
		if deletions := s.deletionsOf(id); len(deletions) > 0 {
			s.apply(deletions)
		}
	}
}

// deletionsOf returns the changes that delete the keys of a lease, in the order of the keys.
func (s *Store) deletionsOf(id wire.LeaseID) []wire.Change {
	var deletions []wire.Change
	for key, stored := range s.values {
		if stored.leaseID == id {
			deletions = append(deletions, wire.Change{Delete: key})
		}
	}
	slices.SortFunc(deletions, func(a, b wire.Change) int { return strings.Compare(a.Delete, b.Delete) })
	return deletions
}
