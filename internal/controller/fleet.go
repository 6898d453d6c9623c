package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// fleet is what this controller knows of the machines.
type fleet struct {
	machines     map[wire.MachineID]*machine
	machinesByID []*machine // the same in order; nil if that changed
	machinesUp   int        // machines that are up, as far as known
	labelSets    map[machineKind]placement.Tags

	recordedImages  map[wire.MachineID][]string // as the state store has them
	imageBuckets    map[int]map[wire.MachineID][]string
	nextImageBucket int
	recordingImages bool
	nextImageRecord Time

	maxWorkerCalls       int        // direct calls to workers that may be under way at once
	probesInFlight       int        // probes under way
	commandCallsInFlight int        // calls with commands under way
	queuedUrgentCommands []*machine // have commands, but too many calls are under way
	queuedCommands       []*machine // the same, without critical tasks

	outboundSuspect       bool // most machines leave our calls unanswered: our outbound path is at fault
	lastDirectHeartbeatAt Time // when a worker last reached this controller
	reachableSince        Time // since when workers do, after a while in which none did
	nextReachabilityProbe Time

	timers []timer
}

// timer is something to do at a moment, whatever becomes of its cause meanwhile.
type timer struct {
	at  Time
	run func()
}

func (f *fleet) init(maxWorkerCalls int) {
	f.maxWorkerCalls = maxWorkerCalls
	f.machines = map[wire.MachineID]*machine{}
	f.recordedImages = map[wire.MachineID][]string{}
	f.imageBuckets = map[int]map[wire.MachineID][]string{}
	f.labelSets = map[machineKind]placement.Tags{}
}

// addTimer has run called at the first tick at or after a moment.
func (f *fleet) addTimer(at Time, run func()) {
	f.timers = append(f.timers, timer{at, run})
}

// runTimers runs the timers that are due.
func (f *fleet) runTimers(now Time) {
	kept := f.timers[:0]
	for _, timer := range f.timers {
		if now >= timer.at {
			timer.run()
		} else {
			kept = append(kept, timer)
		}
	}
	f.timers = kept
}

// ordered is the machines in the order of their IDs. It must not be changed.
func (f *fleet) ordered() []*machine {
	if f.machinesByID == nil {
		f.machinesByID = slices.SortedFunc(maps.Values(f.machines), func(a, b *machine) int { return cmp.Compare(a.id, b.id) })
	}
	return f.machinesByID
}

func (f *fleet) add(m *machine) {
	f.machines[m.id] = m
	f.machinesByID = nil
}

func (f *fleet) remove(m *machine) {
	delete(f.machines, m.id)
	f.machinesByID = nil
}

// allocationsOn is the allocations that the records have on a machine.
func (f *fleet) allocationsOn(id wire.MachineID) []*Allocation {
	if m := f.machines[id]; m != nil {
		return m.allocations
	}
	return nil
}

// kindLabels is the labels that all machines of a kind share.
func (f *fleet) kindLabels(kind machineKind) placement.Tags {
	labels := f.labelSets[kind]
	if labels == nil {
		labels = machineLabels(kind.kind, kind.zone, kind.spot)
		f.labelSets[kind] = labels
	}
	return labels
}

// machine finds a machine, or adds it as one that has only just become known.
func (c *Controller) machine(id wire.MachineID) *machine {
	m := c.fleet.machines[id]
	if m == nil {
		m = newMachine(id, c.now)
		c.fleet.add(m)
		c.restoreRecordedImages(m)
	}
	return m
}

// orderedMachines is the machines in the order of their IDs. It must not be changed.
func (c *Controller) orderedMachines() []*machine { return c.fleet.ordered() }

// labelsOf is a machine's labels; all of a kind share them.
func (c *Controller) labelsOf(m *machine) placement.Tags {
	return c.fleet.kindLabels(machineKind{m.machineType, m.zone, m.spot})
}

const (
	// fleetReviewInterval is how often all machines are reviewed.
	fleetReviewInterval = 200 * time.Millisecond
	// forgetMachineAfter is how long a machine that nothing shows any more is remembered.
	forgetMachineAfter = 2 * time.Minute
	// cleanupFenceInterval is how often the token is raised for the cleanup of exited
	// tasks; cleanupFenceThreshold is with how many on one machine it is raised at once.
	cleanupFenceInterval  = 45 * time.Second
	cleanupFenceThreshold = 40
	// outboundSuspectMinimum is how many machines must be unreachable at least, and
	// outboundSuspectDivisor which part of those that send heartbeats, for this
	// controller's own outbound path to be suspect.
	outboundSuspectMinimum, outboundSuspectDivisor = 2, 3
)

