package simulation

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/controller"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// plainFormatFeatures is the features of a controller that reads the first format only.
func plainFormatFeatures() config.Features {
	f := config.DefaultFeatures()
	f.Rollout.NewestFormat = record.FormatPlain
	return f
}

// startOlder starts a controller that reads the first format only, or ends it and
// starts it so.
func (w *Cluster) startOlder(i int) {
	w.Features[i] = plainFormatFeatures()
	w.Start(i)
}

// startNewer starts a controller that reads all formats.
func (w *Cluster) startNewer(i int) {
	delete(w.Features, i)
	w.Start(i)
}

// changeRollout asks a controller for a change; the reply is there some time later.
func (w *Cluster) changeRollout(i int, change wire.AdminRolloutChange) *controller.Reply {
	reply := &controller.Reply{}
	w.sendToController(w.controllers[i], func(id controller.RequestID) controller.Input {
		return controller.RolloutChangeRequested{Request: id, Change: change}
	},
		func(r controller.Reply) { *reply = r })
	return reply
}

// activateCompressed is the change that activates the compressed format, made from the version
// that stands in the state service.
func (w *Cluster) activateCompressed() wire.AdminRolloutChange {
	format := record.FormatCompressed
	return wire.AdminRolloutChange{Version: w.rolloutVersion(), Activate: &format}
}

func (w *Cluster) rolloutVersion() wire.Revision {
	_, version, _ := w.store.Get(record.RolloutKey)
	return version
}

// mustChange makes a change and wants a status.
func (w *Cluster) mustChange(t *testing.T, i int, change wire.AdminRolloutChange, status int) string {
	t.Helper()
	reply := w.changeRollout(i, change)
	w.Run(2 * second)
	body, err := json.Marshal(reply.Body)
	require.NoError(t, err)
	require.Equal(t, status, reply.Status, "%s", body)
	return string(body)
}

// compressedRecords counts the records in the state service that are compressed.
func (w *Cluster) compressedRecords() int {
	n := 0
	for _, e := range w.store.List(record.RootKey) {
		if strings.HasPrefix(string(e.Value), `"`) {
			n++
		}
	}
	return n
}

// newLargeValueCluster has values large enough for records to be compressed.
func newLargeValueCluster(seed uint64, controllers int, start func(w *Cluster, i int)) *Cluster {
	set := testSettings()
	set.Cluster.State.ValueKB = 8
	for i := range set.Cluster.Teams {
		set.Cluster.Teams[i].CPUsMax = 60
	}
	w := NewCluster(set, machineTypes, controllers, seed)
	for i := range 12 {
		w.AddMachine(machineTypes[0], zones[i%len(zones)], false, 0)
	}
	for i := range controllers {
		start(w, i)
	}
	return w
}

// submitBusyLoad submits arrays, gangs and services for a minute and a half, some called off.
func submitBusyLoad(w *Cluster) {
	submitMixedJobs(w, 120, 7)
	for n := range 4 {
		spec, _ := testJob(1000+n, 0)
		spec.Tasks = 24
		w.At(time.Duration(3+10*n)*second, func() { w.Submit(spec, 25*second) })
	}
}

// requireAllFinished lets everything end and wants that nothing broke a rule on the way.
func requireAllFinished(t *testing.T, w *Cluster) {
	t.Helper()
	w.Run(60 * second)
	w.FaultsOverAt = w.Now()
	w.Run(150 * second)
	require.Empty(t, w.Violations)
	require.Empty(t, w.Unfinished())
}

// TestRolloutControllerDown: a controller that is down throughout holds the activation
// up, by name, until an operator excludes it; back as it was, it must not serve.
func TestRolloutControllerDown(t *testing.T) {
	w := newLargeValueCluster(1, 3, (*Cluster).startOlder)
	submitBusyLoad(w)
	w.Run(8 * second)
	w.Stop(2)
	w.Run(8 * second)
	w.startNewer(0)
	w.startNewer(1)
	w.Run(5 * second)
	require.Contains(t, w.mustChange(t, 0, w.activateCompressed(), http.StatusConflict), "rig-2 is down")
	w.mustChange(t, 1, wire.AdminRolloutChange{Version: w.rolloutVersion(), Exclude: "rig-2", Reason: "its host burnt"}, http.StatusOK)
	w.mustChange(t, 0, w.activateCompressed(), http.StatusOK)
	require.Equal(t, record.FormatCompressed, w.ActiveFormat())
	w.Run(10 * second)
	require.Positive(t, w.compressedRecords(), "records are compressed now")

	w.startOlder(2)
	w.Run(10 * second)
	require.Len(t, w.Shutdowns, 1)
	require.Equal(t, 2, w.Shutdowns[0].Controller)
	require.ErrorContains(t, w.Shutdowns[0].Cause, "format 2 is in force")
	w.startNewer(2)
	w.Run(10 * second)
	require.True(t, w.controllers[2].controller.Healthy())
	requireAllFinished(t, w)
}

