package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// lateCopySeeds is the number of schedules with late copies of direct calls.
const lateCopySeeds = 12

// runLateCopies runs mixed jobs, some of which are cancelled, while half of all direct calls are
// carried out once more, controllers restart, machines hang for longer than a lease and others are
// reclaimed after a notice. disturb is called every few seconds.
func runLateCopies(t *testing.T, seed uint64, disturb func(cluster *Cluster)) *Cluster {
	t.Helper()
	settings := testSettings()
	settings.Cluster.Teams = []config.Team{{Name: "blue", CPUs: 20, CPUsMax: 100, GPUsMax: 20}, {Name: "red", CPUs: 20, CPUsMax: 100, GPUsMax: 20}}
	cluster := clusterSetup{settings: settings, machines: 12, controllers: 3, seed: seed, typePattern: []int{0, 0, 1}}.start()
	cluster.CopiedDirectCalls = 0.5
	for n := range 60 {
		spec, run := testJob(n, cluster.rng.IntN(8))
		if n%3 == 0 {
			run += 40 * time.Second
		}
		at := time.Duration(2+2*n) * time.Second
		cluster.At(at, func() { cluster.Submit(spec, run) })
		if n%4 == 0 {
			cluster.At(at+time.Duration(5+cluster.rng.IntN(30))*time.Second, func() { cluster.CancelJob(spec.ID) })
		}
	}
	for i := range 3 {
		cluster.At(time.Duration(40+20*i)*time.Second, func() { cluster.restart(i, 500*time.Millisecond) })
		cluster.At(120*time.Second, func() { cluster.restart(i, 500*time.Millisecond) })
	}
	active := true
	cluster.runEvery(7*time.Second, func() {
		if active {
			disturb(cluster)
		}
	})
	cluster.Run(150 * time.Second)
	active = false
	cluster.Run(150 * time.Second) // until the last copy has arrived
	cluster.FaultsOverAt = cluster.Now()
	cluster.Run(150 * time.Second)
	return cluster
}

// hangOrReclaim makes a busy machine hang for longer than a lease, or gives it a preemption notice.
func hangOrReclaim(cluster *Cluster) {
	kind := []faultKind{faultMachineHangs, faultPreemption}[cluster.rng.IntN(2)]
	fault{kind: kind, duration: cluster.Lease + 5*time.Second, target: cluster.rng.IntN(100)}.inject(cluster)
}

// TestLateCopiesOfCommands guards against commands that take effect a second time when a copy arrives
// up to minutes later: a task on two machines, or one of a cancelled job that runs again.
func TestLateCopiesOfCommands(t *testing.T) {
	t.Parallel()
	copied := 0
	for seed := range uint64(lateCopySeeds) {
		cluster := runLateCopies(t, seed, hangOrReclaim)
		copied += cluster.Observed[directCallCopied]
		assert.Empty(t, cluster.Violations, "seed %d", seed)
		assert.Zero(t, cluster.Observed[launchedByCopy], "seed %d", seed)
	}
	require.Greater(t, copied, 1000)
}

// restartSomeWorker restarts the worker of a busy machine, or disturbs the cluster otherwise.
func restartSomeWorker(cluster *Cluster) {
	if cluster.rng.IntN(3) == 0 {
		hangOrReclaim(cluster)
		return
	}
	n := cluster.rng.IntN(3)
	cluster.eachBusyMachine(1, func(machine *fakeMachine) {
		if n--; n == 0 {
			machine.restartWorker()
		}
	})
}

// TestLateCopiesAfterWorkerRestart is like TestLateCopiesOfCommands, with workers that end and are back
// at once without any memory, so that they have the agent epoch and the token of a new worker.
func TestLateCopiesAfterWorkerRestart(t *testing.T) {
	t.Parallel()
	restarted := 0
	for seed := range uint64(lateCopySeeds) {
		cluster := runLateCopies(t, seed, func(cluster *Cluster) {
			cluster.SpareUnansweredWorkers = true
			restartSomeWorker(cluster)
		})
		restarted += cluster.Observed[workerRestarted]
		assert.Empty(t, cluster.Violations, "seed %d", seed)
		assert.Zero(t, cluster.Observed[launchedByCopy], "seed %d", seed)
		assert.Empty(t, cluster.Unfinished(), "seed %d", seed)
	}
	require.Greater(t, restarted, 50)
}

// launchedTask is a task that runs, with the command that launched it.
type launchedTask struct {
	cluster *Cluster
	spec    wire.JobSpec
	machine *fakeMachine
	launch  wire.CommandRequest
}

