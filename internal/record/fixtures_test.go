package record

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lilacrill/wire"
)

// decodeLimit is the limit on the decompressed size of a value, in bytes.
const decodeLimit = 64 << 10

// sample is a record with its key and a function that makes an empty record to decode it into.
type sample struct {
	name        string
	key         string
	value       any
	newTarget   func() any
	firstFormat wire.Format // the first format that has this record
}

func jobSpec() wire.JobSpec {
	return wire.JobSpec{ID: "wk-000412", Class: "train", Team: "vision", Shape: wire.ShapeGang, Priority: wire.PriorityHigh, Tasks: 16,
		Cores: 8, Accelerators: 1, MemGB: 64, Image: "img-07", ImageGB: 6.2, Types: []string{"g8"}, SingleZone: true, Spot: true,
		RuntimeS: 240, CheckpointIntervalS: 30, CheckpointSaveS: 4, DeadlineS: 900}
}

// samples returns samples of all kinds of records. Their files in testdata hold the encoding of each
// sample in each format. A change that decodes these files differently needs a new format.
func samples() []sample {
	long := jobSpec()
	for i := range 80 {
		long.Types = append(long.Types, "machine-type-"+strconv.Itoa(i))
	}
	page := makePage(6, 5)
	page.Completed = map[wire.JobID]TaskSet{"wk-000007": Span(0, 3).Union(Span(7, 8))}
	return []sample{
		{"job", JobKey("wk-000412"), &Job{Spec: jobSpec(), AcceptedAt: 1_700_000_000_123, AcceptedBy: 41}, func() any { return new(Job) }, 0},
		{"job-long", JobKey("wk-000412"), &Job{Spec: long, AcceptedAt: 1_700_000_000_123, AcceptedBy: 41}, func() any { return new(Job) }, 0},
		{"over", JobKey("wk-000412"), &CompletedJob{Completion{wire.StatusCancelled, 3}}, func() any { return new(CompletedJob) }, 0},
		{"final", CompletionKey("wk-000412"), &Completion{wire.StatusDone, 16}, func() any { return new(Completion) }, 0},
		{"node", LivenessKey("rig-0"), &Liveness{Incarnation: 41, Isolated: true}, func() any { return new(Liveness) }, 0},
		{"returns", TerminationsKey, &Terminations{Pending: map[string][]wire.MachineID{"idle": {"m-000231"}}, Confirmed: []wire.MachineID{"m-000230"}}, func() any { return new(Terminations) }, 0},
		{"images", ImageKey(3), &Images{"m-000231": {"img-07", "img-08"}}, func() any { return new(Images) }, 0},
		{"page-small", PlacementKey("vision", "east", 0), &PlacementPage{Groups: []AllocationGroup{}}, func() any { return new(PlacementPage) }, 0},
		{"page", PlacementKey("vision", "east", 1), &page, func() any { return new(PlacementPage) }, 0},
		{"rollout", RolloutKey, &Rollout{Format: 2, Excluded: map[string]Exclusion{"rig-2": {Incarnation: 7, Reason: "its host burnt"}}}, func() any { return new(Rollout) }, 0},
		{"member", RegistrationKey("rig-0"), &Registration{Incarnation: 41, Formats: FormatRange{Oldest: 1, Newest: 2}, Release: "0.2.0"}, func() any { return new(Registration) }, 0},
		{"member-shares", RegistrationKey("rig-0"), &Registration{Incarnation: 41, Formats: FormatRange{Oldest: 1, Newest: 3}, Release: "0.3.0", Sharding: true}, func() any { return new(Registration) }, FormatSharding},
		{"shares", ShardPolicyKey, &ShardPolicy{Enabled: true, Drained: map[string]string{"rig-2": "new disks"}}, func() any { return new(ShardPolicy) }, FormatSharding},
		{"share", ShardKey(7), &Shard{Owner: ShardOwner{"rig-0", 41}, Epoch: 3, Move: &ShardMove{To: ShardOwner{"rig-1", 42}, Phase: MoveReleased,
			Since: 1_700_000_000_123, Reason: "to even out the shares"}}, func() any { return new(Shard) }, FormatSharding},
	}
}

