package controller

import (
	"errors"
	"net/http"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/placement"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

const (
	// submitTimeout is the time that a submission may wait for the state store before its user
	// is advised to retry.
	submitTimeout = 1500 * time.Millisecond
	// admissionQueueTime bounds the number of queued submissions to as many as this controller
	// can write in that time. At least minAdmissionQueue are queued in any case.
	admissionQueueTime = 800 * time.Millisecond
	minAdmissionQueue  = 4
	// retryOversubscription is the ratio of the rate at which users are advised to retry to
	// this controller's write rate. It is above 1 because the other controllers do not always
	// use their part of the writes.
	retryOversubscription = 1.3
	// maxRetryDelay is the longest delay that a user is advised to wait. Users give up after a
	// minute.
	maxRetryDelay = 10 * time.Second
	// limitTolerance, in cores or accelerators, absorbs rounding errors in sums of fractions.
	limitTolerance = 1e-6
)

// Errors that state why a job can never run. Their texts are sent to users.
var (
	errUnknownTeam       = errors.New("unknown team")
	errAboveTeamLimit    = errors.New("needs more than the team's limit")
	errSingleAndSpread   = errors.New("together and apart at once")
	errSpreadInZone      = errors.New("apart in a single zone")
	errNoMachineType     = errors.New("a task fits no allowed machine type")
	errSpreadOverOneZone = errors.New("apart, but only one zone has machines that a task fits")
)

// admission holds the state of submissions that are not decided yet.
type admission struct {
	inFlight         int  // submissions being written
	lastAdvisedRetry Time // latest time at which a user was advised to retry
}

// submit answers a submission. Submissions are idempotent: a repeated submission is answered
// with the job's status.
func (c *Controller) submit(in JobSubmitted) {
	id := in.Spec.ID
	if completion, ok := c.cache.completion(id); ok {
		c.reply(in.Request, http.StatusOK, completionStatus(id, completion))
		return
	}
	if !c.ensureServing(in.Request) {
		return
	}
	if c.cache.jobs[id] != nil {
		c.replyToKnownJob(in.Request, id)
		return
	}
	if len(c.provisioner.catalogue) == 0 {
		c.refuseUnavailable(in.Request, "machine types not known yet")
		return
	}
	if err := c.checkFeasible(&in.Spec); err != nil {
		// A job that was accepted earlier is not refused now, even if the catalogue has changed
		// since. The job is therefore looked up before it is refused.
		c.replyWithStatus(in.Request, id, func() {
			c.refuse(in.Request, http.StatusUnprocessableEntity, err.Error(), 0)
		})
		return
	}
	c.accept(in)
}

// replyToKnownJob answers a submission of a job that already has a record.
func (c *Controller) replyToKnownJob(request RequestID, id wire.JobID) {
	c.replyWithStatus(request, id, func() { c.refuseUnavailable(request, reasonStateChanged) })
}

// submission is a submission whose job record is being written.
type submission struct {
	request   RequestID
	spec      wire.JobSpec
	startedAt Time
	answered  bool
}

// accept writes the job's record before the user is told that the job is accepted. If the response
// of the state store is lost, the user's retry finds the job or writes its record again.
func (c *Controller) accept(in JobSubmitted) {
	if float64(c.admission.inFlight) >= max(minAdmissionQueue, c.writeRate()*admissionQueueTime.Seconds()) {
		// Further submissions would only stay queued until their users retry.
		c.refuse(in.Request, http.StatusServiceUnavailable, "too many submissions at once", c.nextRetryDelay())
		return
	}
	c.admission.inFlight++
	pending := &submission{request: in.Request, spec: in.Spec, startedAt: c.now}
	c.fleet.addTimer(c.now.Add(submitTimeout), func() {
		if !pending.answered {
			pending.answered = true
			c.refuseUnavailable(pending.request, "state service slow")
		}
	})
	id := in.Spec.ID
	c.commit(PriorityAdmission, wire.Transaction{
		If:   []wire.Condition{{Key: record.JobKey(id)}, {Key: record.CompletionKey(id)}},
		Then: []wire.Change{c.putChange(record.JobKey(id), record.Job{Spec: in.Spec, AcceptedAt: c.wall, AcceptedBy: c.membership.incarnation})},
	}, func(result CommitResult) { c.completeSubmission(pending, result.Outcome) })
}

func (c *Controller) completeSubmission(pending *submission, outcome Outcome) {
	spec := &pending.spec
	c.admission.inFlight--
	if outcome == Succeeded {
		c.metrics.count(countJobsAccepted, 1)
		c.metrics.observe(latencyAdmission, c.now.Sub(pending.startedAt))
		c.log.Debug("job accepted", "job_id", spec.ID, "team", spec.Team, "tasks", spec.Tasks)
	}
	if pending.answered {
		return
	}
	pending.answered = true
	switch outcome {
	case Succeeded:
		c.reply(pending.request, http.StatusCreated, wire.JobStatus{ID: spec.ID, Status: wire.StatusPending})
	case Conflict:
		c.replyToKnownJob(pending.request, spec.ID)
	default:
		c.refuseUnavailable(pending.request, reasonStoreUnavailable)
	}
}

// nextRetryDelay returns the delay after which a user whose submission cannot be taken now should
// retry. Retry times are spread at about the rate at which submissions can be written. With a
// common retry time, all users would retry at once and most would be refused again.
func (c *Controller) nextRetryDelay() time.Duration {
	c.admission.lastAdvisedRetry = max(c.admission.lastAdvisedRetry, c.now.Add(retryDelay)).Add(config.Seconds(1 / (c.writeRate() * retryOversubscription)))
	delay := c.admission.lastAdvisedRetry.Sub(c.now)
	if delay > maxRetryDelay {
		delay = maxRetryDelay - time.Duration(c.rand.Int64N(int64(maxRetryDelay/2)))
	}
	return delay
}

// checkFeasible returns an error that states why a job can never run, or nil if it can.
func (c *Controller) checkFeasible(spec *wire.JobSpec) error {
	team := c.teamSettings(spec.Team)
	if team == nil {
		return errUnknownTeam
	}
	simultaneousTasks := float64(spec.Tasks) // tasks that must run at the same time
	if spec.Shape == wire.ShapeArray {
		simultaneousTasks = 1
	}
	cpus, gpus := team.Limits()
	if simultaneousTasks*spec.Cores > cpus+limitTolerance || simultaneousTasks*spec.Accelerators > gpus+limitTolerance {
		return errAboveTeamLimit
	}
	spreads := spec.SpreadZones && spec.Tasks > 1 && spec.Shape != wire.ShapeArray
	if spreads && spec.SingleZone {
		return errSingleAndSpread
	}
	if spreads && spec.Zone != "" {
		return errSpreadInZone
	}
	switch zones := c.feasibleZones(spec); {
	case len(zones) == 0:
		return errNoMachineType
	case len(zones) == 1 && spreads:
		return errSpreadOverOneZone
	}
	return nil
}

// feasibleZones returns the zones in which the cloud offers machines that a task fits.
func (c *Controller) feasibleZones(spec *wire.JobSpec) map[string]bool {
	request := placement.NewRequest(spec)
	zones := map[string]bool{}
	for i := range c.provisioner.catalogue {
		machineType := &c.provisioner.catalogue[i]
		if !machineResources(machineType).Covers(request.Need) {
			continue
		}
		for _, zone := range machineType.Zones {
			host := &placement.Host{Labels: machineLabels(machineType.Name, zone, false)}
			if (placement.Fleet{host}).Holds(request.Enforced, spec.Team, host) {
				zones[zone] = true
			}
		}
	}
	return zones
}
