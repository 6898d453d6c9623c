package controller

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"

	"lilacrill/internal/capacity"
	"lilacrill/internal/placement"
	"lilacrill/internal/shard"
	"lilacrill/wire"
)

// reserveHeadroom reserves room for critical tasks that must start at once, before less
// urgent tasks are placed.
//
// A pass over this controller's shards reserves this controller's part of the headroom.
// Missing headroom is determined by the provisioner's pass over the whole fleet.
func (p *schedulingPass) reserveHeadroom() {
	c := p.c
	if p.ownShards {
		for _, demand := range c.headroomDemands() {
			p.reserve(demand.Request, c.ownHeadroom(demand))
		}
		return
	}
	for _, machine := range c.fleet.machines {
		machine.scaling.holdsHeadroom = false
	}
	c.provisioner.missingHeadroom = 0
	for _, demand := range c.headroomDemands() {
		missing := demand.Count
		for _, assignment := range p.reserve(demand.Request, demand.Count) {
			missing -= assignment.Count
			c.fleet.machines[assignment.Machine].scaling.holdsHeadroom = true
		}
		c.provisioner.missingHeadroom += missing
	}
}

// reserve reserves room for up to count tasks of a request, and returns where.
func (p *schedulingPass) reserve(request *placement.Request, count int) []placement.Assignment {
	assignments := p.fleet.Choose(request, count, "", placement.Options{Relax: true})
	for _, assignment := range assignments {
		p.c.fleet.machines[assignment.Machine].host.NoteReservation(request, assignment.Count)
	}
	return assignments
}

// ownHeadroom returns the number of tasks of a headroom demand for which this controller
// reserves room. Each task belongs to a shard, as machines do, so the parts of all controllers
// add up to the whole demand, however small it is.
func (c *Controller) ownHeadroom(demand capacity.Demand) int {
	own := 0
	for i := range demand.Count {
		name := wire.MachineID(demand.Request.Image + "/" + strconv.Itoa(i))
		if c.shards.table.MaySchedule(shard.Of(name)) {
			own++
		}
	}
	return own
}

// headroomKey groups jobs by class and image. Headroom on a machine without the image would
// be of no use, since the machine would have to pull the image first.
type headroomKey struct{ class, image string }

// headroomClass summarizes the jobs of one class and image.
type headroomClass struct {
	spec  *wire.JobSpec // of the last of these jobs
	tasks int           // number of tasks that are not completed
}

// headroomDemands returns the headroom to keep: for every critical class with an objective
// for its wait, room for a minimum of tasks plus a fraction of the tasks that it has now. For
// other classes, room is made by preemption.
func (c *Controller) headroomDemands() []capacity.Demand {
	classes := c.headroomClasses()
	hasWaitObjective := map[string]bool{}
	for _, objective := range c.settings.Cluster.Objectives {
		if objective.Kind == objectiveWait {
			hasWaitObjective[objective.Class] = true
		}
	}
	keys := slices.SortedFunc(maps.Keys(classes), func(a, b headroomKey) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.image, b.image))
	})
	var demands []capacity.Demand
	for _, key := range keys {
		class := classes[key]
		if !hasWaitObjective[key.class] || class.spec.Priority != wire.PriorityCritical {
			continue
		}
		spec := *class.spec
		spec.ID, spec.Zone, spec.SpreadZones, spec.SingleZone, spec.Shape = "", "", false, false, wire.ShapeArray
		demands = append(demands, capacity.Demand{
			Request: placement.NewRequest(&spec),
			Count:   c.operator.values.MinHeadroom + int(math.Ceil(c.operator.values.HeadroomFraction*float64(class.tasks))),
		})
	}
	return demands
}

// headroomClasses groups the jobs by class and image, without those in crash-loop backoff.
func (c *Controller) headroomClasses() map[headroomKey]*headroomClass {
	classes := map[headroomKey]*headroomClass{}
	for _, id := range sortedKeys(c.cache.jobs) {
		job := c.cache.jobs[id]
		if job.crashLoop.consecutiveBackoffs > 0 || job.unreadable {
			continue
		}
		key := headroomKey{job.spec.Class, job.spec.Image}
		if classes[key] == nil {
			classes[key] = &headroomClass{}
		}
		classes[key].spec = &job.spec
		classes[key].tasks += job.spec.Tasks - job.completed.Len()
	}
	return classes
}
