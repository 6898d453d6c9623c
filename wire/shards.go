package wire

import "errors"

// AdminShards is who owns which share of the machines.
type AdminShards struct {
	// State is "in use", or says why shares are not.
	State   string            `json:"state"`
	Drained map[string]string `json:"drained,omitempty"`
	// Owned is how many shares each living controller owns.
	Owned  map[string]int `json:"owned,omitempty"`
	Shards []AdminShard   `json:"shares"`
}

// AdminShard is one share, and the move of it that is under way, if any.
type AdminShard struct {
	Shard       ShardID      `json:"share"`
	Owner       string       `json:"owner,omitempty"`
	Incarnation FencingToken `json:"boot,omitempty"`
	Alive       bool         `json:"alive"`
	Epoch       ShardEpoch   `json:"epoch"`
	// Machines and CoresUsed are as the controller that was asked knows them.
	Machines  int     `json:"machines"`
	CoresUsed float64 `json:"cores_used"`
	To        string  `json:"to,omitempty"`
	Phase     string  `json:"step,omitempty"`
	Reason    string  `json:"why,omitempty"`
	MovingS   float64 `json:"moving_s,omitempty"`
	// WaitsFor is what the share waits for.
	WaitsFor string `json:"waits,omitempty"`
}

// AdminShardChange asks for exactly one of: a share to be moved to a controller, from the
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

// ParseAdminShardChange reads and checks a change. Its error names the field.
func ParseAdminShardChange(body []byte) (AdminShardChange, error) {
	var c AdminShardChange
	if err := decodeStrict(body, &c); err != nil {
		return c, err
	}
	asked := 0
	for _, is := range []bool{c.Move != nil, c.Drain != "", c.EndDrain != ""} {
		if is {
			asked++
		}
	}
	switch {
	case asked != 1:
		return c, errors.New("move, drain, end_drain: want exactly one of them")
	case c.Reason != "" && c.Drain == "":
		return c, errors.New("reason: goes with drain only")
	case (c.Move != nil) != (c.To != ""):
		return c, errors.New("to: goes with move, and move needs it")
	}
	return c, nil
}

// ForwardedJob is a job that a controller found no room for in its shares, and that another is
// to place for a while. It is a hint.
type ForwardedJob struct {
	Job JobID  `json:"j"`
	To  string `json:"to"`
	// Tried are the controllers that found no room.
	Tried []string `json:"tried,omitempty"`
}

// CapacityOffer is the most room that a machine of one kind in a controller's shares may have
// free, amount by amount. It is a hint.
type CapacityOffer struct {
	Type         string  `json:"t"`
	Zone         string  `json:"z"`
	Spot         bool    `json:"o,omitempty"`
	Cores        float64 `json:"c"`
	Accelerators float64 `json:"g,omitempty"`
	MemGB        float64 `json:"r"`
}
