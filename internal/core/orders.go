package core

import (
	"time"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// maySendOrders reports whether a machine may be told its orders now; if not, it is
// once other calls are over.
func (c *Core) maySendOrders(m *machine) bool {
	most := c.callsAtOnce - c.callsAtOnce/asksPart
	urgent := c.hasCriticalTasks(m)
	if !urgent {
		most -= most / urgentPart
	}
	if c.sendingOrders < max(1, most) {
		return true
	}
	if !m.held {
		m.held = true
		if urgent {
			c.heldUrgent = append(c.heldUrgent, m)
		} else {
			c.heldRest = append(c.heldRest, m)
		}
	}
	return false
}

// sendHeldOrders sends the orders of machines that waited for other calls to end.
func (c *Core) sendHeldOrders() {
	for _, held := range []*[]*machine{&c.heldUrgent, &c.heldRest} {
		for len(*held) > 0 {
			m := (*held)[0]
			m.held = false
			*held = (*held)[1:]
			c.sendOrdersNow(m)
			if m.held {
				return // it is in line again: too many are still under way
			}
		}
	}
}

// maxOrders keeps an answer to a worker under the protocol's 64 KiB.
const maxOrders = 400

func windup(s float64) *float64 { return &s }

// ordersFor says what a machine has to be told, going by its newest report and
// the records.
func (c *Core) ordersFor(m *machine) []wire.Command {
	var orders []wire.Command
	r := m.newest
	m.holding = false
	for _, e := range m.entries {
		if e.Session != r.AgentEpoch {
			continue
		}
		j := c.jobs[e.Job]
		for i := range e.Tasks.All {
			if len(orders) >= maxOrders {
				return orders
			}
			id := wire.TaskID{Job: e.Job, Index: i}
			t := m.tasks[e.key(i)]
			switch {
			case t == nil:
				// Only the recorded launcher launches, and after a take-over only
				// when the worker has seen the token that fences off the one before.
				if j == nil || e.Eviction != record.EvictionNone || e.Launcher != c.boot || r.Token < e.Fence {
					continue
				}
				// A launch while it may have been withdrawn unknown to us would start it
				// after its user was told.
				if !c.mayLaunch() || c.holdsBack(m, e, j) {
					m.holding = true
					continue
				}
				orders = append(orders, wire.Command{Verb: wire.VerbLaunch, Task: id, Attempt: e.Attempt})
			case t.State == wire.TaskExited:
			case j == nil || e.Eviction == record.EvictionImmediate:
				orders = append(orders, wire.Command{Verb: wire.VerbStop, Task: id, Attempt: e.Attempt, GracePeriodS: windup(0)})
			case e.Eviction == record.EvictionGraceful && t.State != wire.TaskCheckpointing:
				orders = append(orders, wire.Command{Verb: wire.VerbStop, Task: id, Attempt: e.Attempt, GracePeriodS: windup(j.spec.CheckpointSaveS + saveMargin)})
			}
		}
	}
	return orders
}

const (
	// saveMargin is granted on top of what a job says it needs to save.
	saveMargin = 3.0
	// strayPatience is how long a task without a record may be reported before
	// it is stopped: the record may be on its way to us.
	strayPatience = 5 * time.Second
)

// clears says which ended tasks a machine may forget. A cleared attempt would
// start again if a launch of it were still under way, so first its entry must
// be gone from the records, then the token raised, and then the worker must
// have seen that token: no launch sent before can pass it, and no controller
// that knows it sends one.
func (c *Core) clears(m *machine) []wire.Command {
	var orders []wire.Command
	recorded := map[attemptKey]bool{}
	for _, e := range m.entries {
		for i := range e.Tasks.All {
			recorded[e.key(i)] = true
		}
	}
	seen := map[attemptKey]bool{}
	var fresh []attemptKey
	for i := range m.newest.Tasks {
		t := &m.newest.Tasks[i]
		key := attemptKey{t.Task, t.Attempt}
		if recorded[key] || c.holds(t.Task.Job) {
			continue
		}
		seen[key] = true
		if t.State != wire.TaskExited {
			if _, over := c.ended(t.Task.Job); over && len(orders) < maxOrders {
				orders = append(orders, wire.Command{Verb: wire.VerbStop, Task: t.Task, Attempt: t.Attempt, GracePeriodS: windup(0)})
				continue
			}
			since, ok := m.strays[key]
			if !ok {
				m.strays[key] = c.now
			} else if c.whole() && c.stateFresh() && c.now.Sub(max(since, c.awake)) > strayPatience && len(orders) < maxOrders {
				orders = append(orders, wire.Command{Verb: wire.VerbStop, Task: t.Task, Attempt: t.Attempt, GracePeriodS: windup(0)})
			}
			continue
		}
		without, ok := m.uncleared[key]
		if !ok {
			without = notYet
			m.uncleared[key] = without
			fresh = append(fresh, key)
		}
		if c.tokenVersion > without && m.newest.Token >= c.token && len(orders) < maxOrders {
			orders = append(orders, wire.Command{Verb: wire.VerbClear, Task: t.Task, Attempt: t.Attempt})
		}
	}
	if len(fresh) > 0 {
		c.barrier(func(ok bool) { c.noteGone(m, fresh, ok) })
	}
	for key := range m.uncleared {
		if !seen[key] {
			delete(m.uncleared, key)
		}
	}
	for key := range m.strays {
		if !seen[key] {
			delete(m.strays, key)
		}
	}
	return orders
}

// notYet is a revision that no token is ever newer than.
const notYet = ^wire.Revision(0)

// noteGone notes, after a barrier, that ended attempts have no entry. Without
// the barrier the entry could merely be on its way to us: the attempt would be
// cleared, launched again by its launcher, and then taken for ended.
func (c *Core) noteGone(m *machine, keys []attemptKey, ok bool) {
	if !ok {
		for _, key := range keys {
			delete(m.uncleared, key)
		}
		return
	}
	for _, key := range keys {
		if _, open := m.uncleared[key]; !open {
			continue
		}
		m.uncleared[key] = max(c.feed, c.written)
		for _, e := range m.entries {
			if e.Job == key.task.Job && e.Attempt == key.attempt && e.Tasks.Has(key.task.Index) {
				delete(m.uncleared, key)
			}
		}
	}
}

// sendOrders sends a machine what it has to be told, directly, and reports whether
// there was anything.
func (c *Core) sendOrders(m *machine) bool {
	if m.sendingOrders || m.newest == nil || m.gone || !c.after(m.nextOrders) || !c.ready {
		return false
	}
	token := c.token
	var orders []wire.Command
	if m.newest.Token > c.token {
		c.barrier(func(bool) {})
		// While the state service is away we cannot learn of that token. To stop what
		// is over is right whatever was written before it, so that much may be said
		// in its name.
		if c.stateFresh() {
			return false
		}
		if orders = c.stopsOf(m); len(orders) == 0 {
			return false
		}
		token = m.newest.Token
	}
	if m.settled == m.newest {
		return false
	}
	if orders == nil {
		orders = c.ordersFor(m)
	}
	fenced := len(orders) == 0 && c.unfenced(m)
	if len(orders) == 0 && !fenced {
		if !m.holding {
			m.settled = m.newest
		}
		return false
	}
	if !c.maySendOrders(m) {
		return false
	}
	if fenced {
		orders = []wire.Command{} // only to be shown the token
	}
	m.sendingOrders = true
	c.sendingOrders++
	m.nextOrders = c.now.Add(ordersRetry)
	asked := c.now
	c.do(Order{call(c, func(a Answered) {
		m.sendingOrders = false
		c.sendingOrders--
		c.reached(m, asked, a)
		c.answered(m, a)
		if m.again {
			c.sendOrdersNow(m)
		}
		c.sendHeldOrders()
	}), m.addr, wire.CommandRequest{Token: token, AgentEpoch: m.newest.AgentEpoch, Commands: orders}})
	return true
}

// unfenced reports whether a machine has not seen the token that something on
// it waits for: until its next report, which may be far off, nothing else would
// show it.
func (c *Core) unfenced(m *machine) bool {
	for _, e := range m.entries {
		if e.Session == m.newest.AgentEpoch && e.Fence > m.newest.Token && e.Fence <= c.token && (e.Launcher == c.boot || c.ownsTeam(e.page.team)) {
			return true
		}
	}
	return false
}

// sendOrdersNow sends what has just been decided.
func (c *Core) sendOrdersNow(m *machine) {
	if m.sendingOrders {
		m.again = true
		return
	}
	m.again = false
	m.nextOrders = c.now
	c.sendOrders(m)
}

func (c *Core) sendOrdersOfJob(id wire.JobID) {
	for _, e := range c.ofJob[id] {
		if m := c.machines[e.Machine]; m != nil {
			c.sendOrdersNow(m)
		}
	}
}

// raiseToken makes a fence so that ended tasks can be cleared.
func (c *Core) raiseToken() {
	if !c.after(c.lastBump.Add(10 * time.Second)) {
		return
	}
	c.lastBump = c.now
	c.commit(ClassRest, wire.Transaction{
		If:   []wire.Condition{{Key: record.TokenKey, Version: c.keyVersions[record.TokenKey]}},
		Then: []wire.Change{c.put(record.TokenKey, c.token+1)},
	}, func(Committed) { c.barrier(func(bool) {}) })
}
