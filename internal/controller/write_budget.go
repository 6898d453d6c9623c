package controller

// rateFraction is this controller's part of the state service's limits.
func (c *Controller) rateFraction() float64 {
	if c.membership.assignedRateFraction == 0 {
		return 1
	}
	return c.membership.assignedRateFraction
}

// backgroundWriteFraction leaves a little of the writes, for leases and acceptance.
const backgroundWriteFraction = 0.85

// spendWrites takes writes off what this controller may write by now.
func (c *Controller) spendWrites(writes int) {
	rate := c.writeRate()
	c.membership.writeBudget = min(max(rate, 1), c.membership.writeBudget+rate*c.now.Sub(c.membership.writeBudgetAt).Seconds()) - float64(writes)
	c.membership.writeBudgetAt = c.now
}

// writeRate is how many writes a second this controller may make.
func (c *Controller) writeRate() float64 {
	return backgroundWriteFraction * c.rateFraction() * c.settings.Cluster.State.WriteRPS
}

// canAffordWrite reports whether writes that can wait may be made now: they gather
// while there is nothing left, and go in fewer and larger rounds.
func (c *Controller) canAffordWrite() bool {
	c.spendWrites(0)
	return c.membership.writeBudget >= min(c.writeRate()*0.6, typicalTransactionWrites)
}

// typicalTransactionWrites is about what a round writes.
const typicalTransactionWrites = 6
