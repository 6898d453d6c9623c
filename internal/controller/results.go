package controller

import (
	"encoding/json"

	"lilacrill/wire"
)

// CallID identifies a call that was requested by an output.
type CallID uint64

// Result is the result of a call. The type of the result is documented with each output that
// requests a call. Results are delivered by [CallCompleted].
type Result interface{ isResult() }

// Outcome is the outcome of a call to the state store, the cloud or a worker.
type Outcome int

// The outcomes of calls.
const (
	// Succeeded means that the call was executed.
	Succeeded Outcome = iota
	// Conflict means that a condition of the transaction failed and nothing was changed.
	Conflict
	// NotExecuted means that the call was certainly not executed.
	NotExecuted
	// Unknown means that the call may have been executed, or may still be executed.
	Unknown
	// NotFound means that the object named by the call does not exist.
	NotFound
	// Compacted means that the state store no longer has the changes after the requested revision.
	Compacted
)

// The results of calls.
type (
	// LoadResult is the result of LoadKeys.
	LoadResult struct {
		Outcome Outcome
		Entries []wire.Entry
		// First is the revision of the first page that was read, Last that of the last page.
		First, Last wire.Revision
	}
	// WatchResult is the result of Watch.
	WatchResult struct {
		Outcome  Outcome
		Response wire.WatchResponse
	}
	// GetResult is the result of GetKey.
	GetResult struct {
		Outcome Outcome
		Value   json.RawMessage
		Version wire.Revision
	}
	// CommitResult is the result of Commit.
	CommitResult struct {
		Outcome  Outcome
		Revision wire.Revision
		Failed   []string
	}
	// LeaseResult is the result of GrantLease or RenewLease.
	LeaseResult struct {
		Outcome Outcome
		LeaseID wire.LeaseID
	}
	// CatalogueResult is the result of ReadCatalogue.
	CatalogueResult struct {
		Outcome   Outcome
		Catalogue wire.Catalogue
	}
	// MachinesResult is the result of ListMachines.
	MachinesResult struct {
		Outcome  Outcome
		Machines []wire.CloudMachine
	}
	// ProvisionResult is the result of ProvisionMachines. NoCapacity is set with NotExecuted only,
	// if the cloud currently has no capacity for such machines.
	ProvisionResult struct {
		Outcome    Outcome
		NoCapacity bool
		Machines   []wire.MachineID
	}
	// TerminateResult is the result of TerminateMachines.
	TerminateResult struct{ Outcome Outcome }
	// WorkerResponse is the result of SendCommands or RequestHeartbeat. Executed reports whether
	// the worker executed the commands. A worker that rejected them, because it has received a
	// higher fencing token or has another agent epoch, may send a heartbeat as well.
	WorkerResponse struct {
		Outcome   Outcome
		Executed  bool
		Heartbeat *wire.Heartbeat
	}
)

func (LoadResult) isResult()      {}
func (WatchResult) isResult()     {}
func (GetResult) isResult()       {}
func (CommitResult) isResult()    {}
func (LeaseResult) isResult()     {}
func (CatalogueResult) isResult() {}
func (MachinesResult) isResult()  {}
func (ProvisionResult) isResult() {}
func (TerminateResult) isResult() {}
func (WorkerResponse) isResult()  {}
