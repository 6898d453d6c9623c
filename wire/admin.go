package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"

	"lilacrill/internal/apierror"
)

// The administration API is served under /admin/v1. Each controller builds a view from its
// own state.

// AdminView names a view of the administration API.
type AdminView string

// The views of the administration API.
const (
	ViewControllers AdminView = "controllers"
	ViewTeams       AdminView = "teams"
	ViewMachines    AdminView = "machines"
	ViewJobs        AdminView = "jobs"
	ViewSettings    AdminView = "settings"
	ViewMetrics     AdminView = "metrics"
	ViewRollout     AdminView = "rollout"
	ViewShards      AdminView = "shares"
)

// AdminViews lists all views.
var AdminViews = []AdminView{ViewControllers, ViewTeams, ViewMachines, ViewJobs, ViewSettings, ViewMetrics, ViewRollout, ViewShards}

// AdminController is an entry of ViewControllers: the state of one controller.
type AdminController struct {
	Label          string       `json:"label"`
	Incarnation    FencingToken `json:"boot"`
	Alive          bool         `json:"alive"`
	Provisioner    bool         `json:"buyer"`
	Self           bool         `json:"self"`
	StoreReachable bool         `json:"state_fresh"`
	// InboundOK is set if the answering controller recently received a message from this
	// controller. OutboundOK is set if this controller has acknowledged a message that the
	// answering one sent recently. Isolated is set if this controller reaches no workers, according
	// to its liveness record or, for the answering controller, its own state.
	InboundOK  bool         `json:"heard"`
	OutboundOK bool         `json:"hears"`
	Isolated   bool         `json:"deaf,omitempty"`
	Revision   Revision     `json:"ledger,omitempty"`
	Token      FencingToken `json:"baton,omitempty"`
	// The following fields are set only for the answering controller. StoreLagS is the time
	// since its cache was last current. CancellationLagS is the age of its knowledge of
	// cancellations, which comes from the state store or from its peers' watermarks.
	// RenewsLeases is set if that knowledge is recent enough to renew workers' leases.
	StoreLagS        float64 `json:"in_step_s,omitempty"`
	CancellationLagS float64 `json:"withdrawals_known_s,omitempty"`
	RenewsLeases     bool    `json:"answers_workers,omitempty"`
	// TimerLagS is how late the controller's timers fire. Timers are late if the process
	// gets too little processor time or was stalled.
	TimerLagS float64 `json:"late_s,omitempty"`
}

// AdminTeam is an entry of ViewTeams: a team's usage, quota guarantee and quota limit.
type AdminTeam struct {
	Name             string  `json:"name"`
	Owner            string  `json:"steward"`
	CPUsUsed         float64 `json:"cpus_used"`
	CPUsGuaranteed   float64 `json:"cpus"`
	CPUsMax          float64 `json:"cpus_max"`
	GPUsUsed         float64 `json:"gpus_used"`
	GPUsGuaranteed   float64 `json:"gpus"`
	GPUsMax          float64 `json:"gpus_max"`
	Jobs             int     `json:"jobs"`
	WaitingTasks     int     `json:"waiting_tasks"`
	PlacementPages   int     `json:"placement_pages"`
	PlacementBackoff bool    `json:"placement_paused"`
}

// AdminMachine is an entry of ViewMachines: the state of one machine.
type AdminMachine struct {
	ID                MachineID     `json:"id"`
	Type              string        `json:"rigtype"`
	Zone              string        `json:"yard"`
	Spot              bool          `json:"loaners"`
	Status            MachineStatus `json:"status"`
	SilentS           float64       `json:"silent_s"`
	Tasks             int           `json:"tasks"`
	TerminationReason string        `json:"doomed,omitempty"`
	Faulty            bool          `json:"faulty,omitempty"`
	ProvisioningLate  bool          `json:"late,omitempty"`     // the machine has not joined within the time expected
	Reserved          bool          `json:"reserved,omitempty"` // the machine is kept as headroom
	PreemptionNotice  bool          `json:"recalled,omitempty"`
}

