package wire

import "encoding/json"

// MachineType is one entry of the cloud's catalogue.
type MachineType struct {
	Name          string   `json:"sku"`
	Cores         float64  `json:"cores"`
	Accelerators  float64  `json:"accelerators"`
	MemGB         float64  `json:"mem_gb"`
	LocalGB       float64  `json:"local_gb"`
	PullGBPerS    float64  `json:"pull_gb_per_s"`
	OnDemandPrice float64  `json:"rate"`
	SpotPrice     float64  `json:"market_price"`
	StartupS      float64  `json:"startup_s"`
	Zones         []string `json:"yards"`
}

// Catalogue answers GET /catalog.
type Catalogue struct {
	Types []MachineType `json:"rigtypes"`
}

// ProvisionRequest is the body of POST /hosts. The request can safely be repeated under the same
// name, and the name is never used for another request.
type ProvisionRequest struct {
	Name  string `json:"hire"`
	Type  string `json:"rigtype"`
	Zone  string `json:"yard"`
	Spot  bool   `json:"loaners"`
	Count int    `json:"number"`
}

// MachineNames answers POST /hosts, and is the body of POST /hosts/return.
type MachineNames struct {
	Names []MachineID `json:"rigs"`
}

// MachineStatus is the state of a machine in the cloud's list of machines.
type MachineStatus string

// The states of machines in the list.
const (
	MachineBooting MachineStatus = "booting"
	MachineRunning MachineStatus = "running"
	MachineFailed  MachineStatus = "failed"
)

// CloudMachine is one entry of the cloud's list of machines.
type CloudMachine struct {
	ID     MachineID     `json:"id"`
	Addr   string        `json:"addr"`
	Type   string        `json:"rigtype"`
	Zone   string        `json:"yard"`
	Spot   bool          `json:"loaners"`
	Status MachineStatus `json:"status"`
	AgeS   float64       `json:"held_s"`
}

// MachineList answers GET /hosts.
type MachineList struct {
	Machines []CloudMachine `json:"rigs"`
	More     bool           `json:"more"`
}

// Limits of a single call to the cloud, in machines.
const (
	MaxProvision       = 50
	MaxTerminate       = 100
	MaxMachinesPerPage = 500
)

// Entry is one key with its value in the state store.
type Entry struct {
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"v"`
	Version Revision        `json:"stamp"`
}

// EntryList answers GET /kv?under=.
type EntryList struct {
	Entries  []Entry  `json:"entries"`
	More     bool     `json:"more"`
	Revision Revision `json:"ledger"`
}

// Condition requires a key to have a version. Version 0 requires that the key does not exist.
type Condition struct {
	Key     string   `json:"key"`
	Version Revision `json:"stamp"`
}

// Change puts or deletes one key. A key with a lease is deleted when the lease expires.
type Change struct {
	Put     string          `json:"put,omitempty"`
	Value   json.RawMessage `json:"v,omitempty"`
	LeaseID LeaseID         `json:"permit,omitempty"`
	Delete  string          `json:"drop,omitempty"`
}

// Transaction is the body of POST /multi.
type Transaction struct {
	If   []Condition `json:"if"`
	Then []Change    `json:"then"`
}

// TransactionResponse answers POST /multi. The status is 200 if the changes were made, or 409 if
// conditions failed, with the keys of those conditions.
type TransactionResponse struct {
	Revision Revision `json:"ledger"`
	Failed   []string `json:"failed"`
}

// ChangeEvent is one change that a watch returns.
type ChangeEvent struct {
	Put     string          `json:"put,omitempty"`
	Value   json.RawMessage `json:"v,omitempty"`
	Delete  string          `json:"drop,omitempty"`
	Version Revision        `json:"stamp"`
}

// WatchResponse answers GET /follow.
type WatchResponse struct {
	Revision Revision      `json:"ledger"`
	Events   []ChangeEvent `json:"log"`
}

// PeerMessage is one message between controllers. A message without content only shows that its
// sender is alive.
type PeerMessage struct {
	From string `json:"from"`
	// Format is the format of the message. Messages of the first format omit it.
	Format Format `json:"format,omitempty"`
	// StoreReachable is set if the state store has recently answered the sender.
	StoreReachable bool `json:"state_fresh,omitempty"`
	// Watermark, if set, bounds which cancellations the receiver may not know.
	Watermark *CancellationWatermark `json:"vouch,omitempty"`
	// Heartbeats are the heartbeats that the sender received and that differ from the ones
	// sent before in more than their sequence and token.
	Heartbeats []*Heartbeat `json:"reports,omitempty"`
	// UnchangedHeartbeats are those of the machines whose status has not changed.
	UnchangedHeartbeats []UnchangedHeartbeat `json:"heard,omitempty"`
	// CloudMachines are the changed entries of the cloud's list of machines as the sender read it.
	CloudMachines []CloudMachine `json:"cloud,omitempty"`
	// Capacity, if set, is the free capacity of the sender's shards.
	Capacity *[]CapacityOffer `json:"room,omitempty"`
	// ForwardedJobs are the jobs that the sender forwards to other controllers.
	ForwardedJobs []ForwardedJob `json:"hand_offs,omitempty"`
}

// CancellationWatermark covers every cancellation that its sender may have confirmed to a user
// before it sent the message. A receiver knows all of them once it has read the state store's
// changes up to revision Since and applied the cancellations listed.
type CancellationWatermark struct {
	// Process distinguishes the sender's process from earlier processes with the same label,
	// and Sequence counts the watermarks of that process.
	Process  uint64 `json:"p"`
	Sequence uint64 `json:"n"`
	// Revision is the revision up to which the sender knows all changes of the state store.
	Revision Revision `json:"l"`
	Since    Revision `json:"f"`
	// Acks is the newest watermark that the sender received from each of its peers, by label.
	// The peer knows when it sent that watermark, and so can bound the age of this one by its
	// own clock.
	Acks          map[string]WatermarkAck `json:"h,omitempty"`
	Cancellations []Cancellation          `json:"w,omitempty"`
}

// WatermarkAck identifies a watermark that was received.
type WatermarkAck struct {
	Process  uint64 `json:"p"`
	Sequence uint64 `json:"n"`
}

// Cancellation is a cancelled job, with the revision of the cancellation and the number of tasks
// that were done.
type Cancellation struct {
	Job     JobID    `json:"j"`
	Version Revision `json:"s"`
	Done    int      `json:"d,omitempty"`
}

// UnchangedHeartbeat stands for a heartbeat that differs from the one sent before in nothing but
// its sequence and token.
type UnchangedHeartbeat struct {
	Machine    MachineID    `json:"m"`
	AgentEpoch AgentEpoch   `json:"s"`
	Sequence   Sequence     `json:"t"`
	Token      FencingToken `json:"b"`
}
