package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// faultPair is a combination of two faults.
type faultPair struct {
	name string
	// configure changes the settings of the cluster, if it is set.
	configure func(*config.Settings)
	// inject submits jobs and injects the faults within 100 seconds, on a cluster that starts
	// with thirteen machines.
	inject func(cluster *Cluster)
	// minObserved holds the minimum counts, summed over the seeds, that show that the faults
	// have coincided.
	minObserved map[Observation]int
}

// lowerTeamLimits lowers the limits of the teams so that the submitted jobs reach them.
func lowerTeamLimits(settings *config.Settings) {
	for i := range settings.Cluster.Teams {
		settings.Cluster.Teams[i].CPUsMax = 12
	}
}

var faultPairs = []faultPair{
	{name: "delayed commits and provisioner restarts", minObserved: map[Observation]int{unansweredCommit: 15, controllerRestarted: 8}, inject: func(cluster *Cluster) {
		cluster.DelayedCommits = 0.3
		submitMixedJobs(cluster, 60, 4)
		cluster.At(15*time.Second, func() { cluster.restartProvisioner(3 * time.Second) })
		cluster.At(32*time.Second, func() { cluster.restartProvisioner(300 * time.Millisecond) })
		cluster.At(60*time.Second, func() { cluster.DelayedCommits = 0 })
	}},
	{name: "answers of commits lost during bursts of requests", minObserved: map[Observation]int{unansweredCommit: 15, requestBurst: 1000}, inject: func(cluster *Cluster) {
		cluster.DelayedCommits, cluster.LoseAnswersOnly, cluster.RequestBursts = 0.3, true, true
		submitMixedJobs(cluster, 60, 5)
		cluster.At(60*time.Second, func() { cluster.DelayedCommits = 0 })
	}},
	{name: "delayed commits during bursts of requests", minObserved: map[Observation]int{unansweredCommit: 15, requestBurst: 1000}, inject: func(cluster *Cluster) {
		cluster.DelayedCommits, cluster.RequestBursts = 0.2, true
		submitMixedJobs(cluster, 60, 5)
		cluster.At(60*time.Second, func() { cluster.DelayedCommits = 0 })
	}},
	{name: "heartbeats replayed as a provisioner starts", minObserved: map[Observation]int{replayToNewController: 100, controllerRestarted: 12}, inject: func(cluster *Cluster) {
		cluster.ReplayedHeartbeats, cluster.DuplicatedHeartbeats = 0.2, 0.1
		submitMixedJobs(cluster, 60, 4)
		for i := range 3 {
			cluster.At(time.Duration(14+13*i)*time.Second, func() { cluster.restartProvisioner(time.Duration(i) * time.Second) })
		}
		cluster.At(60*time.Second, func() { cluster.ReplayedHeartbeats, cluster.DuplicatedHeartbeats = 0, 0 })
	}},
	{name: "heartbeats of earlier agent epochs replayed as controllers start", minObserved: map[Observation]int{replayOfEarlierEpoch: 20}, inject: func(cluster *Cluster) {
		submitMixedJobs(cluster, 60, 4)
		cluster.At(10*time.Second, func() { cluster.ReplayedHeartbeats = 0.5 })
		cluster.At(20*time.Second, func() {
			for i := range cluster.controllers {
				cluster.restart(i, 20*time.Second) // all controllers are down for longer than a lease
			}
		})
		cluster.At(70*time.Second, func() { cluster.ReplayedHeartbeats = 0 })
	}},
	{name: "cancelled and polled on completion", minObserved: map[Observation]int{cancelledOnCompletion: 100, requestBurst: 1000}, inject: func(cluster *Cluster) {
		cluster.CancelOnCompletion, cluster.RequestBursts = 0.7, true
		submitMixedJobs(cluster, 80, 0)
	}},
	{name: "small jobs, a quarter cancelled", minObserved: map[Observation]int{jobCancelled: 100}, inject: func(cluster *Cluster) {
		submitSmallJobs(cluster, 240)
	}},
	{name: "small jobs, cancelled, bursts of requests, provisioner restarts", minObserved: map[Observation]int{jobCancelled: 50, controllerRestarted: 8}, inject: func(cluster *Cluster) {
		submitSmallJobs(cluster, 200)
		cluster.RequestBursts = true
		cluster.At(20*time.Second, func() { cluster.restartProvisioner(3 * time.Second) })
		cluster.At(36*time.Second, func() { cluster.restartProvisioner(200 * time.Millisecond) })
	}},
	{name: "provisioner partitioned with users and workers, jobs cancelled at another", minObserved: map[Observation]int{jobCancelled: 20, provisionerPartitioned: 4}, inject: func(cluster *Cluster) {
		submitLongJobs(cluster, 10, 21*time.Second)
		cluster.At(20*time.Second, func() {
			n := max(0, cluster.provisioner())
			cluster.Observed[provisionerPartitioned]++
			cluster.PeersPartitioned[n] = true
			for _, machine := range cluster.machines {
				machine.controller = n
			}
			cluster.partitionFromStore(n, 45*time.Second)
			cluster.At(45*time.Second, func() { delete(cluster.PeersPartitioned, n) })
		})
	}},
	{name: "cancelled during failovers", minObserved: map[Observation]int{jobCancelled: 20, controllerRestarted: 8}, inject: func(cluster *Cluster) {
		submitLongJobs(cluster, 10, 20500*time.Millisecond)
		cluster.At(20*time.Second, func() { cluster.restart(0, 6*time.Second) })
		cluster.At(21*time.Second, func() { cluster.restart(1, 400*time.Millisecond) })
	}},
	{name: "at the limit, machines hang on cancellations, provisioner changes", configure: lowerTeamLimits, minObserved: map[Observation]int{machineHungOnCancellation: 8, controllerRestarted: 4, teamAtLimit: 8}, inject: func(cluster *Cluster) {
		cluster.HangOnCancel = 25 * time.Second
		submitLongJobs(cluster, 16, 20*time.Second)
		cluster.At(19*time.Second, cluster.countTeamsAtLimit)
		cluster.At(20500*time.Millisecond, func() { cluster.restartProvisioner(3 * time.Second) })
		cluster.At(45*time.Second, func() { cluster.HangOnCancel = 0 })
	}},
	{name: "at the limit, inbound partitions at cancellations, provisioner changes", configure: lowerTeamLimits, minObserved: map[Observation]int{jobCancelled: 20, controllerRestarted: 4, teamAtLimit: 8}, inject: func(cluster *Cluster) {
		submitLongJobs(cluster, 16, 20*time.Second)
		cluster.At(19*time.Second, func() {
			cluster.countTeamsAtLimit()
			cluster.eachBusyMachine(2, func(machine *fakeMachine) {
				machine.inboundPartitioned = true
				cluster.At(30*time.Second, func() { machine.inboundPartitioned = false })
			})
		})
		cluster.At(20500*time.Millisecond, func() { cluster.restartProvisioner(3 * time.Second) })
	}},
	{name: "at the limit, zone partitioned at cancellations, provisioner changes", configure: lowerTeamLimits, minObserved: map[Observation]int{jobCancelled: 20, controllerRestarted: 4, teamAtLimit: 8}, inject: func(cluster *Cluster) {
		submitLongJobs(cluster, 16, 20*time.Second)
		cluster.At(19*time.Second, func() { cluster.countTeamsAtLimit(); cluster.PartitionZone(zones[0], 2, 35*time.Second) })
		cluster.At(20500*time.Millisecond, func() { cluster.restart(0, 3*time.Second) })
	}},
	{name: "provisioner changes twice, all restart, one at once", minObserved: map[Observation]int{controllerRestarted: 20}, inject: func(cluster *Cluster) {
		submitMixedJobs(cluster, 60, 4)
		cluster.At(12*time.Second, func() { cluster.restartProvisioner(3 * time.Second) })
		cluster.At(20*time.Second, func() { cluster.restartProvisioner(3 * time.Second) })
		cluster.At(30*time.Second, func() {
			for i := range cluster.controllers {
				cluster.restart(i, []time.Duration{400 * time.Millisecond, 4 * time.Second, 9 * time.Second}[i])
			}
		})
	}},
	{name: "provisioner restarts while machines with long tasks hang or are unreachable", minObserved: map[Observation]int{controllerRestarted: 4, machineUnreachable: 8}, inject: func(cluster *Cluster) {
		submitLongJobs(cluster, 10, 30*time.Second)
		cluster.At(20*time.Second, func() {
			cluster.eachBusyMachine(2, func(machine *fakeMachine) {
				cluster.Observed[machineUnreachable]++
				if len(machine.tasks)%2 == 0 {
					machine.hung = true
					cluster.At(9*time.Second, machine.resume)
				} else {
					machine.inboundPartitioned = true
					cluster.At(20*time.Second, func() { machine.inboundPartitioned = false })
				}
			})
			cluster.restartProvisioner(3 * time.Second)
		})
	}},
	{name: "outbound partitions, jobs cancelled", minObserved: map[Observation]int{machineUnreachable: 8, jobCancelled: 20}, inject: func(cluster *Cluster) {
		submitLongJobs(cluster, 10, 21*time.Second)
		cluster.At(20*time.Second, func() {
			cluster.eachBusyMachine(2, func(machine *fakeMachine) {
				cluster.Observed[machineUnreachable]++
				machine.outboundPartitioned = true
				cluster.At(30*time.Second, func() { machine.outboundPartitioned = false })
			})
		})
	}},
	{name: "all controllers down for longer than a lease", minObserved: map[Observation]int{controllerRestarted: 12, jobCancelled: 10}, inject: func(cluster *Cluster) {
		submitMixedJobs(cluster, 60, 4)
		cluster.At(20*time.Second, func() {
			for i := range cluster.controllers {
				cluster.restart(i, cluster.Lease+5*time.Second+time.Duration(i)*400*time.Millisecond)
			}
		})
	}},
	{name: "provisioner changes ten times, also in an outage", minObserved: map[Observation]int{controllerRestarted: 40, jobCancelled: 20}, inject: func(cluster *Cluster) {
		submitMixedJobs(cluster, 80, 4)
		for i := range 10 {
			cluster.At(time.Duration(10+8*i)*time.Second, func() { cluster.restartProvisioner(time.Duration(200+700*(i%4)) * time.Millisecond) })
		}
		cluster.At(40*time.Second, func() { cluster.injectStoreOutage(25 * time.Second) })
	}},
	{name: "zone partitioned with a controller", minObserved: map[Observation]int{jobCancelled: 20}, inject: func(cluster *Cluster) {
		submitMixedJobs(cluster, 60, 3)
		cluster.At(15*time.Second, func() { cluster.PartitionZone(zones[1], 1, cluster.Lease+20*time.Second) })
	}},
	{name: "completions far apart across provisioner changes", minObserved: map[Observation]int{controllerRestarted: 12}, inject: func(cluster *Cluster) {
		for n := range 12 {
			spec, _ := testJob(n, 0)
			spec.Tasks = 2 + n%2
			cluster.At(2*time.Second, func() {
				cluster.SubmitWithRuntimes(spec, func(i int) time.Duration { return time.Duration(5+25*i) * time.Second })
			})
		}
		for i := range 3 {
			cluster.At(time.Duration(10+10*i)*time.Second, func() { cluster.restartProvisioner(3 * time.Second) })
		}
	}},
	{name: "more work than capacity over slow links", minObserved: map[Observation]int{jobCancelled: 20}, inject: func(cluster *Cluster) {
		cluster.StoreDelay, cluster.MessageLoss = 700*time.Millisecond, 0.02
		submitMixedJobs(cluster, 120, 4)
		cluster.At(70*time.Second, func() { cluster.StoreDelay, cluster.MessageLoss = 0, 0 })
	}},
	{name: "store slow, then partitioned, then unavailable, while users cancel", minObserved: map[Observation]int{jobCancelled: 20}, inject: func(cluster *Cluster) {
		cluster.RequestBursts = true
		submitLongJobs(cluster, 12, 24*time.Second)
		cluster.At(15*time.Second, func() { cluster.StoreDelay = 600 * time.Millisecond })
		cluster.At(23*time.Second, func() {
			cluster.StoreDelay = 0
			cluster.partitionFromStore(max(0, cluster.provisioner()), 20*time.Second)
		})
		cluster.At(25200*time.Millisecond, func() { cluster.injectStoreOutage(cluster.CancelTimeout + 8*time.Second) })
	}},
	{name: "jobs of one zone lose machines", minObserved: map[Observation]int{machineDied: 8}, inject: func(cluster *Cluster) {
		for n := range 24 {
			spec, run := testJob(n, 7)
			cluster.At(time.Duration(2+n/2)*time.Second, func() { cluster.Submit(spec, run+10*time.Second) })
		}
		for i := range 3 {
			cluster.At(time.Duration(8+6*i)*time.Second, func() {
				for _, machine := range cluster.machines {
					if len(machine.tasks) > 0 && !machine.terminated {
						cluster.Observed[machineDied]++
						machine.terminate()
						break
					}
				}
			})
		}
	}},
	{name: "commands and answers delayed", minObserved: map[Observation]int{jobCancelled: 20}, inject: func(cluster *Cluster) {
		// Direct calls are delayed at this rate. Of the heartbeats and users' requests that
		// are affected, half are lost and half are delayed.
		cluster.MessageLoss = 0.15
		submitMixedJobs(cluster, 60, 4)
		cluster.At(60*time.Second, func() { cluster.MessageLoss = 0 })
	}},
	{name: "machines join at once, commits lag, provisioner restarts", minObserved: map[Observation]int{unansweredCommit: 12, controllerRestarted: 8}, inject: func(cluster *Cluster) {
		cluster.ProvisioningDelay = func(string, string) time.Duration { return time.Second }
		cluster.DelayedCommits, cluster.StoreDelay = 0.2, 300*time.Millisecond
		submitMixedJobs(cluster, 60, 4)
		cluster.At(9*time.Second, func() { cluster.restartProvisioner(3 * time.Second) })
		cluster.At(22*time.Second, func() { cluster.restartProvisioner(500 * time.Millisecond) })
		cluster.At(60*time.Second, func() { cluster.DelayedCommits, cluster.StoreDelay = 0, 0 })
	}},
	{name: "machines hang on cancellations in an outage", minObserved: map[Observation]int{machineHungOnCancellation: 8}, inject: func(cluster *Cluster) {
		cluster.HangOnCancel = 60 * time.Second
		submitLongJobs(cluster, 10, 19500*time.Millisecond)
		cluster.At(20600*time.Millisecond, func() { cluster.injectStoreOutage(cluster.CancelTimeout + 5*time.Second) })
		cluster.At(40*time.Second, func() { cluster.HangOnCancel = 0 })
	}},
	{name: "all restart while machines hang with cancelled work", minObserved: map[Observation]int{machineHungOnCancellation: 8, controllerRestarted: 12, jobCancelled: 8}, inject: func(cluster *Cluster) {
		cluster.HangOnCancel = 60 * time.Second
		submitLongJobs(cluster, 10, 18*time.Second)
		cluster.At(21*time.Second, func() {
			cluster.WorkersPartitioned = map[int]bool{0: true, 1: true, 2: true}
			cluster.At(25*time.Second, func() { cluster.WorkersPartitioned = map[int]bool{} })
		})
		cluster.At(30*time.Second, func() {
			cluster.HangOnCancel = 0
			for i := range cluster.controllers {
				cluster.restart(i, 3*time.Second)
			}
			cluster.injectStoreOutage(22 * time.Second)
		})
	}},
	{name: "repeated and unschedulable requests while the provisioner changes", minObserved: map[Observation]int{unschedulableJobRejected: 20, submissionRepeated: 100, cancelledAfterCompletion: 100, controllerRestarted: 8}, inject: func(cluster *Cluster) {
		cluster.machineTypes = append(slices.Clone(cluster.machineTypes), wire.MachineType{Name: "x2", Cores: 64, MemGB: 64, OnDemandPrice: 3, SpotPrice: 1, StartupS: 5, Zones: zones[:1]})
		submitMixedJobs(cluster, 60, 6)
		for i := range 20 {
			cluster.At(time.Duration(10+4*i)*time.Second, cluster.repeatRequests)
			spec, _ := testJob(900+i, 0)
			switch i % 4 {
			case 0:
				spec.Cores = 100
			case 1:
				spec.Types = []string{"none"}
			case 2:
				spec.Zone, spec.Types = zones[1], []string{"x2"}
			case 3:
				// Only one zone has machines with 9 cores or more.
				spec.Shape, spec.SpreadZones, spec.Tasks, spec.Cores, spec.Team = wire.ShapeService, true, 2, 9, "red"
			}
			cluster.At(time.Duration(5+3*i)*time.Second, func() { cluster.SubmitUnschedulable(spec) })
		}
		cluster.At(20*time.Second, func() { cluster.restartProvisioner(3 * time.Second) })
		cluster.At(40*time.Second, func() { cluster.restartProvisioner(300 * time.Millisecond) })
	}},
	{name: "all keys loaded anew during bursts of requests", minObserved: map[Observation]int{storeCompacted: 4, requestBurst: 500}, inject: func(cluster *Cluster) {
		cluster.RequestBursts = true
		submitMixedJobs(cluster, 60, 4)
		cluster.At(20*time.Second, func() {
			// The store compacts its log just before the partition ends, as after very many
			// changes. The controller cannot resume its watch and reloads all keys.
			cluster.partitionFromStore(0, 8*time.Second)
			cluster.At(7500*time.Millisecond, func() { cluster.store.Compact(); cluster.Observed[storeCompacted]++ })
		})
	}},
}

