package controller

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

// noteImageUse notes that a machine has an image; of very many the one that was
// seen longest ago is forgotten.
func (c *Controller) noteImageUse(m *machine, image string) {
	if _, known := m.images.lastUsed[image]; !known && len(m.images.lastUsed) >= maxCachedImages {
		oldest := image
		for _, name := range sortedKeys(m.images.lastUsed) {
			if oldest == image || m.images.lastUsed[name] < m.images.lastUsed[oldest] {
				oldest = name
			}
		}
		delete(m.images.lastUsed, oldest)
		delete(m.images.cached, oldest)
	}
	m.images.lastUsed[image], m.images.cached[image] = c.now, true
}

// applyImageBucket takes over what was noted of machines' images, so that a
// controller that has just started knows them too.
func (c *Controller) applyImageBucket(shard string, value json.RawMessage) error {
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
	for id := range c.fleet.imageBuckets[n] {
		delete(c.fleet.recordedImages, id)
	}
	c.fleet.imageBuckets[n] = noted
	for id, images := range noted {
		c.fleet.recordedImages[id] = images
		if m := c.fleet.machines[id]; m != nil {
			c.restoreRecordedImages(m)
		}
	}
	return nil
}

func (c *Controller) restoreRecordedImages(m *machine) {
	for _, image := range c.fleet.recordedImages[m.id] {
		if _, ok := m.images.lastUsed[image]; !ok && len(m.images.lastUsed) < maxCachedImages {
			m.images.lastUsed[image], m.images.cached[image] = 0, true
		}
	}
}

// recordImages writes down which images machines have, a number of machines to a
// record and one record at a time. It is the buyer's task, since it knows all
// machines.
func (c *Controller) recordImages() {
	if c.fleet.recordingImages || !c.isDue(c.fleet.nextImageRecord) || !c.canAffordWrite() {
		return
	}
	c.fleet.nextImageRecord = c.now.Add(imageRecordInterval)
	c.fleet.nextImageBucket = (c.fleet.nextImageBucket + 1) % imageBuckets
	shard := c.fleet.nextImageBucket
	noted := c.imagesInBucket(shard)
	if maps.EqualFunc(noted, c.fleet.imageBuckets[shard], slices.Equal[[]string]) {
		return
	}
	c.fleet.recordingImages = true
	c.commit(PriorityBackground, wire.Transaction{Then: []wire.Change{c.putChange(record.ImageKey(shard), noted)}}, func(CommitResult) { c.fleet.recordingImages = false })
}

// imagesInBucket is what is to be noted of a shard's machines: of each the images seen in use
// last, as many as let all of them fit into one value. With a number that was fixed, a
// part of the machines of a fleet beyond some 3,000 was left out altogether.
func (c *Controller) imagesInBucket(shard int) map[wire.MachineID][]string {
	latest := map[wire.MachineID][]string{}
	for _, m := range c.orderedMachines() {
		if m.latestHeartbeat == nil || m.scaling.terminated || imageBucketOf(m.id) != shard || len(m.images.lastUsed) == 0 {
			continue
		}
		images := sortedKeys(m.images.lastUsed)
		slices.SortStableFunc(images, func(a, b string) int { return -cmp.Compare(m.images.lastUsed[a], m.images.lastUsed[b]) })
		latest[m.id] = images
	}
	for most := maxRecordedImages; most > 1; most-- {
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

// imageBucketOf is the record that notes a machine's images.
func imageBucketOf(id wire.MachineID) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % imageBuckets)
}
