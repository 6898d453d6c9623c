package simulation

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/controller"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// TestRolloutControllerDown checks that the activation of a format is rejected, with the name
// of the controller that is down, until an operator excludes this controller. When it is
// started again with the older release, it must shut down instead of serving.
func TestRolloutControllerDown(t *testing.T) {
	cluster := newLargeValueCluster(1, 3, (*Cluster).startOlderRelease)
	submitBusyLoad(cluster)
	cluster.Run(8 * time.Second)
	cluster.Stop(2)
	cluster.Run(8 * time.Second)
	cluster.startNewerRelease(0)
	cluster.startNewerRelease(1)
	cluster.Run(5 * time.Second)
	require.Contains(t, cluster.requireRolloutChange(t, 0, cluster.compressedActivation(), http.StatusConflict), "rig-2 is down")
	cluster.requireRolloutChange(t, 1, wire.AdminRolloutChange{Version: cluster.rolloutVersion(), Exclude: "rig-2", Reason: "its host burnt"}, http.StatusOK)
	cluster.requireRolloutChange(t, 0, cluster.compressedActivation(), http.StatusOK)
	require.Equal(t, record.FormatCompressed, cluster.ActiveFormat())
	cluster.Run(10 * time.Second)
	require.Positive(t, cluster.countCompressedRecords(), "no records are compressed after the activation")

	cluster.startOlderRelease(2)
	cluster.Run(10 * time.Second)
	require.Len(t, cluster.Shutdowns, 1)
	require.Equal(t, 2, cluster.Shutdowns[0].Controller)
	require.ErrorContains(t, cluster.Shutdowns[0].Cause, "format 2 is in force")
	cluster.startNewerRelease(2)
	cluster.Run(10 * time.Second)
	require.True(t, cluster.controllers[2].controller.Healthy())
	requireAllFinished(t, cluster)
}

// TestRollbackOfHalfUpgradedCluster checks that no records of the later format are written
// while only half of the controllers are upgraded, and that these can be rolled back.
func TestRollbackOfHalfUpgradedCluster(t *testing.T) {
	cluster := newLargeValueCluster(2, 4, (*Cluster).startOlderRelease)
	submitBusyLoad(cluster)
	for i := range 2 {
		cluster.At(time.Duration(15+8*i)*time.Second, func() { cluster.startNewerRelease(i) })
	}
	cluster.Run(35 * time.Second)
	require.Contains(t, cluster.requireRolloutChange(t, 0, cluster.compressedActivation(), http.StatusConflict), "rig-3 reads formats 1 to 1 only")
	for i := range 2 {
		cluster.At(time.Duration(5+8*i)*time.Second, func() { cluster.startOlderRelease(i) })
	}
	cluster.Run(60 * time.Second)
	require.Zero(t, cluster.countCompressedRecords())
	require.Empty(t, cluster.Shutdowns)
	for i := range cluster.controllers {
		require.True(t, cluster.controllers[i].controller.Healthy())
	}
	requireAllFinished(t, cluster)
}

// TestStalledControllerDuringActivation checks a controller of the older release that stalls
// during the activation. Its commits and direct calls under way are executed after the
// activation, and when it resumes it handles its buffered inputs. It must shut down, and no
// task may run twice.
func TestStalledControllerDuringActivation(t *testing.T) {
	unanswered, delayed := 0, 0
	for seed := range uint64(8) {
		cluster := newLargeValueCluster(30+seed, 3, func(cluster *Cluster, i int) {
			if i == 2 {
				cluster.startOlderRelease(i)
			} else {
				cluster.startNewerRelease(i)
			}
		})
		submitBusyLoad(cluster)
		cluster.Run(18 * time.Second)
		cluster.DelayedCommits, cluster.MessageLoss = 0.6, 0.4
		cluster.Run(5 * time.Second)
		cluster.Stall(2, 25*time.Second)
		cluster.DelayedCommits, cluster.MessageLoss = 0, 0
		cluster.Run(9 * time.Second)
		cluster.runUntilLeaseExpired(t, 2, 10*time.Second)
		cluster.requireRolloutChange(t, 0, wire.AdminRolloutChange{Version: cluster.rolloutVersion(), Exclude: "rig-2", Reason: "hangs"}, http.StatusOK)
		cluster.requireRolloutChange(t, 0, cluster.compressedActivation(), http.StatusOK)
		cluster.Run(20 * time.Second)
		require.Len(t, cluster.Shutdowns, 1, "seed %d", seed)
		unanswered += cluster.Observed[unansweredCommit]
		delayed += cluster.Observed[delayedDirectCall(2)]
		cluster.startNewerRelease(2)
		requireAllFinished(t, cluster)
	}
	require.Greater(t, unanswered, 8, "too few commits were executed late")
	require.Greater(t, delayed, 8, "too few direct calls of the older controller were delayed")
}

