package record

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"

	"github.com/klauspost/compress/zstd"

	"lilacrill/internal/fastjson"
	"lilacrill/wire"
)

// The formats. A build reads every format from Oldest to Newest, whichever is in force;
// it writes the one in force.
const (
	// FormatPlain writes every record as plain JSON.
	FormatPlain wire.Format = 1
	// FormatCompressed writes large job and placement records as a JSON string that
	// holds their plain JSON compressed with zstd, in base64. A build that does not
	// know it finds a string where it wants an object and refuses the record: it
	// never takes it for an empty one.
	FormatCompressed wire.Format = 2
	// FormatSharding adds the records of shares, which placements demand, and what lines
	// between controllers say of room and of jobs handed on.
	FormatSharding wire.Format = 3

	// Oldest and Newest bound what this build reads and writes.
	Oldest = FormatPlain
	Newest = FormatSharding
)

// compressFrom is the size of a plain value from which on compressing pays.
const compressFrom = 512

// The causes for which a compressed value is refused.
var (
	ErrDamaged  = errors.New("damaged compressed value")
	ErrTooLarge = errors.New("compressed value expands beyond the bound")
)

// Encode writes a record in a format. A compressed value is used only where it is
// the smaller one, so no value takes more than its plain JSON.
func Encode(format wire.Format, key string, v any) json.RawMessage {
	value := encodePlain(v)
	if format < FormatCompressed || len(value) < compressFrom || !compressible(key) {
		return value
	}
	packed := compressor().EncodeAll(value, nil)
	text := encodePlain(packed) // bytes become a JSON string in base64
	if len(text) >= len(value) {
		return value
	}
	return text
}

// compressible reports whether records under a key grow large.
func compressible(key string) bool {
	return strings.HasPrefix(key, JobPrefix) || strings.HasPrefix(key, PlacementPrefix)
}

// Decode reads a record of any format into v. A compressed value may expand to at
// most limit bytes.
func Decode(value json.RawMessage, limit int, v any) error {
	if !isString(value) {
		return fastjson.Unmarshal(value, v)
	}
	var packed []byte
	if err := json.Unmarshal(value, &packed); err != nil {
		return fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	text, err := expand(packed, limit)
	if err != nil {
		return err
	}
	return fastjson.Unmarshal(text, v)
}

func isString(value json.RawMessage) bool {
	for _, b := range value {
		switch b {
		case ' ', '\t', '\r', '\n':
		default:
			return b == '"'
		}
	}
	return false
}

// expand undoes the compression. A frame states its size before its content, so one
// that is too large is refused before anything is written.
func expand(packed []byte, limit int) ([]byte, error) {
	var header zstd.Header
	if err := header.Decode(packed); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	if !header.HasFCS {
		return nil, fmt.Errorf("%w: no size stated", ErrDamaged)
	}
	if header.FrameContentSize > uint64(limit) {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, header.FrameContentSize, limit)
	}
	text, err := decompressor().DecodeAll(packed, make([]byte, 0, header.FrameContentSize))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	if uint64(len(text)) != header.FrameContentSize {
		return nil, fmt.Errorf("%w: %d bytes, %d stated", ErrDamaged, len(text), header.FrameContentSize)
	}
	return text, nil
}

// Both are made when they are first needed, and for one user at a time: controllers
// have little memory, and one goroutine that works on records.
var (
	compressor = sync.OnceValue(func() *zstd.Encoder {
		return must(zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
			zstd.WithWindowSize(encoderWindow), zstd.WithSingleSegment(true)))
	})
	decompressor = sync.OnceValue(func() *zstd.Decoder {
		return must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxMemory(maxDecoded)))
	})
)

const (
	// encoderWindow covers any value of the state service.
	encoderWindow = 64 << 10
	// maxDecoded is the most that any value may expand to, whatever the caller allows.
	maxDecoded = 16 << 20
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options above are constants and fit one another
	}
	return v
}
