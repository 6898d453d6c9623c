package record

import (
	"encoding/json"
	"errors"
	"fmt"

	"lilacrill/internal/fastjson"
	"lilacrill/wire"
)

// ErrPeerMessageFormat is the cause for which a line of a format that this build does not
// read is refused.
var ErrPeerMessageFormat = errors.New("line of a format that this build does not read")

// EncodePeerMessage writes a line between controllers, without its end, in the line's format.
// The formats so far differ in that later ones name themselves.
func EncodePeerMessage(line *wire.PeerMessage) ([]byte, error) { return json.Marshal(line) }

// DecodePeerMessage reads and checks a line of any format.
func DecodePeerMessage(b []byte) (*wire.PeerMessage, error) {
	var line wire.PeerMessage
	if err := fastjson.Unmarshal(b, &line); err != nil {
		return nil, err
	}
	if line.From == "" {
		return nil, errors.New("line without a sender")
	}
	if line.Format < 0 || line.Format > Newest {
		return nil, fmt.Errorf("%w: %d", ErrPeerMessageFormat, line.Format)
	}
	for _, r := range line.Heartbeats {
		if r == nil {
			return nil, errors.New("line with an empty report")
		}
		if err := r.Check(); err != nil {
			return nil, err
		}
	}
	return &line, nil
}
