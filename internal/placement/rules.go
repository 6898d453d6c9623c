package placement

import (
	"lilacrill/wire"
)

// Subject is what a rule reads.
type Subject int

// The subjects of rules.
const (
	// MachineLabels are the labels of the candidate machine.
	MachineLabels Subject = iota
	// TaskTags are the tags of the same team's tasks on the machine, or on all machines of
	// its group (see Rule.GroupedBy).
	TaskTags
)

// Operator says whether a rule requires or forbids its tags.
type Operator int

// The operators of rules.
const (
	Requires Operator = iota
	Forbids
)

// Tags are key and value pairs, on machines (labels) or on tasks.
type Tags map[string]string

// The labels and tags lilacrill itself uses.
const (
	LabelType  = "type"
	LabelZone  = "zone"
	LabelSpot  = "spot"
	TagJob     = "job"
	TagService = "service"
)

// RuleTree is one node of a rule tree: exactly one of its fields is set.
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
	// GroupedBy names a label: the rule then reads the tasks on all machines with the same
	// value of it as the candidate. A candidate without the label fails.
	GroupedBy string
	// Limit is how many matching tasks a rule that forbids still allows.
	Limit int
	// CountsStopping makes the rule count tasks that are being evicted as well: for what must
	// hold until they are gone.
	CountsStopping bool
}

// TaskGroup is a number of equal tasks on one machine.
type TaskGroup struct {
	Team     string
	Tags     Tags
	Count    int
	Stopping bool
}

// Resources is what a task needs of a machine, or what a machine has.
type Resources struct {
	Cores, Accelerators, MemGB float64
}

// roundingTolerance forgives rounding in sums of decimal fractions.
const roundingTolerance = 1e-6

// Plus adds n times b.
func (a Resources) Plus(b Resources, n float64) Resources {
	return Resources{a.Cores + n*b.Cores, a.Accelerators + n*b.Accelerators, a.MemGB + n*b.MemGB}
}

// Covers reports whether a has at least as much as b.
func (a Resources) Covers(b Resources) bool {
	return a.Cores+roundingTolerance >= b.Cores && a.Accelerators+roundingTolerance >= b.Accelerators && a.MemGB+roundingTolerance >= b.MemGB
}

// FitCount is how many times b fits into a, at most limit.
func (a Resources) FitCount(b Resources, limit int) int {
	times := limit
	for _, pair := range [3][2]float64{{a.Cores, b.Cores}, {a.Accelerators, b.Accelerators}, {a.MemGB, b.MemGB}} {
		if available, needed := pair[0], pair[1]; needed > 0 {
			times = min(times, int((available+roundingTolerance)/needed))
		}
	}
	return max(times, 0)
}

// Host is a machine as placement sees it.
type Host struct {
	ID     wire.MachineID
	Labels Tags
	Total  Resources
	Free   Resources
	// Freeing is what tasks that are being evicted will free.
	Freeing    Resources
	TaskGroups []TaskGroup
	// PreemptablePriorities has a bit (by wire.Priority's level) for the priority of every
	// task on it that could be evicted; HasUnguaranteedTasks says that some of them are beyond
	// their team's quota guarantee.
	PreemptablePriorities uint8
	HasUnguaranteedTasks  bool
	// Unschedulable says that the machine takes no new tasks now.
	Unschedulable bool
	// TaskSlots is how many more tasks the machine may take.
	TaskSlots int
	// Images holds the images the machine is known to have.
	Images map[string]bool
	// PullingImages is how many images the machine is pulling: they share its rate.
	PullingImages int
	// Price is what the machine costs per hour.
	Price float64
	// Penalty worsens the score of a machine that did badly lately.
	Penalty float64
}

// hasRoomFor reports whether the host has room for one more task.
func (h *Host) hasRoomFor(need Resources) bool { return h.TaskSlots > 0 && h.Free.Covers(need) }

// AddTasks places count tasks on the host.
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

// hasAll reports whether tags has all pairs of want.
func hasAll(tags, want Tags) bool {
	for k, v := range want {
		if got, ok := tags[k]; !ok || got != v {
			return false
		}
	}
	return true
}

// Fleet is the machines that a pass knows: the candidates, and the others that grouped rules
// read.
type Fleet []*Host

// Holds reports whether all nodes hold for a team's task on a host.
func (f Fleet) Holds(nodes []RuleTree, team string, host *Host) bool {
	return f.NewEvaluator(nil).Holds(nodes, team, host)
}

// Evaluator evaluates rules over a fleet and caches the tasks that it counted, since grouped
// rules read many machines for every candidate. It is valid as long as tasks are added through
// its Reserve alone.
type Evaluator struct {
	fleet    Fleet
	jobHosts []*Host
	counts   map[*Rule]map[string]int // matching tasks by the value of the rule's GroupedBy
}

// NewEvaluator makes an evaluator. JobHosts, if not nil, is the machines with tasks of the job
// that rules about a job's tag name.
func (f Fleet) NewEvaluator(jobHosts []*Host) *Evaluator {
	return &Evaluator{fleet: f, jobHosts: jobHosts}
}

// Holds reports whether all nodes hold for a team's task on a host.
func (e *Evaluator) Holds(nodes []RuleTree, team string, host *Host) bool {
	for i := range nodes {
		if !e.treeHolds(&nodes[i], team, host) {
			return false
		}
	}
	return true
}

func (e *Evaluator) treeHolds(node *RuleTree, team string, host *Host) bool {
	switch {
	case node.Rule != nil:
		return e.ruleHolds(node.Rule, team, host)
	case node.AnyOf != nil:
		for i := range node.AnyOf {
			if e.treeHolds(&node.AnyOf[i], team, host) {
				return true
			}
		}
		return false
	}
	return e.Holds(node.AllOf, team, host)
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

// countMatchingByLabel counts the tasks that match a grouped rule by the value of its label.
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
			continue // jobHosts may hold a host more than once
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

// Reserve places count tasks of a request on a host, and counts them for the rules.
func (e *Evaluator) Reserve(request *Request, host *Host, count int) {
	host.AddTasks(request.Team, request.Tags, request.Need, count)
	for rule, counts := range e.counts {
		if hasAll(request.Tags, rule.Tags) {
			counts[host.Labels[rule.GroupedBy]] += count
		}
	}
}

// countMatching counts a team's tasks on the host that match a rule.
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

// Request is what placement needs to know of a job.
type Request struct {
	Team  string
	Tags  Tags      // of each of its tasks
	Need  Resources // of each of its tasks
	Image string
	// Enforced rules are never ignored.
	Enforced []RuleTree
	// Preferred rules are ignored only when no machine that meets them has room.
	Preferred []RuleTree
	// SingleZone keeps all tasks in the zone of the first.
	SingleZone bool
	// OneAtATime says that rules read the job's own tasks, so that they must be evaluated
	// again after each one.
	OneAtATime bool
	// Spot says that spot machines are allowed, and so preferred.
	Spot bool
}

// maxPerZone is how many of a job's tasks one zone may hold if the job is spread over zones.
func maxPerZone(tasks int) int { return (tasks + 1) / 2 }

// NewRequest turns a job's fields into rules.
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
		// Tasks that are being evicted are still in their zone, so they count.
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

func labelRule(operator Operator, key, value string) RuleTree {
	return RuleTree{Rule: &Rule{Subject: MachineLabels, Operator: operator, Tags: Tags{key: value}}}
}

// InZone is the rule that keeps a task in one zone.
func InZone(zone string) RuleTree { return labelRule(Requires, LabelZone, zone) }
