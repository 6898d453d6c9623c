package controller

import (
	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// Allocation is a number of tasks of one job that one transaction placed on one machine.
type Allocation struct {
	record.AllocationHeader
	Machine wire.MachineID
	// AgentEpoch is the machine's agent epoch that the launch is meant for: a worker obeys no
	// command of another epoch.
	AgentEpoch wire.AgentEpoch
	Tasks      record.TaskSet

	// The index sets these for allocations in the cache.
	page *page
	host *machine
}

// taskResources is what one task takes.
func (a *Allocation) taskResources() placement.Resources {
	return placement.Resources{Cores: a.Cores, Accelerators: a.Accelerators, MemGB: a.MemGB}
}

// tags are the tags that placement rules can read of a job that is not in the cache.
func (a *Allocation) tags() placement.Tags {
	tags := placement.Tags{placement.TagJob: string(a.Job)}
	if a.Shape == wire.ShapeService {
		tags[placement.TagService] = string(a.Job)
	}
	return tags
}

// equal reports whether two allocations are stored alike.
func (a *Allocation) equal(other *Allocation) bool {
	return a.AllocationHeader == other.AllocationHeader && a.Machine == other.Machine &&
		a.AgentEpoch == other.AgentEpoch && a.Tasks.Equal(other.Tasks)
}

// encodedSize is how many bytes an allocation takes in its group.
func (a *Allocation) encodedSize() int { return record.MachineSize(a.Machine, a.AgentEpoch, a.Tasks) }

// encodedSizeAfter is how many bytes an allocation adds to a page that ends with the allocations
// before it. As its tasks end one by one it comes to take a little more, from the part of the
// page that new allocations leave free (newAllocationFraction).
func (a *Allocation) encodedSizeAfter(before []Allocation) int {
	if last := len(before) - 1; last >= 0 && before[last].AllocationHeader == a.AllocationHeader {
		return a.encodedSize()
	}
	return a.encodedSize() + a.AllocationHeader.EncodedSize()
}
