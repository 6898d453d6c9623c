package controller

import (
	"encoding/json"
	"strings"

	"lilacrill/internal/fastjson"
	"lilacrill/internal/record"
	"lilacrill/internal/shard"
	"lilacrill/wire"
)

// stateCache is the cache of the state store's keys. A watch keeps it current; transactions of
// this controller that succeeded are applied at once, ahead of the watch.
type stateCache struct {
	// revision is the revision up to which the cache holds every change.
	revision wire.Revision
	// ownRevision is the last revision written by this controller that the cache holds. It may
	// be ahead of revision.
	ownRevision wire.Revision
	// keyVersions holds the versions of the cached keys, and of deleted ones until the watch has
	// passed their deletion. Changes may come twice and out of order, from the watch and from
	// transactions of our own: one that is not newer than its key's version is ignored.
	keyVersions map[string]wire.Revision
	deletedKeys map[string]wire.Revision

	// token is the fencing token. It is taken from the watch only, never from a transaction of
	// our own: a command that carries it is then based on everything that was written before the
	// token was raised, which is what makes a raised token a fence.
	token        wire.FencingToken
	tokenVersion wire.Revision

	jobs map[wire.JobID]*job
	// completedJobs holds all completions that are in the records of their jobs, archivedJobs
	// the latest read of those that were archived under keys of their own.
	completedJobs map[wire.JobID]record.Completion
	archivedJobs  map[wire.JobID]record.Completion

	teams map[string]*team
	// allocationsByJob indexes the allocations on the teams' pages.
	allocationsByJob map[wire.JobID][]*Allocation

	liveControllers        map[string]wire.FencingToken // incarnations by label
	isolatedControllers    map[string]bool
	terminations           record.Terminations
	terminating            map[wire.MachineID]pendingTermination
	provisionerIncarnation wire.FencingToken
	// unreadable holds the keys of records that cannot be decoded, with the cause.
	unreadable        map[string]error
	lastStoreResponse Time

	loadState loadState
	// catchUpRevision is the revision of the last page of a load: the cache is complete once its
	// revision has reached it.
	catchUpRevision wire.Revision
	watching        bool // a watch request is open
	nextWatch       Time
	stale           bool // the state store was unreachable, and changes since then may be missing
	catchingUp      bool // a read barrier for that is in flight

	barrier readBarrier
}

// loadState is whether the keys of the state store have been loaded.
type loadState int

const (
	cacheNotLoaded loadState = iota
	cacheLoading
	cacheLoaded
)

// complete reports whether the cache holds every change up to its revision.
func (s *stateCache) complete() bool {
	return s.loadState == cacheLoaded && !s.behind()
}

// behind reports whether changes from during the load are missing.
func (s *stateCache) behind() bool { return s.revision < s.catchUpRevision }

// pendingTermination says why a machine is to be terminated, and since which revision.
type pendingTermination struct {
	reason string
	since  wire.Revision
}

// maxArchivedJobs bounds the cached archived completions; others are read again when needed.
const maxArchivedJobs = 200_000

// init empties what is read from the state store; the state of the requests to it stays.
func (s *stateCache) init() {
	s.keyVersions = map[string]wire.Revision{}
	s.deletedKeys = map[string]wire.Revision{}
	s.jobs = map[wire.JobID]*job{}
	s.archivedJobs = map[wire.JobID]record.Completion{}
	s.completedJobs = map[wire.JobID]record.Completion{}
	s.teams = map[string]*team{}
	s.allocationsByJob = map[wire.JobID][]*Allocation{}
	s.liveControllers = map[string]wire.FencingToken{}
	s.isolatedControllers = map[string]bool{}
	s.unreadable = map[string]error{}
	s.terminations, s.terminating = record.Terminations{}, map[wire.MachineID]pendingTermination{}
}

// advance notes a change of a key, and reports whether it is newer than what the cache holds.
func (s *stateCache) advance(key string, version wire.Revision, deleted bool) bool {
	if version <= s.keyVersions[key] {
		return false
	}
	s.keyVersions[key] = version
	if deleted {
		s.deletedKeys[key] = version
	} else {
		delete(s.deletedKeys, key)
	}
	return true
}

// forgetDeletedKeys drops the versions of deleted keys that the watch has passed: no older change
// of them can come any more.
func (s *stateCache) forgetDeletedKeys() {
	for key, version := range s.deletedKeys {
		if version <= s.revision {
			delete(s.deletedKeys, key)
			delete(s.keyVersions, key)
		}
	}
}

// team is a team's placement records; one without any is added.
func (s *stateCache) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name, pages: map[string]*page{}, pageCount: map[string]int{}}
		s.teams[name] = t
	}
	return t
}

// applyToken takes a newer fencing token into the cache.
func (s *stateCache) applyToken(value json.RawMessage, version wire.Revision) error {
	if value == nil {
		return nil
	}
	var token wire.FencingToken
	if err := fastjson.Unmarshal(value, &token); err != nil {
		return err
	}
	if token > s.token {
		s.token, s.tokenVersion = token, version
	}
	return nil
}

