package controller

import (
	"encoding/json"
	"time"

	"lilacrill/wire"
)

// Time is a moment on the steady clock of this process.
type Time time.Duration

// Add is the moment d later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub is the time from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// RequestID names a request that waits for a Reply.
type RequestID uint64

// CallID names a call that the core asked for.
type CallID uint64

// CallPriority orders calls when tokens are short: the lowest first.
type CallPriority int

// The classes of calls, most urgent first.
const (
	PriorityLease CallPriority = iota
	PriorityUrgent
	PriorityAdmission
	PriorityBackground
	PriorityLevels
)

// Input is something that happened.
type Input interface{ isInput() }

// requestInput is an input whose sender waits for a Reply.
type requestInput interface{ requestID() RequestID }

// Output is something to do.
type Output interface{ isOutput() }

// The inputs.
type (
	// Tick only lets time pass.
	Tick struct{}

	// JobSubmitted is a checked submission.
	JobSubmitted struct {
		Request RequestID
		Spec    wire.JobSpec
	}
	// JobPolled asks for a job's state.
	JobPolled struct {
		Request RequestID
		Job     wire.JobID
	}
	// CancelRequested asks for a job to be withdrawn.
	CancelRequested struct {
		Request RequestID
		Job     wire.JobID
	}
	// HeartbeatReceived is a worker's report.
	HeartbeatReceived struct {
		Request   RequestID
		Heartbeat *wire.Heartbeat
	}
	// CallCompleted carries the result of a call.
	CallCompleted struct {
		Call   CallID
		Result any
	}
	// ViewRequested is an operator who wants to look.
	ViewRequested struct {
		Request RequestID
		View    wire.AdminView
	}
	// SettingsChangeRequested is an operator who wants to change settings.
	SettingsChangeRequested struct {
		Request RequestID
		Change  wire.AdminSettings
	}
	// RolloutChangeRequested is an operator who wants to change the rollout of a format.
	RolloutChangeRequested struct {
		Request RequestID
		Change  wire.AdminRolloutChange
	}
	// ShardChangeRequested is an operator who wants to change the shares.
	ShardChangeRequested struct {
		Request RequestID
		Change  wire.AdminShardChange
	}
	// PeerMessageReceived is a line from another controller.
	PeerMessageReceived struct {
		Message *wire.PeerMessage
	}
)

// The outputs.
type (
	// Reply answers a request.
	Reply struct {
		Request RequestID
		Status  int
		Body    any
		// RetryAfter, if above 0, tells the user when to come back.
		RetryAfter time.Duration
	}
	// LoadKeys reads all keys under the prefixes; the result is a Loaded.
	LoadKeys struct {
		Call     CallID
		Prefixes []string
	}
	// Watch reads the feed; the result is a Fed.
	Watch struct {
		Call     CallID
		Priority CallPriority
		Prefix   string
		After    wire.Revision
		Block    time.Duration
	}
	// GetKey reads one key; the result is a Fetched.
	GetKey struct {
		Call CallID
		Key  string
	}
	// Commit runs a transaction; the result is a Committed.
	Commit struct {
		Call     CallID
		Priority CallPriority
		Txn      wire.Transaction
	}
	// GrantLease asks for a lease; the result is a Granted.
	GrantLease struct {
		Call CallID
		TTL  time.Duration
	}
	// RenewLease renews a lease; the result is a Granted.
	RenewLease struct {
		Call    CallID
		LeaseID wire.LeaseID
	}
	// SetRateShare tells what part of the state service's limits this controller may
	// use.
	SetRateShare struct{ Fraction float64 }
	// ReadCatalogue asks the cloud; the result is a CatalogueResult.
	ReadCatalogue struct{ Call CallID }
	// ListMachines asks the cloud for all machines; the result is a Listed.
	ListMachines struct{ Call CallID }
	// ProvisionMachines rents; the result is a Hired.
	ProvisionMachines struct {
		Call    CallID
		Request wire.ProvisionRequest
	}
	// TerminateMachines gives machines back; the result is a TerminateResult.
	TerminateMachines struct {
		Call     CallID
		Machines []wire.MachineID
	}
	// SendCommands sends commands to a worker; the result is an Answered.
	SendCommands struct {
		Call CallID
		Addr string
		Body wire.CommandRequest
	}
	// RequestHeartbeat asks a worker for its report; the result is an Answered.
	RequestHeartbeat struct {
		Call CallID
		Addr string
	}
	// Broadcast sends a line to all siblings.
	Broadcast struct{ Message *wire.PeerMessage }
	// RolloutEvent is something that happened to this process in a rollout, for whoever
	// traces it.
	RolloutEvent struct {
		Kind        RolloutEventKind
		Format      wire.Format // in force
		Incarnation wire.FencingToken
		Revision    wire.Revision // up to which this process knows all changes
	}
	// Shutdown says that this process must end, and why: it would misread what others
	// write.
	Shutdown struct{ Cause error }
)

