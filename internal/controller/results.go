package controller

import (
	"encoding/json"

	"lilacrill/wire"
)

// CallID identifies a call that an output asked for.
type CallID uint64

// Result is how a call ended. Each output that asks for a call says which type its
// result has; see [CallCompleted].
type Result interface{ isResult() }

// Outcome is how a call to the state store or the cloud ended.
type Outcome int

// The outcomes of calls.
const (
	// Succeeded: it was executed.
	Succeeded Outcome = iota
	// Conflict: a condition of the transaction failed, and nothing was changed.
	Conflict
	// NotExecuted: it was certainly not executed.
	NotExecuted
	// Unknown: it may have been executed, or may yet be.
	Unknown
	// NotFound: what it names does not exist.
	NotFound
	// Compacted: the state store no longer has the changes after the revision asked for.
	Compacted
)

// The results of calls.
type (
	// LoadResult is the result of LoadKeys.
	LoadResult struct {
		Outcome Outcome
		Entries []wire.Entry
		// First is the revision before the first read, Last that of the last.
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
	// ProvisionResult is the result of ProvisionMachines. NoCapacity goes with
	// NotExecuted: the cloud has no such machine to spare at present.
	ProvisionResult struct {
		Outcome    Outcome
		NoCapacity bool
		Machines   []wire.MachineID
	}
	// TerminateResult is the result of TerminateMachines.
	TerminateResult struct{ Outcome Outcome }
	// WorkerResponse is the result of SendCommands or RequestHeartbeat. Executed says
	// that the worker carried the commands out; one that refused them because it obeys
	// a higher fencing token or has another agent epoch may send a heartbeat as well.
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
