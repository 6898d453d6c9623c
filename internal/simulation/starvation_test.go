package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// starvationSeeds is the number of generated schedules of each kind.
const starvationSeeds = 16

// newStarvationCluster starts three controllers with the given machines, of which the cloud has no
// others. The quota limits of the teams are far away.
func newStarvationCluster(seed uint64, machines ...wire.MachineType) *Cluster {
	return newStarvationClusterStartedBy(seed, (*Cluster).Start, machines...)
}

// newStarvationClusterStartedBy is like newStarvationCluster, but starts the controllers with the given
// function.
func newStarvationClusterStartedBy(seed uint64, start func(cluster *Cluster, i int), machines ...wire.MachineType) *Cluster {
	settings := testSettings()
	settings.Cluster.Teams = []config.Team{{Name: "blue", CPUsMax: 1000, GPUsMax: 100}, {Name: "red", CPUsMax: 1000, GPUsMax: 100}}
	cluster := NewCluster(settings, machineTypes, 3, seed)
	cluster.Capacity = 0
	for i, machineType := range machines {
		cluster.AddMachine(machineType, zones[i%len(zones)], false, 0)
	}
	for i := range cluster.controllers {
		start(cluster, i)
	}
	cluster.Run(3 * time.Second)
	return cluster
}

// smallJob returns a job of one task that fits beside other tasks.
func smallJob(n int, priority wire.Priority) wire.JobSpec {
	spec, _ := testJob(n, 0)
	spec.Tasks, spec.Cores, spec.Priority, spec.Spot = 1, 1, priority, false
	return spec
}

// requireStartsBesideRoom submits a job, lets the time pass in which a job may wait beside room, and
// requires that it has started.
func requireStartsBesideRoom(t *testing.T, cluster *Cluster, spec wire.JobSpec, seed uint64) {
	t.Helper()
	cluster.Submit(spec, time.Minute)
	cluster.FaultsOverAt = cluster.Now()
	cluster.Run(maxStarvation + 5*time.Second)
	delay, started := cluster.StartDelay(spec.ID)
	require.True(t, started, "seed %d: %s has not started", seed, spec.ID)
	require.Less(t, delay, maxStarvation, "seed %d", seed)
	require.Empty(t, cluster.Violations, "seed %d", seed)
}

// TestJobUsesRoomReservedAsHeadroom guards against a job that waits for ever beside room that is
// reserved for critical tasks which nobody has submitted, while the cloud has no other machine.
func TestJobUsesRoomReservedAsHeadroom(t *testing.T) {
	for seed := range uint64(4) {
		cluster := newStarvationCluster(seed, machineTypes[0])
		service, _ := testJob(1, 1)
		service.Tasks = 1
		cluster.Submit(service, 0)
		cluster.Run(5 * time.Second)
		waiting := smallJob(2, wire.PriorityBestEffort)
		waiting.Cores = 2
		requireStartsBesideRoom(t, cluster, waiting, seed)
	}
}

// TestJobUsesRoomOfBusyAccelerators guards against a job that waits beside room on a machine whose
// accelerators are all in use, because another job waits for accelerators. That room is of no use to the
// other job, so it is not reserved at all.
func TestJobUsesRoomOfBusyAccelerators(t *testing.T) {
	for seed := range uint64(4) {
		cluster := newStarvationCluster(seed, machineTypes[1])
		for n := range 2 {
			gang, _ := testJob(2*n, 6)
			gang.Tasks, gang.Accelerators, gang.Cores, gang.Priority, gang.Spot = 1, 2, 6, wire.PriorityHigh, false
			cluster.Submit(gang, 10*time.Minute)
			cluster.Run(5 * time.Second)
		}
		small := smallJob(1, wire.PriorityNormal)
		requireStartsBesideRoom(t, cluster, small, seed)
		delay, _ := cluster.StartDelay(small.ID)
		require.Less(t, delay, 10*time.Second, "seed %d: the room is reserved", seed)
	}
}

// TestJobUsesRoomGatheredForGang guards against a job that waits beside room that is reserved for a
// gang which lacks a machine, while none is on its way.
func TestJobUsesRoomGatheredForGang(t *testing.T) {
	for seed := range uint64(4) {
		cluster := newStarvationCluster(seed, machineTypes[0], machineTypes[0])
		gang, _ := testJob(2, 2)
		gang.Tasks, gang.Cores, gang.SingleZone, gang.Spot = 3, 3, false, false
		cluster.Submit(gang, time.Minute)
		cluster.Run(5 * time.Second)
		waiting := smallJob(1, wire.PriorityBestEffort)
		waiting.Cores = 2
		requireStartsBesideRoom(t, cluster, waiting, seed)
	}
}

