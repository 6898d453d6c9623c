package controller

import (
	"time"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// tickCleanup rewrites placement records that nothing stands on but what was
// done of jobs that are over; others lose that when they are next written.
func (c *Controller) tickCleanup() {
	if !c.cacheComplete() || !c.storeReachable() {
		return
	}
	c.archiveCompletedJobs()
	if c.scheduler.cleaning || !c.isDue(c.scheduler.nextCleanup) || !c.canAffordWrite() {
		return
	}
	c.scheduler.nextCleanup = c.now.Add(2 * time.Second)
	for _, name := range sortedKeys(c.cache.teams) {
		t := c.cache.teams[name]
		if t.schedule.inFlight != nil || !c.ownsTeam(name) {
			continue
		}
		for _, key := range sortedKeys(t.pages) {
			p := t.pages[key]
			if len(p.allocations) > 0 || len(p.completed) == 0 || len(c.uncompletedOnly(p.completed)) == len(p.completed) {
				continue
			}
			d := page{completed: c.uncompletedOnly(p.completed)}
			c.scheduler.cleaning = true
			c.commit(PriorityBackground, wire.Transaction{
				If:   []wire.Condition{{Key: key, Version: p.version}},
				Then: []wire.Change{c.putChange(key, d.value())},
			}, func(CommitResult) { c.scheduler.cleaning = false })
			return
		}
	}
}

// uncompletedOnly is what of the done sets belongs to jobs that are not over.
func (c *Controller) uncompletedOnly(done map[wire.JobID]record.TaskSet) map[wire.JobID]record.TaskSet {
	out := map[wire.JobID]record.TaskSet{}
	for id, set := range done {
		if c.cache.jobs[id] != nil {
			out[id] = set
		}
	}
	return out
}
