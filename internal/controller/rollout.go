package controller

import (
	"net/http"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/release"
	"lilacrill/internal/rollout"
	"lilacrill/wire"
)

// rolloutState is the state of this process in the rollout of formats.
type rolloutState struct {
	tracker *rollout.Tracker
	// shutdownCause, if not nil, states why this process must not serve requests any longer.
	shutdownCause  error
	activating     bool // an automatic activation is in flight
	nextActivation Time // when the next automatic activation is considered
}

// activationInterval is the time between checks whether an automatic activation is due.
const activationInterval = time.Second

func (s *rolloutState) init(settings *config.Settings) {
	var peers []string
	for _, peer := range settings.Siblings {
		peers = append(peers, peer.Label)
	}
	s.tracker = rollout.New(settings.Label, peers, settings.Features.Rollout.Formats(), release.Version)
}

// applyRollout applies the rollout record, which names the format in force. The controller acts on
// no record of a format before it has applied the rollout record that brought the format into force.
// This holds during a watch, because changes are applied in the order of their revisions. It holds
// during a load of the cache, because the load reads the rollout record first, and the controller
// acts on no record until the cache has caught up.
func (c *Controller) applyRollout(value []byte, version wire.Revision) {
	before := c.rollout.tracker.Format()
	c.rollout.tracker.ApplyState(value, version)
	c.shards.table.ApplyFormat(c.rollout.tracker.Format())
	if c.rollout.shutdownCause = c.rollout.tracker.CheckReadable(); c.rollout.shutdownCause != nil {
		c.log.Error("record format in force is unsupported or unknown, shutting down", "err", c.rollout.shutdownCause)
		return
	}
	if format := c.rollout.tracker.Format(); format != before {
		c.log.Info("record format now in force", "format", format, "previous_format", before, "revision", version)
		c.emitRolloutEvent(RolloutInForce)
	}
}

// emitRolloutEvent emits a rollout event of this process.
func (c *Controller) emitRolloutEvent(kind RolloutEventKind) {
	c.emit(RolloutEvent{Kind: kind, Format: c.rollout.tracker.Format(), Incarnation: c.membership.incarnation, Revision: c.cache.revision})
}

// emitShutdown discards the outputs of this step, since they may be based on records that were
// misread. Instead it emits a refusal for each reply among them, and the output that ends this
// process.
func (c *Controller) emitShutdown() {
	var refused []Output
	for _, output := range c.outputs {
		if reply, ok := output.(Reply); ok {
			refused = append(refused, c.shutdownReply(reply.Request))
		}
	}
	c.outputs = append(refused, Shutdown{c.rollout.shutdownCause})
	c.emitRolloutEvent(RolloutRetired)
}

// refuseWhileShuttingDown refuses requests to a process that is about to end.
func (c *Controller) refuseWhileShuttingDown(in Input) {
	if request, ok := in.(requestInput); ok {
		c.emit(c.shutdownReply(request.requestID()))
	}
}

func (c *Controller) shutdownReply(request RequestID) Reply {
	return Reply{
		Request:    request,
		Status:     http.StatusServiceUnavailable,
		Body:       wire.ErrorResponse{Error: c.rollout.shutdownCause.Error()},
		RetryAfter: longRetryDelay,
	}
}

// tickRollout activates a format that all controllers are ready for, if automatic activation is
// configured. Only the provisioner tries, so that the transactions of several controllers do not
// conflict. The conditions of the transaction decide whether the format may be activated.
func (c *Controller) tickRollout() {
	settings := &c.settings.Features.Rollout
	if settings.Activation != config.ActivationAutomatic || c.rollout.activating || !c.isProvisioner() ||
		!c.isDue(c.rollout.nextActivation) || !c.cache.complete() || !c.storeReachable() {
		return
	}
	c.rollout.nextActivation = c.now.Add(activationInterval)
	next, due := c.rollout.tracker.AutomaticActivation(rollout.Time(c.now), settings.SettlePeriod())
	if !due {
		return
	}
	txn, err := c.rollout.tracker.Activate(next, c.rollout.tracker.Condition().Version)
	if err != nil {
		return
	}
	c.rollout.activating = true
	c.commit(PriorityBackground, txn, func(result CommitResult) {
		c.readBarrier(func(bool) { c.rollout.activating = false })
		if result.Outcome == Succeeded {
			c.emitRolloutEvent(RolloutActivated)
			c.log.Info("record format activated", "format", next)
		}
	})
}

// replyWithRollout replies to a request with the rollout as of now or later.
func (c *Controller) replyWithRollout(request RequestID) {
	c.afterBarrier(request, func() { c.reply(request, http.StatusOK, c.rollout.tracker.View()) })
}

// changeRollout commits an operator's change of the rollout.
func (c *Controller) changeRollout(in RolloutChangeRequested) {
	if !c.ensureServing(in.Request) {
		return
	}
	c.commitOperatorChange(operatorChange{
		request:     in.Request,
		subject:     "rollout",
		transaction: func() (wire.Transaction, error) { return c.rolloutTransaction(in.Change) },
		onCommitted: func() {
			c.emitRolloutEvent(RolloutChanged)
			c.log.Info("rollout changed by operator", "format", c.rollout.tracker.Format(), "activate", in.Change.Activate != nil,
				"exclude", in.Change.Exclude, "reason", in.Change.Reason, "include", in.Change.Include)
			c.reply(in.Request, http.StatusOK, c.rollout.tracker.View())
		},
	})
}

func (c *Controller) rolloutTransaction(change wire.AdminRolloutChange) (wire.Transaction, error) {
	switch {
	case change.Activate != nil:
		return c.rollout.tracker.Activate(*change.Activate, change.Version)
	case change.Exclude != "":
		return c.rollout.tracker.Exclude(change.Exclude, change.Reason, change.Version)
	default:
		return c.rollout.tracker.Include(change.Include, change.Version)
	}
}
