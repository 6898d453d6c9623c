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

// previousVariable names a program that was built of an earlier release.
const previousVariable = "LILACRILL_PREVIOUS"

// BenchmarkUpgradeFromPrevious upgrades controllers of an earlier release, rolls them
// back and upgrades them again, at random and under load. What such a release cannot
// know of must keep the later format out until the last of them is gone. Run it with
// -benchtime=1x and the earlier program's path in LILACRILL_PREVIOUS.
func BenchmarkUpgradeFromPrevious(b *testing.B) {
	previous := os.Getenv(previousVariable)
	require.NotEmpty(b, previous, previousVariable)
	for b.Loop() {
		for seed := range uint64(3) {
			u := startUpgrade(b, upgradeLoad, build{program: previous}, seed)
			stop := make(chan struct{})
			go u.keepBusy(stop, 8*time.Second)
			refused := 0
			for range 8 {
				b.Log(u.step())
				if !u.allUpgraded() {
					require.Error(b, u.activate(u.rand.IntN(u.size.controllers)))
					refused++
				}
				require.Zero(b, u.compressed())
			}
			u.upgradeRest()
			u.mustActivate()
			time.Sleep(5 * time.Second)
			require.Positive(b, u.compressed())
			close(stop)
			u.finish(b)
			fmt.Printf("seed %d: %d activations refused, %d starts, %d tasks done, no rule broken\n", seed, refused, u.history.Count(simulation.TaskStarted), u.history.Count(simulation.TaskCompleted))
		}
	}
}

// upgradeRest replaces the controllers that are still older.
func (u *upgrade) upgradeRest() {
	for i := range u.size.controllers {
		if !u.upgraded[i] {
			u.replace(i, u.newer)
		}
	}
}

// wideUpgradeLoad is five controllers with 4,000 workers.
var wideUpgradeLoad = loadSize{controllers: 5, workers: 4000, services: 300, zones: []string{"a", "b", "c", "d"}, reportS: 5, leaseS: 45, cancelS: 65,
	quota: config.Quota{CoreShare: 0.5, MemMB: 400, Sockets: 8000}, writeRPS: 100, arrayEvery: time.Second, arrayTasks: 80}

// BenchmarkRollingUpgrade measures what users notice of a rolling upgrade of five
// controllers at 4,000 workers, against the same time without one. It writes a plot to
// the folder that LILACRILL_LOAD_OUT names. Run it with -benchtime=1x.
func BenchmarkRollingUpgrade(b *testing.B) {
	for b.Loop() {
		u := startUpgrade(b, wideUpgradeLoad, build{features: olderFeatures(b)}, 1)
		time.Sleep(settleTime)
		stop := make(chan struct{})
		go u.keepBusy(stop, 20*time.Second)
		time.Sleep(settleTime)

		u.takeNotice(time.Now())
		from := time.Now()
		time.Sleep(phaseTime)
		quiet := u.takeNotice(from)

		from = time.Now()
		for i := range u.size.controllers {
			u.replace(i, u.newer)
			u.awaitHealthy(i)
		}
		fmt.Printf("five controllers replaced after %v\n", time.Since(from).Round(time.Millisecond))
		u.mustActivate()
		took := time.Since(from)
		fmt.Printf("format in force after %v\n", took.Round(time.Millisecond))
		time.Sleep(max(0, phaseTime-took))
		upgraded := u.takeNotice(from)

		quiet.print("quiet")
		upgraded.print("upgrade")
		fmt.Printf("%d compressed records of %d\n", u.compressed(), len(u.state.Entries(record.RootKey)))
		if out := os.Getenv(outFolder); out != "" {
			plotNotice(b, filepath.Join(out, "rolling-upgrade.png"), quiet, upgraded)
		}
		close(stop)
		u.finish(b)
	}
}

// awaitHealthy waits until a controller takes requests.
func (u *upgrade) awaitHealthy(i int) {
	require.Eventually(u.b, func() bool {
		resp, err := http.Get("http://" + u.addrs[i] + "/up")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, patient, 20*time.Millisecond)
}

// notice is what users notice in a while.
type notice struct {
	submissions, polls, starts *hdrhistogram.Histogram
	unanswered, refused        int64
}

// takeNotice returns what users noticed since a moment.
func (u *upgrade) takeNotice(from time.Time) notice {
	starts := &latency{}
	for _, d := range u.history.StartTimes(from, time.Now()) {
		starts.record(d)
	}
	return notice{submissions: u.accepted.take(), polls: u.answered.take(), starts: starts.take(),
		unanswered: u.unanswered.Swap(0), refused: u.refused.Swap(0)}
}

func (n notice) each(f func(name string, h *hdrhistogram.Histogram)) {
	f("submissions", n.submissions)
	f("polls", n.polls)
	f("starts", n.starts)
}

func (n notice) print(phase string) {
	n.each(func(name string, h *hdrhistogram.Histogram) {
		ms := func(percentile float64) float64 { return float64(h.ValueAtQuantile(percentile)) / 1000 }
		fmt.Printf("%-8s %-12s %6d; ms at 50, 90, 99, 99.9 %%: %.1f, %.1f, %.1f, %.1f; most %.1f\n", phase, name, h.TotalCount(),
			ms(50), ms(90), ms(99), ms(99.9), float64(h.Max())/1000)
	})
	fmt.Printf("%-8s polls without an answer %d, submissions repeated %d\n", phase, n.unanswered, n.refused)
}

// plotNotice draws both phases by percentile, on a logarithmic scale of milliseconds.
func plotNotice(b testing.TB, path string, quiet, upgraded notice) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Rolling upgrade of %d controllers, %d workers", wideUpgradeLoad.controllers, wideUpgradeLoad.workers)
	p.X.Label.Text, p.Y.Label.Text = "percentile", "ms"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for _, phase := range []struct {
		name string
		notice
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
