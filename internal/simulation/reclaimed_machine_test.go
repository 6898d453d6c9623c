package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/wire"
)

// TestTasksOnReclaimedMachineAreReplaced guards against tasks that wait for ever because the cloud
// took their machine back before a list had shown it as running, so that it was never probed.
func TestTasksOnReclaimedMachineAreReplaced(t *testing.T) {
	replicas := func(spec *wire.JobSpec) {
		spec.Shape, spec.Priority, spec.Tasks = wire.ShapeService, wire.PriorityCritical, 2
	}
	gang := func(spec *wire.JobSpec) { spec.Shape, spec.Priority, spec.Tasks = wire.ShapeGang, wire.PriorityHigh, 2 }
	restartProvisioner := func(c *Cluster) { c.restartProvisioner(2 * time.Second) }
	restartAll := func(c *Cluster) {
		for i := range c.controllers {
			c.restart(i, 2*time.Second)
		}
	}
	for _, test := range []reclaimTest{
		{name: "never listed", listedStatus: neverListed},
		{name: "listed as booting", listedStatus: listedAsBooting},
		{name: "listed as running, then as booting", listedStatus: listedOlderThanBefore, runFor: 10 * time.Second},
		{name: "heard by another controller only", listedStatus: listedAsBooting, unheard: true},
		{name: "heard by another controller only, never listed", listedStatus: neverListed, unheard: true},
		{name: "with a notice", listedStatus: listedAsBooting, noticed: true},
		{name: "replicas", listedStatus: listedAsBooting, spec: replicas},
		{name: "replicas, with a notice", listedStatus: neverListed, spec: replicas, noticed: true},
		{name: "gang", listedStatus: listedAsBooting, spec: gang},
		{name: "gang, never listed, with a notice", listedStatus: neverListed, spec: gang, noticed: true},
		{name: "provisioner restarts", listedStatus: listedAsBooting, afterReclaim: restartProvisioner},
		{name: "provisioner restarts, never listed", listedStatus: neverListed, afterReclaim: restartProvisioner},
		{name: "all controllers restart", listedStatus: listedAsBooting, afterReclaim: restartAll},
		{name: "all controllers restart, still listed as booting", listedStatus: listedAsBooting, stillListed: true, afterReclaim: restartAll},
		{name: "all controllers restart, never listed", listedStatus: neverListed, afterReclaim: restartAll},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(3) {
				checkReclaim(t, test, seed)
			}
		})
	}
}

// checkReclaim takes the spot machine of a test back and checks that the job's tasks run elsewhere
// within maxStarvation, after which nothing is left of the machine in the records.
func checkReclaim(t *testing.T, test reclaimTest, seed uint64) {
	t.Helper()
	cluster, spot := startReclaimTest(t, test, seed)
	if test.unheard {
		require.NotEqual(t, spot.controller, cluster.provisioner(), "the provisioner has to be another controller")
	}
	if test.noticed {
		spot.preemptionAt = cluster.now.Add(2 * time.Second)
		cluster.Run(2 * time.Second)
	}
	spot.reclaim()
	spot.up = test.stillListed
	cluster.Capacity = 0
	cluster.PeerMessageLoss = 0
	if test.afterReclaim != nil {
		test.afterReclaim(cluster)
	}
	cluster.FaultsOverAt = cluster.Now()
	cluster.Run(maxStarvation)
	job := cluster.jobs[reclaimedJob]
	if job.spec.Shape == wire.ShapeService {
		require.Len(t, job.active(), job.spec.Tasks, "seed %d: replicas of the reclaimed machine", seed)
	} else {
		require.Empty(t, cluster.Unfinished(), "seed %d", seed)
	}
	require.Empty(t, cluster.Violations, "seed %d", seed)
	requireUnrecorded(t, cluster, spot)
}

// TestTasksOnLongGoneMachineAreReplaced guards against tasks that wait for ever because their machine
// had been silent for so long, when another controller became the provisioner, that it did not probe it.
func TestTasksOnLongGoneMachineAreReplaced(t *testing.T) {
	const outage = 150 * time.Second // no provisioner can record a termination
	for seed := range uint64(3) {
		settings := testSettings()
		settings.Cluster.Teams[1].CPUsMax = 48
		cluster := clusterSetup{settings: settings, machines: 12, controllers: 3, seed: seed}.start()
		spec, _ := testJob(1, 0)
		spec.Tasks = 24
		cluster.At(2*time.Second, func() { cluster.Submit(spec, time.Hour) })
		cluster.Run(20 * time.Second)
		cluster.injectStoreOutage(outage)
		cluster.At(time.Second, func() {
			for _, machine := range cluster.machines[:3] {
				machine.reclaim()
			}
		})
		cluster.Run(outage - 5*time.Second)
		provisioner := cluster.provisioner()
		cluster.restart(provisioner, 20*time.Second)
		cluster.Run(25 * time.Second)
		require.NotEqual(t, provisioner, cluster.provisioner(), "seed %d: another controller has to become the provisioner", seed)
		cluster.FaultsOverAt = cluster.Now()
		cluster.Run(maxStarvation)
		require.Len(t, cluster.jobs[spec.ID].active(), spec.Tasks, "seed %d: tasks of the machines that are gone", seed)
		require.Empty(t, cluster.Violations, "seed %d", seed)
	}
}

