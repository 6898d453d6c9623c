package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/controller"
	"lilacrill/wire"
)

// shortCancelSettings returns settings in which cancel_s exceeds the lease by as little as in
// production deployments.
func shortCancelSettings() config.Settings {
	settings := testSettings()
	settings.Cluster.Workers = config.Workers{ReportS: 10, LeaseS: 45, GangWaitS: 35, GangPeerS: 6, CancelS: 65}
	for i := range settings.Cluster.Teams {
		settings.Cluster.Teams[i].CPUs, settings.Cluster.Teams[i].CPUsMax = 100, 200
	}
	return settings
}

// partitionThenOutage is a variant of the following scenario. The state store rejects the
// controller to which the workers send their heartbeats, and the other controllers confirm
// cancellations. Then the state store is unavailable to all controllers for longer than
// cancel_s.
type partitionThenOutage struct {
	name string
	// onPartition, if set, runs when the partition begins. partitioned is the controller that
	// the state store rejects.
	onPartition func(cluster *Cluster, partitioned int)
	// onOutage, if set, runs after cancellations were confirmed, just before the outage.
	onOutage             func(cluster *Cluster, partitioned int)
	dropDirectCalls      bool // no direct call of a controller reaches a worker
	cancelWhileLaunching bool // jobs are cancelled while their tasks are being launched
}

var partitionsThenOutages = []partitionThenOutage{
	{name: "plain"},
	{name: "direct calls dropped", dropDirectCalls: true},
	{name: "launches under way", cancelWhileLaunching: true},
	{name: "launches under way, direct calls dropped", cancelWhileLaunching: true, dropDirectCalls: true},
	{name: "partitioned from peers", dropDirectCalls: true, onPartition: func(cluster *Cluster, partitioned int) { cluster.PeersPartitioned[partitioned] = true }},
	{name: "peer messages lost", dropDirectCalls: true, onPartition: func(cluster *Cluster, _ int) { cluster.PeerMessageLoss = 0.7 }},
	{name: "confirming controllers restart", dropDirectCalls: true, onOutage: func(cluster *Cluster, partitioned int) {
		for i := range cluster.controllers {
			if i != partitioned {
				cluster.Stop(i)
				cluster.At(2*time.Second, func() { cluster.Start(i) })
			}
		}
	}},
	{name: "confirming controllers restart, partitioned from peers", cancelWhileLaunching: true, onPartition: func(cluster *Cluster, partitioned int) { cluster.PeersPartitioned[partitioned] = true },
		onOutage: func(cluster *Cluster, partitioned int) {
			for i := range cluster.controllers {
				if i != partitioned {
					cluster.Stop(i)
					cluster.At(300*time.Millisecond, func() { cluster.Start(i) })
				}
			}
		}},
	{name: "machines hang", onOutage: func(cluster *Cluster, _ int) {
		cluster.everyOtherBusyMachine(func(machine *fakeMachine) { machine.hung = true })
	}},
	{name: "machines hang and resume", onPartition: func(cluster *Cluster, _ int) {
		cluster.everyOtherBusyMachine(func(machine *fakeMachine) { machine.hung = true; cluster.At(40*time.Second, machine.resume) })
	}},
	{name: "inbound partitions", onPartition: func(cluster *Cluster, _ int) {
		cluster.everyOtherBusyMachine(func(machine *fakeMachine) { machine.inboundPartitioned = true })
	}},
	{name: "outbound partitions", onPartition: func(cluster *Cluster, _ int) {
		cluster.everyOtherBusyMachine(func(machine *fakeMachine) { machine.outboundPartitioned = true })
	}},
	{name: "outbound partitions, direct calls dropped", dropDirectCalls: true, onPartition: func(cluster *Cluster, _ int) {
		cluster.everyOtherBusyMachine(func(machine *fakeMachine) { machine.outboundPartitioned = true })
	}},
	{name: "cloud unavailable", dropDirectCalls: true, onOutage: func(cluster *Cluster, _ int) { cluster.CloudUnavailable = true }},
	{name: "cloud unavailable, machines hang and resume", onOutage: func(cluster *Cluster, _ int) {
		cluster.CloudUnavailable = true
		cluster.everyOtherBusyMachine(func(machine *fakeMachine) { machine.hung = true; cluster.At(40*time.Second, machine.resume) })
		cluster.At(9*time.Second, func() { cluster.CloudUnavailable = false })
	}},
	{name: "partitioned controller stalls", dropDirectCalls: true, onOutage: func(cluster *Cluster, partitioned int) { cluster.Stall(partitioned, 50*time.Second) }},
	{name: "duplicated heartbeats", dropDirectCalls: true, onPartition: func(cluster *Cluster, _ int) { cluster.DuplicatedHeartbeats = 0.3 }},
}

