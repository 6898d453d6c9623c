package wire

import (
	"errors"
	"fmt"
	"math"

	"lilacrill/internal/fastjson"
)

// TaskState is the state of a task on its machine.
type TaskState string

// The states of tasks.
const (
	TaskPulling       TaskState = "pulling"
	TaskWaiting       TaskState = "waiting"
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "flushing"
	TaskExited        TaskState = "exited"
)

// Cause is the cause of a task exit.
type Cause string

// The causes of task exits.
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

// TaskStatus is the status of one task in a heartbeat.
type TaskStatus struct {
	Task         TaskID    `json:"load"`
	Attempt      Attempt   `json:"try"`
	State        TaskState `json:"status"`
	Cause        Cause     `json:"cause,omitempty"`
	Checkpointed bool      `json:"stored,omitempty"`
}

// Heartbeat is the status of a worker. Workers send it in POST /hello and in their responses to
// /do and /show.
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

// Newer reports whether the worker created h after other.
func (h *Heartbeat) Newer(other *Heartbeat) bool {
	return h.AgentEpoch > other.AgentEpoch || h.AgentEpoch == other.AgentEpoch && h.Sequence > other.Sequence
}

// ParseHeartbeat decodes and checks a heartbeat.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var heartbeat Heartbeat
	if err := fastjson.Unmarshal(body, &heartbeat); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if err := heartbeat.Check(); err != nil {
		return nil, err
	}
	return &heartbeat, nil
}

// Check returns an error that says why the heartbeat is invalid, or nil.
func (h *Heartbeat) Check() error {
	switch {
	case h.Machine == "" || len(h.Machine) > maxNameBytes:
		return errors.New("report: bad rig")
	case h.Addr == "" || len(h.Addr) > maxNameBytes:
		return errors.New("report: bad addr")
	case h.Type == "" || h.Zone == "":
		return errors.New("report: no rigtype or yard")
	case h.AgentEpoch == 0:
		return errors.New("report: no shift")
	case h.PreemptionNoticeS != nil && (math.IsNaN(*h.PreemptionNoticeS) || *h.PreemptionNoticeS < -maxAmount || *h.PreemptionNoticeS > maxAmount):
		return errors.New("report: bad recall_s")
	}
	for i := range h.Tasks {
		task := &h.Tasks[i]
		switch task.State {
		case TaskPulling, TaskWaiting, TaskRunning, TaskCheckpointing, TaskExited:
		default:
			return fmt.Errorf("report: task state %q", task.State)
		}
		if task.Task.Job == "" {
			return errors.New("report: task without a name")
		}
	}
	return nil
}

// Verb is the action that a command requests from a worker.
type Verb string

// The verbs of commands. VerbClear requests the cleanup of an exited task.
const (
	VerbLaunch Verb = "launch"
	VerbStop   Verb = "stop"
	VerbClear  Verb = "clear"
)

// Command is one command to a worker. GracePeriodS is the time that a task that is stopped may take
// to exit.
type Command struct {
	Verb         Verb     `json:"verb"`
	Task         TaskID   `json:"load"`
	Attempt      Attempt  `json:"try"`
	GracePeriodS *float64 `json:"windup_s,omitempty"`
}

// HeartbeatResponse answers POST /hello with status 200.
type HeartbeatResponse struct {
	Token    FencingToken `json:"baton"`
	Commands []Command    `json:"orders"`
}

// Redirect answers POST /hello with status 421. Controller, if set, is the controller to which the
// worker is to send its heartbeats.
type Redirect struct {
	Controller string `json:"foreman,omitempty"`
}

// CommandRequest is the body of /do requests.
type CommandRequest struct {
	Token      FencingToken `json:"baton"`
	AgentEpoch AgentEpoch   `json:"shift"`
	Commands   []Command    `json:"orders"`
}
