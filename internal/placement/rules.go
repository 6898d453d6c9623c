package placement

import (
	"lilacrill/wire"
)

// Subject selects the tags that a rule reads.
type Subject int

// The subjects of rules.
const (
	// MachineLabels are the labels of the candidate machine.
	MachineLabels Subject = iota
	// TaskTags are the tags of the tasks of the same team on the candidate machine, or on all
	// machines of its group (see Rule.GroupedBy).
	TaskTags
)

// Operator states whether a rule requires or forbids its tags.
type Operator int

// The operators of rules.
const (
	Requires Operator = iota
	Forbids
)

// Tags are key-value pairs attached to machines (labels) or to tasks.
type Tags map[string]string

// The keys of the machine labels and task tags that lilacrill itself sets.
const (
	LabelType  = "type"
	LabelZone  = "zone"
	LabelSpot  = "spot"
	TagJob     = "job"
	TagService = "service"
)

// RuleTree is a boolean expression of rules. Exactly one of its fields is set: a single rule, or
// subtrees of which any or all must hold.
type RuleTree struct {
	Rule  *Rule
	AnyOf []RuleTree
	AllOf []RuleTree
}

// Rule is one condition on a candidate machine.
type Rule struct {
	Subject  Subject
	Operator Operator
	Tags     Tags
	// GroupedBy, if set, is the key of a machine label. The rule then reads the tasks on all
	// machines that have the same value of this label as the candidate. It does not hold for
	// a candidate without the label.
	GroupedBy string
	// Limit is the number of matching tasks that a rule with the operator Forbids still allows.
	Limit int
	// CountsStopping makes the rule also count tasks that are being evicted. It is set where
	// the rule must hold until these tasks have ended.
	CountsStopping bool
}

// TaskGroup is a number of tasks on one machine that have the same team and tags, and of which
// either all or none are being evicted.
type TaskGroup struct {
	Team     string
	Tags     Tags
	Count    int
	Stopping bool
}

// Resources is an amount of resources: what a task needs, or what a machine has. MemGB is in
// gigabytes.
type Resources struct {
	Cores, Accelerators, MemGB float64
}

// roundingTolerance is the excess, in the unit of each resource, that comparisons of resources
// accept, since sums of decimal fractions are subject to rounding errors.
const roundingTolerance = 1e-6

// Plus returns the sum of a and n times b.
func (a Resources) Plus(b Resources, n float64) Resources {
	return Resources{a.Cores + n*b.Cores, a.Accelerators + n*b.Accelerators, a.MemGB + n*b.MemGB}
}

// Covers reports whether a has at least as much as b.
func (a Resources) Covers(b Resources) bool {
	return a.Cores+roundingTolerance >= b.Cores && a.Accelerators+roundingTolerance >= b.Accelerators && a.MemGB+roundingTolerance >= b.MemGB
}

// FitCount returns how many times b fits into a, at most limit.
func (a Resources) FitCount(b Resources, limit int) int {
	times := limit
	for _, pair := range [3][2]float64{{a.Cores, b.Cores}, {a.Accelerators, b.Accelerators}, {a.MemGB, b.MemGB}} {
		if available, needed := pair[0], pair[1]; needed > 0 {
			times = min(times, int((available+roundingTolerance)/needed))
		}
	}
	return max(times, 0)
}

// Host is the state of a machine that placement reads. Placing tasks updates it.
type Host struct {
	ID     wire.MachineID
	Labels Tags
	Total  Resources
	Free   Resources
	// Freeing is the sum of the resources that tasks being evicted will free.
	Freeing    Resources
	TaskGroups []TaskGroup
	// PreemptablePriorities is a bit set of the priorities of the tasks on the machine that
	// could be evicted; bit i stands for the priority with Level i. HasUnguaranteedTasks
	// reports that some of these tasks exceed their team's quota guarantee.
	PreemptablePriorities uint8
	HasUnguaranteedTasks  bool
	// Unschedulable reports that the machine accepts no new tasks at present.
	Unschedulable bool
	// TaskSlots is the number of further tasks that the machine may take.
	TaskSlots int
	// Reservations are the tasks on the host that only keep room: they are counted in Free,
	// TaskSlots and TaskGroups like other tasks, but are not being placed.
	Reservations []Reservation
	// Images holds the images that the machine is known to have.
	Images map[string]bool
	// PullingImages is the number of images that the machine is pulling. They share its
	// bandwidth.
	PullingImages int
	// Price is the cost of the machine per hour.
	Price float64
	// Penalty, if above 0, makes the machine score worse than all machines with a smaller
	// penalty. It is set for quarantined machines.
	Penalty float64
}

