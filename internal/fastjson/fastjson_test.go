package fastjson_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lilacrill/internal/fastjson"
	"lilacrill/internal/fixedseed"
	"lilacrill/wire"
)

func TestMain(m *testing.M) { fixedseed.Run(m) }

// document is an encoded message, with a function that allocates the value it is decoded into.
type document struct {
	text  string
	value func() any
}

var documents = []document{
	{`{"rig":"m-000231","addr":"10.1.0.232:9000","rigtype":"g8","yard":"a","loaners":true,"shift":1,"tally":88,"baton":41,"recall_s":null,` +
		`"loads":[{"load":"wk-000412/3","try":268435457,"status":"running"},{"load":"wk-000398/0","try":1,"status":"exited","cause":"done"}],"new":[1.5e3,{"a":"\u00e9\n"}]}`,
		func() any { return new(wire.Heartbeat) }},
	{`{"from":"node-1","state_fresh":true,"vouch":{"p":18446744073709551615,"n":7,"l":5,"f":3,"h":{"node-0":{"p":1,"n":2}},"w":[{"j":"wk-1","s":4,"d":2}]},` +
		`"reports":[{"rig":"m-1","addr":"a:1","rigtype":"t","yard":"z","loaners":false,"shift":1,"tally":2,"baton":3,"loads":null}],"heard":[{"m":"m-2","s":1,"t":9,"b":3}]}`,
		func() any { return new(wire.PeerMessage) }},
	{`{"ledger":433,"log":[{"put":"c/9","v":{"spec":{"id":"wk-1","x":[1,2]}},"stamp":433},{"drop":"c/d","stamp":432}]}`,
		func() any { return new(wire.WatchResponse) }},
	{`{"rigs":[{"id":"m-000231","addr":"10.1.0.232:9000","rigtype":"g8","yard":"a","loaners":true,"status":"running","held_s":61.5}],"more":false}`,
		func() any { return new(wire.MachineList) }},
}

// corrupted returns a copy of a document with up to three random changes.
func corrupted(t *rapid.T, text string) []byte {
	b := []byte(text)
	for range rapid.IntRange(0, 3).Draw(t, "changes") {
		at := rapid.IntRange(0, len(b)-1).Draw(t, "at")
		switch rapid.IntRange(0, 3).Draw(t, "change") {
		case 0:
			b[at] = rapid.Byte().Draw(t, "byte")
		case 1:
			b = append(b[:at:at], b[at+1:]...)
		case 2:
			b = append(b[:at:at], append([]byte{rapid.SampledFrom([]byte(`{}[]",:0-1e.ntf\ `)).Draw(t, "sign")}, b[at:]...)...)
		case 3:
			b = b[:at]
		}
		if len(b) == 0 {
			return []byte(" ")
		}
	}
	return b
}

// TestUnmarshalMatchesEncodingJSON guards against a library that accepts malformed documents, rejects
// valid ones, or decodes them to other values than encoding/json does.
func TestUnmarshalMatchesEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := rapid.SampledFrom(documents).Draw(t, "document")
		text := corrupted(t, d.text)
		want, got := d.value(), d.value()
		wantErr, gotErr := json.Unmarshal(text, want), fastjson.Unmarshal(text, got)
		if wantErr != nil {
			require.Error(t, gotErr, "%s", text)
			return
		}
		require.NoError(t, gotErr, "%s", text)
		require.Equal(t, want, got)
	})
}

// TestUnmarshalDoesNotAliasInput guards against decoded values that change when the buffer that they
// were decoded from is reused for the next message.
func TestUnmarshalDoesNotAliasInput(t *testing.T) {
	for _, d := range documents {
		want, got := d.value(), d.value()
		require.NoError(t, json.Unmarshal([]byte(d.text), want))
		buffer := []byte(d.text)
		require.NoError(t, fastjson.Unmarshal(buffer, got))
		copy(buffer, bytes.Repeat([]byte("x"), len(buffer)))
		require.Equal(t, want, got)
	}
}
