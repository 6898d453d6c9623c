package controller

import (
	"encoding/json"
	"strings"

	"lilacrill/internal/fastjson"
	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/internal/shard"
	"lilacrill/wire"
)

// stateCache is the cache of the state service's keys, kept by its feed.
type stateCache struct {
	// revision is the revision up to which the cache is complete.
	revision wire.Revision
	// ownRevision is the last revision of our own that the cache holds, which may
	// be ahead of feed.
	ownRevision wire.Revision
	keyVersions map[string]wire.Revision // stamps of cached keys, and of dropped ones until the feed is past them
	deletedKeys map[string]wire.Revision

	// token is adopted from the feed only. So a command that carries it is
	// based on everything written before the token was raised: that is what
	// makes a raised token a fence.
	token        wire.FencingToken
	tokenVersion wire.Revision

	jobs                   map[wire.JobID]*job
	archivedJobs           map[wire.JobID]record.Completion // of jobs whose final states have keys of their own: a cache
	completedJobs          map[wire.JobID]record.Completion // of jobs in whose records they stand: all of them
	archiving              bool
	nextArchive            Time
	teams                  map[string]*team
	liveControllers        map[string]wire.FencingToken
	isolatedControllers    map[string]bool
	terminations           record.Terminations
	terminating            map[wire.MachineID]pendingTermination // the machines that are going
	provisionerIncarnation wire.FencingToken
	// unreadable holds the job and placement records that cannot be understood, by
	// key, with the cause.
	unreadable        map[string]error
	lastStoreResponse Time
	watching          bool

	barrier readBarrier

	submissionsInFlight int  // submissions being written
	lastAdvisedRetry    Time // when the last user who was refused was told to come back
}

// job is a job that is not over.
type job struct {
	id         wire.JobID
	spec       wire.JobSpec
	acceptedAt int64
	acceptedBy wire.FencingToken
	version    wire.Revision
	completed  record.TaskSet
	request    *placement.Request

	// What follows is only known here.
	crashLoop     crashLoopBackoff
	firstSeen     Time
	pendingReason string // why tasks of it wait
	started       bool   // its first start was counted
	// launchingAttempt is the attempt of a gang that is being launched, since launchStartedAt.
	launchingAttempt wire.Attempt
	launchStartedAt  Time
	nextForward      Time // it is not handed on before
	// unreadable says that its record cannot be understood (see markJobUnreadable).
	unreadable bool
}

// pendingTermination says why a machine is going, and since which revision that stands.
type pendingTermination struct {
	reason string
	since  wire.Revision
}

// team is a team's placement records.
type team struct {
	name        string
	pages       map[string]*page
	orderedKeys []string       // the pages' keys in order; nil if there are new ones
	pageCount   map[string]int // zone to number of pages
	schedule    teamSchedule
}

// maxArchivedJobs bounds the remembered final states; older ones are fetched again.
const maxArchivedJobs = 200_000

func (s *stateCache) init() {
	s.keyVersions = map[string]wire.Revision{}
	s.deletedKeys = map[string]wire.Revision{}
	s.jobs = map[wire.JobID]*job{}
	s.archivedJobs = map[wire.JobID]record.Completion{}
	s.completedJobs = map[wire.JobID]record.Completion{}
	s.teams = map[string]*team{}
	s.liveControllers = map[string]wire.FencingToken{}
	s.isolatedControllers = map[string]bool{}
	s.unreadable = map[string]error{}
	s.terminations, s.terminating = record.Terminations{}, map[wire.MachineID]pendingTermination{}
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

func (s *stateCache) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name, pages: map[string]*page{}, pageCount: map[string]int{}}
		s.teams[name] = t
	}
	return t
}

