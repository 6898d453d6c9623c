package core

import (
	"time"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// tickGarbage rewrites placement records that nothing stands on but what was
// done of jobs that are over; others lose that when they are next written.
func (c *Core) tickGarbage() {
	if !c.whole() || !c.stateFresh() {
		return
	}
	c.file()
	if c.sweeping || !c.after(c.nextSweep) || !c.affords() {
		return
	}
	c.nextSweep = c.now.Add(2 * time.Second)
	for _, name := range sortedKeys(c.teams) {
		t := c.teams[name]
		if t.writing != nil || !c.ownsTeam(name) {
			continue
		}
		for _, key := range sortedKeys(t.pages) {
			p := t.pages[key]
			if len(p.entries) > 0 || len(p.done) == 0 || len(c.living(p.done)) == len(p.done) {
				continue
			}
			d := page{done: c.living(p.done)}
			c.sweeping = true
			c.commit(ClassRest, wire.Transaction{
				If:   []wire.Condition{{Key: key, Version: p.version}},
				Then: []wire.Change{c.put(key, d.value())},
			}, func(Committed) { c.sweeping = false })
			return
		}
	}
}

// living is what of the done sets belongs to jobs that are not over.
func (c *Core) living(done map[wire.JobID]record.TaskSet) map[wire.JobID]record.TaskSet {
	out := map[wire.JobID]record.TaskSet{}
	for id, set := range done {
		if c.jobs[id] != nil {
			out[id] = set
		}
	}
	return out
}
