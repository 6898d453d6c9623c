package standin

import (
	"fmt"
	"testing"
	"time"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// BenchmarkLean is a minute of three controllers with a twentieth of a core each,
// 720 machines, 60 services, and gangs and arrays that come all the time: an ordinary
// minute of a small share. Profile it with -cpuprofile, focused on core.
func BenchmarkLean(b *testing.B) {
	for b.Loop() {
		w := leanWorld(720, 3, 0.054)
		w.Run(60 * time.Second)
		if len(w.Broken) > 0 {
			b.Fatal(w.Broken[0])
		}
	}
}

func leanWorld(machines, controllers int, share float64) *World {
	set := settings()
	set.Cluster.Teams = nil
	for i := range 4 {
		set.Cluster.Teams = append(set.Cluster.Teams, config.Team{Name: fmt.Sprint("desk-", i), CPUs: 1500, CPUsMax: 6000, GPUs: 150, GPUsMax: 600})
	}
	set.Cluster.Workers = config.Workers{ReportS: 5, LeaseS: 26.5, GangWaitS: 45, GangPeerS: 8, CancelS: 51.5}
	set.Cluster.State = config.State{RPS: 300, WriteRPS: 70, ValueKB: 8, TxnOps: 32}
	set.Cluster.Quota = config.Quota{CoreShare: share, MemMB: 114, Sockets: 1500}
	kinds := []wire.MachineType{
		{Name: "c4", Cores: 4, MemGB: 32, Rate: 0.31, MarketPrice: 0.1, StartupS: 15, PullGBPerS: 0.8, Zones: zones},
		{Name: "c16", Cores: 16, MemGB: 64, Rate: 1.1, MarketPrice: 0.4, StartupS: 30, PullGBPerS: 0.2, Zones: zones},
		{Name: "g32", Cores: 32, Accelerators: 4, MemGB: 256, Rate: 11, MarketPrice: 4, StartupS: 35, PullGBPerS: 0.2, Zones: zones},
	}
	w := New(set, kinds, controllers, 1)
	w.Capacity = 100
	for i := range machines {
		w.AddMachine(kinds[[]int{0, 2, 1, 0, 2, 2}[i%6]], zones[i%3], false, 0)
	}
	for i := range controllers {
		w.Start(i)
	}
	for n := range 160 {
		spec, run := job(n, []int{1, 1, 2, 0, 3, 0, 2}[n%7])
		spec.Team = fmt.Sprint("desk-", n%4)
		at := time.Duration(n) * 300 * time.Millisecond
		switch spec.Shape {
		case wire.ShapeService:
			spec.Tasks, spec.MemGB, spec.Apart, spec.Image = []int{3, 6, 8, 9}[n/7%4], 3, true, fmt.Sprint("desk-", n%12)
		case wire.ShapeGang:
			spec.Tasks, spec.Cores, spec.Accelerators, spec.MemGB, spec.Together = 1<<(n/7%5), 28, 4, 200, true
			spec.Image, run = fmt.Sprint("model-", n%16), 50*time.Second
		default:
			spec.Tasks, spec.Image, run = 20+n, fmt.Sprint("survey-", n%10), 25*time.Second
		}
		w.At(2*time.Second+at, func() { w.Submit(spec, run) })
	}
	return w
}
