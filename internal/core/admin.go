package core

import (
	"encoding/json"
	"net/http"

	"lilacrill/internal/config"
	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// operator is the operators' settings and their version; 0 while nobody has
// changed the defaults.
type operator struct {
	chosen  config.StoredOperator
	version wire.Revision
	// strange is why the stored settings cannot be understood; they are not written
	// over then.
	strange error
}

func (c *Core) applySettings(value json.RawMessage, version wire.Revision) error {
	chosen := config.StoredOperator{Operator: config.DefaultOperator()}
	if value != nil {
		// Values that a newer release stored and this one does not allow make it
		// keep what it has.
		if chosen, c.strange = config.ReadOperator(value); c.strange != nil {
			return c.strange
		}
	}
	c.chosen, c.version, c.dirty = chosen, version, true
	c.log.Info("operators' settings apply", "version", version, "settings", string(value))
	return nil
}

// view answers an operator who wants to look.
func (c *Core) view(in ViewAsked) {
	if !c.ready {
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
		c.viewShares(in.Request)
		return
	default:
		c.refuse(in.Request, http.StatusNotFound, "no such view", 0)
		return
	}
	c.reply(in.Request, http.StatusOK, body)
}

func (c *Core) viewSettings() wire.AdminSettings {
	b, err := json.Marshal(c.chosen)
	if err != nil {
		panic(err) // numbers and a word: cannot fail
	}
	return wire.AdminSettings{Version: c.version, Settings: b}
}

// operatorChange carries out a change of what is stored, named what, that an operator asks
// for. makeTxn is called once the cache holds all that was written before now; status
// tells how its errors are answered, and done answers once the change is carried out.
func (c *Core) operatorChange(r RequestID, what string, makeTxn func() (wire.Transaction, error), status func(error) int, done func()) {
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
		c.commit(ClassAccept, txn, func(result Committed) {
			switch result.Outcome {
			case Done:
				done()
			case Conflict:
				c.refuse(r, http.StatusConflict, "the controllers or the "+what+" have changed meanwhile: read the "+what+" again", 0)
			default:
				c.unavailable(r, "state service unavailable; read the "+what+" to see whether the change was made")
			}
		})
	})
}

// change stores new settings against the version they were made from.
func (c *Core) change(in ChangeAsked) {
	if !c.serving(in.Request) {
		return
	}
	// The barrier makes sure that a version is called stale, or the values are
	// checked, by what is stored now.
	c.barrier(func(ok bool) {
		if !ok {
			c.unavailable(in.Request, "state service unavailable")
			return
		}
		next, err := c.chosen.With(in.Change.Settings)
		switch {
		case c.strange != nil:
			c.refuse(in.Request, http.StatusConflict, "the stored settings cannot be read by this release: "+c.strange.Error(), 0)
			return
		case err != nil:
			c.refuse(in.Request, http.StatusBadRequest, err.Error(), 0)
			return
		case in.Change.Version != c.version:
			c.reply(in.Request, http.StatusConflict, wire.ErrorResponse{Error: "stale version: read the settings again"})
			return
		}
		c.commit(ClassAccept, wire.Transaction{
			If:   []wire.Condition{{Key: record.SettingsKey, Version: c.keyVersions[record.SettingsKey]}},
			Then: []wire.Change{c.put(record.SettingsKey, next)},
		}, func(r Committed) {
			switch r.Outcome {
			case Done:
				c.reply(in.Request, http.StatusOK, c.viewSettings())
			case Conflict:
				c.reply(in.Request, http.StatusConflict, wire.ErrorResponse{Error: "stale version: read the settings again"})
			default:
				c.unavailable(in.Request, "state service unavailable; read the settings to see whether they were stored")
			}
		})
	})
}

