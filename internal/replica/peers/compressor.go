package peers

import (
	"sync"

	"github.com/klauspost/compress/zstd"

	"github.com/filbertpier/filbertpier/internal/replica"
)

const (
	// minCompressBytes is the size from which values are compressed: the document
	// is tens of kilobytes of text and goes to every node at each change.
	minCompressBytes = 1024
	// maxDecompressedBytes bounds the size of a decompressed value.
	maxDecompressedBytes = 16 << 20
)

// compressor compresses values and caches the results, so that a value is not
// compressed again for each node. It is safe for concurrent use.
type compressor struct {
	encoder *zstd.Encoder
	// mu guards compressed.
	mu sync.Mutex
	// compressed holds, by key, the large value that was compressed last.
	compressed map[string]compressedItem
}

func newCompressor() (*compressor, error) {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, &CodecError{Err: err}
	}
	return &compressor{encoder: e, compressed: map[string]compressedItem{}}, nil
}

func (c *compressor) compress(i replica.Item) wireItem {
	out := wireItem{Key: i.Key, Value: i.Value, Revision: i.Revision.Number, Deleted: i.Deleted}
	if len(i.Value) < minCompressBytes {
		return out
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached, ok := c.compressed[i.Key]; ok && cached.revision == i.Revision {
		return cached.item
	}
	out.Value, out.Compressed = c.encoder.EncodeAll(i.Value, nil), true
	c.compressed[i.Key] = compressedItem{revision: i.Revision, item: out}
	return out
}
