package core

import (
	"hash/fnv"
	"slices"
)

// ownsTeam reports whether this controller is a team's owner: the one that looks
// after whatever its jobs need beyond the first placement. It is only a hint
// that spares lost writes; safety rests on the conditions of the writes.
func (c *Core) ownsTeam(team string) bool { return c.teamOwner(team) == c.settings.Label }

func (c *Core) teamOwner(team string) string {
	if s, ok := c.teamOwners[team]; ok {
		return s
	}
	best := highest(c.labels, team)
	c.teamOwners[team] = best
	return best
}

// assign shares out the teams and the state service's limits among the living
// controllers. All come to the same result once they know of the same ones;
// until then it costs lost writes and refused calls, not safety.
func (c *Core) assign() {
	clear(c.teamOwners)
	var labels []string
	weight := map[string]float64{}
	for _, label := range sortedKeys(c.nodes) {
		weight[label] = 1
		if c.nodes[label] == c.buyer {
			weight[label]++
		}
		if !c.isolatedNodes[label] {
			labels = append(labels, label)
		}
	}
	if len(labels) == 0 {
		labels = append(labels, c.settings.Label) // nobody else is known to be of use
	}
	var names []string
	for i := range c.settings.Cluster.Teams {
		names = append(names, c.settings.Cluster.Teams[i].Name)
	}
	slices.Sort(names)
	// Each takes the teams it scores highest for, but no more than its part: at
	// many writes a second a controller with three teams holds two of them up.
	most := (len(names) + len(labels) - 1) / len(labels)
	load := map[string]int{}
	for _, name := range names {
		open := slices.DeleteFunc(slices.Clone(labels), func(l string) bool { return load[l] >= most })
		best := highest(open, name)
		load[best]++
		weight[best]++
		c.teamOwners[name] = best
	}
	sum := 0.0
	for _, w := range weight {
		sum += w
	}
	own := weight[c.settings.Label]
	if own == 0 {
		own, sum = 1, sum+1 // not enrolled yet
	}
	c.labels = labels
	if part := own / sum; part != c.part {
		c.part = part
		c.do(Share{part})
	}
}

// highest is the label that scores highest for a name.
func highest(labels []string, name string) string {
	best, bestScore := "", uint64(0)
	for _, label := range labels {
		h := fnv.New64a()
		h.Write([]byte(label))
		h.Write([]byte{0})
		h.Write([]byte(name))
		s := h.Sum64()
		s ^= s >> 31
		s *= 0x9e3779b97f4a7c15
		if s >= bestScore {
			best, bestScore = label, s
		}
	}
	return best
}
