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
// the team and zone: every transaction that adds an allocation to any page of the zone writes
// the head page too, so that its version stands for the content of all of them.
type page struct {
	key     string
	team    string
	zone    string
	number  int
	version wire.Revision
	// size is the most bytes that its plain value can take as its tasks end one by one.
	size        int
	allocations []Allocation
	completed   map[wire.JobID]record.TaskSet
	// needsReview says that task exits may have been confirmed since the page was last reviewed.
	needsReview bool
}

// team is a team's placement records.
type team struct {
	name        string
	pages       map[string]*page
	orderedKeys []string       // the pages' keys in order; nil if there are new ones
	pageCount   map[string]int // by zone: the highest page number plus one
	schedule    teamSchedule
}

// orderedPages are the team's pages by key.
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

// headPage is the head page of a team in a zone, an empty one if there is no record yet.
func (t *team) headPage(zone string) *page {
	if head := t.pages[record.PlacementKey(t.name, zone, 0)]; head != nil {
		return head
	}
	return newPage(t.name, zone, 0)
}

// newPage is an empty page that is not stored yet.
func newPage(team, zone string, number int) *page {
	return &page{key: record.PlacementKey(team, zone, number), team: team, zone: zone, number: number, size: record.PageOverhead}
}

// value is the page as it is stored. Allocations with the same header must be adjacent.
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

// unpack takes the allocations and completed tasks of a stored value into the page.
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

// updateSize computes size from what is on the page.
func (p *page) updateSize() {
	p.size = record.PageOverhead
	for i := range p.allocations {
		p.size += p.allocations[i].encodedSizeAfter(p.allocations[:i])
	}
	for id, tasks := range p.completed {
		p.size += record.CompletedOverhead + len(id) + tasks.EncodedSize()
	}
}

// encodedSize is how many bytes the page's plain value takes. It is measured plain whichever
// format is in force, so that a page that fits compressed also fits if it no longer is.
func (p *page) encodedSize() int {
	if p.size <= 0 {
		p.updateSize()
	}
	return len(encodePlain(p.value()))
}

// pageLimit is how many bytes a value in the state store may take.
func (c *Controller) pageLimit() int { return pageLimit(&c.settings.Cluster) }

func pageLimit(cluster *config.Cluster) int { return int(cluster.State.ValueKB * 1024) }

// applyPlacementPage takes a placement record into the cache.
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

// replacePage puts a page, as it was read or written, in the place of its earlier version and
// keeps the indexes of allocations current.
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
			job.completed = job.completed.With(tasks)
		}
	}
	c.scheduler.dirty = true
}

// teamUnreadable reports whether a placement record of a team cannot be decoded. Its allocations
// are unknown then, so none of the team's tasks is placed or cleaned up, and its quota, its gangs
// and tasks that its machines run without a record are left alone.
func (c *Controller) teamUnreadable(team string) bool {
	for key := range c.cache.unreadable {
		if strings.HasPrefix(key, record.PlacementPrefix+team+"/") {
			return true
		}
	}
	return false
}
