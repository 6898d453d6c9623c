package core

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/placement"
	"lilacrill/wire"
)

// fleet is what this controller knows of the machines.
type fleet struct {
	machines    map[wire.MachineID]*machine
	ordered     []wire.MachineID
	imagesNoted map[wire.MachineID][]string // as the state service has them
	imageShards map[int]map[wire.MachineID][]string
	nextShard   int
	labelSets   map[machineKind]placement.Tags
	unheard     bool       // most machines leave our calls unanswered: it is us, not them
	up          int        // machines that are up, as far as known
	asking      int        // machines that are being asked for their report
	pushing     int        // machines that are being told their orders
	callsAtOnce int        // direct calls to workers that may be under way at once
	heldUrgent  []*machine // have orders, but too many calls are under way
	heldRest    []*machine
	noting      bool
	lastDirect  Time // when a worker last spoke to this controller itself
	hearing     Time // since when workers do, after a while in which none did
	nextSound   Time
	nextNote    Time
	timeouts    []timeout
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
	id     wire.MachineID
	addr   string
	kind   string
	zone   string
	spot   bool
	first  Time // when it was first known here
	status wire.MachineStatus
	listed Time // when the list last had it

	// newest is the newest report, whoever got it; direct is the newest that
	// this controller got itself. Only direct ones prove anything.
	newest, direct *wire.Report
	tasks          map[attemptKey]*wire.TaskReport // of newest
	directTasks    map[attemptKey]*wire.TaskReport // of direct
	heard          Time                            // when something new last came
	heardDirect    Time
	recallAt       Time // when the cloud takes it, if newest has a notice

	images map[string]Time // images it has, and when they were last seen in use
	has    map[string]bool // the same, as placement reads it

	pulling int // images that it is fetching

	overSince  Time         // since when tasks of jobs that are over stand on it
	sentOn     Time         // when it was told to try another controller
	told       *wire.Report // what the siblings were last told of it
	unanswered int          // direct calls without an answer since the last that had one, whatever it reports
	deafSince  Time         // when the first of them was made

	pushing  bool
	held     bool         // waits for its orders to be sent
	holding  bool         // a launch is held back until the rest of its gang is nearer
	settled  *wire.Report // the newest report if nothing has to be told that follows from it
	again    bool         // something new came up while pushing
	pushAt   Time         // not before
	showing  bool
	showAt   Time
	shows    int // unanswered in a row
	badUntil Time
	faults   map[wire.JobID]Time

	uncleared map[attemptKey]wire.Ledger // exited tasks without an entry, and the revision that is known to lack it
	lacking   map[attemptKey]Time        // tasks of entries that its reports lack, and since when
	strays    map[attemptKey]Time        // running tasks without an entry, and since when
	gone      bool                       // the cloud confirmed that it was returned
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
			first:     c.now,
			images:    map[string]Time{},
			has:       map[string]bool{},
			faults:    map[wire.JobID]Time{},
			uncleared: map[attemptKey]wire.Ledger{},
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
func (c *Core) inOrder() []wire.MachineID {
	if c.ordered == nil {
		c.ordered = sortedKeys(c.machines)
	}
	return c.ordered
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

// lastSign is when a machine last showed itself. One that has only just become
// known, or that we have had no chance to hear yet, as when this process stood
// still itself, is not silent.
func (c *Core) lastSign(m *machine) Time {
	return max(m.heard, m.first, c.readyAt, c.awake, c.hearing)
}

// silentAsk is how long a worker may be silent before it is asked: its reports
// come every so often, give or take a quarter. Where tasks stand that somebody
// waits for at every moment, reports may be too far apart to wait for the next.
func (c *Core) silentAsk(m *machine) time.Duration {
	usual := config.Seconds(1.3 * c.set.Cluster.Workers.ReportS)
	if c.pressing(m) {
		return min(usual, pressingAsk)
	}
	return usual
}

// pressing reports whether critical tasks stand on a machine.
func (c *Core) pressing(m *machine) bool {
	for _, e := range c.onMachine[m.id] {
		if e.Rank == wire.RankCritical.Order() {
			return true
		}
	}
	return false
}

// asks reports whether it is up to this controller to ask a machine: one of the
// living does, by the machine's name, and the buyer a little later, since it
// must know for itself. While siblings are out of hearing, what they hear is not
// passed on: each then asks for itself, or it would take most machines for
// silent after a while, and place nothing on them.
func (c *Core) asks(m *machine, quiet time.Duration) bool {
	if quiet > config.Seconds(1.3*c.set.Cluster.Workers.ReportS) && !c.siblingsWell() {
		return true
	}
	if c.buyer == c.boot && quiet > c.silentAsk(m)+buyerAsk {
		return true
	}
	return len(c.labels) == 0 || highest(c.labels, string(m.id)) == c.set.Label
}

const (
	pressingAsk = 1500 * time.Millisecond
	buyerAsk    = 500 * time.Millisecond
	// Of the direct calls that may be under way, one in asksPart is for asking,
	// and one in urgentPart is kept for orders to machines with critical tasks.
	asksPart, urgentPart = 4, 4
)

// tasksOf is a report's tasks. A machine may list an ended attempt beside
// another one of the same task, so the task alone does not name them.
func tasksOf(r *wire.Report) map[attemptKey]*wire.TaskReport {
	tasks := make(map[attemptKey]*wire.TaskReport, len(r.Tasks))
	for i := range r.Tasks {
		t := &r.Tasks[i]
		tasks[attemptKey{t.Task, t.Attempt}] = t
	}
	return tasks
}

// hear takes a report, got from the worker itself or passed on by a sibling.
func (c *Core) hear(r *wire.Report, direct bool) {
	m := c.machineOf(r.Machine)
	if direct {
		if c.inDoubt() {
			c.hearing = c.now
		}
		c.lastDirect = c.now
		c.toTell[m.id] = true
	}
	if direct && (m.direct == nil || r.Newer(m.direct)) {
		m.direct, m.directTasks, m.heardDirect = r, tasksOf(r), c.now
		for key, since := range m.lacking {
			if m.directTasks[key] != nil || c.now.Sub(since) > forgetAfter {
				delete(m.lacking, key)
			}
		}
		c.dirty = true
	}
	if m.newest != nil && !r.Newer(m.newest) {
		return
	}
	before, first := m.tasks, m.newest == nil
	c.backFrom(m)
	m.newest, m.tasks, m.heard, m.shows = r, tasksOf(r), c.now, 0
	m.addr, m.kind, m.zone, m.spot = r.Addr, r.Type, r.Zone, r.Spot
	if first {
		c.cameUp(m)
	}
	m.recallAt = 0
	if r.RecallS != nil {
		m.recallAt = c.now.Add(time.Duration(*r.RecallS * float64(time.Second)))
	}
	c.dirty = true
	pulling := map[string]bool{}
	for id, t := range m.tasks {
		if j := c.jobs[id.task.Job]; j != nil && t.State == wire.TaskPulling {
			pulling[j.spec.Image] = true
		}
		if j := c.jobs[id.task.Job]; j != nil && (t.State == wire.TaskRunning || t.State == wire.TaskWaiting) {
			c.sawImage(m, j.spec.Image)
			if !j.started {
				c.log.Debug("job started", "job", j.id, "class", j.spec.Class, "after_s", float64(c.wall-j.at)/1000)
				j.started = true
				c.took(timeStart, time.Duration(max(0, c.wall-j.at))*time.Millisecond)
			}
		}
		if j := c.jobs[id.task.Job]; j != nil && j.strikes > 0 && t.State == wire.TaskRunning {
			c.noteRuns(j)
		}
		if old := before[id]; t.State == wire.TaskExited && (old == nil || old.State != wire.TaskExited) {
			c.noteExit(m, t)
		}
	}
	m.pulling = len(pulling)
	if !direct && c.ready {
		c.confirm(m)
	}
}

// backFrom is called when a machine is heard. What it left unanswered while
// nothing came from it either does not show that it hears nothing.
func (c *Core) backFrom(m *machine) {
	if c.now.Sub(m.heard) > config.Seconds(1.25*c.set.Cluster.Workers.ReportS)+reportSlack {
		m.unanswered = 0
	}
}

// heardAgain takes a sibling's word that a machine reported what it had
// reported before.
func (c *Core) heardAgain(h *wire.Heard) {
	m := c.machines[h.Machine]
	if m == nil || m.newest == nil || m.newest.Shift != h.Shift || m.newest.Tally >= h.Tally {
		return
	}
	c.backFrom(m)
	r := *m.newest
	r.Tally, r.Baton = h.Tally, h.Baton
	m.newest, m.heard, m.shows = &r, c.now, 0
	if c.ready {
		c.confirm(m)
	}
}

// confirm asks a machine itself when a passed-on report hints at something that
// this controller, as a steward, should write down: hints prove nothing.
func (c *Core) confirm(m *machine) {
	if m.showing || m.direct == m.newest || !c.after(m.showAt) || !c.mayAsk() {
		return
	}
	for _, e := range c.onMachine[m.id] {
		if !c.mine(e.page.team) {
			continue
		}
		for i := range e.Tasks.All {
			t := m.tasks[e.key(i)]
			if t == nil && (e.Halt != HaltNo || c.jobs[e.Job] == nil || !c.live(e.Launcher) || m.newest.Shift > e.Shift) ||
				t != nil && t.State == wire.TaskExited {
				c.show(m)
				return
			}
		}
	}
}

// mayAsk reports whether another machine may be asked now. When hundreds hang,
// calls to them would pile up otherwise, with a socket each.
func (c *Core) mayAsk() bool { return c.asking < max(1, c.callsAtOnce/asksPart) }

// mayPush reports whether a machine may be told its orders now; if not, it is
// once other calls are over.
func (c *Core) mayPush(m *machine) bool {
	most := c.callsAtOnce - c.callsAtOnce/asksPart
	urgent := c.pressing(m)
	if !urgent {
		most -= most / urgentPart
	}
	if c.pushing < max(1, most) {
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

// pushHeld sends the orders of machines that waited for other calls to end.
func (c *Core) pushHeld() {
	for _, held := range []*[]*machine{&c.heldUrgent, &c.heldRest} {
		for len(*held) > 0 {
			m := (*held)[0]
			m.held = false
			*held = (*held)[1:]
			c.pushNow(m)
			if m.held {
				return // it is in line again: too many are still under way
			}
		}
	}
}

// show asks a worker for its report.
func (c *Core) show(m *machine) {
	m.showing = true
	m.showAt = c.now.Add(showRetry)
	c.asking++
	asked := c.now
	c.do(Show{call(c, func(a Answered) {
		m.showing = false
		c.asking--
		if a.Report == nil {
			m.shows++
		}
		c.reached(m, asked, a)
		c.answered(m, a)
	}), m.addr})
}

// reached notes whether a worker answers what it is asked. One whose reports
// arrive, but which nothing reaches, looks well while its lease runs out.
func (c *Core) reached(m *machine, asked Time, a Answered) {
	if a.Report != nil {
		m.unanswered = 0
		return
	}
	if asked < c.hearing {
		return // it was us
	}
	if m.unanswered == 0 || m.deafSince < c.hearing {
		m.deafSince, m.unanswered = asked, 0
	}
	m.unanswered++
}

// left reports whether a machine was returned, as far as can be told: asking it
// would only cost calls.
func (m *machine) left() bool { return m.gone || m.leftAt > m.heard }

// deaf reports whether a machine seems not to hear what it is told: it gets
// no new work.
func (m *machine) deaf() bool { return m.unanswered >= deafCalls }

// deafCalls is how many direct calls in a row a machine may leave unanswered
// before it counts as one that does not hear.
const deafCalls = 2

// sawImage notes that a machine has an image; of very many the one that was
// seen longest ago is forgotten.
func (c *Core) sawImage(m *machine, image string) {
	if _, known := m.images[image]; !known && len(m.images) >= maxImages {
		oldest := image
		for _, name := range sortedKeys(m.images) {
			if oldest == image || m.images[name] < m.images[oldest] {
				oldest = name
			}
		}
		delete(m.images, oldest)
		delete(m.has, oldest)
	}
	m.images[image], m.has[image] = c.now, true
}

// applyImages takes over what was noted of machines' images, so that a
// controller that has just started knows them too.
func (c *Core) applyImages(shard string, value json.RawMessage) error {
	n, err := strconv.Atoi(shard)
	if err != nil {
		return err
	}
	var noted map[wire.MachineID][]string
	if value != nil {
		if err := json.Unmarshal(value, &noted); err != nil {
			return err
		}
	}
	for id := range c.imageShards[n] {
		delete(c.imagesNoted, id)
	}
	c.imageShards[n] = noted
	for id, images := range noted {
		c.imagesNoted[id] = images
		if m := c.machines[id]; m != nil {
			c.recallImages(m)
		}
	}
	return nil
}

func (c *Core) recallImages(m *machine) {
	for _, image := range c.imagesNoted[m.id] {
		if _, ok := m.images[image]; !ok && len(m.images) < maxImages {
			m.images[image], m.has[image] = 0, true
		}
	}
}

// noteImages writes down which images machines have, a number of machines to a
// record and one record at a time. It is the buyer's task, since it knows all
// machines.
func (c *Core) noteImages() {
	if c.noting || !c.after(c.nextNote) || !c.affords() {
		return
	}
	c.nextNote = c.now.Add(noteEvery)
	c.nextShard = (c.nextShard + 1) % imageShards
	shard := c.nextShard
	noted, size := map[wire.MachineID][]string{}, 0
	for _, id := range c.inOrder() {
		m := c.machines[id]
		if m.newest == nil || m.gone || shardOf(id) != shard || len(m.images) == 0 {
			continue
		}
		images := sortedKeys(m.images)
		slices.SortStableFunc(images, func(a, b string) int { return -cmp.Compare(m.images[a], m.images[b]) })
		images = images[:min(len(images), notedImages)]
		slices.Sort(images)
		size += len(id) + len(`"":[],`)
		for _, image := range images {
			size += len(image) + len(`"",`)
		}
		if size > c.pageLimit() {
			break // the rest is learnt from what they run
		}
		noted[id] = images
	}
	if maps.EqualFunc(noted, c.imageShards[shard], slices.Equal[[]string]) {
		return
	}
	c.noting = true
	c.commit(ClassRest, wire.Transaction{Then: []wire.Change{put(imageKey(shard), noted)}}, func(Committed) { c.noting = false })
}

// shardOf is the record that notes a machine's images.
func shardOf(id wire.MachineID) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % imageShards)
}

// hello answers a worker's report.
func (c *Core) hello(in Reported) {
	r := in.Report
	if !c.ready {
		c.do(Reply{Request: in.Request, Status: http.StatusServiceUnavailable, Body: wire.Problem{Error: "starting"}})
		return
	}
	if r.Baton > c.baton {
		// Somebody raised the baton; until we know everything that was written
		// before, we are not entitled to command this worker.
		c.barrier(func(bool) {
			if r.Baton > c.baton {
				c.sendAway(in.Request)
				return
			}
			c.answerWorker(in)
		})
		return
	}
	if !c.stateFresh() && c.alone() && c.now.Sub(c.stateOK) > c.aloneLimit() {
		// What stands on this worker may have been withdrawn since.
		c.hear(r, true)
		c.do(Reply{Request: in.Request, Status: http.StatusServiceUnavailable, Body: wire.Problem{Error: "cut off"}})
		return
	}
	if !c.stateFresh() && (c.fresherPeer() != "" || c.sendsOn(c.machineOf(r.Machine))) {
		c.hear(r, true)
		c.sendAway(in.Request)
		return
	}
	c.answerWorker(in)
}

// sendsOn reports whether a worker is to try another controller. One that has
// lost the state service and all its siblings cannot tell whether that is an
// outage, in which its workers' leases hang on it alone, or whether the others
// are well, and nobody can write down what ends here. So each worker is sent on
// once: where others are well it stays with them, and if it comes back, having
// found none, it is kept. It is sent only if its lease lasts for the tour.
func (c *Core) sendsOn(m *machine) bool {
	w := &c.set.Cluster.Workers
	tour := time.Duration(len(c.set.Siblings)) * (workerPatience + workerPause)
	if !c.alone() || c.now.Sub(c.stateOK) < aloneAfter || m.sentOn > c.stateOK ||
		tour+config.Seconds(1.25*w.ReportS)+workerPatience > config.Seconds(w.LeaseS) {
		return false
	}
	m.sentOn = c.now
	c.count(countSentOn, 1)
	return true
}

// aloneLimit is how long a controller that has lost the state service and most
// of its siblings goes on answering workers. Meanwhile others may tell users
// that jobs are withdrawn, whose tasks it keeps alive without knowing; it must
// stop early enough that their leases run out before such tasks must be gone.
// Others could return the machines, but not while the cloud is away too.
func (c *Core) aloneLimit() time.Duration {
	w := &c.set.Cluster.Workers
	return max(config.Seconds(w.CancelS-w.LeaseS)-aloneMargin, aloneAfter)
}

const (
	aloneMargin = 4 * time.Second
	// aloneAfter is how long the state service and the siblings must be away
	// before workers are sent on.
	aloneAfter = 3 * time.Second
	// workerPatience and workerPause are how long the protocol has a worker wait
	// for an answer, and between two controllers.
	workerPatience = 4 * time.Second
	workerPause    = time.Second
)

func (c *Core) sendAway(r RequestID) {
	c.reply(r, http.StatusMisdirectedRequest, wire.Redirect{Foreman: c.fresherPeer()})
}

func (c *Core) answerWorker(in Reported) {
	m := c.machineOf(in.Report.Machine)
	came := m.direct == nil || c.now.Sub(m.heardDirect) > config.Seconds(2*c.set.Cluster.Workers.ReportS)
	c.hear(in.Report, true)
	if came && !m.showing && !m.gone && c.mayAsk() {
		// It may have come because nothing reaches it, or this may be a late copy
		// of a report that it sent long ago.
		c.show(m)
	}
	var orders []wire.Order
	// A report that is older than one we know was held up on its way: orders
	// that follow from it could repeat what is over.
	if m.newest == in.Report {
		orders = append(c.ordersFor(m), c.clears(m)...)
	}
	c.reply(in.Request, http.StatusOK, wire.ReportAnswer{Baton: c.baton, Orders: orders})
}

// maxOrders keeps an answer to a worker under the protocol's 64 KiB.
const maxOrders = 400

func windup(s float64) *float64 { return &s }

// ordersFor says what a machine has to be told, going by its newest report and
// the records.
func (c *Core) ordersFor(m *machine) []wire.Order {
	var orders []wire.Order
	r := m.newest
	m.holding = false
	for _, e := range c.onMachine[m.id] {
		if e.Shift != r.Shift {
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
				// when the worker has seen the baton that fences off the one before.
				if j == nil || e.Halt != HaltNo || e.Launcher != c.boot || r.Baton < e.Fence {
					continue
				}
				if c.holdsBack(m, e, j) {
					m.holding = true
					continue
				}
				orders = append(orders, wire.Order{Verb: wire.VerbLaunch, Task: id, Attempt: e.Attempt})
			case t.State == wire.TaskExited:
			case j == nil || e.Halt == HaltAtOnce:
				orders = append(orders, wire.Order{Verb: wire.VerbStop, Task: id, Attempt: e.Attempt, WindupS: windup(0)})
			case e.Halt == HaltSave && t.State != wire.TaskFlushing:
				orders = append(orders, wire.Order{Verb: wire.VerbStop, Task: id, Attempt: e.Attempt, WindupS: windup(j.spec.StashS + saveMargin)})
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
// be gone from the records, then the baton raised, and then the worker must
// have seen that baton: no launch sent before can pass it, and no controller
// that knows it sends one.
func (c *Core) clears(m *machine) []wire.Order {
	var orders []wire.Order
	recorded := map[attemptKey]bool{}
	for _, e := range c.onMachine[m.id] {
		for i := range e.Tasks.All {
			recorded[e.key(i)] = true
		}
	}
	seen := map[attemptKey]bool{}
	var fresh []attemptKey
	for i := range m.newest.Tasks {
		t := &m.newest.Tasks[i]
		key := attemptKey{t.Task, t.Attempt}
		if recorded[key] {
			continue
		}
		seen[key] = true
		if t.State != wire.TaskExited {
			since, ok := m.strays[key]
			if !ok {
				m.strays[key] = c.now
			} else if c.whole() && c.stateFresh() && c.now.Sub(max(since, c.awake)) > strayPatience && len(orders) < maxOrders {
				orders = append(orders, wire.Order{Verb: wire.VerbStop, Task: t.Task, Attempt: t.Attempt, WindupS: windup(0)})
			}
			continue
		}
		without, ok := m.uncleared[key]
		if !ok {
			without = notYet
			m.uncleared[key] = without
			fresh = append(fresh, key)
		}
		if c.batonStamp > without && m.newest.Baton >= c.baton && len(orders) < maxOrders {
			orders = append(orders, wire.Order{Verb: wire.VerbClear, Task: t.Task, Attempt: t.Attempt})
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

// notYet is a revision that no baton is ever newer than.
const notYet = ^wire.Ledger(0)

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
		for _, e := range c.onMachine[m.id] {
			if e.Job == key.task.Job && e.Attempt == key.attempt && e.Tasks.Has(key.task.Index) {
				delete(m.uncleared, key)
			}
		}
	}
}

const (
	pushRetry   = time.Second
	showRetry   = 900 * time.Millisecond
	forgetAfter = 2 * time.Minute
	sweepClears = 45 * time.Second
	manyClears  = 40
	noteEvery   = time.Second
	imageShards = 24
	notedImages = 6  // of one machine, those seen in use last
	maxImages   = 40 // remembered of one machine
)

// push sends a machine what it has to be told, directly, and reports whether
// there was anything.
func (c *Core) push(m *machine) bool {
	if m.pushing || m.newest == nil || m.gone || !c.after(m.pushAt) || !c.ready {
		return false
	}
	if m.newest.Baton > c.baton {
		c.barrier(func(bool) {})
		return false
	}
	if m.settled == m.newest {
		return false
	}
	orders := c.ordersFor(m)
	fenced := len(orders) == 0 && c.unfenced(m)
	if len(orders) == 0 && !fenced {
		if !m.holding {
			m.settled = m.newest
		}
		return false
	}
	if !c.mayPush(m) {
		return false
	}
	if fenced {
		orders = []wire.Order{} // only to be shown the baton
	}
	m.pushing = true
	c.pushing++
	m.pushAt = c.now.Add(pushRetry)
	asked := c.now
	c.do(Order{call(c, func(a Answered) {
		m.pushing = false
		c.pushing--
		c.reached(m, asked, a)
		c.answered(m, a)
		if m.again {
			c.pushNow(m)
		}
		c.pushHeld()
	}), m.addr, wire.DoRequest{Baton: c.baton, Shift: m.newest.Shift, Orders: orders}})
	return true
}

// unfenced reports whether a machine has not seen the baton that something on
// it waits for: until its next report, which may be far off, nothing else would
// show it.
func (c *Core) unfenced(m *machine) bool {
	for _, e := range c.onMachine[m.id] {
		if e.Shift == m.newest.Shift && e.Fence > m.newest.Baton && e.Fence <= c.baton && (e.Launcher == c.boot || c.mine(e.page.team)) {
			return true
		}
	}
	return false
}

// pushNow sends what has just been decided.
func (c *Core) pushNow(m *machine) {
	if m.pushing {
		m.again = true
		return
	}
	m.again = false
	m.pushAt = c.now
	c.push(m)
}

// answered takes a worker's own answer to /do or /show.
func (c *Core) answered(m *machine, a Answered) {
	if a.Report == nil || a.Report.Machine != m.id {
		return
	}
	c.hear(a.Report, true)
	if a.Report.Baton > c.baton {
		c.barrier(func(bool) {})
	}
}

func (c *Core) pushJob(id wire.JobID) {
	for _, e := range c.ofJob[id] {
		if m := c.machines[e.Machine]; m != nil {
			c.pushNow(m)
		}
	}
}

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
	c.nextLook = c.now.Add(200 * time.Millisecond)
	c.sound()
	uncleared, oldest := 0, false
	deaf, reporting := 0, 0
	c.up = 0
	for _, id := range c.inOrder() {
		m := c.machines[id]
		if m.gone || c.now.Sub(c.lastSign(m)) > forgetAfter && c.now.Sub(m.listed) > forgetAfter {
			if len(c.onMachine[id]) == 0 && (!m.gone || c.now.Sub(m.goneAt) > forgetAfter) {
				delete(c.machines, id)
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
			if m.deaf() {
				deaf++
			}
		}
		if c.after(m.pushAt) && quiet < c.silentAsk(m) {
			for _, e := range c.onMachine[id] {
				if e.Launcher == c.boot && e.Halt == HaltNo {
					if c.push(m) {
						c.count(countResent, 1)
					}
					break
				}
			}
		}
		if m.left() && len(c.onMachine[id]) == 0 {
			continue
		}
		// Ask a silent worker itself: it may have lost its way to us. So is one
		// that left a call unanswered, though its reports go on.
		if m.addr != "" && m.status != wire.MachineBooting && !m.showing && c.after(m.showAt) && c.mayAsk() &&
			(m.unanswered > 0 || quiet > c.silentAsk(m) && c.asks(m, quiet)) {
			c.show(m)
		}
	}
	c.unheard = deaf > 2 && 3*deaf > reporting
	if uncleared > manyClears || oldest && c.now.Sub(c.lastBump) > sweepClears {
		c.raiseBaton()
	}
}

// deaf reports whether this controller reaches no workers, though there are some
// that are up: where machines were only just rented, or none comes up, nobody hears
// any, and if all took that for their own fault nobody would rent others.
func (c *Core) deaf() bool {
	return c.ready && c.up > 0 && c.now.Sub(max(c.lastDirect, c.readyAt, c.awake)) > deafAfter
}

// inDoubt reports whether no worker has spoken to this controller for a moment,
// though it asked some that siblings hear: whatever it takes for silent
// meanwhile, it may be the one that is cut off. Once a buyer gave up hundreds of
// machines in the time that it took to find that out.
func (c *Core) inDoubt() bool { return c.now.Sub(max(c.lastDirect, c.readyAt, c.awake)) > doubtAfter }

const (
	soundAfter = 500 * time.Millisecond
	soundEvery = 300 * time.Millisecond
	soundKnown = 4 // machines heard last, of which one is asked
	doubtAfter = 1500 * time.Millisecond
	deafAfter  = 3 * time.Second
)

// sound asks some worker for its report when none has spoken to us for a while:
// they may all report to others, or we may be cut off.
func (c *Core) sound() {
	if c.now.Sub(max(c.lastDirect, c.readyAt)) < soundAfter || !c.after(c.nextSound) {
		return
	}
	c.nextSound = c.now.Add(soundEvery)
	var known []*machine // the ones heard last, in order
	for _, id := range c.inOrder() {
		m := c.machines[id]
		if m.addr == "" || m.gone || m.showing || c.now.Sub(m.heard) >= forgetAfter || m.newest == nil {
			continue
		}
		// One that answers is as good as any other; one that did not may be dead.
		i, _ := slices.BinarySearchFunc(known, m, func(a, b *machine) int {
			return cmp.Or(cmp.Compare(a.unanswered, b.unanswered), -cmp.Compare(a.heard, b.heard))
		})
		if i < soundKnown {
			known = slices.Insert(known, i, m)
			known = known[:min(len(known), soundKnown)]
		}
	}
	if len(known) > 0 {
		c.show(known[c.rand.IntN(len(known))])
	}
}

// raiseBaton makes a fence so that ended tasks can be cleared.
func (c *Core) raiseBaton() {
	if !c.after(c.lastBump.Add(10 * time.Second)) {
		return
	}
	c.lastBump = c.now
	c.commit(ClassRest, wire.Transaction{
		If:   []wire.Condition{{Key: batonKey, Stamp: c.ver[batonKey]}},
		Then: []wire.Change{put(batonKey, c.baton+1)},
	}, func(Committed) { c.barrier(func(bool) {}) })
}

// labelsOf is a machine's labels; all of a kind share them.
func (c *Core) labelsOf(m *machine) placement.Tags {
	k := machineKind{m.kind, m.zone, m.spot}
	tags := c.labelSets[k]
	if tags == nil {
		tags = labels(m.kind, m.zone, m.spot)
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
