package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
)

// MaxTasks is the largest number of tasks a job may have.
const MaxTasks = 100_000

// MaxBody is the largest request body the protocol allows.
const MaxBody = 64 << 10

// Shape says how a job's tasks depend on one another.
type Shape string

// The shapes of jobs.
const (
	ShapeArray   Shape = "batch"
	ShapeGang    Shape = "group"
	ShapeService Shape = "daemon"
)

// Priority is a job's priority.
type Priority string

// The ranks, most urgent first.
const (
	PriorityCritical   Priority = "critical"
	PriorityHigh       Priority = "high"
	PriorityNormal     Priority = "normal"
	PriorityBestEffort Priority = "best_effort"
)

// Level gives 0 to the most urgent rank and rises from there.
func (r Priority) Level() int {
	switch r {
	case PriorityCritical:
		return 0
	case PriorityHigh:
		return 1
	case PriorityNormal:
		return 2
	}
	return 3
}

// JobSpec is a job as a user submits it.
type JobSpec struct {
	ID                  JobID    `json:"id"`
	Class               string   `json:"jobclass"`
	Team                string   `json:"crew"`
	Shape               Shape    `json:"shape"`
	Priority            Priority `json:"rank"`
	Tasks               int      `json:"loads"`
	Cores               float64  `json:"cores"`
	Accelerators        float64  `json:"accelerators"`
	MemGB               float64  `json:"mem_gb"`
	Image               string   `json:"kit"`
	ImageGB             float64  `json:"size_gb"`
	Types               []string `json:"rigtypes,omitempty"`
	Zone                string   `json:"yard,omitempty"`
	SingleZone          bool     `json:"together,omitempty"`
	SpreadZones         bool     `json:"apart,omitempty"`
	Spot                bool     `json:"loaners,omitempty"`
	RuntimeS            float64  `json:"runtime_s"`
	CheckpointIntervalS float64  `json:"savepoint_s,omitempty"`
	CheckpointSaveS     float64  `json:"stash_s,omitempty"`
	DeadlineS           float64  `json:"due_s,omitempty"`
}

// jobSubmission mirrors JobSpec with pointers, so that a missing field is told
// from a zero one.
type jobSubmission struct {
	ID                  *JobID    `json:"id"`
	Class               *string   `json:"jobclass"`
	Team                *string   `json:"crew"`
	Shape               *Shape    `json:"shape"`
	Priority            *Priority `json:"rank"`
	Tasks               *int      `json:"loads"`
	Cores               *float64  `json:"cores"`
	Accelerators        *float64  `json:"accelerators"`
	MemGB               *float64  `json:"mem_gb"`
	Image               *string   `json:"kit"`
	ImageGB             *float64  `json:"size_gb"`
	Types               *[]string `json:"rigtypes"`
	Zone                *string   `json:"yard"`
	SingleZone          *bool     `json:"together"`
	SpreadZones         *bool     `json:"apart"`
	Spot                *bool     `json:"loaners"`
	RuntimeS            *float64  `json:"runtime_s"`
	CheckpointIntervalS *float64  `json:"savepoint_s"`
	CheckpointSaveS     *float64  `json:"stash_s"`
	DeadlineS           *float64  `json:"due_s"`
}

// Bounds of what a submission may say; beyond them it is a mistake.
const (
	maxAmount = 1e9
	maxName   = 100
	maxTypes  = 64
)

