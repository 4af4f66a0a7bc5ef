package peers

import (
	"sync"

	"github.com/klauspost/compress/zstd"

	"github.com/filbertpier/filbertpier/internal/replica"
)

// unpacker restores compressed values. Its zero value is ready; it is safe for
// concurrent use.
type unpacker struct {
	once    sync.Once
	decoder *zstd.Decoder
	failed  error
}

// page returns a page with whole values. It returns a *CodecError.
func (u *unpacker) page(p *wirePage) (replica.Page, error) {
	out := replica.Page{Revision: p.At, Fresh: p.Fresh}
	for _, i := range p.Items {
		value, err := u.value(&i)
		if err != nil {
			return replica.Page{}, &CodecError{Key: i.Key, Err: err}
		}
		out.Items = append(out.Items, replica.Item{Key: i.Key, Value: value, Revision: i.Revision, Deleted: i.Deleted})
	}
	return out, nil
}

func (u *unpacker) value(i *wireItem) ([]byte, error) {
	if !i.Packed {
		return i.Value, nil
	}
	u.once.Do(func() {
		u.decoder, u.failed = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUnpacked), zstd.WithDecoderLowmem(true))
	})
	if u.failed != nil {
		return nil, u.failed
	}
	return u.decoder.DecodeAll(i.Value, nil)
}
