package simulation

import "lilacrill/wire"

// resources are the resources that a task needs or that a machine has.
type resources struct {
	cores, accelerators, memoryGB float64
}

func resourcesOf(spec *wire.JobSpec) resources {
	return resources{spec.Cores, spec.Accelerators, spec.MemGB}
}

func machineResources(machineType wire.MachineType) resources {
	return resources{machineType.Cores, machineType.Accelerators, machineType.MemGB}
}

func (r resources) plus(other resources) resources {
	return resources{r.cores + other.cores, r.accelerators + other.accelerators, r.memoryGB + other.memoryGB}
}

func (r resources) minus(other resources) resources {
	return resources{r.cores - other.cores, r.accelerators - other.accelerators, r.memoryGB - other.memoryGB}
}

// fitsIn reports whether available has enough of each resource.
func (r resources) fitsIn(available resources) bool {
	return r.cores <= available.cores && r.accelerators <= available.accelerators && r.memoryGB <= available.memoryGB
}
