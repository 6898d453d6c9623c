package controller

import (
	"slices"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// partition is a zone that seems to be cut off.
type partition struct {
	lastSeenAt Time // when it last seemed so
	silent     int  // machines in it that were silent then
}

// reasonIdle is why machines are returned that nothing stands on, reasonHoldsCompletedWork why those
// are that hold ended work and cannot be told to stop it, and reasonAlreadyTerminated those that are
// gone already with something on them.
const (
	reasonIdle               = "idle"
	reasonHoldsCompletedWork = "holds ended work"
	reasonAlreadyTerminated  = "gone with work on it"
)

// mayBeBusy reports whether a machine without entries reports tasks of which the
// records cannot be read.
func (c *Controller) mayBeBusy(m *machine) bool {
	return len(c.cache.unreadable) > 0 && slices.ContainsFunc(m.latestHeartbeat.Tasks, func(t wire.TaskStatus) bool { return c.jobUnreadable(t.Task.Job) })
}

// reviewMachines finds machines that should go: dead, silent, never up, or idle.
func (c *Controller) reviewMachines() {
	silence, idle := config.Seconds(c.operator.values.UnresponsiveS), config.Seconds(c.operator.values.IdleS)
	silent, reporting := 0, 0
	bySilent, byHeard, lastHeard := map[string]int{}, map[string]int{}, map[string]Time{}
	for id, m := range c.fleet.machines {
		// What we return ourselves falls silent, which says nothing about us.
		if _, going := c.cache.terminating[id]; m.latestHeartbeat != nil && !m.isTerminated() && !going {
			reporting++
			lastHeard[m.zone] = max(lastHeard[m.zone], m.liveness.lastHeartbeatAt)
			// Reports may be further apart than that: only what was asked and did
			// not answer is silent, or should have been asked by somebody long ago. Where all that had no reason to report counted, a
			// zone that was cut off was never seen to be, and with one sibling out of
			// hearing no machine was given up.
			switch quiet := c.now.Sub(c.lastSeen(m)); {
			case quiet <= silence/2:
				byHeard[m.zone]++
			case m.liveness.unansweredProbes > 0 || quiet > c.heartbeatTimeout(m)+probeGracePeriod:
				bySilent[m.zone]++
				silent++
			}
		}
	}
	for zone, n := range bySilent {
		// Nearly all of a zone at once, while others are heard: it is cut off. Seen
		// before the first of them would be given up.
		if n > 2 && n > 3*byHeard[zone] && 2*silent < reporting {
			c.provisioner.partitionedZones[zone] = partition{c.now, n}
		}
	}
	for zone, seen := range c.provisioner.partitionedZones {
		if c.now.Sub(seen.lastSeenAt) > partitionLifetime || lastHeard[zone] > seen.lastSeenAt.Add(silence) {
			delete(c.provisioner.partitionedZones, zone)
		}
	}
	// Many silent at once, and no sibling that hears them: it may be us who is
	// cut off.
	cutOff := silent > 2 && 2*silent > reporting && !c.allPeersHeard() ||
		c.isolationSuspected() && (silent < reporting || !c.allPeersHeard())
	for _, m := range c.orderedMachines() {
		id := m.id
		if _, going := c.cache.terminating[id]; m.scaling.terminated && len(m.allocations) > 0 && !going && c.provisioner.toTerminate[id] == "" && !slices.Contains(c.cache.terminations.Confirmed, id) {
			// It was returned while that could not be written down, or got work from one
			// that did not know. All have to learn that what stood on it is gone.
			c.markForTermination(m, reasonAlreadyTerminated)
			continue
		} else if m.scaling.terminated || m.isTerminated() && len(m.allocations) == 0 || c.provisioner.toTerminate[id] != "" || going {
			continue
		}
		quiet := c.now.Sub(c.lastSeen(m))
		busy := len(m.allocations) > 0
		if busy || m.scaling.holdsHeadroom || m.latestHeartbeat == nil || c.mayBeBusy(m) {
			m.scaling.idleSince = 0
		} else if m.scaling.idleSince == 0 {
			m.scaling.idleSince = c.now
		}
		switch {
		case m.scaling.status == wire.MachineFailed:
			c.markForTermination(m, "failed")
		case m.latestHeartbeat == nil && m.scaling.status != wire.MachineRunning && !busy:
			if c.neverJoined(m) {
				c.markForTermination(m, "never came up")
			}
		case c.holdsCompletedTasks(id, c.completedTaskTolerance(cutOff)) && m.liveness.unansweredCalls >= unreachableThreshold:
			// Tasks of jobs that are over must be gone in time, and it cannot be
			// told: whatever the bounds, it goes.
			c.markForTermination(m, reasonHoldsCompletedWork)
		case quiet > c.silenceTolerance(m, silence) && (m.liveness.unansweredProbes >= 2 || c.hadTimeToReport(m, quiet)) && !cutOff &&
			!c.maybePartitioned(m, lastHeard[m.zone], quiet-c.silenceTolerance(m, silence)) && (busy || c.now.Sub(m.scaling.lastListedAt) < forgetMachineAfter):
			if c.admitSilentTermination(m, reporting) {
				c.markForTermination(m, "silent")
			}
		case m.unreachable() && m.liveness.lastHeartbeatAt > m.liveness.unreachableSince && c.heartbeatsOnTime(m) && !c.fleet.outboundSuspect && !cutOff &&
			c.now.Sub(m.liveness.unreachableSince) > config.Seconds(c.settings.Cluster.Workers.LeaseS/2):
			// Its reports come, but it hears nothing: its lease runs out unseen. One
			// whose reports do not come either is silent, and may be in a zone that is
			// cut off: once all machines of such a zone went this way, and later one of
			// which a report had come just after the first call that the cut swallowed.
			if c.admitSilentTermination(m, reporting) {
				c.markForTermination(m, "unreachable")
			}
		case m.scaling.idleSince != 0 && c.now.Sub(m.scaling.idleSince) > idle && c.provisioner.missingHeadroom == 0 &&
			(len(c.provisioner.unmetDemands) == 0 || c.abovePriceLimit(m) || c.now.Sub(m.scaling.idleSince) > 2*idle): // what waits cannot use it
			c.markForTermination(m, reasonIdle)
		}
	}
}

// hadTimeToReport reports whether a machine that only the records name has had the time
// to be listed, or to be heard by somebody. A buyer that had just started once gave up
// dozens before it had read the list, which their workers were on their way to.
func (c *Controller) hadTimeToReport(m *machine, quiet time.Duration) bool {
	return m.addr == "" && c.provisioner.listsSinceElected > 0 && quiet > config.Seconds(1.25*c.settings.Cluster.Workers.ReportS)+heartbeatSlack
}

// holdsCompletedTasks reports whether a machine has held ended work for longer than that.
func (c *Controller) holdsCompletedTasks(id wire.MachineID, patience time.Duration) bool {
	return c.completedTasks.heldLongerThan(id, c.now, patience) && c.completedTasksOn(id).recorded
}

// completedTaskTolerance is how long a machine may hold ended work that it cannot be told
// to stop. While it may be us who cannot be heard, others have time to do it.
func (c *Controller) completedTaskTolerance(cutOff bool) time.Duration {
	part := completedTaskFraction
	if cutOff {
		part = completedTaskFractionIsolated
	}
	return config.Seconds(part * c.settings.Cluster.Workers.CancelS)
}

// isPartitioned reports whether a zone seems to be cut off. Nothing is rented there
// meanwhile: what came up would be silent, be returned, and be rented again.
func (c *Controller) isPartitioned(zone string) bool {
	_, cut := c.provisioner.partitionedZones[zone]
	return cut
}

// silenceTolerance is how long a machine may be silent before it is given up. What hangs
// often goes on after a while: where nothing urgent stands on it, waiting costs
// less than to start its work anew on a machine that has yet to boot.
func (c *Controller) silenceTolerance(m *machine, silence time.Duration) time.Duration {
	for _, e := range m.allocations {
		if e.Priority == wire.PriorityCritical.Level() {
			if c.provisioner.partitionedZones[m.zone].silent >= minPartitionedMachines {
				// A zone that is cut off works on, and its workers' leases last for a
				// while: so long nothing on it is lost, unless we return it.
				w := &c.settings.Cluster.Workers
				return max(silence, config.Seconds(w.LeaseS-1.25*w.ReportS))
			}
			return silence
		}
	}
	if t := c.machineTypeNamed(m.machineType); t != nil && t.Accelerators > 0 {
		if c.isPartitioned(m.zone) {
			// They could not be replaced in their zone, and are the scarcest: once the
			// zone is back, they are there with their images.
			return partitionLeases * config.Seconds(c.settings.Cluster.Workers.LeaseS)
		}
		// Until all of the zone had reason to report, it may be cut off.
		silence += config.Seconds(1.3 * c.settings.Cluster.Workers.ReportS)
	}
	for _, e := range m.allocations {
		if e.Priority == wire.PriorityHigh.Level() {
			return silence
		}
	}
	return max(silence, 2*config.Seconds(c.settings.Cluster.Workers.ReportS))
}

// maybePartitioned reports whether nothing shows yet that a silent machine fell silent by
// itself: no machine of its zone was heard after it first left a call unanswered. Where
// few machines of a zone have reason to be asked early, a cut is seen only once the
// others should have reported; the first of them was returned meanwhile.
func (c *Controller) maybePartitioned(m *machine, zoneHeard Time, overdue time.Duration) bool {
	others := config.Seconds(1.3*c.settings.Cluster.Workers.ReportS) + probeGracePeriod
	return m.liveness.unansweredCalls > 0 && zoneHeard <= m.liveness.unreachableSince && overdue < others
}

// allPeersHeard reports whether all other living controllers talk to us.
func (c *Controller) allPeersHeard() bool {
	for label := range c.cache.liveControllers {
		if label == c.settings.Label {
			continue
		}
		if p := c.gossip.peers[label]; p == nil || c.now.Sub(p.lastHeardAt) > 3*peerHeartbeatInterval {
			return false
		}
	}
	return len(c.cache.liveControllers) > 1
}

// admitSilentTermination bounds how many silent machines go at once. A part of the bound is kept
// for machines that somebody waits for at every moment: when a hundred hang, those
// without a replica, which were silent first, would use it up for seconds.
func (c *Controller) admitSilentTermination(m *machine, reporting int) bool {
	c.provisioner.silentTerminations = slices.DeleteFunc(c.provisioner.silentTerminations, func(t Time) bool { return c.now.Sub(t) > silentTerminationWindow })
	most := max(minSilentTerminations, reporting/silentTerminationDivisor)
	if !c.hasCriticalTasks(m) {
		most -= most / criticalTerminationDivisor
	}
	if len(c.provisioner.silentTerminations) >= most {
		return false
	}
	c.provisioner.silentTerminations = append(c.provisioner.silentTerminations, c.now)
	return true
}

// markForTermination notes that a machine is to be returned; it is written down with the
// others of the moment.
func (c *Controller) markForTermination(m *machine, why string) {
	c.provisioner.toTerminate[m.id] = why
	c.log.Info("machine to be returned", "machine", m.id, "why", why, "quiet", c.now.Sub(c.lastSeen(m)), "unanswered", m.liveness.unansweredCalls)
}

// recordTerminations writes down which machines are going and which are gone. Placements
// demand that this record is as they saw it, so none can slip in unseen.
func (c *Controller) recordTerminations() {
	if c.provisioner.recordingTerminations || !c.isDue(c.provisioner.nextTerminationRecord) {
		return
	}
	next := record.Terminations{Pending: map[string][]wire.MachineID{}}
	changed := len(c.provisioner.toTerminate) > 0
	room := c.pageLimit() - len(`{"going":{},"gone":[]}`)
	keep := func(list []wire.MachineID, id wire.MachineID) []wire.MachineID {
		room -= len(id) + len(`"",`)
		return append(list, id)
	}
	for _, id := range sortedKeys(c.cache.terminating) {
		d := c.cache.terminating[id]
		switch m := c.machine(id); {
		case m.scaling.terminated:
			changed = true
			if len(c.machine(id).allocations) > 0 {
				next.Confirmed = keep(next.Confirmed, id)
			}
		case d.reason == reasonIdle && len(c.machine(id).allocations) > 0 && !c.provisioner.terminateRequested[id]:
			changed = true // it got work before its end was written down: keep it
		default:
			next.Pending[d.reason] = keep(next.Pending[d.reason], id)
		}
	}
	for _, id := range c.cache.terminations.Confirmed {
		if len(c.machine(id).allocations) == 0 {
			changed = true
		} else {
			next.Confirmed = keep(next.Confirmed, id)
		}
	}
	if !changed {
		return
	}
	taken := make([]wire.MachineID, 0, len(c.provisioner.toTerminate))
	for _, id := range sortedKeys(c.provisioner.toTerminate) {
		why := c.provisioner.toTerminate[id]
		if next.Pending[why] == nil {
			room -= len(why) + len(`"":[],`)
		}
		if room > 0 && c.machine(id) != nil {
			next.Pending[why] = keep(next.Pending[why], id)
			taken = append(taken, id)
		}
	}
	c.provisioner.recordingTerminations = true
	c.provisioner.nextTerminationRecord = c.now.Add(terminationRecordInterval)
	// One write for all that goes, which replicas wait for: ahead of submissions.
	c.commit(PriorityUrgent, wire.Transaction{
		If:   []wire.Condition{{Key: record.TerminationsKey, Version: c.cache.keyVersions[record.TerminationsKey]}},
		Then: []wire.Change{c.putChange(record.TerminationsKey, next)},
	}, func(r CommitResult) {
		c.provisioner.recordingTerminations = false
		if r.Outcome != NotExecuted {
			for _, id := range taken {
				delete(c.provisioner.toTerminate, id)
			}
		}
		if r.Outcome != Succeeded {
			c.readBarrier(func(bool) {})
		}
	})
}

// terminateRecorded returns pendingTermination machines. The cloud's 200 means that they and all on
// them are gone; only then do their tasks leave the records.
func (c *Controller) terminateRecorded() {
	if c.provisioner.terminateCallInFlight {
		return
	}
	var names []wire.MachineID
	for _, id := range sortedKeys(c.cache.terminating) {
		d := c.cache.terminating[id]
		if m := c.machine(id); m.scaling.terminated || d.since > c.cache.revision || len(names) == wire.MaxTerminate ||
			d.reason == reasonIdle && len(c.machine(id).allocations) > 0 && !c.provisioner.terminateRequested[id] {
			continue
		}
		names = append(names, id)
		c.provisioner.terminateRequested[id] = true
	}
	if len(names) == 0 {
		return
	}
	c.callTerminate(names, func(m *machine) {
		c.metrics.count(countTerminated+c.cache.terminating[m.id].reason, 1)
		delete(c.provisioner.terminateRequested, m.id)
	})
}

// callTerminate has the cloud take machines back; gone is called for each once it
// confirms that they are gone.
func (c *Controller) callTerminate(names []wire.MachineID, gone func(*machine)) {
	c.provisioner.terminateCallInFlight = true
	c.emit(TerminateMachines{call(c, func(r TerminateResult) {
		c.provisioner.terminateCallInFlight = false
		c.metrics.countFailure(r.Outcome, countCloudRefused, countCloudUnanswered)
		if r.Outcome != Succeeded {
			return
		}
		for _, id := range names {
			m := c.machine(id)
			m.scaling.terminated, m.scaling.terminatedAt, c.scheduler.dirty = true, c.now, true
			m.markForReview()
			gone(m)
		}
	}), names})
}
