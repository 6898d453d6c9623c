package placement

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"

	"lilacrill/wire"
)

// Assignment is a number of tasks given to one machine.
type Assignment struct {
	Machine wire.MachineID
	Zone    string
	Count   int
	Relaxed bool
}

// Options say how a choice is made.
type Options struct {
	// Excluded holds machines that count as locked.
	Excluded map[wire.MachineID]bool
	// Probes, if above 0, makes the choice among that many machines drawn with
	// Rand: what a controller does after a lost write.
	Probes int
	Rand   *rand.Rand
	// Relax allows the Preferred rules to be ignored when no machine that
	// meets them has room.
	Relax bool
	// AllOrNothing demands room for all tasks or places none.
	AllOrNothing bool
	// Usable, if set, filters machines that may not take this job for now.
	Usable func(*Host) bool
	// Ranking, if set, is what Rank made for a like search, since which room was
	// only taken.
	Ranking *Ranking
	// JobHosts, if not nil, are the machines with the job's own tasks.
	JobHosts []*Host
}

// Choose places up to count tasks of the request and books them on the hosts.
// Zone, if not empty, is where the job's other tasks are (Together).
func (f Fleet) Choose(r *Request, count int, zone string, o Options) []Assignment {
	pool := o.Ranking
	if pool == nil {
		pool = f.pool(r, o)
	}
	if pool.len() == 0 {
		return nil
	}
	rd := f.NewEvaluator(o.JobHosts)
	if r.SingleZone && zone == "" {
		zone = rd.bestZone(r, pool, count)
		if zone == "" {
			return nil
		}
	}
	enforced := r.Enforced
	if r.SingleZone {
		enforced = append(slices.Clip(enforced), InZone(zone))
	}
	undo := map[*Host]Host{}
	choices := rd.fill(r, pool, enforced, r.Preferred, count, undo)
	if left := count - totalCount(choices); left > 0 && o.Relax && len(r.Preferred) > 0 {
		for _, c := range rd.fill(r, pool, enforced, nil, left, undo) {
			c.Relaxed = true
			choices = append(choices, c)
		}
	}
	if o.AllOrNothing && totalCount(choices) < count {
		for h, was := range undo {
			h.Free, h.TaskSlots, h.Groups = was.Free, was.TaskSlots, was.Groups
		}
		return nil
	}
	return choices
}

func totalCount(cs []Assignment) int {
	n := 0
	for _, c := range cs {
		n += c.Count
	}
	return n
}

// Ranking yields machines best first. Most searches are over after a few of them,
// so it puts no more of them in order than it is asked for.
type Ranking struct {
	done []*Host
	rest []candidate // a heap
	from int         // those before have no room left
}

// Rank readies the machines for searches with like requests and options, one after
// the other: where hundreds of jobs need the same, looking at every machine for
// each of them costs more than all else.
func (f Fleet) Rank(r *Request, o Options) *Ranking { return f.pool(r, o) }

type candidate struct {
	score
	host *Host
}

func (a *candidate) compare(b *candidate) int {
	// Called very often: what comes later is not compared in vain.
	switch {
	case a.penalty != b.penalty:
		return cmp.Compare(a.penalty, b.penalty)
	case a.wasted != b.wasted:
		return cmp.Compare(a.wasted, b.wasted)
	case a.image != b.image:
		return cmp.Compare(a.image, b.image)
	case a.kind != b.kind:
		return cmp.Compare(a.kind, b.kind)
	case a.size != b.size:
		return cmp.Compare(a.size, b.size)
	case a.left != b.left:
		return cmp.Compare(a.left, b.left)
	}
	return cmp.Compare(a.host.ID, b.host.ID)
}

// Len implements heap.Interface.
func (k *Ranking) Len() int { return len(k.rest) }

// Less implements heap.Interface.
func (k *Ranking) Less(a, b int) bool { return k.rest[a].compare(&k.rest[b]) < 0 }

// Swap implements heap.Interface.
func (k *Ranking) Swap(a, b int) { k.rest[a], k.rest[b] = k.rest[b], k.rest[a] }

// Push implements heap.Interface.
func (k *Ranking) Push(x any) { k.rest = append(k.rest, x.(candidate)) }

