package controller

import (
	"slices"

	"lilacrill/internal/config"
	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// index adds a page's entries to the index of the records, unindex takes them
// out again.
func (c *Controller) index(p *page) {
	p.needsReview = true
	for i := range p.allocations {
		e := &p.allocations[i]
		e.page, e.host = p, c.machine(e.Machine)
		e.host.reconciliation.reconciledHeartbeat = nil
		e.host.allocations = append(e.host.allocations, e)
		c.scheduler.allocationsByJob[e.Job] = append(c.scheduler.allocationsByJob[e.Job], e)
		if c.cache.jobs[e.Job] == nil {
			c.noteCompletedTasksOn(e.Machine)
		}
		if e.Priority == wire.PriorityCritical.Level() {
			c.scheduler.criticalAllocations[e.Machine]++
		}
	}
}

func (c *Controller) unindex(p *page) {
	here := func(e *Allocation) bool { return e.page == p }
	for i := range p.allocations {
		e := &p.allocations[i]
		e.host.reconciliation.reconciledHeartbeat = nil
		e.host.allocations = slices.DeleteFunc(e.host.allocations, here)
		deleteWhere(c.scheduler.allocationsByJob, e.Job, here)
		if e.Priority == wire.PriorityCritical.Level() {
			if c.scheduler.criticalAllocations[e.Machine]--; c.scheduler.criticalAllocations[e.Machine] == 0 {
				delete(c.scheduler.criticalAllocations, e.Machine)
			}
		}
	}
}

func deleteWhere[K comparable](m map[K][]*Allocation, k K, drop func(*Allocation) bool) {
	if left := slices.DeleteFunc(m[k], drop); len(left) > 0 {
		m[k] = left
	} else {
		delete(m, k)
	}
}

// locatedAllocation is an entry with the page it stands on.
type locatedAllocation struct {
	page       *page
	allocation *Allocation
}

// jobAllocations finds a job's entries, as its team's round would leave them.
func (c *Controller) jobAllocations(r *placementTransaction, id wire.JobID) []locatedAllocation {
	var out []locatedAllocation
	seen := map[string]bool{}
	look := func(p *page) {
		if p == nil || seen[p.key] {
			return
		}
		seen[p.key] = true
		d := r.stagedOrCurrent(p)
		for i := range d.allocations {
			if d.allocations[i].Job == id {
				out = append(out, locatedAllocation{p, &d.allocations[i]})
			}
		}
	}
	for _, e := range c.scheduler.allocationsByJob[id] {
		look(e.page)
	}
	for _, key := range sortedKeys(r.pages) {
		look(r.team.pages[key])
	}
	return out
}

// buildHosts builds the fleet as placement sees it: what is on the machines by the
// records, with the rounds that are being written. With ownShards it holds the machines in
// this controller's shares and, closed, those with tasks of jobs that it places, since
// rules read them; visit gets no host of others.
func (c *Controller) buildHosts(rounds map[string]*placementTransaction, ownShares bool, visit func(*page, *Allocation, *placement.Host)) placement.Fleet {
	room := make([]placement.Host, len(c.fleet.machines))
	fleet := make(placement.Fleet, 0, len(c.fleet.machines))
	for i, m := range c.orderedMachines() {
		m.host = nil
		t := c.machineTypeNamed(m.machineType)
		if t == nil || m.latestHeartbeat == nil || m.scaling.terminated || ownShares && !c.shards.table.Places(m.shard) {
			continue
		}
		h := &room[i]
		*h = placement.Host{ID: m.id, Labels: c.labelsOf(m), Total: machineResources(t), Unschedulable: !c.acceptsTasks(m),
			Free: machineResources(t), TaskSlots: maxTasksPerMachine, Images: m.images.cached, Price: t.OnDemandPrice, PullingImages: m.images.pulling}
		if m.spot {
			h.Price = t.SpotPrice
		}
		if !c.isDue(m.quarantine.faultyUntil) {
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
	c.visitStagedAllocations(rounds, func(p *page, e *Allocation) {
		m := e.host
		if m == nil {
			m = c.machine(e.Machine) // it is of a round that is being made
		}
		h := m.host
		if h == nil && ownShares && !c.shards.table.Places(m.shard) {
			if j := c.cache.jobs[e.Job]; j == nil || !c.schedulesJob(j) {
				visit(p, e, nil)
				return
			}
		}
		if h == nil {
			// Rules with within read the zone of an unknown machine too.
			h = &placement.Host{ID: e.Machine, Labels: placement.Tags{placement.LabelZone: p.zone}, Unschedulable: true}
			m.host = h
			fleet = append(fleet, h)
		}
		if e.Job != last {
			last, j, within = e.Job, c.cache.jobs[e.Job], c.scheduler.guaranteedJobs[e.Job]
			if j != nil {
				tags = j.request.Tags
			} else {
				tags = e.tags()
			}
		}
		n := e.Tasks.Len()
		h.Free = h.Free.Plus(e.taskResources(), -float64(n))
		h.TaskSlots -= n
		g := placement.Group{Team: p.team, Tags: tags, Count: n}
		if e.Eviction != record.EvictionNone || j == nil {
			h.Freeing = h.Freeing.Plus(e.taskResources(), float64(n))
			g.Stopping = true
		} else {
			h.PreemptablePriorities |= 1 << e.Priority
			h.HasUnguaranteedTasks = h.HasUnguaranteedTasks || e.Priority >= wire.PriorityNormal.Level() && !within
		}
		h.Groups = append(h.Groups, g)
		visit(p, e, h)
	})
	return fleet
}

// visitStagedAllocations visits all entries as the rounds under way will leave them.
func (c *Controller) visitStagedAllocations(rounds map[string]*placementTransaction, visit func(*page, *Allocation)) {
	for _, name := range sortedKeys(c.cache.teams) {
		t := c.cache.teams[name]
		r := t.schedule.inFlight
		if r == nil {
			r = rounds[name]
		}
		for _, p := range t.stagedPages(r) {
			for i := range p.allocations {
				visit(p, &p.allocations[i])
			}
		}
	}
}

// stagedPages are the team's pages as a round leaves them.
func (t *team) stagedPages(r *placementTransaction) []*page {
	out := t.orderedPages()
	if r != nil {
		for i, p := range out {
			out[i] = r.stagedOrCurrent(p)
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

// acceptsTasks reports whether a machine may take new tasks now.
func (c *Controller) acceptsTasks(m *machine) bool {
	if m == nil || m.latestHeartbeat == nil || m.isTerminated() || m.scaling.preemptionAt != 0 || m.scaling.status == wire.MachineFailed {
		return false
	}
	if _, going := c.cache.terminating[m.id]; going {
		return false
	}
	if m.unreachable() && !c.fleet.outboundSuspect {
		return false
	}
	return c.heartbeatsOnTime(m) && slices.Contains(c.settings.Cluster.Zones, m.zone)
}

// heartbeatsOnTime reports whether a machine was heard within its reporting interval.
func (c *Controller) heartbeatsOnTime(m *machine) bool {
	return c.now.Sub(m.liveness.lastHeartbeatAt) < config.Seconds(1.25*c.settings.Cluster.Workers.ReportS)+heartbeatSlack
}