// TestRollbackAfterHalf: with half of the controllers upgraded nothing of the later
// format is written, and they may go back.
func TestRollbackAfterHalf(t *testing.T) {
	w := newLargeValueCluster(2, 4, (*Cluster).startOlder)
	submitBusyLoad(w)
	for i := range 2 {
		w.At(time.Duration(15+8*i)*second, func() { w.startNewer(i) })
	}
	w.Run(35 * second)
	require.Contains(t, w.mustChange(t, 0, w.activateCompressed(), http.StatusConflict), "rig-3 reads formats 1 to 1 only")
	for i := range 2 {
		w.At(time.Duration(5+8*i)*second, func() { w.startOlder(i) })
	}
	w.Run(60 * second)
	require.Zero(t, w.compressedRecords())
	require.Empty(t, w.Shutdowns)
	for i := range w.controllers {
		require.True(t, w.controllers[i].controller.Healthy())
	}
	requireAllFinished(t, w)
}

// TestRolloutPausedController: an older controller stands still across the activation,
// with writes and direct calls under way that are carried out after it, and goes on
// with what waited in its buffers. It ends by itself, and nothing runs twice.
func TestRolloutPausedController(t *testing.T) {
	unanswered, heldUp := 0, 0
	for seed := range uint64(8) {
		w := newLargeValueCluster(30+seed, 3, func(w *Cluster, i int) {
			if i == 2 {
				w.startOlder(i)
			} else {
				w.startNewer(i)
			}
		})
		submitBusyLoad(w)
		w.Run(18 * second)
		w.DelayedCommits, w.MessageLoss = 0.6, 0.4
		w.Run(5 * second)
		w.Stall(2, 25*second)
		w.DelayedCommits, w.MessageLoss = 0, 0
		w.Run(9 * second) // its lease runs out
		w.mustChange(t, 0, wire.AdminRolloutChange{Version: w.rolloutVersion(), Exclude: "rig-2", Reason: "hangs"}, http.StatusOK)
		w.mustChange(t, 0, w.activateCompressed(), http.StatusOK)
		w.Run(20 * second)
		require.Len(t, w.Shutdowns, 1, "seed %d", seed)
		unanswered += w.Observed["unanswered write"]
		heldUp += w.Observed["call held up, rig-2"]
		w.startNewer(2)
		requireAllFinished(t, w)
	}
	require.Greater(t, unanswered, 8, "writes that were carried out late")
	require.Greater(t, heldUp, 8, "direct calls of the older controller that came late")
}

// TestRolloutStartInTheMoment: an older process that starts in the very moment of the
// activation either is waited for or ends; never do both succeed.
func TestRolloutStartInTheMoment(t *testing.T) {
	refused, retired := 0, 0
	for step := range 40 {
		w := newLargeValueCluster(uint64(100+step), 3, (*Cluster).startNewer)
		w.Run(5 * second)
		w.Stop(2)
		w.Run(7 * second)
		w.mustChange(t, 0, wire.AdminRolloutChange{Version: w.rolloutVersion(), Exclude: "rig-2", Reason: "for long"}, http.StatusOK)
		w.startOlder(2)
		var reply *controller.Reply
		w.At(time.Duration(step)*5*time.Millisecond, func() { reply = w.changeRollout(0, w.activateCompressed()) })
		w.Run(15 * second)
		if w.ActiveFormat() == record.FormatCompressed {
			require.Equal(t, http.StatusOK, reply.Status)
			require.Len(t, w.Shutdowns, 1)
			retired++
		} else {
			require.Equal(t, http.StatusConflict, reply.Status)
			require.True(t, w.controllers[2].controller.Healthy())
			refused++
		}
		require.Empty(t, w.Violations)
	}
	require.Positive(t, refused)
	require.Positive(t, retired)
}

