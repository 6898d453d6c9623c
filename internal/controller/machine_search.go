package controller

import (
	"slices"

	"lilacrill/internal/placement"
	"lilacrill/wire"
)

// searchKey holds everything that the outcome of a search for machines with room depends on,
// except the needed resources. It is valid for jobs with plain constraints (see
// hasPlainConstraints).
type searchKey struct {
	team               string
	priority           int
	spot               bool
	guaranteed         bool
	preempts           bool
	avoidsAccelerators bool
	avoidsExpensive    bool
}

// rankingKey holds everything that the ranking of the candidates of a search depends on.
type rankingKey struct {
	searchKey
	need            placement.Resources
	image           string
	oneAtATime      bool
	cachedImageOnly bool
}

// hasPlainConstraints reports whether a search for machines for the job depends only on its
// searchKey and on the resources that it needs.
func hasPlainConstraints(job *job) bool {
	s := &job.spec
	return len(s.Types) == 0 && s.Zone == "" && !s.SpreadZones && !s.SingleZone && s.Shape != wire.ShapeGang && len(job.crashLoop.avoidMachines) == 0
}

// knownUnsatisfiable reports whether a search with the same key found no room in this pass for a
// job that needs no more resources than this one.
func (p *schedulingPass) knownUnsatisfiable(key searchKey, job *job) bool {
	return hasPlainConstraints(job) && slices.ContainsFunc(p.unsatisfiable[key], job.request.Need.Covers)
}

// noteUnsatisfiable records that a search found no room for a job.
func (p *schedulingPass) noteUnsatisfiable(key searchKey, job *job) {
	if hasPlainConstraints(job) {
		p.unsatisfiable[key] = append(p.unsatisfiable[key], job.request.Need)
	}
}

// setSharedRanking sets the ranking in the options of a search to that of an earlier search with
// the same key, or ranks the candidates if there was none.
func (p *schedulingPass) setSharedRanking(key searchKey, job *job, cachedImageOnly bool, options *placement.Options) {
	if !hasPlainConstraints(job) || options.SampleSize > 0 || options.AllOrNothing {
		return
	}
	shared := rankingKey{key, job.request.Need, job.spec.Image, job.request.OneAtATime, cachedImageOnly}
	if p.rankings[shared] == nil {
		p.rankings[shared] = p.fleet.Rank(job.request, *options)
	}
	options.Ranking = p.rankings[shared]
}

// chooseMachines assigns up to count tasks of a job to machines. It returns the assignments and
// the number of tasks that have no room and for which no capacity being freed is reserved.
//
// Machines that have the job's image come first. For urgent jobs, capacity that is being freed on
// such machines is then reserved, or less urgent tasks are evicted there, because pulling the
// image takes longer than an eviction. All other machines come last.
func (p *schedulingPass) chooseMachines(pending *pendingJob, count int, options placement.Options) (assignments []placement.Assignment, unplaced int) {
	c, job := p.c, pending.job
	key := searchKey{spot: job.spec.Spot, avoidsAccelerators: p.avoidsAccelerators(job), avoidsExpensive: c.avoidsExpensive(pending)}
	if p.knownUnsatisfiable(key, job) {
		return nil, count
	}
	usable := options.Usable
	hasImage := func(host *placement.Host) bool { return host.Images[job.spec.Image] && (usable == nil || usable(host)) }
	cachedOptions := options
	cachedOptions.Usable = hasImage
	cachedOptions.Relax = false
	p.setSharedRanking(key, job, true, &cachedOptions)
	assignments = p.fleet.Choose(job.request, count, pending.zone, cachedOptions)
	unplaced = count - p.noteAssignments(pending, assignments)
	if unplaced == 0 || p.cachedImageOnly {
		return assignments, unplaced
	}
	if job.spec.Priority.Level() <= wire.PriorityHigh.Level() && job.mayPreempt() && c.imagePullIsSlow(job) {
		rules := slices.Concat(job.request.Enforced, job.request.Preferred)
		unplaced = p.reserveOrPreempt(pending, rules, unplaced, hasImage)
	}
	options.JobHosts = p.jobHosts[job.id]
	p.setSharedRanking(key, job, false, &options)
	others := p.fleet.Choose(job.request, unplaced, pending.zone, options)
	unplaced -= p.noteAssignments(pending, others)
	if unplaced > 0 && options.SampleSize == 0 && options.Relax {
		p.noteUnsatisfiable(key, job)
	}
	return append(assignments, others...), unplaced
}

// noteAssignments records the hosts of a job's new assignments, and the zone if the job needs a
// single one. It returns the number of assigned tasks.
func (p *schedulingPass) noteAssignments(pending *pendingJob, assignments []placement.Assignment) int {
	count := 0
	for _, assignment := range assignments {
		count += assignment.Count
		host := p.c.fleet.machines[assignment.Machine].host
		p.jobHosts[pending.job.id] = append(p.jobHosts[pending.job.id], host)
		if pending.job.spec.SingleZone {
			pending.zone = assignment.Zone
		}
	}
	return count
}

// reserveOrPreempt reserves capacity that is being freed for count tasks of a job and, if this
// controller schedules the job, evicts less urgent tasks for the rest. It returns the number of
// tasks that still have no room.
//
// The rules must be those of the placement itself. With laxer rules, every pass would evict tasks
// for room that the job never takes.
func (p *schedulingPass) reserveOrPreempt(pending *pendingJob, rules []placement.RuleTree, count int, usable func(*placement.Host) bool) int {
	job := pending.job
	if pending.zone != "" {
		rules = append(slices.Clip(rules), placement.InZone(pending.zone))
	}
	// Capacity for a gang, or for a job whose single zone is not chosen yet, cannot be reserved
	// machine by machine. See gatherCapacity.
	if (job.spec.SingleZone && pending.zone == "" || job.spec.Shape == wire.ShapeGang) && job.spec.Tasks > 1 {
		return count
	}
	evaluator := p.fleet.NewEvaluator(p.jobHosts[job.id])
	for _, host := range p.fleet {
		if count == 0 {
			return 0
		}
		if host.Unschedulable || host.Freeing.Cores <= 0 {
			continue
		}
		room := host.Free.Plus(host.Freeing, 1)
		if !room.Covers(job.request.Need) || !usable(host) || !evaluator.Holds(rules, job.spec.Team, host) {
			continue
		}
		tasks := room.FitCount(job.request.Need, count)
		if job.request.OneAtATime {
			tasks = 1
		}
		p.reserveFreeingCapacity(evaluator, job, host, tasks)
		count -= tasks
	}
	if count > 0 && p.c.schedulesJob(job) {
		count = p.c.preempt(&preemptionSearch{pass: p, evaluator: evaluator, rules: rules, pending: pending, usable: usable}, count)
	}
	return count
}

// reserveFreeingCapacity reserves capacity that is being freed on a host for tasks of a job. What
// is freed for critical tasks is free within seconds, and is left to them.
func (p *schedulingPass) reserveFreeingCapacity(evaluator *placement.Evaluator, job *job, host *placement.Host, tasks int) {
	evaluator.Reserve(job.request, host, tasks)
	if job.spec.Priority != wire.PriorityCritical {
		host.NoteReservation(job.request, tasks)
	}
	p.jobHosts[job.id] = append(p.jobHosts[job.id], host)
}
