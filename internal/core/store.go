package core

import (
	"encoding/json"
	"strings"

	"lilacrill/internal/fastjson"
	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/internal/share"
	"lilacrill/wire"
)

// store is the cache of the state service's keys, kept by its feed.
type store struct {
	// feed is the revision up to which the cache is complete.
	feed wire.Revision
	// written is the last revision of our own that the cache holds, which may
	// be ahead of feed.
	written     wire.Revision
	keyVersions map[string]wire.Revision // stamps of cached keys, and of dropped ones until the feed is past them
	dropped     map[string]wire.Revision

	// token is adopted from the feed only. So a command that carries it is
	// based on everything written before the token was raised: that is what
	// makes a raised token a fence.
	token        wire.FencingToken
	tokenVersion wire.Revision

	jobs          map[wire.JobID]*job
	finals        map[wire.JobID]record.Completion // of jobs whose final states have keys of their own: a cache
	over          map[wire.JobID]record.Completion // of jobs in whose records they stand: all of them
	filing        bool
	nextFile      Time
	teams         map[string]*team
	nodes         map[string]wire.FencingToken
	isolatedNodes map[string]bool
	returns       record.Terminations
	leaving       map[wire.MachineID]leavingEntry // the machines that are going
	buyer         wire.FencingToken
	// unreadable holds the job and placement records that cannot be understood, by
	// key, with the cause.
	unreadable map[string]error
	stateOK    Time
	watching   bool

	barrierOpen bool
	barrierFrom Time            // not before, so that users who ask do not use up the tokens
	accepting   int             // submissions being written
	turnAt      Time            // when the last user who was refused was told to come back
	waiting     []func(ok bool) // served by the barrier in flight
	queued      []func(ok bool) // served by the one after it
}

// job is a job that is not over.
type job struct {
	id      wire.JobID
	spec    wire.JobSpec
	at      int64
	by      wire.FencingToken
	version wire.Revision
	done    record.TaskSet
	req     *placement.Request

	// What follows is only known here.
	failing
	seen    Time
	why     string // why tasks of it wait
	started bool   // its first start was counted
	// launching is the attempt of a gang that is being launched, since launchFrom.
	launching  wire.Attempt
	launchFrom Time
	handOnFrom Time // it is not handed on before
	// unreadable says that its record cannot be understood (see holdJob).
	unreadable bool
}

// leavingEntry says why a machine is going, and since which revision that stands.
type leavingEntry struct {
	why   string
	since wire.Revision
}

// team is a team's placement records.
type team struct {
	name  string
	pages map[string]*page
	order []string       // the pages' keys in order; nil if there are new ones
	count map[string]int // zone to number of pages
	plannerTeam
}

// maxFinals bounds the remembered final states; older ones are fetched again.
const maxFinals = 200_000

func (s *store) init() {
	s.keyVersions = map[string]wire.Revision{}
	s.dropped = map[string]wire.Revision{}
	s.jobs = map[wire.JobID]*job{}
	s.finals = map[wire.JobID]record.Completion{}
	s.over = map[wire.JobID]record.Completion{}
	s.teams = map[string]*team{}
	s.nodes = map[string]wire.FencingToken{}
	s.isolatedNodes = map[string]bool{}
	s.unreadable = map[string]error{}
	s.returns, s.leaving = record.Terminations{}, map[wire.MachineID]leavingEntry{}
}

func (s *store) teamOf(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name, pages: map[string]*page{}, count: map[string]int{}}
		s.teams[name] = t
	}
	return t
}