// RolloutEventKind is what happened to a process in a rollout.
type RolloutEventKind string

// The kinds of rollout events.
const (
	// RolloutRegistered: the process has registered what it reads.
	RolloutRegistered RolloutEventKind = "registered"
	// RolloutReady: it serves.
	RolloutReady RolloutEventKind = "ready"
	// RolloutActivated: it brought a format into force.
	RolloutActivated RolloutEventKind = "activated"
	// RolloutChanged: it carried out an operator's change.
	RolloutChanged RolloutEventKind = "changed by an operator"
	// RolloutInForce: it learnt of a format in force.
	RolloutInForce RolloutEventKind = "in force"
	// RolloutRetired: it must not serve any more.
	RolloutRetired RolloutEventKind = "retired"
)

// Outcome is how a call to the state service or the cloud ended.
type Outcome int

// The outcomes of calls.
const (
	// Succeeded: it was executed.
	Succeeded Outcome = iota
	// Conflict: a condition failed, and nothing was changed.
	Conflict
	// NotExecuted: it was certainly not executed.
	NotExecuted
	// Unknown: it may have been executed, or may yet be.
	Unknown
	// NotFound: what it names does not exist.
	NotFound
	// Compacted: the feed no longer goes back that far.
	Compacted
)

// The results of calls.
type (
	// LoadResult answers a Load.
	LoadResult struct {
		Outcome Outcome
		Entries []wire.Entry
		// First is the revision before the first read, Last that of the last.
		First, Last wire.Revision
	}
	// WatchResult answers a Follow.
	WatchResult struct {
		Outcome  Outcome
		Response wire.WatchResponse
	}
	// GetResult answers a Fetch.
	GetResult struct {
		Outcome Outcome
		Value   json.RawMessage
		Version wire.Revision
	}
	// CommitResult answers a Commit.
	CommitResult struct {
		Outcome  Outcome
		Revision wire.Revision
		Failed   []string
	}
	// LeaseResult answers a Grant or an Extend.
	LeaseResult struct {
		Outcome Outcome
		LeaseID wire.LeaseID
	}
	// CatalogueResult answers a ReadCatalogue.
	CatalogueResult struct {
		Outcome   Outcome
		Catalogue wire.Catalogue
	}
	// MachinesResult answers a ListMachines.
	MachinesResult struct {
		Outcome  Outcome
		Machines []wire.CloudMachine
	}
	// ProvisionResult answers a ProvisionMachines; with NotExecuted and Refused there was no
	// capacity.
	ProvisionResult struct {
		Outcome    Outcome
		NoCapacity bool
		Machines   []wire.MachineID
	}
	// TerminateResult answers a TerminateMachines.
	TerminateResult struct{ Outcome Outcome }
	// WorkerResponse answers an Order or a Show. Executed says that the orders were
	// carried out; a Report may come either way.
	WorkerResponse struct {
		Outcome   Outcome
		Executed  bool
		Heartbeat *wire.Heartbeat
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

func (Reply) isOutput()             {}
func (LoadKeys) isOutput()          {}
func (Watch) isOutput()             {}
func (GetKey) isOutput()            {}
func (Commit) isOutput()            {}
func (GrantLease) isOutput()        {}
func (RenewLease) isOutput()        {}
func (SetRateShare) isOutput()      {}
func (ReadCatalogue) isOutput()     {}
func (ListMachines) isOutput()      {}
func (ProvisionMachines) isOutput() {}
func (TerminateMachines) isOutput() {}
func (SendCommands) isOutput()      {}
func (RequestHeartbeat) isOutput()  {}
func (Broadcast) isOutput()         {}
func (RolloutEvent) isOutput()      {}
func (Shutdown) isOutput()          {}

func (in JobSubmitted) requestID() RequestID            { return in.Request }
func (in JobPolled) requestID() RequestID               { return in.Request }
func (in CancelRequested) requestID() RequestID         { return in.Request }
func (in HeartbeatReceived) requestID() RequestID       { return in.Request }
func (in ViewRequested) requestID() RequestID           { return in.Request }
func (in SettingsChangeRequested) requestID() RequestID { return in.Request }
func (in RolloutChangeRequested) requestID() RequestID  { return in.Request }
func (in ShardChangeRequested) requestID() RequestID    { return in.Request }
