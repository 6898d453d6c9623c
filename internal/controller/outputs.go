package controller

import (
	"time"

	"lilacrill/wire"
)

// CallPriority orders the calls to the state store that wait for its rate limit. The call with the
// lowest value is sent first.
type CallPriority int

// The priorities of calls, most urgent first. PriorityLevels is their number.
const (
	PriorityLease CallPriority = iota
	PriorityUrgent
	PriorityAdmission
	PriorityBackground
	PriorityLevels
)

// Output is an action for the process that runs the controller. An output with a CallID requests a
// call, whose result must be returned as a [CallCompleted].
type Output interface{ isOutput() }

// The outputs.
type (
	// Reply answers a request.
	Reply struct {
		Request RequestID
		Status  int
		Body    any
		// RetryAfter, if positive, is the time after which the sender is advised to retry.
		RetryAfter time.Duration
	}
	// LoadKeys reads all keys under the prefixes. The result is a LoadResult.
	LoadKeys struct {
		Call     CallID
		Prefixes []string
	}
	// Watch reads the changes under a prefix after a revision. If there are none, it waits up to
	// Block for the first change. The result is a WatchResult.
	Watch struct {
		Call     CallID
		Priority CallPriority
		Prefix   string
		After    wire.Revision
		Block    time.Duration
	}
	// GetKey reads one key. The result is a GetResult.
	GetKey struct {
		Call CallID
		Key  string
	}
	// Commit runs a transaction. The result is a CommitResult.
	Commit struct {
		Call     CallID
		Priority CallPriority
		Txn      wire.Transaction
	}
	// GrantLease requests a lease from the state store. The result is a LeaseResult.
	GrantLease struct {
		Call CallID
		TTL  time.Duration
	}
	// RenewLease renews a lease. The result is a LeaseResult.
	RenewLease struct {
		Call    CallID
		LeaseID wire.LeaseID
	}
	// SetRateFraction sets the fraction of the state store's rate limits that this controller may
	// use.
	SetRateFraction struct{ Fraction float64 }
	// ReadCatalogue reads the machine types from the cloud. The result is a CatalogueResult.
	ReadCatalogue struct{ Call CallID }
	// ListMachines lists all machines in the cloud. The result is a MachinesResult.
	ListMachines struct{ Call CallID }
	// ProvisionMachines requests new machines from the cloud. The result is a ProvisionResult.
	ProvisionMachines struct {
		Call    CallID
		Request wire.ProvisionRequest
	}
	// TerminateMachines returns machines to the cloud. The result is a TerminateResult.
	TerminateMachines struct {
		Call     CallID
		Machines []wire.MachineID
	}
	// SendCommands sends commands to a worker. The result is a WorkerResponse.
	SendCommands struct {
		Call CallID
		Addr string
		Body wire.CommandRequest
	}
	// RequestHeartbeat requests a heartbeat from a worker. The result is a WorkerResponse.
	RequestHeartbeat struct {
		Call CallID
		Addr string
	}
	// Broadcast sends a message to all peers.
	Broadcast struct{ Message *wire.PeerMessage }
	// RolloutEvent is an event of this process in a rollout, for tracing.
	RolloutEvent struct {
		Kind        RolloutEventKind
		Format      wire.Format // the format in force
		Incarnation wire.FencingToken
		Revision    wire.Revision // the revision up to which this process knows all changes
	}
	// Shutdown requires that this process ends, because it cannot read the records that other
	// controllers write. Cause is the error to report.
	Shutdown struct{ Cause error }
)

// RolloutEventKind is the kind of a rollout event.
type RolloutEventKind string

// The kinds of rollout events.
const (
	// RolloutRegistered means that the process has registered the formats that it reads.
	RolloutRegistered RolloutEventKind = "registered"
	// RolloutReady means that the process serves requests.
	RolloutReady RolloutEventKind = "ready"
	// RolloutActivated means that the process has activated a format automatically.
	RolloutActivated RolloutEventKind = "activated"
	// RolloutChanged means that the process has committed an operator's change of the rollout.
	RolloutChanged RolloutEventKind = "changed by an operator"
	// RolloutInForce means that the process has read that another format is in force.
	RolloutInForce RolloutEventKind = "in force"
	// RolloutRetired means that the process must not serve requests any longer.
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
