package standin

import (
	"fmt"
	"testing"
	"time"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// BenchmarkBurst is half a minute of three controllers with a full fleet and
// far more work than it takes, where planning costs most.
func BenchmarkBurst(b *testing.B) {
	for b.Loop() {
		set := settings()
		set.Cluster.Teams = []config.Team{{Name: "blue", CPUs: 200, CPUsMax: 900}, {Name: "red", CPUs: 200, CPUsMax: 900, GPUs: 8, GPUsMax: 60}}
		set.Cluster.State = config.State{RPS: 150, WriteRPS: 40, ValueKB: 8, TxnOps: 32}
		kinds := []wire.MachineType{
			{Name: "c4", Cores: 4, MemGB: 32, Rate: 0.3, MarketPrice: 0.1, StartupS: 15, PullGBPerS: 0.5, Zones: zones},
			{Name: "g32", Cores: 32, Accelerators: 4, MemGB: 256, Rate: 11, MarketPrice: 4, StartupS: 30, PullGBPerS: 0.2, Zones: zones},
		}
		w := New(set, kinds, 3, 1)
		for i := range 30 {
			w.AddMachine(kinds[i%2], zones[i%3], false, 0)
		}
		for i := range 3 {
			w.Start(i)
		}
		for n := range 60 {
			spec, run := job(n, []int{0, 3, 0, 1}[n%4])
			if spec.Shape == wire.ShapeArray {
				spec.Tasks = 20 + n
			}
			w.At(time.Duration(n*300)*time.Millisecond, func() { w.Submit(spec, run+10*time.Second) })
		}
		w.Run(30 * time.Second)
		if len(w.Broken) > 0 {
			b.Fatal(w.Broken[0])
		}
	}
}

// BenchmarkGrown is half a minute of five controllers with some 1,500 machines,
// 400 services and an array a second: where work that grows with the fleet
// shows. Profile it with -cpuprofile, focused on core.
func BenchmarkGrown(b *testing.B) {
	for b.Loop() {
		set := settings()
		set.Cluster.Teams = nil
		for i := range 8 {
			set.Cluster.Teams = append(set.Cluster.Teams, config.Team{Name: fmt.Sprint("desk-", i), CPUs: 1000, CPUsMax: 1800})
		}
		set.Cluster.Workers = config.Workers{ReportS: 10, LeaseS: 45, GangWaitS: 35, GangPeerS: 6, CancelS: 65}
		set.Cluster.State = config.State{RPS: 200, WriteRPS: 50, ValueKB: 8, TxnOps: 12}
		kinds := []wire.MachineType{
			{Name: "c4", Cores: 4, MemGB: 32, Rate: 0.2, MarketPrice: 0.1, StartupS: 15, PullGBPerS: 0.5, Zones: zones},
			{Name: "c8", Cores: 8, MemGB: 32, Rate: 0.36, MarketPrice: 0.1, StartupS: 30, PullGBPerS: 0.2, Zones: zones},
		}
		w := New(set, kinds, 5, 1)
		w.Capacity = 400
		for i := range 1500 {
			w.AddMachine(kinds[i%2], zones[i%3], false, 0)
		}
		for i := range 5 {
			w.Start(i)
		}
		for n := range 430 {
			spec, run := job(n, 1)
			spec.Tasks, spec.MemGB, spec.Apart = []int{3, 4, 16}[n%3], 3.4, true
			at := 2 * time.Second
			if n >= 400 {
				spec, run = job(n, 0)
				spec.Tasks, spec.Cores, spec.MemGB, spec.Class = 25, 4, 13, "parcel"
				at = time.Duration(n-400) * time.Second
			}
			spec.Team = fmt.Sprint("desk-", n%8)
			w.At(at, func() { w.Submit(spec, run+20*time.Second) })
		}
		w.Run(30 * time.Second)
		if len(w.Broken) > 0 {
			b.Fatal(w.Broken[0])
		}
	}
}

// BenchmarkFleet is a minute of three controllers with some 1,900 machines, 240
// services, gangs of up to 16 and arrays of up to 1,200 tasks, half as large
// again as the largest site that was scored. Meanwhile a zone is cut off, 150
// machines hang, and a controller stands still.
func BenchmarkFleet(b *testing.B) {
	for b.Loop() {
		set := settings()
		set.Cluster.Teams = nil
		for i := range 4 {
			set.Cluster.Teams = append(set.Cluster.Teams, config.Team{Name: fmt.Sprint("desk-", i), CPUs: 9000, CPUsMax: 150000, GPUs: 900, GPUsMax: 2500})
		}
		set.Cluster.Workers = config.Workers{ReportS: 5, LeaseS: 26.5, GangWaitS: 45, GangPeerS: 8, CancelS: 51.5}
		set.Cluster.State = config.State{RPS: 300, WriteRPS: 70, ValueKB: 8, TxnOps: 32}
		set.Cluster.Quota = config.Quota{CoreShare: 0.3, MemMB: 320, Sockets: 2600}
		kinds := []wire.MachineType{
			{Name: "c4", Cores: 4, MemGB: 32, Rate: 0.31, MarketPrice: 0.1, StartupS: 15, PullGBPerS: 0.8, Zones: zones},
			{Name: "c16", Cores: 16, MemGB: 64, Rate: 1.1, MarketPrice: 0.4, StartupS: 30, PullGBPerS: 0.2, Zones: zones},
			{Name: "g32", Cores: 32, Accelerators: 4, MemGB: 256, Rate: 11, MarketPrice: 4, StartupS: 35, PullGBPerS: 0.2, Zones: zones},
		}
		w := New(set, kinds, 3, 1)
		w.Capacity = 250
		for i := range 1860 {
			w.AddMachine(kinds[[]int{0, 2, 1, 0, 2, 2}[i%6]], zones[i%3], false, 0)
		}
		for i := range 3 {
			w.Start(i)
		}
		for n := range 420 {
			spec, run := job(n, []int{1, 1, 1, 1, 2, 0, 3}[n%7])
			spec.Team = fmt.Sprint("desk-", n%4)
			at := time.Duration(n) * 80 * time.Millisecond
			switch spec.Shape {
			case wire.ShapeService:
				spec.Tasks, spec.MemGB, spec.Apart, spec.Image = []int{3, 6, 8, 9}[n/7%4], 3, true, fmt.Sprint("desk-", n%12)
			case wire.ShapeGang:
				spec.Tasks, spec.Cores, spec.Accelerators, spec.MemGB, spec.Together = 1<<(n/7%5), 28, 4, 200, true
				spec.Image, run = fmt.Sprint("model-", n%16), 150*time.Second
			default:
				spec.Tasks, spec.Image, run = 150+n*2, fmt.Sprint("survey-", n%10), 25*time.Second
			}
			w.At(2*time.Second+at, func() { w.Submit(spec, run) })
		}
		w.At(20*time.Second, func() { w.CutOff(zones[1], 1, 20*time.Second) })
		w.At(25*time.Second, func() {
			for _, m := range w.machines[:150] {
				m.hung = true
				w.At(20*time.Second, m.resume)
			}
		})
		w.At(35*time.Second, func() { w.Freeze(0, 15*time.Second) })
		w.Run(60 * time.Second)
		if len(w.Broken) > 0 {
			b.Fatal(w.Broken[0])
		}
	}
}

// BenchmarkFlood is half a minute of five controllers with 1,500 full machines and
// fifty jobs of one task a second: what is done for each waiting job in every pass
// shows here.
func BenchmarkFlood(b *testing.B) {
	for b.Loop() {
		set := settings()
		set.Cluster.Teams = []config.Team{{Name: "desk", CPUs: 8000, CPUsMax: 9000}, {Name: "guest"}}
		set.Cluster.Workers = config.Workers{ReportS: 10, LeaseS: 45, GangWaitS: 35, GangPeerS: 6, CancelS: 65}
		set.Cluster.State = config.State{RPS: 200, WriteRPS: 50, ValueKB: 8, TxnOps: 12}
		kinds := []wire.MachineType{{Name: "c4", Cores: 4, MemGB: 32, Rate: 0.2, MarketPrice: 0.1, StartupS: 15, PullGBPerS: 0.5, Zones: zones}}
		w := New(set, kinds, 5, 1)
		w.Capacity = 0
		for i := range 1500 {
			w.AddMachine(kinds[0], zones[i%3], false, 0)
		}
		for i := range 5 {
			w.Start(i)
		}
		for n := range 1500 {
			spec, _ := job(n, 0)
			spec.Team, spec.Tasks, spec.Cores, spec.Rank = "guest", 1, 0.25, wire.RankBestEffort
			w.At(2*time.Second+time.Duration(n)*20*time.Millisecond, func() { w.Submit(spec, 100*time.Second) })
		}
		w.Run(40 * time.Second)
		if len(w.Broken) > 0 {
			b.Fatal(w.Broken[0])
		}
	}
}
