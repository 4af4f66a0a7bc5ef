package peers

import (
	"sync"

	"github.com/klauspost/compress/zstd"

	"github.com/filbertpier/filbertpier/internal/replica"
)

const (
	// packBytes is the size from which values are compressed: the document is
	// tens of kilobytes of text and goes to every node at each change.
	packBytes = 1024
	// maxUnpacked bounds what a compressed value may become.
	maxUnpacked = 16 << 20
)

// packer compresses values, each revision of a key once. It is safe for
// concurrent use.
type packer struct {
	encoder *zstd.Encoder
	// mu guards packed.
	mu sync.Mutex
	// packed holds the compressed value of the newest revision of each large
	// key.
	packed map[string]wireItem
}

func newPacker() (*packer, error) {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, &CodecError{Err: err}
	}
	return &packer{encoder: e, packed: map[string]wireItem{}}, nil
}

func (p *packer) pack(i replica.Item) wireItem {
	out := wireItem{Key: i.Key, Value: i.Value, Revision: i.Revision, Deleted: i.Deleted}
	if len(i.Value) < packBytes {
		return out
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.packed[i.Key]; ok && known.Revision == i.Revision {
		return known
	}
	out.Value, out.Packed = p.encoder.EncodeAll(i.Value, nil), true
	p.packed[i.Key] = out
	return out
}