// apply takes a change of a key into the cache, unless the cache holds a newer one. A nil value
// deletes the key. A record that cannot be decoded is noted and leaves the others as they are.
func (c *Controller) apply(key string, value json.RawMessage, version wire.Revision) {
	if c.rollout.shutdownCause != nil {
		return // what follows may be in a format that this build does not read
	}
	if id, ok := strings.CutPrefix(key, record.CompletionPrefix); ok {
		// Written once and never changed, so there is no version to keep.
		if err := c.applyArchivedJob(wire.JobID(id), value); err != nil {
			c.log.Error("archived completion unreadable", "key", key, "err", err)
		}
		return
	}
	if c.cache.advance(key, version, value == nil) {
		c.noteDecodeResult(key, c.applyRecord(key, value, version))
	}
}

// applyRecord passes a newer record, or nil for a deleted one, to the handler of its kind.
func (c *Controller) applyRecord(key string, value json.RawMessage, version wire.Revision) error {
	switch key {
	case record.RolloutKey:
		c.applyRollout(value, version)
		return nil
	case record.ShardPolicyKey:
		return c.applyShardRecord(key, value, version)
	case record.TokenKey:
		return c.cache.applyToken(value, version)
	case record.ProvisionerKey:
		return c.applyProvisioner(value)
	case record.SettingsKey:
		return c.applySettings(value, version)
	case record.TerminationsKey:
		return c.applyTerminations(value, version)
	}
	if label, ok := strings.CutPrefix(key, record.RegistrationPrefix); ok {
		c.shards.table.ApplyRegistration(label, value, version)
		return c.rollout.tracker.ApplyRegistration(label, value, version)
	}
	if label, ok := strings.CutPrefix(key, record.LivenessPrefix); ok {
		return c.applyLiveness(label, value, version)
	}
	if id, ok := strings.CutPrefix(key, record.JobPrefix); ok {
		return c.applyJob(wire.JobID(id), value, version)
	}
	if bucket, ok := strings.CutPrefix(key, record.ImagePrefix); ok {
		return c.applyImageBucket(bucket, value)
	}
	if strings.HasPrefix(key, record.PlacementPrefix) {
		return c.applyPlacementPage(key, value, version)
	}
	if strings.HasPrefix(key, record.ShardPrefix) {
		return c.applyShardRecord(key, value, version)
	}
	return nil
}

// applyProvisioner notes which incarnation leads the scaling; without a record none does.
func (c *Controller) applyProvisioner(value json.RawMessage) error {
	c.cache.provisionerIncarnation = 0
	var err error
	if value != nil {
		err = fastjson.Unmarshal(value, &c.cache.provisionerIncarnation)
	}
	c.assignOwnership()
	return err
}

// applyLiveness notes that a controller is alive or, with its record deleted, that it is not.
func (c *Controller) applyLiveness(label string, value json.RawMessage, version wire.Revision) error {
	defer c.assignOwnership()
	if value == nil {
		delete(c.cache.liveControllers, label)
		delete(c.cache.isolatedControllers, label)
		c.rollout.tracker.ApplyLiveness(label, 0, version)
		c.shards.table.ApplyLiveness(label, record.Liveness{}, version, shard.Time(c.now))
		return nil
	}
	var liveness record.Liveness
	if err := fastjson.Unmarshal(value, &liveness); err != nil {
		return err
	}
	c.cache.liveControllers[label] = liveness.Incarnation
	c.cache.isolatedControllers[label] = liveness.Isolated
	c.rollout.tracker.ApplyLiveness(label, liveness.Incarnation, version)
	c.shards.table.ApplyLiveness(label, liveness, version, shard.Time(c.now))
	return nil
}

// applyTerminations takes the list of machines that are to be terminated and of those whose
// termination is confirmed.
func (c *Controller) applyTerminations(value json.RawMessage, version wire.Revision) error {
	var terminations record.Terminations
	if value != nil {
		if err := fastjson.Unmarshal(value, &terminations); err != nil {
			return err
		}
	}
	pending := c.cache.pendingTerminations(terminations.Pending, version)
	c.noteLiftedTerminations(pending)
	c.noteConfirmedTerminations(terminations.Confirmed)
	c.cache.terminations, c.cache.terminating, c.scheduler.dirty = terminations, pending, true
	return nil
}

// pendingTerminations are the machines of a list, by reason, each with the revision since which
// it has been on the list.
func (s *stateCache) pendingTerminations(byReason map[string][]wire.MachineID, version wire.Revision) map[wire.MachineID]pendingTermination {
	pending := map[wire.MachineID]pendingTermination{}
	for reason, machines := range byReason {
		for _, id := range machines {
			since := version
			if earlier, ok := s.terminating[id]; ok {
				since = earlier.since
			}
			pending[id] = pendingTermination{reason, since}
		}
	}
	return pending
}

// noteLiftedTerminations notes the machines that are not to be terminated any more.
func (c *Controller) noteLiftedTerminations(pending map[wire.MachineID]pendingTermination) {
	for id := range c.cache.terminating {
		if machine := c.fleet.machines[id]; machine != nil && pending[id].reason == "" {
			machine.scaling.terminationLiftedAt = c.now
		}
	}
}

// noteConfirmedTerminations notes machines that are gone: their tasks may be placed again at
// once.
func (c *Controller) noteConfirmedTerminations(machines []wire.MachineID) {
	for _, id := range machines {
		if machine := c.machine(id); !machine.scaling.terminated {
			machine.scaling.terminated, machine.scaling.terminatedAt = true, c.now
			machine.markForReview()
			c.scheduler.machinesLost, c.scheduler.criticalDirty = true, true
		}
	}
}
