package controller

import (
	"encoding/json"
	"strings"

	"lilacrill/internal/fastjson"
	"lilacrill/internal/record"
	"lilacrill/internal/shard"
	"lilacrill/wire"
)

// stateCache is the cache of the state store's keys. A watch keeps it current. Successful
// transactions of this controller are applied at once, ahead of the watch.
type stateCache struct {
	// revision is the revision up to which the cache holds every change.
	revision wire.Revision
	// ownRevision is the latest revision written by this controller that the cache holds. It may
	// be ahead of revision.
	ownRevision wire.Revision
	// keyVersions holds the versions of the cached keys, and of deleted keys until the watch has
	// passed their deletion. A change may arrive twice and out of order, from the watch and from a
	// transaction of this controller. A change that is not newer than its key's version is ignored.
	keyVersions map[string]wire.Revision
	deletedKeys map[string]wire.Revision

	// token is the fencing token. It is taken from the watch only, never from a transaction of
	// this controller. So a command with this token is based on all changes that were written
	// before the token was raised. Fencing relies on that.
	token        wire.FencingToken
	tokenVersion wire.Revision

	jobs map[wire.JobID]*job
	// completedJobs holds all completions that are in the records of their jobs. archivedJobs
	// holds up to maxArchivedJobs of the completions that were archived under separate keys.
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
	// unreadable holds the errors of records that cannot be decoded, by key.
	unreadable        map[string]error
	lastStoreResponse Time

	loadState loadState
	// catchUpRevision is the revision of the last page of a load. The cache is complete once its
	// revision has reached catchUpRevision.
	catchUpRevision wire.Revision
	watching        bool // a watch request is open
	nextWatch       Time
	stale           bool // the state store was unreachable, so recent changes may be missing
	catchingUp      bool // a read barrier that fetches these changes is in flight

	barrier readBarrier
}

// loadState is the progress of loading the keys of the state store.
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

// behind reports whether changes that were made during the load may be missing.
func (s *stateCache) behind() bool { return s.revision < s.catchUpRevision }

// pendingTermination holds the reason for which a machine is to be terminated, and the revision
// since which this has been recorded.
type pendingTermination struct {
	reason string
	since  wire.Revision
}

// maxArchivedJobs bounds the number of cached archived completions. Others are read again when they
// are needed.
const maxArchivedJobs = 200_000

// init clears the content that was read from the state store. The state of requests to the store is
// kept.
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

// advanceVersion records the version of a change of a key. It reports whether the change is newer
// than the cached version.
func (s *stateCache) advanceVersion(key string, version wire.Revision, deleted bool) bool {
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

// forgetDeletedKeys drops the versions of deleted keys once the watch has passed their deletion. No
// older change of these keys can arrive after that.
func (s *stateCache) forgetDeletedKeys() {
	for key, version := range s.deletedKeys {
		if version <= s.revision {
			delete(s.deletedKeys, key)
			delete(s.keyVersions, key)
		}
	}
}

// team returns the cached state of a team, and adds an empty state if there is none yet.
func (s *stateCache) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name, pages: map[string]*page{}, pageCount: map[string]int{}}
		s.teams[name] = t
	}
	return t
}

// applyToken applies the fencing token to the cache if it is newer than the cached token.
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

// apply applies a change of a key to the cache, unless the cache holds this version or a newer one.
// A nil value deletes the key. A record that cannot be decoded is added to stateCache.unreadable
// and does not affect other records.
func (c *Controller) apply(key string, value json.RawMessage, version wire.Revision) {
	if c.rollout.shutdownCause != nil {
		return // further records may be in a format that this build does not read
	}
	if id, ok := strings.CutPrefix(key, record.CompletionPrefix); ok {
		// An archived completion never changes, so its version is not kept.
		if err := c.applyArchivedJob(wire.JobID(id), value); err != nil {
			c.log.Error("invalid archived completion ignored", "key", key, "err", err)
		}
		return
	}
	if c.cache.advanceVersion(key, version, value == nil) {
		c.noteDecodeResult(key, c.applyRecord(key, value, version))
	}
}

// applyRecord passes a newer record, or nil if it was deleted, to the function that handles its
// kind of key.
func (c *Controller) applyRecord(key string, value json.RawMessage, version wire.Revision) error {
	switch key {
	case record.RolloutKey:
		c.applyRollout(value, version)
		return nil
	case record.ShardPolicyKey:
		return c.applyShardRecord(key, value, version)
	case record.FencingTokenKey:
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

// applyProvisioner applies the record of the provisioner's incarnation. Without a record there is
// no provisioner.
func (c *Controller) applyProvisioner(value json.RawMessage) error {
	c.cache.provisionerIncarnation = 0
	var err error
	if value != nil {
		err = fastjson.Unmarshal(value, &c.cache.provisionerIncarnation)
	}
	c.assignOwnership()
	return err
}

// applyLiveness applies the liveness record of a controller. The controller is alive as long as its
// record exists.
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

// applyTerminations applies the list of machines whose termination is pending or confirmed.
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

// pendingTerminations returns the pending terminations of a list of machines by reason, each with
// the revision since which the machine has been on the list.
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

// noteLiftedTerminations sets terminationLiftedAt of the machines whose termination is no longer
// pending.
func (c *Controller) noteLiftedTerminations(pending map[wire.MachineID]pendingTermination) {
	for id := range c.cache.terminating {
		if machine := c.fleet.machines[id]; machine != nil && pending[id].reason == "" {
			machine.scaling.terminationLiftedAt = c.now
		}
	}
}

// noteConfirmedTerminations marks machines as terminated. Their tasks may be placed again at once.
func (c *Controller) noteConfirmedTerminations(machines []wire.MachineID) {
	for _, id := range machines {
		if machine := c.machine(id); !machine.scaling.terminated {
			machine.scaling.terminated, machine.scaling.terminatedAt = true, c.now
			machine.markPagesForReview()
			c.scheduler.machinesLost, c.scheduler.criticalDirty = true, true
		}
	}
}
