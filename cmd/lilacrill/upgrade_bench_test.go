package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/internal/simulation"
)

// previousProgramVariable is the environment variable with the path of a program that was built from
// an earlier release.
const previousProgramVariable = "LILACRILL_PREVIOUS"

// BenchmarkUpgradeFromPrevious upgrades controllers of an earlier release, rolls them back and
// upgrades them again, at random and under load. The later format must not come into force while a
// controller of the earlier release runs, although that release does not know the format. Run it
// with -benchtime=1x and the path of the earlier program in LILACRILL_PREVIOUS.
func BenchmarkUpgradeFromPrevious(b *testing.B) {
	previous := os.Getenv(previousProgramVariable)
	require.NotEmpty(b, previous, previousProgramVariable)
	for b.Loop() {
		for seed := range uint64(3) {
			u := startUpgradedCluster(b, upgradeLoad, build{program: previous}, seed)
			stop := make(chan struct{})
			u.users.Go(func() { u.submitJobs(stop, 8*time.Second) })
			refused := 0
			for range 8 {
				b.Log(u.randomStep())
				if !u.allUpgraded() {
					require.Error(b, u.activate(u.rand.IntN(u.size.controllers)))
					refused++
				}
				require.Zero(b, u.compressedRecords())
			}
			u.upgradeRest()
			u.activateWhenReady()
			time.Sleep(5 * time.Second)
			require.Positive(b, u.compressedRecords())
			close(stop)
			u.finishAndCheck(b)
			fmt.Printf("seed %d: %d activations refused, %d starts, %d tasks done, no rule broken\n", seed, refused, u.history.Count(simulation.TaskStarted), u.history.Count(simulation.TaskCompleted))
		}
	}
}

// upgradeRest upgrades the controllers that still run the older build.
func (u *upgradedCluster) upgradeRest() {
	for i := range u.size.controllers {
		if !u.upgraded[i] {
			u.replace(i, u.newer)
		}
	}
}

// largeUpgradeLoad is the size of a cluster of five controllers with 4,000 workers.
var largeUpgradeLoad = loadSize{controllers: 5, workers: 4000, services: 300, zones: []string{"a", "b", "c", "d"}, reportS: 5, leaseS: 45, cancelS: 65,
	quota: config.Quota{CoreShare: 0.5, MemMB: 400, Sockets: 8000}, writeRPS: 100, arrayInterval: time.Second, arrayTasks: 80}

// BenchmarkRollingUpgrade measures the latencies that users see during a rolling upgrade of five
// controllers with 4,000 workers, and compares them with a period of the same length without an
// upgrade. It writes a plot to the directory that LILACRILL_LOAD_OUT names. Run it with
// -benchtime=1x.
func BenchmarkRollingUpgrade(b *testing.B) {
	for b.Loop() {
		u := startUpgradedCluster(b, largeUpgradeLoad, build{features: olderFeatures(b)}, 1)
		time.Sleep(settleTime)
		stop := make(chan struct{})
		u.users.Go(func() { u.submitJobs(stop, 20*time.Second) })
		time.Sleep(settleTime)

		u.takeUserLatency(time.Now())
		from := time.Now()
		time.Sleep(phaseTime)
		quiet := u.takeUserLatency(from)

		from = time.Now()
		for i := range u.size.controllers {
			u.replace(i, u.newer)
			u.awaitHealthy(i)
		}
		fmt.Printf("five controllers replaced after %v\n", time.Since(from).Round(time.Millisecond))
		u.activateWhenReady()
		took := time.Since(from)
		fmt.Printf("format in force after %v\n", took.Round(time.Millisecond))
		time.Sleep(max(0, phaseTime-took))
		upgraded := u.takeUserLatency(from)

		quiet.print("quiet")
		upgraded.print("upgrade")
		fmt.Printf("%d compressed records of %d\n", u.compressedRecords(), len(u.state.Entries(record.RootPrefix)))
		if out := os.Getenv(outDirVariable); out != "" {
			plotUserLatency(b, filepath.Join(out, "rolling-upgrade.png"), quiet, upgraded)
		}
		close(stop)
		u.finishAndCheck(b)
	}
}

// awaitHealthy waits until the health check of a controller succeeds.
func (u *upgradedCluster) awaitHealthy(i int) {
	require.Eventually(u.tb, func() bool {
		resp, err := http.Get("http://" + u.addrs[i] + "/up")
		if err != nil {
			return false
		}
		require.NoError(u.tb, resp.Body.Close())
		return resp.StatusCode == http.StatusOK
	}, testTimeout, 20*time.Millisecond)
}

// userLatency holds the latencies that users saw in a period, and the number of requests that failed
// in it.
type userLatency struct {
	submissions, polls, starts          *hdrhistogram.Histogram
	pollsUnanswered, submissionsRefused int64
}

// takeUserLatency returns the latencies of the period that began at the time from, and starts a new
// period.
func (u *upgradedCluster) takeUserLatency(from time.Time) userLatency {
	starts := &latencyHistogram{}
	for _, d := range u.history.StartDelays(from, time.Now()) {
		starts.record(d)
	}
	return userLatency{submissions: u.submissionLatency.take(), polls: u.pollLatency.take(), starts: starts.take(),
		pollsUnanswered: u.pollsUnanswered.Swap(0), submissionsRefused: u.submissionsRefused.Swap(0)}
}

// each calls f for each histogram.
func (u userLatency) each(f func(name string, h *hdrhistogram.Histogram)) {
	f("submissions", u.submissions)
	f("polls", u.polls)
	f("starts", u.starts)
}

func (u userLatency) print(phase string) {
	u.each(func(name string, h *hdrhistogram.Histogram) {
		ms := func(percentile float64) float64 { return float64(h.ValueAtQuantile(percentile)) / 1000 }
		fmt.Printf("%-8s %-12s %6d; ms at 50, 90, 99, 99.9 %%: %.1f, %.1f, %.1f, %.1f; most %.1f\n", phase, name, h.TotalCount(),
			ms(50), ms(90), ms(99), ms(99.9), float64(h.Max())/1000)
	})
	fmt.Printf("%-8s polls without an answer %d, submissions repeated %d\n", phase, u.pollsUnanswered, u.submissionsRefused)
}

// plotUserLatency plots the latencies of both phases by percentile, in milliseconds on a logarithmic
// scale.
func plotUserLatency(b testing.TB, path string, quiet, upgraded userLatency) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Rolling upgrade of %d controllers, %d workers", largeUpgradeLoad.controllers, largeUpgradeLoad.workers)
	p.X.Label.Text, p.Y.Label.Text = "percentile", "ms"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for _, phase := range []struct {
		name string
		userLatency
	}{{"quiet", quiet}, {"upgrade", upgraded}} {
		phase.each(func(name string, h *hdrhistogram.Histogram) {
			var points plotter.XYs
			for percentile := 1.0; percentile <= 100; percentile++ {
				points = append(points, plotter.XY{X: percentile, Y: max(0.1, float64(h.ValueAtQuantile(percentile))/1000)})
			}
			lines = append(lines, name+", "+phase.name, points)
		})
	}
	require.NoError(b, plotutil.AddLines(p, lines...))
	require.NoError(b, p.Save(18*vg.Centimeter, 12*vg.Centimeter, path))
}
