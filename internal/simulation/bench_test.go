package simulation

import (
	"fmt"
	"testing"
	"time"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// benchmarkCluster measures running a new cluster for the given simulated time. It fails if the
// cluster violates a rule.
func benchmarkCluster(b *testing.B, length time.Duration, start func() *Cluster) {
	for b.Loop() {
		cluster := start()
		cluster.Run(length)
		if len(cluster.Violations) > 0 {
			b.Fatal(cluster.Violations[0])
		}
	}
}

// identicalTeams returns count copies of a team that differ only in their names.
func identicalTeams(count int, team config.Team) []config.Team {
	var teams []config.Team
	for i := range count {
		team.Name = teamName(i)
		teams = append(teams, team)
	}
	return teams
}

func teamName(n int) string { return fmt.Sprint("desk-", n) }

// mixedMachineTypes returns a small, a medium and an accelerator machine type.
func mixedMachineTypes() []wire.MachineType {
	return []wire.MachineType{
		{Name: "c4", Cores: 4, MemGB: 32, OnDemandPrice: 0.31, SpotPrice: 0.1, StartupS: 15, PullGBPerS: 0.8, Zones: zones},
		{Name: "c16", Cores: 16, MemGB: 64, OnDemandPrice: 1.1, SpotPrice: 0.4, StartupS: 30, PullGBPerS: 0.2, Zones: zones},
		{Name: "g32", Cores: 32, Accelerators: 4, MemGB: 256, OnDemandPrice: 11, SpotPrice: 4, StartupS: 35, PullGBPerS: 0.2, Zones: zones},
	}
}

// mixedTypePattern distributes the machines of a cluster over the mixedMachineTypes, by index.
var mixedTypePattern = []int{0, 2, 1, 0, 2, 2}

// mixedJob returns the nth job of a mix and the time for which its tasks run. Depending on its
// kind, it is a service, a gang on accelerator machines whose tasks run for gangRun, or an array
// of arrayTasks tasks.
func mixedJob(n, kind, arrayTasks int, gangRun time.Duration) (wire.JobSpec, time.Duration) {
	spec, run := testJob(n, kind)
	spec.Team = teamName(n % 4)
	switch spec.Shape {
	case wire.ShapeService:
		spec.Tasks, spec.MemGB, spec.SpreadZones, spec.Image = []int{3, 6, 8, 9}[n/7%4], 3, true, fmt.Sprint("desk-", n%12)
	case wire.ShapeGang:
		spec.Tasks, spec.Cores, spec.Accelerators, spec.MemGB, spec.SingleZone = 1<<(n/7%5), 28, 4, 200, true
		spec.Image, run = fmt.Sprint("model-", n%16), gangRun
	default:
		spec.Tasks, spec.Image, run = arrayTasks, fmt.Sprint("survey-", n%10), 25*time.Second
	}
	return spec, run
}

// BenchmarkBurst measures 30 s of three controllers with a full fleet and far more pending work
// than fits, where scheduling passes cost most.
func BenchmarkBurst(b *testing.B) { benchmarkCluster(b, 30*time.Second, burstCluster) }

func burstCluster() *Cluster {
	settings := testSettings()
	settings.Cluster.Teams = []config.Team{{Name: "blue", CPUs: 200, CPUsMax: 900}, {Name: "red", CPUs: 200, CPUsMax: 900, GPUs: 8, GPUsMax: 60}}
	settings.Cluster.State = config.State{RPS: 150, WriteRPS: 40, ValueKB: 8, TxnOps: 32}
	types := []wire.MachineType{
		{Name: "c4", Cores: 4, MemGB: 32, OnDemandPrice: 0.3, SpotPrice: 0.1, StartupS: 15, PullGBPerS: 0.5, Zones: zones},
		{Name: "g32", Cores: 32, Accelerators: 4, MemGB: 256, OnDemandPrice: 11, SpotPrice: 4, StartupS: 30, PullGBPerS: 0.2, Zones: zones},
	}
	cluster := clusterSetup{settings: settings, types: types, typePattern: []int{0, 1}, controllers: 3, machines: 30, seed: 1}.start()
	cluster.Capacity = 3
	for n := range 60 {
		spec, run := testJob(n, []int{0, 3, 0, 1}[n%4])
		if spec.Shape == wire.ShapeArray {
			spec.Tasks = 20 + n
		}
		cluster.At(time.Duration(n*300)*time.Millisecond, func() { cluster.Submit(spec, run+10*time.Second) })
	}
	return cluster
}

// BenchmarkLargeCluster measures 30 s of five controllers with some 1,500 machines, 400 services
// and one new array per second. It shows the costs that grow with the size of the fleet. Profile
// it with -cpuprofile, focused on internal/controller.
func BenchmarkLargeCluster(b *testing.B) { benchmarkCluster(b, 30*time.Second, largeCluster) }

func largeCluster() *Cluster {
	settings := testSettings()
	settings.Cluster.Teams = identicalTeams(8, config.Team{CPUs: 1000, CPUsMax: 1800})
	settings.Cluster.Workers = config.Workers{ReportS: 10, LeaseS: 45, GangWaitS: 35, GangPeerS: 6, CancelS: 65}
	settings.Cluster.State = config.State{RPS: 200, WriteRPS: 50, ValueKB: 8, TxnOps: 12}
	types := []wire.MachineType{
		{Name: "c4", Cores: 4, MemGB: 32, OnDemandPrice: 0.2, SpotPrice: 0.1, StartupS: 15, PullGBPerS: 0.5, Zones: zones},
		{Name: "c8", Cores: 8, MemGB: 32, OnDemandPrice: 0.36, SpotPrice: 0.1, StartupS: 30, PullGBPerS: 0.2, Zones: zones},
	}
	cluster := clusterSetup{settings: settings, types: types, typePattern: []int{0, 1}, controllers: 5, machines: 1500, seed: 1}.start()
	cluster.Capacity = 400
	for n := range 430 {
		spec, run := testJob(n, 1)
		spec.Tasks, spec.MemGB, spec.SpreadZones = []int{3, 4, 16}[n%3], 3.4, true
		at := 2 * time.Second
		if n >= 400 {
			spec, run = testJob(n, 0)
			spec.Tasks, spec.Cores, spec.MemGB, spec.Class = 25, 4, 13, "parcel"
			at = time.Duration(n-400) * time.Second
		}
		spec.Team = teamName(n % 8)
		cluster.At(at, func() { cluster.Submit(spec, run+20*time.Second) })
	}
	return cluster
}

// BenchmarkLargestFleet measures a minute of three controllers with some 1,900 machines, 240
// services, gangs of up to 16 and arrays of up to 988 tasks. This is half as large again as the
// largest known installation. Meanwhile a zone is partitioned, 150 machines hang, and a
// controller stalls.
func BenchmarkLargestFleet(b *testing.B) { benchmarkCluster(b, time.Minute, largestFleetCluster) }

func largestFleetCluster() *Cluster {
	settings := testSettings()
	settings.Cluster.Teams = identicalTeams(4, config.Team{CPUs: 9000, CPUsMax: 150000, GPUs: 900, GPUsMax: 2500})
	settings.Cluster.Workers = config.Workers{ReportS: 5, LeaseS: 26.5, GangWaitS: 45, GangPeerS: 8, CancelS: 51.5}
	settings.Cluster.State = config.State{RPS: 300, WriteRPS: 70, ValueKB: 8, TxnOps: 32}
	settings.Cluster.Quota = config.Quota{CoreShare: 0.3, MemMB: 320, Sockets: 2600}
	cluster := clusterSetup{settings: settings, types: mixedMachineTypes(), typePattern: mixedTypePattern, controllers: 3, machines: 1860, seed: 1}.start()
	cluster.Capacity = 250
	for n := range 420 {
		spec, run := mixedJob(n, []int{1, 1, 1, 1, 2, 0, 3}[n%7], 150+n*2, 150*time.Second)
		cluster.At(2*time.Second+time.Duration(n)*80*time.Millisecond, func() { cluster.Submit(spec, run) })
	}
	cluster.At(20*time.Second, func() { cluster.PartitionZone(zones[1], 1, 20*time.Second) })
	cluster.At(25*time.Second, func() {
		for _, machine := range cluster.machines[:150] {
			machine.hung = true
			cluster.At(20*time.Second, machine.resume)
		}
	})
	cluster.At(35*time.Second, func() { cluster.Stall(0, 15*time.Second) })
	return cluster
}

// BenchmarkSmallJobFlood measures 40 s of five controllers with 1,500 machines to which fifty
// jobs of one task are submitted per second. It shows the cost of each pending job per scheduling
// pass.
func BenchmarkSmallJobFlood(b *testing.B) { benchmarkCluster(b, 40*time.Second, smallJobFloodCluster) }

func smallJobFloodCluster() *Cluster {
	settings := testSettings()
	settings.Cluster.Teams = []config.Team{{Name: "desk", CPUs: 8000, CPUsMax: 9000}, {Name: "guest"}}
	settings.Cluster.Workers = config.Workers{ReportS: 10, LeaseS: 45, GangWaitS: 35, GangPeerS: 6, CancelS: 65}
	settings.Cluster.State = config.State{RPS: 200, WriteRPS: 50, ValueKB: 8, TxnOps: 12}
	types := []wire.MachineType{{Name: "c4", Cores: 4, MemGB: 32, OnDemandPrice: 0.2, SpotPrice: 0.1, StartupS: 15, PullGBPerS: 0.5, Zones: zones}}
	cluster := clusterSetup{settings: settings, types: types, typePattern: []int{0}, controllers: 5, machines: 1500, seed: 1}.start()
	cluster.Capacity = 0
	for n := range 1500 {
		spec, _ := testJob(n, 0)
		spec.Team, spec.Tasks, spec.Cores, spec.Priority = "guest", 1, 0.25, wire.PriorityBestEffort
		cluster.At(2*time.Second+time.Duration(n)*20*time.Millisecond, func() { cluster.Submit(spec, 100*time.Second) })
	}
	return cluster
}

// BenchmarkSmallCoreShare measures an ordinary minute of three controllers with about a twentieth
// of a core each, 720 machines, 46 services, and gangs and arrays that are submitted all the
// time. Profile it with -cpuprofile, focused on internal/controller.
func BenchmarkSmallCoreShare(b *testing.B) {
	benchmarkCluster(b, time.Minute, func() *Cluster { return smallCoreShareCluster(720, 3, 0.054) })
}

func smallCoreShareCluster(machines, controllers int, share float64) *Cluster {
	settings := testSettings()
	settings.Cluster.Teams = identicalTeams(4, config.Team{CPUs: 1500, CPUsMax: 6000, GPUs: 150, GPUsMax: 600})
	settings.Cluster.Workers = config.Workers{ReportS: 5, LeaseS: 26.5, GangWaitS: 45, GangPeerS: 8, CancelS: 51.5}
	settings.Cluster.State = config.State{RPS: 300, WriteRPS: 70, ValueKB: 8, TxnOps: 32}
	settings.Cluster.Quota = config.Quota{CoreShare: share, MemMB: 114, Sockets: 1500}
	cluster := clusterSetup{settings: settings, types: mixedMachineTypes(), typePattern: mixedTypePattern, controllers: controllers, machines: machines, seed: 1}.start()
	cluster.Capacity = 100
	for n := range 160 {
		spec, run := mixedJob(n, []int{1, 1, 2, 0, 3, 0, 2}[n%7], 20+n, 50*time.Second)
		cluster.At(2*time.Second+time.Duration(n)*300*time.Millisecond, func() { cluster.Submit(spec, run) })
	}
	return cluster
}
