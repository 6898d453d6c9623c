package controller

import (
	"time"

	"lilacrill/wire"
)

// CallPriority orders calls to the state store while its rate limit holds them up: the
// lowest first.
type CallPriority int

// The priorities of calls, most urgent first.
const (
	PriorityLease CallPriority = iota
	PriorityUrgent
	PriorityAdmission
	PriorityBackground
	PriorityLevels
)

// Output is something for the process around the controller to do. An output with a
// CallID asks for a call: its result must come back as a [CallCompleted].
type Output interface{ isOutput() }

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
	// LoadKeys reads all keys under the prefixes; the result is a LoadResult.
	LoadKeys struct {
		Call     CallID
		Prefixes []string
	}
	// Watch reads the changes under a prefix after a revision, and waits up to Block
	// for the first of them; the result is a WatchResult.
	Watch struct {
		Call     CallID
		Priority CallPriority
		Prefix   string
		After    wire.Revision
		Block    time.Duration
	}
	// GetKey reads one key; the result is a GetResult.
	GetKey struct {
		Call CallID
		Key  string
	}
	// Commit runs a transaction; the result is a CommitResult.
	Commit struct {
		Call     CallID
		Priority CallPriority
		Txn      wire.Transaction
	}
	// GrantLease asks the state store for a lease; the result is a LeaseResult.
	GrantLease struct {
		Call CallID
		TTL  time.Duration
	}
	// RenewLease renews a lease; the result is a LeaseResult.
	RenewLease struct {
		Call    CallID
		LeaseID wire.LeaseID
	}
	// SetRateFraction says which fraction of the state store's rate limits this controller
	// may use.
	SetRateFraction struct{ Fraction float64 }
	// ReadCatalogue asks the cloud for its machine types; the result is a CatalogueResult.
	ReadCatalogue struct{ Call CallID }
	// ListMachines asks the cloud for all machines; the result is a MachinesResult.
	ListMachines struct{ Call CallID }
	// ProvisionMachines asks the cloud for new machines; the result is a ProvisionResult.
	ProvisionMachines struct {
		Call    CallID
		Request wire.ProvisionRequest
	}
	// TerminateMachines returns machines to the cloud; the result is a TerminateResult.
	TerminateMachines struct {
		Call     CallID
		Machines []wire.MachineID
	}
	// SendCommands sends commands to a worker; the result is a WorkerResponse.
	SendCommands struct {
		Call CallID
		Addr string
		Body wire.CommandRequest
	}
	// RequestHeartbeat asks a worker for a heartbeat; the result is a WorkerResponse.
	RequestHeartbeat struct {
		Call CallID
		Addr string
	}
	// Broadcast sends a message to all siblings.
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
	// RolloutRegistered: the process has registered which formats it reads.
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

func (Reply) isOutput()             {}
func (LoadKeys) isOutput()          {}
func (Watch) isOutput()             {}
func (GetKey) isOutput()            {}
func (Commit) isOutput()            {}
func (GrantLease) isOutput()        {}
func (RenewLease) isOutput()        {}
func (SetRateFraction) isOutput()   {}
func (ReadCatalogue) isOutput()     {}
func (ListMachines) isOutput()      {}
func (ProvisionMachines) isOutput() {}
func (TerminateMachines) isOutput() {}
func (SendCommands) isOutput()      {}
func (RequestHeartbeat) isOutput()  {}
func (Broadcast) isOutput()         {}
func (RolloutEvent) isOutput()      {}
func (Shutdown) isOutput()          {}
