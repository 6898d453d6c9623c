package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/internal/shard"
	"lilacrill/wire"
)

// fleet is what this controller knows of the machines.
type fleet struct {
	machines                  map[wire.MachineID]*machine
	machinesByID              []*machine                  // by name; nil if that changed
	recordedImages            map[wire.MachineID][]string // as the state service has them
	imageBuckets              map[int]map[wire.MachineID][]string
	nextImageBucket           int
	labelSets                 map[machineKind]placement.Tags
	outboundSuspect           bool       // most machines leave our calls unanswered: it is us, not them
	machinesUp                int        // machines that are up, as far as known
	heartbeatRequestsInFlight int        // machines that are being asked for their report
	commandCallsInFlight      int        // machines that are being told their orders
	maxWorkerCalls            int        // direct calls to workers that may be under way at once
	queuedUrgentCommands      []*machine // have orders, but too many calls are under way
	queuedCommands            []*machine
	recordingImages           bool
	lastDirectHeartbeat       Time // when a worker last spoke to this controller itself
	reachableSince            Time // since when workers do, after a while in which none did
	nextReachabilityProbe     Time
	nextImageRecord           Time
	timers                    []timer
}

type timer struct {
	at  Time
	run func()
}

func (f *fleet) init(callsAtOnce int) {
	f.maxWorkerCalls = callsAtOnce
	f.machines = map[wire.MachineID]*machine{}
	f.recordedImages = map[wire.MachineID][]string{}
	f.imageBuckets = map[int]map[wire.MachineID][]string{}
	f.labelSets = map[machineKind]placement.Tags{}
}

// machineKind is what the labels of a machine say.
type machineKind struct {
	kind, zone string
	spot       bool
}

// machine is one machine as reported by its worker and listed by the cloud.
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
	allocations []*Allocation
	host        *placement.Host

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
	lastHeartbeatAt Time // when something new last came
	lastDirectAt    Time

	unansweredCalls  int  // direct calls without a response since the last that had one, whatever it reports
	unreachableSince Time // when the first of them was made

	requesting         bool
	nextRequest        Time
	unansweredRequests int // unanswered in a row

	gossipedHeartbeat   *wire.Heartbeat // what the siblings were last told
	redirectedToPeerAt  Time            // when it was told to try another controller
	redirectedToOwnerAt Time            // when it was redirected to the owner of its shard
}

