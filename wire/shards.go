package wire

import "lilacrill/internal/apierror"

// AdminShards is which controller owns which shard of the machines.
type AdminShards struct {
	// State is "in use", or says why sharding is not in use.
	State   string            `json:"state"`
	Drained map[string]string `json:"drained,omitempty"`
	// Owned is how many shards each live controller owns.
	Owned  map[string]int `json:"owned,omitempty"`
	Shards []AdminShard   `json:"shares"`
}

// AdminShard is one shard, and the handover of it that is under way, if any.
type AdminShard struct {
	Shard       ShardID      `json:"share"`
	Owner       string       `json:"owner,omitempty"`
	Incarnation FencingToken `json:"boot,omitempty"`
	Alive       bool         `json:"alive"`
	Epoch       ShardEpoch   `json:"epoch"`
	// Machines and CoresUsed are as the answering controller knows them.
	Machines  int     `json:"machines"`
	CoresUsed float64 `json:"cores_used"`
	To        string  `json:"to,omitempty"`
	Phase     string  `json:"step,omitempty"`
	Reason    string  `json:"why,omitempty"`
	MovingS   float64 `json:"moving_s,omitempty"`
	// WaitsFor is what the handover or failover waits for.
	WaitsFor string `json:"waits,omitempty"`
}

// AdminShardChange asks for exactly one of: a shard to be moved to a controller, from the
// epoch that the operator saw; a controller to be drained, for a reason; or a drain to be
// ended.
type AdminShardChange struct {
	Move     *ShardID   `json:"move,omitempty"`
	To       string     `json:"to,omitempty"`
	Epoch    ShardEpoch `json:"epoch,omitempty"`
	Drain    string     `json:"drain,omitempty"`
	Reason   string     `json:"reason,omitempty"`
	EndDrain string     `json:"end_drain,omitempty"`
}

// ParseAdminShardChange decodes and checks a change. Its error is a *apierror.FieldError.
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

// ForwardedJob is a job that its sender has no capacity for in its shards and that another
// controller is to schedule for a while. It is a hint.
type ForwardedJob struct {
	Job JobID  `json:"j"`
	To  string `json:"to"`
	// Tried are the controllers that found no capacity.
	Tried []string `json:"tried,omitempty"`
}

// CapacityOffer is the most that a machine of one kind in the sender's shards may have
// free, resource by resource. It is a hint.
type CapacityOffer struct {
	Type         string  `json:"t"`
	Zone         string  `json:"z"`
	Spot         bool    `json:"o,omitempty"`
	Cores        float64 `json:"c"`
	Accelerators float64 `json:"g,omitempty"`
	MemGB        float64 `json:"r"`
}
