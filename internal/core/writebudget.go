package core

// share is this controller's part of the state service's limits.
func (c *Core) share() float64 {
	if c.part == 0 {
		return 1
	}
	return c.part
}

// writeShare leaves a little of the writes, for leases and acceptance.
const writeShare = 0.85

// spend takes writes off what this controller may write by now.
func (c *Core) spend(writes int) {
	rate := c.writeRate()
	c.budget = min(max(rate, 1), c.budget+rate*c.now.Sub(c.budgetAt).Seconds()) - float64(writes)
	c.budgetAt = c.now
}

// writeRate is how many writes a second this controller may make.
func (c *Core) writeRate() float64 { return writeShare * c.share() * c.settings.Cluster.State.WriteRPS }

// affords reports whether writes that can wait may be made now: they gather
// while there is nothing left, and go in fewer and larger rounds.
func (c *Core) affords() bool {
	c.spend(0)
	return c.budget >= min(c.writeRate()*0.6, roundWrites)
}

// roundWrites is about what a round writes.
const roundWrites = 6
