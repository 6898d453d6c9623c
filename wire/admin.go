package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// The administration API, under /admin/v1. Each view is answered by whatever
// controller is asked, as it sees things.

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
	// HeardFrom says that the controller that was asked hears it, Hears that it hears
	// that one, and Isolated that it reaches no workers, by its own word.
	HeardFrom bool         `json:"heard"`
	HearsUs   bool         `json:"hears"`
	Isolated  bool         `json:"deaf,omitempty"`
	Revision  Revision     `json:"ledger,omitempty"`
	Token     FencingToken `json:"baton,omitempty"`
	// Of the controller that was asked: for how long it has not been in step with
	// the state service, the age of what it knows of withdrawals, by the service or
	// by its siblings' word, and whether it answers workers on that ground.
	StoreLagS        float64 `json:"in_step_s,omitempty"`
	CancellationLagS float64 `json:"withdrawals_known_s,omitempty"`
	RenewsLeases     bool    `json:"answers_workers,omitempty"`
	// TimerLagS is how late its timers fire of late: its share is too small, or it stood
	// still.
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
	ProvisioningLate  bool          `json:"late,omitempty"` // it should be up by now
	Reserved          bool          `json:"reserved,omitempty"`
	PreemptionNotice  bool          `json:"recalled,omitempty"`
}

// AdminJob is one job that is not over, with the reason why tasks wait.
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
	// FailedOn is on how many machines its tasks failed since one went well, and
	// BackoffS for how long it is not tried again.
	FailedOn int     `json:"failed_on,omitempty"`
	BackoffS float64 `json:"paused_s,omitempty"`
}

// AdminSettings is the operators' settings with their version.
type AdminSettings struct {
	Version  Revision        `json:"version"`
	Settings json.RawMessage `json:"settings"`
}

// AdminMetrics is counts since the controller started, and the distribution of
// times in milliseconds.
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

// AdminRollout is which format is in force, and what the next one waits for.
type AdminRollout struct {
	Version Revision `json:"version"`
	Format  Format   `json:"format"`
	// Oldest and Newest are what the controller that was asked reads.
	Oldest Format `json:"oldest"`
	Newest Format `json:"newest"`
	// Next is the format that could come next, if there is one, and Ready says that
	// nobody holds it up.
	Next        Format                   `json:"next,omitempty"`
	Ready       bool                     `json:"ready"`
	Controllers []AdminRolloutController `json:"controllers"`
}

// AdminRolloutController is one controller in a rollout. Its formats are those that
// its latest process registered, if any did.
type AdminRolloutController struct {
	Label       string       `json:"label"`
	Alive       bool         `json:"alive"`
	Incarnation FencingToken `json:"boot,omitempty"`
	Oldest      Format       `json:"oldest,omitempty"`
	Newest      Format       `json:"newest,omitempty"`
	Release     string       `json:"release,omitempty"`
	Blocks      string       `json:"blocks,omitempty"` // why the next format waits for it
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

// ParseAdminRolloutChange reads and checks a change. Its error names the field.
func ParseAdminRolloutChange(body []byte) (AdminRolloutChange, error) {
	var c AdminRolloutChange
	if err := decodeStrict(body, &c); err != nil {
		return c, err
	}
	asked := 0
	for _, is := range []bool{c.Activate != nil, c.Exclude != "", c.Include != ""} {
		if is {
			asked++
		}
	}
	switch {
	case asked != 1:
		return c, errors.New("activate, exclude, include: want exactly one of them")
	case c.Reason != "" && c.Exclude == "":
		return c, errors.New("reason: goes with exclude only")
	}
	return c, nil
}

// decodeStrict reads a JSON object and refuses fields that v does not have.
func decodeStrict(body []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	var typeErr *json.UnmarshalTypeError
	switch {
	case err == nil && decoder.More():
		return errors.New("body: want one JSON object")
	case err == nil:
		return nil
	case errors.As(err, &typeErr) && typeErr.Field != "":
		return fmt.Errorf("%s: wrong type", typeErr.Field)
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return fmt.Errorf("%s: no such field", strings.Trim(name, `"`))
	}
	return errors.New("body: want a JSON object")
}
