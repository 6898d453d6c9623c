package core

import (
	"hash/fnv"
	"slices"
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
			c.put(record.MemberKey(c.settings.Label), c.rollout.Registration(boot))}
	}
	node := c.put(record.NodeKey(c.settings.Label), record.Node{Boot: boot, Isolated: c.isolated()})
	node.LeaseID = c.leaseID
	txn.Then = append(txn.Then, node)
	leaseID := c.leaseID
	c.commit(ClassLease, txn, func(r Committed) {
		c.joining = false
		switch r.Outcome {
		case Done:
			if c.boot == 0 {
				c.boot = boot
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

// tickGarbage rewrites placement records that nothing stands on but what was
// done of jobs that are over; others lose that when they are next written.
func (c *Core) tickGarbage() {
	if !c.whole() || !c.stateFresh() {
		return
	}
	c.file()
	if c.sweeping || !c.after(c.nextSweep) || !c.affords() {
		return
	}
	c.nextSweep = c.now.Add(2 * time.Second)
	for _, name := range sortedKeys(c.teams) {
		t := c.teams[name]
		if t.writing != nil || !c.ownsTeam(name) {
			continue
		}
		for _, key := range sortedKeys(t.pages) {
			p := t.pages[key]
			if len(p.entries) > 0 || len(p.done) == 0 || len(c.living(p.done)) == len(p.done) {
				continue
			}
			d := page{done: c.living(p.done)}
			c.sweeping = true
			c.commit(ClassRest, wire.Transaction{
				If:   []wire.Condition{{Key: key, Version: p.version}},
				Then: []wire.Change{c.put(key, d.value())},
			}, func(Committed) { c.sweeping = false })
			return
		}
	}
}

// living is what of the done sets belongs to jobs that are not over.
func (c *Core) living(done map[wire.JobID]record.TaskSet) map[wire.JobID]record.TaskSet {
	out := map[wire.JobID]record.TaskSet{}
	for id, set := range done {
		if c.jobs[id] != nil {
			out[id] = set
		}
	}
	return out
}

// assign shares out the teams and the state service's limits among the living
// controllers. All come to the same result once they know of the same ones;
// until then it costs lost writes and refused calls, not safety.
func (c *Core) assign() {
	clear(c.teamOwners)
	var labels []string
	weight := map[string]float64{}
	for _, label := range sortedKeys(c.nodes) {
		weight[label] = 1
		if c.nodes[label] == c.buyer {
			weight[label]++
		}
		if !c.isolatedNodes[label] {
			labels = append(labels, label)
		}
	}
	if len(labels) == 0 {
		labels = append(labels, c.settings.Label) // nobody else is known to be of use
	}
	var names []string
	for i := range c.settings.Cluster.Teams {
		names = append(names, c.settings.Cluster.Teams[i].Name)
	}
	slices.Sort(names)
	// Each takes the teams it scores highest for, but no more than its part: at
	// many writes a second a controller with three teams holds two of them up.
	most := (len(names) + len(labels) - 1) / len(labels)
	load := map[string]int{}
	for _, name := range names {
		open := slices.DeleteFunc(slices.Clone(labels), func(l string) bool { return load[l] >= most })
		best := highest(open, name)
		load[best]++
		weight[best]++
		c.teamOwners[name] = best
	}
	sum := 0.0
	for _, w := range weight {
		sum += w
	}
	own := weight[c.settings.Label]
	if own == 0 {
		own, sum = 1, sum+1 // not enrolled yet
	}
	c.labels = labels
	if part := own / sum; part != c.part {
		c.part = part
		c.do(Share{part})
	}
}

// highest is the label that scores highest for a name.
func highest(labels []string, name string) string {
	best, bestScore := "", uint64(0)
	for _, label := range labels {
		h := fnv.New64a()
		h.Write([]byte(label))
		h.Write([]byte{0})
		h.Write([]byte(name))
		s := h.Sum64()
		s ^= s >> 31
		s *= 0x9e3779b97f4a7c15
		if s >= bestScore {
			best, bestScore = label, s
		}
	}
	return best
}

// share is this controller's part of the state service's limits.
func (c *Core) share() float64 {
	if c.part == 0 {
		return 1
	}
	return c.part
}

// writeShare leaves a little of the writes, for leases and acceptance.
const writeShare = 0.85

// spend takes writes off what this controller may write by now.
func (c *Core) spend(writes int) {
	rate := c.writeRate()
	c.budget = min(max(rate, 1), c.budget+rate*c.now.Sub(c.budgetAt).Seconds()) - float64(writes)
	c.budgetAt = c.now
}

// writeRate is how many writes a second this controller may make.
func (c *Core) writeRate() float64 { return writeShare * c.share() * c.settings.Cluster.State.WriteRPS }

// affords reports whether writes that can wait may be made now: they gather
// while there is nothing left, and go in fewer and larger rounds.
func (c *Core) affords() bool {
	c.spend(0)
	return c.budget >= min(c.writeRate()*0.6, roundWrites)
}

// roundWrites is about what a round writes.
const roundWrites = 6
