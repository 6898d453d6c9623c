package core

import (
	"cmp"
	"slices"
	"time"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// planner decides which tasks go where.
type planner struct {
	dirty         bool
	urgent        bool // something came in that a waiting critical job needs
	lostSome      bool // machines are gone with what stood on them
	criticalWaits bool
	nextPlan      Time
	nextRest      Time
	nextUrgent    Time // no round for critical work alone before, while many submissions wait
	nextSurvey    Time
	nextLook      Time
	lastBump      Time
	lastTick      Time
	lag           float64 // how late ticks come of late, in ticks
	lagging       bool
	nextSweep     Time
	sweeping      bool

	// The index of the records: real ones for commands, and with the rounds
	// that are being written for planning.
	ofJob      map[wire.JobID][]*Entry
	critical   map[wire.MachineID]int // entries of critical tasks
	teamOwners map[string]string      // team to controller, as far as asked since the living changed
	within     map[wire.JobID]bool    // the jobs within their teams' guarantees
}

// plannerTeam is what the planner keeps of a team.
type plannerTeam struct {
	writing   *round
	notBefore Time // no round before
	proofFrom Time // when proofs may be written here though another is the owner
	lastTurn  Time
	placeFrom Time                    // no placements before: after lost writes
	tries     int                     // lost writes in a row
	firstTry  Time                    // when the first of them was sent
	locked    map[wire.MachineID]bool // machines of the lost writes
}

func (p *planner) init() {
	p.ofJob = map[wire.JobID][]*Entry{}
	p.critical = map[wire.MachineID]int{}
	p.teamOwners = map[string]string{}
}

const (
	// planEvery and planPerMachine bound what planning costs.
	planEvery      = 30 * time.Millisecond
	planPerMachine = 60 * time.Microsecond
	// surveyEvery is how often the buyer looks at what waits at least.
	surveyEvery = time.Second
	idlePlan    = 500 * time.Millisecond
	idleMost    = 2 * time.Second
	// firstTime is how long the placement of a new job is left to the controller
	// that accepted it.
	firstTime = 500 * time.Millisecond
	// proofTime is how long the writing down of proofs is left to the owner:
	// one writer per team spares lost writes.
	proofTime   = time.Second
	notDoneWait = 200 * time.Millisecond
	reportSlack = 2 * time.Second
	maxPerHost  = 300
	maxTxnBytes = 40 << 10 // leaves room for two more pages under the 64 KiB of a transaction
	// crowdedPart is the part of the writes that rounds may take meanwhile.
	crowdedPart = 0.4
	// restEvery is how often what can wait is planned at most.
	restEvery = 250 * time.Millisecond
)

func (c *Core) teamSettings(name string) *config.Team {
	for i := range c.settings.Cluster.Teams {
		if c.settings.Cluster.Teams[i].Name == name {
			return &c.settings.Cluster.Teams[i]
		}
	}
	return nil
}

// plan runs one pass over all that waits, if there is reason to. What can wait
// gathers until this controller's share of the writes allows another round.
func (c *Core) plan() {
	if !c.ready || !c.whole() || !c.stateFresh() || !c.after(c.nextPlan) {
		return
	}
	// What stood on machines that are gone is not made to wait.
	rest := c.lostSome || c.after(c.nextRest) && c.affords()
	if !rest && c.buyer == c.boot && c.after(c.nextSurvey) {
		// What waits must be bought for even while nothing can be written.
		c.nextSurvey = c.now.Add(surveyEvery)
		c.nextPlan = c.now.Add(c.planPause())
		if c.sharded() {
			c.surveyFleet()
		} else {
			c.place(map[string]*round{}, true)
		}
		return
	}
	if !rest && !c.urgent || !c.dirty && !c.after(c.nextPlan.Add(c.paced(idlePlan, idleMost))) {
		return
	}
	c.dirty = !rest // what could not be looked at now is looked at later
	c.urgent = false
	c.nextPlan = c.now.Add(c.planPause())
	if rest {
		c.nextRest = c.now.Add(max(c.paced(restEvery, planMost), 2*c.planPause()))
		c.nextSurvey = c.now.Add(surveyEvery)
	}
	paced := c.crowded() && !c.after(c.nextUrgent)
	if paced {
		c.urgent = true
		if !rest {
			return
		}
	}
	for _, name := range sortedKeys(c.teams) {
		c.unlock(c.teams[name])
	}
	rounds := c.turnOf(rest)
	if rest {
		c.endJobs(rounds)
		c.mendGangs(rounds)
		c.drain(rounds)
	}
	// Critical work waits for no turn.
	for _, name := range sortedKeys(c.teams) {
		if t := c.teams[name]; !paced && rounds[name] == nil && t.writing == nil && c.after(t.notBefore) {
			rounds[name] = c.newRound(t)
			rounds[name].urgentOnly = true
		}
	}
	c.place(rounds, rest)
	wrote, ops := false, 0
	for _, name := range sortedKeys(rounds) {
		if r := rounds[name]; !r.empty() {
			c.write(r)
			wrote = true
			ops += r.ops
		}
	}
	c.nextUrgent = c.now.Add(config.Seconds(float64(ops) / (c.writeRate() * crowdedPart)))
	if !wrote {
		c.nextRest = c.nextPlan
	}
}

// crowded reports whether so many submissions wait to be written that rounds for
// critical work are to leave writes to them. Such rounds go first, and each team
// could write one after the other, with a job or two in each: hundreds of jobs
// that came at once were then accepted at a few a second, and what they need was
// rented as late. The more jobs there are in a round, the fewer writes each takes.
func (c *Core) crowded() bool { return c.accepting >= acceptLeast }

// turnOf starts rounds for the teams whose turn it is. A round is made when it
// can be written at once: one that waits in line for its tokens is based on
// what is no longer so, and is lost. So teams take turns, unless machines are
// gone with what stood on them.
func (c *Core) turnOf(rest bool) map[string]*round {
	rounds := map[string]*round{}
	if !rest {
		return rounds
	}
	names := sortedKeys(c.teams)
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(c.teams[a].lastTurn, c.teams[b].lastTurn) })
	for _, name := range names {
		t := c.teams[name]
		if t.writing != nil || !c.after(t.notBefore) {
			continue
		}
		r := c.newRound(t)
		c.takeProofs(r)
		switch {
		case r.empty() || c.ownsTeam(name):
			t.proofFrom = 0
		case t.proofFrom == 0:
			t.proofFrom = c.now.Add(proofTime)
			continue
		case !c.after(t.proofFrom):
			continue
		}
		if r.empty() && !c.awaits(name) {
			continue
		}
		rounds[name] = r
		t.lastTurn = c.now
		if !c.lostSome {
			c.dirty = true // others may wait for their turn
			break
		}
	}
	c.lostSome = false
	return rounds
}