// TestControllerStartRacesActivation checks a process of the older release that starts at the
// same time as the activation. Either the activation is rejected or the process shuts down.
func TestControllerStartRacesActivation(t *testing.T) {
	rejected, activated := 0, 0
	for step := range 40 {
		cluster := newLargeValueCluster(uint64(100+step), 3, (*Cluster).startNewerRelease)
		cluster.Run(5 * time.Second)
		cluster.Stop(2)
		cluster.Run(7 * time.Second)
		cluster.requireRolloutChange(t, 0, wire.AdminRolloutChange{Version: cluster.rolloutVersion(), Exclude: "rig-2", Reason: "for long"}, http.StatusOK)
		cluster.startOlderRelease(2)
		var reply *controller.Reply
		cluster.At(time.Duration(step)*5*time.Millisecond, func() { reply = cluster.changeRollout(0, cluster.compressedActivation()) })
		cluster.Run(15 * time.Second)
		if cluster.ActiveFormat() == record.FormatCompressed {
			require.Equal(t, http.StatusOK, reply.Status)
			require.Len(t, cluster.Shutdowns, 1)
			activated++
		} else {
			require.Equal(t, http.StatusConflict, reply.Status)
			require.True(t, cluster.controllers[2].controller.Healthy())
			rejected++
		}
		require.Empty(t, cluster.Violations)
	}
	require.Positive(t, rejected)
	require.Positive(t, activated)
}

// TestActivationAnswerLost checks an activation that is committed but whose answer is lost.
// The reply leaves open whether the change was made, and a new request is rejected because the
// format is in force.
func TestActivationAnswerLost(t *testing.T) {
	cluster := newLargeValueCluster(4, 3, (*Cluster).startNewerRelease)
	cluster.Run(10 * time.Second)
	change := cluster.compressedActivation()
	cluster.DelayedCommits, cluster.LoseAnswersOnly = 1, true
	reply := cluster.changeRollout(0, change)
	cluster.Run(3 * time.Second)
	cluster.DelayedCommits = 0
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	require.Positive(t, reply.RetryAfter)
	require.Equal(t, record.FormatCompressed, cluster.ActiveFormat())
	require.Contains(t, cluster.requireRolloutChange(t, 1, change, http.StatusConflict), "stale")
	require.Contains(t, cluster.requireRolloutChange(t, 1, cluster.compressedActivation(), http.StatusConflict), "in force already")
	submitBusyLoad(cluster)
	cluster.Run(30 * time.Second)
	require.Positive(t, cluster.countCompressedRecords())
	requireAllFinished(t, cluster)
}

