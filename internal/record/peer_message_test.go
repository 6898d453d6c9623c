package record

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lilacrill/wire"
)

// TestPeerMessages checks that an encoded peer message decodes to the original, and that invalid and
// truncated messages are refused. A message with a damaged byte must be refused or have only valid
// heartbeats.
func TestPeerMessages(t *testing.T) {
	message := &wire.PeerMessage{From: "rig-1", Heartbeats: []*wire.Heartbeat{{Machine: "m-1", Addr: "10.0.0.1:1", Type: "g8", Zone: "a", AgentEpoch: 1,
		Tasks: []wire.TaskStatus{{Task: wire.TaskID{Job: "wk-1", Index: 2}, Attempt: 3, State: wire.TaskRunning}}}},
		UnchangedHeartbeats: []wire.UnchangedHeartbeat{{Machine: "m-2", AgentEpoch: 1, Sequence: 7, Token: 3}}}
	good, err := EncodePeerMessage(message)
	require.NoError(t, err)
	decoded, err := DecodePeerMessage(good)
	require.NoError(t, err)
	require.Equal(t, message, decoded)
	for _, bad := range []string{``, `{}`, `[]`, `null`, `{"from":"rig-1","reports":[{}]}`, `{"from":7}`, `{"from":"rig-1","reports":[null]}`,
		`{"from":"rig-1","format":-1}`, `{"from":"rig-1","format":4}`} {
		_, err := DecodePeerMessage([]byte(bad))
		require.Error(t, err, bad)
	}
	for i := range len(good) {
		_, err := DecodePeerMessage(good[:i])
		require.Error(t, err)
	}
	rapid.Check(t, func(t *rapid.T) {
		damaged := append([]byte(nil), good...)
		damaged[rapid.IntRange(0, len(damaged)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		if decoded, err := DecodePeerMessage(damaged); err == nil {
			for _, heartbeat := range decoded.Heartbeats {
				require.NoError(t, heartbeat.Check())
			}
		}
	})
}
