package controller

// writeBudget is a token bucket over the writes to the state store. It refills continuously at
// the controller's write rate and holds the writes of one second at most. Unlike the limiter in
// the state store's client, which makes calls wait, it is consulted before a decision is made:
// a transaction that waits for tokens is based on records that change meanwhile, and is lost.
type writeBudget struct {
	available  float64 // writes that may be made now; negative after a large transaction
	refilledAt Time
}

// spend refills the budget at a rate, in writes a second, up to now and takes writes off it. A
// negative number gives back writes that were not executed.
func (b *writeBudget) spend(now Time, rate float64, writes int) {
	refilled := b.available + rate*now.Sub(b.refilledAt).Seconds()
	b.available = min(max(rate, 1), refilled) - float64(writes)
	b.refilledAt = now
}

// affordsTransaction reports whether a typical transaction fits the budget; at low rates, the
// greater part of a second's writes does.
func (b *writeBudget) affordsTransaction(rate float64) bool {
	return b.available >= min(rate*affordableFraction, typicalTransactionWrites)
}

const (
	// backgroundWriteFraction is the part of this controller's writes that the budget gives out:
	// the rest is for leases and submissions.
	backgroundWriteFraction = 0.85
	// typicalTransactionWrites is about how many records a placement transaction writes.
	typicalTransactionWrites = 6
	// affordableFraction is the part of a second's writes that suffices for a transaction where
	// the rate is too low for typicalTransactionWrites.
	affordableFraction = 0.6
)

// rateFraction is this controller's part of the state store's limits, which all controllers
// share: all of them until the part is known.
func (c *Controller) rateFraction() float64 {
	if c.ownership.rateFraction == 0 {
		return 1
	}
	return c.ownership.rateFraction
}

// writeRate is how many writes a second this controller may make.
func (c *Controller) writeRate() float64 {
	return backgroundWriteFraction * c.rateFraction() * c.settings.Cluster.State.WriteRPS
}

// spendWrites takes writes off the budget; a negative number gives them back.
func (c *Controller) spendWrites(writes int) {
	c.writeBudget.spend(c.now, c.writeRate(), writes)
}

// canAffordWrite reports whether writes that can wait may be made now. While the budget is
// short they gather, and go in fewer and larger transactions.
func (c *Controller) canAffordWrite() bool {
	c.spendWrites(0)
	return c.writeBudget.affordsTransaction(c.writeRate())
}

// writesOverdrawn reports whether earlier transactions took more than the budget holds by now.
func (c *Controller) writesOverdrawn() bool {
	c.spendWrites(0)
	return c.writeBudget.available < 0
}