// apply takes one change into the cache, unless it is older than what is
// there. A nil value drops the key.
func (c *Controller) apply(key string, value json.RawMessage, version wire.Revision) {
	if c.rollout.shutdownCause != nil {
		return // what follows may be of a format that is not read here
	}
	if id, ok := strings.CutPrefix(key, record.CompletionPrefix); ok {
		// Written once and never changed, so there is no version to keep.
		if err := c.applyArchivedJob(wire.JobID(id), value); err != nil {
			c.log.Error("final state not understood", "key", key, "err", err)
		}
		return
	}
	if version <= c.cache.keyVersions[key] {
		return
	}
	c.cache.keyVersions[key] = version
	if value == nil {
		c.cache.deletedKeys[key] = version
	} else {
		delete(c.cache.deletedKeys, key)
	}
	var err error
	switch {
	case key == record.RolloutKey:
		c.applyRollout(value, version)
	case strings.HasPrefix(key, record.RegistrationPrefix):
		label := strings.TrimPrefix(key, record.RegistrationPrefix)
		c.shards.table.ApplyMember(label, value, version)
		err = c.rollout.tracker.ApplyMember(label, value, version)
	case key == record.ShardPolicyKey || strings.HasPrefix(key, record.ShardPrefix):
		err = c.applyShardRecord(key, value, version)
	case key == record.TokenKey:
		var n wire.FencingToken
		if value != nil {
			err = fastjson.Unmarshal(value, &n)
		}
		if err == nil && n > c.cache.token {
			c.cache.token, c.cache.tokenVersion = n, version
		}
	case key == record.ProvisionerKey:
		c.cache.provisionerIncarnation = 0
		if value != nil {
			err = fastjson.Unmarshal(value, &c.cache.provisionerIncarnation)
		}
		c.assignOwnership()
	case key == record.SettingsKey:
		err = c.applySettings(value, version)
	case strings.HasPrefix(key, record.LivenessPrefix):
		label := strings.TrimPrefix(key, record.LivenessPrefix)
		if value == nil {
			delete(c.cache.liveControllers, label)
			delete(c.cache.isolatedControllers, label)
			c.rollout.tracker.ApplyNode(label, 0, version)
			c.shards.table.ApplyController(label, record.Liveness{}, version, shard.Time(c.now))
		} else {
			var n record.Liveness
			if err = fastjson.Unmarshal(value, &n); err == nil {
				c.cache.liveControllers[label] = n.Incarnation
				c.cache.isolatedControllers[label] = n.Isolated
				c.rollout.tracker.ApplyNode(label, n.Incarnation, version)
				c.shards.table.ApplyController(label, n, version, shard.Time(c.now))
			}
		}
		c.assignOwnership()
	case strings.HasPrefix(key, record.JobPrefix):
		err = c.applyJob(wire.JobID(strings.TrimPrefix(key, record.JobPrefix)), value, version)
	case strings.HasPrefix(key, record.PlacementPrefix):
		err = c.applyPlacementPage(key, value, version)
	case strings.HasPrefix(key, record.ImagePrefix):
		err = c.applyImageBucket(strings.TrimPrefix(key, record.ImagePrefix), value)
	case key == record.TerminationsKey:
		err = c.applyTerminations(value, version)
	}
	c.noteReadable(key, err)
}

func (c *Controller) applyJob(id wire.JobID, value json.RawMessage, version wire.Revision) error {
	c.scheduler.dirty = true
	for _, e := range c.scheduler.allocationsByJob[id] {
		e.host.reconciliation.reconciledHeartbeat, e.page.needsReview = nil, true
	}
	if value == nil {
		// It was moved, in the same change, to a key of its own.
		delete(c.cache.jobs, id)
		delete(c.cache.completedJobs, id)
		return nil
	}
	var r record.Job
	if err := record.Decode(value, c.valueBound(), &r); err != nil {
		c.markJobUnreadable(id, version)
		return err
	}
	if r.Completion != nil {
		if !r.Completion.Status.IsTerminal() {
			return errNotTerminal
		}
		delete(c.cache.jobs, id)
		if _, known := c.cache.completedJobs[id]; !known && r.Completion.Status == wire.StatusCancelled {
			c.noteCancellation(wire.Cancellation{Job: id, Version: version, Done: r.Completion.Done})
		}
		c.cache.completedJobs[id] = *r.Completion
		for _, e := range c.scheduler.allocationsByJob[id] {
			c.noteCompletedTasksOn(e.Machine)
		}
		return nil
	}
	j := c.cache.jobs[id]
	if j == nil {
		j = c.newJob(id)
		// While everything is read anew, a page may have come before its job.
		for _, p := range c.cache.team(r.Spec.Team).pages {
			j.completed = j.completed.With(p.completed[id])
		}
	}
	c.scheduler.criticalDirty = c.scheduler.criticalDirty || r.Spec.Priority == wire.PriorityCritical
	j.spec, j.acceptedAt, j.acceptedBy, j.version, j.unreadable = r.Spec, r.AcceptedAt, r.AcceptedBy, version, false
	j.request = placement.NewRequest(&j.spec)
	return nil
}

