package record

import (
	"encoding/json"
	"errors"
	"fmt"

	"lilacrill/internal/fastjson"
	"lilacrill/wire"
)

// Errors that DecodePeerMessage wraps when it refuses a message. It also returns the errors of the
// JSON decoder and of wire.Heartbeat.Check.
var (
	ErrPeerMessageFormat  = errors.New("peer message in a format that this build does not read")
	ErrInvalidPeerMessage = errors.New("invalid peer message")
)

// EncodePeerMessage encodes a peer message, without the newline that ends it. Messages of all formats
// are encoded alike. Those of later formats than the first have their format set in the message.
func EncodePeerMessage(message *wire.PeerMessage) ([]byte, error) { return json.Marshal(message) }

// DecodePeerMessage decodes and validates a peer message of any format.
func DecodePeerMessage(text []byte) (*wire.PeerMessage, error) {
	var message wire.PeerMessage
	if err := fastjson.Unmarshal(text, &message); err != nil {
		return nil, err
	}
	if message.From == "" {
		return nil, fmt.Errorf("%w: no sender", ErrInvalidPeerMessage)
	}
	if message.Format < 0 || message.Format > NewestFormat {
		return nil, fmt.Errorf("%w: %d", ErrPeerMessageFormat, message.Format)
	}
	for _, heartbeat := range message.Heartbeats {
		if heartbeat == nil {
			return nil, fmt.Errorf("%w: empty heartbeat", ErrInvalidPeerMessage)
		}
		if err := heartbeat.Check(); err != nil {
			return nil, err
		}
	}
	return &message, nil
}
