package spread

import (
	"math/bits"

	"github.com/klauspost/compress/zstd"

	"github.com/filbertpier/filbertpier/config"
)

// dictID marks frames that use the previous content as dictionary.
const dictID = 1

// maxDecoded bounds what a frame may expand to, in bytes: a section, or an
// envelope with its base64 manifest, is at most about this long.
const maxDecoded = 4 * config.MaxSectionBytes

// maxWindow covers the largest section and its base.
const maxWindow = 4 << 20

// EncodeDelta compresses data, with base as dictionary if it is not empty. It
// is safe for concurrent use.
func EncodeDelta(base, data []byte) ([]byte, error) {
	opts := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(levelFor(len(base) + len(data))), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowFor(len(base) + len(data)))}
	if len(base) > 0 {
		opts = append(opts, zstd.WithEncoderDictRaw(dictID, base))
	}
	enc, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil, &DeltaError{Op: "encode", Err: err}
	}
	defer func() { _ = enc.Close() }()
	return enc.EncodeAll(data, nil), nil
}

// smallContent is the size in bytes, base included, up to which the fastest
// level is used: its deltas are as short there, and its tables are a fifth of
// the default level's.
const smallContent = 1 << 10

func levelFor(n int) zstd.EncoderLevel {
	if n <= smallContent {
		return zstd.SpeedFastest
	}
	return zstd.SpeedDefault
}

// windowFor returns the smallest window that covers n bytes. The encoder
// allocates and clears its window for each frame, and sections are small.
func windowFor(n int) int {
	return min(max(1<<bits.Len(uint(n)), zstd.MinWindowSize), maxWindow)
}

// DecodeDelta reverses EncodeDelta with the same base. It returns a
// *DeltaError and never expands to more than a few megabytes.
func DecodeDelta(base, frame []byte) ([]byte, error) {
	opts := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecoded), zstd.WithDecoderLowmem(true)}
	if len(base) > 0 {
		opts = append(opts, zstd.WithDecoderDictRaw(dictID, base))
	}
	dec, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, &DeltaError{Op: "decode", Err: err}
	}
	defer dec.Close()
	out, err := dec.DecodeAll(frame, nil)
	if err != nil {
		return nil, &DeltaError{Op: "decode", Err: err}
	}
	return out, nil
}
