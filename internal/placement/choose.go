package placement

import (
	"container/heap"
	"math/rand/v2"
	"slices"

	"lilacrill/wire"
)

// Assignment is a number of a request's tasks assigned to one machine.
type Assignment struct {
	Machine wire.MachineID
	Zone    string
	Count   int
	// Relaxed says that the machine does not meet the preferred rules.
	Relaxed bool
}

// Options say how a choice is made.
type Options struct {
	// Excluded holds machines that are not candidates, such as those of a lost write. Rules
	// still read the tasks on them.
	Excluded map[wire.MachineID]bool
	// SampleSize, if above 0, limits the candidates to that many machines drawn at random with
	// Rand, so that controllers whose writes conflicted choose different machines.
	SampleSize int
	Rand       *rand.Rand
	// Relax allows the preferred rules to be ignored when no candidate that meets them has
	// room.
	Relax bool
	// AllOrNothing demands room for all tasks, and places none otherwise.
	AllOrNothing bool
	// Usable, if set, filters machines that may not take this job's tasks for now.
	Usable func(*Host) bool
	// Ranking, if set, is what Rank made for a search with an equal request and equal options.
	// Since then hosts may only have lost room.
	Ranking *Ranking
	// JobHosts, if not nil, is the machines with tasks of the same job.
	JobHosts []*Host
}

// search is one search for machines.
type search struct {
	request   *Request
	evaluator *Evaluator
	ranking   *Ranking
	enforced  []RuleTree // the request's, and the zone
	// savedHosts holds the hosts as they were before the search placed tasks on them.
	savedHosts map[*Host]Host
}

// Choose places up to count tasks of the request and reserves their room on the hosts.
// Zone, if not empty, is where the job's other tasks are (for requests with SingleZone).
//
// It tries the candidates best first, at first those that also meet the preferred rules, and
// fills each before the next (best fit, see score).
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

func totalCount(assignments []Assignment) int {
	count := 0
	for _, assignment := range assignments {
		count += assignment.Count
	}
	return count
}

// fill places up to count tasks on the candidates that meet the enforced and the preferred
// rules, best first.
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

// fillHost places up to count tasks on a host and returns how many. The rules are evaluated
// again before each step, as they may read the tasks that were just placed.
func (s *search) fillHost(host *Host, preferred []RuleTree, count int) int {
	placed := 0
	for placed < count && host.hasRoomFor(s.request.Need) &&
		s.evaluator.Holds(s.enforced, s.request.Team, host) && s.evaluator.Holds(preferred, s.request.Team, host) {
		step := 1
		if !s.request.OneAtATime {
			step = host.Free.FitCount(s.request.Need, min(count-placed, host.TaskSlots))
		}
		if _, ok := s.savedHosts[host]; !ok {
			s.savedHosts[host] = Host{Free: host.Free, TaskSlots: host.TaskSlots, TaskGroups: slices.Clone(host.TaskGroups)}
		}
		s.evaluator.Reserve(s.request, host, step)
		placed += step
	}
	return placed
}

// rollBack takes the tasks that the search placed off the hosts again.
func (s *search) rollBack() {
	for host, before := range s.savedHosts {
		host.Free, host.TaskSlots, host.TaskGroups = before.Free, before.TaskSlots, before.TaskGroups
	}
}

// bestZone is the zone with room for most of count tasks; "" if none has room. The candidates
// are in order of their score, so of zones with equal room the one whose machines score better
// wins.
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

// Ranking yields the candidates of a search, best first. Most searches are over after a few of
// them, so it orders no more of them than are asked for.
type Ranking struct {
	ordered       []*Host
	unordered     candidateHeap
	firstWithRoom int // the candidates before it have no room left
}

// Rank makes the ranking of the candidates for searches with equal requests and options, one
// after the other: where hundreds of jobs need the same, scoring every machine for each of
// them costs more than all else. A candidate is a machine that is open to new tasks and has
// room for one.
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

// candidateCount is how many candidateCount there are.
func (r *Ranking) candidateCount() int { return len(r.ordered) + len(r.unordered) }

// at is the candidate at position i.
func (r *Ranking) at(i int) *Host {
	for len(r.ordered) <= i {
		r.ordered = append(r.ordered, heap.Pop(&r.unordered).(*Host))
	}
	return r.ordered[i]
}
