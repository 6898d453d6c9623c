package simulation

import (
	"time"

	"lilacrill/wire"
)

// Faults are the faults that a cluster injects until a test resets them. A rate is the
// fraction, from 0 to 1, of the messages, transactions or jobs that a fault affects. The
// keys of maps are the indexes of controllers.
type Faults struct {
	// MessageLoss is the rate of the messages that are lost, whose answer is lost, or that
	// are delayed and handled late.
	MessageLoss float64

	// StoreUnavailable and CloudUnavailable are outages of the state store and the cloud.
	StoreUnavailable, CloudUnavailable bool
	// StorePartitioned holds the controllers whose calls the state store rejects.
	StorePartitioned map[int]bool
	// WorkersPartitioned holds the controllers that cannot exchange messages with workers.
	WorkersPartitioned map[int]bool
	// PeersPartitioned holds the controllers that cannot exchange messages with their peers.
	PeersPartitioned map[int]bool
	// PartitionedZone is a zone whose machines are partitioned from all controllers except
	// ControllerInZone, the one in the zone, which is partitioned from all other machines.
	PartitionedZone  string
	ControllerInZone int

	// DelayedCommits is the rate of the transactions that get no answer and are committed
	// 2 to 12 s later, after newer ones.
	DelayedCommits float64
	// DelayCommitsOf holds the controllers whose transactions are all delayed like
	// DelayedCommits.
	DelayCommitsOf map[int]bool
	// DelayPlacements delays all transactions that add placements like DelayedCommits.
	DelayPlacements bool
	// LoseAnswersOnly makes the state store commit the transactions that would be delayed
	// at once, so that only their answers are lost.
	LoseAnswersOnly bool
	// StoreDelay is added to every call to the state store.
	StoreDelay time.Duration

	// DuplicatedHeartbeats is the rate of the heartbeats of which a copy arrives late, from
	// seconds to three leases after it was sent.
	DuplicatedHeartbeats float64
	// ReplayedHeartbeats is the rate of the heartbeats of which a copy is replayed to all
	// controllers when the next controller starts.
	ReplayedHeartbeats float64
	// CopiedDirectCalls is the rate of the controllers' calls to workers that are carried out once
	// more, up to maxCopiedCallDelay later, at the machine that has the address by then.
	CopiedDirectCalls float64
	// SpareUnansweredWorkers drops such copies at workers that have not been answered yet since
	// they started, and so have seen no token.
	SpareUnansweredWorkers bool
	// DropDirectCalls drops all calls of controllers to workers.
	DropDirectCalls bool

	// PeerMessageLoss is the rate of the messages between controllers that are lost, if it
	// is higher than MessageLoss.
	PeerMessageLoss float64
	// DuplicatedPeerMessages is the rate of the messages between controllers of which a
	// copy arrives seconds to a minute late, at the process that runs under the label of
	// the receiver by then.
	DuplicatedPeerMessages float64

	// CancelOnCompletion is the rate of the jobs that their users cancel at the moment at
	// which the last task completes.
	CancelOnCompletion float64
	// HangOnCancel is the time for which a machine of a job hangs when the job is cancelled.
	HangOnCancel time.Duration
	// RequestBursts makes users poll a job at all controllers within milliseconds and repeat
	// its submission. Such a burst is sent when the job has been accepted, when a terminal
	// status was reported, and with the cancellations of CancelOnCompletion.
	RequestBursts bool

	// ImagePullTime, if not 0, is the time that a machine takes to pull an image that it has
	// not cached. Otherwise the time is random. The pull is given up when the task that
	// needs the image ends.
	ImagePullTime time.Duration
	// ProvisioningDelay, if set, returns the time from the provisioning of a machine until
	// its worker joins. Otherwise the time is random.
	ProvisioningDelay func(machineType, zone string) time.Duration
	// ListedStatus, if set, returns the status with which the cloud lists a machine, or "" to
	// leave it out of the list. Otherwise the lists are up to recentListings seconds old.
	ListedStatus func(wire.CloudMachine) wire.MachineStatus

	// FaultsOverAt is the time at which the last fault ended, or 0 while more faults may
	// follow. Rules that limit how long something may take apply from then on.
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

// PartitionZone partitions a zone and the controller in it from everything else for d.
func (c *Cluster) PartitionZone(zone string, inside int, d time.Duration) {
	c.PartitionedZone, c.ControllerInZone = zone, inside
	c.StorePartitioned[inside], c.PeersPartitioned[inside] = true, true
	c.At(d, func() {
		c.PartitionedZone = ""
		delete(c.StorePartitioned, inside)
		delete(c.PeersPartitioned, inside)
	})
}

// isPartitioned reports whether the zone partition separates the machines of a zone from a
// controller.
func (c *Cluster) isPartitioned(zone string, process *controllerProcess) bool {
	return c.PartitionedZone != "" && (zone == c.PartitionedZone) != (process.index == c.ControllerInZone)
}

// storeRejects reports whether the state store rejects the calls of a controller.
func (c *Cluster) storeRejects(process *controllerProcess) bool {
	return c.StoreUnavailable || c.StorePartitioned[process.index]
}
