package core

import (
	"maps"
	"slices"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// round is one conditional write to a team's records.
type round struct {
	team   *team
	pages  map[string]*page // drafts of the pages it changes
	done   map[wire.JobID]record.TaskSet
	ends   map[wire.JobID]bool // the jobs that it ends
	adds   map[string]bool     // zones in which it adds entries
	wrote  map[string]bool     // pages that the transaction changes
	conds  map[string]wire.Revision
	places bool
	shares map[wire.ShardID]bool // in which it places
	urgent bool                  // it places critical tasks
	// urgentOnly says that it is not this team's turn for anything else.
	urgentOnly bool
	bump       bool
	skip       map[wire.MachineID]bool
	tell       map[wire.MachineID]bool // machines with new orders afterwards
	ops        int
	bytes      int
}

func (c *Core) newRound(t *team) *round {
	return &round{team: t, pages: map[string]*page{}, done: map[wire.JobID]record.TaskSet{}, ends: map[wire.JobID]bool{},
		adds: map[string]bool{}, wrote: map[string]bool{}, conds: map[string]wire.Revision{}, skip: map[wire.MachineID]bool{}, tell: map[wire.MachineID]bool{},
		shares: map[wire.ShardID]bool{}}
}

// draft is the page to change in this round. What it holds of jobs that are
// over goes with the change.
func (c *Core) draft(r *round, p *page) *page {
	d := r.pages[p.key]
	if d == nil {
		d = &page{key: p.key, team: p.team, zone: p.zone, n: p.n, version: p.version, size: p.size,
			entries: slices.Clone(p.entries), done: c.living(p.done)}
		r.pages[p.key] = d
		r.ops++
		r.bytes += p.size
	}
	return d
}

// view is a page as the round would leave it.
func (r *round) view(p *page) *page {
	if d := r.pages[p.key]; d != nil {
		return d
	}
	return p
}

func (r *round) empty() bool { return len(r.pages) == 0 && len(r.done) == 0 }

// fits reports whether the round may still take on more changes. What a round
// demands does not grow with its team: the heads of its zones (those of zones in which it
// adds entries are among its pages), the pages that it writes, its jobs, the shares that it
// places in, the token and the list of machines to be returned.
func (c *Core) fits(r *round, ops int) bool {
	limits := &c.settings.Cluster.State
	conds := len(r.conds) + len(r.pages) + len(r.shares) + len(c.settings.Cluster.Zones) - len(r.adds) + baseConditions
	return r.ops+ops < limits.TxnOps && conds <= 4*limits.TxnOps && r.bytes < maxTxnBytes
}

// baseConditions is the token, the list of machines to be returned, and a job and a share
// more.
const baseConditions = 4

// end has a round end a job.
func (c *Core) end(r *round, j *job) {
	r.ends[j.id] = true
	r.ops++
	r.conds[record.JobKey(j.id)] = j.version
}

// write commits a round and, once it stands, tells the machines.
func (c *Core) write(r *round) {
	t := r.team
	for id := range r.ends {
		for _, d := range r.pages {
			delete(d.done, id)
		}
	}
	txn := wire.Transaction{}
	for _, key := range c.settle(r) {
		d := r.pages[key]
		r.conds[key] = d.version
		r.wrote[key] = true
		txn.Then = append(txn.Then, c.put(key, d.value()))
	}
	for _, id := range sortedKeys(r.ends) {
		txn.Then = append(txn.Then, c.put(record.JobKey(id), record.CompletedJob{Completion: record.Completion{Status: wire.StatusDone, Done: c.jobs[id].spec.Tasks}}))
	}
	if r.bump {
		txn.Then = append(txn.Then, c.put(record.TokenKey, c.token+1))
	}
	if len(txn.Then) == 0 {
		return
	}
	class := ClassRest
	if r.urgent {
		class = ClassUrgent
	}
	if r.places {
		// The heads of all the team's zones stand for every record that the
		// decision read; one that does not exist yet must still not.
		for _, zone := range c.settings.Cluster.Zones {
			key := record.PlacementKey(t.name, zone, 0)
			if p := t.pages[key]; p != nil {
				r.conds[key] = p.version
			} else {
				r.conds[key] = 0
			}
		}
		r.conds[record.TerminationsKey] = c.keyVersions[record.TerminationsKey]
		// Whoever was replaced as the owner of a share loses the write, however late it
		// is carried out.
		for id := range r.shares {
			demand := c.shares.Demand(id)
			r.conds[demand.Key] = demand.Version
		}
	}
	for _, key := range sortedKeys(r.conds) {
		txn.If = append(txn.If, wire.Condition{Key: key, Version: r.conds[key]})
	}
	t.writing = r
	sent := c.now
	c.commitKnown(class, txn, record.PlacementPrefix, func(res Committed) {
		c.dirty = true
		c.urgent = c.urgent || c.criticalWaits
		if res.Outcome == Done {
			t.writing = nil
			c.adopt(r, res.Revision)
			for id := range r.ends {
				if c.jobs[id] == nil {
					c.count(countDone, 1)
				}
			}
			if r.places {
				t.tries, t.locked = 0, nil
			}
			for _, id := range sortedKeys(r.tell) {
				if m := c.machines[id]; m != nil {
					c.sendOrdersNow(m)
				}
			}
			if r.bump {
				c.barrier(func(bool) {})
			}
			return
		}
		if res.Outcome == Conflict && r.places {
			c.lost(t, r, sent)
		}
		if res.Outcome == NotDone {
			t.writing = nil
			t.notBefore = c.now.Add(notDoneWait)
			return
		}
		// Reread before the next round: a lost write means that others know more,
		// and an unanswered one may have gone through.
		c.barrier(func(ok bool) {
			t.writing = nil
			c.dirty = true
			if !ok {
				t.notBefore = c.now.Add(notDoneWait)
			}
		})
	})
}

// settle readies the pages that a round writes: those that differ, and the head
// of every zone in which it adds entries. A page that has come to take more than
// a value may, as stops and fences set its entries apart, hands some on to
// another page; if there is none, it is left as it was until there is room.
func (c *Core) settle(r *round) []string {
	t := r.team
	for _, key := range sortedKeys(r.pages) {
		d := r.pages[key]
		d.tidy()
		for bulk(d) > c.pageLimit() {
			e := d.entries[len(d.entries)-1]
			d.entries = d.entries[:len(d.entries)-1]
			if len(d.entries) == 0 || !c.addTo(r, d.zone, e, key) {
				c.log.Warn("placement record is full", "key", key)
				r.pages[key] = c.draft(&round{pages: map[string]*page{}}, t.pages[key])
				break
			}
		}
	}
	for _, zone := range sortedKeys(r.adds) {
		c.draft(r, c.headOf(t, zone))
	}
	var keys []string
	for _, key := range sortedKeys(r.pages) {
		d := r.pages[key]
		d.tidy()
		if p := t.pages[key]; p != nil && !(d.n == 0 && r.adds[d.zone]) && sameRecord(p, d) {
			continue
		}
		keys = append(keys, key)
	}
	return keys
}

// bulk is how many bytes a page's plain value takes: it fits whether or not it is
// compressed.
func bulk(p *page) int {
	if p.size <= 0 {
		p.measure()
	}
	return len(encode(p.value()))
}

func sameRecord(a, b *page) bool {
	return len(a.done) == len(b.done) && slices.EqualFunc(a.entries, b.entries, equalEntry) &&
		maps.EqualFunc(a.done, b.done, record.TaskSet.Equal)
}

// adopt takes a round's pages into the cache as they were written.
func (c *Core) adopt(r *round, version wire.Revision) {
	for _, key := range sortedKeys(r.pages) {
		d := r.pages[key]
		// A draft that came out as it was is not written, though its version may
		// be demanded: taking it for written would demand a version that never was.
		if !r.wrote[key] || version <= c.keyVersions[key] {
			continue
		}
		c.keyVersions[key] = version
		d.version = version
		d.measure()
		c.turn(d)
	}
}

// lost notes a lost placement write: its machines count as locked, and the
// next tries probe others at random, within bounds.
func (c *Core) lost(t *team, r *round, sent Time) {
	if t.tries == 0 {
		t.firstTry = sent
		t.locked = map[wire.MachineID]bool{}
	}
	t.tries++
	for m := range r.skip {
		t.locked[m] = true
	}
	if t.tries >= c.chosen.ProbeTries {
		c.busy(t)
	} else {
		c.unlock(t)
	}
}

// unlock ends the tries of a team when their time is over. Where all that has room
// was locked there is no further write to lose or win, and without this bound the
// machines would stay locked, and the tasks wait, for ever.
func (c *Core) unlock(t *team) {
	if t.tries > 0 && c.now.Sub(t.firstTry) > c.chosen.Probe() {
		c.busy(t)
	}
}

// busy has a team's placements pause after lost writes.
func (c *Core) busy(t *team) {
	t.tries, t.locked = 0, nil
	t.placeFrom = c.now.Add(config.Seconds(c.chosen.BusyS))
	c.count(countBusy, 1)
	c.log.Debug("placement busy", "team", t.name)
}

func equalEntry(a, b Entry) bool {
	return a.AllocationHeader == b.AllocationHeader && a.Machine == b.Machine && a.Session == b.Session && a.Tasks.Equal(b.Tasks)
}

func (c *Core) pageLimit() int { return int(c.settings.Cluster.State.ValueKB * 1024) }

// addShare is the part of a page that new entries may fill: the rest is for
// stops and fences that set entries apart.
const addShare = 0.8

// headOf is the head of a team's pages in a zone, empty if there is none yet.
func (c *Core) headOf(t *team, zone string) *page {
	key := record.PlacementKey(t.name, zone, 0)
	if p := t.pages[key]; p != nil {
		return p
	}
	return &page{key: key, team: t.name, zone: zone, size: record.PageOverhead}
}

// add puts a new entry on a page of its zone that has room, or on a new one.
// It reports whether the round could take it.
func (c *Core) add(r *round, zone string, e Entry) bool { return c.addTo(r, zone, e, "") }

func (c *Core) addTo(r *round, zone string, e Entry, not string) bool {
	t := r.team
	first := 0
	if e.Shape == wire.ShapeService {
		// Replicas stay for long. On pages of their own they are not written over
		// and over with what comes and goes by the second.
		first = 1
	}
	for n := first; ; n++ {
		key := record.PlacementKey(t.name, zone, n)
		p := t.pages[key]
		if p == nil {
			if n > 1 && n < t.count[zone] {
				return false // a page that we have not read
			}
			p = &page{key: key, team: t.name, zone: zone, n: n, size: record.PageOverhead}
		}
		cur := r.view(p)
		size := e.roomAfter(cur.entries)
		if key == not || cur.size+size > int(addShare*float64(c.pageLimit())) {
			if n >= t.count[zone] && len(cur.entries) == 0 {
				return false // it would fit on no page
			}
			continue
		}
		// The head is written too.
		head := c.headOf(t, zone)
		if (r.pages[key] == nil || r.pages[head.key] == nil) && !c.fits(r, 2) {
			return false
		}
		c.draft(r, head)
		d := c.draft(r, p)
		d.entries = append(d.entries, e)
		d.size += size
		r.bytes += size
		r.adds[zone] = true
		return true
	}
}

// unadd takes an attempt's new entries out of the round again.
func (c *Core) unadd(r *round, attempt wire.Attempt) {
	for _, d := range r.pages {
		d.entries = slices.DeleteFunc(d.entries, func(e Entry) bool { return e.Attempt == attempt })
	}
}
