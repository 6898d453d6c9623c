package simulation

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// TestPreemptionOnlyForUsableCapacity guards against evicting tasks for capacity that is then
// not used. The machine that has cached a service's image also runs a replica of the service,
// and the default rule keeps further replicas off it. If tasks are evicted there for the next
// replica all the same, this repeats in every scheduling pass and the replica never starts.
func TestPreemptionOnlyForUsableCapacity(t *testing.T) {
	for seed := range uint64(4) {
		cluster := newCluster(seed, 2)
		cluster.Capacity = 0
		cluster.machineTypes = slices.Clone(cluster.machineTypes)
		cluster.machineTypes[0].PullGBPerS, cluster.machineTypes[1].PullGBPerS = 0.1, 0.1 // image pulls are slow
		service, _ := testJob(1, 1)
		service.Tasks = 1
		cluster.At(2*time.Second, func() { cluster.Submit(service, 0) })
		for n := range 8 {
			spec, _ := testJob(2*n, 0)
			spec.Priority, spec.Spot, spec.Tasks, spec.Image = wire.PriorityBestEffort, false, 2, "other"
			cluster.At(8*time.Second, func() { cluster.Submit(spec, 200*time.Second) })
		}
		second := service
		second.ID, second.Tasks = "wk-000900", 2
		cluster.At(20*time.Second, func() { cluster.Submit(second, 0) })
		cluster.Run(90 * time.Second)
		launches, running := 0, 0
		for _, machine := range cluster.machines {
			launches += machine.launches
		}
		cluster.eachActiveTask(func(_ *fakeMachine, task *fakeTask) {
			if task.id.Job == second.ID {
				running++
			}
		})
		require.Equal(t, 2, running, "running replicas")
		require.Less(t, launches, 40, "too many tasks were launched")
		require.Empty(t, cluster.Violations)
	}
}

// TestHighPriorityGangBeyondGuaranteeStarts guards against gangs beyond their team's guarantee
// that never start. Jobs of lower priority within a guarantee are placed before them. If these
// take the machines with accelerators over and over although they need none, a quarter of
// these machines never runs a gang while dozens of gangs wait.
func TestHighPriorityGangBeyondGuaranteeStarts(t *testing.T) {
	for seed := range uint64(4) {
		settings := testSettings()
		settings.Cluster.Teams = []config.Team{{Name: "blue", CPUs: 60, CPUsMax: 100}, {Name: "red", CPUsMax: 100, GPUsMax: 20}}
		cluster := NewCluster(settings, machineTypes, 2, seed)
		cluster.Capacity = 0
		for i := range 6 {
			cluster.AddMachine(machineTypes[1], zones[0], false, 0)
			cluster.AddMachine(machineTypes[0], zones[i%3], false, 0)
		}
		cluster.Start(0)
		cluster.Start(1)
		for n := range 60 {
			spec, run := testJob(2*n, 0)
			spec.Tasks, spec.Spot = 8, false
			cluster.At(time.Duration(n)*time.Second, func() { cluster.Submit(spec, run+8*time.Second) })
		}
		gang, _ := testJob(201, 2)
		gang.Tasks, gang.Cores, gang.Accelerators, gang.SingleZone = 4, 7, 2, true
		cluster.At(20*time.Second, func() { cluster.Submit(gang, 20*time.Second) })
		cluster.Run(65 * time.Second)
		startDelay, ok := cluster.StartDelay(gang.ID)
		require.True(t, ok, "seed %d: the gang has not started", seed)
		require.Less(t, startDelay, 40*time.Second, "seed %d", seed)
		cluster.Run(150 * time.Second)
		require.Empty(t, cluster.Violations)
		require.Empty(t, cluster.Unfinished())
	}
}