// hasRoomFor reports whether the host has room for one more task that needs these resources.
func (h *Host) hasRoomFor(need Resources) bool { return h.TaskSlots > 0 && h.Free.Covers(need) }

// FitCount returns the number of further tasks with this need, at most limit, that the host has
// room for.
func (h *Host) FitCount(need Resources, limit int) int {
	return h.Free.FitCount(need, min(limit, h.TaskSlots))
}

// Reservation is room that is kept for a number of tasks of one request.
type Reservation struct {
	Request *Request
	Count   int
}

// NoteReservation records that count tasks of the request, which were added to the host, only
// keep room there.
func (h *Host) NoteReservation(request *Request, count int) {
	h.Reservations = append(h.Reservations, Reservation{request, count})
}

// releaseReservations removes the tasks that only keep room from the host.
func (h *Host) releaseReservations() {
	for _, reservation := range h.Reservations {
		request := reservation.Request
		h.AddTasks(request.Team, request.Tags, request.Need, -reservation.Count)
	}
	h.Reservations = nil
}

// AddTasks adds count tasks, each of which needs the given resources, to the host.
func (h *Host) AddTasks(team string, tags Tags, need Resources, count int) {
	h.Free = h.Free.Plus(need, -float64(count))
	h.TaskSlots -= count
	for i := range h.TaskGroups {
		group := &h.TaskGroups[i]
		if group.Team == team && !group.Stopping && sameTags(group.Tags, tags) {
			group.Count += count
			return
		}
	}
	h.TaskGroups = append(h.TaskGroups, TaskGroup{Team: team, Tags: tags, Count: count})
}

func sameTags(a, b Tags) bool { return len(a) == len(b) && hasAll(a, b) }

// hasAll reports whether tags contains all pairs of want.
func hasAll(tags, want Tags) bool {
	for k, v := range want {
		if got, ok := tags[k]; !ok || got != v {
			return false
		}
	}
	return true
}

// Fleet holds all machines that a scheduling pass takes into account: the candidates, and the
// other machines that grouped rules read.
type Fleet []*Host

// ReleaseReservations makes all room available that is kept for tasks which are not being placed.
// Rankings made before are no longer valid.
func (f Fleet) ReleaseReservations() {
	for _, host := range f {
		host.releaseReservations()
	}
}

// Holds reports whether all rules hold for a task of the team on the host.
func (f Fleet) Holds(rules []RuleTree, team string, host *Host) bool {
	return f.NewEvaluator(nil).Holds(rules, team, host)
}

// Evaluator evaluates rules over a fleet. It caches the numbers of matching tasks, since a
// grouped rule reads many machines for every candidate. The cache stays correct only if all
// changes to the tasks of the fleet are made by its method Reserve.
type Evaluator struct {
	fleet    Fleet
	jobHosts []*Host
	counts   map[*Rule]map[string]int // by rule, then by value of the label GroupedBy
}

// NewEvaluator returns an evaluator for the fleet. jobHosts, if not nil, must hold every machine
// that has tasks of the job named by the rules with the tag TagJob. The evaluator then reads
// only these machines for such rules.
func (f Fleet) NewEvaluator(jobHosts []*Host) *Evaluator {
	return &Evaluator{fleet: f, jobHosts: jobHosts}
}

// Holds reports whether all rules hold for a task of the team on the host.
func (e *Evaluator) Holds(rules []RuleTree, team string, host *Host) bool {
	for i := range rules {
		if !e.treeHolds(&rules[i], team, host) {
			return false
		}
	}
	return true
}

func (e *Evaluator) treeHolds(tree *RuleTree, team string, host *Host) bool {
	switch {
	case tree.Rule != nil:
		return e.ruleHolds(tree.Rule, team, host)
	case tree.AnyOf != nil:
		for i := range tree.AnyOf {
			if e.treeHolds(&tree.AnyOf[i], team, host) {
				return true
			}
		}
		return false
	}
	return e.Holds(tree.AllOf, team, host)
}

func (e *Evaluator) ruleHolds(rule *Rule, team string, host *Host) bool {
	if rule.Subject == MachineLabels {
		return hasAll(host.Labels, rule.Tags) == (rule.Operator == Requires)
	}
	var matching int
	if rule.GroupedBy == "" {
		matching = host.countMatching(rule, team)
	} else {
		value, ok := host.Labels[rule.GroupedBy]
		if !ok {
			return false
		}
		matching = e.countMatchingByLabel(rule, team)[value]
	}
	if rule.Operator == Requires {
		return matching > 0
	}
	return matching <= rule.Limit
}

