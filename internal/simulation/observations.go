package simulation

import "fmt"

// Observation names something that the cluster counts, so that a test can show that
// what it is about took place.
type Observation string

// What transactions and records are counted as.
const (
	// unansweredCommit: a transaction was committed and its answer lost.
	unansweredCommit Observation = "commit without an answer"
	// conflictingCommit: a condition of a transaction did not hold.
	conflictingCommit Observation = "commit conflicted"
	valuesWritten     Observation = "values written"
	bytesWritten      Observation = "bytes written"
	// storeCompacted: changes were dropped, so that a controller has to load all keys.
	storeCompacted Observation = "store compacted"

	// placementConflictedOnShard: a placement conflicted on a shard's record, among
	// others perhaps.
	placementConflictedOnShard Observation = "placement conflicted on its shard"
	// placementConflictedOnTermination: it conflicted on the list of terminations alone.
	placementConflictedOnTermination Observation = "placement conflicted on a termination"
)

// What users' requests are counted as.
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

// What happens to controllers and machines is counted as.
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
)

// What happens to shards is counted as.
const (
	placedInShard                   Observation = "placed in a shard"
	shardAdopted                    Observation = "shard adopted"
	shardFailedOver                 Observation = "shard failed over"
	machineProvisionedInMovingShard Observation = "machine provisioned in a moving shard"
	machineTerminatedInMovingShard  Observation = "machine terminated in a moving shard"
	machineHungInMovingShard        Observation = "machine hung in a moving shard"
)

// delayedDirectCall: a controller's call to a worker was delayed by up to half a minute.
func delayedDirectCall(controller int) Observation {
	return Observation(fmt.Sprint("direct call delayed, ", controllerLabel(controller)))
}
