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

// The formats of the stored records. A build reads every format from Oldest to Newest, whichever
// is in force; it writes the one in force.
const (
	// FormatPlain writes every record as plain JSON.
	FormatPlain wire.Format = 1
	// FormatCompressed writes large job and placement records as a JSON string that holds their
	// plain JSON, compressed with zstd, in base64. A build that does not know this format finds a
	// string where it expects an object and refuses the record: it never takes it for an empty
	// one.
	FormatCompressed wire.Format = 2
	// FormatSharding adds the records of shards, whose versions placement transactions demand,
	// and capacity offers and forwarded jobs in the messages between controllers.
	FormatSharding wire.Format = 3

	// Oldest and Newest bound what this build reads and writes.
	Oldest = FormatPlain
	Newest = FormatSharding
)

// minCompressedSize is the size in bytes of a plain value from which on compression pays.
const minCompressedSize = 512

// The causes for which Decode refuses a compressed value; its errors wrap one of them.
var (
	ErrDamaged  = errors.New("damaged compressed value")
	ErrTooLarge = errors.New("compressed value expands beyond the bound")
)

// Encode encodes a record, to be stored under a key, in a format. A compressed value is used only
// where it is the smaller one, so no value takes more bytes than its plain JSON.
func Encode(format wire.Format, key string, record any) json.RawMessage {
	plain := encodePlain(record)
	if format < FormatCompressed || len(plain) < minCompressedSize || !compressible(key) {
		return plain
	}
	compressed := encodePlain(compressor().EncodeAll(plain, nil)) // bytes become a base64 string
	if len(compressed) >= len(plain) {
		return plain
	}
	return compressed
}

// compressible reports whether records under a key grow large.
func compressible(key string) bool {
	return strings.HasPrefix(key, JobPrefix) || strings.HasPrefix(key, PlacementPrefix)
}

// Decode decodes a value of any format into the record that a pointer is given to. A compressed
// value that expands to more than limit bytes is refused with ErrTooLarge, one that is damaged
// with ErrDamaged.
func Decode(value json.RawMessage, limit int, record any) error {
	if !isString(value) {
		return fastjson.Unmarshal(value, record)
	}
	var compressed []byte
	if err := json.Unmarshal(value, &compressed); err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	plain, err := expand(compressed, limit)
	if err != nil {
		return err
	}
	return fastjson.Unmarshal(plain, record)
}

// isString reports whether a JSON value is a string.
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

// expand decompresses a frame. It states the size of its content first, so one that is too large
// is refused before memory is taken for it.
func expand(compressed []byte, limit int) ([]byte, error) {
	var header zstd.Header
	if err := header.Decode(compressed); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if !header.HasFCS {
		return nil, fmt.Errorf("%w: no size stated", ErrDamaged)
	}
	if header.FrameContentSize > uint64(limit) {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, header.FrameContentSize, limit)
	}
	plain, err := decompressor().DecodeAll(compressed, make([]byte, 0, header.FrameContentSize))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if uint64(len(plain)) != header.FrameContentSize {
		return nil, fmt.Errorf("%w: %d bytes, %d stated", ErrDamaged, len(plain), header.FrameContentSize)
	}
	return plain, nil
}

// Both are made when they are first needed, and without concurrency of their own: controllers
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
	// encoderWindow, in bytes, covers any value in the state store.
	encoderWindow = 64 << 10
	// maxDecoded is the most bytes that any value may expand to, whatever the caller allows.
	maxDecoded = 16 << 20
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options above are constants and valid together
	}
	return v
}
