package simulation

import (
	"fmt"
	"log/slog"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lilacrill/internal/config"
	"lilacrill/internal/fixedseed"
	"lilacrill/wire"
)

func TestMain(m *testing.M) { fixedseed.Run(m) }

var zones = []string{"east", "north", "west"}

var machineTypes = []wire.MachineType{
	{Name: "c4", Cores: 4, MemGB: 32, OnDemandPrice: 0.2, SpotPrice: 0.08, StartupS: 4, Zones: zones},
	{Name: "g8", Cores: 8, Accelerators: 2, MemGB: 64, OnDemandPrice: 2, SpotPrice: 0.7, StartupS: 5, Zones: zones},
}

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

func newCluster(t interface{ Logf(string, ...any) }, seed uint64, controllers int) *Cluster {
	return newClusterWith(testSettings(), seed, controllers)
}

func newClusterWith(settings config.Settings, seed uint64, controllers int) *Cluster {
	return newClusterStartedBy(settings, seed, controllers, (*Cluster).Start)
}

func newClusterStartedBy(settings config.Settings, seed uint64, controllers int, start func(cluster *Cluster, i int)) *Cluster {
	cluster := NewCluster(settings, machineTypes, controllers, seed)
	if os.Getenv("WORLD_LOG") != "" {
		cluster.Log(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug})))
	}
	for i := range 4 {
		cluster.AddMachine(machineTypes[0], zones[i%len(zones)], false, 0)
	}
	for i := range controllers {
		start(cluster, i)
	}
	return cluster
}

// testJob makes a job of one of the shapes from a number.
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

// fault is one thing that goes wrong for a while.
type fault struct {
	kind     string
	at       time.Duration
	duration time.Duration
	target   int
}

var faultKinds = []string{"crash", "crash all", "flicker", "state down", "state cut", "worker cut", "cloud down",
	"hang", "die", "notice", "slow state", "faulty", "deaf", "alone", "flicker all", "zone cut", "freeze",
	"boots", "polls", "mute"}

func (tr fault) inject(cluster *Cluster) {
	n := tr.target % len(cluster.controllers)
	machine := func() *fakeMachine {
		for i := range cluster.machines {
			if machine := cluster.machines[(i+tr.target)%len(cluster.machines)]; machine.up && !machine.terminated && !machine.hung {
				return machine
			}
		}
		return nil
	}
	switch tr.kind {
	case "crash":
		cluster.Stop(n)
		cluster.At(3*time.Second, func() { cluster.Start(n) })
	case "crash all":
		for i := range cluster.controllers {
			cluster.Stop(i)
			cluster.At(3*time.Second+time.Duration(i)*200*time.Millisecond, func() { cluster.Start(i) })
		}
	case "flicker":
		cluster.Start(n)
		cluster.At(300*time.Millisecond, func() { cluster.Start(n) })
	case "flicker all":
		// All are back within a fraction of a second, and some again while the
		// others still choose owners, buyer and launchers.
		for i := range cluster.controllers {
			cluster.Start(i)
			cluster.At(time.Duration(200+150*i)*time.Millisecond, func() { cluster.Start(i) })
		}
	case "alone":
		cluster.StorePartitioned[n], cluster.PeersPartitioned[n] = true, true
		cluster.At(tr.duration, func() { delete(cluster.StorePartitioned, n); delete(cluster.PeersPartitioned, n) })
	case "freeze":
		cluster.Stall(n, 2*tr.duration)
	case "boots":
		// Machines come up late, never, or within a moment.
		boot := []time.Duration{25 * time.Second, time.Hour, 100 * time.Millisecond}[tr.target%3]
		cluster.ProvisioningDelay = func(string, string) time.Duration { return boot }
		cluster.At(2*tr.duration, func() { cluster.ProvisioningDelay = nil })
	case "polls":
		cluster.PollStorm(2 * tr.duration)
	case "zone cut":
		cluster.PartitionZone(zones[tr.target%len(zones)], n, 2*tr.duration)
	case "deaf":
		if machine := machine(); machine != nil {
			machine.inboundPartitioned = true
			cluster.At(2*tr.duration, func() { machine.inboundPartitioned = false })
		}
	case "mute":
		if machine := machine(); machine != nil {
			machine.outboundPartitioned = true
			cluster.At(2*tr.duration, func() { machine.outboundPartitioned = false })
		}
	case "state down":
		cluster.StoreUnavailable = true
		cluster.At(tr.duration, func() { cluster.StoreUnavailable = false; cluster.store.RenewAll(cluster.now) })
	case "state cut":
		cluster.StorePartitioned[n] = true
		cluster.At(tr.duration, func() { delete(cluster.StorePartitioned, n) })
	case "worker cut":
		cluster.WorkersPartitioned[n] = true
		cluster.At(tr.duration, func() { delete(cluster.WorkersPartitioned, n) })
	case "cloud down":
		cluster.CloudUnavailable = true
		cluster.At(tr.duration, func() { cluster.CloudUnavailable = false })
	case "slow state":
		cluster.StoreDelay = 500 * time.Millisecond
		cluster.At(tr.duration, func() { cluster.StoreDelay = 0 })
	case "hang":
		if machine := machine(); machine != nil {
			machine.hung = true
			cluster.At(tr.duration, machine.resume)
		}
	case "die":
		if machine := machine(); machine != nil {
			machine.terminate()
		}
	case "notice":
		if machine := machine(); machine != nil {
			machine.preemptionAt = cluster.now + 8_000_000_000
			cluster.At(8*time.Second, machine.terminate)
		}
	case "faulty":
		if machine := machine(); machine != nil {
			machine.faulty = true
		}
	}
}

