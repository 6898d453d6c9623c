package controller

import (
	"cmp"
	"slices"
	"time"

	"lilacrill/internal/placement"
	"lilacrill/wire"
)

// A scheduling pass keeps room from jobs for many reasons: as headroom, for a gang that gathers
// capacity, for accelerators, for tasks that another controller places, or because a job avoids a
// machine. Each reason is good for a while only. A job without a placed task that has been kept from
// room for reservationTimeout gets one task (a gang all its tasks) placed there, whatever the room is
// reserved for.

const (
	// reservationTimeout is how long a job without a placed task may be kept from room that
	// exists. Users expect a start within 90 s, of which the detection of a lost machine, the
	// write, the launch and the image pull take their part.
	reservationTimeout = 30 * time.Second
	// protectionTimeout is how long a job must have been kept from room for its first task to be
	// protected from eviction. It is shorter than reservationTimeout, because controllers do not
	// start to count at the same time.
	protectionTimeout = reservationTimeout / 2
	// starvationCheckInterval is the time between two checks of the waiting jobs.
	starvationCheckInterval = time.Second
)

// starvation tracks the jobs that wait although there is room for them.
type starvation struct {
	// roomSince holds since when a job has waited beside room without a break.
	roomSince map[wire.JobID]Time
	// rescued holds the jobs that have got a task since they waited for protectionTimeout.
	rescued   map[wire.JobID]bool
	nextCheck Time
}

func (s *starvation) init() {
	s.roomSince = map[wire.JobID]Time{}
	s.rescued = map[wire.JobID]bool{}
}

// note records whether there is room for a waiting job.
func (s *starvation) note(id wire.JobID, hasRoom bool, now Time) {
	if !hasRoom {
		delete(s.roomSince, id)
		return
	}
	if _, known := s.roomSince[id]; !known {
		s.roomSince[id] = now
	}
}

// notePlaced records that a job has a placed task.
func (s *starvation) notePlaced(id wire.JobID, now Time) {
	if s.waitedFor(id, protectionTimeout, now) {
		s.rescued[id] = true
	}
	delete(s.roomSince, id)
}

// waitedFor reports whether a job has waited beside room for at least the given time.
func (s *starvation) waitedFor(id wire.JobID, wait time.Duration, now Time) bool {
	since, waits := s.roomSince[id]
	return waits && now.Sub(since) >= wait
}

// isStarved reports whether reservations no longer keep a job from room.
func (c *Controller) isStarved(job *job) bool {
	return c.scheduler.starvation.waitedFor(job.id, reservationTimeout, c.now)
}

// rescuedFromStarvation reports whether a job has no more than the tasks that it got after it was
// kept from room. If less urgent than critical jobs could evict these, for room that may then be
// reserved again, the job would never get to run.
func (c *Controller) rescuedFromStarvation(job *job) bool {
	tracker := &c.scheduler.starvation
	return (tracker.rescued[job.id] || tracker.waitedFor(job.id, protectionTimeout, c.now)) &&
		c.placedTasks(job.id) <= starvedTasks(job)
}

// placeStarved releases all reservations of the pass, and places a task of each job that these have
// kept waiting for reservationTimeout, the longest waiting job first. It must be called after all other
// placements.
func (p *schedulingPass) placeStarved(queue []pendingJob) {
	tracker := &p.c.scheduler.starvation
	var waiting []*pendingJob
	for i := range queue {
		if pending := &queue[i]; !pending.staged && p.placed[pending.job.id].IsEmpty() {
			waiting = append(waiting, pending)
		}
	}
	p.fleet.ReleaseReservations()
	// A job that is forwarded from controller to controller stays for short times only.
	if p.ownShards || p.c.isDue(tracker.nextCheck) {
		tracker.nextCheck = p.c.now.Add(starvationCheckInterval)
		p.noteRoomForWaiting(waiting)
	}
	starved := slices.DeleteFunc(waiting, func(pending *pendingJob) bool { return !p.c.isStarved(pending.job) })
	slices.SortStableFunc(starved, func(a, b *pendingJob) int {
		return cmp.Compare(tracker.roomSince[a.job.id], tracker.roomSince[b.job.id])
	})
	for _, pending := range starved {
		p.placeOnReleasedRoom(pending)
	}
}

