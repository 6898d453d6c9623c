package core

import (
	"encoding/json"
	"strings"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/fastjson"
	"lilacrill/internal/placement"
	"lilacrill/wire"
)

// store is the cache of the state service's keys, kept by its feed.
type store struct {
	// feed is the revision up to which the cache is complete.
	feed wire.Ledger
	// written is the last revision of our own that the cache holds, which may
	// be ahead of feed.
	written wire.Ledger
	ver     map[string]wire.Ledger // stamps of cached keys, and of dropped ones until the feed is past them
	dropped map[string]wire.Ledger

	// token is adopted from the feed only. So a command that carries it is
	// based on everything written before the token was raised: that is what
	// makes a raised token a fence.
	token      wire.FencingToken
	tokenStamp wire.Ledger

	jobs          map[wire.JobID]*job
	finals        map[wire.JobID]finalRecord // of jobs whose final states have keys of their own: a cache
	over          map[wire.JobID]finalRecord // of jobs in whose records they stand: all of them
	filing        bool
	nextFile      Time
	teams         map[string]*team
	nodes         map[string]wire.FencingToken
	isolatedNodes map[string]bool
	returns       returnsRecord
	leaving       map[wire.MachineID]leavingEntry // the machines that are going
	buyer         wire.FencingToken
	stateOK       Time
	watching      bool

	barrierOpen bool
	barrierFrom Time            // not before, so that users who ask do not use up the tokens
	accepting   int             // submissions being written
	turnAt      Time            // when the last user who was refused was told to come back
	waiting     []func(ok bool) // served by the barrier in flight
	queued      []func(ok bool) // served by the one after it
}

// job is a job that is not over.
type job struct {
	id    wire.JobID
	spec  wire.JobSpec
	at    int64
	by    wire.FencingToken
	stamp wire.Ledger
	done  TaskSet
	req   *placement.Request

	// What follows is only known here.
	failing
	seen    Time
	why     string // why tasks of it wait
	started bool   // its first start was counted
	// launching is the attempt of a gang that is being launched, since launchFrom.
	launching  wire.Attempt
	launchFrom Time
}

