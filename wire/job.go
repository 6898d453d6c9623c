package wire

import (
	"encoding/json"
	"errors"
	"math"
	"slices"

	"lilacrill/internal/apierror"
)

// jobSubmission mirrors JobSpec with pointers, to distinguish a missing field from a zero value.
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

// Upper bounds of fields of submissions and heartbeats. A larger value is considered a mistake.
const (
	maxAmount       = 1e9 // of resources, and of times in seconds
	maxNameBytes    = 100
	maxMachineTypes = 64
)

// ParseJob decodes and checks a submission. Its error is an *apierror.FieldError for the first
// invalid field, in the order of the fields of JobSpec.
func ParseJob(body []byte) (JobSpec, error) {
	submission, err := decodeSubmission(body)
	if err != nil {
		return JobSpec{}, err
	}
	var checker submissionChecker
	spec := JobSpec{
		ID:                  checker.jobID("id", submission.ID),
		Class:               checker.text("jobclass", submission.Class),
		Team:                checker.text("crew", submission.Team),
		Shape:               oneOf(&checker, "shape", submission.Shape, shapes, "want batch, group or daemon"),
		Priority:            oneOf(&checker, "rank", submission.Priority, priorities, "want critical, high, normal or best_effort"),
		Tasks:               checker.taskCount("loads", submission.Tasks),
		Cores:               checker.amount("cores", submission.Cores),
		Accelerators:        checker.amount("accelerators", submission.Accelerators),
		MemGB:               checker.amount("mem_gb", submission.MemGB),
		Image:               checker.text("kit", submission.Image),
		ImageGB:             checker.amount("size_gb", submission.ImageGB),
		Types:               checker.machineTypes("rigtypes", submission.Types),
		Zone:                checker.optionalText("yard", submission.Zone),
		SingleZone:          checker.flag("together", submission.SingleZone),
		SpreadZones:         checker.flag("apart", submission.SpreadZones),
		Spot:                checker.flag("loaners", submission.Spot),
		RuntimeS:            checker.amount("runtime_s", submission.RuntimeS),
		CheckpointIntervalS: checker.amount("savepoint_s", submission.CheckpointIntervalS),
		CheckpointSaveS:     checker.amount("stash_s", submission.CheckpointSaveS),
		DeadlineS:           checker.optionalAmount("due_s", submission.DeadlineS),
	}
	if checker.firstError != nil {
		return JobSpec{}, checker.firstError
	}
	return spec, nil
}

// decodeSubmission decodes a JSON object. It ignores unknown fields, so that newer clients may
// send additional ones.
func decodeSubmission(body []byte) (*jobSubmission, error) {
	if firstByte(body) != '{' {
		return nil, apierror.Field("body", "want a JSON object")
	}
	var submission jobSubmission
	if err := json.Unmarshal(body, &submission); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return nil, apierror.Field(typeErr.Field, "wrong type or out of range")
		}
		return nil, apierror.Field("body", "not JSON")
	}
	return &submission, nil
}

// submissionChecker checks the fields of a submission one by one and keeps the first error. The
// values that its methods return are only meaningful if there is no error.
type submissionChecker struct {
	firstError error
}

// fail records an error for the field unless there is an earlier one.
func (c *submissionChecker) fail(field, format string, args ...any) {
	if c.firstError == nil {
		c.firstError = apierror.Field(field, format, args...)
	}
}

// required returns the value of a field. If the field is missing, required records an error and
// returns the zero value.
func required[T any](c *submissionChecker, field string, value *T) (_ T, given bool) {
	if value == nil {
		c.fail(field, "missing")
		var zero T
		return zero, false
	}
	return *value, true
}

// oneOf checks a required field that allows only the given values.
func oneOf[T comparable](c *submissionChecker, field string, value *T, allowed []T, reason string) T {
	v, given := required(c, field, value)
	if given && !slices.Contains(allowed, v) {
		c.fail(field, "%s", reason)
	}
	return v
}

func (c *submissionChecker) jobID(field string, value *JobID) JobID {
	id, given := required(c, field, value)
	if given && !id.Valid() {
		c.fail(field, "want wk-NUMBER")
	}
	return id
}

func (c *submissionChecker) taskCount(field string, value *int) int {
	count, given := required(c, field, value)
	if given && (count < 1 || count > MaxTasks) {
		c.fail(field, "want 1 to %d", MaxTasks)
	}
	return count
}

func (c *submissionChecker) text(field string, value *string) string {
	text, given := required(c, field, value)
	if given && (text == "" || len(text) > maxNameBytes) {
		c.fail(field, "want 1 to %d bytes", maxNameBytes)
	}
	return text
}

func (c *submissionChecker) optionalText(field string, value *string) string {
	if value == nil {
		return ""
	}
	return c.text(field, value)
}

func (c *submissionChecker) amount(field string, value *float64) float64 {
	amount, given := required(c, field, value)
	if given && (math.IsNaN(amount) || amount < 0 || amount > maxAmount) {
		c.fail(field, "out of range")
	}
	return amount
}

func (c *submissionChecker) optionalAmount(field string, value *float64) float64 {
	if value == nil {
		return 0
	}
	return c.amount(field, value)
}

func (c *submissionChecker) flag(field string, value *bool) bool {
	flag, _ := required(c, field, value)
	return flag
}

// machineTypes checks an optional list of names of machine types.
func (c *submissionChecker) machineTypes(field string, value *[]string) []string {
	if value == nil {
		return nil
	}
	if len(*value) == 0 || len(*value) > maxMachineTypes {
		c.fail(field, "want null or 1 to %d names", maxMachineTypes)
	}
	for i := range *value {
		c.text(field, &(*value)[i])
	}
	return *value
}

// firstByte returns the first byte that is not white space, or 0 if there is none.
func firstByte(text []byte) byte {
	for _, c := range text {
		if c != ' ' && c != '\t' && c != '\n' && c != '\r' {
			return c
		}
	}
	return 0
}
