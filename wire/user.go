package wire

// MaxTasks is the maximum number of tasks of a job.
const MaxTasks = 100_000

// MaxBody is the maximum size of a request body, in bytes.
const MaxBody = 64 << 10

// Shape is the kind of a job, which determines how its tasks depend on one another.
type Shape string

// The shapes of jobs: array, gang and service jobs.
const (
	ShapeArray   Shape = "batch"
	ShapeGang    Shape = "group"
	ShapeService Shape = "daemon"
)

// shapes lists the shapes that the protocol allows.
var shapes = []Shape{ShapeArray, ShapeGang, ShapeService}

// Priority is the priority of a job.
type Priority string

// The priorities, most urgent first.
const (
	PriorityCritical   Priority = "critical"
	PriorityHigh       Priority = "high"
	PriorityNormal     Priority = "normal"
	PriorityBestEffort Priority = "best_effort"
)

// priorities lists the priorities that the protocol allows, most urgent first.
var priorities = []Priority{PriorityCritical, PriorityHigh, PriorityNormal, PriorityBestEffort}

// Level returns the rank of the priority, from 0 for the most urgent to 3 for the least urgent.
// Values that the protocol does not allow count as best effort.
func (p Priority) Level() int {
	switch p {
	case PriorityCritical:
		return 0
	case PriorityHigh:
		return 1
	case PriorityNormal:
		return 2
	}
	return 3
}

// JobSpec is a job as a user submits it. Amounts and times are those of one task, except that
// DeadlineS counts from the acceptance of the job. Times are in seconds.
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

// Status is the status of a job as reported to users.
type Status string

// The statuses of jobs.
const (
	StatusPending   Status = "pending"
	StatusRunning   Status = "running"
	StatusDone      Status = "done"
	StatusCancelled Status = "withdrawn"
)

// IsTerminal reports whether the status is final.
func (s Status) IsTerminal() bool { return s == StatusDone || s == StatusCancelled }

// JobStatus answers a submission, a poll or a cancellation. Done and Running are numbers of tasks.
type JobStatus struct {
	ID      JobID  `json:"id"`
	Status  Status `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// ErrorResponse is the body of a response that rejects a request.
type ErrorResponse struct {
	Error string `json:"error"`
}
