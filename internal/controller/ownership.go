package controller

import "lilacrill/internal/rendezvous"

// ownership is how the live controllers divide what any of them may do. It is only a hint that
// avoids transactions lost to one another; safety rests on their conditions.
type ownership struct {
	eligible     []string          // labels of the live controllers that reach workers
	teamOwners   map[string]string // team to label; replaced when the live controllers change
	rateFraction float64           // of the state store's rate limits; 0 until it is known
}

func (o *ownership) init() { o.teamOwners = map[string]string{} }

// teamOwner is the label of a team's owner. A team that the settings do not name is given one
// when it first comes up.
func (o *ownership) teamOwner(team string) string {
	if owner, ok := o.teamOwners[team]; ok {
		return owner
	}
	owner := rendezvous.HighestScoring(o.eligible, team)
	o.teamOwners[team] = owner
	return owner
}

// ownsTeam reports whether this controller is a team's owner: the one that looks after
// whatever the team's jobs need beyond the first placement.
func (c *Controller) ownsTeam(team string) bool { return c.teamOwner(team) == c.settings.Label }

// teamOwner is the label of a team's owner.
func (c *Controller) teamOwner(team string) string { return c.ownership.teamOwner(team) }

// assignOwnership divides the teams and the state store's rate limits among the live
// controllers. All come to the same result once they know of the same ones; until then it
// costs lost transactions and refused calls, not safety.
func (c *Controller) assignOwnership() {
	c.ownership.eligible = c.findEligibleControllers()
	var teams []string
	for i := range c.settings.Cluster.Teams {
		teams = append(teams, c.settings.Cluster.Teams[i].Name)
	}
	// Each is given no more than its part: at many writes a second a controller with
	// three teams holds two of them up.
	c.ownership.teamOwners = rendezvous.Assign(c.ownership.eligible, teams)
	if fraction := c.computeRateFraction(); fraction != c.ownership.rateFraction {
		c.ownership.rateFraction = fraction
		c.emit(SetRateFraction{fraction})
	}
}

// findEligibleControllers is the live controllers that reach workers, by label; this one if
// there is none.
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

// computeRateFraction is the part of the state store's rate limits that this controller may
// use. A controller counts once, once more as the provisioner, and once for every team that
// it owns.
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
		own, sum = 1, sum+1 // not enrolled yet
	}
	return float64(own) / float64(sum)
}
