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

// The formats of the stored records. A build reads every format from OldestFormat to NewestFormat,
// regardless of which is in force, and writes the format in force.
const (
	// FormatPlain writes every record as plain JSON.
	FormatPlain wire.Format = 1
	// FormatCompressed writes large job and placement records as a JSON string that holds their
	// plain JSON, compressed with zstd and encoded in base64. A build that does not know this format
	// finds a string instead of an object and refuses the record. It cannot mistake the record for an
	// empty one.
	FormatCompressed wire.Format = 2
	// FormatSharding adds the records of shards, whose versions are conditions of placement
	// transactions, and adds capacity offers and forwarded jobs to peer messages.
	FormatSharding wire.Format = 3

	// OldestFormat and NewestFormat bound what this build reads and writes.
	OldestFormat = FormatPlain
	NewestFormat = FormatSharding
)

// compressionThreshold is the minimum size, in bytes, of a plain value that is worth compressing.
const compressionThreshold = 512

// Errors that Decode wraps when it refuses a compressed value.
var (
	ErrDamaged  = errors.New("damaged compressed value")
	ErrTooLarge = errors.New("compressed value expands beyond the bound")
)

// Encode encodes a record that is to be stored under a key in the given format. The compressed
// value is used only if it is smaller, so no value takes more bytes than its plain JSON.
func Encode(format wire.Format, key string, record any) json.RawMessage {
	plain := encodePlain(record)
	if format < FormatCompressed || len(plain) < compressionThreshold || !compressible(key) {
		return plain
	}
	compressed := encodePlain(compressor().EncodeAll(plain, nil)) // json.Marshal encodes bytes as a base64 string
	if len(compressed) >= len(plain) {
		return plain
	}
	return compressed
}

// compressible reports whether the record under a key may be large enough to be compressed.
func compressible(key string) bool {
	return strings.HasPrefix(key, JobPrefix) || strings.HasPrefix(key, PlacementPrefix)
}

// Decode decodes a value of any format into record, which must be a pointer. It returns ErrTooLarge
// for a compressed value that expands to more than limit bytes, and ErrDamaged for a damaged
// compressed value, each wrapped.
func Decode(value json.RawMessage, limit int, record any) error {
	if !isString(value) {
		return fastjson.Unmarshal(value, record)
	}
	var compressed []byte
	if err := json.Unmarshal(value, &compressed); err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	plain, err := decompress(compressed, limit)
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

// decompress decompresses a zstd frame. The frame header has to state the size of the content, so
// that content larger than limit bytes is refused before memory is allocated for it.
func decompress(compressed []byte, limit int) ([]byte, error) {
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

// The compressor and the decompressor are created on first use and work without concurrency, because
// controllers have little memory and process records in a single goroutine.
var (
	compressor = sync.OnceValue(func() *zstd.Encoder {
		return must(zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
			zstd.WithWindowSize(encoderWindowSize), zstd.WithSingleSegment(true)))
	})
	decompressor = sync.OnceValue(func() *zstd.Decoder {
		return must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxMemory(maxDecompressedSize)))
	})
)

const (
	// encoderWindowSize is the window size in bytes. It covers any value in the state store.
	encoderWindowSize = 64 << 10
	// maxDecompressedSize is the maximum decompressed size of a value in bytes, regardless of the
	// limit that the caller of Decode sets.
	maxDecompressedSize = 16 << 20
)

// must returns v and panics if err is not nil.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // cannot happen: the options are constant and valid
	}
	return v
}
