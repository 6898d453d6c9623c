package simulation

import (
	"time"
)

// Faults are the faults that a cluster injects, until a test sets them back. Rates are
// parts of all such messages, from 0 to 1. Maps have the numbers of controllers.
type Faults struct {
	// MessageLoss is the rate of the messages that are lost, or whose answer is lost, or
	// that are delayed and executed late.
	MessageLoss float64

	// StoreUnavailable and CloudUnavailable are outages.
	StoreUnavailable, CloudUnavailable bool
	// StorePartitioned are controllers that the state store rejects.
	StorePartitioned map[int]bool
	// WorkersPartitioned are controllers that exchange nothing with workers.
	WorkersPartitioned map[int]bool
	// PeersPartitioned are controllers that exchange nothing with their peers.
	PeersPartitioned map[int]bool
	// PartitionedZone is partitioned from everything but the controller in it,
	// ControllerInZone.
	PartitionedZone  string
	ControllerInZone int

	// DelayedCommits is the rate of the transactions that get no answer and are committed
	// 2 to 12 s later, after newer ones.
	DelayedCommits float64
	// DelayCommitsOf are controllers all of whose transactions are delayed like that.
	DelayCommitsOf map[int]bool
	// DelayPlacements has all transactions that add placements delayed like that.
	DelayPlacements bool
	// LoseAnswersOnly has transactions that would be delayed committed at once; only their
	// answers are lost.
	LoseAnswersOnly bool
	// StoreDelay is added to every call to the state store.
	StoreDelay time.Duration

	// DuplicatedHeartbeats is the rate of the heartbeats of which a copy arrives late,
	// from seconds to three leases after the first.
	DuplicatedHeartbeats float64
	// ReplayedHeartbeats is the rate of the heartbeats of which a copy is replayed to all
	// controllers when the next controller starts.
	ReplayedHeartbeats float64
	// DropDirectCalls drops all calls of controllers to workers.
	DropDirectCalls bool

	// PeerMessageLoss is the rate of the messages between controllers that are lost, if
	// that is more than MessageLoss.
	PeerMessageLoss float64
	// DuplicatedPeerMessages is the rate of the messages between controllers of which a
	// copy arrives seconds to a minute late, at whatever process has the label then.
	DuplicatedPeerMessages float64

	// CancelOnCompletion is the rate of the jobs whose users cancel them at the moment at
	// which the last task completes.
	CancelOnCompletion float64
	// HangOnCancel is how long a machine of a job hangs when the job is cancelled.
	HangOnCancel time.Duration
	// RequestBursts has users poll a job at all controllers within milliseconds, and
	// repeat its submission, once it was accepted or reported terminal.
	RequestBursts bool

	// ImagePullTime, if not 0, is how long a machine pulls an image that it has not
	// cached; else it is random. The pull is given up when the task that needs it ends.
	ImagePullTime time.Duration
	// ProvisioningDelay, if set, is how long a machine takes from its provisioning until
	// its worker joins; else it is random.
	ProvisioningDelay func(machineType, zone string) time.Duration

	// FaultsOverAt is when the last fault was over; 0 while some may still come. Rules on
	// how long something may take hold from then on.
	FaultsOverAt time.Duration
}

func newFaults() Faults {
	return Faults{
		StorePartitioned:   map[int]bool{},
		WorkersPartitioned: map[int]bool{},
		PeersPartitioned:   map[int]bool{},
		DelayCommitsOf:     map[int]bool{},
	}
}

// PartitionZone partitions a zone and the controller in it from everything for a while.
func (c *Cluster) PartitionZone(zone string, inside int, d time.Duration) {
	c.PartitionedZone, c.ControllerInZone = zone, inside
	c.StorePartitioned[inside], c.PeersPartitioned[inside] = true, true
	c.At(d, func() {
		c.PartitionedZone = ""
		delete(c.StorePartitioned, inside)
		delete(c.PeersPartitioned, inside)
	})
}

// isPartitioned reports whether a partition lies between a zone's machines and a
// controller.
func (c *Cluster) isPartitioned(zone string, process *controllerProcess) bool {
	return c.PartitionedZone != "" && (zone == c.PartitionedZone) != (process.index == c.ControllerInZone)
}

// storeRejects reports whether the state store answers a controller's calls with a
// rejection.
func (c *Cluster) storeRejects(process *controllerProcess) bool {
	return c.StoreUnavailable || c.StorePartitioned[process.index]
}
