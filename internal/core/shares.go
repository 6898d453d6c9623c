package core

import (
	"errors"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/internal/share"
	"lilacrill/wire"
)

// shareState is this process's part in the shares of the machines (docs/shares.md).
type shareState struct {
	shares        *share.Table
	sharePlanner  *share.Planner
	shareWriting  bool // a change of the shares is being written
	nextShareLook Time
	// collectFor is a job that needs the room of several controllers at once, and
	// collected when shares were last asked for.
	collectFor wire.JobID
	collected  Time
	redirects  *rate.Limiter
	// nextFleetSurvey is when the buyer looks at the whole fleet again.
	nextFleetSurvey Time
}

const (
	// shareLookEvery is how often the shares are looked at.
	shareLookEvery = 100 * time.Millisecond
	// sharesPerWrite is how many shares one transaction changes at most.
	sharesPerWrite = 6
	// shareConditions is what a placement may demand beside shares and the heads of
	// zones: the list of machines to be returned, the token, its job and some pages.
	shareConditions = 8
	// redirectsPerSecond bounds how fast workers are led to the owners of their shares.
	redirectsPerSecond = 20
	// redirectAgain is how long a worker that came back is not redirected again.
	redirectAgain = time.Minute
	// collectedLasts is how long shares that were asked for are not handed on again.
	collectedLasts = 6 * time.Second
	collectEvery   = 2 * time.Second
)

func (s *shareState) init(settings *config.Settings) {
	s.shares = share.New(settings.Label)
	s.sharePlanner = share.NewPlanner(s.shares, min(sharesPerWrite, settings.Cluster.State.TxnOps-1))
	s.redirects = rate.NewLimiter(redirectsPerSecond, redirectsPerSecond)
}

// enablesShares reports whether this process may take part in shares: its features say so,
// and a placement in all of them fits a transaction.
func (c *Core) enablesShares() bool {
	if !c.settings.Features.Shares.Enabled {
		return false
	}
	need := share.Count + len(c.settings.Cluster.Zones) + shareConditions
	if most := 4 * c.settings.Cluster.State.TxnOps; most < need {
		c.log.Warn("shares stay off: a transaction of the state service may have too few conditions", "conditions", most, "wanted", need)
		return false
	}
	return true
}

// sharded reports whether each controller places in its own shares only.
func (c *Core) sharded() bool { return c.shares.Enabled() }

// placingIn reports whether a placement in a share is being written, or may yet be.
func (c *Core) placingIn(id wire.ShardID) bool {
	for _, t := range c.teams {
		if t.writing != nil && t.writing.shares[id] {
			return true
		}
	}
	return false
}

// tickShares does what this controller has to do about the shares, one change at a time.
func (c *Core) tickShares() {
	if c.shareWriting || !c.after(c.nextShareLook) || !c.whole() || !c.stateFresh() || c.behind {
		return
	}
	c.nextShareLook = c.now.Add(shareLookEvery)
	if c.buyer == c.boot {
		if a, due := c.switchShares(); due {
			c.writeShares(a)
			return
		}
	}
	if !c.sharded() {
		return
	}
	if a, due := c.collect(); due {
		c.writeShares(a)
		return
	}
	hold := c.collected != 0 && c.now.Sub(c.collected) < collectedLasts
	a, due := c.sharePlanner.Next(share.Time(c.now), c.wall, c.placingIn, hold)
	// Moves wait for their part of the writes: when operators moved all shares at once,
	// what that took was paid back for a minute without a placement (TestShuffle).
	if c.spend(0); due && (a.Kind == share.TakeOver || c.budget >= 0) {
		c.writeShares(a)
	}
}

// switchShares is the change that switches shares on or off, if that is due. It rewrites
// the list of machines to be returned as it is: all placements demand that list, so none
// that was under way before comes after it, whoever made it (TestRulesHoldWithShares).
func (c *Core) switchShares() (share.Action, bool) {
	a, due := c.shares.SwitchPolicy()
	if !due || c.returnsCall {
		return share.Action{}, false
	}
	a.Txn.If = append(a.Txn.If, wire.Condition{Key: record.TerminationsKey, Version: c.keyVersions[record.TerminationsKey]})
	a.Txn.Then = append(a.Txn.Then, c.put(record.TerminationsKey, c.returns))
	return a, len(a.Txn.If) <= 4*c.settings.Cluster.State.TxnOps
}

