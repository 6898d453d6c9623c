package controller

import "lilacrill/internal/rendezvous"

// ownership is the division of the work among the live controllers. Any of them may do any of the
// work. The division only avoids conflicts between their transactions, whose conditions alone ensure
// safety.
type ownership struct {
	eligible     []string          // labels of the live controllers that reach workers
	teamOwners   map[string]string // owners' labels by team; replaced when the live controllers change
	rateFraction float64           // this controller's fraction of the state store's rate limits; 0 until it is known
}

func (o *ownership) init() { o.teamOwners = map[string]string{} }

// teamOwner returns the label of a team's owner. A team that is not in the settings is assigned an
// owner when it is first looked up.
func (o *ownership) teamOwner(team string) string {
	if owner, ok := o.teamOwners[team]; ok {
		return owner
	}
	owner := rendezvous.HighestScoring(o.eligible, team)
	o.teamOwners[team] = owner
	return owner
}

// ownsTeam reports whether this controller is a team's owner, which handles everything that the
// team's jobs need after their first placement.
func (c *Controller) ownsTeam(team string) bool { return c.teamOwner(team) == c.settings.Label }

// teamOwner returns the label of a team's owner.
func (c *Controller) teamOwner(team string) string { return c.ownership.teamOwner(team) }

// assignOwnership divides the teams and the state store's rate limits among the live controllers.
// All controllers reach the same result once they know of the same live controllers. Until then,
// different results may cause conflicts and refused calls, but do not affect safety.
func (c *Controller) assignOwnership() {
	c.ownership.eligible = c.findEligibleControllers()
	var teams []string
	for i := range c.settings.Cluster.Teams {
		teams = append(teams, c.settings.Cluster.Teams[i].Name)
	}
	// No controller is assigned more than an equal part of the teams. At a high rate of writes, a
	// controller that owns three teams would delay two of them.
	c.ownership.teamOwners = rendezvous.Assign(c.ownership.eligible, teams)
	if fraction := c.computeRateFraction(); fraction != c.ownership.rateFraction {
		c.ownership.rateFraction = fraction
		c.emit(SetRateFraction{fraction})
	}
}

// findEligibleControllers returns the labels of the live controllers that reach workers, in order.
// If there are none, it returns the label of this controller.
func (c *Controller) findEligibleControllers() []string {
	var labels []string
	for _, label := range sortedKeys(c.cache.liveControllers) {
		if !c.cache.isolatedControllers[label] {
			labels = append(labels, label)
		}
	}
	if len(labels) == 0 {
		return []string{c.settings.Label}
	}
	return labels
}

// computeRateFraction returns the fraction of the state store's rate limits that this controller may
// use. The fractions are weighted: a controller counts once, once more if it is the provisioner, and
// once for every team that it owns.
func (c *Controller) computeRateFraction() float64 {
	weights := map[string]int{}
	for label, incarnation := range c.cache.liveControllers {
		weights[label] = 1
		if incarnation == c.cache.provisionerIncarnation {
			weights[label]++
		}
	}
	for _, owner := range c.ownership.teamOwners {
		weights[owner]++
	}
	sum := 0
	for _, weight := range weights {
		sum += weight
	}
	own := weights[c.settings.Label]
	if own == 0 {
		own, sum = 1, sum+1 // this controller has no liveness record yet
	}
	return float64(own) / float64(sum)
}
