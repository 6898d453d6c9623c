// Package placement assigns tasks to machines by bin packing. Rules filter the machines that
// have room (enforced rules always, preferred rules as long as a machine meets them), a score
// orders the candidates, and each is filled before the next.
//
// A Fleet is a snapshot that the caller makes for one pass: placing tasks reserves their room
// on its hosts, so that later requests of the pass see it. The package has no clock, and no
// randomness of its own.
package placement
