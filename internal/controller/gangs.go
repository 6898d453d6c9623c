package controller

import (
	"cmp"
	"slices"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// evictBrokenGangs stops what is left of a gang that lost a task, so that it can start
// again as a whole.
func (c *Controller) evictBrokenGangs(transactions map[string]*placementTransaction) {
	for _, id := range sortedKeys(c.cache.jobs) {
		j := c.cache.jobs[id]
		r := transactions[j.spec.Team]
		if j.spec.Shape != wire.ShapeGang || r == nil || !c.ownsTeam(j.spec.Team) || !c.hasCapacityFor(r, 4) {
			continue
		}
		if r.completedJobs[id] || c.jobUnreadable(id) {
			continue
		}
		var placed record.TaskSet
		for _, l := range c.jobAllocations(r, id) {
			placed = placed.With(l.allocation.Tasks)
		}
		if n := placed.Len(); n > 0 && n < j.spec.Tasks {
			c.stageJobEviction(r, id, record.EvictionImmediate)
		}
	}
}

// gatherCapacity gets room ready for tasks that start at once or share a zone, which
// cannot be had one by one: in the zone (for those that need one) that comes
// closest, it has less urgent work stopped if that is all it takes, and keeps
// for them what is free or being freed, so that smaller work does not nibble it
// away. It returns that zone and how many tasks still lack room there.
//
// A zone gathers for one job at a time, the most urgent: when several large gangs
// each kept a part of what they need, a fifth of the machines stood idle.
func (c *Controller) gatherCapacity(p *schedulingPass, w *pendingJob, count int) (string, int) {
	j := w.job
	need := j.request.Need
	rd := p.fleet.NewEvaluator(p.jobHosts[j.id])
	type room struct {
		host      *placement.Host
		now, most int // tasks that there will be room for, and if others are stopped
	}
	rooms, now, most := map[string][]room{}, map[string]int{}, map[string]int{}
	lower := ^uint8(0) << (j.spec.Priority.Level() + 1)
	for _, h := range p.fleet {
		if h.Unschedulable || !h.Total.Covers(need) || !rd.Holds(j.request.Enforced, j.spec.Team, h) {
			continue
		}
		free := h.Free.Plus(h.Freeing, 1)
		r := room{host: h, now: free.Fits(need, count)}
		if h.PreemptablePriorities&lower != 0 || w.guaranteed && h.HasUnguaranteedTasks {
			for _, e := range c.allocationsOn(h.ID) {
				if c.preemptable(p.transactions, e, w, false) {
					free = free.Plus(e.taskResources(), float64(e.Tasks.Len()))
				}
			}
		}
		if r.most = free.Fits(need, count); r.most > 0 {
			z := ""
			if j.spec.SingleZone {
				z = h.Labels[placement.LabelZone]
			}
			rooms[z], now[z], most[z] = append(rooms[z], r), now[z]+r.now, most[z]+r.most
		}
	}
	zones := []string{""}
	if j.spec.SingleZone {
		zones = c.settings.Cluster.Zones
	}
	open := slices.DeleteFunc(slices.Clone(zones), func(z string) bool { return p.gatheringZones[z] })
	gathers := len(open) > 0
	if gathers {
		zones = open
	}
	best := slices.MaxFunc(zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(min(now[a], count), min(now[b], count)), cmp.Compare(min(most[a], count), min(most[b], count)),
			cmp.Compare(c.countOffers(j, a), c.countOffers(j, b)))
	})
	if !gathers {
		return best, count
	}
	p.gatheringZones[best] = true
	left := count
	stops := most[best] >= count && c.schedulesJob(j)
	slices.SortFunc(rooms[best], func(a, b room) int {
		return cmp.Or(-cmp.Compare(a.now, b.now), cmp.Compare(a.host.ID, b.host.ID))
	})
	for _, r := range rooms[best] {
		for n := 0; n < r.most && left > 0; n++ {
			if n >= r.now && (!stops || !c.makeRoom(p.transactions, r.host, w, false)) {
				break
			}
			r.host.Free = r.host.Free.Plus(need, -1)
			left--
		}
	}
	return best, left
}

// imagePullMargin is how much longer than reckoned an image may take to fetch.
const imagePullMargin = 4.0 / 3

// imagePullTime is how long a machine may take to fetch a job's image; 0 if it has it.
func (c *Controller) imagePullTime(m *machine, j *job) time.Duration {
	t := c.machineTypeNamed(m.machineType)
	if t == nil || t.PullGBPerS <= 0 || m.images.cached[j.spec.Image] {
		return 0
	}
	return config.Seconds(imagePullMargin * j.spec.ImageGB / t.PullGBPerS)
}

// gangImagePullTime is how long the slowest machine of a gang's attempt may take to fetch
// the image.
func (c *Controller) gangImagePullTime(j *job, attempt wire.Attempt) time.Duration {
	most := time.Duration(0)
	for _, e := range c.scheduler.allocationsByJob[j.id] {
		if m := c.fleet.machines[e.Machine]; m != nil && e.Attempt == attempt {
			most = max(most, c.imagePullTime(m, j))
		}
	}
	return most
}

// defersGangLaunch reports whether a gang's task is not to be launched yet: others of its
// attempt have to fetch the image for so long that it would give up waiting for
// them. The whole gang would then be stopped, the fetches with it, and start anew,
// over and over. Its place is kept meanwhile.
func (c *Controller) defersGangLaunch(m *machine, e *Allocation, j *job) bool {
	if e.Shape != wire.ShapeGang || j.spec.Tasks < 2 {
		return false
	}
	patience := config.Seconds(c.settings.Cluster.Workers.GangWaitS / 2)
	most := c.gangImagePullTime(j, e.Attempt)
	if most <= patience {
		return false
	}
	if j.launchingAttempt != e.Attempt {
		j.launchingAttempt, j.launchStartedAt = e.Attempt, c.now
	}
	return c.now.Sub(j.launchStartedAt) < most-c.imagePullTime(m, j)-patience
}

// countOffers counts the machine types that a job can use and that the cloud has
// not refused lately in a zone.
func (c *Controller) countOffers(j *job, zone string) int {
	n := 0
	for _, o := range c.offers() {
		h := o.Host("", 1)
		if (zone == "" || o.Zone == zone) && h.Total.Covers(j.request.Need) && (placement.Fleet{h}).Holds(j.request.Enforced, j.spec.Team, h) {
			n++
		}
	}
	return n
}
