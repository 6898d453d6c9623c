package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lilacrill/internal/apierror"
	"lilacrill/internal/fixedseed"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

func TestMain(m *testing.M) { fixedseed.Run(m) }

var formats1To2 = record.FormatRange{Oldest: 1, Newest: 2}

func newTracker() *Tracker { return New("a", []string{"b", "c"}, formats1To2, "test") }

// applyAlive applies the registration and the liveness record of a live controller.
func (t *Tracker) applyAlive(label string, incarnation wire.FencingToken, formats record.FormatRange, version wire.Revision) {
	value, err := json.Marshal(record.Registration{Incarnation: incarnation, Formats: formats})
	if err != nil {
		panic(err)
	}
	if err := t.ApplyRegistration(label, value, version); err != nil {
		panic(err)
	}
	t.ApplyLiveness(label, incarnation, version)
}

// TestInvalidRequests checks that an invalid request is refused with the name of the invalid field,
// that a request in conflict with the state is refused with the conflict, and that neither yields a
// transaction.
func TestInvalidRequests(t *testing.T) {
	tracker := newTracker()
	tracker.ApplyState([]byte(`{"format":1,"excluded":{"c":{"boot":3,"reason":"x"}}}`), 9)
	for _, label := range []string{"a", "b"} {
		tracker.applyAlive(label, 5, formats1To2, 4)
	}
	field := func(txn wire.Transaction, err error) string {
		require.Empty(t, txn)
		var fieldErr *apierror.FieldError
		require.ErrorAs(t, err, &fieldErr)
		return fieldErr.Field
	}
	require.Equal(t, "activate", field(tracker.Activate(-1, 9)))
	require.Equal(t, "activate", field(tracker.Activate(0, 9)))
	require.Equal(t, "activate", field(tracker.Activate(3, 9)))
	require.Equal(t, "exclude", field(tracker.Exclude("z", "x", 9)))
	require.Equal(t, "reason", field(tracker.Exclude("c", " ", 9)))
	require.Equal(t, "reason", field(tracker.Exclude("c", strings.Repeat("x", 201), 9)))
	require.Equal(t, "include", field(tracker.Include("b", 9)))

	conflict := func(txn wire.Transaction, err error) string {
		require.Empty(t, txn)
		require.Error(t, err)
		var fieldErr *apierror.FieldError
		require.False(t, errors.As(err, &fieldErr))
		return err.Error()
	}
	require.Contains(t, conflict(tracker.Activate(2, 8)), "stale")
	require.Contains(t, conflict(tracker.Exclude("c", "x", 8)), "stale")
	require.Contains(t, conflict(tracker.Include("c", 8)), "stale")
	require.Contains(t, conflict(tracker.Exclude("b", "x", 9)), "b is alive")
	require.Contains(t, conflict(tracker.Activate(1, 9)), "in force already")
	_, err := tracker.Activate(2, 9)
	require.NoError(t, err)
	tracker.ApplyState([]byte(`{"format":2}`), 10)
	require.Contains(t, conflict(tracker.Activate(1, 10)), "no way back")
}

// TestCheckReadable checks that a process serves only if the record of the format in force can be
// decoded and holds a format that the process reads, and that an invalid registration blocks an
// activation.
func TestCheckReadable(t *testing.T) {
	for value, serves := range map[string]bool{`{"format":1}`: true, `{"format":2}`: true, `{"format":3}`: false,
		`{"format":0}`: false, `{"format":-2}`: false, `{"format":"2"}`: false, `{"fo`: false, `[]`: false, `{}`: true} {
		tracker := newTracker()
		tracker.ApplyState([]byte(value), 3)
		require.Equal(t, serves, tracker.CheckReadable() == nil, value)
	}
	tracker := newTracker()
	require.NoError(t, tracker.CheckReadable(), "no record is the first format")
	for _, bad := range []string{`{"boot":1,"formats":{"oldest":0,"newest":2}}`, `{"boot":1,"formats":{"oldest":2,"newest":1}}`, `7`} {
		require.Error(t, tracker.ApplyRegistration("b", []byte(bad), 3), bad)
		tracker.ApplyLiveness("b", 1, 3)
		require.NotEmpty(t, tracker.blockReason("b", 2), bad)
	}
}