// TestGangWaitsForSlowImagePulls guards against gangs that never start on machines of which
// some have cached the image and others pull it for longer than a task waits for the rest of
// its gang. Each attempt would time out and abort its image pulls, and so would the next.
func TestGangWaitsForSlowImagePulls(t *testing.T) {
	for seed := range uint64(4) {
		cluster := newCluster(seed, 2)
		cluster.Capacity = 0
		cluster.ImagePullTime = 30 * time.Second // gangs wait for 20 s
		cluster.machineTypes = slices.Clone(cluster.machineTypes)
		for i := range cluster.machineTypes {
			cluster.machineTypes[i].PullGBPerS = 0.1
		}
		first, _ := testJob(2, 0)
		first.Tasks, first.ImageGB = 1, 3
		cluster.At(2*time.Second, func() { cluster.Submit(first, time.Second) })
		cluster.Run(38 * time.Second)
		gang, _ := testJob(4, 2)
		gang.Tasks, gang.Cores, gang.ImageGB, gang.SingleZone = 3, 3, 3, false
		cluster.At(0, func() { cluster.Submit(gang, 5*time.Second) })
		cluster.Run(80 * time.Second)
		startDelay, ok := cluster.StartDelay(gang.ID)
		require.True(t, ok)
		require.Less(t, startDelay, 50*time.Second, "seed %d", seed)
		require.Empty(t, cluster.Unfinished(), "seed %d", seed)
		require.Empty(t, cluster.Violations)
	}
}

// TestLargeJobsAreNotStarved guards against deferring the largest jobs indefinitely. A stream
// of small jobs needs more capacity than there is, each of them could meet the objectives, and
// so the objectives favor deferring the large jobs.
func TestLargeJobsAreNotStarved(t *testing.T) {
	cluster := newCluster(5, 2)
	cluster.Capacity = 0 // no machines can be provisioned
	clusterSettings := &cluster.Settings.Cluster
	clusterSettings.Teams = []config.Team{{Name: "blue", CPUs: 4, CPUsMax: 100}, {Name: "red", CPUs: 4, CPUsMax: 100}}
	clusterSettings.Objectives = append(clusterSettings.Objectives, config.Objective{Kind: "finished", Class: "batch", WithinS: 60, Share: 0.9})
	for i := range cluster.controllers {
		cluster.Start(i)
	}
	var large []wire.JobID
	for n := range 200 {
		spec, _ := testJob(n, []int{0, 3}[n%2])
		spec.Tasks, spec.RuntimeS, spec.Spot = 2, 10, false
		if n%25 == 24 {
			spec.Tasks, spec.RuntimeS = 60, 10
			large = append(large, spec.ID)
		}
		cluster.At(time.Duration(n)*1500*time.Millisecond, func() { cluster.Submit(spec, 10*time.Second) })
	}
	cluster.Run(200*1500*time.Millisecond + 4*time.Minute)
	for _, id := range large {
		startDelay, started := cluster.StartDelay(id)
		require.True(t, started, "%s never started", id)
		require.LessOrEqual(t, startDelay, 4*time.Minute, "%s started late", id)
	}
	require.Empty(t, cluster.Violations)
}

// TestQuotaCountsCheckpointingTasks guards against teams that exceed their limit because only
// the tasks that are to continue are counted. Tasks that are being checkpointed before they stop
// still use their resources.
func TestQuotaCountsCheckpointingTasks(t *testing.T) {
	for seed := range uint64(4) {
		cluster := newCluster(seed, 2)
		cluster.Settings.Cluster.Teams = []config.Team{{Name: "blue", CPUs: 4, CPUsMax: 8}}
		for i := range cluster.controllers {
			cluster.Start(i)
		}
		for n := range 6 {
			spec, _ := testJob(2*n, 3)
			spec.Tasks, spec.Spot, spec.CheckpointIntervalS, spec.CheckpointSaveS = 4, false, 3, 6
			cluster.At(time.Duration(1+n)*time.Second, func() { cluster.Submit(spec, 40*time.Second) })
		}
		cluster.Run(15 * time.Second)
		for _, machine := range cluster.machines {
			if len(machine.tasks) > 0 {
				machine.preemptionAt = cluster.now + 14_000_000_000
				cluster.At(14*time.Second, machine.terminate)
				break
			}
		}
		cluster.Run(60 * time.Second)
		require.Empty(t, cluster.Violations)
	}
}

