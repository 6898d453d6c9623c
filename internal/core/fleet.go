package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/internal/share"
	"lilacrill/wire"
)

// fleet is what this controller knows of the machines.
type fleet struct {
	machines              map[wire.MachineID]*machine
	ordered               []*machine                  // by name; nil if that changed
	imagesNoted           map[wire.MachineID][]string // as the state service has them
	imageShards           map[int]map[wire.MachineID][]string
	nextShard             int
	labelSets             map[machineKind]placement.Tags
	unheard               bool       // most machines leave our calls unanswered: it is us, not them
	up                    int        // machines that are up, as far as known
	asking                int        // machines that are being asked for their report
	sendingOrders         int        // machines that are being told their orders
	callsAtOnce           int        // direct calls to workers that may be under way at once
	heldUrgent            []*machine // have orders, but too many calls are under way
	heldRest              []*machine
	noting                bool
	lastDirect            Time // when a worker last spoke to this controller itself
	reachableSince        Time // since when workers do, after a while in which none did
	nextReachabilityProbe Time
	nextNote              Time
	timeouts              []timeout
}

type timeout struct {
	at   Time
	then func()
}

func (f *fleet) init(callsAtOnce int) {
	f.callsAtOnce = callsAtOnce
	f.machines = map[wire.MachineID]*machine{}
	f.imagesNoted = map[wire.MachineID][]string{}
	f.imageShards = map[int]map[wire.MachineID][]string{}
	f.labelSets = map[machineKind]placement.Tags{}
}

// machineKind is what the labels of a machine say.
type machineKind struct {
	kind, zone string
	spot       bool
}

// machine is one machine as reported by its worker and listed by the cloud.
type machine struct {
	id    wire.MachineID
	addr  string
	kind  string
	zone  string
	spot  bool
	share wire.ShardID
	first Time // when it was first known here
	// entries is what stands on it by the records, host what the planning pass under
	// way makes of it.
	entries []*Entry
	host    *placement.Host
	status  wire.MachineStatus
	listed  Time // when the list last had it

	// newest is the newest report, whoever got it; direct is the newest that
	// this controller got itself. Only direct ones prove anything.
	newest, direct *wire.Heartbeat
	tasks          map[attemptKey]*wire.TaskStatus // of newest
	directTasks    map[attemptKey]*wire.TaskStatus // of direct
	heard          Time                            // when something new last came
	heardDirect    Time
	recallAt       Time // when the cloud takes it, if newest has a notice

	images map[string]Time // images it has, and when they were last seen in use
	has    map[string]bool // the same, as placement reads it

	pulling int // images that it is fetching

	sentOn           Time            // when it was told to try another controller
	redirected       Time            // when it was led to the owner of its share
	told             *wire.Heartbeat // what the siblings were last told of it
	unanswered       int             // direct calls without an answer since the last that had one, whatever it reports
	unreachableSince Time            // when the first of them was made

	sendingOrders      bool
	held               bool            // waits for its orders to be sent
	holding            bool            // a launch is held back until the rest of its gang is nearer
	settled            *wire.Heartbeat // the newest report if nothing has to be told that follows from it
	again              bool            // something new came up while pushing
	nextOrders         Time            // not before
	requestingReport   bool
	nextReportRequest  Time
	unansweredRequests int // unanswered in a row
	badUntil           Time
	faults             map[wire.JobID]Time

	uncleared map[attemptKey]wire.Revision // exited tasks without an entry, and the revision that is known to lack it
	lacking   map[attemptKey]Time          // tasks of entries that its reports lack, and since when
	strays    map[attemptKey]Time          // running tasks without an entry, and since when
	gone      bool                         // the cloud confirmed that it was returned
	goneAt    Time
	leftAt    Time // when it left the list of those to be returned: it is gone unless heard since
	born      Time // when it was rented, as far as known
	idleSince Time
	reserved  bool // holds room that is kept free
}

type attemptKey struct {
	task    wire.TaskID
	attempt wire.Attempt
}

// key names one of the entry's tasks.
func (e *Entry) key(i int) attemptKey {
	return attemptKey{wire.TaskID{Job: e.Job, Index: i}, e.Attempt}
}

func (c *Core) machineOf(id wire.MachineID) *machine {
	m := c.machines[id]
	if m == nil {
		m = &machine{
			id:        id,
			share:     share.ShardOf(id),
			first:     c.now,
			images:    map[string]Time{},
			has:       map[string]bool{},
			faults:    map[wire.JobID]Time{},
			uncleared: map[attemptKey]wire.Revision{},
			strays:    map[attemptKey]Time{},
			lacking:   map[attemptKey]Time{},
		}
		c.machines[id] = m
		c.ordered = nil
		c.recallImages(m)
	}
	return m
}

