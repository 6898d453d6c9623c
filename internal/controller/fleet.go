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

// fleet holds what this controller knows about the machines.
type fleet struct {
	machines     map[wire.MachineID]*machine
	machinesByID []*machine // the same in the order of their IDs; nil if machines has changed since
	// addressOwners holds the latest machine that is known to have had an address.
	addressOwners map[string]wire.MachineID
	machinesUp    int // machines that are up, as of the last review
	labelSets     map[machineKind]placement.Tags

	recordedImages  map[wire.MachineID][]string // images of each machine as recorded in the state store
	imageBuckets    map[int]map[wire.MachineID][]string
	nextImageBucket int
	recordingImages bool
	nextImageRecord Time

	maxWorkerCalls         int        // direct calls to workers that may be under way at once
	probesInFlight         int        // probes under way
	commandCallsInFlight   int        // calls with commands under way
	queuedCriticalCommands []*machine // machines with critical tasks whose commands wait for other calls to end
	queuedCommands         []*machine // the same for machines without critical tasks

	outboundSuspect       bool // this controller's outbound path seems at fault (see fleetReview)
	lastDirectHeartbeatAt Time // when a worker's heartbeat last arrived here directly
	reachableSince        Time // when direct heartbeats resumed after isolation was last suspected
	nextReachabilityProbe Time

	restartedWorkers    []*machine // machines that wait for the token to be raised after a restart of their worker
	raisingRestartFence bool
	nextRestartFence    Time // earliest time of the next raise, after one that failed

	nextReview       Time
	lastTokenRaiseAt Time // when the token was last raised for the cleanup of exited tasks
	timers           []timer
}

// timer is a function to run once at a given time. A timer cannot be cancelled.
type timer struct {
	at  Time
	run func()
}

func (f *fleet) init(maxWorkerCalls int) {
	f.maxWorkerCalls = maxWorkerCalls
	f.machines = map[wire.MachineID]*machine{}
	f.addressOwners = map[string]wire.MachineID{}
	f.recordedImages = map[wire.MachineID][]string{}
	f.imageBuckets = map[int]map[wire.MachineID][]string{}
	f.labelSets = map[machineKind]placement.Tags{}
}

// addTimer schedules run for the first tick at or after the given time.
func (f *fleet) addTimer(at Time, run func()) {
	f.timers = append(f.timers, timer{at, run})
}

// runTimers removes the timers that are due and runs them. They may add others.
func (f *fleet) runTimers(now Time) {
	var due, kept []timer
	for _, timer := range f.timers {
		if now >= timer.at {
			due = append(due, timer)
		} else {
			kept = append(kept, timer)
		}
	}
	f.timers = kept
	for _, timer := range due {
		timer.run()
	}
}

// ordered returns the machines in the order of their IDs. The caller must not modify the slice.
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
	if f.addressOwners[machine.addr] == machine.id {
		delete(f.addressOwners, machine.addr)
	}
	f.machinesByID = nil
}

// allocationsOn returns the recorded allocations on a machine.
func (f *fleet) allocationsOn(id wire.MachineID) []*Allocation {
	if machine := f.machines[id]; machine != nil {
		return machine.allocations
	}
	return nil
}

// kindLabels returns the labels that all machines of a kind share.
func (f *fleet) kindLabels(kind machineKind) placement.Tags {
	labels := f.labelSets[kind]
	if labels == nil {
		labels = machineLabels(kind.machineType, kind.zone, kind.spot)
		f.labelSets[kind] = labels
	}
	return labels
}

// machine returns the machine with an ID, and adds it if it is not known yet.
func (c *Controller) machine(id wire.MachineID) *machine {
	machine := c.fleet.machines[id]
	if machine == nil {
		machine = newMachine(id, c.now)
		c.fleet.add(machine)
		c.restoreRecordedImages(machine)
	}
	return machine
}

// orderedMachines returns the machines in the order of their IDs. The caller must not modify
// the slice.
func (c *Controller) orderedMachines() []*machine { return c.fleet.ordered() }

// labelsOf returns a machine's labels, which all machines of its kind share.
func (c *Controller) labelsOf(machine *machine) placement.Tags {
	return c.fleet.kindLabels(machineKind{machine.machineType, machine.zone, machine.spot})
}

const (
	// fleetReviewInterval is how often all machines are reviewed.
	fleetReviewInterval = 200 * time.Millisecond
	// forgetMachineAfter is how long a machine is kept after its last heartbeat and its last
	// appearance in the cloud's list, or after its termination.
	forgetMachineAfter = 2 * time.Minute
	// cleanupFenceInterval is how often the fencing token is raised for the cleanup of
	// exited tasks. With more than cleanupFenceThreshold of them on one machine, it is
	// raised without waiting for the interval to end.
	cleanupFenceInterval  = 45 * time.Second
	cleanupFenceThreshold = 40
	// This controller's own outbound path is suspect if more than outboundSuspectMinimum
	// machines, and more than one in outboundSuspectDivisor of those that send heartbeats,
	// are unreachable.
	outboundSuspectMinimum, outboundSuspectDivisor = 2, 3
)