// Pop implements heap.Interface.
func (k *Ranking) Pop() any {
	last := k.rest[len(k.rest)-1]
	k.rest = k.rest[:len(k.rest)-1]
	k.done = append(k.done, last.host)
	return nil
}

// len is how many machines there are.
func (k *Ranking) len() int { return len(k.done) + len(k.rest) }

// at is the machine in place i.
func (k *Ranking) at(i int) *Host {
	for len(k.done) <= i {
		heap.Pop(k)
	}
	return k.done[i]
}

// pool is the machines to look at, best first.
func (f Fleet) pool(r *Request, o Options) *Ranking {
	var pool []*Host
	for _, h := range f {
		if !h.Unschedulable && h.TaskSlots > 0 && h.Free.Covers(r.Need) && !o.Excluded[h.ID] && (o.Usable == nil || o.Usable(h)) {
			pool = append(pool, h)
		}
	}
	if o.Probes > 0 && len(pool) > 0 {
		o.Rand.Shuffle(len(pool), func(i, k int) { pool[i], pool[k] = pool[k], pool[i] })
		pool = pool[:min(o.Probes, len(pool))]
	}
	k := &Ranking{rest: make([]candidate, len(pool))}
	for i, h := range pool {
		k.rest[i] = candidate{scoreOf(r, h), h}
	}
	heap.Init(k)
	return k
}

// score orders machines: the smaller, the better, field by field.
type score struct {
	penalty float64
	wasted  float64
	image   int
	kind    int
	size    float64
	left    float64
}

// scoreOf prefers machines that did not fail lately, that do not lose
// accelerators to work without any, that have the image or at least fetch no
// other, that are cheap where
// spot is allowed, and that are fuller already, so that large tasks find whole
// machines. Replicas of services go to small machines first: each that is lost
// takes fewer of them along.
func scoreOf(r *Request, h *Host) score {
	k := score{penalty: h.Penalty}
	if r.Need.Accelerators == 0 && h.Total.Accelerators > 0 {
		k.wasted = 1
	}
	if !h.Images[r.Image] {
		k.image = 1 + h.PullingImages
	}
	if r.Spot && h.Labels[LabelSpot] != "true" {
		k.kind = 1
	}
	if r.OneAtATime {
		k.size = h.Total.Cores
	}
	k.left = h.Free.Cores
	return k
}

func (r *Evaluator) fill(request *Request, pool *Ranking, enforced, preferred []Node, count int, undo map[*Host]Host) []Assignment {
	var out []Assignment
	for i := pool.from; i < pool.len(); i++ {
		h := pool.at(i)
		if i == pool.from && (h.TaskSlots <= 0 || !h.Free.Covers(request.Need)) {
			pool.from++
			continue
		}
		placed := 0
		for count > 0 && h.TaskSlots > 0 && h.Free.Covers(request.Need) &&
			r.Holds(enforced, request.Team, h) && r.Holds(preferred, request.Team, h) {
			n := 1
			if !request.OneAtATime {
				n = h.Free.Fits(request.Need, min(count, h.TaskSlots))
			}
			if _, ok := undo[h]; !ok {
				undo[h] = Host{Free: h.Free, TaskSlots: h.TaskSlots, Groups: slices.Clone(h.Groups)}
			}
			h.Add(request.Team, request.Tags, request.Need, n)
			r.countAdded(request.Tags, h, n)
			placed += n
			count -= n
		}
		if placed > 0 {
			out = append(out, Assignment{Machine: h.ID, Zone: h.Labels[LabelZone], Count: placed})
		}
		if count == 0 {
			break
		}
	}
	return out
}

// bestZone is the zone with room for most of the tasks.
func (r *Evaluator) bestZone(request *Request, pool *Ranking, count int) string {
	room := map[string]int{}
	best := ""
	for i := range pool.len() {
		h := pool.at(i)
		if r.Holds(request.Enforced, request.Team, h) {
			z := h.Labels[LabelZone]
			before := room[z]
			room[z] = min(count, before+h.Free.Fits(request.Need, count))
			// The pool is in order of rank, so of zones with equal room the one
			// whose machines rank better wins.
			if best == "" || room[z] > room[best] {
				best = z
			}
		}
	}
	return best
}
