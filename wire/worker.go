package wire

import (
	"errors"
	"fmt"
	"math"

	"lilacrill/internal/fastjson"
)

// TaskState is a task's state on its machine.
type TaskState string

// The states of tasks.
const (
	TaskPulling  TaskState = "pulling"
	TaskWaiting  TaskState = "waiting"
	TaskRunning  TaskState = "running"
	TaskFlushing TaskState = "flushing"
	TaskExited   TaskState = "exited"
)

// Cause says why a task exited.
type Cause string

// The causes of exits.
const (
	CauseDone       Cause = "done"
	CauseHalted     Cause = "halted"
	CausePeers      Cause = "peers"
	CauseIncomplete Cause = "incomplete"
	CauseError      Cause = "error"
	CauseNoRoom     Cause = "no_room"
	CauseInUse      Cause = "in_use"
	CauseUnknown    Cause = "unknown"
)

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Task    TaskID    `json:"load"`
	Attempt Attempt   `json:"try"`
	State   TaskState `json:"status"`
	Cause   Cause     `json:"cause,omitempty"`
	Stored  bool      `json:"stored,omitempty"`
}

// Report is what a worker says of itself, in /hello, /do and /show.
type Report struct {
	Machine  MachineID    `json:"rig"`
	Addr     string       `json:"addr"`
	Type     string       `json:"rigtype"`
	Zone     string       `json:"yard"`
	Spot     bool         `json:"loaners"`
	Session  Session      `json:"shift"`
	Sequence Sequence     `json:"tally"`
	Token    FencingToken `json:"baton"`
	RecallS  *float64     `json:"recall_s,omitempty"`
	Tasks    []TaskReport `json:"loads"`
}

// Newer reports whether r was made after o.
func (r *Report) Newer(o *Report) bool {
	return r.Session > o.Session || r.Session == o.Session && r.Sequence > o.Sequence
}

// ParseReport reads and checks a worker's report.
func ParseReport(body []byte) (*Report, error) {
	var r Report
	if err := fastjson.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if err := r.Check(); err != nil {
		return nil, err
	}
	return &r, nil
}

// Check reports what makes the report unusable, or nil.
func (r *Report) Check() error {
	switch {
	case r.Machine == "" || len(r.Machine) > maxName:
		return errors.New("report: bad rig")
	case r.Addr == "" || len(r.Addr) > maxName:
		return errors.New("report: bad addr")
	case r.Type == "" || r.Zone == "":
		return errors.New("report: no rigtype or yard")
	case r.Session == 0:
		return errors.New("report: no shift")
	case r.RecallS != nil && (math.IsNaN(*r.RecallS) || *r.RecallS < -maxAmount || *r.RecallS > maxAmount):
		return errors.New("report: bad recall_s")
	}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		switch t.State {
		case TaskPulling, TaskWaiting, TaskRunning, TaskFlushing, TaskExited:
		default:
			return fmt.Errorf("report: task state %q", t.State)
		}
		if t.Task.Job == "" {
			return errors.New("report: task without a name")
		}
	}
	return nil
}

// Verb is what an order tells a worker to do.
type Verb string

// The verbs of orders.
const (
	VerbLaunch Verb = "launch"
	VerbStop   Verb = "stop"
	VerbClear  Verb = "clear"
)

// Order is one command to a worker.
type Order struct {
	Verb    Verb     `json:"verb"`
	Task    TaskID   `json:"load"`
	Attempt Attempt  `json:"try"`
	WindupS *float64 `json:"windup_s,omitempty"`
}

// ReportAnswer answers /hello with 200.
type ReportAnswer struct {
	Token  FencingToken `json:"baton"`
	Orders []Order      `json:"orders"`
}

// Redirect answers /hello with 421; Foreman may be empty.
type Redirect struct {
	Foreman string `json:"foreman,omitempty"`
}

// DoRequest is the body of /do.
type DoRequest struct {
	Token   FencingToken `json:"baton"`
	Session Session      `json:"shift"`
	Orders  []Order      `json:"orders"`
}