// AdminJob is an entry of ViewJobs: a job that is not in a terminal status. Reason says why
// tasks are pending.
type AdminJob struct {
	ID       JobID    `json:"id"`
	Class    string   `json:"jobclass"`
	Team     string   `json:"crew"`
	Priority Priority `json:"rank"`
	Tasks    int      `json:"loads"`
	Done     int      `json:"done"`
	Placed   int      `json:"placed"`
	Waiting  int      `json:"waiting"`
	Reason   string   `json:"reason,omitempty"`
	// FailedOn is the number of machines on which tasks of the job failed since a task of the
	// job last succeeded. BackoffS is the time until tasks of the job are started again.
	FailedOn int     `json:"failed_on,omitempty"`
	BackoffS float64 `json:"paused_s,omitempty"`
}

// AdminSettings is the content of ViewSettings, and the body of a change: the operator settings with
// their version.
type AdminSettings struct {
	Version  Revision        `json:"version"`
	Settings json.RawMessage `json:"settings"`
}

// AdminMetrics is the content of ViewMetrics: counters since the controller started, and
// distributions of latencies in milliseconds.
type AdminMetrics struct {
	Counts map[string]uint64       `json:"counts"`
	Times  map[string]AdminLatency `json:"times_ms"`
}

// AdminLatency summarizes a histogram of latencies.
type AdminLatency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// AdminRollout is the content of ViewRollout: the format in force, and what blocks the next format.
type AdminRollout struct {
	Version Revision `json:"version"`
	Format  Format   `json:"format"`
	// Oldest and Newest are the formats that the answering controller reads.
	Oldest Format `json:"oldest"`
	Newest Format `json:"newest"`
	// Next is the format that is to be activated next, or 0 if there is none. Ready is set if no
	// controller blocks its activation.
	Next        Format                   `json:"next,omitempty"`
	Ready       bool                     `json:"ready"`
	Controllers []AdminRolloutController `json:"controllers"`
}

// AdminRolloutController is the state of one controller in a rollout. Oldest and Newest are
// the formats of its latest registered process, or 0 if none has registered.
type AdminRolloutController struct {
	Label       string       `json:"label"`
	Alive       bool         `json:"alive"`
	Incarnation FencingToken `json:"boot,omitempty"`
	Oldest      Format       `json:"oldest,omitempty"`
	Newest      Format       `json:"newest,omitempty"`
	Release     string       `json:"release,omitempty"`
	Blocks      string       `json:"blocks,omitempty"`   // why the controller blocks the next format
	Excluded    string       `json:"excluded,omitempty"` // why an operator excluded the controller
}

// AdminRolloutChange requests exactly one change of the rollout: activate a format, exclude a
// controller that is down, with a reason, or include an excluded controller again.
type AdminRolloutChange struct {
	Version  Revision `json:"version"`
	Activate *Format  `json:"activate,omitempty"`
	Exclude  string   `json:"exclude,omitempty"`
	Reason   string   `json:"reason,omitempty"`
	Include  string   `json:"include,omitempty"`
}

// ParseAdminRolloutChange decodes and checks a change. Its error is an *apierror.FieldError.
func ParseAdminRolloutChange(body []byte) (AdminRolloutChange, error) {
	var change AdminRolloutChange
	if err := decodeStrict(body, &change); err != nil {
		return change, err
	}
	switch {
	case countTrue(change.Activate != nil, change.Exclude != "", change.Include != "") != 1:
		return change, apierror.Field("activate, exclude, include", "want exactly one of them")
	case change.Reason != "" && change.Exclude == "":
		return change, apierror.Field("reason", "goes with exclude only")
	}
	return change, nil
}

// countTrue returns how many of the values are true.
func countTrue(values ...bool) int {
	count := 0
	for _, value := range values {
		if value {
			count++
		}
	}
	return count
}

// decodeStrict decodes a JSON object and rejects fields that the target does not have, so that
// an operator who misspells a field gets an error.
func decodeStrict(body []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	var typeErr *json.UnmarshalTypeError
	switch {
	case err == nil && decoder.More():
		return apierror.Field("body", "want one JSON object")
	case err == nil:
		return nil
	case errors.As(err, &typeErr) && typeErr.Field != "":
		return apierror.Field(typeErr.Field, "wrong type")
	}
	// encoding/json has no type for this error.
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return apierror.Field(strings.Trim(name, `"`), "no such field")
	}
	return apierror.Field("body", "want a JSON object")
}