// writeShares runs a change of the shares. After one that was lost or not answered the
// records are read before the next.
func (c *Core) writeShares(a share.Action) {
	c.shareWriting = true
	class := ClassRest
	if a.Kind == share.TakeOver || a.Kind == share.Adopt {
		class = ClassUrgent // nobody places there meanwhile
	}
	c.commit(class, a.Txn, func(r Committed) {
		if r.Outcome != Done {
			c.count(countShareChangesLost, 1)
			c.barrier(func(bool) { c.shareWriting = false })
			return
		}
		c.shareWriting = false
		c.count(countShares+string(a.Kind), max(1, len(a.Shards)))
		c.log.Info("shares: "+string(a.Kind), "shares", a.Shards, "why", a.Reason)
	})
}

// applyShares takes a record of the shares.
func (c *Core) applyShares(key string, value []byte, version wire.Revision) error {
	c.dirty, c.urgent = true, c.urgent || c.criticalWaits
	if key != record.ShardPolicyKey {
		return c.shares.ApplyShare(key, value, version)
	}
	before := c.sharded()
	err := c.shares.ApplyPolicy(value, version)
	if now := c.sharded(); now != before {
		c.log.Info("shares in use", "now", now, "revision", version)
	}
	return err
}

// redirect leads a worker to the controller that owns its share, if it can be had without
// a renewal lost: its lease was renewed here a moment ago, and the owner is well. It
// reports whether the request was answered.
func (c *Core) redirect(in Reported) bool {
	m := c.machineOf(in.Report.Machine)
	if !c.sharded() || m.direct == nil || !in.Report.Newer(m.direct) || len(c.stopsOf(m)) > 0 {
		return false
	}
	owner := c.shares.Owner(m.share)
	p := c.peers[owner.Label]
	switch {
	case owner.Label == c.settings.Label || !c.shares.Live(owner) || c.isolatedNodes[owner.Label]:
		return false
	case p == nil || !p.fresh || c.now.Sub(p.heard) > 2*heartbeatEvery:
		return false
	case c.now.Sub(m.heardDirect) > config.Seconds(2*c.settings.Cluster.Workers.ReportS):
		return false
	case m.redirected != 0 && c.now.Sub(m.redirected) < redirectAgain:
		return false
	case !c.redirects.AllowN(time.Unix(0, int64(c.now)), 1):
		return false
	}
	m.redirected = c.now
	c.count(countRedirected, 1)
	c.hear(in.Report, true)
	c.reply(in.Request, http.StatusMisdirectedRequest, wire.Redirect{Controller: owner.Label})
	return true
}

// viewShares answers with the shares as of now or later.
func (c *Core) viewShares(r RequestID) {
	c.afterBarrier(r, func() { c.reply(r, http.StatusOK, c.sharesView()) })
}

func (c *Core) sharesView() wire.AdminShards {
	v := c.shares.View(c.wall)
	for _, m := range c.machines {
		if m.left() || int(m.share) >= len(v.Shards) {
			continue
		}
		s := &v.Shards[m.share]
		s.Machines++
		for _, e := range m.entries {
			s.CoresUsed += e.Cores * float64(e.Tasks.Len())
		}
	}
	return v
}

// changeShares carries out what an operator asks of the shares.
func (c *Core) changeShares(in SharesAsked) {
	if !c.serving(in.Request) {
		return
	}
	c.operatorChange(in.Request, "shares", func() (wire.Transaction, error) { return c.shareTransaction(in.Change) }, shareStatus, func() {
		c.log.Info("shares changed by an operator", "move", in.Change.Move, "to", in.Change.To, "drain", in.Change.Drain,
			"reason", in.Change.Reason, "end_drain", in.Change.EndDrain)
		c.reply(in.Request, http.StatusOK, c.sharesView())
	})
}

func (c *Core) shareTransaction(change wire.AdminShardChange) (wire.Transaction, error) {
	switch {
	case change.Move != nil:
		return c.shares.Move(*change.Move, change.To, change.Epoch, c.wall)
	case change.Drain != "":
		return c.shares.Drain(change.Drain, change.Reason)
	default:
		return c.shares.EndDrain(change.EndDrain)
	}
}

// shareStatus is the status with which a change of the shares is refused.
func shareStatus(err error) int {
	var unknown *share.NotFoundError
	var field *share.InvalidFieldError
	switch {
	case errors.As(err, &unknown):
		return http.StatusNotFound
	case errors.As(err, &field):
		return http.StatusBadRequest
	}
	return http.StatusConflict
}
