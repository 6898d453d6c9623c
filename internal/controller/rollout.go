package controller

import (
	"net/http"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/release"
	"lilacrill/internal/rollout"
	"lilacrill/wire"
)

// rolloutState is this process's part in the rollout of formats.
type rolloutState struct {
	tracker *rollout.Tracker
	// shutdownCause is why this process must not serve; nil while it may.
	shutdownCause  error
	activating     bool
	nextActivation Time // when the next automatic activation is considered
}

// activationInterval is how often an automatic activation is considered.
const activationInterval = time.Second

func (s *rolloutState) init(settings *config.Settings) {
	var siblings []string
	for _, sibling := range settings.Siblings {
		siblings = append(siblings, sibling.Label)
	}
	s.tracker = rollout.New(settings.Label, siblings, settings.Features.Rollout.Formats(), release.Version)
}

// applyRollout takes the format in force. It comes before any record of that format: watch
// results are in the order of revisions, and a controller that loads its cache loads this
// record first and acts on nothing before it has caught up.
func (c *Controller) applyRollout(value []byte, version wire.Revision) {
	before := c.rollout.tracker.Format()
	c.rollout.tracker.ApplyState(value, version)
	c.shards.table.ApplyFormat(c.rollout.tracker.Format())
	if c.rollout.shutdownCause = c.rollout.tracker.CheckReadable(); c.rollout.shutdownCause != nil {
		c.log.Error("format in force not readable, shutting down", "err", c.rollout.shutdownCause)
		return
	}
	if format := c.rollout.tracker.Format(); format != before {
		c.log.Info("format in force", "format", format, "previous_format", before, "revision", version)
		c.rolloutEvent(RolloutInForce)
	}
}

// rolloutEvent emits an event of this process for whoever traces the rollout.
func (c *Controller) rolloutEvent(kind RolloutEventKind) {
	c.emit(RolloutEvent{Kind: kind, Format: c.rollout.tracker.Format(), Incarnation: c.membership.incarnation, Revision: c.cache.revision})
}

// emitShutdown drops the outputs of this step, since they may rest on records that were
// misread, refuses the requests that it answered, and says that the process must end.
func (c *Controller) emitShutdown() {
	var refused []Output
	for _, output := range c.outputs {
		if reply, ok := output.(Reply); ok {
			refused = append(refused, c.shutdownReply(reply.Request))
		}
	}
	c.outputs = append(refused, Shutdown{c.rollout.shutdownCause})
	c.rolloutEvent(RolloutRetired)
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

// tickRollout activates a format that all controllers are ready for, where the deployment
// wants that. One controller tries, the provisioner, so that transactions are not lost to
// one another; whether it may is decided by the conditions of the transaction.
func (c *Controller) tickRollout() {
	settings := &c.settings.Features.Rollout
	if settings.Activation != config.ActivationAutomatic || c.rollout.activating || !c.isProvisioner() ||
		!c.isDue(c.rollout.nextActivation) || !c.cache.complete() || !c.storeReachable() {
		return
	}
	c.rollout.nextActivation = c.now.Add(activationInterval)
	next, due := c.rollout.tracker.AutomaticActivation(rollout.Time(c.now), settings.Settle())
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
			c.rolloutEvent(RolloutActivated)
			c.log.Info("format activated", "format", next)
		}
	})
}

// viewRollout answers with the rollout as of now or later.
func (c *Controller) viewRollout(request RequestID) {
	c.afterBarrier(request, func() { c.reply(request, http.StatusOK, c.rollout.tracker.View()) })
}

// changeRollout carries out an operator's change of the rollout.
func (c *Controller) changeRollout(in RolloutChangeRequested) {
	if !c.ensureServing(in.Request) {
		return
	}
	c.carryOut(operatorChange{
		request:     in.Request,
		subject:     "rollout",
		transaction: func() (wire.Transaction, error) { return c.rolloutTransaction(in.Change) },
		done: func() {
			c.rolloutEvent(RolloutChanged)
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
