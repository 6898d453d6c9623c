package controller

import (
	"net/http"
	"time"
)

// Unavailability is the reason for which a controller cannot decide users' requests. It is empty if
// the controller can.
type Unavailability string

// The reasons of Unavailability. They appear in the log.
const (
	Available             Unavailability = ""
	UnavailableStarting   Unavailability = "starting"
	UnavailableLoading    Unavailability = "loading the records"
	UnavailableCatchingUp Unavailability = "catching up with the records"
	UnavailableStore      Unavailability = "state store unreachable"
)

// serving is the state of the decision whether users' requests can be decided and whether the
// health check succeeds, as last logged.
type serving struct {
	logged         bool
	unavailability Unavailability
	healthy        bool
	since          Time
}

// Unavailability returns why this controller cannot decide users' requests now. Submissions, polls,
// cancellations and operators' changes are all refused for the reason that it returns.
func (c *Controller) Unavailability() Unavailability {
	switch {
	case !c.membership.ready:
		return UnavailableStarting
	case c.cache.loadState != cacheLoaded:
		return UnavailableLoading
	case c.cache.behind():
		return UnavailableCatchingUp
	case !c.storeReachable():
		return UnavailableStore
	}
	return Available
}

// Healthy reports whether this controller can take requests. It cannot while it is starting. A
// controller that cannot reach the state store remains healthy only while the store appears to be
// unreachable for all controllers, that is, while it is connected to enough peers and none of them
// reports that it reaches the store.
func (c *Controller) Healthy() bool {
	return c.membership.ready && (c.storeReachable() || c.peerWithStore() == "" && !c.lostPeerQuorum())
}

// ensureServing reports whether requests can be decided now, and refuses the request if not.
func (c *Controller) ensureServing(request RequestID) bool {
	switch c.Unavailability() {
	case Available:
		return true
	case UnavailableStore:
		c.refuse(request, http.StatusServiceUnavailable, reasonStoreUnavailable, longRetryDelay)
	default:
		c.refuseUnavailable(request, reasonStarting)
	}
	return false
}

// logServing logs changes of the health check and of the reason for which users' requests are
// refused.
func (c *Controller) logServing() {
	unavailability, healthy := c.Unavailability(), c.Healthy()
	last := c.serving
	if last.logged && last.unavailability == unavailability && last.healthy == healthy {
		return
	}
	c.serving = serving{logged: true, unavailability: unavailability, healthy: healthy, since: c.now}
	if last.healthy != healthy {
		c.metrics.count(countHealthChanges, 1)
	}
	c.log.Info("serving state changed", "healthy", healthy, "unavailable", string(unavailability),
		"previous_state_for", c.now.Sub(last.since).Round(time.Millisecond),
		"incarnation", c.membership.incarnation, "token", c.cache.token, "leader", c.membership.ready && c.isProvisioner(),
		"revision", c.cache.revision, "store_response_age", c.now.Sub(c.cache.lastStoreResponse).Round(time.Millisecond),
		"peers_connected", c.gossip.countConnected(c.now))
}
