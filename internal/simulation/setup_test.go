package simulation

import (
	"fmt"
	"log/slog"
	"os"
	"testing"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/fixedseed"
	"lilacrill/wire"
)

func TestMain(m *testing.M) { fixedseed.Run(m) }

// zones lists the zones of the test clusters.
var zones = []string{"east", "north", "west"}

// machineTypes lists the machine types that the cloud offers to the test clusters.
var machineTypes = []wire.MachineType{
	{Name: "c4", Cores: 4, MemGB: 32, OnDemandPrice: 0.2, SpotPrice: 0.08, StartupS: 4, Zones: zones},
	{Name: "g8", Cores: 8, Accelerators: 2, MemGB: 64, OnDemandPrice: 2, SpotPrice: 0.7, StartupS: 5, Zones: zones},
}

// testSettings returns the settings that tests start from.
func testSettings() config.Settings {
	return config.Settings{Cluster: config.Cluster{
		Zones: zones,
		Teams: []config.Team{
			{Name: "blue", CPUs: 8, CPUsMax: 20, GPUs: 0, GPUsMax: 2},
			{Name: "red", CPUs: 8, CPUsMax: 24, GPUs: 2, GPUsMax: 6},
		},
		Objectives: []config.Objective{{Kind: "wait", Class: "portal", WithinS: 1, Share: 0.9}},
		Workers:    config.Workers{ReportS: 2, LeaseS: 15, GangWaitS: 20, GangPeerS: 4, CancelS: 40},
		State:      config.State{RPS: 200, WriteRPS: 50, ValueKB: 2, TxnOps: 12},
		Cloud:      config.Cloud{RPS: 5, ListLagS: 3},
		Quota:      config.Quota{CoreShare: 1, MemMB: 200, Sockets: 2000},
	}}
}

// clusterSetup describes the cluster with which a test starts. Its machines are added before its
// controllers are started.
type clusterSetup struct {
	settings    config.Settings
	types       []wire.MachineType // machineTypes if nil
	typePattern []int              // indexes into types, repeated over the machines; always 0 if nil
	machines    int                // their number; they are added to the zones in turn
	controllers int
	seed        uint64
	// startController starts controller i. If nil, (*Cluster).Start is used.
	startController func(cluster *Cluster, i int)
}

// start creates the cluster and starts its machines and controllers. With WORLD_LOG set in the
// environment, the controllers log to standard error.
func (s clusterSetup) start() *Cluster {
	if s.types == nil {
		s.types = machineTypes
	}
	if s.typePattern == nil {
		s.typePattern = []int{0}
	}
	if s.startController == nil {
		s.startController = (*Cluster).Start
	}
	cluster := NewCluster(s.settings, s.types, s.controllers, s.seed)
	if os.Getenv("WORLD_LOG") != "" {
		cluster.SetLogger(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug})))
	}
	for i := range s.machines {
		cluster.AddMachine(s.types[s.typePattern[i%len(s.typePattern)]], zones[i%len(zones)], false, 0)
	}
	for i := range s.controllers {
		s.startController(cluster, i)
	}
	return cluster
}

// newCluster starts a cluster of four machines with the settings of testSettings.
func newCluster(seed uint64, controllers int) *Cluster {
	return newClusterWith(testSettings(), seed, controllers)
}

// newClusterWith starts a cluster of four machines with the given settings.
func newClusterWith(settings config.Settings, seed uint64, controllers int) *Cluster {
	return newClusterStartedBy(settings, seed, controllers, (*Cluster).Start)
}

// newClusterStartedBy is like newClusterWith, but starts the controllers with the given function.
func newClusterStartedBy(settings config.Settings, seed uint64, controllers int, start func(cluster *Cluster, i int)) *Cluster {
	return clusterSetup{settings: settings, machines: 4, controllers: controllers, seed: seed, startController: start}.start()
}

// testJob returns the job with number n and the time for which its tasks run. The number
// determines its team and size, and the kind, from 0 to 7, its shape, priority and constraints.
func testJob(n, kind int) (wire.JobSpec, time.Duration) {
	s := wire.JobSpec{ID: wire.JobID(fmt.Sprintf("wk-%06d", n)), Class: "batch", Team: []string{"blue", "red"}[n%2],
		Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: 1 + n%7, Cores: 1, MemGB: 2, Image: "img", ImageGB: 1,
		RuntimeS: 5, Spot: n%3 == 0}
	run := time.Duration(2+n%9) * time.Second
	switch kind {
	case 1:
		s.Shape, s.Priority, s.Class, s.Tasks = wire.ShapeService, wire.PriorityCritical, "portal", 1+n%2
	case 2:
		s.Shape, s.Priority, s.SingleZone, s.Tasks, s.Cores = wire.ShapeGang, wire.PriorityHigh, n%2 == 0, 1+n%3, 2
	case 3:
		s.Priority, s.CheckpointIntervalS, s.CheckpointSaveS = wire.PriorityBestEffort, 3, 1
	case 4:
		s.SpreadZones = true
	case 5:
		s.SingleZone, s.Cores = true, 3
	case 6:
		s.Types, s.Accelerators = []string{"g8"}, 1
		s.Shape, s.Tasks = wire.ShapeGang, 1+n%2
	case 7:
		s.Zone = zones[n%len(zones)]
	}
	return s, run
}