// TestTeamWithoutQuotaIsServed guards against rejecting all jobs of a team that is listed with
// neither a guarantee nor a limit. A limit of 0 means that there is no limit.
func TestTeamWithoutQuotaIsServed(t *testing.T) {
	for seed := range uint64(3) {
		settings := testSettings()
		settings.Cluster.Teams = append(settings.Cluster.Teams, config.Team{Name: "guest"})
		cluster := clusterSetup{settings: settings, machines: 6, controllers: 2, seed: seed}.start()
		for n := range 20 {
			spec, run := testJob(n, 0)
			spec.Team, spec.Tasks, spec.Priority = "guest", 1+n%3*20, wire.PriorityBestEffort
			cluster.At(time.Duration(2+n)*time.Second, func() { cluster.Submit(spec, run) })
		}
		cluster.Run(200 * time.Second)
		for id, job := range cluster.jobs {
			require.True(t, job.accepted, "%s was rejected", id)
		}
		require.Empty(t, cluster.Unfinished())
		require.Empty(t, cluster.Violations)
	}
}

// TestConcurrentCompletionsAreAllRecorded guards against lost completions. Tasks of one job
// complete at the same time in different zones and are recorded by different controllers. If
// these wrote the job's completion without a condition on it, they would overwrite each other.
// The test also guards against launches that are never sent, because the recorded launcher is
// alive but does not reach the worker, which sends its heartbeats to another controller.
func TestConcurrentCompletionsAreAllRecorded(t *testing.T) {
	for seed := range uint64(4) {
		cluster := newCluster(seed, 3)
		for n := range 8 {
			cluster.AddMachine(machineTypes[0], zones[n%3], false, 0)
		}
		for n := range 40 {
			spec, _ := testJob(n, 4)
			spec.Tasks = 4
			cluster.At(time.Duration(2+n)*time.Second, func() { cluster.Submit(spec, 3*time.Second) })
		}
		// The owner's probes do not arrive, so the controllers that receive heartbeats record the
		// completions.
		cluster.At(time.Second, func() { cluster.DropDirectCalls = true })
		cluster.Run(200 * time.Second)
		require.Empty(t, cluster.Violations)
		require.Empty(t, cluster.Unfinished(), "%v", cluster.Records())
	}
}

// TestJobForExpensiveTypeStarts guards against a job that waits for ever beside room, because it avoids
// expensive machines to save costs although it can use no others.
func TestJobForExpensiveTypeStarts(t *testing.T) {
	for seed := range uint64(3) {
		settings := testSettings()
		settings.Cluster.Objectives = append(settings.Cluster.Objectives, config.Objective{Kind: "finished", Class: "batch", WithinS: 150, Share: 0.9})
		cluster := newClusterWith(settings, seed, 3)
		service, _ := testJob(1, 1)
		service.Tasks = 4 // keeps the cheap machines
		cluster.At(time.Second, func() { cluster.Submit(service, 0) })
		job, run := testJob(2, 0)
		job.Tasks, job.Types, job.Accelerators, job.Spot = 1, []string{"g8"}, 1, false // beyond its team's guarantee
		cluster.At(2*time.Second, func() { cluster.Submit(job, run) })
		cluster.FaultsOverAt = 2 * time.Second
		cluster.Run(2*time.Second + maxStarvation)
		delay, started := cluster.StartDelay(job.ID)
		require.True(t, started, "seed %d: the job never started", seed)
		require.Less(t, delay, maxStarvation, "seed %d", seed)
		require.Empty(t, cluster.Violations, "seed %d", seed)
	}
}
