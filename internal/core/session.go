package core

import (
	"time"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// session is this process's place among the controllers.
type session struct {
	loading, loaded bool
	catchUp         wire.Revision // the cache is whole once the feed is here
	nextTry         Time
	watchFrom       Time
	behind          bool // the state service was away, and what changed meanwhile is not known yet
	catching        bool

	boot    wire.FencingToken // the token this process raised when it started
	joining bool
	ready   bool
	readyAt Time
	counter uint64

	part     float64  // of the state service's limits
	labels   []string // the living controllers that reach workers
	budget   float64  // writes that may be made now; below 0 after a large round
	budgetAt Time

	leaseID       wire.LeaseID
	leaseCallOpen bool
	nextExtend    Time
	enrolled      bool // our node record hangs on the present permit
}

const (
	nodeTTL     = 5 * time.Second
	extendEvery = 800 * time.Millisecond
)

// whole reports whether the cache is complete up to its feed.
func (c *Core) whole() bool { return c.loaded && c.feed >= c.catchUp }

func (c *Core) tickSession() {
	if !c.loaded {
		if !c.loading && c.after(c.nextTry) {
			c.loading = true
			c.load()
		}
	} else if !c.watching && c.after(c.watchFrom) && c.now.Sub(c.inStep) > watchIdle {
		c.watch()
	}
	if !c.leaseCallOpen && c.after(c.nextExtend) {
		c.tickLease()
	}
	if c.behind && !c.catching && c.stateFresh() {
		c.catching = true
		c.barrier(func(ok bool) {
			c.catching = false
			c.behind = !ok
		})
	}
	c.keepStep()
	c.openBarrier()
	if c.enrolled && (c.nodes[c.settings.Label] != c.boot || c.isolatedNodes[c.settings.Label] != c.isolated()) {
		// A late copy of an earlier enrolment may hang the record on a lease that
		// has since run out; or others should know that we no longer hear workers.
		c.enrolled = false
	}
	if c.whole() && c.leaseID != 0 && !c.enrolled && !c.joining && c.after(c.nextTry) {
		c.join()
	}
	if !c.ready && c.boot != 0 && c.token >= c.boot {
		c.ready, c.readyAt = true, c.now
		c.rolloutEvent(RolloutReady)
		c.log.Info("ready", "boot", c.boot, "ledger", c.feed, "jobs", len(c.jobs))
	}
}

func (c *Core) tickLease() {
	c.leaseCallOpen = true
	c.nextExtend = c.now.Add(extendEvery)
	then := func(g Granted) {
		c.leaseCallOpen = false
		switch g.Outcome {
		case Done:
			c.stateAnswered()
			if g.LeaseID != 0 && g.LeaseID != c.leaseID {
				c.leaseID, c.enrolled = g.LeaseID, false
			}
		case Missing:
			c.stateAnswered()
			c.log.Warn("the lease ran out")
			c.leaseID, c.enrolled = 0, false
			c.nextExtend = c.now
		default:
			c.nextExtend = c.now.Add(retryState)
		}
	}
	if c.leaseID == 0 {
		c.do(Grant{call(c, then), nodeTTL})
	} else {
		c.do(Extend{call(c, then), c.leaseID})
	}
}

// join lists this controller among the living. The first time it also raises
// the token: whatever an earlier process of any name sent is fenced off from
// every worker that has seen it, and the number names this process's hires
// and attempts.
//
// It demands the format in force that this process knows: one that cannot read a newer
// format is neither listed before it learns of that nor after.
func (c *Core) join() {
	c.joining = true
	boot := c.boot
	txn := wire.Transaction{If: []wire.Condition{c.rollout.Demand()}}
	if boot == 0 {
		boot = c.token + 1
		txn.If = append(txn.If, wire.Condition{Key: record.TokenKey, Version: c.keyVersions[record.TokenKey]})
		txn.Then = []wire.Change{c.put(record.TokenKey, boot),
			c.put(record.RegistrationKey(c.settings.Label), c.registration(boot))}
	}
	node := c.put(record.LivenessKey(c.settings.Label), record.Liveness{Incarnation: boot, Isolated: c.isolated()})
	node.LeaseID = c.leaseID
	txn.Then = append(txn.Then, node)
	leaseID := c.leaseID
	c.commit(ClassLease, txn, func(r Committed) {
		c.joining = false
		switch r.Outcome {
		case Done:
			if c.boot == 0 {
				c.boot = boot
				c.shares.Joined(boot)
				c.rolloutEvent(RolloutRegistered)
			}
			c.enrolled = c.leaseID == leaseID
		case Conflict:
			c.barrier(func(bool) {})
			c.nextTry = c.now.Add(50 * time.Millisecond)
			return
		case Missing:
			c.leaseID, c.enrolled = 0, false
			c.nextExtend = c.now
		default:
			c.nextTry = c.now.Add(retryState)
		}
		// The token is adopted from the feed.
		c.barrier(func(bool) {})
	})
}

// registration is what this process registers.
func (c *Core) registration(boot wire.FencingToken) record.Registration {
	m := c.rollout.Registration(boot)
	m.Sharding = c.enablesShares()
	return m
}

// live reports whether the process with this boot is known to be alive.
func (c *Core) live(boot wire.FencingToken) bool {
	if boot == c.boot {
		return true
	}
	for _, b := range c.nodes {
		if b == boot {
			return true
		}
	}
	return false
}

// isolatedBoot reports whether the process with this boot reaches no workers, by its
// own word.
func (c *Core) isolatedBoot(boot wire.FencingToken) bool {
	for label, b := range c.nodes {
		if b == boot {
			return c.isolatedNodes[label]
		}
	}
	return false
}

// name makes a name or number that no other process ever makes: the boot, then
// a counter.
func (c *Core) serial() uint64 {
	c.counter++
	return uint64(c.boot)<<serialBits | c.counter
}

// serialBits leaves room for 16 million names a process and for a boot number
// of 29 bits below 2^53, which is as far as decimal numbers in JSON are exact.
const serialBits = 24
