package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"

	"lilacrill/internal/admin"
	"lilacrill/internal/config"
	"lilacrill/internal/simulation"
	"lilacrill/wire"
)

// loadSize describes the size, the limits and the timing of a cluster under load.
type loadSize struct {
	controllers, workers, services int
	zones                          []string
	reportS, leaseS, cancelS       float64
	quota                          config.Quota
	writeRPS                       float64
	// arrayInterval is the time between two submissions of arrays, each of arrayTasks tasks.
	arrayInterval time.Duration
	arrayTasks    int
	// teamLimit is the number of cores that each team may use. If 0, the limit is far above the
	// capacity of the cluster.
	teamLimit float64
	// build is the build that all controllers are started with.
	build build
	// profiled makes the controllers write profiles.
	profiled bool
	// linked puts a link that can be made faulty between any two processes.
	linked bool
}

// teams returns the teams of the cluster.
func (s loadSize) teams() []config.Team {
	limit := s.teamLimit
	if limit == 0 {
		limit = 30000
	}
	var teams []config.Team
	for n := range 4 {
		teams = append(teams, config.Team{Name: fmt.Sprint("team-", n), CPUs: limit / 20, CPUsMax: limit})
	}
	return teams
}

// loadCluster is a cluster under load. Each controller runs in a process of its own; the workers and
// users run in this process.
type loadCluster struct {
	tb                  testing.TB
	size                loadSize
	outDir              string
	ctx                 context.Context
	stop                context.CancelFunc
	addrs               []string
	configs             []string
	processes           []*exec.Cmd
	phases              []int               // number of the current phase, by controller
	memoryStats         map[int]memoryStats // by process id, at the end of the last phase
	workers             *simulation.LoopbackWorkers
	balancer            *simulation.LoadBalancer
	state               *simulation.StoreServer
	history             *simulation.History
	types               []wire.MachineType
	builds              []build // of each controller
	network             *loadNetwork
	jobs                atomic.Int64
	pollInterval        atomic.Int64
	pollCount           atomic.Int64
	submissionsAccepted atomic.Int64
	submissionsRefused  atomic.Int64
	pollsUnanswered     atomic.Int64
	// submissionLatency includes the retries of a submission.
	submissionLatency, pollLatency latencyHistogram
	users                          sync.WaitGroup // every goroutine that calls the controllers
}

func startLoadCluster(b testing.TB, size loadSize) *loadCluster {
	l := &loadCluster{tb: b, size: size, outDir: os.Getenv(outDirVariable), memoryStats: map[int]memoryStats{}, history: simulation.NewHistory()}
	if l.outDir == "" {
		l.outDir = b.TempDir()
	}
	if os.Getenv(outDirVariable) == "" {
		b.Cleanup(interruptCleanup.add(func() { _ = os.RemoveAll(filepath.Dir(l.outDir)) }))
	}
	l.pollInterval.Store(int64(defaultPollInterval))
	l.ctx, l.stop = context.WithCancel(context.Background())
	l.types = []wire.MachineType{
		{Name: "c4", Cores: 4, MemGB: 32, OnDemandPrice: 0.3, SpotPrice: 0.1, StartupS: 15, PullGBPerS: 0.8, Zones: size.zones},
		{Name: "c16", Cores: 16, MemGB: 64, OnDemandPrice: 1.1, SpotPrice: 0.4, StartupS: 30, PullGBPerS: 0.2, Zones: size.zones},
	}
	l.state = simulation.NewStoreServer()
	l.state.RecordPlacements(l.history)
	state := httptest.NewServer(l.state)
	cloud := httptest.NewServer(simulation.CloudServer{Types: l.types, Machines: func() []wire.CloudMachine { return l.workers.CloudMachines() },
		Provision: func(request wire.ProvisionRequest) []wire.MachineID { return l.workers.Provision(request) },
		Terminate: func(names []wire.MachineID) { l.workers.Terminate(names) }})
	var peers []string
	for range size.controllers {
		l.addrs, peers = append(l.addrs, freeAddr(b)), append(peers, freeAddr(b))
	}
	l.network = newLoadNetwork(b, size.linked, l.addrs, peers, strings.TrimPrefix(state.URL, "http://"), strings.TrimPrefix(cloud.URL, "http://"))
	var err error
	l.workers, err = simulation.StartLoopbackWorkers(l.ctx, simulation.LoopbackSettings{Controllers: l.network.forWorkers.addrs(), Labels: l.labels(),
		HeartbeatInterval: config.Seconds(size.reportS), Lease: config.Seconds(size.leaseS), Zones: size.zones, Types: l.types, History: l.history}, size.workers)
	require.NoError(b, err)
	for i := range size.controllers {
		l.writeSettings(i, peers)
	}
	l.processes, l.phases, l.builds = make([]*exec.Cmd, size.controllers), make([]int, size.controllers), make([]build, size.controllers)
	for i := range l.builds {
		l.builds[i] = size.build
	}
	b.Cleanup(func() {
		l.stop()
		for i := range l.processes {
			l.kill(i)
		}
		l.users.Wait()
		state.CloseClientConnections()
		state.Close()
		cloud.Close()
		l.network.close()
	})
	for i := range l.processes {
		l.start(i)
	}
	l.keepIdleMachines()
	l.balancer = simulation.StartLoadBalancer(l.ctx, l.network.forUsers.addrs())
	return l
}

