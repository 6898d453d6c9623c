package record

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/golden"
	"lilacrill/wire"
)

// goldenRecord is a kind of record with its key and the name of its golden files.
type goldenRecord struct {
	name      string
	key       string
	newRecord func() any
	// elements is the number of elements in each list of the filled record.
	elements int
	// compressed is set if the filled record is large enough to be compressed.
	compressed bool
}

// manyElements is a number of list elements that makes a job record large enough to be compressed.
const manyElements = 60

// goldenRecords returns every kind of record. Those that may be compressed are included in a small
// and a large size.
func goldenRecords() []goldenRecord {
	newJob, newPage := func() any { return new(Job) }, func() any { return new(PlacementPage) }
	return []goldenRecord{
		{"job", JobKey("wk-000412"), newJob, 2, false},
		{"job-large", JobKey("wk-000412"), newJob, manyElements, true},
		{"over", JobKey("wk-000412"), func() any { return new(CompletedJob) }, 2, false},
		{"final", CompletionKey("wk-000412"), func() any { return new(Completion) }, 2, false},
		{"node", LivenessKey("rig-0"), func() any { return new(Liveness) }, 2, false},
		{"returns", TerminationsKey, func() any { return new(Terminations) }, 2, false},
		{"images", ImageKey(3), func() any { return new(Images) }, 2, false},
		{"page", PlacementKey("vision", "east", 1), newPage, 1, false},
		{"page-large", PlacementKey("vision", "east", 1), newPage, 5, true},
		{"rollout", RolloutKey, func() any { return new(Rollout) }, 2, false},
		{"member", RegistrationKey("rig-0"), func() any { return new(Registration) }, 2, false},
		{"shares", ShardPolicyKey, func() any { return new(ShardPolicy) }, 2, false},
		{"share", ShardKey(7), func() any { return new(Shard) }, 2, false},
		{"baton", FencingTokenKey, func() any { return new(wire.FencingToken) }, 2, false},
		{"buyer", ProvisionerKey, func() any { return new(wire.FencingToken) }, 2, false},
	}
}

// fillRecord sets every field of a record to something other than its zero value.
func fillRecord(target any, elements int) {
	filler := golden.NewFiller(elements)
	golden.RegisterMaker(filler, func(n int) TaskSet { return Span(n, n+1).Union(Span(n+2, n+5)) })
	golden.RegisterMaker(filler, func(int) Eviction { return EvictionImmediate })
	golden.RegisterMaker(filler, func(int) MovePhase { return MoveProposed })
	filler.Fill(target)
}

// TestGoldenRecords encodes every kind of record in every format, with all fields set and with none
// set. A plain value has to be equal to the golden file. Of a compressed value only the plain JSON
// within it is compared, because the compressed bytes depend on the compressor. The golden files of
// records with all fields set are decoded as well.
func TestGoldenRecords(t *testing.T) {
	for format := OldestFormat; format <= NewestFormat; format++ {
		for _, r := range goldenRecords() {
			name := fmt.Sprintf("format-%d/%s", format, r.name)
			t.Run(name, func(t *testing.T) {
				filled := r.newRecord()
				fillRecord(filled, r.elements)
				written := Encode(format, r.key, filled)
				require.Equal(t, r.compressed && format >= FormatCompressed, isString(written))
				compareValues(t, name+".json", written)

				decoded := r.newRecord()
				require.NoError(t, Decode(golden.Read(t, name+".json"), decodeLimit, decoded))
				require.Equal(t, filled, decoded)

				golden.Compare(t, name+".zero.json", Encode(format, r.key, r.newRecord()))
			})
		}
	}
}

// compareValues requires a value to be equal to the golden file. Compressed values may differ as long
// as they decompress to the same JSON.
func compareValues(t *testing.T, name string, written json.RawMessage) {
	t.Helper()
	if !isString(written) {
		golden.Compare(t, name, written)
		return
	}
	if golden.Updating() {
		golden.Write(t, name, written)
	}
	stored := json.RawMessage(golden.Read(t, name))
	require.True(t, isString(stored), name)
	require.Equal(t, string(decompressValue(t, stored)), string(decompressValue(t, written)), name)
}

// decompressValue returns the plain JSON within a compressed value.
func decompressValue(t *testing.T, value json.RawMessage) []byte {
	t.Helper()
	var compressed []byte
	require.NoError(t, json.Unmarshal(value, &compressed))
	text, err := decompress(compressed, decodeLimit)
	require.NoError(t, err)
	return text
}

// TestGoldenPeerMessages encodes a peer message in every format with all fields set, compares it with
// the golden file and decodes the file.
func TestGoldenPeerMessages(t *testing.T) {
	for format := OldestFormat; format <= NewestFormat; format++ {
		var message wire.PeerMessage
		filler := golden.NewFiller(2)
		golden.RegisterMaker(filler, func(int) wire.Format { return format })
		filler.Fill(&message)
		written, err := EncodePeerMessage(&message)
		require.NoError(t, err)
		name := fmt.Sprintf("format-%d/sibling-line.json", format)
		golden.Compare(t, name, written)
		decoded, err := DecodePeerMessage(golden.Read(t, name))
		require.NoError(t, err)
		require.Equal(t, &message, decoded)
	}
}

// TestGoldenKeys compares the keys of records, the formats, and the values of enumerations in records
// with the golden file.
func TestGoldenKeys(t *testing.T) {
	text, err := json.MarshalIndent(map[string]any{
		"fixed":    []string{RootPrefix, FencingTokenKey, ProvisionerKey, SettingsKey, TerminationsKey, RolloutKey, ShardPolicyKey},
		"prefixes": []string{LivenessPrefix, JobPrefix, CompletionPrefix, PlacementPrefix, ImagePrefix, RegistrationPrefix, ShardPrefix},
		"made": []string{JobKey("wk-000412"), CompletionKey("wk-000412"), LivenessKey("rig-0"), RegistrationKey("rig-0"), ImageKey(3), ShardKey(7),
			PlacementKey("vision", "east", 1)},
		"load":       LoadPrefixes,
		"formats":    []wire.Format{FormatPlain, FormatCompressed, FormatSharding, OldestFormat, NewestFormat},
		"halt":       []Eviction{EvictionNone, EvictionGraceful, EvictionImmediate},
		"share-step": []MovePhase{MoveProposed, MoveReleased},
	}, "", "  ")
	require.NoError(t, err)
	golden.Compare(t, "keys.json", text)
}