// TestCancelledTasksStopAcrossPartitionAndOutage guards against cancelled tasks that run for
// longer than cancel_s when an outage of the state store follows a partition from it. This
// happens if the partitioned controller continues to answer heartbeats and thereby keeps tasks
// running whose cancellation it does not know of.
func TestCancelledTasksStopAcrossPartitionAndOutage(t *testing.T) {
	for _, variant := range partitionsThenOutages {
		t.Run(variant.name, func(t *testing.T) {
			confirmed := 0
			for seed := range uint64(4) {
				confirmed += variant.run(t, seed, true)
			}
			require.Greater(t, confirmed, 8, "too few cancellations were confirmed between partition and outage")
		})
	}
}

// run runs the scenario with a seed and returns the number of cancellations that were
// confirmed between the start of the partition and the outage.
func (p partitionThenOutage) run(t *testing.T, seed uint64, withOutage bool) int {
	t.Helper()
	cluster := newClusterWith(shortCancelSettings(), seed, 3)
	partitioned := int(seed) % 3
	for i := range 9 {
		cluster.AddMachine(machineTypes[0], zones[i%3], false, 0)
	}
	cluster.At(6*time.Second, func() {
		for _, machine := range cluster.machines {
			machine.controller = partitioned
		}
	})
	for n := range 24 {
		spec, _ := testJob(n, 0)
		spec.Tasks, spec.RuntimeS = 2, 200
		at := 2 * time.Second
		if p.cancelWhileLaunching {
			at = 17*time.Second + time.Duration(n)*100*time.Millisecond
		}
		cluster.At(at, func() { cluster.Submit(spec, 200*time.Second) })
	}
	cluster.Run(20 * time.Second)
	cluster.StorePartitioned[partitioned], cluster.DropDirectCalls = true, p.dropDirectCalls
	if p.onPartition != nil {
		p.onPartition(cluster, partitioned)
	}
	for n := range 24 {
		if n%4 != 3 {
			cluster.At(time.Duration(100+n*60)*time.Millisecond, func() { cluster.CancelJob(cluster.testJobID(n)) })
		}
	}
	cluster.Run(1900 * time.Millisecond)
	confirmed := cluster.cancelledBetween(20*time.Second, cluster.Now())
	if p.onOutage != nil {
		p.onOutage(cluster, partitioned)
	}
	cluster.StoreUnavailable = withOutage
	cluster.At(12*time.Second, func() { delete(cluster.StorePartitioned, partitioned) })
	cluster.Run(cluster.CancelTimeout + 12*time.Second) // longer than cancel_s
	cluster.StoreUnavailable, cluster.DropDirectCalls, cluster.CloudUnavailable, cluster.PeersPartitioned, cluster.PeerMessageLoss, cluster.DuplicatedHeartbeats = false, false, false, map[int]bool{}, 0, 0
	cluster.store.RenewAll(cluster.now)
	for _, machine := range cluster.machines {
		machine.inboundPartitioned, machine.outboundPartitioned = false, false
		if machine.hung {
			machine.resume()
		}
	}
	cluster.Run(20 * time.Second)
	cluster.FaultsOverAt = cluster.Now()
	cluster.Run(260 * time.Second)
	require.Empty(t, cluster.Violations, "seed %d", seed)
	require.Empty(t, cluster.Unfinished(), "seed %d", seed)
	return confirmed
}

// testJobID returns the ID of test job n.
func (c *Cluster) testJobID(n int) wire.JobID { spec, _ := testJob(n, 0); return spec.ID }

// cancelledBetween returns the number of jobs that were reported cancelled between two times.
func (c *Cluster) cancelledBetween(from, to time.Duration) int {
	n := 0
	for _, job := range c.jobs {
		if job.lastStatus == wire.StatusCancelled && job.terminalAt >= controller.Time(from) && job.terminalAt <= controller.Time(to) {
			n++
		}
	}
	return n
}

