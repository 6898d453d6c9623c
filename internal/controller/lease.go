package controller

import "time"

// A controller counts as alive for the others as long as its liveness record exists. The record
// depends on a lease of the state store, which deletes the record once the controller no longer
// renews the lease. The other controllers use this to decide which of them acts, but it does not
// prove that the process has ended. The process may still commit transactions whose conditions
// hold, and command workers that have not seen a higher token.

const (
	membershipLeaseTTL   = 5 * time.Second
	leaseRenewalInterval = 800 * time.Millisecond
)

// renewLease renews this controller's lease, or requests one if it has none.
func (c *Controller) renewLease() {
	c.membership.leaseCallInFlight = true
	c.membership.nextRenewal = c.now.Add(leaseRenewalInterval)
	if c.membership.leaseID == 0 {
		c.emit(GrantLease{registerCall(c, c.handleLeaseResult), membershipLeaseTTL})
	} else {
		c.emit(RenewLease{registerCall(c, c.handleLeaseResult), c.membership.leaseID})
	}
}

// handleLeaseResult handles the response to a request for a lease or its renewal.
func (c *Controller) handleLeaseResult(result LeaseResult) {
	c.membership.leaseCallInFlight = false
	switch result.Outcome {
	case Succeeded:
		c.noteStoreResponse()
		if result.LeaseID != 0 && result.LeaseID != c.membership.leaseID {
			c.membership.leaseID, c.membership.livenessRecorded = result.LeaseID, false
		}
	case NotFound:
		c.noteStoreResponse()
		c.log.Warn("lease of this controller expired", "lease_id", c.membership.leaseID)
		c.membership.dropLease(c.now)
	default:
		c.membership.nextRenewal = c.now.Add(storeRetryDelay)
	}
}

// dropLease drops a lease that the state store no longer has, and makes the request for a new
// one due at once.
func (m *membership) dropLease(now Time) {
	m.leaseID, m.livenessRecorded = 0, false
	m.nextRenewal = now
}
