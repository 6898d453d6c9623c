package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// BenchmarkFormats measures a minute of three controllers in each format, with several numbers of
// machines filled by services and arrays. It reports the bytes and values written per second and
// the entries per placement page.
func BenchmarkFormats(b *testing.B) {
	for _, machines := range []int{720, 2260, 4000} {
		for format := record.OldestFormat; format <= record.NewestFormat; format++ {
			b.Run(fmt.Sprintf("machines=%d/format=%d", machines, format), func(b *testing.B) {
				for b.Loop() {
					benchmarkFormat(b, machines, format)
				}
			})
		}
	}
}

func benchmarkFormat(b *testing.B, machines int, format wire.Format) {
	settings := testSettings()
	settings.Cluster.Teams = identicalTeams(4, config.Team{CPUs: float64(machines), CPUsMax: 100000})
	settings.Cluster.Workers = config.Workers{ReportS: 5, LeaseS: 45, GangWaitS: 35, GangPeerS: 6, CancelS: 65}
	settings.Cluster.State = config.State{RPS: 300, WriteRPS: 70, ValueKB: 8, TxnOps: 32}
	settings.Cluster.Quota = config.Quota{CoreShare: 1, MemMB: 400, Sockets: 6000}
	cluster := clusterSetup{settings: settings, types: mixedMachineTypes()[:2], typePattern: []int{0, 1}, controllers: 3, machines: machines, seed: 1}.start()
	cluster.Capacity = 0
	cluster.Run(5 * time.Second)
	if format > record.FormatPlain {
		reply := cluster.changeRollout(0, wire.AdminRolloutChange{Activate: &format})
		cluster.Run(time.Second)
		require.Equal(b, 200, reply.Status)
	}
	clear(cluster.Observed)
	for n := range 60 {
		spec, run := mixedJob(n, []int{1, 0, 0}[n%3], machines/8, 0)
		cluster.At(time.Duration(n)*time.Second, func() { cluster.Submit(spec, run) })
	}
	cluster.Run(60 * time.Second)
	pages, entries := 0, 0
	for _, entry := range cluster.store.List(record.PlacementPrefix) {
		if groups := decodePage(entry.Value).Groups; len(groups) > 0 {
			pages++
			for i := range groups {
				entries += len(groups[i].Machines)
			}
		}
	}
	b.ReportMetric(float64(cluster.Observed[bytesWritten])/60, "bytes/s")
	b.ReportMetric(float64(cluster.Observed[valuesWritten])/60, "values/s")
	b.ReportMetric(float64(entries)/float64(max(1, pages)), "entries/page")
	require.Empty(b, cluster.Violations)
}
