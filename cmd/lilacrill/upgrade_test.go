package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/admin"
	"lilacrill/internal/config"
	"lilacrill/internal/controller"
	"lilacrill/internal/record"
	"lilacrill/internal/simulation"
	"lilacrill/wire"
)

// upgradeLoad is the size of the cluster that is upgraded in CI.
var upgradeLoad = loadSize{controllers: 3, workers: 60, services: 6, zones: []string{"a", "b", "c"}, reportS: 1, leaseS: 20, cancelS: 40,
	quota: config.Quota{CoreShare: 1, MemMB: 200, Sockets: 1000}, writeRPS: 100, arrayInterval: 400 * time.Millisecond, arrayTasks: 40, teamLimit: 40}

// upgradedCluster is a cluster whose controllers are upgraded under load.
type upgradedCluster struct {
	*loadCluster
	older, newer build
	rand         *rand.Rand
	upgraded     map[int]bool
}

// olderFeatures writes the features file of a controller that reads only the first format, and
// returns its path.
func olderFeatures(t testing.TB) string { return writeFeatures(t, "[rollout]\nnewest_format = 1\n") }

// writeFeatures writes a features file and returns its path.
func writeFeatures(t testing.TB, text string) string {
	path := filepath.Join(t.TempDir(), "features.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// awaitExit waits for a controller to exit by itself with an error and returns its exit status.
func (u *upgradedCluster) awaitExit(i int) int {
	ended := make(chan error, 1)
	go func() { ended <- u.processes[i].Wait() }()
	select {
	case err := <-ended:
		var exit *exec.ExitError
		require.True(u.tb, errors.As(err, &exit), "%v", err)
		return exit.ExitCode()
	case <-time.After(testTimeout):
		require.Fail(u.tb, "the controller did not exit in time")
		return 0
	}
}

// requireOneTrace requires exactly one trace that contains, for each controller, the spans from its
// registration until the later format was in force.
func requireOneTrace(t *testing.T, path string, controllers int) {
	file, err := os.Open(path)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, file.Close()) })
	names := map[string]map[string]bool{} // names of spans, by trace and controller
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var span struct {
			Name        string
			SpanContext struct{ TraceID string }
			Resource    []struct {
				Key   string
				Value struct{ Value any }
			}
		}
		require.NoError(t, json.Unmarshal(lines.Bytes(), &span), "%s", lines.Text())
		for _, r := range span.Resource {
			if r.Key == "service.instance.id" {
				key := span.SpanContext.TraceID + " " + fmt.Sprint(r.Value.Value)
				if names[key] == nil {
					names[key] = map[string]bool{}
				}
				names[key][span.Name] = true
			}
		}
	}
	require.NoError(t, lines.Err())
	complete := map[string]int{} // number of controllers with all spans, by trace
	for key, seen := range names {
		if seen[string(controller.RolloutRegistered)] && seen[string(controller.RolloutReady)] && seen[string(controller.RolloutInForce)] {
			complete[strings.Fields(key)[0]]++
		}
	}
	require.Len(t, complete, 1)
	for _, n := range complete {
		require.Equal(t, controllers, n)
	}
}

func startUpgradedCluster(t testing.TB, size loadSize, older build, seed uint64) *upgradedCluster {
	size.build = older
	u := &upgradedCluster{loadCluster: startLoadCluster(t, size), older: older, rand: rand.New(rand.NewPCG(seed, 1)), upgraded: map[int]bool{}}
	u.submitServices()
	return u
}

// submitJobs submits arrays and gangs, and cancels some, until stop is closed.
func (u *upgradedCluster) submitJobs(stop <-chan struct{}, runtimeSpread time.Duration) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-u.ctx.Done():
			return
		case <-time.After(u.size.arrayInterval):
		}
		spec := u.newArrayJob(1 + n%u.size.arrayTasks)
		if n%4 == 3 {
			spec.Shape, spec.Priority, spec.Tasks = wire.ShapeGang, wire.PriorityHigh, 1+n%3
		}
		spec.Zone = []string{"", "", u.size.zones[0]}[n%3]
		u.startUser(spec, time.Second+time.Duration(n%7)*runtimeSpread/7)
		if n%5 == 2 {
			u.startCancel(spec.ID, time.Duration(n%9)*500*time.Millisecond)
		}
	}
}

// replace kills controller i and starts build b in its place.
func (u *upgradedCluster) replace(i int, b build) {
	u.kill(i)
	time.Sleep(time.Duration(u.rand.IntN(1000)) * time.Millisecond)
	u.builds[i] = b
	u.upgraded[i] = b == u.newer
	u.start(i)
}

