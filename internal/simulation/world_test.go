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

func newClusterWith(set config.Settings, seed uint64, controllers int) *Cluster {
	return newClusterStartedBy(set, seed, controllers, (*Cluster).Start)
}

func newClusterStartedBy(set config.Settings, seed uint64, controllers int, start func(w *Cluster, i int)) *Cluster {
	w := NewCluster(set, machineTypes, controllers, seed)
	if os.Getenv("WORLD_LOG") != "" {
		w.Log(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug})))
	}
	for i := range 4 {
		w.AddMachine(machineTypes[0], zones[i%len(zones)], false, 0)
	}
	for i := range controllers {
		start(w, i)
	}
	return w
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

func (tr fault) inject(w *Cluster) {
	n := tr.target % len(w.controllers)
	machine := func() *fakeMachine {
		for i := range w.machines {
			if m := w.machines[(i+tr.target)%len(w.machines)]; m.up && !m.terminated && !m.hung {
				return m
			}
		}
		return nil
	}
	switch tr.kind {
	case "crash":
		w.Stop(n)
		w.At(3*time.Second, func() { w.Start(n) })
	case "crash all":
		for i := range w.controllers {
			w.Stop(i)
			w.At(3*time.Second+time.Duration(i)*200*time.Millisecond, func() { w.Start(i) })
		}
	case "flicker":
		w.Start(n)
		w.At(300*time.Millisecond, func() { w.Start(n) })
	case "flicker all":
		// All are back within a fraction of a second, and some again while the
		// others still choose owners, buyer and launchers.
		for i := range w.controllers {
			w.Start(i)
			w.At(time.Duration(200+150*i)*time.Millisecond, func() { w.Start(i) })
		}
	case "alone":
		w.StorePartitioned[n], w.PeersPartitioned[n] = true, true
		w.At(tr.duration, func() { delete(w.StorePartitioned, n); delete(w.PeersPartitioned, n) })
	case "freeze":
		w.Stall(n, 2*tr.duration)
	case "boots":
		// Machines come up late, never, or within a moment.
		boot := []time.Duration{25 * time.Second, time.Hour, 100 * time.Millisecond}[tr.target%3]
		w.ProvisioningDelay = func(string, string) time.Duration { return boot }
		w.At(2*tr.duration, func() { w.ProvisioningDelay = nil })
	case "polls":
		w.PollStorm(2 * tr.duration)
	case "zone cut":
		w.PartitionZone(zones[tr.target%len(zones)], n, 2*tr.duration)
	case "deaf":
		if m := machine(); m != nil {
			m.inboundPartitioned = true
			w.At(2*tr.duration, func() { m.inboundPartitioned = false })
		}
	case "mute":
		if m := machine(); m != nil {
			m.outboundPartitioned = true
			w.At(2*tr.duration, func() { m.outboundPartitioned = false })
		}
	case "state down":
		w.StoreUnavailable = true
		w.At(tr.duration, func() { w.StoreUnavailable = false; w.store.RenewAll(w.now) })
	case "state cut":
		w.StorePartitioned[n] = true
		w.At(tr.duration, func() { delete(w.StorePartitioned, n) })
	case "worker cut":
		w.WorkersPartitioned[n] = true
		w.At(tr.duration, func() { delete(w.WorkersPartitioned, n) })
	case "cloud down":
		w.CloudUnavailable = true
		w.At(tr.duration, func() { w.CloudUnavailable = false })
	case "slow state":
		w.StoreDelay = 500 * time.Millisecond
		w.At(tr.duration, func() { w.StoreDelay = 0 })
	case "hang":
		if m := machine(); m != nil {
			m.hung = true
			w.At(tr.duration, m.resume)
		}
	case "die":
		if m := machine(); m != nil {
			m.terminate()
		}
	case "notice":
		if m := machine(); m != nil {
			m.preemptionAt = w.now + 8_000_000_000
			w.At(8*time.Second, m.terminate)
		}
	case "faulty":
		if m := machine(); m != nil {
			m.faulty = true
		}
	}
}