// TestActivationAnswerLost: the activation is carried out and only its answer lost. The
// operator is told that it may have been; asked again it is in force.
func TestActivationAnswerLost(t *testing.T) {
	w := newLargeValueCluster(4, 3, (*Cluster).startNewer)
	w.Run(10 * second)
	change := w.activateCompressed()
	w.DelayedCommits, w.LoseAnswersOnly = 1, true
	reply := w.changeRollout(0, change)
	w.Run(3 * second)
	w.DelayedCommits = 0
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	require.Positive(t, reply.RetryAfter)
	require.Equal(t, record.FormatCompressed, w.ActiveFormat())
	require.Contains(t, w.mustChange(t, 1, change, http.StatusConflict), "stale")
	require.Contains(t, w.mustChange(t, 1, w.activateCompressed(), http.StatusConflict), "in force already")
	submitBusyLoad(w)
	w.Run(30 * second)
	require.Positive(t, w.compressedRecords())
	requireAllFinished(t, w)
}

// TestRolloutStateService: while the state service is away the operator is told to come
// back; one that it refuses for longer than a lease holds the activation up.
func TestRolloutStateService(t *testing.T) {
	w := newLargeValueCluster(5, 3, (*Cluster).startNewer)
	submitBusyLoad(w)
	w.Run(10 * second)
	w.storeOutage(10 * second)
	w.Run(4 * second)
	reply := w.changeRollout(0, w.activateCompressed())
	w.Run(2 * second)
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	require.Positive(t, reply.RetryAfter)
	w.Run(10 * second)
	w.partitionFromStore(1, 20*second)
	w.Run(8 * second)
	require.Contains(t, w.mustChange(t, 0, w.activateCompressed(), http.StatusConflict), "rig-1 is down")
	require.Equal(t, record.FormatPlain, w.ActiveFormat())
	w.Run(20 * second)
	w.mustChange(t, 1, w.activateCompressed(), http.StatusOK)
	requireAllFinished(t, w)
}

// TestExcludedControllerReturns: an exclusion holds for the processes of before only.
// One that returns and reads too little holds the activation up again.
func TestExcludedControllerReturns(t *testing.T) {
	w := newLargeValueCluster(6, 3, (*Cluster).startNewer)
	w.Run(5 * second)
	w.mustChange(t, 0, wire.AdminRolloutChange{Exclude: "rig-2", Reason: "alive"}, http.StatusConflict)
	w.Stop(2)
	w.Run(7 * second)
	w.mustChange(t, 0, wire.AdminRolloutChange{Exclude: "rig-2", Reason: "being repaired"}, http.StatusOK)
	w.startOlder(2)
	w.Run(5 * second)
	require.Contains(t, w.mustChange(t, 0, w.activateCompressed(), http.StatusConflict), "rig-2 reads formats 1 to 1 only")
	w.Stop(2)
	w.Run(7 * second)
	require.Contains(t, w.mustChange(t, 0, w.activateCompressed(), http.StatusConflict), "rig-2 is down")
	w.startNewer(2)
	w.Run(5 * second)
	w.mustChange(t, 2, w.activateCompressed(), http.StatusOK)
	submitBusyLoad(w)
	requireAllFinished(t, w)
}

// TestTwoOperatorsActivate: of two that activate at once, from the same version, one
// succeeds and the other is told.
func TestTwoOperatorsActivate(t *testing.T) {
	for seed := range uint64(10) {
		w := newLargeValueCluster(200+seed, 3, (*Cluster).startNewer)
		w.Run(6 * second)
		first, second := w.changeRollout(0, w.activateCompressed()), w.changeRollout(1, w.activateCompressed())
		w.Run(3 * time.Second)
		require.ElementsMatch(t, []int{http.StatusOK, http.StatusConflict}, []int{first.Status, second.Status})
		require.Equal(t, record.FormatCompressed, w.ActiveFormat())
		require.Empty(t, w.Violations)
	}
}