// TestFixtures decodes the stored encoding of every sample in each format. It also requires that the
// encoding of a sample has not changed, unless it is compressed. A sample whose stored encoding is
// compressed must still be compressed.
func TestFixtures(t *testing.T) {
	for format := OldestFormat; format <= NewestFormat; format++ {
		for _, s := range samples() {
			if format < s.firstFormat {
				continue
			}
			path := filepath.Join("testdata", "format-"+strconv.Itoa(int(format)), s.name+".json")
			stored, err := os.ReadFile(path)
			require.NoError(t, err)
			decoded := s.newTarget()
			require.NoError(t, Decode(stored, decodeLimit, decoded), path)
			require.Equal(t, s.value, decoded, path)
			written := Encode(format, s.key, s.value)
			if isString(stored) {
				require.True(t, isString(written), path)
			} else {
				require.Equal(t, string(stored), string(written), path)
			}
		}
	}
}

// TestPeerMessageFixtures decodes the stored peer message of each format and requires that its
// encoding has not changed.
func TestPeerMessageFixtures(t *testing.T) {
	for format := OldestFormat; format <= NewestFormat; format++ {
		path := filepath.Join("testdata", "format-"+strconv.Itoa(int(format)), "line.json")
		stored, err := os.ReadFile(path)
		require.NoError(t, err)
		message, err := DecodePeerMessage(stored)
		require.NoError(t, err)
		require.Equal(t, "rig-1", message.From)
		require.Len(t, message.Heartbeats, 1)
		written, err := EncodePeerMessage(message)
		require.NoError(t, err)
		require.Equal(t, string(stored), string(written))
	}
}

// TestFormatsRoundTrip encodes generated placement records in every format. It checks that they
// decode to the same records, and that no value is larger than the plain JSON of its record.
func TestFormatsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		page := makePage(rapid.IntRange(1, 40).Draw(t, "jobs"), rapid.IntRange(1, 9).Draw(t, "machines"))
		plain := encodePlain(page)
		for format := OldestFormat; format <= NewestFormat; format++ {
			value := Encode(format, PlacementKey("t", "z", 0), page)
			require.LessOrEqual(t, len(value), len(plain))
			require.True(t, json.Valid(value))
			var decoded PlacementPage
			require.NoError(t, Decode(value, decodeLimit, &decoded))
			require.Equal(t, string(plain), string(encodePlain(decoded)))
		}
	})
}

// TestDamagedValues truncates a compressed value at every length and flips bits in it. A truncated
// value must be refused. A value with a flipped bit must be refused or decode to the original record.
func TestDamagedValues(t *testing.T) {
	page := makePage(30, 6)
	good := Encode(FormatCompressed, PlacementKey("t", "z", 0), page)
	require.True(t, isString(good))
	var into PlacementPage
	require.ErrorIs(t, Decode(good, 1000, &into), ErrTooLarge)
	for _, bad := range []string{`""`, `"x"`, `"AAAA"`, `"KLUv/WQ="`, `"` + strings.Repeat("A", 4000) + `"`, `7`, `[]`, `"` + "\xff" + `"`} {
		require.Error(t, Decode(json.RawMessage(bad), decodeLimit, &into), bad)
	}
	for size := range len(good) - 1 { // at len(good)-1, the appended quote would restore the value
		require.Error(t, Decode(good[:size], decodeLimit, &into))
		cut := append(append(json.RawMessage{}, good[:max(1, size)]...), '"')
		require.Error(t, Decode(cut, decodeLimit, &into))
	}
	rapid.Check(t, func(t *rapid.T) {
		corrupted := append(json.RawMessage{}, good...)
		corrupted[rapid.IntRange(1, len(corrupted)-2).Draw(t, "at")] ^= 1 << rapid.IntRange(0, 6).Draw(t, "bit")
		var decoded PlacementPage
		if Decode(corrupted, decodeLimit, &decoded) == nil {
			require.Equal(t, string(encodePlain(page)), string(encodePlain(decoded)))
		}
	})
}
