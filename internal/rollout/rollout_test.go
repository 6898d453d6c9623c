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

var both = record.FormatRange{Oldest: 1, Newest: 2}

func newTracker() *Tracker { return New("a", []string{"b", "c"}, both, "test") }

// alive lets a controller live that registered a range.
func (t *Tracker) alive(label string, boot wire.FencingToken, formats record.FormatRange, version wire.Revision) {
	value, err := json.Marshal(record.Registration{Incarnation: boot, Formats: formats})
	if err != nil {
		panic(err)
	}
	if err := t.ApplyRegistration(label, value, version); err != nil {
		panic(err)
	}
	t.ApplyLiveness(label, boot, version)
}

// TestBadRequests names the field of what is wrong and the conflict of what cannot be;
// nothing of it makes a transaction.
func TestBadRequests(t *testing.T) {
	tr := newTracker()
	tr.ApplyState([]byte(`{"format":1,"excluded":{"c":{"boot":3,"reason":"x"}}}`), 9)
	for _, label := range []string{"a", "b"} {
		tr.alive(label, 5, both, 4)
	}
	field := func(txn wire.Transaction, err error) string {
		require.Empty(t, txn)
		var fieldErr *apierror.FieldError
		require.ErrorAs(t, err, &fieldErr)
		return fieldErr.Field
	}
	require.Equal(t, "activate", field(tr.Activate(-1, 9)))
	require.Equal(t, "activate", field(tr.Activate(0, 9)))
	require.Equal(t, "activate", field(tr.Activate(3, 9)))
	require.Equal(t, "exclude", field(tr.Exclude("z", "x", 9)))
	require.Equal(t, "reason", field(tr.Exclude("c", " ", 9)))
	require.Equal(t, "reason", field(tr.Exclude("c", strings.Repeat("x", 201), 9)))
	require.Equal(t, "include", field(tr.Include("b", 9)))

	conflict := func(txn wire.Transaction, err error) string {
		require.Empty(t, txn)
		require.Error(t, err)
		var fieldErr *apierror.FieldError
		require.False(t, errors.As(err, &fieldErr))
		return err.Error()
	}
	require.Contains(t, conflict(tr.Activate(2, 8)), "stale")
	require.Contains(t, conflict(tr.Exclude("c", "x", 8)), "stale")
	require.Contains(t, conflict(tr.Include("c", 8)), "stale")
	require.Contains(t, conflict(tr.Exclude("b", "x", 9)), "b is alive")
	require.Contains(t, conflict(tr.Activate(1, 9)), "in force already")
	_, err := tr.Activate(2, 9)
	require.NoError(t, err)
	tr.ApplyState([]byte(`{"format":2}`), 10)
	require.Contains(t, conflict(tr.Activate(1, 10)), "no way back")
}

// TestUnreadable: whatever cannot be understood as a format that this build reads keeps
// it from serving.
func TestUnreadable(t *testing.T) {
	for value, serves := range map[string]bool{`{"format":1}`: true, `{"format":2}`: true, `{"format":3}`: false,
		`{"format":0}`: false, `{"format":-2}`: false, `{"format":"2"}`: false, `{"fo`: false, `[]`: false, `{}`: true} {
		tr := newTracker()
		tr.ApplyState([]byte(value), 3)
		require.Equal(t, serves, tr.CheckReadable() == nil, value)
	}
	tr := newTracker()
	require.NoError(t, tr.CheckReadable(), "no record is the first format")
	for _, bad := range []string{`{"boot":1,"formats":{"oldest":0,"newest":2}}`, `{"boot":1,"formats":{"oldest":2,"newest":1}}`, `7`} {
		require.Error(t, tr.ApplyRegistration("b", []byte(bad), 3), bad)
		tr.ApplyLiveness("b", 1, 3)
		require.NotEmpty(t, tr.blockReason("b", 2), bad)
	}
}

// TestAutomaticWaits: the time that all have to be ready begins anew with every break.
func TestAutomaticWaits(t *testing.T) {
	tr := newTracker()
	for _, label := range []string{"a", "b", "c"} {
		tr.alive(label, 5, both, 4)
	}
	due := func(at time.Duration) bool { _, ok := tr.AutomaticActivation(Time(at), time.Minute); return ok }
	require.False(t, due(0))
	require.False(t, due(59*time.Second))
	tr.ApplyLiveness("b", 0, 0)
	require.False(t, due(61*time.Second))
	tr.ApplyLiveness("b", 5, 6)
	require.False(t, due(62*time.Second))
	require.False(t, due(121*time.Second))
	require.True(t, due(122*time.Second))
}

// service is a state service with the records of a rollout.
type service struct {
	revision wire.Revision
	values   map[string]json.RawMessage
	versions map[string]wire.Revision
}

// run carries out a transaction if its conditions hold.
func (s *service) run(txn wire.Transaction) bool {
	for _, c := range txn.If {
		if s.versions[c.Key] != c.Version {
			return false
		}
	}
	s.revision++
	for _, ch := range txn.Then {
		if ch.Put != "" {
			s.values[ch.Put], s.versions[ch.Put] = ch.Value, s.revision
		} else {
			delete(s.values, ch.Delete)
			delete(s.versions, ch.Delete)
		}
	}
	return true
}

// process is a controller's process: what it reads, and what it has seen.
type process struct {
	tracker *Tracker
	label   string
	reads   record.FormatRange
	boot    wire.FencingToken
	held    []wire.Transaction // sent, and not carried out yet
}