// TestRestartIntoMixedVersions: all end and come back, some of them older, before and
// after the activation.
func TestRestartIntoMixedVersions(t *testing.T) {
	w := newLargeValueCluster(7, 4, (*Cluster).startNewer)
	submitBusyLoad(w)
	w.Run(12 * second)
	mixed := func() {
		for i := range w.controllers {
			w.Stop(i)
		}
		w.Run(3 * second)
		for i := range w.controllers {
			if i%2 == 0 {
				w.startNewer(i)
			} else {
				w.startOlder(i)
			}
		}
		w.Run(10 * second)
	}
	mixed()
	require.Empty(t, w.Shutdowns)
	require.Contains(t, w.mustChange(t, 0, w.activateCompressed(), http.StatusConflict), "rig-1 reads")
	w.startNewer(1)
	w.startNewer(3)
	w.Run(8 * second)
	w.mustChange(t, 1, w.activateCompressed(), http.StatusOK)
	w.Run(5 * second)
	mixed()
	require.Len(t, w.Shutdowns, 2)
	require.True(t, w.controllers[0].controller.Healthy() && w.controllers[2].controller.Healthy())
	requireAllFinished(t, w)
}

// TestLinesOfEarlierFormat: copies of lines from before the activation, and from
// processes of before, come long after it.
func TestLinesOfEarlierFormat(t *testing.T) {
	w := newLargeValueCluster(8, 3, (*Cluster).startNewer)
	w.DuplicatedPeerMessages = 0.2
	submitBusyLoad(w)
	w.Run(30 * second)
	w.mustChange(t, 0, w.activateCompressed(), http.StatusOK)
	w.At(5*second, func() { w.restart(1, 2*second) })
	w.Run(70 * second)
	w.DuplicatedPeerMessages = 0
	require.Greater(t, w.Observed["line of an earlier format"], 20)
	requireAllFinished(t, w)
}

// TestUnregisteredBuild: a build that knows of no registration lists itself among the
// living and registers nothing. It holds the activation up, also over the record that
// a newer process of the same controller left.
func TestUnregisteredBuild(t *testing.T) {
	w := newLargeValueCluster(9, 3, (*Cluster).startNewer)
	w.Run(6 * second)
	w.Stop(2)
	w.Run(7 * second)
	lease := w.store.Grant(w.now, controller.Time(time.Hour))
	enrol := wire.Change{Put: record.LivenessKey("rig-2"), Value: json.RawMessage(`{"boot":9}`), LeaseID: lease}
	require.Equal(t, controller.Succeeded, w.store.Commit(wire.Transaction{Then: []wire.Change{enrol}}).Outcome)
	w.Run(second)
	require.Contains(t, w.mustChange(t, 0, w.activateCompressed(), http.StatusConflict), "rig-2 runs a build that does not register")
	w.mustChange(t, 0, wire.AdminRolloutChange{Version: w.rolloutVersion(), Exclude: "rig-2", Reason: "old"}, http.StatusConflict)
	require.Equal(t, record.FormatPlain, w.ActiveFormat())
}

// TestAutomaticActivation: where the deployment wants it, a format comes into force by
// itself, once all have been ready for long enough without a break.
func TestAutomaticActivation(t *testing.T) {
	w := newLargeValueCluster(10, 3, func(w *Cluster, i int) {
		f, settle := config.DefaultFeatures(), 20.0
		f.Rollout.Activation, f.Rollout.SettleS = config.ActivationAutomatic, &settle
		w.Features[i] = f
		w.Start(i)
	})
	w.Run(15 * second)
	w.Stop(1)
	w.Run(30 * second)
	require.Equal(t, record.FormatPlain, w.ActiveFormat(), "one is down")
	w.Start(1)
	w.Run(15 * second)
	require.Equal(t, record.FormatPlain, w.ActiveFormat(), "not settled")
	w.Run(15 * second)
	require.Equal(t, record.Newest, w.ActiveFormat())
	require.Empty(t, w.Violations)
}

