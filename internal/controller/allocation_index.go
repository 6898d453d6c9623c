package controller

import (
	"slices"

	"lilacrill/wire"
)

// indexPage adds a page's allocations to the indexes: by machine, by job, and the count of critical
// ones by machine. unindexPage removes them again.
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

func (a *Allocation) isCritical() bool { return a.Priority == wire.PriorityCritical.Level() }

// deleteWhere drops elements of a key's list, and the key with the last one.
func deleteWhere[K comparable](lists map[K][]*Allocation, key K, drop func(*Allocation) bool) {
	if left := slices.DeleteFunc(lists[key], drop); len(left) > 0 {
		lists[key] = left
	} else {
		delete(lists, key)
	}
}

// locatedAllocation is an allocation with the page in the cache that it is on. The allocation may
// be a staged one.
type locatedAllocation struct {
	page       *page
	allocation *Allocation
}

// jobAllocations finds a job's allocations as a transaction of its team would leave them, on the
// pages that are stored already.
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

// visitStagedAllocations visits all allocations as the transactions in flight, or else the given
// ones by team, will leave them.
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

// stagedPages are the team's pages as a transaction, which may be nil, would leave them.
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