// TestAutomaticActivationRestartsWait checks that the time for which all controllers have to be
// ready starts again after each interruption.
func TestAutomaticActivationRestartsWait(t *testing.T) {
	tracker := newTracker()
	for _, label := range []string{"a", "b", "c"} {
		tracker.applyAlive(label, 5, formats1To2, 4)
	}
	isDue := func(at time.Duration) bool { _, due := tracker.AutomaticActivation(Time(at), time.Minute); return due }
	require.False(t, isDue(0))
	require.False(t, isDue(59*time.Second))
	tracker.ApplyLiveness("b", 0, 0)
	require.False(t, isDue(61*time.Second))
	tracker.ApplyLiveness("b", 5, 6)
	require.False(t, isDue(62*time.Second))
	require.False(t, isDue(121*time.Second))
	require.True(t, isDue(122*time.Second))
}

// fakeStore is an in-memory state store that holds the records of a rollout.
type fakeStore struct {
	revision wire.Revision
	values   map[string]json.RawMessage
	versions map[string]wire.Revision
}

// commit applies a transaction if its conditions hold, and reports whether they do.
func (s *fakeStore) commit(txn wire.Transaction) bool {
	for _, condition := range txn.If {
		if s.versions[condition.Key] != condition.Version {
			return false
		}
	}
	s.revision++
	for _, change := range txn.Then {
		if change.Put != "" {
			s.values[change.Put], s.versions[change.Put] = change.Value, s.revision
		} else {
			delete(s.values, change.Delete)
			delete(s.versions, change.Delete)
		}
	}
	return true
}

// process is a process of a controller, with the formats that it reads and its tracker.
type process struct {
	tracker     *Tracker
	label       string
	formats     record.FormatRange
	incarnation wire.FencingToken
	sent        []wire.Transaction // each may be committed late or more than once
}

// reload reloads all records of the store into the tracker of the process.
func (p *process) reload(s *fakeStore) {
	p.tracker.Reset()
	p.tracker.ApplyState(s.values[record.RolloutKey], s.versions[record.RolloutKey])
	for key, value := range s.values {
		if label, ok := strings.CutPrefix(key, record.RegistrationPrefix); ok {
			_ = p.tracker.ApplyRegistration(label, value, s.versions[key])
		}
		if label, ok := strings.CutPrefix(key, record.LivenessPrefix); ok {
			var liveness record.Liveness
			if json.Unmarshal(value, &liveness) == nil {
				p.tracker.ApplyLiveness(label, liveness.Incarnation, s.versions[key])
			}
		}
	}
}

// registrationTransaction returns the transaction by which a process registers and writes its liveness
// record.
func (p *process) registrationTransaction() wire.Transaction {
	put := func(key string, v any) wire.Change { return wire.Change{Put: key, Value: record.Encode(1, key, v)} }
	return wire.Transaction{If: []wire.Condition{p.tracker.Condition()}, Then: []wire.Change{
		put(record.RegistrationKey(p.label), p.tracker.Registration(p.incarnation)), put(record.LivenessKey(p.label), record.Liveness{Incarnation: p.incarnation})}}
}

// TestLiveProcessesReadFormatInForce checks that every live process reads the format in force. It
// runs generated histories of process starts, expired leases, stale trackers, activations and
// exclusions, in which transactions may be committed late or more than once. A process without a
// liveness record counts as down and is not checked, because it may have been excluded while it runs.
func TestLiveProcessesReadFormatInForce(t *testing.T) {
	activations, blocked := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		h := &history{t: t, store: &fakeStore{values: map[string]json.RawMessage{}, versions: map[string]wire.Revision{}},
			processes: map[string]*process{}, formats: map[string]record.FormatRange{}}
		for _, label := range labels {
			h.start(label)
			h.send(h.processes[label], h.processes[label].registrationTransaction())
		}
		for range rapid.IntRange(40, 120).Draw(t, "steps") {
			h.step(rapid.SampledFrom(labels).Draw(t, "label"))
		}
		activations += h.activations
		blocked += h.blockedActivations
	})
	require.Greater(t, activations, 20, "histories with an activation")
	require.Greater(t, blocked, 20, "blocked activations")
}

