package controller

import (
	"time"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// imagePullMargin is the ratio of the time allowed for an image pull to its estimated time.
const imagePullMargin = 4.0 / 3

// imagePullTime returns the time that a machine may take to pull a job's image. It is 0 if the
// machine has the image or its pull rate is not known.
func (c *Controller) imagePullTime(machine *machine, job *job) time.Duration {
	machineType := c.machineTypeNamed(machine.machineType)
	if machineType == nil || machineType.PullGBPerS <= 0 || machine.images.cached[job.spec.Image] {
		return 0
	}
	return config.Seconds(imagePullMargin * job.spec.ImageGB / machineType.PullGBPerS)
}

// gangImagePullTime returns the time that the slowest machine of a gang's attempt may take to pull
// the image.
func (c *Controller) gangImagePullTime(job *job, attempt wire.Attempt) time.Duration {
	longest := time.Duration(0)
	for _, allocation := range c.cache.allocationsByJob[job.id] {
		if machine := c.fleet.machines[allocation.Machine]; machine != nil && allocation.Attempt == attempt {
			longest = max(longest, c.imagePullTime(machine, job))
		}
	}
	return longest
}

// shouldDeferGangLaunch reports whether the launch of a gang's task is deferred, because other
// machines of its attempt need so long to pull the image that the task would stop waiting for them.
// The whole gang would then exit, its image pulls would be aborted, and it would be restarted
// repeatedly. The allocation is kept while the launch is deferred.
func (c *Controller) shouldDeferGangLaunch(machine *machine, allocation *Allocation, job *job) bool {
	if allocation.Shape != wire.ShapeGang || job.spec.Tasks < 2 {
		return false
	}
	maxWait := config.Seconds(c.settings.Cluster.Workers.GangWaitS / 2)
	slowest := c.gangImagePullTime(job, allocation.Attempt)
	if slowest <= maxWait {
		return false
	}
	if job.launchingAttempt != allocation.Attempt {
		job.launchingAttempt, job.launchStartedAt = allocation.Attempt, c.now
	}
	return c.now.Sub(job.launchStartedAt) < slowest-c.imagePullTime(machine, job)-maxWait
}

// slowImagePullS is the time of an image pull, in seconds, above which it is worth evicting other
// tasks to avoid the pull.
const slowImagePullS = 0.5

// imagePullIsSlow reports whether pulling a job's image delays the start of its tasks noticeably,
// even on the suitable machine type with the highest pull rate.
func (c *Controller) imagePullIsSlow(job *job) bool {
	best := 0.0
	for i := range c.provisioner.catalogue {
		if machineType := &c.provisioner.catalogue[i]; machineResources(machineType).Covers(job.request.Need) {
			best = max(best, machineType.PullGBPerS)
		}
	}
	return best == 0 || job.spec.ImageGB/best > slowImagePullS
}