// apply takes one change into the cache, unless it is older than what is
// there. A nil value drops the key.
func (c *Core) apply(key string, value json.RawMessage, version wire.Revision) {
	if c.retired != nil {
		return // what follows may be of a format that is not read here
	}
	if id, ok := strings.CutPrefix(key, record.CompletionPrefix); ok {
		// Written once and never changed, so there is no version to keep.
		if err := c.applyFinal(wire.JobID(id), value); err != nil {
			c.log.Error("final state not understood", "key", key, "err", err)
		}
		return
	}
	if version <= c.keyVersions[key] {
		return
	}
	c.keyVersions[key] = version
	if value == nil {
		c.dropped[key] = version
	} else {
		delete(c.dropped, key)
	}
	var err error
	switch {
	case key == record.RolloutKey:
		c.applyRollout(value, version)
	case strings.HasPrefix(key, record.RegistrationPrefix):
		label := strings.TrimPrefix(key, record.RegistrationPrefix)
		c.shares.ApplyMember(label, value, version)
		err = c.rollout.ApplyMember(label, value, version)
	case key == record.ShardPolicyKey || strings.HasPrefix(key, record.ShardPrefix):
		err = c.applyShares(key, value, version)
	case key == record.TokenKey:
		var n wire.FencingToken
		if value != nil {
			err = fastjson.Unmarshal(value, &n)
		}
		if err == nil && n > c.token {
			c.token, c.tokenVersion = n, version
		}
	case key == record.ProvisionerKey:
		c.buyer = 0
		if value != nil {
			err = fastjson.Unmarshal(value, &c.buyer)
		}
		c.assign()
	case key == record.SettingsKey:
		err = c.applySettings(value, version)
	case strings.HasPrefix(key, record.LivenessPrefix):
		label := strings.TrimPrefix(key, record.LivenessPrefix)
		if value == nil {
			delete(c.nodes, label)
			delete(c.isolatedNodes, label)
			c.rollout.ApplyNode(label, 0, version)
			c.shares.ApplyController(label, record.Liveness{}, version, share.Time(c.now))
		} else {
			var n record.Liveness
			if err = fastjson.Unmarshal(value, &n); err == nil {
				c.nodes[label] = n.Incarnation
				c.isolatedNodes[label] = n.Isolated
				c.rollout.ApplyNode(label, n.Incarnation, version)
				c.shares.ApplyController(label, n, version, share.Time(c.now))
			}
		}
		c.assign()
	case strings.HasPrefix(key, record.JobPrefix):
		err = c.applyJob(wire.JobID(strings.TrimPrefix(key, record.JobPrefix)), value, version)
	case strings.HasPrefix(key, record.PlacementPrefix):
		err = c.applyPage(key, value, version)
	case strings.HasPrefix(key, record.ImagePrefix):
		err = c.applyImages(strings.TrimPrefix(key, record.ImagePrefix), value)
	case key == record.TerminationsKey:
		err = c.applyReturns(value, version)
	}
	c.noteReadable(key, err)
}

func (c *Core) applyJob(id wire.JobID, value json.RawMessage, version wire.Revision) error {
	c.dirty = true
	for _, e := range c.ofJob[id] {
		e.on.settled, e.page.look = nil, true
	}
	if value == nil {
		// It was moved, in the same change, to a key of its own.
		delete(c.jobs, id)
		delete(c.over, id)
		return nil
	}
	var r record.Job
	if err := record.Decode(value, c.valueBound(), &r); err != nil {
		c.holdJob(id, version)
		return err
	}
	if r.Completion != nil {
		if !r.Completion.Status.IsTerminal() {
			return errNotFinal
		}
		delete(c.jobs, id)
		if _, known := c.over[id]; !known && r.Completion.Status == wire.StatusCancelled {
			c.noteWithdrawn(wire.Cancellation{Job: id, Version: version, Done: r.Completion.Done})
		}
		c.over[id] = *r.Completion
		for _, e := range c.ofJob[id] {
			c.noteOver(e.Machine)
		}
		return nil
	}
	j := c.jobs[id]
	if j == nil {
		j = c.newJob(id)
		// While everything is read anew, a page may have come before its job.
		for _, p := range c.teamOf(r.Spec.Team).pages {
			j.done = j.done.With(p.done[id])
		}
	}
	c.urgent = c.urgent || r.Spec.Priority == wire.PriorityCritical
	j.spec, j.at, j.by, j.version, j.unreadable = r.Spec, r.AcceptedAt, r.AcceptedBy, version, false
	j.req = placement.NewRequest(&j.spec)
	return nil
}

