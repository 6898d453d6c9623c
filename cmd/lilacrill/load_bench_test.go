package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
)

var (
	smallLoad = loadSize{controllers: 3, workers: 720, services: 100, zones: []string{"a", "b", "c"}, reportS: 3, leaseS: 21, cancelS: 46,
		quota: config.Quota{CoreShare: 0.054, MemMB: 114, Sockets: 1500}, writeRPS: 40, arrayInterval: 1500 * time.Millisecond, arrayTasks: 60, profiled: true}
	largeLoad = loadSize{controllers: 5, workers: 2260, services: 400, zones: []string{"a", "b", "c", "d"}, reportS: 5, leaseS: 45, cancelS: 65,
		quota: config.Quota{CoreShare: 0.144, MemMB: 147, Sockets: 5000}, writeRPS: 50, arrayInterval: 1200 * time.Millisecond, arrayTasks: 80, profiled: true}
)

// BenchmarkLoadSmall runs controller processes on loopback addresses, with a fake state store and a
// fake cloud, and prints the resources that each controller uses in each phase of the load. The
// controllers' profiles stay in the directory that LILACRILL_LOAD_OUT names, if it is set. Run it
// with -benchtime=1x.
func BenchmarkLoadSmall(b *testing.B) { benchmarkLoad(b, smallLoad) }

// BenchmarkLoadLarge runs the load of BenchmarkLoadSmall on a larger cluster.
func BenchmarkLoadLarge(b *testing.B) { benchmarkLoad(b, largeLoad) }

const (
	phaseTime      = 30 * time.Second
	settleTime     = 20 * time.Second
	outDirVariable = "LILACRILL_LOAD_OUT"
	loadToken      = "load"
)

func benchmarkLoad(b *testing.B, size loadSize) {
	for b.Loop() {
		l := startLoadCluster(b, size)
		l.runPhase("idle", func() { time.Sleep(phaseTime) })
		l.submitServices()
		time.Sleep(settleTime)
		l.startNextPhase()
		l.runPhase("ordinary", func() { l.submitArrays(phaseTime) })
		l.runPhase("burst", func() {
			for range 100 {
				l.startUser(l.newArrayJob(8), 10*time.Second)
			}
			time.Sleep(10 * time.Second)
		})
		l.runPhase("polls", func() {
			l.pollInterval.Store(int64(500 * time.Millisecond))
			l.submitArrays(15 * time.Second)
			l.pollInterval.Store(int64(defaultPollInterval))
		})
		l.runPhase("restart", func() {
			for i := range l.processes {
				l.kill(i)
			}
			time.Sleep(3 * time.Second)
			for i := range l.processes {
				l.start(i)
			}
			l.submitArrays(20 * time.Second)
		})
		l.runPhase("zone and controller lost", func() {
			l.workers.PartitionZone(size.zones[0], true)
			l.kill(0)
			time.Sleep(3 * time.Second)
			l.start(0)
			l.submitArrays(20 * time.Second)
		})
		l.stop()
	}
}

// runPhase runs a phase of the load and prints the resources that each controller used in it.
func (l *loadCluster) runPhase(name string, run func()) {
	before := l.readUsage()
	polls, served, refused, from := l.pollCount.Load(), l.submissionsAccepted.Load(), l.submissionsRefused.Load(), time.Now()
	run()
	took := time.Since(from).Seconds()
	stats := l.startNextPhase()
	for i, usage := range l.readUsage() {
		if usage.pid == before[i].pid {
			usage = usage.since(before[i])
			stats[i].Allocations -= before[i].memory.Allocations
		}
		fmt.Printf("%-26s node-%d: %5.2f %% of a core (%4.2f s user, %4.2f s system), %6.0f switches/s, %7.0f allocations/s, heap %3.0f MB, resident %3.0f MB, peak %3.0f MB\n",
			name, i, 100*(usage.user+usage.system)/took, usage.user, usage.system, usage.switches/took, float64(stats[i].Allocations)/took, stats[i].HeapMB, usage.residentMB, usage.peakMB)
	}
	fmt.Printf("%-26s %.0f s; polls %d, submissions taken %d, refused or failed %d\n", name, took, l.pollCount.Load()-polls, l.submissionsAccepted.Load()-served, l.submissionsRefused.Load()-refused)
}

// startNextPhase makes the controllers start the profiles of the next phase, and returns their
// memory statistics at the end of the previous phase.
func (l *loadCluster) startNextPhase() []memoryStats {
	stats := make([]memoryStats, len(l.processes))
	for i, process := range l.processes {
		require.NoError(l.tb, process.Process.Signal(syscall.SIGUSR1))
		path := filepath.Join(l.outDir, fmt.Sprintf("%d-%d.json", process.Process.Pid, l.phases[i]))
		var text []byte
		require.Eventually(l.tb, func() bool {
			var err error
			text, err = os.ReadFile(path)
			return err == nil
		}, testTimeout, 10*time.Millisecond)
		require.NoError(l.tb, json.Unmarshal(text, &stats[i]))
		l.phases[i]++
		l.memoryStats[process.Process.Pid] = stats[i]
	}
	return stats
}