// noteRoomForWaiting records for which waiting jobs there is room, now that nothing is reserved, and
// which jobs no longer wait.
func (p *schedulingPass) noteRoomForWaiting(waiting []*pendingJob) {
	tracker := &p.c.scheduler.starvation
	for id := range tracker.roomSince {
		if p.c.cache.jobs[id] == nil {
			delete(tracker.roomSince, id)
		} else if !p.placed[id].IsEmpty() {
			tracker.notePlaced(id, p.c.now)
		}
	}
	for id := range tracker.rescued {
		if p.placed[id].IsEmpty() {
			delete(tracker.rescued, id)
		}
	}
	known := map[roomKey]bool{}
	for _, pending := range waiting {
		hasRoom := p.hasRoomFor(pending, known)
		tracker.note(pending.job.id, hasRoom, p.c.now)
		if hasRoom && pending.job.pendingReason == reasonNoCapacity {
			pending.job.pendingReason = reasonRoomReserved
		}
	}
}

// roomKey holds everything that decides whether there is room for a job with plain constraints (see
// hasPlainConstraints).
type roomKey struct {
	need placement.Resources
	spot bool
}

// hasRoomFor reports whether the team of a job is within its quota limit and there is room for one
// of the job's tasks, or for all tasks of a gang. The results for jobs with plain constraints are kept
// in known.
func (p *schedulingPass) hasRoomFor(pending *pendingJob, known map[roomKey]bool) bool {
	job := pending.job
	planned := pending.missing.Len() < p.missingTasks(job).Len()
	if planned {
		return true
	}
	if p.tasksWithinLimit(pending) == 0 {
		return false
	}
	if !hasPlainConstraints(job) {
		return p.findsRoomFor(pending)
	}
	key := roomKey{job.request.Need, job.spec.Spot}
	hasRoom, found := known[key]
	if !found {
		hasRoom = p.findsRoomFor(pending)
		known[key] = hasRoom
	}
	return hasRoom
}

// findsRoomFor reports whether the machines have room for a task of a job, or for all tasks of a
// gang.
func (p *schedulingPass) findsRoomFor(pending *pendingJob) bool {
	job, needed := pending.job, starvedTasks(pending.job)
	evaluator := p.fleet.NewEvaluator(p.jobHosts[job.id])
	slots := map[string]int{}
	for _, host := range p.fleet {
		fitting := host.FitCount(job.request.Need, needed)
		if fitting == 0 || host.Unschedulable || !evaluator.Holds(job.request.Enforced, job.spec.Team, host) {
			continue
		}
		zone := ""
		if job.spec.SingleZone {
			zone = host.Labels[placement.LabelZone]
		}
		slots[zone] += fitting
		if slots[zone] >= needed {
			return true
		}
	}
	return false
}

// starvedTasks returns how many tasks of a starved job are placed on released room: as few as
// possible, since the room serves others better.
func starvedTasks(job *job) int {
	if job.spec.Shape == wire.ShapeGang {
		return job.spec.Tasks
	}
	return 1
}

// placeOnReleasedRoom places a task of a starved job, or all tasks of a gang, on any machine that fits
// and has room. The job avoids only machines that have just refused a task for lack of room.
func (p *schedulingPass) placeOnReleasedRoom(pending *pendingJob) {
	job := pending.job
	count := min(starvedTasks(job), p.c.limitToCanaries(job, p.tasksWithinLimit(pending)))
	jobPlacement := p.newJobPlacement(pending)
	if count == 0 || !jobPlacement.canStage {
		return
	}
	options := jobPlacement.options()
	options.Usable = func(host *placement.Host) bool {
		_, failed := job.crashLoop.failedMachines[host.ID]
		return failed || p.c.isDue(job.crashLoop.avoidMachines[host.ID])
	}
	for _, assignment := range p.fleet.Choose(job.request, count, pending.zone, options) {
		jobPlacement.place(assignment)
	}
	if pending.staged {
		p.c.metrics.count(countReservationsReleased, 1)
		p.c.log.Debug("reservations released for a starved job", "job_id", job.id, "class", job.spec.Class,
			"priority", job.spec.Priority)
	}
}
