package core

import (
	"cmp"
	"errors"
	"slices"

	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

var errNotFinal = errors.New("not a final state")

// Entry is a number of tasks of one job placed on one machine in one round.
type Entry struct {
	record.AllocationHeader
	Machine wire.MachineID
	// Session is the machine's session the launch is meant for: a worker obeys no
	// command of another session.
	Session wire.AgentEpoch
	Tasks   record.TaskSet

	page *page    // where it stands; set by the index
	on   *machine // the same
}

func (e *Entry) need() placement.Amount {
	return placement.Amount{Cores: e.Cores, Accelerators: e.Accelerators, MemGB: e.MemGB}
}

func (e *Entry) tags() placement.Tags {
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
	key     string
	team    string
	zone    string
	n       int
	version wire.Revision
	size    int // the most that its value can come to as its tasks end one by one
	entries []Entry
	done    map[wire.JobID]record.TaskSet
	// look says that something may have come up since its proofs were last taken.
	look bool
}

// value packs a page. Entries of one head must stand together.
func (p *page) value() record.PlacementPage {
	v := record.PlacementPage{Groups: []record.AllocationGroup{}, Completed: p.done}
	for i := range p.entries {
		e := &p.entries[i]
		if k := len(v.Groups); k == 0 || v.Groups[k-1].AllocationHeader != e.AllocationHeader {
			v.Groups = append(v.Groups, record.AllocationGroup{AllocationHeader: e.AllocationHeader})
		}
		g := &v.Groups[len(v.Groups)-1]
		g.Machines, g.AgentEpochs, g.Tasks = append(g.Machines, e.Machine), append(g.AgentEpochs, e.Session), append(g.Tasks, e.Tasks)
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
			p.entries = append(p.entries, Entry{AllocationHeader: g.AllocationHeader, Machine: g.Machines[k], Session: g.AgentEpochs[k], Tasks: g.Tasks[k]})
		}
	}
	p.done = v.Completed
	return nil
}

// tidy orders the entries so that those of one head stand together.
func (p *page) tidy() {
	slices.SortStableFunc(p.entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(a.Eviction, b.Eviction),
			cmp.Compare(a.Fence, b.Fence), cmp.Compare(a.Launcher, b.Launcher), cmp.Compare(a.Machine, b.Machine))
	})
}

// room is what an entry takes on its page, beside the head.
func (e *Entry) room() int { return record.MachineSize(e.Machine, e.Session, e.Tasks) }

// roomAfter is what an entry adds to a page that ends with the entries before.
// As its tasks end one by one they come to take a little more, on the part of
// the page that new entries leave free.
func (e *Entry) roomAfter(before []Entry) int {
	if k := len(before); k > 0 && before[k-1].AllocationHeader == e.AllocationHeader {
		return e.room()
	}
	return e.room() + e.AllocationHeader.EncodedSize()
}

func (p *page) measure() {
	p.size = record.PageOverhead
	for i := range p.entries {
		p.size += p.entries[i].roomAfter(p.entries[:i])
	}
	for id, set := range p.done {
		p.size += record.CompletedOverhead + len(id) + set.EncodedSize()
	}
}
