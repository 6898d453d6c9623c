package core

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

// Class orders calls when tokens are short: the lowest first.
type Class int

// The classes of calls, most urgent first.
const (
	ClassLease Class = iota
	ClassUrgent
	ClassAccept
	ClassRest
	Classes
)

// Input is something that happened.
type Input interface{ isInput() }

// request is an input whose sender waits for a Reply.
type request interface{ requestID() RequestID }

// Output is something to do.
type Output interface{ isOutput() }

// The inputs.
type (
	// Tick only lets time pass.
	Tick struct{}

	// Submitted is a checked submission.
	Submitted struct {
		Request RequestID
		Spec    wire.JobSpec
	}
	// Polled asks for a job's state.
	Polled struct {
		Request RequestID
		Job     wire.JobID
	}
	// CancelAsked asks for a job to be withdrawn.
	CancelAsked struct {
		Request RequestID
		Job     wire.JobID
	}
	// Reported is a worker's report.
	Reported struct {
		Request RequestID
		Report  *wire.Heartbeat
	}
	// Returned carries the result of a call.
	Returned struct {
		Call   CallID
		Result any
	}
	// ViewAsked is an operator who wants to look.
	ViewAsked struct {
		Request RequestID
		View    wire.AdminView
	}
	// ChangeAsked is an operator who wants to change settings.
	ChangeAsked struct {
		Request RequestID
		Change  wire.AdminSettings
	}
	// RolloutAsked is an operator who wants to change the rollout of a format.
	RolloutAsked struct {
		Request RequestID
		Change  wire.AdminRolloutChange
	}
	// SharesAsked is an operator who wants to change the shares.
	SharesAsked struct {
		Request RequestID
		Change  wire.AdminShardChange
	}
	// PeerSaid is a line from another controller.
	PeerSaid struct {
		Line *wire.PeerMessage
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
	// Load reads all keys under the prefixes; the result is a Loaded.
	Load struct {
		Call     CallID
		Prefixes []string
	}
	// Follow reads the feed; the result is a Fed.
	Follow struct {
		Call  CallID
		Class Class
		Under string
		After wire.Revision
		Block time.Duration
	}
	// Fetch reads one key; the result is a Fetched.
	Fetch struct {
		Call CallID
		Key  string
	}
	// Commit runs a transaction; the result is a Committed.
	Commit struct {
		Call  CallID
		Class Class
		Txn   wire.Transaction
	}
	// Grant asks for a lease; the result is a Granted.
	Grant struct {
		Call CallID
		TTL  time.Duration
	}
	// Extend renews a lease; the result is a Granted.
	Extend struct {
		Call    CallID
		LeaseID wire.LeaseID
	}
	// Share tells what part of the state service's limits this controller may
	// use.
	Share struct{ Part float64 }
	// ReadCatalogue asks the cloud; the result is a CatalogueRead.
	ReadCatalogue struct{ Call CallID }
	// ListMachines asks the cloud for all machines; the result is a Listed.
	ListMachines struct{ Call CallID }
	// HireMachines rents; the result is a Hired.
	HireMachines struct {
		Call CallID
		Hire wire.ProvisionRequest
	}
	// ReturnMachines gives machines back; the result is a GivenBack.
	ReturnMachines struct {
		Call  CallID
		Names []wire.MachineID
	}
	// Order sends commands to a worker; the result is an Answered.
	Order struct {
		Call CallID
		Addr string
		Body wire.CommandRequest
	}
	// Show asks a worker for its report; the result is an Answered.
	Show struct {
		Call CallID
		Addr string
	}
	// Tell sends a line to all siblings.
	Tell struct{ Line *wire.PeerMessage }
	// RolloutEvent is something that happened to this process in a rollout, for whoever
	// traces it.
	RolloutEvent struct {
		Kind     RolloutEventKind
		Format   wire.Format // in force
		Boot     wire.FencingToken
		Revision wire.Revision // up to which this process knows all changes
	}
	// Retire says that this process must end, and why: it would misread what others
	// write.
	Retire struct{ Cause error }
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
	// Done: it was executed.
	Done Outcome = iota
	// Conflict: a condition failed, and nothing was changed.
	Conflict
	// NotDone: it was certainly not executed.
	NotDone
	// Unknown: it may have been executed, or may yet be.
	Unknown
	// Missing: what it names does not exist.
	Missing
	// TooOld: the feed no longer goes back that far.
	TooOld
)

// The results of calls.
type (
	// Loaded answers a Load.
	Loaded struct {
		Outcome Outcome
		Entries []wire.Entry
		// First is the revision before the first read, Last that of the last.
		First, Last wire.Revision
	}
	// Fed answers a Follow.
	Fed struct {
		Outcome Outcome
		Feed    wire.WatchResponse
	}
	// Fetched answers a Fetch.
	Fetched struct {
		Outcome Outcome
		Value   json.RawMessage
		Version wire.Revision
	}
	// Committed answers a Commit.
	Committed struct {
		Outcome  Outcome
		Revision wire.Revision
		Failed   []string
	}
	// Granted answers a Grant or an Extend.
	Granted struct {
		Outcome Outcome
		LeaseID wire.LeaseID
	}
	// CatalogueRead answers a ReadCatalogue.
	CatalogueRead struct {
		Outcome   Outcome
		Catalogue wire.Catalogue
	}
	// Listed answers a ListMachines.
	Listed struct {
		Outcome  Outcome
		Machines []wire.CloudMachine
	}
	// Hired answers a HireMachines; with NotDone and Refused there was no
	// capacity.
	Hired struct {
		Outcome Outcome
		Refused bool
		Names   []wire.MachineID
	}
	// GivenBack answers a ReturnMachines.
	GivenBack struct{ Outcome Outcome }
	// Answered answers an Order or a Show. Executed says that the orders were
	// carried out; a Report may come either way.
	Answered struct {
		Outcome  Outcome
		Executed bool
		Report   *wire.Heartbeat
	}
)

func (Tick) isInput()         {}
func (Submitted) isInput()    {}
func (Polled) isInput()       {}
func (CancelAsked) isInput()  {}
func (Reported) isInput()     {}
func (Returned) isInput()     {}
func (PeerSaid) isInput()     {}
func (ViewAsked) isInput()    {}
func (ChangeAsked) isInput()  {}
func (RolloutAsked) isInput() {}
func (SharesAsked) isInput()  {}

func (Reply) isOutput()          {}
func (Load) isOutput()           {}
func (Follow) isOutput()         {}
func (Fetch) isOutput()          {}
func (Commit) isOutput()         {}
func (Grant) isOutput()          {}
func (Extend) isOutput()         {}
func (Share) isOutput()          {}
func (ReadCatalogue) isOutput()  {}
func (ListMachines) isOutput()   {}
func (HireMachines) isOutput()   {}
func (ReturnMachines) isOutput() {}
func (Order) isOutput()          {}
func (Show) isOutput()           {}
func (Tell) isOutput()           {}
func (RolloutEvent) isOutput()   {}
func (Retire) isOutput()         {}

func (in Submitted) requestID() RequestID    { return in.Request }
func (in Polled) requestID() RequestID       { return in.Request }
func (in CancelAsked) requestID() RequestID  { return in.Request }
func (in Reported) requestID() RequestID     { return in.Request }
func (in ViewAsked) requestID() RequestID    { return in.Request }
func (in ChangeAsked) requestID() RequestID  { return in.Request }
func (in RolloutAsked) requestID() RequestID { return in.Request }
func (in SharesAsked) requestID() RequestID  { return in.Request }
