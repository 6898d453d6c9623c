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

// ProvisionRequest is the body of POST /hosts. Its name is never used twice.
type ProvisionRequest struct {
	Name  string `json:"hire"`
	Type  string `json:"rigtype"`
	Zone  string `json:"yard"`
	Spot  bool   `json:"loaners"`
	Count int    `json:"number"`
}

// MachineNames is a list of machine names, in hires' answers and in returns.
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

// Entry is one key with its value in the state service.
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

// Condition demands a key's version; 0 means that the key does not exist.
type Condition struct {
	Key     string   `json:"key"`
	Version Revision `json:"stamp"`
}

// Change puts or drops one key.
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

// TransactionResponse answers /multi with 200 or 409.
type TransactionResponse struct {
	Revision Revision `json:"ledger"`
	Failed   []string `json:"failed"`
}

// ChangeEvent is one change in the feed.
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

// PeerMessage is one line between controllers. A line with nothing else only says
// that its sender is alive.
type PeerMessage struct {
	From string `json:"from"`
	// Format is the format of the line; lines of the first format leave it out.
	Format Format `json:"format,omitempty"`
	// StoreReachable says that the sender has heard from the state service lately.
	StoreReachable bool `json:"state_fresh,omitempty"`
	// Watermark is the sender's word on withdrawn jobs, on some lines.
	Watermark *CancellationWatermark `json:"vouch,omitempty"`
	// Heartbeats are workers' reports as the sender got them, of machines of which
	// more has changed than the time.
	Heartbeats []*Heartbeat `json:"reports,omitempty"`
	// UnchangedHeartbeats are the machines that reported what they had reported before.
	UnchangedHeartbeats []UnchangedHeartbeat `json:"heard,omitempty"`
	// CloudMachines is what is new in the machine list as the sender read it.
	CloudMachines []CloudMachine `json:"cloud,omitempty"`
	// Capacity, if set, is the room that is free in the sender's shares.
	Capacity *[]CapacityOffer `json:"room,omitempty"`
	// ForwardedJobs are the jobs that the sender hands on.
	ForwardedJobs []ForwardedJob `json:"hand_offs,omitempty"`
}

// CancellationWatermark is a controller's word for every withdrawal that it may have told a user
// of until it sent the line: those that are not in the state service's feed up to
// From are listed.
type CancellationWatermark struct {
	// Process tells the sender's process from earlier ones of its label, and Number
	// counts that process's attestations.
	Process  uint64 `json:"p"`
	Sequence uint64 `json:"n"`
	// Revision is the revision up to which the sender knows all changes.
	Revision Revision `json:"l"`
	Since    Revision `json:"f"`
	// Acks is the newest attestation of each sibling that the sender has had, which
	// bounds the age of this one by the sibling's own clock.
	Acks          map[string]WatermarkAck `json:"h,omitempty"`
	Cancellations []Cancellation          `json:"w,omitempty"`
}

// WatermarkAck names an attestation that was received.
type WatermarkAck struct {
	Process  uint64 `json:"p"`
	Sequence uint64 `json:"n"`
}

// Cancellation is a job that was withdrawn at a revision, with so many tasks done.
type Cancellation struct {
	Job     JobID    `json:"j"`
	Version Revision `json:"s"`
	Done    int      `json:"d,omitempty"`
}

// UnchangedHeartbeat says that a machine reported, with nothing new but this.
type UnchangedHeartbeat struct {
	Machine    MachineID    `json:"m"`
	AgentEpoch AgentEpoch   `json:"s"`
	Sequence   Sequence     `json:"t"`
	Token      FencingToken `json:"b"`
}