// awaits reports whether a team has something that is this controller's to do:
// tasks without a machine, or whatever else its owner looks after.
func (c *Core) awaits(team string) bool {
	ownsTeam := c.ownsTeam(team)
	if ownsTeam && slices.ContainsFunc(c.inOrder(), func(m *machine) bool { return m.recallAt != 0 }) {
		return true
	}
	for id, j := range c.jobs {
		if j.spec.Team != team {
			continue
		}
		if done := j.done.Len(); ownsTeam && done >= j.spec.Tasks || !c.paused(j) && done+c.placedOf(id) < j.spec.Tasks && c.places(j) {
			return true
		}
	}
	return false
}

// planPause is the least time between passes, which cost in proportion to the
// fleet.
func (c *Core) planPause() time.Duration {
	return c.paced(planEvery+time.Duration(len(c.machines))*planPerMachine, planMost)
}

// paced is a pause of what can be put off, stretched where this process has a small
// share of a processor, and further while it falls behind: leases, answers and what
// waits for them come first. It is not stretched beyond most.
func (c *Core) paced(pause, most time.Duration) time.Duration {
	stretch := max(1, usualShare/c.settings.Cluster.Quota.CoreShare) * (1 + c.lag)
	return max(pause, min(most, time.Duration(float64(pause)*stretch)))
}

// noteLag is called at every tick: how late ticks come shows whether this process
// keeps up.
func (c *Core) noteLag() {
	late := min(c.now.Sub(c.lastTick)-TickEvery, stoodStill)
	c.lag += lagWeight * (max(0, float64(late)/float64(TickEvery)) - c.lag)
	c.lastTick = c.now
	if late := c.lag > lagHigh; late != c.lagging && (late || c.lag < lagLow) {
		c.lagging = late
		if late {
			c.count(countLagging, 1)
			c.log.Info("this process falls behind: what can wait is put off; cluster.quota.core_share may be too small",
				"late", time.Duration(c.lag*float64(TickEvery)).Round(time.Millisecond), "core_share", c.settings.Cluster.Quota.CoreShare)
		} else {
			c.log.Info("this process keeps up again")
		}
	}
}

const (
	// TickEvery is how often the core is to be given a Tick.
	TickEvery = 50 * time.Millisecond
	// usualShare is the share of a processor that pauses are meant for.
	usualShare = 0.18
	planMost   = time.Second
	lagWeight  = 0.1 // of the last tick, in the mean
	// lagHigh and lagLow are how late ticks come, in ticks, when a process is said to
	// fall behind, and to keep up again.
	lagHigh, lagLow = 3.0, 0.5
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// concerns reports whether anything waits that this controller answers for. The
// buyer also has to know what else does, and whether enough room is kept free.
func (c *Core) concerns(rest bool) bool {
	return rest && c.buyer == c.boot || c.waitsForUs(rest)
}

// waitsForUs reports whether anything waits that this controller answers for.
func (c *Core) waitsForUs(rest bool) bool {
	for id, j := range c.jobs {
		if (rest || j.spec.Priority == wire.PriorityCritical) && !c.paused(j) && j.done.Len()+c.placedOf(id) < j.spec.Tasks && c.places(j) {
			return true
		}
	}
	return false
}
