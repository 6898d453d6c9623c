package core

import (
	"slices"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// cut is a zone that seems to be cut off.
type cut struct {
	since  Time // when it last seemed so
	silent int  // machines in it that were silent then
}

// whyIdle is why machines are returned that nothing stands on, whyEnded why those
// are that hold ended work and cannot be told to stop it, and whyGone those that are
// gone already with something on them.
const (
	whyIdle  = "idle"
	whyEnded = "holds ended work"
	whyGone  = "gone with work on it"
)

// mayBeBusy reports whether a machine without entries reports tasks of which the
// records cannot be read.
func (c *Core) mayBeBusy(m *machine) bool {
	return len(c.unreadable) > 0 && slices.ContainsFunc(m.newest.Tasks, func(t wire.TaskStatus) bool { return c.holds(t.Task.Job) })
}

// reviewMachines finds machines that should go: dead, silent, never up, or idle.
func (c *Core) reviewMachines() {
	silence, idle := config.Seconds(c.chosen.SilenceS), config.Seconds(c.chosen.IdleS)
	silent, reporting := 0, 0
	bySilent, byHeard, lastHeard := map[string]int{}, map[string]int{}, map[string]Time{}
	for id, m := range c.machines {
		// What we return ourselves falls silent, which says nothing about us.
		if _, going := c.leaving[id]; m.newest != nil && !m.left() && !going {
			reporting++
			lastHeard[m.zone] = max(lastHeard[m.zone], m.heard)
			// Reports may be further apart than that: only what was asked and did
			// not answer is silent, or should have been asked by somebody long ago. Where all that had no reason to report counted, a
			// zone that was cut off was never seen to be, and with one sibling out of
			// hearing no machine was given up.
			switch quiet := c.now.Sub(c.lastSign(m)); {
			case quiet <= silence/2:
				byHeard[m.zone]++
			case m.unansweredRequests > 0 || quiet > c.silentAsk(m)+askedBySome:
				bySilent[m.zone]++
				silent++
			}
		}
	}
	for zone, n := range bySilent {
		// Nearly all of a zone at once, while others are heard: it is cut off. Seen
		// before the first of them would be given up.
		if n > 2 && n > 3*byHeard[zone] && 2*silent < reporting {
			c.cutZones[zone] = cut{c.now, n}
		}
	}
	for zone, seen := range c.cutZones {
		if c.now.Sub(seen.since) > cutFor || lastHeard[zone] > seen.since.Add(silence) {
			delete(c.cutZones, zone)
		}
	}
	// Many silent at once, and no sibling that hears them: it may be us who is
	// cut off.
	cutOff := silent > 2 && 2*silent > reporting && !c.siblingsWell() ||
		c.inDoubt() && (silent < reporting || !c.siblingsWell())
	for _, m := range c.inOrder() {
		id := m.id
		if _, going := c.leaving[id]; m.gone && len(m.entries) > 0 && !going && c.toReturn[id] == "" && !slices.Contains(c.returns.Confirmed, id) {
			// It was returned while that could not be written down, or got work from one
			// that did not know. All have to learn that what stood on it is gone.
			c.markReturn(m, whyGone)
			continue
		} else if m.gone || m.left() && len(m.entries) == 0 || c.toReturn[id] != "" || going {
			continue
		}
		quiet := c.now.Sub(c.lastSign(m))
		busy := len(m.entries) > 0
		if busy || m.reserved || m.newest == nil || c.mayBeBusy(m) {
			m.idleSince = 0
		} else if m.idleSince == 0 {
			m.idleSince = c.now
		}
		switch {
		case m.status == wire.MachineFailed:
			c.markReturn(m, "failed")
		case m.newest == nil && m.status != wire.MachineRunning && !busy:
			if c.neverCame(m) {
				c.markReturn(m, "never came up")
			}
		case c.holdsEnded(id, c.overPatience(cutOff)) && m.unanswered >= unreachableCalls:
			// Tasks of jobs that are over must be gone in time, and it cannot be
			// told: whatever the bounds, it goes.
			c.markReturn(m, whyEnded)
		case quiet > c.silenceTolerance(m, silence) && (m.unansweredRequests >= 2 || c.unaddressed(m, quiet)) && !cutOff &&
			!c.mayBeCut(m, lastHeard[m.zone], quiet-c.silenceTolerance(m, silence)) && (busy || c.now.Sub(m.listed) < forgetAfter):
			if c.mayGiveUp(m, reporting) {
				c.markReturn(m, "silent")
			}
		case m.unreachable() && m.heard > m.unreachableSince && c.reports(m) && !c.unheard && !cutOff &&
			c.now.Sub(m.unreachableSince) > config.Seconds(c.settings.Cluster.Workers.LeaseS/2):
			// Its reports come, but it hears nothing: its lease runs out unseen. One
			// whose reports do not come either is silent, and may be in a zone that is
			// cut off: once all machines of such a zone went this way, and later one of
			// which a report had come just after the first call that the cut swallowed.
			if c.mayGiveUp(m, reporting) {
				c.markReturn(m, "unreachable")
			}
		case m.idleSince != 0 && c.now.Sub(m.idleSince) > idle && c.lacking == 0 &&
			(len(c.backlog) == 0 || c.tooDear(m) || c.now.Sub(m.idleSince) > 2*idle): // what waits cannot use it
			c.markReturn(m, whyIdle)
		}
	}
}

// unaddressed reports whether a machine that only the records name has had the time
// to be listed, or to be heard by somebody. A buyer that had just started once gave up
// dozens before it had read the list, which their workers were on their way to.
func (c *Core) unaddressed(m *machine, quiet time.Duration) bool {
	return m.addr == "" && c.lists > 0 && quiet > config.Seconds(1.25*c.settings.Cluster.Workers.ReportS)+reportSlack
}

// holdsEnded reports whether a machine has held ended work for longer than that.
func (c *Core) holdsEnded(id wire.MachineID, patience time.Duration) bool {
	since, ok := c.overOn[id]
	if !ok || c.now.Sub(since) <= patience {
		return false
	}
	held, _, _ := c.endedOn(id)
	return held
}

// overPatience is how long a machine may hold ended work that it cannot be told
// to stop. While it may be us who cannot be heard, others have time to do it.
func (c *Core) overPatience(cutOff bool) time.Duration {
	part := overPart
	if cutOff {
		part = overPartCut
	}
	return config.Seconds(part * c.settings.Cluster.Workers.CancelS)
}

// isCut reports whether a zone seems to be cut off. Nothing is rented there
// meanwhile: what came up would be silent, be returned, and be rented again.
func (c *Core) isCut(zone string) bool {
	_, cut := c.cutZones[zone]
	return cut
}

// silenceTolerance is how long a machine may be silent before it is given up. What hangs
// often goes on after a while: where nothing urgent stands on it, waiting costs
// less than to start its work anew on a machine that has yet to boot.
func (c *Core) silenceTolerance(m *machine, silence time.Duration) time.Duration {
	for _, e := range m.entries {
		if e.Priority == wire.PriorityCritical.Level() {
			if c.cutZones[m.zone].silent >= cutLeast {
				// A zone that is cut off works on, and its workers' leases last for a
				// while: so long nothing on it is lost, unless we return it.
				w := &c.settings.Cluster.Workers
				return max(silence, config.Seconds(w.LeaseS-1.25*w.ReportS))
			}
			return silence
		}
	}
	if t := c.kind(m.kind); t != nil && t.Accelerators > 0 {
		if c.isCut(m.zone) {
			// They could not be replaced in their zone, and are the scarcest: once the
			// zone is back, they are there with their images.
			return cutLeases * config.Seconds(c.settings.Cluster.Workers.LeaseS)
		}
		// Until all of the zone had reason to report, it may be cut off.
		silence += config.Seconds(1.3 * c.settings.Cluster.Workers.ReportS)
	}
	for _, e := range m.entries {
		if e.Priority == wire.PriorityHigh.Level() {
			return silence
		}
	}
	return max(silence, 2*config.Seconds(c.settings.Cluster.Workers.ReportS))
}

// mayBeCut reports whether nothing shows yet that a silent machine fell silent by
// itself: no machine of its zone was heard after it first left a call unanswered. Where
// few machines of a zone have reason to be asked early, a cut is seen only once the
// others should have reported; the first of them was returned meanwhile.
func (c *Core) mayBeCut(m *machine, zoneHeard Time, overdue time.Duration) bool {
	others := config.Seconds(1.3*c.settings.Cluster.Workers.ReportS) + askedBySome
	return m.unanswered > 0 && zoneHeard <= m.unreachableSince && overdue < others
}

// siblingsWell reports whether all other living controllers talk to us.
func (c *Core) siblingsWell() bool {
	for label := range c.nodes {
		if label == c.settings.Label {
			continue
		}
		if p := c.peers[label]; p == nil || c.now.Sub(p.heard) > 3*heartbeatEvery {
			return false
		}
	}
	return len(c.nodes) > 1
}

// mayGiveUp bounds how many silent machines go at once. A part of the bound is kept
// for machines that somebody waits for at every moment: when a hundred hang, those
// without a replica, which were silent first, would use it up for seconds.
func (c *Core) mayGiveUp(m *machine, reporting int) bool {
	c.silentAt = slices.DeleteFunc(c.silentAt, func(t Time) bool { return c.now.Sub(t) > silentWindow })
	most := max(silentLeast, reporting/silentPart)
	if !c.hasCriticalTasks(m) {
		most -= most / criticalTasksPart
	}
	if len(c.silentAt) >= most {
		return false
	}
	c.silentAt = append(c.silentAt, c.now)
	return true
}

// markReturn notes that a machine is to be returned; it is written down with the
// others of the moment.
func (c *Core) markReturn(m *machine, why string) {
	c.toReturn[m.id] = why
	c.log.Info("machine to be returned", "machine", m.id, "why", why, "quiet", c.now.Sub(c.lastSign(m)), "unanswered", m.unanswered)
}

// writeReturns writes down which machines are going and which are gone. Placements
// demand that this record is as they saw it, so none can slip in unseen.
func (c *Core) writeReturns() {
	if c.returnsCall || !c.after(c.nextReturns) {
		return
	}
	next := record.Terminations{Pending: map[string][]wire.MachineID{}}
	changed := len(c.toReturn) > 0
	room := c.pageLimit() - len(`{"going":{},"gone":[]}`)
	keep := func(list []wire.MachineID, id wire.MachineID) []wire.MachineID {
		room -= len(id) + len(`"",`)
		return append(list, id)
	}
	for _, id := range sortedKeys(c.leaving) {
		d := c.leaving[id]
		switch m := c.machineOf(id); {
		case m.gone:
			changed = true
			if len(c.machineOf(id).entries) > 0 {
				next.Confirmed = keep(next.Confirmed, id)
			}
		case d.why == whyIdle && len(c.machineOf(id).entries) > 0 && !c.returned[id]:
			changed = true // it got work before its end was written down: keep it
		default:
			next.Pending[d.why] = keep(next.Pending[d.why], id)
		}
	}
	for _, id := range c.returns.Confirmed {
		if len(c.machineOf(id).entries) == 0 {
			changed = true
		} else {
			next.Confirmed = keep(next.Confirmed, id)
		}
	}
	if !changed {
		return
	}
	taken := make([]wire.MachineID, 0, len(c.toReturn))
	for _, id := range sortedKeys(c.toReturn) {
		why := c.toReturn[id]
		if next.Pending[why] == nil {
			room -= len(why) + len(`"":[],`)
		}
		if room > 0 && c.machineOf(id) != nil {
			next.Pending[why] = keep(next.Pending[why], id)
			taken = append(taken, id)
		}
	}
	c.returnsCall = true
	c.nextReturns = c.now.Add(returnsEvery)
	// One write for all that goes, which replicas wait for: ahead of submissions.
	c.commit(ClassUrgent, wire.Transaction{
		If:   []wire.Condition{{Key: record.TerminationsKey, Version: c.keyVersions[record.TerminationsKey]}},
		Then: []wire.Change{c.put(record.TerminationsKey, next)},
	}, func(r Committed) {
		c.returnsCall = false
		if r.Outcome != NotDone {
			for _, id := range taken {
				delete(c.toReturn, id)
			}
		}
		if r.Outcome != Done {
			c.barrier(func(bool) {})
		}
	})
}

// giveBack returns leavingEntry machines. The cloud's 200 means that they and all on
// them are gone; only then do their tasks leave the records.
func (c *Core) giveBack() {
	if c.returning {
		return
	}
	var names []wire.MachineID
	for _, id := range sortedKeys(c.leaving) {
		d := c.leaving[id]
		if m := c.machineOf(id); m.gone || d.since > c.feed || len(names) == wire.MaxTerminate ||
			d.why == whyIdle && len(c.machineOf(id).entries) > 0 && !c.returned[id] {
			continue
		}
		names = append(names, id)
		c.returned[id] = true
	}
	if len(names) == 0 {
		return
	}
	c.callReturn(names, func(m *machine) {
		c.count(countReturned+c.leaving[m.id].why, 1)
		delete(c.returned, m.id)
	})
}

// callReturn has the cloud take machines back; gone is called for each once it
// confirms that they are gone.
func (c *Core) callReturn(names []wire.MachineID, gone func(*machine)) {
	c.returning = true
	c.do(ReturnMachines{call(c, func(r GivenBack) {
		c.returning = false
		c.outcome(r.Outcome, countCloudNot, countCloudLost)
		if r.Outcome != Done {
			return
		}
		for _, id := range names {
			m := c.machineOf(id)
			m.gone, m.goneAt, c.dirty = true, c.now, true
			m.lookAgain()
			gone(m)
		}
	}), names})
}