// runGeneratedSchedule runs one generated day and then a quiet time in which all must end.
func runGeneratedSchedule(t *rapid.T) *Cluster { return runGeneratedScheduleWith(t, (*Cluster).Start) }

// runGeneratedScheduleWith is play with controllers that are started so.
func runGeneratedScheduleWith(t *rapid.T, start func(cluster *Cluster, i int)) *Cluster {
	settings := testSettings()
	settings.Cluster.Teams = append(settings.Cluster.Teams, config.Team{Name: "guest"})
	cluster := newClusterStartedBy(settings, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 3).Draw(t, "controllers"), start)
	cluster.MessageLoss = rapid.SampledFrom([]float64{0, 0.02, 0.08}).Draw(t, "loss")
	cluster.DuplicatedHeartbeats = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "late")
	// What meets what: each is there on some days and not on others.
	cluster.DelayedCommits = rapid.SampledFrom([]float64{0, 0, 0.2}).Draw(t, "late writes")
	cluster.LoseAnswersOnly = rapid.Bool().Draw(t, "at once")
	cluster.ReplayedHeartbeats = rapid.SampledFrom([]float64{0, 0, 0.2}).Draw(t, "kept reports")
	cluster.CancelOnCompletion = rapid.SampledFrom([]float64{0, 0, 0.4}).Draw(t, "cancel at end")
	cluster.HangOnCancel = rapid.SampledFrom([]time.Duration{0, 0, 8 * time.Second, 50 * time.Second}).Draw(t, "hang at cancel")
	cluster.RequestBursts = rapid.SampledFrom([]bool{false, false, true}).Draw(t, "close looks")
	for n := range rapid.IntRange(4, 24).Draw(t, "jobs") {
		spec, run := testJob(n, rapid.IntRange(0, 7).Draw(t, "kind"))
		at := time.Duration(rapid.IntRange(0, 60).Draw(t, "at")) * time.Second
		if n%6 == 5 && spec.Accelerators == 0 {
			spec.Team = "guest"
		}
		if rapid.IntRange(0, 9).Draw(t, "mistaken") == 0 {
			cluster.At(at, func() { cluster.SubmitFailing(spec) })
		} else {
			cluster.At(at, func() { cluster.Submit(spec, run) })
		}
		// Some services are left running, so that there is something to ask about.
		cancelled := rapid.IntRange(0, 5).Draw(t, "cancelled")
		if spec.Shape == wire.ShapeService && cancelled < 4 || cancelled == 0 {
			cluster.At(at+time.Duration(rapid.IntRange(0, 90).Draw(t, "cancel"))*time.Second, func() { cluster.CancelJob(spec.ID) })
		}
	}
	for range rapid.IntRange(0, 8).Draw(t, "troubles") {
		planned := fault{rapid.SampledFrom(faultKinds).Draw(t, "trouble"),
			time.Duration(rapid.IntRange(5, 90).Draw(t, "when")) * time.Second,
			time.Duration(rapid.IntRange(2, 25).Draw(t, "last")) * time.Second, rapid.IntRange(0, 9).Draw(t, "who")}
		cluster.At(planned.at, func() { planned.inject(cluster) })
	}
	cluster.At(30*time.Second, func() { cluster.PollUnknown("wk-999999") })
	cluster.Run(130 * time.Second)
	cluster.MessageLoss, cluster.DelayedCommits, cluster.ReplayedHeartbeats, cluster.HangOnCancel, cluster.RequestBursts, cluster.CancelOnCompletion = 0, 0, 0, 0, false, 0
	cluster.Run(50 * time.Second) // the last late copies and the last trouble
	cluster.FaultsOverAt = cluster.Now()
	cluster.Run(250 * time.Second)
	return cluster
}

// TestRulesHold drives several cores through generated days of losses, delays,
// duplicates, outages and restarts, and holds what happens against the
// protocol's rules.
func TestRulesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := runGeneratedSchedule(t)
		require.Empty(t, cluster.Violations)
		require.Empty(t, cluster.Unfinished(), "jobs that never ended: %v", cluster.Records())
	})
}
