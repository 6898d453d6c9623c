// Package placement chooses machines for tasks: rules filter the machines that
// fit, then a ranking orders them. It has no clock and no randomness of its
// own.
package placement

import (
	"lilacrill/wire"
)

// Subject says what a rule reads.
type Subject int

// The resources that rules read.
const (
	// MachineLabels are the labels of the candidate machine.
	MachineLabels Subject = iota
	// TaskTags are the tags of the same team's tasks on the machine, or in its
	// group.
	TaskTags
)

// Operator says whether a rule demands or forbids.
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

// Node is one node of a rule tree: exactly one of its fields is set.
type Node struct {
	Rule  *Rule
	AnyOf []Node
	AllOf []Node
}

// Rule asks for one condition on a candidate machine.
type Rule struct {
	Subject  Subject
	Operator Operator
	Tags     Tags
	// GroupedBy names a label: the rule then reads the tasks on every machine
	// that shares the candidate's value of it. A machine without it fails.
	GroupedBy string
	// Limit is how many matching tasks a HasNot still bears.
	Limit int
	// CountsStopping makes the rule count tasks that were told to stop too: for what
	// must hold until they are gone.
	CountsStopping bool
}

// Group is a number of like tasks on one machine.
type Group struct {
	Team     string
	Tags     Tags
	Count    int
	Stopping bool
}

// Resources is what a task takes of a machine, or what a machine has.
type Resources struct {
	Cores, Accelerators, MemGB float64
}

// roundingTolerance forgives rounding in sums of decimal amounts.
const roundingTolerance = 1e-6

// Plus adds n times b.
func (a Resources) Plus(b Resources, n float64) Resources {
	return Resources{a.Cores + n*b.Cores, a.Accelerators + n*b.Accelerators, a.MemGB + n*b.MemGB}
}

// Covers reports whether a has room for b.
func (a Resources) Covers(b Resources) bool {
	return a.Cores+roundingTolerance >= b.Cores && a.Accelerators+roundingTolerance >= b.Accelerators && a.MemGB+roundingTolerance >= b.MemGB
}

// Fits says how many times b fits into a, at most limit.
func (a Resources) Fits(b Resources, limit int) int {
	n := limit
	for _, p := range [3][2]float64{{a.Cores, b.Cores}, {a.Accelerators, b.Accelerators}, {a.MemGB, b.MemGB}} {
		if p[1] > 0 {
			if k := int((p[0] + roundingTolerance) / p[1]); k < n {
				n = k
			}
		}
	}
	return max(n, 0)
}

// Host is a machine as placement sees it.
type Host struct {
	ID     wire.MachineID
	Labels Tags
	Total  Resources
	Free   Resources
	// Freeing is what tasks that were told to stop will give back.
	Freeing Resources
	Groups  []Group
	// PreemptablePriorities has a bit for the rank of every task on it that could be stopped;
	// Beyond says that some of them stand outside their team's guarantee.
	PreemptablePriorities uint8
	HasUnguaranteedTasks  bool
	// Unschedulable says that the machine may take no new tasks now.
	Unschedulable bool
	// TaskSlots is how many more tasks the machine may hold.
	TaskSlots int
	// Images holds the images the machine is known to have.
	Images map[string]bool
	// PullingImages is how many images the machine is fetching: they share its rate.
	PullingImages int
	// Price is what the machine costs an hour.
	Price float64
	// Penalty worsens the rank of machines that did badly lately.
	Penalty float64
}

// Add places count tasks on the host.
func (h *Host) Add(team string, tags Tags, need Resources, count int) {
	h.Free = h.Free.Plus(need, -float64(count))
	h.TaskSlots -= count
	for i := range h.Groups {
		g := &h.Groups[i]
		if g.Team == team && !g.Stopping && sameTags(g.Tags, tags) {
			g.Count += count
			return
		}
	}
	h.Groups = append(h.Groups, Group{Team: team, Tags: tags, Count: count})
}

func sameTags(a, b Tags) bool { return len(a) == len(b) && hasAll(a, b) }

func hasAll(tags, want Tags) bool {
	for k, v := range want {
		if got, ok := tags[k]; !ok || got != v {
			return false
		}
	}
	return true
}

// Fleet is the set of machines that rules with Within read.
type Fleet []*Host

// Holds evaluates the nodes (all must hold) for a team's task on a host.
func (f Fleet) Holds(nodes []Node, team string, h *Host) bool {
	return f.NewEvaluator(nil).Holds(nodes, team, h)
}

// Evaluator evaluates rules over a fleet and remembers what it counted, since
// rules with Within read many machines for every candidate. It holds as long as
// tasks are added through it alone.
type Evaluator struct {
	fleet    Fleet
	jobHosts []*Host
	counts   map[*Rule]map[string]int
}

// NewEvaluator starts one. Own, if not nil, are the machines with tasks of the job
// that rules about a job's tag ask for.
func (f Fleet) NewEvaluator(own []*Host) *Evaluator { return &Evaluator{fleet: f, jobHosts: own} }

// Holds evaluates the nodes (all must hold) for a team's task on a host.
func (r *Evaluator) Holds(nodes []Node, team string, h *Host) bool {
	for i := range nodes {
		if !r.holds(&nodes[i], team, h) {
			return false
		}
	}
	return true
}