// holdJob keeps a job whose record cannot be understood as it is: its tasks run on,
// none is placed or taken for the last one, and its users are told to come back.
func (c *Core) holdJob(id wire.JobID, version wire.Revision) {
	delete(c.over, id)
	j := c.jobs[id]
	if j == nil {
		j = c.newJob(id)
		j.spec = wire.JobSpec{ID: id, Tasks: wire.MaxTasks}
		j.req = placement.NewRequest(&j.spec)
	}
	j.version, j.unreadable = version, true
}

func (c *Core) newJob(id wire.JobID) *job {
	j := &job{id: id, seen: c.now}
	j.errors, j.avoid = map[wire.MachineID]Time{}, map[wire.MachineID]Time{}
	c.jobs[id] = j
	return j
}

// holdsTeam reports whether a placement record of a team cannot be understood: what
// stands on it is not known, so nothing of the team is placed or cleared, and its
// limit, its gangs and what its machines report without a record are left alone.
func (c *Core) holdsTeam(team string) bool {
	for key := range c.unreadable {
		if strings.HasPrefix(key, record.PlacementPrefix+team+"/") {
			return true
		}
	}
	return false
}

// holds reports whether what a machine reports of a job cannot be judged.
func (c *Core) holds(id wire.JobID) bool {
	j := c.jobs[id]
	return len(c.unreadable) > 0 && j != nil && (j.unreadable || c.holdsTeam(j.spec.Team))
}

func (c *Core) applyPage(key string, value json.RawMessage, version wire.Revision) error {
	name, zone, n, err := record.ParsePlacementKey(key)
	if err != nil {
		return err
	}
	p := &page{key: key, team: name, zone: zone, n: n, version: version}
	var v record.PlacementPage
	if err := record.Decode(value, c.valueBound(), &v); err != nil {
		return err
	}
	if err := p.unpack(&v); err != nil {
		return err
	}
	p.measure()
	c.turn(p)
	return nil
}

// turn puts a page, as it was read or written, in the place of the one before
// and keeps the index of the records in step.
func (c *Core) turn(p *page) {
	t := c.teamOf(p.team)
	if old := t.pages[p.key]; old != nil {
		c.unindex(old)
	} else {
		t.order = nil
	}
	t.pages[p.key] = p
	t.count[p.zone] = max(t.count[p.zone], p.n+1)
	c.index(p)
	for id, set := range p.done {
		if j := c.jobs[id]; j != nil {
			j.done = j.done.With(set)
		}
	}
	c.dirty = true
}

// inOrder is the team's pages by key.
func (t *team) inOrder() []*page {
	if t.order == nil {
		t.order = sortedKeys(t.pages)
	}
	out := make([]*page, len(t.order))
	for i, key := range t.order {
		out[i] = t.pages[key]
	}
	return out
}

// applyReturns takes the list of machines about to be returned and of those that
// are gone.
func (c *Core) applyReturns(value json.RawMessage, version wire.Revision) error {
	var d record.Terminations
	if value != nil {
		if err := fastjson.Unmarshal(value, &d); err != nil {
			return err
		}
	}
	leaving := map[wire.MachineID]leavingEntry{}
	for why, names := range d.Pending {
		for _, id := range names {
			since := version
			if old, ok := c.leaving[id]; ok {
				since = old.since
			}
			leaving[id] = leavingEntry{why, since}
		}
	}
	for id := range c.leaving {
		if m := c.machines[id]; m != nil && leaving[id].why == "" {
			m.leftAt = c.now
		}
	}
	for _, id := range d.Confirmed {
		// What stood on it may be placed again at once.
		if m := c.machineOf(id); !m.gone {
			m.gone, m.goneAt = true, c.now
			m.lookAgain()
			c.lostSome, c.urgent = true, true
		}
	}
	c.returns, c.leaving, c.dirty = d, leaving, true
	return nil
}
