package core

import (
	"slices"

	"lilacrill/internal/config"
	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// index adds a page's entries to the index of the records, unindex takes them
// out again.
func (c *Core) index(p *page) {
	p.look = true
	for i := range p.entries {
		e := &p.entries[i]
		e.page, e.on = p, c.machineOf(e.Machine)
		e.on.settled = nil
		e.on.entries = append(e.on.entries, e)
		c.ofJob[e.Job] = append(c.ofJob[e.Job], e)
		if c.jobs[e.Job] == nil {
			c.noteOver(e.Machine)
		}
		if e.Priority == wire.PriorityCritical.Level() {
			c.critical[e.Machine]++
		}
	}
}

func (c *Core) unindex(p *page) {
	here := func(e *Entry) bool { return e.page == p }
	for i := range p.entries {
		e := &p.entries[i]
		e.on.settled = nil
		e.on.entries = slices.DeleteFunc(e.on.entries, here)
		dropWhere(c.ofJob, e.Job, here)
		if e.Priority == wire.PriorityCritical.Level() {
			if c.critical[e.Machine]--; c.critical[e.Machine] == 0 {
				delete(c.critical, e.Machine)
			}
		}
	}
}

func dropWhere[K comparable](m map[K][]*Entry, k K, drop func(*Entry) bool) {
	if left := slices.DeleteFunc(m[k], drop); len(left) > 0 {
		m[k] = left
	} else {
		delete(m, k)
	}
}

// located is an entry with the page it stands on.
type located struct {
	page  *page
	entry *Entry
}

// entriesOf finds a job's entries, as its team's round would leave them.
func (c *Core) entriesOf(r *round, id wire.JobID) []located {
	var out []located
	seen := map[string]bool{}
	look := func(p *page) {
		if p == nil || seen[p.key] {
			return
		}
		seen[p.key] = true
		d := r.view(p)
		for i := range d.entries {
			if d.entries[i].Job == id {
				out = append(out, located{p, &d.entries[i]})
			}
		}
	}
	for _, e := range c.ofJob[id] {
		look(e.page)
	}
	for _, key := range sortedKeys(r.pages) {
		look(r.team.pages[key])
	}
	return out
}

// hosts builds the fleet as placement sees it: what is on the machines by the
// records, with the rounds that are being written. With ownShares it holds the machines in
// this controller's shares and, closed, those with tasks of jobs that it places, since
// rules read them; visit gets no host of others.
func (c *Core) hosts(rounds map[string]*round, ownShares bool, visit func(*page, *Entry, *placement.Host)) placement.Fleet {
	room := make([]placement.Host, len(c.machines))
	fleet := make(placement.Fleet, 0, len(c.machines))
	for i, m := range c.inOrder() {
		m.host = nil
		t := c.kind(m.kind)
		if t == nil || m.newest == nil || m.gone || ownShares && !c.shares.Places(m.share) {
			continue
		}
		h := &room[i]
		*h = placement.Host{ID: m.id, Labels: c.labelsOf(m), Total: amountOf(t), Closed: !c.usable(m),
			Free: amountOf(t), Slots: maxPerHost, Images: m.has, Price: t.OnDemandPrice, Pulling: m.pulling}
		if m.spot {
			h.Price = t.SpotPrice
		}
		if !c.after(m.badUntil) {
			h.Penalty = 1
		}
		fleet = append(fleet, h)
		m.host = h
	}
	// Entries of one job mostly stand together.
	var last wire.JobID
	var j *job
	var tags placement.Tags
	within := false
	c.planned(rounds, func(p *page, e *Entry) {
		m := e.on
		if m == nil {
			m = c.machineOf(e.Machine) // it is of a round that is being made
		}
		h := m.host
		if h == nil && ownShares && !c.shares.Places(m.share) {
			if j := c.jobs[e.Job]; j == nil || !c.places(j) {
				visit(p, e, nil)
				return
			}
		}
		if h == nil {
			// Rules with within read the zone of an unknown machine too.
			h = &placement.Host{ID: e.Machine, Labels: placement.Tags{placement.LabelZone: p.zone}, Closed: true}
			m.host = h
			fleet = append(fleet, h)
		}
		if e.Job != last {
			last, j, within = e.Job, c.jobs[e.Job], c.within[e.Job]
			if j != nil {
				tags = j.req.Tags
			} else {
				tags = e.tags()
			}
		}
		n := e.Tasks.Len()
		h.Free = h.Free.Plus(e.need(), -float64(n))
		h.Slots -= n
		g := placement.Group{Team: p.team, Tags: tags, Count: n}
		if e.Eviction != record.EvictionNone || j == nil {
			h.Freeing = h.Freeing.Plus(e.need(), float64(n))
			g.Stopping = true
		} else {
			h.Ranks |= 1 << e.Priority
			h.Beyond = h.Beyond || e.Priority >= wire.PriorityNormal.Level() && !within
		}
		h.Groups = append(h.Groups, g)
		visit(p, e, h)
	})
	return fleet
}

// planned visits all entries as the rounds under way will leave them.
func (c *Core) planned(rounds map[string]*round, visit func(*page, *Entry)) {
	for _, name := range sortedKeys(c.teams) {
		t := c.teams[name]
		r := t.writing
		if r == nil {
			r = rounds[name]
		}
		for _, p := range t.planPages(r) {
			for i := range p.entries {
				visit(p, &p.entries[i])
			}
		}
	}
}

// planPages are the team's pages as a round leaves them.
func (t *team) planPages(r *round) []*page {
	out := t.inOrder()
	if r != nil {
		for i, p := range out {
			out[i] = r.view(p)
		}
	}
	if r != nil {
		for _, key := range sortedKeys(r.pages) {
			if t.pages[key] == nil {
				out = append(out, r.pages[key])
			}
		}
	}
	return out
}

// usable reports whether a machine may take new tasks now.
func (c *Core) usable(m *machine) bool {
	if m == nil || m.newest == nil || m.left() || m.recallAt != 0 || m.status == wire.MachineFailed {
		return false
	}
	if _, going := c.leaving[m.id]; going {
		return false
	}
	if m.unreachable() && !c.unheard {
		return false
	}
	return c.reports(m) && slices.Contains(c.settings.Cluster.Zones, m.zone)
}

// reports reports whether a machine was heard within its reporting interval.
func (c *Core) reports(m *machine) bool {
	return c.now.Sub(m.heard) < config.Seconds(1.25*c.settings.Cluster.Workers.ReportS)+reportSlack
}
