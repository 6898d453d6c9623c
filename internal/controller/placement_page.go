package controller

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// page is one placement record of a team in a zone, with its version. Page 0 is the head page of
// the team in the zone. Every transaction that adds an allocation to any page of the zone also
// writes the head page, so an unchanged version of the head page means that no allocation was added
// to any of them.
type page struct {
	key     string
	team    string
	zone    string
	number  int
	version wire.Revision
	// size is the approximate size of the page's uncompressed value, in bytes.
	size        int
	allocations []Allocation
	completed   map[wire.JobID]record.TaskSet
	// needsReview reports whether task exits may have been confirmed since the last review of the
	// page.
	needsReview bool
}

// team holds the placement records of a team and the state of its scheduling.
type team struct {
	name        string
	pages       map[string]*page
	orderedKeys []string       // sorted keys of pages; nil if pages were added
	pageCount   map[string]int // highest page number plus one, by zone
	schedule    teamSchedule
}

// orderedPages returns the team's pages in the order of their keys.
func (t *team) orderedPages() []*page {
	if t.orderedKeys == nil {
		t.orderedKeys = sortedKeys(t.pages)
	}
	pages := make([]*page, len(t.orderedKeys))
	for i, key := range t.orderedKeys {
		pages[i] = t.pages[key]
	}
	return pages
}

// headPage returns the head page of a team in a zone, or an empty page if there is no record yet.
func (t *team) headPage(zone string) *page {
	if head := t.pages[record.PlacementKey(t.name, zone, 0)]; head != nil {
		return head
	}
	return newPage(t.name, zone, 0)
}

// newPage returns an empty page that is not stored yet.
func newPage(team, zone string, number int) *page {
	return &page{key: record.PlacementKey(team, zone, number), team: team, zone: zone, number: number, size: record.PageOverhead}
}

// value returns the record that is stored for the page. Allocations with the same header must be
// adjacent.
func (p *page) value() record.PlacementPage {
	stored := record.PlacementPage{Groups: []record.AllocationGroup{}, Completed: p.completed}
	for i := range p.allocations {
		allocation := &p.allocations[i]
		last := len(stored.Groups) - 1
		if last < 0 || stored.Groups[last].AllocationHeader != allocation.AllocationHeader {
			stored.Groups = append(stored.Groups, record.AllocationGroup{AllocationHeader: allocation.AllocationHeader})
			last++
		}
		group := &stored.Groups[last]
		group.Machines = append(group.Machines, allocation.Machine)
		group.AgentEpochs = append(group.AgentEpochs, allocation.AgentEpoch)
		group.Tasks = append(group.Tasks, allocation.Tasks)
	}
	return stored
}

// unpack adds the allocations and completed tasks of a stored record to the page.
func (p *page) unpack(stored *record.PlacementPage) error {
	if err := stored.Check(); err != nil {
		return err
	}
	for i := range stored.Groups {
		group := &stored.Groups[i]
		for k := range group.Machines {
			p.allocations = append(p.allocations, Allocation{AllocationHeader: group.AllocationHeader,
				Machine: group.Machines[k], AgentEpoch: group.AgentEpochs[k], Tasks: group.Tasks[k]})
		}
	}
	p.completed = stored.Completed
	return nil
}

// sortAllocations orders the allocations so that those with the same header are adjacent.
func (p *page) sortAllocations() {
	slices.SortStableFunc(p.allocations, func(a, b Allocation) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(a.Eviction, b.Eviction),
			cmp.Compare(a.Fence, b.Fence), cmp.Compare(a.Launcher, b.Launcher), cmp.Compare(a.Machine, b.Machine))
	})
}

// updateSize computes size from the content of the page.
func (p *page) updateSize() {
	p.size = record.PageOverhead
	for i := range p.allocations {
		p.size += p.allocations[i].encodedSizeAfter(p.allocations[:i])
	}
	for id, tasks := range p.completed {
		p.size += record.CompletedOverhead + len(id) + tasks.EncodedSize()
	}
}

// encodedSize returns the size of the page's uncompressed value in bytes. The uncompressed size
// counts whichever format is in force, so that a page which is stored compressed still fits if
// compression is no longer used.
func (p *page) encodedSize() int {
	if p.size <= 0 {
		p.updateSize()
	}
	return len(encodePlain(p.value()))
}

// pageLimit returns the maximum size of a value in the state store, in bytes.
func (c *Controller) pageLimit() int { return pageLimit(&c.settings.Cluster) }

// pageLimit returns the maximum size of a value in a cluster's state store, in bytes.
func pageLimit(cluster *config.Cluster) int { return int(cluster.State.ValueKB * 1024) }

// applyPlacementPage applies a placement record to the cache.
func (c *Controller) applyPlacementPage(key string, value json.RawMessage, version wire.Revision) error {
	team, zone, number, err := record.ParsePlacementKey(key)
	if err != nil {
		return err
	}
	var stored record.PlacementPage
	if err := record.Decode(value, c.maxDecodedSize(), &stored); err != nil {
		return fmt.Errorf("decode placement page: %w", err)
	}
	read := &page{key: key, team: team, zone: zone, number: number, version: version}
	if err := read.unpack(&stored); err != nil {
		return fmt.Errorf("unpack placement page: %w", err)
	}
	read.updateSize()
	c.replacePage(read)
	return nil
}

// replacePage replaces the cached version of a page by one that was read or written, and updates
// the indexes of allocations.
func (c *Controller) replacePage(replacement *page) {
	team := c.cache.team(replacement.team)
	if earlier := team.pages[replacement.key]; earlier != nil {
		c.unindexPage(earlier)
	} else {
		team.orderedKeys = nil
	}
	team.pages[replacement.key] = replacement
	team.pageCount[replacement.zone] = max(team.pageCount[replacement.zone], replacement.number+1)
	c.indexPage(replacement)
	for id, tasks := range replacement.completed {
		if job := c.cache.jobs[id]; job != nil {
			job.completed = job.completed.Union(tasks)
		}
	}
	c.scheduler.dirty = true
}

// teamUnreadable reports whether a placement record of a team cannot be decoded. The team's
// allocations, and so the use of its quota, are then unknown. Therefore none of its tasks is placed
// or cleaned up, gangs that seem incomplete are not evicted, and tasks that run without a record are
// not stopped as orphans.
func (c *Controller) teamUnreadable(team string) bool {
	for key := range c.cache.unreadable {
		if strings.HasPrefix(key, record.PlacementPrefix+team+"/") {
			return true
		}
	}
	return false
}
