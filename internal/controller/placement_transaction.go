package controller

import (
	"maps"
	"slices"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// placementTransaction is one conditional write to a team's records.
type placementTransaction struct {
	team               *team
	pages              map[string]*page // drafts of the pages it changes
	completed          map[wire.JobID]record.TaskSet
	completedJobs      map[wire.JobID]bool // the jobs that it ends
	zonesWithAdditions map[string]bool     // zones in which it adds entries
	writtenPages       map[string]bool     // pages that the transaction changes
	conditions         map[string]wire.Revision
	placesTasks        bool
	shards             map[wire.ShardID]bool // in which it places
	urgent             bool                  // it places critical tasks
	// criticalOnly says that it is not this team's turn for anything else.
	criticalOnly   bool
	raisesToken    bool
	usedMachines   map[wire.MachineID]bool
	notifyMachines map[wire.MachineID]bool // machines with new orders afterwards
	operations     int
	bytes          int
}

func (c *Controller) newPlacementTransaction(t *team) *placementTransaction {
	return &placementTransaction{team: t, pages: map[string]*page{}, completed: map[wire.JobID]record.TaskSet{}, completedJobs: map[wire.JobID]bool{},
		zonesWithAdditions: map[string]bool{}, writtenPages: map[string]bool{}, conditions: map[string]wire.Revision{}, usedMachines: map[wire.MachineID]bool{}, notifyMachines: map[wire.MachineID]bool{},
		shards: map[wire.ShardID]bool{}}
}

// stagePage is the page to change in this round. What it holds of jobs that are
// over goes with the change.
func (c *Controller) stagePage(r *placementTransaction, p *page) *page {
	d := r.pages[p.key]
	if d == nil {
		d = &page{key: p.key, team: p.team, zone: p.zone, number: p.number, version: p.version, size: p.size,
			allocations: slices.Clone(p.allocations), completed: c.uncompletedOnly(p.completed)}
		r.pages[p.key] = d
		r.operations++
		r.bytes += p.size
	}
	return d
}

// stagedOrCurrent is a page as the round would leave it.
func (r *placementTransaction) stagedOrCurrent(p *page) *page {
	if d := r.pages[p.key]; d != nil {
		return d
	}
	return p
}

func (r *placementTransaction) empty() bool { return len(r.pages) == 0 && len(r.completed) == 0 }

// hasCapacityFor reports whether the round may still take on more changes. What a round
// demands does not grow with its team: the heads of its zones (those of zones in which it
// adds entries are among its pages), the pages that it writes, its jobs, the shares that it
// places in, the token and the list of machines to be returned.
func (c *Controller) hasCapacityFor(r *placementTransaction, ops int) bool {
	limits := &c.settings.Cluster.State
	conds := len(r.conditions) + len(r.pages) + len(r.shards) + len(c.settings.Cluster.Zones) - len(r.zonesWithAdditions) + reservedConditions
	return r.operations+ops < limits.TxnOps && conds <= 4*limits.TxnOps && r.bytes < maxTxnBytes
}

// reservedConditions is the token, the list of machines to be returned, and a job and a share
// more.
const reservedConditions = 4

// completeJob has a round end a job.
func (c *Controller) completeJob(r *placementTransaction, j *job) {
	r.completedJobs[j.id] = true
	r.operations++
	r.conditions[record.JobKey(j.id)] = j.version
}

// commitPlacements commits a round and, once it stands, tells the machines.
func (c *Controller) commitPlacements(r *placementTransaction) {
	t := r.team
	for id := range r.completedJobs {
		for _, d := range r.pages {
			delete(d.completed, id)
		}
	}
	txn := wire.Transaction{}
	for _, key := range c.finalizePages(r) {
		d := r.pages[key]
		r.conditions[key] = d.version
		r.writtenPages[key] = true
		txn.Then = append(txn.Then, c.putChange(key, d.value()))
	}
	for _, id := range sortedKeys(r.completedJobs) {
		txn.Then = append(txn.Then, c.putChange(record.JobKey(id), record.CompletedJob{Completion: record.Completion{Status: wire.StatusDone, Done: c.cache.jobs[id].spec.Tasks}}))
	}
	if r.raisesToken {
		txn.Then = append(txn.Then, c.putChange(record.TokenKey, c.cache.token+1))
	}
	if len(txn.Then) == 0 {
		return
	}
	class := PriorityBackground
	if r.urgent {
		class = PriorityUrgent
	}
	if r.placesTasks {
		// The heads of all the team's zones stand for every record that the
		// decision read; one that does not exist yet must still not.
		for _, zone := range c.settings.Cluster.Zones {
			key := record.PlacementKey(t.name, zone, 0)
			if p := t.pages[key]; p != nil {
				r.conditions[key] = p.version
			} else {
				r.conditions[key] = 0
			}
		}
		r.conditions[record.TerminationsKey] = c.cache.keyVersions[record.TerminationsKey]
		// Whoever was replaced as the owner of a share loses the write, however late it
		// is carried out.
		for id := range r.shards {
			demand := c.shards.table.Demand(id)
			r.conditions[demand.Key] = demand.Version
		}
	}
	for _, key := range sortedKeys(r.conditions) {
		txn.If = append(txn.If, wire.Condition{Key: key, Version: r.conditions[key]})
	}
	t.schedule.inFlight = r
	sent := c.now
	c.commitExceptPrefix(class, txn, record.PlacementPrefix, func(res CommitResult) {
		c.scheduler.dirty = true
		c.scheduler.criticalDirty = c.scheduler.criticalDirty || c.scheduler.criticalPending
		if res.Outcome == Succeeded {
			t.schedule.inFlight = nil
			c.applyCommittedPages(r, res.Revision)
			for id := range r.completedJobs {
				if c.cache.jobs[id] == nil {
					c.metrics.count(countCompleted, 1)
				}
			}
			if r.placesTasks {
				t.schedule.lostPlacements, t.schedule.contendedMachines = 0, nil
			}
			for _, id := range sortedKeys(r.notifyMachines) {
				if m := c.fleet.machines[id]; m != nil {
					c.sendCommandsNow(m)
				}
			}
			if r.raisesToken {
				c.readBarrier(func(bool) {})
			}
			return
		}
		if res.Outcome == Conflict && r.placesTasks {
			c.noteLostPlacement(t, r, sent)
		}
		if res.Outcome == NotExecuted {
			t.schedule.inFlight = nil
			t.schedule.nextTransaction = c.now.Add(commitRetryDelay)
			return
		}
		// Reread before the next round: a lost write means that others know more,
		// and an unanswered one may have gone through.
		c.readBarrier(func(ok bool) {
			t.schedule.inFlight = nil
			c.scheduler.dirty = true
			if !ok {
				t.schedule.nextTransaction = c.now.Add(commitRetryDelay)
			}
		})
	})
}

// finalizePages readies the pages that a round writes: those that differ, and the head
// of every zone in which it adds entries. A page that has come to take more than
// a value may, as stops and fences set its entries apart, hands some on to
// another page; if there is none, it is left as it was until there is room.
func (c *Controller) finalizePages(r *placementTransaction) []string {
	t := r.team
	for _, key := range sortedKeys(r.pages) {
		d := r.pages[key]
		d.sortAllocations()
		for d.encodedSize() > c.pageLimit() {
			e := d.allocations[len(d.allocations)-1]
			d.allocations = d.allocations[:len(d.allocations)-1]
			if len(d.allocations) == 0 || !c.stageAllocationExcept(r, d.zone, e, key) {
				c.log.Warn("placement record is full", "key", key)
				r.pages[key] = c.stagePage(&placementTransaction{pages: map[string]*page{}}, t.pages[key])
				break
			}
		}
	}
	for _, zone := range sortedKeys(r.zonesWithAdditions) {
		c.stagePage(r, t.headPage(zone))
	}
	var keys []string
	for _, key := range sortedKeys(r.pages) {
		d := r.pages[key]
		d.sortAllocations()
		if p := t.pages[key]; p != nil && !(d.number == 0 && r.zonesWithAdditions[d.zone]) && equalPages(p, d) {
			continue
		}
		keys = append(keys, key)
	}
	return keys
}

func equalPages(a, b *page) bool {
	return len(a.completed) == len(b.completed) && slices.EqualFunc(a.allocations, b.allocations, func(x, y Allocation) bool { return x.equal(&y) }) &&
		maps.EqualFunc(a.completed, b.completed, record.TaskSet.Equal)
}

// applyCommittedPages takes a round's pages into the cache as they were written.
func (c *Controller) applyCommittedPages(r *placementTransaction, version wire.Revision) {
	for _, key := range sortedKeys(r.pages) {
		d := r.pages[key]
		// A draft that came out as it was is not written, though its version may
		// be demanded: taking it for written would demand a version that never was.
		if !r.writtenPages[key] || version <= c.cache.keyVersions[key] {
			continue
		}
		c.cache.keyVersions[key] = version
		d.version = version
		d.updateSize()
		c.replacePage(d)
	}
}

// noteLostPlacement notes a lost placement write: its machines count as locked, and the
// next tries probe others at random, within bounds.
func (c *Controller) noteLostPlacement(t *team, r *placementTransaction, sent Time) {
	if t.schedule.lostPlacements == 0 {
		t.schedule.firstLostAt = sent
		t.schedule.contendedMachines = map[wire.MachineID]bool{}
	}
	t.schedule.lostPlacements++
	for m := range r.usedMachines {
		t.schedule.contendedMachines[m] = true
	}
	if t.schedule.lostPlacements >= c.operator.values.ProbeTries {
		c.backOffPlacement(t)
	} else {
		c.expirePlacementRetries(t)
	}
}

// expirePlacementRetries ends the tries of a team when their time is over. Where all that has room
// was locked there is no further write to lose or win, and without this bound the
// machines would stay locked, and the tasks wait, for ever.
func (c *Controller) expirePlacementRetries(t *team) {
	if t.schedule.lostPlacements > 0 && c.now.Sub(t.schedule.firstLostAt) > c.operator.values.Probe() {
		c.backOffPlacement(t)
	}
}

// backOffPlacement has a team's placements pause after lost writes.
func (c *Controller) backOffPlacement(t *team) {
	t.schedule.lostPlacements, t.schedule.contendedMachines = 0, nil
	t.schedule.nextPlacement = c.now.Add(config.Seconds(c.operator.values.BusyS))
	c.metrics.count(countPlacementBackoffs, 1)
	c.log.Debug("placement busy", "team", t.name)
}

// newAllocationFraction is the part of a page that new entries may fill: the rest is for
// stops and fences that set entries apart.
const newAllocationFraction = 0.8

// stageAllocation puts a new entry on a page of its zone that has room, or on a new one.
// It reports whether the round could take it.
func (c *Controller) stageAllocation(r *placementTransaction, zone string, e Allocation) bool {
	return c.stageAllocationExcept(r, zone, e, "")
}

func (c *Controller) stageAllocationExcept(r *placementTransaction, zone string, e Allocation, not string) bool {
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
			if n > 1 && n < t.pageCount[zone] {
				return false // a page that we have not read
			}
			p = newPage(t.name, zone, n)
		}
		cur := r.stagedOrCurrent(p)
		size := e.encodedSizeAfter(cur.allocations)
		if key == not || cur.size+size > int(newAllocationFraction*float64(c.pageLimit())) {
			if n >= t.pageCount[zone] && len(cur.allocations) == 0 {
				return false // it would fit on no page
			}
			continue
		}
		// The head is written too.
		head := t.headPage(zone)
		if (r.pages[key] == nil || r.pages[head.key] == nil) && !c.hasCapacityFor(r, 2) {
			return false
		}
		c.stagePage(r, head)
		d := c.stagePage(r, p)
		d.allocations = append(d.allocations, e)
		d.size += size
		r.bytes += size
		r.zonesWithAdditions[zone] = true
		return true
	}
}

// unstageAttempt takes an attempt's new entries out of the round again.
func (c *Controller) unstageAttempt(r *placementTransaction, attempt wire.Attempt) {
	for _, d := range r.pages {
		d.allocations = slices.DeleteFunc(d.allocations, func(e Allocation) bool { return e.Attempt == attempt })
	}
}