// labels returns the labels of the controllers.
func (l *loadCluster) labels() []string {
	var labels []string
	for i := range l.size.controllers {
		labels = append(labels, fmt.Sprint("node-", i))
	}
	return labels
}

func (l *loadCluster) writeSettings(i int, peers []string) {
	settings := config.Settings{Label: fmt.Sprint("node-", i), Zone: l.size.zones[i%len(l.size.zones)], PublicAddr: l.addrs[i], PeerListen: peers[i],
		Services: config.Services{Cloud: l.network.toCloud[i].addr, State: l.network.toState[i].addr},
		Cluster: config.Cluster{Size: l.size.controllers, Zones: l.size.zones, SkewMS: 25,
			Workers: config.Workers{ReportS: l.size.reportS, LeaseS: l.size.leaseS, GangWaitS: 45, GangPeerS: 8, CancelS: l.size.cancelS},
			State:   config.State{RPS: 200, WriteRPS: l.size.writeRPS, ValueKB: 8, TxnOps: 32},
			Cloud:   config.Cloud{RPS: 5, ListLagS: 3}, Quota: l.size.quota}}
	settings.Cluster.Teams = l.size.teams()
	for n, peer := range l.network.toPeers[i] {
		if n != i {
			settings.Siblings = append(settings.Siblings, config.Sibling{Label: fmt.Sprint("node-", n), Zone: l.size.zones[n%len(l.size.zones)], Endpoint: peer.addr})
		}
	}
	text, err := toml.Marshal(settings)
	require.NoError(l.tb, err)
	path := filepath.Join(l.tb.TempDir(), fmt.Sprintf("node-%d.toml", i))
	require.NoError(l.tb, os.WriteFile(path, text, 0o600))
	l.configs = append(l.configs, path)
}

// start starts a controller in a process of its own.
func (l *loadCluster) start(i int) {
	process := l.builds[i].command(l.configs[i])
	process.Env = append(os.Environ(), admin.TokenVariable+"="+loadToken, "LOG_LEVEL=info")
	if l.size.profiled {
		process.Env = append(process.Env, profileVariable+"="+l.outDir)
	} else {
		process.Env = append(process.Env, controllerVariable+"=1")
	}
	log, err := os.OpenFile(filepath.Join(l.outDir, fmt.Sprintf("node-%d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(l.tb, err)
	process.Stderr = log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if the test binary is killed
	require.NoError(l.tb, process.Start())
	require.NoError(l.tb, log.Close()) // the process has its own descriptor
	removeKill := interruptCleanup.add(func() { _ = process.Process.Kill() })
	l.tb.Cleanup(removeKill)
	l.processes[i], l.phases[i] = process, 0
}

// build is the program and the features file that a controller is started with.
type build struct {
	program  string // path; the test binary if empty
	features string // path; no features file if empty
}

// command returns the command that starts a controller with a settings file.
func (b build) command(settings string) *exec.Cmd {
	program := b.program
	if program == "" {
		program = os.Args[0]
	}
	var args []string
	if b.features != "" {
		args = append(args, "--features", b.features)
	}
	return exec.Command(program, append(args, "--config", settings)...)
}

// kill kills a controller without a graceful shutdown.
func (l *loadCluster) kill(i int) {
	if process := l.processes[i]; process != nil {
		_ = process.Process.Kill()
		_ = process.Wait()
		l.processes[i] = nil
	}
}

// keepIdleMachines changes the settings so that idle machines are kept, because the fake cloud
// provisions no others.
func (l *loadCluster) keepIdleMachines() {
	client := admin.NewClient(l.addrs[0], loadToken)
	require.Eventually(l.tb, func() bool {
		_, err := client.ChangeSettings(wire.AdminSettings{Settings: json.RawMessage(`{"idle_s":86400}`)})
		return err == nil
	}, testTimeout, 100*time.Millisecond)
}

// loggedErrors returns the errors that the controllers have logged. Among them are violations of
// invariants.
func (l *loadCluster) loggedErrors(t testing.TB) []string {
	var logged []string
	for i := range l.size.controllers {
		text, err := os.ReadFile(filepath.Join(l.outDir, fmt.Sprintf("node-%d.log", i)))
		require.NoError(t, err)
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, "level=ERROR") || strings.Contains(line, "panic:") {
				logged = append(logged, fmt.Sprintf("controller %d logged: %s", i, strings.TrimSpace(line)))
			}
		}
	}
	return logged
}
