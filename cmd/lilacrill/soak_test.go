package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/simulation"
)

// Flags of the soak, to be given after the package: go test ./cmd/lilacrill -run TestSoak -args ...
var (
	soakSeeds    = flag.String("soak.seeds", "1", "the seeds of the soak, as `FIRST-LAST` or one number")
	soakWorkers  = flag.Int("soak.workers", 0, "the `number` of workers; 0: by the seed, 60 to 400")
	soakParallel = flag.Int("soak.parallel", 1, "how many seeds run at once")
	soakFaultsS  = flag.Float64("soak.faults", 25, "how long faults are injected, in `seconds`")
)

const (
	// waitingLimit is the longest time, once all faults are over, for which a job waits while a
	// machine that fits has room.
	waitingLimit = 90 * time.Second
	// soakSettle is the time after the faults until the end of the soak. It is longer than both
	// limits, with a margin for the last question.
	soakSettle = waitingLimit + 5*time.Second
	// soakFinish is the time in which services are cancelled and all jobs end after that.
	soakFinish = 60 * time.Second

	// soakWorkersPerReportS is the number of workers for each second between two heartbeats of a
	// worker, above the shortest interval of a second.
	soakWorkersPerReportS = 800
	// soakLeaseS is the lease, in seconds, beyond three heartbeat intervals, and soakCancelS how much
	// longer than the lease a cancelled task may stay.
	soakLeaseS, soakCancelS = 9, 20

	maxSoakSeeds    = 10_000
	maxSoakWorkers  = 4000
	maxSoakParallel = 16
	maxSoakFaultsS  = 3600
)

// soakSettings are the checked flags of the soak.
type soakSettings struct {
	first, last       uint64
	workers, parallel int
	faults            time.Duration
}

// parseSoakSettings checks the flags of the soak. The error names the flag that is wrong.
func parseSoakSettings(seeds string, workers, parallel int, faultsS float64) (soakSettings, error) {
	settings := soakSettings{workers: workers, parallel: parallel, faults: config.Seconds(faultsS)}
	first, last, isRange := strings.Cut(seeds, "-")
	if !isRange {
		last = first
	}
	var err, lastErr error
	settings.first, err = strconv.ParseUint(first, 10, 32)
	settings.last, lastErr = strconv.ParseUint(last, 10, 32)
	switch {
	case err != nil || lastErr != nil || settings.last < settings.first || settings.last-settings.first >= maxSoakSeeds:
		return settings, fmt.Errorf("-soak.seeds: %q is not a number or a range FIRST-LAST of at most %d seeds", seeds, maxSoakSeeds)
	case workers < 0 || workers > maxSoakWorkers:
		return settings, fmt.Errorf("-soak.workers: %d is not between 0 and %d", workers, maxSoakWorkers)
	case parallel < 1 || parallel > maxSoakParallel:
		return settings, fmt.Errorf("-soak.parallel: %d is not between 1 and %d", parallel, maxSoakParallel)
	case !(faultsS >= 1 && faultsS <= maxSoakFaultsS):
		return settings, fmt.Errorf("-soak.faults: %v is not between 1 and %d", faultsS, maxSoakFaultsS)
	}
	return settings, nil
}

// TestSoakRefusesBadFlags checks that a wrong flag of the soak is refused by its name.
func TestSoakRefusesBadFlags(t *testing.T) {
	for _, c := range []struct {
		seeds             string
		workers, parallel int
		faultsS           float64
		flag              string
	}{
		{"x", 0, 1, 25, "-soak.seeds"},
		{"5-2", 0, 1, 25, "-soak.seeds"},
		{"1-99999", 0, 1, 25, "-soak.seeds"},
		{"1", -1, 1, 25, "-soak.workers"},
		{"1", 4001, 1, 25, "-soak.workers"},
		{"1", 0, 0, 25, "-soak.parallel"},
		{"1", 0, 1, 0, "-soak.faults"},
	} {
		_, err := parseSoakSettings(c.seeds, c.workers, c.parallel, c.faultsS)
		require.ErrorContains(t, err, c.flag)
	}
	settings, err := parseSoakSettings("3-7", 200, 4, 40)
	require.NoError(t, err)
	require.Equal(t, soakSettings{first: 3, last: 7, workers: 200, parallel: 4, faults: 40 * time.Second}, settings)
}

// TestSoak injects random faults into real controllers while users submit, poll, cancel and repeat,
// and checks the recorded history against the rules.
func TestSoak(t *testing.T) {
	settings, err := parseSoakSettings(*soakSeeds, *soakWorkers, *soakParallel, *soakFaultsS)
	require.NoError(t, err)
	slots := make(chan struct{}, settings.parallel)
	for seed := settings.first; seed <= settings.last; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			if settings.parallel > 1 {
				t.Parallel()
			}
			slots <- struct{}{}
			defer func() { <-slots }()
			runSoak(t, seed, settings)
		})
	}
}

