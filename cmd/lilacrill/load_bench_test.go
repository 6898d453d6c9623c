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

// loadSize is a cluster of the load benchmark.
type loadSize struct {
	controllers, workers, services int
	zones                          []string
	reportS, leaseS, cancelS       float64
	quota                          config.Quota
	writeRPS                       float64
	// arrayEvery is the pause between two arrays, each of arrayTasks tasks.
	arrayEvery time.Duration
	arrayTasks int
	// teamLimit is the most cores that each team may use; far more than there are if 0.
	teamLimit float64
	// build is what all controllers start with.
	build build
	// profiled has the controllers write profiles.
	profiled bool
}

// teams is the teams of the cluster.
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

var (
	smallLoad = loadSize{controllers: 3, workers: 720, services: 100, zones: []string{"a", "b", "c"}, reportS: 3, leaseS: 21, cancelS: 46,
		quota: config.Quota{CoreShare: 0.054, MemMB: 114, Sockets: 1500}, writeRPS: 40, arrayEvery: 1500 * time.Millisecond, arrayTasks: 60, profiled: true}
	largeLoad = loadSize{controllers: 5, workers: 2260, services: 400, zones: []string{"a", "b", "c", "d"}, reportS: 5, leaseS: 45, cancelS: 65,
		quota: config.Quota{CoreShare: 0.144, MemMB: 147, Sockets: 5000}, writeRPS: 50, arrayEvery: 1200 * time.Millisecond, arrayTasks: 80, profiled: true}
)

// BenchmarkLoadSmall and BenchmarkLoadLarge run real controllers over loopback, with
// stand-ins for the state service and the cloud, and say what each phase of a load
// costs a controller. The controllers' profiles stay in the folder that
// LILACRILL_LOAD_OUT names, if it is set. Run them with -benchtime=1x.
func BenchmarkLoadSmall(b *testing.B) { benchmarkLoad(b, smallLoad) }

// BenchmarkLoadLarge is the larger of the two.
func BenchmarkLoadLarge(b *testing.B) { benchmarkLoad(b, largeLoad) }

const (
	phaseTime  = 30 * time.Second
	settleTime = 20 * time.Second
	outFolder  = "LILACRILL_LOAD_OUT"
	loadToken  = "load"
)

func benchmarkLoad(b *testing.B, size loadSize) {
	for b.Loop() {
		l := startLoad(b, size)
		l.phase("idle", func() { time.Sleep(phaseTime) })
		l.submitServices()
		time.Sleep(settleTime)
		l.next()
		l.phase("ordinary", func() { l.ordinary(phaseTime) })
		l.phase("burst", func() {
			for range 100 {
				go l.submit(l.arrayJob(8), 10*time.Second)
			}
			time.Sleep(10 * time.Second)
		})
		l.phase("polls", func() {
			l.pollEvery.Store(int64(500 * time.Millisecond))
			l.ordinary(15 * time.Second)
			l.pollEvery.Store(int64(usualPoll))
		})
		l.phase("restart", func() {
			for i := range l.processes {
				l.kill(i)
			}
			time.Sleep(3 * time.Second)
			for i := range l.processes {
				l.start(i)
			}
			l.ordinary(20 * time.Second)
		})
		l.phase("zone and controller lost", func() {
			l.workers.PartitionZone(size.zones[0], true)
			l.kill(0)
			time.Sleep(3 * time.Second)
			l.start(0)
			l.ordinary(20 * time.Second)
		})
		l.stop()
	}
}

// load is a cluster under load.
type load struct {
	b         testing.TB
	size      loadSize
	out       string
	ctx       context.Context
	stop      context.CancelFunc
	addrs     []string
	configs   []string
	processes []*exec.Cmd
	phases    []int                 // of each process
	counts    map[int]processCounts // by process id, at the end of the last phase
	workers   *simulation.LoopbackWorkers
	state     *simulation.StoreServer
	history   *simulation.History
	builds    []build // of each controller
	jobs      atomic.Int64
	pollEvery atomic.Int64
	polls     atomic.Int64
	served    atomic.Int64 // submissions
	refused   atomic.Int64
	// unanswered is the polls without an answer; accepted and answered are how long
	// submissions, with their repeats, and polls took.
	unanswered         atomic.Int64
	accepted, answered latency
	users              sync.WaitGroup
}

func startLoad(b testing.TB, size loadSize) *load {
	l := &load{b: b, size: size, out: os.Getenv(outFolder), counts: map[int]processCounts{}, history: simulation.NewHistory()}
	if l.out == "" {
		l.out = b.TempDir()
	}
	l.pollEvery.Store(int64(usualPoll))
	l.ctx, l.stop = context.WithCancel(context.Background())
	types := []wire.MachineType{
		{Name: "c4", Cores: 4, MemGB: 32, OnDemandPrice: 0.3, SpotPrice: 0.1, StartupS: 15, PullGBPerS: 0.8, Zones: size.zones},
		{Name: "c16", Cores: 16, MemGB: 64, OnDemandPrice: 1.1, SpotPrice: 0.4, StartupS: 30, PullGBPerS: 0.2, Zones: size.zones},
	}
	l.state = simulation.NewStateServer()
	l.state.RecordPlacements(l.history)
	state := httptest.NewServer(l.state)
	cloud := httptest.NewServer(simulation.CloudServer{Types: types, Machines: func() []wire.CloudMachine { return l.workers.CloudMachines() },
		Terminate: func(names []wire.MachineID) { l.workers.Terminate(names) }})
	var peers []string
	for range size.controllers {
		l.addrs, peers = append(l.addrs, freeAddr(b)), append(peers, freeAddr(b))
	}
	var err error
	l.workers, err = simulation.StartLoopbackWorkers(l.ctx, simulation.LoopbackSettings{Controllers: l.addrs,
		HeartbeatInterval: config.Seconds(size.reportS), Zones: size.zones, Types: types, History: l.history}, size.workers)
	require.NoError(b, err)
	for i := range size.controllers {
		l.writeSettings(i, peers, strings.TrimPrefix(state.URL, "http://"), strings.TrimPrefix(cloud.URL, "http://"))
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
	})
	for i := range l.processes {
		l.start(i)
	}
	l.keepMachines()
	return l
}