// TestTasksAreReplacedAfterAddressIsReused guards against tasks that wait for ever because another
// machine has got the address of theirs and answers the probes.
func TestTasksAreReplacedAfterAddressIsReused(t *testing.T) {
	for seed := range uint64(20) {
		cluster := newCluster(seed, 3)
		spec, _ := testJob(1, 1)
		spec.Tasks = 3
		cluster.At(2*time.Second, func() { cluster.Submit(spec, 0) })
		cluster.Run(20 * time.Second)
		active := cluster.jobs[spec.ID].active()
		require.Len(t, active, spec.Tasks)
		reclaimed := active[0].machine
		reclaimed.reclaim()
		cluster.Capacity = 0
		cluster.AddMachine(machineTypes[0], reclaimed.zone, false, 0).setAddr(reclaimed.addr)
		for n, zone := range zones { // keeps all machines busy, so that none is terminated as idle
			other, _ := testJob(3+2*n, 1)
			other.Tasks, other.Zone = 2, zone
			cluster.Submit(other, 0)
		}
		cluster.FaultsOverAt = cluster.Now()
		cluster.Run(maxStarvation)
		require.Len(t, cluster.jobs[spec.ID].active(), spec.Tasks, "seed %d: replicas of the reclaimed machine", seed)
		require.Empty(t, cluster.Violations, "seed %d", seed)
		requireUnrecorded(t, cluster, reclaimed)
	}
}

// TestUnheardMachineIsKeptUntilListed guards against a provisioner that terminates a healthy machine
// because the list does not show it yet and its heartbeats reach only a controller that is cut off from
// the provisioner.
func TestUnheardMachineIsKeptUntilListed(t *testing.T) {
	listedLate := func(age time.Duration) wire.MachineStatus {
		if age < 6*time.Second { // twice the usual lag of the tests' settings
			return ""
		}
		return wire.MachineRunning
	}
	for seed := range uint64(3) {
		cluster, spot := startReclaimTest(t, reclaimTest{listedStatus: listedLate, unheard: true}, seed)
		cluster.Run(15 * time.Second)
		require.False(t, spot.terminated, "seed %d: the machine was terminated", seed)
		require.Len(t, cluster.jobs[reclaimedJob].active(), 1, "seed %d", seed)
		require.Empty(t, cluster.Violations, "seed %d", seed)
	}
}

// TestRecoveredMachineIsKeptAfterStoreOutage guards against terminating a machine that reports again,
// because it was marked as silent before an outage of the state store that delayed the termination.
func TestRecoveredMachineIsKeptAfterStoreOutage(t *testing.T) {
	const hang, outage = 11 * time.Second, 12 * time.Second // shorter than a lease
	for outageAfter := 4 * time.Second; outageAfter < 7*time.Second; outageAfter += 100 * time.Millisecond {
		cluster := newCluster(1, 3)
		cluster.Capacity = 0
		spec, _ := testJob(1, 0)
		spec.Tasks = 8
		cluster.At(2*time.Second, func() { cluster.Submit(spec, time.Hour) })
		cluster.Run(15 * time.Second)
		hung := cluster.jobs[spec.ID].active()[0].machine
		hung.hangFor(hang)
		recoveredAt := cluster.now.Add(hang)
		cluster.At(outageAfter, func() { cluster.injectStoreOutage(outage) })
		cluster.Run(30 * time.Second)
		require.LessOrEqual(t, hung.terminatedAt, recoveredAt, "outage after %v: the machine was terminated after it had recovered", outageAfter)
		require.Empty(t, cluster.Violations)
	}
}

// TestRandomlyReclaimedMachines guards against tasks that wait for ever on spot machines that are taken
// back at any time after they were provisioned, while lists lag and go back and controllers restart.
func TestRandomlyReclaimedMachines(t *testing.T) {
	for seed := range uint64(8) {
		cluster := newClusterWith(testSettings(), seed, 3)
		cluster.ProvisioningDelay = func(string, string) time.Duration { return cluster.randomDelay(3 * time.Second) }
		cluster.ListedStatus = cluster.randomlyLaggingStatus
		reclaimed := 0
		cluster.runEvery(3*time.Second, func() {
			if cluster.FaultsOverAt == 0 && cluster.reclaimYoungMachine() {
				reclaimed++
			}
		})
		for n := range 40 {
			spec, run := testJob(n, n%8)
			spec.Spot = true
			cluster.At(time.Duration(2*n)*time.Second, func() { cluster.Submit(spec, run) })
			if spec.Shape == wire.ShapeService {
				cluster.At(time.Duration(200+n)*time.Second, func() { cluster.CancelJob(spec.ID) })
			}
		}
		cluster.At(20*time.Second, func() { cluster.restartProvisioner(2 * time.Second) })
		cluster.At(50*time.Second, func() {
			for i := range cluster.controllers {
				cluster.restart(i, 2*time.Second)
			}
		})
		cluster.Run(90 * time.Second)
		cluster.FaultsOverAt = cluster.Now()
		cluster.Run(200 * time.Second)
		require.Greater(t, reclaimed, 5, "seed %d: too few machines were taken back", seed)
		require.Empty(t, cluster.Violations, "seed %d", seed)
		require.Empty(t, cluster.Unfinished(), "seed %d", seed)
	}
}
