package core

import (
	"slices"
	"time"

	"lilacrill/internal/placement"
	"lilacrill/internal/share"
	"lilacrill/wire"
)

// A job that finds no room in the shares of the controller that answers for it is handed
// on to another, which places it for a while. Each controller that finds no room either
// hands it on in turn, to one that has not tried; at last it comes back to the owner of
// its team, which waits a moment before the next turn. Siblings say what room they have.
// All of it is hints: what is placed is decided by the conditions of the write.

// handOff is a job that a controller is to place until some time.
type handOff struct {
	to    string
	until Time
	tried []string
}

// handOffState is what this controller knows of jobs handed on and of siblings' room.
type handOffState struct {
	handOffs    map[wire.JobID]handOff
	siblingRoom map[string][]wire.CapacityOffer // by sibling
	toHandOn    []wire.ForwardedJob             // to be told once no write of the team is under way
	nextOffer   Time
}

const (
	// handOffLasts is how long a job is left to the controller that it was handed to.
	handOffLasts = 2 * time.Second
	// handOnPause and handOnPauseUrgent are the pauses after all have tried.
	handOnPause       = time.Second
	handOnPauseUrgent = 300 * time.Millisecond
	// handOffsPerLine bounds how many jobs are handed on at once.
	handOffsPerLine = 64
	// offerEvery is how often siblings are told of room.
	offerEvery = 500 * time.Millisecond
)

func (s *handOffState) init() {
	s.handOffs = map[wire.JobID]handOff{}
	s.siblingRoom = map[string][]wire.CapacityOffer{}
}

// holder is the controller that a job was handed to, if that still holds.
func (c *Core) holder(id wire.JobID) (string, bool) {
	h, ok := c.handOffs[id]
	return h.to, ok && !c.after(h.until)
}

// handOn hands on a job that found no room here: to a controller that says it has room or,
// without roomOnly, urgent work also to one that could stop others for it. It reports
// whether it did.
func (c *Core) handOn(w *waiting, roomOnly bool) bool {
	j := w.job
	if !c.places(j) || !c.after(j.handOnFrom) || len(c.toHandOn) >= handOffsPerLine {
		return false
	}
	tried := []string{c.settings.Label}
	if h, ok := c.handOffs[j.id]; ok && !c.after(h.until) {
		tried = append(slices.Clone(h.tried), c.settings.Label)
	}
	next := c.nextHolder(w, tried, roomOnly)
	owner := c.teamOwner(j.spec.Team)
	switch {
	case next != "":
	case roomOnly:
		return false
	case owner == c.settings.Label:
		c.handedBack(j)
		return false
	default:
		next = owner
		tried = append(tried, owner) // it comes back
	}
	j.handOnFrom = c.now.Add(handOnPauseUrgent)
	c.handOffs[j.id] = handOff{next, c.now.Add(handOffLasts), tried}
	c.toHandOn = append(c.toHandOn, wire.ForwardedJob{Job: j.id, To: next, Tried: tried})
	c.count(countHandedOn, 1)
	return true
}

// handedBack is called when all controllers have tried a job of a team of ours.
func (c *Core) handedBack(j *job) {
	pause := handOnPause
	if j.spec.Priority == wire.PriorityCritical {
		pause = handOnPauseUrgent
	}
	j.handOnFrom = c.now.Add(pause)
	delete(c.handOffs, j.id)
	if j.spec.Tasks > 1 && (j.spec.Shape == wire.ShapeGang || j.spec.SingleZone) {
		c.collectFor = j.id
	}
}

// nextHolder is a controller that has not tried a job and may have room for it; if none
// has, and roomOnly is not set, one that could stop less urgent work for it.
func (c *Core) nextHolder(w *waiting, tried []string, roomOnly bool) string {
	makesRoom := w.job.spec.Priority.Level() <= wire.PriorityHigh.Level() || w.promised
	other := ""
	for _, label := range c.labels {
		p := c.peers[label]
		if label == c.settings.Label || slices.Contains(tried, label) || p == nil || c.now.Sub(p.heard) > peerSilence || c.shares.Owned(label) == 0 {
			continue
		}
		if c.offersRoom(label, w.job) {
			return label
		}
		if makesRoom && !roomOnly {
			other = label
		}
	}
	return other
}

// offersRoom reports whether a sibling says that it has room for a task of a job.
func (c *Core) offersRoom(label string, j *job) bool {
	for i := range c.siblingRoom[label] {
		o := &c.siblingRoom[label][i]
		free := placement.Amount{Cores: o.Cores, Accelerators: o.Accelerators, MemGB: o.MemGB}
		if !free.Covers(j.req.Need) {
			continue
		}
		h := &placement.Host{Labels: c.kindLabels(machineKind{o.Type, o.Zone, o.Spot}), Free: free}
		if (placement.Fleet{h}).Holds(j.req.Enforced, j.spec.Team, h) {
			return true
		}
	}
	return false
}

// tellHandOffs tells the siblings of jobs that are handed on. Those of a team of which a
// write is under way wait: whoever gets them would lose its own write to it.
func (c *Core) tellHandOffs() {
	if len(c.toHandOn) == 0 {
		return
	}
	line := c.newLine()
	kept := c.toHandOn[:0]
	for _, h := range c.toHandOn {
		j := c.jobs[h.Job]
		switch {
		case j == nil:
		case c.teamOf(j.spec.Team).writing != nil:
			kept = append(kept, h)
		default:
			line.ForwardedJobs = append(line.ForwardedJobs, h)
		}
	}
	c.toHandOn = kept
	if len(line.ForwardedJobs) > 0 {
		c.tell(line)
	}
}