// freeze stops the process of a controller for the duration d, as on a stalled machine.
func (u *upgradedCluster) freeze(i int, d time.Duration) {
	p := u.processes[i].Process
	require.NoError(u.tb, p.Signal(syscall.SIGSTOP))
	time.Sleep(d)
	require.NoError(u.tb, p.Signal(syscall.SIGCONT))
}

// randomStep upgrades, rolls back, kills or freezes a random controller and returns a description of
// the step.
func (u *upgradedCluster) randomStep() string {
	i := u.rand.IntN(u.size.controllers)
	switch u.rand.IntN(5) {
	case 0, 1:
		u.replace(i, u.newer)
		return fmt.Sprint("upgraded ", i)
	case 2:
		u.replace(i, u.older)
		return fmt.Sprint("rolled back ", i)
	case 3:
		u.replace(i, u.builds[i])
		return fmt.Sprint("killed ", i)
	default:
		u.freeze(i, time.Second+time.Duration(u.rand.IntN(6))*time.Second)
		return fmt.Sprint("froze ", i)
	}
}

// activate requests the activation of the compressed format from a controller.
func (u *upgradedCluster) activate(i int) error {
	client := admin.NewClient(u.addrs[i], loadToken)
	current, err := decodeView[wire.AdminRollout](client, wire.ViewRollout)
	if err != nil {
		return err
	}
	format := record.FormatCompressed
	_, err = client.ChangeRollout(wire.AdminRolloutChange{Version: current.Version, Activate: &format})
	return err
}

// activateWhenReady repeats the activation of the compressed format until it succeeds, which
// requires that all controllers are ready for the format.
func (u *upgradedCluster) activateWhenReady() {
	var err error
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if err = u.activate(u.rand.IntN(u.size.controllers)); err == nil {
			return
		}
	}
	require.NoError(u.tb, err)
}

// compressedRecords counts the compressed records in the state store.
func (u *upgradedCluster) compressedRecords() int {
	n := 0
	for _, e := range u.state.Entries(record.RootPrefix) {
		if strings.HasPrefix(string(e.Value), `"`) {
			n++
		}
	}
	return n
}

// finishAndCheck cancels the services, waits until all jobs have finished, and checks the history.
func (u *upgradedCluster) finishAndCheck(t testing.TB) {
	for n := range u.size.services {
		u.startCancel(wire.JobID(fmt.Sprintf("wk-%06d", n+1)), 0)
	}
	finished := make(chan struct{})
	go func() {
		u.users.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-time.After(2 * testTimeout):
		t.Error("some users did not see their job finish in time")
	}
	u.stop()
	require.Empty(t, u.history.Check(u.size.teams(), config.Seconds(u.size.cancelS)))
}

// TestRollingUpgrade runs controller processes on loopback addresses under load. It upgrades, rolls
// back, kills and freezes them in an order drawn from a seed, and then brings the later format into
// force. No job may be lost, run twice or misplaced, and an older process that starts after the
// activation must exit with exitFormatUnreadable.
func TestRollingUpgrade(t *testing.T) {
	u := startUpgradedCluster(t, upgradeLoad, build{features: olderFeatures(t)}, 1)
	spans := filepath.Join(t.TempDir(), "spans.jsonl")
	u.newer = build{features: writeFeatures(t, fmt.Sprintf("[tracing]\nfile = %q\n", spans))}
	stop := make(chan struct{})
	u.users.Go(func() { u.submitJobs(stop, 8*time.Second) })
	for range 8 {
		t.Log(u.randomStep())
		if !u.allUpgraded() {
			require.Error(t, u.activate(u.rand.IntN(u.size.controllers)))
		}
		require.Zero(t, u.compressedRecords(), "the later format is dormant")
	}
	u.upgradeRest()
	u.activateWhenReady()
	u.freeze(1, 7*time.Second)
	require.Eventually(t, func() bool { return u.compressedRecords() > 0 }, testTimeout, 100*time.Millisecond)

	u.replace(2, u.older)
	require.Equal(t, exitFormatUnreadable, u.awaitExit(2))
	u.replace(2, u.newer)
	time.Sleep(3 * time.Second)
	close(stop)
	u.finishAndCheck(t)
	requireOneTrace(t, spans, u.size.controllers)
	t.Logf("%d starts, %d tasks done", u.history.Count(simulation.TaskStarted), u.history.Count(simulation.TaskCompleted))
}

// allUpgraded reports whether all controllers run the newer build.
func (u *upgradedCluster) allUpgraded() bool {
	for i := range u.size.controllers {
		if !u.upgraded[i] {
			return false
		}
	}
	return true
}
