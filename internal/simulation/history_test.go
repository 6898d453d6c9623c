package simulation

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// TestHistoryDetectsViolations checks that History.Check reports a violation of each rule, and
// none for valid histories.
func TestHistoryDetectsViolations(t *testing.T) {
	const id = wire.JobID("wk-1")
	task := func(kind HistoryKind, index int, machine wire.MachineID) HistoryEvent {
		return HistoryEvent{Kind: kind, Machine: machine, Type: "c4", Zone: "east", Task: wire.TaskID{Job: id, Index: index}}
	}
	reported := func(status wire.Status) HistoryEvent {
		return HistoryEvent{Kind: StatusReported, Job: id, Status: status}
	}
	cancelled := HistoryEvent{Kind: CancelRequested, Job: id}
	accepted := reported(wire.StatusPending)
	inWrongZone := task(TaskStarted, 0, "m-1")
	inWrongZone.Zone = "west"
	startedLate := task(TaskStarted, 1, "m-1")
	startedLate.At = time.Unix(100, 0)
	for want, events := range map[string][]HistoryEvent{
		"while on":         {accepted, task(TaskStarted, 0, "m-1"), task(TaskStarted, 0, "m-2"), reported(wire.StatusDone)},
		"west":             {accepted, inWrongZone},
		"cores of 2":       {accepted, task(TaskStarted, 0, "m-1"), task(TaskStarted, 1, "m-1"), task(TaskStarted, 2, "m-1")},
		"after its user":   {accepted, cancelled, reported(wire.StatusCancelled), startedLate},
		"and then":         {accepted, cancelled, reported(wire.StatusCancelled), reported(wire.StatusRunning)},
		"nobody asked":     {accepted, reported(wire.StatusCancelled)},
		"done with 1":      {accepted, task(TaskStarted, 0, "m-1"), task(TaskCompleted, 0, "m-1"), reported(wire.StatusDone)},
		"in the end":       {accepted},
		"nobody submitted": {{Kind: TaskStarted, Machine: "m-1", Task: wire.TaskID{Job: "wk-2"}}},
	} {
		h := historyOf(events)
		require.Contains(t, strings.Join(h.Check([]config.Team{{Name: "blue", CPUsMax: 2}}, time.Minute), "; "), want)
	}
	placed := func(boot wire.FencingToken, epoch wire.ShardEpoch) HistoryEvent {
		event := task(TaskPlaced, 0, "m-1")
		event.Launcher, event.Epoch = boot, epoch
		return event
	}
	for want, events := range map[string][]HistoryEvent{
		"two processes, 7 and 8": {placed(7, 1), placed(7, 1), placed(8, 1)},
		"after one under":        {placed(7, 1), placed(8, 2), placed(7, 1)},
	} {
		require.Contains(t, strings.Join(historyOf(events).Check(nil, time.Minute), "; "), want)
	}
	require.Empty(t, historyOf([]HistoryEvent{placed(9, 0), placed(7, 1), placed(8, 2), placed(7, 3), placed(8, 0)}).Check(nil, time.Minute))
	older := reported(wire.StatusRunning)
	older.RequestedAt = time.Unix(1, 0) // before the cancellation was reported, at second 2
	require.Empty(t, historyOf([]HistoryEvent{accepted, cancelled, reported(wire.StatusCancelled), older}).Check(nil, time.Minute))
	older.RequestedAt = time.Unix(2, 1)
	require.Len(t, historyOf([]HistoryEvent{accepted, cancelled, reported(wire.StatusCancelled), older}).Check(nil, time.Minute), 1)
	valid := historyOf([]HistoryEvent{accepted, task(TaskStarted, 0, "m-1"), task(TaskStopped, 0, "m-1"), task(TaskStarted, 0, "m-2"), task(TaskStarted, 1, "m-2"),
		task(TaskCompleted, 0, "m-2"), task(TaskCompleted, 1, "m-2"), task(TaskStarted, 2, "m-1"), task(TaskCompleted, 2, "m-1"), reported(wire.StatusDone), reported(wire.StatusDone)})
	require.Empty(t, valid.Check([]config.Team{{Name: "blue", CPUsMax: 2}}, time.Minute))
}

// TestHistoryDetectsUnansweredQuestions checks that History.CheckAnswered reports jobs about which
// no question is answered for too long after the faults, and no others.
func TestHistoryDetectsUnansweredQuestions(t *testing.T) {
	second := func(n int) time.Time { return time.Unix(int64(n), 0) }
	asked := func(kind HistoryKind, at int) HistoryEvent {
		return HistoryEvent{Kind: kind, Job: "wk-1", Status: wire.StatusRunning, RequestedAt: second(at), At: second(at + 1)}
	}
	const limit = 75 * time.Second
	forgotten := historyOf([]HistoryEvent{asked(StatusReported, 5), asked(QuestionUnanswered, 20), asked(QuestionUnanswered, 60), asked(QuestionUnanswered, 94)})
	require.Len(t, forgotten.CheckAnswered(second(20), limit), 1)
	require.Empty(t, forgotten.CheckAnswered(second(21), limit), "questions from before the end of the faults do not count")
	answered := historyOf([]HistoryEvent{asked(QuestionUnanswered, 20), asked(StatusReported, 60), asked(QuestionUnanswered, 94), asked(QuestionUnanswered, 130)})
	require.Empty(t, answered.CheckAnswered(second(20), limit))

	require.Equal(t, 1, answered.AnsweredSince(second(60), []wire.JobID{"wk-1", "wk-2"}))
	require.Zero(t, answered.AnsweredSince(second(61), []wire.JobID{"wk-1"}))
	unknown := historyOf([]HistoryEvent{asked(StatusReported, 5), asked(JobNotFound, 6)})
	require.Contains(t, strings.Join(unknown.Check(nil, time.Minute), "; "), "not found")
}