// TestDelayedLaunchOfCancelledJob guards against a worker that executes the launch of a
// cancelled job. The job is cancelled before the launch reaches the worker, the launch is
// delayed for longer than cancel_s, and in an outage of the state store no controller can
// raise the worker's fencing token. The worker's lease must therefore not be renewed for so
// long that the launch still matches the worker's agent epoch.
func TestDelayedLaunchOfCancelledJob(t *testing.T) {
	executedLate := 0
	for seed := range uint64(6) {
		cluster := newClusterWith(shortCancelSettings(), seed, 3)
		for i := range 9 {
			cluster.AddMachine(machineTypes[0], zones[i%3], false, 0)
		}
		cluster.Run(20 * time.Second)
		cluster.DropDirectCalls = true // the launches are dropped here and delivered late below
		for n := range 12 {
			spec, _ := testJob(n, 0)
			spec.Tasks = 1
			cluster.At(0, func() { cluster.Submit(spec, 200*time.Second) })
			cluster.At(1500*time.Millisecond, func() { cluster.CancelJob(spec.ID) })
		}
		// The launches as they were sent, with the fencing token and agent epoch of that moment.
		type launch struct {
			machine *fakeMachine
			body    wire.CommandRequest
		}
		var delayedLaunches []launch
		cluster.At(1400*time.Millisecond, func() {
			for _, entry := range cluster.store.List("l/p/") {
				for _, group := range decodePage(entry.Value).Groups {
					for _, id := range group.Machines {
						machine := cluster.machinesByID[id]
						delayedLaunches = append(delayedLaunches, launch{machine, wire.CommandRequest{Token: machine.token, AgentEpoch: machine.agentEpoch,
							Commands: []wire.Command{{Verb: wire.VerbLaunch, Task: wire.TaskID{Job: group.Job}, Attempt: group.Attempt}}}})
					}
				}
			}
		})
		cluster.Run(1530 * time.Millisecond) // the jobs are cancelled, but no fencing token is raised yet
		cluster.StoreUnavailable, cluster.DropDirectCalls = true, false
		cluster.At(cluster.CancelTimeout+5*time.Second, func() {
			for _, delayed := range delayedLaunches {
				job := delayed.body.Commands[0].Task.Job
				if cluster.jobs[job].lastStatus == wire.StatusCancelled && cluster.jobs[job].launches == 0 {
					executedLate++
					delayed.machine.deliver(func() { delayed.machine.handleCommands(delayed.body) })
				}
			}
		})
		cluster.Run(cluster.CancelTimeout + 10*time.Second)
		require.Empty(t, cluster.Violations, "seed %d", seed)
	}
	require.Greater(t, executedLate, 10, "too few launches were delivered late")
}

// TestCancelledTasksStopInPartitionedZone guards against tasks that a controller in a
// partitioned zone keeps running although other controllers have reported their jobs
// cancelled, while the cloud is unavailable and their machines cannot be terminated. This can
// happen if the only healthy controller outside the zone suspects that it is isolated itself,
// because more than a third of the machines are unresponsive.
func TestCancelledTasksStopInPartitionedZone(t *testing.T) {
	for seed := range uint64(6) {
		cluster := newCluster(seed, 3)
		for n := range 5 {
			cluster.AddMachine(machineTypes[0], zones[n%3], false, 0)
		}
		for n := range 6 {
			spec, _ := testJob(n, 1)
			spec.Tasks, spec.SpreadZones = 4, true
			cluster.At(2*time.Second, func() { cluster.Submit(spec, 0) })
			cluster.At(25*time.Second, func() { cluster.CancelJob(spec.ID) })
		}
		cluster.Run(22 * time.Second)
		cluster.PartitionZone("east", 0, 100*time.Second)
		cloudBack := 90 * time.Second
		if seed%2 == 1 {
			cloudBack = 25 * time.Second // meanwhile controller 2 is the only healthy one
			cluster.StorePartitioned[1], cluster.PeersPartitioned[1], cluster.WorkersPartitioned[1] = true, true, true
			cluster.At(60*time.Second, func() {
				delete(cluster.StorePartitioned, 1)
				delete(cluster.PeersPartitioned, 1)
				delete(cluster.WorkersPartitioned, 1)
			})
		}
		cluster.CloudUnavailable = true
		cluster.At(cloudBack, func() { cluster.CloudUnavailable = false })
		cluster.Run(150 * time.Second)
		require.Empty(t, cluster.Violations)
	}
}

// TestNoPlacementOfCancelledJob guards against placements of cancelled jobs. A placement whose
// transaction has no condition on its job can be committed after the job was cancelled, if
// the state store is slow. The cluster checks every placement page against the jobs that
// exist when the page is committed.
func TestNoPlacementOfCancelledJob(t *testing.T) {
	for seed := range uint64(8) {
		cluster := newCluster(seed, 3)
		cluster.StoreDelay = 300 * time.Millisecond
		for n := range 40 {
			spec, run := testJob(n, 0)
			spec.ID = wire.JobID(fmt.Sprintf("wk-%06d", n))
			at := time.Second + time.Duration(n)*700*time.Millisecond
			cluster.At(at, func() { cluster.Submit(spec, run) })
			cluster.At(at+time.Duration(100*(n%12))*time.Millisecond, func() { cluster.CancelJob(spec.ID) })
		}
		cluster.Run(90 * time.Second)
		require.Empty(t, cluster.Violations)
	}
}
