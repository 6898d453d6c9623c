package controller

import (
	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// Allocation assigns a set of tasks of one job to one machine. The tasks were placed by one
// transaction.
type Allocation struct {
	record.AllocationHeader
	Machine wire.MachineID
	// AgentEpoch is the agent epoch of the machine for which the launch is intended. A worker
	// does not execute commands of another epoch.
	AgentEpoch wire.AgentEpoch
	Tasks      record.TaskSet

	// page and host are set by indexPage, for allocations in the cache only.
	page *page
	host *machine
}

// taskResources returns the resources that one task takes.
func (a *Allocation) taskResources() placement.Resources {
	return placement.Resources{Cores: a.Cores, Accelerators: a.Accelerators, MemGB: a.MemGB}
}

// tags returns the tags for placement rules that are known from the allocation alone. They are used
// if the job is not in the cache.
func (a *Allocation) tags() placement.Tags {
	tags := placement.Tags{placement.TagJob: string(a.Job)}
	if a.Shape == wire.ShapeService {
		tags[placement.TagService] = string(a.Job)
	}
	return tags
}

// equal reports whether two allocations have the same stored content.
func (a *Allocation) equal(other *Allocation) bool {
	return a.AllocationHeader == other.AllocationHeader && a.Machine == other.Machine &&
		a.AgentEpoch == other.AgentEpoch && a.Tasks.Equal(other.Tasks)
}

// encodedSize returns the size of an allocation within its group, in bytes.
func (a *Allocation) encodedSize() int { return record.EntrySize(a.Machine, a.AgentEpoch, a.Tasks) }

// encodedSizeAfter returns the number of bytes that an allocation adds to a page on which it
// follows the given allocations. The allocation may grow slightly as its tasks end one by one. The
// space for this growth is the part of the page that new allocations leave free (see
// newAllocationFraction).
func (a *Allocation) encodedSizeAfter(before []Allocation) int {
	if last := len(before) - 1; last >= 0 && before[last].AllocationHeader == a.AllocationHeader {
		return a.encodedSize()
	}
	return a.encodedSize() + a.AllocationHeader.EncodedSize()
}
