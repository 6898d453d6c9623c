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

// noteImageUse records that an image was seen in use on a machine, which therefore has it. If there
// are more than maxCachedImages, the least recently used image is forgotten.
func (c *Controller) noteImageUse(machine *machine, image string) {
	if _, known := machine.images.lastUsed[image]; !known && len(machine.images.lastUsed) >= maxCachedImages {
		machine.images.forgetLeastRecentlyUsed(image)
	}
	machine.images.lastUsed[image], machine.images.cached[image] = c.now, true
}

// forgetLeastRecentlyUsed forgets the least recently used image other than the given one.
func (i *imageCache) forgetLeastRecentlyUsed(except string) {
	oldest := except
	for _, name := range sortedKeys(i.lastUsed) {
		if oldest == except || i.lastUsed[name] < i.lastUsed[oldest] {
			oldest = name
		}
	}
	delete(i.lastUsed, oldest)
	delete(i.cached, oldest)
}

// applyImageBucket applies a record of the images of machines. From these records a controller that
// has just started knows which images the machines have.
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

// restoreRecordedImages adds the recorded images of a machine to its known images, with no time of
// last use.
func (c *Controller) restoreRecordedImages(machine *machine) {
	for _, image := range c.fleet.recordedImages[machine.id] {
		if _, known := machine.images.lastUsed[image]; !known && len(machine.images.lastUsed) < maxCachedImages {
			machine.images.lastUsed[image], machine.images.cached[image] = 0, true
		}
	}
}

// recordImages records which images the machines have. There is one record for each bucket of
// machines, and one record is written at a time. The provisioner does this, as it knows all
// machines.
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

// imagesInBucket returns the images to record for the machines of a bucket. For each machine these
// are the most recently used images, as many as allow all machines of the bucket to fit into one
// value. With a fixed number of images per machine, a fleet of more than about 3,000 machines would
// not fit, and some machines would be left out of the records entirely.
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

// fitImages returns up to perMachine images of each machine, most recently used first, for as many
// machines as the encoded value can hold within limit bytes. It reports whether all machines fit.
// The images of the other machines become known from the tasks that they run.
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

// imageBucketOf returns the number of the bucket, and so of the record, that a machine belongs to.
func imageBucketOf(id wire.MachineID) int {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	return int(hash.Sum32() % imageBuckets)
}
