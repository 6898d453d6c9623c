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

// reserveHeadroom keeps room free for tasks that must start at once, before less urgent
// ones are placed.
//
// In its own shares a controller keeps its part of that room, and leaves it to the buyer's
// look at the whole fleet what is lacking.
func (c *Controller) reserveHeadroom(p *schedulingPass) {
	if p.ownShards {
		for _, s := range c.headroomDemands() {
			p.fleet.Choose(s.Request, c.ownHeadroom(s), "", placement.Options{Relax: true})
		}
		return
	}
	for _, m := range c.fleet.machines {
		m.scaling.holdsHeadroom = false
	}
	c.provisioner.missingHeadroom = 0
	for _, s := range c.headroomDemands() {
		left := s.Count
		for _, ch := range p.fleet.Choose(s.Request, s.Count, "", placement.Options{
			Relax: true,
		}) {
			left -= ch.Count
			c.fleet.machines[ch.Machine].scaling.holdsHeadroom = true
		}
		c.provisioner.missingHeadroom += left
	}
}

// ownHeadroom is how much of some spare room is up to this controller. Each unit belongs to a
// share, as machines do: so all parts together are the whole, however small it is.
func (c *Controller) ownHeadroom(s capacity.Demand) int {
	n := 0
	for unit := range s.Count {
		name := wire.MachineID(s.Request.Image + "/" + strconv.Itoa(unit))
		if c.shards.table.Places(shard.ShardOf(name)) {
			n++
		}
	}
	return n
}

// headroomDemands is the room to be kept free: for every class that is promised a short
// wait, for some part of the tasks it has now.
func (c *Controller) headroomDemands() []capacity.Demand {
	type seen struct {
		spec  *wire.JobSpec
		tasks int
	}
	// By class and image: room on a machine that must fetch the image first
	// would not do.
	type key struct{ class, image string }
	classes := map[key]*seen{}
	for _, id := range sortedKeys(c.cache.jobs) {
		j := c.cache.jobs[id]
		if j.crashLoop.consecutiveBackoffs > 0 || j.unreadable {
			continue
		}
		k := key{j.spec.Class, j.spec.Image}
		s := classes[k]
		if s == nil {
			s = &seen{}
			classes[k] = s
		}
		s.spec = &j.spec
		s.tasks += j.spec.Tasks - j.completed.Len()
	}
	promised := map[string]bool{}
	for _, o := range c.settings.Cluster.Objectives {
		if o.Kind == "wait" {
			promised[o.Class] = true
		}
	}
	keys := slices.SortedFunc(maps.Keys(classes), func(a, b key) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.image, b.image))
	})
	var out []capacity.Demand
	for _, k := range keys {
		s := classes[k]
		// Work that is not critical has its room made by stopping others.
		if !promised[k.class] || s.spec.Priority != wire.PriorityCritical {
			continue
		}
		spec := *s.spec
		spec.ID, spec.Zone, spec.SpreadZones, spec.SingleZone, spec.Shape = "", "", false, false, wire.ShapeArray
		out = append(out, capacity.Demand{Request: placement.NewRequest(&spec),
			Count: c.operator.values.SpareLeast + int(math.Ceil(c.operator.values.SpareShare*float64(s.tasks)))})
	}
	return out
}
