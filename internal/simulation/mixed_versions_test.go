package simulation

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/controller"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// TestCorruptRecordsAreIsolated checks that a job record and a placement record that cannot be
// decoded are left unchanged, that the tasks of that job keep running, and that the jobs of the
// other team are still started.
func TestCorruptRecordsAreIsolated(t *testing.T) {
	cluster := newLargeValueCluster(11, 3, (*Cluster).startNewerRelease)
	cluster.Run(5 * time.Second)
	cluster.requireRolloutChange(t, 0, cluster.compressedActivation(), http.StatusOK)
	submitBusyLoad(cluster)
	spec, _ := testJob(2000, 0) // of the team whose placement records stay intact
	spec.Tasks, spec.Team = 2, "red"
	cluster.At(0, func() { cluster.Submit(spec, 150*time.Second) })
	cluster.Run(20 * time.Second)

	corrupted := map[string]json.RawMessage{}
	corruptRecord := func(key string) {
		value, version, ok := cluster.store.Get(key)
		require.True(t, ok, key)
		corrupted[key] = value
		corrupt := json.RawMessage(`"KLUv/WQ="`)
		require.Equal(t, controller.Succeeded, cluster.store.Commit(wire.Transaction{If: []wire.Condition{{Key: key, Version: version}},
			Then: []wire.Change{{Put: key, Value: corrupt}}}).Outcome)
	}
	corruptRecord(record.JobKey(spec.ID))
	for _, entry := range cluster.store.List(record.PlacementPrefix + "blue/") {
		if len(decodePage(entry.Value).Groups) > 0 {
			corruptRecord(entry.Key)
			break
		}
	}
	require.Len(t, corrupted, 2)
	conflictsBefore := cluster.Observed[conflictingCommit]
	cluster.Run(15 * time.Second)
	require.Less(t, cluster.Observed[conflictingCommit]-conflictsBefore, 30, "conflicting commits are retried over and over")
	for i := range cluster.controllers { // so that no controller has the intact records cached
		cluster.restart(i, 2*time.Second)
	}
	cluster.Run(25 * time.Second)
	reply := &controller.Reply{}
	cluster.sendToController(cluster.controllers[0], func(id controller.RequestID) controller.Input { return controller.JobPolled{Request: id, Job: spec.ID} }, func(received controller.Reply) { *reply = received })
	cluster.Run(time.Second)
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	require.Len(t, cluster.jobs[spec.ID].active(), 2, "tasks of the job with a corrupt record must keep running")
	red := 0
	for id, job := range cluster.jobs {
		if job.spec.Team == "red" && id != spec.ID && job.submittedAt > cluster.now.Add(-20*time.Second) && job.startedAt != 0 {
			red++
		}
	}
	require.Positive(t, red, "no recent job of the other team has started")

	for key, value := range corrupted {
		_, version, _ := cluster.store.Get(key)
		require.Equal(t, controller.Succeeded, cluster.store.Commit(wire.Transaction{If: []wire.Condition{{Key: key, Version: version}},
			Then: []wire.Change{{Put: key, Value: value}}}).Outcome)
	}
	requireAllFinished(t, cluster)
}

// TestUnknownSettingsSurviveOlderController checks that settings stored by a later release keep
// their unknown fields when they are changed through an older controller, and that settings which
// this release cannot read are not overwritten.
func TestUnknownSettingsSurviveOlderController(t *testing.T) {
	cluster := newLargeValueCluster(12, 3, func(cluster *Cluster, i int) {
		if i == 1 {
			cluster.startOlderRelease(i)
		} else {
			cluster.startNewerRelease(i)
		}
	})
	cluster.Run(6 * time.Second)
	stored := wire.Change{Put: record.SettingsKey, Value: json.RawMessage(`{"idle_s":50,"of_a_later_release":{"x":[1]}}`)}
	require.Equal(t, controller.Succeeded, cluster.store.Commit(wire.Transaction{Then: []wire.Change{stored}}).Outcome)
	cluster.Run(2 * time.Second)
	_, version, _ := cluster.store.Get(record.SettingsKey)
	reply := &controller.Reply{}
	change := wire.AdminSettings{Version: version, Settings: json.RawMessage(`{"spare_least":3}`)}
	cluster.sendToController(cluster.controllers[1], func(id controller.RequestID) controller.Input {
		return controller.SettingsChangeRequested{Request: id, Change: change}
	}, func(received controller.Reply) { *reply = received })
	cluster.Run(2 * time.Second)
	require.Equal(t, http.StatusOK, reply.Status, "%v", reply.Body)
	value, _, _ := cluster.store.Get(record.SettingsKey)
	require.Contains(t, string(value), `"of_a_later_release":{"x":[1]}`)
	require.Contains(t, string(value), `"idle_s":50`)
	require.Contains(t, string(value), `"spare_least":3`)

	unreadable := wire.Change{Put: record.SettingsKey, Value: json.RawMessage(`{"idle_s":"for ever"}`)}
	require.Equal(t, controller.Succeeded, cluster.store.Commit(wire.Transaction{Then: []wire.Change{unreadable}}).Outcome)
	cluster.Run(2 * time.Second)
	cluster.sendToController(cluster.controllers[1], func(id controller.RequestID) controller.Input {
		return controller.SettingsChangeRequested{Request: id, Change: change}
	}, func(received controller.Reply) { *reply = received })
	cluster.Run(2 * time.Second)
	require.Equal(t, http.StatusConflict, reply.Status)
	value, _, _ = cluster.store.Get(record.SettingsKey)
	require.Equal(t, string(unreadable.Value), string(value), "unreadable settings must not be overwritten")
}
