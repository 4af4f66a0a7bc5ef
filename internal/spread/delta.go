package spread

import (
	"math/bits"

	"github.com/klauspost/compress/zstd"

	"github.com/filbertpier/filbertpier/config"
)

// deltaDictID is the zstd dictionary ID of frames that use the base content as
// dictionary.
const deltaDictID = 1

// maxDecodedBytes bounds the decoded size of a frame; manifests and sections
// are shorter.
const maxDecodedBytes = 4 * config.MaxSectionBytes

// EncodeDelta compresses data, with base as dictionary if it is not empty. Its
// errors are *DeltaError. It is safe for concurrent use.
func EncodeDelta(base, data []byte) ([]byte, error) {
	n := len(base) + len(data)
	key := encoderKey{window: windowSize(n), fastest: n <= maxFastestLevelBytes, dict: len(base) > 0}
	enc, err := encoders.get(key, base)
	if err != nil {
		return nil, &DeltaError{Op: "encode", Err: err}
	}
	defer encoders.put(key, enc)
	return enc.EncodeAll(data, nil), nil
}

var encoders encoderPools

// maxFastestLevelBytes is the size in bytes, base included, up to which the
// fastest compression level is used: at that size its deltas are as short as
// those of the default level, and its tables take a fifth of the memory.
const maxFastestLevelBytes = 1 << 10

// windowSize returns the smallest power of two that covers n bytes, between the
// smallest window of zstd and one that covers maxDecodedBytes. The encoder
// allocates and clears its window, which is 8 MB by default.
func windowSize(n int) int {
	n = min(max(n, zstd.MinWindowSize), maxDecodedBytes)
	return 1 << bits.Len(uint(n-1))
}

// DecodeDelta reverses EncodeDelta with the same base. Its errors are
// *DeltaError; a frame that expands to more than maxDecodedBytes is one.
func DecodeDelta(base, frame []byte) ([]byte, error) {
	opts := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecodedBytes), zstd.WithDecoderLowmem(true)}
	if len(base) > 0 {
		opts = append(opts, zstd.WithDecoderDictRaw(deltaDictID, base))
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
