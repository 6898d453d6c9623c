package controller

import (
	"slices"

	"lilacrill/wire"
)

// indexPage adds a page's allocations to the indexes by machine and by job, and to the counts of
// critical allocations by machine.
func (c *Controller) indexPage(page *page) {
	page.needsReview = true
	for i := range page.allocations {
		allocation := &page.allocations[i]
		host := c.machine(allocation.Machine)
		allocation.page, allocation.host = page, host
		host.reconciliation.reconciledHeartbeat = nil
		host.allocations = append(host.allocations, allocation)
		c.cache.allocationsByJob[allocation.Job] = append(c.cache.allocationsByJob[allocation.Job], allocation)
		if c.cache.jobs[allocation.Job] == nil {
			c.noteCompletedTasksOn(allocation.Machine)
		}
		if allocation.isCritical() {
			host.criticalAllocations++
		}
	}
}

// unindexPage removes a page's allocations from the indexes and counts that indexPage adds them to.
func (c *Controller) unindexPage(page *page) {
	onPage := func(a *Allocation) bool { return a.page == page }
	for i := range page.allocations {
		allocation := &page.allocations[i]
		host := allocation.host
		host.reconciliation.reconciledHeartbeat = nil
		host.allocations = slices.DeleteFunc(host.allocations, onPage)
		deleteWhere(c.cache.allocationsByJob, allocation.Job, onPage)
		if allocation.isCritical() {
			host.criticalAllocations--
		}
	}
}

// isCritical reports whether the allocation has critical priority.
func (a *Allocation) isCritical() bool { return a.Priority == wire.PriorityCritical.Level() }

// deleteWhere removes the elements of a key's list for which drop returns true. If none are left,
// it removes the key.
func deleteWhere[K comparable](lists map[K][]*Allocation, key K, drop func(*Allocation) bool) {
	if left := slices.DeleteFunc(lists[key], drop); len(left) > 0 {
		lists[key] = left
	} else {
		delete(lists, key)
	}
}

// locatedAllocation is an allocation with the cached page that holds it. The allocation itself may
// belong to the staged copy of that page.
type locatedAllocation struct {
	page       *page
	allocation *Allocation
}

// jobAllocations returns a job's allocations as a transaction of its team would leave them. Pages
// that the transaction creates are not searched.
func (c *Controller) jobAllocations(txn *placementTransaction, id wire.JobID) []locatedAllocation {
	var found []locatedAllocation
	seen := map[string]bool{}
	search := func(stored *page) {
		if stored == nil || seen[stored.key] {
			return
		}
		seen[stored.key] = true
		staged := txn.stagedOrCurrent(stored)
		for i := range staged.allocations {
			if staged.allocations[i].Job == id {
				found = append(found, locatedAllocation{stored, &staged.allocations[i]})
			}
		}
	}
	for _, allocation := range c.cache.allocationsByJob[id] {
		search(allocation.page)
	}
	for _, key := range sortedKeys(txn.pages) {
		search(txn.team.pages[key])
	}
	return found
}

// visitStagedAllocations calls visit for the allocations of all teams. For each team these are the
// allocations as its transaction in flight would leave them or, if none is in flight, as its entry
// in transactions would.
func (c *Controller) visitStagedAllocations(transactions map[string]*placementTransaction, visit func(*page, *Allocation)) {
	for _, name := range sortedKeys(c.cache.teams) {
		team := c.cache.teams[name]
		txn := team.schedule.inFlight
		if txn == nil {
			txn = transactions[name]
		}
		for _, page := range team.stagedPages(txn) {
			for i := range page.allocations {
				visit(page, &page.allocations[i])
			}
		}
	}
}

// stagedPages returns the team's pages as a transaction, which may be nil, would leave them.
func (t *team) stagedPages(txn *placementTransaction) []*page {
	pages := t.orderedPages()
	if txn == nil {
		return pages
	}
	for i, stored := range pages {
		pages[i] = txn.stagedOrCurrent(stored)
	}
	for _, key := range sortedKeys(txn.pages) {
		if t.pages[key] == nil {
			pages = append(pages, txn.pages[key])
		}
	}
	return pages
}
