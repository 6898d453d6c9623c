package placement

import (
	"container/heap"
	"math/rand/v2"
	"slices"

	"lilacrill/wire"
)

// Assignment is a number of tasks of one request that are assigned to one machine.
type Assignment struct {
	Machine wire.MachineID
	Zone    string
	Count   int
	// Relaxed reports that the preferred rules were ignored for these tasks.
	Relaxed bool
}

// Options controls how Choose and Rank select machines.
type Options struct {
	// Excluded holds machines that are not candidates, such as those of a placement
	// transaction that failed in a conflict. Rules still count the tasks on them.
	Excluded map[wire.MachineID]bool
	// SampleSize, if above 0, limits the candidates to that many machines, drawn at random
	// with Rand. Controllers whose writes conflicted then choose different machines.
	SampleSize int
	Rand       *rand.Rand
	// Relax allows the preferred rules to be ignored once no candidate that meets them has
	// room.
	Relax bool
	// AllOrNothing places either all tasks or none.
	AllOrNothing bool
	// Usable, if set, reports whether a machine may take tasks of this job at present.
	Usable func(*Host) bool
	// Ranking, if set, is used instead of a new ranking. It must have been made by Rank for
	// an equal request and equal options, and no host may have gained room since.
	Ranking *Ranking
	// JobHosts, if not nil, holds every machine that has tasks of the job. Rules that count the
	// job's tasks then read only these machines instead of the whole fleet.
	JobHosts []*Host
}

// search is the state of one call of Choose.
type search struct {
	request   *Request
	evaluator *Evaluator
	ranking   *Ranking
	enforced  []RuleTree // the request's enforced rules, and the rule for the chosen zone
	// savedHosts holds the state of hosts before the search placed tasks on them.
	savedHosts map[*Host]Host
}

// Choose assigns up to count tasks of the request to machines and reserves resources for them
// on the hosts. For requests with SingleZone, zone is the zone of the job's other tasks, or
// empty if there are none yet.
//
// Choose tries the candidates in the order of their score and fills each before it goes on to
// the next (best fit, see score). Candidates that meet the preferred rules are all tried before
// these rules are relaxed.
func (f Fleet) Choose(request *Request, count int, zone string, options Options) []Assignment {
	ranking := options.Ranking
	if ranking == nil {
		ranking = f.Rank(request, options)
	}
	if ranking.candidateCount() == 0 {
		return nil
	}
	s := &search{
		request:    request,
		evaluator:  f.NewEvaluator(options.JobHosts),
		ranking:    ranking,
		enforced:   request.Enforced,
		savedHosts: map[*Host]Host{},
	}
	if request.SingleZone {
		if zone == "" {
			zone = s.bestZone(count)
		}
		if zone == "" {
			return nil
		}
		s.enforced = append(slices.Clip(s.enforced), InZone(zone))
	}
	assignments := s.fill(request.Preferred, count)
	if left := count - totalCount(assignments); left > 0 && options.Relax && len(request.Preferred) > 0 {
		for _, assignment := range s.fill(nil, left) {
			assignment.Relaxed = true
			assignments = append(assignments, assignment)
		}
	}
	if options.AllOrNothing && totalCount(assignments) < count {
		s.rollBack()
		return nil
	}
	return assignments
}

// totalCount returns the number of tasks in all assignments.
func totalCount(assignments []Assignment) int {
	count := 0
	for _, assignment := range assignments {
		count += assignment.Count
	}
	return count
}

// fill places up to count tasks on the candidates that meet the enforced rules and the given
// preferred rules, best candidates first.
func (s *search) fill(preferred []RuleTree, count int) []Assignment {
	var assignments []Assignment
	ranking := s.ranking
	for i := ranking.firstWithRoom; i < ranking.candidateCount(); i++ {
		host := ranking.at(i)
		if i == ranking.firstWithRoom && !host.hasRoomFor(s.request.Need) {
			ranking.firstWithRoom++
			continue
		}
		if placed := s.fillHost(host, preferred, count); placed > 0 {
			count -= placed
			assignments = append(assignments, Assignment{Machine: host.ID, Zone: host.Labels[LabelZone], Count: placed})
		}
		if count == 0 {
			break
		}
	}
	return assignments
}