// countMatchingByLabel returns the number of the team's tasks that match a grouped rule, for each
// value of the label GroupedBy.
func (e *Evaluator) countMatchingByLabel(rule *Rule, team string) map[string]int {
	if counts := e.counts[rule]; counts != nil {
		return counts
	}
	hosts := e.fleet
	if _, ofJob := rule.Tags[TagJob]; ofJob && e.jobHosts != nil {
		hosts = e.jobHosts
	}
	counts := map[string]int{}
	counted := make(map[*Host]bool, len(e.jobHosts))
	for _, host := range hosts {
		if counted[host] {
			continue // jobHosts may contain a host more than once
		}
		if e.jobHosts != nil {
			counted[host] = true
		}
		if value, ok := host.Labels[rule.GroupedBy]; ok {
			counts[value] += host.countMatching(rule, team)
		}
	}
	if e.counts == nil {
		e.counts = map[*Rule]map[string]int{}
	}
	e.counts[rule] = counts
	return counts
}

// Reserve adds count tasks of the request to the host and to the cached counts of the rules.
func (e *Evaluator) Reserve(request *Request, host *Host, count int) {
	host.AddTasks(request.Team, request.Tags, request.Need, count)
	for rule, counts := range e.counts {
		if hasAll(request.Tags, rule.Tags) {
			counts[host.Labels[rule.GroupedBy]] += count
		}
	}
}

// countMatching returns the number of the team's tasks on the host that match the rule.
func (h *Host) countMatching(rule *Rule, team string) int {
	count := 0
	for i := range h.TaskGroups {
		group := &h.TaskGroups[i]
		if group.Team == team && (rule.CountsStopping || !group.Stopping) && hasAll(group.Tags, rule.Tags) {
			count += group.Count
		}
	}
	return count
}

// Request describes the tasks of a job and the machines that they may run on.
type Request struct {
	Team  string
	Tags  Tags      // of each task
	Need  Resources // of each task
	Image string
	// Enforced holds the rules that must always be met.
	Enforced []RuleTree
	// Preferred holds the rules that may be ignored only if no machine that meets them has
	// room (see Options.Relax).
	Preferred []RuleTree
	// SingleZone restricts all tasks of the job to one zone.
	SingleZone bool
	// OneAtATime reports that the rules count the job's own tasks, so that they must be
	// evaluated again after each task that is placed.
	OneAtATime bool
	// Spot reports that spot machines are allowed. They are then preferred.
	Spot bool
}

// maxPerZone returns how many tasks one zone may hold of a job with this many tasks that is
// spread over zones: half of them, rounded up.
func maxPerZone(tasks int) int { return (tasks + 1) / 2 }

// NewRequest returns the request for the tasks of a job, with the job's constraints as rules.
func NewRequest(job *wire.JobSpec) *Request {
	jobTag := Tags{TagJob: string(job.ID)}
	request := &Request{
		Team:       job.Team,
		Tags:       Tags{TagJob: string(job.ID)},
		Need:       Resources{job.Cores, job.Accelerators, job.MemGB},
		Image:      job.Image,
		SingleZone: job.SingleZone,
		Spot:       job.Spot,
	}
	if len(job.Types) > 0 {
		var ofType []RuleTree
		for _, machineType := range job.Types {
			ofType = append(ofType, labelRule(Requires, LabelType, machineType))
		}
		request.Enforced = append(request.Enforced, RuleTree{AnyOf: ofType})
	}
	if job.Zone != "" {
		request.Enforced = append(request.Enforced, InZone(job.Zone))
	}
	if !job.Spot {
		request.Enforced = append(request.Enforced, labelRule(Forbids, LabelSpot, "true"))
	}
	if job.SpreadZones {
		// Tasks that are being evicted still run in their zone, so they are counted.
		request.OneAtATime = true
		request.Enforced = append(request.Enforced, RuleTree{Rule: &Rule{
			Subject:        TaskTags,
			Operator:       Forbids,
			Tags:           jobTag,
			GroupedBy:      LabelZone,
			Limit:          maxPerZone(job.Tasks) - 1,
			CountsStopping: true,
		}})
	}
	if job.Shape == wire.ShapeService {
		request.OneAtATime = true
		request.Tags[TagService] = string(job.ID)
		request.Preferred = append(request.Preferred, RuleTree{Rule: &Rule{
			Subject:  TaskTags,
			Operator: Forbids,
			Tags:     Tags{TagService: string(job.ID)},
		}})
	}
	return request
}

// labelRule returns a rule that requires or forbids a machine label.
func labelRule(operator Operator, key, value string) RuleTree {
	return RuleTree{Rule: &Rule{Subject: MachineLabels, Operator: operator, Tags: Tags{key: value}}}
}

// InZone returns a rule that requires a machine in the zone.
func InZone(zone string) RuleTree { return labelRule(Requires, LabelZone, zone) }
