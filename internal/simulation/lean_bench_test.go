package simulation

import (
	"testing"
	"time"

	"lilacrill/internal/config"
)

// BenchmarkLean is a minute of three controllers with a twentieth of a core each,
// 720 machines, 60 services, and gangs and arrays that come all the time: an ordinary
// minute of a small share. Profile it with -cpuprofile, focused on core.
func BenchmarkLean(b *testing.B) {
	benchmarkCluster(b, time.Minute, func() *Cluster { return smallShareCluster(720, 3, 0.054) })
}

func smallShareCluster(machines, controllers int, share float64) *Cluster {
	settings := testSettings()
	settings.Cluster.Teams = teamsAlike(4, config.Team{CPUs: 1500, CPUsMax: 6000, GPUs: 150, GPUsMax: 600})
	settings.Cluster.Workers = config.Workers{ReportS: 5, LeaseS: 26.5, GangWaitS: 45, GangPeerS: 8, CancelS: 51.5}
	settings.Cluster.State = config.State{RPS: 300, WriteRPS: 70, ValueKB: 8, TxnOps: 32}
	settings.Cluster.Quota = config.Quota{CoreShare: share, MemMB: 114, Sockets: 1500}
	cluster := clusterSetup{settings: settings, types: mixedTypes(), pattern: mixedPattern, controllers: controllers, machines: machines, capacity: 100}.start()
	for n := range 160 {
		spec, run := mixedJob(n, []int{1, 1, 2, 0, 3, 0, 2}[n%7], 20+n, 50*time.Second)
		cluster.At(2*time.Second+time.Duration(n)*300*time.Millisecond, func() { cluster.Submit(spec, run) })
	}
	return cluster
}
