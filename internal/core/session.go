package core

import (
	"time"

	"lilacrill/wire"
)

// session is this process's place among the controllers.
type session struct {
	loading, loaded bool
	catchUp         wire.Ledger // the cache is whole once the feed is here
	nextTry         Time
	watchFrom       Time

	boot    wire.Baton // the baton this process raised when it started
	joining bool
	ready   bool
	readyAt Time
	counter uint64

	permit     wire.Permit
	permitCall bool
	nextExtend Time
	enrolled   bool // our node record hangs on the present permit
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
	} else if !c.watching && c.after(c.watchFrom) {
		c.watch()
	}
	if !c.permitCall && c.after(c.nextExtend) {
		c.tickLease()
	}
	if c.enrolled && (c.nodes[c.set.Label] != c.boot || c.deafNodes[c.set.Label] != c.deaf()) {
		// A late copy of an earlier enrolment may hang the record on a lease that
		// has since run out; or others should know that we no longer hear workers.
		c.enrolled = false
	}
	if c.whole() && c.permit != 0 && !c.enrolled && !c.joining && c.after(c.nextTry) {
		c.join()
	}
	if !c.ready && c.boot != 0 && c.baton >= c.boot {
		c.ready, c.readyAt = true, c.now
		c.log.Info("ready", "boot", c.boot, "ledger", c.feed, "jobs", len(c.jobs))
	}
}

func (c *Core) tickLease() {
	c.permitCall = true
	c.nextExtend = c.now.Add(extendEvery)
	then := func(g Granted) {
		c.permitCall = false
		switch g.Outcome {
		case Done:
			c.stateOK = c.now
			if g.Permit != 0 && g.Permit != c.permit {
				c.permit, c.enrolled = g.Permit, false
			}
		case Missing:
			c.stateOK = c.now
			c.log.Warn("the lease ran out")
			c.permit, c.enrolled = 0, false
			c.nextExtend = c.now
		default:
			c.nextExtend = c.now.Add(retryState)
		}
	}
	if c.permit == 0 {
		c.do(Grant{call(c, then), nodeTTL})
	} else {
		c.do(Extend{call(c, then), c.permit})
	}
}

// join lists this controller among the living. The first time it also raises
// the baton: whatever an earlier process of any name sent is fenced off from
// every worker that has seen it, and the number names this process's hires
// and attempts.
func (c *Core) join() {
	c.joining = true
	boot := c.boot
	var txn wire.Transaction
	if boot == 0 {
		boot = c.baton + 1
		txn.If = []wire.Condition{{Key: batonKey, Stamp: c.ver[batonKey]}}
		txn.Then = []wire.Change{put(batonKey, boot)}
	}
	node := put(nodeKey(c.set.Label), nodeRecord{Boot: boot, Deaf: c.deaf()})
	node.Permit = c.permit
	txn.Then = append(txn.Then, node)
	permit := c.permit
	c.commit(ClassLease, txn, func(r Committed) {
		c.joining = false
		switch r.Outcome {
		case Done:
			c.boot = boot
			c.enrolled = c.permit == permit
		case Conflict:
			c.barrier(func(bool) {})
			c.nextTry = c.now.Add(50 * time.Millisecond)
			return
		case Missing:
			c.permit, c.enrolled = 0, false
			c.nextExtend = c.now
		default:
			c.nextTry = c.now.Add(retryState)
		}
		// The baton is adopted from the feed.
		c.barrier(func(bool) {})
	})
}

// live reports whether the process with this boot is known to be alive.
func (c *Core) live(boot wire.Baton) bool {
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

// name makes a name or number that no other process ever makes: the boot, then
// a counter.
func (c *Core) serial() uint64 {
	c.counter++
	return uint64(c.boot)<<serialBits | c.counter
}

// serialBits leaves room for 16 million names a process and for a boot number
// of 29 bits below 2^53, which is as far as decimal numbers in JSON are exact.
const serialBits = 24

// tickGarbage drops the done records of jobs that are over. They could not go
// with the job's end, since a transaction is limited. A late write cannot bring
// them back: it demands the job's record, which is gone.
func (c *Core) tickGarbage() {
	if !c.whole() || !c.stateFresh() || c.sweeping || !c.after(c.nextSweep) || !c.mine("") {
		return
	}
	c.nextSweep = c.now.Add(2 * time.Second)
	var txn wire.Transaction
	for key, stamp := range c.orphans {
		id, _, err := parseDoneKey(key)
		if err != nil || c.jobs[id] != nil || stamp > c.feed {
			continue
		}
		txn.Then = append(txn.Then, wire.Change{Drop: key})
		if len(txn.Then) >= c.set.Cluster.State.TxnOps {
			break
		}
	}
	if len(txn.Then) == 0 {
		return
	}
	c.sweeping = true
	c.commit(ClassRest, txn, func(Committed) { c.sweeping = false })
}