// leavingEntry says why a machine is going, and since which revision that stands.
type leavingEntry struct {
	why   string
	since wire.Ledger
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
	s.ver = map[string]wire.Ledger{}
	s.dropped = map[string]wire.Ledger{}
	s.jobs = map[wire.JobID]*job{}
	s.finals = map[wire.JobID]finalRecord{}
	s.over = map[wire.JobID]finalRecord{}
	s.teams = map[string]*team{}
	s.nodes = map[string]wire.FencingToken{}
	s.isolatedNodes = map[string]bool{}
	s.returns, s.leaving = returnsRecord{}, map[wire.MachineID]leavingEntry{}
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
func (c *Core) apply(key string, value json.RawMessage, stamp wire.Ledger) {
	if id, ok := strings.CutPrefix(key, finalPrefix); ok {
		// Written once and never changed, so there is no version to keep.
		if err := c.applyFinal(wire.JobID(id), value); err != nil {
			c.log.Error("final state not understood", "key", key, "err", err)
		}
		return
	}
	if stamp <= c.ver[key] {
		return
	}
	c.ver[key] = stamp
	if value == nil {
		c.dropped[key] = stamp
	} else {
		delete(c.dropped, key)
	}
	var err error
	switch {
	case key == tokenKey:
		var n wire.FencingToken
		if value != nil {
			err = fastjson.Unmarshal(value, &n)
		}
		if err == nil && n > c.token {
			c.token, c.tokenStamp = n, stamp
		}
	case key == buyerKey:
		c.buyer = 0
		if value != nil {
			err = fastjson.Unmarshal(value, &c.buyer)
		}
		c.assign()
	case key == settingsKey:
		err = c.applySettings(value, stamp)
	case strings.HasPrefix(key, nodePrefix):
		label := strings.TrimPrefix(key, nodePrefix)
		if value == nil {
			delete(c.nodes, label)
			delete(c.isolatedNodes, label)
		} else {
			var n nodeRecord
			if err = fastjson.Unmarshal(value, &n); err == nil {
				c.nodes[label] = n.Boot
				c.isolatedNodes[label] = n.Isolated
			}
		}
		c.assign()
	case strings.HasPrefix(key, jobPrefix):
		err = c.applyJob(wire.JobID(strings.TrimPrefix(key, jobPrefix)), value, stamp)
	case strings.HasPrefix(key, pagePrefix):
		err = c.applyPage(key, value, stamp)
	case strings.HasPrefix(key, imagePrefix):
		err = c.applyImages(strings.TrimPrefix(key, imagePrefix), value)
	case key == returnsKey:
		err = c.applyReturns(value, stamp)
	}
	if err != nil {
		c.log.Error("record in the state service not understood", "key", key, "err", err)
	}
}

func (c *Core) applyJob(id wire.JobID, value json.RawMessage, stamp wire.Ledger) error {
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
	var r jobRecord
	if err := fastjson.Unmarshal(value, &r); err != nil {
		return err
	}
	if r.Over != nil {
		if !r.Over.Status.Final() {
			return errNotFinal
		}
		delete(c.jobs, id)
		if _, known := c.over[id]; !known && r.Over.Status == wire.StatusWithdrawn {
			c.noteWithdrawn(wire.Withdrawal{Job: id, Stamp: stamp, Done: r.Over.Done})
		}
		c.over[id] = *r.Over
		for _, e := range c.ofJob[id] {
			c.noteOver(e.Machine)
		}
		return nil
	}
	j := c.jobs[id]
	if j == nil {
		j = &job{id: id}
		j.errors, j.avoid = map[wire.MachineID]Time{}, map[wire.MachineID]Time{}
		j.seen = c.now
		c.jobs[id] = j
		// While everything is read anew, a page may have come before its job.
		for _, p := range c.teamOf(r.Spec.Team).pages {
			j.done = j.done.With(p.done[id])
		}
	}
	c.urgent = c.urgent || r.Spec.Rank == wire.RankCritical
	j.spec, j.at, j.by, j.stamp = r.Spec, r.At, r.By, stamp
	j.req = placement.NewRequest(&j.spec)
	return nil
}

func (c *Core) applyPage(key string, value json.RawMessage, stamp wire.Ledger) error {
	name, zone, n, err := parsePageKey(key)
	if err != nil {
		return err
	}
	p := &page{key: key, team: name, zone: zone, n: n, stamp: stamp}
	var v pageValue
	if err := fastjson.Unmarshal(value, &v); err != nil {
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
func (c *Core) applyReturns(value json.RawMessage, stamp wire.Ledger) error {
	var d returnsRecord
	if value != nil {
		if err := fastjson.Unmarshal(value, &d); err != nil {
			return err
		}
	}
	leaving := map[wire.MachineID]leavingEntry{}
	for why, names := range d.Going {
		for _, id := range names {
			since := stamp
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
	for _, id := range d.Gone {
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

// load reads everything anew: at the start, and when the feed no longer goes
// back far enough.
func (c *Core) load() {
	c.do(Load{call(c, func(l Loaded) {
		if l.Outcome != Done {
			c.loading = false
			c.nextTry = c.now.Add(retryState)
			return
		}
		c.stateAnswered()
		finals := c.finals
		c.store.init()
		c.finals = finals
		c.withdrawn, c.withdrawnFrom = nil, 0
		clear(c.overOn)
		for _, m := range c.machines {
			m.entries = nil
		}
		clear(c.ofJob)
		clear(c.critical)
		for _, e := range l.Entries {
			c.apply(e.Key, e.Value, e.Stamp)
		}
		c.feed = l.First
		c.forgetWithdrawn(l.First)
		c.catchUp = l.Last
		c.loading, c.loaded = false, true
		c.watch()
	}), loadPrefixes})
}

// watch keeps one open request on the feed.
func (c *Core) watch() {
	if c.watching || !c.loaded {
		return
	}
	c.watching = true
	block := watchBlock
	if c.feed < c.catchUp {
		block = 0
	}
	c.do(Follow{Call: call(c, func(f Fed) {
		c.watching = false
		if !c.fed(f) {
			c.watchFrom = c.now.Add(retryState)
			return
		}
		// A short pause lets changes gather: what a busy feed brings is wanted
		// within a second, not at once.
		c.watchFrom = c.now.Add(c.every(watchPause, watchPart))
		if c.feed < c.catchUp {
			c.watch()
		}
	}), Class: ClassUrgent, Under: rootKey, After: c.feed, Block: block})
}

const (
	watchBlock = 10 * time.Second
	watchPause = 40 * time.Millisecond
	// watchIdle is how long the feed must not have been read for a watch to be
	// opened: while users ask, barriers bring all of it, and a watch would only have
	// it decoded twice.
	watchIdle  = 100 * time.Millisecond
	retryState = 250 * time.Millisecond
	// watchPart and barrierPart are the parts of this controller's requests that
	// reading the feed may take.
	watchPart   = 0.25
	barrierPart = 0.3
)

// every is the time between calls that may take a part of this controller's
// share of the state service's requests.
func (c *Core) every(least time.Duration, part float64) time.Duration {
	return max(least, config.Seconds(1/(part*c.share()*c.set.Cluster.State.RPS)))
}

// fed takes an answer of the feed and reports whether it was one.
func (c *Core) fed(f Fed) bool {
	c.outcome(f.Outcome, countStateNot, countStateLost)
	switch f.Outcome {
	case Done:
	case TooOld:
		if c.loaded {
			c.log.Info("the feed no longer goes back far enough; reading everything again")
			c.loaded, c.loading = false, false
		}
		return false
	default:
		return false
	}
	c.stateAnswered()
	for _, l := range f.Feed.Log {
		if l.Put != "" {
			c.apply(l.Put, l.Value, l.Stamp)
		} else {
			c.apply(l.Drop, nil, l.Stamp)
		}
	}
	c.feed = max(c.feed, f.Feed.Ledger)
	if c.loaded {
		c.readTo(c.asked)
	}
	for key, stamp := range c.dropped {
		if stamp <= c.feed {
			delete(c.dropped, key)
			delete(c.ver, key)
		}
	}
	return true
}

// barrier calls then once the cache holds everything that was written before
// now. All who wait share one request.
func (c *Core) barrier(then func(ok bool)) {
	if !c.loaded {
		then(false)
		return
	}
	c.queued = append(c.queued, then)
	c.openBarrier()
}

func (c *Core) openBarrier() {
	if c.barrierOpen || len(c.queued) == 0 || !c.after(c.barrierFrom) {
		return
	}
	c.barrierOpen = true
	c.barrierFrom = c.now.Add(c.every(0, barrierPart))
	c.waiting, c.queued = c.queued, nil
	after := c.feed
	c.do(Follow{Call: call(c, func(f Fed) {
		ok := after <= c.feed && c.fed(f)
		c.barrierOpen = false
		served := c.waiting
		c.waiting = nil
		for _, then := range served {
			then(ok)
		}
		c.openBarrier()
	}), Class: ClassAccept, Under: rootKey, After: after})
}

// commit runs a transaction and takes its changes into the cache when it went
// through. The token comes by the feed alone (see store.token).
func (c *Core) commit(class Class, txn wire.Transaction, then func(Committed)) {
	c.commitKnown(class, txn, "", then)
}

// commitKnown is commit for a caller that takes the keys under known (if not
// empty) into the cache itself.
func (c *Core) commitKnown(class Class, txn wire.Transaction, known string, then func(Committed)) {
	sent := c.now
	c.spend(len(txn.Then))
	c.do(Commit{call(c, func(r Committed) {
		c.count(countCommits, 1)
		c.took(timeCommit, c.now.Sub(sent))
		c.outcome(r.Outcome, countStateNot, countStateLost)
		switch r.Outcome {
		case NotDone:
			c.spend(-len(txn.Then)) // no tokens were used
		case Done:
			c.stateAnswered()
			c.written = max(c.written, r.Ledger)
			for _, ch := range txn.Then {
				switch {
				case ch.Put == tokenKey || known != "" && strings.HasPrefix(ch.Put, known):
				case ch.Put != "":
					c.apply(ch.Put, ch.Value, r.Ledger)
				default:
					c.apply(ch.Drop, nil, r.Ledger)
				}
			}
		case Conflict:
			c.stateAnswered()
			c.count(countConflicts, 1)
		}
		then(r)
	}), class, txn})
}

func put(key string, v any) wire.Change { return wire.Change{Put: key, Value: encode(v)} }

func encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		// Only our own record types come here; none of them can fail.
		panic(err)
	}
	return b
}
