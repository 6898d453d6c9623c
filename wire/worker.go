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
	TaskPulling       TaskState = "pulling"
	TaskWaiting       TaskState = "waiting"
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "flushing"
	TaskExited        TaskState = "exited"
)

// Cause says why a task exited.
type Cause string

// The causes of exits.
const (
	CauseDone        Cause = "done"
	CauseStopped     Cause = "halted"
	CausePeerFailed  Cause = "peers"
	CauseGangTimeout Cause = "incomplete"
	CauseError       Cause = "error"
	CauseNoRoom      Cause = "no_room"
	CauseInUse       Cause = "in_use"
	CauseUnknown     Cause = "unknown"
)

// TaskStatus is one task in a worker's report.
type TaskStatus struct {
	Task         TaskID    `json:"load"`
	Attempt      Attempt   `json:"try"`
	State        TaskState `json:"status"`
	Cause        Cause     `json:"cause,omitempty"`
	Checkpointed bool      `json:"stored,omitempty"`
}

// Heartbeat is what a worker says of itself, in /hello, /do and /show.
type Heartbeat struct {
	Machine           MachineID    `json:"rig"`
	Addr              string       `json:"addr"`
	Type              string       `json:"rigtype"`
	Zone              string       `json:"yard"`
	Spot              bool         `json:"loaners"`
	AgentEpoch        AgentEpoch   `json:"shift"`
	Sequence          Sequence     `json:"tally"`
	Token             FencingToken `json:"baton"`
	PreemptionNoticeS *float64     `json:"recall_s,omitempty"`
	Tasks             []TaskStatus `json:"loads"`
}

// Newer reports whether r was made after o.
func (r *Heartbeat) Newer(o *Heartbeat) bool {
	return r.AgentEpoch > o.AgentEpoch || r.AgentEpoch == o.AgentEpoch && r.Sequence > o.Sequence
}

// ParseHeartbeat reads and checks a worker's report.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var r Heartbeat
	if err := fastjson.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if err := r.Check(); err != nil {
		return nil, err
	}
	return &r, nil
}

// Check reports what makes the report unusable, or nil.
func (r *Heartbeat) Check() error {
	switch {
	case r.Machine == "" || len(r.Machine) > maxName:
		return errors.New("report: bad rig")
	case r.Addr == "" || len(r.Addr) > maxName:
		return errors.New("report: bad addr")
	case r.Type == "" || r.Zone == "":
		return errors.New("report: no rigtype or yard")
	case r.AgentEpoch == 0:
		return errors.New("report: no shift")
	case r.PreemptionNoticeS != nil && (math.IsNaN(*r.PreemptionNoticeS) || *r.PreemptionNoticeS < -maxAmount || *r.PreemptionNoticeS > maxAmount):
		return errors.New("report: bad recall_s")
	}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		switch t.State {
		case TaskPulling, TaskWaiting, TaskRunning, TaskCheckpointing, TaskExited:
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

// Command is one command to a worker.
type Command struct {
	Verb         Verb     `json:"verb"`
	Task         TaskID   `json:"load"`
	Attempt      Attempt  `json:"try"`
	GracePeriodS *float64 `json:"windup_s,omitempty"`
}

// HeartbeatResponse answers /hello with 200.
type HeartbeatResponse struct {
	Token    FencingToken `json:"baton"`
	Commands []Command    `json:"orders"`
}

// Redirect answers /hello with 421; Foreman may be empty.
type Redirect struct {
	Controller string `json:"foreman,omitempty"`
}

// CommandRequest is the body of /do.
type CommandRequest struct {
	Token      FencingToken `json:"baton"`
	AgentEpoch AgentEpoch   `json:"shift"`
	Commands   []Command    `json:"orders"`
}
