package controller

import (
	"slices"

	"lilacrill/internal/placement"
	"lilacrill/wire"
)

// searchKey is all that the outcome of a search for room depends on, apart from the needed
// resources, if the job has plain constraints only.
type searchKey struct {
	team               string
	priority           int
	spot               bool
	guaranteed         bool
	preempts           bool
	avoidsAccelerators bool
	avoidsExpensive    bool
}

// rankingKey is all that the ranking of the candidates of a search depends on.
type rankingKey struct {
	searchKey
	need            placement.Resources
	image           string
	oneAtATime      bool
	cachedImageOnly bool
}

// hasPlainConstraints reports whether a search for room for the job depends on nothing but
// its searchKey and the resources that it needs.
func hasPlainConstraints(job *job) bool {
	s := &job.spec
	return len(s.Types) == 0 && s.Zone == "" && !s.SpreadZones && !s.SingleZone && s.Shape != wire.ShapeGang && len(job.crashLoop.avoidMachines) == 0
}

// knownUnsatisfiable reports whether a job that needs no more found no room in this pass.
func (p *schedulingPass) knownUnsatisfiable(key searchKey, job *job) bool {
	return hasPlainConstraints(job) && slices.ContainsFunc(p.unsatisfiable[key], job.request.Need.Covers)
}

// noteUnsatisfiable notes that a job found no room.
func (p *schedulingPass) noteUnsatisfiable(key searchKey, job *job) {
	if hasPlainConstraints(job) {
		p.unsatisfiable[key] = append(p.unsatisfiable[key], job.request.Need)
	}
}

// setSharedRanking sets the ranking of a search to that of an earlier search with the same key,
// or makes it.
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

// chooseMachines assigns up to count tasks of a job to machines and returns how many found
// no room and are not waiting for capacity that is being freed either.
//
// Machines that have the job's image come first. Urgent jobs then wait for, or make, room on
// such machines, since pulling the image takes longer than evicting less urgent tasks. All
// other machines come last.
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

// noteAssignments notes the hosts, and the zone, of a job's new assignments and returns how
// many tasks they hold.
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

// reserveOrPreempt reserves capacity that is being freed for tasks of a job, or evicts
// less urgent tasks to free some, and returns how many tasks still have no room.
//
// The rules have to be those of the placement itself. Where they were laxer, tasks would be
// evicted pass after pass for room that is never taken.
func (p *schedulingPass) reserveOrPreempt(pending *pendingJob, rules []placement.RuleTree, count int, usable func(*placement.Host) bool) int {
	job := pending.job
	if pending.zone != "" {
		rules = append(slices.Clip(rules), placement.InZone(pending.zone))
	}
	// The capacity for a gang, or for a single zone that is not chosen yet, cannot be had
	// machine by machine: see gatherCapacity.
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
		count = p.c.preempt(&preemption{pass: p, evaluator: evaluator, rules: rules, pending: pending, usable: usable}, count)
	}
	return count
}

// reserveFreeingCapacity reserves room that is being freed on a host for tasks of a job.
func (p *schedulingPass) reserveFreeingCapacity(evaluator *placement.Evaluator, job *job, host *placement.Host, tasks int) {
	evaluator.Reserve(job.request, host, tasks)
	p.jobHosts[job.id] = append(p.jobHosts[job.id], host)
}