// TestActivationDuringStoreOutage checks that the operator is asked to retry while the state
// store is unavailable, and that the activation is rejected while a controller has been
// partitioned from the store for longer than a lease.
func TestActivationDuringStoreOutage(t *testing.T) {
	cluster := newLargeValueCluster(5, 3, (*Cluster).startNewerRelease)
	submitBusyLoad(cluster)
	cluster.Run(10 * time.Second)
	cluster.injectStoreOutage(10 * time.Second)
	cluster.Run(4 * time.Second)
	reply := cluster.changeRollout(0, cluster.compressedActivation())
	cluster.Run(2 * time.Second)
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	require.Positive(t, reply.RetryAfter)
	cluster.Run(10 * time.Second)
	cluster.partitionFromStore(1, 20*time.Second)
	cluster.Run(8 * time.Second)
	require.Contains(t, cluster.requireRolloutChange(t, 0, cluster.compressedActivation(), http.StatusConflict), "rig-1 is down")
	require.Equal(t, record.FormatPlain, cluster.ActiveFormat())
	cluster.Run(20 * time.Second)
	cluster.requireRolloutChange(t, 1, cluster.compressedActivation(), http.StatusOK)
	requireAllFinished(t, cluster)
}

// TestExcludedControllerReturns checks that an exclusion applies to earlier processes of the
// controller only. If the controller returns with a release that does not read the format,
// the activation is rejected again.
func TestExcludedControllerReturns(t *testing.T) {
	cluster := newLargeValueCluster(6, 3, (*Cluster).startNewerRelease)
	cluster.Run(5 * time.Second)
	cluster.requireRolloutChange(t, 0, wire.AdminRolloutChange{Exclude: "rig-2", Reason: "alive"}, http.StatusConflict)
	cluster.Stop(2)
	cluster.Run(7 * time.Second)
	cluster.requireRolloutChange(t, 0, wire.AdminRolloutChange{Exclude: "rig-2", Reason: "being repaired"}, http.StatusOK)
	cluster.startOlderRelease(2)
	cluster.Run(5 * time.Second)
	require.Contains(t, cluster.requireRolloutChange(t, 0, cluster.compressedActivation(), http.StatusConflict), "rig-2 reads formats 1 to 1 only")
	cluster.Stop(2)
	cluster.Run(7 * time.Second)
	require.Contains(t, cluster.requireRolloutChange(t, 0, cluster.compressedActivation(), http.StatusConflict), "rig-2 is down")
	cluster.startNewerRelease(2)
	cluster.Run(5 * time.Second)
	cluster.requireRolloutChange(t, 2, cluster.compressedActivation(), http.StatusOK)
	submitBusyLoad(cluster)
	requireAllFinished(t, cluster)
}

// TestConcurrentActivationsOneSucceeds checks that of two concurrent activations that are based
// on the same version one succeeds and the other is rejected.
func TestConcurrentActivationsOneSucceeds(t *testing.T) {
	for seed := range uint64(10) {
		cluster := newLargeValueCluster(200+seed, 3, (*Cluster).startNewerRelease)
		cluster.Run(6 * time.Second)
		firstReply, secondReply := cluster.changeRollout(0, cluster.compressedActivation()), cluster.changeRollout(1, cluster.compressedActivation())
		cluster.Run(3 * time.Second)
		require.ElementsMatch(t, []int{http.StatusOK, http.StatusConflict}, []int{firstReply.Status, secondReply.Status})
		require.Equal(t, record.FormatCompressed, cluster.ActiveFormat())
		require.Empty(t, cluster.Violations)
	}
}

// TestRestartIntoMixedVersions restarts all controllers, half of them with the older release,
// before and after the activation. After it, the older processes must shut down.
func TestRestartIntoMixedVersions(t *testing.T) {
	cluster := newLargeValueCluster(7, 4, (*Cluster).startNewerRelease)
	submitBusyLoad(cluster)
	cluster.Run(12 * time.Second)
	restartMixed := func() {
		for i := range cluster.controllers {
			cluster.Stop(i)
		}
		cluster.Run(3 * time.Second)
		for i := range cluster.controllers {
			if i%2 == 0 {
				cluster.startNewerRelease(i)
			} else {
				cluster.startOlderRelease(i)
			}
		}
		cluster.Run(10 * time.Second)
	}
	restartMixed()
	require.Empty(t, cluster.Shutdowns)
	require.Contains(t, cluster.requireRolloutChange(t, 0, cluster.compressedActivation(), http.StatusConflict), "rig-1 reads")
	cluster.startNewerRelease(1)
	cluster.startNewerRelease(3)
	cluster.Run(8 * time.Second)
	cluster.requireRolloutChange(t, 1, cluster.compressedActivation(), http.StatusOK)
	cluster.Run(5 * time.Second)
	restartMixed()
	require.Len(t, cluster.Shutdowns, 2)
	require.True(t, cluster.controllers[0].controller.Healthy() && cluster.controllers[2].controller.Healthy())
	requireAllFinished(t, cluster)
}

