package simulation

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/rendezvous"
	"lilacrill/wire"
)

// reclaimedJob is the job whose tasks run on a spot machine that the cloud takes back.
const reclaimedJob = wire.JobID("wk-000901")

// reclaimTest is a course of events in which a machine is taken back.
type reclaimTest struct {
	name string
	// listedStatus returns the status with which the cloud lists the spot machine while it exists,
	// given the time since it was provisioned.
	listedStatus func(age time.Duration) wire.MachineStatus
	spec         func(*wire.JobSpec)
	runFor       time.Duration    // how long the tasks run before that; reclaimAfter if 0
	noticed      bool             // the machine gets a preemption notice
	stillListed  bool             // the lists show the machine for terminatedListingTime after it is gone
	unheard      bool             // the provisioner hears of the machine from neither its worker nor the peers
	afterReclaim func(c *Cluster) // what happens right after the machine was taken back
}

// reclaimAfter is how long the tasks usually run before their machine is taken back.
const reclaimAfter = time.Second

// Statuses for reclaimTest.
func neverListed(time.Duration) wire.MachineStatus     { return "" }
func listedAsBooting(time.Duration) wire.MachineStatus { return wire.MachineBooting }

// listedOlderThanBefore is the status in lists of which the later ones are older.
func listedOlderThanBefore(age time.Duration) wire.MachineStatus {
	if age < 8*time.Second {
		return wire.MachineRunning
	}
	return wire.MachineBooting
}

// newReclaimCluster starts a cluster whose cloud lists spot machines as listedStatus says. Machines
// join a second after they were provisioned.
func newReclaimCluster(listedStatus func(age time.Duration) wire.MachineStatus, seed uint64) *Cluster {
	settings := testSettings()
	settings.Cluster.Teams = []config.Team{{Name: "blue", CPUs: 16, CPUsMax: 24}, {Name: "red", CPUs: 16, CPUsMax: 24}}
	cluster := newClusterWith(settings, seed, 3)
	cluster.Capacity = 1
	cluster.ProvisioningDelay = func(string, string) time.Duration { return time.Second }
	cluster.ImagePullTime = 100 * time.Millisecond
	cluster.ListedStatus = func(listed wire.CloudMachine) wire.MachineStatus {
		if listed.Spot {
			return listedStatus(cluster.now.Sub(cluster.machinesByID[listed.ID].provisionedAt))
		}
		return listed.Status
	}
	return cluster
}

// startReclaimTest runs a cluster until the job's tasks have been running for a while on a spot
// machine. A filler job occupies the other machines until then, and soon ends.
func startReclaimTest(t *testing.T, test reclaimTest, seed uint64) (cluster *Cluster, spot *fakeMachine) {
	t.Helper()
	cluster = newReclaimCluster(test.listedStatus, seed)
	cluster.Run(5 * time.Second)
	team, other := "blue", "red"
	if cluster.ownerOf(team) == cluster.provisioner() {
		team, other = other, team
	}
	filler, _ := testJob(1, 0)
	filler.Team, filler.Tasks, filler.Spot, filler.Priority = other, 16, false, wire.PriorityCritical // so that none is preempted
	cluster.Submit(filler, 14*time.Second)
	spec := wire.JobSpec{ID: reclaimedJob, Class: "batch", Team: team, Shape: wire.ShapeArray, Priority: wire.PriorityNormal,
		Tasks: 1, Cores: 2, MemGB: 2, Image: "img", ImageGB: 0.1, RuntimeS: 30, Spot: true}
	if test.spec != nil {
		test.spec(&spec)
	}
	cluster.Run(3 * time.Second)
	if test.unheard {
		cluster.PeerMessageLoss = 1
	}
	cluster.Submit(spec, 30*time.Second)
	spot = cluster.runUntilStartedOnSpot(&spec)
	require.NotNil(t, spot, "the job did not start on a spot machine")
	cluster.Run(max(test.runFor, reclaimAfter))
	return cluster, spot
}

// runUntilStartedOnSpot runs the cluster until all tasks of the job run, for 20 seconds at most, and
// returns the spot machine that runs one of them, or nil. The workers of spot machines send their
// heartbeats to the owner of the job's team, which is not the provisioner.
func (c *Cluster) runUntilStartedOnSpot(spec *wire.JobSpec) *fakeMachine {
	for range 200 {
		c.Run(100 * time.Millisecond)
		for _, machine := range c.machines {
			if machine.spot {
				machine.controller = c.ownerOf(spec.Team)
			}
		}
		active := c.jobs[reclaimedJob].active()
		i := slices.IndexFunc(active, func(placed placement) bool { return placed.machine.spot })
		if len(active) == spec.Tasks && i >= 0 {
			return active[i].machine
		}
	}
	return nil
}

// ownerOf returns the index of the controller that owns a team while all controllers are live.
func (c *Cluster) ownerOf(team string) int {
	var labels, teams []string
	for i := range c.controllers {
		labels = append(labels, controllerLabel(i))
	}
	for _, t := range c.Settings.Cluster.Teams {
		teams = append(teams, t.Name)
	}
	return slices.Index(labels, rendezvous.Assign(labels, teams)[team])
}

// randomlyLaggingStatus returns a status that a list may show for a machine if it lags by up to ten
// seconds and may be older than the list before it.
func (c *Cluster) randomlyLaggingStatus(listed wire.CloudMachine) wire.MachineStatus {
	age := c.now.Sub(c.machinesByID[listed.ID].provisionedAt)
	if age > 10*time.Second {
		return listed.Status
	}
	return []wire.MachineStatus{"", wire.MachineBooting, listed.Status}[c.rng.IntN(3)]
}

// reclaimYoungMachine takes back a random spot machine that was provisioned less than ten seconds ago,
// half of the time with a notice, and reports whether there is one.
func (c *Cluster) reclaimYoungMachine() bool {
	var young []*fakeMachine
	for _, machine := range c.machines {
		if machine.spot && !machine.terminated && machine.preemptionAt == 0 && c.now.Sub(machine.provisionedAt) < 10*time.Second {
			young = append(young, machine)
		}
	}
	if len(young) == 0 {
		return false
	}
	machine := young[c.rng.IntN(len(young))]
	var notice time.Duration
	if c.rng.IntN(2) == 0 {
		notice = 2 * time.Second
		machine.preemptionAt = c.now.Add(notice)
	}
	c.after(notice, machine.reclaim)
	return true
}

// requireUnrecorded checks that a machine that is gone is in no record of the state store.
func requireUnrecorded(t *testing.T, cluster *Cluster, machine *fakeMachine) {
	t.Helper()
	for _, record := range cluster.Records() {
		require.NotContains(t, record, string(machine.id), "the machine is gone")
	}
}