var labels = []string{"a", "b", "c"}

// history is a generated sequence of events in a cluster.
type history struct {
	t                  *rapid.T
	store              *fakeStore
	processes          map[string]*process
	formats            map[string]record.FormatRange // by label and incarnation
	lastIncarnation    wire.FencingToken
	activations        int
	blockedActivations int // activations that were refused
}

// start starts a new process of a controller, with an older or a newer build.
func (h *history) start(label string) {
	h.lastIncarnation++
	reads := rapid.SampledFrom([]record.FormatRange{{Oldest: 1, Newest: 1}, formats1To2, formats1To2, formats1To2, formats1To2, formats1To2}).Draw(h.t, "reads")
	var peers []string
	for _, other := range labels {
		if other != label {
			peers = append(peers, other)
		}
	}
	started := &process{tracker: New(label, peers, reads, ""), label: label, formats: reads, incarnation: h.lastIncarnation}
	h.processes[label] = started
	h.formats[fmt.Sprint(label, h.lastIncarnation)] = reads
	started.reload(h.store)
}

// step runs one random action of a process, whose tracker may be up to date or stale.
func (h *history) step(label string) {
	p := h.processes[label]
	if rapid.Bool().Draw(h.t, "sees") {
		p.reload(h.store)
	}
	if p.tracker.CheckReadable() != nil {
		h.start(label)
		return
	}
	version := p.tracker.stateVersion
	switch rapid.IntRange(0, 7).Draw(h.t, "does") {
	case 0:
		h.start(label)
	case 1: // the controller's lease expires
		h.store.commit(wire.Transaction{Then: []wire.Change{{Delete: record.LivenessKey(label)}}})
	case 2, 3:
		h.send(p, p.registrationTransaction())
	case 4, 5:
		txn, err := p.tracker.Activate(2, version)
		if err == nil {
			h.send(p, txn)
		} else {
			h.blockedActivations++
		}
	case 6:
		if txn, err := p.tracker.Exclude(rapid.SampledFrom(labels).Draw(h.t, "whom"), "why", version); err == nil {
			h.send(p, txn)
		}
	case 7: // transactions sent earlier arrive, some of them again
		for _, txn := range p.sent {
			h.commit(txn)
		}
	}
}

// send commits a transaction now or leaves it to be committed by a later step.
func (h *history) send(p *process, txn wire.Transaction) {
	p.sent = append(p.sent, txn)
	if rapid.Bool().Draw(h.t, "now") {
		h.commit(txn)
	}
}

// commit commits a transaction and checks that all live processes read the format in force.
func (h *history) commit(txn wire.Transaction) {
	previous := h.formatInForce()
	h.store.commit(txn)
	current := h.formatInForce()
	if current > previous {
		h.activations++
	}
	for key, value := range h.store.values {
		label, ok := strings.CutPrefix(key, record.LivenessPrefix)
		if !ok {
			continue
		}
		var liveness record.Liveness
		require.NoError(h.t, json.Unmarshal(value, &liveness))
		require.True(h.t, h.formats[fmt.Sprint(label, liveness.Incarnation)].Contains(current), "%s (incarnation %d) is alive and does not read format %d", label, liveness.Incarnation, current)
	}
}

// formatInForce returns the format in force.
func (h *history) formatInForce() wire.Format {
	state := record.Rollout{Format: record.FormatPlain}
	if value := h.store.values[record.RolloutKey]; value != nil {
		require.NoError(h.t, json.Unmarshal(value, &state))
	}
	return state.Format
}
