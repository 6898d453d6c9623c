package controller

import (
	"errors"
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
	nextActivation Time // when the next automatic activation is thought of
}

// activationInterval is how often an automatic activation is thought of.
const activationInterval = time.Second

func (s *rolloutState) init(settings *config.Settings) {
	var siblings []string
	for _, sibling := range settings.Siblings {
		siblings = append(siblings, sibling.Label)
	}
	s.tracker = rollout.New(settings.Label, siblings, settings.Features.Rollout.Formats(), release.Version)
}

// applyRollout takes the format in force. It comes before any record of that format:
// the feed is in order, and a controller that reads everything anew reads it first and
// acts on nothing before it has caught up.
func (c *Controller) applyRollout(value []byte, version wire.Revision) {
	before := c.rollout.tracker.Format()
	c.rollout.tracker.ApplyState(value, version)
	c.shards.table.ApplyFormat(c.rollout.tracker.Format())
	if c.rollout.shutdownCause = c.rollout.tracker.Readable(); c.rollout.shutdownCause != nil {
		c.log.Error("this process must not serve", "err", c.rollout.shutdownCause)
		return
	}
	if f := c.rollout.tracker.Format(); f != before {
		c.log.Info("format in force", "format", f, "before", before, "revision", version)
		c.rolloutEvent(RolloutInForce)
	}
}

// rolloutEvent tells whoever traces the rollout what happened to this process in it.
func (c *Controller) rolloutEvent(kind RolloutEventKind) {
	c.emit(RolloutEvent{Kind: kind, Format: c.rollout.tracker.Format(), Incarnation: c.membership.incarnation, Revision: c.cache.revision})
}

// emitShutdown takes back what this step wanted to do, since it may rest on records that
// were misread, and says that the process must end.
func (c *Controller) emitShutdown() {
	var refused []Output
	for _, o := range c.outputs {
		if r, ok := o.(Reply); ok {
			refused = append(refused, c.shutdownReply(r.Request))
		}
	}
	c.outputs = append(refused, Shutdown{c.rollout.shutdownCause})
	c.rolloutEvent(RolloutRetired)
}

// refuseWhileShuttingDown answers what still comes to a process that is about to end.
func (c *Controller) refuseWhileShuttingDown(in Input) {
	if r, waits := in.(requestInput); waits {
		c.emit(c.shutdownReply(r.requestID()))
	}
}

func (c *Controller) shutdownReply(r RequestID) Reply {
	return Reply{Request: r, Status: http.StatusServiceUnavailable, Body: wire.ErrorResponse{Error: c.rollout.shutdownCause.Error()}, RetryAfter: longRetryDelay}
}

// tickRollout activates a format that all controllers are ready for, where the
// deployment wants that. One controller tries, so that writes are not lost; whether it
// may is up to the transaction.
func (c *Controller) tickRollout() {
	set := &c.settings.Features.Rollout
	if set.Activation != config.ActivationAutomatic || c.rollout.activating || c.cache.provisionerIncarnation != c.membership.incarnation || !c.isDue(c.rollout.nextActivation) ||
		!c.cacheComplete() || !c.storeReachable() {
		return
	}
	c.rollout.nextActivation = c.now.Add(activationInterval)
	next, due := c.rollout.tracker.Automatic(rollout.Time(c.now), set.Settle())
	if !due {
		return
	}
	txn, err := c.rollout.tracker.Activate(next, c.rollout.tracker.Demand().Version)
	if err != nil {
		return
	}
	c.rollout.activating = true
	c.commit(PriorityBackground, txn, func(r CommitResult) {
		c.readBarrier(func(bool) { c.rollout.activating = false })
		if r.Outcome == Succeeded {
			c.rolloutEvent(RolloutActivated)
			c.log.Info("format activated: all controllers have been ready for it", "format", next)
		}
	})
}

// viewRollout answers with the rollout as of now or later.
func (c *Controller) viewRollout(r RequestID) {
	c.afterBarrier(r, func() { c.reply(r, http.StatusOK, c.rollout.tracker.View()) })
}

// afterBarrier goes on once the cache holds all that was written before now; if that
// cannot be had it answers the request itself.
func (c *Controller) afterBarrier(r RequestID, then func()) {
	if !c.storeReachable() {
		c.unavailable(r, "state service unavailable")
		return
	}
	c.readBarrier(func(ok bool) {
		if !ok {
			c.unavailable(r, "state service unavailable")
			return
		}
		then()
	})
}

// changeRollout carries out what an operator asks of the rollout.
func (c *Controller) changeRollout(in RolloutChangeRequested) {
	if !c.ensureServing(in.Request) {
		return
	}
	c.operatorChange(in.Request, "rollout", func() (wire.Transaction, error) { return c.rolloutTransaction(in.Change) }, rolloutErrorStatus, func() {
		c.rolloutEvent(RolloutChanged)
		c.log.Info("rollout changed by an operator", "format", c.rollout.tracker.Format(), "activate", in.Change.Activate != nil,
			"exclude", in.Change.Exclude, "reason", in.Change.Reason, "include", in.Change.Include)
		c.reply(in.Request, http.StatusOK, c.rollout.tracker.View())
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

// rolloutErrorStatus is the status with which a change of the rollout is refused.
func rolloutErrorStatus(err error) int {
	var field *rollout.FieldError
	if errors.As(err, &field) {
		return http.StatusBadRequest
	}
	return http.StatusConflict
}

// valueBound is the most that a record may expand to: what a value may take or, where
// that limit was lowered since, what a transaction may.
func (c *Controller) valueBound() int { return max(c.pageLimit(), maxTxnBytes) }

// noteReadable notes whether a record could be understood. One that could not, damaged
// or of a shape that is not known here, takes nothing else down: what is known of the
// job or the team from before stands, and nothing new is done on that ground.
func (c *Controller) noteReadable(key string, err error) {
	if err == nil {
		delete(c.cache.unreadable, key)
		return
	}
	c.log.Error("record in the state service not understood", "key", key, "err", err)
	c.cache.unreadable[key] = err
}
