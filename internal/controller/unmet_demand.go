package controller

import (
	"slices"

	"lilacrill/internal/config"
	"lilacrill/internal/placement"
	"lilacrill/wire"
)

// The reasons why tasks of a job are pending, reported in the Reason field of wire.AdminJob.
const (
	reasonUnreadable       = "its record, or a placement record of its team, cannot be read"
	reasonCrashLoopBackoff = "its tasks failed; they are tried again after a pause"
	reasonCanariesRunning  = "its tasks fail on every machine; some are tried now"
	reasonCrashLoopIdle    = "its tasks fail on every machine; tried again when something is free"
	reasonTeamAtLimit      = "the team is at its limit"
	reasonBeingPlaced      = "being placed"
	reasonForwarded        = "no machine in this controller's shares has room: handed on"
	reasonNoGangCapacity   = "not enough machines that fit have room at once"
	reasonNoCapacity       = "no machine that fits has room"
	reasonRoomReserved     = "the room that fits is reserved for other tasks"
)

// unmetDemand is the number of a job's tasks for which the fleet has no room.
type unmetDemand struct {
	job        *job
	count      int
	guaranteed bool   // the job is within its team's quota guarantee
	zone       string // the zone in which the tasks have to run; "" for any zone
}

// handleUnmetDemand handles tasks that found no room. The job is forwarded, or capacity that is
// being freed is reserved for the tasks, or less urgent tasks are evicted. Tasks that still have
// no room are recorded as unmet demand for the provisioner.
func (p *schedulingPass) handleUnmetDemand(pending *pendingJob, count int) {
	job := pending.job
	if !job.mayPreempt() {
		job.pendingReason = reasonCrashLoopIdle
		return
	}
	if p.ownShards && p.c.forwardJob(pending, true) {
		job.pendingReason = reasonForwarded
		return
	}
	if job.spec.Tasks > 1 && (job.spec.Shape == wire.ShapeGang || job.spec.SingleZone && pending.zone == "") {
		zone, lacking := p.gatherCapacity(pending, count)
		job.pendingReason = reasonNoGangCapacity
		p.addUnmetDemand(pending, lacking, zone)
		return
	}
	if lacking := p.freeCapacityForTasks(pending, count); lacking > 0 {
		job.pendingReason = reasonNoCapacity
		p.addUnmetDemand(pending, lacking, "")
	}
}

// freeCapacityForTasks reserves capacity that is being freed for tasks that can be placed one by
// one, or evicts less urgent tasks. It returns the number of tasks that still have no room.
func (p *schedulingPass) freeCapacityForTasks(pending *pendingJob, count int) int {
	job := pending.job
	key := searchKey{
		team:       job.spec.Team,
		priority:   job.spec.Priority.Level(),
		spot:       job.spec.Spot,
		guaranteed: pending.guaranteed,
		preempts:   true,
	}
	if p.knownUnsatisfiable(key, job) {
		return count
	}
	usable := func(*placement.Host) bool { return true }
	if p.avoidsAccelerators(job) {
		usable = func(host *placement.Host) bool { return !p.accelerators[host] }
	}
	rules := job.request.Enforced
	if p.c.operator.values.Affinity == config.AffinityEnforced {
		rules = slices.Concat(rules, job.request.Preferred)
	}
	count = p.reserveOrPreempt(pending, rules, count, usable)
	if count > 0 {
		p.noteUnsatisfiable(key, job)
	}
	return count
}

// addUnmetDemand records tasks without room as unmet demand, so that machines are provisioned for
// them. A pass over this controller's shards also forwards their job to a controller that could
// evict less urgent tasks for it.
func (p *schedulingPass) addUnmetDemand(pending *pendingJob, count int, zone string) {
	if count <= 0 {
		return
	}
	if p.ownShards {
		p.c.forwardJob(pending, false)
	}
	p.c.provisioner.unmetDemands = append(p.c.provisioner.unmetDemands,
		unmetDemand{job: pending.job, count: count, guaranteed: pending.guaranteed, zone: zone})
}