// fillHost places up to count tasks on a host and returns how many it placed. It evaluates the
// rules again before each step, since they may count the tasks that were just placed.
func (s *search) fillHost(host *Host, preferred []RuleTree, count int) int {
	placed := 0
	for placed < count && host.hasRoomFor(s.request.Need) &&
		s.evaluator.Holds(s.enforced, s.request.Team, host) && s.evaluator.Holds(preferred, s.request.Team, host) {
		step := 1
		if !s.request.OneAtATime {
			step = host.FitCount(s.request.Need, count-placed)
		}
		if _, ok := s.savedHosts[host]; !ok {
			s.savedHosts[host] = Host{Free: host.Free, TaskSlots: host.TaskSlots, TaskGroups: slices.Clone(host.TaskGroups)}
		}
		s.evaluator.Reserve(s.request, host, step)
		placed += step
	}
	return placed
}

// rollBack restores the hosts to their state before the search placed tasks on them.
func (s *search) rollBack() {
	for host, before := range s.savedHosts {
		host.Free, host.TaskSlots, host.TaskGroups = before.Free, before.TaskSlots, before.TaskGroups
	}
}

// bestZone returns the zone that has room for most of the count tasks, or "" if no zone has
// room. Of zones with equal room it prefers the one whose machines rank better.
func (s *search) bestZone(count int) string {
	room := map[string]int{}
	best := ""
	for i := range s.ranking.candidateCount() {
		host := s.ranking.at(i)
		if !s.evaluator.Holds(s.request.Enforced, s.request.Team, host) {
			continue
		}
		zone := host.Labels[LabelZone]
		room[zone] = min(count, room[zone]+host.Free.FitCount(s.request.Need, count))
		if best == "" || room[zone] > room[best] {
			best = zone
		}
	}
	return best
}

// Ranking holds the candidates of a search, ordered by score, best first. Most searches need
// only a few candidates, so the ranking sorts them on demand.
type Ranking struct {
	ordered       []*Host
	unordered     candidateHeap
	firstWithRoom int // candidates before this position have no room left
}

// Rank returns a ranking of the candidates for a request. Consecutive searches with equal
// requests and options can share it (see Options.Ranking). With hundreds of jobs that have equal
// requests, scoring every machine again for each job would dominate the cost of a scheduling
// pass. The candidates are the schedulable machines that the options allow and that have room for
// at least one task.
func (f Fleet) Rank(request *Request, options Options) *Ranking {
	var hosts []*Host
	for _, host := range f {
		if !host.Unschedulable && host.hasRoomFor(request.Need) && !options.Excluded[host.ID] && (options.Usable == nil || options.Usable(host)) {
			hosts = append(hosts, host)
		}
	}
	if options.SampleSize > 0 && len(hosts) > 0 {
		options.Rand.Shuffle(len(hosts), func(i, k int) { hosts[i], hosts[k] = hosts[k], hosts[i] })
		hosts = hosts[:min(options.SampleSize, len(hosts))]
	}
	ranking := &Ranking{unordered: make(candidateHeap, len(hosts))}
	for i, host := range hosts {
		ranking.unordered[i] = candidate{scoreOf(request, host), host}
	}
	heap.Init(&ranking.unordered)
	return ranking
}

// candidateCount returns the number of candidates.
func (r *Ranking) candidateCount() int { return len(r.ordered) + len(r.unordered) }

// at returns the candidate at position i, where 0 is the best. It sorts further candidates as
// needed.
func (r *Ranking) at(i int) *Host {
	for len(r.ordered) <= i {
		r.ordered = append(r.ordered, heap.Pop(&r.unordered).(*Host))
	}
	return r.ordered[i]
}
