package simulation

import "fmt"

// Observation is a kind of event that the cluster counts. A test uses the counts to show
// that the events that it depends on took place.
type Observation string

// Observations of transactions and records.
const (
	// unansweredCommit counts transactions that were committed and whose answer was lost.
	unansweredCommit Observation = "commit without an answer"
	// conflictingCommit counts transactions with a condition that did not hold.
	conflictingCommit Observation = "commit conflicted"
	valuesWritten     Observation = "values written"
	bytesWritten      Observation = "bytes written"
	// storeCompacted counts compactions, after which controllers have to load all keys.
	storeCompacted Observation = "store compacted"

	// placementConflictedOnShard counts placements that conflicted on the record of a shard,
	// and possibly on other records.
	placementConflictedOnShard Observation = "placement conflicted on its shard"
	// placementConflictedOnTermination counts placements that conflicted on the list of
	// terminations only.
	placementConflictedOnTermination Observation = "placement conflicted on a termination"
)

// Observations of users' requests.
const (
	jobCancelled              Observation = "job reported cancelled"
	startAfterCancellation    Observation = "task started after its cancellation was reported"
	cancelledOnCompletion     Observation = "cancelled as the last task completed"
	cancelledAfterCompletion  Observation = "cancelled when done"
	submissionRepeated        Observation = "submission repeated"
	unschedulableJobRejected  Observation = "unschedulable job rejected"
	requestBurst              Observation = "burst of requests"
	machineHungOnCancellation Observation = "machine hung on a cancellation"
)

// Observations of controllers and machines.
const (
	controllerRestarted        Observation = "controller restarted"
	provisionerPartitioned     Observation = "provisioner partitioned"
	replayToNewController      Observation = "heartbeat replayed to a new controller"
	replayOfEarlierEpoch       Observation = "replayed heartbeat of an earlier agent epoch"
	peerMessageOfEarlierFormat Observation = "peer message of an earlier format"
	teamAtLimit                Observation = "team at its limit"
	machineUnreachable         Observation = "machine unreachable"
	machineDied                Observation = "machine died"
	machineInNewEpoch          Observation = "machine in a new agent epoch"
	workerRestarted            Observation = "worker restarted"
	directCallCopied           Observation = "direct call copied"
	launchedByCopy             Observation = "task launched by a copy"
)

// Observations of shards.
const (
	placedInShard                   Observation = "placed in a shard"
	shardAdopted                    Observation = "shard adopted"
	shardFailedOver                 Observation = "shard failed over"
	machineProvisionedInMovingShard Observation = "machine provisioned in a moving shard"
	machineTerminatedInMovingShard  Observation = "machine terminated in a moving shard"
	machineHungInMovingShard        Observation = "machine hung in a moving shard"
)

// delayedDirectCall returns the observation that a direct call of a controller to a worker
// was delayed by up to half a minute.
func delayedDirectCall(controller int) Observation {
	return Observation(fmt.Sprint("direct call delayed, ", controllerLabel(controller)))
}
