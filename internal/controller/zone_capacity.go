package controller

import (
	"lilacrill/internal/placement"
)

// hostCapacity is the number of tasks of a job for which a host has room. available counts
// only resources that are free or being freed, withPreemption also those of less urgent tasks
// that may be evicted.
type hostCapacity struct {
	host                      *placement.Host
	available, withPreemption int
}

// zoneCapacity is the capacity of the hosts of a zone for the tasks of a job.
type zoneCapacity struct {
	hosts                     []hostCapacity
	available, withPreemption int
}

// capacityByZone sums up the capacity of the hosts for up to count tasks of a job that must
// start at once. The result is keyed by zone if the job needs a single zone, and has the
// single key "" otherwise. fits reports whether the job may run on a host at all.
// addPreemptable adds the resources of the tasks that may be evicted on a host to its free
// resources.
func capacityByZone(job *job, fleet placement.Fleet, count int, fits func(*placement.Host) bool,
	addPreemptable func(*placement.Host, placement.Resources) placement.Resources) map[string]*zoneCapacity {
	need := job.request.Need
	zones := map[string]*zoneCapacity{}
	for _, host := range fleet {
		if host.Unschedulable || !host.Total.Covers(need) || !fits(host) {
			continue
		}
		free := host.Free.Plus(host.Freeing, 1)
		capacity := hostCapacity{host: host, available: free.FitCount(need, count)}
		capacity.withPreemption = addPreemptable(host, free).FitCount(need, count)
		if capacity.withPreemption == 0 {
			continue
		}
		zone := ""
		if job.spec.SingleZone {
			zone = host.Labels[placement.LabelZone]
		}
		if zones[zone] == nil {
			zones[zone] = &zoneCapacity{}
		}
		zones[zone].hosts = append(zones[zone].hosts, capacity)
		zones[zone].available += capacity.available
		zones[zone].withPreemption += capacity.withPreemption
	}
	return zones
}

// largestZone returns the zone with the most available room among those that have room for
// count tasks if less urgent ones are evicted, or nil if there is none.
func largestZone(zones map[string]*zoneCapacity, count int) *zoneCapacity {
	var best *zoneCapacity
	for _, name := range sortedKeys(zones) {
		zone := zones[name]
		if zone.withPreemption >= count && (best == nil || zone.available > best.available || zone.available == best.available && zone.withPreemption > best.withPreemption) {
			best = zone
		}
	}
	return best
}