// requireNoStarvation runs mixed jobs, most of them long, on machines of which three are reclaimed and
// that the cloud does not replace, and requires that no job waits beside room for too long afterwards.
func requireNoStarvation(t *testing.T, seed uint64, start func(cluster *Cluster, i int)) {
	t.Helper()
	cluster := newStarvationClusterStartedBy(seed, start)
	for i := range 16 {
		machineType := machineTypes[0]
		if i%4 == 3 {
			machineType = machineTypes[1]
		}
		cluster.AddMachine(machineType, zones[i%len(zones)], i%8 < 3, 0)
	}
	cluster.Run(3 * time.Second)
	for n := range 40 {
		spec, run := testJob(n, cluster.rng.IntN(8))
		if cluster.rng.IntN(3) > 0 {
			run = time.Duration(100+cluster.rng.IntN(200)) * time.Second
		}
		cluster.At(time.Duration(n)*time.Second, func() { cluster.Submit(spec, run) })
	}
	cluster.Run(50 * time.Second)
	reclaimed := 0
	for _, machine := range cluster.machines {
		if machine.spot && reclaimed < 3 {
			reclaimed++
			machine.reclaim()
		}
	}
	cluster.FaultsOverAt = cluster.Now()
	cluster.Run(300 * time.Second)
	assert.Empty(t, cluster.Violations, "seed %d", seed)
}

// TestJobsUseAllRoomWithoutCloudCapacity guards against jobs that wait beside room in a cluster that
// lost machines and whose cloud has none to give. Reservations must not outlast the time for which a
// job may wait, whatever they are for.
func TestJobsUseAllRoomWithoutCloudCapacity(t *testing.T) {
	t.Parallel()
	for seed := range uint64(starvationSeeds) {
		requireNoStarvation(t, seed, (*Cluster).Start)
	}
}

// TestJobsUseAllRoomWithShards is like TestJobsUseAllRoomWithoutCloudCapacity, with shards in use.
func TestJobsUseAllRoomWithShards(t *testing.T) {
	t.Parallel()
	for seed := range uint64(starvationSeeds) {
		requireNoStarvation(t, seed, (*Cluster).startWithShards)
	}
}

// checkGangBesideSmallJobs runs more small jobs than there is room for, and requires that a gang that
// needs all machines starts within four minutes, and that no job waits beside room for too long.
func checkGangBesideSmallJobs(t *testing.T, tasks int, cores float64) {
	t.Helper()
	for seed := range uint64(4) {
		cluster := newStarvationCluster(seed, machineTypes[0], machineTypes[0], machineTypes[0], machineTypes[0])
		for n := range 200 {
			spec, _ := testJob(n, 0)
			spec.Tasks, spec.Cores, spec.Spot = 1, 2, false
			cluster.At(time.Duration(n)*2*time.Second, func() { cluster.Submit(spec, 20*time.Second) })
		}
		gang, _ := testJob(1000, 2)
		gang.Tasks, gang.Cores, gang.SingleZone, gang.Spot, gang.Priority = tasks, cores, false, false, wire.PriorityNormal
		cluster.At(40*time.Second, func() { cluster.Submit(gang, 20*time.Second) })
		cluster.FaultsOverAt = time.Second
		cluster.Run(40*time.Second + 4*time.Minute)
		_, started := cluster.StartDelay(gang.ID)
		require.True(t, started, "seed %d: the gang has not started within four minutes", seed)
		cluster.Run(150 * time.Second)
		require.Empty(t, cluster.Violations, "seed %d", seed)
	}
}

// TestGangStartsBesideStarvedJobs guards against a gang that never starts because jobs that have
// waited for long take every piece of the room that is reserved for it, and against such jobs that
// wait for the gang for too long.
func TestGangStartsBesideStarvedJobs(t *testing.T) { checkGangBesideSmallJobs(t, 8, 2) }

// TestGangOfWholeMachinesStarts guards against a gang of which each task needs a whole machine and that
// never starts, because a machine with only some room is not reserved for it.
func TestGangOfWholeMachinesStarts(t *testing.T) { checkGangBesideSmallJobs(t, 4, 4) }

// TestJobRetriesOnOnlyMachineAfterFailure guards against a job that is kept from the only machine that
// fits for minutes, because one task of it failed there.
func TestJobRetriesOnOnlyMachineAfterFailure(t *testing.T) {
	for seed := range uint64(4) {
		cluster := newStarvationCluster(seed, machineTypes[0], machineTypes[0])
		base, _ := testJob(1, 1)
		base.Tasks, base.Zone = 1, zones[0] // keeps the machine from being terminated as idle
		cluster.Submit(base, 0)
		cluster.Run(5 * time.Second)
		service, _ := testJob(3, 1)
		service.Tasks, service.Zone = 1, zones[0]
		cluster.machines[0].faulty = true
		cluster.Submit(service, 0)
		cluster.Run(4 * time.Second)
		cluster.machines[0].faulty = false
		require.Positive(t, cluster.jobs[service.ID].launches, "seed %d", seed)
		cluster.FaultsOverAt = cluster.Now()
		cluster.Run(maxStarvation)
		require.Len(t, cluster.jobs[service.ID].active(), 1, "seed %d: the service does not run again", seed)
		require.Empty(t, cluster.Violations, "seed %d", seed)
	}
}