// fleetReview holds the findings of one review of all machines.
type fleetReview struct {
	due             []*machine // machines to probe
	reporting       int        // machines that send heartbeats
	unreachable     int        // of these, the unreachable ones
	pendingCleanups int        // the largest number of exited tasks on one machine that wait for cleanup
}

// outboundSuspect reports whether so many machines are unreachable, although their
// heartbeats arrive, that this controller's own outbound path is the likely cause.
func (r *fleetReview) outboundSuspect() bool {
	return r.unreachable > outboundSuspectMinimum && outboundSuspectDivisor*r.unreachable > r.reporting
}

// tickFleet runs the timers and, at intervals, reviews all machines.
func (c *Controller) tickFleet() {
	c.fleet.runTimers(c.now)
	c.raiseRestartFence()
	if !c.isDue(c.fleet.nextReview) {
		return
	}
	c.fleet.nextReview = c.now.Add(fleetReviewInterval)
	c.tickCompletedTasks()
	c.probeOwnReachability()
	c.reviewFleet()
}

// reviewFleet forgets machines that are gone, retries launches that have had no effect,
// probes silent machines, and raises the fencing token if exited tasks wait for cleanup.
func (c *Controller) reviewFleet() {
	var review fleetReview
	c.fleet.machinesUp = 0
	for _, machine := range c.orderedMachines() {
		if c.isGone(machine) {
			c.forgetUnused(machine)
		} else {
			c.reviewLiveness(machine, &review)
		}
		c.reviewProbe(machine, &review)
	}
	c.probeMachines(review.due)
	c.fleet.outboundSuspect = review.outboundSuspect()
	if review.pendingCleanups > cleanupFenceThreshold || review.pendingCleanups > 0 && c.now.Sub(c.fleet.lastTokenRaiseAt) > cleanupFenceInterval {
		c.raiseToken()
	}
}

// isGone reports whether a machine was terminated, or has neither sent a heartbeat nor
// appeared in the cloud's list for forgetMachineAfter. Such a machine no longer counts as up.
func (c *Controller) isGone(machine *machine) bool {
	return machine.scaling.terminated ||
		c.silence(machine) > forgetMachineAfter && c.now.Sub(machine.scaling.lastListedAt) > forgetMachineAfter
}

// forgetUnused drops a machine that is gone and has no allocations. A terminated machine is
// kept for a while, so that a delayed heartbeat does not add it again as a new machine.
func (c *Controller) forgetUnused(machine *machine) {
	if len(machine.allocations) == 0 && (!machine.scaling.terminated || c.now.Sub(machine.scaling.terminatedAt) > forgetMachineAfter) {
		c.fleet.remove(machine)
	}
}

// reviewLiveness reviews one machine that is not gone, apart from probes, and adds the findings to
// review.
func (c *Controller) reviewLiveness(machine *machine, review *fleetReview) {
	if !machine.isTerminated() && (machine.latestHeartbeat != nil || machine.scaling.status == wire.MachineRunning) {
		c.fleet.machinesUp++
	}
	review.pendingCleanups = max(review.pendingCleanups, len(machine.reconciliation.pendingCleanup))
	quiet := c.silence(machine)
	if machine.latestHeartbeat != nil && quiet < forgetMachineAfter {
		review.reporting++
		if machine.unreachable() {
			review.unreachable++
		}
	}
	if !machine.isReconciled() && c.isDue(machine.reconciliation.nextSend) && quiet < c.heartbeatTimeout(machine) {
		c.retryLaunches(machine)
	}
}

// reviewProbe adds a machine to review if it is to be probed. As long as the records have tasks on a
// machine, it is probed however long it has been gone, because the tasks wait for the proof that it
// does not respond, and another controller may become the provisioner at any time.
func (c *Controller) reviewProbe(machine *machine, review *fleetReview) {
	if machine.scaling.terminated || len(machine.allocations) == 0 && (machine.isTerminated() || c.isGone(machine)) {
		return
	}
	if c.probeDue(machine, c.silence(machine)) {
		review.due = append(review.due, machine)
	}
}

// retryLaunches sends the commands of a machine again if it has allocations that this process
// launches.
func (c *Controller) retryLaunches(machine *machine) {
	launches := slices.ContainsFunc(machine.allocations, func(allocation *Allocation) bool {
		return allocation.Launcher == c.membership.incarnation && allocation.Eviction == record.EvictionNone
	})
	if launches && c.sendCommands(machine) {
		c.metrics.count(countLaunchRetries, 1)
	}
}

// probeDue reports whether to probe a machine that has sent no heartbeat for the time quiet.
// A machine that left a call unanswered is probed even if its heartbeats continue. A machine that
// has not joined yet has no worker to answer.
func (c *Controller) probeDue(machine *machine, quiet time.Duration) bool {
	if machine.addr == "" || !machine.hasJoined() || !machine.liveness.probeAllowed(c.now) {
		return false
	}
	return machine.liveness.unansweredCalls > 0 || quiet > c.heartbeatTimeout(machine) && c.shouldProbe(machine, quiet)
}
