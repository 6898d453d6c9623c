package core

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"

	"lilacrill/internal/fastjson"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// sawImage notes that a machine has an image; of very many the one that was
// seen longest ago is forgotten.
func (c *Core) sawImage(m *machine, image string) {
	if _, known := m.images[image]; !known && len(m.images) >= maxImages {
		oldest := image
		for _, name := range sortedKeys(m.images) {
			if oldest == image || m.images[name] < m.images[oldest] {
				oldest = name
			}
		}
		delete(m.images, oldest)
		delete(m.has, oldest)
	}
	m.images[image], m.has[image] = c.now, true
}

// applyImages takes over what was noted of machines' images, so that a
// controller that has just started knows them too.
func (c *Core) applyImages(shard string, value json.RawMessage) error {
	n, err := strconv.Atoi(shard)
	if err != nil {
		return err
	}
	var noted map[wire.MachineID][]string
	if value != nil {
		if err := fastjson.Unmarshal(value, &noted); err != nil {
			return err
		}
	}
	for id := range c.imageShards[n] {
		delete(c.imagesNoted, id)
	}
	c.imageShards[n] = noted
	for id, images := range noted {
		c.imagesNoted[id] = images
		if m := c.machines[id]; m != nil {
			c.recallImages(m)
		}
	}
	return nil
}

func (c *Core) recallImages(m *machine) {
	for _, image := range c.imagesNoted[m.id] {
		if _, ok := m.images[image]; !ok && len(m.images) < maxImages {
			m.images[image], m.has[image] = 0, true
		}
	}
}

// noteImages writes down which images machines have, a number of machines to a
// record and one record at a time. It is the buyer's task, since it knows all
// machines.
func (c *Core) noteImages() {
	if c.noting || !c.after(c.nextNote) || !c.affords() {
		return
	}
	c.nextNote = c.now.Add(noteEvery)
	c.nextShard = (c.nextShard + 1) % imageShards
	shard := c.nextShard
	noted := c.notedOf(shard)
	if maps.EqualFunc(noted, c.imageShards[shard], slices.Equal[[]string]) {
		return
	}
	c.noting = true
	c.commit(ClassRest, wire.Transaction{Then: []wire.Change{c.put(record.ImageKey(shard), noted)}}, func(Committed) { c.noting = false })
}

// notedOf is what is to be noted of a shard's machines: of each the images seen in use
// last, as many as let all of them fit into one value. With a number that was fixed, a
// part of the machines of a fleet beyond some 3,000 was left out altogether.
func (c *Core) notedOf(shard int) map[wire.MachineID][]string {
	latest := map[wire.MachineID][]string{}
	for _, m := range c.inOrder() {
		if m.newest == nil || m.gone || shardOf(m.id) != shard || len(m.images) == 0 {
			continue
		}
		images := sortedKeys(m.images)
		slices.SortStableFunc(images, func(a, b string) int { return -cmp.Compare(m.images[a], m.images[b]) })
		latest[m.id] = images
	}
	for most := notedImages; most > 1; most-- {
		if noted, whole := fitImages(latest, most, c.pageLimit()); whole {
			return noted
		}
	}
	noted, _ := fitImages(latest, 1, c.pageLimit())
	return noted
}

// fitImages takes up to most images of each machine, as long as the value stays under a
// limit, and reports whether all machines found room. What is left out is learnt from
// what they run.
func fitImages(latest map[wire.MachineID][]string, most, limit int) (noted map[wire.MachineID][]string, whole bool) {
	noted = map[wire.MachineID][]string{}
	size := len(`{}`)
	for _, id := range sortedKeys(latest) {
		images := slices.Sorted(slices.Values(latest[id][:min(len(latest[id]), most)]))
		size += len(id) + len(`"":[],`)
		for _, image := range images {
			size += len(image) + len(`"",`)
		}
		if size > limit {
			return noted, false
		}
		noted[id] = images
	}
	return noted, true
}

// shardOf is the record that notes a machine's images.
func shardOf(id wire.MachineID) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % imageShards)
}