func (r *Evaluator) holds(n *Node, team string, h *Host) bool {
	switch {
	case n.Rule != nil:
		return r.ruleHolds(n.Rule, team, h)
	case n.AnyOf != nil:
		for i := range n.AnyOf {
			if r.holds(&n.AnyOf[i], team, h) {
				return true
			}
		}
		return false
	}
	return r.Holds(n.AllOf, team, h)
}

func (r *Evaluator) ruleHolds(rule *Rule, team string, h *Host) bool {
	if rule.Subject == MachineLabels {
		return hasAll(h.Labels, rule.Tags) == (rule.Operator == Requires)
	}
	n := 0
	if rule.GroupedBy == "" {
		n = h.matching(rule, team)
	} else {
		value, ok := h.Labels[rule.GroupedBy]
		if !ok {
			return false
		}
		n = r.matchingByLabel(rule, team)[value]
	}
	if rule.Operator == Requires {
		return n > 0
	}
	return n <= rule.Limit
}

// matchingByLabel counts the tasks that match a rule by the label that it names.
func (r *Evaluator) matchingByLabel(rule *Rule, team string) map[string]int {
	if counts := r.counts[rule]; counts != nil {
		return counts
	}
	hosts := r.fleet
	if _, ofJob := rule.Tags[TagJob]; ofJob && r.jobHosts != nil {
		hosts = r.jobHosts
	}
	counts := map[string]int{}
	read := make(map[*Host]bool, len(r.jobHosts))
	for _, o := range hosts {
		if read[o] {
			continue // own may name a machine more than once
		}
		if r.jobHosts != nil {
			read[o] = true
		}
		if v, ok := o.Labels[rule.GroupedBy]; ok {
			counts[v] += o.matching(rule, team)
		}
	}
	if r.counts == nil {
		r.counts = map[*Rule]map[string]int{}
	}
	r.counts[rule] = counts
	return counts
}

// Reserve has a host stand for tasks that are to start there once there is room.
func (r *Evaluator) Reserve(q *Request, h *Host, n int) {
	h.Add(q.Team, q.Tags, q.Need, n)
	r.countAdded(q.Tags, h, n)
}

// countAdded notes that tasks with these tags were placed on a host.
func (r *Evaluator) countAdded(tags Tags, h *Host, n int) {
	for rule, counts := range r.counts {
		if hasAll(tags, rule.Tags) {
			counts[h.Labels[rule.GroupedBy]] += n
		}
	}
}

func (h *Host) matching(r *Rule, team string) int {
	n := 0
	for i := range h.Groups {
		g := &h.Groups[i]
		if g.Team == team && (r.CountsStopping || !g.Stopping) && hasAll(g.Tags, r.Tags) {
			n += g.Count
		}
	}
	return n
}

// Request is what placement needs to know of a job.
type Request struct {
	Team  string
	Tags  Tags
	Need  Resources
	Image string
	// Enforced rules are never ignored.
	Enforced []Node
	// Preferred rules are ignored only when no machine that meets them has
	// room.
	Preferred []Node
	// SingleZone keeps all tasks in the zone of the first.
	SingleZone bool
	// OneAtATime says that rules read the job's own tasks, so that they must be
	// evaluated anew after each one.
	OneAtATime bool
	// Spot says that spot machines are allowed, and so preferred.
	Spot bool
}

// maxPerZone is the most of n tasks that one zone may hold of a job set apart.
func maxPerZone(n int) int { return (n + 1) / 2 }

// NewRequest turns a job's fields into rules.
func NewRequest(j *wire.JobSpec) *Request {
	r := &Request{
		Team:       j.Team,
		Tags:       Tags{TagJob: string(j.ID)},
		Need:       Resources{j.Cores, j.Accelerators, j.MemGB},
		Image:      j.Image,
		SingleZone: j.SingleZone,
		Spot:       j.Spot,
	}
	if len(j.Types) > 0 {
		var any []Node
		for _, t := range j.Types {
			any = append(any, label(Requires, LabelType, t))
		}
		r.Enforced = append(r.Enforced, Node{AnyOf: any})
	}
	if j.Zone != "" {
		r.Enforced = append(r.Enforced, label(Requires, LabelZone, j.Zone))
	}
	if !j.Spot {
		r.Enforced = append(r.Enforced, label(Forbids, LabelSpot, "true"))
	}
	own := Tags{TagJob: string(j.ID)}
	if j.SpreadZones {
		// Tasks that are stopping still stand in their zone, so they count.
		r.OneAtATime = true
		r.Enforced = append(r.Enforced, Node{Rule: &Rule{Subject: TaskTags, Operator: Forbids, Tags: own,
			GroupedBy: LabelZone, Limit: maxPerZone(j.Tasks) - 1, CountsStopping: true}})
	}
	if j.Shape == wire.ShapeService {
		r.OneAtATime = true
		r.Tags[TagService] = string(j.ID)
		r.Preferred = append(r.Preferred, Node{Rule: &Rule{Subject: TaskTags, Operator: Forbids,
			Tags: Tags{TagService: string(j.ID)}}})
	}
	return r
}

func label(op Operator, key, value string) Node {
	return Node{Rule: &Rule{Subject: MachineLabels, Operator: op, Tags: Tags{key: value}}}
}

// InZone is the rule that keeps a task in one zone.
func InZone(zone string) Node { return label(Requires, LabelZone, zone) }