// countTeamsAtLimit counts the teams whose use of cores is within one core of their limit.
func (c *Cluster) countTeamsAtLimit() {
	used := map[string]float64{}
	c.eachActiveTask(func(_ *fakeMachine, t *fakeTask) { spec := &c.jobs[t.id.Job].spec; used[spec.Team] += spec.Cores })
	for _, t := range c.Settings.Cluster.Teams {
		if cpus, _ := t.Limits(); used[t.Name] > cpus-1 {
			c.Observed[teamAtLimit]++
		}
	}
}

// TestFaultPairs checks that the cluster's rules hold when two faults coincide.
func TestFaultPairs(t *testing.T) {
	for _, pair := range faultPairs {
		t.Run(pair.name, func(t *testing.T) {
			observed := map[Observation]int{}
			for seed := range uint64(4) {
				settings := testSettings()
				if pair.configure != nil {
					pair.configure(&settings)
				}
				cluster := newClusterWith(settings, seed, 3)
				for i := range 9 {
					cluster.AddMachine(machineTypes[i%2], zones[i%3], false, 0)
				}
				pair.inject(cluster)
				cluster.Run(125 * time.Second)
				cluster.RequestBursts, cluster.CancelOnCompletion = false, 0
				cluster.Run(45 * time.Second)
				cluster.FaultsOverAt = cluster.Now()
				cluster.Run(250 * time.Second)
				require.Empty(t, cluster.Violations, "seed %d", seed)
				require.Empty(t, cluster.Unfinished(), "seed %d", seed)
				for name, n := range cluster.Observed {
					observed[name] += n
				}
			}
			for name, n := range pair.minObserved {
				require.GreaterOrEqual(t, observed[name], n, fmt.Sprintf("%s: observed too rarely, the faults did not coincide", name))
			}
			t.Log(observed)
		})
	}
}