// inOrder is the machines by name. It must not be changed.
func (c *Core) inOrder() []*machine {
	if c.ordered == nil {
		c.ordered = slices.SortedFunc(maps.Values(c.machines), func(a, b *machine) int { return cmp.Compare(a.id, b.id) })
	}
	return c.ordered
}

// entriesOn is the records' entries on a machine.
func (c *Core) entriesOn(id wire.MachineID) []*Entry {
	if m := c.machines[id]; m != nil {
		return m.entries
	}
	return nil
}

// running counts an entry's tasks that the newest report shows running.
func (m *machine) running(e *Entry) int {
	n := 0
	for i := range e.Tasks.All {
		if t := m.tasks[e.key(i)]; t != nil && t.State == wire.TaskRunning {
			n++
		}
	}
	return n
}

// left reports whether a machine was returned, as far as can be told: asking it
// would only cost calls.
func (m *machine) left() bool { return m.gone || m.leftAt > m.heard }

const (
	ordersRetry        = time.Second
	reportRequestRetry = 900 * time.Millisecond
	// nextLookEvery is how often all machines are looked at.
	nextLookEvery = 200 * time.Millisecond
	forgetAfter   = 2 * time.Minute
	sweepClears   = 45 * time.Second
	manyClears    = 40
	noteEvery     = time.Second
	imageShards   = 24
	notedImages   = 6  // of one machine, those seen in use last
	maxImages     = 40 // remembered of one machine
)

func (c *Core) tickFleet() {
	kept := c.timeouts[:0]
	for _, t := range c.timeouts {
		if c.after(t.at) {
			t.then()
		} else {
			kept = append(kept, t)
		}
	}
	c.timeouts = kept
	if !c.after(c.nextLook) {
		return
	}
	c.nextLook = c.now.Add(nextLookEvery)
	c.tickOver()
	c.probeReachability()
	uncleared, oldest := 0, false
	unreachable, reporting := 0, 0
	var due []*machine // to be asked for their reports
	c.up = 0
	for _, m := range c.inOrder() {
		if m.gone || c.now.Sub(c.lastSign(m)) > forgetAfter && c.now.Sub(m.listed) > forgetAfter {
			if len(m.entries) == 0 && (!m.gone || c.now.Sub(m.goneAt) > forgetAfter) {
				delete(c.machines, m.id)
				c.ordered = nil
			}
			continue
		}
		if !m.left() && (m.newest != nil || m.status == wire.MachineRunning) {
			c.up++
		}
		uncleared = max(uncleared, len(m.uncleared))
		oldest = oldest || len(m.uncleared) > 0
		quiet := c.now.Sub(c.lastSign(m))
		if m.newest != nil && quiet < forgetAfter {
			reporting++
			if m.unreachable() {
				unreachable++
			}
		}
		if m.settled != m.newest && c.after(m.nextOrders) && quiet < c.silentAsk(m) {
			for _, e := range m.entries {
				if e.Launcher == c.boot && e.Eviction == record.EvictionNone {
					if c.sendOrders(m) {
						c.count(countResent, 1)
					}
					break
				}
			}
		}
		if m.left() && len(m.entries) == 0 {
			continue
		}
		// Ask a silent worker itself: it may have lost its way to us. So is one
		// that left a call unanswered, though its reports go on.
		if m.addr != "" && m.status != wire.MachineBooting && !m.requestingReport && c.after(m.nextReportRequest) &&
			(m.unanswered > 0 || quiet > c.silentAsk(m) && c.asks(m, quiet)) {
			due = append(due, m)
		}
	}
	c.requestReports(due)
	c.unheard = unreachable > 2 && 3*unreachable > reporting
	if uncleared > manyClears || oldest && c.now.Sub(c.lastBump) > sweepClears {
		c.raiseToken()
	}
}

// labelsOf is a machine's labels; all of a kind share them.
func (c *Core) labelsOf(m *machine) placement.Tags {
	return c.kindLabels(machineKind{m.kind, m.zone, m.spot})
}

func (c *Core) kindLabels(k machineKind) placement.Tags {
	tags := c.labelSets[k]
	if tags == nil {
		tags = labels(k.kind, k.zone, k.spot)
		c.labelSets[k] = tags
	}
	return tags
}

func labels(kind, zone string, spot bool) placement.Tags {
	s := "false"
	if spot {
		s = "true"
	}
	return placement.Tags{placement.LabelType: kind, placement.LabelZone: zone, placement.LabelSpot: s}
}

func amountOf(t *wire.MachineType) placement.Amount {
	return placement.Amount{Cores: t.Cores, Accelerators: t.Accelerators, MemGB: t.MemGB}
}
