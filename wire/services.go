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

// ProvisionRequest is the body of POST /hosts. Its name makes repeating it safe, and is never
// used for another request.
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

// MachineStatus is a machine's state in the cloud's list.
type MachineStatus string

// The states of listed machines.
const (
	MachineBooting MachineStatus = "booting"
	MachineRunning MachineStatus = "running"
	MachineFailed  MachineStatus = "failed"
)

// CloudMachine is one entry of the cloud's list.
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

// Limits of single cloud calls.
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

// Condition requires a key to have a version; 0 requires that it does not exist.
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

// TransactionResponse answers /multi: 200 if the changes were made, or 409 with the keys whose
// conditions failed.
type TransactionResponse struct {
	Revision Revision `json:"ledger"`
	Failed   []string `json:"failed"`
}

// ChangeEvent is one change of a watch.
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

// PeerMessage is one message between controllers. One with nothing else only says that its
// sender is alive.
type PeerMessage struct {
	From string `json:"from"`
	// Format is the format of the message; messages of the first format leave it out.
	Format Format `json:"format,omitempty"`
	// StoreReachable says that the state store has answered the sender recently.
	StoreReachable bool `json:"state_fresh,omitempty"`
	// Watermark, on some messages, bounds which cancellations the receiver may not know.
	Watermark *CancellationWatermark `json:"vouch,omitempty"`
	// Heartbeats are those that the sender received and in which more than the sequence
	// has changed.
	Heartbeats []*Heartbeat `json:"reports,omitempty"`
	// UnchangedHeartbeats are of the machines that reported the same as before.
	UnchangedHeartbeats []UnchangedHeartbeat `json:"heard,omitempty"`
	// CloudMachines is what is new in the cloud's machine list as the sender read it.
	CloudMachines []CloudMachine `json:"cloud,omitempty"`
	// Capacity, if set, is the free capacity of the sender's shards.
	Capacity *[]CapacityOffer `json:"room,omitempty"`
	// ForwardedJobs are the jobs that the sender forwards.
	ForwardedJobs []ForwardedJob `json:"hand_offs,omitempty"`
}

// CancellationWatermark covers every cancellation that its sender may have confirmed to a user
// until it sent the message: those that are not among the state store's changes up to Since
// are listed.
type CancellationWatermark struct {
	// Process tells the sender's process from earlier ones of its label, and Sequence
	// counts that process's watermarks.
	Process  uint64 `json:"p"`
	Sequence uint64 `json:"n"`
	// Revision is the revision up to which the sender knows all changes.
	Revision Revision `json:"l"`
	Since    Revision `json:"f"`
	// Acks names the newest watermark that the sender received of each sibling, which
	// bounds the age of this one by the sibling's own clock.
	Acks          map[string]WatermarkAck `json:"h,omitempty"`
	Cancellations []Cancellation          `json:"w,omitempty"`
}

// WatermarkAck names a watermark that was received.
type WatermarkAck struct {
	Process  uint64 `json:"p"`
	Sequence uint64 `json:"n"`
}

// Cancellation is a job that was cancelled at a revision, with so many tasks done.
type Cancellation struct {
	Job     JobID    `json:"j"`
	Version Revision `json:"s"`
	Done    int      `json:"d,omitempty"`
}

// UnchangedHeartbeat is a heartbeat with nothing new but these fields.
type UnchangedHeartbeat struct {
	Machine    MachineID    `json:"m"`
	AgentEpoch AgentEpoch   `json:"s"`
	Sequence   Sequence     `json:"t"`
	Token      FencingToken `json:"b"`
}
