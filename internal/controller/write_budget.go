package controller

// writeBudget is a token bucket for writes to the state store. It refills continuously at the
// controller's write rate and holds at most the writes of one second. Unlike the rate limiter in the
// state store's client, which makes calls wait, the budget is checked before a decision is made. A
// transaction that waits for tokens is based on records that change in the meantime, and ends in a
// conflict.
type writeBudget struct {
	available  float64 // writes that may be made now; negative after a large transaction
	refilledAt Time
}

// spend refills the budget for the time up to now, at a rate in writes per second, and subtracts
// writes from it. A negative number returns writes that were not executed.
func (b *writeBudget) spend(now Time, rate float64, writes int) {
	refilled := b.available + rate*now.Sub(b.refilledAt).Seconds()
	b.available = min(max(rate, 1), refilled) - float64(writes)
	b.refilledAt = now
}

// affordsTransaction reports whether the budget holds the writes of a typical transaction. At low
// rates, affordableFraction of a second's writes suffices.
func (b *writeBudget) affordsTransaction(rate float64) bool {
	return b.available >= min(rate*affordableFraction, typicalTransactionWrites)
}

const (
	// backgroundWriteFraction is the fraction of this controller's write rate that the budget
	// gives out. The rest is reserved for leases and submissions.
	backgroundWriteFraction = 0.85
	// typicalTransactionWrites is the approximate number of records that a placement transaction
	// writes.
	typicalTransactionWrites = 6
	// affordableFraction is the fraction of a second's writes that suffices for a transaction if
	// the rate is so low that this is fewer writes than typicalTransactionWrites.
	affordableFraction = 0.6
)

// rateFraction returns this controller's fraction of the state store's rate limits, which all
// controllers share. It is 1 until the fraction is known.
func (c *Controller) rateFraction() float64 {
	if c.ownership.rateFraction == 0 {
		return 1
	}
	return c.ownership.rateFraction
}

// writeRate returns the number of writes per second that the write budget provides.
func (c *Controller) writeRate() float64 {
	return backgroundWriteFraction * c.rateFraction() * c.settings.Cluster.State.WriteRPS
}

// spendWrites subtracts writes from the budget. A negative number returns them.
func (c *Controller) spendWrites(writes int) {
	c.writeBudget.spend(c.now, c.writeRate(), writes)
}

// canAffordWrite reports whether writes that can wait may be made now. While the budget is low they
// accumulate, and are then made in fewer, larger transactions.
func (c *Controller) canAffordWrite() bool {
	c.spendWrites(0)
	return c.writeBudget.affordsTransaction(c.writeRate())
}

// writesOverdrawn reports whether the budget is still overdrawn by earlier transactions.
func (c *Controller) writesOverdrawn() bool {
	c.spendWrites(0)
	return c.writeBudget.available < 0
}