// reconciliation compares what a machine runs with what the records say, and tracks
// the commands that follow from it.
type reconciliation struct {
	sending        bool
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
	terminationLiftedAt Time // when it left the list of machines to terminate: it is terminated unless heard since
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

type attemptKey struct {
	task    wire.TaskID
	attempt wire.Attempt
}

// key names one of the entry's tasks.
func (e *Allocation) key(i int) attemptKey {
	return attemptKey{wire.TaskID{Job: e.Job, Index: i}, e.Attempt}
}

func newMachine(id wire.MachineID, now Time) *machine {
	return &machine{
		id:           id,
		shard:        shard.ShardOf(id),
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

func (c *Controller) machine(id wire.MachineID) *machine {
	m := c.fleet.machines[id]
	if m == nil {
		m = newMachine(id, c.now)
		c.fleet.machines[id] = m
		c.fleet.machinesByID = nil
		c.restoreRecordedImages(m)
	}
	return m
}

// orderedMachines is the machines by name. It must not be changed.
func (c *Controller) orderedMachines() []*machine {
	if c.fleet.machinesByID == nil {
		c.fleet.machinesByID = slices.SortedFunc(maps.Values(c.fleet.machines), func(a, b *machine) int { return cmp.Compare(a.id, b.id) })
	}
	return c.fleet.machinesByID
}

// allocationsOn is the records' entries on a machine.
func (c *Controller) allocationsOn(id wire.MachineID) []*Allocation {
	if m := c.fleet.machines[id]; m != nil {
		return m.allocations
	}
	return nil
}

// running counts an entry's tasks that the newest report shows running.
func (m *machine) running(e *Allocation) int {
	n := 0
	for i := range e.Tasks.All {
		if t := m.tasks[e.key(i)]; t != nil && t.State == wire.TaskRunning {
			n++
		}
	}
	return n
}

// isTerminated reports whether a machine was returned, as far as can be told: asking it
// would only cost calls.
func (m *machine) isTerminated() bool {
	return m.scaling.terminated || m.scaling.terminationLiftedAt > m.liveness.lastHeartbeatAt
}

const (
	commandRetryInterval     = time.Second
	heartbeatRequestInterval = 900 * time.Millisecond
	// fleetReviewInterval is how often all machines are looked at.
	fleetReviewInterval   = 200 * time.Millisecond
	forgetMachineAfter    = 2 * time.Minute
	cleanupFenceInterval  = 45 * time.Second
	cleanupFenceThreshold = 40
	imageRecordInterval   = time.Second
	imageBuckets          = 24
	maxRecordedImages     = 6  // of one machine, those seen in use last
	maxCachedImages       = 40 // remembered of one machine
)

func (c *Controller) tickFleet() {
	kept := c.fleet.timers[:0]
	for _, t := range c.fleet.timers {
		if c.isDue(t.at) {
			t.run()
		} else {
			kept = append(kept, t)
		}
	}
	c.fleet.timers = kept
	if !c.isDue(c.scheduler.nextFleetReview) {
		return
	}
	c.scheduler.nextFleetReview = c.now.Add(fleetReviewInterval)
	c.tickCompletedTasks()
	c.probeOwnReachability()
	uncleared, oldest := 0, false
	unreachable, reporting := 0, 0
	var due []*machine // to be asked for their reports
	c.fleet.machinesUp = 0
	for _, m := range c.orderedMachines() {
		if m.scaling.terminated || c.now.Sub(c.lastSeen(m)) > forgetMachineAfter && c.now.Sub(m.scaling.lastListedAt) > forgetMachineAfter {
			if len(m.allocations) == 0 && (!m.scaling.terminated || c.now.Sub(m.scaling.terminatedAt) > forgetMachineAfter) {
				delete(c.fleet.machines, m.id)
				c.fleet.machinesByID = nil
			}
			continue
		}
		if !m.isTerminated() && (m.latestHeartbeat != nil || m.scaling.status == wire.MachineRunning) {
			c.fleet.machinesUp++
		}
		uncleared = max(uncleared, len(m.reconciliation.pendingCleanup))
		oldest = oldest || len(m.reconciliation.pendingCleanup) > 0
		quiet := c.now.Sub(c.lastSeen(m))
		if m.latestHeartbeat != nil && quiet < forgetMachineAfter {
			reporting++
			if m.unreachable() {
				unreachable++
			}
		}
		if m.reconciliation.reconciledHeartbeat != m.latestHeartbeat && c.isDue(m.reconciliation.nextSend) && quiet < c.heartbeatTimeout(m) {
			for _, e := range m.allocations {
				if e.Launcher == c.membership.incarnation && e.Eviction == record.EvictionNone {
					if c.sendCommands(m) {
						c.metrics.count(countLaunchRetries, 1)
					}
					break
				}
			}
		}
		if m.isTerminated() && len(m.allocations) == 0 {
			continue
		}
		// Ask a silent worker itself: it may have lost its way to us. So is one
		// that left a call unanswered, though its reports go on.
		if m.addr != "" && m.scaling.status != wire.MachineBooting && !m.liveness.requesting && c.isDue(m.liveness.nextRequest) &&
			(m.liveness.unansweredCalls > 0 || quiet > c.heartbeatTimeout(m) && c.shouldProbe(m, quiet)) {
			due = append(due, m)
		}
	}
	c.probeMachines(due)
	c.fleet.outboundSuspect = unreachable > 2 && 3*unreachable > reporting
	if uncleared > cleanupFenceThreshold || oldest && c.now.Sub(c.scheduler.lastTokenRaise) > cleanupFenceInterval {
		c.raiseToken()
	}
}

// labelsOf is a machine's labels; all of a kind share them.
func (c *Controller) labelsOf(m *machine) placement.Tags {
	return c.kindLabels(machineKind{m.machineType, m.zone, m.spot})
}

func (c *Controller) kindLabels(k machineKind) placement.Tags {
	tags := c.fleet.labelSets[k]
	if tags == nil {
		tags = machineLabels(k.kind, k.zone, k.spot)
		c.fleet.labelSets[k] = tags
	}
	return tags
}

func machineLabels(kind, zone string, spot bool) placement.Tags {
	s := "false"
	if spot {
		s = "true"
	}
	return placement.Tags{placement.LabelType: kind, placement.LabelZone: zone, placement.LabelSpot: s}
}

func machineResources(t *wire.MachineType) placement.Resources {
	return placement.Resources{Cores: t.Cores, Accelerators: t.Accelerators, MemGB: t.MemGB}
}
