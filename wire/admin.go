package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"

	"lilacrill/internal/apierror"
)

// The administration API, under /admin/v1. Each controller answers a view from what it
// knows itself.

// AdminView names a view of the administration API.
type AdminView string

// The views.
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

// AdminViews lists the views.
var AdminViews = []AdminView{ViewControllers, ViewTeams, ViewMachines, ViewJobs, ViewSettings, ViewMetrics, ViewRollout, ViewShards}

// AdminController is one controller.
type AdminController struct {
	Label          string       `json:"label"`
	Incarnation    FencingToken `json:"boot"`
	Alive          bool         `json:"alive"`
	Provisioner    bool         `json:"buyer"`
	Self           bool         `json:"self"`
	StoreReachable bool         `json:"state_fresh"`
	// InboundOK says that the answering controller receives its messages, HearsUs that it
	// receives the answering one's, and Isolated that it reports to reach no workers.
	InboundOK  bool         `json:"heard"`
	OutboundOK bool         `json:"hears"`
	Isolated   bool         `json:"deaf,omitempty"`
	Revision   Revision     `json:"ledger,omitempty"`
	Token      FencingToken `json:"baton,omitempty"`
	// Only of the answering controller: for how long its cache has not been current, the
	// age of what it knows of cancellations, from the state store or its siblings'
	// watermarks, and whether that is recent enough to renew workers' leases.
	StoreLagS        float64 `json:"in_step_s,omitempty"`
	CancellationLagS float64 `json:"withdrawals_known_s,omitempty"`
	RenewsLeases     bool    `json:"answers_workers,omitempty"`
	// TimerLagS is how late its timers fire: its share of a processor is too small, or it
	// stalled.
	TimerLagS float64 `json:"late_s,omitempty"`
}

// AdminTeam is a team's usage against its guarantee and its limit.
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

// AdminMachine is one machine.
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
	ProvisioningLate  bool          `json:"late,omitempty"` // it should have joined by now
	Reserved          bool          `json:"reserved,omitempty"`
	PreemptionNotice  bool          `json:"recalled,omitempty"`
}

// AdminJob is one job that is not over, with the reason why tasks are pending.
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
	// FailedOn is on how many machines its tasks failed since one succeeded, and
	// BackoffS for how long none is started.
	FailedOn int     `json:"failed_on,omitempty"`
	BackoffS float64 `json:"paused_s,omitempty"`
}

// AdminSettings is the operators' settings with their version.
type AdminSettings struct {
	Version  Revision        `json:"version"`
	Settings json.RawMessage `json:"settings"`
}

// AdminMetrics has counts since the controller started, and distributions of times in
// milliseconds.
type AdminMetrics struct {
	Counts map[string]uint64       `json:"counts"`
	Times  map[string]AdminLatency `json:"times_ms"`
}

// AdminLatency sums up a histogram.
type AdminLatency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// AdminRollout is the format in force, and what blocks the next one.
type AdminRollout struct {
	Version Revision `json:"version"`
	Format  Format   `json:"format"`
	// Oldest and Newest are the formats that the answering controller reads.
	Oldest Format `json:"oldest"`
	Newest Format `json:"newest"`
	// Next is the format that could come next, if there is one, and Ready says that no
	// controller blocks it.
	Next        Format                   `json:"next,omitempty"`
	Ready       bool                     `json:"ready"`
	Controllers []AdminRolloutController `json:"controllers"`
}

// AdminRolloutController is one controller in a rollout. Its formats are those of its
// latest process that registered, if any did.
type AdminRolloutController struct {
	Label       string       `json:"label"`
	Alive       bool         `json:"alive"`
	Incarnation FencingToken `json:"boot,omitempty"`
	Oldest      Format       `json:"oldest,omitempty"`
	Newest      Format       `json:"newest,omitempty"`
	Release     string       `json:"release,omitempty"`
	Blocks      string       `json:"blocks,omitempty"` // why it blocks the next format
	Excluded    string       `json:"excluded,omitempty"`
}

// AdminRolloutChange asks for exactly one of: a format to be activated, a controller
// that is down to be excluded, for a reason, or an exclusion to be taken back.
type AdminRolloutChange struct {
	Version  Revision `json:"version"`
	Activate *Format  `json:"activate,omitempty"`
	Exclude  string   `json:"exclude,omitempty"`
	Reason   string   `json:"reason,omitempty"`
	Include  string   `json:"include,omitempty"`
}

// ParseAdminRolloutChange decodes and checks a change. Its error is a *apierror.FieldError.
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

func countTrue(values ...bool) int {
	count := 0
	for _, value := range values {
		if value {
			count++
		}
	}
	return count
}

// decodeStrict decodes a JSON object and refuses fields that the target does not have: the
// senders are operators, who should learn of a misspelt one.
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