func (c *Core) viewControllers() []wire.AdminController {
	out := []wire.AdminController{{Label: c.settings.Label, Incarnation: c.boot, Alive: true, Provisioner: c.buyer == c.boot, Self: true,
		StoreReachable: c.stateFresh(), HeardFrom: true, HearsUs: true, Isolated: c.isolated(), Revision: c.feed, Token: c.token,
		StoreLagS: c.now.Sub(c.inStep).Seconds(), CancellationLagS: c.now.Sub(c.known()).Seconds(), RenewsLeases: c.now.Sub(c.known()) <= c.cancelSlack(),
		TimerLagS: c.lag * TickEvery.Seconds()}}
	for _, s := range c.settings.Siblings {
		boot, alive := c.nodes[s.Label]
		p := c.peers[s.Label]
		out = append(out, wire.AdminController{Label: s.Label, Incarnation: boot, Alive: alive, Provisioner: alive && c.buyer == boot,
			StoreReachable: p != nil && p.fresh && c.now.Sub(p.heard) < 3*heartbeatEvery,
			HeardFrom:      p != nil && c.now.Sub(p.heard) <= peerSilence, HearsUs: p != nil && c.now.Sub(p.echoed) <= echoSilence,
			Isolated: c.isolatedNodes[s.Label]})
	}
	return out
}

func (c *Core) viewTeams() []wire.AdminTeam {
	var out []wire.AdminTeam
	for i := range c.settings.Cluster.Teams {
		s := &c.settings.Cluster.Teams[i]
		t := c.teamOf(s.Name)
		v := wire.AdminTeam{Name: s.Name, Owner: c.teamOwner(s.Name), CPUsGuaranteed: s.CPUs, CPUsMax: s.CPUsMax,
			GPUsGuaranteed: s.GPUs, GPUsMax: s.GPUsMax, PlacementPages: len(t.pages), PlacementBackoff: !c.after(t.placeFrom)}
		var used placement.Amount
		for _, p := range t.pages {
			for k := range p.entries {
				used = used.Plus(p.entries[k].need(), float64(p.entries[k].Tasks.Len()))
			}
		}
		v.CPUsUsed, v.GPUsUsed = used.Cores, used.Accelerators
		for _, j := range c.jobs {
			if j.spec.Team == s.Name {
				v.Jobs++
				v.WaitingTasks += j.spec.Tasks - j.done.Len() - c.placedOf(j.id)
			}
		}
		out = append(out, v)
	}
	return out
}

func (c *Core) placedOf(id wire.JobID) int {
	n := 0
	for _, e := range c.ofJob[id] {
		n += e.Tasks.Len()
	}
	return n
}

func (c *Core) viewMachines() []wire.AdminMachine {
	out := []wire.AdminMachine{}
	for _, m := range c.inOrder() {
		if m.gone {
			continue
		}
		v := wire.AdminMachine{ID: m.id, Type: m.kind, Zone: m.zone, Spot: m.spot, Status: m.status,
			SilentS: c.now.Sub(c.lastSign(m)).Seconds(), Faulty: !c.after(m.badUntil), Reserved: m.reserved,
			ProvisioningLate: m.unborn() && m.status == wire.MachineBooting && !c.bootExpected(m), PreemptionNotice: m.recallAt != 0}
		v.TerminationReason = c.leaving[m.id].why
		for _, e := range m.entries {
			v.Tasks += e.Tasks.Len()
		}
		out = append(out, v)
	}
	return out
}

// maxViewed bounds how many jobs one view shows.
const maxViewed = 500

func (c *Core) viewJobs() []wire.AdminJob {
	out := []wire.AdminJob{}
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		v := wire.AdminJob{ID: id, Class: j.spec.Class, Team: j.spec.Team, Priority: j.spec.Priority, Tasks: j.spec.Tasks,
			Done: j.done.Len(), Placed: c.placedOf(id), FailedOn: len(j.errors), BackoffS: max(0, j.notBefore.Sub(c.now).Seconds())}
		v.Waiting = max(0, v.Tasks-v.Done-v.Placed)
		if v.Waiting > 0 {
			v.Reason = j.why
		}
		out = append(out, v)
		if len(out) == maxViewed {
			break
		}
	}
	return out
}
