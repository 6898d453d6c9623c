package standin

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// TestHistoryFindsWhatIsBroken gives the checker one history for each rule, and a good
// one.
func TestHistoryFindsWhatIsBroken(t *testing.T) {
	const id = wire.JobID("wk-1")
	task := func(kind HistoryKind, index int, machine wire.MachineID) HistoryEvent {
		return HistoryEvent{Kind: kind, Machine: machine, Type: "c4", Zone: "east", Task: wire.TaskID{Job: id, Index: index}}
	}
	told := func(s wire.Status) HistoryEvent { return HistoryEvent{Kind: UserTold, Job: id, Status: s} }
	cancelled := HistoryEvent{Kind: UserCancelled, Job: id}
	accepted := told(wire.StatusPending)
	elsewhere := task(TaskStarted, 0, "m-1")
	elsewhere.Zone = "west"
	late := task(TaskStarted, 1, "m-1")
	late.At = time.Unix(100, 0)
	for broken, events := range map[string][]HistoryEvent{
		"while on":         {accepted, task(TaskStarted, 0, "m-1"), task(TaskStarted, 0, "m-2"), told(wire.StatusDone)},
		"west":             {accepted, elsewhere},
		"cores of 2":       {accepted, task(TaskStarted, 0, "m-1"), task(TaskStarted, 1, "m-1"), task(TaskStarted, 2, "m-1")},
		"after its user":   {accepted, cancelled, told(wire.StatusWithdrawn), late},
		"and then":         {accepted, cancelled, told(wire.StatusWithdrawn), told(wire.StatusRunning)},
		"nobody asked":     {accepted, told(wire.StatusWithdrawn)},
		"done with 1":      {accepted, task(TaskStarted, 0, "m-1"), task(TaskCompleted, 0, "m-1"), told(wire.StatusDone)},
		"in the end":       {accepted},
		"nobody submitted": {{Kind: TaskStarted, Machine: "m-1", Task: wire.TaskID{Job: "wk-2"}}},
	} {
		h := historyOf(events)
		require.Contains(t, strings.Join(h.Check([]config.Team{{Name: "blue", CPUsMax: 2}}, time.Minute), "; "), broken)
	}
	good := historyOf([]HistoryEvent{accepted, task(TaskStarted, 0, "m-1"), task(TaskStopped, 0, "m-1"), task(TaskStarted, 0, "m-2"), task(TaskStarted, 1, "m-2"),
		task(TaskCompleted, 0, "m-2"), task(TaskCompleted, 1, "m-2"), task(TaskStarted, 2, "m-1"), task(TaskCompleted, 2, "m-1"), told(wire.StatusDone), told(wire.StatusDone)})
	require.Empty(t, good.Check([]config.Team{{Name: "blue", CPUsMax: 2}}, time.Minute))
}

func historyOf(events []HistoryEvent) *History {
	h := NewHistory()
	h.Submitted(wire.JobSpec{ID: "wk-1", Team: "blue", Tasks: 3, Cores: 1, Zone: "east"})
	for i, e := range events {
		if e.At.IsZero() {
			e.At = time.Unix(int64(i), 0)
		}
		h.events = append(h.events, e)
	}
	return h
}