// see brings a process up to date.
func (p *process) see(s *service) {
	p.tracker.Reset()
	p.tracker.ApplyState(s.values[record.RolloutKey], s.versions[record.RolloutKey])
	for key, value := range s.values {
		if label, ok := strings.CutPrefix(key, record.RegistrationPrefix); ok {
			_ = p.tracker.ApplyRegistration(label, value, s.versions[key])
		}
		if label, ok := strings.CutPrefix(key, record.LivenessPrefix); ok {
			var n record.Liveness
			if json.Unmarshal(value, &n) == nil {
				p.tracker.ApplyLiveness(label, n.Incarnation, s.versions[key])
			}
		}
	}
}

// enrolled is what a process sends to register and to list itself among the living.
func (p *process) enrolled() wire.Transaction {
	put := func(key string, v any) wire.Change { return wire.Change{Put: key, Value: record.Encode(1, key, v)} }
	return wire.Transaction{If: []wire.Condition{p.tracker.Condition()}, Then: []wire.Change{
		put(record.RegistrationKey(p.label), p.tracker.Registration(p.boot)), put(record.LivenessKey(p.label), record.Liveness{Incarnation: p.boot})}}
}

// TestNoReaderLeftBehind plays generated histories of starts, ends, views out of date,
// activations and exclusions, with transactions that are carried out late or twice:
// nobody is ever among the living who reads too little for the format in force, but for
// one that was excluded while it was there unseen.
func TestNoReaderLeftBehind(t *testing.T) {
	activations, waited := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		h := &history{t: t, service: &service{values: map[string]json.RawMessage{}, versions: map[string]wire.Revision{}},
			processes: map[string]*process{}, reads: map[string]record.FormatRange{}}
		for _, label := range labels {
			h.start(label)
			h.send(h.processes[label], h.processes[label].enrolled())
		}
		for range rapid.IntRange(40, 120).Draw(t, "steps") {
			h.step(rapid.SampledFrom(labels).Draw(t, "label"))
		}
		activations += h.activations
		waited += h.waited
	})
	require.Greater(t, activations, 20, "histories with an activation")
	require.Greater(t, waited, 20, "activations that had to wait")
}

var labels = []string{"a", "b", "c"}

// history is a generated one.
type history struct {
	t           *rapid.T
	service     *service
	processes   map[string]*process
	reads       map[string]record.FormatRange // by label and boot
	boot        wire.FencingToken
	activations int
	waited      int // activations that were refused
}

// start starts a process, older or newer, which takes the place of the one before.
func (h *history) start(label string) {
	h.boot++
	reads := rapid.SampledFrom([]record.FormatRange{{Oldest: 1, Newest: 1}, both, both, both, both, both}).Draw(h.t, "reads")
	var siblings []string
	for _, other := range labels {
		if other != label {
			siblings = append(siblings, other)
		}
	}
	p := &process{tracker: New(label, siblings, reads, ""), label: label, reads: reads, boot: h.boot}
	h.processes[label] = p
	h.reads[fmt.Sprint(label, h.boot)] = reads
	p.see(h.service)
}

// step has a process do something, on what it knows now or knew before.
func (h *history) step(label string) {
	p := h.processes[label]
	if rapid.Bool().Draw(h.t, "sees") {
		p.see(h.service)
	}
	if p.tracker.CheckReadable() != nil {
		h.start(label)
		return
	}
	version := p.tracker.stateVersion
	switch rapid.IntRange(0, 7).Draw(h.t, "does") {
	case 0:
		h.start(label)
	case 1: // its lease runs out
		h.service.run(wire.Transaction{Then: []wire.Change{{Delete: record.LivenessKey(label)}}})
	case 2, 3:
		h.send(p, p.enrolled())
	case 4, 5:
		txn, err := p.tracker.Activate(2, version)
		if err == nil {
			h.send(p, txn)
		} else {
			h.waited++
		}
	case 6:
		if txn, err := p.tracker.Exclude(rapid.SampledFrom(labels).Draw(h.t, "whom"), "why", version); err == nil {
			h.send(p, txn)
		}
	case 7: // what was sent long ago, perhaps once more
		for _, txn := range p.held {
			h.carryOut(txn)
		}
	}
}

// send has a transaction carried out now or late.
func (h *history) send(p *process, txn wire.Transaction) {
	p.held = append(p.held, txn)
	if rapid.Bool().Draw(h.t, "now") {
		h.carryOut(txn)
	}
}

// carryOut runs a transaction and looks who is among the living.
func (h *history) carryOut(txn wire.Transaction) {
	before := h.format()
	h.service.run(txn)
	now := h.format()
	if now > before {
		h.activations++
	}
	for key, value := range h.service.values {
		label, ok := strings.CutPrefix(key, record.LivenessPrefix)
		if !ok {
			continue
		}
		var n record.Liveness
		require.NoError(h.t, json.Unmarshal(value, &n))
		require.True(h.t, h.reads[fmt.Sprint(label, n.Incarnation)].Reads(now), "%s (boot %d) lives and does not read format %d", label, n.Incarnation, now)
	}
}

func (h *history) format() wire.Format {
	state := record.Rollout{Format: record.FormatPlain}
	if value := h.service.values[record.RolloutKey]; value != nil {
		require.NoError(h.t, json.Unmarshal(value, &state))
	}
	return state.Format
}