// TestOverlappingFaults checks that the cluster's rules hold when faults overlap. First the
// state store is unavailable while all controllers restart and a machine hangs. Then one
// controller is partitioned from the store while another machine dies. Finally the store is
// slow while the cloud is unavailable.
func TestOverlappingFaults(t *testing.T) {
	for seed := range uint64(6) {
		cluster := newCluster(seed, 3)
		cluster.MessageLoss = 0.02
		for n := range 24 {
			spec, run := testJob(n, n%8)
			cluster.At(time.Duration(2*n)*time.Second, func() { cluster.Submit(spec, run) })
			if spec.Shape == wire.ShapeService {
				cluster.At(time.Duration(70+n)*time.Second, func() { cluster.CancelJob(spec.ID) })
			}
		}
		for _, planned := range []fault{
			{faultStoreUnavailable, 15 * time.Second, 20 * time.Second, 0},
			{faultCrashAll, 20 * time.Second, 0, 0},
			{faultMachineHangs, 22 * time.Second, 25 * time.Second, 1},
			{faultStorePartition, 50 * time.Second, 20 * time.Second, 1},
			{faultMachineDies, 52 * time.Second, 0, 2},
			{faultSlowStore, 75 * time.Second, 20 * time.Second, 0},
			{faultCloudUnavailable, 75 * time.Second, 15 * time.Second, 0},
		} {
			cluster.At(planned.at, func() { planned.inject(cluster) })
		}
		cluster.Run(120 * time.Second)
		cluster.MessageLoss = 0
		cluster.Run(250 * time.Second)
		require.Empty(t, cluster.Violations)
		require.Empty(t, cluster.Unfinished(), "%v", cluster.Records())
	}
}