// takeHandOffs takes a sibling's word on jobs that it hands on.
func (c *Core) takeHandOffs(handOffs []wire.ForwardedJob) {
	for _, h := range handOffs {
		j := c.jobs[h.Job]
		if slices.Contains(h.Tried, h.To) { // it comes back to its team's owner
			delete(c.handOffs, h.Job)
			if j != nil && h.To == c.settings.Label {
				c.handedBack(j)
			}
			continue
		}
		c.handOffs[h.Job] = handOff{h.To, c.now.Add(handOffLasts), h.Tried}
		if h.To == c.settings.Label {
			c.dirty = true
			c.urgent = c.urgent || j != nil && j.spec.Priority == wire.PriorityCritical
			if j != nil {
				j.handOnFrom = 0
			}
		}
	}
}

// forgetHandOffs drops what no longer holds.
func (c *Core) forgetHandOffs() {
	for id, h := range c.handOffs {
		if c.after(h.until) {
			delete(c.handOffs, id)
		}
	}
}

// offerRoom adds the room in this controller's shares to a line, from time to time.
func (c *Core) offerRoom(line *wire.PeerMessage) {
	if !c.sharded() || !c.after(c.nextOffer) {
		return
	}
	c.nextOffer = c.now.Add(offerEvery)
	c.forgetHandOffs()
	room := c.roomOffers()
	line.Capacity = &room
}

func (c *Core) roomOffers() []wire.CapacityOffer {
	best := map[machineKind]placement.Amount{}
	var kinds []machineKind
	for _, m := range c.inOrder() {
		t := c.kind(m.kind)
		if t == nil || !c.shares.Places(m.share) || !c.usable(m) {
			continue
		}
		free := amountOf(t)
		for _, e := range m.entries {
			free = free.Plus(e.need(), -float64(e.Tasks.Len()))
		}
		key := machineKind{m.kind, m.zone, m.spot}
		most, known := best[key]
		if !known {
			kinds = append(kinds, key)
		}
		best[key] = placement.Amount{Cores: max(most.Cores, free.Cores), Accelerators: max(most.Accelerators, free.Accelerators),
			MemGB: max(most.MemGB, free.MemGB)}
	}
	offers := make([]wire.CapacityOffer, 0, len(kinds))
	for _, k := range kinds {
		a := best[k]
		offers = append(offers, wire.CapacityOffer{Type: k.kind, Zone: k.zone, Spot: k.spot, Cores: a.Cores, Accelerators: a.Accelerators, MemGB: a.MemGB})
	}
	return offers
}

// collect asks for the shares whose machines, together with those of this controller, have
// room for a job that needs it at once and that no controller alone can place.
func (c *Core) collect() (share.Action, bool) {
	j := c.jobs[c.collectFor]
	c.collectFor = ""
	if j == nil || c.collected != 0 && c.now.Sub(c.collected) < collectEvery || len(c.catalogue) == 0 {
		return share.Action{}, false
	}
	ids := c.sharesFor(j)
	if len(ids) == 0 {
		return share.Action{}, false
	}
	a, due := c.sharePlanner.Acquire(ids, c.wall)
	if due {
		c.collected = c.now
		c.log.Debug("shares asked for", "job", j.id, "shares", a.Shards)
	}
	return a, due
}

// sharesFor finds the shares of others whose machines a job needs, in the zone that comes
// closest if it is to stay in one.
func (c *Core) sharesFor(j *job) []wire.ShardID {
	type candidate struct {
		share     wire.ShardID
		now, most int // tasks that there is room for, and if less urgent work is stopped
	}
	need := j.req.Need
	byZone, now, most := map[string][]candidate{}, map[string]int{}, map[string]int{}
	fleet := c.hosts(map[string]*round{}, false, func(*page, *Entry, *placement.Host) {})
	for _, h := range fleet {
		if h.Closed || !h.Total.Covers(need) || !(placement.Fleet{h}).Holds(j.req.Enforced, j.spec.Team, h) {
			continue
		}
		m := c.machines[h.ID]
		free := h.Free.Plus(h.Freeing, 1)
		cand := candidate{share: m.share, now: free.Times(need, j.spec.Tasks)}
		for _, e := range m.entries {
			if e.Priority > j.spec.Priority.Level() {
				free = free.Plus(e.need(), float64(e.Tasks.Len()))
			}
		}
		cand.most = free.Times(need, j.spec.Tasks)
		zone := ""
		if j.spec.SingleZone {
			zone = m.zone
		}
		byZone[zone], now[zone], most[zone] = append(byZone[zone], cand), now[zone]+cand.now, most[zone]+cand.most
	}
	best, any := "", false
	for _, zone := range sortedKeys(byZone) {
		if most[zone] >= j.spec.Tasks && (!any || now[zone] > now[best] || now[zone] == now[best] && most[zone] > most[best]) {
			best, any = zone, true
		}
	}
	if !any {
		return nil
	}
	slices.SortStableFunc(byZone[best], func(a, b candidate) int { return b.now - a.now })
	have := 0
	for _, cand := range byZone[best] {
		if c.shares.Places(cand.share) {
			have += max(cand.now, cand.most)
		}
	}
	var ids []wire.ShardID
	for _, cand := range byZone[best] {
		if have >= j.spec.Tasks {
			break
		}
		if cand.most > 0 && !c.shares.Places(cand.share) && !slices.Contains(ids, cand.share) {
			ids = append(ids, cand.share)
		}
		if slices.Contains(ids, cand.share) {
			have += cand.most
		}
	}
	return ids
}
