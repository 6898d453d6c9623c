package controller

import "time"

// A controller counts as alive for the others as long as its liveness record exists, which
// depends on a lease of the state store: once the controller no longer renews the lease, the
// store drops the record. That is a hint as to who should act, not a proof that the process
// has ended: it may still commit what its conditions allow, and command workers that have
// not seen a higher token.

const (
	membershipLeaseTTL   = 5 * time.Second
	leaseRenewalInterval = 800 * time.Millisecond
)

// renewLease renews this controller's lease, or asks for one if it has none.
func (c *Controller) renewLease() {
	c.membership.leaseCallInFlight = true
	c.membership.nextRenewal = c.now.Add(leaseRenewalInterval)
	if c.membership.leaseID == 0 {
		c.emit(GrantLease{call(c, c.handleLeaseResult), membershipLeaseTTL})
	} else {
		c.emit(RenewLease{call(c, c.handleLeaseResult), c.membership.leaseID})
	}
}

func (c *Controller) handleLeaseResult(result LeaseResult) {
	c.membership.leaseCallInFlight = false
	switch result.Outcome {
	case Succeeded:
		c.noteStoreResponse()
		if result.LeaseID != 0 && result.LeaseID != c.membership.leaseID {
			c.membership.leaseID, c.membership.enrolled = result.LeaseID, false
		}
	case NotFound:
		c.noteStoreResponse()
		c.log.Warn("lease expired", "lease_id", c.membership.leaseID)
		c.membership.dropLease(c.now)
	default:
		c.membership.nextRenewal = c.now.Add(storeRetryDelay)
	}
}

// dropLease forgets a lease that the state store no longer has; a new one is due at once.
func (m *membership) dropLease(now Time) {
	m.leaseID, m.enrolled = 0, false
	m.nextRenewal = now
}
