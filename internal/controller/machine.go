package controller

import (
	"slices"
	"time"

	"lilacrill/internal/placement"
	"lilacrill/internal/shard"
	"lilacrill/wire"
)

// machineKind holds the properties that determine the labels of a machine.
type machineKind struct {
	machineType, zone string
	spot              bool
}

// machine is the state of one machine, from its worker's heartbeats, the cloud's list and the
// records.
type machine struct {
	id           wire.MachineID
	addr         string
	machineType  string
	zone         string
	spot         bool
	shard        wire.ShardID
	firstKnownAt Time

	// allocations are the allocations that the records have on the machine. host represents
	// the machine in the current scheduling pass.
	allocations         []*Allocation
	criticalAllocations int // of these, allocations of critical tasks
	host                *placement.Host

	// latestHeartbeat is the newest heartbeat, whichever controller received it.
	// directHeartbeat is the newest one that this controller received itself. Only direct
	// heartbeats can confirm an exit, since gossiped ones may be late. tasks and directTasks
	// index the tasks of these heartbeats.
	latestHeartbeat, directHeartbeat *wire.Heartbeat
	tasks, directTasks               map[attemptKey]*wire.TaskStatus

	liveness       liveness
	restart        workerRestart
	reconciliation reconciliation
	scaling        scaling
	images         imageCache
	quarantine     quarantine
}

// liveness is the state of the failure detector for a machine.
type liveness struct {
	lastHeartbeatAt Time // when the last new heartbeat arrived, direct or gossiped
	lastDirectAt    Time

	unansweredCalls  int  // direct calls without a response since the last one with a response, regardless of heartbeats
	unreachableSince Time // when the first of these calls was made

	probing          bool // a probe is in flight
	nextProbe        Time // no probe before this time
	unansweredProbes int  // consecutive probes without a response

	gossipedHeartbeat   *wire.Heartbeat // the last heartbeat that was sent to peers
	redirectedToPeerAt  Time            // when the worker was last redirected to any other controller
	redirectedToOwnerAt Time            // when the worker was last redirected to the owner of the machine's shard
}

// reconciliation is the state of the comparison of the tasks that a machine runs with the
// records, and of the commands that follow from it.
type reconciliation struct {
	callInFlight   bool
	queued         bool // commands wait for other calls to end
	launchDeferred bool // a launch waits for the rest of its gang, or until cancellations are known
	resend         bool // new commands came up during a call
	nextSend       Time // no commands before this time

	reconciledHeartbeat *wire.Heartbeat // the last heartbeat from which no commands followed; nil if allocations changed since

	pendingCleanup map[attemptKey]wire.Revision // exited tasks without an allocation, and the revision that is known to lack the allocation
	missingSince   map[attemptKey]Time          // tasks of allocations that the heartbeats do not list, and since when
	orphanTasks    map[attemptKey]Time          // running tasks without an allocation, and since when
}

// scaling is the life cycle of a machine in the cloud, from its launch to its termination.
type scaling struct {
	status              wire.MachineStatus // the latest in machineLifecycle that is known; "" if none is
	lastListedAt        Time               // when the cloud's list last contained the machine
	launchedAt          Time               // when the machine was launched, as far as known
	preemptionAt        Time               // when the cloud reclaims the machine, by the preemption notice in the latest heartbeat; 0 if none
	idleSince           Time
	holdsHeadroom       bool
	terminated          bool // the cloud confirmed its termination
	terminatedAt        Time
	terminationLiftedAt Time // when the machine left the list of pending terminations; it counts as terminated unless a heartbeat arrived since
}

// machineLifecycle lists the statuses of a machine in the order in which it goes through them.
var machineLifecycle = []wire.MachineStatus{wire.MachineBooting, wire.MachineRunning, wire.MachineFailed}

// advanceStatus records a status of the machine, unless a later one is known. A machine list lags
// behind the machines and behind the list before it, so it may tell of an earlier status than a
// heartbeat or another list did.
func (s *scaling) advanceStatus(status wire.MachineStatus) {
	if slices.Index(machineLifecycle, status) > slices.Index(machineLifecycle, s.status) {
		s.status = status
	}
}

// imageCache tracks the images that a machine has.
type imageCache struct {
	lastUsed map[string]Time // images on the machine, and when each was last seen in use
	cached   map[string]bool // the same images, in the form that placement reads
	pulling  int             // number of images that the machine is pulling
}

// quarantine keeps tasks away from a machine on which several jobs failed.
type quarantine struct {
	faultyUntil Time
	failedJobs  map[wire.JobID]Time
}

// attemptKey identifies one attempt of a task.
type attemptKey struct {
	task    wire.TaskID
	attempt wire.Attempt
}

// key returns the attempt key of the job's task with the given index.
func (a *Allocation) key(index int) attemptKey {
	return attemptKey{wire.TaskID{Job: a.Job, Index: index}, a.Attempt}
}

func newMachine(id wire.MachineID, now Time) *machine {
	return &machine{
		id:           id,
		shard:        shard.Of(id),
		firstKnownAt: now,
		reconciliation: reconciliation{
			pendingCleanup: map[attemptKey]wire.Revision{},
			missingSince:   map[attemptKey]Time{},
			orphanTasks:    map[attemptKey]Time{},
		},
		images: imageCache{
			lastUsed: map[string]Time{},
			cached:   map[string]bool{},
		},
		quarantine: quarantine{failedJobs: map[wire.JobID]Time{}},
	}
}

// countRunning returns how many tasks of an allocation are running according to the latest
// heartbeat.
func (m *machine) countRunning(allocation *Allocation) int {
	count := 0
	for i := range allocation.Tasks.All {
		if task := m.tasks[allocation.key(i)]; task != nil && task.State == wire.TaskRunning {
			count++
		}
	}
	return count
}

// hasJoined reports whether the worker of a machine is known to have been up at some time: by its
// status, which heartbeats and the cloud's list advance, or by the records, since tasks are placed
// only on machines from which a controller has received a heartbeat.
func (m *machine) hasJoined() bool {
	return m.scaling.status != wire.MachineBooting || len(m.allocations) > 0
}

// isReconciled reports whether no command follows from the latest heartbeat.
func (m *machine) isReconciled() bool {
	return m.reconciliation.reconciledHeartbeat == m.latestHeartbeat
}

// isTerminated reports whether a machine is known or presumed to be terminated. Probing such
// a machine would only cost calls.
func (m *machine) isTerminated() bool {
	return m.scaling.terminated || m.scaling.terminationLiftedAt > m.liveness.lastHeartbeatAt
}

const (
	imageRecordInterval = time.Second
	imageBuckets        = 24
	maxRecordedImages   = 6  // per machine; those last seen in use
	maxCachedImages     = 40 // per machine
)

func machineLabels(machineType, zone string, spot bool) placement.Tags {
	isSpot := "false"
	if spot {
		isSpot = "true"
	}
	return placement.Tags{placement.LabelType: machineType, placement.LabelZone: zone, placement.LabelSpot: isSpot}
}

func machineResources(machineType *wire.MachineType) placement.Resources {
	return placement.Resources{Cores: machineType.Cores, Accelerators: machineType.Accelerators, MemGB: machineType.MemGB}
}