// startLaunchedTask starts a cluster in which tasks of a job run, beside those of another job that keep
// the machines from being terminated as idle.
func startLaunchedTask(t *testing.T, seed uint64, runtime time.Duration, change func(*wire.JobSpec)) *launchedTask {
	t.Helper()
	cluster := newCluster(seed, 3)
	cluster.ImagePullTime = time.Millisecond // the workers have the image
	spec, _ := testJob(2, 0)
	spec.Tasks, spec.Spot = 1, false
	if change != nil {
		change(&spec)
	}
	others, _ := testJob(3, 0)
	others.Tasks, others.Spot = 14, false
	cluster.At(2*time.Second, func() { cluster.Submit(spec, runtime) })
	cluster.At(3*time.Second, func() { cluster.Submit(others, time.Hour) })
	cluster.Run(12 * time.Second)
	active := cluster.jobs[spec.ID].active()
	require.Len(t, active, spec.Tasks, "seed %d", seed)
	machine, task := active[0].machine, active[0].task
	return &launchedTask{cluster, spec, machine, wire.CommandRequest{Token: task.token, AgentEpoch: machine.agentEpoch,
		Commands: []wire.Command{{Verb: wire.VerbLaunch, Task: task.id, Attempt: task.attempt}}}}
}

// requireCopyRefused requires that the worker of a machine was answered, refuses a copy of the launch, and
// that the task then runs once.
func (l *launchedTask) requireCopyRefused(t *testing.T, machine *fakeMachine, seed uint64) {
	t.Helper()
	require.Positive(t, machine.token, "seed %d: the worker was not answered", seed)
	require.False(t, machine.handleCommands(l.launch).Executed, "seed %d: the copy was carried out", seed)
	l.cluster.FaultsOverAt = l.cluster.Now()
	l.cluster.Run(maxStarvation)
	require.Len(t, l.cluster.jobs[l.spec.ID].active(), 1, "seed %d", seed)
	require.Empty(t, l.cluster.Violations, "seed %d", seed)
}

// TestLateCopyReachesRestartedWorker guards against a copy of a launch that takes effect at a worker
// that has restarted, whatever became of the task in between.
func TestLateCopyReachesRestartedWorker(t *testing.T) {
	gang := func(spec *wire.JobSpec) { spec.Shape, spec.Tasks, spec.Priority = wire.ShapeGang, 2, wire.PriorityHigh }
	expireLease := func(launched *launchedTask) { launched.machine.leaseRenewedAt = 0 }
	for name, test := range map[string]struct {
		runtime time.Duration
		change  func(*wire.JobSpec)
		between func(*launchedTask)
	}{
		"cancelled": {time.Hour, nil, func(launched *launchedTask) { launched.cluster.CancelJob(launched.spec.ID) }},
		"completed": {20 * time.Second, nil, func(*launchedTask) {}},
		"moved":     {time.Hour, nil, expireLease},
		"gang":      {time.Hour, gang, expireLease},
		"running":   {time.Hour, nil, func(*launchedTask) {}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				launched := startLaunchedTask(t, seed, test.runtime, test.change)
				cluster, machine := launched.cluster, launched.machine
				test.between(launched)
				cluster.Run(cluster.CancelTimeout + 10*time.Second)
				machine.restartWorker()
				cluster.Run(6 * time.Second)
				require.False(t, machine.terminated, "seed %d", seed)
				require.False(t, machine.handleCommands(launched.launch).Executed, "seed %d: the copy was carried out", seed)
				cluster.FaultsOverAt = cluster.Now()
				cluster.Run(maxStarvation)
				require.Empty(t, cluster.Violations, "seed %d", seed)
			}
		})
	}
}

// TestRestartedWorkerIsFencedAfterStoreOutage guards against a worker that is never answered, because the
// state store was unavailable when the fencing token was to be raised for it.
func TestRestartedWorkerIsFencedAfterStoreOutage(t *testing.T) {
	for seed := range uint64(4) {
		launched := startLaunchedTask(t, seed, time.Hour, nil)
		cluster, machine := launched.cluster, launched.machine
		cluster.At(100*time.Millisecond, func() { cluster.injectStoreOutage(6 * time.Second) })
		cluster.At(200*time.Millisecond, machine.restartWorker)
		cluster.Run(15 * time.Second)
		launched.requireCopyRefused(t, machine, seed)
	}
}

// TestLateCopyReachesReusedAddress guards against a copy of a launch that is carried out by another
// machine, which has got the address of the machine that it was meant for.
func TestLateCopyReachesReusedAddress(t *testing.T) {
	for seed := range uint64(6) {
		launched := startLaunchedTask(t, seed, time.Hour, nil)
		cluster, machine := launched.cluster, launched.machine
		machine.reclaim()
		next := cluster.AddMachine(machineTypes[0], machine.zone, false, time.Second)
		next.setAddr(machine.addr)
		cluster.Run(6 * time.Second)
		launched.requireCopyRefused(t, next, seed)
	}
}

// TestLateCopyReachesUnansweredWorker guards against a copy of a launch that reaches a worker between
// its restart and the first answer to it: a task that was cancelled long ago would start again.
func TestLateCopyReachesUnansweredWorker(t *testing.T) {
	for seed := range uint64(3) {
		launched := startLaunchedTask(t, seed, time.Hour, nil)
		cluster := launched.cluster
		cluster.CancelJob(launched.spec.ID)
		cluster.Run(cluster.CancelTimeout + 10*time.Second)
		require.False(t, launched.machine.handleCommands(launched.launch).Executed, "the worker remembers")
		launched.machine.restartWorker()
		launched.machine.handleCommands(launched.launch)
		cluster.Run(10 * time.Second)
		require.Empty(t, cluster.Violations, "seed %d", seed)
	}
}
