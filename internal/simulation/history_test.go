package simulation

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// TestHistoryDetectsViolations gives the checker one history for each rule, and a good
// one.
func TestHistoryDetectsViolations(t *testing.T) {
	const id = wire.JobID("wk-1")
	task := func(kind HistoryKind, index int, machine wire.MachineID) HistoryEvent {
		return HistoryEvent{Kind: kind, Machine: machine, Type: "c4", Zone: "east", Task: wire.TaskID{Job: id, Index: index}}
	}
	told := func(status wire.Status) HistoryEvent {
		return HistoryEvent{Kind: StatusReported, Job: id, Status: status}
	}
	cancelled := HistoryEvent{Kind: CancelRequested, Job: id}
	accepted := told(wire.StatusPending)
	elsewhere := task(TaskStarted, 0, "m-1")
	elsewhere.Zone = "west"
	late := task(TaskStarted, 1, "m-1")
	late.At = time.Unix(100, 0)
	for broken, events := range map[string][]HistoryEvent{
		"while on":         {accepted, task(TaskStarted, 0, "m-1"), task(TaskStarted, 0, "m-2"), told(wire.StatusDone)},
		"west":             {accepted, elsewhere},
		"cores of 2":       {accepted, task(TaskStarted, 0, "m-1"), task(TaskStarted, 1, "m-1"), task(TaskStarted, 2, "m-1")},
		"after its user":   {accepted, cancelled, told(wire.StatusCancelled), late},
		"and then":         {accepted, cancelled, told(wire.StatusCancelled), told(wire.StatusRunning)},
		"nobody asked":     {accepted, told(wire.StatusCancelled)},
		"done with 1":      {accepted, task(TaskStarted, 0, "m-1"), task(TaskCompleted, 0, "m-1"), told(wire.StatusDone)},
		"in the end":       {accepted},
		"nobody submitted": {{Kind: TaskStarted, Machine: "m-1", Task: wire.TaskID{Job: "wk-2"}}},
	} {
		h := historyOf(events)
		require.Contains(t, strings.Join(h.Check([]config.Team{{Name: "blue", CPUsMax: 2}}, time.Minute), "; "), broken)
	}
	placed := func(boot wire.FencingToken, epoch wire.ShardEpoch) HistoryEvent {
		event := task(TaskPlaced, 0, "m-1")
		event.Launcher, event.Epoch = boot, epoch
		return event
	}
	for broken, events := range map[string][]HistoryEvent{
		"two processes, 7 and 8": {placed(7, 1), placed(7, 1), placed(8, 1)},
		"after one under":        {placed(7, 1), placed(8, 2), placed(7, 1)},
	} {
		require.Contains(t, strings.Join(historyOf(events).Check(nil, time.Minute), "; "), broken)
	}
	require.Empty(t, historyOf([]HistoryEvent{placed(9, 0), placed(7, 1), placed(8, 2), placed(7, 3), placed(8, 0)}).Check(nil, time.Minute))
	older := told(wire.StatusRunning)
	older.RequestedAt = time.Unix(1, 0) // before the withdrawal was told, at 2
	require.Empty(t, historyOf([]HistoryEvent{accepted, cancelled, told(wire.StatusCancelled), older}).Check(nil, time.Minute))
	older.RequestedAt = time.Unix(2, 1)
	require.Len(t, historyOf([]HistoryEvent{accepted, cancelled, told(wire.StatusCancelled), older}).Check(nil, time.Minute), 1)
	good := historyOf([]HistoryEvent{accepted, task(TaskStarted, 0, "m-1"), task(TaskStopped, 0, "m-1"), task(TaskStarted, 0, "m-2"), task(TaskStarted, 1, "m-2"),
		task(TaskCompleted, 0, "m-2"), task(TaskCompleted, 1, "m-2"), task(TaskStarted, 2, "m-1"), task(TaskCompleted, 2, "m-1"), told(wire.StatusDone), told(wire.StatusDone)})
	require.Empty(t, good.Check([]config.Team{{Name: "blue", CPUsMax: 2}}, time.Minute))
}

// TestHistoryDetectsRepeatedTasks gives that checker a history for each way in which a task may have run
// other than exactly once, and a good one.
func TestHistoryDetectsRepeatedTasks(t *testing.T) {
	on := func(kind HistoryKind, index int, attempt wire.Attempt, machine wire.MachineID) HistoryEvent {
		return HistoryEvent{Kind: kind, Job: "wk-1", Machine: machine, Task: wire.TaskID{Job: "wk-1", Index: index}, Attempt: attempt}
	}
	var good []HistoryEvent
	for index := range 3 {
		for _, kind := range []HistoryKind{TaskPlaced, TaskStarted, TaskCompleted} {
			good = append(good, on(kind, index, 1, "m-1"))
		}
	}
	require.Empty(t, historyOf(good).CheckExactlyOnce())
	for broken, more := range map[string][]HistoryEvent{
		"wk-1/0 placed 2 times":              {on(TaskPlaced, 0, 2, "m-2")},
		"wk-1/1 started 2 times":             {on(TaskStarted, 1, 1, "m-1")},
		"wk-1/2 stopped 1 times":             {on(TaskStopped, 2, 1, "m-1")},
		"wk-1/2 completed 2 times":           {on(TaskCompleted, 2, 1, "m-1")},
		"started on m-2 without a placement": {on(TaskStarted, 0, 1, "m-2")},
	} {
		require.Contains(t, strings.Join(historyOf(append(more, good...)).CheckExactlyOnce(), "; "), broken)
	}
	require.Contains(t, strings.Join(historyOf(good[:6]).CheckExactlyOnce(), "; "), "wk-1/2 placed 0 times")
	again := []HistoryEvent{on(TaskPlaced, 0, 9, "m-9"), on(TaskStarted, 0, 9, "m-9"), on(TaskStopped, 0, 9, "m-9"), {Kind: MachineTerminated, Machine: "m-9"}}
	require.Empty(t, historyOf(append(again, good...)).CheckExactlyOnce())
	require.NotEmpty(t, historyOf(append(again[:3], good...)).CheckExactlyOnce())
	require.Contains(t, strings.Join(historyOf(append(again, good[3:]...)).CheckExactlyOnce(), "; "), "wk-1/0 never completed")
	called := HistoryEvent{Kind: CancelRequested, Job: "wk-1"}
	require.Empty(t, historyOf(append(good[:5], called)).CheckExactlyOnce())
}

func historyOf(events []HistoryEvent) *History {
	h := NewHistory()
	h.RecordSubmission(wire.JobSpec{ID: "wk-1", Team: "blue", Tasks: 3, Cores: 1, Zone: "east"})
	for i, event := range events {
		if event.At.IsZero() {
			event.At = time.Unix(int64(i), 0)
		}
		h.events = append(h.events, event)
	}
	return h
}