// TestDamagedRecords: a job record and a placement record that cannot be understood are
// left alone, with what they speak of, and take nothing else down.
func TestDamagedRecords(t *testing.T) {
	w := newLargeValueCluster(11, 3, (*Cluster).startNewer)
	w.Run(5 * second)
	w.mustChange(t, 0, w.activateCompressed(), http.StatusOK)
	submitBusyLoad(w)
	spec, _ := testJob(2000, 0) // of the team whose records stay whole
	spec.Tasks, spec.Team = 2, "red"
	w.At(0, func() { w.Submit(spec, 150*second) })
	w.Run(20 * second)

	damaged := map[string]json.RawMessage{}
	damage := func(key string) {
		value, version, ok := w.store.Get(key)
		require.True(t, ok, key)
		damaged[key] = value
		spoilt := json.RawMessage(`"KLUv/WQ="`)
		require.Equal(t, controller.Succeeded, w.store.Commit(wire.Transaction{If: []wire.Condition{{Key: key, Version: version}},
			Then: []wire.Change{{Put: key, Value: spoilt}}}).Outcome)
	}
	damage(record.JobKey(spec.ID))
	for _, e := range w.store.List(record.PlacementPrefix + "blue/") {
		if len(decodePage(e.Value).Groups) > 0 {
			damage(e.Key)
			break
		}
	}
	require.Len(t, damaged, 2)
	lost := w.Observed["lost write"]
	w.Run(15 * second)
	require.Less(t, w.Observed["lost write"]-lost, 30, "writes that are lost over and over")
	for i := range w.controllers { // also where nothing is remembered from before
		w.restart(i, 2*second)
	}
	w.Run(25 * second)
	reply := &controller.Reply{}
	w.sendToController(w.controllers[0], func(id controller.RequestID) controller.Input { return controller.JobPolled{Request: id, Job: spec.ID} }, func(r controller.Reply) { *reply = r })
	w.Run(second)
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	require.Len(t, w.jobs[spec.ID].active(), 2, "its tasks run on")
	red := 0
	for id, j := range w.jobs {
		if j.spec.Team == "red" && id != spec.ID && j.submittedAt > w.now.Add(-20*second) && j.startedAt != 0 {
			red++
		}
	}
	require.Positive(t, red, "the other team's jobs start")

	for key, value := range damaged {
		_, version, _ := w.store.Get(key)
		require.Equal(t, controller.Succeeded, w.store.Commit(wire.Transaction{If: []wire.Condition{{Key: key, Version: version}},
			Then: []wire.Change{{Put: key, Value: value}}}).Outcome)
	}
	requireAllFinished(t, w)
}

// TestSettingsOutliveAnOlderController: settings that a later release stored keep its
// fields when they are changed through an older controller, and apply on all.
func TestSettingsOutliveAnOlderController(t *testing.T) {
	w := newLargeValueCluster(12, 3, func(w *Cluster, i int) {
		if i == 1 {
			w.startOlder(i)
		} else {
			w.startNewer(i)
		}
	})
	w.Run(6 * second)
	stored := wire.Change{Put: record.SettingsKey, Value: json.RawMessage(`{"idle_s":50,"of_a_later_release":{"x":[1]}}`)}
	require.Equal(t, controller.Succeeded, w.store.Commit(wire.Transaction{Then: []wire.Change{stored}}).Outcome)
	w.Run(2 * second)
	_, version, _ := w.store.Get(record.SettingsKey)
	reply := &controller.Reply{}
	change := wire.AdminSettings{Version: version, Settings: json.RawMessage(`{"spare_least":3}`)}
	w.sendToController(w.controllers[1], func(id controller.RequestID) controller.Input {
		return controller.SettingsChangeRequested{Request: id, Change: change}
	}, func(r controller.Reply) { *reply = r })
	w.Run(2 * second)
	require.Equal(t, http.StatusOK, reply.Status, "%v", reply.Body)
	value, _, _ := w.store.Get(record.SettingsKey)
	require.Contains(t, string(value), `"of_a_later_release":{"x":[1]}`)
	require.Contains(t, string(value), `"idle_s":50`)
	require.Contains(t, string(value), `"spare_least":3`)

	strange := wire.Change{Put: record.SettingsKey, Value: json.RawMessage(`{"idle_s":"for ever"}`)}
	require.Equal(t, controller.Succeeded, w.store.Commit(wire.Transaction{Then: []wire.Change{strange}}).Outcome)
	w.Run(2 * second)
	w.sendToController(w.controllers[1], func(id controller.RequestID) controller.Input {
		return controller.SettingsChangeRequested{Request: id, Change: change}
	}, func(r controller.Reply) { *reply = r })
	w.Run(2 * second)
	require.Equal(t, http.StatusConflict, reply.Status)
	value, _, _ = w.store.Get(record.SettingsKey)
	require.Equal(t, string(strange.Value), string(value), "not written over")
}
