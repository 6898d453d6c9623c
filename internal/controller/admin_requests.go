package controller

import (
	"encoding/json"
	"net/http"

	"lilacrill/internal/config"
	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// operatorSettings is the operators' settings and their version; 0 while nobody has
// changed the defaults.
type operatorSettings struct {
	values  config.StoredOperator
	version wire.Revision
	// unreadableCause is why the stored settings cannot be understood; they are not written
	// over then.
	unreadableCause error
}

func (c *Controller) applySettings(value json.RawMessage, version wire.Revision) error {
	chosen := config.StoredOperator{Operator: config.DefaultOperator()}
	if value != nil {
		// Values that a newer release stored and this one does not allow make it
		// keep what it has.
		if chosen, c.operator.unreadableCause = config.ReadOperator(value); c.operator.unreadableCause != nil {
			return c.operator.unreadableCause
		}
	}
	c.operator.values, c.operator.version, c.scheduler.dirty = chosen, version, true
	c.log.Info("operators' settings apply", "version", version, "settings", string(value))
	return nil
}

// handleView answers an operator who wants to look.
func (c *Controller) handleView(in ViewRequested) {
	if !c.membership.ready {
		c.unavailable(in.Request, "starting")
		return
	}
	var body any
	switch in.View {
	case wire.ViewControllers:
		body = c.viewControllers()
	case wire.ViewTeams:
		body = c.viewTeams()
	case wire.ViewMachines:
		body = c.viewMachines()
	case wire.ViewJobs:
		body = c.viewJobs()
	case wire.ViewMetrics:
		body = c.metrics.view()
	case wire.ViewSettings:
		c.afterBarrier(in.Request, func() { c.reply(in.Request, http.StatusOK, c.viewSettings()) })
		return
	case wire.ViewRollout:
		c.viewRollout(in.Request)
		return
	case wire.ViewShards:
		c.viewShards(in.Request)
		return
	default:
		c.refuse(in.Request, http.StatusNotFound, "no such view", 0)
		return
	}
	c.reply(in.Request, http.StatusOK, body)
}

func (c *Controller) viewSettings() wire.AdminSettings {
	b, err := json.Marshal(c.operator.values)
	if err != nil {
		panic(err) // numbers and a word: cannot fail
	}
	return wire.AdminSettings{Version: c.operator.version, Settings: b}
}

// operatorChange carries out a change of what is stored, named what, that an operator asks
// for. makeTxn is called once the cache holds all that was written before now; status
// tells how its errors are answered, and done answers once the change is carried out.
func (c *Controller) operatorChange(r RequestID, what string, makeTxn func() (wire.Transaction, error), status func(error) int, done func()) {
	c.afterBarrier(r, func() {
		txn, err := makeTxn()
		if err != nil {
			c.refuse(r, status(err), err.Error(), 0)
			return
		}
		if len(txn.If) > 4*c.settings.Cluster.State.TxnOps {
			c.refuse(r, http.StatusConflict, "more controllers than one transaction of the state service can demand", 0)
			return
		}
		c.commit(PriorityAdmission, txn, func(result CommitResult) {
			switch result.Outcome {
			case Succeeded:
				done()
			case Conflict:
				c.refuse(r, http.StatusConflict, "the controllers or the "+what+" have changed meanwhile: read the "+what+" again", 0)
			default:
				c.unavailable(r, "state service unavailable; read the "+what+" to see whether the change was made")
			}
		})
	})
}

// changeSettings stores new settings against the version they were made from.
func (c *Controller) changeSettings(in SettingsChangeRequested) {
	if !c.ensureServing(in.Request) {
		return
	}
	// The barrier makes sure that a version is called stale, or the values are
	// checked, by what is stored now.
	c.readBarrier(func(ok bool) {
		if !ok {
			c.unavailable(in.Request, "state service unavailable")
			return
		}
		next, err := c.operator.values.With(in.Change.Settings)
		switch {
		case c.operator.unreadableCause != nil:
			c.refuse(in.Request, http.StatusConflict, "the stored settings cannot be read by this release: "+c.operator.unreadableCause.Error(), 0)
			return
		case err != nil:
			c.refuse(in.Request, http.StatusBadRequest, err.Error(), 0)
			return
		case in.Change.Version != c.operator.version:
			c.reply(in.Request, http.StatusConflict, wire.ErrorResponse{Error: "stale version: read the settings again"})
			return
		}
		c.commit(PriorityAdmission, wire.Transaction{
			If:   []wire.Condition{{Key: record.SettingsKey, Version: c.cache.keyVersions[record.SettingsKey]}},
			Then: []wire.Change{c.putChange(record.SettingsKey, next)},
		}, func(r CommitResult) {
			switch r.Outcome {
			case Succeeded:
				c.reply(in.Request, http.StatusOK, c.viewSettings())
			case Conflict:
				c.reply(in.Request, http.StatusConflict, wire.ErrorResponse{Error: "stale version: read the settings again"})
			default:
				c.unavailable(in.Request, "state service unavailable; read the settings to see whether they were stored")
			}
		})
	})
}

func (c *Controller) viewControllers() []wire.AdminController {
	out := []wire.AdminController{{Label: c.settings.Label, Incarnation: c.membership.incarnation, Alive: true, Provisioner: c.cache.provisionerIncarnation == c.membership.incarnation, Self: true,
		StoreReachable: c.storeReachable(), HeardFrom: true, HearsUs: true, Isolated: c.isolated(), Revision: c.cache.revision, Token: c.cache.token,
		StoreLagS: c.now.Sub(c.cancellations.cacheCurrentAt).Seconds(), CancellationLagS: c.now.Sub(c.cancellationsKnownAt()).Seconds(), RenewsLeases: c.now.Sub(c.cancellationsKnownAt()) <= c.maxRenewalStaleness(),
		TimerLagS: c.scheduler.lag * TickEvery.Seconds()}}
	for _, s := range c.settings.Siblings {
		boot, alive := c.cache.liveControllers[s.Label]
		p := c.gossip.peers[s.Label]
		out = append(out, wire.AdminController{Label: s.Label, Incarnation: boot, Alive: alive, Provisioner: alive && c.cache.provisionerIncarnation == boot,
			StoreReachable: p != nil && p.storeReachable && c.now.Sub(p.lastHeardAt) < 3*peerHeartbeatInterval,
			HeardFrom:      p != nil && c.now.Sub(p.lastHeardAt) <= peerTimeout, HearsUs: p != nil && c.now.Sub(p.ackedAt) <= ackTimeout,
			Isolated: c.cache.isolatedControllers[s.Label]})
	}
	return out
}

func (c *Controller) viewTeams() []wire.AdminTeam {
	var out []wire.AdminTeam
	for i := range c.settings.Cluster.Teams {
		s := &c.settings.Cluster.Teams[i]
		t := c.cache.team(s.Name)
		v := wire.AdminTeam{Name: s.Name, Owner: c.teamOwner(s.Name), CPUsGuaranteed: s.CPUs, CPUsMax: s.CPUsMax,
			GPUsGuaranteed: s.GPUs, GPUsMax: s.GPUsMax, PlacementPages: len(t.pages), PlacementBackoff: !c.isDue(t.schedule.nextPlacement)}
		var used placement.Resources
		for _, p := range t.orderedPages() { // a sum of fractions depends on the order
			for k := range p.allocations {
				used = used.Plus(p.allocations[k].taskResources(), float64(p.allocations[k].Tasks.Len()))
			}
		}
		v.CPUsUsed, v.GPUsUsed = used.Cores, used.Accelerators
		for _, j := range c.cache.jobs {
			if j.spec.Team == s.Name {
				v.Jobs++
				v.WaitingTasks += j.spec.Tasks - j.completed.Len() - c.placedTasks(j.id)
			}
		}
		out = append(out, v)
	}
	return out
}

func (c *Controller) placedTasks(id wire.JobID) int {
	n := 0
	for _, e := range c.scheduler.allocationsByJob[id] {
		n += e.Tasks.Len()
	}
	return n
}

func (c *Controller) viewMachines() []wire.AdminMachine {
	out := []wire.AdminMachine{}
	for _, m := range c.orderedMachines() {
		if m.scaling.terminated {
			continue
		}
		v := wire.AdminMachine{ID: m.id, Type: m.machineType, Zone: m.zone, Spot: m.spot, Status: m.scaling.status,
			SilentS: c.now.Sub(c.lastSeen(m)).Seconds(), Faulty: !c.isDue(m.quarantine.faultyUntil), Reserved: m.scaling.holdsHeadroom,
			ProvisioningLate: m.isProvisioning() && m.scaling.status == wire.MachineBooting && !c.expectedToJoin(m), PreemptionNotice: m.scaling.preemptionAt != 0}
		v.TerminationReason = c.cache.terminating[m.id].reason
		for _, e := range m.allocations {
			v.Tasks += e.Tasks.Len()
		}
		out = append(out, v)
	}
	return out
}

// maxJobsInView bounds how many jobs one view shows.
const maxJobsInView = 500

func (c *Controller) viewJobs() []wire.AdminJob {
	out := []wire.AdminJob{}
	for _, id := range sortedKeys(c.cache.jobs) {
		j := c.cache.jobs[id]
		v := wire.AdminJob{ID: id, Class: j.spec.Class, Team: j.spec.Team, Priority: j.spec.Priority, Tasks: j.spec.Tasks,
			Done: j.completed.Len(), Placed: c.placedTasks(id), FailedOn: len(j.crashLoop.failedMachines), BackoffS: max(0, j.crashLoop.retryAt.Sub(c.now).Seconds())}
		v.Waiting = max(0, v.Tasks-v.Done-v.Placed)
		if v.Waiting > 0 {
			v.Reason = j.pendingReason
		}
		out = append(out, v)
		if len(out) == maxJobsInView {
			break
		}
	}
	return out
}