// fleetReview is what one review of all machines found.
type fleetReview struct {
	due             []*machine // to be probed
	reporting       int        // machines that send heartbeats
	unreachable     int        // of these, machines that leave direct calls unanswered
	pendingCleanups int        // the most exited tasks on one machine that wait for their cleanup
}

// outboundSuspect reports whether so many machines are unreachable, though their
// heartbeats arrive, that it must be this controller's own path to them.
func (r *fleetReview) outboundSuspect() bool {
	return r.unreachable > outboundSuspectMinimum && outboundSuspectDivisor*r.unreachable > r.reporting
}

// tickFleet runs the timers and, at intervals, reviews all machines.
func (c *Controller) tickFleet() {
	c.fleet.runTimers(c.now)
	if !c.isDue(c.scheduler.nextFleetReview) {
		return
	}
	c.scheduler.nextFleetReview = c.now.Add(fleetReviewInterval)
	c.tickCompletedTasks()
	c.probeOwnReachability()
	c.reviewFleet()
}

// reviewFleet forgets machines that are gone, retries launches that have had no effect,
// probes silent machines, and raises the token where exited tasks wait for their cleanup.
func (c *Controller) reviewFleet() {
	var review fleetReview
	c.fleet.machinesUp = 0
	for _, m := range c.orderedMachines() {
		if c.isGone(m) {
			c.forgetUnused(m)
			continue
		}
		c.reviewLiveness(m, &review)
	}
	c.probeMachines(review.due)
	c.fleet.outboundSuspect = review.outboundSuspect()
	if review.pendingCleanups > cleanupFenceThreshold || review.pendingCleanups > 0 && c.now.Sub(c.scheduler.lastTokenRaise) > cleanupFenceInterval {
		c.raiseToken()
	}
}

// isGone reports whether a machine was terminated, or neither its worker nor the cloud's
// list has shown it for long.
func (c *Controller) isGone(m *machine) bool {
	return m.scaling.terminated ||
		c.now.Sub(c.lastSeen(m)) > forgetMachineAfter && c.now.Sub(m.scaling.lastListedAt) > forgetMachineAfter
}

// forgetUnused drops a machine that is gone and has no allocations. A terminated one is
// remembered for a while, since late heartbeats of it may yet be gossiped.
func (c *Controller) forgetUnused(m *machine) {
	if len(m.allocations) == 0 && (!m.scaling.terminated || c.now.Sub(m.scaling.terminatedAt) > forgetMachineAfter) {
		c.fleet.remove(m)
	}
}

// reviewLiveness reviews one machine that is not gone.
func (c *Controller) reviewLiveness(m *machine, review *fleetReview) {
	if !m.isTerminated() && (m.latestHeartbeat != nil || m.scaling.status == wire.MachineRunning) {
		c.fleet.machinesUp++
	}
	review.pendingCleanups = max(review.pendingCleanups, len(m.reconciliation.pendingCleanup))
	quiet := c.now.Sub(c.lastSeen(m))
	if m.latestHeartbeat != nil && quiet < forgetMachineAfter {
		review.reporting++
		if m.unreachable() {
			review.unreachable++
		}
	}
	if m.reconciliation.reconciledHeartbeat != m.latestHeartbeat && c.isDue(m.reconciliation.nextSend) && quiet < c.heartbeatTimeout(m) {
		c.retryLaunches(m)
	}
	if m.isTerminated() && len(m.allocations) == 0 {
		return
	}
	if c.probeDue(m, quiet) {
		review.due = append(review.due, m)
	}
}

// retryLaunches sends commands again to a machine with allocations that this process
// launches.
func (c *Controller) retryLaunches(m *machine) {
	launches := slices.ContainsFunc(m.allocations, func(allocation *Allocation) bool {
		return allocation.Launcher == c.membership.incarnation && allocation.Eviction == record.EvictionNone
	})
	if launches && c.sendCommands(m) {
		c.metrics.count(countLaunchRetries, 1)
	}
}

// probeDue reports whether to probe a machine that has been silent for so long: it may
// have lost its way to this controller. One that left a call unanswered is probed though
// its heartbeats go on.
func (c *Controller) probeDue(m *machine, quiet time.Duration) bool {
	if m.addr == "" || m.scaling.status == wire.MachineBooting || m.liveness.probing || !c.isDue(m.liveness.nextProbe) {
		return false
	}
	return m.liveness.unansweredCalls > 0 || quiet > c.heartbeatTimeout(m) && c.shouldProbe(m, quiet)
}
