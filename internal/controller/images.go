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

// noteImageUse notes that a machine has an image. Of more than maxCachedImages the one that
// was seen in use the longest ago is forgotten.
func (c *Controller) noteImageUse(machine *machine, image string) {
	if _, known := machine.images.lastUsed[image]; !known && len(machine.images.lastUsed) >= maxCachedImages {
		machine.images.forgetOldest(image)
	}
	machine.images.lastUsed[image], machine.images.cached[image] = c.now, true
}

// forgetOldest forgets the image that was seen in use the longest ago, except the given one.
func (i *imageCache) forgetOldest(except string) {
	oldest := except
	for _, name := range sortedKeys(i.lastUsed) {
		if oldest == except || i.lastUsed[name] < i.lastUsed[oldest] {
			oldest = name
		}
	}
	delete(i.lastUsed, oldest)
	delete(i.cached, oldest)
}

// applyImageBucket applies a record of machines' images, so that a controller that has just
// started knows them too.
func (c *Controller) applyImageBucket(name string, value json.RawMessage) error {
	bucket, err := strconv.Atoi(name)
	if err != nil {
		return err
	}
	var recorded map[wire.MachineID][]string
	if value != nil {
		if err := fastjson.Unmarshal(value, &recorded); err != nil {
			return err
		}
	}
	for id := range c.fleet.imageBuckets[bucket] {
		delete(c.fleet.recordedImages, id)
	}
	c.fleet.imageBuckets[bucket] = recorded
	for id, images := range recorded {
		c.fleet.recordedImages[id] = images
		if machine := c.fleet.machines[id]; machine != nil {
			c.restoreRecordedImages(machine)
		}
	}
	return nil
}

// restoreRecordedImages adds the images that the records name to what is known of a machine,
// as ones that were not seen in use.
func (c *Controller) restoreRecordedImages(machine *machine) {
	for _, image := range c.fleet.recordedImages[machine.id] {
		if _, known := machine.images.lastUsed[image]; !known && len(machine.images.lastUsed) < maxCachedImages {
			machine.images.lastUsed[image], machine.images.cached[image] = 0, true
		}
	}
}

// recordImages records which images machines have: a bucket of machines to a record, one
// record at a time. This is up to the provisioner, which knows all machines.
func (c *Controller) recordImages() {
	if c.fleet.recordingImages || !c.isDue(c.fleet.nextImageRecord) || !c.canAffordWrite() {
		return
	}
	c.fleet.nextImageRecord = c.now.Add(imageRecordInterval)
	c.fleet.nextImageBucket = (c.fleet.nextImageBucket + 1) % imageBuckets
	bucket := c.fleet.nextImageBucket
	images := c.imagesInBucket(bucket)
	if maps.EqualFunc(images, c.fleet.imageBuckets[bucket], slices.Equal[[]string]) {
		return
	}
	c.fleet.recordingImages = true
	c.commit(PriorityBackground, wire.Transaction{
		Then: []wire.Change{c.putChange(record.ImageKey(bucket), images)},
	}, func(CommitResult) { c.fleet.recordingImages = false })
}

// imagesInBucket is what is recorded of a bucket's machines: of each the images seen in use
// last, as many as let all of them fit into one value. With a fixed number of images, a part
// of the machines of a fleet beyond some 3,000 was left out altogether.
func (c *Controller) imagesInBucket(bucket int) map[wire.MachineID][]string {
	latestFirst := map[wire.MachineID][]string{}
	for _, machine := range c.orderedMachines() {
		if machine.latestHeartbeat == nil || machine.scaling.terminated || imageBucketOf(machine.id) != bucket || len(machine.images.lastUsed) == 0 {
			continue
		}
		images := sortedKeys(machine.images.lastUsed)
		slices.SortStableFunc(images, func(a, b string) int { return -cmp.Compare(machine.images.lastUsed[a], machine.images.lastUsed[b]) })
		latestFirst[machine.id] = images
	}
	for perMachine := maxRecordedImages; perMachine > 1; perMachine-- {
		if images, complete := fitImages(latestFirst, perMachine, c.pageLimit()); complete {
			return images
		}
	}
	images, _ := fitImages(latestFirst, 1, c.pageLimit())
	return images
}

// fitImages takes up to perMachine images of each machine, the latest first, as long as the
// encoded value stays within limit bytes, and reports whether all machines fit. The images of
// those that do not are learned from the tasks that they run.
func fitImages(latestFirst map[wire.MachineID][]string, perMachine, limit int) (fitting map[wire.MachineID][]string, complete bool) {
	fitting = map[wire.MachineID][]string{}
	size := len(`{}`)
	for _, id := range sortedKeys(latestFirst) {
		images := slices.Sorted(slices.Values(latestFirst[id][:min(len(latestFirst[id]), perMachine)]))
		size += len(id) + len(`"":[],`)
		for _, image := range images {
			size += len(image) + len(`"",`)
		}
		if size > limit {
			return fitting, false
		}
		fitting[id] = images
	}
	return fitting, true
}

// imageBucketOf is the number of the record that names a machine's images.
func imageBucketOf(id wire.MachineID) int {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	return int(hash.Sum32() % imageBuckets)
}
