package controller

import (
	"time"

	"lilacrill/internal/placement"
	"lilacrill/internal/shard"
	"lilacrill/wire"
)

// machineKind is what the labels of a machine say.
type machineKind struct {
	machineType, zone string
	spot              bool
}

// machine is one machine as its worker reports it and the cloud lists it.
type machine struct {
	id           wire.MachineID
	addr         string
	machineType  string
	zone         string
	spot         bool
	shard        wire.ShardID
	firstKnownAt Time

	// allocations is what the records place on it, host what the scheduling pass under
	// way makes of it.
	allocations         []*Allocation
	criticalAllocations int // of these, allocations of critical tasks
	host                *placement.Host

	// latestHeartbeat is the newest heartbeat, whichever controller received it;
	// directHeartbeat is the newest that this controller received itself. Only direct
	// heartbeats prove anything. tasks and directTasks index their tasks.
	latestHeartbeat, directHeartbeat *wire.Heartbeat
	tasks, directTasks               map[attemptKey]*wire.TaskStatus

	liveness       liveness
	reconciliation reconciliation
	scaling        scaling
	images         imageCache
	quarantine     quarantine
}

// liveness is what the failure detector knows of a machine.
type liveness struct {
	lastHeartbeatAt Time // when a heartbeat with news last came, direct or gossiped
	lastDirectAt    Time

	unansweredCalls  int  // direct calls without a response since the last that had one, whatever its heartbeats show
	unreachableSince Time // when the first of them was made

	probing          bool // a probe is under way
	nextProbe        Time // no probe before
	unansweredProbes int  // probes in a row that were not answered

	gossipedHeartbeat   *wire.Heartbeat // the last heartbeat that the siblings were sent
	redirectedToPeerAt  Time            // when it was redirected to any other controller
	redirectedToOwnerAt Time            // when it was redirected to the owner of its shard
}

// reconciliation compares what a machine runs with what the records say, and tracks
// the commands that follow from it.
type reconciliation struct {
	callInFlight   bool
	queued         bool // waits for other calls to end
	launchDeferred bool // a launch is deferred until the rest of its gang is nearer
	resend         bool // something new came up while sending
	nextSend       Time // not before

	reconciledHeartbeat *wire.Heartbeat // the latest heartbeat if no command follows from it

	pendingCleanup map[attemptKey]wire.Revision // exited tasks without an allocation, and the revision that is known to lack it
	missingSince   map[attemptKey]Time          // tasks of allocations that its heartbeats lack, and since when
	orphanTasks    map[attemptKey]Time          // running tasks without an allocation, and since when
}

// scaling is a machine's life in the cloud, from its launch to its termination.
type scaling struct {
	status              wire.MachineStatus
	lastListedAt        Time // when the cloud's list last had it
	launchedAt          Time // when it was requested, as far as known
	preemptionAt        Time // when the cloud takes it, if the latest heartbeat has a notice
	idleSince           Time
	holdsHeadroom       bool
	terminated          bool // the cloud confirmed its termination
	terminatedAt        Time
	terminationLiftedAt Time // when it left the list of machines to terminate: it is terminated unless a heartbeat came since
}

// imageCache is which images a machine has.
type imageCache struct {
	lastUsed map[string]Time // images it has, and when they were last seen in use
	cached   map[string]bool // the same, as placement reads it
	pulling  int             // images that it is pulling
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

// key identifies the allocation's attempt of the job's task with an index.
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

// countRunning counts an allocation's tasks that run by the latest heartbeat.
func (m *machine) countRunning(allocation *Allocation) int {
	count := 0
	for i := range allocation.Tasks.All {
		if task := m.tasks[allocation.key(i)]; task != nil && task.State == wire.TaskRunning {
			count++
		}
	}
	return count
}

// isReconciled reports whether no command follows from the latest heartbeat.
func (m *machine) isReconciled() bool {
	return m.reconciliation.reconciledHeartbeat == m.latestHeartbeat
}

// isTerminated reports whether a machine was terminated, as far as can be told: probing
// it would only cost calls.
func (m *machine) isTerminated() bool {
	return m.scaling.terminated || m.scaling.terminationLiftedAt > m.liveness.lastHeartbeatAt
}

const (
	imageRecordInterval = time.Second
	imageBuckets        = 24
	maxRecordedImages   = 6  // of one machine, those seen in use last
	maxCachedImages     = 40 // remembered of one machine
)

func machineLabels(kind, zone string, spot bool) placement.Tags {
	isSpot := "false"
	if spot {
		isSpot = "true"
	}
	return placement.Tags{placement.LabelType: kind, placement.LabelZone: zone, placement.LabelSpot: isSpot}
}

func machineResources(machineType *wire.MachineType) placement.Resources {
	return placement.Resources{Cores: machineType.Cores, Accelerators: machineType.Accelerators, MemGB: machineType.MemGB}
}
