package config

import "fmt"

// Values below which Warnings returns a warning.
const (
	recommendedSlackS = 10   // of cancel_s over lease_s, in seconds
	recommendedCores  = 0.04 // needed for some 500 machines
	recommendedMB     = 80   // needed for some 500 machines
)

// Warnings returns a warning for each setting that is valid but degrades the service for users. A
// warning names the setting and gives the reason.
func (s *Settings) Warnings() []string {
	var warnings []string
	workers, quota := &s.Cluster.Workers, &s.Cluster.Quota
	if workers.CancelS < workers.LeaseS+recommendedSlackS {
		warnings = append(warnings, fmt.Sprintf("cluster.workers.cancel_s: %v s is less than %v s more than cluster.workers.lease_s (%v s): "+
			"a controller that loses the state service stops answering workers almost at once", workers.CancelS, recommendedSlackS, workers.LeaseS))
	}
	if quota.CoreShare < recommendedCores {
		warnings = append(warnings, fmt.Sprintf("cluster.quota.core_share: %v is less than %v of a core, which some 500 machines need", quota.CoreShare, recommendedCores))
	}
	if quota.MemMB < recommendedMB {
		warnings = append(warnings, fmt.Sprintf("cluster.quota.mem_mb: %v is less than %v MB, which some 500 machines need", quota.MemMB, recommendedMB))
	}
	return warnings
}
