package controller

import (
	"cmp"
	"errors"
	"slices"

	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

var errNotTerminal = errors.New("not a final state")

// Allocation is a number of tasks of one job placed on one machine in one round.
type Allocation struct {
	record.AllocationHeader
	Machine wire.MachineID
	// AgentEpoch is the machine's session the launch is meant for: a worker obeys no
	// command of another session.
	AgentEpoch wire.AgentEpoch
	Tasks      record.TaskSet

	page *page    // where it stands; set by the index
	host *machine // the same
}

func (e *Allocation) taskResources() placement.Resources {
	return placement.Resources{Cores: e.Cores, Accelerators: e.Accelerators, MemGB: e.MemGB}
}

func (e *Allocation) tags() placement.Tags {
	t := placement.Tags{placement.TagJob: string(e.Job)}
	if e.Shape == wire.ShapeService {
		t[placement.TagService] = string(e.Job)
	}
	return t
}

// page is one placement record with its version. Page 0 of a team and zone is
// its head: whatever adds an entry to any page of the zone writes the head too,
// so that one version stands for all of them.
type page struct {
	key         string
	team        string
	zone        string
	number      int
	version     wire.Revision
	size        int // the most that its value can come to as its tasks end one by one
	allocations []Allocation
	completed   map[wire.JobID]record.TaskSet
	// needsReview says that something may have come up since its proofs were last taken.
	needsReview bool
}

// value packs a page. Entries of one head must stand together.
func (p *page) value() record.PlacementPage {
	v := record.PlacementPage{Groups: []record.AllocationGroup{}, Completed: p.completed}
	for i := range p.allocations {
		e := &p.allocations[i]
		if k := len(v.Groups); k == 0 || v.Groups[k-1].AllocationHeader != e.AllocationHeader {
			v.Groups = append(v.Groups, record.AllocationGroup{AllocationHeader: e.AllocationHeader})
		}
		g := &v.Groups[len(v.Groups)-1]
		g.Machines, g.AgentEpochs, g.Tasks = append(g.Machines, e.Machine), append(g.AgentEpochs, e.AgentEpoch), append(g.Tasks, e.Tasks)
	}
	return v
}

// unpack takes a value's entries into the page.
func (p *page) unpack(v *record.PlacementPage) error {
	if err := v.Check(); err != nil {
		return err
	}
	for i := range v.Groups {
		g := &v.Groups[i]
		for k := range g.Machines {
			p.allocations = append(p.allocations, Allocation{AllocationHeader: g.AllocationHeader, Machine: g.Machines[k], AgentEpoch: g.AgentEpochs[k], Tasks: g.Tasks[k]})
		}
	}
	p.completed = v.Completed
	return nil
}

// sortAllocations orders the entries so that those of one head stand together.
func (p *page) sortAllocations() {
	slices.SortStableFunc(p.allocations, func(a, b Allocation) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(a.Eviction, b.Eviction),
			cmp.Compare(a.Fence, b.Fence), cmp.Compare(a.Launcher, b.Launcher), cmp.Compare(a.Machine, b.Machine))
	})
}

// encodedSize is what an entry takes on its page, beside the head.
func (e *Allocation) encodedSize() int { return record.MachineSize(e.Machine, e.AgentEpoch, e.Tasks) }

// encodedSizeAfter is what an entry adds to a page that ends with the entries before.
// As its tasks end one by one they come to take a little more, on the part of
// the page that new entries leave free.
func (e *Allocation) encodedSizeAfter(before []Allocation) int {
	if k := len(before); k > 0 && before[k-1].AllocationHeader == e.AllocationHeader {
		return e.encodedSize()
	}
	return e.encodedSize() + e.AllocationHeader.EncodedSize()
}

func (p *page) updateSize() {
	p.size = record.PageOverhead
	for i := range p.allocations {
		p.size += p.allocations[i].encodedSizeAfter(p.allocations[:i])
	}
	for id, set := range p.completed {
		p.size += record.CompletedOverhead + len(id) + set.EncodedSize()
	}
}