// runGeneratedSchedule runs one generated day and then a quiet time in which all must end.
func runGeneratedSchedule(t *rapid.T) *Cluster { return runGeneratedScheduleWith(t, (*Cluster).Start) }

// runGeneratedScheduleWith is play with controllers that are started so.
func runGeneratedScheduleWith(t *rapid.T, start func(w *Cluster, i int)) *Cluster {
	set := testSettings()
	set.Cluster.Teams = append(set.Cluster.Teams, config.Team{Name: "guest"})
	w := newClusterStartedBy(set, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 3).Draw(t, "controllers"), start)
	w.MessageLoss = rapid.SampledFrom([]float64{0, 0.02, 0.08}).Draw(t, "loss")
	w.DuplicatedHeartbeats = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "late")
	// What meets what: each is there on some days and not on others.
	w.DelayedCommits = rapid.SampledFrom([]float64{0, 0, 0.2}).Draw(t, "late writes")
	w.LoseAnswersOnly = rapid.Bool().Draw(t, "at once")
	w.ReplayedHeartbeats = rapid.SampledFrom([]float64{0, 0, 0.2}).Draw(t, "kept reports")
	w.CancelOnCompletion = rapid.SampledFrom([]float64{0, 0, 0.4}).Draw(t, "cancel at end")
	w.HangOnCancel = rapid.SampledFrom([]time.Duration{0, 0, 8 * time.Second, 50 * time.Second}).Draw(t, "hang at cancel")
	w.RequestBursts = rapid.SampledFrom([]bool{false, false, true}).Draw(t, "close looks")
	for n := range rapid.IntRange(4, 24).Draw(t, "jobs") {
		spec, run := testJob(n, rapid.IntRange(0, 7).Draw(t, "kind"))
		at := time.Duration(rapid.IntRange(0, 60).Draw(t, "at")) * time.Second
		if n%6 == 5 && spec.Accelerators == 0 {
			spec.Team = "guest"
		}
		if rapid.IntRange(0, 9).Draw(t, "mistaken") == 0 {
			w.At(at, func() { w.SubmitFailing(spec) })
		} else {
			w.At(at, func() { w.Submit(spec, run) })
		}
		// Some services are left running, so that there is something to ask about.
		cancelled := rapid.IntRange(0, 5).Draw(t, "cancelled")
		if spec.Shape == wire.ShapeService && cancelled < 4 || cancelled == 0 {
			w.At(at+time.Duration(rapid.IntRange(0, 90).Draw(t, "cancel"))*time.Second, func() { w.CancelJob(spec.ID) })
		}
	}
	for range rapid.IntRange(0, 8).Draw(t, "troubles") {
		tr := fault{rapid.SampledFrom(faultKinds).Draw(t, "trouble"),
			time.Duration(rapid.IntRange(5, 90).Draw(t, "when")) * time.Second,
			time.Duration(rapid.IntRange(2, 25).Draw(t, "last")) * time.Second, rapid.IntRange(0, 9).Draw(t, "who")}
		w.At(tr.at, func() { tr.inject(w) })
	}
	w.At(30*time.Second, func() { w.PollUnknown("wk-999999") })
	w.Run(130 * time.Second)
	w.MessageLoss, w.DelayedCommits, w.ReplayedHeartbeats, w.HangOnCancel, w.RequestBursts, w.CancelOnCompletion = 0, 0, 0, 0, false, 0
	w.Run(50 * time.Second) // the last late copies and the last trouble
	w.FaultsOverAt = w.Now()
	w.Run(250 * time.Second)
	return w
}

// TestRulesHold drives several cores through generated days of losses, delays,
// duplicates, outages and restarts, and holds what happens against the
// protocol's rules.
func TestRulesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := runGeneratedSchedule(t)
		require.Empty(t, w.Violations)
		require.Empty(t, w.Unfinished(), "jobs that never ended: %v", w.Records())
	})
}
