// Package placement assigns tasks to machines by bin packing. Rules filter the machines that
// have room: enforced rules always apply, preferred rules apply as long as some machine that
// meets them has room. A score orders the remaining candidates, and each candidate is filled
// before the next one is used.
//
// A Fleet is a snapshot that the caller makes for one scheduling pass. Placing tasks reserves
// their resources on the hosts of the fleet, so that later requests of the same pass take them
// into account. The package reads no clock, and its only source of randomness is the one that
// the caller passes in Options.Rand.
package placement