// markJobUnreadable keeps a job whose record cannot be understood as it is: its tasks run on,
// none is placed or taken for the last one, and its users are told to come back.
func (c *Controller) markJobUnreadable(id wire.JobID, version wire.Revision) {
	delete(c.cache.completedJobs, id)
	j := c.cache.jobs[id]
	if j == nil {
		j = c.newJob(id)
		j.spec = wire.JobSpec{ID: id, Tasks: wire.MaxTasks}
		j.request = placement.NewRequest(&j.spec)
	}
	j.version, j.unreadable = version, true
}

func (c *Controller) newJob(id wire.JobID) *job {
	j := &job{id: id, firstSeen: c.now}
	j.crashLoop.failedMachines, j.crashLoop.avoidMachines = map[wire.MachineID]Time{}, map[wire.MachineID]Time{}
	c.cache.jobs[id] = j
	return j
}

// teamUnreadable reports whether a placement record of a team cannot be understood: what
// stands on it is not known, so nothing of the team is placed or cleared, and its
// limit, its gangs and what its machines report without a record are left alone.
func (c *Controller) teamUnreadable(team string) bool {
	for key := range c.cache.unreadable {
		if strings.HasPrefix(key, record.PlacementPrefix+team+"/") {
			return true
		}
	}
	return false
}

// jobUnreadable reports whether what a machine reports of a job cannot be judged.
func (c *Controller) jobUnreadable(id wire.JobID) bool {
	j := c.cache.jobs[id]
	return len(c.cache.unreadable) > 0 && j != nil && (j.unreadable || c.teamUnreadable(j.spec.Team))
}

func (c *Controller) applyPlacementPage(key string, value json.RawMessage, version wire.Revision) error {
	name, zone, n, err := record.ParsePlacementKey(key)
	if err != nil {
		return err
	}
	p := &page{key: key, team: name, zone: zone, number: n, version: version}
	var v record.PlacementPage
	if err := record.Decode(value, c.valueBound(), &v); err != nil {
		return err
	}
	if err := p.unpack(&v); err != nil {
		return err
	}
	p.updateSize()
	c.replacePage(p)
	return nil
}

// replacePage puts a page, as it was read or written, in the place of the one before
// and keeps the index of the records in step.
func (c *Controller) replacePage(p *page) {
	t := c.cache.team(p.team)
	if old := t.pages[p.key]; old != nil {
		c.unindex(old)
	} else {
		t.orderedKeys = nil
	}
	t.pages[p.key] = p
	t.pageCount[p.zone] = max(t.pageCount[p.zone], p.number+1)
	c.index(p)
	for id, set := range p.completed {
		if j := c.cache.jobs[id]; j != nil {
			j.completed = j.completed.With(set)
		}
	}
	c.scheduler.dirty = true
}

// orderedPages is the team's pages by key.
func (t *team) orderedPages() []*page {
	if t.orderedKeys == nil {
		t.orderedKeys = sortedKeys(t.pages)
	}
	out := make([]*page, len(t.orderedKeys))
	for i, key := range t.orderedKeys {
		out[i] = t.pages[key]
	}
	return out
}

// applyTerminations takes the list of machines about to be returned and of those that
// are gone.
func (c *Controller) applyTerminations(value json.RawMessage, version wire.Revision) error {
	var d record.Terminations
	if value != nil {
		if err := fastjson.Unmarshal(value, &d); err != nil {
			return err
		}
	}
	leaving := map[wire.MachineID]pendingTermination{}
	for why, names := range d.Pending {
		for _, id := range names {
			since := version
			if old, ok := c.cache.terminating[id]; ok {
				since = old.since
			}
			leaving[id] = pendingTermination{why, since}
		}
	}
	for id := range c.cache.terminating {
		if m := c.fleet.machines[id]; m != nil && leaving[id].reason == "" {
			m.scaling.terminationLiftedAt = c.now
		}
	}
	for _, id := range d.Confirmed {
		// What stood on it may be placed again at once.
		if m := c.machine(id); !m.scaling.terminated {
			m.scaling.terminated, m.scaling.terminatedAt = true, c.now
			m.markForReview()
			c.scheduler.machinesLost, c.scheduler.criticalDirty = true, true
		}
	}
	c.cache.terminations, c.cache.terminating, c.scheduler.dirty = d, leaving, true
	return nil
}
