package controller

import (
	"encoding/json"
	"net/http"

	"lilacrill/internal/apierror"
	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

const reasonStaleSettings = "stale version: read the settings again"

// operatorSettings is the operators' settings and their version; 0 while nobody has changed
// the defaults.
type operatorSettings struct {
	values  config.StoredOperator
	version wire.Revision
	// unreadableCause is why the stored settings cannot be understood; they are not
	// overwritten then.
	unreadableCause error
}

// applySettings takes stored settings. Values that a newer release stored and this one does
// not allow make it keep what it has.
func (c *Controller) applySettings(value json.RawMessage, version wire.Revision) error {
	settings := config.StoredOperator{Operator: config.DefaultOperator()}
	if value != nil {
		if settings, c.operator.unreadableCause = config.ReadOperator(value); c.operator.unreadableCause != nil {
			return c.operator.unreadableCause
		}
	}
	c.operator.values, c.operator.version, c.scheduler.dirty = settings, version, true
	c.log.Info("operator settings applied", "version", version, "settings", string(value))
	return nil
}

// handleView answers an operator's request for a view. The views of what is stored are read
// after a barrier, since a change is made against the version that they show.
func (c *Controller) handleView(in ViewRequested) {
	if !c.membership.ready {
		c.unavailable(in.Request, reasonStarting)
		return
	}
	switch in.View {
	case wire.ViewControllers:
		c.reply(in.Request, http.StatusOK, c.viewControllers())
	case wire.ViewTeams:
		c.reply(in.Request, http.StatusOK, c.viewTeams())
	case wire.ViewMachines:
		c.reply(in.Request, http.StatusOK, c.viewMachines())
	case wire.ViewJobs:
		c.reply(in.Request, http.StatusOK, c.viewJobs())
	case wire.ViewMetrics:
		c.reply(in.Request, http.StatusOK, c.metrics.view())
	case wire.ViewSettings:
		c.afterBarrier(in.Request, func() { c.reply(in.Request, http.StatusOK, c.viewSettings()) })
	case wire.ViewRollout:
		c.viewRollout(in.Request)
	case wire.ViewShards:
		c.viewShards(in.Request)
	default:
		c.refuse(in.Request, http.StatusNotFound, "no such view", 0)
	}
}

func (c *Controller) viewSettings() wire.AdminSettings {
	values, err := json.Marshal(c.operator.values)
	if err != nil {
		panic(err) // numbers and a word: cannot fail
	}
	return wire.AdminSettings{Version: c.operator.version, Settings: values}
}

// operatorChange is an operator's request to change what is stored.
type operatorChange struct {
	request RequestID
	subject string // what is changed, as the operator is told
	// transaction is called once the cache holds all that was written before now.
	transaction func() (wire.Transaction, error)
	done        func() // answers once the change is made
}

// carryOut makes an operator's change, and answers if it cannot.
func (c *Controller) carryOut(change operatorChange) {
	request, subject := change.request, change.subject
	c.afterBarrier(request, func() {
		txn, err := change.transaction()
		if err != nil {
			c.refuse(request, apierror.Status(err), err.Error(), 0)
			return
		}
		if len(txn.If) > conditionsPerWrite*c.settings.Cluster.State.TxnOps {
			c.refuse(request, http.StatusConflict, "more controllers than one transaction of the state service can demand", 0)
			return
		}
		c.commit(PriorityAdmission, txn, func(result CommitResult) {
			switch result.Outcome {
			case Succeeded:
				change.done()
			case Conflict:
				c.refuse(request, http.StatusConflict, "the controllers or the "+subject+" have changed meanwhile: read the "+subject+" again", 0)
			default:
				c.unavailable(request, "state service unavailable; read the "+subject+" to see whether the change was made")
			}
		})
	})
}

// changeSettings stores new settings against the version that they were made from. The
// barrier makes sure that a version is called stale, and the values are checked, by what is
// stored now.
func (c *Controller) changeSettings(in SettingsChangeRequested) {
	if !c.ensureServing(in.Request) {
		return
	}
	c.readBarrier(func(ok bool) {
		if !ok {
			c.unavailable(in.Request, reasonStoreUnavailable)
			return
		}
		next, err := c.operator.values.With(in.Change.Settings)
		switch {
		case c.operator.unreadableCause != nil:
			c.refuse(in.Request, http.StatusConflict, "the stored settings cannot be read by this release: "+c.operator.unreadableCause.Error(), 0)
		case err != nil:
			c.refuse(in.Request, http.StatusBadRequest, err.Error(), 0)
		case in.Change.Version != c.operator.version:
			c.reply(in.Request, http.StatusConflict, wire.ErrorResponse{Error: reasonStaleSettings})
		default:
			c.commitSettings(in.Request, next)
		}
	})
}

func (c *Controller) commitSettings(request RequestID, next config.StoredOperator) {
	c.commit(PriorityAdmission, wire.Transaction{
		If:   []wire.Condition{{Key: record.SettingsKey, Version: c.cache.keyVersions[record.SettingsKey]}},
		Then: []wire.Change{c.putChange(record.SettingsKey, next)},
	}, func(result CommitResult) {
		switch result.Outcome {
		case Succeeded:
			c.reply(request, http.StatusOK, c.viewSettings())
		case Conflict:
			c.reply(request, http.StatusConflict, wire.ErrorResponse{Error: reasonStaleSettings})
		default:
			c.unavailable(request, "state service unavailable; read the settings to see whether they were stored")
		}
	})
}