// soakSize returns the size of the cluster for a seed.
func soakSize(seed uint64, workers int) loadSize {
	random := rand.New(rand.NewPCG(seed, soakStream+1))
	size := loadSize{controllers: []int{3, 3, 5}[random.IntN(3)], zones: []string{"a", "b", "c"}, arrayTasks: 20, linked: true}
	size.workers = []int{60, 60, 90, 150, 400}[random.IntN(5)]
	size.writeRPS = []float64{20, 40, 100}[random.IntN(3)]
	if workers > 0 {
		size.workers = workers
	}
	size.reportS = max(1, float64(size.workers)/soakWorkersPerReportS)
	size.leaseS = soakLeaseS + 3*size.reportS
	size.cancelS = size.leaseS + soakCancelS
	// The workers take nearly all inbound connections of a controller that is left with all of them.
	size.quota = config.Quota{CoreShare: 1, MemMB: 200, Sockets: max(160, size.workers*5/4)}
	size.teamLimit = float64(size.workers)
	return size
}

// runSoak runs the soak of one seed.
func runSoak(t *testing.T, seed uint64, settings soakSettings) {
	size := soakSize(seed, settings.workers)
	schedule := newSoakSchedule(seed, size.controllers, len(size.zones), settings.faults)
	l := startLoadCluster(t, size)
	l.pollInterval.Store(int64(time.Second))
	require.Eventually(t, l.balancer.AllHealthy, testTimeout, 100*time.Millisecond)
	users := &soakUsers{loadCluster: l, random: rand.New(rand.NewPCG(seed, soakStream+2))}
	stop := make(chan struct{})
	l.users.Go(func() { users.submitJobs(stop) })
	l.users.Go(users.askEverywhere)

	injector := &faultInjector{loadCluster: l, random: rand.New(rand.NewPCG(seed, soakStream+3)), active: map[int]soakFault{}, down: map[int]int{}}
	injector.run(schedule)
	quiet := time.Now()
	close(stop)
	l.sleep(soakSettle)
	users.cancelServices()
	l.awaitAllEnded(quiet.Add(soakSettle + soakFinish))
	l.stop()
	l.users.Wait()

	violations := l.history.Check(l.size.teams(), config.Seconds(size.cancelS))
	violations = append(violations, l.history.CheckAnswered(quiet, answerLimit)...)
	violations = append(violations, l.history.CheckWaiting(l.types, l.size.teams(), quiet, waitingLimit)...)
	violations = append(violations, l.loggedErrors(t)...)
	fmt.Printf("seed %d: %d controllers, %d workers, %v writes/s, %d faults; %d jobs, %d tasks started, %d polls, %d unanswered, %d machines terminated, %d health changes; %d violations\n",
		seed, size.controllers, size.workers, size.writeRPS, len(schedule), l.jobs.Load(), l.history.Count(simulation.TaskStarted), l.pollCount.Load(), l.pollsUnanswered.Load(),
		l.history.Count(simulation.MachineTerminated), l.balancer.HealthChanges(), len(violations))
	if len(violations) > 0 {
		l.reportSoakFailure(t, seed, schedule, quiet, violations)
	}
}

// awaitAllEnded waits until all accepted jobs have ended, but not beyond the deadline.
func (l *loadCluster) awaitAllEnded(deadline time.Time) {
	for time.Now().Before(deadline) && len(l.history.OpenJobs()) > 0 {
		l.sleep(100 * time.Millisecond)
	}
}

// keptSoaks numbers the directories of failed soaks.
var keptSoaks atomic.Int64

// reportSoakFailure reports the violations with the seed and the schedule, and keeps the logs of the
// controllers.
func (l *loadCluster) reportSoakFailure(t *testing.T, seed uint64, schedule []soakFault, quiet time.Time, violations []string) {
	kept, err := os.MkdirTemp("", fmt.Sprintf("lilacrill-soak-%d-%d-", seed, keptSoaks.Add(1)))
	require.NoError(t, err)
	require.NoError(t, os.CopyFS(kept, os.DirFS(l.outDir)))
	var faults []string
	for _, fault := range schedule {
		faults = append(faults, fault.String())
	}
	t.Errorf("seed %d, faults over at %s, logs of the controllers in %s\n%s\nfaults:\n%s", seed, quiet.Format(time.RFC3339Nano), kept,
		strings.Join(violations, "\n"), strings.Join(faults, "\n"))
	for i := range l.size.controllers {
		text, err := os.ReadFile(filepath.Join(kept, fmt.Sprintf("node-%d.log", i)))
		require.NoError(t, err)
		t.Logf("log of controller %d:\n%s", i, text)
	}
}
