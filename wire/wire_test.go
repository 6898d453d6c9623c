package wire

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lilacrill/internal/apierror"
)

const exampleJob = `{"id":"wk-000412","jobclass":"train","crew":"vision","shape":"group","rank":"high","loads":16,
 "cores":8.0,"accelerators":1.0,"mem_gb":64.0,"kit":"img-07","size_gb":6.2,
 "rigtypes":["g8"],"yard":null,"together":true,"apart":false,"loaners":true,
 "runtime_s":240.0,"savepoint_s":30.0,"stash_s":4.0,"due_s":900.0,"later":{"x":[1]}}`

// TestParseJobAcceptsExample decodes the example of the protocol.
func TestParseJobAcceptsExample(t *testing.T) {
	j, err := ParseJob([]byte(exampleJob))
	require.NoError(t, err)
	require.Equal(t, JobSpec{ID: "wk-000412", Class: "train", Team: "vision", Shape: ShapeGang, Priority: PriorityHigh, Tasks: 16,
		Cores: 8, Accelerators: 1, MemGB: 64, Image: "img-07", ImageGB: 6.2, Types: []string{"g8"}, SingleZone: true, Spot: true,
		RuntimeS: 240, CheckpointIntervalS: 30, CheckpointSaveS: 4, DeadlineS: 900}, j)
}

// TestParseJobReportsInvalidField removes a field or gives it an invalid value, and requires an
// error that names the field.
func TestParseJobReportsInvalidField(t *testing.T) {
	nullable := map[string]bool{"rigtypes": true, "yard": true, "due_s": true}
	wrong := map[string][]string{
		"id":       {`7`, `""`, `"wk-"`, `"wk-12x"`, `"job-1"`, `"wk-1234567890123456789"`},
		"shape":    {`"set"`, `1`},
		"rank":     {`"urgent"`, `[]`},
		"loads":    {`0`, `-1`, `100001`, `1.5`, `"3"`, `1e30`},
		"cores":    {`-1`, `1e300`, `"NaN"`, `true`},
		"mem_gb":   {`-0.1`, `{}`},
		"crew":     {`""`, `3`, `"` + strings.Repeat("x", 101) + `"`},
		"loaners":  {`"yes"`, `0`},
		"due_s":    {`-5`},
		"rigtypes": {`[]`, `"g8"`, `[""]`},
	}
	var fields map[string]json.RawMessage
	require.NoError(t, json.Unmarshal([]byte(exampleJob), &fields))
	with := func(name, value string) []byte {
		changed := map[string]json.RawMessage{}
		for k, v := range fields {
			changed[k] = v
		}
		if value == "" {
			delete(changed, name)
		} else {
			changed[name] = json.RawMessage(value)
		}
		b, err := json.Marshal(changed)
		require.NoError(t, err)
		return b
	}
	for name := range fields {
		if name == "later" {
			continue
		}
		_, err := ParseJob(with(name, ""))
		if nullable[name] {
			require.NoError(t, err, name)
			continue
		}
		require.ErrorContains(t, err, name)
		requireField(t, name, err)
	}
	for name, values := range wrong {
		for _, v := range values {
			_, err := ParseJob(with(name, v))
			require.ErrorContains(t, err, name, "%s = %s", name, v)
			requireField(t, name, err)
		}
	}
	for _, body := range []string{"", "nothing", "[]", `"x"`, "null", "{", exampleJob[:100], `{"id":NaN}`} {
		_, err := ParseJob([]byte(body))
		require.Error(t, err, body)
	}
}

// requireField requires an *apierror.FieldError for the field.
func requireField(t *testing.T, field string, err error) {
	t.Helper()
	var fieldErr *apierror.FieldError
	require.ErrorAs(t, err, &fieldErr)
	require.Equal(t, field, fieldErr.Field)
}

// TestHeartbeatRoundTrip requires generated heartbeats to be unchanged after encoding and decoding.
func TestHeartbeatRoundTrip(t *testing.T) {
	task := rapid.Custom(func(t *rapid.T) TaskStatus {
		r := TaskStatus{Task: TaskID{JobID("wk-" + rapid.StringMatching("[0-9]{1,18}").Draw(t, "job")), rapid.IntRange(0, MaxTasks-1).Draw(t, "index")},
			Attempt: Attempt(rapid.Uint64().Draw(t, "try")),
			State:   rapid.SampledFrom([]TaskState{TaskPulling, TaskWaiting, TaskRunning, TaskCheckpointing, TaskExited}).Draw(t, "state")}
		if r.State == TaskExited {
			r.Cause, r.Checkpointed = rapid.SampledFrom([]Cause{CauseDone, CauseStopped, CauseError}).Draw(t, "cause"), rapid.Bool().Draw(t, "stored")
		}
		return r
	})
	rapid.Check(t, func(t *rapid.T) {
		r := Heartbeat{Machine: "m-1", Addr: "10.0.0.1:1", Type: "g8", Zone: "a", Spot: rapid.Bool().Draw(t, "spot"),
			AgentEpoch: AgentEpoch(rapid.Uint64Min(1).Draw(t, "shift")), Sequence: Sequence(rapid.Uint64().Draw(t, "tally")), Token: FencingToken(rapid.Uint64().Draw(t, "baton")),
			Tasks: rapid.SliceOfN(task, 1, 5).Draw(t, "tasks")}
		if rapid.Bool().Draw(t, "recalled") {
			s := rapid.Float64Range(0, 100).Draw(t, "recall")
			r.PreemptionNoticeS = &s
		}
		b, err := json.Marshal(&r)
		require.NoError(t, err)
		decoded, err := ParseHeartbeat(b)
		require.NoError(t, err)
		require.Equal(t, &r, decoded)
	})
}

// TestParseHeartbeatRejectsInvalid requires truncated heartbeats and those with invalid values to be
// rejected. Random corruption must not make the decoder panic, and a corrupted heartbeat that is
// accepted must pass the check.
func TestParseHeartbeatRejectsInvalid(t *testing.T) {
	validHeartbeat := `{"rig":"m-000231","addr":"10.1.0.232:9000","rigtype":"g8","yard":"a","loaners":true,"shift":1,"tally":88,"baton":41,"recall_s":null,"loads":[{"load":"wk-000412/3","try":2,"status":"running"}]}`
	_, err := ParseHeartbeat([]byte(validHeartbeat))
	require.NoError(t, err)
	for i := range len(validHeartbeat) {
		_, err := ParseHeartbeat([]byte(validHeartbeat[:i]))
		require.Error(t, err, validHeartbeat[:i])
	}
	for old, invalid := range map[string]string{`"rig":"m-000231"`: `"rig":""`, `"shift":1`: `"shift":0`, `"tally":88`: `"tally":-1`,
		`wk-000412/3`: `wk-000412/100000`, `"running"`: `"flying"`, `"baton":41`: `"baton":1e99`, `"try":2`: `"try":2.5`, `/3`: `/-3`} {
		_, err := ParseHeartbeat([]byte(strings.Replace(validHeartbeat, old, invalid, 1)))
		require.Error(t, err, invalid)
	}
	rapid.Check(t, func(t *rapid.T) {
		b := []byte(validHeartbeat)
		for range rapid.IntRange(1, 4).Draw(t, "spots") {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		if r, err := ParseHeartbeat(b); err == nil {
			require.NoError(t, r.Check())
		}
	})
}
