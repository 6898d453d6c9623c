package controller

import (
	"time"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// cleanupInterval is the minimum time between the cleanups of two pages.
const cleanupInterval = 2 * time.Second

// cleanup is the state of the cleanup of placement records.
type cleanup struct {
	inFlight bool
	next     Time
}

// tickCleanup archives completions and cleans up placement records.
func (c *Controller) tickCleanup() {
	if !c.cache.complete() || !c.storeReachable() {
		return
	}
	c.archiveCompletedJobs()
	if c.cleanup.inFlight || !c.isDue(c.cleanup.next) || !c.canAffordWrite() {
		return
	}
	c.cleanup.next = c.now.Add(cleanupInterval)
	if page := c.pageToCleanUp(); page != nil {
		c.cleanUpPage(page)
	}
}

// pageToCleanUp returns a page without allocations that still lists completed tasks of completed
// jobs, or nil if this controller's teams have none. Pages with allocations need no cleanup, because
// each write of a page drops these tasks.
func (c *Controller) pageToCleanUp() *page {
	for _, name := range sortedKeys(c.cache.teams) {
		team := c.cache.teams[name]
		if team.schedule.inFlight != nil || !c.ownsTeam(name) {
			continue
		}
		for _, key := range sortedKeys(team.pages) {
			page := team.pages[key]
			if len(page.allocations) == 0 && len(c.cache.withoutCompletedJobs(page.completed)) < len(page.completed) {
				return page
			}
		}
	}
	return nil
}

// cleanUpPage rewrites a page without the completed tasks of completed jobs.
func (c *Controller) cleanUpPage(stale *page) {
	cleaned := page{completed: c.cache.withoutCompletedJobs(stale.completed)}
	c.cleanup.inFlight = true
	c.commit(PriorityBackground, wire.Transaction{
		If:   []wire.Condition{{Key: stale.key, Version: stale.version}},
		Then: []wire.Change{c.putChange(stale.key, cleaned.value())},
	}, func(CommitResult) { c.cleanup.inFlight = false })
}

// withoutCompletedJobs returns the entries of completed for the jobs that are not completed.
func (s *stateCache) withoutCompletedJobs(completed map[wire.JobID]record.TaskSet) map[wire.JobID]record.TaskSet {
	remaining := map[wire.JobID]record.TaskSet{}
	for id, tasks := range completed {
		if s.jobs[id] != nil {
			remaining[id] = tasks
		}
	}
	return remaining
}