// TestPeerMessagesOfEarlierFormat checks that copies of peer messages that were sent before
// the activation, or by earlier processes, are harmless when they arrive long after it.
func TestPeerMessagesOfEarlierFormat(t *testing.T) {
	cluster := newLargeValueCluster(8, 3, (*Cluster).startNewerRelease)
	cluster.DuplicatedPeerMessages = 0.2
	submitBusyLoad(cluster)
	cluster.Run(30 * time.Second)
	cluster.requireRolloutChange(t, 0, cluster.compressedActivation(), http.StatusOK)
	cluster.At(5*time.Second, func() { cluster.restart(1, 2*time.Second) })
	cluster.Run(70 * time.Second)
	cluster.DuplicatedPeerMessages = 0
	require.Greater(t, cluster.Observed[peerMessageOfEarlierFormat], 20)
	requireAllFinished(t, cluster)
}

// TestUnregisteredBuild checks that the activation is rejected while a controller runs a build
// that predates registrations, which writes a liveness record but does not register the formats
// that it reads. The registration that a newer process of the same controller has left must
// not count for this build.
func TestUnregisteredBuild(t *testing.T) {
	cluster := newLargeValueCluster(9, 3, (*Cluster).startNewerRelease)
	cluster.Run(6 * time.Second)
	cluster.Stop(2)
	cluster.Run(7 * time.Second)
	lease := cluster.store.Grant(cluster.now, controller.Time(time.Hour))
	livenessChange := wire.Change{Put: record.LivenessKey("rig-2"), Value: json.RawMessage(`{"boot":9}`), LeaseID: lease}
	require.Equal(t, controller.Succeeded, cluster.store.Commit(wire.Transaction{Then: []wire.Change{livenessChange}}).Outcome)
	cluster.Run(time.Second)
	require.Contains(t, cluster.requireRolloutChange(t, 0, cluster.compressedActivation(), http.StatusConflict), "rig-2 runs a build that does not register")
	cluster.requireRolloutChange(t, 0, wire.AdminRolloutChange{Version: cluster.rolloutVersion(), Exclude: "rig-2", Reason: "old"}, http.StatusConflict)
	require.Equal(t, record.FormatPlain, cluster.ActiveFormat())
}

// TestAutomaticActivation checks that, where automatic activation is configured, a format is
// activated once all controllers have been ready for settle_s without interruption.
func TestAutomaticActivation(t *testing.T) {
	cluster := newLargeValueCluster(10, 3, func(cluster *Cluster, i int) {
		features, settle := config.DefaultFeatures(), 20.0
		features.Rollout.Activation, features.Rollout.SettleS = config.ActivationAutomatic, &settle
		cluster.Features[i] = features
		cluster.Start(i)
	})
	cluster.Run(15 * time.Second)
	cluster.Stop(1)
	cluster.Run(30 * time.Second)
	require.Equal(t, record.FormatPlain, cluster.ActiveFormat(), "activated while a controller is down")
	cluster.Start(1)
	cluster.Run(15 * time.Second)
	require.Equal(t, record.FormatPlain, cluster.ActiveFormat(), "activated before settle_s has passed")
	cluster.Run(15 * time.Second)
	require.Equal(t, record.NewestFormat, cluster.ActiveFormat())
	require.Empty(t, cluster.Violations)
}
