package wire

import "lilacrill/internal/apierror"

// AdminShards is the content of ViewShards: the shards of the machines with their owners.
type AdminShards struct {
	// State is "in use", or the reason why sharding is not in use.
	State   string            `json:"state"`
	Drained map[string]string `json:"drained,omitempty"`
	// Owned is the number of shards that each live controller owns, by label.
	Owned  map[string]int `json:"owned,omitempty"`
	Shards []AdminShard   `json:"shares"`
}

// AdminShard is one shard, with the move that is under way, if any.
type AdminShard struct {
	Shard       ShardID      `json:"share"`
	Owner       string       `json:"owner,omitempty"`
	Incarnation FencingToken `json:"boot,omitempty"`
	Alive       bool         `json:"alive"`
	Epoch       ShardEpoch   `json:"epoch"`
	// Machines and CoresUsed are counted from the state of the answering controller.
	Machines  int     `json:"machines"`
	CoresUsed float64 `json:"cores_used"`
	To        string  `json:"to,omitempty"`
	Phase     string  `json:"step,omitempty"`
	Reason    string  `json:"why,omitempty"`
	MovingS   float64 `json:"moving_s,omitempty"`
	// WaitsFor describes what the move or failover waits for.
	WaitsFor string `json:"waits,omitempty"`
}

// AdminShardChange requests exactly one change of the shards: move a shard to a controller, drain
// a controller, with a reason, or end a drain. A move is refused if the shard is no longer in
// Epoch, the epoch that the operator read.
type AdminShardChange struct {
	Move     *ShardID   `json:"move,omitempty"`
	To       string     `json:"to,omitempty"`
	Epoch    ShardEpoch `json:"epoch,omitempty"`
	Drain    string     `json:"drain,omitempty"`
	Reason   string     `json:"reason,omitempty"`
	EndDrain string     `json:"end_drain,omitempty"`
}

// ParseAdminShardChange decodes and checks a change. Its error is an *apierror.FieldError.
func ParseAdminShardChange(body []byte) (AdminShardChange, error) {
	var change AdminShardChange
	if err := decodeStrict(body, &change); err != nil {
		return change, err
	}
	switch {
	case countTrue(change.Move != nil, change.Drain != "", change.EndDrain != "") != 1:
		return change, apierror.Field("move, drain, end_drain", "want exactly one of them")
	case change.Reason != "" && change.Drain == "":
		return change, apierror.Field("reason", "goes with drain only")
	case (change.Move != nil) != (change.To != ""):
		return change, apierror.Field("to", "goes with move, and move needs it")
	}
	return change, nil
}

// ForwardedJob is a job that another controller is to schedule for a while because the sender
// has no capacity for it in its own shards. It is a hint, which may be lost or outdated.
type ForwardedJob struct {
	Job JobID  `json:"j"`
	To  string `json:"to"`
	// Tried are the controllers that found no capacity for the job.
	Tried []string `json:"tried,omitempty"`
}

// CapacityOffer is an upper bound, for each resource, on the free capacity of any single machine
// of one type and zone, either spot or on-demand, in the sender's shards. It is a hint, which may
// be lost or outdated.
type CapacityOffer struct {
	Type         string  `json:"t"`
	Zone         string  `json:"z"`
	Spot         bool    `json:"o,omitempty"`
	Cores        float64 `json:"c"`
	Accelerators float64 `json:"g,omitempty"`
	MemGB        float64 `json:"r"`
}
