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

var types = []wire.MachineType{
	{Name: "c4", Cores: 4, MemGB: 32, OnDemandPrice: 0.2, SpotPrice: 0.08, StartupS: 4, Zones: zones},
	{Name: "g8", Cores: 8, Accelerators: 2, MemGB: 64, OnDemandPrice: 2, SpotPrice: 0.7, StartupS: 5, Zones: zones},
}

func settings() config.Settings {
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

func newWorld(t interface{ Logf(string, ...any) }, seed uint64, controllers int) *World {
	return worldOf(settings(), seed, controllers)
}

func worldOf(set config.Settings, seed uint64, controllers int) *World {
	return worldWith(set, seed, controllers, (*World).Start)
}

func worldWith(set config.Settings, seed uint64, controllers int, start func(w *World, i int)) *World {
	w := New(set, types, controllers, seed)
	if os.Getenv("WORLD_LOG") != "" {
		w.Log(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug})))
	}
	for i := range 4 {
		w.AddMachine(types[0], zones[i%len(zones)], false, 0)
	}
	for i := range controllers {
		start(w, i)
	}
	return w
}

// job makes a job of one of the shapes from a number.
func job(n, kind int) (wire.JobSpec, time.Duration) {
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

// trouble is one thing that goes wrong for a while.
type trouble struct {
	kind string
	at   time.Duration
	last time.Duration
	who  int
}

var troubleKinds = []string{"crash", "crash all", "flicker", "state down", "state cut", "worker cut", "cloud down",
	"hang", "die", "notice", "slow state", "faulty", "deaf", "alone", "flicker all", "zone cut", "freeze",
	"boots", "polls", "mute"}

func (tr trouble) happen(w *World) {
	n := tr.who % len(w.nodes)
	machine := func() *machine {
		for i := range w.machines {
			if m := w.machines[(i+tr.who)%len(w.machines)]; m.up && !m.dead && !m.hung {
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
		for i := range w.nodes {
			w.Stop(i)
			w.At(3*time.Second+time.Duration(i)*200*time.Millisecond, func() { w.Start(i) })
		}
	case "flicker":
		w.Start(n)
		w.At(300*time.Millisecond, func() { w.Start(n) })
	case "flicker all":
		// All are back within a fraction of a second, and some again while the
		// others still choose owners, buyer and launchers.
		for i := range w.nodes {
			w.Start(i)
			w.At(time.Duration(200+150*i)*time.Millisecond, func() { w.Start(i) })
		}
	case "alone":
		w.CutState[n], w.CutPeers[n] = true, true
		w.At(tr.last, func() { delete(w.CutState, n); delete(w.CutPeers, n) })
	case "freeze":
		w.Freeze(n, 2*tr.last)
	case "boots":
		// Machines come up late, never, or within a moment.
		boot := []time.Duration{25 * time.Second, time.Hour, 100 * time.Millisecond}[tr.who%3]
		w.Boot = func(string, string) time.Duration { return boot }
		w.At(2*tr.last, func() { w.Boot = nil })
	case "polls":
		w.PollStorm(2 * tr.last)
	case "zone cut":
		w.CutOff(zones[tr.who%len(zones)], n, 2*tr.last)
	case "deaf":
		if m := machine(); m != nil {
			m.inboundCut = true
			w.At(2*tr.last, func() { m.inboundCut = false })
		}
	case "mute":
		if m := machine(); m != nil {
			m.outboundCut = true
			w.At(2*tr.last, func() { m.outboundCut = false })
		}
	case "state down":
		w.StateDown = true
		w.At(tr.last, func() { w.StateDown = false; w.store.RenewAll(w.now) })
	case "state cut":
		w.CutState[n] = true
		w.At(tr.last, func() { delete(w.CutState, n) })
	case "worker cut":
		w.CutWorkers[n] = true
		w.At(tr.last, func() { delete(w.CutWorkers, n) })
	case "cloud down":
		w.CloudDown = true
		w.At(tr.last, func() { w.CloudDown = false })
	case "slow state":
		w.SlowState = 500 * time.Millisecond
		w.At(tr.last, func() { w.SlowState = 0 })
	case "hang":
		if m := machine(); m != nil {
			m.hung = true
			w.At(tr.last, m.resume)
		}
	case "die":
		if m := machine(); m != nil {
			m.vanish()
		}
	case "notice":
		if m := machine(); m != nil {
			m.recall = w.now + 8_000_000_000
			w.At(8*time.Second, m.vanish)
		}
	case "faulty":
		if m := machine(); m != nil {
			m.faulty = true
		}
	}
}

// play runs one generated day and then a quiet time in which all must end.
func play(t *rapid.T) *World { return playWith(t, (*World).Start) }

// playWith is play with controllers that are started so.
func playWith(t *rapid.T, start func(w *World, i int)) *World {
	set := settings()
	set.Cluster.Teams = append(set.Cluster.Teams, config.Team{Name: "guest"})
	w := worldWith(set, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 3).Draw(t, "controllers"), start)
	w.Loss = rapid.SampledFrom([]float64{0, 0.02, 0.08}).Draw(t, "loss")
	w.LateReports = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "late")
	// What meets what: each is there on some days and not on others.
	w.LateWrites = rapid.SampledFrom([]float64{0, 0, 0.2}).Draw(t, "late writes")
	w.LateAtOnce = rapid.Bool().Draw(t, "at once")
	w.KeepReports = rapid.SampledFrom([]float64{0, 0, 0.2}).Draw(t, "kept reports")
	w.CancelAtEnd = rapid.SampledFrom([]float64{0, 0, 0.4}).Draw(t, "cancel at end")
	w.HangAtCancel = rapid.SampledFrom([]time.Duration{0, 0, 8 * time.Second, 50 * time.Second}).Draw(t, "hang at cancel")
	w.CloseLooks = rapid.SampledFrom([]bool{false, false, true}).Draw(t, "close looks")
	for n := range rapid.IntRange(4, 24).Draw(t, "jobs") {
		spec, run := job(n, rapid.IntRange(0, 7).Draw(t, "kind"))
		at := time.Duration(rapid.IntRange(0, 60).Draw(t, "at")) * time.Second
		if n%6 == 5 && spec.Accelerators == 0 {
			spec.Team = "guest"
		}
		if rapid.IntRange(0, 9).Draw(t, "mistaken") == 0 {
			w.At(at, func() { w.SubmitMistaken(spec) })
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
		tr := trouble{rapid.SampledFrom(troubleKinds).Draw(t, "trouble"),
			time.Duration(rapid.IntRange(5, 90).Draw(t, "when")) * time.Second,
			time.Duration(rapid.IntRange(2, 25).Draw(t, "last")) * time.Second, rapid.IntRange(0, 9).Draw(t, "who")}
		w.At(tr.at, func() { tr.happen(w) })
	}
	w.At(30*time.Second, func() { w.AskUnknown("wk-999999") })
	w.Run(130 * time.Second)
	w.Loss, w.LateWrites, w.KeepReports, w.HangAtCancel, w.CloseLooks, w.CancelAtEnd = 0, 0, 0, 0, false, 0
	w.Run(50 * time.Second) // the last late copies and the last trouble
	w.CalmAt = w.Now()
	w.Run(250 * time.Second)
	return w
}

// TestRulesHold drives several cores through generated days of losses, delays,
// duplicates, outages and restarts, and holds what happens against the
// protocol's rules.
func TestRulesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := play(t)
		require.Empty(t, w.Broken)
		require.Empty(t, w.Unfinished(), "jobs that never ended: %v", w.Records())
	})
}
