package controller

import "lilacrill/internal/rendezvous"

// ownsTeam reports whether this controller is a team's owner: the one that looks
// after whatever its jobs need beyond the first placement. It is only a hint
// that spares lost writes; safety rests on the conditions of the writes.
func (c *Controller) ownsTeam(team string) bool { return c.teamOwner(team) == c.settings.Label }

func (c *Controller) teamOwner(team string) string {
	if s, ok := c.scheduler.teamOwners[team]; ok {
		return s
	}
	best := rendezvous.Highest(c.membership.eligibleControllers, team)
	c.scheduler.teamOwners[team] = best
	return best
}

// assignOwnership shares out the teams and the state service's limits among the living
// controllers. All come to the same result once they know of the same ones;
// until then it costs lost writes and refused calls, not safety.
func (c *Controller) assignOwnership() {
	var labels []string
	weight := map[string]float64{}
	for _, label := range sortedKeys(c.cache.liveControllers) {
		weight[label] = 1
		if c.cache.liveControllers[label] == c.cache.provisionerIncarnation {
			weight[label]++
		}
		if !c.cache.isolatedControllers[label] {
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
	// Each takes no more than its part: at many writes a second a controller with three
	// teams holds two of them up.
	c.scheduler.teamOwners = rendezvous.Assign(labels, names)
	for _, owner := range c.scheduler.teamOwners {
		weight[owner]++
	}
	sum := 0.0
	for _, w := range weight {
		sum += w
	}
	own := weight[c.settings.Label]
	if own == 0 {
		own, sum = 1, sum+1 // not enrolled yet
	}
	c.membership.eligibleControllers = labels
	if part := own / sum; part != c.membership.assignedRateFraction {
		c.membership.assignedRateFraction = part
		c.emit(SetRateShare{part})
	}
}
