package core

// controllerSilence is how long a sibling must not have been heard for its workers to
// count as on their way to others.
const controllerSilence = heartbeatEvery + heartbeatEvery/2

// losesController reports whether the controller that a machine reports to is not
// heard: then the worker is on its way to another, and asking would only tell what its
// report is about to say. When a controller ended, hundreds of machines were asked
// within seconds, each over a new connection, at the worst time for that.
func (c *Core) losesController(m *machine) bool {
	if m.reportsTo == c.settings.Label {
		return false
	}
	p := c.peers[m.reportsTo]
	return p == nil || c.now.Sub(p.heard) > controllerSilence
}