func (l *load) writeSettings(i int, peers []string, state, cloud string) {
	set := config.Settings{Label: fmt.Sprint("node-", i), Zone: l.size.zones[i%len(l.size.zones)], PublicAddr: l.addrs[i], PeerListen: peers[i],
		Services: config.Services{Cloud: cloud, State: state},
		Cluster: config.Cluster{Size: l.size.controllers, Zones: l.size.zones, SkewMS: 25,
			Workers: config.Workers{ReportS: l.size.reportS, LeaseS: l.size.leaseS, GangWaitS: 45, GangPeerS: 8, CancelS: l.size.cancelS},
			State:   config.State{RPS: 200, WriteRPS: l.size.writeRPS, ValueKB: 8, TxnOps: 32},
			Cloud:   config.Cloud{RPS: 5, ListLagS: 3}, Quota: l.size.quota}}
	set.Cluster.Teams = l.size.teams()
	for n, peer := range peers {
		if n != i {
			set.Siblings = append(set.Siblings, config.Sibling{Label: fmt.Sprint("node-", n), Zone: l.size.zones[n%len(l.size.zones)], Endpoint: peer})
		}
	}
	text, err := toml.Marshal(set)
	require.NoError(l.b, err)
	path := filepath.Join(l.b.TempDir(), fmt.Sprintf("node-%d.toml", i))
	require.NoError(l.b, os.WriteFile(path, text, 0o600))
	l.configs = append(l.configs, path)
}

// start starts a controller as a process of its own.
func (l *load) start(i int) {
	p := l.builds[i].command(l.configs[i])
	p.Env = append(os.Environ(), admin.TokenVariable+"="+loadToken, "LOG_LEVEL=info")
	if l.size.profiled {
		p.Env = append(p.Env, profileVariable+"="+l.out)
	} else {
		p.Env = append(p.Env, controllerVariable+"=1")
	}
	log, err := os.OpenFile(filepath.Join(l.out, fmt.Sprintf("node-%d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(l.b, err)
	defer log.Close()
	p.Stderr = log
	require.NoError(l.b, p.Start())
	l.processes[i], l.phases[i] = p, 0
}

// build is what a controller is started with.
type build struct {
	program  string // the test binary if empty
	features string // no features file if empty
}

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

// kill ends a controller with no time to say anything.
func (l *load) kill(i int) {
	if p := l.processes[i]; p != nil {
		_ = p.Process.Kill()
		_ = p.Wait()
		l.processes[i] = nil
	}
}

// keepMachines has idle machines kept: the stand-in cloud rents out no others.
func (l *load) keepMachines() {
	client := admin.NewClient(l.addrs[0], loadToken)
	require.Eventually(l.b, func() bool {
		_, err := client.Change(wire.AdminSettings{Settings: json.RawMessage(`{"idle_s":86400}`)})
		return err == nil
	}, patient, 100*time.Millisecond)
}

// phase runs a phase of the load and reports what it cost each controller.
func (l *load) phase(name string, run func()) {
	before := l.usage()
	polls, served, refused, from := l.polls.Load(), l.served.Load(), l.refused.Load(), time.Now()
	run()
	took := time.Since(from).Seconds()
	counts := l.next()
	for i, u := range l.usage() {
		if u.pid == before[i].pid {
			u = u.since(before[i])
			counts[i].Allocations -= before[i].counts.Allocations
		}
		fmt.Printf("%-26s node-%d: %5.2f %% of a core (%4.2f s user, %4.2f s system), %6.0f switches/s, %7.0f allocations/s, heap %3.0f MB, resident %3.0f MB, peak %3.0f MB\n",
			name, i, 100*(u.user+u.system)/took, u.user, u.system, u.switches/took, float64(counts[i].Allocations)/took, counts[i].HeapMB, u.residentMB, u.peakMB)
	}
	fmt.Printf("%-26s %.0f s; polls %d, submissions taken %d, refused or failed %d\n", name, took, l.polls.Load()-polls, l.served.Load()-served, l.refused.Load()-refused)
}

// next has the controllers begin profiles for the next phase, and returns their counts.
func (l *load) next() []processCounts {
	counts := make([]processCounts, len(l.processes))
	for i, p := range l.processes {
		require.NoError(l.b, p.Process.Signal(syscall.SIGUSR1))
		path := filepath.Join(l.out, fmt.Sprintf("%d-%d.json", p.Process.Pid, l.phases[i]))
		var text []byte
		require.Eventually(l.b, func() bool {
			var err error
			text, err = os.ReadFile(path)
			return err == nil
		}, patient, 10*time.Millisecond)
		require.NoError(l.b, json.Unmarshal(text, &counts[i]))
		l.phases[i]++
		l.counts[p.Process.Pid] = counts[i]
	}
	return counts
}