// TestHistoryDetectsWaitingJobs checks that History.CheckWaiting reports a job that waits beside
// room, and none that waits because of its team's limit, its zone, or for less than the limit.
func TestHistoryDetectsWaitingJobs(t *testing.T) {
	types := []wire.MachineType{{Name: "c4", Cores: 4, MemGB: 32}}
	teams := []config.Team{{Name: "blue", CPUsMax: 2}}
	joined := HistoryEvent{Kind: MachineJoined, Machine: "m-1", Type: "c4", Zone: "east"}
	accepted := HistoryEvent{Kind: StatusReported, Job: "wk-1", Status: wire.StatusPending}
	check := func(zone string, tasks int, shape wire.Shape, events ...HistoryEvent) []string {
		h := historyOf(events)
		h.specs["wk-1"] = wire.JobSpec{ID: "wk-1", Team: "blue", Shape: shape, Tasks: tasks, Zone: zone, Cores: 1, MemGB: 1}
		return h.CheckWaiting(types, teams, time.Unix(10, 0), 90*time.Second)
	}
	at := func(second int, event HistoryEvent) HistoryEvent {
		event.At = time.Unix(int64(second), 0)
		return event
	}
	task := func(second, index int) HistoryEvent {
		return at(second, HistoryEvent{Kind: TaskStarted, Job: "wk-1", Machine: "m-1", Type: "c4", Zone: "east", Task: wire.TaskID{Job: "wk-1", Index: index}})
	}
	asked := HistoryEvent{Kind: QuestionUnanswered, Job: "wk-1"}

	require.Len(t, check("", 1, wire.ShapeArray, at(1, joined), at(2, accepted), at(50, asked), at(101, asked)), 1)
	require.Len(t, check("", 2, wire.ShapeGang, at(1, joined), at(2, accepted), at(50, asked), at(101, asked)), 1)
	require.Empty(t, check("", 3, wire.ShapeGang, at(1, joined), at(2, accepted), at(50, asked), at(101, asked)), "above the team's limit")
	require.Empty(t, check("", 1, wire.ShapeArray, at(1, joined), at(2, accepted), at(50, asked), at(99, asked)), "less than the limit after the faults")
	require.Empty(t, check("west", 1, wire.ShapeArray, at(1, joined), at(2, accepted), at(50, asked), at(101, asked)), "no machine in the zone")
	require.Empty(t, check("", 1, wire.ShapeArray, at(1, joined), at(2, accepted), task(50, 0), at(150, asked)), "the task runs")
	require.Empty(t, check("", 3, wire.ShapeArray, at(1, joined), at(2, accepted), task(50, 0), task(51, 1), at(150, asked)), "the team is at its limit")
	require.Empty(t, check("", 1, wire.ShapeArray, at(1, joined), at(2, accepted), at(3, HistoryEvent{Kind: MachineTerminated, Machine: "m-1"}), at(50, asked), at(101, asked)))
}

// TestHistoryDetectsRepeatedTasks checks that History.CheckExactlyOnce reports each way in which
// a task can run other than exactly once, and nothing for valid histories.
func TestHistoryDetectsRepeatedTasks(t *testing.T) {
	event := func(kind HistoryKind, index int, attempt wire.Attempt, machine wire.MachineID) HistoryEvent {
		return HistoryEvent{Kind: kind, Job: "wk-1", Machine: machine, Task: wire.TaskID{Job: "wk-1", Index: index}, Attempt: attempt}
	}
	var valid []HistoryEvent
	for index := range 3 {
		for _, kind := range []HistoryKind{TaskPlaced, TaskStarted, TaskCompleted} {
			valid = append(valid, event(kind, index, 1, "m-1"))
		}
	}
	require.Empty(t, historyOf(valid).CheckExactlyOnce())
	for want, more := range map[string][]HistoryEvent{
		"wk-1/0 placed 2 times":              {event(TaskPlaced, 0, 2, "m-2")},
		"wk-1/1 started 2 times":             {event(TaskStarted, 1, 1, "m-1")},
		"wk-1/2 stopped 1 times":             {event(TaskStopped, 2, 1, "m-1")},
		"wk-1/2 completed 2 times":           {event(TaskCompleted, 2, 1, "m-1")},
		"started on m-2 without a placement": {event(TaskStarted, 0, 1, "m-2")},
	} {
		require.Contains(t, strings.Join(historyOf(append(more, valid...)).CheckExactlyOnce(), "; "), want)
	}
	require.Contains(t, strings.Join(historyOf(valid[:6]).CheckExactlyOnce(), "; "), "wk-1/2 placed 0 times")
	lostAttempt := []HistoryEvent{event(TaskPlaced, 0, 9, "m-9"), event(TaskStarted, 0, 9, "m-9"), event(TaskStopped, 0, 9, "m-9"), {Kind: MachineTerminated, Machine: "m-9"}}
	require.Empty(t, historyOf(append(lostAttempt, valid...)).CheckExactlyOnce())
	require.NotEmpty(t, historyOf(append(lostAttempt[:3], valid...)).CheckExactlyOnce())
	require.Contains(t, strings.Join(historyOf(append(lostAttempt, valid[3:]...)).CheckExactlyOnce(), "; "), "wk-1/0 never completed")
	cancelled := HistoryEvent{Kind: CancelRequested, Job: "wk-1"}
	require.Empty(t, historyOf(append(valid[:5], cancelled)).CheckExactlyOnce())
}

// historyOf returns a history of job wk-1 with the given events. The time of an event without one
// is its index, in seconds.
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
