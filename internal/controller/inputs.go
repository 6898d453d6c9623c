package controller

import "lilacrill/wire"

// RequestID identifies a request whose sender waits for a [Reply].
type RequestID uint64

// Input is an event that the controller handles (see [Controller.Step]).
type Input interface{ isInput() }

// requestInput is an input whose sender waits for a [Reply].
type requestInput interface{ requestID() RequestID }

// The inputs.
type (
	// Tick reports that time has passed, and the load of the process. It is due every
	// [TickInterval].
	Tick struct{ Load ProcessLoad }

	// JobSubmitted is a user's submission of a job whose syntax has been checked.
	JobSubmitted struct {
		Request RequestID
		Spec    wire.JobSpec
	}
	// JobPolled is a user's request for a job's status.
	JobPolled struct {
		Request RequestID
		Job     wire.JobID
	}
	// CancelRequested is a user's request to cancel a job.
	CancelRequested struct {
		Request RequestID
		Job     wire.JobID
	}
	// HeartbeatReceived is a heartbeat that a worker sent to this controller.
	HeartbeatReceived struct {
		Request   RequestID
		Heartbeat *wire.Heartbeat
	}
	// CallCompleted holds the result of a call that an earlier output requested.
	CallCompleted struct {
		Call   CallID
		Result Result
	}
	// ViewRequested is an operator's request for an administrative view.
	ViewRequested struct {
		Request RequestID
		View    wire.AdminView
	}
	// SettingsChangeRequested is an operator's request to change the stored settings.
	SettingsChangeRequested struct {
		Request RequestID
		Change  wire.AdminSettings
	}
	// RolloutChangeRequested is an operator's request to change the rollout of a format.
	RolloutChangeRequested struct {
		Request RequestID
		Change  wire.AdminRolloutChange
	}
	// ShardChangeRequested is an operator's request to change the shards.
	ShardChangeRequested struct {
		Request RequestID
		Change  wire.AdminShardChange
	}
	// PeerMessageReceived is a message from another controller.
	PeerMessageReceived struct {
		Message *wire.PeerMessage
	}
)

func (Tick) isInput()                    {}
func (JobSubmitted) isInput()            {}
func (JobPolled) isInput()               {}
func (CancelRequested) isInput()         {}
func (HeartbeatReceived) isInput()       {}
func (CallCompleted) isInput()           {}
func (PeerMessageReceived) isInput()     {}
func (ViewRequested) isInput()           {}
func (SettingsChangeRequested) isInput() {}
func (RolloutChangeRequested) isInput()  {}
func (ShardChangeRequested) isInput()    {}

func (in JobSubmitted) requestID() RequestID            { return in.Request }
func (in JobPolled) requestID() RequestID               { return in.Request }
func (in CancelRequested) requestID() RequestID         { return in.Request }
func (in HeartbeatReceived) requestID() RequestID       { return in.Request }
func (in ViewRequested) requestID() RequestID           { return in.Request }
func (in SettingsChangeRequested) requestID() RequestID { return in.Request }
func (in RolloutChangeRequested) requestID() RequestID  { return in.Request }
func (in ShardChangeRequested) requestID() RequestID    { return in.Request }