// ParseJob reads and checks a submission. Its error names the field at fault.
func ParseJob(body []byte) (JobSpec, error) {
	var s jobSubmission
	if len(body) == 0 || firstByte(body) != '{' {
		return JobSpec{}, errors.New("body: want a JSON object")
	}
	if err := json.Unmarshal(body, &s); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return JobSpec{}, fmt.Errorf("%s: wrong type or out of range", typeErr.Field)
		}
		return JobSpec{}, errors.New("body: not JSON")
	}
	var bad error
	fail := func(field, why string) {
		if bad == nil {
			bad = fmt.Errorf("%s: %s", field, why)
		}
	}
	text := func(field string, p *string) string {
		if p == nil {
			fail(field, "missing")
			return ""
		}
		if *p == "" || len(*p) > maxName {
			fail(field, "want 1 to 100 bytes")
		}
		return *p
	}
	amount := func(field string, p *float64) float64 {
		if p == nil {
			fail(field, "missing")
			return 0
		}
		if !(*p >= 0 && *p <= maxAmount) || math.IsNaN(*p) {
			fail(field, "out of range")
		}
		return *p
	}
	flag := func(field string, p *bool) bool {
		if p == nil {
			fail(field, "missing")
			return false
		}
		return *p
	}
	var j JobSpec
	switch {
	case s.ID == nil:
		fail("id", "missing")
	case !s.ID.Valid():
		fail("id", "want wk-NUMBER")
	default:
		j.ID = *s.ID
	}
	j.Class = text("jobclass", s.Class)
	j.Team = text("crew", s.Team)
	switch {
	case s.Shape == nil:
		fail("shape", "missing")
	case *s.Shape != ShapeArray && *s.Shape != ShapeGang && *s.Shape != ShapeService:
		fail("shape", "want batch, group or daemon")
	default:
		j.Shape = *s.Shape
	}
	switch {
	case s.Priority == nil:
		fail("rank", "missing")
	case *s.Priority != PriorityCritical && *s.Priority != PriorityHigh && *s.Priority != PriorityNormal && *s.Priority != PriorityBestEffort:
		fail("rank", "want critical, high, normal or best_effort")
	default:
		j.Priority = *s.Priority
	}
	switch {
	case s.Tasks == nil:
		fail("loads", "missing")
	case *s.Tasks < 1 || *s.Tasks > MaxTasks:
		fail("loads", "want 1 to 100000")
	default:
		j.Tasks = *s.Tasks
	}
	j.Cores = amount("cores", s.Cores)
	j.Accelerators = amount("accelerators", s.Accelerators)
	j.MemGB = amount("mem_gb", s.MemGB)
	j.Image = text("kit", s.Image)
	j.ImageGB = amount("size_gb", s.ImageGB)
	if s.Types != nil {
		if len(*s.Types) == 0 || len(*s.Types) > maxTypes {
			fail("rigtypes", "want null or 1 to 64 names")
		}
		for i := range *s.Types {
			text("rigtypes", &(*s.Types)[i])
		}
		j.Types = *s.Types
	}
	if s.Zone != nil {
		j.Zone = text("yard", s.Zone)
	}
	j.SingleZone = flag("together", s.SingleZone)
	j.SpreadZones = flag("apart", s.SpreadZones)
	j.Spot = flag("loaners", s.Spot)
	j.RuntimeS = amount("runtime_s", s.RuntimeS)
	j.CheckpointIntervalS = amount("savepoint_s", s.CheckpointIntervalS)
	j.CheckpointSaveS = amount("stash_s", s.CheckpointSaveS)
	if s.DeadlineS != nil {
		j.DeadlineS = amount("due_s", s.DeadlineS)
	}
	return j, bad
}

func firstByte(b []byte) byte {
	for _, c := range b {
		if c != ' ' && c != '\t' && c != '\n' && c != '\r' {
			return c
		}
	}
	return 0
}

// Status is what a user is told of a job.
type Status string

// The statuses of jobs.
const (
	StatusPending   Status = "pending"
	StatusRunning   Status = "running"
	StatusDone      Status = "done"
	StatusCancelled Status = "withdrawn"
)

// IsTerminal reports whether the status never changes again.
func (s Status) IsTerminal() bool { return s == StatusDone || s == StatusCancelled }

// JobStatus answers a submission, a poll or a cancellation.
type JobStatus struct {
	ID      JobID  `json:"id"`
	Status  Status `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// ErrorResponse says why a request was refused.
type ErrorResponse struct {
	Error string `json:"error"`
}
