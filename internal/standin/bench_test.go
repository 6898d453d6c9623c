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
