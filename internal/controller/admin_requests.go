package controller

import (
	"encoding/json"
	"net/http"

	"lilacrill/internal/apierror"
	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// reasonStaleSettings is the reason for refusing a change of settings that is based on an old
// version.
const reasonStaleSettings = "stale version: read the settings again"

// operatorSettings holds the operators' settings and their version, which is 0 until an operator
// changes the defaults.
type operatorSettings struct {
	values  config.StoredOperatorSettings
	version wire.Revision
	// unreadableCause is the error from parsing the stored settings, or nil. While it is set, the
	// stored settings are not overwritten.
	unreadableCause error
}

// applySettings applies the stored settings; a nil value restores the defaults. If a newer release
// stored values that this release does not allow, the previous settings stay in effect.
func (c *Controller) applySettings(value json.RawMessage, version wire.Revision) error {
	settings := config.StoredOperatorSettings{OperatorSettings: config.DefaultOperatorSettings()}
	if value != nil {
		if settings, c.operator.unreadableCause = config.ParseStoredOperatorSettings(value); c.operator.unreadableCause != nil {
			return c.operator.unreadableCause
		}
	}
	c.operator.values, c.operator.version, c.scheduler.dirty = settings, version, true
	c.log.Info("operator settings applied", "version", version, "settings", string(value))
	return nil
}

// handleView replies to an operator's request for a view. The views of stored settings, the rollout
// and the shards are taken after a read barrier, because a change must name the version that the
// view shows.
func (c *Controller) handleView(in ViewRequested) {
	if !c.membership.ready {
		c.refuseUnavailable(in.Request, reasonStarting)
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
		c.replyWithRollout(in.Request)
	case wire.ViewShards:
		c.replyWithShards(in.Request)
	default:
		c.refuse(in.Request, http.StatusNotFound, "no such view", 0)
	}
}

func (c *Controller) viewSettings() wire.AdminSettings {
	values, err := json.Marshal(c.operator.values)
	if err != nil {
		panic(err) // the values are numbers and a string, which can always be encoded
	}
	return wire.AdminSettings{Version: c.operator.version, Settings: values}
}

// operatorChange is an operator's request to change stored records.
type operatorChange struct {
	request RequestID
	subject string // the name of the changed records in error responses
	// transaction builds the transaction. It is called once the cache holds everything that was
	// written before the request.
	transaction func() (wire.Transaction, error)
	onCommitted func() // replies to the request once the change is committed
}

// commitOperatorChange commits an operator's change, or refuses the request if that fails.
func (c *Controller) commitOperatorChange(change operatorChange) {
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
				change.onCommitted()
			case Conflict:
				c.refuse(request, http.StatusConflict, "the controllers or the "+subject+" have changed meanwhile: read the "+subject+" again", 0)
			default:
				c.refuseUnavailable(request, "state service unavailable; read the "+subject+" to see whether the change was made")
			}
		})
	})
}

// changeSettings stores new settings if the version that they are based on is still the stored one.
// The read barrier ensures that the version and the values are checked against the settings that are
// stored now.
func (c *Controller) changeSettings(in SettingsChangeRequested) {
	if !c.ensureServing(in.Request) {
		return
	}
	c.readBarrier(func(ok bool) {
		if !ok {
			c.refuseUnavailable(in.Request, reasonStoreUnavailable)
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

func (c *Controller) commitSettings(request RequestID, next config.StoredOperatorSettings) {
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
			c.refuseUnavailable(request, "state service unavailable; read the settings to see whether they were stored")
		}
	})
}
