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

	nextReview       Time
	lastTokenRaiseAt Time // for the cleanup of exited tasks
	timers           []timer
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

func (f *fleet) add(machine *machine) {
	f.machines[machine.id] = machine
	f.machinesByID = nil
}

func (f *fleet) remove(machine *machine) {
	delete(f.machines, machine.id)
	f.machinesByID = nil
}

// allocationsOn is the allocations that the records have on a machine.
func (f *fleet) allocationsOn(id wire.MachineID) []*Allocation {
	if machine := f.machines[id]; machine != nil {
		return machine.allocations
	}
	return nil
}

// kindLabels is the labels that all machines of a kind share.
func (f *fleet) kindLabels(kind machineKind) placement.Tags {
	labels := f.labelSets[kind]
	if labels == nil {
		labels = machineLabels(kind.machineType, kind.zone, kind.spot)
		f.labelSets[kind] = labels
	}
	return labels
}

// machine finds a machine, or adds it as one that has only just become known.
func (c *Controller) machine(id wire.MachineID) *machine {
	machine := c.fleet.machines[id]
	if machine == nil {
		machine = newMachine(id, c.now)
		c.fleet.add(machine)
		c.restoreRecordedImages(machine)
	}
	return machine
}

// orderedMachines is the machines in the order of their IDs. It must not be changed.
func (c *Controller) orderedMachines() []*machine { return c.fleet.ordered() }

// labelsOf is a machine's labels; all of a kind share them.
func (c *Controller) labelsOf(machine *machine) placement.Tags {
	return c.fleet.kindLabels(machineKind{machine.machineType, machine.zone, machine.spot})
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
	if !c.isDue(c.fleet.nextReview) {
		return
	}
	c.fleet.nextReview = c.now.Add(fleetReviewInterval)
	c.tickCompletedTasks()
	c.probeOwnReachability()
	c.reviewFleet()
}

// reviewFleet forgets machines that are gone, retries launches that have had no effect,
// probes silent machines, and raises the token where exited tasks wait for their cleanup.
func (c *Controller) reviewFleet() {
	var review fleetReview
	c.fleet.machinesUp = 0
	for _, machine := range c.orderedMachines() {
		if c.isGone(machine) {
			c.forgetUnused(machine)
			continue
		}
		c.reviewLiveness(machine, &review)
	}
	c.probeMachines(review.due)
	c.fleet.outboundSuspect = review.outboundSuspect()
	if review.pendingCleanups > cleanupFenceThreshold || review.pendingCleanups > 0 && c.now.Sub(c.fleet.lastTokenRaiseAt) > cleanupFenceInterval {
		c.raiseToken()
	}
}

// isGone reports whether a machine was terminated, or neither its worker nor the cloud's
// list has shown it for long.
func (c *Controller) isGone(machine *machine) bool {
	return machine.scaling.terminated ||
		c.now.Sub(c.lastSeen(machine)) > forgetMachineAfter && c.now.Sub(machine.scaling.lastListedAt) > forgetMachineAfter
}

// forgetUnused drops a machine that is gone and has no allocations. A terminated one is
// remembered for a while: a late heartbeat of it must not make it a new machine.
func (c *Controller) forgetUnused(machine *machine) {
	if len(machine.allocations) == 0 && (!machine.scaling.terminated || c.now.Sub(machine.scaling.terminatedAt) > forgetMachineAfter) {
		c.fleet.remove(machine)
	}
}

// reviewLiveness reviews one machine that is not gone.
func (c *Controller) reviewLiveness(machine *machine, review *fleetReview) {
	if !machine.isTerminated() && (machine.latestHeartbeat != nil || machine.scaling.status == wire.MachineRunning) {
		c.fleet.machinesUp++
	}
	review.pendingCleanups = max(review.pendingCleanups, len(machine.reconciliation.pendingCleanup))
	quiet := c.now.Sub(c.lastSeen(machine))
	if machine.latestHeartbeat != nil && quiet < forgetMachineAfter {
		review.reporting++
		if machine.unreachable() {
			review.unreachable++
		}
	}
	if !machine.isReconciled() && c.isDue(machine.reconciliation.nextSend) && quiet < c.heartbeatTimeout(machine) {
		c.retryLaunches(machine)
	}
	if machine.isTerminated() && len(machine.allocations) == 0 {
		return
	}
	if c.probeDue(machine, quiet) {
		review.due = append(review.due, machine)
	}
}

// retryLaunches sends commands again to a machine with allocations that this process
// launches.
func (c *Controller) retryLaunches(machine *machine) {
	launches := slices.ContainsFunc(machine.allocations, func(allocation *Allocation) bool {
		return allocation.Launcher == c.membership.incarnation && allocation.Eviction == record.EvictionNone
	})
	if launches && c.sendCommands(machine) {
		c.metrics.count(countLaunchRetries, 1)
	}
}

// probeDue reports whether to probe a machine that has been silent for so long: it may
// have lost its way to this controller. One that left a call unanswered is probed though
// its heartbeats go on.
func (c *Controller) probeDue(machine *machine, quiet time.Duration) bool {
	if machine.addr == "" || machine.scaling.status == wire.MachineBooting || !machine.liveness.probeAllowed(c.now) {
		return false
	}
	return machine.liveness.unansweredCalls > 0 || quiet > c.heartbeatTimeout(machine) && c.shouldProbe(machine, quiet)
}
